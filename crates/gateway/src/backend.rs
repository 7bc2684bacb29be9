//! Attempts at backends: a request is forwarded once, and the outcome says what came back and whether the request
//! may have run.
//!
//! | module | job |
//! | --- | --- |
//! | `forward` | the request that is forwarded |
//! | `attempt` | one attempt, its time limit and its cancellation |
//! | `exchange` | its steps: checkout, request, response |
//! | `send_progress` | how far the request was sent |
//! | `outcome`, `attempt_end` | what a response, or none, says of the backend |

mod attempt;
mod attempt_end;
mod exchange;
mod forward;
mod outcome;
mod send_progress;

pub use attempt::{attempt, AttemptParams};
pub use attempt_end::AttemptEnd;
pub use forward::{strip_hop_by_hop, ForwardedRequest, Payload};

#[cfg(test)]
mod tests;
