//! Tests `.ci/known-red`: which test runs with failures pass, and which messages it prints.
use std::path::PathBuf;
use std::process::Command;

const PASSED: &str =
    "running 3 tests\ntest fleet::a_lease_ends ... ok\ntest it_drains ... ok\ntest it_drains_late ... ok\n";
const FAILED: &str = "running 3 tests\ntest fleet::a_lease_ends ... FAILED\ntest it_drains ... ok\n\
    test it_drains_late ... FAILED\nerror: test failed, to rerun pass `-p lanespan --test x`\n";

/// Runs `.ci/known-red` for a test run with this output and exit code, and returns its own exit code and output.
/// `known_failures` is the content of the list; `None` means that the file does not exist.
fn run_known_red(name: &str, log: &str, status: u8, known_failures: Option<&str>) -> (Option<i32>, String) {
    let path = |suffix: &str| {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("red-{name}-{}.{suffix}", std::process::id()))
    };
    let (log_path, list_path) = (path("log"), path("txt"));
    std::fs::write(&log_path, log).expect("the log is written");
    match known_failures {
        Some(known_failures) => std::fs::write(&list_path, known_failures).expect("the list is written"),
        None => drop(std::fs::remove_file(&list_path)),
    }
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let output =
        Command::new("bash").arg(script).arg(log_path).arg(status.to_string()).arg(list_path).output();
    let output = output.expect("the script runs");
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    (output.status.code(), String::from_utf8(output.stdout).expect("the output is UTF-8"))
}

#[test]
fn without_entries_the_exit_code_of_the_run_is_kept() {
    for known_failures in [None, Some(""), Some("\n  \n")] {
        assert_eq!(run_known_red("none", PASSED, 0, known_failures), (Some(0), String::new()));
        assert_eq!(run_known_red("none", FAILED, 101, known_failures), (Some(101), String::new()));
    }
}

/// Returns a complete entry for the named test.
fn entry(test: &str) -> String {
    format!("{test} | cargo test -p lanespan --test x, seed 7 | it ends late | 19\n")
}

#[test]
fn only_listed_tests_may_fail_and_each_is_printed_with_its_entry() {
    let both = "fleet::a_lease_ends | cargo test -p x, seed 7 | the clock's step | 19\n\
        it_drains_late | cargo test -p y | a list comes late | 26\n";
    let (code, output) = run_known_red("both", FAILED, 101, Some(both));
    assert_eq!(code, Some(0), "{output}");
    let lines = [
        "known-red: fleet::a_lease_ends failed as expected: the clock's step (cargo test -p x, seed 7; issue 19)",
        "known-red: it_drains_late failed as expected: a list comes late (cargo test -p y; issue 26)",
    ];
    assert_eq!(output.lines().collect::<Vec<_>>(), lines);
    let (code, output) = run_known_red("one", FAILED, 101, Some(&entry("it_drains_late")));
    assert_eq!(code, Some(1));
    assert!(output.contains("'fleet::a_lease_ends' failed but is not listed"), "{output}");
}

#[test]
fn list_that_does_not_match_the_run_fails_with_one_message() {
    let known = format!("{}{}", entry("fleet::a_lease_ends"), entry("it_drains_late"));
    let format = "expected 'test | command and seed | seen | issue'";
    let with = |more: &str| format!("{known}{more}\n");
    for (name, log, status, known_failures, message) in [
        ("four", FAILED, 101, with(&[entry("a"), entry("b")].concat()), "has 4 entries, expected at most 3"),
        ("no-match", FAILED, 101, with(&entry("it_drain")), "'it_drain' matches 0 tests"),
        ("dots", FAILED, 101, with(&entry("it.drains")), "'it.drains' matches 0 tests"),
        ("passes", FAILED, 101, with(&entry("it_drains")), "'it_drains' passes, remove it from the list"),
        ("green", PASSED, 0, known.clone(), "'fleet::a_lease_ends' passes, remove it from the list"),
        ("test", FAILED, 101, with(" | c | s | 1"), format),
        ("command", FAILED, 101, with("it_drains |  | s | 1"), format),
        ("seen", FAILED, 101, with("it_drains | c |  | 1"), format),
        ("issue", FAILED, 101, with("it_drains | c | s"), format),
        ("no-issue", FAILED, 101, with("it_drains | c | s | "), format),
        ("more", FAILED, 101, with("it_drains | c | s | 1 | d"), format),
        ("earlier", FAILED, 101, with("it_drains | cause | 1"), format),
        ("build", "error: could not compile `x`\n", 101, known.clone(), "failed without a test result"),
        ("silent", "running 3 tests\n", 101, known.clone(), "exited with 101 but no test failed"),
    ] {
        let (code, output) = run_known_red(name, log, status, Some(&known_failures));
        assert_eq!(code, Some(1), "{name}: {output}");
        let matching_lines =
            output.lines().filter(|printed| printed.starts_with("known-red: ") && printed.contains(message));
        assert_eq!(matching_lines.count(), 1, "{name}: {output}");
    }
    // Two tests with the same name.
    let duplicate_name = format!("{FAILED}test it_drains_late ... ok\n");
    let (code, output) = run_known_red("twice", &duplicate_name, 101, Some(&known));
    assert!(code == Some(1) && output.contains("'it_drains_late' matches 2 tests"), "{output}");
    // A crashed test program fails the run, whatever its tests reported.
    let crashed = format!("{FAILED}Caused by:\n  process didn't exit successfully: `x` (signal: 6)\n");
    let (code, output) = run_known_red("crashed", &crashed, 101, Some(&known));
    assert!(code == Some(1) && output.contains("failed without a test result"), "{output}");
}
