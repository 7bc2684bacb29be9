//! Averages of latency, failures and load over all backends.

use crate::smoothing::{update_average, update_positive_average, SAMPLE_WEIGHT, SLOW_SAMPLE_WEIGHT};
use crate::Micros;

/// Below this share of failed or late attempts, failures are attributed to individual backends.
const HEALTHY_FAILURE_SHARE: f64 = 0.15;
/// From this reported load on, late responses are treated as overload.
const BUSY_LOAD: f64 = 0.85;
/// Without load reports, there is spare capacity only while the average latency is below this share of the latency
/// objective.
const UNLOADED_LATENCY_SHARE: f64 = 0.5;

/// Averages over the attempts at all backends.
#[derive(Debug, Default)]
pub(super) struct BackendsHealth {
    /// Average latency of successful responses, in microseconds; 0 if unknown.
    latency: f64,
    /// Smoothed share of attempts that failed or exceeded the latency objective.
    failure_share: f64,
    /// Average load, if any backend has reported it.
    load: Option<f64>,
}

impl BackendsHealth {
    pub(super) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    pub(super) fn is_healthy(&self) -> bool {
        self.failure_share < HEALTHY_FAILURE_SHARE
    }

    /// Returns whether the backends can take more work. The reported load decides; without reports, the average latency
    /// must be low and nearly all attempts must succeed in time. This avoids shedding load because of requests that
    /// take long by themselves.
    pub(super) fn has_spare_capacity(&self, objective: Micros) -> bool {
        match self.load {
            Some(load) => load < BUSY_LOAD,
            None => {
                let average_latency = Micros(self.latency as u64);
                self.is_healthy() && average_latency < objective.mul_f64(UNLOADED_LATENCY_SHARE)
            }
        }
    }

    /// Returns the ratio of a backend's latency to the average over all backends, clamped to a range; 1 while the
    /// average is unknown.
    pub(super) fn relative_latency(&self, latency: f64) -> f64 {
        /// The ratio is clamped so that latency alone does not determine the selection.
        const MIN_RATIO: f64 = 0.7;
        const MAX_RATIO: f64 = 2.0;
        if self.latency > 0.0 {
            (latency / self.latency).clamp(MIN_RATIO, MAX_RATIO)
        } else {
            1.0
        }
    }

    pub(super) fn record_result(&mut self, failed_or_late: bool) {
        let sample = if failed_or_late { 1.0 } else { 0.0 };
        update_average(&mut self.failure_share, sample, SLOW_SAMPLE_WEIGHT);
    }

    pub(super) fn record_latency(&mut self, latency: Micros) {
        update_positive_average(&mut self.latency, latency.0 as f64, SAMPLE_WEIGHT);
    }

    pub(super) fn record_load(&mut self, load: Option<f64>) {
        let Some(reported) = load else { return };
        let average = self.load.get_or_insert(reported);
        update_average(average, reported, SAMPLE_WEIGHT);
    }
}
