//! The admin interface of a running gateway: metrics, health, state, and `lanespan status`.
#[path = "sockets/harness.rs"]
mod harness;

use harness::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;

/// Starts a gateway with one backend and this `admin` section; returns both with discovery, the counter and the admin
/// address.
fn gateway(section: &str) -> (Stub, Discovery, Stub, Node, SocketAddr) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let config =
        config(discovery.stub.address, counter.address).replacen('{', &format!("{{\"admin\":{section},"), 1);
    // The first log line with an address is that of the admin interface.
    let mut node = Node::spawn(operator_command(&config));
    let admin = std::mem::replace(&mut node.address, SocketAddr::from(([127, 0, 0, 1], 0)));
    let line = node.wait_for_line("listening");
    node.address = line
        .split("address=")
        .nth(1)
        .and_then(|a| a.trim().parse().ok())
        .expect("the log line has an address");
    node.wait_ready();
    (backend, discovery, counter, node, admin)
}

/// An `admin` section with a free port.
const ADMIN_SECTION: &str = r#"{"listen":"127.0.0.1:0"}"#;

fn get(admin: SocketAddr, path: &str) -> Message {
    Client::connect(admin).exchange(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
}

/// Returns the value of a metric series, or `None` if the series does not exist.
fn series(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next().and_then(|value| value.parse().ok())
}

#[test]
fn metrics_count_requests_attempts_and_counter_calls() {
    let (_backend, _discovery, _counter, node, admin) = gateway(ADMIN_SECTION);
    for _ in 0..3 {
        assert_eq!(node.client().exchange(&request("look", 3000)).status(), 200);
    }
    let small = request("look", 3000).replace("X-Plan: team", "X-Plan: small").replace("units=2", "units=4");
    let rejected = (0..4).filter(|_| node.client().exchange(&small).status() == 429).count();
    assert!(rejected > 0);
    let response = get(admin, "/metrics");
    assert!(response
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("application/openmetrics-text")));
    let text = response.body;
    let requests = |plan: &str, outcome: &str| {
        series(&text, &format!("lanespan_requests_total{{class=\"look\",plan=\"{plan}\",got=\"{outcome}\"}}"))
    };
    assert_eq!(
        (requests("team", "served"), requests("small", "refused")),
        (Some(3.0), Some(rejected as f64))
    );
    assert_eq!(requests("team", "failed"), Some(0.0), "every series exists from the start");
    assert_eq!(series(&text, "lanespan_answer_seconds_count{class=\"look\"}"), Some(7.0));
    assert_eq!(series(&text, "lanespan_attempts_total{outcome=\"ok\"}"), Some(7.0 - rejected as f64));
    assert!(series(&text, "lanespan_counter_calls_total{outcome=\"ok\"}") >= Some(3.0));
    assert_eq!(series(&text, "lanespan_backends"), Some(1.0));
    assert!(series(&text, "lanespan_memory_bytes") > Some(1e6));
    assert!(text.ends_with("# EOF\n"));
    assert_eq!((get(admin, "/healthz").status(), get(admin, "/readyz").status()), (200, 200));
    assert_eq!(get(admin, "/elsewhere").status(), 404);
    assert_eq!(
        Client::connect(admin)
            .exchange("POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
            .status(),
        405
    );
}

/// A label per customer would make the metrics, and the memory for them, grow with the number of customers.
#[test]
fn metrics_have_no_series_per_customer() {
    let (_backend, _discovery, _counter, node, admin) = gateway(ADMIN_SECTION);
    let line_count = |admin| get(admin, "/metrics").body.lines().count();
    let before = line_count(admin);
    std::thread::scope(|scope| {
        for first_customer in 0..50 {
            let mut client = node.client();
            scope.spawn(move || {
                for customer in (first_customer..10_000).step_by(50) {
                    let text = request("look", 4000)
                        .replace("00000000b4d65521", &format!("{customer:016x}"))
                        .replace("9b1f03aa", &format!("{customer:08x}"));
                    assert_eq!(client.exchange(&text).status(), 200);
                }
            });
        }
    });
    assert_eq!(line_count(admin), before);
}

/// Clients that never finish their request head must not occupy the admin interface beyond its timeout.
#[test]
fn stalled_admin_clients_time_out_and_delay_neither_requests_nor_other_admin_clients() {
    let (_backend, _discovery, _counter, node, admin) =
        gateway(r#"{"listen":"127.0.0.1:0","connections":2,"timeout_ms":300}"#);
    let stuck: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(admin).expect("the admin address accepts");
            stream.write_all(b"GET /metr").expect("the partial head is written");
            stream
        })
        .collect();
    assert_eq!(node.client().exchange(&request("look", 3000)).status(), 200, "requests are still served");
    // After the timeout the gateway closes them, which frees their connection slots.
    for mut stream in stuck {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read timeout is set");
        assert_eq!(stream.read(&mut [0; 64]).ok(), Some(0), "closed without a response");
    }
    assert_eq!(get(admin, "/healthz").status(), 200);
    let mut oversized = Client::connect(admin);
    // The gateway rejects an oversized head; the write fails if it resets the connection.
    let _ = oversized.write(format!("GET /{} HTTP/1.1\r\n", "x".repeat(64 * 1024)).as_bytes());
    assert!(oversized.read_response().is_none_or(|response| response.status() >= 400));
    assert_eq!(node.client().exchange(&request("look", 3000)).status(), 200);
}

#[test]
fn status_prints_a_table_or_json() {
    let (_backend, _discovery, _counter, node, admin) = gateway(ADMIN_SECTION);
    assert_eq!(node.client().exchange(&request("look", 3000)).status(), 200);
    let status = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
        command.arg("status").args(args).env_remove("NODE_CONFIG").output().expect("the command runs")
    };
    let admin_text = admin.to_string();
    let output = status(&["--admin", &admin_text, "--json"]);
    let state: Value = serde_json::from_slice(&output.stdout).expect("the state is JSON");
    assert_eq!(state["backends"][0]["id"], "s-1");
    assert_eq!((&state["ready"], &state["counter"]["breaker_open"]), (&true.into(), &false.into()));
    let table = String::from_utf8(status(&["--admin", &admin_text]).stdout).expect("UTF-8 text");
    let row = table.lines().find(|line| line.starts_with("s-1")).expect("the backend has a row");
    assert!(row.ends_with("in service"), "{row}");
    drop(node);
    let unreachable = status(&["--admin", &admin_text]);
    assert_eq!(unreachable.status.code(), Some(1));
    assert!(String::from_utf8(unreachable.stderr)
        .expect("UTF-8 text")
        .starts_with(&format!("lanespan: {admin_text}: ")));
    assert_eq!(status(&[]).status.code(), Some(2));
}

#[test]
fn opened_breaker_is_counted_and_reported() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let unused_address =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let config = config(discovery.stub.address, unused_address).replacen(
        '{',
        &format!("{{\"admin\":{ADMIN_SECTION},"),
        1,
    );
    let mut node = Node::spawn(operator_command(&config));
    let admin = node.address;
    let line = node.wait_for_line("listening");
    node.address = line
        .split("address=")
        .nth(1)
        .and_then(|a| a.trim().parse().ok())
        .expect("the log line has an address");
    node.wait_ready();
    let deadline = std::time::Instant::now() + TEST_TIMEOUT;
    let mut customer = 0;
    while series(&get(admin, "/metrics").body, "lanespan_breaker_open") != Some(1.0) {
        assert!(std::time::Instant::now() < deadline, "the breaker never opened");
        customer += 1;
        node.client()
            .exchange(&request("look", 3000).replace("00000000b4d65521", &format!("{customer:016x}")));
    }
    let text = get(admin, "/metrics").body;
    assert_eq!(series(&text, "lanespan_breaker_changes_total"), Some(1.0));
    assert!(series(&text, "lanespan_counter_calls_total{outcome=\"connect_failed\"}") >= Some(3.0));
}
