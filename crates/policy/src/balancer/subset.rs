//! Deterministic subsetting: each gateway prefers its own subset of the backends, so that it collects results from each
//! of them within seconds even if it sees few requests.

use crate::balancer::concurrency_limit::INITIAL_LIMIT;
use crate::balancer::Balancer;
use crate::hash::GOLDEN_RATIO_CONJUGATE;
use crate::{BackendId, Micros};

/// Smallest number of backends in a subset, if there are as many.
const MIN_BACKENDS: f64 = 8.0;
/// Additional backends in a subset for each unit per second that the gateway forwards. A larger subset spreads the load
/// better, a smaller one gives results from each backend sooner.
const BACKENDS_PER_UNIT_RATE: f64 = 1.0;
/// Attempts that all gateways together may have in flight at one backend before any result is known. It is low because
/// a limit that must first be decreased causes late responses.
const FLEET_INITIAL_LIMIT: f64 = 6.0;
/// Lower bound of the number of gateways that share a backend, used as a divisor.
const MIN_SHARING: f64 = 1e-9;

impl Balancer {
    /// Returns the number of backends in this gateway's subset.
    pub(super) fn subset_size(&self, now: Micros) -> usize {
        let wanted = MIN_BACKENDS + BACKENDS_PER_UNIT_RATE * self.forwarded.per_second(now);
        wanted.min(self.ring.len() as f64) as usize
    }

    /// Returns this gateway's share of a backend's concurrency limit: 1 if at most `FLEET_INITIAL_LIMIT /
    /// INITIAL_LIMIT` gateways share the backend, else inversely proportional to their number.
    pub(crate) fn limit_scale(&self, now: Micros) -> f64 {
        let gateways = f64::from(self.settings.gateway_count);
        let sharing = gateways * self.subset_size(now) as f64 / self.ring.len().max(1) as f64;
        (FLEET_INITIAL_LIMIT / INITIAL_LIMIT / sharing.max(MIN_SHARING)).min(1.0)
    }

    /// Returns whether so many gateways share each backend that this gateway's initial limit is below one attempt. It
    /// then sees few requests and rarely learns about customers and backends.
    pub(crate) fn limits_are_fractional(&self, now: Micros) -> bool {
        INITIAL_LIMIT * self.limit_scale(now) < 1.0
    }

    /// Iterates over the backends in service, starting with this gateway's subset.
    pub(super) fn subset_first(&self) -> impl Iterator<Item = BackendId> + '_ {
        let position = (f64::from(self.settings.gateway_index) * GOLDEN_RATIO_CONJUGATE).fract();
        let start = (position * self.ring.len() as f64) as usize;
        self.ring.iter().cycle().skip(start).take(self.ring.len()).copied()
    }
}
