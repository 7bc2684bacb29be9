//! The command line and the configuration, as an operator meets them.
#[path = "sockets/harness.rs"]
mod harness;

use harness::*;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::process::{Command, Output};

/// The command with these words, told nothing by the environment.
fn lanespan(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    ["NODE_CONFIG", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_NAME", "LANESPAN_NAMES"].iter().for_each(|name| {
        command.env_remove(name);
    });
    command.args(words).output().expect("it runs")
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("text")
}

/// A file of these bytes.
fn bytes(name: &str, bytes: &[u8]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, bytes).expect("written");
    path
}

/// What `config check` says of a configuration: its exit code, and its lines.
fn check(config: &str) -> (Option<i32>, Vec<String>) {
    let path = config_file(config);
    let done = lanespan(&["config", "check", path.to_str().expect("a plain path")]);
    let place = format!("lanespan: {}: ", path.display());
    let lines = text(done.stderr);
    (done.status.code(), lines.lines().map(|line| line.replace(&place, "")).collect())
}

fn good() -> Value {
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    serde_json::from_str(&config(nowhere, nowhere)).expect("JSON")
}

/// The same with one value set, by its dotted path.
fn with(path: &str, value: Value) -> Value {
    let mut config = good();
    let mut at = &mut config;
    for key in path.split('.') {
        at = at.as_object_mut().expect("a section").entry(key).or_insert(json!({}));
    }
    *at = value;
    config
}

#[test]
fn every_key_of_every_section_that_is_wrong_is_named_with_its_value_and_what_is_allowed() {
    assert_eq!(check(&good().to_string()), (Some(0), vec![]));
    let schema = lanespan(&["config", "schema"]);
    let schema: Value = serde_json::from_slice(&schema.stdout).expect("JSON");
    let mut seen = 0;
    for (section, place) in [
        ("Limits", "limits"),
        ("PoolSection", "pool"),
        ("StreamingSection", "streaming"),
        ("AdminSection", "admin"),
    ] {
        let keys = schema["$defs"][section]["properties"].as_object().expect("keys");
        for key in keys.keys() {
            let path = format!("{place}.{key}");
            let (code, told) = check(&with(&path, json!("wrong")).to_string());
            assert_eq!((code, told.len()), (Some(2), 1), "{path}: {told:?}");
            assert!(told[0].starts_with(&format!("{path}: ")), "{told:?}");
            assert!(told[0].contains("expected") && told[0].ends_with("found \"wrong\""), "{told:?}");
            seen += 1;
        }
    }
    assert_eq!(seen, 3 + 14 + 5 + 3);
    for key in
        ["listen", "discovery", "counter", "seed", "name", "limits", "pool", "streaming", "admin", "known"]
    {
        let (code, told) = check(&with(key, json!(7)).to_string());
        assert_eq!((code, told.len()), (Some(2), 1), "{key}: {told:?}");
        assert!(told[0].starts_with(&format!("{key}: ")) && told[0].ends_with("found 7"), "{told:?}");
    }
}

#[test]
fn all_problems_are_told_at_once_and_a_typo_with_the_nearest_key() {
    let mut config = with("pool.wiat_ms", json!(3));
    config["limits"]["memory_mb"] = json!(-4);
    config["steaming"] = json!({});
    config["settings"]["classes"][1]["deadline"] = json!("soon");
    config["settings"]["plans"][0]["price"] = json!("much");
    config["pool"]["links"] = json!(900);
    let (code, told) = check(&config.to_string());
    assert_eq!(code, Some(2));
    for line in [
        "pool.wiat_ms: unknown; known are links, ",
        "; did you mean 'wait_ms'?",
        "limits.memory_mb: expected a whole number from 1 to 1000000, found -4",
        "steaming: unknown; known are name, ",
        "; did you mean 'streaming'?",
        "settings: classes.1.deadline: expected a whole number, found 'soon'",
    ] {
        assert!(told.iter().any(|told| told.contains(line)), "{line}: {told:#?}");
    }
    assert!(!told.iter().any(|line| line.contains('\n')) && told.len() >= 4, "{told:#?}");
}

#[test]
fn a_fleet_section_that_makes_no_sense_is_told_with_key_and_value() {
    for (section, told) in [
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
        let (code, lines) = check(&with("fleet", section).to_string());
        assert_eq!((code, lines.len()), (Some(2), 1), "{lines:?}");
        assert!(lines[0].contains(told), "{told}: {lines:?}");
    }
    // One problem of the plan each, in a site of three zones; the file's gateway is none of the voters.
    let voter = |zone: &str, port: u16| json!({ "zone": zone, "address": format!("127.0.0.1:{port}") });
    let sound = json!({ "v0": voter("a", 1), "v1": voter("b", 2), "v2": voter("c", 3) });
    let one = |key: &str, value: Value| {
        let mut plan = json!({ "voters": sound });
        plan[key] = value;
        let mut file = with("fleet", json!({ "plan": plan }));
        file["settings"]["zones"] = json!(["a", "b", "c"]);
        file["settings"]["zone"] = json!("a");
        file
    };
    let (code, lines) = check(&one("tick_ms", json!(100)).to_string());
    assert_eq!(code, Some(0), "{lines:?}");
    for (key, value, told) in [
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
        let (code, lines) = check(&one(key, value).to_string());
        assert_eq!((code, lines.len()), (Some(2), 1), "{lines:?}");
        assert!(lines[0].contains(&format!("fleet.plan.{told}")), "{told}: {lines:?}");
    }
    let mut voting = one("tick_ms", json!(100));
    voting["name"] = json!("v0");
    let (code, lines) = check(&voting.to_string());
    assert!(code == Some(2) && lines[0].contains("fleet.plan.directory: required"), "{lines:?}");
    let mut nameless = with("fleet", json!({}));
    nameless["name"] = json!("");
    let (code, lines) = check(&nameless.to_string());
    assert!(code == Some(2) && lines[0].contains("fleet: expected a name"), "{lines:?}");
}

/// Places in the settings with what stands there (`None`: nothing), and what is said of each.
type WrongSite = (Vec<(&'static str, Option<Value>)>, Vec<&'static str>);

/// Sites whose settings are wrong.
fn wrong_sites() -> Vec<WrongSite> {
    let one = |pointer, value, line| (vec![(pointer, value)], vec![line]);
    vec![
        one(
            "/classes/1/name",
            Some(json!("look")),
            "classes.1.name: expected another name than classes.0.name has, found 'look'",
        ),
        one(
            "/plans/1/name",
            Some(json!("team")),
            "plans.1.name: expected another name than plans.0.name has, found 'team'",
        ),
        one("/classes/0/name", None, "classes.0.name: expected a value, found nothing"),
        one(
            "/classes/2/effect",
            Some(json!("maybe")),
            "classes.2.effect: expected pure, token, side_effect, found 'maybe'",
        ),
        one("/classes/2/effect", None, "classes.2.effect: expected pure, token, side_effect, found nothing"),
        one(
            "/classes/1/key_scope",
            Some(json!("city")),
            "classes.1.key_scope: expected all, zone, cell, found 'city'",
        ),
        one("/classes/1/window", Some(json!(0)), "classes.1.window: expected a number above 0, found '0'"),
        one(
            "/classes/0/deadline",
            Some(json!(0)),
            "classes.0.deadline: expected a number above 0, found '0'",
        ),
        one("/classes/0/deadline", None, "classes.0.deadline: expected a number above 0, found nothing"),
        one("/classes", Some(json!([])), "classes: expected at least one, found none"),
        one("/plans", None, "plans: expected at least one, found none"),
        one("/plans/0/per_second", None, "plans.0.per_second: expected a value, found nothing"),
        one(
            "/plans/0/peak_units",
            Some(json!(0)),
            "plans.0.peak_units: expected a number above 0, found '0'",
        ),
        one("/balancers", None, "balancers: expected a number above 0, found nothing"),
        one("/my_number", None, "my_number: expected a value, found nothing"),
        one(
            "/bounds/max_attempts",
            Some(json!(0)),
            "bounds.max_attempts: expected a number above 0, found '0'",
        ),
        one("/specifics/counter", None, "specifics.counter: expected a value, found nothing"),
        one(
            "/specifics/count_limit",
            Some(json!(0)),
            "specifics.count_limit: expected a number above 0, found '0'",
        ),
        one("/specifics/units_top", None, "specifics.units_top: expected a number above 0, found nothing"),
        // All at once, a line each.
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

/// The settings with these changes.
fn site(changes: &[(&str, Option<Value>)]) -> Value {
    let mut config = good();
    for (pointer, value) in changes {
        let (holder, key) = pointer.rsplit_once('/').expect("a pointer");
        let holder = config.pointer_mut(&format!("/settings{holder}")).expect("it is there");
        match (holder, value) {
            (Value::Array(items), Some(value)) => {
                items[key.parse::<usize>().expect("a place")] = value.clone()
            }
            (Value::Object(fields), Some(value)) => drop(fields.insert(key.to_string(), value.clone())),
            (Value::Object(fields), None) => drop(fields.remove(key)),
            (holder, _) => panic!("{pointer}: {holder}"),
        }
    }
    config
}

#[test]
fn a_site_that_makes_no_sense_is_told_key_by_key_with_its_values() {
    for (changes, lines) in wrong_sites() {
        let wanted: Vec<String> = lines.iter().map(|line| format!("settings: {line}")).collect();
        assert_eq!(check(&site(&changes).to_string()), (Some(2), wanted), "{changes:?}");
    }
}

#[test]
fn at_sighup_a_site_that_makes_no_sense_is_told_and_all_stays_as_it_was() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let text = config(discovery.stub.address, counter.address);
    let path = config_file(&text);
    let node = Node::spawn(operator_command_from(&path));
    node.wait_ready();
    for (changes, lines) in wrong_sites() {
        let mut wrong: Value = serde_json::from_str(&text).expect("JSON");
        wrong["settings"] = site(&changes)["settings"].clone();
        std::fs::write(&path, wrong.to_string()).expect("written");
        node.signal("HUP");
        for line in lines {
            node.wait_for_line(line);
        }
    }
    assert_eq!(node.client().exchange(&request("once", 3000)).status(), 200);
}

#[test]
fn files_that_are_no_configuration_are_told_in_one_line() {
    let missing = PathBuf::from("/nonexistent/lanespan.toml");
    for (path, line) in [
        (missing, "No such file"),
        (PathBuf::from("/"), "directory"),
        (bytes("empty.json", b" \n"), "empty"),
        (bytes("latin.json", b"{\"name\":\"\xe9\"}"), "not UTF-8"),
        (bytes("cut.json", b"{\"name\":"), "EOF"),
        (bytes("cut.toml", b"name = \n"), "TOML parse error"),
        (bytes("list.json", b"[]"), "the file: "),
        (bytes("huge.json", &vec![b' '; (32 << 20) + 1]), "longer than 32 MiB"),
    ] {
        let done = lanespan(&["run", "--config", path.to_str().expect("a plain path")]);
        let told = text(done.stderr);
        assert_eq!(done.status.code(), Some(2), "{told}");
        assert!(told.lines().next().is_some_and(|first| first.contains(line)), "{line}: {told}");
        assert!(told.starts_with(&format!("lanespan: {}: ", path.display())), "{told}");
    }
}

#[test]
fn wrong_usage_ends_with_2_and_help_shows_examples() {
    for words in [&["run"][..], &["walk"], &["config", "check"], &[]] {
        let done = lanespan(words);
        assert_eq!(done.status.code(), Some(2), "{words:?}");
        assert!(!done.stderr.is_empty(), "{words:?}");
    }
    for words in [&["--help"][..], &["run", "--help"], &["config", "check", "--help"]] {
        let done = lanespan(words);
        assert_eq!(done.status.code(), Some(0));
        assert!(text(done.stdout).contains("Example"), "{words:?}");
    }
    assert!(text(lanespan(&["--version"]).stdout).starts_with("lanespan "));
    assert!(text(lanespan(&["completions", "bash"]).stdout).contains("config"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    let done =
        command.args(["run", "--config", "x"]).env("NODE_LISTEN", "nowhere").output().expect("it runs");
    assert_eq!(done.status.code(), Some(2));
    assert!(text(done.stderr).contains("NODE_LISTEN: expected an address and a port, found 'nowhere'"));
}

#[test]
fn the_example_starts_as_it_is_and_answers_plainly() {
    let example = text(lanespan(&["config", "example"]).stdout);
    let path = bytes("example.toml", example.as_bytes());
    let path = path.to_str().expect("a plain path");
    assert_eq!(lanespan(&["config", "check", path]).status.code(), Some(0));
    let shown: Value = serde_json::from_slice(&lanespan(&["config", "show", path]).stdout).expect("JSON");
    assert_eq!((&shown["pool"]["links"], &shown["streaming"]), (&json!(256), &Value::Null));
    let mut command = operator_command_from(path.as_ref());
    // Ports of the system's, with nobody behind the others.
    command.env("NODE_LISTEN", "127.0.0.1:0").env("NODE_DISCOVERY", "127.0.0.1:1");
    let mut node = Node::spawn(command);
    let told = node
        .client()
        .exchange(&request("look", 4000).replace("look", "lookup").replace("spread=2", "spread=1"));
    assert_eq!(told.status(), 429, "{told:?}");
    assert!(node.wait_for_line("discovery").contains("WARN"), "it says why");
    node.signal("TERM");
    assert_eq!(node.wait_for_exit(), Some(0));
}

#[test]
fn a_port_in_use_is_a_failure_in_one_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("bound");
    let config = with("listen", json!(address));
    let done = operator_command(&config.to_string()).output().expect("it runs");
    let told = text(done.stderr);
    assert_eq!(done.status.code(), Some(1), "{told}");
    let told: Vec<&str> = told.lines().filter(|line| line.starts_with("lanespan: ")).collect();
    assert!(told.len() == 1 && told[0].contains(&address.to_string()), "{told:?}");
}

#[test]
fn sighup_names_what_needs_a_restart() {
    let (discovery, counter) = (Discovery::start(""), counter());
    let first = config(discovery.stub.address, counter.address);
    let path = config_file(&first);
    let node = Node::spawn(operator_command_from(&path));
    let mut second: Value = serde_json::from_str(&first).expect("JSON");
    second["limits"]["sockets"] = json!(512);
    second["settings"]["balancers"] = json!(3);
    second["pool"] = json!({"wait_ms": 20});
    second["fleet"] = json!({});
    std::fs::write(&path, second.to_string()).expect("written");
    node.signal("HUP");
    let line = node.wait_for_line("needs a restart");
    assert!(line.contains("limits, fleet, settings") && !line.contains("pool"), "{line}");
}
