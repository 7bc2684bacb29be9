//! Pauses before calls to a service that all gateways share: exponential backoff with full jitter. Guards against
//! gateways that start together, or lost the service together, and come to it in step.

use std::time::Duration;

/// What each gateway adds to the time over which a fleet spreads its calls, where each call is work for the
/// service: about twelve a second come to it, whatever the number of gateways.
const SHARE: Duration = Duration::from_millis(80);
/// The least bound of a pause after a failure, and how often bounds double.
const LEAST: Duration = Duration::from_millis(100);
const DOUBLINGS: u32 = 1;
/// The longest time from the start to the first call, and from the begin of a call that failed to that of the next.
/// A change counts as told 6 s after discovery had it and could be reached, whatever became of a call before;
/// the rest of that time is for the next call's answer. So a large fleet calls at a higher rate than `SHARE` asks for.
pub const MAX_BETWEEN_CALLS: Duration = Duration::from_secs(5);

/// The pauses of one caller.
pub struct Backoff {
    rng: fastrand::Rng,
    /// Over so much time the first calls of all gateways spread.
    spread: Duration,
    failures: u32,
}

impl Backoff {
    /// Callers with different seeds pause for different times. `sharing` gateways load the service with their
    /// calls, 0 where calls are free.
    pub fn new(seed: u64, sharing: u32) -> Backoff {
        Backoff { rng: fastrand::Rng::with_seed(seed), spread: SHARE * sharing, failures: 0 }
    }

    /// The pause before a first call: any time up to this one, or less where fewer share the service.
    pub fn first(&mut self, longest: Duration) -> Duration {
        self.spread.min(longest).mul_f64(self.rng.f64())
    }

    /// The pause after a call that failed and took so long: any time up to a bound that doubles, and that leaves no
    /// more than `MAX_BETWEEN_CALLS` between the two calls' begins.
    pub fn pause(&mut self, call: Duration) -> Duration {
        let bound = self.spread.max(LEAST) * (1 << self.failures);
        let left = MAX_BETWEEN_CALLS.saturating_sub(call).max(LEAST);
        self.failures = (self.failures + 1).min(DOUBLINGS);
        bound.min(left).mul_f64(self.rng.f64())
    }

    /// A call succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
