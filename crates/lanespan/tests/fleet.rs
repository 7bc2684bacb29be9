//! Fleets of real gateways with faults between them, on the rig of `lanespan-lab`.

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

/// How long what must come is waited for.
const PATIENCE: Duration = Duration::from_secs(60);

/// So many gateways in three zones of two regions, with a load only if the test plays one.
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
    Experiment::parse(&text).expect("an experiment")
}

fn directory() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("fleet-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Plays with a fleet; its processes end with the test, however that ends.
fn with<T: Future<Output = ()>>(experiment: Experiment, test: impl FnOnce(std::rc::Rc<Rig>) -> T) {
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan"));
        let rig = Rig::start(&experiment, program, &directory()).await.expect("a fleet");
        test(std::rc::Rc::new(rig)).await;
    });
}

async fn act(rig: &Rig, act: Action) {
    rig.apply(&act).await.expect("it can be done");
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Waits until every running gateway holds each of these to stand so.
async fn all_hold(rig: &Rig, of: &[&str], wanted: &str) {
    let so = |views: &BTreeMap<String, Value>| {
        !views.is_empty()
            && views.values().all(|view| of.iter().all(|name| member_state(view, name) == Some(wanted)))
    };
    rig.wait_for_views(&format!("{of:?} {wanted}"), PATIENCE, so).await.expect("they know");
}

#[test]
fn a_kill_is_lost_a_stop_signal_has_left_and_the_command_tells_both() {
    with(fleet(6), |rig| async move {
        act(&rig, Action::Kill(names(&["g4"]))).await;
        act(&rig, Action::Terminate(names(&["g5"]))).await;
        all_hold(&rig, &["g4"], "lost").await;
        all_hold(&rig, &["g5"], "left").await;
        let ask = |words: &[&str]| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
            let door = rig.gateway(0).admin_address.get().to_string();
            command.args(words).args(["--admin", &door]).output().expect("it runs")
        };
        let told = String::from_utf8(ask(&["fleet", "members"]).stdout).expect("text");
        let row = |name: &str| told.lines().find(|line| line.starts_with(name)).expect("a row").to_string();
        assert!(row("g4").contains(" lost ") && row("g5").contains(" left "), "{told}");
        assert!(row("g0").contains("ready=yes"), "{told}");
        let members = || -> Value {
            serde_json::from_slice(&ask(&["fleet", "members", "--json"]).stdout).expect("JSON")
        };
        assert_eq!(alive_members(&members()).len(), 4);
        let status = || String::from_utf8(ask(&["status"]).stdout).expect("text");
        assert!(status().contains("gateways, suspect, gone      4, "), "{}", status());
        // A probe that is late beside other processes makes a suspect for a moment, which still counts as one of the four.
        let nobody_is_suspected = || {
            members()["zones"]["b"] == json!({ "present": 1, "suspect": 0, "gone": 1 })
                && status().contains("gateways, suspect, gone      4, 0, 2")
        };
        rig.wait_until("four alive, none suspected, two gone", PATIENCE, nobody_is_suspected)
            .await
            .expect("suspicions are refuted");
        let (_, metrics) =
            lanespan_lab::http::get(rig.gateway(0).admin_address.get(), "/metrics").await.expect("figures");
        let metrics = String::from_utf8_lossy(&metrics).into_owned();
        for line in ["lanespan_fleet_present 4.0", "lanespan_fleet_gone 2.0"] {
            assert!(metrics.lines().any(|told| told == line), "{line} in {metrics}");
        }
    });
}

#[test]
fn the_versions_of_list_and_file_that_each_acts_on_are_told_to_all() {
    with(fleet(3), |rig| async move {
        let told = |view: &Value, name: &str, fact: &str| {
            let row = view["members"].as_array()?.iter().find(|row| row["name"] == name)?;
            row["facts"]["told"][fact].as_str().map(str::to_string)
        };
        let files = |views: &BTreeMap<String, Value>| {
            views.values().map(|view| told(view, "g1", "file")).collect::<Vec<_>>()
        };
        let before = files(&rig.views().await);
        // One gateway has its discovery cut off, another's file changes.
        let cut = lanespan_lab::links::Fault { cut: true, ..Default::default() };
        act(&rig, Action::Link { from: names(&["discovery"]), to: names(&["g2"]), fault: cut }).await;
        act(&rig, Action::Drain(names(&["b0"]))).await;
        rig.gateway(1).config.borrow_mut()["pool"] = json!({ "waiting": 77 });
        act(&rig, Action::Reload(names(&["g1"]))).await;
        let so = |views: &BTreeMap<String, Value>| {
            let lists = |view: &Value| ["g0", "g1", "g2"].map(|name| told(view, name, "list"));
            let wanted = ["2", "2", "1"].map(|list| Some(list.to_string()));
            let changed =
                files(views).iter().zip(&before).all(|(now, before)| now.is_some() && now != before);
            views.len() == 3 && views.values().all(|view| lists(view) == wanted) && changed
        };
        rig.wait_for_views("versions told", PATIENCE, so).await.expect("they know");
    });
}

#[test]
fn seven_in_ten_killed_at_once_come_back_and_all_are_rolled_without_a_lost_answer() {
    with(fleet(10), |rig| async move {
        let most: Vec<String> = (3..10).map(|place| format!("g{place}")).collect();
        act(&rig, Action::Kill(most.clone())).await;
        rig.wait_for_agreement(PATIENCE).await.expect("three know of each other");
        act(&rig, Action::Start(most)).await;
        rig.wait_for_agreement(PATIENCE).await.expect("ten again");
        let (played, ()) = tokio::join!(rig.run(), act(&rig, Action::Roll(names(&["g0", "g1", "g2"]))));
        played.expect("it plays");
        let broken = rig.check().await;
        assert!(broken.is_empty(), "{broken:?}");
    });
}

#[test]
fn one_that_stood_still_comes_back_as_a_new_life_and_loses_nobody() {
    with(fleet(6), |rig| async move {
        let life = |views: &BTreeMap<String, Value>| {
            let rows = views["g0"]["members"].as_array().expect("rows").clone();
            rows.iter().find(|row| row["name"] == "g3").and_then(|row| row["incarnation"].as_u64())
        };
        let before = life(&rig.views().await);
        act(&rig, Action::Stop(names(&["g3"]))).await;
        let lost = |views: &BTreeMap<String, Value>| {
            views.len() == 5 && views.values().all(|view| member_state(view, "g3") == Some("lost"))
        };
        rig.wait_for_views("g3 lost", PATIENCE, lost).await.expect("they know");
        act(&rig, Action::Resume(names(&["g3"]))).await;
        rig.gateway(3).wait_for_line("declared dead", PATIENCE).await.expect("it is told");
        rig.wait_for_agreement(PATIENCE).await.expect("six again");
        assert!(life(&rig.views().await) > before);
        assert_eq!(rig.gateway(3).lines_with("fleet member dead"), 0, "its own timers did not run on");
    });
}

#[test]
fn partitions_in_two_and_three_and_links_cut_one_way_heal_into_one_view() {
    with(fleet(9), |rig| async move {
        for groups in [
            vec![vec!["zone:a", "zone:b"], vec!["zone:c"]],
            vec![vec!["zone:a"], vec!["zone:b"], vec!["zone:c"]],
        ] {
            act(&rig, Action::Partition(groups.iter().map(|group| names(group)).collect())).await;
            let apart = |views: &BTreeMap<String, Value>| {
                let parts = groups.len();
                views.len() == 9
                    && views.values().all(|view| alive_members(view).len() <= if parts == 2 { 6 } else { 3 })
            };
            rig.wait_for_views("parts", PATIENCE, apart).await.expect("each part by itself");
            act(&rig, Action::Heal).await;
            rig.wait_for_agreement(PATIENCE).await.expect("one view");
        }
        let cut = lanespan_lab::links::Fault { cut: true, ..Default::default() };
        act(&rig, Action::Link { from: names(&["g1"]), to: names(&["g2", "g3"]), fault: cut }).await;
        act(&rig, Action::Kill(names(&["g8"]))).await;
        rig.wait_for_agreement(PATIENCE).await.expect("others pass on what a link does not");
        // Heard by none, it hears all: it is lost to them.
        act(&rig, Action::Link { from: names(&["g1"]), to: names(&["gateways"]), fault: cut }).await;
        let deaf = |views: &BTreeMap<String, Value>| {
            views
                .iter()
                .filter(|(name, _)| *name != "g1")
                .all(|(_, view)| member_state(view, "g1") == Some("lost"))
        };
        rig.wait_for_views("g1 lost", PATIENCE, deaf).await.expect("they know");
        // What a timeline leaves broken is mended at the end of a run, before views are compared.
        rig.run().await.expect("it plays");
        let broken = rig.check().await;
        assert!(broken.is_empty(), "{broken:?}");
    });
}

#[test]
fn three_in_ten_datagrams_lost_late_doubled_and_overtaken_and_clocks_apart_hide_no_kill() {
    let mut experiment = fleet(6);
    let ahead = [("g1", 5_000), ("g2", -3_600_000)].map(|(name, ms)| (name.to_string(), ms));
    experiment.gateways.clock_ahead_ms = BTreeMap::from(ahead);
    with(experiment, |rig| async move {
        let fault = lanespan_lab::links::Fault {
            drop: 0.3,
            duplicate: 0.3,
            reorder: 0.2,
            delay_ms: 2,
            jitter_ms: 10,
            ..Default::default()
        };
        act(&rig, Action::Link { from: names(&["gateways"]), to: names(&["gateways"]), fault }).await;
        act(&rig, Action::Kill(names(&["g2"]))).await;
        all_hold(&rig, &["g2"], "lost").await;
        act(&rig, Action::Heal).await;
        // Back with its clock another hour behind: no old state comes with it.
        let gateway = rig.gateway(2).clone();
        gateway.config.borrow_mut()["fleet"]["clock_ahead_ms"] = json!(-7_200_000);
        act(&rig, Action::Start(names(&["g2"]))).await;
        rig.wait_for_agreement(PATIENCE).await.expect("six again");
    });
}

#[test]
fn a_name_claimed_twice_is_told_at_both_and_a_rejoin_from_another_address_is_not() {
    with(fleet(5), |rig| async move {
        // From here on they are reached without a relay, at an address of their own.
        let moves = |place: usize, name: &str| {
            let mut config = rig.gateway(place).config.borrow_mut();
            config["name"] = json!(name);
            if let Some(fleet) = config["fleet"].as_object_mut() {
                fleet.remove("advertise");
            }
        };
        act(&rig, Action::Kill(names(&["g3", "g4"]))).await;
        rig.wait_for_agreement(PATIENCE).await.expect("three");
        moves(3, "g3");
        act(&rig, Action::Start(names(&["g3"]))).await;
        rig.wait_for_agreement(PATIENCE).await.expect("the same name at another address");
        moves(4, "g1");
        act(&rig, Action::Start(names(&["g4"]))).await;
        for place in [1, 4] {
            rig.gateway(place)
                .wait_for_line("two fleet members have the same name", PATIENCE)
                .await
                .expect("told at both");
        }
        for gateway in &rig.gateways {
            let (told, wanted) = (
                gateway.lines_with("two fleet members have the same name"),
                gateway.lines_with("name=\"g1\" older="),
            );
            assert_eq!(told, wanted, "{}: of no other name", gateway.name);
            assert!(told <= 1, "{}: told once, not in turn", gateway.name);
        }
        assert_eq!(
            rig.gateway(4).lines_with("declared dead") + rig.gateway(1).lines_with("declared dead"),
            0
        );
    });
}

#[test]
fn one_that_forgets_to_leave_is_caught() {
    with(fleet(3), |rig| async move {
        act(&rig, Action::Kill(names(&["g2"]))).await;
        rig.terminated.borrow_mut().insert("g2".to_string());
        let broken = rig.check().await;
        assert!(broken.iter().any(|broken| broken.check == "leaves are told"), "{broken:?}");
    });
}

#[test]
fn without_the_section_no_socket_is_opened_and_the_command_says_so() {
    let mut experiment = fleet(1);
    experiment.gateways.fleet = false;
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan"));
        let rig = Rig::start(&experiment, program, &directory()).await.expect("a gateway");
        let gateway = rig.gateway(0).clone();
        let pid = gateway.pid().expect("it runs");
        let udp = std::fs::read_to_string(format!("/proc/{pid}/net/udp")).expect("Linux");
        let inodes: Vec<&str> =
            udp.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9)).collect();
        let links = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its own").flatten();
        let links = links.filter_map(|entry| std::fs::read_link(entry.path()).ok());
        let sockets: Vec<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
        assert!(sockets.iter().any(|socket| socket.starts_with("socket:")), "{sockets:?}");
        for inode in inodes {
            assert!(!sockets.contains(&format!("socket:[{inode}]")), "a UDP socket is open");
        }
        let door = gateway.admin_address.get().to_string();
        let asked = Command::new(env!("CARGO_BIN_EXE_lanespan"))
            .args(["fleet", "members", "--admin", &door])
            .output();
        let asked = asked.expect("it runs");
        assert_eq!(asked.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&asked.stderr).contains("is its section configured?"));
    });
}

#[test]
fn what_the_system_does_not_send_is_counted_and_nothing_else_suffers() {
    let experiment = fleet(3);
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan"));
        // Nothing can be sent to port 0.
        let no_port =
            |config: &mut Value| config["fleet"]["join"] = json!([config["fleet"]["join"][0], "127.0.0.1:0"]);
        let rig = Rig::start_with(&experiment, program, &directory(), no_port).await.expect("a fleet");
        let unsent = || async {
            let (_, told) = lanespan_lab::http::get(rig.gateway(0).admin_address.get(), "/metrics")
                .await
                .expect("figures");
            let told = String::from_utf8_lossy(&told).into_owned();
            let line =
                told.lines().find_map(|line| line.strip_prefix("lanespan_fleet_datagrams_unsent_total "));
            line.and_then(|count| count.parse::<f64>().ok()).expect("a figure")
        };
        let until = std::time::Instant::now() + PATIENCE;
        while unsent().await < 3.0 {
            assert!(std::time::Instant::now() < until, "it goes on trying");
        }
        rig.wait_for_agreement(PATIENCE).await.expect("still one view");
    });
}

/// `experiments/three-zones.toml`, four times as fast.
#[test]
fn the_three_zones_experiment_holds_in_its_short_form() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/three-zones.toml");
    let text = std::fs::read_to_string(path).expect("the experiment");
    let mut experiment = Experiment::parse(&text).expect("it makes sense");
    experiment.seconds /= 4.0;
    experiment.timeline.iter_mut().for_each(|step| step.at /= 4.0);
    experiment.gateways.probe_ms /= 4;
    experiment.gateways.hold_ms /= 4;
    with(experiment, |rig| async move {
        rig.run().await.expect("it plays");
        let broken = rig.check().await;
        let report = rig.report(broken.clone());
        assert!(broken.is_empty(), "{}", report.text());
        assert_eq!(report.timeline.len(), 6, "{}", report.text());
    });
}
