//! Replicates the fleet document with sockets, a store and a clock. `lanespan_fleet::replication` implements consensus
//! and leases without I/O; this module performs their I/O. It is not on the path of any request.
//!
//! In configuration keys, commands, paths, stored files, JSON keys and metrics, the document is called the fleet plan
//! and a lease's role is called a duty.

mod bootstrap;
mod catch_up;
mod lease_state;
mod leases;
mod local_replica;
mod members;
mod message;
mod peers;
mod pending;
mod proposals;
pub mod serve;
mod service;
mod status;
pub mod store;
mod voter_driver;

pub use members::{FleetMembers, MemberVersion};
pub use message::{CatchUpResponse, RenewalRequest, Reply, VoterAddress, VoterChangeRequest, VoterHandshake};
pub use service::{ReplicationError, ReplicationService};
pub use status::ReplicationMetrics;
