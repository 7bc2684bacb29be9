//! Rules for the attempts of a request: retries, hedging and idempotency. Every attempt and every rejection must pass
//! these rules.

use crate::location::Location;
use crate::request::Request;
use crate::{BackendId, DeduplicationScope, Idempotency, Micros, RequestClass, Settings};

/// Limits on attempts that apply to every request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptLimits {
    /// Maximum number of attempts per request.
    pub(crate) max_attempts: usize,
    /// Whether two attempts of one request may be in flight at the same time.
    pub(crate) hedging: bool,
    /// Time subtracted from the deduplication window, because an attempt takes time to arrive at a backend.
    pub(crate) window_margin: Micros,
}

impl AttemptLimits {
    pub(crate) fn new(settings: &Settings) -> AttemptLimits {
        AttemptLimits {
            max_attempts: settings.max_attempts,
            hedging: settings.hedging,
            window_margin: settings.tick + settings.tick,
        }
    }
}

/// The rules for the next attempt of one request.
pub(crate) struct AttemptRules<'a> {
    pub(crate) request: &'a Request,
    pub(crate) class: &'a RequestClass,
    pub(crate) limits: AttemptLimits,
    pub(crate) now: Micros,
}

impl<'a> AttemptRules<'a> {
    pub(crate) fn new(
        settings: &'a Settings,
        limits: AttemptLimits,
        request: &'a Request,
        now: Micros,
    ) -> AttemptRules<'a> {
        AttemptRules { request, class: settings.class_of(&request.arrival), limits, now }
    }

    /// Returns whether the request may have another attempt, provided that a suitable backend exists.
    pub(crate) fn allow_attempt(&self) -> bool {
        let request = self.request;
        let may_hedge = self.limits.hedging || !request.is_in_flight();
        !request.answered
            && !request.committed
            && self.now < request.arrival.deadline
            && request.attempts.len() < self.limits.max_attempts
            && may_hedge
    }

    /// Returns whether an attempt at this location can't make the request take effect twice. `is_known` tells whether a
    /// backend that received an earlier attempt is still known. Its keys are where it was then, and not where a new
    /// process of its name is now.
    pub(crate) fn is_safe_at(&self, location: Location, is_known: impl Fn(BackendId) -> bool) -> bool {
        let mut possibly_executed = self.request.attempts.iter().filter(|attempt| attempt.may_have_effect());
        match self.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => possibly_executed.next().is_none(),
            Idempotency::Keyed => possibly_executed.all(|attempt| {
                let window_end = attempt.sent_at + self.class.deduplication_window;
                let in_window = self.now + self.limits.window_margin < window_end;
                let seen_at = attempt.location.filter(|_| is_known(attempt.backend));
                in_window && self.share_idempotency_keys(seen_at, location)
            }),
        }
    }

    /// Returns whether backends at these two locations share the idempotency keys that they have seen.
    fn share_idempotency_keys(&self, first: Option<Location>, second: Location) -> bool {
        match self.class.deduplication_scope {
            DeduplicationScope::AllBackends => true,
            DeduplicationScope::Zone => first.is_some_and(|first| first.zone == second.zone),
            DeduplicationScope::Cell => first.is_some_and(|first| first.cell == second.cell),
        }
    }
}

/// Returns whether the request may be answered as rejected, which promises that retrying it is harmless.
pub(crate) fn may_reject(request: &Request, class: &RequestClass) -> bool {
    let retry_is_harmless = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed => {
            !request.may_have_effect() || class.deduplication_scope == DeduplicationScope::AllBackends
        }
        Idempotency::NonIdempotent => !request.may_have_effect(),
    };
    retry_is_harmless && !request.response_started
}
