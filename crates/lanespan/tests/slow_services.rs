//! A discovery and a counter that answer late, at a running gateway. The stubs answer when something has happened, and not
//! after a time, so that the tests hold for every delay.
#[path = "sockets/harness.rs"]
mod harness;

use harness::*;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};

/// Holds calls until the test or a later call opens it.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0 .0.lock().expect("unpoisoned lock") = true;
        self.0 .1.notify_all();
    }
    fn wait(&self) {
        let is_open = self.0 .0.lock().expect("unpoisoned lock");
        drop(self.0 .1.wait_timeout_while(is_open, TEST_TIMEOUT, |is_open| !*is_open));
    }
}

/// Replaces the configuration file and waits until the gateway has applied it. The log line comes before the tasks hear
/// of the new configuration, and the health request is answered behind them.
fn reload(node: &Node, path: &Path, discovery: &Stub, counter: &Stub) {
    std::fs::write(path, config(discovery.address, counter.address)).expect("the file is written");
    node.signal("HUP");
    node.wait_for_line(&format!("discovery {}, counter {}", discovery.address, counter.address));
    node.client().exchange("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n");
}

/// Returns whether a call requests changes since this revision.
fn is_watch_from(request: &Message, revision: u64) -> bool {
    request.line.contains(&format!("from={revision}&"))
}

/// Guards against configurations that end the call to an unchanged discovery: while they came faster than it answered,
/// no drain was ever heard.
#[test]
fn an_answer_of_discovery_is_heard_although_configurations_come_before_it() {
    let backends = [Stub::start(|_| http("200 OK", "ok")), Stub::start(|_| http("200 OK", "ok"))];
    let [first, second] = [0, 1].map(|index| backends[index].address);
    let list =
        endpoint_list(41, true, &[member("s-1", first, "ready"), member("s-2", second, "ready")].join(","));
    let drain = endpoint_list(42, false, &member("s-2", second, "draining"));
    let answered_late = Gate::default();
    let gate = answered_late.clone();
    let discovery = Stub::start(move |request| {
        if is_watch_from(request, 41) {
            gate.wait();
            http("200 OK", &drain)
        } else if is_watch_from(request, 42) {
            Reply::Silence
        } else {
            http("200 OK", &list)
        }
    });
    let counters = [0; 4].map(|_| counter());
    let path = config_file(&config(discovery.address, counters[0].address));
    let node = Node::spawn(platform_command_from(&path));
    node.wait_ready();
    discovery.wait_for("a watch", |log| log.requests.len() == 2);
    for counter in &counters[1..] {
        reload(&node, &path, &discovery, counter);
    }
    answered_late.open();
    discovery.wait_for("the next call", |log| log.requests.len() > 2);
    let lines: Vec<String> = discovery.requests().into_iter().map(|request| request.line).collect();
    assert!(lines[2].contains("from=42&"), "the answer to the one watch from 41 is heard: {lines:?}");
    let before = backends[1].requests().len();
    for _ in 0..8 {
        assert_eq!(node.client().exchange(&request("look", 2000)).status(), 200);
    }
    assert_eq!(backends[1].requests().len(), before, "nothing is sent to the draining backend");
}

/// The name of the plan with the small quota in the requests of [`request`].
const SMALL_PLAN: &str = "X-Plan: small";
/// A total beyond the small quota. A request whose call gets this reply is rejected; without a reply it is served.
const EXHAUSTED: &str = "5000";

fn small_request(customer: usize) -> String {
    let text = request("look", 3000).replace("X-Plan: team", SMALL_PLAN);
    text.replace("00000000b4d65521", &format!("{customer:016x}"))
        .replace("9b1f03aa5c7e2d41", &format!("{customer:016x}"))
}

/// Guards against a configuration that ends a call to the counter: its reply would count as lost.
#[test]
fn the_reply_of_a_counter_is_heard_after_a_configuration_has_named_another() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let replied_late = Gate::default();
    let gate = replied_late.clone();
    let slow_counter = Stub::start(move |_| {
        gate.wait();
        http("200 OK", EXHAUSTED)
    });
    let path = config_file(&config(discovery.stub.address, slow_counter.address));
    let node = Node::spawn(platform_command_from(&path));
    node.wait_ready();
    let mut client = node.client();
    client.send(&small_request(1));
    slow_counter.wait_for("a call", |log| log.requests.len() == 1);
    reload(&node, &path, &discovery.stub, &counter());
    replied_late.open();
    assert_eq!(client.read_response().expect("a response").status(), 429, "the quota is exhausted");
    assert!(backend.requests().is_empty());
}

/// A number of descriptors that leaves one connection to the counter.
const ONE_COUNTER_CONNECTION: &str = "\"sockets\":31";
/// Adds a plan without a rate, for which the counter is not called.
const UNLIMITED_PLAN: &str = "\"plans\":[{\"name\":\"unlimited\",\"per_second\":0.0,\"price\":1.0},";

/// Guards against calls that wait for a connection to the counter that the configuration no longer names. It accepts none,
/// so that they fail.
#[test]
fn a_call_that_waits_for_a_connection_goes_to_the_counter_that_the_configuration_names() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let replied_late = Gate::default();
    let gate = replied_late.clone();
    // The first call is held; the connection ends with its reply.
    let slow_counter = Stub::start(move |_| {
        gate.wait();
        Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n1".into())
    });
    let text = config(discovery.stub.address, slow_counter.address)
        .replace("\"sockets\":1024", ONE_COUNTER_CONNECTION)
        .replace("\"plans\":[", UNLIMITED_PLAN);
    let path = config_file(&text);
    let node = Node::spawn(platform_command_from(&path));
    node.wait_ready();
    let (mut first, mut second) = (node.client(), node.client());
    first.send(&small_request(1));
    slow_counter.wait_for("a call", |log| log.requests.len() == 1);
    second.send(&small_request(2));
    // The gateway has ordered the call of the second request when a later request is answered that needs no call.
    let unlimited = request("look", 3000).replace("X-Plan: team", "X-Plan: unlimited");
    assert_eq!(node.client().exchange(&unlimited).status(), 200);
    let counter = Stub::start(|_| http("200 OK", EXHAUSTED));
    reload(&node, &path, &discovery.stub, &counter);
    replied_late.open();
    assert_eq!(first.read_response().expect("a response").status(), 200);
    assert_eq!(second.read_response().expect("a response").status(), 429, "the new counter replies");
    assert_eq!(slow_counter.requests().len(), 1);
}

/// Starts a discovery that answers each request for the complete list when the next one arrives. However long a gateway
/// waits before it calls again, the answer comes later than that.
fn discovery_that_is_later_than_the_next_call(revision: u64, members: &str) -> Stub {
    let list = endpoint_list(revision, true, members);
    let lists_requested = Arc::<(Mutex<usize>, Condvar)>::default();
    Stub::start(move |request| {
        if request.line.contains("from=") {
            return Reply::Silence;
        }
        let mut requested = lists_requested.0.lock().expect("unpoisoned lock");
        *requested += 1;
        let own = *requested;
        lists_requested.1.notify_all();
        let next = lists_requested.1.wait_timeout_while(requested, TEST_TIMEOUT, |count| *count == own);
        drop(next.expect("unpoisoned lock"));
        http("200 OK", &list)
    })
}

/// Guards against a timeout that ends each call to a slow discovery: a gateway without a list never got ready.
#[test]
fn a_gateway_without_a_list_gets_ready_although_discovery_is_later_than_the_next_call() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let members = member("s-1", backend.address, "ready");
    let discovery = discovery_that_is_later_than_the_next_call(41, &members);
    let node = Node::spawn(platform_command(&config(discovery.address, counter().address)));
    node.wait_ready();
    assert_eq!(node.client().exchange(&request("look", 2000)).status(), 200);
    discovery
        .wait_for("a watch from the list", |log| log.requests.iter().any(|call| is_watch_from(call, 41)));
}

/// Guards against the same timeout after a configuration has moved discovery: no drain was ever heard.
#[test]
fn a_drain_is_heard_from_a_moved_discovery_that_is_later_than_the_next_call() {
    let backends = [Stub::start(|_| http("200 OK", "ok")), Stub::start(|_| http("200 OK", "ok"))];
    let [first, second] = [0, 1].map(|index| member(&format!("s-{index}"), backends[index].address, "ready"));
    let discovery = Discovery::start(&[first.clone(), second].join(","));
    let draining = member("s-1", backends[1].address, "draining");
    let slow = discovery_that_is_later_than_the_next_call(3, &[first, draining].join(","));
    let counter = counter();
    let path = config_file(&config(discovery.stub.address, counter.address));
    let node = Node::spawn(platform_command_from(&path));
    node.wait_ready();
    reload(&node, &path, &slow, &counter);
    slow.wait_for("a watch from the list", |log| log.requests.iter().any(|call| is_watch_from(call, 3)));
    for _ in 0..8 {
        assert_eq!(node.client().exchange(&request("look", 2000)).status(), 200);
    }
    assert!(backends[1].requests().is_empty(), "nothing is sent to the draining backend");
}
