//! Checks compatibility with what the base build (c48a8dd) stored and sent, kept as fixture files: a voter's store is
//! read back entry by entry, and bodies of calls between gateways are decoded and encoded again without a difference.

use lanespan_fleet::replication::document::Proposal;
use lanespan_fleet::replication::log::DurableState;
use lanespan_fleet::replication::voter::Voter;
use lanespan_gateway::replication::store::{Owner, Store};
use lanespan_gateway::replication::{RenewalRequest, Reply, VoterChangeRequest, VoterHandshake};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Renders the entire contents of a store, with one line per value.
fn render(owner: Owner, durable: &DurableState) -> String {
    let DurableState { hard_state, base, snapshot, records } = durable;
    let mut text = String::new();
    let _ = writeln!(text, "owner {:016x} of {:016x}", owner.id, owner.document);
    let _ = writeln!(
        text,
        "promise term {} vote {} commit {}",
        hard_state.term, hard_state.vote, hard_state.commit
    );
    let _ = writeln!(text, "base {base}");
    let _ = writeln!(text, "snapshot {} voters {:?}", snapshot.position, snapshot.voters);
    let _ = writeln!(text, "document {}", hex(&snapshot.document));
    for record in records {
        let data = String::from_utf8_lossy(&record.data);
        let context = String::from_utf8_lossy(&record.context);
        let _ = writeln!(
            text,
            "entry {} kind {} data {data:?} context {context:?}",
            record.position, record.kind
        );
    }
    text
}

/// A store written by the base build must stay readable, with the same values.
#[test]
fn store_of_the_base_build_is_read_back_entry_by_entry_and_its_voter_starts() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("plan-store-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    std::fs::copy(fixture("plan.redb"), directory.join("plan.redb")).expect("the store is copied");
    let (store, durable) = Store::open(&directory, 1).expect("the store is opened");
    let (owner, durable) = (store.owner(), durable.expect("the store has a document"));
    let mut found = render(owner, &durable);
    let voter = Voter::new(owner.id, owner.document, &durable, 1).expect("the voter starts");
    let replica = voter.replica().expect("the voter is running");
    let version = replica.version();
    let _ = writeln!(
        found,
        "voter at {} index {} digest {:016x}",
        voter.log_position(),
        version.index,
        version.digest
    );
    let expected = std::fs::read_to_string(fixture("plan_store.txt")).unwrap_or_default();
    if found != expected {
        println!("{found}");
    }
    assert!(found == expected, "the contents differ from those that the base build wrote");
    drop(store);
    // A directory that can't be removed does not affect later runs.
    let _ = std::fs::remove_dir_all(directory);
}

fn reencode<T: Serialize + DeserializeOwned>(body: &str) -> String {
    serde_json::to_string(&serde_json::from_str::<T>(body).expect(body)).expect("the body is encoded")
}

/// The wire format must not change, because gateways of different builds call each other.
#[test]
fn bodies_of_calls_between_gateways_are_those_of_the_base_build() {
    let bodies = std::fs::read_to_string(fixture("plan_bodies.txt")).expect("the fixture is read");
    let mut kinds = std::collections::BTreeSet::new();
    for line in bodies.lines() {
        let (kind, body) = line.split_once(' ').expect("the line has a kind and a body");
        kinds.insert(kind);
        let found = match kind {
            "hello" => reencode::<VoterHandshake>(body),
            "renewal" => reencode::<RenewalRequest>(body),
            "answer" => reencode::<Reply>(body),
            "wish" => reencode::<VoterChangeRequest>(body),
            "proposal" => reencode::<Proposal>(body),
            other => panic!("unknown kind of body: {other}"),
        };
        assert_eq!(found, body);
    }
    assert_eq!(Vec::from_iter(kinds), ["answer", "hello", "proposal", "renewal", "wish"]);
}
