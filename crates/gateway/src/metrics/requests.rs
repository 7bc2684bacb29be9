//! Metrics of requests by result, of response times, and of attempts by outcome.

use super::labels::{counters_by_outcome, LabeledCounters, Labels};
use super::DURATION_BUCKETS_SECONDS;
use lanespan_policy::{ClassId, Micros, Outcome, PlanId};
use lanespan_settings::Site;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::collections::HashMap;

const CLASS: &str = "class";
const PLAN: &str = "plan";
const RESULT: &str = "got";

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// The client got a backend's response.
    Served,
    /// The request was rejected and may be retried later.
    Rejected,
    /// The request failed and may have been executed.
    Failed,
    /// The client disconnected before it got a response.
    ClientDisconnected,
}

impl RequestResult {
    const ALL: [RequestResult; 4] = [
        RequestResult::Served,
        RequestResult::Rejected,
        RequestResult::Failed,
        RequestResult::ClientDisconnected,
    ];

    fn label(self) -> &'static str {
        match self {
            RequestResult::Served => "served",
            RequestResult::Rejected => "refused",
            RequestResult::Failed => "failed",
            RequestResult::ClientDisconnected => "gone",
        }
    }
}

/// The metrics of one class of requests.
struct ClassMetrics {
    /// The counters by result, for each plan.
    requests: Vec<LabeledCounters<RequestResult>>,
    answer_seconds: Histogram,
}

/// The metrics of requests and their attempts.
pub(super) struct RequestMetrics {
    classes: Vec<ClassMetrics>,
    attempts: LabeledCounters<Outcome>,
}

impl RequestMetrics {
    pub(super) fn register(registry: &mut Registry, site: &Site) -> RequestMetrics {
        let requests = Family::<Labels, Counter>::default();
        let answer_seconds =
            Family::<Labels, Histogram>::new_with_constructor(|| Histogram::new(DURATION_BUCKETS_SECONDS));
        let attempts = Family::<Labels, Counter>::default();
        let help = "Requests, by class, plan and what their clients got";
        registry.register("requests", help, requests.clone());
        registry.register("answer_seconds", "Time from a request to its answer", answer_seconds.clone());
        registry.register("attempts", "Attempts at backends, by their outcome", attempts.clone());

        let plans = names_by_id(&site.plans);
        let class_metrics = |class: &str| ClassMetrics {
            requests: plans.iter().map(|plan| counters_by_result(&requests, class, plan)).collect(),
            answer_seconds: answer_seconds.get_or_create(&vec![(CLASS, class.to_string())]).clone(),
        };
        RequestMetrics {
            classes: names_by_id(&site.classes).into_iter().map(class_metrics).collect(),
            attempts: counters_by_outcome(&attempts),
        }
    }

    /// Records the end of a request, and its duration unless the client disconnected.
    pub(super) fn request_ended(&self, class: ClassId, plan: PlanId, result: RequestResult, elapsed: Micros) {
        let Some(class) = self.classes.get(class.0) else { return };
        if let Some(requests) = class.requests.get(plan.0) {
            requests.increment(result);
        }
        if result != RequestResult::ClientDisconnected {
            class.answer_seconds.observe(elapsed.as_secs_f64());
        }
    }

    /// Records the end of an attempt.
    pub(super) fn attempt_ended(&self, outcome: Outcome) {
        self.attempts.increment(outcome);
    }
}

fn counters_by_result(
    family: &Family<Labels, Counter>,
    class: &str,
    plan: &str,
) -> LabeledCounters<RequestResult> {
    LabeledCounters::new(family, &RequestResult::ALL, |result| {
        vec![(CLASS, class.to_string()), (PLAN, plan.to_string()), (RESULT, result.label().to_string())]
    })
}

/// Returns the names in the order of their ids.
fn names_by_id(ids: &HashMap<String, usize>) -> Vec<&str> {
    let mut names: Vec<_> = ids.iter().map(|(name, id)| (*id, name.as_str())).collect();
    names.sort_unstable();
    names.into_iter().map(|(_, name)| name).collect()
}
