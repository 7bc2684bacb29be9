//! Measures CPU time and memory of gateway processes, and compares two gateways under the same load.
#![allow(dead_code, reason = "each program that shares this file uses a part of it")]

use super::harness::{config, operator_command, request, Discovery, Node, Stub};
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// The minimum, the median and the maximum.
pub type Spread = (f64, f64, f64);

/// The number of rounds that are counted.
const ROUNDS: usize = 9;
/// The number of requests in a round.
const REQUESTS: usize = 4_000;
/// The number of concurrent clients.
const CLIENTS: usize = 20;

/// The kernel's unit of CPU time in /proc, in seconds.
const CPU_TICK_SECONDS: f64 = 0.01;

/// Returns the CPU time of a gateway's process in seconds, with a resolution of a hundredth.
pub fn cpu_seconds(node: &Node) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).expect("the gateway runs");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |field: usize| fields.get(field).and_then(|t| t.parse::<f64>().ok()).expect("a number");
    (ticks(11) + ticks(12)) * CPU_TICK_SECONDS
}

/// Returns the resident memory of a gateway's process in MiB.
pub fn memory_mib(node: &Node) -> f64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("the gateway runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a VmRSS line");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).expect("a number") / 1024.0
}

/// Sends the requests of one round from concurrent clients.
fn run_round(node: &Node) {
    std::thread::scope(|scope| {
        for first in 0..CLIENTS {
            let mut client = node.client();
            scope.spawn(move || {
                for number in (first..REQUESTS).step_by(CLIENTS) {
                    let text = request("look", 4000)
                        .replace("00000000b4d65521", &format!("{:016x}", number % 500))
                        .replace("9b1f03aa", &format!("{number:08x}"));
                    assert_eq!(client.exchange(&text).status(), 200);
                }
            });
        }
    });
}

/// Returns the spread of some samples.
pub fn spread(mut samples: Vec<f64>) -> Spread {
    samples.sort_by(f64::total_cmp);
    (samples[0], samples[samples.len() / 2], samples[samples.len() - 1])
}

/// Measures the CPU time of two gateways in microseconds per request, alternating between them over several rounds.
/// Returns the spread of each, and the spread of the second's time divided by the first's in the same round.
pub fn compare(nodes: [&Node; 2]) -> ([Spread; 2], Spread) {
    let (mut samples, mut ratios) = ([Vec::new(), Vec::new()], Vec::new());
    // The first round is not counted.
    for round in 0..=ROUNDS {
        let mut round_us = [0.0; 2];
        for (i, node) in nodes.iter().enumerate() {
            let before = cpu_seconds(node);
            run_round(node);
            round_us[i] = (cpu_seconds(node) - before) / REQUESTS as f64 * 1e6;
            samples[i].extend(Some(round_us[i]).filter(|_| round > 0));
        }
        ratios.extend(Some(round_us[1] / round_us[0]).filter(|_| round > 0));
    }
    (samples.map(spread), spread(ratios))
}

/// Starts a gateway named by its index; with a `fleet` section it is a member of the fleet.
pub fn gateway(discovery: &Discovery, counter: &Stub, index: usize, section: Option<String>) -> Node {
    let plain = config(discovery.stub.address, counter.address).replace("\"tick\":4000", "\"tick\":1000");
    let named = plain.replace("\"name\":\"n0\"", &format!("\"name\":\"n{index}\""));
    let config = match section {
        Some(section) => named.replacen('{', &format!("{{\"fleet\":{section},"), 1),
        None => named,
    };
    let mut node = Node::spawn(operator_command(&config));
    if config.contains("fleet") {
        let line = node.wait_for_line("listening");
        node.address = line
            .split("address=")
            .nth(1)
            .and_then(|a| a.trim().parse().ok())
            .expect("the log line has an address");
    }
    node.wait_ready();
    node
}

/// Returns addresses whose ports are free for UDP and TCP. If another process takes one before the gateway opens it,
/// the benchmark fails.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let reserved: Vec<(UdpSocket, TcpListener)> = std::iter::repeat_with(|| {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let listener = TcpListener::bind(socket.local_addr().expect("bound")).ok()?;
        Some((socket, listener))
    })
    .flatten()
    .take(count)
    .collect();
    reserved.iter().map(|(socket, _)| socket.local_addr().expect("bound")).collect()
}
