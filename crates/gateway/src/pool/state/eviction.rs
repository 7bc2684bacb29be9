//! Closes idle connections that exceed a limit or are too old.

use super::PoolState;
use crate::pool::id::IncarnationId;
use crate::pool::poolable::Poolable;
use tokio::time::Instant;

impl<C: Poolable> PoolState<C> {
    /// Closes idle connections until the limit on all connections is met.
    pub(super) fn evict_to_connection_limit(&mut self) {
        while self.gauges.open() > self.settings.max_connections && self.evict_longest_idle() {}
    }

    /// Closes idle connections until the limit on backends with idle connections is met.
    pub(super) fn evict_to_backend_limit(&mut self) {
        while self.backends_with_idle > self.settings.max_idle_backends && self.evict_least_recently_used() {}
    }

    /// Closes the connection that has been idle longest. Returns whether there was one.
    pub(super) fn evict_longest_idle(&mut self) -> bool {
        let candidates = self.backends.iter();
        let oldest =
            candidates.filter_map(|(&id, backend)| Some((backend.idle.first_settled_at()?, id))).min();
        let Some((_, id)) = oldest else { return false };
        self.change_idle(id, |idle| idle.close_longest_idle());
        self.counters.evicted += 1;
        true
    }

    /// Closes the idle connections to the least recently used backend. Returns whether there was one.
    fn evict_least_recently_used(&mut self) -> bool {
        let with_idle = self.backends.iter().filter(|(_, backend)| !backend.idle.is_empty());
        let oldest = with_idle.map(|(&id, backend)| (backend.recent_use.last_request(), id)).min();
        let Some((_, id)) = oldest else { return false };
        self.counters.evicted += self.close_all_idle(id) as u64;
        true
    }

    /// Closes a backend's idle connections and returns their number.
    pub(super) fn close_all_idle(&mut self, id: IncarnationId) -> usize {
        self.change_idle(id, |idle| idle.close_all()).map_or(0, |(closed, ())| closed)
    }

    /// Closes idle connections that are too old or were closed by their backend.
    pub fn retire(&mut self, now: Instant) {
        let with_idle = self.backends.iter().filter(|(_, backend)| !backend.idle.is_empty());
        let with_idle: Vec<IncarnationId> = with_idle.map(|(&id, _)| id).collect();
        for id in with_idle {
            let retired = self.change_idle(id, |idle| idle.retire(now)).map_or(0, |(retired, ())| retired);
            self.counters.retired += retired as u64;
        }
    }
}
