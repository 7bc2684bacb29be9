//! What membership costs and how soon it detects a failure, over virtual networks of many sizes and over real processes.

use crate::checks::same_document;
use crate::experiment::{Action, Experiment, ExperimentError};
use crate::gateway::{Gateway, GatewayError};
use crate::http::response;
use crate::load::{schedule, Fate, Generator, Ledger};
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

/// How long the fleet is watched at rest, in seconds.
const REST_SECONDS: u64 = 60;
/// How long any condition may take to hold.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(120);

/// The bytes of datagrams that a gateway sent.
const BYTES_SENT_METRIC: &str = "lanespan_fleet_bytes_sent_total";

/// The head of the table that `simulated` fills.
pub const SIMULATED: &str =
    "members  seed  first s  all s  false suspicions  lost falsely  datagrams/s  bytes/s  exchanges";

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// Its experiment is not valid.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// Its fleet failed.
    #[error(transparent)]
    Rig(#[from] RigError),
    /// A gateway failed.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// The plain echo could not listen.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// It has no gateway.
    #[error("no gateway")]
    NoGateway,
    /// No gateway holds the lease that is to change hands.
    #[error("nobody holds the duty")]
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

/// One row: a fleet at rest, of which `slow` members in a hundred stand still for 1.5 s of every 3 s, then a kill.
pub fn simulated(members: usize, seed: u64, slow: usize) -> String {
    let mut network = SimulatedNetwork::converged(members, membership_config(), seed);
    let slow_ones: Vec<usize> = (1..members).step_by(100 / slow.max(1)).filter(|_| slow > 0).collect();
    let sent = |network: &SimulatedNetwork| {
        (total(network, |counters| counters.datagrams_sent), total(network, |counters| counters.bytes_sent))
    };
    let exchanges_requested =
        |network: &SimulatedNetwork| total(network, |counters| counters.exchanges_requested);
    let (before, exchanges_before) = (sent(&network), exchanges_requested(&network));
    let rest_from = network.now();
    // Not in step with probes.
    for _ in 0..REST_SECONDS / 3 {
        slow_ones.iter().for_each(|i| network.stall(*i, SECOND * 3 / 2));
        network.run(3 * SECOND + SECOND / 7);
    }
    let after = sent(&network);
    let span = network.now().saturating_duration_since(rest_from).as_secs_f64();
    let load = |from: u64, to: u64| (to - from) as f64 / (members as f64 * span);
    let exchanges = exchanges_requested(&network) - exchanges_before;
    let changes = network.gateways.iter().flat_map(|gateway| &gateway.changes);
    let changes: Vec<_> = changes.filter(|(at, _)| *at > rest_from).map(|(_, change)| change).collect();
    let at_rest = |state: MemberState| {
        let changed = changes.iter().filter(|change| change.state == state);
        let names = changed.map(|change| (&change.node.name, change.node.incarnation));
        names.collect::<BTreeSet<_>>().len()
    };
    let (suspected, lost) = (at_rest(MemberState::Suspect), at_rest(MemberState::Dead));
    let killed = network.gateways[0].membership.as_ref().map(|membership| membership.local().clone());
    network.kill(0);
    let knows = |membership: &Membership| {
        killed.as_ref().and_then(|node| membership.member_state(node)) == Some(MemberState::Dead)
    };
    let first = network.run_until(300 * SECOND, |network| network.running().any(|(_, m)| knows(m)));
    let rest = network.run_until(300 * SECOND, |network| network.running().all(|(_, m)| knows(m)));
    let seconds =
        |span: Option<Duration>| span.map_or("-".to_string(), |span| format!("{:.2}", span.as_secs_f64()));
    let all = first.zip(rest).map(|(first, rest)| first + rest);
    format!(
        "{members:>7}  {seed:>4}  {:>7}  {:>5}  {suspected:>16}  {lost:>12}  {:>11.1}  {:>7.0}  {exchanges:>9}",
        seconds(first),
        seconds(all),
        load(before.0, after.0),
        load(before.1, after.1),
    )
}

/// A fleet of real processes with the default period of probes: its cost at rest, then a kill.
pub async fn real(gateways: usize, program: &Path, directory: &Path) -> Result<String, MeasureError> {
    let text = format!(
        "shows = \"a measurement\"\nseconds = 1.0\nregions = {{ north = [\"a\", \"b\"], south = [\"c\"] }}\n\
         gateways = {{ count = {gateways}, probe_ms = 1000 }}\nbackends = {{ count = 1 }}\n"
    );
    let rig = Rig::start(&Experiment::parse(&text)?, program, directory).await?;
    let figures = || async {
        let mut figures = (0.0, 0.0);
        for gateway in &rig.gateways {
            figures.0 += gateway.metric("lanespan_fleet_datagrams_sent_total").await?;
            figures.1 += gateway.metric(BYTES_SENT_METRIC).await?;
        }
        Ok::<_, GatewayError>(figures)
    };
    let cpu = || rig.gateways.iter().filter_map(|gateway| gateway.cpu()).sum::<f64>();
    let (before, cpu_before, from) = (figures().await?, cpu(), Instant::now());
    sleep(Duration::from_secs(20)).await;
    let span = from.elapsed().as_secs_f64() * gateways as f64;
    let (after, cpu_after) = (figures().await?, cpu());
    rig.gateways.iter().for_each(|gateway| gateway.sample());
    let memory = rig.gateways.iter().map(|gateway| gateway.peak_usage.get().memory_bytes).max().unwrap_or(0);
    let killed = Instant::now();
    rig.apply(&Action::Kill(vec!["g0".to_string()])).await?;
    let knowing =
        || rig.gateways[1..].iter().filter(|g| g.lines_with("fleet member dead name=\"g0\"") > 0).count();
    rig.wait_until("the first to know", CONDITION_TIMEOUT, || knowing() > 0).await?;
    let first = killed.elapsed();
    rig.wait_until("all to know", CONDITION_TIMEOUT, || knowing() == gateways - 1).await?;
    let mut row = String::new();
    // Writing to a String can't fail.
    let _ = write!(
        row,
        "{gateways:>7}  {:>7.2}  {:>5.2}  {:>11.1}  {:>7.0}  {:>12.2}  {:>10.1}",
        first.as_secs_f64(),
        killed.elapsed().as_secs_f64(),
        (after.0 - before.0) / span,
        (after.1 - before.1) / span,
        (cpu_after - cpu_before) / span * 1e3,
        memory as f64 / f64::from(1 << 20),
    );
    rig.end().await;
    Ok(row)
}

/// The head of the table that `plan_simulated` fills.
pub const PLAN_SIMULATED: &str =
    "members  seed  to half, s  to nine tenths, s  to all, s  fetches of one at most";

/// One row: a change of the fleet document at three voters, until all followers have fetched it from a member that
/// gossips that it has it.
pub fn plan_simulated(members: usize, seed: u64) -> String {
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
    let (from, mut has, mut served) = (network.now(), vec![false; members], HashMap::<String, usize>::new());
    has[..VOTERS].fill(true);
    let mut times = Vec::new();
    // A fetch takes a step; a member that learns of the new version fetches it from one that has it.
    while times.len() < members - VOTERS && network.now() < from + 300 * SECOND {
        network.run(STEP);
        let lacking: Vec<usize> = (0..members).filter(|i| !has[*i]).collect();
        for i in lacking {
            let membership = network.gateways[i].membership.as_ref();
            let versions = membership.map(Membership::member_versions).unwrap_or_default();
            let ahead: Vec<_> = versions.iter().filter(|other| other.version.index == after.index).collect();
            if let Some(other) = ahead.get(rng.usize(..ahead.len().max(1))) {
                *served.entry(other.node.name.clone()).or_default() += 1;
                has[i] = true;
                network.set_document_version(i, after);
                times.push(network.now().saturating_duration_since(from).as_secs_f64());
            }
        }
    }
    let at = |part: f64| times.get(((times.len() as f64 * part) as usize).min(times.len() - 1)).copied();
    let [half, most, all] =
        [0.5, 0.9, 1.0].map(|part| at(part).map_or("-".to_string(), |s| format!("{s:.2}")));
    let most_served = served.values().max().copied().unwrap_or(0);
    format!("{members:>7}  {seed:>4}  {half:>10}  {most:>17}  {all:>9}  {most_served:>22}")
}

/// The head of the table that `plan_real` fills.
pub const PLAN_REAL: &str =
    "members  agreed, ms, 50  most  acted on by all, ms, 50  most  hand-over, s: SIGTERM  kill  stall  \
                             follower CPU ms/s  UDP bytes/s";

/// A fleet of real processes with the default ticks and leases: proposals, hand-overs, and what following costs.
pub async fn plan_real(gateways: usize, program: &Path, directory: &Path) -> Result<String, MeasureError> {
    const PROPOSALS: usize = 20;
    let text = format!(
        "shows = \"a measurement\"\nseconds = 1.0\nregions = {{ north = [\"a\", \"b\"], south = [\"c\"] }}\n\
         backends = {{ count = 1 }}\n[gateways]\ncount = {gateways}\nprobe_ms = 1000\n\
         plan = {{ voters = 3, tick_ms = 100, lease_ms = 5000, trust_s = 30, ramp_s = 30 }}\n"
    );
    let rig = Rig::start(&Experiment::parse(&text)?, program, directory).await?;
    let here = |gateway: &Gateway, part: &str| gateway.lines_with(part) > 0;
    let begun = |answers: &BTreeMap<String, Value>| {
        same_document(answers) && answers.values().all(|plan| plan["index"].as_u64() >= Some(2))
    };
    rig.wait_for_answers("duties", "/fleet/plan", CONDITION_TIMEOUT, begun).await?;
    let (mut agreed, mut acted) = (Vec::new(), Vec::new());
    for count in 0..PROPOSALS {
        let from = Instant::now();
        let (section, key, value) = ("work".to_string(), "x".to_string(), count.to_string());
        rig.apply(&Action::Propose { section, key, value }).await?;
        rig.wait_until("agreed", CONDITION_TIMEOUT, || rig.proposals.borrow().len() > count).await?;
        agreed.push(from.elapsed().as_secs_f64() * 1e3);
        let line = format!("plan: changed index={} ", rig.proposals.borrow()[count].0);
        rig.wait_until("all", CONDITION_TIMEOUT, || rig.gateways.iter().all(|g| here(g, &line))).await?;
        acted.push(from.elapsed().as_secs_f64() * 1e3);
    }
    let follower = rig.gateways.last().ok_or(MeasureError::NoGateway)?;
    let (cpu, bytes) = (follower.cpu(), follower.metric(BYTES_SENT_METRIC).await?);
    let from = Instant::now();
    sleep(Duration::from_secs(20)).await;
    let span = from.elapsed().as_secs_f64();
    let cpu = follower.cpu().zip(cpu).map_or(f64::NAN, |(after, before)| (after - before) / span * 1e3);
    let bytes = (follower.metric(BYTES_SENT_METRIC).await? - bytes) / span;
    let mut row = format!("{gateways:>7}  ");
    for times in [&mut agreed, &mut acted] {
        times.sort_by(f64::total_cmp);
        // Writing to a String can't fail.
        let _ = write!(row, "{:>6.0}  {:>6.0}  ", times[PROPOSALS / 2], times[PROPOSALS - 1]);
    }
    for seconds in lease_handovers(&rig).await? {
        let _ = write!(row, "{seconds:>6.2}  ");
    }
    let _ = write!(row, "{cpu:>6.2}  {bytes:>6.0}");
    rig.end().await;
    Ok(row)
}

/// Ends the holder of the `work` lease by SIGTERM, SIGKILL and SIGSTOP in turn; the seconds until another holds it.
async fn lease_handovers(rig: &Rig) -> Result<Vec<f64>, MeasureError> {
    let ends = [
        (Action::Terminate as fn(_) -> _, Action::Start as fn(_) -> _),
        (Action::Kill, Action::Start),
        (Action::Stop, Action::Resume),
    ];
    let grants = |gateway: &Gateway| gateway.lines_with("plan: duty taken duty=\"work\"");
    let grants = || rig.gateways.iter().map(|gateway| grants(gateway)).sum::<usize>();
    let mut seconds = Vec::new();
    for (end, resume) in ends {
        let leases = rig.get_json_from_all("/fleet/duties").await;
        let holder = leases.into_iter().find(|(_, leases)| leases["duties"][1]["held_here"] == true);
        let (holder, _) = holder.ok_or(MeasureError::NoLeaseHolder)?;
        let (before, ended_at) = (grants(), Instant::now());
        rig.apply(&end(vec![holder.clone()])).await?;
        rig.wait_until("another holder", CONDITION_TIMEOUT, || grants() > before).await?;
        seconds.push(ended_at.elapsed().as_secs_f64());
        rig.apply(&resume(vec![holder])).await?;
        let running = rig.running().count();
        let same = |answers: &BTreeMap<String, Value>| answers.len() == running && same_document(answers);
        rig.wait_for_answers("one plan", "/fleet/plan", CONDITION_TIMEOUT, same).await?;
    }
    Ok(seconds)
}

/// The head of the table that `ceiling` fills.
pub const CEILING: &str =
    "asked/s  of          due to sent, ms, 99 of 100  due to answer, ms, 50  99  served  valid";

/// The rig's own ceiling: one generator before a plain echo, and before three gateways with all their relays and
/// stand-ins, at ever higher rates until it is too late for either. Two rows a rate.
pub async fn ceiling(program: &Path, directory: &Path, seed: u64) -> Result<Vec<String>, MeasureError> {
    let (mut rows, mut rate, mut valid) = (Vec::new(), 250, true);
    while valid && rate < 1_000_000 {
        let text = format!(
            "shows = \"a measurement\"\nseconds = 3.0\nseed = {seed}\nregions = {{ north = [\"a\"] }}\n\
             gateways = {{ count = 3, fleet = false }}\nbackends = {{ count = 6, slots = 64, mean_ms = 2 }}\n\
             load = {{ customers = 1000, quota = [1000.0, 1000.0] }}\n"
        );
        let mut experiment = Experiment::parse(&text)?;
        // Beyond what a file may ask for.
        experiment.load.rate = f64::from(rate);
        let rig = Rig::start(&experiment, program, &directory.join(rate.to_string())).await?;
        rig.run().await?;
        let rig_row = row(rate, "the rig", &rig.ledger);
        rig.end().await;
        let echo = ServiceListener::default();
        echo.open(|_| async { Some(response(StatusCode::OK, "")) }).await?;
        let began = Instant::now();
        let target = Gateway::new("echo", "a", echo.target.get(), program, directory, began);
        target.client_address.set(echo.target.get());
        let ledger = Ledger::new();
        let generator = Generator::new(&[target], &experiment.load, ledger.clone(), began);
        generator.play(schedule(&experiment.load, experiment.span(), seed)).await;
        // Beyond the rate that the echo bears, the rig's figures mean nothing.
        valid = !ledger.was_late();
        rows.extend([row(rate, "plain echo", &ledger), rig_row]);
        rate *= 2;
    }
    Ok(rows)
}

fn row(rate: u32, of: &str, ledger: &Ledger) -> String {
    let asked = ledger.requests.borrow();
    let served = asked.iter().filter(|asked| matches!(asked.fate, Fate::Served(_))).count();
    let (times, lateness) = (ledger.latencies.borrow(), ledger.lateness.borrow());
    let ms = |micros: u64| micros as f64 / 1e3;
    format!(
        "{rate:>7}  {of:<10}  {:>26.2}  {:>21.2}  {:>6.2}  {:>6.3}  {}",
        ms(lateness.value_at_quantile(0.99)),
        ms(times.value_at_quantile(0.5)),
        ms(times.value_at_quantile(0.99)),
        served as f64 / asked.len().max(1) as f64,
        if ledger.was_late() { "no" } else { "yes" },
    )
}

/// The head of the table that `real` fills.
pub const REAL: &str = "members  first s  all s  datagrams/s  bytes/s  CPU ms/s each  MiB at most";
