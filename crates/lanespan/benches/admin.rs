//! What the operators' door costs: CPU of the gateway a request with and without it in one run, the time of a scrape
//! with 200 backends, the time from start to ready, and memory. `cargo bench --bench admin` prints a row each.
mod process;
#[path = "../tests/sockets/world.rs"]
mod world;

use process::{cpu, memory};
use std::time::Instant;
use world::*;

const ROUNDS: usize = 9;
const REQUESTS: usize = 4_000;
const CLIENTS: usize = 20;

/// A gateway before as many backends as this, of which one is there, with the door open or closed.
fn gateway(open: bool, backends: usize) -> (Discovery, Stub, Node, std::net::SocketAddr, f64) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let members: Vec<String> =
        (0..backends).map(|i| member(&format!("s-{i}"), backend.address, "ready")).collect();
    let discovery = Discovery::start(&members.join(","));
    let counter = counter();
    let mut config =
        config(discovery.stub.address, counter.address).replace("\"tick\":4000", "\"tick\":1000");
    if open {
        config = config.replacen('{', "{\"admin\":{\"listen\":\"127.0.0.1:0\"},", 1);
    }
    let start = Instant::now();
    let mut node = Node::spawn(program(&config));
    let door = node.address;
    if open {
        let line = node.wait_for_line("listening");
        let address = line.split("address=").nth(1).and_then(|a| a.trim().parse().ok());
        node.address = address.expect("an address");
    }
    node.wait_ready();
    (discovery, counter, node, door, start.elapsed().as_secs_f64())
}

fn together(node: &Node) {
    std::thread::scope(|scope| {
        for part in 0..CLIENTS {
            let mut client = node.client();
            scope.spawn(move || {
                for number in (part..REQUESTS).step_by(CLIENTS) {
                    let asked = request("look", 4000)
                        .replace("00000000b4d65521", &format!("{:016x}", number % 500))
                        .replace("9b1f03aa", &format!("{number:08x}"));
                    assert_eq!(client.ask(&asked).status(), 200);
                }
            });
        }
    });
}

fn spread(mut seen: Vec<f64>) -> (f64, f64, f64) {
    seen.sort_by(f64::total_cmp);
    (seen[0], seen[seen.len() / 2], seen[seen.len() - 1])
}

fn main() {
    let worlds = [false, true].map(|open| gateway(open, 1));
    let (mut seen, mut ratios) = ([Vec::new(), Vec::new()], Vec::new());
    // The first round is not counted.
    for round in 0..=ROUNDS {
        let mut pair = [0.0; 2];
        for (i, (_, _, node, ..)) in worlds.iter().enumerate() {
            let before = cpu(node);
            together(node);
            pair[i] = (cpu(node) - before) / REQUESTS as f64 * 1e6;
            seen[i].extend(Some(pair[i]).filter(|_| round > 0));
        }
        ratios.extend(Some(pair[1] / pair[0]).filter(|_| round > 0));
    }
    let [closed, open] = seen.map(spread);
    println!("us a request, min median max of {ROUNDS} rounds: closed {closed:.1?}, open {open:.1?}");
    println!("open / closed, pair by pair: {:.3?}", spread(ratios));
    let (_discovery, _counter, node, door, _) = gateway(true, 200);
    let scrape = |path: &str| {
        let times = (0..40).map(|_| {
            let start = Instant::now();
            let told = Client::at(door).ask(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"));
            assert_eq!(told.status(), 200);
            start.elapsed().as_secs_f64() * 1e3
        });
        let times: Vec<f64> = times.collect();
        spread(times)
    };
    println!("ms a scrape with 200 backends, the pace of the door included, min median max:");
    println!("  /metrics {:.2?}, /debug/state {:.2?}", scrape("/metrics"), scrape("/debug/state"));
    println!("memory with 200 backends and the door open, MiB: {:.1}", memory(&node));
    for open in [false, true] {
        let starts: Vec<(f64, f64)> = (0..9)
            .map(|_| {
                let (_discovery, _counter, node, _, ready) = gateway(open, 1);
                (ready * 1e3, memory(&node))
            })
            .collect();
        let ready = spread(starts.iter().map(|(ready, _)| *ready).collect());
        let memory = spread(starts.iter().map(|(_, memory)| *memory).collect());
        println!("start to ready, ms: open {open}: {ready:.1?}; memory then, MiB: {memory:.1?}");
    }
}
