//! What the fleet plan costs requests: CPU of a gateway a request, without a `fleet` section, as one of three voters
//! with a majority, and with its majority lost, in one run. `cargo bench --bench plan` prints all and their ratios.
#[path = "../tests/sockets/harness.rs"]
mod harness;
mod process;

use harness::*;
use process::{compare, free_ports, gateway};

const VOTERS: usize = 3;

fn main() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-0", backend.address, "ready"));
    let counter = counter();
    let off = gateway(&discovery, &counter, 0, None);
    let (ports, plans) = (free_ports(VOTERS), free_ports(VOTERS));
    let directory = std::env::temp_dir().join(format!("lanespan-plan-bench-{}", std::process::id()));
    let voters = (0..VOTERS).map(|i| format!(r#""n{i}":{{"zone":"a","address":"{}"}}"#, plans[i]));
    let voters = voters.collect::<Vec<_>>().join(",");
    let section = |place: usize| {
        let store = directory.join(place.to_string());
        format!(
            r#"{{"listen":"{}","join":["{}"],"plan":{{"listen":"{}","directory":"{}","voters":{{{voters}}}}}}}"#,
            ports[place],
            ports[0],
            plans[place],
            store.display()
        )
    };
    let mut members: Vec<Node> =
        (0..VOTERS).map(|place| gateway(&discovery, &counter, place, Some(section(place)))).collect();
    members[0].wait_for_line("plan: changed index=2");
    let ([off_first, on], ratio) = compare([&off, &members[0]]);
    println!("us a request, min median max: no fleet {off_first:.1?}, a voter {on:.1?}");
    println!("voter / no fleet, pair by pair: {ratio:.3?}");
    members.truncate(1);
    members[0].wait_for_line("plan: no heartbeat from a leader");
    let ([off_then, lost], ratio) = compare([&off, &members[0]]);
    println!("us a request: no fleet {off_then:.1?}, a voter without a majority {lost:.1?}");
    println!("voter without a majority / no fleet, pair by pair: {ratio:.3?}");
    // What a bench leaves behind harms nobody.
    let _ = std::fs::remove_dir_all(directory);
}
