//! Long answers through a running gateway, on loopback sockets.
#[path = "sockets/harness.rs"]
mod harness;

#[path = "sockets/bodies.rs"]
mod bodies;

use bodies::*;
use harness::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A gateway before one backend, with this `streaming` section and so much memory.
fn before(
    section: &str,
    memory_mb: u32,
    answer: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> (Stub, Discovery, Stub, Node) {
    let backend = Stub::start(answer);
    let (discovery, counter, node) = gateway(section, memory_mb, backend.address);
    (backend, discovery, counter, node)
}

/// An answer that claims so many bytes and writes so many of them, then closes if it wrote fewer.
fn long(claims: usize, writes: usize) -> Reply {
    Reply::Write(Box::new(move |stream: &mut TcpStream| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {claims}\r\n\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for at in (0..writes).step_by(MIB) {
            // The other side may close at any time.
            if stream.write_all(&body_part(at, MIB.min(writes - at))).is_err() {
                return;
            }
        }
        if writes < claims {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }))
}

#[test]
fn a_long_answer_arrives_whole_in_bounded_memory_and_its_connection_is_used_again() {
    let length = large_body_bytes();
    let (backend, _discovery, _counter, node) = before(STREAMING_SECTION, 64, move |_| long(length, length));
    // Before the client connects: one that says nothing for long is let go.
    let whole = Digest::of(length);
    let mut client = node.client();
    for _ in 0..2 {
        client.send(&request("look", 4000));
        let head = read_head(client.reader());
        assert!(head[0].starts_with("http/1.1 200"), "{head:?}");
        assert!(head.contains(&format!("content-length: {length}")), "{head:?}");
        assert_eq!(read_digest(client.reader(), length), whole);
    }
    assert!(peak_memory_bytes(&node) < 24 * MIB, "{} bytes", peak_memory_bytes(&node));
    let seen = backend.requests();
    assert_eq!(seen.len(), 2);
    assert_eq!(seen[0].connection, seen[1].connection, "it ended well, so it is kept");
}

#[test]
fn an_answer_that_breaks_one_byte_before_its_end_is_no_whole_one_to_the_client() {
    const LENGTH: usize = 3 * MIB;
    let (backend, _discovery, _counter, node) = before(STREAMING_SECTION, 64, |_| long(LENGTH, LENGTH - 1));
    let mut client = node.client();
    client.send(&request("look", 4000));
    assert!(read_head(client.reader()).contains(&format!("content-length: {LENGTH}")));
    let read = read_digest(client.reader(), LENGTH);
    assert!(read.1 < LENGTH, "{read:?}");
    assert_eq!(backend.requests().len(), 1, "past the head nothing is tried again");
}

#[test]
fn a_backend_whose_long_answers_break_gets_less_of_the_work() {
    const LENGTH: usize = MIB;
    let (breaks, sound) = (Stub::start(|_| long(LENGTH, LENGTH / 2)), Stub::start(|_| long(LENGTH, LENGTH)));
    let members = [member("s-1", breaks.address, "ready"), member("s-2", sound.address, "ready")].join(",");
    let (discovery, counter) = (Discovery::start(&members), counter());
    let config = config(discovery.stub.address, counter.address).replacen(
        '{',
        &format!("{{\"streaming\":{STREAMING_SECTION},"),
        1,
    );
    let node = Node::spawn(operator_command(&config));
    node.wait_ready();
    for number in 0..60 {
        let mut client = node.client();
        client.send(&request("look", 4000).replace("9b1f", &format!("{number:04x}")));
        read_head(client.reader());
        read_digest(client.reader(), LENGTH);
    }
    let met = breaks.requests().len();
    assert!(met > 0 && met < 20, "{met} of 60 went to the one that breaks");
}

#[test]
fn a_chunk_that_is_spoilt_after_the_start_ends_the_connection_without_a_last_chunk() {
    let (backend, _discovery, _counter, node) = before(STREAMING_SECTION, 64, |_| {
        Reply::Write(Box::new(|stream: &mut TcpStream| {
            let body = "x".repeat(MIB);
            let text =
                format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{MIB:x}\r\n{body}\r\nzz\r\n");
            let _ = stream.write_all(text.as_bytes());
        }))
    });
    let mut client = node.client();
    client.send(&request("look", 4000));
    assert!(read_head(client.reader()).contains(&"transfer-encoding: chunked".to_string()));
    let mut rest = Vec::new();
    // A reset may come with the end.
    let _ = client.reader().read_to_end(&mut rest);
    assert!(!rest.is_empty() && !rest.ends_with(b"0\r\n\r\n"), "{} bytes", rest.len());
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn an_answer_that_is_spoilt_within_its_start_is_tried_again_as_its_class_allows() {
    for (class, status, attempts) in [("look", 200, 2), ("once", 502, 1)] {
        let seen = AtomicUsize::new(0);
        let (backend, _discovery, _counter, node) =
            before(STREAMING_SECTION, 64, move |_| match seen.fetch_add(1, Ordering::SeqCst) {
                0 => long(3 * MIB, 32 * 1024),
                _ => http("200 OK", "ok"),
            });
        assert_eq!(node.client().exchange(&request(class, 4000)).status(), status, "{class}");
        assert_eq!(backend.requests().len(), attempts, "{class}");
    }
}

#[test]
fn a_hundred_clients_that_read_nothing_slow_their_own_streams_alone_and_are_let_go() {
    let (backend, _discovery, _counter, node) =
        before(STREAMING_SECTION, 192, |request| match request.header("x-call-class") {
            Some("look") => long(512 * MIB, 512 * MIB),
            _ => http("200 OK", "ok"),
        });
    let silent: Vec<Client> = (0..100)
        .map(|i| {
            let mut client = node.client();
            client.send(&request("look", 4000).replace("9b1f", &format!("{i:04x}")));
            // Its answer has begun; from here on it reads nothing.
            assert!(read_head(client.reader())[0].starts_with("http/1.1 200"));
            client
        })
        .collect();
    assert_eq!(node.client().exchange(&request("once", 4000)).status(), 200, "others are served");
    // Less than the least went through in a window.
    backend.wait_for("the streams' end", |log| log.closed >= silent.len());
    assert!(peak_memory_bytes(&node) < 64 * MIB, "{} bytes", peak_memory_bytes(&node));
}

#[test]
fn a_backend_that_drips_after_the_start_is_cut_off_and_the_client_can_tell() {
    let (backend, _discovery, _counter, node) = before(STREAMING_SECTION, 64, |_| {
        Reply::Write(Box::new(|stream: &mut TcpStream| {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
            let _ = stream.write_all(&body_part(0, 80 * 1024));
            // Then nothing, until the other side closes.
            let _ = stream.read(&mut [0]);
        }))
    });
    let mut client = node.client();
    client.send(&request("look", 4000));
    let start = Instant::now();
    assert!(read_head(client.reader()).contains(&"content-length: 3000000000".to_string()));
    assert_eq!(read_digest(client.reader(), 3_000_000_000).1, 80 * 1024, "what came, and the end");
    assert!(
        start.elapsed() < TEST_TIMEOUT - Duration::from_secs(1),
        "by the gateway, not by this test's limit"
    );
    backend.wait_for("its connection's end", |log| log.closed == log.opened);
}

#[test]
fn a_client_that_leaves_takes_its_stream_along() {
    let (backend, _discovery, _counter, node) = before(STREAMING_SECTION, 64, |_| long(512 * MIB, 512 * MIB));
    let mut client = node.client();
    client.send(&request("look", 4000));
    assert_eq!(read_digest(client.reader(), MIB).1, MIB);
    drop(client);
    backend.wait_for("its connection's end", |log| log.closed == log.opened);
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn a_drain_and_an_unusable_file_leave_streams_and_their_bounds_alone() {
    const LENGTH: usize = 3 * MIB;
    let (go_on, told) = std::sync::mpsc::channel::<()>();
    let told = std::sync::Mutex::new(told);
    let backend = StreamingBackend::start(move |stream, _, _| {
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
        respond(stream, &text);
        let _ = stream.get_mut().write_all(&body_part(0, MIB));
        told.lock().expect("whole").recv_timeout(TEST_TIMEOUT).expect("the test goes on");
        let _ = stream.get_mut().write_all(&body_part(MIB, LENGTH - MIB));
        None
    });
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, patient) =
        (counter(), STREAMING_SECTION.replace("\"window_ms\":1000", "\"window_ms\":20000"));
    let plain = config(discovery.stub.address, counter.address);
    let with = |section: &str| plain.replacen('{', &format!("{{\"streaming\":{section},"), 1);
    let path = config_file(&with(&patient));
    let node = Node::spawn(operator_command_from(&path));
    node.wait_ready();
    let ask = |number: usize| {
        let mut client = node.client();
        client.send(&request("look", 4000).replace("9b1f", &format!("{number:04x}")));
        let told = read_head(client.reader());
        assert!(told.contains(&format!("content-length: {LENGTH}")), "{told:?}");
        client
    };
    let mut first = ask(0);
    std::fs::write(&path, with(r#"{"hold_kb":0}"#)).expect("written");
    node.signal("HUP");
    let line = node.wait_for_line("the old one stays");
    assert!(line.contains("streaming.hold_kb: expected a whole number"), "{line}");
    let mut second = ask(1);
    discovery.publish(42, false, &member("s-1", backend.address, "draining"));
    for client in [&mut first, &mut second] {
        go_on.send(()).expect("it waits");
        assert_eq!(read_digest(client.reader(), LENGTH), Digest::of(LENGTH));
    }
}

#[test]
fn at_sigterm_a_stream_has_its_grace_and_then_ends_short() {
    // More than can go through by then.
    const LENGTH: usize = 1 << 40;
    let (_backend, _discovery, _counter, mut node) = before(STREAMING_SECTION, 64, |_| {
        Reply::Write(Box::new(|stream: &mut TcpStream| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
            let (mut going, more) = (stream.write_all(head.as_bytes()), vec![b'x'; MIB]);
            while going.is_ok() {
                going = stream.write_all(&more);
            }
        }))
    });
    let mut client = node.client();
    client.send(&request("look", 4000));
    assert_eq!(read_digest(client.reader(), MIB).1, MIB);
    node.signal("TERM");
    let (mut read, start) = (MIB, Instant::now());
    let mut buffer = vec![0; 256 * 1024];
    loop {
        match client.reader().read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(some) => read += some,
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "it ends");
    }
    assert!(read > 2 * MIB && read < LENGTH, "{read} bytes");
    assert_eq!(node.wait_for_exit(), Some(0));
}

#[test]
fn without_the_section_a_long_answer_is_a_failed_attempt() {
    let backend = Stub::start(|_| long(MIB, MIB));
    let (discovery, counter) = (Discovery::start(&member("s-1", backend.address, "ready")), counter());
    let node = Node::start(&discovery, &counter);
    assert_eq!(node.client().exchange(&request("once", 2000)).status(), 502);
}

#[test]
fn a_streaming_section_that_makes_no_sense_is_told_in_one_line() {
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    for (section, line) in [
        (r#"{"hold":64}"#, "streaming.hold: unknown; known are hold_kb, wait_ms, "),
        (r#"{"hold_kb":0}"#, "streaming.hold_kb: expected a whole number from 1 to 16384, found 0"),
        (r#"{"longest_s":-1}"#, "streaming.longest_s: expected a whole number"),
        (
            r#"{"hold_kb":16384}"#,
            "streaming.hold_kb: 16384 is over what limits.memory_mb leaves for one stream",
        ),
        ("7", "streaming: expected an object, found 7"),
    ] {
        let config = config(nowhere, nowhere)
            .replacen('{', &format!("{{\"streaming\":{section},"), 1)
            .replace("\"memory_mb\":192", "\"memory_mb\":32");
        let done = operator_command(&config).output().expect("it runs");
        let told = String::from_utf8(done.stderr).expect("text");
        assert_eq!((done.status.code(), told.lines().count()), (Some(2), 1), "{told}");
        assert!(told.contains(line), "{line}: {told}");
    }
}
