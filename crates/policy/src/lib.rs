//! Every decision of a gateway, made without a clock, a socket or a thread: events in, actions out. The real gateway
//! and the simulator's adapter run the same.

mod aimd;
pub mod api;
mod breaker;
pub mod rules;
mod slow_start;
mod state;
