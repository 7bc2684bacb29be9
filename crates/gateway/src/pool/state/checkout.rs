//! Requests that check out a connection or wait for one.

use super::PoolState;
use crate::pool::error::CheckoutError;
use crate::pool::id::{IncarnationId, WaiterId};
use crate::pool::poolable::Poolable;
use tokio::time::Instant;

/// The result of [`PoolState::checkout`].
#[derive(Debug, PartialEq)]
pub enum Checkout<C> {
    /// The request gets an idle connection.
    Idle(C),
    /// The request waits. The caller must do what the fields require.
    Wait {
        /// Whether the caller must dial a connection.
        dial: bool,
        /// When the caller must call [`PoolState::serve_waiter`], because an idle connection settles.
        serve_at: Option<Instant>,
    },
    /// The request gets no connection.
    Denied(CheckoutError),
}

/// What the caller must do for the requests that still wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextStep {
    /// Whether the caller must dial a connection.
    pub dial: bool,
    /// When the caller must call [`PoolState::serve_waiter`].
    pub serve_at: Option<Instant>,
}

impl<C: Poolable> PoolState<C> {
    /// Checks out a connection for a request.
    pub fn checkout(&mut self, now: Instant, id: IncarnationId, waiter: WaiterId) -> Checkout<C> {
        let Some(backend) = self.backends.get_mut(&id).filter(|backend| backend.in_service) else {
            return self.deny(CheckoutError::BackendClosed);
        };
        backend.recent_use.record(now, backend.in_use + backend.waiting.len() + 1);
        // Requests that already wait go first.
        if backend.waiting.is_empty() {
            if let Some(connection) = self.take_idle(now, id) {
                return Checkout::Idle(connection);
            }
        }
        if let Err(error) = self.may_wait(now, id) {
            return self.deny(error);
        }
        self.enqueue(id, waiter);
        let dial = self.dial_for_waiters(now, id);
        // The backend has no connection and cannot get one, because connections to other backends use up the limit.
        if self.held(id) == Some(0) {
            self.remove_waiter(id, waiter);
            return self.deny(CheckoutError::PoolExhausted);
        }
        let serve_at = self.backends.get(&id).and_then(|backend| backend.next_settled_at());
        Checkout::Wait { dial, serve_at }
    }

    /// Returns an error if no further request may wait for a connection to a backend.
    fn may_wait(&self, now: Instant, id: IncarnationId) -> Result<(), CheckoutError> {
        let backend = self.backends.get(&id).ok_or(CheckoutError::BackendClosed)?;
        if backend.backoff.is_failing() && backend.has_no_established_connection() && !backend.may_dial(now) {
            return Err(CheckoutError::Unreachable);
        }
        if backend.waiting.len() >= self.settings.max_backend_waiting {
            return Err(CheckoutError::BackendFull);
        }
        if self.gauges.waiting >= self.settings.max_waiting {
            return Err(CheckoutError::PoolExhausted);
        }
        Ok(())
    }

    fn enqueue(&mut self, id: IncarnationId, waiter: WaiterId) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.waiting.push_back(waiter);
            self.gauges.waiting += 1;
        }
    }

    fn deny(&mut self, error: CheckoutError) -> Checkout<C> {
        self.counters.denied += 1;
        Checkout::Denied(error)
    }

    /// Takes an idle connection and counts it as in use.
    fn take_idle(&mut self, now: Instant, id: IncarnationId) -> Option<C> {
        if self.backends.get(&id)?.is_unresponsive() {
            return None;
        }
        let (_, taken) = self.change_idle(id, |idle| idle.take(now))?;
        self.counters.stale += taken.stale as u64;
        let connection = taken.connection?;
        self.backends.get_mut(&id)?.in_use += 1;
        self.gauges.in_use += 1;
        self.counters.used += 1;
        self.counters.reused += 1;
        Some(connection)
    }

    /// Removes a waiting request that stopped waiting or got a connection.
    pub fn remove_waiter(&mut self, id: IncarnationId, waiter: WaiterId) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        if let Some(index) = backend.waiting.iter().position(|&waiting| waiting == waiter) {
            backend.waiting.remove(index);
            self.gauges.waiting -= 1;
        }
    }

    /// Records that the wait of a request timed out, and returns the reason why it got no connection.
    pub fn wait_timed_out(&mut self, id: IncarnationId) -> CheckoutError {
        self.counters.denied += 1;
        let is_reachable =
            self.backends.get(&id).is_some_and(|backend| backend.in_use + backend.idle.len() > 0);
        match is_reachable {
            true => CheckoutError::BackendFull,
            false => CheckoutError::Unreachable,
        }
    }

    /// Grants a settled idle connection to the request that has waited longest. The caller must repeat the call until
    /// it returns `None`.
    pub fn serve_waiter(&mut self, now: Instant, id: IncarnationId) -> Option<(WaiterId, C)> {
        let waiter = *self.backends.get(&id)?.waiting.front()?;
        let connection = self.take_idle(now, id)?;
        self.remove_waiter(id, waiter);
        Some((waiter, connection))
    }

    /// Returns what the caller must do for the requests that still wait after [`Self::serve_waiter`].
    pub fn next_step(&mut self, now: Instant, id: IncarnationId) -> NextStep {
        let dial = self.dial_for_waiters(now, id);
        NextStep { dial, serve_at: self.next_serve_at(id) }
    }

    /// Returns when the next idle connection settles, if a request waits for one.
    pub(super) fn next_serve_at(&self, id: IncarnationId) -> Option<Instant> {
        let backend = self.backends.get(&id)?;
        if backend.waiting.is_empty() {
            return None;
        }
        backend.next_settled_at()
    }
}
