//! Outcomes of attempts and calls, and the load reports of backends.

/// The outcome of an attempt, a health check or a call to the counter service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The other side responded with success.
    Success,
    /// The other side responded with an error; the attempt may have run.
    ServerError,
    /// The other side rejected the attempt before running it, because it is at capacity.
    Rejected,
    /// No response arrived in time; the attempt may have run.
    Timeout,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    ConnectionReset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The attempt ran and succeeded, but there was no memory to relay the response.
    ResponseDropped,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A backend's load report; figures that the backend did not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests that the backend is handling.
    pub in_flight: Option<f64>,
    /// Number of requests that wait at the backend.
    pub queued: Option<f64>,
    /// Share of the backend's cores in use.
    pub utilization: Option<f64>,
}

impl LoadReport {
    /// Returns the share of cores in use, raised to at least 1 if requests are waiting.
    pub fn load(&self) -> Option<f64> {
        let requests_wait = self.queued.is_some_and(|queued| queued > 0.0);
        let utilization = self.utilization?;
        Some(if requests_wait { utilization.max(1.0) } else { utilization })
    }
}
