//! A gateway with the settings of each deployment in deploy/sites, spoken to by that deployment's names: headers,
//! paths, fields and states come from the files beside its settings, and no other counts.
#[path = "sockets/world.rs"]
mod world;

use serde_json::{json, Map, Value};
use std::path::{Path, PathBuf};
use world::*;

/// What a deployment calls things, as its files say.
struct Site {
    names: PathBuf,
    told: Value,
    settings: Value,
}

impl Site {
    fn read(folder: &Path) -> Site {
        let json = |name: &str| {
            let text = std::fs::read_to_string(folder.join(name)).expect("a file");
            serde_json::from_str(&text).expect("JSON")
        };
        Site { names: folder.join("real.json"), told: json("real.json"), settings: json("settings.json") }
    }

    fn name(&self, group: &str, key: &str) -> String {
        self.told[group][key].as_str().expect("a name").to_string()
    }

    /// A list in this deployment's form: each backend with its state by the protocol's name.
    fn list(&self, revision: u64, complete: bool, members: &[(&str, &Stub, &str)]) -> String {
        let field = |key: &str| self.name("f", key);
        let members: Vec<Value> = members
            .iter()
            .map(|(id, stub, state)| {
                let values = [
                    ("id", json!(id)),
                    ("addr", json!(stub.address.to_string())),
                    ("zone", self.settings["zone"].clone()),
                    ("kind", json!("m")),
                    ("cell", json!(0)),
                    ("state", json!(self.name("states", state))),
                    ("weight", json!(1.0)),
                    ("started", json!(0)),
                ];
                Value::Object(values.into_iter().map(|(key, value)| (field(key), value)).collect())
            })
            .collect();
        let around =
            [("version", json!(revision)), ("full", json!(complete)), ("list", Value::Array(members))];
        let list: Map<String, Value> = around.into_iter().map(|(key, value)| (field(key), value)).collect();
        Value::Object(list).to_string()
    }

    /// Discovery that tells this list, and then holds its watches.
    fn discovery(&self, list: String) -> Stub {
        let (path, watch) = (self.name("paths", "list"), format!("{}=7&", self.name("q", "after")));
        Stub::start(move |asked| {
            let target = asked.line.split(' ').nth(1).unwrap_or_default();
            match target.split('?').next() == Some(path.as_str()) {
                true if target.contains(&watch) => Reply::Silence,
                true => http("200 OK", &list),
                false => http("404 Not Found", ""),
            }
        })
    }

    fn counter(&self) -> Stub {
        let call = |key: &str| self.name("counter", key);
        let (path, add, life) =
            (call("path") + "/", format!("?{}=", call("add")), format!("&{}=", call("ttl")));
        Stub::start(move |asked| {
            let target = asked.line.split(' ').nth(1).unwrap_or_default();
            match target.starts_with(&path) && target.contains(&add) && target.contains(&life) {
                true => http("200 OK", "1"),
                false => http("404 Not Found", ""),
            }
        })
    }

    fn request(&self, class: &Value, id: u32) -> String {
        let header = |key: &str| self.name("h", key);
        let text = |value: &Value| value.as_str().expect("a name").to_string();
        let (method, key) = match class["effect"].as_str() {
            Some("pure") => ("GET", ""),
            Some("token") => ("POST", "Idempotency-Key: k\r\nContent-Length: 0\r\n"),
            _ => ("POST", "Content-Length: 0\r\n"),
        };
        format!(
            "{method} /api?{}=00000000b4d65521 HTTP/1.1\r\nHost: s\r\n{}: {id:08x}\r\n{}: {}\r\n{}: {}\r\n{}: 1900\r\n\
            {}: units=1,spread=2,first=0\r\n{key}\r\n",
            text(&self.told["key_name"]),
            header("id"),
            header("class"),
            text(&class["name"]),
            header("tenant"),
            text(&self.settings["plans"][0]["name"]),
            header("deadline"),
            header("extras"),
        )
    }

    fn node(&self, discovery: &Stub, counter: &Stub) -> Node {
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address,
            "counter": counter.address, "seed": "5", "settings": self.settings});
        let mut command = program(&config.to_string());
        command.env("LANESPAN_NAMES", &self.names);
        Node::spawn(command)
    }

    fn wait_ready(&self, node: &Node) {
        let ask = format!("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", self.name("paths", "ready"));
        let until = std::time::Instant::now() + LIMIT;
        while node.client().ask(&ask).status() != 200 {
            assert!(std::time::Instant::now() < until, "never ready");
        }
    }
}

fn sites() -> Vec<Site> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    let entries = std::fs::read_dir(folder).expect("the folder").map(|entry| entry.expect("an entry").path());
    let sites: Vec<Site> = entries.filter(|path| path.is_dir()).map(|path| Site::read(&path)).collect();
    assert!(sites.len() >= 2);
    sites
}

#[test]
fn every_class_is_served_by_the_names_of_its_deployment() {
    for site in sites() {
        let (backend, counter) = (Stub::start(|_| http("200 OK", "ok")), site.counter());
        let discovery = site.discovery(site.list(7, true, &[("s-1", &backend, "ready")]));
        let node = site.node(&discovery, &counter);
        site.wait_ready(&node);
        let classes = site.settings["classes"].as_array().expect("classes");
        for (id, class) in classes.iter().enumerate() {
            let answer = node.client().ask(&site.request(class, id as u32));
            assert_eq!((answer.status(), answer.body.as_str()), (200, "ok"), "{class}");
        }
        let seen = backend.requests();
        assert_eq!(seen.len(), classes.len());
        for asked in &seen {
            let budget = asked.header(&site.name("h", "deadline").to_ascii_lowercase());
            let budget: u32 = budget.expect("a budget").parse().expect("whole");
            assert!((1..=1900).contains(&budget), "{budget}");
        }
        let (path, add) = (site.name("counter", "path"), site.name("counter", "add"));
        let calls = counter.requests();
        assert!(calls.len() >= classes.len(), "each is counted");
        for call in calls {
            assert!(
                call.line.contains(&format!(" {path}/")) && call.line.contains(&format!("?{add}=")),
                "{call:?}"
            );
        }
    }
}

#[test]
fn a_turn_away_and_a_drain_are_known_by_the_names_of_their_deployment() {
    for site in sites() {
        let turns_away =
            format!("HTTP/1.1 503 No\r\n{}: 1\r\nContent-Length: 0\r\n\r\n", site.name("h", "not_run"));
        let full = Stub::start(move |_| Reply::Raw(turns_away.clone()));
        let (drains, counter) = (Stub::start(|_| http("200 OK", "ok")), site.counter());
        let list = site.list(7, true, &[("s-1", &full, "ready"), ("s-2", &drains, "draining")]);
        let discovery = site.discovery(list);
        let node = site.node(&discovery, &counter);
        site.wait_ready(&node);
        for (id, class) in site.settings["classes"].as_array().expect("classes").iter().enumerate() {
            let answer = node.client().ask(&site.request(class, id as u32));
            assert_eq!(answer.status(), 429, "it never ran, so trying again is harmless: {class}");
        }
        assert!(!full.requests().is_empty());
        assert_eq!(drains.requests().len(), 0, "nothing goes to one that drains");
    }
}

#[test]
fn names_that_make_no_sense_are_told_in_a_line_each_and_the_gateway_does_not_start() {
    let site = &sites()[0];
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("names-{}.json", std::process::id()));
    for (pointer, value, line) in [
        ("/h/id", json!("no header"), "h.id: expected a header name, found 'no header'"),
        ("/h/class", site.told["h"]["id"].clone(), "h: '"),
        (
            "/paths/list",
            json!("nodes"),
            "paths.list: expected an absolute path of letters, digits and -_.~, found 'nodes'",
        ),
        ("/states/gone", site.told["states"]["ready"].clone(), "states: '"),
        ("/f/state", json!(""), "f.state: expected a name of letters, digits and -_.~, found ''"),
        ("/key_in", json!("path"), "key_in: expected 'query', found \"path\""),
        ("/counter/verb", json!("INCR"), "counter.verb: expected 'ADDGET', found 'INCR'"),
    ] {
        let mut told = site.told.clone();
        *told.pointer_mut(pointer).expect("it is there") = value;
        std::fs::write(&path, told.to_string()).expect("written");
        let nowhere = Stub::start(|_| Reply::Silence);
        let config = json!({"listen": "127.0.0.1:0", "discovery": nowhere.address, "counter": nowhere.address,
            "settings": site.settings});
        let mut command = program(&config.to_string());
        let done = command.env("LANESPAN_NAMES", &path).output().expect("it runs");
        let said = String::from_utf8(done.stderr).expect("text");
        assert_eq!(done.status.code(), Some(2), "{said}");
        assert!(said.lines().count() == 1 && said.contains(&format!("names: {line}")), "{line}: {said}");
    }
}
