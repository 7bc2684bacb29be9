//! Pauses before calls to a service that all gateways share: exponential backoff with full jitter. Guards against
//! gateways that start together, or lost the service together, and come to it in step.

use std::time::Duration;

/// What each gateway adds to the time over which a fleet spreads its calls, where each call is work for the
/// service: about twelve a second come to it, whatever the number of gateways.
const SHARE: Duration = Duration::from_millis(80);
/// The least bound of a pause after a failure, and how often bounds double.
const LEAST: Duration = Duration::from_millis(100);
const DOUBLINGS: u32 = 1;

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

    /// The pause before a first call.
    pub fn first(&mut self) -> Duration {
        self.spread.mul_f64(self.rng.f64())
    }

    /// The pause after a call that failed: any time up to a bound that doubles.
    pub fn pause(&mut self) -> Duration {
        let bound = self.spread.max(LEAST) * (1 << self.failures);
        self.failures = (self.failures + 1).min(DOUBLINGS);
        bound.mul_f64(self.rng.f64())
    }

    /// A call succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn callers(sharing: u32) -> Vec<Backoff> {
        (0..100).map(|seed| Backoff::new(seed, sharing)).collect()
    }

    /// The most of these moments within any 250 ms.
    fn busiest(mut at: Vec<Duration>) -> usize {
        at.sort();
        let within = |from: &Duration| at.iter().filter(|t| (*from..*from + 3 * LEAST).contains(t)).count();
        at.iter().map(within).max().unwrap_or(0)
    }

    #[test]
    fn a_fleet_that_starts_or_fails_together_does_not_call_together() {
        let mut fleet = callers(100);
        assert!(busiest(fleet.iter_mut().map(Backoff::first).collect()) < 15);
        assert!(busiest(fleet.iter_mut().map(Backoff::pause).collect()) < 15);
        let second: Vec<Duration> = fleet.iter_mut().map(Backoff::pause).collect();
        assert!(second.iter().sum::<Duration>() > 60 * 100 * SHARE, "bounds double: {second:?}");
    }

    #[test]
    fn where_calls_are_free_nothing_waits_for_long() {
        let mut fleet = callers(0);
        assert!(fleet.iter_mut().all(|b| b.first() == Duration::ZERO));
        assert!((0..10).all(|_| fleet.iter_mut().all(|b| b.pause() <= 2 * LEAST)));
    }
}
