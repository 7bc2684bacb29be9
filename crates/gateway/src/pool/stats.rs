//! Counters and gauges of the pool.

/// Totals since startup.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counters {
    /// Connections granted to requests.
    pub used: u64,
    /// Granted connections that had been idle in the pool.
    pub reused: u64,
    /// Dials that were started, including those ahead of demand.
    pub dials: u64,
    /// Dials that were started ahead of demand.
    pub preconnected: u64,
    /// Dials that failed.
    pub failed: u64,
    /// Idle connections that were found unusable at checkout: closed, with unread data, or too old.
    pub stale: u64,
    /// Idle connections closed because of their age or because their backend had closed them.
    pub retired: u64,
    /// Idle connections closed to stay within a limit.
    pub evicted: u64,
    /// Requests that got no connection.
    pub denied: u64,
}

/// The current state.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Gauges {
    /// Idle connections.
    pub idle: usize,
    /// Connections that are checked out for a request.
    pub in_use: usize,
    /// Connections that are being dialled.
    pub dialling: usize,
    /// Requests that wait for a connection.
    pub waiting: usize,
}

impl Gauges {
    /// Returns the number of connections that hold a descriptor.
    pub fn open(&self) -> usize {
        self.idle + self.in_use + self.dialling
    }
}
