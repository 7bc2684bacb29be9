//! Controls the share of requests that query the counter, by additive increase and multiplicative decrease (AIMD).
//!
//! With AIMD, gateways converge to equal shares of a counter that can't handle all calls, without exchanging messages.

use crate::Micros;

/// Factor applied to the share after a failed call.
const FAILURE_FACTOR: f64 = 0.8;
/// Factor applied to the share after a slow reply.
const SLOW_FACTOR: f64 = 0.97;
/// Minimum increase of the share for each reply that is not slow.
const INCREASE_PER_REPLY: f64 = 0.005;
/// Minimum increase of the share per second while replies arrive. Without it, a gateway with few calls would take a
/// minute to query for all requests again.
const INCREASE_PER_SECOND: f64 = 0.08;
/// Maximum time since the previous reply for which one reply increases the share.
const MAX_REPLY_GAP_SECONDS: f64 = 1.0;
/// Lower bound of the share.
const MIN_SHARE: f64 = 0.05;
/// Minimum share after the probe of an open circuit breaker succeeded.
const SHARE_AFTER_PROBE: f64 = 0.5;
/// Largest fleet whose gateways start with a share of 1. In larger fleets the initial share is lower, so that gateways
/// that start together do not overload the counter.
const MAX_GATEWAYS_AT_FULL_SHARE: f64 = 50.0;

/// Exponent of the share for client retries, which have low precedence because they were rejected recently.
pub(super) const CLIENT_RETRY_EXPONENT: f64 = 3.0;
/// Bounds of the exponent for other requests.
const MIN_EXPONENT: f64 = 0.25;
const MAX_EXPONENT: f64 = 4.0;
/// Lower bound of the overrun cost, so that no division by zero occurs.
const MIN_OVERRUN_COST: f64 = 1e-9;

/// Returns the exponent of the share for a request. While only a share of the requests query the counter, those that
/// would cost most if wrongly admitted take precedence.
pub(super) fn exponent(is_client_retry: bool, overrun_cost: f64, average_overrun_cost: f64) -> f64 {
    if is_client_retry {
        CLIENT_RETRY_EXPONENT
    } else {
        (average_overrun_cost / overrun_cost.max(MIN_OVERRUN_COST)).clamp(MIN_EXPONENT, MAX_EXPONENT)
    }
}

/// The share of requests that query the counter.
#[derive(Debug, Default)]
pub(super) struct QueryShare {
    share: f64,
    decreased_at: Micros,
    replied_at: Micros,
}

impl QueryShare {
    pub(super) fn new(gateway_count: u32) -> QueryShare {
        let share = (MAX_GATEWAYS_AT_FULL_SHARE / f64::from(gateway_count.max(1))).min(1.0);
        QueryShare { share, ..QueryShare::default() }
    }

    /// Returns the share.
    pub(super) fn get(&self) -> f64 {
        self.share
    }

    /// Records a call that timed out or was rejected. The share is decreased only once for all calls that were in
    /// flight at that time, so that brief congestion does not reduce it to almost nothing.
    pub(super) fn record_failure(&mut self, now: Micros, called_at: Micros) {
        if called_at >= self.decreased_at {
            self.share = (self.share * FAILURE_FACTOR).max(MIN_SHARE);
            self.decreased_at = now;
        }
    }

    /// Records a successful call. `is_probe` states that the call was the probe of an open circuit breaker.
    pub(super) fn record_success(&mut self, now: Micros, is_slow: bool, is_probe: bool) {
        let gap = (now - self.replied_at).as_secs_f64().min(MAX_REPLY_GAP_SECONDS);
        self.replied_at = now;
        let increased = self.share + INCREASE_PER_REPLY.max(INCREASE_PER_SECOND * gap);
        let share = if is_slow { self.share * SLOW_FACTOR } else { increased };
        let min_share = if is_probe { SHARE_AFTER_PROBE } else { MIN_SHARE };
        self.share = share.min(1.0).max(min_share);
    }
}

#[cfg(test)]
mod tests;
