//! Tests of the watch on the endpoint list while discovery answers late: configurations and timeouts leave a call alone
//! until there is something better.
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
