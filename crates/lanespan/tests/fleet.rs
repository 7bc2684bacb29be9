//! Fleet membership of gateway processes under faults, on the rig of `lanespan-lab`.

use lanespan_lab::checks::{alive_members, member_state};
use lanespan_lab::experiment::{Action, Experiment};
use lanespan_lab::rig::{block_on, Rig};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns an experiment with this number of gateways in three zones of two regions. The load runs only in tests that
/// call `Rig::run`.
fn fleet(gateways: usize) -> Experiment {
    let text = format!(
        r#"
        shows = "a test"
        seconds = 4.0
        regions = {{ north = ["a", "b"], south = ["c"] }}
        gateways = {{ count = {gateways}, probe_ms = 100, hold_ms = 1000 }}
        backends = {{ count = 3 }}
        load = {{ rate = 40.0, customers = 20, spread = 3 }}
        "#
    );
    Experiment::parse(&text).expect("the experiment is valid")
}

/// Returns a directory of its own for each fleet.
fn directory() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("fleet-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Starts a fleet and runs a test with it. Dropping the rig kills its processes, also when the test panics.
fn with_fleet<T: Future<Output = ()>>(experiment: Experiment, test: impl FnOnce(std::rc::Rc<Rig>) -> T) {
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan"));
        let rig = Rig::start(&experiment, program, &directory()).await.expect("the fleet starts");
        test(std::rc::Rc::new(rig)).await;
    });
}

async fn apply(rig: &Rig, action: Action) {
    rig.apply(&action).await.expect("the action is applied");
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Waits until these members have a state in the views of all running gateways.
async fn wait_for_member_state(rig: &Rig, members: &[&str], state: &str) {
    let all_have_state = |views: &BTreeMap<String, Value>| {
        !views.is_empty()
            && views.values().all(|view| members.iter().all(|name| member_state(view, name) == Some(state)))
    };
    rig.wait_for_views(&format!("{members:?} {state}"), WAIT_TIMEOUT, all_have_state)
        .await
        .expect("all views have the state");
}

#[test]
fn killed_gateway_is_lost_and_terminated_one_has_left_in_all_views() {
    with_fleet(fleet(6), |rig| async move {
        apply(&rig, Action::Kill(names(&["g4"]))).await;
        apply(&rig, Action::Terminate(names(&["g5"]))).await;
        wait_for_member_state(&rig, &["g4"], "lost").await;
        wait_for_member_state(&rig, &["g5"], "left").await;
        let lanespan = |args: &[&str]| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
            let admin_address = rig.gateway(0).admin_address.get().to_string();
            command.args(args).args(["--admin", &admin_address]).output().expect("the command runs")
        };
        let table = String::from_utf8(lanespan(&["fleet", "members"]).stdout).expect("UTF-8 text");
        let row = |name: &str| {
            table.lines().find(|line| line.starts_with(name)).expect("the member has a row").to_string()
        };
        assert!(row("g4").contains(" lost ") && row("g5").contains(" left "), "{table}");
        assert!(row("g0").contains("ready=yes"), "{table}");
        let members = || -> Value {
            serde_json::from_slice(&lanespan(&["fleet", "members", "--json"]).stdout).expect("JSON")
        };
        assert_eq!(alive_members(&members()).len(), 4);
        let status = || String::from_utf8(lanespan(&["status"]).stdout).expect("UTF-8 text");
        assert!(status().contains("gateways, suspect, gone      4, "), "{}", status());
        // A probe delayed by machine load makes a member suspect for a moment; it still counts as one of the four.
        let no_member_is_suspect = || {
            members()["zones"]["b"] == json!({ "present": 1, "suspect": 0, "gone": 1 })
                && status().contains("gateways, suspect, gone      4, 0, 2")
        };
        rig.wait_until("four alive, none suspect, two gone", WAIT_TIMEOUT, no_member_is_suspect)
            .await
            .expect("suspicions are refuted");
        let (_, metrics) = lanespan_lab::http::get(rig.gateway(0).admin_address.get(), "/metrics")
            .await
            .expect("the metrics");
        let metrics = String::from_utf8_lossy(&metrics).into_owned();
        for line in ["lanespan_fleet_present 4.0", "lanespan_fleet_gone 2.0"] {
            assert!(metrics.lines().any(|row| row == line), "{line} in {metrics}");
        }
    });
}

#[test]
fn endpoint_list_and_configuration_versions_reach_all_members() {
    with_fleet(fleet(3), |rig| async move {
        let fact_of = |view: &Value, name: &str, fact: &str| {
            let row = view["members"].as_array()?.iter().find(|row| row["name"] == name)?;
            row["facts"]["told"][fact].as_str().map(str::to_string)
        };
        let config_versions = |views: &BTreeMap<String, Value>| {
            views.values().map(|view| fact_of(view, "g1", "file")).collect::<Vec<_>>()
        };
        let before = config_versions(&rig.views().await);
        // One gateway loses its link to discovery, and the configuration file of another changes.
        let cut = lanespan_lab::links::Fault { cut: true, ..Default::default() };
        apply(&rig, Action::Link { from: names(&["discovery"]), to: names(&["g2"]), fault: cut }).await;
        apply(&rig, Action::Drain(names(&["b0"]))).await;
        rig.gateway(1).config.borrow_mut()["pool"] = json!({ "waiting": 77 });
        apply(&rig, Action::Reload(names(&["g1"]))).await;
        let versions_reached_all = |views: &BTreeMap<String, Value>| {
            let list_versions = |view: &Value| ["g0", "g1", "g2"].map(|name| fact_of(view, name, "list"));
            let expected = ["2", "2", "1"].map(|list| Some(list.to_string()));
            let changed = config_versions(views)
                .iter()
                .zip(&before)
                .all(|(now, before)| now.is_some() && now != before);
            views.len() == 3 && views.values().all(|view| list_versions(view) == expected) && changed
        };
        rig.wait_for_views("versions in all views", WAIT_TIMEOUT, versions_reached_all)
            .await
            .expect("all views have the change");
    });
}

/// Seven of ten gateways are killed at once and restarted; then gateways restart one after another under load.
#[test]
fn mass_kill_recovers_and_rolling_restart_loses_no_response() {
    with_fleet(fleet(10), |rig| async move {
        let killed: Vec<String> = (3..10).map(|index| format!("g{index}")).collect();
        apply(&rig, Action::Kill(killed.clone())).await;
        rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("three views agree");
        apply(&rig, Action::Start(killed)).await;
        rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("ten views agree");
        let (run, ()) = tokio::join!(rig.run(), apply(&rig, Action::Roll(names(&["g0", "g1", "g2"]))));
        run.expect("the run completes");
        let violations = rig.check().await;
        assert!(violations.is_empty(), "{violations:?}");
    });
}

/// A gateway whose process was stopped resumes with old timers. It must refute its loss with a new incarnation and must
/// not declare the other members dead.
#[test]
fn stopped_gateway_rejoins_with_a_new_incarnation() {
    with_fleet(fleet(6), |rig| async move {
        let incarnation = |views: &BTreeMap<String, Value>| {
            let rows = views["g0"]["members"].as_array().expect("rows").clone();
            rows.iter().find(|row| row["name"] == "g3").and_then(|row| row["incarnation"].as_u64())
        };
        let before = incarnation(&rig.views().await);
        apply(&rig, Action::Stop(names(&["g3"]))).await;
        let lost = |views: &BTreeMap<String, Value>| {
            views.len() == 5 && views.values().all(|view| member_state(view, "g3") == Some("lost"))
        };
        rig.wait_for_views("g3 lost", WAIT_TIMEOUT, lost).await.expect("all views have the change");
        apply(&rig, Action::Resume(names(&["g3"]))).await;
        rig.gateway(3)
            .wait_for_line("declared dead", WAIT_TIMEOUT)
            .await
            .expect("the gateway logs that it was declared dead");
        rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("six views agree");
        assert!(incarnation(&rig.views().await) > before);
        assert_eq!(
            rig.gateway(3).lines_with("fleet member dead"),
            0,
            "its failure detector does not act on the time that it was stopped"
        );
    });
}

/// Partitions into two and three groups, and links cut one way, must not leave views that differ once they are healed.
#[test]
fn views_converge_after_partitions_and_one_way_cuts() {
    with_fleet(fleet(9), |rig| async move {
        for groups in [
            vec![vec!["zone:a", "zone:b"], vec!["zone:c"]],
            vec![vec!["zone:a"], vec!["zone:b"], vec!["zone:c"]],
        ] {
            apply(&rig, Action::Partition(groups.iter().map(|group| names(group)).collect())).await;
            let separated = |views: &BTreeMap<String, Value>| {
                let group_count = groups.len();
                views.len() == 9
                    && views
                        .values()
                        .all(|view| alive_members(view).len() <= if group_count == 2 { 6 } else { 3 })
            };
            rig.wait_for_views("separated groups", WAIT_TIMEOUT, separated)
                .await
                .expect("each group sees only itself");
            apply(&rig, Action::Heal).await;
            rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("the views agree after the partition");
        }
        let cut = lanespan_lab::links::Fault { cut: true, ..Default::default() };
        apply(&rig, Action::Link { from: names(&["g1"]), to: names(&["g2", "g3"]), fault: cut }).await;
        apply(&rig, Action::Kill(names(&["g8"]))).await;
        rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("members relay updates around a cut link");
        // A member whose outgoing links are all cut receives everything, but is lost in the views of the others.
        apply(&rig, Action::Link { from: names(&["g1"]), to: names(&["gateways"]), fault: cut }).await;
        let lost_elsewhere = |views: &BTreeMap<String, Value>| {
            views
                .iter()
                .filter(|(name, _)| *name != "g1")
                .all(|(_, view)| member_state(view, "g1") == Some("lost"))
        };
        rig.wait_for_views("g1 lost", WAIT_TIMEOUT, lost_elsewhere).await.expect("all views have the change");
        // At the end of a run the rig removes the remaining faults, before views are compared.
        rig.run().await.expect("the run completes");
        let violations = rig.check().await;
        assert!(violations.is_empty(), "{violations:?}");
    });
}

/// A kill must be detected although three in ten datagrams are lost or duplicated, two in ten are reordered, all are
/// late, and clocks differ by up to an hour.
#[test]
fn kill_is_detected_despite_faulty_datagrams_and_clock_skew() {
    let mut experiment = fleet(6);
    let ahead = [("g1", 5_000), ("g2", -3_600_000)].map(|(name, ms)| (name.to_string(), ms));
    experiment.gateways.clock_ahead_ms = BTreeMap::from(ahead);
    with_fleet(experiment, |rig| async move {
        let fault = lanespan_lab::links::Fault {
            drop: 0.3,
            duplicate: 0.3,
            reorder: 0.2,
            delay_ms: 2,
            jitter_ms: 10,
            ..Default::default()
        };
        apply(&rig, Action::Link { from: names(&["gateways"]), to: names(&["gateways"]), fault }).await;
        apply(&rig, Action::Kill(names(&["g2"]))).await;
        wait_for_member_state(&rig, &["g2"], "lost").await;
        apply(&rig, Action::Heal).await;
        // The gateway restarts with its clock another hour behind. Its old state must not return.
        let gateway = rig.gateway(2).clone();
        gateway.config.borrow_mut()["fleet"]["clock_ahead_ms"] = json!(-7_200_000);
        apply(&rig, Action::Start(names(&["g2"]))).await;
        rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("six views agree");
    });
}

#[test]
fn duplicate_name_is_reported_at_both_but_not_a_rejoin_from_a_new_address() {
    with_fleet(fleet(5), |rig| async move {
        // The gateway announces its own address instead of that of the rig's relay.
        let rename_and_move = |index: usize, name: &str| {
            let mut config = rig.gateway(index).config.borrow_mut();
            config["name"] = json!(name);
            if let Some(fleet) = config["fleet"].as_object_mut() {
                fleet.remove("advertise");
            }
        };
        apply(&rig, Action::Kill(names(&["g3", "g4"]))).await;
        rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("three views agree");
        rename_and_move(3, "g3");
        apply(&rig, Action::Start(names(&["g3"]))).await;
        rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("the gateway rejoins at its new address");
        rename_and_move(4, "g1");
        apply(&rig, Action::Start(names(&["g4"]))).await;
        for index in [1, 4] {
            rig.gateway(index)
                .wait_for_line("two fleet members have the same name", WAIT_TIMEOUT)
                .await
                .expect("both gateways log the duplicate");
        }
        for gateway in &rig.gateways {
            let (reported, reported_for_g1) = (
                gateway.lines_with("two fleet members have the same name"),
                gateway.lines_with("name=\"g1\" older="),
            );
            assert_eq!(reported, reported_for_g1, "{}: reports no other name", gateway.name);
            assert!(reported <= 1, "{}: reports the duplicate at most once", gateway.name);
        }
        assert_eq!(
            rig.gateway(4).lines_with("declared dead") + rig.gateway(1).lines_with("declared dead"),
            0
        );
    });
}

/// The check must notice a terminated gateway that announces no leave. The test kills one and records it as terminated.
#[test]
fn missing_leave_announcement_violates_the_check() {
    with_fleet(fleet(3), |rig| async move {
        apply(&rig, Action::Kill(names(&["g2"]))).await;
        rig.terminated.borrow_mut().insert("g2".to_string());
        let violations = rig.check().await;
        assert!(violations.iter().any(|violation| violation.check == "leaves are told"), "{violations:?}");
    });
}

#[test]
fn without_a_fleet_section_no_udp_socket_is_open_and_the_command_reports_it() {
    let mut experiment = fleet(1);
    experiment.gateways.fleet = false;
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan"));
        let rig = Rig::start(&experiment, program, &directory()).await.expect("the gateway starts");
        let gateway = rig.gateway(0).clone();
        let pid = gateway.pid().expect("the gateway runs");
        let udp = std::fs::read_to_string(format!("/proc/{pid}/net/udp")).expect("Linux");
        let inodes: Vec<&str> =
            udp.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9)).collect();
        let descriptors =
            std::fs::read_dir(format!("/proc/{pid}/fd")).expect("the descriptors are listed").flatten();
        let descriptors = descriptors.filter_map(|entry| std::fs::read_link(entry.path()).ok());
        let sockets: Vec<String> = descriptors.map(|link| link.to_string_lossy().into_owned()).collect();
        assert!(sockets.iter().any(|socket| socket.starts_with("socket:")), "{sockets:?}");
        for inode in inodes {
            assert!(!sockets.contains(&format!("socket:[{inode}]")), "a UDP socket is open");
        }
        let admin_address = gateway.admin_address.get().to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_lanespan"))
            .args(["fleet", "members", "--admin", &admin_address])
            .output();
        let output = output.expect("the command runs");
        assert_eq!(output.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&output.stderr).contains("is its section configured?"));
    });
}

#[test]
fn unsent_datagrams_are_counted_and_views_still_agree() {
    let experiment = fleet(3);
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan"));
        // The system sends nothing to port 0.
        let join_port_zero =
            |config: &mut Value| config["fleet"]["join"] = json!([config["fleet"]["join"][0], "127.0.0.1:0"]);
        let rig = Rig::start_with(&experiment, program, &directory(), join_port_zero)
            .await
            .expect("the fleet starts");
        let unsent = || async {
            let (_, metrics) = lanespan_lab::http::get(rig.gateway(0).admin_address.get(), "/metrics")
                .await
                .expect("the metrics");
            let metrics = String::from_utf8_lossy(&metrics).into_owned();
            let line =
                metrics.lines().find_map(|line| line.strip_prefix("lanespan_fleet_datagrams_unsent_total "));
            line.and_then(|count| count.parse::<f64>().ok()).expect("the counter has a value")
        };
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        while unsent().await < 3.0 {
            assert!(std::time::Instant::now() < deadline, "fewer than three unsent datagrams were counted");
        }
        rig.wait_for_agreement(WAIT_TIMEOUT).await.expect("the views agree");
    });
}

/// `experiments/three-zones.toml`, four times as fast.
#[test]
fn shortened_three_zones_experiment_passes_all_checks() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/three-zones.toml");
    let text = std::fs::read_to_string(path).expect("the experiment is readable");
    let mut experiment = Experiment::parse(&text).expect("the experiment is valid");
    experiment.seconds /= 4.0;
    experiment.timeline.iter_mut().for_each(|step| step.at /= 4.0);
    experiment.gateways.probe_ms /= 4;
    experiment.gateways.hold_ms /= 4;
    with_fleet(experiment, |rig| async move {
        rig.run().await.expect("the run completes");
        let violations = rig.check().await;
        let report = rig.report(violations.clone());
        assert!(violations.is_empty(), "{}", report.text());
        assert_eq!(report.timeline.len(), 6, "{}", report.text());
    });
}
