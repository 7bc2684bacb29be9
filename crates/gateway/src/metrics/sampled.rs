//! Metrics whose values are read from a snapshot when the metrics are requested.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// A gauge and the function that reads its value from a snapshot of type `S`.
pub(super) struct GaugeSpec<S> {
    pub(super) name: &'static str,
    pub(super) help: &'static str,
    pub(super) read: fn(&S) -> f64,
}

/// A counter and the function that reads its total from a snapshot of type `S`.
pub(super) struct CounterSpec<S> {
    pub(super) name: &'static str,
    pub(super) help: &'static str,
    pub(super) read: fn(&S) -> u64,
}

/// Registered gauges that are read from one type of snapshot.
pub(super) struct SampledGauges<S: 'static> {
    gauges: Vec<(Gauge<f64, AtomicU64>, &'static GaugeSpec<S>)>,
}

impl<S> SampledGauges<S> {
    pub(super) fn register(registry: &mut Registry, specs: &'static [GaugeSpec<S>]) -> SampledGauges<S> {
        let register = |spec: &'static GaugeSpec<S>| {
            let gauge = Gauge::default();
            registry.register(spec.name, spec.help, Gauge::clone(&gauge));
            (gauge, spec)
        };
        SampledGauges { gauges: specs.iter().map(register).collect() }
    }

    pub(super) fn sample(&self, snapshot: &S) {
        for (gauge, spec) in &self.gauges {
            gauge.set((spec.read)(snapshot));
        }
    }
}

/// Registered counters whose totals are read from one type of snapshot.
pub(super) struct SampledCounters<S: 'static> {
    counters: Vec<(Counter, &'static CounterSpec<S>)>,
}

impl<S> SampledCounters<S> {
    pub(super) fn register(registry: &mut Registry, specs: &'static [CounterSpec<S>]) -> SampledCounters<S> {
        let register = |spec: &'static CounterSpec<S>| {
            let counter = Counter::default();
            registry.register(spec.name, spec.help, Counter::clone(&counter));
            (counter, spec)
        };
        SampledCounters { counters: specs.iter().map(register).collect() }
    }

    pub(super) fn sample(&self, snapshot: &S) {
        for (counter, spec) in &self.counters {
            set_total(counter, (spec.read)(snapshot));
        }
    }
}

/// Sets a counter to a total that is maintained elsewhere.
pub(super) fn set_total(counter: &Counter, total: u64) {
    counter.inner().store(total, Relaxed);
}

/// Converts a boolean to a gauge value of 0 or 1.
pub(super) fn flag(value: bool) -> f64 {
    f64::from(u8::from(value))
}
