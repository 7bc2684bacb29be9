//! `.ci/known-red`: which test runs pass although tests fail, and what is printed for those that do not.
use std::path::PathBuf;
use std::process::Command;

const PASSED: &str =
    "running 3 tests\ntest fleet::a_lease_ends ... ok\ntest it_drains ... ok\ntest it_drains_late ... ok\n";
const FAILED: &str = "running 3 tests\ntest fleet::a_lease_ends ... FAILED\ntest it_drains ... ok\n\
    test it_drains_late ... FAILED\nerror: test failed, to rerun pass `-p lanespan --test x`\n";

/// Runs the script on a test log, the exit code of the test run and a list of known failures (`None`: the file is
/// missing). Returns the exit code and output of the script.
fn known_red(name: &str, log: &str, status: u8, listed: Option<&str>) -> (Option<i32>, String) {
    let path = |suffix: &str| {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("red-{name}-{}.{suffix}", std::process::id()))
    };
    let (log_file, list) = (path("log"), path("txt"));
    std::fs::write(&log_file, log).expect("the log is written");
    match listed {
        Some(listed) => std::fs::write(&list, listed).expect("the list is written"),
        None => drop(std::fs::remove_file(&list)),
    }
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let output = Command::new("bash").arg(script).arg(log_file).arg(status.to_string()).arg(list).output();
    let output = output.expect("the script runs");
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    (output.status.code(), String::from_utf8(output.stdout).expect("UTF-8 text"))
}

#[test]
fn without_entries_the_exit_code_of_the_run_decides() {
    for listed in [None, Some(""), Some("\n  \n")] {
        assert_eq!(known_red("none", PASSED, 0, listed), (Some(0), String::new()));
        assert_eq!(known_red("none", FAILED, 101, listed), (Some(101), String::new()));
    }
}

/// Returns a valid entry for a test.
fn entry(test: &str) -> String {
    format!("{test} | cargo test -p lanespan --test x, seed 7 | it ends late | 19\n")
}

#[test]
fn exactly_the_listed_tests_may_fail_and_each_is_printed_with_its_entry() {
    let both_entries = "fleet::a_lease_ends | cargo test -p x, seed 7 | the clock's step | 19\n\
        it_drains_late | cargo test -p y | a list comes late | 26\n";
    let (code, output) = known_red("both", FAILED, 101, Some(both_entries));
    assert_eq!(code, Some(0), "{output}");
    let lines = [
        "known-red: fleet::a_lease_ends fails, as is known: the clock's step (cargo test -p x, seed 7; issue 19)",
        "known-red: it_drains_late fails, as is known: a list comes late (cargo test -p y; issue 26)",
    ];
    assert_eq!(output.lines().collect::<Vec<_>>(), lines);
    let (code, output) = known_red("one", FAILED, 101, Some(&entry("it_drains_late")));
    assert_eq!(code, Some(1));
    assert!(output.contains("'fleet::a_lease_ends' fails and is not listed"), "{output}");
}

#[test]
fn mismatch_between_list_and_run_is_reported_in_one_line() {
    let known = format!("{}{}", entry("fleet::a_lease_ends"), entry("it_drains_late"));
    let format = "expected 'test | command and seed | seen | issue'";
    let known_and = |more: &str| format!("{known}{more}\n");
    for (name, log, status, listed, line) in [
        ("four", FAILED, 101, known_and(&[entry("a"), entry("b")].concat()), "has 4 entries, 3 at most"),
        ("nobody", FAILED, 101, known_and(&entry("it_drain")), "'it_drain' matches 0 tests"),
        ("dots", FAILED, 101, known_and(&entry("it.drains")), "'it.drains' matches 0 tests"),
        ("passes", FAILED, 101, known_and(&entry("it_drains")), "'it_drains' passes"),
        ("green", PASSED, 0, known.clone(), "'fleet::a_lease_ends' passes"),
        ("test", FAILED, 101, known_and(" | c | s | 1"), format),
        ("command", FAILED, 101, known_and("it_drains |  | s | 1"), format),
        ("seen", FAILED, 101, known_and("it_drains | c |  | 1"), format),
        ("issue", FAILED, 101, known_and("it_drains | c | s"), format),
        ("no-issue", FAILED, 101, known_and("it_drains | c | s | "), format),
        ("more", FAILED, 101, known_and("it_drains | c | s | 1 | d"), format),
        ("earlier", FAILED, 101, known_and("it_drains | cause | 1"), format),
        ("build", "error: could not compile `x`\n", 101, known.clone(), "ended otherwise"),
        ("silent", "running 3 tests\n", 101, known.clone(), "failed with 101 and no test did"),
    ] {
        let (code, output) = known_red(name, log, status, Some(&listed));
        assert_eq!(code, Some(1), "{name}: {output}");
        let matching = output.lines().filter(|row| row.starts_with("known-red: ") && row.contains(line));
        assert_eq!(matching.count(), 1, "{name}: {output}");
    }
    // The run has two tests of the same name.
    let twice = format!("{FAILED}test it_drains_late ... ok\n");
    let (code, output) = known_red("twice", &twice, 101, Some(&known));
    assert!(code == Some(1) && output.contains("'it_drains_late' matches 2 tests"), "{output}");
    // A test program that crashes fails the run, whatever the results of its tests.
    let crashed = format!("{FAILED}Caused by:\n  process didn't exit successfully: `x` (signal: 6)\n");
    let (code, output) = known_red("crashed", &crashed, 101, Some(&known));
    assert!(code == Some(1) && output.contains("ended otherwise"), "{output}");
}
