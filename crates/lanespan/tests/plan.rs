//! The replicated document among real gateways with faults between them, on the rig of `lanespan-lab`.

use lanespan_fleet::node::Node;
use lanespan_fleet::replication::document::LogPosition;
use lanespan_fleet::replication::replica::DocumentVersion;
use lanespan_fleet::wire::{self, Envelope, Kind};
use lanespan_lab::checks::same_document;
use lanespan_lab::experiment::{Action, Experiment};
use lanespan_lab::gateway::Gateway;
use lanespan_lab::links::Fault;
use lanespan_lab::rig::{block_on, replication_address, Rig};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::future::Future;
use std::os::unix::fs::PermissionsExt;
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
    Experiment::parse(&text).expect("an experiment")
}

fn directory() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("plan-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Plays with a fleet that has founded a document; its processes end with the test, however that ends.
fn with_fleet<T: Future<Output = ()>>(experiment: Experiment, test: impl FnOnce(Rc<Rig>) -> T) {
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan"));
        let rig = Rig::start(&experiment, program, &directory()).await.expect("a fleet");
        wait_for_index(&rig, 1).await;
        test(Rc::new(rig)).await;
    });
}

async fn act(rig: &Rig, act: Action) {
    rig.apply(&act).await.expect("it can be done");
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn index(plan: &Value) -> u64 {
    plan["index"].as_u64().unwrap_or_default()
}

/// Waits until all running gateways have one document, at this index or beyond.
async fn wait_for_index(rig: &Rig, least: u64) -> BTreeMap<String, Value> {
    let running = rig.running().count();
    let so = |shown: &BTreeMap<String, Value>| {
        shown.len() == running && same_document(shown) && shown.values().all(|plan| index(plan) >= least)
    };
    rig.wait_for_answers("one plan", "/fleet/plan", PATIENCE, so).await.expect("they agree")
}

/// Waits until one of the running gateways leads, and no other.
async fn wait_for_leader(rig: &Rig) -> Rc<Gateway> {
    let leads =
        |shown: &BTreeMap<String, Value>| shown.values().filter(|plan| plan["leads"] == true).count() == 1;
    let shown = rig.wait_for_answers("a leader", "/fleet/plan", PATIENCE, leads).await.expect("one leads");
    let name = shown.iter().find(|(_, plan)| plan["leads"] == true).map(|(name, _)| name.clone());
    gateway_named(rig, &name.expect("there"))
}

fn gateway_named(rig: &Rig, name: &str) -> Rc<Gateway> {
    rig.gateways.iter().find(|gateway| gateway.name == name).expect("one of this name").clone()
}

/// The command at a gateway's admin address; other tasks of the rig go on meanwhile.
async fn ask(gateway: &Gateway, words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    command.arg("fleet").args(words).args(["--admin", &gateway.admin_address.get().to_string()]);
    let asking = std::thread::spawn(move || command.output());
    while !asking.is_finished() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    asking.join().expect("no panic").expect("it runs")
}

async fn ask_leader(rig: &Rig, words: &[&str]) -> Output {
    let there = wait_for_leader(rig).await;
    ask(&there, words).await
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&[output.stdout.as_slice(), output.stderr.as_slice()].concat()).into_owned()
}

/// Proposes at whoever leads until it is committed.
async fn commit_change(rig: &Rig, value: &str) -> u64 {
    loop {
        let shown =
            ask_leader(rig, &["plan", "propose", "versions", "floor", value, "--reason", "a test"]).await;
        if shown.status.success() {
            let shown = text(&shown);
            return shown.trim().rsplit(' ').next().and_then(|index| index.parse().ok()).expect("an index");
        }
    }
}

/// The lease of a role as a gateway shows it.
#[derive(Clone, Default)]
struct Lease {
    holder: String,
    token: LogPosition,
}

/// The row of a role among the leases that a gateway shows.
fn lease_row<'a>(shown: &'a Value, role: &str) -> Option<&'a Value> {
    shown["duties"].as_array()?.iter().find(|row| row["duty"] == role)
}

fn lease_of(shown: &Value, role: &str) -> Option<Lease> {
    let row = lease_row(shown, role)?;
    let (term, index) = row["token"].as_str()?.split_once('.')?;
    let token = LogPosition { term: term.parse().ok()?, index: index.parse().ok()? };
    Some(Lease { holder: row["holder"].as_str()?.to_string(), token })
}

/// Waits until a running gateway that is not the holder of `before` acts by a role's lease, under a higher token.
async fn wait_for_new_holder(rig: &Rig, role: &str, before: &Lease) -> Lease {
    let held = |shown: &BTreeMap<String, Value>| {
        shown.iter().find_map(|(name, leases)| {
            let lease = lease_of(leases, role)?;
            let held_here = lease_row(leases, role)?["held_here"] == true && lease.holder == *name;
            (held_here && *name != before.holder && lease.token > before.token).then_some(lease)
        })
    };
    let shown = rig
        .wait_for_answers("another holder", "/fleet/duties", PATIENCE, |shown| held(shown).is_some())
        .await;
    held(&shown.expect("another holds it")).expect("there")
}

async fn wait_for_holder(rig: &Rig, role: &str) -> Lease {
    wait_for_new_holder(rig, role, &Lease::default()).await
}

/// Brings a voter whose store is new back: it is removed, added, and votes.
async fn replace_voter(rig: &Rig, voter: &Gateway) {
    let (name, address) = (voter.name.as_str(), replication_address(voter).to_string());
    let removed = ask_leader(rig, &["voters", "remove", name, "--reason", "its disk"]).await;
    assert!(removed.status.success(), "{}", text(&removed));
    let add = ["voters", "add", name, &address, "--zone", &voter.zone, "--reason", "a new disk"];
    let added = ask_leader(rig, &add).await;
    assert!(added.status.success(), "{}", text(&added));
    let twice = ask_leader(rig, &add).await;
    assert_eq!(twice.status.code(), Some(2), "{}", text(&twice));
    let votes = |shown: &BTreeMap<String, Value>| shown[name]["votes"] == true;
    rig.wait_for_answers("it votes", "/fleet/plan", PATIENCE, votes).await.expect("it votes");
}

async fn assert_no_violation(rig: &Rig) {
    let broken = rig.check().await;
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn a_change_is_committed_once_followed_by_all_and_shown_by_the_command() {
    with_fleet(fleet(6, 3), |rig| async move {
        let there = wait_for_leader(&rig).await;
        let follower = gateway_named(&rig, "g5");
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
        // A section that this build does not know is kept, passed on and shown.
        let newer = ask(&there, &["plan", "propose", "weather", "wind", "north", "--reason", "a test"]).await;
        let at = text(&newer).trim().rsplit(' ').next().and_then(|at| at.parse().ok()).expect("an index");
        wait_for_index(&rig, at).await;
        follower
            .wait_for_line("an entry that this build does not know", PATIENCE)
            .await
            .expect("it is reported");
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
        wait_for_holder(&rig, "failover").await;
        let duties = text(&ask(&follower, &["duties"]).await);
        assert!(duties.contains("failover") && duties.contains("work"), "{duties}");
        let (_, metrics) =
            lanespan_lab::http::get(follower.admin_address.get(), "/metrics").await.expect("figures");
        let metrics = String::from_utf8_lossy(&metrics).into_owned();
        assert!(
            metrics.contains("lanespan_plan_index ") && metrics.contains("lanespan_plan_alarms 0.0"),
            "{metrics}"
        );
        let members = rig.views().await;
        let seen = members["g0"]["members"].as_array().expect("rows").iter().all(|m| !m["acts_on"].is_null());
        assert!(seen, "{}", members["g0"]);
        assert_no_violation(&rig).await;
    });
}

#[test]
fn a_gateway_with_another_digest_raises_an_alarm_and_no_second_document_is_founded() {
    with_fleet(fleet(4, 3), |rig| async move {
        let before = commit_change(&rig, "1").await;
        wait_for_index(&rig, before).await;
        let view = rig.gateway(0).get_json("/fleet/members").await.expect("it answers");
        let row =
            view["members"].as_array().expect("rows").iter().find(|row| row["name"] == "g1").expect("there");
        let word = |name: &str| row[name].as_str().expect("text").to_string();
        let node = Node {
            name: word("name"),
            address: word("address").parse().expect("an address"),
            incarnation: row["incarnation"].as_u64().expect("a number"),
            zone: word("zone"),
            build: word("build"),
        };
        // As g1 would say it if an entry had come out otherwise there.
        let shown = rig.gateway(0).get_json("/fleet/plan").await.expect("it answers");
        let document = u64::from_str_radix(shown["plan"].as_str().expect("text"), 16).expect("a number");
        let envelope = Envelope {
            kind: Kind::Swim,
            cluster: wire::cluster_hash("lab"),
            sender: wire::identity_key(&node),
            view_digest: 0,
            document_version: DocumentVersion { document, index: index(&shown), digest: 1 },
            leader_heartbeat: 0,
        };
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        // g1's own word comes in between.
        let differs = || {
            socket.send_to(&envelope.encode(b"x"), rig.gateway(0).membership_address.get()).expect("sent");
            rig.gateway(0).lines_with("plan: two gateways differ here=\"g0\" there=\"g1\"") > 0
        };
        rig.wait_until("an alarm", PATIENCE, differs).await.expect("both are named");
        // A file that names itself as the only voter begins no second plan beside the first.
        act(&rig, Action::Kill(names(&["g3"]))).await;
        let other = gateway_named(&rig, "g3");
        let voters = json!({ "g3": { "zone": other.zone, "address": replication_address(&other) } });
        other.config.borrow_mut()["fleet"]["plan"]["voters"] = voters;
        act(&rig, Action::Start(names(&["g3"]))).await;
        other.wait_for_line("other gateways act on a plan", PATIENCE).await.expect("it is reported");
        assert_eq!(other.get_json("/fleet/plan").await.expect("it answers")["votes"], false);
    });
}

#[test]
fn a_killed_leader_is_replaced_and_all_voters_killed_restart_with_the_document() {
    with_fleet(fleet(6, 3), |rig| async move {
        let first = commit_change(&rig, "1").await;
        wait_for_index(&rig, first).await;
        let old = wait_for_leader(&rig).await;
        act(&rig, Action::Kill(vec![old.name.clone()])).await;
        let second = commit_change(&rig, "2").await;
        wait_for_index(&rig, second).await;
        act(&rig, Action::Start(vec![old.name.clone()])).await;
        wait_for_index(&rig, second).await;
        act(&rig, Action::Kill(names(&["g0", "g1", "g2"]))).await;
        for voter in &rig.gateways[..3] {
            voter.wait_for_end().await;
        }
        act(&rig, Action::Start(names(&["g0", "g1", "g2"]))).await;
        assert!(rig
            .gateway(0)
            .wait_for_line("plan: open", PATIENCE)
            .await
            .expect("a line")
            .contains("votes=true"));
        let third = commit_change(&rig, "3").await;
        assert!(third > second, "the plan goes on where it was");
        wait_for_index(&rig, third).await;
        assert_no_violation(&rig).await;
    });
}

#[test]
fn a_holder_that_is_stopped_past_its_lease_is_replaced_and_fenced_when_it_resumes() {
    with_fleet(fleet(6, 3), |rig| async move {
        for role in ["failover", "work"] {
            let before = wait_for_holder(&rig, role).await;
            act(&rig, Action::Stop(vec![before.holder.clone()])).await;
            // Also where the holder leads: then it is another leader's grant.
            let after = wait_for_new_holder(&rig, role, &before).await;
            act(&rig, Action::Resume(vec![before.holder.clone()])).await;
            let old = gateway_named(&rig, &before.holder);
            old.wait_for_line(&format!("plan: duty lost duty=\"{role}\""), PATIENCE)
                .await
                .expect("it sees that it is over");
            let shown = old.get_json("/fleet/duties").await.expect("it answers");
            let row = lease_row(&shown, role).expect("there");
            assert!(row["held_here"] == false || after.holder == before.holder, "{shown}");
            // What it asks for under its old token is refused, wherever it is heard.
            wait_for_index(&rig, 1).await;
            let stale = json!({
                "id": 4_000 + after.token.index, "schema": 1, "proposer": before.holder, "reason": "late", "section": role,
                "key": "x", "value": "late", "duty": [role, { "term": before.token.term, "index": before.token.index }],
            });
            loop {
                let door = wait_for_leader(&rig).await.admin_address.get();
                let path = "/fleet/plan/propose";
                let answer =
                    lanespan_lab::http::call(door, hyper::Method::POST, path, stale.to_string()).await;
                let (status, body) = answer.expect("an answer");
                if status == 200 {
                    let answer: Value = serde_json::from_slice(&body).expect("JSON");
                    assert!(answer["Decided"]["Refused"]["Fenced"].is_object(), "{answer}");
                    break;
                }
            }
        }
        rig.wait_for_agreement(PATIENCE).await.expect("one view");
        assert_no_violation(&rig).await;
    });
}

#[test]
fn a_holder_that_terminates_releases_its_lease_before_it_expires() {
    let mut experiment = fleet(6, 3);
    // Longer than the test waits: only what is given back can move.
    if let Some(plan) = &mut experiment.gateways.plan {
        plan.lease_ms = 600_000;
    }
    with_fleet(experiment, |rig| async move {
        let before = wait_for_holder(&rig, "work").await;
        act(&rig, Action::Terminate(vec![before.holder.clone()])).await;
        let after = wait_for_new_holder(&rig, "work", &before).await;
        assert!(after.token > before.token);
        gateway_named(&rig, &before.holder).wait_for_end().await;
        assert_no_violation(&rig).await;
    });
}

#[test]
fn a_released_lease_does_not_return_to_its_holder_before_gossip_tells_that_it_leaves() {
    let mut experiment = fleet(6, 3);
    if let Some(plan) = &mut experiment.gateways.plan {
        plan.lease_ms = 600_000;
    }
    with_fleet(experiment, |rig| async move {
        let before = wait_for_holder(&rig, "work").await;
        // Its datagrams are lost from here on, its connections are sound.
        let (from, to, fault) =
            (vec![before.holder.clone()], names(&["gateways"]), Fault { drop: 1.0, ..Fault::default() });
        act(&rig, Action::Link { from, to, fault }).await;
        act(&rig, Action::Terminate(vec![before.holder.clone()])).await;
        wait_for_new_holder(&rig, "work", &before).await;
        let granted = format!(r#"key="work" value="{{\"holder\":\"{}\""#, before.holder);
        assert_eq!(rig.gateway(0).lines_with(&granted), 1, "{granted}");
    });
}

#[test]
fn without_a_quorum_requests_go_on_proposals_fail_and_trust_declines_until_it_returns() {
    with_fleet(fleet(6, 3), |rig| async move {
        let before = commit_change(&rig, "1").await;
        wait_for_index(&rig, before).await;
        let there = wait_for_leader(&rig).await;
        let others: Vec<String> =
            rig.gateways[..3].iter().filter(|g| g.name != there.name).map(|g| g.name.clone()).collect();
        act(&rig, Action::Kill(others.clone())).await;
        let trust = |shown: &BTreeMap<String, Value>| shown.values().all(|plan| plan["trust"] == 0.0);
        rig.wait_for_answers("trust given up", "/fleet/plan", PATIENCE, trust).await.expect("by all");
        for gateway in rig.running() {
            gateway
                .wait_for_line("no heartbeat from a leader with a majority", PATIENCE)
                .await
                .expect("it is reported");
        }
        let shown = ask(&there, &["plan", "propose", "versions", "floor", "2", "--reason", "a test"]).await;
        assert!(matches!(shown.status.code(), Some(4 | 5)), "{}", text(&shown));
        rig.run().await.expect("it plays");
        let report = rig.report(Vec::new());
        assert!(report.fates.get("served").is_some_and(|served| *served > 60), "{}", report.text());
        act(&rig, Action::Start(others)).await;
        let after = commit_change(&rig, "3").await;
        assert!(after > before);
        wait_for_index(&rig, after).await;
        let trust = |shown: &BTreeMap<String, Value>| shown.values().all(|plan| plan["trust"] == 1.0);
        rig.wait_for_answers("trust again", "/fleet/plan", PATIENCE, trust).await.expect("by all");
        assert_no_violation(&rig).await;
    });
}

#[test]
fn partitions_one_way_cuts_and_late_links_leave_one_history_and_the_quorum_goes_on() {
    with_fleet(fleet(6, 5), |rig| async move {
        let cut = Fault { cut: true, ..Fault::default() };
        // 2/2/1: nobody has a majority, and nothing is agreed on until it is back.
        let zones = ["zone:a", "zone:b", "zone:c"].map(|zone| names(&[zone]));
        act(&rig, Action::Partition(zones.to_vec())).await;
        for gateway in &rig.gateways {
            gateway
                .wait_for_line("no heartbeat from a leader with a majority", PATIENCE)
                .await
                .expect("it is reported");
        }
        for gateway in &rig.gateways[..5] {
            let shown =
                ask(gateway, &["plan", "propose", "versions", "floor", "alone", "--reason", "a test"]).await;
            assert!(matches!(shown.status.code(), Some(4 | 5)), "{}", text(&shown));
        }
        act(&rig, Action::Heal).await;
        for round in 0..4 {
            let there = wait_for_leader(&rig).await;
            let zone = format!("zone:{}", there.zone);
            let others: Vec<String> = ["zone:a", "zone:b", "zone:c"]
                .iter()
                .filter(|other| **other != zone)
                .map(|z| z.to_string())
                .collect();
            let partition = match round {
                // The leader's zone is cut off; it may hold two of five.
                0 => Action::Partition(vec![vec![zone], others]),
                // The leader hears all and is heard by none.
                1 => Action::Link { from: vec![there.name.clone()], to: names(&["gateways"]), fault: cut },
                // One link, one way.
                2 => {
                    let to = rig.gateways[..5].iter().find(|g| g.name != there.name).expect("another");
                    Action::Link { from: vec![there.name.clone()], to: vec![to.name.clone()], fault: cut }
                }
                // Loss where there are datagrams, and letters that take longer than an election.
                _ => {
                    let fault = Fault { drop: 0.3, delay_ms: 150, jitter_ms: 300, ..Fault::default() };
                    Action::Link { from: vec![there.name.clone()], to: names(&["gateways"]), fault }
                }
            };
            act(&rig, partition).await;
            for value in 0..3 {
                let (section, key) = ("versions".to_string(), "floor".to_string());
                act(&rig, Action::Propose { section, key, value: format!("{round}.{value}") }).await;
            }
            let shown = rig.proposals.clone();
            let wanted = 3 * (round + 1);
            rig.wait_until("all agreed", PATIENCE, || shown.borrow().len() >= wanted)
                .await
                .expect("the majority goes on");
            act(&rig, Action::Heal).await;
            let last = shown.borrow().iter().map(|(index, _)| *index).max().expect("some");
            wait_for_index(&rig, last).await;
        }
        assert_no_violation(&rig).await;
    });
}

#[test]
fn an_emptied_store_returns_as_a_new_voter_and_a_damaged_one_does_not_start() {
    with_fleet(fleet(6, 3), |rig| async move {
        let before = commit_change(&rig, "1").await;
        wait_for_index(&rig, before).await;
        let there = wait_for_leader(&rig).await;
        let victim = rig.gateways[..3].iter().find(|g| g.name != there.name).expect("another").clone();
        let store = rig.directory.join(format!("{}-plan", victim.name)).join("plan.redb");
        // A second process on a directory that is in use.
        let second = gateway_named(&rig, "g5");
        act(&rig, Action::Kill(names(&["g5"]))).await;
        let own = second.config.borrow()["fleet"]["plan"]["directory"].clone();
        let taken = store.parent().expect("a folder").display().to_string();
        second.config.borrow_mut()["fleet"]["plan"]["directory"] = json!(taken);
        let refused = second.start().await.expect_err("the directory is taken").to_string();
        assert!(refused.contains("plan.redb") && refused.contains("open"), "{refused}");
        second.config.borrow_mut()["fleet"]["plan"]["directory"] = own;
        act(&rig, Action::Start(names(&["g5"]))).await;
        second.crashes.borrow_mut().clear();
        // Damage in the middle of what is read.
        act(&rig, Action::Kill(vec![victim.name.clone()])).await;
        let whole = std::fs::read(&store).expect("there");
        let damaged: Vec<u8> = whole.iter().map(|byte| byte ^ 0x55).collect();
        std::fs::write(&store, damaged).expect("written");
        let refused = victim.start().await.expect_err("damaged").to_string();
        assert!(refused.contains("plan.redb"), "{refused}");
        victim.crashes.borrow_mut().clear();
        std::fs::remove_file(&store).expect("there");
        act(&rig, Action::Start(vec![victim.name.clone()])).await;
        victim
            .wait_for_line("the plan lists another one under this name", PATIENCE)
            .await
            .expect("it is reported");
        let plan = victim.get_json("/fleet/plan").await.expect("it answers");
        assert_eq!(plan["votes"], false, "{plan}");
        // It still follows.
        let after = commit_change(&rig, "2").await;
        wait_for_index(&rig, after).await;
        replace_voter(&rig, &victim).await;
        let lopsided = [
            "voters",
            "add",
            "g3",
            &replication_address(&gateway_named(&rig, "g3")).to_string(),
            "--zone",
            "a",
        ];
        let lopsided = [&lopsided[..], &["--reason", "a test"]].concat();
        assert!(ask_leader(&rig, &lopsided).await.status.success(), "two of four are no majority");
        // It counts: with one of the other old ones gone, three of four are there only with it.
        let gone =
            rig.gateways[..3].iter().find(|g| g.name != victim.name && g.name != "g0").expect("another");
        act(&rig, Action::Kill(vec![gone.name.clone()])).await;
        let last = commit_change(&rig, "3").await;
        wait_for_index(&rig, last).await;
        assert_no_violation(&rig).await;
    });
}

#[test]
fn an_older_copy_of_a_store_or_a_full_disk_halts_a_voter_and_nothing_else() {
    with_fleet(fleet(6, 3), |rig| async move {
        let first = commit_change(&rig, "1").await;
        wait_for_index(&rig, first).await;
        let there = wait_for_leader(&rig).await;
        let victim = rig.gateways[..3].iter().find(|g| g.name != there.name).expect("another").clone();
        let store = rig.directory.join(format!("{}-plan", victim.name)).join("plan.redb");
        act(&rig, Action::Kill(vec![victim.name.clone()])).await;
        let older = std::fs::read(&store).expect("there");
        act(&rig, Action::Start(vec![victim.name.clone()])).await;
        // It acknowledges more than the copy holds, to a leader that runs on.
        for value in ["2", "3"] {
            let index = commit_change(&rig, value).await;
            wait_for_index(&rig, index).await;
        }
        act(&rig, Action::Kill(vec![victim.name.clone()])).await;
        std::fs::write(&store, older).expect("written");
        act(&rig, Action::Start(vec![victim.name.clone()])).await;
        victim.wait_for_line("an older copy?", PATIENCE).await.expect("it is reported");
        let index = commit_change(&rig, "4").await;
        wait_for_index(&rig, index).await;
        // A second voter's disk is full from now on: its files may grow no further.
        let second = rig.gateways[..3].iter().find(|g| g.name != victim.name && g.name != there.name);
        let second = second.expect("the third").clone();
        // The first comes back as a new voter, so that a majority is left.
        act(&rig, Action::Kill(vec![victim.name.clone()])).await;
        std::fs::remove_file(&store).expect("there");
        act(&rig, Action::Start(vec![victim.name.clone()])).await;
        replace_voter(&rig, &victim).await;
        act(&rig, Action::Kill(vec![second.name.clone()])).await;
        let size = std::fs::metadata(rig.directory.join(format!("{}-plan", second.name)).join("plan.redb"));
        let blocks = size.expect("there").len() / 512;
        let full = rig.directory.join("full.sh");
        let program = env!("CARGO_BIN_EXE_lanespan");
        let script = format!("#!/bin/sh\ntrap '' XFSZ\nulimit -f {blocks}\nexec {program} \"$@\"\n");
        std::fs::write(&full, script).expect("written");
        std::fs::set_permissions(&full, std::fs::Permissions::from_mode(0o700)).expect("its own");
        *second.program.borrow_mut() = full;
        act(&rig, Action::Start(vec![second.name.clone()])).await;
        let long = "x".repeat(4_000);
        // What the store has room for by now is far less than 200 of them.
        for _ in 0..200 {
            if second.lines_with("the store failed") == 0 {
                commit_change(&rig, &long).await;
            }
        }
        second.wait_for_line("the store failed", PATIENCE).await.expect("it is reported");
        let shown = second.get_json("/fleet/plan").await.expect("it answers");
        assert_eq!(shown["votes"], false, "{shown}");
        let last = commit_change(&rig, "5").await;
        wait_for_index(&rig, last).await;
        rig.run().await.expect("it plays");
        assert_no_violation(&rig).await;
    });
}

#[test]
fn a_rolling_restart_under_load_keeps_one_history_and_loses_no_answer() {
    let mut experiment = fleet(6, 3);
    experiment.seconds = 6.0;
    with_fleet(experiment, |rig| async move {
        let rolling = async {
            for gateway in &rig.gateways {
                let (section, key, value) = ("work".to_string(), gateway.name.clone(), gateway.name.clone());
                act(&rig, Action::Propose { section, key, value }).await;
                act(&rig, Action::Roll(vec![gateway.name.clone()])).await;
            }
        };
        let (played, ()) = tokio::join!(rig.run(), rolling);
        played.expect("it plays");
        let shown = rig.proposals.clone();
        rig.wait_until("all agreed", PATIENCE, || shown.borrow().len() >= 6).await.expect("each of them");
        assert_no_violation(&rig).await;
    });
}

/// `experiments/agreed-plan.toml`, four times as fast.
#[test]
fn the_agreed_plan_experiment_holds_in_its_short_form() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/agreed-plan.toml");
    let mut experiment =
        Experiment::parse(&std::fs::read_to_string(path).expect("there")).expect("it makes sense");
    experiment.seconds /= 4.0;
    experiment.timeline.iter_mut().for_each(|step| step.at /= 4.0);
    experiment.gateways.probe_ms /= 4;
    experiment.gateways.hold_ms /= 4;
    experiment.gateways.plan.iter_mut().for_each(|plan| (plan.tick_ms, plan.lease_ms) = (20, 500));
    with_fleet(experiment, |rig| async move {
        rig.run().await.expect("it plays");
        let broken = rig.check().await;
        let report = rig.report(broken.clone());
        assert!(broken.is_empty(), "{}", report.text());
        assert_eq!(rig.proposals.borrow().len(), 6, "{}", report.text());
    });
}
