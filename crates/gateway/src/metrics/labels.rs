//! Families of counters with a label whose values are all known at startup.

use lanespan_policy::Outcome;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// The labels of one series.
pub(super) type Labels = Vec<(&'static str, String)>;

/// One counter for each value of a label.
pub(super) struct LabeledCounters<K> {
    counters: Vec<(K, Counter)>,
}

impl<K: Copy + PartialEq> LabeledCounters<K> {
    /// Creates a series in `family` for each of `values`.
    pub(super) fn new(
        family: &Family<Labels, Counter>,
        values: &[K],
        labels: impl Fn(K) -> Labels,
    ) -> LabeledCounters<K> {
        let series = |value: &K| (*value, family.get_or_create(&labels(*value)).clone());
        LabeledCounters { counters: values.iter().map(series).collect() }
    }

    pub(super) fn increment(&self, value: K) {
        if let Some((_, counter)) = self.counters.iter().find(|(key, _)| *key == value) {
            counter.inc();
        }
    }
}

const OUTCOME: &str = "outcome";

const OUTCOMES: [Outcome; 9] = [
    Outcome::Success,
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::ResponseDropped,
];

/// Creates one counter for each outcome of an attempt or a call.
pub(super) fn counters_by_outcome(family: &Family<Labels, Counter>) -> LabeledCounters<Outcome> {
    LabeledCounters::new(family, &OUTCOMES, |outcome| vec![(OUTCOME, outcome_label(outcome).to_string())])
}

fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Success => "ok",
        Outcome::ServerError => "error",
        Outcome::Rejected => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::ConnectionReset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
        Outcome::ResponseDropped => "no_room",
    }
}
