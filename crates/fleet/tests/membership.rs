//! Tests membership over a simulated network with fixed seeds, under failures of gateways, links and clocks.

use lanespan_fleet::facts::Facts;
use lanespan_fleet::membership::{Config, DropReason, Membership, Output};
use lanespan_fleet::node::Node;
use lanespan_fleet::sim::{LinkConditions, SimulatedGateway, SimulatedNetwork, SECOND};
use lanespan_fleet::view::{MemberCounts, MemberState, Observer};
use lanespan_fleet::wire::{self, Envelope, Kind, Row};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const MAX_MEMBERS: usize = 64;
const HOUR_MICROS: i64 = 3_600_000_000;

fn config() -> Config {
    Config {
        cluster: "test".to_string(),
        probe_period: SECOND,
        retention: 3_600 * SECOND,
        max_members: MAX_MEMBERS,
        seed_addresses: Vec::new(),
        address_map: BTreeMap::new(),
    }
}

fn membership(network: &SimulatedNetwork, index: usize) -> &Membership {
    network.gateways[index].membership.as_ref().expect("the gateway is running")
}

/// Returns the state of gateway `of` in the view of gateway `at`.
fn state(network: &SimulatedNetwork, at: usize, of: usize) -> Option<MemberState> {
    let view = membership(network, at).view();
    let name = &network.gateways[of].name;
    let members = view.members.iter().filter(|member| member.node.name == *name);
    members.max_by_key(|member| member.node.incarnation).map(|member| member.state)
}

/// Returns whether gateway `of` has the expected state in the views of all running gateways.
fn all_report_state(network: &SimulatedNetwork, of: usize, expected: MemberState) -> bool {
    network.running().all(|(at, _)| state(network, at, of) == Some(expected))
}

fn all_agree_within(network: &mut SimulatedNetwork, span: Duration) -> bool {
    network.run_until(span, SimulatedNetwork::views_agree).is_some()
}

fn dropped(network: &SimulatedNetwork, reason: DropReason) -> u64 {
    membership(network, 0).counters().datagrams_dropped.get(reason)
}

fn is_renewal(report: &Output) -> bool {
    matches!(report, Output::IdentityRenewed(_))
}

fn is_name_conflict(report: &Output) -> bool {
    matches!(report, Output::NameConflict(_))
}

#[test]
fn lone_gateway_backs_off_and_fleet_joins_through_seed_addresses() {
    let mut network = SimulatedNetwork::new(12, config(), 1);
    network.start(3);
    network.run(60 * SECOND);
    let alone = MemberCounts { active: 1, suspect: 0, gone: 0 };
    assert_eq!(membership(&network, 3).member_counts(), alone);
    let requests = membership(&network, 3).counters().datagrams_sent;
    assert!((5..20).contains(&requests), "a lone gateway backs off, sent {requests} datagrams");
    (0..12).filter(|i| *i != 3).for_each(|i| network.start(i));
    assert!(all_agree_within(&mut network, 30 * SECOND));
    let view = membership(&network, 3).view();
    assert_eq!(view.zones["z0"].alive, 4);
    assert_eq!(
        membership(&network, 3).gateway_numbers().len(),
        12,
        "the exchange includes the members' facts"
    );
    network.run(10 * SECOND);
    assert_eq!(membership(&network, 3).view().disagreeing, 0);
}

#[test]
fn crash_and_leave_are_reported_with_state_and_observer() {
    let mut network = SimulatedNetwork::converged(12, config(), 2);
    network.kill(5);
    network.leave(7);
    let left = network.run_until(5 * SECOND, |network| all_report_state(network, 7, MemberState::Left));
    assert!(left.is_some(), "all members know of a leave within 5 s");
    assert!(all_agree_within(&mut network, 30 * SECOND));
    assert!(all_report_state(&network, 5, MemberState::Dead));
    let first_suspicions = network.gateways.iter().filter_map(|gateway| {
        let mut changes = gateway.changes.iter();
        changes.find(|(_, change)| change.node.name == "g5" && change.state == MemberState::Suspect)
    });
    let (_, first) =
        first_suspicions.min_by_key(|(at, _)| *at).expect("g5 was suspected before it was declared dead");
    assert_eq!(first.observer, Observer::Local, "the first member to suspect g5 probed it itself");
    let learned_from_peer = |gateway: &SimulatedGateway| {
        let mut changes = gateway.changes.iter().filter(|(_, change)| change.node.name == "g5");
        changes.any(|(_, change)| matches!(&change.observer, Observer::Peer(_)))
    };
    assert!(network.gateways.iter().any(learned_from_peer), "other members learned of it from peers");
}

/// Single failed links must not cause deaths, because other members probe and forward indirectly. A member from which
/// no other receives anything must be declared dead by all of them.
#[test]
fn one_way_link_failures_keep_views_equal_and_unreceived_member_is_dead_until_heal() {
    let mut network = SimulatedNetwork::converged(12, config(), 3);
    for i in [1, 2, 3] {
        network.cut_link(0, i);
        network.cut_link(i + 3, 0);
    }
    network.run(60 * SECOND);
    assert!(network.views_agree(), "other members forward what a cut link drops");
    let mut changes = network.gateways.iter().flat_map(|gateway| &gateway.changes);
    assert!(changes.all(|(_, change)| change.state != MemberState::Dead));
    network.heal();
    // Gateway 0 still receives from all others, but none of them receives from it.
    (1..12).for_each(|i| network.cut_link(0, i));
    let is_dead =
        |network: &SimulatedNetwork| (1..12).all(|at| state(network, at, 0) == Some(MemberState::Dead));
    assert!(network.run_until(60 * SECOND, is_dead).is_some());
    network.heal();
    assert!(all_agree_within(&mut network, 60 * SECOND));
}

/// When a partition heals, each part has declared the other's members dead. If those states were applied directly, a
/// part would lose its own members.
#[test]
fn partitions_heal_into_one_view_without_deaths_within_a_part() {
    for (seed, parts) in [(4, 2), (5, 3)] {
        let mut network = SimulatedNetwork::converged(12, config(), seed);
        network.partition(|i| i % parts);
        let is_apart = |network: &SimulatedNetwork| {
            network.running().all(|(_, membership)| membership.member_counts().active == 12 / parts)
        };
        assert!(network.run_until(60 * SECOND, is_apart).is_some(), "{parts} parts");
        network.run(30 * SECOND);
        let healed_at = network.now();
        network.heal();
        assert!(all_agree_within(&mut network, 90 * SECOND), "{parts} parts");
        network.run(30 * SECOND);
        assert!(network.views_agree(), "the views stay equal after the partition healed");
        // No gateway declares a member of its own part dead while the partition heals.
        for (i, gateway) in network.gateways.iter().enumerate() {
            let is_own =
                |name: &str| name[1..].parse::<usize>().is_ok_and(|other| other % parts == i % parts);
            let since_healed = gateway.changes.iter().filter(|(at, _)| *at > healed_at);
            let own = since_healed.filter(|(_, change)| is_own(&change.node.name));
            let died = own.filter(|(_, change)| change.state == MemberState::Dead).count();
            assert_eq!(died, 0, "{parts} parts, at g{i}");
        }
    }
}

#[test]
fn loss_delay_and_duplication_cause_few_false_deaths_and_views_reconverge() {
    let mut network = SimulatedNetwork::converged(12, config(), 6);
    network.conditions = LinkConditions {
        loss: 0.3,
        duplication: 0.3,
        max_delay: Duration::from_millis(80),
        ..Default::default()
    };
    network.run(120 * SECOND);
    let changes = network.gateways.iter().flat_map(|member| &member.changes);
    let dead =
        changes.filter(|(_, change)| change.state == MemberState::Dead).map(|(_, change)| &change.node);
    let dead: BTreeSet<_> = dead.collect();
    assert!(dead.len() <= 3, "few members are declared dead in 1,440 probes with a loss of 30 %: {dead:?}");
    network.kill(4);
    let dead = network.run_until(60 * SECOND, |network| all_report_state(network, 4, MemberState::Dead));
    assert!(dead.is_some(), "a crash is detected despite the loss");
    network.conditions = LinkConditions::default();
    assert!(all_agree_within(&mut network, 60 * SECOND));
}

/// After a stall all timers of a gateway are due at once, and running them would declare all other members dead.
#[test]
fn stalled_gateway_declares_no_member_dead_and_renews_its_incarnation() {
    let mut network = SimulatedNetwork::converged(12, config(), 7);
    let before = membership(&network, 2).local().incarnation;
    let from = network.now();
    network.stall(2, 10 * SECOND);
    network.run(10 * SECOND);
    assert!((0..12).filter(|i| *i != 2).all(|i| state(&network, i, 2) == Some(MemberState::Dead)));
    assert!(all_agree_within(&mut network, 30 * SECOND));
    assert!(membership(&network, 2).local().incarnation > before);
    assert_eq!(membership(&network, 2).counters().stalls, 1);
    assert!(network.gateways[2].reports.iter().any(|(_, report)| is_renewal(report)));
    let gone = network.gateways[2].changes.iter().filter(|(at, c)| *at > from && !c.state.is_active());
    assert_eq!(gone.count(), 0, "the timers of the stalled gateway did not run during the stall");
}

#[test]
fn views_converge_after_mass_crash_and_rolling_restart() {
    let mut network = SimulatedNetwork::converged(30, config(), 8);
    (0..21).for_each(|i| network.kill(i));
    assert!(all_agree_within(&mut network, 120 * SECOND));
    (0..21).for_each(|i| network.start(i));
    assert!(all_agree_within(&mut network, 60 * SECOND));
    for i in 0..30 {
        network.leave(i);
        network.run(SECOND);
        network.start(i);
        network.run(SECOND);
    }
    assert!(all_agree_within(&mut network, 60 * SECOND));
    assert!(network.running().all(|(_, p)| p.view().conflicting_names.is_empty()));
}

/// The clock of a restarted gateway may be behind the incarnation that others know, and its address may be another.
/// Neither must leave it with an outdated incarnation or a name conflict.
#[test]
fn restart_with_clock_set_back_or_new_address_keeps_the_name() {
    let mut network = SimulatedNetwork::converged(12, config(), 9);
    network.kill(3);
    network.gateways[3].wall_clock_offset_micros = -HOUR_MICROS;
    let before = membership(&network, 0).view();
    let old =
        before.members.iter().find(|row| row.node.name == "g3").expect("g3 is in the view").node.incarnation;
    network.start(3);
    assert!(all_agree_within(&mut network, 60 * SECOND));
    assert!(
        membership(&network, 3).local().incarnation > old,
        "the new incarnation exceeds the one known before"
    );
    network.kill(4);
    let moved = SocketAddr::from(([127, 0, 0, 1], 20_004));
    network.move_to(4, moved);
    network.start(4);
    let known = network.run_until(60 * SECOND, |network| {
        let has_name = |membership: &Membership| {
            let members = membership.view().members;
            members.iter().any(|member| member.node.address == moved && !member.superseded)
        };
        network.running().all(|(_, membership)| has_name(membership)) && network.views_agree()
    });
    assert!(known.is_some());
    let mut reports = network.gateways.iter().flat_map(|gateway| &gateway.reports);
    assert!(!reports.any(|(_, report)| is_name_conflict(report)));
}

#[test]
fn name_conflict_is_reported_once_by_both_members_and_neither_is_declared_dead() {
    let mut network = SimulatedNetwork::converged(6, config(), 10);
    network.kill(5);
    network.run(30 * SECOND);
    network.gateways[5].name = "g2".to_string();
    network.start(5);
    network.run(120 * SECOND);
    for i in [2, 5] {
        let reports = &network.gateways[i].reports;
        let conflicts = reports.iter().filter(|(_, report)| is_name_conflict(report));
        assert_eq!(conflicts.count(), 1, "g{i} reports the conflict once");
        assert_eq!(membership(&network, i).view().conflicting_names, ["g2"]);
        let renewed = reports.iter().any(|(_, report)| is_renewal(report));
        assert!(!renewed, "neither declares the other dead");
    }
    let rows = membership(&network, 0).view().members;
    let superseded: Vec<_> = rows.iter().filter(|row| row.superseded).map(|row| row.node.address).collect();
    assert_eq!(superseded, [network.gateways[2].address], "the member that started later owns the name");
    network.kill(5);
    let is_resolved = |network: &SimulatedNetwork| {
        network.running().all(|(_, membership)| membership.view().conflicting_names.is_empty())
    };
    assert!(network.run_until(60 * SECOND, is_resolved).is_some());
    assert_eq!(network.gateways[2].changes.iter().filter(|(_, c)| c.node.name == "g2").count() % 2, 0);
}

#[test]
fn datagram_of_another_cluster_is_dropped_and_counted() {
    let mut network = SimulatedNetwork::converged(3, config(), 11);
    let before = dropped(&network, DropReason::OtherCluster);
    let digest = membership(&network, 0).digest();
    let other = envelope(Kind::Pull, 1, 7, 0).encode(b"x");
    network.inject(0, &other);
    assert_eq!(DropReason::ALL[1], DropReason::OtherCluster, "metrics count in this order");
    assert_eq!(dropped(&network, DropReason::OtherCluster), before + 1);
    assert_eq!(membership(&network, 0).digest(), digest);
}

#[test]
fn forged_members_are_bounded_and_forgotten_and_exchange_requests_are_rate_limited() {
    let mut network = SimulatedNetwork::converged(3, Config { retention: 30 * SECOND, ..config() }, 12);
    for i in 0..5_000u32 {
        let node = unreachable_node(&format!("forged-{i}"), 1 + i as u16);
        network.inject(
            0,
            &datagram(Kind::Pull, &postcard::to_allocvec(&node).expect("the value can be encoded")),
        );
        if i % 100 == 0 {
            network.run(SECOND / 2);
        }
    }
    let view = membership(&network, 0).view();
    assert!(view.members.len() <= MAX_MEMBERS + 1, "{}", view.members.len());
    assert!(dropped(&network, DropReason::RateLimited) > 0, "{:?}", membership(&network, 0).counters());
    network.run(10 * 60 * SECOND);
    assert!(network.views_agree(), "forged members did not answer and are no longer active");
    assert_eq!(
        membership(&network, 0).view().members.len(),
        3,
        "forged members are forgotten after the retention"
    );
}

/// Returns the identity of a gateway that does not exist.
fn unreachable_node(name: &str, port: u16) -> Node {
    let address = SocketAddr::from(([127, 0, 0, 9], port));
    Node { name: name.into(), address, incarnation: 1, zone: "z".into(), build: "b".into() }
}

fn envelope(kind: Kind, cluster: u64, sender: u64, view_digest: u64) -> Envelope {
    let document_version = Default::default();
    Envelope { kind, cluster, sender, view_digest, document_version, leader_heartbeat: 0 }
}

fn datagram(kind: Kind, payload: &[u8]) -> Vec<u8> {
    envelope(kind, wire::cluster_hash("test"), 1, 0).encode(payload)
}

/// A peer declares a member dead that is alive in this view but never answers. The dispute must settle this sooner than
/// probes could, which take turns among 15 such members.
#[test]
fn disputed_member_that_does_not_refute_is_declared_dead_after_the_timeout() {
    let mut network = SimulatedNetwork::converged(1, config(), 16);
    for i in 0..15 {
        let request = postcard::to_allocvec(&unreachable_node(&format!("n{i}"), 100 + i))
            .expect("the value can be encoded");
        network.inject(0, &datagram(Kind::Pull, &request));
    }
    let down = Row { member: foca::Member::down(unreachable_node("n7", 107)), facts: None };
    network
        .inject(0, &datagram(Kind::Rows, &postcard::to_allocvec(&down).expect("the value can be encoded")));
    network.run(SECOND / 10);
    let dead = |network: &SimulatedNetwork| {
        let members = membership(network, 0).view().members.into_iter();
        let dead = members.filter(|member| member.state == MemberState::Dead);
        dead.map(|member| member.node.name).collect::<Vec<_>>()
    };
    assert!(dead(&network).is_empty(), "the disputed member has time to refute");
    network.run(6 * SECOND);
    assert_eq!(
        dead(&network),
        ["n7"],
        "only the dispute can have declared n7 dead: probes have not reached all 15 members yet"
    );
}

/// A message may have a name with control characters, or facts about the receiving gateway that it did not announce.
#[test]
fn messages_with_invalid_names_or_forged_local_facts_change_nothing() {
    let mut network = SimulatedNetwork::converged(2, config(), 17);
    let dst = membership(&network, 0).local().clone();
    let swim = |src: Node, rest: &[u8]| {
        let header = foca::Header {
            src,
            src_incarnation: 0,
            dst: dst.clone(),
            message: foca::Message::<Node>::Gossip,
        };
        datagram(
            Kind::Swim,
            &[&postcard::to_allocvec(&header).expect("the value can be encoded")[..], rest].concat(),
        )
    };
    network.inject(0, &swim(unreachable_node("two\nlines", 1), &[]));
    assert_eq!(membership(&network, 0).view().members.len(), 2);
    assert_eq!(dropped(&network, DropReason::Malformed), 1);
    let member = postcard::to_allocvec(&foca::Member::alive(unreachable_node("two\nlines", 1)))
        .expect("the value can be encoded");
    network.inject(0, &swim(membership(&network, 1).local().clone(), &[&[0, 1][..], &member].concat()));
    assert_eq!(membership(&network, 0).view().members.len(), 2);
    assert_eq!(dropped(&network, DropReason::Malformed), 2);
    let values = BTreeMap::from([("ready".to_string(), "never".to_string())]);
    let facts = Facts { version: 9, values };
    let item = postcard::to_allocvec(&((&dst.name, dst.address), dst.incarnation, facts))
        .expect("the value can be encoded");
    let rest = [&[0, 0][..], &(item.len() as u16).to_be_bytes(), &item].concat();
    network.inject(0, &swim(membership(&network, 1).local().clone(), &rest));
    assert_eq!(dropped(&network, DropReason::Malformed), 2, "the message was decoded and not dropped");
    let view = membership(&network, 0).view();
    assert!(view.members.iter().all(|row| !row.facts.values.contains_key("ready")));
}

#[test]
fn same_seed_gives_same_history() {
    let history = |seed| {
        let mut network = SimulatedNetwork::converged(12, config(), seed);
        network.conditions.loss = 0.1;
        network.kill(1);
        network.run(30 * SECOND);
        let changes = network.gateways.iter().map(|m| format!("{:?}", m.changes)).collect::<Vec<_>>();
        (changes, membership(&network, 0).counters())
    };
    assert_eq!(history(13), history(13));
    assert_ne!(history(13), history(14));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Untrusted input must not cause a panic or unbounded state: random bytes, random payloads in a valid envelope,
    /// and valid datagrams of the fleet that are duplicated, truncated or corrupted.
    #[test]
    fn arbitrary_datagrams_neither_break_a_gateway_nor_overfill_its_member_table(
        noise in prop::collection::vec(any::<u8>(), 0..1500),
        kind in 0u8..4,
        cut in 0usize..400,
        flip in (0usize..400, any::<u8>()),
    ) {
        let mut network = SimulatedNetwork::converged(3, config(), 15);
        let cluster = wire::cluster_hash("test");
        let sender = wire::identity_key(membership(&network, 1).local());
        let kind = [Kind::Swim, Kind::Pull, Kind::Rows][usize::from(kind % 3)];
        let wrapped = envelope(kind, cluster, sender, 3).encode(&noise[..noise.len().min(1300)]);
        network.inject(0, &noise);
        network.inject(0, &wrapped);
        // A valid datagram of another gateway, captured from its outputs.
        let local = membership(&network, 1).local().clone();
        let seed_addresses = vec![network.gateways[0].address];
        let config = Config { seed_addresses, ..config() };
        let mut own = Membership::new(local, BTreeMap::new(), config, 1, network.now());
        own.handle_timeout(network.now());
        let sent = own.poll_outputs().into_iter().find_map(|output| match output {
            Output::Send { datagram, .. } => Some(datagram),
            _ => None,
        }).expect("the gateway sends a request to its seed address");
        let mut truncated = sent.clone();
        truncated.truncate(cut.min(sent.len()));
        let mut corrupted = sent.clone();
        let at = flip.0 % corrupted.len();
        corrupted[at] ^= flip.1;
        for bytes in [&sent, &sent, &truncated, &corrupted] {
            network.inject(0, bytes);
        }
        prop_assert!(membership(&network, 0).view().members.len() <= MAX_MEMBERS);
        network.run(60 * SECOND);
        prop_assert!(network.views_agree());
    }
}
