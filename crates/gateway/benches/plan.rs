//! How long a voter takes to be back with a log of so many entries: `cargo bench --bench plan -p lanespan-gateway`.
//! A log is cut as it grows, so that from some point on it is a state and the latest entries.

use lanespan_fleet::replication::document::{Document, Proposal, SCHEMA_VERSION};
use lanespan_fleet::replication::log::DurableState;
use lanespan_fleet::replication::voter::{Output, Voter};
use lanespan_gateway::replication::store::{Store, WriteResult};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;

const ROUNDS: usize = 5;

/// Carries out what a voter that is alone wants, with every write made durable.
fn settle(voter: &mut Voter, store: &Store, results: &mut tokio::sync::mpsc::UnboundedReceiver<WriteResult>) {
    loop {
        let outputs = voter.poll_outputs();
        if outputs.is_empty() {
            return;
        }
        for output in outputs {
            if let Output::Write { number, write } = output {
                store.write(number, write).expect("taken");
                assert_eq!(results.blocking_recv().expect("a result"), Ok(number));
                voter.persisted(number);
            }
        }
    }
}

fn fill(directory: &Path, entries: u64) {
    let (mut store, _) = Store::open(directory, 1).expect("a new one");
    let mut results = store.take_results().expect("once");
    let durable = DurableState::bootstrap(&Document::bootstrap(1, &BTreeMap::new()), vec![1])
        .expect("it can be encoded");
    store.begin(1, &durable).expect("taken");
    assert_eq!(results.blocking_recv().expect("a result"), Ok(0));
    let mut voter = Voter::new(1, 1, &durable, 1).expect("a voter");
    while !voter.is_leader() {
        voter.tick();
        settle(&mut voter, &store, &mut results);
    }
    for id in 1..=entries {
        let proposal = Proposal {
            id,
            schema: SCHEMA_VERSION,
            proposer: "bench".into(),
            reason: "a bench".into(),
            section: "work".into(),
            key: format!("b{}", id % 200),
            value: Some("x".repeat(100)),
            ..Proposal::default()
        };
        voter.propose(&proposal).expect("it leads");
        // Some at a time, as a sync each would take the day.
        if id % 50 == 0 || id == entries {
            settle(&mut voter, &store, &mut results);
        }
    }
}

fn main() {
    println!("entries  bytes on disk  ms until it is back: least median most");
    for entries in [10, 1_000, 10_000, 100_000] {
        let name = format!("lanespan-recovery-{}-{entries}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fill(&directory, entries);
        let mut times = Vec::new();
        while times.len() < ROUNDS {
            let from = Instant::now();
            // The thread of the life before may hold it for a moment more.
            let Ok((store, durable)) = Store::open(&directory, 2) else { continue };
            let voter = Voter::new(store.owner().id, store.owner().document, &durable.expect("there"), 1)
                .expect("sound");
            times.push(from.elapsed().as_secs_f64() * 1e3);
            assert!(voter.replica().is_some_and(|replica| replica.document().index + 50 >= entries));
        }
        times.sort_by(f64::total_cmp);
        let bytes = std::fs::metadata(directory.join("plan.redb")).expect("there").len();
        println!(
            "{entries:>7}  {bytes:>13}  {:.1} {:.1} {:.1}",
            times[0],
            times[ROUNDS / 2],
            times[ROUNDS - 1]
        );
        // What a bench leaves behind harms nobody.
        let _ = std::fs::remove_dir_all(directory);
    }
}
