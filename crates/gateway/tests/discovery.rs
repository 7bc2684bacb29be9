//! What a gateway asks discovery for.
use lanespan_gateway::backoff::Backoff;
use lanespan_gateway::config::document::PoolSection;
use lanespan_gateway::config::Upstreams;
use lanespan_gateway::pool::{PoolEnvironment, PoolSettings};
use lanespan_gateway::{discovery, driver::DriverEvent};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// The next request's path.
async fn requested_path(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    let head = String::from_utf8(head).expect("text");
    head.split(' ').nth(1).expect("a path").to_string()
}

/// A watch on discovery at an address, what it hands to the driver, and the way to move it elsewhere.
fn watching(
    discovery: std::net::SocketAddr,
    known_revision: Option<u64>,
) -> (watch::Sender<Upstreams>, mpsc::Receiver<DriverEvent>) {
    watching_among(discovery, known_revision, Backoff::new(1, 0))
}

/// The same with these delays.
fn watching_among(
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
    let pool = PoolSettings::from_section(&PoolSection::default(), &environment).expect("defaults");
    let upstreams = Upstreams { discovery, counter: None, pool, streaming: None, config_digest: 0 };
    let (moves, upstreams) = watch::channel(upstreams);
    let (driver, events) = mpsc::channel(8);
    let params = discovery::Params { upstreams, driver, backoff, known_revision, names: Rc::default() };
    tokio::task::spawn_local(discovery::watch(params));
    (moves, events)
}

async fn listener() -> (TcpListener, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

fn answer(list: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
}

/// An empty list of this revision.
fn list(revision: u64, complete: bool) -> String {
    answer(&format!(r#"{{"revision":{revision},"complete":{complete},"members":[]}}"#))
}

/// The revision of the list that is passed on next, and how many entries it has.
async fn next_list(events: &mut mpsc::Receiver<DriverEvent>) -> (u64, usize) {
    match events.recv().await {
        Some(DriverEvent::EndpointsChanged(list)) => (list.revision, list.endpoints.len()),
        _ => panic!("a list"),
    }
}

async fn paths(known_revision: Option<u64>) -> Vec<String> {
    let (listener, address) = listener().await;
    let (_keep, mut events) = watching(address, known_revision);
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut paths = vec![requested_path(&mut stream).await];
    stream.write_all(list(9, true).as_bytes()).await.expect("it is open");
    assert_eq!(next_list(&mut events).await, (9, 0));
    paths.push(requested_path(&mut stream).await);
    paths
}

#[tokio::test(flavor = "current_thread")]
async fn a_watch_resumes_from_the_known_revision_and_without_one_the_complete_list_is_fetched() {
    let watching = |from| format!("/catalog/members?from={from}&hold_ms=3000");
    let local = LocalSet::new();
    assert_eq!(local.run_until(paths(Some(7))).await, [watching(7), watching(9)]);
    assert_eq!(local.run_until(paths(None)).await, ["/catalog/members".to_string(), watching(9)]);
}

/// Plays on paused time, on which a wait in vain ends at once.
async fn play(playing: impl std::future::Future<Output = ()>) {
    let local = LocalSet::new();
    let limited = tokio::time::timeout(Duration::from_secs(120), local.run_until(playing));
    limited.await.expect("it ends");
}

/// A change that a silent watch misses must have arrived so long after it fell silent.
const CHANGE_ARRIVES_WITHIN: Duration = Duration::from_secs(6);

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_silent_watch_is_reopened_before_a_missed_change_must_have_arrived() {
    // At once, after an answer, and in the middle of one.
    for (answers, part) in [(0, ""), (3, ""), (0, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"revis")] {
        play(async move {
            let (listener, address) = listener().await;
            let (_keep, mut events) = watching(address, Some(7));
            let (mut stream, _) = listener.accept().await.expect("a connection");
            for revision in 8..8 + answers {
                requested_path(&mut stream).await;
                stream.write_all(list(revision, false).as_bytes()).await.expect("it is open");
                assert_eq!(next_list(&mut events).await.0, revision);
            }
            requested_path(&mut stream).await;
            stream.write_all(part.as_bytes()).await.expect("it is open");
            let silent = tokio::time::Instant::now();
            let (mut again, _) = listener.accept().await.expect("another connection");
            let from = format!("from={}&", 7 + answers);
            assert!(requested_path(&mut again).await.contains(&from), "from the known revision");
            again.write_all(list(40, false).as_bytes()).await.expect("it is open");
            assert_eq!(next_list(&mut events).await.0, 40);
            assert!(silent.elapsed() < CHANGE_ARRIVES_WITHIN, "{:?}", silent.elapsed());
            drop(stream);
        })
        .await;
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_watch_that_is_reset_or_cut_off_is_reopened_at_once() {
    for (part, reset) in
        [("", false), ("", true), ("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"revis", false)]
    {
        play(async move {
            let (listener, address) = listener().await;
            let (_keep, mut events) = watching(address, Some(7));
            let (mut stream, _) = listener.accept().await.expect("a connection");
            requested_path(&mut stream).await;
            stream.write_all(part.as_bytes()).await.expect("it is open");
            if reset {
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
            let broken = tokio::time::Instant::now();
            drop(stream);
            let (mut again, _) = listener.accept().await.expect("another connection");
            requested_path(&mut again).await;
            again.write_all(list(8, false).as_bytes()).await.expect("it is open");
            assert_eq!(next_list(&mut events).await.0, 8);
            assert!(broken.elapsed() < Duration::from_millis(500), "{:?}", broken.elapsed());
        })
        .await;
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_indented_list_of_a_large_fleet_is_read_and_one_without_end_is_not() {
    play(async {
        let (listener, address) = listener().await;
        let (_keep, mut events) = watching(address, Some(7));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let members: Vec<_> = (0..500)
            .map(|i| {
                serde_json::json!({"id": format!("s-{i}"), "host_port": "127.0.0.1:8081", "locality": "a",
                    "flavor": "m", "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0})
            })
            .collect();
        let whole = serde_json::json!({"revision": 8, "complete": true, "members": members});
        let text = serde_json::to_string_pretty(&whole).expect("JSON");
        assert!(text.len() > 64 * 1024);
        requested_path(&mut stream).await;
        stream.write_all(answer(&text).as_bytes()).await.expect("it is open");
        assert_eq!(next_list(&mut events).await, (8, 500));
        requested_path(&mut stream).await;
        let endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(endless.as_bytes()).await.expect("it is open");
        let chunk = format!("10000\r\n{}\r\n", " ".repeat(1 << 16));
        let mut sent = 0;
        while stream.write_all(chunk.as_bytes()).await.is_ok() {
            sent += 1 << 16;
            assert!(sent < 64 << 20, "it is cut off");
        }
        let (mut again, _) = listener.accept().await.expect("another connection");
        assert!(requested_path(&mut again).await.contains("from=8&"), "the known revision stays");
    })
    .await;
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_older_revision_is_not_passed_on_and_a_complete_list_among_changes_is() {
    play(async {
        let (listener, address) = listener().await;
        let (_keep, mut events) = watching(address, Some(7));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for (said, path) in [
            (list(9, false), "from=7&"),
            (list(12, true), "from=9&"),
            (list(11, false), "from=12&"),
            (list(12, true), "/catalog/members"),
            (list(13, false), "from=12&"),
        ] {
            assert!(requested_path(&mut stream).await.contains(path), "{path}");
            stream.write_all(said.as_bytes()).await.expect("it is open");
        }
        for revision in [9, 12, 12, 13] {
            assert_eq!(next_list(&mut events).await.0, revision);
        }
    })
    .await;
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_response_of_the_old_discovery_after_a_move_is_ignored() {
    play(async {
        let ((old, old_address), (new, new_address)) = (listener().await, listener().await);
        let (moves, mut events) = watching(old_address, Some(7));
        let (mut stream, _) = old.accept().await.expect("a connection");
        requested_path(&mut stream).await;
        let late = list(8, true);
        let (first, rest) = late.split_at(late.len() / 2);
        stream.write_all(first.as_bytes()).await.expect("it is open");
        moves.send_modify(|upstreams| upstreams.discovery = new_address);
        let _ = stream.write_all(rest.as_bytes()).await;
        let (mut moved, _) = new.accept().await.expect("a connection");
        assert_eq!(requested_path(&mut moved).await, "/catalog/members", "its versions are numbered anew");
        moved.write_all(list(3, true).as_bytes()).await.expect("it is open");
        assert_eq!(next_list(&mut events).await.0, 3);
    })
    .await;
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn drains_in_the_first_response_after_an_outage_are_passed_on() {
    play(async {
        let (listener, address) = listener().await;
        drop(listener);
        let (_keep, mut events) = watching(address, Some(7));
        // It is down for a while, then listens at the same port.
        tokio::time::sleep(Duration::from_secs(8)).await;
        let back = tokio::time::Instant::now();
        let listener = TcpListener::bind(address).await.expect("the port it had");
        let (mut stream, _) = listener.accept().await.expect("a connection");
        assert!(requested_path(&mut stream).await.contains("from=7&"));
        let drain = r#"{"revision":8,"complete":false,"members":[{"id":"s-1","host_port":"127.0.0.1:1","phase":"draining"}]}"#;
        stream.write_all(answer(drain).as_bytes()).await.expect("it is open");
        assert_eq!(next_list(&mut events).await, (8, 1));
        assert!(back.elapsed() < Duration::from_secs(1), "{:?}", back.elapsed());
    })
    .await;
}

/// How a poll ends that brings no list.
#[derive(Clone, Copy, Debug)]
enum Fails {
    /// Its connection is refused.
    Refused,
    /// Its connection comes up, and nothing follows.
    Silent,
    /// It is rejected.
    Rejected,
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_change_arrives_in_time_however_a_poll_failed_and_however_large_the_fleet() {
    for (gateways, known_revision, fails) in [
        (0, Some(7), Fails::Refused),
        (4_700, Some(7), Fails::Refused),
        (4_700, None, Fails::Refused),
        (4_700, Some(7), Fails::Silent),
        (4_700, None, Fails::Silent),
        (4_700, Some(7), Fails::Rejected),
        (4_700, None, Fails::Rejected),
    ] {
        for seed in 0..8 {
            play(async move {
                let (listener, address) = listener().await;
                let started = tokio::time::Instant::now();
                let (_keep, mut events) =
                    watching_among(address, known_revision, Backoff::new(seed, gateways));
                let mut down = Some(listener);
                let mut streams = Vec::new();
                // It is down for some calls; where it refuses them nobody sees them, so for a while.
                let mut back = started;
                for _ in 0..3 {
                    match fails {
                        Fails::Refused => {
                            down = None;
                            tokio::time::sleep(Duration::from_millis(2_500)).await;
                            back = tokio::time::Instant::now();
                        }
                        Fails::Silent | Fails::Rejected => {
                            let (mut stream, _) =
                                down.as_ref().expect("open").accept().await.expect("a call");
                            requested_path(&mut stream).await;
                            // From this moment on it could be reached again.
                            back = tokio::time::Instant::now();
                            if matches!(fails, Fails::Rejected) {
                                let no = "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                                stream.write_all(no.as_bytes()).await.expect("it is open");
                            }
                            streams.push(stream);
                        }
                    }
                }
                let listener = match down {
                    Some(listener) => listener,
                    None => TcpListener::bind(address).await.expect("the port it had"),
                };
                let (mut stream, _) = listener.accept().await.expect("another call");
                requested_path(&mut stream).await;
                stream.write_all(list(8, true).as_bytes()).await.expect("it is open");
                assert_eq!(next_list(&mut events).await.0, 8);
                let took = back.elapsed();
                assert!(
                    took < CHANGE_ARRIVES_WITHIN,
                    "{gateways} {known_revision:?} {fails:?} {seed}: {took:?}"
                );
            })
            .await;
        }
    }
}
