//! The state of requests and their attempts.

use crate::location::Location;
use crate::{Arrival, BackendId, Micros, TimerId};

/// One attempt of a request.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    /// Where the backend was when the attempt was sent. A new process of the same name may be elsewhere.
    pub(crate) location: Option<Location>,
    pub(crate) sent_at: Micros,
    pub(crate) in_flight: bool,
    /// Whether the attempt has ended with an outcome that does not prove that it never ran.
    pub(crate) may_have_run: bool,
    /// Whether the attempt carries a stream, which counts as one of its backend's streams and not against the backend's
    /// concurrency limit.
    pub(crate) is_stream: bool,
}

impl Attempt {
    pub(crate) fn new(backend: BackendId, location: Option<Location>, sent_at: Micros) -> Attempt {
        Attempt { backend, location, sent_at, in_flight: true, may_have_run: false, is_stream: false }
    }

    /// Returns whether the attempt is in flight or may have run.
    pub(crate) fn may_have_effect(&self) -> bool {
        self.in_flight || self.may_have_run
    }
}

/// The state of one request.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) arrived_at: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// The timer of the request's deadline.
    pub(crate) deadline_timer: Option<TimerId>,
    /// The quota window to which the request's units were charged. Cleared when the first attempt is sent or the
    /// counter replies to the request's concurrency call; after that, the units are not refunded.
    pub(crate) charged_window: Option<u64>,
    /// Whether the request counts as one of its customer's concurrent requests.
    pub(crate) holds_concurrency_slot: bool,
    /// Number of counter calls for this request whose replies are pending.
    pub(crate) pending_counter_calls: u32,
    /// When the request started to wait for a backend, if it is waiting.
    pub(crate) waiting_since: Option<Micros>,
    /// Whether the request is committed to an attempt that carries a stream: no further attempt is sent, and no
    /// deadline applies.
    pub(crate) committed: bool,
    /// Whether the response has started to reach the client.
    pub(crate) response_started: bool,
    /// Whether the request has had its final answer, or needs none because the client disconnected.
    pub(crate) answered: bool,
}

impl Request {
    /// Returns whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns whether an attempt is in flight or may have run.
    pub(crate) fn may_have_effect(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_effect)
    }

    /// Returns the number of attempts sent to this backend.
    pub(crate) fn attempts_at(&self, backend: BackendId) -> usize {
        self.attempts.iter().filter(|attempt| attempt.backend == backend).count()
    }

    /// Returns the indexes of the attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = usize> + '_ {
        let in_flight = self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
        in_flight.map(|(index, _)| index)
    }
}
