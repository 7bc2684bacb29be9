//! A watch on the endpoint list under test, and a discovery that the test plays itself on a socket.
#![allow(dead_code, reason = "each test binary that includes this module uses only some of its items")]

use lanespan_gateway::backoff::Backoff;
use lanespan_gateway::config::document::PoolSection;
use lanespan_gateway::config::Upstreams;
use lanespan_gateway::pool::{PoolEnvironment, PoolSettings};
use lanespan_gateway::{discovery, driver::DriverEvent};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// Reads the next request and returns its path.
pub async fn read_request_path(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request arrives"));
    }
    let head = String::from_utf8(head).expect("the head is UTF-8");
    head.split(' ').nth(1).expect("the request line has a path").to_string()
}

/// Starts a watch on discovery at an address. Returns the sender that changes the address, and the events that the watch
/// sends to the driver.
pub fn start_watch(
    discovery: std::net::SocketAddr,
    known_revision: Option<u64>,
) -> (watch::Sender<Upstreams>, mpsc::Receiver<DriverEvent>) {
    start_watch_with(discovery, known_revision, Backoff::new(1, 0))
}

/// Starts a watch with the delays of `backoff`.
pub fn start_watch_with(
    discovery: std::net::SocketAddr,
    known_revision: Option<u64>,
    backoff: Backoff,
) -> (watch::Sender<Upstreams>, mpsc::Receiver<DriverEvent>) {
    let environment = PoolEnvironment {
        default_connections: 8,
        max_connections: 8,
        gateway_count: 1,
        max_descriptors: 32,
        dial_timeout: Duration::from_secs(1),
        backend_idle_timeout: Duration::from_secs(1),
    };
    let pool =
        PoolSettings::from_section(&PoolSection::default(), &environment).expect("the defaults are valid");
    let upstreams = Upstreams { discovery, counter: None, pool, streaming: None, config_digest: 0 };
    let (upstreams_sender, upstreams) = watch::channel(upstreams);
    let (driver, events) = mpsc::channel(8);
    let params = discovery::Params { upstreams, driver, backoff, known_revision, names: Rc::default() };
    tokio::task::spawn_local(discovery::watch(params));
    (upstreams_sender, events)
}

/// Listens on a loopback address that no other listener of this process has. A test closes its listener and binds the
/// same port again; on a shared address another test may get that port meanwhile, or an outgoing connection may use it.
pub async fn bind() -> (TcpListener, std::net::SocketAddr) {
    static BOUND: AtomicU16 = AtomicU16::new(1);
    let [high, low] = BOUND.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let listener = TcpListener::bind((Ipv4Addr::new(127, 100, high, low), 0)).await.expect("bind a port");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

pub fn response(list: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
}

/// Returns a response with an empty list of this revision.
pub fn empty_list(revision: u64, complete: bool) -> String {
    response(&format!(r#"{{"revision":{revision},"complete":{complete},"members":[]}}"#))
}

/// Receives the next list sent to the driver. Returns its revision and number of entries.
pub async fn next_list(events: &mut mpsc::Receiver<DriverEvent>) -> (u64, usize) {
    match events.recv().await {
        Some(DriverEvent::EndpointsChanged(list)) => (list.revision, list.endpoints.len()),
        _ => panic!("expected a list"),
    }
}

/// Runs a test with a time limit. Under paused time, a test that hangs reaches the limit at once.
pub async fn run_with_limit(test: impl std::future::Future<Output = ()>) {
    let local = LocalSet::new();
    let limited = tokio::time::timeout(Duration::from_secs(120), local.run_until(test));
    limited.await.expect("the test ends in time");
}
