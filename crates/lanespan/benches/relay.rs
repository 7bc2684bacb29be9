//! What long answers and uploads cost: CPU of the gateway's process a request and a MiB, with and without the `streaming`
//! section in one run, and its memory against the number of streams and their size. `cargo bench --bench relay`
//! prints a row each. The backend and the clients are threads of this program, and not counted.
#[path = "../tests/sockets/bodies.rs"]
mod bodies;
#[path = "../tests/sockets/harness.rs"]
mod harness;
mod process;

use bodies::{read_body, read_head, respond, upload_head, StreamingBackend, MIB};
use harness::*;
use process::{cpu, memory};
use std::io::{Read, Write};
use std::net::SocketAddr;

const KIB: usize = 1 << 10;
const ROUNDS: usize = 5;
const CLIENTS: usize = 2;

/// Which way the long bodies go.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Way {
    Down,
    Up,
}

/// A gateway before one backend that answers with so many bytes, or takes as many as come.
fn gateway(streaming: bool, way: Way, length: usize) -> (Discovery, Stub, Node) {
    if way == Way::Up {
        let backend = StreamingBackend::start(|stream, head, _| {
            let whole = read_body(stream, head);
            respond(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            whole
        });
        return before(streaming, backend.address);
    }
    // In one piece: a head by itself would wait for its acknowledgement.
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}", "x".repeat(length));
    let answer = std::sync::Arc::new(answer);
    let backend = Stub::start(move |_| {
        let answer = answer.clone();
        // A client that leaves ends it.
        Reply::Write(Box::new(move |stream| _ = stream.write_all(answer.as_bytes())))
    });
    before(streaming, backend.address)
}

fn before(streaming: bool, backend: SocketAddr) -> (Discovery, Stub, Node) {
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

/// Asks and reads the head; returns the length of the body.
fn ask(client: &mut Client, number: usize) -> usize {
    client.send(&request("look", 4000).replace("9b1f03aa", &format!("{number:08x}")));
    let head = read_head(client.reader());
    assert!(head[0].contains(" 200 "), "{head:?}");
    let length = head.iter().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()).expect("a length")
}

/// Sends the head of an upload, and so much of its body.
fn begin(client: &mut Client, number: usize, length: usize, sent: &[u8]) {
    let head = upload_head("once", 4000, &format!("Content-Length: {length}"));
    let head = head.replace("9b1f03aa", &format!("{number:08x}"));
    client.write(&[head.as_bytes(), sent].concat()).expect("it reads");
}

/// So many clients, each with its part of the requests one after another.
fn together(node: &Node, way: Way, length: usize, requests: usize) {
    let body = vec![b'x'; if way == Way::Up { length } else { 0 }];
    std::thread::scope(|scope| {
        for part in 0..CLIENTS {
            let body = &body;
            scope.spawn(move || {
                let (mut client, mut buffer) = (node.client(), vec![0; 256 * KIB]);
                for number in (part..requests).step_by(CLIENTS) {
                    if way == Way::Up {
                        begin(&mut client, number, length, body);
                        assert_eq!(client.read_response().expect("an answer").status(), 200);
                        continue;
                    }
                    let mut left = ask(&mut client, number);
                    while left > 0 {
                        let most = left.min(buffer.len());
                        left -= client.reader().read(&mut buffer[..most]).expect("it goes on");
                    }
                }
            });
        }
    });
}

fn main() {
    println!("CPU of the gateway, {CLIENTS} clients; minimum, median and maximum of {ROUNDS} rounds");
    let sizes = [(KIB, 400), (60 * KIB, 400), (16 * MIB, 20)];
    for (way, (length, requests)) in [Way::Down, Way::Up].into_iter().flat_map(|w| sizes.map(|s| (w, s))) {
        let ways = if length <= 64 * KIB { vec![false, true] } else { vec![true] };
        let mut worlds: Vec<_> = ways.iter().map(|&on| (on, gateway(on, way, length), Vec::new())).collect();
        // The first round is not counted.
        for round in 0..=ROUNDS {
            for (_, (_, _, node), seen) in &mut worlds {
                let before = cpu(node);
                together(node, way, length, requests);
                seen.extend(Some(cpu(node) - before).filter(|_| round > 0));
            }
        }
        for (on, _, mut seen) in worlds {
            seen.sort_by(f64::total_cmp);
            let a_request = |i: usize| seen[i] / requests as f64 * 1e6;
            let a_mib = seen[ROUNDS / 2] / (requests * length) as f64 * MIB as f64 * 1e6;
            println!(
                "{way:?} {:>6} KiB  {:<10}  us a request: {:>6.0} min {:>6.0} median {:>6.0} max   us a MiB: {a_mib:>6.0}",
                length / KIB,
                if on { "streaming" } else { "collecting" },
                a_request(0),
                a_request(ROUNDS / 2),
                a_request(ROUNDS - 1),
            );
        }
    }
    println!("memory of the gateway, MiB, with so many streams whose other side does nothing");
    for (way, length) in [(Way::Down, MIB), (Way::Down, 16 * MIB), (Way::Up, MIB), (Way::Up, 16 * MIB)] {
        for streams in [0, 1, 10, 40] {
            let (_discovery, _counter, node) = gateway(true, way, length);
            let open: Vec<Client> = (0..streams)
                .map(|number| {
                    let mut client = node.client();
                    match way {
                        Way::Down => drop(ask(&mut client, number)),
                        Way::Up => begin(&mut client, number, length, &vec![b'x'; length / 2]),
                    }
                    client
                })
                .collect();
            println!("{way:?} {:>6} MiB  {:>3} streams: {:.1}", length / MIB, open.len(), memory(&node));
        }
    }
}
