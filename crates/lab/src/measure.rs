//! Measures membership, the fleet document and the rig itself, on simulated networks and on real processes.

use crate::checks::same_document;
use crate::experiment::{Action, Experiment, ExperimentError};
use crate::gateway::{Gateway, GatewayError};
use crate::http::response;
use crate::load::{schedule, Generator, LoadResults, Outcome};
use crate::rig::{Rig, RigError};
use crate::stand_in::ServiceListener;
use hyper::StatusCode;
use lanespan_fleet::membership::{Config, Counters, Membership};
use lanespan_fleet::replication::replica::DocumentVersion;
use lanespan_fleet::sim::{SimulatedNetwork, SECOND};
use lanespan_fleet::view::MemberState;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long the idle fleet is observed, in seconds.
const IDLE_SECONDS: u64 = 60;
/// How long any condition may take to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(120);

/// The metric of the bytes that a gateway sent in datagrams.
const BYTES_SENT_METRIC: &str = "lanespan_fleet_bytes_sent_total";

/// The header of the rows that [`membership_simulated`] returns.
pub const MEMBERSHIP_SIMULATED_HEADER: &str =
    "members  seed  first s  all s  false suspicions  lost falsely  datagrams/s  bytes/s  exchanges";

/// An error of a measurement.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The measurement's experiment is not valid.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// Starting or controlling the fleet failed.
    #[error(transparent)]
    Rig(#[from] RigError),
    /// A gateway could not be queried.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// The plain echo server could not listen.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The fleet has no gateway.
    #[error("the fleet has no gateway")]
    NoGateway,
    /// No gateway holds the lease that is to be handed over.
    #[error("no gateway holds the lease `work`")]
    NoLeaseHolder,
}

fn membership_config() -> Config {
    Config {
        cluster: "measure".to_string(),
        probe_period: SECOND,
        retention: 3_600 * SECOND,
        max_members: 4_000,
        seed_addresses: Vec::new(),
        address_map: BTreeMap::new(),
    }
}

fn total(network: &SimulatedNetwork, counter: fn(&Counters) -> u64) -> u64 {
    network.running().map(|(_, membership)| counter(&membership.counters())).sum()
}

/// Simulates an idle fleet and then a kill, and returns one row.
///
/// While the fleet is idle, `slow` percent of the members stall for 1.5 s of every 3 s.
pub fn membership_simulated(members: usize, seed: u64, slow: usize) -> String {
    let mut network = SimulatedNetwork::converged(members, membership_config(), seed);
    let slow_members: Vec<usize> = (1..members).step_by(100 / slow.max(1)).filter(|_| slow > 0).collect();
    let sent_totals = |network: &SimulatedNetwork| {
        (total(network, |counters| counters.datagrams_sent), total(network, |counters| counters.bytes_sent))
    };
    let exchanges_requested =
        |network: &SimulatedNetwork| total(network, |counters| counters.exchanges_requested);
    let (before, exchanges_before) = (sent_totals(&network), exchanges_requested(&network));
    let idle_since = network.now();
    // An extra seventh of a second per round keeps the stalls out of step with the probes.
    for _ in 0..IDLE_SECONDS / 3 {
        slow_members.iter().for_each(|i| network.stall(*i, SECOND * 3 / 2));
        network.run(3 * SECOND + SECOND / 7);
    }
    let after = sent_totals(&network);
    let span = network.now().saturating_duration_since(idle_since).as_secs_f64();
    let rate_per_member = |from: u64, to: u64| (to - from) as f64 / (members as f64 * span);
    let exchanges = exchanges_requested(&network) - exchanges_before;
    let changes = network.gateways.iter().flat_map(|gateway| &gateway.changes);
    let changes: Vec<_> = changes.filter(|(at, _)| *at > idle_since).map(|(_, change)| change).collect();
    let members_reported_as = |state: MemberState| {
        let in_state = changes.iter().filter(|change| change.state == state);
        let incarnations = in_state.map(|change| (&change.node.name, change.node.incarnation));
        incarnations.collect::<BTreeSet<_>>().len()
    };
    let (suspected, lost) =
        (members_reported_as(MemberState::Suspect), members_reported_as(MemberState::Dead));
    let killed = network.gateways[0].membership.as_ref().map(|membership| membership.local().clone());
    network.kill(0);
    let has_detected = |membership: &Membership| {
        killed.as_ref().and_then(|node| membership.member_state(node)) == Some(MemberState::Dead)
    };
    let first = network
        .run_until(300 * SECOND, |network| network.running().any(|(_, membership)| has_detected(membership)));
    let rest = network
        .run_until(300 * SECOND, |network| network.running().all(|(_, membership)| has_detected(membership)));
    let seconds =
        |span: Option<Duration>| span.map_or("-".to_string(), |span| format!("{:.2}", span.as_secs_f64()));
    let all = first.zip(rest).map(|(first, rest)| first + rest);
    format!(
        "{members:>7}  {seed:>4}  {:>7}  {:>5}  {suspected:>16}  {lost:>12}  {:>11.1}  {:>7.0}  {exchanges:>9}",
        seconds(first),
        seconds(all),
        rate_per_member(before.0, after.0),
        rate_per_member(before.1, after.1),
    )
}

/// Measures the cost of an idle fleet of real processes with the default probe interval, and then the detection of a
/// kill. Returns one row.
pub async fn membership_real(
    gateways: usize,
    program: &Path,
    directory: &Path,
) -> Result<String, MeasureError> {
    let text = format!(
        "shows = \"a measurement\"\nseconds = 1.0\nregions = {{ north = [\"a\", \"b\"], south = [\"c\"] }}\n\
         gateways = {{ count = {gateways}, probe_ms = 1000 }}\nbackends = {{ count = 1 }}\n"
    );
    let rig = Rig::start(&Experiment::parse(&text)?, program, directory).await?;
    let sent_totals = || async {
        let mut totals = (0.0, 0.0);
        for gateway in &rig.gateways {
            totals.0 += gateway.metric("lanespan_fleet_datagrams_sent_total").await?;
            totals.1 += gateway.metric(BYTES_SENT_METRIC).await?;
        }
        Ok::<_, GatewayError>(totals)
    };
    let cpu = || rig.gateways.iter().filter_map(|gateway| gateway.cpu_seconds()).sum::<f64>();
    let (before, cpu_before, from) = (sent_totals().await?, cpu(), Instant::now());
    sleep(Duration::from_secs(20)).await;
    let span = from.elapsed().as_secs_f64() * gateways as f64;
    let (after, cpu_after) = (sent_totals().await?, cpu());
    rig.gateways.iter().for_each(|gateway| gateway.sample());
    let memory = rig.gateways.iter().map(|gateway| gateway.peak_usage.get().memory_bytes).max().unwrap_or(0);
    let killed_at = Instant::now();
    rig.apply(&Action::Kill(vec!["g0".to_string()])).await?;
    let detected = || {
        rig.gateways[1..]
            .iter()
            .filter(|gateway| gateway.lines_with("fleet member dead name=\"g0\"") > 0)
            .count()
    };
    rig.wait_until("first detection of the kill", CONDITION_TIMEOUT, || detected() > 0).await?;
    let first = killed_at.elapsed();
    rig.wait_until("detection of the kill by all", CONDITION_TIMEOUT, || detected() == gateways - 1).await?;
    let mut row = String::new();
    // Writing to a String can't fail.
    let _ = write!(
        row,
        "{gateways:>7}  {:>7.2}  {:>5.2}  {:>11.1}  {:>7.0}  {:>12.2}  {:>10.1}",
        first.as_secs_f64(),
        killed_at.elapsed().as_secs_f64(),
        (after.0 - before.0) / span,
        (after.1 - before.1) / span,
        (cpu_after - cpu_before) / span * 1e3,
        memory as f64 / f64::from(1 << 20),
    );
    rig.shut_down().await;
    Ok(row)
}

/// The header of the rows that [`document_simulated`] returns.
pub const DOCUMENT_SIMULATED_HEADER: &str =
    "members  seed  to half, s  to nine tenths, s  to all, s  fetches of one at most";

/// Simulates a change of the fleet document at three voters, until all followers have fetched it from a member that
/// gossips the new version. Returns one row.
pub fn document_simulated(members: usize, seed: u64) -> String {
    const VOTERS: usize = 3;
    const STEP: Duration = Duration::from_millis(10);
    let mut network = SimulatedNetwork::converged(members, membership_config(), seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let (before, after) = (
        DocumentVersion { document: 1, index: 1, digest: 1 },
        DocumentVersion { document: 1, index: 2, digest: 2 },
    );
    (0..members).for_each(|i| network.set_document_version(i, before));
    network.run(30 * SECOND);
    (0..VOTERS).for_each(|i| network.set_document_version(i, after));
    let (from, mut updated, mut fetches_served) =
        (network.now(), vec![false; members], HashMap::<String, usize>::new());
    updated[..VOTERS].fill(true);
    let mut times = Vec::new();
    // A member that learns of the new version fetches it from one that has it. A fetch takes one step.
    while times.len() < members - VOTERS && network.now() < from + 300 * SECOND {
        network.run(STEP);
        let outdated: Vec<usize> = (0..members).filter(|i| !updated[*i]).collect();
        for i in outdated {
            let membership = network.gateways[i].membership.as_ref();
            let versions = membership.map(Membership::member_versions).unwrap_or_default();
            let sources: Vec<_> =
                versions.iter().filter(|other| other.version.index == after.index).collect();
            if let Some(source) = sources.get(rng.usize(..sources.len().max(1))) {
                *fetches_served.entry(source.node.name.clone()).or_default() += 1;
                updated[i] = true;
                network.set_document_version(i, after);
                times.push(network.now().saturating_duration_since(from).as_secs_f64());
            }
        }
    }
    let quantile =
        |share: f64| times.get(((times.len() as f64 * share) as usize).min(times.len() - 1)).copied();
    let [half, nine_tenths, all] = [0.5, 0.9, 1.0]
        .map(|share| quantile(share).map_or("-".to_string(), |seconds| format!("{seconds:.2}")));
    let max_fetches = fetches_served.values().max().copied().unwrap_or(0);
    format!("{members:>7}  {seed:>4}  {half:>10}  {nine_tenths:>17}  {all:>9}  {max_fetches:>22}")
}

/// The header of the row that [`document_real`] returns.
pub const DOCUMENT_REAL_HEADER: &str =
    "members  agreed, ms, 50  most  acted on by all, ms, 50  most  hand-over, s: SIGTERM  kill  stall  \
                             follower CPU ms/s  UDP bytes/s";

/// Measures the fleet document on real processes with the default ticks and leases: the time of proposals and lease
/// handovers, and the cost of a follower. Returns one row.
pub async fn document_real(
    gateways: usize,
    program: &Path,
    directory: &Path,
) -> Result<String, MeasureError> {
    const PROPOSALS: usize = 20;
    let text = format!(
        "shows = \"a measurement\"\nseconds = 1.0\nregions = {{ north = [\"a\", \"b\"], south = [\"c\"] }}\n\
         backends = {{ count = 1 }}\n[gateways]\ncount = {gateways}\nprobe_ms = 1000\n\
         plan = {{ voters = 3, tick_ms = 100, lease_ms = 5000, trust_s = 30, ramp_s = 30 }}\n"
    );
    let rig = Rig::start(&Experiment::parse(&text)?, program, directory).await?;
    let has_logged = |gateway: &Gateway, text: &str| gateway.lines_with(text) > 0;
    let initialized = |responses: &BTreeMap<String, Value>| {
        same_document(responses) && responses.values().all(|document| document["index"].as_u64() >= Some(2))
    };
    rig.wait_for_answers("initial leases", "/fleet/plan", CONDITION_TIMEOUT, initialized).await?;
    let (mut accepted_ms, mut applied_ms) = (Vec::new(), Vec::new());
    for count in 0..PROPOSALS {
        let from = Instant::now();
        let (section, key, value) = ("work".to_string(), "x".to_string(), count.to_string());
        rig.apply(&Action::Propose { section, key, value }).await?;
        rig.wait_until("accepted proposal", CONDITION_TIMEOUT, || rig.proposals.borrow().len() > count)
            .await?;
        accepted_ms.push(from.elapsed().as_secs_f64() * 1e3);
        let line = format!("plan: changed index={} ", rig.proposals.borrow()[count].0);
        rig.wait_until("change applied by all", CONDITION_TIMEOUT, || {
            rig.gateways.iter().all(|gateway| has_logged(gateway, &line))
        })
        .await?;
        applied_ms.push(from.elapsed().as_secs_f64() * 1e3);
    }
    let follower = rig.gateways.last().ok_or(MeasureError::NoGateway)?;
    let (cpu, bytes) = (follower.cpu_seconds(), follower.metric(BYTES_SENT_METRIC).await?);
    let from = Instant::now();
    sleep(Duration::from_secs(20)).await;
    let span = from.elapsed().as_secs_f64();
    let cpu =
        follower.cpu_seconds().zip(cpu).map_or(f64::NAN, |(after, before)| (after - before) / span * 1e3);
    let bytes = (follower.metric(BYTES_SENT_METRIC).await? - bytes) / span;
    let mut row = format!("{gateways:>7}  ");
    for times in [&mut accepted_ms, &mut applied_ms] {
        times.sort_by(f64::total_cmp);
        // Writing to a String can't fail.
        let _ = write!(row, "{:>6.0}  {:>6.0}  ", times[PROPOSALS / 2], times[PROPOSALS - 1]);
    }
    for seconds in lease_handover_seconds(&rig).await? {
        let _ = write!(row, "{seconds:>6.2}  ");
    }
    let _ = write!(row, "{cpu:>6.2}  {bytes:>6.0}");
    rig.shut_down().await;
    Ok(row)
}

/// Stops the holder of the `work` lease by SIGTERM, SIGKILL and SIGSTOP in turn. Returns the seconds until another
/// gateway holds the lease, for each.
async fn lease_handover_seconds(rig: &Rig) -> Result<Vec<f64>, MeasureError> {
    let outages = [
        (Action::Terminate as fn(_) -> _, Action::Start as fn(_) -> _),
        (Action::Kill, Action::Start),
        (Action::Stop, Action::Resume),
    ];
    let logged_grants = |gateway: &Gateway| gateway.lines_with("plan: duty taken duty=\"work\"");
    let total_grants = || rig.gateways.iter().map(|gateway| logged_grants(gateway)).sum::<usize>();
    let mut seconds = Vec::new();
    for (begin, end) in outages {
        let leases = rig.get_json_from_all("/fleet/duties").await;
        let holder = leases.into_iter().find(|(_, leases)| leases["duties"][1]["held_here"] == true);
        let (holder, _) = holder.ok_or(MeasureError::NoLeaseHolder)?;
        let (before, stopped_at) = (total_grants(), Instant::now());
        rig.apply(&begin(vec![holder.clone()])).await?;
        rig.wait_until("another lease holder", CONDITION_TIMEOUT, || total_grants() > before).await?;
        seconds.push(stopped_at.elapsed().as_secs_f64());
        rig.apply(&end(vec![holder])).await?;
        let running = rig.running().count();
        let converged =
            |responses: &BTreeMap<String, Value>| responses.len() == running && same_document(responses);
        rig.wait_for_answers("one plan", "/fleet/plan", CONDITION_TIMEOUT, converged).await?;
    }
    Ok(seconds)
}

/// The header of the rows that [`ceiling`] returns.
pub const CEILING_HEADER: &str =
    "asked/s  of          due to sent, ms, 99 of 100  due to answer, ms, 50  99  served  valid";

/// Measures the highest load that the rig itself sustains.
///
/// One generator sends to a plain echo server, and to three gateways with all their relays and stand-ins. The rate
/// doubles until the generator is too late in front of the echo server. Returns two rows per rate.
pub async fn ceiling(program: &Path, directory: &Path, seed: u64) -> Result<Vec<String>, MeasureError> {
    let (mut rows, mut rate, mut valid) = (Vec::new(), 250, true);
    while valid && rate < 1_000_000 {
        let text = format!(
            "shows = \"a measurement\"\nseconds = 3.0\nseed = {seed}\nregions = {{ north = [\"a\"] }}\n\
             gateways = {{ count = 3, fleet = false }}\nbackends = {{ count = 6, slots = 64, mean_ms = 2 }}\n\
             load = {{ customers = 1000, quota = [1000.0, 1000.0] }}\n"
        );
        let mut experiment = Experiment::parse(&text)?;
        // Set after the parsing, because it may exceed the maximum of an experiment file.
        experiment.load.rate = f64::from(rate);
        let rig = Rig::start(&experiment, program, &directory.join(rate.to_string())).await?;
        rig.run().await?;
        let rig_row = ceiling_row(rate, "the rig", &rig.results);
        rig.shut_down().await;
        let echo = ServiceListener::default();
        echo.open(|_| async { Some(response(StatusCode::OK, "")) }).await?;
        let epoch = Instant::now();
        let target = Gateway::new("echo", "a", echo.address.get(), program, directory, epoch);
        target.client_address.set(echo.address.get());
        let results = LoadResults::new();
        let generator = Generator::new(&[target], &experiment.load, results.clone(), epoch);
        generator.run(schedule(&experiment.load, experiment.span(), seed)).await;
        // At a rate that the generator cannot sustain with the echo server, the results of the rig mean nothing.
        valid = !results.generator_was_late();
        rows.extend([ceiling_row(rate, "plain echo", &results), rig_row]);
        rate *= 2;
    }
    Ok(rows)
}

fn ceiling_row(rate: u32, target: &str, results: &LoadResults) -> String {
    let requests = results.requests.borrow();
    let served = requests.iter().filter(|request| matches!(request.outcome, Outcome::Served(_))).count();
    let (latencies, lateness) = (results.latencies.borrow(), results.lateness.borrow());
    let ms = |micros: u64| micros as f64 / 1e3;
    format!(
        "{rate:>7}  {target:<10}  {:>26.2}  {:>21.2}  {:>6.2}  {:>6.3}  {}",
        ms(lateness.value_at_quantile(0.99)),
        ms(latencies.value_at_quantile(0.5)),
        ms(latencies.value_at_quantile(0.99)),
        served as f64 / requests.len().max(1) as f64,
        if results.generator_was_late() { "no" } else { "yes" },
    )
}

/// The header of the row that [`membership_real`] returns.
pub const MEMBERSHIP_REAL_HEADER: &str =
    "members  first s  all s  datagrams/s  bytes/s  CPU ms/s each  MiB at most";
