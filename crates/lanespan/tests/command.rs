//! The command line and the configuration: exit codes, error lines and reloads.
#[path = "sockets/harness.rs"]
mod harness;

use harness::*;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs the command with these arguments and without the environment variables that affect an operator's configuration.
fn lanespan(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    ["NODE_CONFIG", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_NAME", "LANESPAN_NAMES"].iter().for_each(|name| {
        command.env_remove(name);
    });
    command.args(args).output().expect("the command runs")
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("UTF-8 text")
}

/// Writes a file with this content and returns its path.
fn file_with(name: &str, content: &[u8]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, content).expect("the file is written");
    path
}

/// Runs `config check` on a configuration; returns the exit code and the error lines without the path.
fn check(config: &str) -> (Option<i32>, Vec<String>) {
    let path = config_file(config);
    let output = lanespan(&["config", "check", path.to_str().expect("a UTF-8 path")]);
    let prefix = format!("lanespan: {}: ", path.display());
    let stderr = text(output.stderr);
    (output.status.code(), stderr.lines().map(|line| line.replace(&prefix, "")).collect())
}

/// Returns a valid configuration whose addresses are never used.
fn valid_config() -> Value {
    let unused = "127.0.0.1:1".parse().expect("an address");
    serde_json::from_str(&config(unused, unused)).expect("JSON")
}

/// Returns the valid configuration with one value set, by its dotted path.
fn config_with(path: &str, value: Value) -> Value {
    let mut config = valid_config();
    let mut target = &mut config;
    for key in path.split('.') {
        target = target.as_object_mut().expect("a section").entry(key).or_insert(json!({}));
    }
    *target = value;
    config
}

#[test]
fn invalid_value_of_each_key_is_reported_with_the_expected_and_found_value() {
    assert_eq!(check(&valid_config().to_string()), (Some(0), vec![]));
    let schema = lanespan(&["config", "schema"]);
    let schema: Value = serde_json::from_slice(&schema.stdout).expect("JSON");
    let mut checked_keys = 0;
    for (section, prefix) in [
        ("Limits", "limits"),
        ("PoolSection", "pool"),
        ("StreamingSection", "streaming"),
        ("AdminSection", "admin"),
    ] {
        let keys = schema["$defs"][section]["properties"].as_object().expect("keys");
        for key in keys.keys() {
            let path = format!("{prefix}.{key}");
            let (code, lines) = check(&config_with(&path, json!("wrong")).to_string());
            assert_eq!((code, lines.len()), (Some(2), 1), "{path}: {lines:?}");
            assert!(lines[0].starts_with(&format!("{path}: ")), "{lines:?}");
            assert!(lines[0].contains("expected") && lines[0].ends_with("found \"wrong\""), "{lines:?}");
            checked_keys += 1;
        }
    }
    assert_eq!(checked_keys, 3 + 14 + 5 + 3);
    for key in
        ["listen", "discovery", "counter", "seed", "name", "limits", "pool", "streaming", "admin", "known"]
    {
        let (code, lines) = check(&config_with(key, json!(7)).to_string());
        assert_eq!((code, lines.len()), (Some(2), 1), "{key}: {lines:?}");
        assert!(lines[0].starts_with(&format!("{key}: ")) && lines[0].ends_with("found 7"), "{lines:?}");
    }
}

#[test]
fn all_problems_are_reported_at_once_with_a_suggestion_for_a_typo() {
    let mut config = config_with("pool.wiat_ms", json!(3));
    config["limits"]["memory_mb"] = json!(-4);
    config["steaming"] = json!({});
    config["settings"]["classes"][1]["deadline"] = json!("soon");
    config["settings"]["plans"][0]["price"] = json!("much");
    config["pool"]["links"] = json!(900);
    let (code, lines) = check(&config.to_string());
    assert_eq!(code, Some(2));
    for part in [
        "pool.wiat_ms: unknown; known are links, ",
        "; did you mean 'wait_ms'?",
        "limits.memory_mb: expected a whole number from 1 to 1000000, found -4",
        "steaming: unknown; known are name, ",
        "; did you mean 'streaming'?",
        "settings: classes.1.deadline: expected a whole number, found 'soon'",
    ] {
        assert!(lines.iter().any(|line| line.contains(part)), "{part}: {lines:#?}");
    }
    assert!(!lines.iter().any(|line| line.contains('\n')) && lines.len() >= 4, "{lines:#?}");
}

#[test]
fn invalid_fleet_section_is_reported_with_key_and_value() {
    for (section, expected) in [
        (json!({"probe_ms": 10}), "fleet.probe_ms: expected 50 or more, found 10"),
        (json!({"most": 1}), "fleet.most: expected settings.balancers, 2, or more, found 1"),
        (
            json!({"listen": "0.0.0.0:7946"}),
            "fleet.advertise: must name an address if fleet.listen is unspecified",
        ),
        (json!({"join": ["here"]}), "fleet.join: expected an address and a port"),
        (json!({"cluster": 3}), "fleet.cluster: "),
        (json!({"joins": []}), "fleet.joins: unknown; known are listen, "),
    ] {
        let (code, lines) = check(&config_with("fleet", section).to_string());
        assert_eq!((code, lines.len()), (Some(2), 1), "{lines:?}");
        assert!(lines[0].contains(expected), "{expected}: {lines:?}");
    }
    // Each case has one problem of the plan section, in a site of three zones. The gateway is not one of the voters.
    let voter = |zone: &str, port: u16| json!({ "zone": zone, "address": format!("127.0.0.1:{port}") });
    let valid_voters = json!({ "v0": voter("a", 1), "v1": voter("b", 2), "v2": voter("c", 3) });
    let config_with_plan = |key: &str, value: Value| {
        let mut plan = json!({ "voters": valid_voters });
        plan[key] = value;
        let mut file = config_with("fleet", json!({ "plan": plan }));
        file["settings"]["zones"] = json!(["a", "b", "c"]);
        file["settings"]["zone"] = json!("a");
        file
    };
    let (code, lines) = check(&config_with_plan("tick_ms", json!(100)).to_string());
    assert_eq!(code, Some(0), "{lines:?}");
    for (key, value, expected) in [
        (
            "voters",
            json!({ "v0": voter("a", 1), "v1": voter("b", 2) }),
            "voters: expected 1, 3 or 5, found 2",
        ),
        (
            "voters",
            json!({ "v0": voter("a", 1), "v1": voter("a", 2), "v2": voter("b", 3) }),
            "voters: zone 'a' alone holds a majority",
        ),
        (
            "voters",
            json!({ "v0": voter("d", 1) }),
            "voters.v0.zone: expected one of settings.zones, found 'd'",
        ),
        (
            "voters",
            json!({ "v0": voter("a", 1), "v1": voter("b", 1), "v2": voter("c", 3) }),
            "voters: two voters have the same address",
        ),
        ("tick_ms", json!(5), "tick_ms: expected 10 or more, found 5"),
        ("lease_ms", json!(100), "lease_ms: expected 20 ticks, 2000, or more, found 100"),
        (
            "listen",
            json!("0.0.0.0:7947"),
            "advertise: must name an address if fleet.plan.listen is unspecified",
        ),
        ("ticks", json!(5), "ticks: unknown; known are listen, "),
    ] {
        let (code, lines) = check(&config_with_plan(key, value).to_string());
        assert_eq!((code, lines.len()), (Some(2), 1), "{lines:?}");
        assert!(lines[0].contains(&format!("fleet.plan.{expected}")), "{expected}: {lines:?}");
    }
    let mut voter_without_directory = config_with_plan("tick_ms", json!(100));
    voter_without_directory["name"] = json!("v0");
    let (code, lines) = check(&voter_without_directory.to_string());
    assert!(code == Some(2) && lines[0].contains("fleet.plan.directory: required"), "{lines:?}");
    let mut nameless = config_with("fleet", json!({}));
    nameless["name"] = json!("");
    let (code, lines) = check(&nameless.to_string());
    assert!(code == Some(2) && lines[0].contains("fleet: expected a name"), "{lines:?}");
}

/// JSON pointers into the settings with the new value (`None`: removed), and the expected error lines.
type InvalidSite = (Vec<(&'static str, Option<Value>)>, Vec<&'static str>);

/// Returns changes that make the settings invalid, with the expected error lines.
fn invalid_sites() -> Vec<InvalidSite> {
    let single = |pointer, value, line| (vec![(pointer, value)], vec![line]);
    vec![
        single(
            "/classes/1/name",
            Some(json!("look")),
            "classes.1.name: expected another name than classes.0.name has, found 'look'",
        ),
        single(
            "/plans/1/name",
            Some(json!("team")),
            "plans.1.name: expected another name than plans.0.name has, found 'team'",
        ),
        single("/classes/0/name", None, "classes.0.name: expected a value, found nothing"),
        single(
            "/classes/2/effect",
            Some(json!("maybe")),
            "classes.2.effect: expected pure, token, side_effect, found 'maybe'",
        ),
        single(
            "/classes/2/effect",
            None,
            "classes.2.effect: expected pure, token, side_effect, found nothing",
        ),
        single(
            "/classes/1/key_scope",
            Some(json!("city")),
            "classes.1.key_scope: expected all, zone, cell, found 'city'",
        ),
        single("/classes/1/window", Some(json!(0)), "classes.1.window: expected a number above 0, found '0'"),
        single(
            "/classes/0/deadline",
            Some(json!(0)),
            "classes.0.deadline: expected a number above 0, found '0'",
        ),
        single("/classes/0/deadline", None, "classes.0.deadline: expected a number above 0, found nothing"),
        single("/classes", Some(json!([])), "classes: expected at least one, found none"),
        single("/plans", None, "plans: expected at least one, found none"),
        single("/plans/0/per_second", None, "plans.0.per_second: expected a value, found nothing"),
        single(
            "/plans/0/peak_units",
            Some(json!(0)),
            "plans.0.peak_units: expected a number above 0, found '0'",
        ),
        single("/balancers", None, "balancers: expected a number above 0, found nothing"),
        single("/my_number", None, "my_number: expected a value, found nothing"),
        single(
            "/bounds/max_attempts",
            Some(json!(0)),
            "bounds.max_attempts: expected a number above 0, found '0'",
        ),
        single("/specifics/counter", None, "specifics.counter: expected a value, found nothing"),
        single(
            "/specifics/count_limit",
            Some(json!(0)),
            "specifics.count_limit: expected a number above 0, found '0'",
        ),
        single("/specifics/units_top", None, "specifics.units_top: expected a number above 0, found nothing"),
        // Several problems are reported at once, one per line.
        (
            vec![
                ("/classes/0/deadline", Some(json!(0))),
                ("/classes/2/effect", None),
                ("/plans/1/peak_units", Some(json!(-1))),
            ],
            vec![
                "classes.0.deadline: expected a number above 0, found '0'",
                "classes.2.effect: expected pure, token, side_effect, found nothing",
                "plans.1.peak_units: expected a number above 0, found '-1'",
            ],
        ),
    ]
}

/// Returns the valid configuration with these changes of its settings.
fn config_with_site(changes: &[(&str, Option<Value>)]) -> Value {
    let mut config = valid_config();
    for (pointer, value) in changes {
        let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
        let parent = config.pointer_mut(&format!("/settings{parent}")).expect("the parent exists");
        match (parent, value) {
            (Value::Array(items), Some(value)) => {
                items[key.parse::<usize>().expect("an array index")] = value.clone()
            }
            (Value::Object(fields), Some(value)) => drop(fields.insert(key.to_string(), value.clone())),
            (Value::Object(fields), None) => drop(fields.remove(key)),
            (parent, _) => panic!("{pointer}: {parent}"),
        }
    }
    config
}

#[test]
fn invalid_site_reports_each_key_with_its_value() {
    for (changes, lines) in invalid_sites() {
        let expected: Vec<String> = lines.iter().map(|line| format!("settings: {line}")).collect();
        assert_eq!(check(&config_with_site(&changes).to_string()), (Some(2), expected), "{changes:?}");
    }
}

#[test]
fn reload_of_an_invalid_site_is_reported_and_changes_nothing() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let text = config(discovery.stub.address, counter.address);
    let path = config_file(&text);
    let node = Node::spawn(operator_command_from(&path));
    node.wait_ready();
    for (changes, lines) in invalid_sites() {
        let mut invalid: Value = serde_json::from_str(&text).expect("JSON");
        invalid["settings"] = config_with_site(&changes)["settings"].clone();
        std::fs::write(&path, invalid.to_string()).expect("the file is written");
        node.signal("HUP");
        for line in lines {
            node.wait_for_line(line);
        }
    }
    assert_eq!(node.client().exchange(&request("once", 3000)).status(), 200);
}

#[test]
fn unreadable_configuration_files_are_reported_in_one_line() {
    let missing = PathBuf::from("/nonexistent/lanespan.toml");
    for (path, problem) in [
        (missing, "No such file"),
        (PathBuf::from("/"), "directory"),
        (file_with("empty.json", b" \n"), "empty"),
        (file_with("latin.json", b"{\"name\":\"\xe9\"}"), "not UTF-8"),
        (file_with("cut.json", b"{\"name\":"), "EOF"),
        (file_with("cut.toml", b"name = \n"), "TOML parse error"),
        (file_with("list.json", b"[]"), "the file: "),
        (file_with("huge.json", &vec![b' '; (32 << 20) + 1]), "longer than 32 MiB"),
    ] {
        let output = lanespan(&["run", "--config", path.to_str().expect("a UTF-8 path")]);
        let stderr = text(output.stderr);
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(stderr.lines().next().is_some_and(|first| first.contains(problem)), "{problem}: {stderr}");
        assert!(stderr.starts_with(&format!("lanespan: {}: ", path.display())), "{stderr}");
    }
}

#[test]
fn invalid_usage_exits_with_2_and_help_shows_examples() {
    for args in [&["run"][..], &["walk"], &["config", "check"], &[]] {
        let output = lanespan(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(!output.stderr.is_empty(), "{args:?}");
    }
    for args in [&["--help"][..], &["run", "--help"], &["config", "check", "--help"]] {
        let output = lanespan(args);
        assert_eq!(output.status.code(), Some(0));
        assert!(text(output.stdout).contains("Example"), "{args:?}");
    }
    assert!(text(lanespan(&["--version"]).stdout).starts_with("lanespan "));
    assert!(text(lanespan(&["completions", "bash"]).stdout).contains("config"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    let output = command
        .args(["run", "--config", "x"])
        .env("NODE_LISTEN", "nowhere")
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(text(output.stderr).contains("NODE_LISTEN: expected an address and a port, found 'nowhere'"));
}

#[test]
fn example_configuration_starts_unchanged_and_rejects_requests() {
    let example = text(lanespan(&["config", "example"]).stdout);
    let path = file_with("example.toml", example.as_bytes());
    let path = path.to_str().expect("a UTF-8 path");
    assert_eq!(lanespan(&["config", "check", path]).status.code(), Some(0));
    let effective: Value = serde_json::from_slice(&lanespan(&["config", "show", path]).stdout).expect("JSON");
    assert_eq!((&effective["pool"]["links"], &effective["streaming"]), (&json!(256), &Value::Null));
    let mut command = operator_command_from(path.as_ref());
    // Listens on a port that the system picks; discovery and the counter are not reachable.
    command.env("NODE_LISTEN", "127.0.0.1:0").env("NODE_DISCOVERY", "127.0.0.1:1");
    let mut node = Node::spawn(command);
    let response = node
        .client()
        .exchange(&request("look", 4000).replace("look", "lookup").replace("spread=2", "spread=1"));
    assert_eq!(response.status(), 429, "{response:?}");
    assert!(node.wait_for_line("discovery").contains("WARN"), "the log names the cause");
    node.signal("TERM");
    assert_eq!(node.wait_for_exit(), Some(0));
}

#[test]
fn port_in_use_is_reported_in_one_line() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let config = config_with("listen", json!(address));
    let output = operator_command(&config.to_string()).output().expect("the command runs");
    let stderr = text(output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    let errors: Vec<&str> = stderr.lines().filter(|line| line.starts_with("lanespan: ")).collect();
    assert!(errors.len() == 1 && errors[0].contains(&address.to_string()), "{errors:?}");
}

#[test]
fn reload_names_the_sections_that_need_a_restart() {
    let (discovery, counter) = (Discovery::start(""), counter());
    let original = config(discovery.stub.address, counter.address);
    let path = config_file(&original);
    let node = Node::spawn(operator_command_from(&path));
    let mut changed: Value = serde_json::from_str(&original).expect("JSON");
    changed["limits"]["sockets"] = json!(512);
    changed["settings"]["balancers"] = json!(3);
    changed["pool"] = json!({"wait_ms": 20});
    changed["fleet"] = json!({});
    std::fs::write(&path, changed.to_string()).expect("the file is written");
    node.signal("HUP");
    let line = node.wait_for_line("needs a restart");
    assert!(line.contains("limits, fleet, settings") && !line.contains("pool"), "{line}");
}
