//! The state machine of the pool: which request gets which connection, which requests wait, and when a connection is
//! dialled. It does no I/O and has no timers or tasks: callers pass the time in, and the same calls with the same seed
//! produce the same results.
//!
//! | module | job |
//! | --- | --- |
//! | `checkout` | requests that check out a connection or wait for one |
//! | `release` | connections that are released or closed |
//! | `dial` | connections that are being dialled |
//! | `eviction` | idle connections that are closed to stay within the limits |
//! | `preconnect` | connections that are opened ahead of demand |

mod checkout;
mod dial;
mod eviction;
mod preconnect;
mod release;

pub use checkout::{Checkout, NextStep};
pub use dial::DialResult;
pub use release::SETTLE_TIME;

use super::backend_state::BackendState;
use super::id::{IncarnationId, WaiterId};
use super::idle::IdleConnections;
use super::poolable::Poolable;
use super::preconnect::PreconnectBucket;
use super::settings::PoolSettings;
use super::stats::{Counters, Gauges};
use std::collections::HashMap;
use tokio::time::Instant;

/// The state machine of the pool.
pub struct PoolState<C> {
    settings: PoolSettings,
    rng: fastrand::Rng,
    backends: HashMap<IncarnationId, BackendState<C>>,
    last_incarnation: IncarnationId,
    gauges: Gauges,
    counters: Counters,
    /// The number of backends with idle connections.
    backends_with_idle: usize,
    preconnect_bucket: PreconnectBucket,
    /// Whether the pool was stopped and keeps no idle connections.
    stopped: bool,
}

impl<C: Poolable> PoolState<C> {
    /// Creates a pool without backends.
    pub fn new(settings: PoolSettings, seed: u64) -> PoolState<C> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let preconnect_bucket = PreconnectBucket::new(rng.f64() * settings.preconnect_burst as f64);
        PoolState {
            settings,
            rng,
            backends: HashMap::new(),
            last_incarnation: IncarnationId(0),
            gauges: Gauges::default(),
            counters: Counters::default(),
            backends_with_idle: 0,
            preconnect_bucket,
            stopped: false,
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Returns the current gauges.
    pub fn gauges(&self) -> Gauges {
        self.gauges
    }

    /// Returns the totals since startup.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the adaptive limit on the connections to a backend.
    pub fn connection_limit(&self, id: IncarnationId) -> Option<usize> {
        self.backends.get(&id).map(|backend| backend.limit.connections())
    }

    /// Returns the number of connections to a backend, including those being dialled.
    pub fn held(&self, id: IncarnationId) -> Option<usize> {
        self.backends.get(&id).map(BackendState::held)
    }

    /// Returns the number of connections to a backend that are being dialled.
    pub fn dialling(&self, id: IncarnationId) -> usize {
        self.backends.get(&id).map_or(0, |backend| backend.dialling)
    }

    /// Adds a backend. It inherits the recent use of its earlier incarnation, if there is one.
    pub fn add(&mut self, predecessor_id: Option<IncarnationId>) -> IncarnationId {
        let predecessor = predecessor_id.and_then(|id| self.backends.get(&id));
        let recent_use = predecessor.map(|backend| backend.recent_use.clone()).unwrap_or_default();
        self.last_incarnation.0 += 1;
        let backend = BackendState::new(&self.settings, recent_use);
        self.backends.insert(self.last_incarnation, backend);
        self.last_incarnation
    }

    /// Takes a backend out of service and closes its idle connections. Returns the requests that waited for one.
    pub fn close(&mut self, id: IncarnationId) -> Vec<WaiterId> {
        self.close_all_idle(id);
        let Some(backend) = self.backends.get_mut(&id) else { return Vec::new() };
        backend.in_service = false;
        let waiters: Vec<WaiterId> = backend.waiting.drain(..).collect();
        self.gauges.waiting -= waiters.len();
        self.forget_if_finished(id);
        waiters
    }

    /// Closes all idle connections. From now on, released connections are closed as well.
    pub fn stop(&mut self) {
        self.stopped = true;
        let all: Vec<IncarnationId> = self.backends.keys().copied().collect();
        for id in all {
            self.close_all_idle(id);
        }
    }

    /// Applies new settings. Connections in use stay open until they are released.
    pub fn configure(&mut self, settings: PoolSettings) {
        self.settings = settings;
        self.backends.values_mut().for_each(|backend| backend.limit.configure(&settings));
        self.evict_to_connection_limit();
        self.evict_to_backend_limit();
    }

    /// Records that a backend responded successfully to a request.
    pub fn request_succeeded(&mut self, now: Instant, id: IncarnationId) {
        let jitter = self.rng.f64();
        if let Some(backend) = self.backends.get_mut(&id) {
            let held = backend.held();
            backend.limit.request_succeeded(now, held, jitter, &self.settings);
            backend.responded();
        }
    }

    /// Records that a backend rejected a request.
    pub fn request_rejected(&mut self, now: Instant, id: IncarnationId) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.limit.request_rejected(now, backend.in_use, &self.settings);
            backend.responded();
        }
    }

    /// Records that a backend responded in any other way.
    pub fn backend_responded(&mut self, id: IncarnationId) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.responded();
        }
    }

    /// Records that an attempt timed out without receiving a byte from the backend.
    pub fn timed_out_silently(&mut self, id: IncarnationId) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.timed_out_silently();
        }
    }

    /// Changes a backend's idle connections and updates the gauges of the pool. Returns the number of connections
    /// removed and the result of `change`.
    fn change_idle<R>(
        &mut self,
        id: IncarnationId,
        change: impl FnOnce(&mut IdleConnections<C>) -> R,
    ) -> Option<(usize, R)> {
        let backend = self.backends.get_mut(&id)?;
        let before = backend.idle.len();
        let result = change(&mut backend.idle);
        let after = backend.idle.len();
        self.gauges.idle = self.gauges.idle + after - before;
        self.backends_with_idle += usize::from(after > 0);
        self.backends_with_idle -= usize::from(before > 0);
        Some((before.saturating_sub(after), result))
    }

    /// Removes a backend that is out of service, once no connection is in use or being dialled.
    fn forget_if_finished(&mut self, id: IncarnationId) {
        if self.backends.get(&id).is_some_and(BackendState::is_finished) {
            self.backends.remove(&id);
        }
    }
}
