//! The rig must be able to fail: gateways that are broken on purpose are caught by the check meant for them, and by no
//! other.

use lanespan_lab::experiment::{Action, Experiment};
use lanespan_lab::load::schedule;
use lanespan_lab::rig::{block_on, Rig};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const LIGHT: &str = r#"
    shows = "a light load"
    seconds = 2.0
    regions = { north = ["a"] }
    gateways = { count = 2, fleet = false }
    backends = { count = 3, mean_ms = 4 }
    load = { rate = 60.0, customers = 20, spread = 2, quota = [50.0, 50.0] }
    checks = { memory_mb = 40 }
"#;

/// A folder that no other test uses.
fn directory(name: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("catches-{name}-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// A run whose generator was late is invalid and says nothing: it is played again, up to so many times in all.
const MAX_RUNS: usize = 3;

/// The checks that fail before gateways with this defect, in a valid run.
fn failing(defect: &str, text: &str) -> BTreeSet<&'static str> {
    let valid = (0..MAX_RUNS).find_map(|_| failing_if_valid(defect, text));
    valid.unwrap_or_else(|| panic!("{defect}: the generator was late in {MAX_RUNS} runs"))
}

/// The same of one run; `None` if it is invalid.
fn failing_if_valid(defect: &str, text: &str) -> Option<BTreeSet<&'static str>> {
    let experiment = Experiment::parse(text).expect("an experiment");
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan-lab"));
        let directory = directory(defect);
        let rig = Rig::start_with(&experiment, program, &directory, |config| {
            config["broken"] = json!(defect);
        });
        let rig = rig.await.expect("it starts");
        rig.run().await.expect("it plays");
        let broken = rig.check().await;
        let report = rig.report(broken.clone());
        rig.end().await;
        if report.invalid {
            eprintln!("{defect}: the generator was late: {:?}", report.late_ms);
            return None;
        }
        assert!(report.fates.get("served").is_some_and(|served| *served > 0), "{:?}", report.fates);
        Some(broken.iter().map(|broken| broken.check).collect())
    })
}

#[test]
fn a_gateway_without_a_defect_fails_no_check() {
    assert_eq!(failing("none", LIGHT), BTreeSet::new());
}

#[test]
fn each_defect_is_caught_by_the_check_meant_for_it() {
    for (defect, check) in [
        ("answers_twice", "one answer"),
        ("hangs_up", "one answer"),
        ("runs_twice", "not twice"),
        ("forges", "answers unchanged"),
        ("leaks", "memory"),
        ("crashes", "no crash"),
    ] {
        let failed = failing(defect, LIGHT);
        assert!(failed.contains(check), "{defect}: {failed:?}");
        // One that crashes also leaves requests without an answer.
        assert!(failed.len() == 1 || defect == "crashes", "{defect}: {failed:?}");
    }
}

#[test]
fn units_beyond_a_quota_are_caught() {
    let small = LIGHT.replace("quota = [50.0, 50.0]", "quota = [0.5, 1.0]");
    assert_eq!(failing("none", &small), BTreeSet::from(["quotas"]));
}

#[test]
fn requests_to_a_drained_backend_are_caught() {
    let drains = LIGHT.replace("seconds = 2.0", "seconds = 4.0")
        + "\n[[timeline]]\nat = 0.2\nact = { drain = [\"b0\"] }\n";
    assert_eq!(failing("none", &drains), BTreeSet::new());
    assert_eq!(failing("keeps_drained", &drains), BTreeSet::from(["drained"]));
}

#[test]
fn one_seed_gives_one_load_and_another_seed_another() {
    let load = Experiment::parse(LIGHT).expect("an experiment").load;
    let span = Duration::from_secs(20);
    assert_eq!(schedule(&load, span, 5), schedule(&load, span, 5));
    assert_ne!(schedule(&load, span, 5), schedule(&load, span, 6));
    let late = schedule(&load, span, 5).iter().filter(|due| due.at >= span / 2).count();
    assert!((400..800).contains(&late), "about half of 1,200 come in the second half: {late}");
}

#[test]
fn a_wrong_experiment_is_told_with_what_is_wrong() {
    for (from, to, told) in [
        ("shows", "show", "show"),
        ("count = 2", "count = 0", "gateways.count"),
        ("rate = 60.0", "rate = -1.0", "load.rate"),
        ("north = [\"a\"]", "", "regions"),
        ("checks", "timeline = [{ at = 9.0, act = \"heal\" }]\nchecks", "timeline"),
        ("checks", "timeline = [{ at = 1.0, act = { hack = [] } }]\nchecks", "hack"),
    ] {
        let wrong = LIGHT.replacen(from, to, 1);
        let problem = Experiment::parse(&wrong).expect_err(to).to_string();
        assert!(problem.contains(told), "{to}: {problem}");
    }
}

#[test]
fn a_fleet_that_is_dropped_in_the_middle_leaves_no_process() {
    let experiment = Experiment::parse(LIGHT).expect("an experiment");
    let pids = std::cell::RefCell::new(Vec::new());
    let playing = std::panic::AssertUnwindSafe(|| {
        block_on(async {
            let program = Path::new(env!("CARGO_BIN_EXE_lanespan-lab"));
            let rig = Rig::start(&experiment, program, &directory("dropped")).await.expect("it starts");
            pids.borrow_mut().extend(rig.gateways.iter().filter_map(|gateway| gateway.pid()));
            rig.apply(&Action::Stop(vec!["g1".into()])).await.expect("it stands still");
            panic!("a test that fails here");
        })
    });
    assert!(std::panic::catch_unwind(playing).is_err());
    let pids = pids.into_inner();
    assert_eq!(pids.len(), 2);
    let until = Instant::now() + Duration::from_secs(10);
    for pid in pids {
        // Gone, or dead and not yet waited for.
        let ended = || {
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            stat.is_empty() || stat.contains(") Z ")
        };
        while !ended() {
            assert!(Instant::now() < until, "{pid} lives on");
            std::thread::yield_now();
        }
    }
}

#[test]
fn ctrl_c_ends_a_run_with_a_report_and_leaves_no_process_and_no_port() {
    let out = directory("interrupted");
    std::fs::create_dir_all(&out).expect("a folder");
    let file = out.join("long.toml");
    std::fs::write(&file, LIGHT.replace("seconds = 2.0", "seconds = 600.0")).expect("written");
    let lab = env!("CARGO_BIN_EXE_lanespan-lab");
    // The broken gateways of the lab stand in for gateways, whose build this package does not wait for.
    let mut playing = Command::new(lab)
        .args(["fleet", "--lanespan", lab, "--out"])
        .args([&out, &file])
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(playing.stdout.take().expect("its words")).lines();
    let first = lines.next().expect("a line").expect("text");
    assert!(first.starts_with("playing"), "{first}");
    let address = |log: &str| {
        let log = std::fs::read_to_string(out.join(log)).expect("a log");
        let line = log.lines().find(|line| line.contains("listening")).expect("it listens").to_string();
        let word = line.split("address=").nth(1).and_then(|rest| rest.split(' ').next());
        word.and_then(|word| word.parse::<SocketAddr>().ok()).expect("an address")
    };
    let addresses = ["g0-1.log", "g1-1.log"].map(address);
    assert!(addresses.iter().all(|address| TcpStream::connect(address).is_ok()));
    let pid = Pid::from_raw(i32::try_from(playing.id()).expect("a process"));
    kill(pid, Signal::SIGINT).expect("it runs");
    assert_eq!(playing.wait().expect("it ends").code(), Some(2));
    let report = std::fs::read_to_string(out.join("report.json")).expect("a report");
    assert!(report.contains("\"timeline\""), "{report}");
    for address in addresses {
        assert!(TcpStream::connect(address).is_err(), "{address} is still open");
    }
    let own = out.to_string_lossy().into_owned();
    let processes = std::fs::read_dir("/proc").expect("Linux").flatten();
    let left = processes.filter_map(|entry| std::fs::read(entry.path().join("environ")).ok());
    assert_eq!(left.filter(|told| String::from_utf8_lossy(told).contains(&own)).count(), 0);
}
