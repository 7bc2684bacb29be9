//! The cost of fleet membership for requests: CPU time of a gateway per request, without a `fleet` section and as one
//! of twelve members, in one run. `cargo bench --bench fleet` prints both and their ratio.
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
    let alone = gateway(&discovery, &counter, 0, None);
    let ports = free_ports(MEMBERS);
    let section = |index: usize| format!(r#"{{"listen":"{}","join":["{}"]}}"#, ports[index], ports[0]);
    let members: Vec<Node> =
        (0..MEMBERS).map(|index| gateway(&discovery, &counter, index, Some(section(index)))).collect();
    members[0].wait_for_line("name=\"n11\"");
    let ([alone, member], ratio) = compare([&alone, &members[0]]);
    println!(
        "us per request, min median max: without fleet {alone:.1?}, one of {MEMBERS} members {member:.1?}"
    );
    println!("member / without fleet, per pair: {ratio:.3?}");
}
