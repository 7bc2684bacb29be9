use super::connection::Phase;
use super::linger::MAX_LINGER;
use super::request_head::QuotaHeader;
use super::shutdown::ResponseDeadline;
use super::table::RECEIVE_TIMEOUT;
use super::*;
use crate::clock::Clock;
use crate::driver::{AcceptedRequest, DriverEvent, FinalAnswer};
use crate::http::tests::stream_without_options;
use crate::http::MAX_BODY_BYTES;
use crate::relay::{ServedBody, StreamLimits};
use lanespan_policy::{ClassId, Idempotency, Micros, PlanId, RequestId};
use std::cell::Cell;
use std::collections::HashMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

fn class(idempotency: Idempotency) -> KnownClass {
    KnownClass { id: ClassId(0), idempotency: Some(idempotency), deadline: Micros(8_000_000) }
}

fn params(stopping: watch::Receiver<bool>) -> ServerParams {
    ServerParams {
        driver: mpsc::channel(1).0,
        clock: Clock::start(0),
        ready: Rc::new(Cell::new(true)),
        classes: HashMap::new(),
        plans: HashMap::new(),
        max_request_units: 1.0,
        gateway_count: 1,
        max_connections: 8,
        body_memory_bytes: MAX_BODY_BYTES,
        stopping,
        streams: Rc::new(StreamLimits::new(None, 0)),
        max_retry_after: None,
        names: Rc::default(),
        longest_deadline: Duration::from_secs(8),
        fleet: None,
    }
}

fn context(params: ServerParams) -> Rc<ServerContext> {
    Rc::new(ServerContext::new(params))
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_stopping_gateway_answers_open_requests_as_failed_before_sigkill() {
    // SIGKILL comes the longest deadline and 0.7 s after SIGTERM, but 3.7 s at the latest.
    for (longest_ms, killed_ms) in [(8000, 3700), (3000, 3700), (1200, 1900), (100, 800)] {
        failed_before_sigkill(Duration::from_millis(longest_ms), Duration::from_millis(killed_ms)).await;
    }
}

async fn failed_before_sigkill(longest: Duration, killed: Duration) {
    let (stop, stopping) = watch::channel(false);
    let (driver_sender, mut driver) = mpsc::channel(1);
    let classes = [("buy".to_string(), class(Idempotency::NonIdempotent))].into();
    let plans = [("team".to_string(), PlanId(0))].into();
    let params = ServerParams { driver: driver_sender, classes, plans, ..params(stopping) };
    let context = context(ServerParams { longest_deadline: longest, ..params });
    let asking = async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut client = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("it listens");
        let serving = tokio::task::spawn_local(serve(listener, context));
        let ask = b"POST /api?customer=00000000b4d65521 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\n\
            X-Call-Class: buy\r\nX-Plan: team\r\nX-Budget-Ms: 8000\r\nContent-Length: 0\r\n\
            X-Quota: units=1,spread=1,first=0\r\n\r\n";
        client.write_all(ask).await.expect("it is open");
        let accepted = driver.recv().await;
        let Some(DriverEvent::RequestAccepted(accepted)) = accepted else { panic!("it is accepted") };
        let stopped = Instant::now();
        stop.send(true).expect("it runs");
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.expect("it ends well");
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer:?}");
        assert!(stopped.elapsed() < killed, "before SIGKILL: {:?}", stopped.elapsed());
        assert!(
            matches!(driver.recv().await, Some(DriverEvent::ClientDisconnected(id)) if id == accepted.arrival.request)
        );
        serving.await.expect("it ends");
    };
    // On paused time a wait in vain ends at once.
    let asked = timeout(Duration::from_secs(20), LocalSet::new().run_until(asking)).await;
    asked.expect("it is answered");
}

const REQUEST: &str =
    "GET /api?customer=00000000b4d65521 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Call-Class: look\r\n\
    X-Plan: team\r\nX-Budget-Ms: 8000\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n";
const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
/// A test that hangs fails after this; on paused time at once.
const TEST_LIMIT: Duration = Duration::from_secs(60);

/// One client's connection, from both of its ends, and the driver behind it.
struct TestClient {
    client: TcpStream,
    connection: Rc<ClientConnection>,
    driver: mpsc::Receiver<DriverEvent>,
    stop: watch::Sender<bool>,
    serving: tokio::task::JoinHandle<()>,
}

impl TestClient {
    async fn new() -> TestClient {
        let (stop, stopping) = watch::channel(false);
        let (driver_sender, driver) = mpsc::channel(8);
        let classes = [("look".to_string(), class(Idempotency::Idempotent))].into();
        let plans = [("team".to_string(), PlanId(0))].into();
        let context = context(ServerParams { driver: driver_sender, classes, plans, ..params(stopping) });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
        let client = client.expect("it listens");
        client.set_nodelay(true).expect("a socket");
        let connection = Rc::new(ClientConnection::new(false));
        let served = connection.clone();
        let stream = accepted.expect("it came").0;
        let serving =
            tokio::task::spawn_local(async move { serve_connection(stream, &served, context).await });
        TestClient { client, connection, driver, stop, serving }
    }

    /// What SIGTERM does to a connection on which no request is arriving.
    fn stop(&self) {
        self.stop.send_replace(true);
        self.connection.close();
    }

    async fn write(&mut self, text: &str) {
        self.client.write_all(text.as_bytes()).await.expect("it is open");
    }

    /// Lets the gateway run until this is so.
    async fn until(&self, what: &str, so: impl Fn(&ClientConnection) -> bool) {
        for _ in 0..10_000 {
            if so(&self.connection) {
                return;
            }
            tokio::task::yield_now().await;
        }
        panic!("waited in vain for {what}");
    }

    /// An answer's head, and its body.
    async fn answer(&mut self) -> (String, Vec<u8>) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.client.read_u8().await.expect("an answer"));
        }
        let head = String::from_utf8(head).expect("text");
        let length =
            head.to_ascii_lowercase().split("content-length: ").nth(1).map(|rest| {
                rest.split('\r').next().and_then(|length| length.parse().ok()).expect("a length")
            });
        let mut body = vec![0; length.unwrap_or(0)];
        self.client.read_exact(&mut body).await.expect("a body");
        (head, body)
    }

    /// The request that the driver got.
    async fn accepted(&mut self) -> AcceptedRequest {
        match self.driver.recv().await {
            Some(DriverEvent::RequestAccepted(accepted)) => *accepted,
            _ => panic!("it is accepted"),
        }
    }

    async fn ended(&mut self) {
        let mut rest = Vec::new();
        self.client.read_to_end(&mut rest).await.expect("it ends well, and not by a reset");
        assert!(rest.is_empty(), "{rest:?}");
    }
}

/// Runs a test with one client.
async fn with_client<F: std::future::Future<Output = ()>>(play: impl FnOnce(TestClient) -> F) {
    let playing = async { play(TestClient::new().await).await };
    timeout(TEST_LIMIT, LocalSet::new().run_until(playing)).await.expect("it ends");
}

fn served(bytes: usize) -> FinalAnswer {
    FinalAnswer::Served(ServedBody::Complete(vec![b'x'; bytes].into()))
}

#[tokio::test(flavor = "current_thread")]
async fn a_request_split_over_sigterm_on_an_idle_connection_is_answered_with_connection_close() {
    for split in [1, REQUEST.len() / 2, REQUEST.len() - 1] {
        with_client(|mut it| async move {
            it.write(HEALTH).await;
            it.answer().await;
            it.write(&REQUEST[..split]).await;
            it.until("the partial request", |connection| connection.has_partial_request()).await;
            it.stop();
            for _ in 0..100 {
                tokio::task::yield_now().await;
            }
            it.write(&REQUEST[split..]).await;
            let accepted = it.accepted().await;
            accepted.reply.send(served(2)).expect("it waits");
            let (head, body) = it.answer().await;
            assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("connection: close"), "{head}");
            assert_eq!(body, b"xx");
            it.ended().await;
        })
        .await;
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_request_that_races_with_sigterm_is_answered_or_not_forwarded() {
    for before in [true, false] {
        with_client(|mut it| async move {
            it.write(HEALTH).await;
            it.answer().await;
            // Both are there when the gateway looks next.
            if before {
                it.write(REQUEST).await;
                it.stop();
            } else {
                it.stop();
                it.write(REQUEST).await;
            }
            let mut first = [0];
            tokio::select! {
                biased;
                Some(DriverEvent::RequestAccepted(accepted)) = it.driver.recv() => {
                    accepted.reply.send(served(2)).expect("it waits");
                    assert!(it.answer().await.0.starts_with("HTTP/1.1 200 "));
                }
                read = it.client.read(&mut first) => {
                    assert!(!matches!(read, Ok(1..)), "an answer from nowhere");
                    drop(it.client);
                    it.serving.await.expect("it ends");
                    assert!(it.driver.try_recv().is_err(), "what was read behind the end is not forwarded");
                }
            }
        })
        .await;
    }
}

#[tokio::test(flavor = "current_thread")]
async fn requests_behind_the_close_of_a_connection_are_drained_and_not_forwarded() {
    with_client(|mut it| async move {
        it.write(HEALTH).await;
        it.answer().await;
        it.stop();
        it.until("its lingering close", |connection| connection.phase() == Phase::Lingering).await;
        it.write(REQUEST).await;
        it.ended().await;
        drop(it.client);
        it.serving.await.expect("it ends");
        assert!(it.driver.recv().await.is_none(), "nothing was accepted");
    })
    .await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_response_is_not_lost_to_a_reset_while_its_client_sends_on() {
    with_client(|mut it| async move {
        // A client whose machine takes in little at a time.
        socket2::SockRef::from(&it.client).set_recv_buffer_size(4096).expect("a socket");
        it.write(REQUEST).await;
        let accepted = it.accepted().await;
        // More than the gateway reads ahead, so that some of it is unread at the end.
        let more = REQUEST.repeat(400);
        it.write(&more).await;
        it.stop();
        accepted.reply.send(served(64 * 1024)).expect("it waits");
        it.until("its lingering close", |connection| connection.phase() == Phase::Lingering).await;
        let (head, body) = it.answer().await;
        assert!(head.contains("connection: close"), "{head}");
        assert_eq!(body.len(), 64 * 1024);
        it.ended().await;
        drop(it.client);
        it.serving.await.expect("it ends");
        assert!(it.driver.recv().await.is_none(), "the pipelined ones are not forwarded");
    })
    .await;
}

#[tokio::test(flavor = "current_thread")]
async fn sigterm_does_not_end_a_lingering_connection() {
    with_client(|mut it| async move {
        // It is answered with the connection's end, as there is no such path.
        it.write("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n").await;
        it.until("its lingering close", |connection| connection.phase() == Phase::Lingering).await;
        it.stop();
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(!it.serving.is_finished(), "a client that sends on would meet a reset");
        it.write(REQUEST).await;
        assert!(it.answer().await.0.starts_with("HTTP/1.1 404 "));
        it.ended().await;
    })
    .await;
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn lingering_is_bounded_in_time_and_bytes() {
    // One client rests and one goes on without end.
    for sends in [false, true] {
        with_client(|mut it| async move {
            it.write(HEALTH).await;
            it.answer().await;
            it.stop();
            let (start, mut sent) = (Instant::now(), 0);
            let bytes = [b'x'; 4096];
            while sends && it.client.write_all(&bytes).await.is_ok() {
                sent += bytes.len();
                assert!(sent < 64 << 20, "it is cut off");
                tokio::task::yield_now().await;
            }
            it.serving.await.expect("it ends");
            assert!(start.elapsed() <= MAX_LINGER + SWEEP_INTERVAL, "{:?}", start.elapsed());
        })
        .await;
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_partial_request_on_a_persistent_connection_times_out_as_on_a_new_one() {
    let (_stop, stopping) = watch::channel(false);
    let context = context(params(stopping));
    let playing = async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        tokio::task::spawn_local(serve(listener, context));
        let mut client = TcpStream::connect(address).await.expect("it listens");
        let mut answer = [0; 12];
        client.write_all(HEALTH.as_bytes()).await.expect("it is open");
        client.read_exact(&mut answer).await.expect("an answer");
        // One byte a second.
        let start = Instant::now();
        for byte in REQUEST.bytes() {
            if client.write_all(&[byte]).await.is_err() {
                break;
            }
            sleep(Duration::from_secs(1)).await;
        }
        assert!(start.elapsed() < RECEIVE_TIMEOUT + 2 * Duration::from_secs(1), "{:?}", start.elapsed());
    };
    timeout(TEST_LIMIT, LocalSet::new().run_until(playing)).await.expect("it ends");
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_lingering_connection_gives_its_slot_to_a_new_one() {
    let (_stop, stopping) = watch::channel(false);
    let context = context(ServerParams { max_connections: 1, ..params(stopping) });
    let playing = async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        tokio::task::spawn_local(serve(listener, context));
        let start = Instant::now();
        let mut first = TcpStream::connect(address).await.expect("it listens");
        first.write_all(b"no HTTP at all\r\n\r\n").await.expect("it is open");
        let mut told = String::new();
        first.read_to_string(&mut told).await.expect("it ends well");
        assert!(told.starts_with("HTTP/1.1 400 "), "{told}");
        // It stays, and says nothing more.
        let mut second = TcpStream::connect(address).await.expect("it listens");
        second.write_all(HEALTH.as_bytes()).await.expect("it is open");
        let mut answer = [0; 12];
        second.read_exact(&mut answer).await.expect("an answer");
        assert!(start.elapsed() < MAX_LINGER, "{:?}", start.elapsed());
        drop(first);
    };
    timeout(TEST_LIMIT, LocalSet::new().run_until(playing)).await.expect("it ends");
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_wait_for_the_response_deadline_that_begins_after_it_ends_at_once() {
    let deadline = ResponseDeadline::new(Duration::ZERO);
    assert!(timeout(Duration::ZERO, deadline.wait()).await.is_err(), "not yet");
    deadline.expire();
    timeout(TEST_LIMIT, deadline.wait()).await.expect("the wait ends at once");
}

#[tokio::test(flavor = "current_thread")]
async fn a_client_whose_socket_rejects_tcp_options_is_served() {
    let (_stop, stopping) = watch::channel(false);
    let context = context(params(stopping));
    let serving = async move {
        let (stream, mut client) = stream_without_options();
        tokio::task::spawn_local(async move {
            serve_connection(stream, &Rc::new(ClientConnection::new(false)), context).await
        });
        let ask = b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        client.write_all(ask).await.expect("it is open");
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.expect("it is answered");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    };
    LocalSet::new().run_until(serving).await;
}

/// The client of a request disconnects, and that is the only event that the driver gets.
async fn disconnect_unanswered(mut it: TestClient, id: RequestId) {
    drop(it.client);
    assert!(
        matches!(it.driver.recv().await, Some(DriverEvent::ClientDisconnected(gone)) if gone == id),
        "it is told"
    );
    it.serving.await.expect("it ends");
    assert!(it.driver.recv().await.is_none(), "nothing that it sent behind is forwarded");
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_disconnect_behind_pipelined_bytes_is_noticed_and_none_of_them_is_forwarded() {
    // One request and a bit, some, and more than the protocol machine reads at once.
    for behind in [1, REQUEST.len(), 4 * REQUEST.len(), 20 * 1024, 30 * 1024] {
        let behind = REQUEST.repeat(behind.div_ceil(REQUEST.len()))[..behind].to_string();
        for reset in [false, true] {
            with_client(|mut it| async {
                it.write(&format!("{REQUEST}{behind}")).await;
                let accepted = it.accepted().await;
                if reset {
                    socket2::SockRef::from(&it.client).set_linger(Some(Duration::ZERO)).expect("a socket");
                }
                disconnect_unanswered(it, accepted.arrival.request).await;
            })
            .await;
        }
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn pipelined_requests_are_answered_in_order_however_many_were_read_ahead() {
    const COUNT: usize = 300;
    with_client(|mut it| async move {
        let mut waiting = Vec::new();
        it.write(REQUEST).await;
        waiting.push(it.accepted().await);
        // Read ahead while the first one waits, the last of them in part.
        let rest = REQUEST.repeat(COUNT - 1);
        let (ahead, late) = rest.split_at(rest.len() - REQUEST.len() / 2);
        let (mut reads, mut writes) = it.client.split();
        let client = async {
            writes.write_all(ahead.as_bytes()).await.expect("it is open");
            tokio::task::yield_now().await;
            writes.write_all(late.as_bytes()).await.expect("it is open");
        };
        let answers = async {
            let mut answered = 0;
            let mut tail = Vec::new();
            while answered < COUNT {
                tail.push(reads.read_u8().await.expect("an answer"));
                if tail.ends_with(b"\r\n\r\nxx") {
                    answered += 1;
                    tail.clear();
                }
            }
        };
        let driver = async {
            for number in 0..COUNT {
                let accepted = match waiting.pop() {
                    Some(first) => first,
                    None => match it.driver.recv().await {
                        Some(DriverEvent::RequestAccepted(accepted)) => *accepted,
                        _ => panic!("request {number} is accepted"),
                    },
                };
                tokio::task::yield_now().await;
                accepted.reply.send(served(2)).expect("it waits");
            }
        };
        tokio::join!(client, answers, driver);
    })
    .await;
}

#[test]
fn unknown_fields_of_the_quota_header_are_ignored() {
    let parse = |value: &str| QuotaHeader::parse(value, 4.0, 8);
    let quota = QuotaHeader { units: 2.0, gateway_spread: 3, first_gateway: 1 };
    for value in [
        "units=2,spread=3,first=1",
        "units=2, spread=3,first=1,urgent",
        "urgent,units=2,spread=3,,first=1,tier=gold=2",
        "units=2,spread=3,first=1,",
    ] {
        assert_eq!(parse(value), Some(quota), "{value}");
    }
    for value in ["units=2,spread=3", "units,spread=3,first=1", "units=2,units=2,spread=3,first=1", "?"] {
        assert_eq!(parse(value), None, "{value}");
    }
}
