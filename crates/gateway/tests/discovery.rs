//! What a gateway asks discovery for.
use lanespan_gateway::backoff::Backoff;
use lanespan_gateway::config::document::PoolSection;
use lanespan_gateway::config::Upstreams;
use lanespan_gateway::pool::{Around, PoolSettings};
use lanespan_gateway::{discovery, driver::Input};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// The next request's path.
async fn asked(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    let head = String::from_utf8(head).expect("text");
    head.split(' ').nth(1).expect("a path").to_string()
}

async fn paths(held: Option<u64>) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (time, links) = (Duration::from_secs(1), 8);
    let (dial_timeout, conn_idle) = (time, time);
    let around = Around { links, links_most: links, gateways: 1, sockets: 32, dial_timeout, conn_idle };
    let pool = PoolSettings::of(&PoolSection::default(), &around).expect("defaults");
    let discovery = listener.local_addr().expect("an address");
    let upstreams = Upstreams { discovery, counter: None, pool, streaming: None, file: 0 };
    let (_keep, upstreams) = watch::channel(upstreams);
    let (inbox, mut inputs) = mpsc::channel(8);
    tokio::task::spawn_local(discovery::watch(upstreams, inbox, Backoff::new(1, 0), held));
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut paths = vec![asked(&mut stream).await];
    let list = r#"{"revision":9,"complete":true,"members":[]}"#;
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    stream.write_all(answer.as_bytes()).await.expect("it is open");
    assert!(matches!(inputs.recv().await, Some(Input::Members(list)) if list.revision == 9));
    paths.push(asked(&mut stream).await);
    paths
}

#[tokio::test(flavor = "current_thread")]
async fn a_watch_goes_on_from_the_list_that_is_held_and_without_one_all_is_fetched() {
    let watching = |from| format!("/catalog/members?from={from}&hold_ms=20000");
    let local = LocalSet::new();
    assert_eq!(local.run_until(paths(Some(7))).await, [watching(7), watching(9)]);
    assert_eq!(local.run_until(paths(None)).await, ["/catalog/members".to_string(), watching(9)]);
}
