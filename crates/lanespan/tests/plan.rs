//! The fleet document, replicated between gateway processes under faults, on the rig of `lanespan-lab`.

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

/// The longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns an experiment with this number of gateways in three zones of two regions, of which the first ones vote.
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
    Experiment::parse(&text).expect("the experiment is valid")
}

/// Returns a directory of its own for each fleet.
fn directory() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("plan-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Starts a fleet, waits until it has founded a document, and runs a test with it. Dropping the rig kills its
/// processes, also when the test panics.
fn with_fleet<T: Future<Output = ()>>(experiment: Experiment, test: impl FnOnce(Rc<Rig>) -> T) {
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan"));
        let rig = Rig::start(&experiment, program, &directory()).await.expect("the fleet starts");
        wait_for_index(&rig, 1).await;
        test(Rc::new(rig)).await;
    });
}

async fn apply(rig: &Rig, action: Action) {
    rig.apply(&action).await.expect("the action is applied");
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn index(plan: &Value) -> u64 {
    plan["index"].as_u64().unwrap_or_default()
}

/// Waits until all running gateways have the same document, at this index or a later one.
async fn wait_for_index(rig: &Rig, min_index: u64) -> BTreeMap<String, Value> {
    let running = rig.running().count();
    let all_at_index = |documents: &BTreeMap<String, Value>| {
        documents.len() == running
            && same_document(documents)
            && documents.values().all(|plan| index(plan) >= min_index)
    };
    rig.wait_for_answers("one plan", "/fleet/plan", WAIT_TIMEOUT, all_at_index)
        .await
        .expect("the documents agree")
}

/// Waits until exactly one of the running gateways leads, and returns it.
async fn wait_for_leader(rig: &Rig) -> Rc<Gateway> {
    let leads = |documents: &BTreeMap<String, Value>| {
        documents.values().filter(|plan| plan["leads"] == true).count() == 1
    };
    let documents =
        rig.wait_for_answers("a leader", "/fleet/plan", WAIT_TIMEOUT, leads).await.expect("one leads");
    let name = documents.iter().find(|(_, plan)| plan["leads"] == true).map(|(name, _)| name.clone());
    gateway_named(rig, &name.expect("a leader"))
}

fn gateway_named(rig: &Rig, name: &str) -> Rc<Gateway> {
    rig.gateways.iter().find(|gateway| gateway.name == name).expect("a gateway of this name").clone()
}

/// Runs `lanespan fleet` at a gateway's admin address without blocking the other tasks of the rig.
async fn run_fleet_command(gateway: &Gateway, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    command.arg("fleet").args(args).args(["--admin", &gateway.admin_address.get().to_string()]);
    let thread = std::thread::spawn(move || command.output());
    while !thread.is_finished() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    thread.join().expect("no panic").expect("the command runs")
}

async fn run_at_leader(rig: &Rig, args: &[&str]) -> Output {
    let leader = wait_for_leader(rig).await;
    run_fleet_command(&leader, args).await
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&[output.stdout.as_slice(), output.stderr.as_slice()].concat()).into_owned()
}

/// Proposes a value to the current leader until it is accepted, and returns its index.
async fn commit_change(rig: &Rig, value: &str) -> u64 {
    loop {
        let output =
            run_at_leader(rig, &["plan", "propose", "versions", "floor", value, "--reason", "a test"]).await;
        if output.status.success() {
            let output = text(&output);
            return output.trim().rsplit(' ').next().and_then(|index| index.parse().ok()).expect("an index");
        }
    }
}

/// The lease of a role as a gateway reports it.
#[derive(Clone, Default)]
struct Lease {
    holder: String,
    token: LogPosition,
}

/// Returns the row of a role in the leases that a gateway reports.
fn lease_row<'a>(leases: &'a Value, role: &str) -> Option<&'a Value> {
    leases["duties"].as_array()?.iter().find(|row| row["duty"] == role)
}

fn lease_of(leases: &Value, role: &str) -> Option<Lease> {
    let row = lease_row(leases, role)?;
    let (term, index) = row["token"].as_str()?.split_once('.')?;
    let token = LogPosition { term: term.parse().ok()?, index: index.parse().ok()? };
    Some(Lease { holder: row["holder"].as_str()?.to_string(), token })
}

/// Waits until a running gateway that is not the holder of `before` holds the lease of a role, with a higher token.
async fn wait_for_new_holder(rig: &Rig, role: &str, before: &Lease) -> Lease {
    let new_lease = |responses: &BTreeMap<String, Value>| {
        responses.iter().find_map(|(name, leases)| {
            let lease = lease_of(leases, role)?;
            let held_here = lease_row(leases, role)?["held_here"] == true && lease.holder == *name;
            (held_here && *name != before.holder && lease.token > before.token).then_some(lease)
        })
    };
    let responses = rig
        .wait_for_answers("another holder", "/fleet/duties", WAIT_TIMEOUT, |responses| {
            new_lease(responses).is_some()
        })
        .await;
    new_lease(&responses.expect("another gateway holds the lease")).expect("a lease")
}

async fn wait_for_holder(rig: &Rig, role: &str) -> Lease {
    wait_for_new_holder(rig, role, &Lease::default()).await
}

/// Readmits a voter whose store is new: removes it, adds it again (a second time is invalid), and waits until it votes.
async fn readmit_voter(rig: &Rig, voter: &Gateway) {
    let (name, address) = (voter.name.as_str(), replication_address(voter).to_string());
    let removed = run_at_leader(rig, &["voters", "remove", name, "--reason", "its disk"]).await;
    assert!(removed.status.success(), "{}", text(&removed));
    let add = ["voters", "add", name, &address, "--zone", &voter.zone, "--reason", "a new disk"];
    let added = run_at_leader(rig, &add).await;
    assert!(added.status.success(), "{}", text(&added));
    let twice = run_at_leader(rig, &add).await;
    assert_eq!(twice.status.code(), Some(2), "{}", text(&twice));
    let votes = |documents: &BTreeMap<String, Value>| documents[name]["votes"] == true;
    rig.wait_for_answers("the voter votes", "/fleet/plan", WAIT_TIMEOUT, votes)
        .await
        .expect("the voter votes");
}

async fn assert_no_violation(rig: &Rig) {
    let violations = rig.check().await;
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn change_is_committed_once_and_replicated_to_all() {
    with_fleet(fleet(6, 3), |rig| async move {
        let leader = wait_for_leader(&rig).await;
        let follower = gateway_named(&rig, "g5");
        let propose = |value: &'static str, more: &[&'static str]| {
            let args = ["plan", "propose", "versions", "floor", value, "--reason", "release 17"];
            [&args[..], more].concat()
        };
        let first = run_fleet_command(&leader, &propose("17", &["--id", "77"])).await;
        assert!(first.status.success(), "{}", text(&first));
        // The proposal is sent again, as if its response was lost.
        let again = run_fleet_command(&leader, &propose("17", &["--id", "77"])).await;
        assert!(text(&again).starts_with("duplicate: index"), "{}", text(&again));
        let stale = run_fleet_command(&leader, &propose("18", &["--expected", "0"])).await;
        assert_eq!(stale.status.code(), Some(3), "{}", text(&stale));
        let at_follower = run_fleet_command(&follower, &propose("18", &[])).await;
        assert_eq!(at_follower.status.code(), Some(4), "{}", text(&at_follower));
        let voter = rig.gateways[..3].iter().find(|voter| voter.name != leader.name).expect("another voter");
        let at_voter = run_fleet_command(voter, &propose("18", &[])).await;
        assert!(text(&at_voter).contains(&format!("ask {}", leader.name)), "{}", text(&at_voter));
        let invalid =
            run_fleet_command(&leader, &["plan", "propose", "duties", "work", "x", "--reason", "a test"])
                .await;
        assert_eq!(invalid.status.code(), Some(2), "{}", text(&invalid));
        // A section that this build does not know is stored, replicated and shown.
        let unknown_section = run_fleet_command(
            &leader,
            &["plan", "propose", "weather", "wind", "north", "--reason", "a test"],
        )
        .await;
        let unknown_index = text(&unknown_section)
            .trim()
            .rsplit(' ')
            .next()
            .and_then(|index| index.parse().ok())
            .expect("an index");
        wait_for_index(&rig, unknown_index).await;
        follower
            .wait_for_line("an entry that this build does not know", WAIT_TIMEOUT)
            .await
            .expect("the gateway logs it");
        let document = text(&run_fleet_command(&follower, &["plan", "show"]).await);
        assert!(
            document.contains("this gateway follows")
                && document.contains("17")
                && document.contains("north"),
            "{document}"
        );
        let history = text(&run_fleet_command(&follower, &["plan", "history"]).await);
        assert_eq!(history.matches("release 17").count(), 1, "{history}");
        let (from, to) = ((unknown_index - 1).to_string(), unknown_index.to_string());
        let diff = text(&run_fleet_command(&follower, &["plan", "diff", &from, &to]).await);
        assert!(diff.starts_with("weather/wind = north") && diff.lines().count() == 1, "{diff}");
        let not_retained = run_fleet_command(&follower, &["plan", "diff", "0", "9999"]).await;
        assert_eq!(not_retained.status.code(), Some(1), "{}", text(&not_retained));
        wait_for_holder(&rig, "failover").await;
        let duties = text(&run_fleet_command(&follower, &["duties"]).await);
        assert!(duties.contains("failover") && duties.contains("work"), "{duties}");
        let (_, metrics) =
            lanespan_lab::http::get(follower.admin_address.get(), "/metrics").await.expect("the metrics");
        let metrics = String::from_utf8_lossy(&metrics).into_owned();
        assert!(
            metrics.contains("lanespan_plan_index ") && metrics.contains("lanespan_plan_alarms 0.0"),
            "{metrics}"
        );
        let members = rig.views().await;
        let all_report_a_version =
            members["g0"]["members"].as_array().expect("rows").iter().all(|m| !m["acts_on"].is_null());
        assert!(all_report_a_version, "{}", members["g0"]);
        assert_no_violation(&rig).await;
    });
}

#[test]
fn diverging_digest_raises_an_alarm_and_no_second_document_is_founded() {
    with_fleet(fleet(4, 3), |rig| async move {
        let before = commit_change(&rig, "1").await;
        wait_for_index(&rig, before).await;
        let view = rig.gateway(0).get_json("/fleet/members").await.expect("the admin interface responds");
        let row = view["members"]
            .as_array()
            .expect("rows")
            .iter()
            .find(|row| row["name"] == "g1")
            .expect("a row of g1");
        let field = |name: &str| row[name].as_str().expect("a string").to_string();
        let node = Node {
            name: field("name"),
            address: field("address").parse().expect("an address"),
            incarnation: row["incarnation"].as_u64().expect("a number"),
            zone: field("zone"),
            build: field("build"),
        };
        // The datagram that g1 would send if it had applied an entry with another result.
        let response = rig.gateway(0).get_json("/fleet/plan").await.expect("the admin interface responds");
        let document =
            u64::from_str_radix(response["plan"].as_str().expect("a string"), 16).expect("a number");
        let envelope = Envelope {
            kind: Kind::Swim,
            cluster: wire::cluster_hash("lab"),
            sender: wire::identity_key(&node),
            view_digest: 0,
            document_version: DocumentVersion { document, index: index(&response), digest: 1 },
            leader_heartbeat: 0,
        };
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        // The datagram is repeated, because g1's own datagrams with the right digest arrive in between.
        let alarm_raised = || {
            socket.send_to(&envelope.encode(b"x"), rig.gateway(0).membership_address.get()).expect("sent");
            rig.gateway(0).lines_with("plan: two gateways differ here=\"g0\" there=\"g1\"") > 0
        };
        rig.wait_until("an alarm", WAIT_TIMEOUT, alarm_raised).await.expect("the alarm names both gateways");
        // A gateway whose configuration lists only itself as voter must not found a second document.
        apply(&rig, Action::Kill(names(&["g3"]))).await;
        let sole_voter = gateway_named(&rig, "g3");
        let voters =
            json!({ "g3": { "zone": sole_voter.zone, "address": replication_address(&sole_voter) } });
        sole_voter.config.borrow_mut()["fleet"]["plan"]["voters"] = voters;
        apply(&rig, Action::Start(names(&["g3"]))).await;
        sole_voter
            .wait_for_line("other gateways act on a plan", WAIT_TIMEOUT)
            .await
            .expect("the gateway logs it");
        assert_eq!(
            sole_voter.get_json("/fleet/plan").await.expect("the admin interface responds")["votes"],
            false
        );
    });
}

#[test]
fn killed_leader_is_replaced_and_restarted_voters_keep_the_document() {
    with_fleet(fleet(6, 3), |rig| async move {
        let first = commit_change(&rig, "1").await;
        wait_for_index(&rig, first).await;
        let old_leader = wait_for_leader(&rig).await;
        apply(&rig, Action::Kill(vec![old_leader.name.clone()])).await;
        let second = commit_change(&rig, "2").await;
        wait_for_index(&rig, second).await;
        apply(&rig, Action::Start(vec![old_leader.name.clone()])).await;
        wait_for_index(&rig, second).await;
        apply(&rig, Action::Kill(names(&["g0", "g1", "g2"]))).await;
        for voter in &rig.gateways[..3] {
            voter.wait_for_end().await;
        }
        apply(&rig, Action::Start(names(&["g0", "g1", "g2"]))).await;
        assert!(rig
            .gateway(0)
            .wait_for_line("plan: open", WAIT_TIMEOUT)
            .await
            .expect("the plan opens")
            .contains("votes=true"));
        let third = commit_change(&rig, "3").await;
        assert!(third > second, "the document continues after its last index");
        wait_for_index(&rig, third).await;
        assert_no_violation(&rig).await;
    });
}

#[test]
fn holder_stopped_past_its_lease_is_replaced_and_fenced() {
    with_fleet(fleet(6, 3), |rig| async move {
        for role in ["failover", "work"] {
            let before = wait_for_holder(&rig, role).await;
            apply(&rig, Action::Stop(vec![before.holder.clone()])).await;
            // If the holder leads, another leader grants the new lease.
            let after = wait_for_new_holder(&rig, role, &before).await;
            apply(&rig, Action::Resume(vec![before.holder.clone()])).await;
            let old_holder = gateway_named(&rig, &before.holder);
            old_holder
                .wait_for_line(&format!("plan: duty lost duty=\"{role}\""), WAIT_TIMEOUT)
                .await
                .expect("the old holder logs the loss of its lease");
            let leases = old_holder.get_json("/fleet/duties").await.expect("the admin interface responds");
            let row = lease_row(&leases, role).expect("a row of the role");
            assert!(row["held_here"] == false || after.holder == before.holder, "{leases}");
            // A proposal with the old token is rejected, whichever gateway leads.
            wait_for_index(&rig, 1).await;
            let stale = json!({
                "id": 4_000 + after.token.index, "schema": 1, "proposer": before.holder, "reason": "late", "section": role,
                "key": "x", "value": "late", "duty": [role, { "term": before.token.term, "index": before.token.index }],
            });
            loop {
                let admin_address = wait_for_leader(&rig).await.admin_address.get();
                let path = "/fleet/plan/propose";
                let answer =
                    lanespan_lab::http::call(admin_address, hyper::Method::POST, path, stale.to_string())
                        .await;
                let (status, body) = answer.expect("a response");
                if status == 200 {
                    let answer: Value = serde_json::from_slice(&body).expect("JSON");
                    assert!(answer["Decided"]["Refused"]["Fenced"].is_object(), "{answer}");
                    break;
                }
            }
        }
        rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("the views agree");
        assert_no_violation(&rig).await;
    });
}

#[test]
fn terminating_holder_releases_its_lease_before_expiry() {
    let mut experiment = fleet(6, 3);
    // The lease outlasts the test, so that only a released lease can get a new holder.
    if let Some(plan) = &mut experiment.gateways.plan {
        plan.lease_ms = 600_000;
    }
    with_fleet(experiment, |rig| async move {
        let before = wait_for_holder(&rig, "work").await;
        apply(&rig, Action::Terminate(vec![before.holder.clone()])).await;
        let after = wait_for_new_holder(&rig, "work", &before).await;
        assert!(after.token > before.token);
        gateway_named(&rig, &before.holder).wait_for_end().await;
        assert_no_violation(&rig).await;
    });
}

/// A released lease must go to another gateway, also while gossip has not announced yet that its holder leaves.
#[test]
fn released_lease_is_not_granted_to_the_leaving_holder_again() {
    let mut experiment = fleet(6, 3);
    if let Some(plan) = &mut experiment.gateways.plan {
        plan.lease_ms = 600_000;
    }
    with_fleet(experiment, |rig| async move {
        let before = wait_for_holder(&rig, "work").await;
        // The holder's datagrams are lost from here on, while its connections work. Gossip thus does not announce that
        // it leaves.
        let (from, to, fault) =
            (vec![before.holder.clone()], names(&["gateways"]), Fault { drop: 1.0, ..Fault::default() });
        apply(&rig, Action::Link { from, to, fault }).await;
        apply(&rig, Action::Terminate(vec![before.holder.clone()])).await;
        wait_for_new_holder(&rig, "work", &before).await;
        let granted = format!(r#"key="work" value="{{\"holder\":\"{}\""#, before.holder);
        assert_eq!(rig.gateway(0).lines_with(&granted), 1, "{granted}");
    });
}

#[test]
fn without_a_quorum_requests_are_served_proposals_fail_and_trust_declines() {
    with_fleet(fleet(6, 3), |rig| async move {
        let before = commit_change(&rig, "1").await;
        wait_for_index(&rig, before).await;
        let leader = wait_for_leader(&rig).await;
        let others: Vec<String> =
            rig.gateways[..3].iter().filter(|g| g.name != leader.name).map(|g| g.name.clone()).collect();
        apply(&rig, Action::Kill(others.clone())).await;
        let trust = |documents: &BTreeMap<String, Value>| documents.values().all(|plan| plan["trust"] == 0.0);
        rig.wait_for_answers("no trust", "/fleet/plan", WAIT_TIMEOUT, trust)
            .await
            .expect("no gateway trusts the document");
        for gateway in rig.running() {
            gateway
                .wait_for_line("no heartbeat from a leader with a majority", WAIT_TIMEOUT)
                .await
                .expect("the gateway logs it");
        }
        let output =
            run_fleet_command(&leader, &["plan", "propose", "versions", "floor", "2", "--reason", "a test"])
                .await;
        assert!(matches!(output.status.code(), Some(4 | 5)), "{}", text(&output));
        rig.run().await.expect("the run completes");
        let report = rig.report(Vec::new());
        assert!(report.fates.get("served").is_some_and(|served| *served > 60), "{}", report.text());
        apply(&rig, Action::Start(others)).await;
        let after = commit_change(&rig, "3").await;
        assert!(after > before);
        wait_for_index(&rig, after).await;
        let trust = |documents: &BTreeMap<String, Value>| documents.values().all(|plan| plan["trust"] == 1.0);
        rig.wait_for_answers("full trust", "/fleet/plan", WAIT_TIMEOUT, trust)
            .await
            .expect("all gateways trust the document");
        assert_no_violation(&rig).await;
    });
}

#[test]
fn one_history_remains_after_partitions_one_way_cuts_and_delays() {
    with_fleet(fleet(6, 5), |rig| async move {
        let cut = Fault { cut: true, ..Fault::default() };
        // With 2, 2 and 1 voters apart no group has a majority, so nothing is committed until the partition heals.
        let zones = ["zone:a", "zone:b", "zone:c"].map(|zone| names(&[zone]));
        apply(&rig, Action::Partition(zones.to_vec())).await;
        for gateway in &rig.gateways {
            gateway
                .wait_for_line("no heartbeat from a leader with a majority", WAIT_TIMEOUT)
                .await
                .expect("the gateway logs it");
        }
        for gateway in &rig.gateways[..5] {
            let output = run_fleet_command(
                gateway,
                &["plan", "propose", "versions", "floor", "alone", "--reason", "a test"],
            )
            .await;
            assert!(matches!(output.status.code(), Some(4 | 5)), "{}", text(&output));
        }
        apply(&rig, Action::Heal).await;
        for round in 0..4 {
            let leader = wait_for_leader(&rig).await;
            let zone = format!("zone:{}", leader.zone);
            let others: Vec<String> = ["zone:a", "zone:b", "zone:c"]
                .iter()
                .filter(|other| **other != zone)
                .map(|z| z.to_string())
                .collect();
            let partition = match round {
                // The leader's zone is cut off; it may have two of the five voters.
                0 => Action::Partition(vec![vec![zone], others]),
                // The leader receives from all gateways, and none receives from it.
                1 => Action::Link { from: vec![leader.name.clone()], to: names(&["gateways"]), fault: cut },
                // One link is cut in one direction.
                2 => {
                    let to = rig.gateways[..5].iter().find(|g| g.name != leader.name).expect("another voter");
                    Action::Link { from: vec![leader.name.clone()], to: vec![to.name.clone()], fault: cut }
                }
                // Datagrams are lost, and messages of the replication take longer than an election.
                _ => {
                    let fault = Fault { drop: 0.3, delay_ms: 150, jitter_ms: 300, ..Fault::default() };
                    Action::Link { from: vec![leader.name.clone()], to: names(&["gateways"]), fault }
                }
            };
            apply(&rig, partition).await;
            for value in 0..3 {
                let (section, key) = ("versions".to_string(), "floor".to_string());
                apply(&rig, Action::Propose { section, key, value: format!("{round}.{value}") }).await;
            }
            let accepted = rig.proposals.clone();
            let expected = 3 * (round + 1);
            rig.wait_until("all proposals accepted", WAIT_TIMEOUT, || accepted.borrow().len() >= expected)
                .await
                .expect("the majority accepts proposals");
            apply(&rig, Action::Heal).await;
            let last = accepted.borrow().iter().map(|(index, _)| *index).max().expect("accepted proposals");
            wait_for_index(&rig, last).await;
        }
        assert_no_violation(&rig).await;
    });
}

#[test]
fn voter_with_a_deleted_store_rejoins_and_one_with_a_damaged_store_does_not_start() {
    with_fleet(fleet(6, 3), |rig| async move {
        let before = commit_change(&rig, "1").await;
        wait_for_index(&rig, before).await;
        let leader = wait_for_leader(&rig).await;
        let victim = rig.gateways[..3].iter().find(|g| g.name != leader.name).expect("another voter").clone();
        let store = rig.directory.join(format!("{}-plan", victim.name)).join("plan.redb");
        // A second process fails to start with a plan directory that is in use.
        let second = gateway_named(&rig, "g5");
        apply(&rig, Action::Kill(names(&["g5"]))).await;
        let own_directory = second.config.borrow()["fleet"]["plan"]["directory"].clone();
        let used_directory = store.parent().expect("a directory").display().to_string();
        second.config.borrow_mut()["fleet"]["plan"]["directory"] = json!(used_directory);
        let error = second.start().await.expect_err("the directory is in use").to_string();
        assert!(error.contains("plan.redb") && error.contains("open"), "{error}");
        second.config.borrow_mut()["fleet"]["plan"]["directory"] = own_directory;
        apply(&rig, Action::Start(names(&["g5"]))).await;
        second.crashes.borrow_mut().clear();
        // The voter's store is damaged while it is down.
        apply(&rig, Action::Kill(vec![victim.name.clone()])).await;
        let content = std::fs::read(&store).expect("the store exists");
        let damaged: Vec<u8> = content.iter().map(|byte| byte ^ 0x55).collect();
        std::fs::write(&store, damaged).expect("the file is written");
        let error = victim.start().await.expect_err("the store is damaged").to_string();
        assert!(error.contains("plan.redb"), "{error}");
        victim.crashes.borrow_mut().clear();
        std::fs::remove_file(&store).expect("the store exists");
        apply(&rig, Action::Start(vec![victim.name.clone()])).await;
        victim
            .wait_for_line("the plan lists another one under this name", WAIT_TIMEOUT)
            .await
            .expect("the gateway logs it");
        let plan = victim.get_json("/fleet/plan").await.expect("the admin interface responds");
        assert_eq!(plan["votes"], false, "{plan}");
        // The gateway still follows the document.
        let after = commit_change(&rig, "2").await;
        wait_for_index(&rig, after).await;
        readmit_voter(&rig, &victim).await;
        let add_voter = [
            "voters",
            "add",
            "g3",
            &replication_address(&gateway_named(&rig, "g3")).to_string(),
            "--zone",
            "a",
        ];
        let add_voter = [&add_voter[..], &["--reason", "a test"]].concat();
        assert!(run_at_leader(&rig, &add_voter).await.status.success(), "two of four voters are no majority");
        // The readmitted voter counts: with one of the other initial voters killed, the majority of three of four
        // needs it.
        let killed = rig.gateways[..3]
            .iter()
            .find(|g| g.name != victim.name && g.name != "g0")
            .expect("another voter");
        apply(&rig, Action::Kill(vec![killed.name.clone()])).await;
        let last = commit_change(&rig, "3").await;
        wait_for_index(&rig, last).await;
        assert_no_violation(&rig).await;
    });
}

/// A voter whose store was replaced by an older copy, or can't be written, must stop voting. The other voters and all
/// requests continue.
#[test]
fn older_store_or_full_disk_halts_only_that_voter() {
    with_fleet(fleet(6, 3), |rig| async move {
        let first = commit_change(&rig, "1").await;
        wait_for_index(&rig, first).await;
        let leader = wait_for_leader(&rig).await;
        let victim = rig.gateways[..3].iter().find(|g| g.name != leader.name).expect("another voter").clone();
        let store = rig.directory.join(format!("{}-plan", victim.name)).join("plan.redb");
        apply(&rig, Action::Kill(vec![victim.name.clone()])).await;
        let older = std::fs::read(&store).expect("the store exists");
        apply(&rig, Action::Start(vec![victim.name.clone()])).await;
        // The voter acknowledges entries that the copy does not have, to a leader that keeps running.
        for value in ["2", "3"] {
            let index = commit_change(&rig, value).await;
            wait_for_index(&rig, index).await;
        }
        apply(&rig, Action::Kill(vec![victim.name.clone()])).await;
        std::fs::write(&store, older).expect("the file is written");
        apply(&rig, Action::Start(vec![victim.name.clone()])).await;
        victim.wait_for_line("an older copy?", WAIT_TIMEOUT).await.expect("the gateway logs it");
        let index = commit_change(&rig, "4").await;
        wait_for_index(&rig, index).await;
        // A second voter gets a full disk, simulated by a limit on the size of its files.
        let second = rig.gateways[..3].iter().find(|g| g.name != victim.name && g.name != leader.name);
        let second = second.expect("the third").clone();
        // Before that, the first voter is readmitted with a new store, so that a majority remains.
        apply(&rig, Action::Kill(vec![victim.name.clone()])).await;
        std::fs::remove_file(&store).expect("the store exists");
        apply(&rig, Action::Start(vec![victim.name.clone()])).await;
        readmit_voter(&rig, &victim).await;
        apply(&rig, Action::Kill(vec![second.name.clone()])).await;
        let metadata =
            std::fs::metadata(rig.directory.join(format!("{}-plan", second.name)).join("plan.redb"));
        let max_blocks = metadata.expect("the store exists").len() / 512;
        let full_disk_program = rig.directory.join("full.sh");
        let program = env!("CARGO_BIN_EXE_lanespan");
        let script = format!("#!/bin/sh\ntrap '' XFSZ\nulimit -f {max_blocks}\nexec {program} \"$@\"\n");
        std::fs::write(&full_disk_program, script).expect("the file is written");
        std::fs::set_permissions(&full_disk_program, std::fs::Permissions::from_mode(0o700))
            .expect("the script is made executable");
        *second.program.borrow_mut() = full_disk_program;
        apply(&rig, Action::Start(vec![second.name.clone()])).await;
        let large_value = "x".repeat(4_000);
        // The free space of the store is far less than 200 of these values.
        for _ in 0..200 {
            if second.lines_with("the store failed") == 0 {
                commit_change(&rig, &large_value).await;
            }
        }
        second.wait_for_line("the store failed", WAIT_TIMEOUT).await.expect("the gateway logs it");
        let document = second.get_json("/fleet/plan").await.expect("the admin interface responds");
        assert_eq!(document["votes"], false, "{document}");
        let last = commit_change(&rig, "5").await;
        wait_for_index(&rig, last).await;
        rig.run().await.expect("the run completes");
        assert_no_violation(&rig).await;
    });
}

#[test]
fn rolling_restart_under_load_keeps_one_history_and_loses_no_response() {
    let mut experiment = fleet(6, 3);
    experiment.seconds = 6.0;
    with_fleet(experiment, |rig| async move {
        let rolling = async {
            for gateway in &rig.gateways {
                let (section, key, value) = ("work".to_string(), gateway.name.clone(), gateway.name.clone());
                apply(&rig, Action::Propose { section, key, value }).await;
                apply(&rig, Action::Roll(vec![gateway.name.clone()])).await;
            }
        };
        let (run, ()) = tokio::join!(rig.run(), rolling);
        run.expect("the run completes");
        let accepted = rig.proposals.clone();
        rig.wait_until("all proposals accepted", WAIT_TIMEOUT, || accepted.borrow().len() >= 6)
            .await
            .expect("all proposals are accepted");
        assert_no_violation(&rig).await;
    });
}

/// `experiments/agreed-plan.toml`, four times as fast.
#[test]
fn shortened_agreed_plan_experiment_passes_all_checks() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/agreed-plan.toml");
    let mut experiment =
        Experiment::parse(&std::fs::read_to_string(path).expect("the experiment is readable"))
            .expect("the experiment is valid");
    experiment.seconds /= 4.0;
    experiment.timeline.iter_mut().for_each(|step| step.at /= 4.0);
    experiment.gateways.probe_ms /= 4;
    experiment.gateways.hold_ms /= 4;
    experiment.gateways.plan.iter_mut().for_each(|plan| (plan.tick_ms, plan.lease_ms) = (20, 500));
    with_fleet(experiment, |rig| async move {
        rig.run().await.expect("the run completes");
        let violations = rig.check().await;
        let report = rig.report(violations.clone());
        assert!(violations.is_empty(), "{}", report.text());
        assert_eq!(rig.proposals.borrow().len(), 6, "{}", report.text());
    });
}
