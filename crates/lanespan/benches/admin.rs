//! What the operators' door costs: CPU of the gateway a request with and without it in one run, the time of a scrape
//! with 200 backends, the time from start to ready, and memory. `cargo bench --bench admin` prints a row each.
#[path = "../tests/sockets/harness.rs"]
mod harness;
mod process;

use harness::*;
use process::{compare, memory, spread};
use std::time::Instant;

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
    let mut node = Node::spawn(operator_command(&config));
    let door = node.address;
    if open {
        let line = node.wait_for_line("listening");
        let address = line.split("address=").nth(1).and_then(|a| a.trim().parse().ok());
        node.address = address.expect("an address");
    }
    node.wait_ready();
    (discovery, counter, node, door, start.elapsed().as_secs_f64())
}

fn main() {
    let worlds = [false, true].map(|open| gateway(open, 1));
    let ([closed, open], ratio) = compare([&worlds[0].2, &worlds[1].2]);
    println!("us a request, min median max: closed {closed:.1?}, open {open:.1?}");
    println!("open / closed, pair by pair: {ratio:.3?}");
    let (_discovery, _counter, node, door, _) = gateway(true, 200);
    let scrape = |path: &str| {
        let times = (0..40).map(|_| {
            let start = Instant::now();
            let told = Client::connect(door).exchange(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"));
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
