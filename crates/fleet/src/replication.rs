//! The replicated fleet document: a few voters agree on its entries by Raft, and all gateways act on it (docs/plan.md).
//! Configuration, commands and wire formats call it the fleet plan. This module does no I/O: its inputs are messages,
//! time and the store's confirmations, its outputs are messages and writes. It is not on the path of any request.

pub mod document;
pub mod lease;
pub mod log;
pub mod replica;
pub mod sim;
pub mod voter;
pub mod voter_trust;
pub mod wire;
