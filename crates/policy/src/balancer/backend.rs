//! The state of one backend.

use crate::balancer::concurrency_limit::ConcurrencyLimit;
use crate::balancer::outlier_detection::OutlierState;
use crate::balancer::slow_start::SlowStart;
use crate::location::Location;
use crate::smoothing::{update_positive_average, SAMPLE_WEIGHT};
use crate::{CellId, Micros, ZoneId};

/// The state of one backend.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    /// Its capacity against the others'.
    pub(crate) weight: f64,
    /// It takes new work, as the endpoint list has it.
    pub(crate) in_service: bool,
    /// Attempts in flight, streams aside.
    pub(crate) in_flight: f64,
    /// Long transfers under way, which last as long as their clients take.
    pub(crate) streams: f64,
    /// Average latency of successful answers, in microseconds; 0: not known.
    pub(crate) latency: f64,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) outlier: OutlierState,
    pub(crate) slow_start: SlowStart,
}

impl Backend {
    /// A backend that has been started again: nothing of its earlier process counts but what is still in flight.
    pub(super) fn restarted(&self) -> Backend {
        Backend { in_flight: self.in_flight, streams: self.streams, ..Backend::default() }
    }

    pub(crate) fn location(&self) -> Location {
        Location { zone: self.zone, cell: self.cell }
    }

    /// Neither left out nor in its trial with an attempt in flight.
    pub(crate) fn is_available(&self, now: Micros) -> bool {
        !self.outlier.is_excluded(now) && (!self.outlier.awaits_trial() || self.in_flight < 1.0)
    }

    /// An attempt was answered with success.
    pub(super) fn record_success(&mut self, latency: Micros, now: Micros) {
        update_positive_average(&mut self.latency, latency.0 as f64, SAMPLE_WEIGHT);
        let unreachable_since = self.outlier.record_success();
        self.slow_start.start_if_restarted(unreachable_since, now);
    }
}
