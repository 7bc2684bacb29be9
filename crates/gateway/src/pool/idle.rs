//! The idle connections to one backend.

use super::poolable::Poolable;
use tokio::time::Instant;

struct IdleConnection<C> {
    connection: C,
    /// When the connection may be used again.
    settled_at: Instant,
    /// When the connection is closed.
    retire_at: Instant,
}

/// The idle connections to one backend, in the order in which they were released. The connection released last is used
/// first, so that surplus connections age and are retired.
pub(super) struct IdleConnections<C>(Vec<IdleConnection<C>>);

/// The result of [`IdleConnections::take`].
pub(super) struct TakeResult<C> {
    /// A connection that can carry a request.
    pub(super) connection: Option<C>,
    /// How many connections were closed because they could not.
    pub(super) stale: usize,
}

impl<C: Poolable> IdleConnections<C> {
    pub(super) fn new() -> IdleConnections<C> {
        IdleConnections(Vec::new())
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a released connection.
    pub(super) fn push(&mut self, connection: C, settled_at: Instant, retire_at: Instant) {
        self.0.push(IdleConnection { connection, settled_at, retire_at });
    }

    /// Takes the settled connection that was released last and can carry a request. Closes those found unusable.
    pub(super) fn take(&mut self, now: Instant) -> TakeResult<C> {
        let mut stale = 0;
        while let Some(index) = self.0.iter().rposition(|idle| idle.settled_at <= now) {
            let mut idle = self.0.remove(index);
            let connection = &mut idle.connection;
            if now < idle.retire_at && connection.is_usable() && connection.has_no_unread_data() {
                return TakeResult { connection: Some(idle.connection), stale };
            }
            stale += 1;
        }
        TakeResult { connection: None, stale }
    }

    /// Returns when the first connection may be used.
    pub(super) fn first_settled_at(&self) -> Option<Instant> {
        self.0.iter().map(|idle| idle.settled_at).min()
    }

    /// Closes the connection that was released first.
    pub(super) fn close_first_released(&mut self) {
        self.0.remove(0);
    }

    /// Closes the connection that has been idle longest.
    pub(super) fn close_longest_idle(&mut self) {
        if let Some(index) = (0..self.0.len()).min_by_key(|&index| self.0[index].settled_at) {
            self.0.remove(index);
        }
    }

    /// Closes connections that are too old or were closed by the backend.
    pub(super) fn retire(&mut self, now: Instant) {
        self.0.retain_mut(|idle| now < idle.retire_at && idle.connection.is_usable());
    }

    /// Closes all connections.
    pub(super) fn close_all(&mut self) {
        self.0.clear();
    }
}
