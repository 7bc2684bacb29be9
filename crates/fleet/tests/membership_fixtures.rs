//! Compatibility tests against fixtures that an earlier build wrote: the bytes of each kind of datagram, all outputs of
//! the gateways of a seeded network, and the JSON of their views.
//!
//! `LANESPAN_WRITE_FIXTURES=1 cargo test -p lanespan-fleet --test membership_fixtures` rewrites the fixtures. A
//! difference in them is a change of the protocol or of the behavior.

use lanespan_fleet::facts::Facts;
use lanespan_fleet::membership::{Config, NameConflict, Output};
use lanespan_fleet::node::Node;
use lanespan_fleet::replication::replica::DocumentVersion;
use lanespan_fleet::sim::{LinkConditions, SimulatedNetwork, SECOND};
use lanespan_fleet::time::Timestamp;
use lanespan_fleet::view::{MemberChange, View};
use lanespan_fleet::wire::{self, Envelope, Kind, Row};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// The maximum number of datagrams of each shape in the fixture.
const SAMPLES_PER_SHAPE: usize = 3;
/// The shapes of datagrams that the fixture must cover.
const SHAPES: [&str; 11] = [
    "swim Ping members=yes facts=yes",
    "swim Ping members=no facts=no",
    "swim Ack members=no facts=no",
    "swim PingReq members=no facts=no",
    "swim IndirectPing members=no facts=no",
    "swim IndirectAck members=no facts=no",
    "swim ForwardedAck members=no facts=no",
    "swim Gossip members=yes facts=yes",
    "pull",
    "rows members",
    "rows rumour",
];

fn config() -> Config {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    Config {
        cluster: "fixture".to_string(),
        probe_period: SECOND,
        retention: 300 * SECOND,
        max_members: 64,
        seed_addresses: Vec::new(),
        address_map: BTreeMap::from([(address(20_004), address(10_004))]),
    }
}

/// The outputs of all gateways of a network: their digest and number, and the datagrams.
struct Trace {
    digest: Xxh3,
    outputs: u64,
    datagrams: Vec<Vec<u8>>,
}

impl Trace {
    fn add(&mut self, fields: &[&str], bytes: &[u8]) {
        self.outputs += u64::from(!fields.is_empty());
        for part in fields.iter().map(|field| field.as_bytes()).chain([bytes]) {
            self.digest.update(&(part.len() as u64).to_be_bytes());
            self.digest.update(part);
        }
    }

    fn record(&mut self, at: Timestamp, gateway: usize, output: &Output) {
        let prefix = format!("{} {gateway}", at.as_micros());
        match output {
            Output::Send { destination, datagram } => {
                self.add(&[&prefix, "send", &destination.to_string()], datagram);
                self.datagrams.push(datagram.clone());
            }
            Output::MemberChanged(MemberChange { node, previous, state, observer }) => {
                let change = (json(node), json(previous), json(state), json(observer));
                self.add(&[&prefix, "changed", &change.0, &change.1, &change.2, &change.3], &[]);
            }
            Output::IdentityRenewed(node) => self.add(&[&prefix, "renewed", &json(node)], &[]),
            Output::NameConflict(NameConflict { older, newer }) => {
                self.add(&[&prefix, "claimed twice", &json(older), &json(newer)], &[]);
            }
        }
    }
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("the value can be encoded")
}

/// A scenario on a seeded network: joining, document versions and a heartbeat, a crash, a leave, a partition, a stall,
/// links cut in one direction, a restart with the clock set back, a name conflict, and recovery.
struct Run {
    trace: Rc<RefCell<Trace>>,
    /// A line per phase with the time, number of outputs and digest at its end.
    phases: String,
    /// The views taken during the scenario.
    views: Vec<View>,
}

impl Run {
    fn phase(&mut self, network: &SimulatedNetwork, name: &str) {
        let trace = self.trace.borrow();
        let (at, outputs, digest) = (network.now().as_micros(), trace.outputs, trace.digest.digest());
        writeln!(self.phases, "{name}: at={at} outputs={outputs} digest={digest:016x}")
            .expect("writing to a string succeeds");
    }

    fn view(&mut self, network: &SimulatedNetwork, gateway: usize) {
        self.views
            .push(network.gateways[gateway].membership.as_ref().expect("the gateway is running").view());
    }

    fn execute() -> Run {
        let trace = Trace { digest: Xxh3::new(), outputs: 0, datagrams: Vec::new() };
        let mut run = Run { trace: Rc::new(RefCell::new(trace)), phases: String::new(), views: Vec::new() };
        let mut network = SimulatedNetwork::new(9, config(), 35);
        let trace = run.trace.clone();
        network.observe(Box::new(move |at, gateway, output| trace.borrow_mut().record(at, gateway, output)));
        network.conditions = LinkConditions {
            loss: 0.05,
            duplication: 0.05,
            max_delay: Duration::from_millis(30),
            ..Default::default()
        };
        network.move_to(4, SocketAddr::from(([127, 0, 0, 1], 20_004)));
        for gateway in 0..9 {
            network.start(gateway);
            network.run(SECOND / 7);
        }
        network.run(20 * SECOND);
        run.phase(&network, "joined");

        for gateway in 0..4 {
            network.set_document_version(
                gateway,
                DocumentVersion { document: 77, index: 1 + gateway as u64, digest: 500 + gateway as u64 },
            );
            network.run(SECOND / 3);
        }
        let now = network.now();
        network.gateways[1]
            .membership
            .iter_mut()
            .for_each(|member| member.leader_heartbeat(now, 5 << 32 | 9));
        network.gateways[2].membership.iter_mut().for_each(|member| member.announce(now, "ready", "yes"));
        network.run(5 * SECOND);
        let heartbeats =
            network.running().map(|(_, member)| member.leader_heartbeat_age(network.now()) < 6 * SECOND);
        let heartbeats = heartbeats.filter(|is_recent| *is_recent).count();
        run.phase(&network, &format!("document versions, heartbeat heard by {heartbeats}"));

        network.kill(5);
        network.leave(6);
        let suspected = network.run_until(20 * SECOND, |network| {
            let view = network.gateways[0].membership.as_ref().map(|member| json(&member.view()));
            view.is_some_and(|view| view.contains("\"suspect\",\"seen\""))
        });
        assert!(suspected.is_some(), "a crashed member is suspected before it is declared dead");
        run.view(&network, 0);
        network.run(20 * SECOND);
        run.view(&network, 1);
        run.phase(&network, "crash and leave");

        network.partition(|gateway| gateway % 2);
        network.run(30 * SECOND);
        run.phase(&network, "partition");
        network.heal();
        network.run(30 * SECOND);
        run.view(&network, 3);
        run.phase(&network, "heal");

        network.stall(2, 10 * SECOND);
        network.run(30 * SECOND);
        run.phase(&network, "stall");
        (1..9).for_each(|other| network.cut_link(0, other));
        network.run(20 * SECOND);
        network.heal();
        network.run(20 * SECOND);
        run.phase(&network, "cut one way");

        network.gateways[5].wall_clock_offset_micros = -3_600_000_000;
        network.gateways[6].name = "g2".to_string();
        network.start(5);
        network.start(6);
        network.run(60 * SECOND);
        run.view(&network, 2);
        run.phase(&network, "restart with the clock set back, name claimed twice");
        network.kill(6);
        network.run(400 * SECOND);
        run.view(&network, 0);
        run.phase(&network, "retention over");
        run
    }
}

/// The result of decoding a datagram and encoding it again.
struct Decoded {
    shape: String,
    reencoded: Vec<u8>,
}

/// Decodes a SWIM message and encodes it again. Returns its shape and the bytes. The header is followed by members and
/// then by broadcast facts.
fn reencode_swim(payload: &[u8]) -> (String, Vec<u8>) {
    let (header, mut rest) =
        postcard::take_from_bytes::<foca::Header<Node>>(payload).expect("a valid SWIM header");
    let mut reencoded = postcard::to_allocvec(&header).expect("the value can be encoded");
    let (mut members, mut facts) = (0, 0);
    if rest.len() >= 2 {
        let count = u16::from_be_bytes([rest[0], rest[1]]);
        reencoded.extend(count.to_be_bytes());
        rest = &rest[2..];
        for _ in 0..count {
            let (member, after) =
                postcard::take_from_bytes::<foca::Member<Node>>(rest).expect("a valid member");
            reencoded.extend(postcard::to_allocvec(&member).expect("the value can be encoded"));
            rest = after;
            members += 1;
        }
    }
    while !rest.is_empty() {
        let length = usize::from(u16::from_be_bytes([rest[0], rest[1]]));
        let item = &rest[2..2 + length];
        type Broadcast = ((String, SocketAddr), u64, Facts);
        let broadcast: Broadcast = postcard::from_bytes(item).expect("valid facts");
        let item = postcard::to_allocvec(&broadcast).expect("the value can be encoded");
        reencoded.extend((item.len() as u16).to_be_bytes());
        reencoded.extend(item);
        rest = &rest[2 + length..];
        facts += 1;
    }
    let message = format!("{:?}", header.message);
    let message = message.split(|c: char| !c.is_alphanumeric()).next().unwrap_or_default();
    let has = |count: usize| if count > 0 { "yes" } else { "no" };
    (format!("swim {message} members={} facts={}", has(members), has(facts)), reencoded)
}

fn decoded(bytes: &[u8]) -> Decoded {
    let (envelope, payload) =
        Envelope::decode(bytes, wire::cluster_hash("fixture")).expect("a valid envelope");
    let (shape, payload) = match envelope.kind {
        Kind::Swim => reencode_swim(payload),
        Kind::Pull => {
            let requester: Node = postcard::from_bytes(payload).expect("a valid node");
            ("pull".to_string(), postcard::to_allocvec(&requester).expect("the value can be encoded"))
        }
        Kind::Rows => {
            let rows: Vec<Row> = wire::decode_rows(payload).expect("valid rows");
            let shape = if rows.is_empty() { "rows rumour" } else { "rows members" };
            let payloads = wire::encode_rows(rows.into_iter());
            (shape.to_string(), payloads.into_iter().next().unwrap_or_default())
        }
    };
    Decoded { shape, reencoded: envelope.encode(&payload) }
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("valid hex digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// Formats the first datagrams of each shape, one per line, as the shape, a colon and the bytes in hex.
fn samples(datagrams: &[Vec<u8>]) -> String {
    let mut seen = BTreeMap::<String, usize>::new();
    let mut text = String::new();
    for bytes in datagrams {
        let shape = decoded(bytes).shape;
        let count = seen.entry(shape.clone()).or_default();
        *count += 1;
        if *count <= SAMPLES_PER_SHAPE {
            writeln!(text, "{shape}: {}", encode_hex(bytes)).expect("writing to a string succeeds");
        }
    }
    text
}

/// Reads the fixture with this name. If `LANESPAN_WRITE_FIXTURES` is set, writes `actual` to it first.
fn fixture(name: &str, actual: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/membership").join(name);
    if std::env::var_os("LANESPAN_WRITE_FIXTURES").is_some() {
        std::fs::write(&path, actual).expect("the fixture is writable");
    }
    std::fs::read_to_string(&path).expect("the fixture is readable")
}

fn fixture_datagrams() -> Vec<(String, Vec<u8>)> {
    let text = fixture("datagrams.txt", &samples(&Run::execute().trace.borrow().datagrams));
    let line = |line: &str| {
        let (shape, bytes) = line.split_once(": ").expect("a line with a shape and bytes");
        (shape.to_string(), decode_hex(bytes))
    };
    text.lines().map(line).collect()
}

#[test]
fn datagrams_of_each_kind_round_trip_byte_for_byte() {
    let datagrams = fixture_datagrams();
    for (shape, bytes) in &datagrams {
        let decoded = decoded(bytes);
        assert_eq!(&decoded.shape, shape);
        assert_eq!(encode_hex(&decoded.reencoded), encode_hex(bytes), "{shape}");
    }
    let shapes: BTreeSet<&str> = datagrams.iter().map(|(shape, _)| shape.as_str()).collect();
    for expected in SHAPES {
        assert!(shapes.contains(expected), "shape {expected} is missing in {shapes:?}");
    }
}

#[test]
fn recorded_datagrams_of_another_build_give_the_recorded_outputs_and_view() {
    let trace = Trace { digest: Xxh3::new(), outputs: 0, datagrams: Vec::new() };
    let trace = Rc::new(RefCell::new(trace));
    let mut network = SimulatedNetwork::new(1, config(), 36);
    let outputs = trace.clone();
    network.observe(Box::new(move |at, gateway, output| outputs.borrow_mut().record(at, gateway, output)));
    network.start(0);
    for (_, bytes) in fixture_datagrams() {
        network.inject(0, &bytes);
        network.run(SECOND / 50);
    }
    let member = network.gateways[0].membership.as_ref().expect("the gateway is running");
    let view = serde_json::to_string_pretty(&member.view()).expect("the value can be encoded");
    let (outputs, digest) = (trace.borrow().outputs, trace.borrow().digest.digest());
    let actual = format!("outputs={outputs} digest={digest:016x}\n{view}\n");
    assert_eq!(actual, fixture("replay.txt", &actual));
}

#[test]
fn seeded_network_gives_the_recorded_outputs() {
    let phases = Run::execute().phases;
    assert_eq!(phases, fixture("run.txt", &phases));
}

#[test]
fn views_of_seeded_network_serialize_to_the_recorded_json() {
    let views = Run::execute().views;
    let actual = format!("{}\n", serde_json::to_string_pretty(&views).expect("the value can be encoded"));
    assert_eq!(actual, fixture("views.json", &actual));
    let views: Vec<serde_json::Value> = serde_json::from_str(&actual).expect("valid JSON");
    let values = |path: &str| {
        let members = views.iter().flat_map(|view| view["members"].as_array().cloned().unwrap_or_default());
        members.map(|member| member[path].to_string()).collect::<BTreeSet<_>>()
    };
    let standings = ["left", "lost", "present", "suspect"].map(|standing| format!("\"{standing}\""));
    assert_eq!(
        values("standing").into_iter().collect::<Vec<_>>(),
        standings,
        "the views cover each member state"
    );
    assert!(values("seen").contains("\"here\""));
    assert!(values("seen").iter().any(|seen| seen.starts_with("{\"by\"")));
    assert!(values("acts_on").contains("null") && values("acts_on").len() > 1);
    assert!(values("agrees").contains("null") && values("agrees").contains("true"));
    assert!(views.iter().any(|view| view["claimed_twice"] != serde_json::json!([])));
}
