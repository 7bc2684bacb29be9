//! The names that operators and their programs rely on: commands with their options, configuration keys with their
//! defaults, metrics with their labels, and what the admin address serves. Each test compares them with a file in
//! `fixtures/`; a name that is meant to change is changed there too, and in docs/.
#[path = "sockets/harness.rs"]
mod harness;

use harness::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Compares with what is recorded, by lines.
fn compare(found: &BTreeSet<String>, recorded: &str) {
    let recorded: BTreeSet<String> = recorded.lines().map(str::to_string).collect();
    let gone: Vec<&String> = recorded.difference(found).collect();
    let new: Vec<&String> = found.difference(&recorded).collect();
    assert!(gone.is_empty() && new.is_empty(), "gone: {gone:#?}\nnew: {new:#?}");
}

/// What the command prints, told nothing by the environment.
fn lanespan(words: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    let done = command.args(words).env_clear().output().expect("it runs");
    assert!(done.status.success(), "{words:?}");
    String::from_utf8(done.stdout).expect("text")
}

/// The names in one section of a help text, `Commands:` say, with the value that each takes.
fn section<'a>(help: &'a str, title: &'a str) -> impl Iterator<Item = String> + 'a {
    let lines = help.lines().skip_while(move |line| *line != title).skip(1);
    let entries = lines.take_while(|line| !line.is_empty()).filter(|line| {
        // What continues an entry is indented further.
        line.len() - line.trim_start().len() <= 6 && !line.trim().is_empty()
    });
    entries.map(|line| line.trim().split("  ").next().unwrap_or_default().to_string())
}

/// A command, its arguments and options, and all commands below it.
fn commands(path: &mut Vec<String>, found: &mut BTreeSet<String>) {
    let words: Vec<&str> = path.iter().map(String::as_str).chain(["--help"]).collect();
    let help = lanespan(&words);
    let name = [&["lanespan".to_string()], &path[..]].concat().join(" ");
    found.insert(name.clone());
    for title in ["Arguments:", "Options:"] {
        found.extend(section(&help, title).map(|entry| format!("{name} {entry}")));
    }
    let below: Vec<String> = section(&help, "Commands:").filter(|command| command != "help").collect();
    for command in below {
        path.push(command);
        commands(path, found);
        path.pop();
    }
}

#[test]
fn commands_arguments_and_options_have_the_recorded_names() {
    let mut found = BTreeSet::new();
    commands(&mut Vec::new(), &mut found);
    compare(&found, include_str!("fixtures/commands.txt"));
}

#[test]
fn the_recorded_environment_variables_are_read() {
    let backend = SocketAddr::from(([127, 0, 0, 1], 1));
    let path = config_file(&config(backend, backend));
    let path = path.to_str().expect("text");
    let show = |variable: &str, value: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
        command.args(["config", "show"]).env_clear().env("NODE_CONFIG", path).env(variable, value);
        let done = command.output().expect("it runs");
        (done.status.code(), String::from_utf8([done.stdout, done.stderr].concat()).expect("text"))
    };
    for variable in include_str!("fixtures/environment.txt").lines() {
        let (usual, told) = (show("UNHEARD_OF", "x"), show(variable, "an odd value"));
        assert_eq!(usual.0, Some(0), "{}", usual.1);
        assert_ne!(usual, told, "{variable} changes nothing");
        assert!(told.1.contains("an odd value"), "{variable}: {}", told.1);
    }
}

/// The keys of a schema, each with its default and what it may be.
fn keys(schema: &Value, root: &Value, prefix: &str, found: &mut BTreeSet<String>) {
    if let Some(name) = schema["$ref"].as_str().and_then(|to| to.strip_prefix("#/$defs/")) {
        keys(&root["$defs"][name], root, prefix, found);
    }
    for part in schema["anyOf"].as_array().into_iter().flatten() {
        keys(part, root, prefix, found);
    }
    for (name, property) in schema["properties"].as_object().into_iter().flatten() {
        let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        let bounds: Vec<String> = ["default", "type", "minimum", "maximum", "enum"]
            .iter()
            .filter_map(|of| property.get(of).map(|value| format!("{of}={value}")))
            .collect();
        found.insert(format!("{key} {}", bounds.join(" ")).trim_end().to_string());
        keys(property, root, &key, found);
    }
    for of in ["items", "additionalProperties"] {
        if schema[of].is_object() {
            keys(&schema[of], root, &format!("{prefix}[]"), found);
        }
    }
}

#[test]
fn configuration_keys_have_the_recorded_names_and_defaults() {
    let schema: Value = serde_json::from_str(&lanespan(&["config", "schema"])).expect("JSON");
    let mut found = BTreeSet::new();
    keys(&schema, &schema, "", &mut found);
    compare(&found, include_str!("fixtures/config-keys.txt"));
}

/// A gateway of a fleet of two, of which the first alone votes on what they act on.
struct Member {
    node: Node,
    admin: SocketAddr,
}

/// Ports that are free now.
fn free_ports() -> (u16, u16) {
    let udp = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    let tcp = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    (udp.expect("a port").port(), tcp.expect("a port").port())
}

fn address(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

fn start(name: &str, config: &str, fleet: Value) -> Member {
    let mut config: Value = serde_json::from_str(config).expect("JSON");
    config["name"] = json!(name);
    let admin = SocketAddr::from(([127, 0, 0, 1], free_ports().1));
    config["admin"] = json!({"listen": admin});
    config["streaming"] = json!({});
    config["fleet"] = fleet;
    let mut node = Node::spawn(operator_command(&config.to_string()));
    let line = node.wait_for_line("listening");
    node.address = line.split("address=").nth(1).and_then(|at| at.trim().parse().ok()).expect("an address");
    node.wait_ready();
    Member { node, admin }
}

/// Two gateways that know of each other and act on one plan, and what they stand before.
fn fleet() -> (Member, Member, (Stub, Discovery, Stub)) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let config = config(discovery.stub.address, counter.address);
    let (ports, others) = (free_ports(), free_ports());
    let voters = json!({"n0": {"zone": "a", "address": address(ports.1)}});
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("names-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("a directory");
    let section = |ports: (u16, u16), join: Value, directory: Option<PathBuf>| {
        json!({
            "listen": address(ports.0), "join": join, "probe_ms": 100, "hold_ms": 1000,
            "plan": {"listen": address(ports.1), "voters": voters, "directory": directory, "tick_ms": 20,
                "lease_ms": 1000},
        })
    };
    let first = start("n0", &config, section(ports, json!([]), Some(directory)));
    let second = start("n1", &config, section(others, json!([address(ports.0)]), None));
    (first, second, (backend, discovery, counter))
}

fn get(admin: SocketAddr, path: &str) -> Message {
    Client::connect(admin).exchange(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
}

fn post(admin: SocketAddr, path: &str, body: &str) -> Message {
    let length = body.len();
    Client::connect(admin)
        .exchange(&format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"))
}

/// Waits until the answer at a path, a JSON text, is as wanted.
fn wait_for(member: &Member, path: &str, wanted: impl Fn(&Value) -> bool) -> Value {
    let read = || serde_json::from_str::<Value>(&get(member.admin, path).body).unwrap_or_default();
    member.node.wait_until(path, || wanted(&read()));
    read()
}

/// Waits until the second gateway acts on what the first one leads, every role is held and both know each other.
fn settled(first: &Member, second: &Member) {
    let index = |plan: &Value| plan["index"].as_u64().unwrap_or_default();
    wait_for(first, "/fleet/plan", |plan| plan["leads"] == true && index(plan) > 0);
    wait_for(second, "/fleet/plan", |plan| index(plan) > 0);
    let held = |told: &Value| {
        told["duties"].as_array().is_some_and(|rows| rows.iter().any(|row| row["held_here"] == true))
    };
    wait_for(first, "/fleet/duties", held);
    let both = |view: &Value| view["members"].as_array().is_some_and(|rows| rows.len() == 2);
    wait_for(first, "/fleet/members", both);
    wait_for(second, "/fleet/members", both);
}

/// The paths of all keys in a JSON value; items of a list have one path.
fn key_paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    // Who saw a member first differs from run to run.
    if path.ends_with(".seen") {
        assert!(*value == "here" || value["by"].is_string(), "{path}: {value}");
        return;
    }
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| {
            let path = format!("{path}.{name}");
            found.insert(path.clone());
            key_paths(value, &path, found);
        }),
        Value::Array(items) => items.iter().for_each(|item| key_paths(item, &format!("{path}[]"), found)),
        _ => {}
    }
}

/// How a call was answered, with the key paths of a JSON answer or the text of another.
fn answer(call: &str, answer: &Message, found: &mut BTreeSet<String>) {
    let kind = answer.header("content-type").unwrap_or_default();
    found.insert(format!("{call}: {} {kind}", answer.status()));
    match serde_json::from_str::<Value>(&answer.body) {
        Ok(value) => key_paths(&value, &format!("{call}: "), found),
        Err(_) if answer.status() == 400 => {}
        Err(_) => _ = found.insert(format!("{call}: text {}", answer.body.trim())),
    }
}

#[test]
fn metrics_have_the_recorded_names_and_labels() {
    let (first, second, _stubs) = fleet();
    settled(&first, &second);
    assert_eq!(first.node.client().exchange(&request("look", 3000)).status(), 200);
    let text = get(first.admin, "/metrics").body;
    let mut found = BTreeSet::new();
    for line in text.lines() {
        match line.strip_prefix("# ") {
            Some(comment) if comment.starts_with("HELP ") => {}
            Some(comment) => _ = found.insert(comment.to_string()),
            None => _ = found.insert(line.rsplit_once(' ').expect("a value").0.to_string()),
        }
    }
    compare(&found, include_str!("fixtures/metrics.txt"));
}

#[test]
fn the_admin_address_answers_with_the_recorded_keys() {
    let (first, second, _stubs) = fleet();
    settled(&first, &second);
    assert_eq!(first.node.client().exchange(&request("look", 3000)).status(), 200);
    let mut found = BTreeSet::new();
    let proposal = |id: u64, more: Value| {
        let mut body = json!({"id": id, "schema": 1, "proposer": "operator", "reason": "a test",
            "section": "versions", "key": "floor", "value": "17"});
        more.as_object().into_iter().flatten().for_each(|(name, value)| body[name] = value.clone());
        body.to_string()
    };
    let propose = "/fleet/plan/propose";
    let wish =
        json!({"name": "n2", "address": "127.0.0.1:1", "zone": "nowhere", "reason": "a test"}).to_string();
    for (call, path, body) in [
        ("propose", propose, proposal(77, json!({}))),
        ("propose again", propose, proposal(77, json!({}))),
        ("propose late", propose, proposal(78, json!({"expected": 0}))),
        ("propose after", propose, proposal(79, json!({"after": 0}))),
        ("propose nonsense", propose, "{}".to_string()),
        ("propose no JSON", propose, "{".to_string()),
        ("wish", "/fleet/plan/voters", wish),
        ("wish nonsense", "/fleet/plan/voters", "{}".to_string()),
    ] {
        answer(call, &post(first.admin, path, &body), &mut found);
    }
    answer("propose elsewhere", &post(second.admin, propose, &proposal(80, json!({}))), &mut found);
    let index = |plan: &Value| plan["index"].as_u64().unwrap_or_default();
    let decided = index(&wait_for(&first, "/fleet/plan", |_| true));
    wait_for(&second, "/fleet/plan", |plan| index(plan) >= decided);
    for path in [
        "/healthz",
        "/readyz",
        "/metrics/",
        "/debug/state",
        "/fleet/members",
        "/fleet/plan",
        "/fleet/plan/history",
        "/fleet/duties",
        "/elsewhere",
    ] {
        answer(&format!("GET {path}"), &get(first.admin, path), &mut found);
        answer(&format!("GET {path} of another"), &get(second.admin, path), &mut found);
    }
    compare(&found, include_str!("fixtures/admin.txt"));
}
