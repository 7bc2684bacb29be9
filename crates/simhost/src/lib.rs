//! Adapter that runs the policy engines of many gateways behind the simulator's text protocol. It makes no decisions of
//! its own.
//!
//! [`decode`] and [`encode`] map the protocol's messages (`KNOCK`, `ROUTE`, ...) and fields to the types of the policy
//! crate. [`host`] handles batches, instance selection and endpoint lists; [`instance`] runs one gateway.

mod decode;
mod encode;
mod error;
mod host;
mod instance;

pub use error::WireError;
pub use host::Host;
