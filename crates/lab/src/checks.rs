//! Checks a finished run from the clients' responses, the backends' arrivals and the gateways' processes and logs.
//!
//! The checks use none of the gateways' code.

use crate::experiment::Checks;
use crate::gateway::{Gateway, ResourceUsage};
use crate::load::{Outcome, RequestRecord, CLASSES};
use crate::record::RunRecord;
use crate::stand_in::backend::Arrival;
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// How long a backend may still receive requests from a gateway after the gateway was notified that the backend drains.
/// The protocol allows 2 s; the rest is slack for delays in sockets.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_050 + 250);
/// The time before and after an outage of a gateway in which its clients' connections may break.
const OUTAGE_MARGIN: Duration = Duration::from_millis(1_000);
/// The maximum number of violations reported per check.
const MAX_VIOLATIONS_PER_CHECK: usize = 10;

/// One violation of a check.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The name of the check.
    pub check: &'static str,
    /// A description of the violation: gateway, request and time.
    #[serde(rename = "seen")]
    pub observed: String,
}

fn violation(check: &'static str, observed: String) -> Violation {
    Violation { check, observed }
}

/// Checks the requests of the load and the gateways' processes, and returns the violations.
///
/// Violations are requests without a response, with a forged or an extra one, executed twice, sent to a drained
/// backend or forwarded beyond quotas, too few requests served, and processes that crashed or exceeded their resource
/// bounds.
pub fn request_violations(run: &RunRecord<'_>) -> Vec<Violation> {
    let (requests, arrivals) = (run.results.requests.borrow(), &run.arrivals);
    let requests_by_id: HashMap<&str, &RequestRecord> =
        requests.iter().map(|record| (record.request_id.as_str(), record)).collect();
    let mut violations = Vec::new();
    violations.extend(missing_responses(&requests, run.gateways));
    violations.extend(forged_responses(&requests, arrivals));
    violations.extend(duplicate_executions(&requests_by_id, arrivals));
    violations.extend(requests_after_drain(&run.drain_notices, &requests_by_id, arrivals));
    for (gateway, at) in run.results.unexpected_responses.borrow().iter() {
        let observed = format!("{gateway} sent a response without a request at {:.2} s", at.as_secs_f64());
        violations.push(violation("one answer", observed));
    }
    let max_beyond_share = run.experiment.checks.beyond_quota;
    let QuotaUsage { within, beyond } = quota_usage(arrivals, run.experiment.load.quota);
    if beyond > max_beyond_share * within.max(1.0) {
        let observed = format!(
            "{beyond:.0} units beyond quotas and {within:.0} within, allowed share {max_beyond_share}"
        );
        violations.push(violation("quotas", observed));
    }
    violations
        .extend(run.gateways.iter().flat_map(|gateway| process_violations(gateway, &run.experiment.checks)));
    let served = requests.iter().filter(|record| matches!(record.outcome, Outcome::Served(_))).count();
    let required = requests.len() as f64 * run.experiment.checks.served;
    if (served as f64) < required {
        violations.push(violation(
            "served",
            format!("{served} of {} served, expected {required:.0}", requests.len()),
        ));
    }
    violations
}

/// Reports the crashes of a gateway's process and the resource bounds that it exceeded.
fn process_violations(gateway: &Gateway, bounds: &Checks) -> Vec<Violation> {
    let crashes = gateway.crashes.borrow();
    let mut violations: Vec<Violation> =
        crashes.iter().map(|crash| violation("no crash", crash.clone())).collect();
    let ResourceUsage { memory_bytes, descriptors } = gateway.peak_usage.get();
    if memory_bytes > bounds.memory_mb << 20 {
        violations.push(violation("memory", format!("{} used {} MiB", gateway.name, memory_bytes >> 20)));
    }
    if descriptors > bounds.descriptors {
        violations.push(violation("descriptors", format!("{} had {descriptors} open", gateway.name)));
    }
    violations
}

/// Reports the requests without a final response, except those whose gateway was killed or stopped meanwhile.
fn missing_responses(requests: &[RequestRecord], gateways: &[Rc<Gateway>]) -> Vec<Violation> {
    let excused = |record: &RequestRecord| {
        let gateway = gateways.iter().find(|gateway| gateway.name == record.gateway);
        gateway.is_some_and(|gateway| {
            let outages = gateway.outages.borrow();
            outages.iter().any(|outage| {
                record.due <= outage.to.saturating_add(OUTAGE_MARGIN)
                    && record.ended + OUTAGE_MARGIN >= outage.from
            })
        })
    };
    let lost = requests.iter().filter(|record| {
        matches!(record.outcome, Outcome::ConnectionBroken | Outcome::Unanswered | Outcome::Pending)
    });
    let lost = lost.filter(|record| !excused(record)).take(MAX_VIOLATIONS_PER_CHECK);
    lost.map(|record| {
        let (due, ended) = (record.due.as_secs_f64(), record.ended.as_secs_f64());
        let outcome = record.outcome.label();
        violation(
            "one answer",
            format!(
                "{} through {}, due {due:.2} s: {outcome} at {ended:.2} s",
                record.request_id, record.gateway
            ),
        )
    })
    .collect()
}

/// Reports the responses whose body no backend produced for that request.
fn forged_responses(requests: &[RequestRecord], arrivals: &[Arrival]) -> Vec<Violation> {
    let executed: BTreeSet<(&str, &str)> = arrivals
        .iter()
        .filter(|arrival| arrival.executed)
        .map(|arrival| (arrival.request_id.as_str(), arrival.backend.as_str()))
        .collect();
    let served = requests.iter().filter_map(|record| match &record.outcome {
        Outcome::Served(body) => Some((record, String::from_utf8_lossy(body).into_owned())),
        _ => None,
    });
    let forged = served.filter(|(record, body)| {
        let mut fields = body.split(' ');
        let (request_id, backend) = (fields.next().unwrap_or_default(), fields.next().unwrap_or_default());
        request_id != record.request_id || !executed.contains(&(request_id, backend))
    });
    forged
        .take(MAX_VIOLATIONS_PER_CHECK)
        .map(|(record, body)| {
            violation(
                "answers unchanged",
                format!("{} through {} got '{body}'", record.request_id, record.gateway),
            )
        })
        .collect()
}

/// Reports the requests that are not idempotent and were executed more than once.
fn duplicate_executions(
    requests_by_id: &HashMap<&str, &RequestRecord>,
    arrivals: &[Arrival],
) -> Vec<Violation> {
    let mut executions = BTreeMap::<&str, Vec<&Arrival>>::new();
    arrivals
        .iter()
        .filter(|arrival| arrival.executed)
        .for_each(|arrival| executions.entry(&arrival.request_id).or_default().push(arrival));
    let duplicates = executions.into_iter().filter(|(request_id, executions)| {
        executions.len() > 1
            && requests_by_id.get(request_id).is_some_and(|request| !CLASSES[request.class].idempotent)
    });
    duplicates
        .take(MAX_VIOLATIONS_PER_CHECK)
        .map(|(request_id, executions)| {
            let descriptions = executions
                .iter()
                .map(|arrival| format!("{} at {:.2} s", arrival.backend, arrival.at.as_secs_f64()));
            let gateway = requests_by_id.get(request_id).map_or("?", |request| request.gateway.as_str());
            let observed = descriptions.collect::<Vec<_>>().join(", ");
            violation("not twice", format!("{request_id} through {gateway} was executed by {observed}"))
        })
        .collect()
}

/// Reports the requests that arrived at a backend too long after their gateway was notified that the backend drains.
fn requests_after_drain(
    drain_notices: &HashMap<(String, String), Duration>,
    requests_by_id: &HashMap<&str, &RequestRecord>,
    arrivals: &[Arrival],
) -> Vec<Violation> {
    let late = arrivals.iter().filter_map(|arrival| {
        let request = requests_by_id.get(arrival.request_id.as_str())?;
        let drained_at = drain_notices.get(&(request.gateway.clone(), arrival.backend.clone()))?;
        (arrival.at > *drained_at + DRAIN_TIMEOUT).then(|| {
            let (at, drained_at) = (arrival.at.as_secs_f64(), drained_at.as_secs_f64());
            let observed = format!(
                "{} through {} reached {} at {at:.2} s",
                arrival.request_id, request.gateway, arrival.backend
            );
            violation("drained", format!("{observed}, drain notice at {drained_at:.2} s"))
        })
    });
    late.take(MAX_VIOLATIONS_PER_CHECK).collect()
}

/// Units forwarded to backends, split by the customers' quotas.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaUsage {
    /// Units within the quotas.
    pub within: f64,
    /// Units beyond the quotas.
    pub beyond: f64,
}

/// Returns the units forwarded by all gateways within and beyond the customers' quotas.
///
/// Each customer has a token bucket of the given rate (units per second) and burst (units). A request counts once, at
/// its first arrival at a backend.
pub fn quota_usage(arrivals: &[Arrival], (rate, burst): (f64, f64)) -> QuotaUsage {
    let mut by_time = arrivals.to_vec();
    by_time.sort_by_key(|arrival| arrival.at);
    let mut counted = BTreeSet::new();
    let mut buckets = HashMap::<u64, (f64, Duration)>::new();
    let mut usage = QuotaUsage::default();
    for arrival in by_time.iter().filter(|arrival| counted.insert(arrival.request_id.clone())) {
        let (level, refilled_at) = buckets.entry(arrival.customer).or_insert((burst, arrival.at));
        *level = (*level + rate * (arrival.at - *refilled_at).as_secs_f64()).min(burst);
        *refilled_at = arrival.at;
        if *level >= arrival.units {
            *level -= arrival.units;
            usage.within += arrival.units;
        } else {
            usage.beyond += arrival.units;
        }
    }
    usage
}

/// Returns whether all running gateways, and no others, have a view, all views are equal, and each has exactly the
/// running gateways as alive.
pub fn views_agree(views: &BTreeMap<String, Value>, running: &BTreeSet<String>) -> bool {
    let digests: BTreeSet<&str> = views.values().filter_map(|view| view["digest"].as_str()).collect();
    let names: BTreeSet<String> = views.keys().cloned().collect();
    digests.len() <= 1 && names == *running && views.values().all(|view| alive_members(view) == *running)
}

/// Returns the names of the members that are alive or suspect in a view.
pub fn alive_members(view: &Value) -> BTreeSet<String> {
    let members = view["members"].as_array().into_iter().flatten();
    let alive = members.filter(|row| matches!(row["standing"].as_str(), Some("present" | "suspect")));
    alive.filter_map(|row| Some(row["name"].as_str()?.to_string())).collect()
}

/// Returns the state of a member's latest incarnation in a view.
pub fn member_state<'a>(view: &'a Value, name: &str) -> Option<&'a str> {
    let members = view["members"].as_array().into_iter().flatten();
    let rows = members.filter(|row| row["name"] == name);
    rows.max_by_key(|row| row["incarnation"].as_u64()).and_then(|row| row["standing"].as_str())
}

/// Returns whether all gateways have the same document, and that document is not the empty one.
pub fn same_document(documents: &BTreeMap<String, Value>) -> bool {
    let versions: BTreeSet<String> = documents
        .values()
        .map(|document| format!("{} {} {}", document["plan"], document["index"], document["digest"]))
        .collect();
    versions.len() == 1 && documents.values().all(|document| document["plan"] != "0000000000000000")
}

/// Returns the violation for fewer proposals accepted in time than the experiment requires.
pub fn too_few_proposals(accepted: &[(u64, String)], required: usize) -> Violation {
    violation("proposals", format!("{} accepted, expected {required}: {accepted:?}", accepted.len()))
}

/// Checks the consistency of the fleet document, and returns the violations.
///
/// At the end all gateways must have the same document. Each index must have had the same content at every gateway in
/// every incarnation, with fencing tokens ascending by index, and each accepted proposal must be in the history.
/// `missing` is the violation for proposals that were not accepted in time, `disagreement` the reason why the gateways
/// did not converge on one document.
pub fn document_violations(
    run: &RunRecord<'_>,
    missing: Option<Violation>,
    disagreement: Option<String>,
) -> Vec<Violation> {
    let mut violations = Vec::from_iter(missing);
    violations.extend(disagreement.map(|problem| violation("one plan", problem)));
    let mut history = History::default();
    for gateway in run.gateways {
        for incarnation in 1..=gateway.incarnations.get() {
            let log = run.directory.join(format!("{}-{incarnation}.log", gateway.name));
            let log = std::fs::read_to_string(log).unwrap_or_default();
            violations.extend(history.read_log(&gateway.name, &log));
        }
    }
    violations.extend(history.tokens_out_of_order());
    for (index, value) in run.proposals.iter().filter(|(index, value)| !history.contains(*index, value)) {
        let observed = format!("{value} was accepted at index {index} and is missing there");
        violations.push(violation("one history", observed));
    }
    violations.truncate(MAX_VIOLATIONS_PER_CHECK);
    violations
}

/// The entries of the fleet document, read from the log of each incarnation of a gateway rather than from its current
/// responses.
#[derive(Default)]
struct History {
    /// The content and the gateway that logged it first, by index.
    entries: BTreeMap<u64, (String, String)>,
}

impl History {
    /// Adds the entries of one log and returns the contradictions to logs read before.
    fn read_log(&mut self, gateway: &str, log: &str) -> Vec<Violation> {
        let differences = log.lines().filter(|line| line.contains("plan: two gateways differ"));
        let mut violations: Vec<Violation> =
            differences.map(|line| violation("one plan", format!("{gateway}: {line}"))).collect();
        for (_, line) in log.lines().filter_map(|line| line.split_once("plan: changed index=")) {
            let Some((index, content)) = line.split_once(' ') else { continue };
            let Ok(index) = index.parse::<u64>() else { continue };
            let new_entry = || (content.to_string(), gateway.to_string());
            let (first, first_gateway) = self.entries.entry(index).or_insert_with(new_entry);
            if first != content {
                let observed = format!("index {index}: {first_gateway} has '{first}', {gateway} '{content}'");
                violations.push(violation("one history", observed));
            }
        }
        violations
    }

    fn tokens_out_of_order(&self) -> Vec<Violation> {
        let tokens = self.entries.iter().map(|(index, (content, _))| (*index, token(content)));
        let tokens: Vec<_> = tokens.collect();
        let pairs = tokens.windows(2).filter(|pair| pair[0].1 >= pair[1].1 || pair[1].1.is_none());
        pairs.map(|pair| violation("tokens in order", format!("{pair:?}"))).collect()
    }

    fn contains(&self, index: u64, value: &str) -> bool {
        let value = format!("value=\"{value}\"");
        self.entries.get(&index).is_some_and(|(content, _)| content.contains(&value))
    }
}

/// Parses the fencing token of an entry: term and index.
fn token(content: &str) -> Option<(u64, u64)> {
    let (term, index) = content.strip_prefix("token=")?.split(' ').next()?.split_once('.')?;
    Some((term.parse().ok()?, index.parse().ok()?))
}

/// Checks membership at the end, and returns the violations: views that disagree, and gateways that were sent SIGTERM
/// and are not recorded as `left` in every view.
pub fn membership_violations(
    disagreement: Option<String>,
    views: &BTreeMap<String, Value>,
    terminated: &BTreeSet<String>,
) -> Vec<Violation> {
    let mut violations = Vec::from_iter(disagreement.map(|problem| violation("views agree", problem)));
    for (observer, view) in views {
        for name in terminated.iter().filter(|name| member_state(view, name) != Some("left")) {
            let observed = member_state(view, name).unwrap_or("unknown");
            violations.push(violation("leaves are told", format!("{observer} has {name} as {observed}")));
        }
    }
    violations.truncate(MAX_VIOLATIONS_PER_CHECK);
    violations
}
