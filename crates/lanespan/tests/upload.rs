//! Long uploads through a running gateway, on loopback sockets.
#[path = "sockets/bodies.rs"]
mod bodies;
#[path = "sockets/harness.rs"]
mod harness;

use bodies::*;
use harness::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Takes bodies whole and answers.
fn sound(stream: &mut BufReader<TcpStream>, head: &[String], _number: usize) -> Option<Digest> {
    let whole = read_body(stream, head);
    whole.is_some().then(|| respond(stream, OK));
    whole
}

/// Writes a body in pieces, as it comes or in chunks; ends early if the other side does.
fn write_body(client: &mut Client, length: usize, in_chunks: bool) {
    for at in (0..length).step_by(MIB) {
        let piece = body_part(at, MIB.min(length - at));
        let framed = match in_chunks {
            true => [format!("{:x}\r\n", piece.len()).as_bytes(), &piece, b"\r\n"].concat(),
            false => piece,
        };
        if client.write(&framed).is_err() {
            return;
        }
    }
    if in_chunks {
        let _ = client.write(b"0\r\n\r\n");
    }
}

/// A backend that takes bodies and answers nothing, and what came of each by the time it ended.
fn watched() -> (StreamingBackend, Receiver<Option<Digest>>) {
    let (over, ended) = channel();
    let over = std::sync::Mutex::new(over);
    let backend = StreamingBackend::start(move |stream, head, _| {
        let whole = read_body(stream, head);
        over.lock().expect("whole").send(whole).expect("the test waits");
        whole
    });
    (backend, ended)
}

/// Whether the connection is at its end; what still comes before it is passed over.
fn at_end(client: &mut Client) -> bool {
    let mut rest = Vec::new();
    match client.reader().read_to_end(&mut rest) {
        Ok(_) => true,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

#[test]
fn a_long_upload_arrives_whole_in_bounded_memory_and_its_connection_is_used_again() {
    let backend = StreamingBackend::start(sound);
    let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
    let whole = Digest::of(large_body_bytes());
    let mut client = node.client();
    for in_chunks in [false, true] {
        let framing = match in_chunks {
            true => "Transfer-Encoding: chunked".to_string(),
            false => format!("Content-Length: {}", large_body_bytes()),
        };
        client.send(&upload_head("once", 4000, &framing));
        write_body(&mut client, large_body_bytes(), in_chunks);
        assert_eq!(client.read_response().expect("an answer").status(), 200, "{framing}");
        let seen = backend.seen().pop().expect("one");
        assert!(seen.head.contains(&framing.to_ascii_lowercase()), "{seen:?}");
        assert_eq!(backend.last_body(), Some(whole), "{framing}");
    }
    assert!(peak_memory_bytes(&node) < 24 * MIB, "{} bytes", peak_memory_bytes(&node));
    let seen = backend.seen();
    assert_eq!(seen[0].connection, seen[1].connection, "both bodies ended well, so it is kept");
    assert!(at_end(&mut client), "what follows chunks would not be believed");
}

#[test]
fn a_refused_upload_is_answered_at_once_and_none_of_it_is_asked_for() {
    let backend = StreamingBackend::start(sound);
    let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
    let head = upload_head("once", 4000, "Content-Length: 3000000000\r\nExpect: 100-continue")
        .replace("X-Plan: team", "X-Plan: small")
        .replace("units=2", "units=4");
    let start = Instant::now();
    let mut taken = Vec::new();
    let refused = loop {
        let mut client = node.client();
        client.send(&head.replace("9b1f", &format!("{:04x}", taken.len())));
        let told = client.read_response().expect("an answer");
        match told.status() {
            // It is admitted, and only then told to go on.
            100 => taken.push(client),
            429 => {
                assert!(at_end(&mut client));
                break told;
            }
            other => panic!("{other}"),
        }
    };
    assert!(start.elapsed() < Duration::from_secs(4), "at once");
    assert_eq!(refused.header("connection"), Some("close"));
    assert!(refused.header("retry-after").is_some());
    assert!(!taken.is_empty() && backend.seen().len() <= taken.len());
    assert!(peak_memory_bytes(&node) < 24 * MIB, "a claim takes no memory");
}

#[test]
fn a_client_that_goes_on_sending_what_was_refused_is_not_reset_at_once() {
    let backend = StreamingBackend::start(sound);
    let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
    let mut client = node.client();
    let head =
        upload_head("once", 4000, "Content-Length: 3000000000").replace("X-Plan: team", "X-Plan: none");
    client.send(&head);
    assert_eq!(client.read_response().expect("an answer").status(), 400);
    assert!(at_end(&mut client), "nothing comes any more");
    // A reset would show at the second write, and could take the answer along.
    (0..16).for_each(|_| client.write(&[b'x'; 4096]).expect("it is read"));
}

#[test]
fn an_upload_that_goes_on_outlives_the_time_of_its_request() {
    let backend = StreamingBackend::start(sound);
    let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
    let (length, budget) = (4 * MIB, Duration::from_millis(400));
    let mut client = node.client();
    client.send(&upload_head("once", 400, &format!("Content-Length: {length}")));
    let (start, mut sent) = (Instant::now(), 0);
    // Twice its time, and the rest at once.
    while start.elapsed() < 2 * budget && sent < length / 2 {
        client.write(&body_part(sent, length / 64)).expect("it goes on");
        sent += length / 64;
        std::thread::sleep(budget / 16);
    }
    assert!(start.elapsed() > budget);
    client.write(&body_part(sent, length - sent)).expect("it goes on");
    assert_eq!(client.read_response().expect("an answer").status(), 200);
    assert_eq!(backend.last_body(), Some(Digest::of(length)));
}

#[test]
fn both_lengths_together_are_refused_and_nothing_goes_on() {
    let backend = StreamingBackend::start(sound);
    let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
    for framing in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Transfer-Encoding: gzip, chunked\r\ncontent-length:0",
    ] {
        let mut client = node.client();
        client.send(&upload_head("once", 4000, framing));
        client.send("5\r\nhello\r\n0\r\n\r\n");
        assert_eq!(client.read_response().expect("an answer").status(), 400, "{framing}");
        assert!(at_end(&mut client));
    }
    assert_eq!(backend.seen(), []);
}

#[test]
fn short_and_empty_chunked_bodies_and_interim_answers_are_right() {
    let backend = StreamingBackend::start(|stream, head, _| {
        let whole = read_body(stream, head);
        respond(stream, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        respond(stream, OK);
        whole
    });
    let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
    for (chunks, length) in [("0\r\n\r\n", 0), ("3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n", 5)] {
        let mut client = node.client();
        client.send(&upload_head("once", 4000, "Transfer-Encoding: chunked"));
        client.send(chunks);
        assert_eq!(client.read_response().expect("an answer").status(), 200);
        assert_eq!(backend.last_body().map(|body| body.1), Some(length));
    }
    assert!(backend.seen().iter().all(|seen| !seen.head.iter().any(|line| line.starts_with("x-trailer"))));
}

/// Long enough for a gateway to notice that a backend closed its connection, beside other tests.
const BREAK_NOTICED: Duration = Duration::from_millis(500);

#[test]
fn what_is_kept_is_sent_again_as_its_class_allows_and_only_a_last_byte_may_have_run() {
    // A backend that breaks the first attempt off, before or after the last byte.
    for (class, after, status, attempts) in
        [("buy", true, 200, 2), ("once", true, 502, 1), ("once", false, 200, 2)]
    {
        let (broke, go_on) = channel();
        let broke = std::sync::Mutex::new(broke);
        let backend = StreamingBackend::start(move |stream, head, number| {
            if number > 0 {
                return sound(stream, head, number);
            }
            let _ = read_digest(stream, if after { 40_000 } else { 20_000 });
            let _ = stream.get_ref().shutdown(Shutdown::Both);
            broke.lock().expect("whole").send(()).expect("the test waits");
            None
        });
        let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
        let mut client = node.client();
        client.send(&upload_head(class, 4000, "Content-Length: 40000"));
        client.write(&body_part(0, if after { 40_000 } else { 20_000 })).expect("it reads");
        go_on.recv_timeout(TEST_TIMEOUT).expect("it came");
        if !after {
            // The rest must not reach the broken connection before the gateway notices the break: once its last byte is
            // written, the attempt may have run.
            std::thread::sleep(BREAK_NOTICED);
            client.write(&body_part(20_000, 20_000)).expect("it reads");
        }
        assert_eq!(client.read_response().expect("an answer").status(), status, "{class} {after}");
        let seen = backend.seen();
        assert_eq!(seen.len(), attempts, "{class} {after}");
        assert_eq!(backend.last_body(), (status == 200).then(|| Digest::of(40_000)));
    }
}

#[test]
fn past_the_replay_buffer_there_is_no_further_attempt_whatever_the_class() {
    for class in ["buy", "once"] {
        let backend = StreamingBackend::start(|stream, _, _| {
            let _ = read_digest(stream, MIB);
            None
        });
        let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
        let mut client = node.client();
        client.send(&upload_head(class, 4000, &format!("Content-Length: {}", 8 * MIB)));
        write_body(&mut client, 2 * MIB, false);
        // Its last byte never went out, so it never ran.
        assert_eq!(client.read_response().expect("an answer").status(), 429, "{class}");
        assert_eq!(backend.seen().len(), 1, "{class}");
    }
}

#[test]
fn an_early_answer_ends_the_upload_and_is_passed_on() {
    let long = 3 * MIB;
    for length in [2, long] {
        let (done, ended) = channel();
        let done = std::sync::Mutex::new(done);
        let backend = StreamingBackend::start(move |stream, _, _| {
            let _ = read_digest(stream, 200 * 1024);
            respond(stream, &format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"));
            let _ = stream.get_mut().write_all(&body_part(0, length));
            // The upload stops, and its connection carries nothing else.
            let rest = read_digest(stream, usize::MAX).1;
            done.lock().expect("whole").send(rest).expect("the test waits");
            None
        });
        let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
        let mut client = node.client();
        client.send(&upload_head("once", 4000, "Content-Length: 3000000000"));
        // Less than all, so that the answer comes before the end.
        client.write(&body_part(0, 300 * 1024)).expect("it reads");
        let told = read_head(client.reader());
        assert!(told[0].starts_with("http/1.1 200"), "{told:?}");
        assert!(told.contains(&"connection: close".to_string()), "{told:?}");
        assert_eq!(read_digest(client.reader(), length), Digest::of(length));
        assert!(at_end(&mut client));
        assert!(ended.recv_timeout(TEST_TIMEOUT).expect("its end") <= 100 * 1024);
    }
}

#[test]
fn a_client_that_breaks_off_never_makes_a_short_body_pass_for_a_whole_one() {
    for (framing, sent) in [
        ("Content-Length: 3145728".to_string(), 3 * MIB - 1),
        ("Content-Length: 40000".to_string(), 39_999),
        ("Transfer-Encoding: chunked".to_string(), MIB),
    ] {
        let (backend, ended) = watched();
        let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
        let mut client = node.client();
        client.send(&upload_head("once", 4000, &framing));
        let chunks = framing.starts_with("Transfer");
        if chunks {
            client.send(&format!("{:x}\r\n", 2 * MIB));
        }
        client.write(&body_part(0, sent)).expect("it reads");
        drop(client);
        assert_eq!(ended.recv_timeout(TEST_TIMEOUT).expect("its end"), None, "{framing}");
        assert_eq!(backend.seen().len(), 1, "nothing is tried for who has gone");
    }
}

#[test]
fn a_client_that_drips_is_let_go() {
    let (backend, ended) = watched();
    let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
    let mut client = node.client();
    client.send(&upload_head("once", 60_000, &format!("Content-Length: {}", 8 * MIB)));
    client.write(&body_part(0, 100 * 1024)).expect("it reads");
    assert_eq!(ended.recv_timeout(TEST_TIMEOUT).expect("cut off"), None, "less than the least came");
    assert!(at_end(&mut client));
}

#[test]
fn clients_that_are_gone_while_their_backend_stalls_hold_no_memory() {
    // Room for three.
    let backend = StreamingBackend::start(|stream, head, number| match number {
        0..3 => loop {
            std::thread::park();
        },
        _ => sound(stream, head, number),
    });
    let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 4, backend.address);
    let head = |number: usize| {
        let framing = format!("Content-Length: {}", 64 * MIB);
        upload_head("once", 4000, &framing).replace("9b1f", &format!("{number:04x}"))
    };
    for number in 0..3 {
        let mut client = node.client();
        client.send(&head(number));
        client.write(&body_part(0, 300 * 1024)).expect("it reads");
        while backend.seen().len() <= number {
            std::thread::yield_now();
        }
    }
    let until = Instant::now() + TEST_TIMEOUT;
    let taken = (3..).find(|number| {
        assert!(Instant::now() < until, "their room is never free");
        let mut client = node.client();
        client.send(&head(*number).replace("67108864", "3000000"));
        client.write(&body_part(0, 3_000_000)).is_ok()
            && client.read_response().is_some_and(|told| told.status() == 200)
    });
    assert!(taken.is_some());
}

#[test]
fn a_backend_that_stalls_is_given_up_and_slows_nobody_else() {
    let backend = StreamingBackend::start(|stream, head, _| match head[0].starts_with("get") {
        true => sound(stream, head, 0),
        false => loop {
            std::thread::park();
        },
    });
    let (_discovery, _counter, node) = gateway(STREAMING_SECTION, 64, backend.address);
    let address = node.address;
    let writer = std::thread::spawn(move || {
        let mut client = Client::connect(address);
        client.send(&upload_head("once", 4000, &format!("Content-Length: {}", 256 * MIB)));
        // More than all buffers between hold.
        let ended =
            (0..64).find_map(|at| client.write(&body_part(at * MIB, MIB)).err()).expect("it is cut off");
        (ended.kind(), client.read_response().map(|answer| answer.status()))
    });
    while backend.seen().is_empty() {
        std::thread::yield_now();
    }
    assert_eq!(node.client().exchange(&request("look", 4000).replace("9b1f", "9b20")).status(), 200);
    let (ended, told) = writer.join().expect("it ends");
    assert!(matches!(ended, ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "by the gateway: {ended:?}");
    assert!(told.is_none_or(|status| status == 429), "it never ran: {told:?}");
    assert!(peak_memory_bytes(&node) < 24 * MIB, "{} bytes", peak_memory_bytes(&node));
}

#[test]
fn without_memory_an_upload_is_refused_with_advice_and_taken_once_another_ends() {
    // Room for three.
    let backend = StreamingBackend::start(sound);
    let slow = STREAMING_SECTION.replace("\"window_ms\":1000", "\"window_ms\":60000");
    let (_discovery, _counter, node) = gateway(&slow, 4, backend.address);
    let head = |number: usize| {
        let framing = format!("Content-Length: {}", 3 * MIB);
        upload_head("once", 4000, &framing).replace("9b1f", &format!("{number:04x}"))
    };
    let mut under_way: Vec<Client> = (0..3)
        .map(|number| {
            let mut client = node.client();
            client.send(&head(number));
            client.write(&body_part(0, MIB)).expect("it reads");
            client
        })
        .collect();
    while backend.seen().len() < 3 {
        std::thread::yield_now();
    }
    let start = Instant::now();
    let mut client = node.client();
    client.send(&head(3));
    let refused = client.read_response().expect("an answer");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert!(start.elapsed() < Duration::from_secs(3), "at once, not near its deadline");
    // Those under way go on, and their room is free again.
    let mut first = under_way.remove(0);
    first.write(&body_part(MIB, 2 * MIB)).expect("it reads");
    assert_eq!(first.read_response().expect("an answer").status(), 200);
    let mut client = node.client();
    client.send(&head(4));
    client.write(&body_part(0, 3 * MIB)).expect("it reads");
    assert_eq!(client.read_response().expect("an answer").status(), 200);
}

#[test]
fn without_memory_a_long_answer_is_refused_where_trying_again_is_harmless() {
    let backend = StreamingBackend::start(|stream, head, _| {
        let whole = read_body(stream, head);
        respond(stream, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 64 * MIB));
        (0..64).all(|at| stream.get_mut().write_all(&body_part(at * MIB, MIB)).is_ok()).then_some(whole)?
    });
    let slow = STREAMING_SECTION.replace("\"window_ms\":1000", "\"window_ms\":60000");
    let (_discovery, _counter, node) = gateway(&slow, 4, backend.address);
    let ask = |class: &str, number: usize| {
        let mut client = node.client();
        client.send(&request(class, 4000).replace("9b1f", &format!("{number:04x}")));
        let told = read_head(client.reader());
        (client, told)
    };
    let unread: Vec<_> = (0..3).map(|number| ask("look", number)).collect();
    assert!(unread.iter().all(|(_, told)| told[0].starts_with("http/1.1 200")));
    let (_, refused) = ask("look", 3);
    assert!(refused[0].starts_with("http/1.1 429"), "{refused:?}");
    assert!(refused.iter().any(|line| line.starts_with("retry-after: ")), "{refused:?}");
    let (_, failed) = ask("once", 4);
    assert!(failed[0].starts_with("http/1.1 502"), "it ran: {failed:?}");
    assert_eq!(backend.seen().len(), 5, "what found no memory is not tried again");
    drop(unread);
    let mut number = 5;
    while !ask("look", number).1[0].starts_with("http/1.1 200") {
        number += 1;
        assert!(number < 20, "their room is free again");
    }
}

#[test]
fn at_sigterm_an_upload_has_its_grace_and_then_ends_so_that_the_client_can_tell() {
    let backend = StreamingBackend::start(sound);
    let (_discovery, _counter, mut node) = gateway(STREAMING_SECTION, 64, backend.address);
    let mut finishes = node.client();
    finishes.send(&upload_head("once", 4000, &format!("Content-Length: {}", 2 * MIB)));
    finishes.write(&body_part(0, MIB)).expect("it reads");
    let address = node.address;
    let endless = std::thread::spawn(move || {
        let mut client = Client::connect(address);
        client.send(
            &upload_head("once", 4000, &format!("Content-Length: {}", 1usize << 40)).replace("9b1f", "9b20"),
        );
        let more = vec![b'x'; 64 * 1024];
        // No faster than needs be, until the other side ends it.
        while client.write(&more).is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
        client.read_response().map(|answer| answer.status())
    });
    while backend.seen().len() < 2 {
        std::thread::yield_now();
    }
    node.signal("TERM");
    node.wait_for_line("stopping");
    finishes.write(&body_part(MIB, MIB)).expect("it reads");
    assert_eq!(finishes.read_response().expect("an answer").status(), 200, "it has its grace");
    let told = endless.join().expect("it ends");
    assert!(told.is_none_or(|status| status == 502), "{told:?}");
    assert_eq!(node.wait_for_exit(), Some(0));
    assert!(backend.seen().iter().any(|seen| seen.body.is_none()), "no short body passed for a whole one");
}
