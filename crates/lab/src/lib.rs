//! Test rig that runs fleets of real gateway processes on loopback.
//!
//! It provides simulated backends, counter and discovery written from the protocol's documentation, faults on the links
//! between all parties, open-loop load, and checks that use none of the gateways' code.

pub mod checks;
pub mod defective_gateway;
pub mod experiment;
pub mod gateway;
pub mod http;
pub mod links;
pub mod load;
pub mod measure;
pub mod record;
pub mod report;
pub mod rig;
pub mod stand_in;
