//! The result of an attempt.

use crate::relay::ServedBody;
use lanespan_policy::{LoadReport, Micros, Outcome};
use tokio::sync::oneshot;

/// The result of an attempt, with the body of a response that is to be served.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// The body of a response with status 200.
    pub body: Option<ServedBody>,
    /// The load that the backend reported.
    pub load_report: LoadReport,
    /// The part of the attempt that was spent waiting for stream memory, which is not part of the backend's latency.
    pub excluded_wait: Micros,
    /// Resolves with the outcome of a body that is still arriving, once that body ends.
    pub stream_end: Option<oneshot::Receiver<Outcome>>,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            body: None,
            load_report: LoadReport::default(),
            excluded_wait: Micros(0),
            stream_end: None,
        }
    }
}
