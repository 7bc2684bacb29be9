//! Runs the rig with gateways that have a deliberate defect.
//!
//! Each defect must be detected by the check meant for it and by no other. Without these tests a check that never fails
//! would go unnoticed.

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

/// An experiment with a light load, in which a gateway without a defect violates no check.
const LIGHT_LOAD: &str = r#"
    shows = "a light load"
    seconds = 2.0
    regions = { north = ["a"] }
    gateways = { count = 2, fleet = false }
    backends = { count = 3, mean_ms = 4 }
    load = { rate = 60.0, customers = 20, spread = 2, quota = [50.0, 50.0] }
    checks = { memory_mb = 40 }
"#;

/// Returns the path of a directory that no other test uses.
fn directory(name: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("catches-{name}-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// The maximum number of runs of an experiment. A run whose generator was late is invalid, says nothing about the
/// gateways and is repeated.
const MAX_RUNS: usize = 3;

/// Returns the checks that fail in a valid run of gateways with a defect.
fn failed_checks(defect: &str, text: &str) -> BTreeSet<&'static str> {
    let failed = (0..MAX_RUNS).find_map(|_| failed_checks_if_valid(defect, text));
    failed.unwrap_or_else(|| panic!("{defect}: the generator was late in {MAX_RUNS} runs"))
}

/// Returns the checks that fail in one run, or `None` if the run is invalid.
fn failed_checks_if_valid(defect: &str, text: &str) -> Option<BTreeSet<&'static str>> {
    let experiment = Experiment::parse(text).expect("a valid experiment");
    block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_lanespan-lab"));
        let directory = directory(defect);
        let rig = Rig::start_with(&experiment, program, &directory, |config| {
            config["broken"] = json!(defect);
        });
        let rig = rig.await.expect("the fleet starts");
        rig.run().await.expect("the experiment runs");
        let violations = rig.check().await;
        let report = rig.report(violations.clone());
        rig.shut_down().await;
        if report.invalid {
            eprintln!("{defect}: the generator was late: {:?}", report.late_ms);
            return None;
        }
        assert!(report.fates.get("served").is_some_and(|served| *served > 0), "{:?}", report.fates);
        Some(violations.iter().map(|violation| violation.check).collect())
    })
}

#[test]
fn a_gateway_without_a_defect_fails_no_check() {
    assert_eq!(failed_checks("none", LIGHT_LOAD), BTreeSet::new());
}

#[test]
fn each_defect_fails_only_the_check_meant_for_it() {
    for (defect, check) in [
        ("answers_twice", "one answer"),
        ("hangs_up", "one answer"),
        ("runs_twice", "not twice"),
        ("forges", "answers unchanged"),
        ("leaks", "memory"),
        ("crashes", "no crash"),
    ] {
        let failed = failed_checks(defect, LIGHT_LOAD);
        assert!(failed.contains(check), "{defect}: {failed:?}");
        // A crash also leaves requests without a response, which fails `one answer` too.
        assert!(failed.len() == 1 || defect == "crashes", "{defect}: {failed:?}");
    }
}

#[test]
fn units_beyond_a_quota_fail_the_quota_check() {
    let small_quota = LIGHT_LOAD.replace("quota = [50.0, 50.0]", "quota = [0.5, 1.0]");
    assert_eq!(failed_checks("none", &small_quota), BTreeSet::from(["quotas"]));
}

#[test]
fn requests_to_a_drained_backend_fail_the_drain_check() {
    let with_drain = LIGHT_LOAD.replace("seconds = 2.0", "seconds = 4.0")
        + "\n[[timeline]]\nat = 0.2\nact = { drain = [\"b0\"] }\n";
    assert_eq!(failed_checks("none", &with_drain), BTreeSet::new());
    assert_eq!(failed_checks("keeps_drained", &with_drain), BTreeSet::from(["drained"]));
}

#[test]
fn equal_seeds_give_equal_schedules_and_different_seeds_differ() {
    let load = Experiment::parse(LIGHT_LOAD).expect("a valid experiment").load;
    let duration = Duration::from_secs(20);
    assert_eq!(schedule(&load, duration, 5), schedule(&load, duration, 5));
    assert_ne!(schedule(&load, duration, 5), schedule(&load, duration, 6));
    let second_half =
        schedule(&load, duration, 5).iter().filter(|request| request.at >= duration / 2).count();
    assert!(
        (400..800).contains(&second_half),
        "expected about half of 1,200 in the second half, got {second_half}"
    );
}

#[test]
fn invalid_experiment_error_names_the_key() {
    for (from, to, expected) in [
        ("shows", "show", "show"),
        ("count = 2", "count = 0", "gateways.count"),
        ("rate = 60.0", "rate = -1.0", "load.rate"),
        ("north = [\"a\"]", "", "regions"),
        ("checks", "timeline = [{ at = 9.0, act = \"heal\" }]\nchecks", "timeline"),
        ("checks", "timeline = [{ at = 1.0, act = { hack = [] } }]\nchecks", "hack"),
    ] {
        let invalid = LIGHT_LOAD.replacen(from, to, 1);
        let error = Experiment::parse(&invalid).expect_err(to).to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
}

/// A test that panics while its fleet runs must not leak gateway processes, even if one of them is stopped
/// (SIGSTOP) and so cannot exit by itself.
#[test]
fn dropping_a_running_fleet_leaves_no_process() {
    let experiment = Experiment::parse(LIGHT_LOAD).expect("a valid experiment");
    let pids = std::cell::RefCell::new(Vec::new());
    let panicking_run = std::panic::AssertUnwindSafe(|| {
        block_on(async {
            let program = Path::new(env!("CARGO_BIN_EXE_lanespan-lab"));
            let rig =
                Rig::start(&experiment, program, &directory("dropped")).await.expect("the fleet starts");
            pids.borrow_mut().extend(rig.gateways.iter().filter_map(|gateway| gateway.pid()));
            rig.apply(&Action::Stop(vec!["g1".into()])).await.expect("the gateway stops");
            panic!("simulated test failure");
        })
    });
    assert!(std::panic::catch_unwind(panicking_run).is_err());
    let pids = pids.into_inner();
    assert_eq!(pids.len(), 2);
    let deadline = Instant::now() + Duration::from_secs(10);
    for pid in pids {
        // The process has either been reaped or is a zombie.
        let has_exited = || {
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            stat.is_empty() || stat.contains(") Z ")
        };
        while !has_exited() {
            assert!(Instant::now() < deadline, "process {pid} is still running");
            std::thread::yield_now();
        }
    }
}

#[test]
fn ctrl_c_writes_a_report_and_leaves_no_process_or_open_port() {
    let out = directory("interrupted");
    std::fs::create_dir_all(&out).expect("the directory is created");
    let file = out.join("long.toml");
    std::fs::write(&file, LIGHT_LOAD.replace("seconds = 2.0", "seconds = 600.0"))
        .expect("the experiment file is written");
    let lab = env!("CARGO_BIN_EXE_lanespan-lab");
    // The lab's defective gateway takes the place of `lanespan`, because this package's tests do not build that
    // program.
    let mut child = Command::new(lab)
        .args(["fleet", "--lanespan", lab, "--out"])
        .args([&out, &file])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut lines = BufReader::new(child.stdout.take().expect("standard output is piped")).lines();
    let first = lines.next().expect("a line is printed").expect("the line is UTF-8");
    assert!(first.starts_with("running; logs in"), "{first}");
    let address = |log: &str| {
        let log = std::fs::read_to_string(out.join(log)).expect("the log exists");
        let line =
            log.lines().find(|line| line.contains("listening")).expect("the gateway listens").to_string();
        let value = line.split("address=").nth(1).and_then(|rest| rest.split(' ').next());
        value.and_then(|value| value.parse::<SocketAddr>().ok()).expect("the line has an address")
    };
    let addresses = ["g0-1.log", "g1-1.log"].map(address);
    assert!(addresses.iter().all(|address| TcpStream::connect(address).is_ok()));
    let pid = Pid::from_raw(i32::try_from(child.id()).expect("the pid fits"));
    kill(pid, Signal::SIGINT).expect("the command runs");
    assert_eq!(child.wait().expect("the command exits").code(), Some(2));
    let report = std::fs::read_to_string(out.join("report.json")).expect("the report exists");
    assert!(report.contains("\"timeline\""), "{report}");
    for address in addresses {
        assert!(TcpStream::connect(address).is_err(), "{address} is still open");
    }
    let out = out.to_string_lossy().into_owned();
    let processes = std::fs::read_dir("/proc").expect("/proc is mounted").flatten();
    let environments = processes.filter_map(|entry| std::fs::read(entry.path().join("environ")).ok());
    assert_eq!(
        environments.filter(|environment| String::from_utf8_lossy(environment).contains(&out)).count(),
        0
    );
}
