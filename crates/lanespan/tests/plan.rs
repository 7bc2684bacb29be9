//! The fleet plan among real gateways with faults between them, on the rig of `lanespan-lab`.

use lanespan_lab::checks::one_plan;
use lanespan_lab::experiment::{Act, Experiment};
use lanespan_lab::gateway::{Gateway, Running};
use lanespan_lab::links::Fault;
use lanespan_lab::rig::{plan_address, play, Rig};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// How long what must come is waited for.
const PATIENCE: Duration = Duration::from_secs(60);

/// So many gateways in three zones of two regions, the first of which vote.
fn fleet(gateways: usize, voters: usize) -> Experiment {
    let text = format!(
        r#"
        shows = "a test"
        seconds = 3.0
        regions = {{ north = ["a", "b"], south = ["c"] }}
        backends = {{ count = 3 }}
        load = {{ rate = 40.0, customers = 20, spread = 3 }}
        [gateways]
        count = {gateways}
        probe_ms = 100
        hold_ms = 1000
        plan = {{ voters = {voters}, tick_ms = 20, lease_ms = 1000, trust_s = 1, ramp_s = 1 }}
        "#
    );
    Experiment::read(&text).expect("an experiment")
}

fn directory() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("plan-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Plays with a fleet that has begun a plan; its processes end with the test, however that ends.
fn with<T: Future<Output = ()>>(experiment: Experiment, test: impl FnOnce(Rc<Rig>) -> T) {
    play(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan"));
        let rig = Rig::start(&experiment, program, &directory()).await.expect("a fleet");
        all_at(&rig, 1).await;
        test(Rc::new(rig)).await;
    });
}

async fn act(rig: &Rig, act: Act) {
    rig.act(&act).await.expect("it can be done");
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn index(plan: &Value) -> u64 {
    plan["index"].as_u64().unwrap_or_default()
}

/// Waits until all running gateways have one plan, at this index or beyond.
async fn all_at(rig: &Rig, least: u64) -> BTreeMap<String, Value> {
    let running = rig.running().count();
    let so = |told: &BTreeMap<String, Value>| {
        told.len() == running && one_plan(told) && told.values().all(|plan| index(plan) >= least)
    };
    rig.wait_for("one plan", "/fleet/plan", PATIENCE, so).await.expect("they agree")
}

/// Waits until one of the running gateways leads, and no other.
async fn leader(rig: &Rig) -> Rc<Gateway> {
    let leads =
        |told: &BTreeMap<String, Value>| told.values().filter(|plan| plan["leads"] == true).count() == 1;
    let told = rig.wait_for("a leader", "/fleet/plan", PATIENCE, leads).await.expect("one leads");
    let name = told.iter().find(|(_, plan)| plan["leads"] == true).map(|(name, _)| name.clone());
    named(rig, &name.expect("there"))
}

fn named(rig: &Rig, name: &str) -> Rc<Gateway> {
    rig.gateways.iter().find(|gateway| gateway.name == name).expect("one of this name").clone()
}

/// The command at a gateway's door; other tasks of the rig go on meanwhile.
async fn ask(gateway: &Gateway, words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    command.arg("fleet").args(words).args(["--admin", &gateway.door.get().to_string()]);
    let asking = std::thread::spawn(move || command.output());
    while !asking.is_finished() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    asking.join().expect("no panic").expect("it runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&[output.stdout.as_slice(), output.stderr.as_slice()].concat()).into_owned()
}

/// Proposes at whoever leads until it is agreed on.
async fn agree(rig: &Rig, value: &str) -> u64 {
    loop {
        let there = leader(rig).await;
        let told = ask(&there, &["plan", "propose", "versions", "floor", value, "--reason", "a test"]).await;
        if told.status.success() {
            let told = text(&told);
            return told.trim().rsplit(' ').next().and_then(|index| index.parse().ok()).expect("an index");
        }
    }
}

/// Who holds a duty by a gateway's word, and the term and index of the token.
fn duty(told: &Value, duty: &str) -> Option<(String, (u64, u64))> {
    let row = told["duties"].as_array()?.iter().find(|row| row["duty"] == duty)?;
    let (term, index) = row["token"].as_str()?.split_once('.')?;
    Some((row["holder"].as_str()?.to_string(), (term.parse().ok()?, index.parse().ok()?)))
}

/// Waits until a duty is acted on by a running gateway that is not this one, under a higher token.
async fn taken_by_another(rig: &Rig, of: &str, before: &(String, (u64, u64))) -> (String, (u64, u64)) {
    let held = |told: &BTreeMap<String, Value>| {
        told.iter().find_map(|(name, told)| {
            let row = told["duties"].as_array()?.iter().find(|row| row["duty"] == of)?;
            let (holder, token) = duty(told, of)?;
            (row["held_here"] == true && holder == *name && *name != before.0 && token > before.1)
                .then_some((holder, token))
        })
    };
    let told = rig.wait_for("another holder", "/fleet/duties", PATIENCE, |told| held(told).is_some()).await;
    held(&told.expect("another holds it")).expect("there")
}

async fn holder(rig: &Rig, of: &str) -> (String, (u64, u64)) {
    taken_by_another(rig, of, &(String::new(), (0, 0))).await
}

async fn unbroken(rig: &Rig) {
    let broken = rig.check().await;
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn a_change_is_agreed_once_followed_by_all_and_told_by_the_command() {
    with(fleet(6, 3), |rig| async move {
        let there = leader(&rig).await;
        let follower = named(&rig, "g5");
        let propose = |value: &'static str, more: &[&'static str]| {
            let words = ["plan", "propose", "versions", "floor", value, "--reason", "release 17"];
            [&words[..], more].concat()
        };
        let first = ask(&there, &propose("17", &["--id", "77"])).await;
        assert!(first.status.success(), "{}", text(&first));
        // The answer was lost, and it is sent again.
        let again = ask(&there, &propose("17", &["--id", "77"])).await;
        assert!(text(&again).starts_with("known: index"), "{}", text(&again));
        let late = ask(&there, &propose("18", &["--expected", "0"])).await;
        assert_eq!(late.status.code(), Some(3), "{}", text(&late));
        let elsewhere = ask(&follower, &propose("18", &[])).await;
        assert_eq!(elsewhere.status.code(), Some(4), "{}", text(&elsewhere));
        let voter = rig.gateways[..3].iter().find(|voter| voter.name != there.name).expect("another");
        let elsewhere = ask(voter, &propose("18", &[])).await;
        assert!(text(&elsewhere).contains(&format!("ask {}", there.name)), "{}", text(&elsewhere));
        let wrong = ask(&there, &["plan", "propose", "duties", "work", "x", "--reason", "a test"]).await;
        assert_eq!(wrong.status.code(), Some(2), "{}", text(&wrong));
        // A section that this build does not know is kept, passed on and told.
        let newer = ask(&there, &["plan", "propose", "weather", "wind", "north", "--reason", "a test"]).await;
        let at = text(&newer).trim().rsplit(' ').next().and_then(|at| at.parse().ok()).expect("an index");
        all_at(&rig, at).await;
        follower.line("an entry that this build does not know", PATIENCE).await.expect("told");
        let shown = text(&ask(&follower, &["plan", "show"]).await);
        assert!(
            shown.contains("this gateway follows") && shown.contains("17") && shown.contains("north"),
            "{shown}"
        );
        let history = text(&ask(&follower, &["plan", "history"]).await);
        assert_eq!(history.matches("release 17").count(), 1, "{history}");
        let (from, to) = ((at - 1).to_string(), at.to_string());
        let diff = text(&ask(&follower, &["plan", "diff", &from, &to]).await);
        assert!(diff.starts_with("weather/wind = north") && diff.lines().count() == 1, "{diff}");
        let none = ask(&follower, &["plan", "diff", "0", "9999"]).await;
        assert_eq!(none.status.code(), Some(1), "{}", text(&none));
        holder(&rig, "failover").await;
        let duties = text(&ask(&follower, &["duties"]).await);
        assert!(duties.contains("failover") && duties.contains("work"), "{duties}");
        let (_, metrics) = lanespan_lab::http::get(follower.door.get(), "/metrics").await.expect("figures");
        let metrics = String::from_utf8_lossy(&metrics).into_owned();
        assert!(
            metrics.contains("lanespan_plan_index ") && metrics.contains("lanespan_plan_alarms 0.0"),
            "{metrics}"
        );
        let members = rig.views().await;
        let seen = members["g0"]["members"].as_array().expect("rows").iter().all(|m| !m["acts_on"].is_null());
        assert!(seen, "{}", members["g0"]);
        unbroken(&rig).await;
    });
}
