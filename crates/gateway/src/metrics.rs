//! Metrics of a running gateway in the OpenMetrics text format. Every series is created at startup from the names in the
//! configuration, so that clients can't create more of them.
//!
//! Events are counted as they happen. Everything else is read from a [`GatewaySnapshot`] when the metrics are requested.

mod counter_calls;
mod fleet;
mod labels;
mod memory;
mod pool;
mod process;
mod replication;
mod requests;
mod sampled;
mod state;

pub use requests::RequestResult;
pub use state::StateSnapshot;

use crate::fleet::FleetSnapshot;
use crate::memory::MemoryAccount;
use crate::pool::{Counters, Gauges};
use crate::replication::ReplicationMetrics;
use counter_calls::CounterCallMetrics;
use fleet::FleetMetrics;
use lanespan_policy::{ClassId, Micros, Outcome, PlanId};
use lanespan_settings::Site;
use process::ProcessSnapshot;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use requests::RequestMetrics;
use sampled::{SampledCounters, SampledGauges};

/// The prefix of every metric's name.
const PREFIX: &str = "lanespan";

/// The upper bounds of the buckets of duration histograms, in seconds.
const DURATION_BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// The state that is read when the metrics are requested.
pub struct GatewaySnapshot {
    /// The policy engine, the request table and the endpoint list.
    pub state: StateSnapshot,
    /// The current numbers of connections to backends.
    pub pool: Gauges,
    /// The totals of connections to backends since startup.
    pub pool_totals: Counters,
    /// The memory that streams have reserved, in bytes.
    pub stream_reserved_bytes: usize,
    /// The account of the gateway's memory.
    pub memory: MemoryAccount,
    /// The membership protocol, if this gateway is in a fleet.
    pub fleet: Option<FleetSnapshot>,
    /// Replication of the fleet document, if this gateway takes part in it.
    pub replication: Option<ReplicationMetrics>,
}

/// The metrics of a gateway.
pub struct Metrics {
    registry: Registry,
    state: SampledGauges<StateSnapshot>,
    pool: SampledGauges<Gauges>,
    streams: SampledGauges<usize>,
    process: SampledGauges<ProcessSnapshot>,
    memory: SampledGauges<MemoryAccount>,
    memory_totals: SampledCounters<MemoryAccount>,
    pool_totals: SampledCounters<Counters>,
    requests: RequestMetrics,
    counter_calls: CounterCallMetrics,
    fleet: Option<FleetMetrics>,
    replication: Option<SampledGauges<ReplicationMetrics>>,
}

impl Metrics {
    /// Registers all series of a gateway without a fleet. They are listed in the order of registration.
    pub fn new(site: &Site) -> Metrics {
        let mut registry = Registry::with_prefix(PREFIX);
        Metrics {
            state: SampledGauges::register(&mut registry, &state::GAUGES),
            pool: SampledGauges::register(&mut registry, &pool::GAUGES),
            streams: SampledGauges::register(&mut registry, &pool::STREAM_GAUGES),
            process: SampledGauges::register(&mut registry, &process::GAUGES),
            memory: SampledGauges::register(&mut registry, &memory::GAUGES),
            memory_totals: SampledCounters::register(&mut registry, &memory::COUNTERS),
            pool_totals: SampledCounters::register(&mut registry, &pool::COUNTERS),
            requests: RequestMetrics::register(&mut registry, site),
            counter_calls: CounterCallMetrics::register(&mut registry),
            fleet: None,
            replication: None,
            registry,
        }
    }

    /// Adds the series of the membership protocol.
    pub fn register_fleet(&mut self) {
        self.fleet = Some(FleetMetrics::register(&mut self.registry));
    }

    /// Adds the series of replication.
    pub fn register_replication(&mut self) {
        self.replication = Some(SampledGauges::register(&mut self.registry, &replication::GAUGES));
    }

    /// Records the end of a request, and its duration unless the client disconnected.
    pub fn request_ended(&self, class: ClassId, plan: PlanId, result: RequestResult, elapsed: Micros) {
        self.requests.request_ended(class, plan, result, elapsed);
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.requests.attempt_ended(outcome);
    }

    /// Records the end of a call to the counter, and its duration.
    pub fn counter_call_ended(&self, outcome: Outcome, elapsed: Micros) {
        self.counter_calls.call_ended(outcome, elapsed);
    }

    /// Records that the circuit breaker of the counter opened or closed.
    pub fn breaker_changed(&self) {
        self.counter_calls.breaker_changed();
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self, snapshot: &GatewaySnapshot) -> String {
        self.state.sample(&snapshot.state);
        self.pool.sample(&snapshot.pool);
        self.streams.sample(&snapshot.stream_reserved_bytes);
        self.process.sample(&ProcessSnapshot::read());
        self.memory.sample(&snapshot.memory);
        self.memory_totals.sample(&snapshot.memory);
        self.pool_totals.sample(&snapshot.pool_totals);
        if let (Some(metrics), Some(fleet)) = (&self.fleet, &snapshot.fleet) {
            metrics.sample(fleet);
        }
        if let (Some(metrics), Some(replication)) = (&self.replication, &snapshot.replication) {
            metrics.sample(replication);
        }
        let mut text = String::new();
        // Writing to a String can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
