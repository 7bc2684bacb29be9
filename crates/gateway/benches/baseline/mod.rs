//! The predecessor of the pool in `crates/gateway/src/pool.rs`, kept for comparison: a map of idle connections with a
//! single limit. Connections are dialled on the request path.
#![allow(dead_code, reason = "kept complete for comparison; not every method is called")]

use lanespan_gateway::pool::{Poolable, SETTLE_TIME};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The predecessor of the current pool.
pub struct BaselinePool<C> {
    idle: HashMap<u64, Vec<(C, Instant)>>,
    in_use: usize,
    max_connections: usize,
    max_idle_time: Duration,
}

impl<C: Poolable> BaselinePool<C> {
    /// Creates a pool of at most `max_connections` connections to backends that close connections idle for `conn_idle`.
    pub fn new(max_connections: usize, conn_idle: Duration) -> BaselinePool<C> {
        BaselinePool { idle: HashMap::new(), in_use: 0, max_connections, max_idle_time: conn_idle / 2 }
    }

    /// Checks out an idle connection for a request. Returns `Some(None)` if the caller must dial, and `None` if the limit
    /// is reached.
    pub fn checkout(&mut self, now: Instant, backend: u64) -> Option<Option<C>> {
        if self.in_use >= self.max_connections {
            return None;
        }
        self.in_use += 1;
        while self.held() > self.max_connections - self.in_use {
            self.evict();
        }
        Some(self.take(now, backend))
    }

    fn take(&mut self, now: Instant, backend: u64) -> Option<C> {
        let connections = self.idle.get_mut(&backend)?;
        while let Some(settled) =
            connections.iter().rposition(|(_, released_at)| *released_at + SETTLE_TIME <= now)
        {
            let (mut connection, released_at) = connections.remove(settled);
            if now < released_at + self.max_idle_time && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Releases a connection after its request.
    pub fn release(&mut self, now: Instant, backend: u64, mut connection: C) {
        self.in_use -= 1;
        if connection.is_usable() {
            self.idle.entry(backend).or_default().push((connection, now));
        }
    }

    /// Records that the connection of a request was closed.
    pub fn closed(&mut self) {
        self.in_use -= 1;
    }

    /// Closes all idle connections to a backend.
    pub fn close(&mut self, backend: u64) {
        self.idle.remove(&backend);
    }

    fn evict(&mut self) {
        if let Some(connections) = self
            .idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .max_by_key(|connections| connections.len())
        {
            connections.remove(0);
        }
    }

    fn held(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}
