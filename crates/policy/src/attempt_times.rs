//! Time limits of an attempt: the latest start and the time at which it is abandoned.

use crate::attempt_rules::AttemptLimits;
use crate::request::Request;
use crate::{DeduplicationScope, Idempotency, Micros, RequestClass};

/// Share of the latency objective that remains for a retry when an attempt is abandoned early, and minimum share that
/// an attempt gets before it is abandoned early.
const RETRY_TIME_SHARE: f64 = 0.3;

/// Returns when an attempt sent now is abandoned: at the deadline, or early enough for a retry to still meet the
/// latency objective.
///
/// The early time covers backends that stop responding. It is not used if attempts fail or are late at all backends
/// (`backends_are_healthy` is false), because abandoning attempts wastes work during an overload.
pub(crate) fn give_up_at(
    request: &Request,
    class: &RequestClass,
    limits: AttemptLimits,
    backends_are_healthy: bool,
    now: Micros,
) -> Micros {
    let deadline = request.arrival.deadline;
    let retry_follows = request.attempts.len() + 1 < limits.max_attempts;
    if !(can_retry_anywhere(class) && retry_follows && backends_are_healthy) {
        return deadline;
    }
    let early = request.arrived_at + class.latency_objective.mul_f64(1.0 - RETRY_TIME_SHARE);
    let has_time = early > now + class.latency_objective.mul_f64(RETRY_TIME_SHARE);
    if has_time {
        early.min(deadline)
    } else {
        deadline
    }
}

/// Returns whether an attempt that may have run can be retried at any backend. This excludes streams, for which
/// the response can't be chosen among several attempts.
fn can_retry_anywhere(class: &RequestClass) -> bool {
    let any_backend = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed => class.deduplication_scope == DeduplicationScope::AllBackends,
        Idempotency::NonIdempotent => false,
    };
    any_backend && !class.streaming
}

/// Returns the latest time at which an attempt may start. Establishing a connection may take long, and a retry with an
/// idempotency key must start while the backends still remember the key from the first attempt.
pub(crate) fn begin_by(request: &Request, class: &RequestClass, limits: AttemptLimits) -> Micros {
    let deadline = request.arrival.deadline;
    if class.idempotency != Idempotency::Keyed {
        return deadline;
    }
    let possibly_executed = request.attempts.iter().filter(|attempt| attempt.may_have_effect());
    match possibly_executed.map(|attempt| attempt.sent_at).min() {
        Some(first) => first + class.deduplication_window - limits.window_margin,
        None => deadline,
    }
}
