//! Prints a digest of every action that gateways take in a simulation, to compare two builds of this crate. Equal
//! digests mean that every action, its time and the order of random draws are the same.
//!
//! `decision_trace SEEDS [SCENARIO] [--dump]` runs seeds 0 to SEEDS - 1 of each scenario (or of the named one) and
//! prints a digest of each scenario and a total. `--dump` prints each recorded line as numbers, to locate the first
//! difference.
//!
//! No Rust identifier is printed or hashed, so renames do not change the digest.

mod backends;
mod counter;
mod scenarios;
mod simulation;
mod trace;

use simulation::Simulation;
use std::process::ExitCode;
use trace::Trace;

const USAGE: &str = "usage: decision_trace SEEDS [SCENARIO] [--dump]";

fn main() -> ExitCode {
    let (flags, arguments): (Vec<String>, Vec<String>) =
        std::env::args().skip(1).partition(|argument| argument.starts_with("--"));
    let dump = flags.iter().any(|flag| flag == "--dump");
    let Some(seeds) = arguments.first().and_then(|argument| argument.parse::<u64>().ok()) else {
        eprintln!("{USAGE}");
        return ExitCode::FAILURE;
    };
    let selected = arguments.get(1);
    let mut total = Trace::default();
    for scenario in scenarios::all() {
        if selected.is_some_and(|name| name != scenario.name) {
            continue;
        }
        let mut digests = Trace::default();
        let (mut lines, mut events) = (0, 0);
        for seed in 0..seeds {
            let mut simulation = Simulation::new(&scenario, seed, Trace::new(dump));
            simulation.run();
            digests.record(&[seed, simulation.trace.digest()]);
            lines += simulation.trace.lines;
            events += simulation.events;
        }
        println!("{} {:016x} events={events} lines={lines}", scenario.name, digests.digest());
        total.record(&[digests.digest()]);
    }
    println!("total {:016x} seeds={seeds}", total.digest());
    ExitCode::SUCCESS
}
