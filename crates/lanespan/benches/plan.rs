//! The cost of the fleet document for requests: CPU time of a gateway per request, without a `fleet` section, as one of
//! three voters with a majority, and after the majority is lost, in one run. `cargo bench --bench plan` prints all
//! three and their ratios.
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
    let alone = gateway(&discovery, &counter, 0, None);
    let (membership_addresses, replication_addresses) = (free_ports(VOTERS), free_ports(VOTERS));
    let directory = std::env::temp_dir().join(format!("lanespan-plan-bench-{}", std::process::id()));
    let voters =
        (0..VOTERS).map(|i| format!(r#""n{i}":{{"zone":"a","address":"{}"}}"#, replication_addresses[i]));
    let voters = voters.collect::<Vec<_>>().join(",");
    let section = |index: usize| {
        let store = directory.join(index.to_string());
        format!(
            r#"{{"listen":"{}","join":["{}"],"plan":{{"listen":"{}","directory":"{}","voters":{{{voters}}}}}}}"#,
            membership_addresses[index],
            membership_addresses[0],
            replication_addresses[index],
            store.display()
        )
    };
    let mut members: Vec<Node> =
        (0..VOTERS).map(|index| gateway(&discovery, &counter, index, Some(section(index)))).collect();
    members[0].wait_for_line("plan: changed index=2");
    let ([alone_first, voter], ratio) = compare([&alone, &members[0]]);
    println!("us per request, min median max: without fleet {alone_first:.1?}, voter {voter:.1?}");
    println!("voter / without fleet, per pair: {ratio:.3?}");
    members.truncate(1);
    members[0].wait_for_line("plan: no heartbeat from a leader");
    let ([alone_second, without_majority], ratio) = compare([&alone, &members[0]]);
    println!(
        "us per request: without fleet {alone_second:.1?}, voter without a majority {without_majority:.1?}"
    );
    println!("voter without a majority / without fleet, per pair: {ratio:.3?}");
    // A failed removal only leaves temporary files.
    let _ = std::fs::remove_dir_all(directory);
}
