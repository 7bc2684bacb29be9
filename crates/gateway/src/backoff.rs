//! Delays before calls to a service that all gateways share: exponential backoff with full jitter. Jitter keeps
//! gateways that start, or lose the service, at the same time from calling it simultaneously. Gateways that know their
//! number spread their first calls by it, which is more even than chance and therefore needs less time.

use std::time::Duration;

/// The time that each gateway adds to the period over which a fleet spreads its calls. The service then receives about
/// twelve calls per second, independently of the number of gateways.
const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(80);
/// The fractional part of the golden ratio. Its multiples, modulo 1, are evenly distributed for any range of numbers, so
/// that a part of a fleet that restarts spreads its calls as evenly as the whole.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_8;
/// Lower limit of the bound on a delay after a failure.
const MIN_BOUND: Duration = Duration::from_millis(100);
/// How many times the bound doubles over consecutive failures.
const MAX_DOUBLINGS: u32 = 1;
/// Gateways must receive a change within this time after the service has it and can be called, whatever the result of an
/// earlier call.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);
/// A service whose responses take this long counts as slow, and changes still arrive in time.
pub const SLOW_RESPONSE: Duration = Duration::from_millis(2_500);
/// Maximum time from startup to the first call, and from the start of a call that failed or got no response to the start
/// of the next one; the remaining time is for the response to the next call. A large fleet therefore calls at a higher
/// rate than `SPREAD_PER_GATEWAY` implies.
pub const MAX_CALL_INTERVAL: Duration = MAX_CHANGE_DELAY.saturating_sub(SLOW_RESPONSE);

/// Computes the delays between the calls of one caller.
pub struct Backoff {
    rng: fastrand::Rng,
    /// The period over which the first calls of all gateways are spread.
    spread: Duration,
    /// Where in this period the first call is, from 0 to 1; `None` if chance decides.
    position: Option<f64>,
    /// How many times the bound has doubled since the last successful call.
    doublings: u32,
}

impl Backoff {
    /// Creates a backoff. Callers with different seeds have different delays. `gateways` is the number of gateways
    /// whose calls load the service; 0 if calls put no load on it.
    pub fn new(seed: u64, gateways: u32) -> Backoff {
        let rng = fastrand::Rng::with_seed(seed);
        Backoff { rng, spread: SPREAD_PER_GATEWAY * gateways, position: None, doublings: 0 }
    }

    /// Spreads first calls by the number of this gateway, which differs from those of the others.
    pub fn numbered(mut self, gateway_index: u32) -> Backoff {
        self.position = Some((f64::from(gateway_index) * GOLDEN_RATIO_CONJUGATE).fract());
        self
    }

    /// Returns the delay before the first call: up to `max`, or up to less if few gateways share the service.
    pub fn initial_delay(&mut self, max: Duration) -> Duration {
        let period = self.spread.min(max);
        match self.position {
            Some(position) => period.mul_f64(position),
            None => self.jitter(period),
        }
    }

    /// Returns the delay after a failed call that took `elapsed`: random, up to a bound that doubles. The bound limits
    /// the time between the starts of two calls to `MAX_CALL_INTERVAL`, but is at least `MIN_BOUND`.
    pub fn retry_delay(&mut self, elapsed: Duration) -> Duration {
        let bound = self.spread.max(MIN_BOUND) * (1 << self.doublings);
        let remaining = MAX_CALL_INTERVAL.saturating_sub(elapsed).max(MIN_BOUND);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.jitter(bound.min(remaining))
    }

    /// Resets the bound after a successful call.
    pub fn reset(&mut self) {
        self.doublings = 0;
    }

    fn jitter(&mut self, bound: Duration) -> Duration {
        bound.mul_f64(self.rng.f64())
    }
}

#[cfg(test)]
mod tests;
