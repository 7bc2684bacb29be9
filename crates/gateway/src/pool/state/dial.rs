//! Connections that are being dialled.

use super::PoolState;
use crate::pool::error::DialError;
use crate::pool::id::{IncarnationId, WaiterId};
use crate::pool::poolable::Poolable;
use tokio::time::Instant;

/// The result of [`PoolState::dial_ended`].
#[derive(Debug, PartialEq)]
pub struct DialResult<C> {
    /// The request that gets the connection, if one waits.
    pub granted: Option<(WaiterId, C)>,
    /// The requests that get no connection, because the backend is unreachable.
    pub denied: Vec<WaiterId>,
    /// Whether the caller must dial another connection.
    pub dial: bool,
}

impl<C: Poolable> PoolState<C> {
    /// Begins a dial if more requests wait than connections are expected to become free. Returns whether the caller
    /// must dial. There is one dial per request: each connection that settles or is being dialled already serves one of
    /// them.
    pub(super) fn dial_for_waiters(&mut self, now: Instant, id: IncarnationId) -> bool {
        let Some(backend) = self.backends.get(&id) else { return false };
        backend.in_service
            && backend.waiting.len() > backend.expected_connections()
            && backend.may_dial(now)
            && self.begin_dial(id)
    }

    /// Counts a new dial if the limits allow another connection or an idle one can be closed for it. Returns whether
    /// the caller must dial.
    pub(super) fn begin_dial(&mut self, id: IncarnationId) -> bool {
        let Some(backend) = self.backends.get(&id) else { return false };
        if backend.is_unresponsive() && backend.is_at_limit() && !backend.idle.is_empty() {
            // An unusable idle connection is closed in favor of one that may prove that the backend is reachable.
            self.change_idle(id, |idle| idle.close_first_released());
            self.counters.evicted += 1;
        }
        if self.backends.get(&id).is_none_or(|backend| backend.is_at_limit()) {
            return false;
        }
        if self.gauges.open() >= self.settings.max_connections && !self.evict_longest_idle() {
            return false;
        }
        let Some(backend) = self.backends.get_mut(&id) else { return false };
        backend.dialling += 1;
        self.gauges.dialling += 1;
        self.counters.dials += 1;
        true
    }

    /// Processes the end of a dial.
    pub fn dial_ended(
        &mut self,
        now: Instant,
        id: IncarnationId,
        result: Result<C, DialError>,
    ) -> DialResult<C> {
        self.gauges.dialling -= 1;
        let (granted, denied) = match result {
            Ok(connection) => (self.dial_succeeded(now, id, connection), Vec::new()),
            Err(error) => (None, self.dial_failed(now, id, error)),
        };
        self.forget_if_finished(id);
        let dial = self.dial_for_waiters(now, id);
        DialResult { granted, denied, dial }
    }

    fn dial_succeeded(&mut self, now: Instant, id: IncarnationId, connection: C) -> Option<(WaiterId, C)> {
        let backend = self.backends.get_mut(&id)?;
        backend.dialling -= 1;
        backend.backoff.succeeded();
        backend.responded();
        // The connection counts as in use until it is granted to the longest waiting request or released to the pool.
        backend.in_use += 1;
        self.gauges.in_use += 1;
        if let Some(waiter) = backend.waiting.pop_front() {
            self.gauges.waiting -= 1;
            self.counters.used += 1;
            return Some((waiter, connection));
        }
        self.release(now, id, connection, false);
        None
    }

    /// Starts the pause before the next dial and returns the requests that get no connection.
    fn dial_failed(&mut self, now: Instant, id: IncarnationId, error: DialError) -> Vec<WaiterId> {
        self.counters.failed += 1;
        let jitter = self.rng.f64();
        let Some(backend) = self.backends.get_mut(&id) else { return Vec::new() };
        backend.dialling -= 1;
        backend.backoff.failed(now, jitter, &self.settings);
        let established = backend.idle.len() + backend.in_use;
        match error {
            DialError::Refused if established > 0 => {
                backend.limit.dial_refused(now, established, &self.settings);
            }
            DialError::Refused => {}
            DialError::TimedOut => backend.timed_out_silently(),
        }
        // An established connection may become free for the waiting requests. If there is none, the request for which
        // this connection was dialled is denied, and so are the requests for which no other dial is in progress.
        let mut denied = Vec::new();
        if backend.has_no_established_connection() {
            denied.extend(backend.waiting.pop_front());
            let without_dial = backend.waiting.len().saturating_sub(backend.dialling);
            denied.extend(backend.waiting.drain(..without_dial));
        }
        self.gauges.waiting -= denied.len();
        self.counters.denied += denied.len() as u64;
        denied
    }
}
