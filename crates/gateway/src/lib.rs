//! The network side of the gateway: accepts clients' requests, enforces quotas and forwards requests to backends, as
//! decided by the policy engine (`lanespan_policy`).

mod admin;
pub mod backend;
pub mod backoff;
pub mod clock;
pub mod config;
pub mod config_error;
pub mod counter;
pub mod discovery;
pub mod driver;
pub mod fleet;
mod framing;
pub mod http;
pub mod memory;
mod metrics;
pub mod names;
pub mod pool;
mod read_ahead;
pub mod relay;
pub mod replication;
pub mod request_ids;
mod run;
pub mod server;
mod tapped;

pub use run::{run, RunError};
