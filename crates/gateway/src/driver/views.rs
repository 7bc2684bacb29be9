//! Reports for operators: metrics, readiness and the state as JSON.

use super::endpoints::Endpoints;
use super::events::{AdminQuery, AdminReport};
use super::request_table::RequestOrigin;
use crate::fleet::FleetSnapshot;
use crate::metrics::{GatewaySnapshot, Metrics, RequestResult, StateSnapshot};
use crate::pool::{Gauges, Pool};
use crate::relay::StreamLimits;
use crate::replication::ReplicationMetrics;
use lanespan_policy::{BackendSnapshot, Engine, Micros, Outcome};
use serde_json::{json, Value};

/// Maximum number of backends listed in the state report.
const MAX_LISTED_BACKENDS: usize = 1_000;

/// Returns a snapshot of another part of the gateway.
type SnapshotSource<S> = Box<dyn Fn() -> S>;

/// The driver's state on which reports are based.
pub(super) struct DriverState<'a> {
    pub(super) engine: &'a Engine,
    pub(super) endpoints: &'a Endpoints,
    pub(super) pool: &'a Pool,
    pub(super) streams: &'a StreamLimits,
    pub(super) open_requests: usize,
}

/// Records metrics and builds reports for operators.
pub(super) struct OperatorViews {
    /// Present if metrics are collected.
    metrics: Option<Metrics>,
    fleet: Option<SnapshotSource<FleetSnapshot>>,
    replication: Option<SnapshotSource<ReplicationMetrics>>,
    breaker_open: bool,
}

impl OperatorViews {
    pub(super) fn new(metrics: Option<Metrics>) -> OperatorViews {
        OperatorViews { metrics, fleet: None, replication: None, breaker_open: false }
    }

    /// Includes the membership protocol in metrics and reports from now on.
    pub(super) fn show_fleet(&mut self, source: SnapshotSource<FleetSnapshot>) {
        if let Some(metrics) = &mut self.metrics {
            metrics.register_fleet();
        }
        self.fleet = Some(source);
    }

    /// Includes replication in metrics from now on.
    pub(super) fn show_replication(&mut self, source: SnapshotSource<ReplicationMetrics>) {
        if let Some(metrics) = &mut self.metrics {
            metrics.register_replication();
        }
        self.replication = Some(source);
    }

    /// Records that a request ended at `now`.
    pub(super) fn request_ended(&self, origin: RequestOrigin, result: RequestResult, now: Micros) {
        if let Some(metrics) = &self.metrics {
            metrics.request_ended(origin.class, origin.plan, result, now - origin.accepted_at);
        }
    }

    /// Records that an attempt ended.
    pub(super) fn attempt_ended(&self, outcome: Outcome) {
        if let Some(metrics) = &self.metrics {
            metrics.attempt_ended(outcome);
        }
    }

    /// Records that a call to the counter ended after `elapsed`.
    pub(super) fn counter_call_ended(&self, outcome: Outcome, elapsed: Micros) {
        if let Some(metrics) = &self.metrics {
            metrics.counter_call_ended(outcome, elapsed);
        }
    }

    /// Counts state changes of the circuit breaker that protects the counter.
    pub(super) fn watch_breaker(&mut self, engine: &Engine) {
        let Some(metrics) = &self.metrics else { return };
        let open = engine.snapshot().breaker_open;
        if open != self.breaker_open {
            self.breaker_open = open;
            metrics.breaker_changed();
        }
    }

    /// Answers an operator's query.
    pub(super) fn report(&self, query: AdminQuery, driver: &DriverState) -> AdminReport {
        match query {
            AdminQuery::Ready => AdminReport::Ready(driver.endpoints.status().ready.get()),
            AdminQuery::Metrics => AdminReport::Metrics(self.metrics_text(driver)),
            AdminQuery::State => AdminReport::State(self.state_json(driver)),
        }
    }

    fn metrics_text(&self, driver: &DriverState) -> String {
        let Some(metrics) = &self.metrics else { return String::new() };
        metrics.text(&GatewaySnapshot {
            state: state_snapshot(driver),
            pool: driver.pool.gauges(),
            pool_totals: driver.pool.counters(),
            stream_reserved_bytes: driver.streams.reserved_bytes(),
            memory: driver.streams.account().clone(),
            fleet: self.fleet.as_ref().map(|source| source()),
            replication: self.replication.as_ref().map(|source| source()),
        })
    }

    fn state_json(&self, driver: &DriverState) -> Value {
        let state = state_snapshot(driver);
        let engine = &state.engine;
        let backends = driver.engine.backend_snapshots().take(MAX_LISTED_BACKENDS);
        json!({
            "ready": state.ready,
            "discovery_age_s": state.endpoint_list_age_seconds(),
            "counter": { "breaker_open": engine.breaker_open, "ask_share": engine.counter_query_share },
            "pass_share": engine.admitted_share,
            "customers": engine.customers,
            "requests_open": state.open_requests,
            "requests_held": engine.waiting_requests,
            "stream_bytes_reserved": driver.streams.reserved_bytes(),
            "pool": pool_json(&driver.pool.gauges()),
            "fleet": self.fleet.as_ref().map(|source| fleet_json(&source())),
            "backends_known": state.backends,
            "backends": backends.map(|backend| backend_json(&backend, driver.endpoints)).collect::<Vec<_>>(),
        })
    }
}

fn state_snapshot(driver: &DriverState) -> StateSnapshot {
    StateSnapshot {
        ready: driver.endpoints.status().ready.get(),
        engine: driver.engine.snapshot(),
        open_requests: driver.open_requests,
        backends: driver.endpoints.len(),
        endpoint_list_age: driver.endpoints.age(),
    }
}

fn backend_json(backend: &BackendSnapshot, endpoints: &Endpoints) -> Value {
    json!({
        "id": endpoints.name(backend.backend),
        "address": endpoints.address(backend.backend),
        "listed": backend.in_service,
        "out": backend.in_flight,
        "streams": backend.streams,
        "limit": backend.concurrency_limit,
        "fail_share": backend.failure_share,
        "latency_us": backend.latency.0,
        "ejected": backend.ejected,
        "cold": backend.warming_up,
    })
}

fn pool_json(pool: &Gauges) -> Value {
    json!({
        "idle": pool.idle,
        "in_use": pool.in_use,
        "dialling": pool.dialling,
        "waiting": pool.waiting,
    })
}

fn fleet_json(fleet: &FleetSnapshot) -> Value {
    json!({
        "present": fleet.members.active,
        "suspect": fleet.members.suspect,
        "gone": fleet.members.gone,
        "disagreeing": fleet.disagreeing,
    })
}
