//! The operators' door of a running gateway.
#[path = "sockets/harness.rs"]
mod harness;

use harness::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;

/// A gateway before one backend, with the door open, and where that is.
fn gateway(section: &str) -> (Stub, Discovery, Stub, Node, SocketAddr) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let config =
        config(discovery.stub.address, counter.address).replacen('{', &format!("{{\"admin\":{section},"), 1);
    // The first line that names an address is the door's.
    let mut node = Node::spawn(operator_command(&config));
    let door = std::mem::replace(&mut node.address, SocketAddr::from(([127, 0, 0, 1], 0)));
    let line = node.wait_for_line("listening");
    node.address = line.split("address=").nth(1).and_then(|a| a.trim().parse().ok()).expect("an address");
    node.wait_ready();
    (backend, discovery, counter, node, door)
}

const OPEN: &str = r#"{"listen":"127.0.0.1:0"}"#;

fn get(door: SocketAddr, path: &str) -> Message {
    Client::connect(door).exchange(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
}

/// The value of a series; `None` if there is none.
fn series(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next().and_then(|value| value.parse().ok())
}

#[test]
fn figures_tell_what_clients_got_and_what_stands() {
    let (_backend, _discovery, _counter, node, door) = gateway(OPEN);
    for _ in 0..3 {
        assert_eq!(node.client().exchange(&request("look", 3000)).status(), 200);
    }
    let small = request("look", 3000).replace("X-Plan: team", "X-Plan: small").replace("units=2", "units=4");
    let refused = (0..4).filter(|_| node.client().exchange(&small).status() == 429).count();
    assert!(refused > 0);
    let told = get(door, "/metrics");
    assert!(told.header("content-type").is_some_and(|kind| kind.starts_with("application/openmetrics-text")));
    let text = told.body;
    let got = |plan: &str, got: &str| {
        series(&text, &format!("lanespan_requests_total{{class=\"look\",plan=\"{plan}\",got=\"{got}\"}}"))
    };
    assert_eq!((got("team", "served"), got("small", "refused")), (Some(3.0), Some(refused as f64)));
    assert_eq!(got("team", "failed"), Some(0.0), "every series is there from the start");
    assert_eq!(series(&text, "lanespan_answer_seconds_count{class=\"look\"}"), Some(7.0));
    assert_eq!(series(&text, "lanespan_attempts_total{outcome=\"ok\"}"), Some(7.0 - refused as f64));
    assert!(series(&text, "lanespan_counter_calls_total{outcome=\"ok\"}") >= Some(3.0));
    assert_eq!(series(&text, "lanespan_backends"), Some(1.0));
    assert!(series(&text, "lanespan_memory_bytes") > Some(1e6));
    assert!(text.ends_with("# EOF\n"));
    assert_eq!((get(door, "/healthz").status(), get(door, "/readyz").status()), (200, 200));
    assert_eq!(get(door, "/elsewhere").status(), 404);
    assert_eq!(
        Client::connect(door)
            .exchange("POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
            .status(),
        405
    );
}

#[test]
fn customers_make_no_series() {
    let (_backend, _discovery, _counter, node, door) = gateway(OPEN);
    let lines = |door| get(door, "/metrics").body.lines().count();
    let before = lines(door);
    std::thread::scope(|scope| {
        for part in 0..50 {
            let mut client = node.client();
            scope.spawn(move || {
                for customer in (part..10_000).step_by(50) {
                    let asked = request("look", 4000)
                        .replace("00000000b4d65521", &format!("{customer:016x}"))
                        .replace("9b1f03aa", &format!("{customer:08x}"));
                    assert_eq!(client.exchange(&asked).status(), 200);
                }
            });
        }
    });
    assert_eq!(lines(door), before);
}

#[test]
fn clients_of_the_door_that_drip_or_never_read_hold_up_neither_requests_nor_others_for_long() {
    let (_backend, _discovery, _counter, node, door) =
        gateway(r#"{"listen":"127.0.0.1:0","connections":2,"timeout_ms":300}"#);
    let stuck: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(door).expect("it listens");
            stream.write_all(b"GET /metr").expect("it reads");
            stream
        })
        .collect();
    assert_eq!(node.client().exchange(&request("look", 3000)).status(), 200, "requests go on");
    // Their time ends, and with it their places.
    for mut stream in stuck {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        assert_eq!(stream.read(&mut [0; 64]).ok(), Some(0), "closed without an answer");
    }
    assert_eq!(get(door, "/healthz").status(), 200);
    let mut long = Client::connect(door);
    // A head without end is cut off; what was sent of it may be reset.
    let _ = long.write(format!("GET /{} HTTP/1.1\r\n", "x".repeat(64 * 1024)).as_bytes());
    assert!(long.read_response().is_none_or(|told| told.status() >= 400));
    assert_eq!(node.client().exchange(&request("look", 3000)).status(), 200);
}

#[test]
fn status_is_a_table_for_people_and_json_for_programs() {
    let (_backend, _discovery, _counter, node, door) = gateway(OPEN);
    assert_eq!(node.client().exchange(&request("look", 3000)).status(), 200);
    let ask = |words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
        command.arg("status").args(words).env_remove("NODE_CONFIG").output().expect("it runs")
    };
    let door_text = door.to_string();
    let told = ask(&["--admin", &door_text, "--json"]);
    let state: Value = serde_json::from_slice(&told.stdout).expect("JSON");
    assert_eq!(state["backends"][0]["id"], "s-1");
    assert_eq!((&state["ready"], &state["counter"]["breaker_open"]), (&true.into(), &false.into()));
    let table = String::from_utf8(ask(&["--admin", &door_text]).stdout).expect("text");
    let row = table.lines().find(|line| line.starts_with("s-1")).expect("a row");
    assert!(row.ends_with("in service"), "{row}");
    drop(node);
    let gone = ask(&["--admin", &door_text]);
    assert_eq!(gone.status.code(), Some(1));
    assert!(String::from_utf8(gone.stderr).expect("text").starts_with(&format!("lanespan: {door_text}: ")));
    assert_eq!(ask(&[]).status.code(), Some(2));
}

#[test]
fn a_breaker_that_opens_is_counted_and_shown() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let config = config(discovery.stub.address, nobody).replacen('{', &format!("{{\"admin\":{OPEN},"), 1);
    let mut node = Node::spawn(operator_command(&config));
    let door = node.address;
    let line = node.wait_for_line("listening");
    node.address = line.split("address=").nth(1).and_then(|a| a.trim().parse().ok()).expect("an address");
    node.wait_ready();
    let until = std::time::Instant::now() + TEST_TIMEOUT;
    let mut customer = 0;
    while series(&get(door, "/metrics").body, "lanespan_breaker_open") != Some(1.0) {
        assert!(std::time::Instant::now() < until, "it never opened");
        customer += 1;
        node.client()
            .exchange(&request("look", 3000).replace("00000000b4d65521", &format!("{customer:016x}")));
    }
    let text = get(door, "/metrics").body;
    assert_eq!(series(&text, "lanespan_breaker_changes_total"), Some(1.0));
    assert!(series(&text, "lanespan_counter_calls_total{outcome=\"connect_failed\"}") >= Some(3.0));
}
