//! Delays before calls to a service that all gateways share: exponential backoff with full jitter. Jitter keeps
//! gateways that start, or lose the service, at the same time from calling it simultaneously.

use std::time::Duration;

/// The time that each gateway adds to the period over which a fleet spreads its calls. The service then receives about
/// twelve calls per second, independently of the number of gateways.
const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(80);
/// Lower limit of the bound on a delay after a failure.
const MIN_BOUND: Duration = Duration::from_millis(100);
/// How many times the bound doubles over consecutive failures.
const MAX_DOUBLINGS: u32 = 1;
/// Maximum time from startup to the first call, and from the start of a failed call to the start of the next one.
/// Gateways must receive a change within 6 s after discovery has it and can be called, whatever the result of an
/// earlier call; the remaining time is for the response to the next call. A large fleet therefore calls at a higher
/// rate than `SPREAD_PER_GATEWAY` implies.
pub const MAX_CALL_INTERVAL: Duration = Duration::from_secs(5);

/// Computes the delays between the calls of one caller.
pub struct Backoff {
    rng: fastrand::Rng,
    /// The period over which the first calls of all gateways are spread.
    spread: Duration,
    /// How many times the bound has doubled since the last successful call.
    doublings: u32,
}

impl Backoff {
    /// Creates a backoff. Callers with different seeds have different delays. `gateways` is the number of gateways
    /// whose calls load the service; 0 if calls put no load on it.
    pub fn new(seed: u64, gateways: u32) -> Backoff {
        Backoff { rng: fastrand::Rng::with_seed(seed), spread: SPREAD_PER_GATEWAY * gateways, doublings: 0 }
    }

    /// Returns the delay before the first call: random, up to `max`, or up to less if few gateways share the service.
    pub fn initial_delay(&mut self, max: Duration) -> Duration {
        self.jitter(self.spread.min(max))
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
