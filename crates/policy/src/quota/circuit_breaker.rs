//! The circuit breaker for counter calls, with the states closed, open and half-open.

use crate::Micros;

/// Number of failures that opens the breaker; each success halves the failures counted so far.
const FAILURES_TO_OPEN: f64 = 3.0;
/// Minimum time for which calls must keep failing before the breaker opens. Calls that are late because of the fleet's
/// own load fail together. A lower query share resolves that quickly, whereas an open breaker leaves every quota to the
/// local buckets.
const MIN_FAILING_TIME: Micros = Micros::from_millis(400);
/// Time for which the breaker stays open before it allows a probe.
const COOL_DOWN: Micros = Micros::from_secs(1);

/// A circuit breaker for calls to the counter, either all of them or those of one customer.
#[derive(Debug, Default)]
pub(super) struct CircuitBreaker {
    /// Failures counted so far; a success halves them.
    failures: f64,
    failing_since: Micros,
    opened_at: Option<Micros>,
    /// Whether the breaker is half-open with a probe in flight.
    probing: bool,
}

impl CircuitBreaker {
    /// Returns whether the breaker is open or half-open.
    pub(super) fn is_open(&self) -> bool {
        self.opened_at.is_some()
    }

    /// Returns whether the probe of the half-open state is in flight.
    pub(super) fn is_probing(&self) -> bool {
        self.probing
    }

    /// Returns whether a call may be made: the breaker is closed, or the cool-down has passed and no probe is in
    /// flight.
    pub(super) fn allows_call(&self, now: Micros) -> bool {
        self.opened_at.is_none_or(|opened_at| !self.probing && now >= opened_at + COOL_DOWN)
    }

    /// Records that a call is made. After the cool-down, that call is the probe.
    pub(super) fn record_call(&mut self) {
        self.probing |= self.is_open();
    }

    /// Records a failed call.
    pub(super) fn record_failure(&mut self, now: Micros, is_probe: bool) {
        if self.failures < 1.0 {
            self.failing_since = now;
        }
        self.failures = (self.failures + 1.0).min(FAILURES_TO_OPEN + 1.0);
        let threshold_reached =
            self.failures >= FAILURES_TO_OPEN && now >= self.failing_since + MIN_FAILING_TIME;
        let probe_failed = is_probe && self.probing;
        if (!self.is_open() && threshold_reached) || probe_failed {
            self.opened_at = Some(now);
            self.probing = false;
        }
    }

    /// Records a successful call. While the breaker is closed, a success halves the failures instead of clearing them,
    /// so that a counter which replies only occasionally still opens the breaker.
    pub(super) fn record_success(&mut self, is_probe: bool) {
        if is_probe && self.probing {
            *self = CircuitBreaker::default();
        } else if !self.is_open() {
            self.failures /= 2.0;
        }
    }
}
