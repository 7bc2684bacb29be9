//! Outlier detection: a backend that fails while others do not is ejected for a while, then tried with one attempt.

use crate::balancer::backends_health::BackendsHealth;
use crate::smoothing::{update_average, SAMPLE_WEIGHT};
use crate::{Micros, Outcome};

/// Smoothed share of failures from which a backend is an outlier; four failures in a row pass it.
const OUTLIER_FAILURE_SHARE: f64 = 0.3;
/// An outlier fails this many times as often as all backends: an overload must not eject them one by one.
const OUTLIER_FACTOR: f64 = 2.0;
/// How long the first ejection lasts. A backend that was unreachable for longer is taken to have been restarted.
pub(super) const BASE_EJECTION_TIME: Micros = Micros::from_secs(1);
/// How often the time is doubled at most.
const MAX_DOUBLINGS: u32 = 3;
/// The smallest random factor of an ejection's time.
const MIN_EJECTION_JITTER: f64 = 0.75;
/// The width of the range of that factor.
const EJECTION_JITTER_RANGE: f64 = 0.5;
/// How long a backend is left alone that rejected an attempt.
const REJECTION_PAUSE: Micros = Micros::from_millis(100);

/// The random factor of an ejection's time.
pub(super) fn jitter(random: &mut fastrand::Rng) -> f64 {
    MIN_EJECTION_JITTER + EJECTION_JITTER_RANGE * random.f64()
}

/// What is known of one backend's failures.
#[derive(Debug, Default)]
pub(crate) struct OutlierState {
    /// Smoothed share of attempts that failed.
    failure_share: f64,
    /// Until when it is left out: ejected as an outlier, or paused after it rejected an attempt.
    excluded_until: Micros,
    /// How often the time of the next ejection is doubled. Kept over the success that ends a trial, and cleared by the
    /// next one.
    doublings: u32,
    /// It was ejected and has not answered with success since: it gets one attempt at a time.
    awaits_trial: bool,
    /// Since when connections to it have failed.
    unreachable_since: Option<Micros>,
}

impl OutlierState {
    pub(crate) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Ejected, or paused after a rejection.
    pub(crate) fn is_excluded(&self, now: Micros) -> bool {
        now < self.excluded_until
    }

    /// Ejected before, and not answered with success since.
    pub(crate) fn awaits_trial(&self) -> bool {
        self.awaits_trial
    }

    /// An attempt succeeded; since when the backend had been unreachable, if it had.
    pub(super) fn record_success(&mut self) -> Option<Micros> {
        self.failure_share *= 1.0 - SAMPLE_WEIGHT;
        let trial_passed = std::mem::take(&mut self.awaits_trial);
        if trial_passed {
            self.failure_share = 0.0;
        } else {
            self.doublings = 0;
        }
        self.unreachable_since.take()
    }

    /// An attempt failed. Guards against backends that fail fast, hang or are unreachable.
    pub(super) fn record_failure(
        &mut self,
        outcome: Outcome,
        now: Micros,
        all: &BackendsHealth,
        jitter: f64,
    ) {
        if outcome == Outcome::Rejected {
            self.excluded_until = self.excluded_until.max(now + REJECTION_PAUSE);
            return;
        }
        update_average(&mut self.failure_share, 1.0, SAMPLE_WEIGHT);
        let unreachable = outcome == Outcome::ConnectFailed;
        if unreachable {
            self.unreachable_since.get_or_insert(now);
        }
        let outlier_share = OUTLIER_FAILURE_SHARE.max(OUTLIER_FACTOR * all.failure_share());
        let is_outlier = unreachable || self.failure_share > outlier_share;
        if !self.is_excluded(now) && (is_outlier || self.awaits_trial) {
            self.eject(now, jitter);
        }
    }

    fn eject(&mut self, now: Micros, jitter: f64) {
        let factor = f64::from(1 << self.doublings);
        self.excluded_until = now + BASE_EJECTION_TIME.mul_f64(factor * jitter);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.awaits_trial = true;
    }
}
