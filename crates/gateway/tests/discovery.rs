//! Tests of the watch on discovery's endpoint list: which lists it requests, and how soon changes arrive.
mod discovery_stub;

use discovery_stub::*;
use lanespan_gateway::backoff::Backoff;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Returns the paths of the first two requests of a watch.
async fn first_paths(known_revision: Option<u64>) -> Vec<String> {
    let (listener, address) = bind().await;
    let (_upstreams, mut events) = start_watch(address, known_revision);
    let (mut stream, _) = listener.accept().await.expect("a connection arrives");
    let mut paths = vec![read_request_path(&mut stream).await];
    stream.write_all(empty_list(9, true).as_bytes()).await.expect("the stream is open");
    assert_eq!(next_list(&mut events).await, (9, 0));
    paths.push(read_request_path(&mut stream).await);
    paths
}

#[tokio::test(flavor = "current_thread")]
async fn a_watch_resumes_from_the_known_revision_or_fetches_the_complete_list() {
    let poll_path = |from| format!("/catalog/members?from={from}&hold_ms=3000");
    let local = LocalSet::new();
    assert_eq!(local.run_until(first_paths(Some(7))).await, [poll_path(7), poll_path(9)]);
    assert_eq!(local.run_until(first_paths(None)).await, ["/catalog/members".to_string(), poll_path(9)]);
}

/// A change must arrive within this time after the watch fell silent, or after discovery became reachable again.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_silent_watch_is_reopened_in_time_for_a_missed_change() {
    // The watch falls silent before the first response, after three responses, and in the middle of a response.
    for (responses, part) in [(0, ""), (3, ""), (0, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"revis")]
    {
        run_with_limit(async move {
            let (listener, address) = bind().await;
            let (_upstreams, mut events) = start_watch(address, Some(7));
            let (mut stream, _) = listener.accept().await.expect("a connection arrives");
            for revision in 8..8 + responses {
                read_request_path(&mut stream).await;
                stream.write_all(empty_list(revision, false).as_bytes()).await.expect("the stream is open");
                assert_eq!(next_list(&mut events).await.0, revision);
            }
            read_request_path(&mut stream).await;
            stream.write_all(part.as_bytes()).await.expect("the stream is open");
            let silent_since = tokio::time::Instant::now();
            let (mut reopened, _) = listener.accept().await.expect("another connection arrives");
            let from = format!("from={}&", 7 + responses);
            assert!(read_request_path(&mut reopened).await.contains(&from), "from the known revision");
            reopened.write_all(empty_list(40, false).as_bytes()).await.expect("the stream is open");
            assert_eq!(next_list(&mut events).await.0, 40);
            assert!(silent_since.elapsed() < MAX_CHANGE_DELAY, "{:?}", silent_since.elapsed());
            drop(stream);
        })
        .await;
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_reset_or_closed_watch_is_reopened_at_once() {
    for (part, reset) in
        [("", false), ("", true), ("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"revis", false)]
    {
        run_with_limit(async move {
            let (listener, address) = bind().await;
            let (_upstreams, mut events) = start_watch(address, Some(7));
            let (mut stream, _) = listener.accept().await.expect("a connection arrives");
            read_request_path(&mut stream).await;
            stream.write_all(part.as_bytes()).await.expect("the stream is open");
            if reset {
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set linger");
            }
            let closed_at = tokio::time::Instant::now();
            drop(stream);
            let (mut reopened, _) = listener.accept().await.expect("another connection arrives");
            read_request_path(&mut reopened).await;
            reopened.write_all(empty_list(8, false).as_bytes()).await.expect("the stream is open");
            assert_eq!(next_list(&mut events).await.0, 8);
            assert!(closed_at.elapsed() < Duration::from_millis(500), "{:?}", closed_at.elapsed());
        })
        .await;
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_long_indented_list_is_read_and_an_endless_response_is_cut_off() {
    run_with_limit(async {
        let (listener, address) = bind().await;
        let (_upstreams, mut events) = start_watch(address, Some(7));
        let (mut stream, _) = listener.accept().await.expect("a connection arrives");
        let members: Vec<_> = (0..500)
            .map(|i| {
                serde_json::json!({"id": format!("s-{i}"), "host_port": "127.0.0.1:8081", "locality": "a",
                    "flavor": "m", "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0})
            })
            .collect();
        let complete = serde_json::json!({"revision": 8, "complete": true, "members": members});
        let text = serde_json::to_string_pretty(&complete).expect("the list is serialized");
        assert!(text.len() > 64 * 1024);
        read_request_path(&mut stream).await;
        stream.write_all(response(&text).as_bytes()).await.expect("the stream is open");
        assert_eq!(next_list(&mut events).await, (8, 500));
        read_request_path(&mut stream).await;
        let endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(endless.as_bytes()).await.expect("the stream is open");
        let chunk = format!("10000\r\n{}\r\n", " ".repeat(1 << 16));
        let mut sent = 0;
        while stream.write_all(chunk.as_bytes()).await.is_ok() {
            sent += 1 << 16;
            assert!(sent < 64 << 20, "the connection is closed");
        }
        let (mut reopened, _) = listener.accept().await.expect("another connection arrives");
        assert!(read_request_path(&mut reopened).await.contains("from=8&"), "the known revision is kept");
    })
    .await;
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_older_revision_is_dropped_and_a_complete_list_among_changes_is_applied() {
    run_with_limit(async {
        let (listener, address) = bind().await;
        let (_upstreams, mut events) = start_watch(address, Some(7));
        let (mut stream, _) = listener.accept().await.expect("a connection arrives");
        for (response, path) in [
            (empty_list(9, false), "from=7&"),
            (empty_list(12, true), "from=9&"),
            (empty_list(11, false), "from=12&"),
            (empty_list(12, true), "/catalog/members"),
            (empty_list(13, false), "from=12&"),
        ] {
            assert!(read_request_path(&mut stream).await.contains(path), "{path}");
            stream.write_all(response.as_bytes()).await.expect("the stream is open");
        }
        for revision in [9, 12, 12, 13] {
            assert_eq!(next_list(&mut events).await.0, revision);
        }
    })
    .await;
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_response_of_the_old_discovery_after_a_switch_is_ignored() {
    run_with_limit(async {
        let ((old, old_address), (new, new_address)) = (bind().await, bind().await);
        let (upstreams, mut events) = start_watch(old_address, Some(7));
        let (mut stream, _) = old.accept().await.expect("a connection arrives");
        read_request_path(&mut stream).await;
        let late = empty_list(8, true);
        let (first, rest) = late.split_at(late.len() / 2);
        stream.write_all(first.as_bytes()).await.expect("the stream is open");
        upstreams.send_modify(|upstreams| upstreams.discovery = new_address);
        let _ = stream.write_all(rest.as_bytes()).await;
        let (mut new_stream, _) = new.accept().await.expect("a connection arrives");
        assert_eq!(
            read_request_path(&mut new_stream).await,
            "/catalog/members",
            "its revisions are numbered differently"
        );
        new_stream.write_all(empty_list(3, true).as_bytes()).await.expect("the stream is open");
        assert_eq!(next_list(&mut events).await.0, 3);
    })
    .await;
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn drains_in_the_first_response_after_an_outage_are_applied() {
    run_with_limit(async {
        let (listener, address) = bind().await;
        drop(listener);
        let (_upstreams, mut events) = start_watch(address, Some(7));
        // Discovery is down for a while, then listens on the same port.
        tokio::time::sleep(Duration::from_secs(8)).await;
        let reachable_since = tokio::time::Instant::now();
        let listener = TcpListener::bind(address).await.expect("bind the same port");
        let (mut stream, _) = listener.accept().await.expect("a connection arrives");
        assert!(read_request_path(&mut stream).await.contains("from=7&"));
        let drain = r#"{"revision":8,"complete":false,"members":[{"id":"s-1","host_port":"127.0.0.1:1","phase":"draining"}]}"#;
        stream.write_all(response(drain).as_bytes()).await.expect("the stream is open");
        assert_eq!(next_list(&mut events).await, (8, 1));
        assert!(reachable_since.elapsed() < Duration::from_secs(1), "{:?}", reachable_since.elapsed());
    })
    .await;
}

/// How a poll fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The connection is refused.
    Refused,
    /// The connection is accepted, and no response follows.
    Silent,
    /// The response has status 503.
    Rejected,
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_change_arrives_in_time_after_any_failure_and_in_a_fleet_of_any_size() {
    for (gateways, known_revision, failure) in [
        (0, Some(7), Failure::Refused),
        (4_700, Some(7), Failure::Refused),
        (4_700, None, Failure::Refused),
        (4_700, Some(7), Failure::Silent),
        (4_700, None, Failure::Silent),
        (4_700, Some(7), Failure::Rejected),
        (4_700, None, Failure::Rejected),
    ] {
        for seed in 0..8 {
            run_with_limit(async move {
                let (listener, address) = bind().await;
                let started = tokio::time::Instant::now();
                let (_upstreams, mut events) =
                    start_watch_with(address, known_revision, Backoff::new(seed, gateways));
                let mut listening = Some(listener);
                let mut streams = Vec::new();
                // Three polls fail. Refused connections can't be counted, so that outage lasts 3 times 2.5 s.
                let mut reachable_since = started;
                for _ in 0..3 {
                    match failure {
                        Failure::Refused => {
                            listening = None;
                            tokio::time::sleep(Duration::from_millis(2_500)).await;
                            reachable_since = tokio::time::Instant::now();
                        }
                        Failure::Silent | Failure::Rejected => {
                            let (mut stream, _) = listening
                                .as_ref()
                                .expect("discovery listens")
                                .accept()
                                .await
                                .expect("a connection arrives");
                            read_request_path(&mut stream).await;
                            // Discovery counts as reachable again from now on.
                            reachable_since = tokio::time::Instant::now();
                            if matches!(failure, Failure::Rejected) {
                                let rejection =
                                    "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                                stream.write_all(rejection.as_bytes()).await.expect("the stream is open");
                            }
                            streams.push(stream);
                        }
                    }
                }
                let listener = match listening {
                    Some(listener) => listener,
                    None => TcpListener::bind(address).await.expect("bind the same port"),
                };
                let (mut stream, _) = listener.accept().await.expect("another connection arrives");
                read_request_path(&mut stream).await;
                stream.write_all(empty_list(8, true).as_bytes()).await.expect("the stream is open");
                assert_eq!(next_list(&mut events).await.0, 8);
                let delay = reachable_since.elapsed();
                assert!(
                    delay < MAX_CHANGE_DELAY,
                    "{gateways} {known_revision:?} {failure:?} {seed}: {delay:?}"
                );
            })
            .await;
        }
    }
}
