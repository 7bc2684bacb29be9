//! Measures how long a voter takes to restart, by the number of entries in its log:
//! `cargo bench --bench plan -p lanespan-gateway`. A log is compacted as it grows, so that a long one consists of a
//! snapshot and the latest entries.

use lanespan_fleet::replication::document::{Document, Proposal, SCHEMA_VERSION};
use lanespan_fleet::replication::log::DurableState;
use lanespan_fleet::replication::voter::{Output, Voter};
use lanespan_gateway::replication::store::{Store, WriteResult};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;

const RUNS: usize = 5;

/// Handles the outputs of the only voter of a document until there are no more. Every write is made durable.
fn process_outputs(
    voter: &mut Voter,
    store: &Store,
    results: &mut tokio::sync::mpsc::UnboundedReceiver<WriteResult>,
) {
    loop {
        let outputs = voter.poll_outputs();
        if outputs.is_empty() {
            return;
        }
        for output in outputs {
            if let Output::Write { number, write } = output {
                store.write(number, write).expect("the store accepts the write");
                assert_eq!(results.blocking_recv().expect("a result arrives"), Ok(number));
                voter.persisted(number);
            }
        }
    }
}

fn fill_store(directory: &Path, entries: u64) {
    let (mut store, _) = Store::open(directory, 1).expect("the store is created");
    let mut results = store.take_results().expect("the results are available");
    let durable = DurableState::bootstrap(&Document::bootstrap(1, &BTreeMap::new()), vec![1])
        .expect("the document is encoded");
    store.initialize(1, &durable).expect("the store accepts the initial state");
    assert_eq!(results.blocking_recv().expect("a result arrives"), Ok(0));
    let mut voter = Voter::new(1, 1, &durable, 1).expect("the voter starts");
    while !voter.is_leader() {
        voter.tick();
        process_outputs(&mut voter, &store, &mut results);
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
        voter.propose(&proposal).expect("the voter leads");
        // Proposals are written 50 at a time, because a sync for each would take too long.
        if id % 50 == 0 || id == entries {
            process_outputs(&mut voter, &store, &mut results);
        }
    }
}

fn main() {
    println!("entries  bytes on disk  ms to restart: min median max");
    for entries in [10, 1_000, 10_000, 100_000] {
        let name = format!("lanespan-recovery-{}-{entries}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fill_store(&directory, entries);
        let mut times = Vec::new();
        while times.len() < RUNS {
            let started_at = Instant::now();
            // The writer thread of the previous store may not have closed the file yet.
            let Ok((store, durable)) = Store::open(&directory, 2) else { continue };
            let voter = Voter::new(
                store.owner().id,
                store.owner().document,
                &durable.expect("the store has a document"),
                1,
            )
            .expect("the voter starts");
            times.push(started_at.elapsed().as_secs_f64() * 1e3);
            assert!(voter.replica().is_some_and(|replica| replica.document().index + 50 >= entries));
        }
        times.sort_by(f64::total_cmp);
        let bytes = std::fs::metadata(directory.join("plan.redb")).expect("the file exists").len();
        println!("{entries:>7}  {bytes:>13}  {:.1} {:.1} {:.1}", times[0], times[RUNS / 2], times[RUNS - 1]);
        // A directory that can't be removed does not affect later runs.
        let _ = std::fs::remove_dir_all(directory);
    }
}
