//! Runs a gateway with the settings of each deployment in deploy/sites and the names of that deployment: headers,
//! paths, fields and states are read from the file beside its settings, and the stubs of discovery and the counter
//! accept no others.
#[path = "sockets/harness.rs"]
mod harness;

use harness::*;
use serde_json::{json, Map, Value};
use std::path::{Path, PathBuf};

/// The settings of a deployment and its names for headers, paths, fields and states.
struct Site {
    names_path: PathBuf,
    names: Value,
    settings: Value,
}

impl Site {
    fn read(folder: &Path) -> Site {
        let json = |name: &str| {
            let text = std::fs::read_to_string(folder.join(name)).expect("a readable file");
            serde_json::from_str(&text).expect("JSON")
        };
        Site {
            names_path: folder.join("real.json"),
            names: json("real.json"),
            settings: json("settings.json"),
        }
    }

    fn name(&self, group: &str, key: &str) -> String {
        self.names[group][key].as_str().expect("a name").to_string()
    }

    /// Returns an endpoint list in this deployment's form. States are given by the name that the protocol has for them.
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
        let envelope =
            [("version", json!(revision)), ("full", json!(complete)), ("list", Value::Array(members))];
        let list: Map<String, Value> = envelope.into_iter().map(|(key, value)| (field(key), value)).collect();
        Value::Object(list).to_string()
    }

    /// Starts a discovery that returns this list and leaves watches from its revision, 7, unanswered.
    fn discovery(&self, list: String) -> Stub {
        let (path, watch) = (self.name("paths", "list"), format!("{}=7&", self.name("q", "after")));
        Stub::start(move |request| {
            let target = request.line.split(' ').nth(1).unwrap_or_default();
            match target.split('?').next() == Some(path.as_str()) {
                true if target.contains(&watch) => Reply::Silence,
                true => http("200 OK", &list),
                false => http("404 Not Found", ""),
            }
        })
    }

    /// Starts a counter that accepts only calls with this deployment's names.
    fn counter(&self) -> Stub {
        let call = |key: &str| self.name("counter", key);
        let (path, add, ttl) =
            (call("path") + "/", format!("?{}=", call("add")), format!("&{}=", call("ttl")));
        Stub::start(move |request| {
            let target = request.line.split(' ').nth(1).unwrap_or_default();
            match target.starts_with(&path) && target.contains(&add) && target.contains(&ttl) {
                true => http("200 OK", "1"),
                false => http("404 Not Found", ""),
            }
        })
    }

    /// Returns a request of this class with this deployment's headers.
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
            text(&self.names["key_name"]),
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
        let mut command = platform_command(&config.to_string());
        command.env("LANESPAN_NAMES", &self.names_path);
        Node::spawn(command)
    }

    fn wait_ready(&self, node: &Node) {
        let health_check = format!("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", self.name("paths", "ready"));
        let until = std::time::Instant::now() + TEST_TIMEOUT;
        while node.client().exchange(&health_check).status() != 200 {
            assert!(std::time::Instant::now() < until, "the gateway did not become ready");
        }
    }
}

fn sites() -> Vec<Site> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    let entries = std::fs::read_dir(folder)
        .expect("the directory of the sites")
        .map(|entry| entry.expect("a directory entry").path());
    let sites: Vec<Site> = entries.filter(|path| path.is_dir()).map(|path| Site::read(&path)).collect();
    assert!(sites.len() >= 2);
    sites
}

#[test]
fn every_class_is_served_with_the_names_of_its_deployment() {
    for site in sites() {
        let (backend, counter) = (Stub::start(|_| http("200 OK", "ok")), site.counter());
        let discovery = site.discovery(site.list(7, true, &[("s-1", &backend, "ready")]));
        let node = site.node(&discovery, &counter);
        site.wait_ready(&node);
        let classes = site.settings["classes"].as_array().expect("classes");
        for (id, class) in classes.iter().enumerate() {
            let response = node.client().exchange(&site.request(class, id as u32));
            assert_eq!((response.status(), response.body.as_str()), (200, "ok"), "{class}");
        }
        let seen = backend.requests();
        assert_eq!(seen.len(), classes.len());
        for request in &seen {
            let budget = request.header(&site.name("h", "deadline").to_ascii_lowercase());
            let budget: u32 = budget.expect("a budget").parse().expect("an integer");
            assert!((1..=1900).contains(&budget), "{budget}");
        }
        let (path, add) = (site.name("counter", "path"), site.name("counter", "add"));
        let calls = counter.requests();
        assert!(calls.len() >= classes.len(), "a counter call for each request");
        for call in calls {
            assert!(
                call.line.contains(&format!(" {path}/")) && call.line.contains(&format!("?{add}=")),
                "{call:?}"
            );
        }
    }
}

#[test]
fn rejections_and_drains_are_recognized_by_the_names_of_their_deployment() {
    for site in sites() {
        let rejection =
            format!("HTTP/1.1 503 No\r\n{}: 1\r\nContent-Length: 0\r\n\r\n", site.name("h", "not_run"));
        let rejecting = Stub::start(move |_| Reply::Raw(rejection.clone()));
        let (draining, counter) = (Stub::start(|_| http("200 OK", "ok")), site.counter());
        let list = site.list(7, true, &[("s-1", &rejecting, "ready"), ("s-2", &draining, "draining")]);
        let discovery = site.discovery(list);
        let node = site.node(&discovery, &counter);
        site.wait_ready(&node);
        for (id, class) in site.settings["classes"].as_array().expect("classes").iter().enumerate() {
            let response = node.client().exchange(&site.request(class, id as u32));
            assert_eq!(response.status(), 429, "no attempt ran, so a retry is safe: {class}");
        }
        assert!(!rejecting.requests().is_empty());
        assert_eq!(draining.requests().len(), 0, "a draining backend gets no requests");
    }
}

#[test]
fn an_invalid_name_is_reported_in_one_line_and_the_gateway_does_not_start() {
    let site = &sites()[0];
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("names-{}.json", std::process::id()));
    for (pointer, value, line) in [
        ("/h/id", json!("no header"), "h.id: expected a header name, found 'no header'"),
        ("/h/class", site.names["h"]["id"].clone(), "h: '"),
        (
            "/paths/list",
            json!("nodes"),
            "paths.list: expected an absolute path of letters, digits and -_.~, found 'nodes'",
        ),
        ("/states/gone", site.names["states"]["ready"].clone(), "states: '"),
        ("/f/state", json!(""), "f.state: expected a name of letters, digits and -_.~, found ''"),
        ("/key_in", json!("path"), "key_in: expected 'query', found \"path\""),
        ("/counter/verb", json!("INCR"), "counter.verb: expected 'ADDGET', found 'INCR'"),
    ] {
        let mut names = site.names.clone();
        *names.pointer_mut(pointer).expect("an existing name") = value;
        std::fs::write(&path, names.to_string()).expect("the file is written");
        let silent = Stub::start(|_| Reply::Silence);
        let config = json!({"listen": "127.0.0.1:0", "discovery": silent.address, "counter": silent.address,
            "settings": site.settings});
        let mut command = platform_command(&config.to_string());
        let output = command.env("LANESPAN_NAMES", &path).output().expect("the command runs");
        let stderr = String::from_utf8(output.stderr).expect("UTF-8 text");
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(
            stderr.lines().count() == 1 && stderr.contains(&format!("names: {line}")),
            "{line}: {stderr}"
        );
    }
}
