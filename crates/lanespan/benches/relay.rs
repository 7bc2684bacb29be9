//! The cost of long responses and uploads: CPU time of the gateway's process per request and per MiB, with and without
//! the `streaming` section in one run, and its memory by the number and size of streams. `cargo bench --bench relay`
//! prints one row for each. The backend and the clients are threads of this program and are not counted.
#[path = "../tests/sockets/bodies.rs"]
mod bodies;
#[path = "../tests/sockets/harness.rs"]
mod harness;
mod process;

use bodies::{read_body, read_head, respond, upload_head, StreamingBackend, MIB};
use harness::*;
use process::{cpu_seconds, memory_mib};
use std::io::{Read, Write};
use std::net::SocketAddr;

const KIB: usize = 1 << 10;
const ROUNDS: usize = 5;
const CLIENTS: usize = 2;

/// The direction of the long bodies.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Direction {
    Down,
    Up,
}

/// Starts a gateway with one backend, which responds with this number of bytes or reads an upload of any length.
fn gateway(streaming: bool, direction: Direction, length: usize) -> (Discovery, Stub, Node) {
    if direction == Direction::Up {
        let backend = StreamingBackend::start(|stream, head, _| {
            let read = read_body(stream, head);
            respond(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            read
        });
        return gateway_with_backend(streaming, backend.address);
    }
    // Head and body are written at once, because a separate write of the body would wait for the acknowledgement of the
    // head.
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}", "x".repeat(length));
    let response = std::sync::Arc::new(response);
    let backend = Stub::start(move |_| {
        let response = response.clone();
        // The write fails if the connection closes early.
        Reply::Write(Box::new(move |stream| _ = stream.write_all(response.as_bytes())))
    });
    gateway_with_backend(streaming, backend.address)
}

/// Starts a gateway with this backend, with or without the `streaming` section.
fn gateway_with_backend(streaming: bool, backend: SocketAddr) -> (Discovery, Stub, Node) {
    let discovery = Discovery::start(&member("s-1", backend, "ready"));
    let counter = counter();
    let mut config =
        config(discovery.stub.address, counter.address).replace("\"tick\":4000", "\"tick\":1000");
    if streaming {
        config = config.replacen('{', "{\"streaming\":{},", 1);
    }
    let node = Node::spawn(operator_command(&config));
    node.wait_ready();
    (discovery, counter, node)
}

/// Sends a request and reads the response head; returns the length of the body.
fn request_head(client: &mut Client, number: usize) -> usize {
    client.send(&request("look", 4000).replace("9b1f03aa", &format!("{number:08x}")));
    let head = read_head(client.reader());
    assert!(head[0].contains(" 200 "), "{head:?}");
    let length = head.iter().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()).expect("a content length")
}

/// Sends the head of an upload and a part of its body.
fn begin_upload(client: &mut Client, number: usize, length: usize, sent: &[u8]) {
    let head = upload_head("once", 4000, &format!("Content-Length: {length}"));
    let head = head.replace("9b1f03aa", &format!("{number:08x}"));
    client.write(&[head.as_bytes(), sent].concat()).expect("the gateway reads the upload");
}

/// Runs one round: concurrent clients share the requests, and each sends its own in sequence.
fn run_round(node: &Node, direction: Direction, length: usize, requests: usize) {
    let body = vec![b'x'; if direction == Direction::Up { length } else { 0 }];
    std::thread::scope(|scope| {
        for first in 0..CLIENTS {
            let body = &body;
            scope.spawn(move || {
                let (mut client, mut buffer) = (node.client(), vec![0; 256 * KIB]);
                for number in (first..requests).step_by(CLIENTS) {
                    if direction == Direction::Up {
                        begin_upload(&mut client, number, length, body);
                        assert_eq!(client.read_response().expect("a response").status(), 200);
                        continue;
                    }
                    let mut remaining = request_head(&mut client, number);
                    while remaining > 0 {
                        let read_limit = remaining.min(buffer.len());
                        remaining -=
                            client.reader().read(&mut buffer[..read_limit]).expect("the response continues");
                    }
                }
            });
        }
    });
}

fn main() {
    println!("CPU of the gateway, {CLIENTS} clients; minimum, median and maximum of {ROUNDS} rounds");
    let sizes = [(KIB, 400), (60 * KIB, 400), (16 * MIB, 20)];
    for (direction, (length, requests)) in
        [Direction::Down, Direction::Up].into_iter().flat_map(|w| sizes.map(|s| (w, s)))
    {
        let modes = if length <= 64 * KIB { vec![false, true] } else { vec![true] };
        let mut runs: Vec<_> = modes
            .iter()
            .map(|&streaming| (streaming, gateway(streaming, direction, length), Vec::new()))
            .collect();
        // The first round is not counted.
        for round in 0..=ROUNDS {
            for (_, (_, _, node), samples) in &mut runs {
                let before = cpu_seconds(node);
                run_round(node, direction, length, requests);
                samples.extend(Some(cpu_seconds(node) - before).filter(|_| round > 0));
            }
        }
        for (streaming, _, mut samples) in runs {
            samples.sort_by(f64::total_cmp);
            let us_per_request = |i: usize| samples[i] / requests as f64 * 1e6;
            let us_per_mib = samples[ROUNDS / 2] / (requests * length) as f64 * MIB as f64 * 1e6;
            println!(
                "{direction:?} {:>6} KiB  {:<10}  us/request: {:>6.0} min {:>6.0} median {:>6.0} max   us/MiB: {us_per_mib:>6.0}",
                length / KIB,
                if streaming { "streaming" } else { "collecting" },
                us_per_request(0),
                us_per_request(ROUNDS / 2),
                us_per_request(ROUNDS - 1),
            );
        }
    }
    println!("memory of the gateway, MiB, by the number of streams with idle clients");
    for (direction, length) in
        [(Direction::Down, MIB), (Direction::Down, 16 * MIB), (Direction::Up, MIB), (Direction::Up, 16 * MIB)]
    {
        for streams in [0, 1, 10, 40] {
            let (_discovery, _counter, node) = gateway(true, direction, length);
            let clients: Vec<Client> = (0..streams)
                .map(|number| {
                    let mut client = node.client();
                    match direction {
                        Direction::Down => drop(request_head(&mut client, number)),
                        Direction::Up => begin_upload(&mut client, number, length, &vec![b'x'; length / 2]),
                    }
                    client
                })
                .collect();
            println!(
                "{direction:?} {:>6} MiB  {:>3} streams: {:.1}",
                length / MIB,
                clients.len(),
                memory_mib(&node)
            );
        }
    }
}
