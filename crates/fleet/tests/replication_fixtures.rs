//! What the base build (c48a8dd) wrote and sent, kept as files: every message and record of the replicated document
//! is encoded and decoded as it was there, and a seeded run of voters gives the same history.

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

const DOCUMENT: u64 = 7;
const SECOND: u64 = 1_000_000;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex")).collect()
}

fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(&path).unwrap_or_default()
}

/// Compares with the file of the base build, and leaves what came out instead beside the build's other files.
fn assert_fixture(name: &str, found: &str) {
    if found != fixture(name) {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, found).expect("written");
        panic!("{name} differs from what the base build wrote; this build's is in {}", path.display());
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

/// A document with an item in two sections, one of them from an entry.
fn document() -> Document {
    let voters = BTreeMap::from([("g0".to_string(), r#"{"id":1}"#.to_string())]);
    let mut document = Document::bootstrap(DOCUMENT, &voters);
    let change = Proposal { expected_index: None, expected_item_index: None, lease: None, ..proposal(41) };
    let text = serde_json::to_string(&change).expect("a form");
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
    let refusals = [
        Rejection::DocumentChanged(4),
        Rejection::ItemChanged(5),
        Rejection::Fenced(LogPosition { term: 6, index: 7 }),
        Rejection::Invalid("too long".into()),
        Rejection::DocumentFull,
    ];
    let refused = refusals.into_iter().map(Verdict::Rejected);
    [Verdict::Accepted(2), Verdict::Duplicate(3)].into_iter().chain(refused).collect()
}

fn postcard(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("a form")
}

fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("a form")
}

/// One of each kind of value that is stored or sent, built here by its fields.
fn samples() -> Vec<(String, Vec<u8>)> {
    let entries = CatchUp::Entries(vec![entry(), Entry { index: 7, ..entry() }]);
    let whole = CatchUp::Snapshot(Box::new(document()));
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
        ("postcard news entries".to_string(), postcard(&(DOCUMENT, Some(entries)))),
        ("postcard news whole".to_string(), postcard(&(DOCUMENT, Some(whole)))),
        ("postcard news none".to_string(), postcard(&(DOCUMENT, None::<CatchUp>))),
        ("json proposal".to_string(), json(&proposal(77))),
        ("json proposal removes".to_string(), json(&Proposal { value: None, lease: None, ..proposal(78) })),
        ("json token".to_string(), json(&LogPosition { term: 3, index: 4 })),
    ];
    let verdicts = verdicts().into_iter().enumerate();
    samples.extend(verdicts.map(|(place, verdict)| (format!("json verdict {place}"), json(&verdict))));
    samples
}

fn again<T: Serialize + DeserializeOwned>(name: &str, bytes: &[u8]) -> Vec<u8> {
    match name.split(' ').next() {
        Some("postcard") => postcard(&postcard::from_bytes::<T>(bytes).expect(name)),
        _ => json(&serde_json::from_slice::<T>(bytes).expect(name)),
    }
}

/// Decodes and encodes again what is of this name.
fn decoded_and_encoded(name: &str, bytes: &[u8]) -> Vec<u8> {
    match name.split(' ').nth(1).expect("a kind") {
        "token" => again::<LogPosition>(name, bytes),
        "entry" => again::<Entry>(name, bytes),
        "record" => again::<LogRecord>(name, bytes),
        "snapshot" => again::<Snapshot>(name, bytes),
        "promise" => again::<HardState>(name, bytes),
        "write" => again::<LogWrite>(name, bytes),
        "document" => again::<Document>(name, bytes),
        "news" => again::<(u64, Option<CatchUp>)>(name, bytes),
        "proposal" => again::<Proposal>(name, bytes),
        "verdict" => again::<Verdict>(name, bytes),
        "letters" => again::<Vec<RaftMessage>>(name, bytes),
        other => panic!("unknown kind {other}"),
    }
}

#[test]
fn every_stored_and_sent_value_has_the_bytes_of_the_base_build() {
    let found = samples().iter().fold(String::new(), |mut text, (name, bytes)| {
        let _ = writeln!(text, "{name}: {}", hex(bytes));
        text
    });
    assert_fixture("plan_values.txt", &found);
    for line in fixture("plan_values.txt").lines() {
        let (name, bytes) = line.split_once(": ").expect("a name");
        assert_eq!(hex(&decoded_and_encoded(name, &unhex(bytes))), bytes, "{name}");
    }
}

/// Voters that hear each other at once and whose disks take no time, so that nothing but them decides what is sent.
struct Voters {
    voters: Vec<(Voter, DurableState)>,
    on_the_way: VecDeque<RaftMessage>,
    /// Whose letters are lost.
    lost: BTreeSet<u64>,
    /// The bytes of the first letter of each kind.
    kinds: BTreeMap<u8, Vec<u8>>,
    /// Every output of every voter, in order.
    history: Vec<u8>,
}

impl Voters {
    fn new() -> Voters {
        let named = (1..=3).map(|id| (format!("g{id}"), id.to_string())).collect();
        let first =
            DurableState::bootstrap(&Document::bootstrap(DOCUMENT, &named), vec![1, 2, 3]).expect("a form");
        let disks = [first.clone(), first.clone(), first, DurableState::empty()];
        let voters = (1..).zip(disks);
        let voters =
            voters.map(|(id, disk)| (Voter::new(id, DOCUMENT, &disk, id * 11).expect("sound"), disk));
        Voters {
            voters: voters.collect(),
            on_the_way: VecDeque::new(),
            lost: BTreeSet::new(),
            kinds: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    fn voter(&mut self, id: u64) -> &mut Voter {
        &mut self.voters[id as usize - 1].0
    }

    fn leader(&self) -> u64 {
        let leads = self.voters.iter().find(|(voter, _)| voter.is_leader());
        leads.map(|(voter, _)| voter.id()).expect("one leads")
    }

    fn take_outputs(&mut self) -> bool {
        let mut any = false;
        for place in 0..self.voters.len() {
            for output in self.voters[place].0.poll_outputs() {
                any = true;
                self.take_output(place, output);
            }
        }
        any
    }

    fn take_output(&mut self, place: usize, output: Output) {
        let (code, bytes) = match output {
            Output::Send(letter) => {
                let bytes = postcard(&vec![letter.clone()]);
                // One letter; after it document, receiver and sender, a byte each here, stands the kind.
                self.kinds.entry(bytes[4]).or_insert_with(|| bytes.clone());
                if !self.lost.contains(&letter.from) && !self.lost.contains(&letter.to) {
                    self.on_the_way.push_back(letter);
                }
                (0, bytes)
            }
            Output::Write { number, write } => {
                let (voter, disk) = &mut self.voters[place];
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
        self.history.extend([place as u8, code]);
        self.history.extend(bytes);
    }

    fn settle(&mut self) {
        while self.take_outputs() || !self.on_the_way.is_empty() {
            if let Some(letter) = self.on_the_way.pop_front() {
                if let Some((voter, _)) = self.voters.get_mut(letter.to as usize - 1) {
                    voter.receive(&letter);
                }
            }
        }
    }

    fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.voters.iter_mut().for_each(|(voter, _)| voter.tick());
            self.settle();
        }
    }

    fn propose(&mut self, ids: std::ops::RangeInclusive<u64>) {
        let leader = self.leader();
        for id in ids {
            let plain =
                Proposal { expected_index: None, expected_item_index: None, lease: None, ..proposal(id) };
            self.voter(leader).propose(&plain).expect("it leads");
            self.settle();
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
        self.voter(leader).change_voters(change, &plain).expect("it leads");
        self.settle();
    }
}

/// A run that makes voters send each kind of message that they send at all.
fn scripted_run() -> Voters {
    let mut net = Voters::new();
    net.ticks(40);
    net.propose(1..=3);
    let first = net.leader();
    net.voter(first).confirm_leadership(99);
    net.settle();
    // Whoever follows passes the wish on to the leader.
    let other = (1..=3).find(|id| *id != first).expect("another");
    net.voter(other).transfer_leadership(other);
    net.settle();
    net.ticks(5);
    // One that was away lags behind what the log keeps, and gets the state.
    let leader = net.leader();
    let away = (1..=3).find(|id| *id != leader).expect("another");
    net.lost.insert(away);
    net.propose(1_000..=3_200);
    net.lost.clear();
    net.voter(leader).report_unreachable(away);
    net.ticks(30);
    net.change(5_000, VoterChange::Add(4));
    net.ticks(30);
    net.change(5_001, VoterChange::Remove(away));
    net.ticks(30);
    net
}

#[test]
fn voters_send_and_write_the_bytes_of_the_base_build_and_read_every_kind_of_message() {
    let net = scripted_run();
    let mut letters = net.kinds.clone();
    // Kinds that the engine knows and these voters never send, in the form of a heartbeat.
    for kind in 0..13 {
        let mut letter = net.kinds[&5].clone();
        letter[4] = kind;
        letters.entry(kind).or_insert(letter);
    }
    assert!(net.kinds.len() >= 10, "{:?}", net.kinds.keys());
    let mut found = String::new();
    for (kind, bytes) in &letters {
        // A snapshot is long: its digest stands for it.
        let form = if bytes.len() < 4_096 { hex(bytes) } else { format!("digest {:016x}", xxh3_64(bytes)) };
        let _ = writeln!(found, "postcard letters {kind}: {form}");
        assert_eq!(decoded_and_encoded("postcard letters", bytes), *bytes);
    }
    let _ = writeln!(found, "history {} bytes, {:016x}", net.history.len(), xxh3_64(&net.history));
    for (voter, disk) in &net.voters {
        let disk = postcard(&(disk.hard_state, disk.base, &disk.snapshot, &disk.records));
        let _ = writeln!(found, "disk of {}: {} bytes, {:016x}", voter.id(), disk.len(), xxh3_64(&disk));
    }
    assert_fixture("plan_letters.txt", &found);
}

/// Faults of all kinds over a seeded network; all that can be seen of it.
fn simulated_history(seed: u64) -> String {
    let mut net = Network::new(3, 1, seed);
    net.conditions.loss = 0.1;
    net.conditions.duplication = 0.1;
    let mut told = String::new();
    for id in 1..=200u64 {
        match net.rng.u8(..12) {
            0 => {
                let victim = net.rng.usize(..3);
                net.crash(victim);
            }
            1 => {
                let still = net.rng.usize(..3);
                net.stall(still, SECOND);
            }
            2 => net.partition(&[id as usize % 3]),
            3..=5 => net.cut.clear(),
            6 => (0..3).for_each(|place| _ = net.change_voters(place, 10_000 + id, VoterChange::Add(4))),
            7 => (0..3).for_each(|place| _ = net.change_voters(place, 20_000 + id, VoterChange::Remove(4))),
            _ => {}
        }
        for place in 0..net.voters.len() {
            if net.voters[place].voter.is_none() && net.rng.bool() {
                assert!(net.start(place));
            }
            let _ = net.propose(place, id, id, None);
            let _ = net.with_voter(place, |voter| {
                voter.confirm_leadership(id);
                Ok(())
            });
        }
        let pause = net.rng.u64(..SECOND / 2);
        net.run(pause);
        let leader = net.leader().and_then(|place| net.voters[place].voter.as_ref());
        let place = leader.map(|voter| (voter.id(), voter.log_position().to_string()));
        let _ = writeln!(told, "{id} at {}: {} sent, {place:?} leads", net.now, net.sent);
    }
    for sim in &net.voters {
        let decided: Vec<String> =
            sim.decided.iter().map(|decided| String::from_utf8_lossy(&json(decided)).into_owned()).collect();
        let entries = hex(&postcard(&sim.entries));
        let disk = &sim.disk;
        let disk = hex(&postcard(&(disk.hard_state, disk.base, &disk.snapshot, &disk.records)));
        let _ = writeln!(told, "{decided:?} {entries} {:?} {:?} {disk}", sim.confirmed, sim.halted);
    }
    told
}

#[test]
fn seeded_simulations_have_the_histories_of_the_base_build() {
    let mut found = String::new();
    for seed in 1..=8 {
        let told = simulated_history(seed);
        let _ = writeln!(found, "seed {seed}: {} bytes, {:016x}", told.len(), xxh3_64(told.as_bytes()));
    }
    assert_fixture("plan_histories.txt", &found);
}
