//! Fleet membership and the replicated fleet document.
//!
//! All modules are sans-I/O state machines with no clock, socket or thread: they take datagrams, timestamps and
//! operator commands as input and return datagrams and changes as output, so that every run can be replayed from a
//! seed. No request waits for any of them.

pub mod facts;
pub mod membership;
pub mod node;
pub mod quota_divisor;
pub mod replication;
pub mod sim;
pub mod time;
pub mod view;
pub mod wire;
