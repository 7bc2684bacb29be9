//! Compares the replicated document with the base build (c48a8dd), whose output is kept in fixture files. Every message
//! and record must have the same encoding, and a seeded run of voters must give the same history.

use lanespan_fleet::replication::document::{
    Document, Entry, LeaseProof, LogPosition, Proposal, Rejection, Verdict, SCHEMA_VERSION,
};
use lanespan_fleet::replication::log::{DurableState, HardState, LogWrite};
use lanespan_fleet::replication::replica::CatchUp;
use lanespan_fleet::replication::sim::Network;
use lanespan_fleet::replication::voter::{Output, Voter, VoterChange};
use lanespan_fleet::replication::wire::{LogRecord, RaftMessage, Snapshot};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

const DOCUMENT_ID: u64 = 7;
/// One second, in microseconds.
const SECOND: u64 = 1_000_000;

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|offset| u8::from_str_radix(&text[offset..offset + 2], 16).expect("hexadecimal digits"))
        .collect()
}

fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(&path).unwrap_or_default()
}

/// Compares the output of this build with a fixture file. If they differ, writes the output to the target directory and
/// panics.
fn assert_fixture(name: &str, found: &str) {
    if found != fixture(name) {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, found).expect("the output is written");
        panic!(
            "{name} differs from the output of the base build; the output of this build is in {}",
            path.display()
        );
    }
}

fn proposal(id: u64) -> Proposal {
    Proposal {
        id,
        schema: SCHEMA_VERSION,
        proposer: "g0".into(),
        reason: "a fixture".into(),
        evidence: "0123abcd".into(),
        expected_index: Some(3),
        expected_item_index: Some(2),
        lease: Some(LeaseProof { role: "work".into(), token: LogPosition { term: 4, index: 5 } }),
        section: "versions".into(),
        key: "floor".into(),
        value: Some("17".into()),
    }
}

fn entry() -> Entry {
    let position = LogPosition { term: 300, index: 70_000 };
    Entry { index: 6, position, text: r#"{"id":9}"#.into(), digest: 0xfeed_0123_4567_89ab }
}

/// Creates a document with an item in each of two sections, one of which comes from an entry.
fn document() -> Document {
    let voters = BTreeMap::from([("g0".to_string(), r#"{"id":1}"#.to_string())]);
    let mut document = Document::bootstrap(DOCUMENT_ID, &voters);
    let change = Proposal { expected_index: None, expected_item_index: None, lease: None, ..proposal(41) };
    let text = serde_json::to_string(&change).expect("the value can be encoded");
    assert_eq!(document.apply(LogPosition { term: 2, index: 8 }, &text).0, Verdict::Accepted(1));
    document
}

fn record() -> LogRecord {
    LogRecord {
        kind: 1,
        position: LogPosition { term: 2, index: 300 },
        data: vec![1, 2, 200],
        context: b"text".to_vec(),
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        position: LogPosition { term: 3, index: 400 },
        voters: vec![1, 2, 500],
        document: vec![9, 8, 7],
    }
}

fn verdicts() -> Vec<Verdict> {
    let rejections = [
        Rejection::DocumentChanged(4),
        Rejection::ItemChanged(5),
        Rejection::Fenced(LogPosition { term: 6, index: 7 }),
        Rejection::Invalid("too long".into()),
        Rejection::DocumentFull,
    ];
    let rejected = rejections.into_iter().map(Verdict::Rejected);
    [Verdict::Accepted(2), Verdict::Duplicate(3)].into_iter().chain(rejected).collect()
}

fn postcard(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("the value can be encoded")
}

fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("the value can be encoded")
}

/// Returns one encoded value of each kind that is stored or sent, with the kind's name.
fn samples() -> Vec<(String, Vec<u8>)> {
    let entries = CatchUp::Entries(vec![entry(), Entry { index: 7, ..entry() }]);
    let snapshot_catch_up = CatchUp::Snapshot(Box::new(document()));
    let hard_state = HardState { term: 11, vote: 12, commit: 13 };
    let write = LogWrite {
        snapshot: Some(snapshot()),
        base: Some(LogPosition { term: 1, index: 2 }),
        records: vec![record()],
        hard_state: Some(hard_state),
    };
    let mut samples = vec![
        ("postcard token".to_string(), postcard(&LogPosition { term: 300, index: 70_000 })),
        ("postcard entry".to_string(), postcard(&entry())),
        ("postcard record".to_string(), postcard(&record())),
        ("postcard snapshot".to_string(), postcard(&snapshot())),
        ("postcard promise".to_string(), postcard(&hard_state)),
        ("postcard write".to_string(), postcard(&write)),
        ("postcard document".to_string(), postcard(&document())),
        ("postcard news entries".to_string(), postcard(&(DOCUMENT_ID, Some(entries)))),
        ("postcard news whole".to_string(), postcard(&(DOCUMENT_ID, Some(snapshot_catch_up)))),
        ("postcard news none".to_string(), postcard(&(DOCUMENT_ID, None::<CatchUp>))),
        ("json proposal".to_string(), json(&proposal(77))),
        ("json proposal removes".to_string(), json(&Proposal { value: None, lease: None, ..proposal(78) })),
        ("json token".to_string(), json(&LogPosition { term: 3, index: 4 })),
    ];
    let verdicts = verdicts().into_iter().enumerate();
    samples.extend(verdicts.map(|(index, verdict)| (format!("json verdict {index}"), json(&verdict))));
    samples
}

fn reencode_as<T: Serialize + DeserializeOwned>(name: &str, bytes: &[u8]) -> Vec<u8> {
    match name.split(' ').next() {
        Some("postcard") => postcard(&postcard::from_bytes::<T>(bytes).expect(name)),
        _ => json(&serde_json::from_slice::<T>(bytes).expect(name)),
    }
}

/// Decodes a value of the kind that its name gives, and encodes it again.
fn reencode(name: &str, bytes: &[u8]) -> Vec<u8> {
    match name.split(' ').nth(1).expect("the name has a kind") {
        "token" => reencode_as::<LogPosition>(name, bytes),
        "entry" => reencode_as::<Entry>(name, bytes),
        "record" => reencode_as::<LogRecord>(name, bytes),
        "snapshot" => reencode_as::<Snapshot>(name, bytes),
        "promise" => reencode_as::<HardState>(name, bytes),
        "write" => reencode_as::<LogWrite>(name, bytes),
        "document" => reencode_as::<Document>(name, bytes),
        "news" => reencode_as::<(u64, Option<CatchUp>)>(name, bytes),
        "proposal" => reencode_as::<Proposal>(name, bytes),
        "verdict" => reencode_as::<Verdict>(name, bytes),
        "letters" => reencode_as::<Vec<RaftMessage>>(name, bytes),
        other => panic!("unknown kind {other} in the name of a value"),
    }
}

#[test]
fn stored_and_sent_values_have_the_encoding_of_the_base_build() {
    let found = samples().iter().fold(String::new(), |mut text, (name, bytes)| {
        let _ = writeln!(text, "{name}: {}", encode_hex(bytes));
        text
    });
    assert_fixture("plan_values.txt", &found);
    for line in fixture("plan_values.txt").lines() {
        let (name, bytes) = line.split_once(": ").expect("the line has a name");
        assert_eq!(encode_hex(&reencode(name, &decode_hex(bytes))), bytes, "{name}");
    }
}

/// Voters with immediate delivery of messages and immediate writes, so that their outputs depend on nothing else.
struct Voters {
    voters: Vec<(Voter, DurableState)>,
    in_flight: VecDeque<RaftMessage>,
    /// The voters whose messages are lost, in both directions.
    lost: BTreeSet<u64>,
    /// The bytes of the first message of each kind.
    first_of_kind: BTreeMap<u8, Vec<u8>>,
    /// The outputs of all voters, in order.
    history: Vec<u8>,
}

impl Voters {
    fn new() -> Voters {
        let items = (1..=3).map(|id| (format!("g{id}"), id.to_string())).collect();
        let first = DurableState::bootstrap(&Document::bootstrap(DOCUMENT_ID, &items), vec![1, 2, 3])
            .expect("the value can be encoded");
        let disks = [first.clone(), first.clone(), first, DurableState::empty()];
        let voters = (1..).zip(disks);
        let voters = voters
            .map(|(id, disk)| (Voter::new(id, DOCUMENT_ID, &disk, id * 11).expect("the voter starts"), disk));
        Voters {
            voters: voters.collect(),
            in_flight: VecDeque::new(),
            lost: BTreeSet::new(),
            first_of_kind: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    fn voter(&mut self, id: u64) -> &mut Voter {
        &mut self.voters[id as usize - 1].0
    }

    fn leader(&self) -> u64 {
        let leader = self.voters.iter().find(|(voter, _)| voter.is_leader());
        leader.map(|(voter, _)| voter.id()).expect("a voter is the leader")
    }

    fn handle_outputs(&mut self) -> bool {
        let mut any = false;
        for index in 0..self.voters.len() {
            for output in self.voters[index].0.poll_outputs() {
                any = true;
                self.handle_output(index, output);
            }
        }
        any
    }

    fn handle_output(&mut self, index: usize, output: Output) {
        let (code, bytes) = match output {
            Output::Send(message) => {
                let bytes = postcard(&vec![message.clone()]);
                // The bytes are the number of messages, then the document, the receiver and the sender, one byte each
                // here, and then the kind.
                self.first_of_kind.entry(bytes[4]).or_insert_with(|| bytes.clone());
                if !self.lost.contains(&message.from) && !self.lost.contains(&message.to) {
                    self.in_flight.push_back(message);
                }
                (0, bytes)
            }
            Output::Write { number, write } => {
                let (voter, disk) = &mut self.voters[index];
                disk.apply(&write);
                voter.persisted(number);
                (1, postcard(&(number, write)))
            }
            Output::Decided { id, verdict, entry } => (2, postcard(&(id, verdict, entry))),
            Output::SnapshotInstalled => (3, Vec::new()),
            Output::LeadershipConfirmed(number) => (4, postcard(&number)),
            Output::LeaderChanged { leader, term } => (5, postcard(&(leader, term))),
            Output::Halted(reason) => panic!("halted: {reason}"),
        };
        self.history.extend([index as u8, code]);
        self.history.extend(bytes);
    }

    fn deliver_all(&mut self) {
        while self.handle_outputs() || !self.in_flight.is_empty() {
            if let Some(message) = self.in_flight.pop_front() {
                if let Some((voter, _)) = self.voters.get_mut(message.to as usize - 1) {
                    voter.receive(&message);
                }
            }
        }
    }

    fn run_ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.voters.iter_mut().for_each(|(voter, _)| voter.tick());
            self.deliver_all();
        }
    }

    fn propose(&mut self, ids: std::ops::RangeInclusive<u64>) {
        let leader = self.leader();
        for id in ids {
            let plain =
                Proposal { expected_index: None, expected_item_index: None, lease: None, ..proposal(id) };
            self.voter(leader).propose(&plain).expect("the voter is the leader");
            self.deliver_all();
        }
    }

    fn change(&mut self, id: u64, change: VoterChange) {
        let (name, value) = match change {
            VoterChange::Add(voter) => (format!("g{voter}"), Some(voter.to_string())),
            VoterChange::Remove(voter) => (format!("g{voter}"), None),
        };
        let plain = Proposal { expected_index: None, expected_item_index: None, lease: None, ..proposal(id) };
        let plain = Proposal { section: "voters".into(), key: name, value, ..plain };
        let leader = self.leader();
        self.voter(leader).change_voters(change, &plain).expect("the voter is the leader");
        self.deliver_all();
    }
}

/// Runs voters through steps that make them send every kind of message that voters send.
fn scripted_run() -> Voters {
    let mut net = Voters::new();
    net.run_ticks(40);
    net.propose(1..=3);
    let first = net.leader();
    net.voter(first).confirm_leadership(99);
    net.deliver_all();
    // A follower forwards the request for a transfer of leadership to the leader.
    let other = (1..=3).find(|id| *id != first).expect("there are other voters");
    net.voter(other).transfer_leadership(other);
    net.deliver_all();
    net.run_ticks(5);
    // A voter that missed more entries than the log retains gets a snapshot.
    let leader = net.leader();
    let away = (1..=3).find(|id| *id != leader).expect("there are other voters");
    net.lost.insert(away);
    net.propose(1_000..=3_200);
    net.lost.clear();
    net.voter(leader).report_unreachable(away);
    net.run_ticks(30);
    net.change(5_000, VoterChange::Add(4));
    net.run_ticks(30);
    net.change(5_001, VoterChange::Remove(away));
    net.run_ticks(30);
    net
}

#[test]
fn voters_send_and_write_the_bytes_of_the_base_build_and_decode_every_kind_of_message() {
    let net = scripted_run();
    let mut messages = net.first_of_kind.clone();
    // Kinds that the Raft library knows but these voters never send are added as copies of a heartbeat.
    for kind in 0..13 {
        let mut message = net.first_of_kind[&5].clone();
        message[4] = kind;
        messages.entry(kind).or_insert(message);
    }
    assert!(net.first_of_kind.len() >= 10, "{:?}", net.first_of_kind.keys());
    let mut found = String::new();
    for (kind, bytes) in &messages {
        // A snapshot is long, so the fixture has only its digest.
        let form =
            if bytes.len() < 4_096 { encode_hex(bytes) } else { format!("digest {:016x}", xxh3_64(bytes)) };
        let _ = writeln!(found, "postcard letters {kind}: {form}");
        assert_eq!(reencode("postcard letters", bytes), *bytes);
    }
    let _ = writeln!(found, "history {} bytes, {:016x}", net.history.len(), xxh3_64(&net.history));
    for (voter, disk) in &net.voters {
        let disk = postcard(&(disk.hard_state, disk.base, &disk.snapshot, &disk.records));
        let _ = writeln!(found, "disk of {}: {} bytes, {:016x}", voter.id(), disk.len(), xxh3_64(&disk));
    }
    assert_fixture("plan_letters.txt", &found);
}

/// Runs a seeded network with faults of all kinds, and returns its observable history as text.
fn simulated_history(seed: u64) -> String {
    let mut net = Network::new(3, 1, seed);
    net.conditions.loss = 0.1;
    net.conditions.duplication = 0.1;
    let mut history = String::new();
    for id in 1..=200u64 {
        match net.rng.u8(..12) {
            0 => {
                let crashed = net.rng.usize(..3);
                net.crash(crashed);
            }
            1 => {
                let stalled = net.rng.usize(..3);
                net.stall(stalled, SECOND);
            }
            2 => net.partition(&[id as usize % 3]),
            3..=5 => net.cut.clear(),
            6 => (0..3).for_each(|index| _ = net.change_voters(index, 10_000 + id, VoterChange::Add(4))),
            7 => (0..3).for_each(|index| _ = net.change_voters(index, 20_000 + id, VoterChange::Remove(4))),
            _ => {}
        }
        for index in 0..net.voters.len() {
            if net.voters[index].voter.is_none() && net.rng.bool() {
                assert!(net.start(index));
            }
            let _ = net.propose(index, id, id, None);
            let _ = net.with_voter(index, |voter| {
                voter.confirm_leadership(id);
                Ok(())
            });
        }
        let pause = net.rng.u64(..SECOND / 2);
        net.run(pause);
        let leader = net.leader().and_then(|index| net.voters[index].voter.as_ref());
        let leader = leader.map(|voter| (voter.id(), voter.log_position().to_string()));
        let _ = writeln!(history, "{id} at {}: {} sent, {leader:?} leads", net.now, net.sent);
    }
    for sim in &net.voters {
        let decided: Vec<String> =
            sim.decided.iter().map(|decided| String::from_utf8_lossy(&json(decided)).into_owned()).collect();
        let entries = encode_hex(&postcard(&sim.entries));
        let disk = &sim.disk;
        let disk = encode_hex(&postcard(&(disk.hard_state, disk.base, &disk.snapshot, &disk.records)));
        let _ = writeln!(history, "{decided:?} {entries} {:?} {:?} {disk}", sim.confirmed, sim.halted);
    }
    history
}

#[test]
fn seeded_simulations_have_the_histories_of_the_base_build() {
    let mut found = String::new();
    for seed in 1..=8 {
        let history = simulated_history(seed);
        let _ = writeln!(found, "seed {seed}: {} bytes, {:016x}", history.len(), xxh3_64(history.as_bytes()));
    }
    assert_fixture("plan_histories.txt", &found);
}
