//! Connections that are released after their request, or closed.

use super::PoolState;
use crate::pool::id::IncarnationId;
use crate::pool::poolable::Poolable;
use std::time::Duration;
use tokio::time::Instant;

/// The pause after a response before its connection is used again. Without it, excess bytes that follow a response but
/// arrive only after the socket was checked could be mistaken for the response to the next request.
pub const SETTLE_TIME: Duration = Duration::from_millis(5);

impl<C: Poolable> PoolState<C> {
    /// Releases a connection. If it is `used`, a request was written to it and it must settle before it is used again.
    /// Returns when the caller must call [`Self::serve_waiter`], if a request waits for a connection.
    pub fn release(
        &mut self,
        now: Instant,
        id: IncarnationId,
        mut connection: C,
        used: bool,
    ) -> Option<Instant> {
        self.gauges.in_use -= 1;
        let jitter = self.rng.f64();
        let backend = self.backends.get_mut(&id)?;
        backend.in_use -= 1;
        let may_keep = backend.in_service && !self.stopped && !backend.is_at_limit();
        let is_awaited = backend.in_service && backend.waiting.len() > backend.idle.len();
        if (may_keep && connection.is_usable()) || (is_awaited && connection.is_usable()) {
            let settled_at = if used { now + SETTLE_TIME } else { now };
            let (min, max) = (self.settings.min_idle_time, self.settings.max_idle_time);
            let retire_at = now + min + (max - min).mul_f64(jitter);
            self.change_idle(id, |idle| idle.push(connection, settled_at, retire_at));
            self.evict_to_backend_limit();
            self.evict_to_connection_limit();
        }
        self.forget_if_finished(id);
        self.next_serve_at(id)
    }

    /// Records that a checked-out connection was closed. Returns whether the caller must dial another one for a waiting
    /// request.
    pub fn connection_closed(&mut self, now: Instant, id: IncarnationId) -> bool {
        self.gauges.in_use -= 1;
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.in_use -= 1;
        }
        self.forget_if_finished(id);
        self.dial_for_waiters(now, id)
    }
}
