//! What presence costs requests: CPU of a gateway a request, without a `fleet` section and as one of twelve, in one run.
//! `cargo bench --bench fleet` prints both and their ratio.
#[path = "../tests/sockets/harness.rs"]
mod harness;
mod process;

use harness::*;
use process::{compare, free_ports, gateway};

const MEMBERS: usize = 12;

fn main() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-0", backend.address, "ready"));
    let counter = counter();
    let off = gateway(&discovery, &counter, 0, None);
    let ports = free_ports(MEMBERS);
    let section = |place: usize| format!(r#"{{"listen":"{}","join":["{}"]}}"#, ports[place], ports[0]);
    let members: Vec<Node> =
        (0..MEMBERS).map(|place| gateway(&discovery, &counter, place, Some(section(place)))).collect();
    members[0].wait_for_line("name=\"n11\"");
    let ([off, on], ratio) = compare([&off, &members[0]]);
    println!("us a request, min median max: fleet off {off:.1?}, one of {MEMBERS} {on:.1?}");
    println!("on / off, pair by pair: {ratio:.3?}");
}
