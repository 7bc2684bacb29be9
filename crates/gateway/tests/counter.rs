//! Tests of the client of the shared counter, over loopback sockets.
#[path = "../../lanespan/tests/sockets/stubs.rs"]
mod stubs;

use lanespan_gateway::counter::{Counter, CounterReply, Params, ReplySequencer};
use lanespan_gateway::names::Names;
use lanespan_policy::{CounterKey, Micros, Outcome};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use stubs::{http, on_runtime, Reply, Stub};

const SHORT_TIMEOUT: Duration = Duration::from_millis(80);

const LONG_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates a client of a counter that uses the protocol's names.
fn client(address: SocketAddr, timeout: Duration, max_connections: usize) -> Counter {
    Counter::new(address, Params { timeout, max_connections, names: Names::default().counter })
}

async fn add(counter: &Counter, key: u64) -> CounterReply {
    counter.add(CounterKey(key), -2.5, Micros(4_000_000)).await
}

#[test]
fn a_call_has_the_path_and_parameters_of_the_protocol() {
    let stub = Stub::start(|_| http("200 OK", "38.5\n"));
    let counter = client(stub.address, LONG_TIMEOUT, 2);
    let reply = on_runtime(add(&counter, 9041552));
    assert_eq!(reply, CounterReply { outcome: Outcome::Success, total: 38.5 });
    assert_eq!(stub.requests()[0].line, "POST /v1/count/9041552?add=-2.5&ttl_ms=4000 HTTP/1.1");
}

#[test]
fn each_failure_has_its_outcome_and_no_call_is_made_twice() {
    let closed_port =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("bind");
    let unreachable = client(closed_port, LONG_TIMEOUT, 2);
    assert_eq!(on_runtime(add(&unreachable, 1)).outcome, Outcome::ConnectFailed);
    let cases: [(fn() -> Reply, Outcome); 5] = [
        (|| http("503 Full", ""), Outcome::Rejected),
        (|| http("404 Nothing", ""), Outcome::NotSent),
        (|| http("200 OK", "NaN"), Outcome::ServerError),
        (|| Reply::RawThenClose(String::new()), Outcome::ConnectionReset),
        (|| Reply::Silence, Outcome::Timeout),
    ];
    for (reply, outcome) in cases {
        let stub = Stub::start(move |_| reply());
        let timeout = if outcome == Outcome::Timeout { SHORT_TIMEOUT } else { LONG_TIMEOUT };
        let counter = client(stub.address, timeout, 2);
        assert_eq!(on_runtime(add(&counter, 1)).outcome, outcome);
        assert_eq!(stub.requests().len(), 1, "{outcome:?}");
    }
}

#[test]
fn a_late_reply_is_not_returned_for_a_later_call_and_blocks_none() {
    let calls = AtomicUsize::new(0);
    let stub = Stub::start(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => {
            std::thread::sleep(SHORT_TIMEOUT * 3);
            http("200 OK", "1000")
        }
        _ => http("200 OK", "2"),
    });
    let counter = client(stub.address, SHORT_TIMEOUT, 2);
    on_runtime(async {
        assert_eq!(add(&counter, 1).await.outcome, Outcome::Timeout);
        for _ in 0..4 {
            assert_eq!(add(&counter, 1).await, CounterReply { outcome: Outcome::Success, total: 2.0 });
        }
    });
}

#[test]
fn a_call_that_gets_no_free_connection_is_not_sent() {
    let stub = Stub::start(|_| Reply::Silence);
    let counter = client(stub.address, SHORT_TIMEOUT, 1);
    on_runtime(async {
        let (first, second) = tokio::join!(add(&counter, 1), add(&counter, 2));
        assert_eq!((first.outcome, second.outcome), (Outcome::Timeout, Outcome::ConnectFailed));
    });
}

#[test]
fn replies_for_one_key_are_returned_in_the_order_of_their_calls() {
    let success = |total| CounterReply { outcome: Outcome::Success, total };
    let mut sequencer = ReplySequencer::default();
    let (a, b) = (CounterKey(1), CounterKey(2));
    let (first, second, other) = (sequencer.register(a), sequencer.register(a), sequencer.register(b));
    assert_eq!(sequencer.resolve(a, second, success(2.0)), []);
    assert_eq!(sequencer.resolve(b, other, success(9.0)), [success(9.0)], "other keys do not wait");
    assert_eq!(sequencer.resolve(a, first, success(1.0)), [success(1.0), success(2.0)]);
    assert_eq!(sequencer.resolve(a, first, success(1.0)), [], "each reply is returned once");
}

#[test]
fn a_connection_whose_reply_has_no_number_is_not_reused() {
    let stub = Stub::start(|request| match request.connection {
        0 => http("200 OK", "plenty"),
        _ => http("200 OK", "7"),
    });
    let counter = client(stub.address, LONG_TIMEOUT, 2);
    on_runtime(async {
        assert_eq!(add(&counter, 1).await.outcome, Outcome::ServerError);
        assert_eq!(add(&counter, 1).await, CounterReply { outcome: Outcome::Success, total: 7.0 });
    });
    stub.wait_for("the first connection's end", |log| log.closed >= 1);
}
