//! The state that the balancer keeps for one backend.

use crate::balancer::concurrency_limit::ConcurrencyLimit;
use crate::balancer::outlier_detection::OutlierState;
use crate::balancer::slow_start::SlowStart;
use crate::location::Location;
use crate::smoothing::{update_positive_average, SAMPLE_WEIGHT};
use crate::{CellId, Micros, ZoneId};

/// State of one backend: its endpoint, attempts in flight, and what was learned from earlier results.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    /// Capacity relative to the other backends.
    pub(crate) weight: f64,
    /// Whether it accepts new work according to the endpoint list.
    pub(crate) in_service: bool,
    /// Attempts in flight, excluding streams.
    pub(crate) in_flight: f64,
    /// Active long transfers, whose duration depends on their clients.
    pub(crate) streams: f64,
    /// Average latency of successful responses, in microseconds; 0 if unknown.
    pub(crate) latency: f64,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) outlier: OutlierState,
    pub(crate) slow_start: SlowStart,
}

impl Backend {
    /// Returns the state after a restart. Only attempts and streams still in flight are kept from the previous process.
    pub(super) fn restarted(&self) -> Backend {
        Backend { in_flight: self.in_flight, streams: self.streams, ..Backend::default() }
    }

    pub(crate) fn location(&self) -> Location {
        Location { zone: self.zone, cell: self.cell }
    }

    /// Returns whether the backend is neither excluded nor busy with its trial attempt.
    pub(crate) fn is_available(&self, now: Micros) -> bool {
        !self.outlier.is_excluded(now) && (!self.outlier.awaits_trial() || self.in_flight < 1.0)
    }

    /// Records an attempt that succeeded.
    pub(super) fn record_success(&mut self, latency: Micros, now: Micros) {
        update_positive_average(&mut self.latency, latency.0 as f64, SAMPLE_WEIGHT);
        let unreachable_since = self.outlier.record_success();
        self.slow_start.start_if_restarted(unreachable_since, now);
    }
}
