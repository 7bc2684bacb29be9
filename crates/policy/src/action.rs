//! Actions: what the engine asks its driver to do.

use crate::{BackendId, CounterKey, Micros, RequestId, TimerId};

/// An action that the engine's driver must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a backend.
    Forward {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
        /// The time at which the attempt is abandoned.
        give_up_at: Micros,
        /// The latest time at which the attempt may start; after it, the attempt must not be sent.
        begin_by: Micros,
    },
    /// Answer the request as rejected. This promises the client that retrying the request is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// The delay after which the client should retry, if one is sent.
        retry_after: Option<Micros>,
    },
    /// Answer the request as failed. The request may or may not have taken effect.
    Fail(RequestId),
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The index of the attempt.
        attempt: usize,
    },
    /// Request a backend's health and load. The engine does not emit this action yet.
    CheckHealth(BackendId),
    /// Add to a count on the counter service and report the new total.
    AddToCounter {
        /// The key of the count.
        key: CounterKey,
        /// The amount to add, which may be negative.
        amount: f64,
        /// How long the counter service keeps the count.
        lifetime: Micros,
    },
    /// Set a timer that delivers [`Event::TimerFired`](crate::Event::TimerFired) after a delay.
    SetTimer {
        /// The timer.
        timer: TimerId,
        /// The delay.
        delay: Micros,
    },
    /// Subscribe to changes of the endpoint list.
    SubscribeEndpoints,
    /// Fetch the complete endpoint list. The engine does not emit this action yet.
    FetchEndpoints,
}
