//! Metrics of calls to the shared counter and of its circuit breaker.

use super::labels::{counters_by_outcome, LabeledCounters, Labels};
use super::DURATION_BUCKETS_SECONDS;
use lanespan_policy::{Micros, Outcome};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// The metrics of calls to the counter.
pub(super) struct CounterCallMetrics {
    calls: LabeledCounters<Outcome>,
    call_seconds: Histogram,
    breaker_changes: Counter,
}

impl CounterCallMetrics {
    pub(super) fn register(registry: &mut Registry) -> CounterCallMetrics {
        let calls = Family::<Labels, Counter>::default();
        let call_seconds = Histogram::new(DURATION_BUCKETS_SECONDS);
        let breaker_changes = Counter::default();
        registry.register("counter_calls", "Calls to the counter, by their outcome", calls.clone());
        registry.register("counter_call_seconds", "Time of calls to the counter", call_seconds.clone());
        let help = "Times that the breaker before the counter opened or closed";
        registry.register("breaker_changes", help, breaker_changes.clone());
        CounterCallMetrics { calls: counters_by_outcome(&calls), call_seconds, breaker_changes }
    }

    /// Records the end of a call and its duration.
    pub(super) fn call_ended(&self, outcome: Outcome, elapsed: Micros) {
        self.calls.increment(outcome);
        self.call_seconds.observe(elapsed.as_secs_f64());
    }

    /// Records that the breaker opened or closed.
    pub(super) fn breaker_changed(&self) {
        self.breaker_changes.inc();
    }
}
