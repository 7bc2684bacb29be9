//! The platform's configuration file, which may hold keys of any name and type, as a running gateway meets it.
#[path = "sockets/world.rs"]
mod world;

use serde_json::{json, Value};
use std::process::{Command, Output};
use world::*;

/// The names of this gateway's own sections, and of two that the platform's pages define.
const SECTIONS: [&str; 7] = ["admin", "fleet", "pool", "streaming", "names", "limits", "known"];

/// What the platform may mean by any of these names.
fn foreign() -> [Value; 6] {
    [
        json!("10.0.0.1:9901"),
        json!(9901),
        Value::Null,
        json!(["10.0.0.1:9901", 7]),
        json!({}),
        json!({"listen": {"port": 9901}, "links": "many", "hold_kb": [], "members": 3, "sockets": {}}),
    ]
}

/// The platform's file with one key as given.
fn told(config: &str, key: &str, value: &Value) -> String {
    let mut config: Value = serde_json::from_str(config).expect("JSON");
    config[key] = value.clone();
    config.to_string()
}

#[test]
fn whatever_the_platform_means_by_a_name_a_gateway_starts_and_serves() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let plain = config(discovery.stub.address, counter.address);
    for key in SECTIONS {
        for value in foreign() {
            let node = Node::spawn(program(&told(&plain, key, &value)));
            node.wait_ready();
            assert_eq!(node.client().ask(&request("look", 3000)).status(), 200, "{key}: {value}");
            let first = node.started();
            assert!(
                !first.contains("admin interface open") && !first.contains("joining the fleet"),
                "{key}: {first}"
            );
            let ours = key != "limits" && key != "known";
            assert_eq!(first.contains(&format!("keys=\"{key}\"")), ours, "{key}: {value}: {first}");
        }
    }
}

#[test]
fn whatever_the_platform_means_by_a_name_a_reload_takes_effect_and_changes_nothing_else() {
    let names = ["one", "other"];
    let backends = names.map(|name| Stub::start(move |_| http("200 OK", name)));
    let discoveries = [0, 1].map(|i| Discovery::start(&member("s-1", backends[i].address, "ready")));
    let counter = counter();
    let files = [0, 1].map(|i| config(discoveries[i].stub.address, counter.address));
    let path = file(&files[0]);
    let node = Node::spawn(told_by(&path));
    node.wait_ready();
    let mut at = 0;
    for key in SECTIONS {
        for value in foreign() {
            at = 1 - at;
            std::fs::write(&path, told(&files[at], key, &value)).expect("written");
            node.signal("HUP");
            let answered = || node.client().ask(&request("look", 3000)).body == names[at];
            node.wait_until(&format!("the move, {key}: {value}"), answered);
        }
    }
    let lines = node.lines();
    // The limits are the one thing that was told otherwise in a form that counts.
    let restarts: Vec<&String> = lines.iter().filter(|line| line.contains("needs a restart")).collect();
    assert!(restarts.iter().all(|line| line.contains("keys=\"limits\"")), "{restarts:?}");
    assert!(!lines.iter().any(|line| line.contains("not usable")), "{lines:?}");
    for key in &SECTIONS[..5] {
        let named = lines.iter().filter(|line| line.contains(&format!("keys=\"{key}\""))).count();
        assert_eq!(named, foreign().len(), "{key} is named once a reload");
    }
}

#[test]
fn an_operators_sections_stand_beside_the_platforms_file_in_one_of_their_own() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let platform = told(&config(discovery.stub.address, counter.address), "admin", &json!("10.0.0.1:9901"));
    let sections = file(r#"{"admin":{"listen":"127.0.0.1:0"},"pool":{"links":77}}"#);
    let mut command = program(&platform);
    command.env("LANESPAN_CONFIG", &sections);
    let node = Node::spawn(command);
    // The first line with an address is the door's.
    let listening = node.wait_for_line("listening");
    assert!(node.started().contains("admin interface open"), "{}", node.started());
    let wrong = r#"{"pool":{"links":0}}"#;
    std::fs::write(&sections, wrong).expect("written");
    node.signal("HUP");
    let line = node.wait_for_line("not usable");
    assert!(line.contains(&format!("{}: pool.links: expected a whole number", sections.display())), "{line}");
    std::fs::write(&sections, r#"{"pool":{"links":33}}"#).expect("written");
    node.signal("HUP");
    let line = node.wait_for_line("needs a restart");
    assert!(line.contains("keys=\"admin\""), "the pool's bounds take effect at once: {line}");
    let address = listening.split("address=").nth(1).expect("an address").trim().parse().expect("an address");
    assert_eq!(Client::at(address).ask(&request("look", 3000)).status(), 200);

    for (text, line) in [
        (wrong, "pool.links: expected a whole number from 1 to 1000000, found 0"),
        (
            r#"{"steaming":{}}"#,
            "steaming: no section of the gateway; known are names, pool, streaming, admin, fleet",
        ),
        (r#"{"listen":"127.0.0.1:1"}"#, "listen: no section of the gateway"),
        ("[]", "the file: expected an object"),
        ("{", "EOF"),
    ] {
        let sections = file(text);
        let done = program(&platform).env("LANESPAN_CONFIG", &sections).output().expect("it runs");
        let said = String::from_utf8(done.stderr).expect("text");
        assert_eq!((done.status.code(), said.lines().count()), (Some(2), 1), "{said}");
        assert!(
            said.starts_with(&format!("lanespan: {}: ", sections.display())) && said.contains(line),
            "{said}"
        );
    }
}

fn check(path: &std::path::Path, words: &[&str], platform: bool) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    ["NODE_CONFIG", "NODE_LISTEN", "NODE_DISCOVERY", "LANESPAN_CONFIG", "LANESPAN_NAMES"].iter().for_each(
        |name| {
            command.env_remove(name);
        },
    );
    command.args(["config", "check"]).args(words);
    match platform {
        true => command.env("NODE_CONFIG", path),
        false => command.arg(path),
    };
    command.output().expect("it runs")
}

#[test]
fn the_check_tells_for_whose_it_took_a_file_and_its_keys() {
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let path = file(&told(&config(nowhere, nowhere), "admin", &json!("10.0.0.1:9901")));
    for done in [check(&path, &["--platform"], false), check(&path, &[], true)] {
        let said = String::from_utf8(done.stdout).expect("text");
        assert_eq!(done.status.code(), Some(0), "{said}");
        for line in ["sound", "read as the platform's", "passed over, as not the gateway's: admin"] {
            assert!(said.contains(line), "{line}: {said}");
        }
    }
    let done = check(&path, &[], false);
    let (said, wrong) =
        (String::from_utf8(done.stdout).expect("text"), String::from_utf8(done.stderr).expect("text"));
    assert_eq!(done.status.code(), Some(2));
    assert!(said.contains("read as an operator's") && said.contains("--platform"), "{said}");
    assert!(wrong.contains("admin: expected an object, found \"10.0.0.1:9901\""), "{wrong}");
}

#[test]
fn a_class_whose_effect_is_not_known_is_served_and_never_repeated() {
    let backend = Stub::start(|_| http("500 Internal Server Error", ""));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let mut config: Value =
        serde_json::from_str(&config(discovery.stub.address, counter.address)).expect("JSON");
    config["settings"]["classes"][0]["effect"] = json!("pure_since_2027");
    let node = Node::spawn(program(&config.to_string()));
    node.wait_ready();
    for (method, count) in [("GET", 1), ("POST", 2)] {
        let asked = request("look", 3000).replacen("GET", method, 1);
        assert_eq!(node.client().ask(&asked).status(), 502, "{method}");
        assert_eq!(backend.requests().len(), count, "it goes out once");
    }
    assert!(node.started().contains("classes.0.effect"), "{}", node.started());
}

#[test]
fn a_member_in_a_state_that_nobody_knows_keeps_no_other_from_being_heard() {
    let (known, odd) = (Stub::start(|_| http("200 OK", "known")), Stub::start(|_| http("200 OK", "odd")));
    let discovery = Discovery::start(&member("s-odd", odd.address, "ready"));
    let counter = counter();
    let node = Node::start(&discovery, &counter);
    assert_eq!(node.client().ask(&request("look", 3000)).body, "odd");
    let members = [member("s-odd", odd.address, "hibernating"), member("s-known", known.address, "ready")];
    discovery.tell(42, false, &members.join(","));
    for _ in 0..8 {
        assert_eq!(
            node.client().ask(&request("look", 3000)).body,
            "known",
            "nothing new goes to the odd one"
        );
    }
    node.wait_for_line("entries that can't be read");
    // The same odd entry in the next list is not told again, and a list that would leave nobody is not believed.
    discovery.tell(43, true, &members.join(","));
    let watches = discovery.stub.requests().len();
    discovery.say(44, &list(44, true, &members[0]));
    discovery.stub.wait_for("the watch made again", |log| log.requests.len() > watches + 1);
    assert_eq!(node.client().ask(&request("look", 3000)).body, "known");
    let told = node.lines().iter().filter(|line| line.contains("entries that can't be read")).count();
    assert_eq!(told, 1);
}
