//! Tests of the watch on the endpoint list while discovery answers late: neither configurations nor lateness end a call
//! before there is something better.
mod discovery_stub;

use discovery_stub::*;
use lanespan_gateway::backoff::Backoff;
use lanespan_gateway::config::Upstreams;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// Accepts the next connection and returns it with the path of its request.
async fn accept_call(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = listener.accept().await.expect("a connection arrives");
    let path = read_request_path(&mut stream).await;
    (stream, path)
}

async fn answer(stream: &mut TcpStream, list: &str) {
    stream.write_all(list.as_bytes()).await.expect("the call is still in progress");
}

fn move_discovery(upstreams: &watch::Sender<Upstreams>, address: SocketAddr) {
    upstreams.send_modify(|upstreams| upstreams.discovery = address);
}

/// Names another counter, and leaves discovery where it is.
fn move_counter(upstreams: &watch::Sender<Upstreams>, port: u16) {
    upstreams.send_modify(|upstreams| upstreams.counter = Some(SocketAddr::from(([127, 0, 0, 1], port))));
}

const FETCH: &str = "/catalog/members";

/// Guards against moves of discovery that end each call before its answer: nothing was heard until they stopped.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn each_answer_is_heard_although_discovery_moves_before_it() {
    run_with_limit(async {
        let (first, first_address) = bind().await;
        let (upstreams, mut events) = start_watch(first_address, Some(7));
        let _watch = accept_call(&first).await;
        let (mut listeners, mut previous) = (Vec::new(), None::<TcpStream>);
        for revision in 100..110 {
            let (listener, address) = bind().await;
            move_discovery(&upstreams, address);
            let (stream, path) = accept_call(&listener).await;
            assert_eq!(path, FETCH, "revisions of another discovery are numbered differently");
            if let Some(mut previous) = previous.replace(stream) {
                answer(&mut previous, &empty_list(revision - 1, true)).await;
                assert_eq!(next_list(&mut events).await.0, revision - 1);
            }
            listeners.push(listener);
        }
    })
    .await;
}

/// Guards against an older discovery that undoes what a newer one has told.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn the_list_of_a_newer_discovery_ends_the_calls_to_older_ones() {
    run_with_limit(async {
        let ((old, old_address), (new, new_address)) = (bind().await, bind().await);
        let (upstreams, mut events) = start_watch(old_address, None);
        let (mut old_call, _) = accept_call(&old).await;
        move_discovery(&upstreams, new_address);
        let (mut new_call, _) = accept_call(&new).await;
        answer(&mut new_call, &empty_list(3, true)).await;
        assert_eq!(next_list(&mut events).await.0, 3);
        assert_eq!(old_call.read(&mut [0]).await.expect("an orderly close"), 0);
        assert!(read_request_path(&mut new_call).await.contains("from=3&"));
    })
    .await;
}

/// Guards against a drain that the old discovery has written, and that is not heard before the new one answers.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_drain_told_by_the_old_discovery_is_applied_until_the_new_one_answers() {
    run_with_limit(async {
        let ((old, old_address), (new, new_address)) = (bind().await, bind().await);
        let (upstreams, mut events) = start_watch(old_address, Some(7));
        let (mut old_call, _) = accept_call(&old).await;
        move_discovery(&upstreams, new_address);
        let (mut new_call, path) = accept_call(&new).await;
        assert_eq!(path, FETCH);
        let drain = r#"{"revision":8,"complete":false,"members":[{"id":"s-1","host_port":"127.0.0.1:1","phase":"draining"}]}"#;
        answer(&mut old_call, &response(drain)).await;
        assert_eq!(next_list(&mut events).await, (8, 1));
        answer(&mut new_call, &empty_list(3, true)).await;
        assert_eq!(next_list(&mut events).await, (3, 0));
        assert!(read_request_path(&mut new_call).await.contains("from=3&"));
    })
    .await;
}

/// A configuration comes this often while a delay runs.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(500);
/// Latest start of the first call after the start of a gateway, and after SIGHUP has moved discovery.
const MAX_FIRST_CALL: Duration = Duration::from_secs(5);
const MAX_CALL_AFTER_MOVE: Duration = Duration::from_secs(3);

/// Guards against configurations that begin the delay before a call anew, so that no call was made while they came.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn configurations_do_not_prolong_the_delay_before_a_call() {
    for seed in 0..8 {
        run_with_limit(async move {
            let ((first, first_address), (second, second_address)) = (bind().await, bind().await);
            let (upstreams, mut events) = start_watch_with(first_address, None, Backoff::new(seed, 4_700));
            let reloading = upstreams.clone();
            tokio::task::spawn_local(async move {
                for port in 1.. {
                    sleep(CONFIGURATION_INTERVAL).await;
                    move_counter(&reloading, port);
                }
            });
            let (mut call, _) = timeout(MAX_FIRST_CALL, accept_call(&first)).await.expect("a call in time");
            answer(&mut call, &empty_list(7, true)).await;
            assert_eq!(next_list(&mut events).await.0, 7);
            move_discovery(&upstreams, second_address);
            timeout(MAX_CALL_AFTER_MOVE, accept_call(&second)).await.expect("a call in time");
        })
        .await;
    }
}

/// Guards against moves of discovery that draw the delay before its first call anew each time.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn moves_of_discovery_do_not_prolong_the_delay_before_a_call() {
    for seed in 0..8 {
        run_with_limit(async move {
            let (_first, first_address) = bind().await;
            let (upstreams, _events) = start_watch_with(first_address, Some(7), Backoff::new(seed, 4_700));
            let [one, two] = [bind().await, bind().await];
            let addresses = [one.1, two.1];
            tokio::task::spawn_local(async move {
                for number in 0.. {
                    move_discovery(&upstreams, addresses[number % 2]);
                    sleep(CONFIGURATION_INTERVAL).await;
                }
            });
            let moved_at = Instant::now();
            tokio::select! {
                _ = one.0.accept() => {}
                _ = two.0.accept() => {}
            }
            assert!(moved_at.elapsed() <= MAX_CALL_AFTER_MOVE, "seed {seed}: {:?}", moved_at.elapsed());
        })
        .await;
    }
}

/// Guards against a timeout that ends a call whose answer is only late: a discovery that was slower was never heard.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_answer_is_heard_although_it_comes_after_the_next_call() {
    for known_revision in [None, Some(7)] {
        for later_calls in 1..=3 {
            run_with_limit(async move {
                let (listener, address) = bind().await;
                let (_upstreams, mut events) = start_watch(address, known_revision);
                let (mut late, _) = accept_call(&listener).await;
                let mut others = Vec::new();
                for _ in 0..later_calls {
                    others.push(accept_call(&listener).await.0);
                }
                answer(&mut late, &empty_list(9, true)).await;
                assert_eq!(next_list(&mut events).await.0, 9);
                // The list is not transferred again.
                for mut other in others {
                    assert_eq!(other.read(&mut [0]).await.expect("an orderly close"), 0);
                }
                assert!(read_request_path(&mut late).await.contains("from=9&"));
            })
            .await;
        }
    }
}

/// Guards against a limit on the lateness of discovery: it has to be heard as long as a gateway may take to get ready.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_very_late_answer_is_heard() {
    const VERY_LATE: Duration = Duration::from_secs(25);
    run_with_limit(async {
        let (listener, address) = bind().await;
        let (_upstreams, mut events) = start_watch(address, None);
        tokio::task::spawn_local(async move {
            loop {
                let (mut call, _) = accept_call(&listener).await;
                tokio::task::spawn_local(async move {
                    sleep(VERY_LATE).await;
                    let _ = call.write_all(empty_list(9, true).as_bytes()).await;
                });
            }
        });
        let started = Instant::now();
        assert_eq!(next_list(&mut events).await.0, 9);
        assert!(started.elapsed() < VERY_LATE + Duration::from_secs(1), "{:?}", started.elapsed());
    })
    .await;
}

/// How late a slow discovery answers. Changes must still arrive in time.
const SLOW: Duration = Duration::from_millis(2_500);
/// A change must arrive within this time after discovery has it, or after a watch has fallen silent.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);
/// A list from a new discovery must arrive within this time after SIGHUP.
const MAX_MOVE_TIME: Duration = Duration::from_secs(4);

/// Serves a slow discovery: each connection brings one call, which is answered late with this list.
fn serve_slowly(listener: TcpListener, revision: u64) {
    tokio::task::spawn_local(async move {
        loop {
            let (mut call, _) = accept_call(&listener).await;
            tokio::task::spawn_local(async move {
                sleep(SLOW).await;
                let _ = call.write_all(empty_list(revision, true).as_bytes()).await;
            });
        }
    });
}

/// Guards against a silent watch, a late answer and a spread over many gateways that take the time of one another.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_change_behind_a_silent_watch_arrives_in_time_from_a_slow_discovery() {
    for (gateways, known_revision) in [(0, Some(7)), (0, None), (4_700, Some(7)), (4_700, None)] {
        for seed in 0..8 {
            run_with_limit(async move {
                let (listener, address) = bind().await;
                let (_upstreams, mut events) =
                    start_watch_with(address, known_revision, Backoff::new(seed, gateways));
                let _silent = accept_call(&listener).await;
                let silent_since = Instant::now();
                serve_slowly(listener, 8);
                assert_eq!(next_list(&mut events).await.0, 8);
                let delay = silent_since.elapsed();
                assert!(delay <= MAX_CHANGE_DELAY, "{gateways} {known_revision:?} {seed}: {delay:?}");
            })
            .await;
        }
    }
}

/// Guards against delays of many gateways that leave a slow discovery too little time.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn many_gateways_hear_a_slow_discovery_in_time_after_a_start_and_after_a_move() {
    for seed in 0..20 {
        run_with_limit(async move {
            let ((first, first_address), (second, second_address)) = (bind().await, bind().await);
            let started = Instant::now();
            let (upstreams, mut events) = start_watch_with(first_address, Some(7), Backoff::new(seed, 4_700));
            serve_slowly(first, 8);
            assert_eq!(next_list(&mut events).await.0, 8);
            assert!(started.elapsed() <= MAX_CHANGE_DELAY, "{seed}: {:?}", started.elapsed());
            let moved_at = Instant::now();
            move_discovery(&upstreams, second_address);
            serve_slowly(second, 3);
            assert_eq!(next_list(&mut events).await.0, 3);
            assert!(moved_at.elapsed() <= MAX_MOVE_TIME, "{seed}: {:?}", moved_at.elapsed());
        })
        .await;
    }
}

/// Guards against calls that add up before a discovery that does not answer: it may be crowded.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_discovery_that_does_not_answer_gets_few_calls_at_a_time() {
    const MAX_OPEN: usize = 4;
    const WATCHED: Duration = Duration::from_secs(60);
    /// Where calls were given up, the next one came 2 s after each at the earliest.
    const MAX_CALLS: usize = 30;
    for known_revision in [None, Some(7)] {
        run_with_limit(async move {
            let (listener, address) = bind().await;
            let (_upstreams, _events) = start_watch(address, known_revision);
            let until = Instant::now() + WATCHED;
            let (mut calls, mut open) = (0, Vec::new());
            while let Ok((call, _)) = tokio::time::timeout_at(until, accept_call(&listener)).await {
                calls += 1;
                open.push(call);
                open.retain(|call| !matches!(call.try_read(&mut [0]), Ok(0)));
                assert!(open.len() <= MAX_OPEN + 1, "{} connections are open", open.len());
            }
            assert!(calls <= MAX_CALLS, "{calls} calls");
        })
        .await;
    }
}
