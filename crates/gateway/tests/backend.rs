//! Attempts at a backend and the pool of connections, on loopback sockets.
#[path = "../../lanespan/tests/sockets/stubs.rs"]
mod world;

use lanespan_gateway::backend::{AttemptEnd, AttemptParams, ForwardedRequest, Payload};
use lanespan_gateway::config::document::PoolSection;
use lanespan_gateway::pool::{Backend, Pool, PoolEnvironment, PoolSettings};
use lanespan_gateway::relay::{ServedBody, StreamLimits};
use lanespan_policy::Outcome;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use world::{http, on_runtime, Reply, Stub};

const LONG: Duration = Duration::from_secs(5);
/// After this a connection that was given back may be used again.
const AFTER_SETTLING: Duration = Duration::from_millis(10);

/// A pool of so many connections, with the default limits of a single gateway.
fn pool(max_connections: usize, dial_timeout: Duration, backend_idle_timeout: Duration) -> Rc<Pool> {
    let environment = PoolEnvironment {
        default_connections: max_connections,
        max_connections,
        gateway_count: 1,
        max_descriptors: 1024,
        dial_timeout,
        backend_idle_timeout,
    };
    let settings = PoolSettings::from_section(&PoolSection::default(), &environment).expect("defaults");
    Pool::new(settings, dial_timeout, 1)
}

/// Nothing is streamed.
fn no_streams() -> StreamLimits {
    StreamLimits::new(None, 0)
}

/// The complete body that was served.
fn body(ended: &AttemptEnd) -> Option<&[u8]> {
    match &ended.body {
        Some(ServedBody::Complete(body)) => Some(body),
        Some(ServedBody::Streamed(_)) => panic!("a stream"),
        None => None,
    }
}

fn backend(pool: &Pool, stub: &Stub) -> Backend {
    pool.add_backend(stub.address, 0, None)
}

fn post() -> ForwardedRequest {
    let (method, uri) = (hyper::Method::POST, "/api?customer=1".parse().expect("a path"));
    ForwardedRequest {
        method,
        uri,
        headers: hyper::HeaderMap::new(),
        body: Payload::Complete("hello".into()),
        names: Rc::default(),
    }
}

/// An attempt with this time limit that is never cancelled.
async fn attempt(pool: &Rc<Pool>, backend: &Backend, limit: Duration) -> AttemptEnd {
    let (_cancel, cancelled) = oneshot::channel();
    let give_up_at = Instant::now() + limit;
    let (_open_sender, request_open) = watch::channel(true);
    let params = AttemptParams { index: 0, give_up_at, begin_by: give_up_at, cancelled, request_open };
    lanespan_gateway::backend::attempt(pool, &no_streams(), backend, &post(), params).await
}

#[test]
fn an_attempt_is_not_begun_if_its_backend_drains_while_the_connection_comes_up() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let pool = pool(8, LONG, LONG);
    let backend = backend(&pool, &stub);
    backend.open.set(false);
    let ended = on_runtime(attempt(&pool, &backend, LONG));
    assert_eq!(ended.outcome, Outcome::NotSent);
    stub.wait_for("the connection's end", |log| log.opened == 1 && log.closed == 1);
    assert_eq!(stub.requests().len(), 0, "nothing was written");
}

#[test]
fn a_request_on_a_reused_connection_that_breaks_is_not_sent_again() {
    let seen = std::sync::atomic::AtomicUsize::new(0);
    let stub = Stub::start(move |_| match seen.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
        0 => http("200 OK", "ok"),
        _ => Reply::RawThenClose(String::new()),
    });
    let pool = pool(8, LONG, LONG);
    let backend = backend(&pool, &stub);
    on_runtime(async {
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Success);
        tokio::time::sleep(AFTER_SETTLING).await;
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::ConnectionReset);
    });
    let seen = stub.requests();
    assert_eq!(seen.len(), 2, "it is not sent again");
    assert_eq!(seen[1].connection, seen[0].connection, "it was sent on the reused connection");
}

#[test]
fn a_timed_out_or_cancelled_attempt_closes_its_connection() {
    let stub = Stub::start(|_| Reply::Silence);
    let pool = pool(8, LONG, LONG);
    let backend = backend(&pool, &stub);
    on_runtime(async {
        let ended = attempt(&pool, &backend, Duration::from_millis(50)).await;
        assert_eq!(ended.outcome, Outcome::Timeout);
        let (cancel, cancelled) = oneshot::channel();
        let forward = post();
        let give_up_at = Instant::now() + LONG;
        let (streams, (_open_sender, request_open)) = (no_streams(), watch::channel(true));
        let params = AttemptParams { index: 0, give_up_at, begin_by: give_up_at, cancelled, request_open };
        let out = lanespan_gateway::backend::attempt(&pool, &streams, &backend, &forward, params);
        let (ended, ()) = tokio::join!(out, async {
            while stub.requests().len() < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            cancel.send(()).expect("it is out");
        });
        assert_eq!(ended.outcome, Outcome::Cancelled);
    });
    stub.wait_for("both connections' end", |log| log.opened == 2 && log.closed == 2);
}

#[test]
fn an_unreachable_backend_is_a_failed_connect() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let pool = pool(8, LONG, LONG);
    let backend = pool.add_backend(gone, 0, None);
    assert_eq!(on_runtime(attempt(&pool, &backend, LONG)).outcome, Outcome::ConnectFailed);
}

#[test]
fn idle_connections_are_retired_before_the_backend_closes_them() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let pool = pool(8, LONG, Duration::from_millis(40));
    let backend = backend(&pool, &stub);
    on_runtime(async {
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Success);
        tokio::time::sleep(Duration::from_millis(35)).await;
        pool.retire();
    });
    stub.wait_for("the idle connection's end", |log| log.closed == 1);
}

#[test]
fn an_idle_connection_gives_way_within_the_connection_limit() {
    let (busy, other) = (Stub::start(|_| Reply::Silence), Stub::start(|_| http("200 OK", "ok")));
    let pool = pool(1, LONG, LONG);
    let (to_busy, to_other) = (backend(&pool, &busy), backend(&pool, &other));
    on_runtime(async {
        // An idle connection gives way to one that is needed.
        assert_eq!(attempt(&pool, &to_other, LONG).await.outcome, Outcome::Success);
        let (first, second) = tokio::join!(
            attempt(&pool, &to_busy, Duration::from_millis(50)),
            attempt(&pool, &to_other, LONG)
        );
        assert_eq!((first.outcome, second.outcome), (Outcome::Timeout, Outcome::NotSent));
    });
    other.wait_for("the idle connection's end", |log| log.closed == 1);
    assert_eq!(other.requests().len(), 1);
}

#[test]
fn a_new_incarnation_at_the_same_address_gets_no_old_connection() {
    let let_go = Arc::new(AtomicBool::new(false));
    let told = let_go.clone();
    let stub = Stub::start(move |_| {
        while !told.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        http("200 OK", "ok")
    });
    let pool = pool(8, LONG, LONG);
    let (old, new) = (backend(&pool, &stub), backend(&pool, &stub));
    on_runtime(async {
        let (ended, ()) = tokio::join!(attempt(&pool, &old, LONG), async {
            while stub.requests().is_empty() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            pool.close(&old);
            let_go.store(true, Ordering::SeqCst);
        });
        assert_eq!(ended.outcome, Outcome::Success, "what is under way may finish");
        tokio::time::sleep(AFTER_SETTLING).await;
        assert_eq!(attempt(&pool, &new, LONG).await.outcome, Outcome::Success);
    });
    let seen = stub.requests();
    assert_ne!(seen[1].connection, seen[0].connection);
    stub.wait_for("the old one's connection to close", |log| log.closed >= 1);
}

#[test]
fn a_malformed_response_is_a_connection_reset_and_closes_the_connection() {
    for spoilt in [
        "no HTTP at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok",
        "HTTP/1.1 200 OK\r\n\r\nwithout a length",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
    ] {
        let stub = Stub::start(move |_| Reply::Raw(spoilt.into()));
        let pool = pool(8, LONG, LONG);
        let ended = on_runtime(attempt(&pool, &backend(&pool, &stub), LONG));
        assert_eq!((ended.outcome, body(&ended)), (Outcome::ConnectionReset, None), "{spoilt}");
        stub.wait_for("the connection's end", |log| log.closed == 1);
    }
}

#[test]
fn only_the_complete_response_to_the_request_is_served() {
    let stub = Stub::start(|request| {
        let own = format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{}", request.connection);
        Reply::Raw(format!("HTTP/1.1 103 Early\r\n\r\n{own}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
    });
    let pool = pool(8, LONG, LONG);
    let backend = backend(&pool, &stub);
    on_runtime(async {
        for own in ["0", "1", "2"] {
            let ended = attempt(&pool, &backend, LONG).await;
            assert_eq!(body(&ended), Some(own.as_bytes()), "each on a connection of its own");
            tokio::time::sleep(AFTER_SETTLING).await;
        }
    });
}

/// A backend of one connection at a time, each answered once; then it does to the socket what it is told to, says
/// so, and the next connection comes in.
fn one_request_server(
    after: impl Fn(&mut std::net::TcpStream) + Send + 'static,
) -> (SocketAddr, Sender<()>, Receiver<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (go, told) = channel::<()>();
    let (did, done) = channel::<()>();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = [0; 1024];
            if !stream.read(&mut head).is_ok_and(|read| read > 0) {
                continue;
            }
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if stream.write_all(answer).is_err() || told.recv().is_err() {
                return;
            }
            after(&mut stream);
            // What was done is in the other side's hands once this is told: loopback has no way between.
            let _ = did.send(());
            if told.recv().is_err() {
                return;
            }
        }
    });
    (address, go, done)
}

#[test]
fn a_close_or_stray_bytes_before_the_checkout_fail_no_attempt() {
    let ways: [fn(&mut std::net::TcpStream); 2] = [
        |stream| stream.shutdown(std::net::Shutdown::Both).expect("it is open"),
        |stream| stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").expect("it is open"),
    ];
    for after in ways {
        let (address, go, done) = one_request_server(after);
        let pool = pool(8, LONG, LONG);
        let backend = pool.add_backend(address, 0, None);
        on_runtime(async {
            assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Success);
            tokio::time::sleep(AFTER_SETTLING).await;
            go.send(()).expect("it runs");
            // The runtime is not let go on meanwhile, so it can't have told anybody.
            done.recv().expect("it was done");
            let second = attempt(&pool, &backend, LONG);
            go.send(()).expect("it runs");
            let ended = second.await;
            assert_eq!((ended.outcome, body(&ended)), (Outcome::Success, Some(&b"ok"[..])));
        });
        let counters = pool.counters();
        assert_eq!((counters.stale, counters.dials, counters.reused), (1, 2, 0));
    }
}

#[test]
fn idle_connections_to_an_unresponsive_backend_are_not_used() {
    // Three answers, each held until all three are asked for; then nothing more on any connection.
    let (asked, quiet) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let (seen, silent) = (asked.clone(), quiet.clone());
    let stub = Stub::start(move |_| {
        seen.fetch_add(1, Ordering::SeqCst);
        while seen.load(Ordering::SeqCst) < 3 {
            std::thread::sleep(Duration::from_millis(1));
        }
        if silent.load(Ordering::SeqCst) {
            Reply::Silence
        } else {
            http("200 OK", "ok")
        }
    });
    let pool = pool(8, LONG, LONG);
    let backend = backend(&pool, &stub);
    on_runtime(async {
        let all = tokio::join!(
            attempt(&pool, &backend, LONG),
            attempt(&pool, &backend, LONG),
            attempt(&pool, &backend, LONG)
        );
        assert_eq!([all.0.outcome, all.1.outcome, all.2.outcome], [Outcome::Success; 3]);
        tokio::time::sleep(AFTER_SETTLING).await;
        quiet.store(true, Ordering::SeqCst);
        for _ in 0..3 {
            let ended = attempt(&pool, &backend, Duration::from_millis(30)).await;
            assert_eq!(ended.outcome, Outcome::Timeout);
        }
    });
    let connections: Vec<usize> = stub.requests()[3..].iter().map(|r| r.connection).collect();
    assert!(connections[..2].iter().all(|&c| c < 3), "idle ones at first: {connections:?}");
    assert_eq!(connections[2], 3, "then a new one, though one stands idle: {connections:?}");
}

#[test]
fn a_connection_granted_as_its_waiter_ends_goes_back_to_the_pool() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let pool = pool(8, LONG, LONG);
    let backend = backend(&pool, &stub);
    on_runtime(async {
        let mut waiter = Box::pin(pool.checkout(&backend, Instant::now() + LONG));
        tokio::select! {
            biased;
            _ = &mut waiter => panic!("nothing is idle"),
            () = std::future::ready(()) => {}
        }
        while pool.gauges().in_use == 0 {
            tokio::task::yield_now().await;
        }
        // It is granted, and its waiter goes without having heard of it.
        drop(waiter);
        assert_eq!((pool.gauges().idle, pool.gauges().in_use), (1, 0));
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Success);
    });
    assert_eq!((pool.counters().dials, pool.counters().reused), (1, 1));
}

#[test]
fn a_thousand_attempts_cancelled_at_random_leave_no_connection_open() {
    let seen = AtomicUsize::new(0);
    let stub = Stub::start(move |_| match seen.fetch_add(1, Ordering::SeqCst) % 4 {
        0 | 3 => http("200 OK", "ok"),
        1 => Reply::Silence,
        _ => Reply::Raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".into()),
    });
    let pool = pool(12, LONG, LONG);
    let backend = backend(&pool, &stub);
    let (backend, mut rng) = (Rc::new(backend), fastrand::Rng::with_seed(11));
    on_runtime(async {
        for _ in 0..100 {
            let mut out = tokio::task::JoinSet::new();
            for _ in 0..10 {
                let (pool, backend, turns) = (pool.clone(), backend.clone(), rng.u32(0..400));
                out.spawn_local(async move {
                    let (cancel, cancelled) = oneshot::channel();
                    let (forward, give_up_at) = (post(), Instant::now() + LONG);
                    let calling_off = async {
                        for _ in 0..turns {
                            tokio::task::yield_now().await;
                        }
                        // It may have ended by itself.
                        let _ = cancel.send(());
                    };
                    let (streams, (_open_sender, request_open)) = (no_streams(), watch::channel(true));
                    let params =
                        AttemptParams { index: 0, give_up_at, begin_by: give_up_at, cancelled, request_open };
                    let out = lanespan_gateway::backend::attempt(&pool, &streams, &backend, &forward, params);
                    tokio::join!(out, calling_off).0.outcome
                });
            }
            let outcomes = out.join_all().await;
            assert!(outcomes.iter().all(|o| *o != Outcome::Timeout), "{outcomes:?}");
            assert!(pool.gauges().open() <= 12 && pool.gauges().waiting == 0, "{:?}", pool.gauges());
        }
        // Dials whose waiters went may still be on their way to the pool.
        while pool.gauges().dialling > 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(pool.gauges().in_use, 0);
        pool.close(&backend);
        assert_eq!(pool.gauges().open(), 0);
    });
    let seen = pool.counters();
    assert!(seen.dials > 20 && seen.used > 50, "attempts got as far as the backend: {seen:?}");
    stub.wait_for("all connections' end", |log| log.closed == log.opened);
}

#[test]
fn a_hanging_dial_fails_at_its_timeout_and_the_next_attempts_at_once() {
    // A socket that listens and never accepts, its queue full: further handshakes hang.
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a port");
    listener.listen(0).expect("it listens");
    let address = listener.local_addr().expect("bound").as_socket().expect("of IPv4");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let mut queue = Vec::new();
        let dial_timeout = Duration::from_millis(250);
        while let Ok(Ok(stream)) =
            tokio::time::timeout(dial_timeout, tokio::net::TcpStream::connect(address)).await
        {
            queue.push(stream);
        }
        let pool = pool(8, dial_timeout, LONG);
        let backend = pool.add_backend(address, 0, None);
        let start = Instant::now();
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::ConnectFailed);
        assert_eq!(start.elapsed().as_millis(), 250);
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::ConnectFailed);
        assert_eq!(start.elapsed().as_millis(), 250, "told at once, within the pause");
        assert_eq!((pool.counters().dials, pool.gauges().open()), (1, 0));
    });
}

#[test]
fn a_retry_is_not_begun_after_begin_by_with_or_without_an_idle_connection() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let pool = pool(8, LONG, LONG);
    let backend = backend(&pool, &stub);
    on_runtime(async {
        for ready in [false, true] {
            if ready {
                assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Success);
                tokio::time::sleep(AFTER_SETTLING).await;
            }
            let before = stub.requests().len();
            let (_cancel, cancelled) = oneshot::channel();
            let (now, give_up_at) = (Instant::now(), Instant::now() + LONG);
            let (_open_sender, request_open) = watch::channel(true);
            let params = AttemptParams { index: 1, give_up_at, begin_by: now, cancelled, request_open };
            let ended =
                lanespan_gateway::backend::attempt(&pool, &no_streams(), &backend, &post(), params).await;
            assert_eq!(ended.outcome, Outcome::NotSent, "its backend is not to blame");
            assert_eq!(stub.requests().len(), before, "nothing was written");
        }
    });
}

#[test]
fn a_response_without_a_length_is_never_complete() {
    for reset in [true, false] {
        let stub = Stub::start(move |_| {
            Reply::Write(Box::new(move |stream| {
                stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of it").expect("it reads");
                if reset {
                    let socket = socket2::SockRef::from(&*stream);
                    socket.set_linger(Some(Duration::ZERO)).expect("a socket");
                }
                stream.shutdown(std::net::Shutdown::Both).expect("it is open");
            }))
        });
        let pool = pool(8, LONG, LONG);
        let ended = on_runtime(attempt(&pool, &backend(&pool, &stub), LONG));
        assert_eq!((ended.outcome, body(&ended)), (Outcome::ConnectionReset, None), "reset {reset}");
    }
}

#[test]
fn an_attempt_that_waits_for_a_connection_when_its_request_ends_is_not_begun() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let pool = pool(1, LONG, LONG);
    let backend = backend(&pool, &stub);
    on_runtime(async {
        let only = pool.checkout(&backend, Instant::now() + LONG).await.expect("a connection");
        let ((open_sender, request_open), give_up_at) = (watch::channel(true), Instant::now() + LONG);
        let (_cancel, cancelled) = oneshot::channel();
        let params = AttemptParams {
            index: 0,
            give_up_at,
            begin_by: give_up_at,
            cancelled,
            request_open: request_open.clone(),
        };
        let (streams, forward) = (no_streams(), post());
        let out = lanespan_gateway::backend::attempt(&pool, &streams, &backend, &forward, params);
        let (ended, ()) = tokio::join!(out, async {
            while pool.gauges().waiting == 0 {
                tokio::task::yield_now().await;
            }
            // Its client goes, or it is answered otherwise, and nothing may be cancelled; in the same moment the
            // connection comes free.
            open_sender.send_replace(false);
            only.release();
        });
        assert_eq!(ended.outcome, Outcome::NotSent);
        // Nor where one stands ready.
        let (_cancel, cancelled) = oneshot::channel();
        let params = AttemptParams { index: 1, give_up_at, begin_by: give_up_at, cancelled, request_open };
        let ended = lanespan_gateway::backend::attempt(&pool, &streams, &backend, &forward, params).await;
        assert_eq!(ended.outcome, Outcome::NotSent);
        assert_eq!((pool.gauges().in_use, pool.gauges().waiting), (0, 0), "what it held is given back");
    });
    assert_eq!(stub.requests().len(), 0, "nothing was written");
}

#[test]
fn a_begun_attempt_goes_on_when_its_request_ends() {
    let (told, tell) = channel();
    let told = std::sync::Mutex::new(told);
    let stub = Stub::start(move |_| {
        let _ = told.lock().expect("no panic").send(());
        http("200 OK", "ok")
    });
    let pool = pool(1, LONG, LONG);
    let backend = backend(&pool, &stub);
    let ended = on_runtime(async {
        let ((open_sender, request_open), give_up_at) = (watch::channel(true), Instant::now() + LONG);
        let (_cancel, cancelled) = oneshot::channel();
        let params = AttemptParams { index: 0, give_up_at, begin_by: give_up_at, cancelled, request_open };
        let (streams, forward) = (no_streams(), post());
        let out = lanespan_gateway::backend::attempt(&pool, &streams, &backend, &forward, params);
        let (ended, ()) = tokio::join!(out, async {
            while tell.try_recv().is_err() {
                tokio::task::yield_now().await;
            }
            open_sender.send_replace(false);
        });
        ended
    });
    assert_eq!(ended.outcome, Outcome::Success);
}

#[test]
fn a_reset_while_the_request_is_written_is_a_connection_reset() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let reads_a_little = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut [0; 1024]).expect("it begins");
        // Unread bytes are there: the close resets.
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    });
    let pool = pool(1, LONG, LONG);
    let backend = pool.add_backend(address, 0, None);
    // More than the sockets between them hold, so that it can't all be written.
    let forward = ForwardedRequest { body: Payload::Complete(vec![b'x'; 64 << 20].into()), ..post() };
    let ended = on_runtime(async {
        let (((_open_sender, request_open), (_cancel, cancelled)), give_up_at) =
            ((watch::channel(true), oneshot::channel()), Instant::now() + LONG);
        let params = AttemptParams { index: 0, give_up_at, begin_by: give_up_at, cancelled, request_open };
        lanespan_gateway::backend::attempt(&pool, &no_streams(), &backend, &forward, params).await
    });
    assert_eq!(ended.outcome, Outcome::ConnectionReset, "nothing proves that it never ran");
    assert!(!ended.outcome.never_ran());
    reads_a_little.join().expect("no panic");
    assert_eq!((pool.gauges().in_use, pool.gauges().idle), (0, 0), "its connection is gone");
}
