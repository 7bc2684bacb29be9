//! Reads the settings of a site from values with dotted names. The simulator's adapter gets these from a line of the
//! simulator's protocol; the gateway flattens its JSON configuration to them.
//!
//! Only this crate translates the platform's names of settings into the terms of the policy crate.

mod fields;
mod flatten;
mod site;

pub use fields::{FieldError, Fields};
pub use flatten::flatten;
pub use site::Site;
