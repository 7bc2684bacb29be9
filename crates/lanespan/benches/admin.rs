//! The cost of the admin interface: CPU time per request with and without it in one run, the duration of a scrape with
//! 200 backends, the time from start to ready, and memory. `cargo bench --bench admin` prints one row for each.
#[path = "../tests/sockets/harness.rs"]
mod harness;
mod process;

use harness::*;
use process::{compare, memory_mib, spread};
use std::time::Instant;

/// Starts a gateway with or without an admin interface. Its endpoint list has this number of backends, all at the
/// address of one process. Returns also the admin address (without an admin interface, the request address) and the
/// seconds from start to ready.
fn gateway(admin_enabled: bool, backends: usize) -> (Discovery, Stub, Node, std::net::SocketAddr, f64) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let members: Vec<String> =
        (0..backends).map(|i| member(&format!("s-{i}"), backend.address, "ready")).collect();
    let discovery = Discovery::start(&members.join(","));
    let counter = counter();
    let mut config =
        config(discovery.stub.address, counter.address).replace("\"tick\":4000", "\"tick\":1000");
    if admin_enabled {
        config = config.replacen('{', "{\"admin\":{\"listen\":\"127.0.0.1:0\"},", 1);
    }
    let start = Instant::now();
    let mut node = Node::spawn(operator_command(&config));
    let admin = node.address;
    if admin_enabled {
        let line = node.wait_for_line("listening");
        let address = line.split("address=").nth(1).and_then(|a| a.trim().parse().ok());
        node.address = address.expect("the log line has an address");
    }
    node.wait_ready();
    (discovery, counter, node, admin, start.elapsed().as_secs_f64())
}

fn main() {
    let gateways = [false, true].map(|admin_enabled| gateway(admin_enabled, 1));
    let ([without_admin, with_admin], ratio) = compare([&gateways[0].2, &gateways[1].2]);
    println!(
        "us per request, min median max: without admin {without_admin:.1?}, with admin {with_admin:.1?}"
    );
    println!("with / without admin, per pair: {ratio:.3?}");
    let (_discovery, _counter, node, admin, _) = gateway(true, 200);
    let scrape = |path: &str| {
        let durations_ms = (0..40).map(|_| {
            let start = Instant::now();
            let response =
                Client::connect(admin).exchange(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"));
            assert_eq!(response.status(), 200);
            start.elapsed().as_secs_f64() * 1e3
        });
        let durations_ms: Vec<f64> = durations_ms.collect();
        spread(durations_ms)
    };
    println!("ms per scrape with 200 backends, including the delay of the admin rate limit, min median max:");
    println!("  /metrics {:.2?}, /debug/state {:.2?}", scrape("/metrics"), scrape("/debug/state"));
    println!("memory with 200 backends and an admin interface, MiB: {:.1}", memory_mib(&node));
    for admin_enabled in [false, true] {
        let samples: Vec<(f64, f64)> = (0..9)
            .map(|_| {
                let (_discovery, _counter, node, _, ready) = gateway(admin_enabled, 1);
                (ready * 1e3, memory_mib(&node))
            })
            .collect();
        let ready = spread(samples.iter().map(|(ready, _)| *ready).collect());
        let memory = spread(samples.iter().map(|(_, memory)| *memory).collect());
        println!(
            "start to ready, ms: admin {admin_enabled}: {ready:.1?}; memory when ready, MiB: {memory:.1?}"
        );
    }
}
