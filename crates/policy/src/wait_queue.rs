//! The queue of requests that wait for a backend.

use crate::request::Request;
use crate::{Micros, RequestClass, RequestId};

/// Maximum wait, as a share of the latency objective.
const MAX_WAIT_SHARE: f64 = 0.3;
/// Interval at which backend selection is retried for waiting requests.
pub(crate) const POLL_INTERVAL: Micros = Micros::from_millis(10);

/// The waiting requests, and whether their poll timer is running.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    requests: Vec<RequestId>,
    timer_running: bool,
}

impl WaitQueue {
    pub(crate) fn push(&mut self, request: RequestId) {
        self.requests.push(request);
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Removes and returns all requests.
    pub(crate) fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.requests)
    }

    /// Returns whether the caller must start the poll timer, and if so marks it as running.
    pub(crate) fn claim_timer(&mut self) -> bool {
        let needed = !self.requests.is_empty() && !self.timer_running;
        self.timer_running |= needed;
        needed
    }

    /// Marks the poll timer as no longer running.
    pub(crate) fn timer_fired(&mut self) {
        self.timer_running = false;
    }
}

/// Returns whether a request has reached its maximum wait.
pub(crate) fn has_exceeded_max_wait(request: &Request, class: &RequestClass, now: Micros) -> bool {
    let max_wait = class.latency_objective.mul_f64(MAX_WAIT_SHARE);
    request.waiting_since.is_some_and(|since| now >= since + max_wait)
}
