//! What a bench reads of a gateway's process, and how two are compared.
#![allow(dead_code, reason = "each program that shares this file uses a part of it")]

use super::harness::{config, operator_command, request, Discovery, Node, Stub};
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// The least, the median and the most.
pub type Spread = (f64, f64, f64);

/// Rounds that are counted, requests in each, and clients that make them.
const ROUNDS: usize = 9;
const REQUESTS: usize = 4_000;
const CLIENTS: usize = 20;

/// The kernel's unit of CPU time in /proc, in seconds.
const TICK: f64 = 0.01;

/// Seconds of CPU that a process had, to a hundredth.
pub fn cpu(node: &Node) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).expect("it runs");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |i: usize| fields.get(i).and_then(|t| t.parse::<f64>().ok()).expect("a number");
    (ticks(11) + ticks(12)) * TICK
}

/// Its memory now, in MiB.
pub fn memory(node: &Node) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a figure");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).expect("a number") / 1024.0
}

/// Requests of many clients at once.
fn together(node: &Node) {
    std::thread::scope(|scope| {
        for part in 0..CLIENTS {
            let mut client = node.client();
            scope.spawn(move || {
                for number in (part..REQUESTS).step_by(CLIENTS) {
                    let asked = request("look", 4000)
                        .replace("00000000b4d65521", &format!("{:016x}", number % 500))
                        .replace("9b1f03aa", &format!("{number:08x}"));
                    assert_eq!(client.exchange(&asked).status(), 200);
                }
            });
        }
    });
}

/// Of what was seen.
pub fn spread(mut seen: Vec<f64>) -> Spread {
    seen.sort_by(f64::total_cmp);
    (seen[0], seen[seen.len() / 2], seen[seen.len() - 1])
}

/// The CPU of two gateways in microseconds a request, in turn over several rounds: the spread of each, and of the
/// second by the first, pair by pair.
pub fn compare(nodes: [&Node; 2]) -> ([Spread; 2], Spread) {
    let (mut seen, mut ratios) = ([Vec::new(), Vec::new()], Vec::new());
    // The first round is not counted.
    for round in 0..=ROUNDS {
        let mut pair = [0.0; 2];
        for (i, node) in nodes.iter().enumerate() {
            let before = cpu(node);
            together(node);
            pair[i] = (cpu(node) - before) / REQUESTS as f64 * 1e6;
            seen[i].extend(Some(pair[i]).filter(|_| round > 0));
        }
        ratios.extend(Some(pair[1] / pair[0]).filter(|_| round > 0));
    }
    (seen.map(spread), spread(ratios))
}

/// A gateway before one backend; with a section it is one of the fleet.
pub fn gateway(discovery: &Discovery, counter: &Stub, place: usize, section: Option<String>) -> Node {
    let plain = config(discovery.stub.address, counter.address).replace("\"tick\":4000", "\"tick\":1000");
    let named = plain.replace("\"name\":\"n0\"", &format!("\"name\":\"n{place}\""));
    let config = match section {
        Some(section) => named.replacen('{', &format!("{{\"fleet\":{section},"), 1),
        None => named,
    };
    let mut node = Node::spawn(operator_command(&config));
    if config.contains("fleet") {
        let line = node.wait_for_line("listening");
        node.address = line.split("address=").nth(1).and_then(|a| a.trim().parse().ok()).expect("an address");
    }
    node.wait_ready();
    node
}

/// Ports that are free now, for UDP and TCP; another process may take one in between, and the bench ends.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let taken: Vec<(UdpSocket, TcpListener)> = std::iter::repeat_with(|| {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let listener = TcpListener::bind(socket.local_addr().expect("bound")).ok()?;
        Some((socket, listener))
    })
    .flatten()
    .take(count)
    .collect();
    taken.iter().map(|(socket, _)| socket.local_addr().expect("bound")).collect()
}
