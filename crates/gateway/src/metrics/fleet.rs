//! Metrics of this gateway's view of the fleet and of the membership protocol's datagrams.

use super::labels::Labels;
use super::sampled::{set_total, CounterSpec, GaugeSpec, SampledCounters, SampledGauges};
use crate::fleet::FleetSnapshot;
use lanespan_fleet::membership::DropReason;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

const DROP_REASON: &str = "why";

const GAUGES: [GaugeSpec<FleetSnapshot>; 4] = [
    GaugeSpec {
        name: "fleet_present",
        help: "Gateways believed present, this one included",
        read: |fleet| fleet.members.active as f64,
    },
    GaugeSpec {
        name: "fleet_suspect",
        help: "Those among them that did not answer somebody",
        read: |fleet| fleet.members.suspect as f64,
    },
    GaugeSpec {
        name: "fleet_gone",
        help: "Gateways that left or are lost, as long as they are remembered",
        read: |fleet| fleet.members.gone as f64,
    },
    GaugeSpec {
        name: "fleet_disagreeing",
        help: "Gateways that lately told another view",
        read: |fleet| fleet.disagreeing as f64,
    },
];

const COUNTERS: [CounterSpec<FleetSnapshot>; 9] = [
    CounterSpec {
        name: "fleet_datagrams_received",
        help: "Datagrams read",
        read: |fleet| fleet.counters.datagrams_received,
    },
    CounterSpec {
        name: "fleet_bytes_received",
        help: "Their bytes",
        read: |fleet| fleet.counters.bytes_received,
    },
    CounterSpec {
        name: "fleet_datagrams_sent",
        help: "Datagrams sent",
        read: |fleet| fleet.counters.datagrams_sent,
    },
    CounterSpec { name: "fleet_bytes_sent", help: "Their bytes", read: |fleet| fleet.counters.bytes_sent },
    CounterSpec {
        name: "fleet_datagrams_unsent",
        help: "Datagrams that the system did not take",
        read: |fleet| fleet.datagrams_unsent,
    },
    CounterSpec {
        name: "fleet_exchanges_asked",
        help: "Full exchanges asked for",
        read: |fleet| fleet.counters.exchanges_requested,
    },
    CounterSpec {
        name: "fleet_exchanges_answered",
        help: "Full exchanges answered",
        read: |fleet| fleet.counters.exchanges_answered,
    },
    CounterSpec {
        name: "fleet_suspicions",
        help: "Times that a gateway was suspected",
        read: |fleet| fleet.counters.suspicions,
    },
    CounterSpec {
        name: "fleet_stalls",
        help: "Times that this process stood still",
        read: |fleet| fleet.counters.stalls,
    },
];

/// The metrics of the fleet.
pub(super) struct FleetMetrics {
    gauges: SampledGauges<FleetSnapshot>,
    counters: SampledCounters<FleetSnapshot>,
    datagrams_dropped: Vec<(DropReason, Counter)>,
}

impl FleetMetrics {
    pub(super) fn register(registry: &mut Registry) -> FleetMetrics {
        let gauges = SampledGauges::register(registry, &GAUGES);
        let counters = SampledCounters::register(registry, &COUNTERS);
        let family = Family::<Labels, Counter>::default();
        registry.register("fleet_datagrams_dropped", "Datagrams not read, by the reason", family.clone());
        let series = |reason: DropReason| {
            let labels = vec![(DROP_REASON, reason.label().to_string())];
            (reason, family.get_or_create(&labels).clone())
        };
        let datagrams_dropped = DropReason::ALL.into_iter().map(series).collect();
        FleetMetrics { gauges, counters, datagrams_dropped }
    }

    pub(super) fn sample(&self, snapshot: &FleetSnapshot) {
        self.gauges.sample(snapshot);
        self.counters.sample(snapshot);
        for (reason, counter) in &self.datagrams_dropped {
            set_total(counter, snapshot.counters.datagrams_dropped.get(*reason));
        }
    }
}
