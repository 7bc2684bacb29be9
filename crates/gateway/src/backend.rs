//! Attempts at backends. An attempt forwards a request to one backend once; its outcome states what was received and
//! whether the backend may have executed the request.
//!
//! | module | job |
//! | --- | --- |
//! | `forward` | the request to forward |
//! | `attempt` | one attempt with its time limit and its cancellation |
//! | `exchange` | the steps of an attempt: checkout, request, response |
//! | `send_progress` | how much of the request was sent |
//! | `outcome`, `attempt_end` | the outcome derived from a response or from its absence |

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
