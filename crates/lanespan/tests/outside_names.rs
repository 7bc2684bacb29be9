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

/// Compares the found names with the lines of a fixture.
fn compare(found: &BTreeSet<String>, recorded: &str) {
    let recorded: BTreeSet<String> = recorded.lines().map(str::to_string).collect();
    let missing: Vec<&String> = recorded.difference(found).collect();
    let new: Vec<&String> = found.difference(&recorded).collect();
    assert!(missing.is_empty() && new.is_empty(), "missing: {missing:#?}\nnew: {new:#?}");
}

/// Runs the command with these arguments and an empty environment, and returns its output.
fn lanespan(args: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    let output = command.args(args).env_clear().output().expect("the command runs");
    assert!(output.status.success(), "{args:?}");
    String::from_utf8(output.stdout).expect("UTF-8 text")
}

/// Returns the entries of one section of a help text, such as `Commands:`, each with the value that it takes.
fn help_section<'a>(help: &'a str, title: &'a str) -> impl Iterator<Item = String> + 'a {
    let lines = help.lines().skip_while(move |line| *line != title).skip(1);
    let entries = lines.take_while(|line| !line.is_empty()).filter(|line| {
        // Continuation lines of an entry are indented further.
        line.len() - line.trim_start().len() <= 6 && !line.trim().is_empty()
    });
    entries.map(|line| line.trim().split("  ").next().unwrap_or_default().to_string())
}

/// Collects a command, its arguments and options, and all its subcommands.
fn collect_commands(path: &mut Vec<String>, found: &mut BTreeSet<String>) {
    let args: Vec<&str> = path.iter().map(String::as_str).chain(["--help"]).collect();
    let help = lanespan(&args);
    let name = [&["lanespan".to_string()], &path[..]].concat().join(" ");
    found.insert(name.clone());
    for title in ["Arguments:", "Options:"] {
        found.extend(help_section(&help, title).map(|entry| format!("{name} {entry}")));
    }
    let subcommands: Vec<String> =
        help_section(&help, "Commands:").filter(|command| command != "help").collect();
    for command in subcommands {
        path.push(command);
        collect_commands(path, found);
        path.pop();
    }
}

#[test]
fn commands_arguments_and_options_have_the_recorded_names() {
    let mut found = BTreeSet::new();
    collect_commands(&mut Vec::new(), &mut found);
    compare(&found, include_str!("fixtures/commands.txt"));
}

#[test]
fn recorded_environment_variables_are_read() {
    let backend = SocketAddr::from(([127, 0, 0, 1], 1));
    let path = config_file(&config(backend, backend));
    let path = path.to_str().expect("text");
    let show = |variable: &str, value: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
        command.args(["config", "show"]).env_clear().env("NODE_CONFIG", path).env(variable, value);
        let output = command.output().expect("the command runs");
        (
            output.status.code(),
            String::from_utf8([output.stdout, output.stderr].concat()).expect("UTF-8 text"),
        )
    };
    for variable in include_str!("fixtures/environment.txt").lines() {
        let (baseline, output) = (show("UNHEARD_OF", "x"), show(variable, "an odd value"));
        assert_eq!(baseline.0, Some(0), "{}", baseline.1);
        assert_ne!(baseline, output, "{variable} has no effect");
        assert!(output.1.contains("an odd value"), "{variable}: {}", output.1);
    }
}

/// Collects the keys of a JSON schema, each with its default, type and bounds.
fn collect_keys(schema: &Value, root: &Value, prefix: &str, found: &mut BTreeSet<String>) {
    if let Some(name) = schema["$ref"].as_str().and_then(|to| to.strip_prefix("#/$defs/")) {
        collect_keys(&root["$defs"][name], root, prefix, found);
    }
    for part in schema["anyOf"].as_array().into_iter().flatten() {
        collect_keys(part, root, prefix, found);
    }
    for (name, property) in schema["properties"].as_object().into_iter().flatten() {
        let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        let attributes: Vec<String> = ["default", "type", "minimum", "maximum", "enum"]
            .iter()
            .filter_map(|attribute| property.get(attribute).map(|value| format!("{attribute}={value}")))
            .collect();
        found.insert(format!("{key} {}", attributes.join(" ")).trim_end().to_string());
        collect_keys(property, root, &key, found);
    }
    for child in ["items", "additionalProperties"] {
        if schema[child].is_object() {
            collect_keys(&schema[child], root, &format!("{prefix}[]"), found);
        }
    }
}

#[test]
fn configuration_keys_have_the_recorded_names_and_defaults() {
    let schema: Value = serde_json::from_str(&lanespan(&["config", "schema"])).expect("JSON");
    let mut found = BTreeSet::new();
    collect_keys(&schema, &schema, "", &mut found);
    compare(&found, include_str!("fixtures/config-keys.txt"));
}

/// A running gateway of the fleet, with its admin address.
struct Member {
    node: Node,
    admin: SocketAddr,
}

/// Returns a free UDP port and a free TCP port. Another process may take them before they are used.
fn free_ports() -> (u16, u16) {
    let udp = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    let tcp = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    (udp.expect("a port").port(), tcp.expect("a port").port())
}

fn address(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

/// Starts a gateway with this `fleet` section and waits until it is ready.
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

/// Starts a fleet of two gateways, of which the first is the only voter, with a backend, discovery and a counter.
fn fleet() -> (Member, Member, (Stub, Discovery, Stub)) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let config = config(discovery.stub.address, counter.address);
    let (first_ports, second_ports) = (free_ports(), free_ports());
    let voters = json!({"n0": {"zone": "a", "address": address(first_ports.1)}});
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("names-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("a directory");
    let fleet_section = |first_ports: (u16, u16), join: Value, directory: Option<PathBuf>| {
        json!({
            "listen": address(first_ports.0), "join": join, "probe_ms": 100, "hold_ms": 1000,
            "plan": {"listen": address(first_ports.1), "voters": voters, "directory": directory, "tick_ms": 20,
                "lease_ms": 1000},
        })
    };
    let first = start("n0", &config, fleet_section(first_ports, json!([]), Some(directory)));
    let second = start("n1", &config, fleet_section(second_ports, json!([address(first_ports.0)]), None));
    (first, second, (backend, discovery, counter))
}

/// Sends a GET request to an admin address.
fn get(admin: SocketAddr, path: &str) -> Message {
    Client::connect(admin).exchange(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
}

/// Sends a POST request to an admin address.
fn post(admin: SocketAddr, path: &str, body: &str) -> Message {
    let length = body.len();
    Client::connect(admin)
        .exchange(&format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"))
}

/// Waits until a condition holds for the JSON response at a path, and returns the response.
fn wait_for(member: &Member, path: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let read = || serde_json::from_str::<Value>(&get(member.admin, path).body).unwrap_or_default();
    member.node.wait_until(path, || condition(&read()));
    read()
}

/// Waits until the first gateway leads and holds a lease, the second acts on the fleet document, and each is a member
/// in the view of the other.
fn wait_until_settled(first: &Member, second: &Member) {
    let index = |plan: &Value| plan["index"].as_u64().unwrap_or_default();
    wait_for(first, "/fleet/plan", |plan| plan["leads"] == true && index(plan) > 0);
    wait_for(second, "/fleet/plan", |plan| index(plan) > 0);
    let held = |leases: &Value| {
        leases["duties"].as_array().is_some_and(|rows| rows.iter().any(|row| row["held_here"] == true))
    };
    wait_for(first, "/fleet/duties", held);
    let both = |view: &Value| view["members"].as_array().is_some_and(|rows| rows.len() == 2);
    wait_for(first, "/fleet/members", both);
    wait_for(second, "/fleet/members", both);
}

/// Collects the paths of all keys in a JSON value; all items of an array share one path.
fn collect_key_paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    // Which gateway observed a member first differs between runs.
    if path.ends_with(".seen") {
        assert!(*value == "here" || value["by"].is_string(), "{path}: {value}");
        return;
    }
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| {
            let path = format!("{path}.{name}");
            found.insert(path.clone());
            collect_key_paths(value, &path, found);
        }),
        Value::Array(items) => {
            items.iter().for_each(|item| collect_key_paths(item, &format!("{path}[]"), found))
        }
        _ => {}
    }
}

/// Collects the status and content type of a response, with the key paths of a JSON body or the text of any other.
fn collect_response(call: &str, response: &Message, found: &mut BTreeSet<String>) {
    let kind = response.header("content-type").unwrap_or_default();
    found.insert(format!("{call}: {} {kind}", response.status()));
    match serde_json::from_str::<Value>(&response.body) {
        Ok(value) => collect_key_paths(&value, &format!("{call}: "), found),
        Err(_) if response.status() == 400 => {}
        Err(_) => _ = found.insert(format!("{call}: text {}", response.body.trim())),
    }
}

#[test]
fn metrics_have_the_recorded_names_and_labels() {
    let (first, second, _stubs) = fleet();
    wait_until_settled(&first, &second);
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
fn admin_responses_have_the_recorded_keys() {
    let (first, second, _stubs) = fleet();
    wait_until_settled(&first, &second);
    assert_eq!(first.node.client().exchange(&request("look", 3000)).status(), 200);
    let mut found = BTreeSet::new();
    let proposal = |id: u64, more: Value| {
        let mut body = json!({"id": id, "schema": 1, "proposer": "operator", "reason": "a test",
            "section": "versions", "key": "floor", "value": "17"});
        more.as_object().into_iter().flatten().for_each(|(name, value)| body[name] = value.clone());
        body.to_string()
    };
    let propose = "/fleet/plan/propose";
    let voter_change =
        json!({"name": "n2", "address": "127.0.0.1:1", "zone": "nowhere", "reason": "a test"}).to_string();
    for (call, path, body) in [
        ("propose", propose, proposal(77, json!({}))),
        ("propose again", propose, proposal(77, json!({}))),
        ("propose late", propose, proposal(78, json!({"expected": 0}))),
        ("propose after", propose, proposal(79, json!({"after": 0}))),
        ("propose nonsense", propose, "{}".to_string()),
        ("propose no JSON", propose, "{".to_string()),
        ("wish", "/fleet/plan/voters", voter_change),
        ("wish nonsense", "/fleet/plan/voters", "{}".to_string()),
    ] {
        collect_response(call, &post(first.admin, path, &body), &mut found);
    }
    collect_response("propose elsewhere", &post(second.admin, propose, &proposal(80, json!({}))), &mut found);
    let index = |plan: &Value| plan["index"].as_u64().unwrap_or_default();
    let decided_index = index(&wait_for(&first, "/fleet/plan", |_| true));
    wait_for(&second, "/fleet/plan", |plan| index(plan) >= decided_index);
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
        collect_response(&format!("GET {path}"), &get(first.admin, path), &mut found);
        collect_response(&format!("GET {path} of another"), &get(second.admin, path), &mut found);
    }
    compare(&found, include_str!("fixtures/admin.txt"));
}
