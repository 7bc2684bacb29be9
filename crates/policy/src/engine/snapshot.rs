//! The engine's state as operators see it.

use super::Engine;
use crate::balancer::Backend;
use crate::{BackendId, Micros};

/// The state that an engine keeps for one backend.
#[derive(Debug, Clone)]
pub struct BackendSnapshot {
    /// The backend.
    pub backend: BackendId,
    /// It takes new work, as the endpoint list has it.
    pub in_service: bool,
    /// Attempts in flight, streams aside.
    pub in_flight: f64,
    /// Streams under way.
    pub streams: f64,
    /// The limit on attempts in flight from this gateway.
    pub concurrency_limit: f64,
    /// The smoothed share of attempts that failed.
    pub failure_share: f64,
    /// The smoothed latency of successful answers.
    pub latency: Micros,
    /// Left out: ejected as an outlier, awaiting its trial after that, or paused after it rejected an attempt.
    pub ejected: bool,
    /// It has started recently and is given work by slow start.
    pub warming_up: bool,
}

/// The state of an engine.
#[derive(Debug, Clone)]
pub struct EngineSnapshot {
    /// The circuit breaker before the counter is open or half-open.
    pub breaker_open: bool,
    /// The share of requests that query the counter.
    pub counter_query_share: f64,
    /// The share of requests of average weight that load shedding admits.
    pub admitted_share: f64,
    /// Customers with state.
    pub customers: usize,
    /// Requests with state.
    pub requests: usize,
    /// Requests that wait for a backend.
    pub waiting_requests: usize,
}

impl Engine {
    /// The state of this engine.
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

    /// The state kept for each backend, in the order of their ids.
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
