//! Checks made apart from the gateways' code: by what clients got, what arrived at backends, and what each process did.

use crate::experiment::Experiment;
use crate::gateway::Gateway;
use crate::load::{Asked, Fate, CLASSES};
use crate::rig::Rig;
use crate::stand_in::backend::Arrival;
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// How long after a gateway heard that a backend takes nothing more something may still be sent there: the protocol's
/// 2 s and the slack of sockets.
const DRAINED: Duration = Duration::from_millis(2_050 + 250);
/// How long round the kill or the stall of a gateway its clients' connections may break.
const ROUND: Duration = Duration::from_millis(1_000);
/// How long after the end proposals that are under way are waited for.
const PROPOSED: Duration = Duration::from_secs(30);
/// As many of one kind are told one by one.
const TOLD: usize = 10;

/// A check that failed.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// Which.
    pub check: &'static str,
    /// What was seen: gateway, request and time.
    pub seen: String,
}

fn broken(check: &'static str, seen: String) -> Broken {
    Broken { check, seen }
}

/// Requests that lost their answer, ran twice, went where nothing may go, or beyond quotas; processes that crashed or
/// grew.
pub fn of_requests(rig: &Rig, experiment: &Experiment) -> Vec<Broken> {
    let (asked, arrivals) = (rig.ledger.asked.borrow(), rig.arrivals.borrow());
    let by_call: HashMap<&str, &Asked> = asked.iter().map(|a| (a.call.as_str(), a)).collect();
    let mut found = Vec::new();
    found.extend(final_answers(&asked, &rig.gateways));
    found.extend(made_by_a_backend(&asked, &arrivals));
    found.extend(ran_twice(&by_call, &arrivals));
    found.extend(drained(rig, &by_call, &arrivals));
    for (gateway, at) in rig.ledger.surplus.borrow().iter() {
        found.push(broken(
            "one answer",
            format!("{gateway} answered what nobody asked at {:.2} s", at.as_secs_f64()),
        ));
    }
    let (inside, beyond) = quotas(&arrivals, experiment.load.quota);
    if beyond > experiment.checks.beyond_quota * inside.max(1.0) {
        let bound = experiment.checks.beyond_quota;
        found.push(broken(
            "quotas",
            format!("{beyond:.0} units beyond and {inside:.0} inside, allowed {bound}"),
        ));
    }
    for gateway in &rig.gateways {
        found.extend(gateway.crashes.borrow().iter().map(|crash| broken("no crash", crash.clone())));
        let (memory, descriptors) = gateway.most.get();
        if memory > experiment.checks.memory_mb << 20 {
            found.push(broken("memory", format!("{} had {} MiB", gateway.name, memory >> 20)));
        }
        if descriptors > experiment.checks.descriptors {
            found.push(broken("descriptors", format!("{} had {descriptors}", gateway.name)));
        }
    }
    let served = asked.iter().filter(|a| matches!(a.fate, Fate::Served(_))).count();
    let inside = asked.len() as f64 * experiment.checks.served;
    if (served as f64) < inside {
        found.push(broken("served", format!("{served} of {}, wanted {inside:.0}", asked.len())));
    }
    found
}

/// A gateway owes every request that it took one answer, unless it was killed or stood still.
fn final_answers(asked: &[Asked], gateways: &[std::rc::Rc<Gateway>]) -> Vec<Broken> {
    let excused = |a: &Asked| {
        let gateway = gateways.iter().find(|gateway| gateway.name == a.gateway);
        gateway.is_some_and(|gateway| {
            let spans = gateway.excused.borrow();
            spans.iter().any(|e| a.due <= e.to.saturating_add(ROUND) && a.ended + ROUND >= e.from)
        })
    };
    let lost = asked.iter().filter(|a| matches!(a.fate, Fate::Broken | Fate::Silent | Fate::Open));
    let lost = lost.filter(|a| !excused(a)).take(TOLD);
    lost.map(|a| {
        let (due, ended) = (a.due.as_secs_f64(), a.ended.as_secs_f64());
        let fate = format!("{:?}", a.fate).to_lowercase();
        broken(
            "one answer",
            format!("{} through {}, due {due:.2} s: {fate} at {ended:.2} s", a.call, a.gateway),
        )
    })
    .collect()
}

/// What a client was served is what a backend made for this request.
fn made_by_a_backend(asked: &[Asked], arrivals: &[Arrival]) -> Vec<Broken> {
    let worked: BTreeSet<(&str, &str)> =
        arrivals.iter().filter(|a| a.ran).map(|a| (a.call.as_str(), a.backend.as_str())).collect();
    let served = asked.iter().filter_map(|a| match &a.fate {
        Fate::Served(body) => Some((a, String::from_utf8_lossy(body).into_owned())),
        _ => None,
    });
    let strange = served.filter(|(a, body)| {
        let mut words = body.split(' ');
        let (call, backend) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        call != a.call || !worked.contains(&(call, backend))
    });
    strange
        .take(TOLD)
        .map(|(a, body)| {
            broken("answers unchanged", format!("{} through {} got '{body}'", a.call, a.gateway))
        })
        .collect()
}

fn ran_twice(by_call: &HashMap<&str, &Asked>, arrivals: &[Arrival]) -> Vec<Broken> {
    let mut runs = BTreeMap::<&str, Vec<&Arrival>>::new();
    arrivals.iter().filter(|a| a.ran).for_each(|a| runs.entry(&a.call).or_default().push(a));
    let twice = runs.into_iter().filter(|(call, runs)| {
        runs.len() > 1 && by_call.get(call).is_some_and(|asked| !CLASSES[asked.class].2)
    });
    twice
        .take(TOLD)
        .map(|(call, runs)| {
            let where_when = runs.iter().map(|a| format!("{} at {:.2} s", a.backend, a.at.as_secs_f64()));
            let gateway = by_call.get(call).map_or("?", |asked| asked.gateway.as_str());
            let seen = where_when.collect::<Vec<_>>().join(", ");
            broken("not twice", format!("{call} through {gateway} ran at {seen}"))
        })
        .collect()
}

fn drained(rig: &Rig, by_call: &HashMap<&str, &Asked>, arrivals: &[Arrival]) -> Vec<Broken> {
    let told = rig.discovery.told_drained.borrow();
    let late = arrivals.iter().filter_map(|a| {
        let asked = by_call.get(a.call.as_str())?;
        let told = told.get(&(asked.gateway.clone(), a.backend.clone()))?;
        (a.at > *told + DRAINED).then(|| {
            let (at, told) = (a.at.as_secs_f64(), told.as_secs_f64());
            let seen = format!("{} through {} reached {} at {at:.2} s", a.call, asked.gateway, a.backend);
            broken("drained", format!("{seen}, told at {told:.2} s"))
        })
    });
    late.take(TOLD).collect()
}

/// Units sent on inside and beyond the customers' buckets, over all gateways: each request once, when it first
/// arrived.
pub fn quotas(arrivals: &[Arrival], (rate, burst): (f64, f64)) -> (f64, f64) {
    let mut first = arrivals.to_vec();
    first.sort_by_key(|a| a.at);
    let mut seen = BTreeSet::new();
    let mut stores = HashMap::<u64, (f64, Duration)>::new();
    let (mut inside, mut beyond) = (0.0, 0.0);
    for a in first.iter().filter(|a| seen.insert(a.call.clone())) {
        let (level, at) = stores.entry(a.customer).or_insert((burst, a.at));
        *level = (*level + rate * (a.at - *at).as_secs_f64()).min(burst);
        *at = a.at;
        if *level >= a.units {
            *level -= a.units;
            inside += a.units;
        } else {
            beyond += a.units;
        }
    }
    (inside, beyond)
}

/// Whether all of these views are one, and name as present who runs and nobody else.
pub fn agree(views: &BTreeMap<String, Value>, running: &BTreeSet<String>) -> bool {
    let digests: BTreeSet<&str> = views.values().filter_map(|view| view["digest"].as_str()).collect();
    let names: BTreeSet<String> = views.keys().cloned().collect();
    digests.len() <= 1 && names == *running && views.values().all(|view| present(view) == *running)
}

/// The names that a view holds for present.
pub fn present(view: &Value) -> BTreeSet<String> {
    let members = view["members"].as_array().into_iter().flatten();
    let there = members.filter(|row| matches!(row["standing"].as_str(), Some("present" | "suspect")));
    there.filter_map(|row| Some(row["name"].as_str()?.to_string())).collect()
}

/// How a view holds a name to stand; the latest life counts.
pub fn standing<'a>(view: &'a Value, name: &str) -> Option<&'a str> {
    let members = view["members"].as_array().into_iter().flatten();
    let rows = members.filter(|row| row["name"] == name);
    rows.max_by_key(|row| row["incarnation"].as_u64()).and_then(|row| row["standing"].as_str())
}

/// Whether the plans of these are one.
pub fn one_plan(told: &BTreeMap<String, Value>) -> bool {
    let marks: BTreeSet<String> =
        told.values().map(|plan| format!("{} {} {}", plan["plan"], plan["index"], plan["digest"])).collect();
    marks.len() == 1 && told.values().all(|plan| plan["plan"] != "0000000000000000")
}

/// After the end all gateways have one plan; each index had one content at every gateway in every life, tokens in the
/// order of indexes; and what was told as agreed is there.
pub async fn of_plan(rig: &Rig, experiment: &Experiment) -> Vec<Broken> {
    let mut found = Vec::new();
    let (told, wanted) = (rig.proposals.clone(), experiment.checks.proposals);
    let agreed = rig.wait("proposals", PROPOSED, || told.borrow().len() >= wanted).await;
    if agreed.is_err() {
        let seen = format!("{} agreed, wanted {wanted}: {:?}", told.borrow().len(), told.borrow());
        found.push(broken("proposals", seen));
    }
    let (patience, running) = (experiment.checks.agree_within, rig.running().count());
    let patience = Duration::from_secs_f64(patience);
    let agreed =
        rig.wait_for("one plan", "/fleet/plan", patience, |told| told.len() == running && one_plan(told));
    found.extend(agreed.await.err().map(|problem| broken("one plan", problem)));
    // By the lines that each life wrote, not by what it says now.
    let mut contents = BTreeMap::<u64, (String, String)>::new();
    for gateway in &rig.gateways {
        for life in 1..=gateway.lives.get() {
            let log = rig.directory.join(format!("{}-{life}.log", gateway.name));
            let log = std::fs::read_to_string(log).unwrap_or_default();
            for line in log.lines().filter(|line| line.contains("plan: two gateways differ")) {
                found.push(broken("one plan", format!("{}: {line}", gateway.name)));
            }
            for said in log.lines().filter_map(|line| line.split_once("plan: changed index=")) {
                let Some((index, content)) = said.1.split_once(' ') else { continue };
                let Ok(index) = index.parse::<u64>() else { continue };
                let first =
                    contents.entry(index).or_insert_with(|| (content.to_string(), gateway.name.clone()));
                if first.0 != content {
                    let seen =
                        format!("index {index}: {} has '{}', {} '{content}'", first.1, first.0, gateway.name);
                    found.push(broken("one history", seen));
                }
            }
        }
    }
    let token = |content: &str| {
        let token = content.strip_prefix("token=")?.split(' ').next()?.split_once('.')?;
        Some((token.0.parse::<u64>().ok()?, token.1.parse::<u64>().ok()?))
    };
    let tokens: Vec<_> = contents.iter().map(|(index, (content, _))| (*index, token(content))).collect();
    for pair in tokens.windows(2).filter(|pair| pair[0].1 >= pair[1].1 || pair[1].1.is_none()) {
        found.push(broken("tokens in order", format!("{pair:?}")));
    }
    for (index, value) in rig.proposals.borrow().iter() {
        let there =
            contents.get(index).is_some_and(|(content, _)| content.contains(&format!("value=\"{value}\"")));
        if !there {
            found.push(broken(
                "one history",
                format!("{value} was told as agreed at {index} and is not there"),
            ));
        }
    }
    found.truncate(TOLD);
    found
}

/// After the end all views agree, and who was told to end is known to have left.
pub async fn of_views(rig: &Rig, experiment: &Experiment) -> Vec<Broken> {
    let mut found = Vec::new();
    let patience = Duration::from_secs_f64(experiment.checks.agree_within);
    if let Err(problem) = rig.agreed(patience).await {
        found.push(broken("views agree", problem));
    }
    let (views, leavers) = (rig.views().await, rig.leavers.borrow());
    for (at, view) in &views {
        for leaver in leavers.iter().filter(|leaver| standing(view, leaver) != Some("left")) {
            let seen = standing(view, leaver).unwrap_or("unknown");
            found.push(broken("leaves are told", format!("{at} holds {leaver} for {seen}")));
        }
    }
    found.truncate(TOLD);
    found
}
