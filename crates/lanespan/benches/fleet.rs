//! What presence costs requests: CPU of a gateway a request, without a `fleet` section and as one of twelve, in one run.
//! `cargo bench --bench fleet` prints both and their ratio.
mod process;
#[path = "../tests/sockets/world.rs"]
mod world;

use process::compare;
use std::net::{SocketAddr, UdpSocket};
use world::*;

const MEMBERS: usize = 12;

/// A gateway before one backend; with a section it is one of the fleet.
fn gateway(discovery: &Discovery, counter: &Stub, place: usize, section: Option<String>) -> Node {
    let plain = config(discovery.stub.address, counter.address).replace("\"tick\":4000", "\"tick\":1000");
    let named = plain.replace("\"name\":\"n0\"", &format!("\"name\":\"n{place}\""));
    let config = match section {
        Some(section) => named.replacen('{', &format!("{{\"fleet\":{section},"), 1),
        None => named,
    };
    let mut node = Node::spawn(program(&config));
    if config.contains("fleet") {
        let line = node.wait_for_line("listening");
        node.address = line.split("address=").nth(1).and_then(|a| a.trim().parse().ok()).expect("an address");
    }
    node.wait_ready();
    node
}

fn main() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-0", backend.address, "ready"));
    let counter = counter();
    let off = gateway(&discovery, &counter, 0, None);
    // Ports that are free now; another process may take one in between, and the bench ends.
    let free: Vec<UdpSocket> =
        (0..MEMBERS).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    let ports: Vec<SocketAddr> = free.iter().map(|socket| socket.local_addr().expect("bound")).collect();
    drop(free);
    let section = |place: usize| format!(r#"{{"listen":"{}","join":["{}"]}}"#, ports[place], ports[0]);
    let members: Vec<Node> =
        (0..MEMBERS).map(|place| gateway(&discovery, &counter, place, Some(section(place)))).collect();
    members[0].wait_for_line("name=\"n11\"");
    let ([off, on], ratio) = compare([&off, &members[0]]);
    println!("us a request, min median max: fleet off {off:.1?}, one of {MEMBERS} {on:.1?}");
    println!("on / off, pair by pair: {ratio:.3?}");
}
