//! Connections that are opened ahead of demand.

use super::PoolState;
use crate::pool::id::IncarnationId;
use crate::pool::poolable::Poolable;
use std::time::Duration;
use tokio::time::Instant;

impl<C: Poolable> PoolState<C> {
    /// Returns whether the recent use of a backend calls for more connections than it has.
    pub fn wants_preconnect(&self, now: Instant, id: IncarnationId) -> bool {
        let Some(backend) = self.backends.get(&id) else { return false };
        if !backend.in_service || self.stopped {
            return false;
        }
        let wanted = backend.recent_use.wanted_connections(now, self.settings.min_idle_time);
        backend.held() < wanted.min(backend.limit.connections())
            && !backend.backoff.is_failing()
            && !backend.is_unresponsive()
    }

    /// Chooses the backends among `wanting` that get a connection now, each after a random delay of at most `spread`.
    /// The order is random, so that different gateways choose different backends.
    pub fn choose_preconnects(
        &mut self,
        now: Instant,
        mut wanting: Vec<IncarnationId>,
        spread: Duration,
    ) -> Vec<(IncarnationId, Duration)> {
        self.rng.shuffle(&mut wanting);
        let mut chosen = Vec::new();
        for id in wanting {
            if !self.preconnect_bucket.try_take(now, &self.settings) {
                break;
            }
            chosen.push((id, spread.mul_f64(self.rng.f64())));
        }
        chosen
    }

    /// Begins a preconnect after its delay, if the connection is still wanted and no other one has to be closed for it.
    /// Returns whether the caller must dial.
    pub fn begin_preconnect(&mut self, now: Instant, id: IncarnationId) -> bool {
        let wanted = self.wants_preconnect(now, id) && self.gauges.open() < self.settings.max_connections;
        let begun = wanted && self.begin_dial(id);
        self.counters.preconnected += u64::from(begun);
        begun
    }
}
