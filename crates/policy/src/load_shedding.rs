//! Load shedding: rejects requests at random before they are forwarded. The probability rises with recent overload
//! signals and is highest for requests of low weight.
//!
//! Concurrency limits can't prevent overload when a gateway has too few attempts in flight for the limits to bound
//! them; load shedding covers this case.

use crate::balancer::LoadSignal;
use crate::smoothing::{update_average, SLOW_SAMPLE_WEIGHT};

/// Factor applied to the admitted share after an overload signal.
const DECREASE_FACTOR: f64 = 0.85;
/// Increase of the admitted share after any other signal.
const INCREASE_PER_SIGNAL: f64 = 0.01;
/// Lower bound of the admitted share.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Power to which the ratio of the average weight to a request's weight is raised.
const WEIGHT_POWER: i32 = 2;

/// Sheds load with an admission probability that adapts to load signals.
#[derive(Debug)]
pub(crate) struct LoadShedder {
    /// The share of requests of average weight that is admitted.
    admitted_share: f64,
    /// Exponentially weighted average of the weights of requests.
    average_weight: f64,
}

impl Default for LoadShedder {
    fn default() -> LoadShedder {
        LoadShedder { admitted_share: 1.0, average_weight: 0.0 }
    }
}

impl LoadShedder {
    /// Returns the share of requests of average weight that is admitted.
    pub(crate) fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// Returns whether to reject a request of this weight. Rejects only with fractional limits, because concurrency
    /// limits bound the load otherwise.
    pub(crate) fn should_shed(
        &mut self,
        weight: f64,
        fractional_limits: bool,
        random: &mut fastrand::Rng,
    ) -> bool {
        update_average(&mut self.average_weight, weight, SLOW_SAMPLE_WEIGHT);
        let exponent =
            if weight > 0.0 { (self.average_weight / weight).powi(WEIGHT_POWER) } else { f64::MAX };
        fractional_limits && random.f64() > self.admitted_share.powf(exponent)
    }

    /// Adjusts the admitted share to the load signal of an ended attempt.
    pub(crate) fn record(&mut self, signal: LoadSignal) {
        let share = match signal {
            LoadSignal::Overloaded => self.admitted_share * DECREASE_FACTOR,
            LoadSignal::Normal => self.admitted_share + INCREASE_PER_SIGNAL,
        };
        self.admitted_share = share.clamp(MIN_ADMITTED_SHARE, 1.0);
    }
}
