//! Outlier detection: ejects a backend that fails while others do not, then retries it with one attempt at a time.

use crate::balancer::backends_health::BackendsHealth;
use crate::smoothing::{update_average, SAMPLE_WEIGHT};
use crate::{Micros, Outcome};

/// Smoothed failure share above which a backend is an outlier; four consecutive failures exceed it.
const OUTLIER_FAILURE_SHARE: f64 = 0.3;
/// An outlier's failure share exceeds this multiple of the share of failed or late attempts at all backends, so that an
/// overload does not eject them one by one.
const OUTLIER_FACTOR: f64 = 2.0;
/// Duration of the first ejection. A backend that was unreachable for longer is assumed to have restarted.
pub(super) const BASE_EJECTION_TIME: Micros = Micros::from_secs(1);
/// Maximum number of times that the ejection time is doubled.
const MAX_DOUBLINGS: u32 = 3;
/// Smallest random factor applied to the ejection time.
const MIN_EJECTION_JITTER: f64 = 0.75;
/// Width of the range of the random factor.
const EJECTION_JITTER_RANGE: f64 = 0.5;
/// How long a backend is excluded after it rejected an attempt.
const REJECTION_PAUSE: Micros = Micros::from_millis(100);

/// Draws the random factor for an ejection time.
pub(super) fn jitter(random: &mut fastrand::Rng) -> f64 {
    MIN_EJECTION_JITTER + EJECTION_JITTER_RANGE * random.f64()
}

/// Failure statistics and ejection state of one backend.
#[derive(Debug, Default)]
pub(crate) struct OutlierState {
    /// Smoothed share of attempts that failed.
    failure_share: f64,
    /// End of the current exclusion: an ejection as an outlier, or the pause after a rejected attempt.
    excluded_until: Micros,
    /// How many times the next ejection time is doubled. The success that ends a trial keeps it; the next success
    /// resets it.
    doublings: u32,
    /// Whether it was ejected and no attempt at it has succeeded since. It then gets one attempt at a time.
    awaits_trial: bool,
    /// Time of the first failed connection since the last success.
    unreachable_since: Option<Micros>,
}

impl OutlierState {
    pub(crate) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns whether the backend is ejected, or paused after a rejection.
    pub(crate) fn is_excluded(&self, now: Micros) -> bool {
        now < self.excluded_until
    }

    /// Returns whether the backend was ejected and no attempt at it has succeeded since.
    pub(crate) fn awaits_trial(&self) -> bool {
        self.awaits_trial
    }

    /// Records a success. Returns since when the backend had been unreachable, if it was.
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

    /// Records a failure. Ejects the backend if it is an outlier, unreachable or has failed its trial; a rejected
    /// attempt only pauses it. This keeps requests away from backends that fail fast, hang or are unreachable.
    pub(super) fn record_failure(
        &mut self,
        outcome: Outcome,
        now: Micros,
        backends_health: &BackendsHealth,
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
        let outlier_share = OUTLIER_FAILURE_SHARE.max(OUTLIER_FACTOR * backends_health.failure_share());
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
