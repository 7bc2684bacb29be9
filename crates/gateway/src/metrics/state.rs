//! Metrics of the policy engine, the request table and the endpoint list.

use super::sampled::{flag, GaugeSpec};
use lanespan_policy::EngineSnapshot;
use std::time::Duration;

/// A snapshot of the gateway's state.
pub struct StateSnapshot {
    /// Whether an endpoint list is known.
    pub ready: bool,
    /// The state of the policy engine.
    pub engine: EngineSnapshot,
    /// The number of requests in the request table.
    pub open_requests: usize,
    /// The number of backends in service.
    pub backends: usize,
    /// The time since discovery last sent the endpoint list or changes to it.
    pub endpoint_list_age: Option<Duration>,
}

impl StateSnapshot {
    /// Returns the age of the endpoint list in seconds.
    pub fn endpoint_list_age_seconds(&self) -> Option<f64> {
        self.endpoint_list_age.map(|age| age.as_secs_f64())
    }
}

pub(super) const GAUGES: [GaugeSpec<StateSnapshot>; 9] = [
    GaugeSpec {
        name: "ready",
        help: "Whether the list of backends is in hand",
        read: |state| flag(state.ready),
    },
    GaugeSpec {
        name: "breaker_open",
        help: "Whether the breaker before the counter is open",
        read: |state| flag(state.engine.breaker_open),
    },
    GaugeSpec {
        name: "ask_share",
        help: "Share of requests that ask the counter",
        read: |state| state.engine.counter_query_share,
    },
    GaugeSpec {
        name: "pass_share",
        help: "Part of the requests of usual worth that the backends can take",
        read: |state| state.engine.admitted_share,
    },
    GaugeSpec {
        name: "customers",
        help: "Customers kept in mind",
        read: |state| state.engine.customers as f64,
    },
    GaugeSpec {
        name: "requests_open",
        help: "Requests without their end",
        read: |state| state.open_requests as f64,
    },
    GaugeSpec {
        name: "requests_held",
        help: "Requests that wait for a backend",
        read: |state| state.engine.waiting_requests as f64,
    },
    GaugeSpec { name: "backends", help: "Backends in service", read: |state| state.backends as f64 },
    GaugeSpec {
        name: "discovery_age_seconds",
        help: "Since discovery last told of backends",
        read: |state| state.endpoint_list_age_seconds().unwrap_or(f64::NAN),
    },
];
