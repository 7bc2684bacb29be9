//! Snapshots of the engine's state for operators.

use super::Engine;
use crate::balancer::Backend;
use crate::{BackendId, Micros};

/// A snapshot of the state that the engine keeps for one backend.
#[derive(Debug, Clone)]
pub struct BackendSnapshot {
    /// The backend.
    pub backend: BackendId,
    /// Whether the endpoint list has the backend in service.
    pub in_service: bool,
    /// Number of attempts in flight, excluding streams.
    pub in_flight: f64,
    /// Number of streams in progress.
    pub streams: f64,
    /// The limit on attempts in flight from this gateway.
    pub concurrency_limit: f64,
    /// The smoothed share of attempts that failed.
    pub failure_share: f64,
    /// The smoothed latency of successful attempts.
    pub latency: Micros,
    /// Whether the backend is ejected as an outlier, awaits its trial after an ejection, or is paused after it rejected
    /// an attempt.
    pub ejected: bool,
    /// Whether the backend has started recently and slow start limits its share of the load.
    pub warming_up: bool,
}

/// A snapshot of the state of an engine.
#[derive(Debug, Clone)]
pub struct EngineSnapshot {
    /// Whether the circuit breaker for the counter service is open or half-open.
    pub breaker_open: bool,
    /// The share of requests that query the counter.
    pub counter_query_share: f64,
    /// The share of requests of average weight that load shedding admits.
    pub admitted_share: f64,
    /// Number of customers with state.
    pub customers: usize,
    /// Number of requests with state.
    pub requests: usize,
    /// Number of requests that wait for a backend.
    pub waiting_requests: usize,
}

impl Engine {
    /// Returns a snapshot of this engine.
    pub fn snapshot(&self) -> EngineSnapshot {
        EngineSnapshot {
            breaker_open: !self.quotas.counter().breaker_is_closed(),
            counter_query_share: self.quotas.counter().query_share(),
            admitted_share: self.shedder.admitted_share(),
            customers: self.quotas.customer_count(),
            requests: self.requests.len(),
            waiting_requests: self.wait_queue.len(),
        }
    }

    /// Returns a snapshot of each backend, ordered by backend id.
    pub fn backend_snapshots(&self) -> impl Iterator<Item = BackendSnapshot> + '_ {
        let limit_scale = self.balancer.limit_scale(self.now);
        let snapshot = move |(id, backend)| self.backend_snapshot(id, backend, limit_scale);
        self.balancer.backends().map(snapshot)
    }

    fn backend_snapshot(&self, id: BackendId, backend: &Backend, limit_scale: f64) -> BackendSnapshot {
        BackendSnapshot {
            backend: id,
            in_service: backend.in_service,
            in_flight: backend.in_flight,
            streams: backend.streams,
            concurrency_limit: backend.concurrency_limit.scaled(limit_scale),
            failure_share: backend.outlier.failure_share(),
            latency: Micros(backend.latency as u64),
            ejected: backend.outlier.awaits_trial() || backend.outlier.is_excluded(self.now),
            warming_up: backend.slow_start.is_warming_up(),
        }
    }
}
