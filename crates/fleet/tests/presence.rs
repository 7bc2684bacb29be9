//! Presence over a virtual network: what the fleet believes while parts fail, from fixed seeds.

use lanespan_fleet::node::{Facts, Node};
use lanespan_fleet::presence::{Output, Presence, Settings};
use lanespan_fleet::sim::{Net, Weather, SECOND};
use lanespan_fleet::view::{Seen, Standing};
use lanespan_fleet::wire::{Dropped, Envelope, Kind, Row};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn settings() -> Settings {
    let (cluster, peers, via) = ("test".to_string(), Vec::new(), Default::default());
    Settings { cluster, probe: SECOND, forget: 3_600 * SECOND, most: 64, peers, via }
}

fn presence(net: &Net, i: usize) -> &Presence {
    net.members[i].presence.as_ref().expect("it runs")
}

/// How gateway `at` sees gateway `of`.
fn standing(net: &Net, at: usize, of: usize) -> Option<Standing> {
    let view = presence(net, at).view();
    let name = &net.members[of].name;
    let rows = view.members.iter().filter(|row| row.node.name == *name);
    rows.max_by_key(|row| row.node.incarnation).map(|row| row.standing)
}

#[test]
fn a_fleet_comes_together_from_a_static_list_and_one_alone_is_well() {
    let mut net = Net::new(12, settings(), 1);
    net.start(3);
    net.run(60 * SECOND);
    assert_eq!(presence(&net, 3).sizes(), (1, 0, 0), "alone is well");
    let asked = presence(&net, 3).counts().sent.0;
    assert!((5..20).contains(&asked), "it asks ever less often: {asked}");
    (0..12).filter(|i| *i != 3).for_each(|i| net.start(i));
    assert!(net.until(30 * SECOND, Net::agree).is_some());
    let view = presence(&net, 3).view();
    assert_eq!(view.zones["z0"].present, 4);
    assert_eq!(presence(&net, 3).numbers().count(), 12, "facts came with the members");
    net.run(10 * SECOND);
    assert_eq!(presence(&net, 3).view().disagreeing, 0);
}

#[test]
fn a_crash_is_lost_a_leave_has_left_and_each_is_told_with_who_saw_it() {
    let mut net = Net::settled(12, settings(), 2);
    net.kill(5);
    net.leave(7);
    let left =
        net.until(5 * SECOND, |net| net.running().all(|(i, _)| standing(net, i, 7) == Some(Standing::Left)));
    assert!(left.is_some(), "a leave is known soon");
    assert!(net.until(30 * SECOND, Net::agree).is_some());
    assert!(net.running().all(|(i, _)| standing(&net, i, 5) == Some(Standing::Lost)));
    let first = net.members.iter().enumerate().filter_map(|(i, member)| {
        let mut changes = member.changes.iter();
        changes
            .find(|(_, c)| c.node.name == "g5" && c.now == Standing::Suspect)
            .map(|(at, c)| (*at, i, c.seen.clone()))
    });
    let (_, _, seen) = first.min_by_key(|(at, ..)| *at).expect("suspected before");
    assert_eq!(seen, Seen::Here, "the first to know probed it");
    let told = |member: &lanespan_fleet::sim::Member| {
        member.changes.iter().any(|(_, c)| c.node.name == "g5" && matches!(&c.seen, Seen::By(_)))
    };
    assert!(net.members.iter().any(told), "others heard of it");
}

#[test]
fn links_cut_one_way_leave_views_whole_and_one_that_nobody_hears_is_lost_and_returns() {
    let mut net = Net::settled(12, settings(), 3);
    for i in [1, 2, 3] {
        net.cut(0, i);
        net.cut(i + 3, 0);
    }
    net.run(60 * SECOND);
    assert!(net.agree(), "others pass on what a link does not");
    assert!(net.members.iter().all(|member| member.changes.iter().all(|(_, c)| c.now != Standing::Lost)));
    net.heal();
    // It hears all and is heard by none.
    (1..12).for_each(|i| net.cut(0, i));
    let lost = net.until(60 * SECOND, |net| (1..12).all(|i| standing(net, i, 0) == Some(Standing::Lost)));
    assert!(lost.is_some());
    net.heal();
    assert!(net.until(60 * SECOND, Net::agree).is_some());
}

#[test]
fn partitions_in_two_and_three_heal_into_one_view_without_all_being_lost_again() {
    for (seed, parts) in [(4, 2), (5, 3)] {
        let mut net = Net::settled(12, settings(), seed);
        net.partition(|i| i % parts);
        let apart = net.until(60 * SECOND, |net| net.running().all(|(_, p)| p.sizes().0 == 12 / parts));
        assert!(apart.is_some(), "{parts} parts");
        net.run(30 * SECOND);
        let healed_at = net.now();
        net.heal();
        assert!(net.until(90 * SECOND, Net::agree).is_some(), "{parts} parts");
        net.run(30 * SECOND);
        assert!(net.agree(), "and stay one");
        // Nobody loses a member of its own part on the way.
        for (i, member) in net.members.iter().enumerate() {
            let own = |name: &str| name[1..].parse::<usize>().is_ok_and(|other| other % parts == i % parts);
            let after = member.changes.iter().filter(|(at, c)| *at > healed_at && own(&c.node.name));
            assert_eq!(after.filter(|(_, c)| c.now == Standing::Lost).count(), 0, "{parts} parts, at g{i}");
        }
    }
}

#[test]
fn loss_delay_and_doubles_bring_nobody_down_for_good() {
    let mut net = Net::settled(12, settings(), 6);
    net.weather = Weather { loss: 0.3, twice: 0.3, delay: (200, 80_000) };
    net.run(120 * SECOND);
    let changes = net.members.iter().flat_map(|member| &member.changes);
    let lost = changes.filter(|(_, change)| change.now == Standing::Lost).map(|(_, change)| &change.node);
    let lost: BTreeSet<_> = lost.collect();
    assert!(
        lost.len() <= 3,
        "few are taken for dead in 1,440 probes with three in ten datagrams lost: {lost:?}"
    );
    net.kill(4);
    let all =
        net.until(60 * SECOND, |net| net.running().all(|(i, _)| standing(net, i, 4) == Some(Standing::Lost)));
    assert!(all.is_some(), "a crash is known all the same");
    net.weather = Weather::default();
    assert!(net.until(60 * SECOND, Net::agree).is_some());
}

#[test]
fn one_that_stood_still_takes_nobody_for_dead_and_returns_as_a_new_life() {
    let mut net = Net::settled(12, settings(), 7);
    let before = presence(&net, 2).me().incarnation;
    let from = net.now();
    net.stall(2, 10 * SECOND);
    net.run(10 * SECOND);
    assert!((0..12).filter(|i| *i != 2).all(|i| standing(&net, i, 2) == Some(Standing::Lost)));
    assert!(net.until(30 * SECOND, Net::agree).is_some());
    assert!(presence(&net, 2).me().incarnation > before);
    assert_eq!(presence(&net, 2).counts().stalls, 1);
    assert!(net.members[2].told.iter().any(|(_, told)| matches!(told, Output::Renewed(_))));
    let gone = net.members[2].changes.iter().filter(|(at, c)| *at > from && !c.now.is_present());
    assert_eq!(gone.count(), 0, "its own timers did not run while it stood still");
}

#[test]
fn seven_in_ten_killed_at_once_are_lost_and_all_may_be_restarted_in_turn() {
    let mut net = Net::settled(30, settings(), 8);
    (0..21).for_each(|i| net.kill(i));
    assert!(net.until(120 * SECOND, Net::agree).is_some());
    (0..21).for_each(|i| net.start(i));
    assert!(net.until(60 * SECOND, Net::agree).is_some());
    for i in 0..30 {
        net.leave(i);
        net.run(SECOND);
        net.start(i);
        net.run(SECOND);
    }
    assert!(net.until(60 * SECOND, Net::agree).is_some());
    assert!(net.running().all(|(_, p)| p.view().claimed_twice.is_empty()));
}

#[test]
fn a_restart_with_its_clock_set_back_or_at_another_address_takes_its_name_again() {
    let mut net = Net::settled(12, settings(), 9);
    net.kill(3);
    net.members[3].clock_ahead = -3_600 * SECOND as i64;
    let before = presence(&net, 0).view();
    let old = before.members.iter().find(|row| row.node.name == "g3").expect("known").node.incarnation;
    net.start(3);
    assert!(net.until(60 * SECOND, Net::agree).is_some());
    assert!(presence(&net, 3).me().incarnation > old, "no old state comes back with it");
    net.kill(4);
    let moved = SocketAddr::from(([127, 0, 0, 1], 20_004));
    net.move_to(4, moved);
    net.start(4);
    let known = net.until(60 * SECOND, |net| {
        let there = |p: &Presence| p.view().members.iter().any(|r| r.node.address == moved && !r.superseded);
        net.running().all(|(_, p)| there(p)) && net.agree()
    });
    assert!(known.is_some());
    assert!(net.members.iter().all(|m| !m.told.iter().any(|(_, t)| matches!(t, Output::ClaimedTwice(..)))));
}

#[test]
fn a_name_claimed_twice_is_told_at_both_once_and_neither_is_put_out() {
    let mut net = Net::settled(6, settings(), 10);
    net.kill(5);
    net.run(30 * SECOND);
    net.members[5].name = "g2".to_string();
    net.start(5);
    net.run(120 * SECOND);
    for i in [2, 5] {
        let told = net.members[i].told.iter().filter(|(_, told)| matches!(told, Output::ClaimedTwice(..)));
        assert_eq!(told.count(), 1, "g{i} tells it once");
        assert_eq!(presence(&net, i).view().claimed_twice, ["g2"]);
        let renewed = net.members[i].told.iter().any(|(_, told)| matches!(told, Output::Renewed(_)));
        assert!(!renewed, "neither declares the other down");
    }
    let rows = presence(&net, 0).view().members;
    let superseded: Vec<_> = rows.iter().filter(|row| row.superseded).map(|row| row.node.address).collect();
    assert_eq!(superseded, [net.members[2].address], "the later start has the name");
    net.kill(5);
    let settled = net.until(60 * SECOND, |net| net.running().all(|(_, p)| p.view().claimed_twice.is_empty()));
    assert!(settled.is_some());
    assert_eq!(net.members[2].changes.iter().filter(|(_, c)| c.node.name == "g2").count() % 2, 0);
}

#[test]
fn another_cluster_is_counted_and_dropped() {
    let mut net = Net::settled(3, settings(), 11);
    let before = presence(&net, 0).counts().dropped[1];
    let digest = presence(&net, 0).digest();
    let other =
        Envelope { kind: Kind::Pull, cluster: 1, from: 7, digest: 0, mark: Default::default(), beat: 0 }
            .around(b"x");
    net.inject(0, &other);
    assert_eq!(Dropped::ALL[1].0, Dropped::OtherCluster);
    assert_eq!(presence(&net, 0).counts().dropped[1], before + 1);
    assert_eq!(presence(&net, 0).digest(), digest);
}

#[test]
fn forged_members_are_bounded_and_forgotten_and_pulls_in_a_loop_are_not_answered() {
    let mut net = Net::settled(3, Settings { forget: 30 * SECOND, ..settings() }, 12);
    for i in 0..5_000u32 {
        let node = nobody(&format!("forged-{i}"), 1 + i as u16);
        net.inject(0, &datagram(Kind::Pull, &postcard::to_allocvec(&node).expect("bytes")));
        if i % 100 == 0 {
            net.run(SECOND / 2);
        }
    }
    let view = presence(&net, 0).view();
    assert!(view.members.len() <= 65, "{}", view.members.len());
    let dropped = presence(&net, 0).counts().dropped;
    assert!(dropped[4] > 0, "too often: {dropped:?}");
    net.run(10 * 60 * SECOND);
    assert!(net.agree(), "they did not answer and are gone");
    assert_eq!(presence(&net, 0).view().members.len(), 3, "and forgotten");
}

/// A gateway's identity, with nobody behind it.
fn nobody(name: &str, port: u16) -> Node {
    let address = SocketAddr::from(([127, 0, 0, 9], port));
    Node { name: name.into(), address, incarnation: 1, zone: "z".into(), build: "b".into() }
}

fn datagram(kind: Kind, payload: &[u8]) -> Vec<u8> {
    let cluster = lanespan_fleet::wire::cluster("test");
    Envelope { kind, cluster, from: 1, digest: 0, mark: Default::default(), beat: 0 }.around(payload)
}

#[test]
fn one_whom_another_takes_for_dead_and_who_does_not_answer_is_lost_soon() {
    let mut net = Net::settled(1, settings(), 16);
    for i in 0..15 {
        let asks = postcard::to_allocvec(&nobody(&format!("n{i}"), 100 + i)).expect("bytes");
        net.inject(0, &datagram(Kind::Pull, &asks));
    }
    let down = Row { member: foca::Member::down(nobody("n7", 107)), facts: None };
    net.inject(0, &datagram(Kind::Rows, &postcard::to_allocvec(&down).expect("bytes")));
    net.run(SECOND / 10);
    let lost = |net: &Net| {
        let rows = presence(net, 0).view().members;
        rows.iter().filter(|r| r.standing == Standing::Lost).map(|r| r.node.name.clone()).collect::<Vec<_>>()
    };
    assert!(lost(&net).is_empty(), "it has a moment to say that it lives");
    net.run(6 * SECOND);
    assert_eq!(lost(&net), ["n7"], "probes alone would not have come to all yet");
}

#[test]
fn a_message_with_unsound_words_or_with_this_gateway_s_own_facts_changes_nothing() {
    let mut net = Net::settled(2, settings(), 17);
    let dst = presence(&net, 0).me().clone();
    let swim = |src: Node, rest: &[u8]| {
        let header = foca::Header {
            src,
            src_incarnation: 0,
            dst: dst.clone(),
            message: foca::Message::<Node>::Gossip,
        };
        datagram(Kind::Swim, &[&postcard::to_allocvec(&header).expect("bytes")[..], rest].concat())
    };
    net.inject(0, &swim(nobody("two\nlines", 1), &[]));
    assert_eq!(presence(&net, 0).view().members.len(), 2);
    assert_eq!(presence(&net, 0).counts().dropped[0], 1);
    let member = postcard::to_allocvec(&foca::Member::alive(nobody("two\nlines", 1))).expect("bytes");
    net.inject(0, &swim(presence(&net, 1).me().clone(), &[&[0, 1][..], &member].concat()));
    assert_eq!(presence(&net, 0).view().members.len(), 2);
    assert_eq!(presence(&net, 0).counts().dropped[0], 2);
    let told = std::collections::BTreeMap::from([("ready".to_string(), "never".to_string())]);
    let facts = Facts { version: 9, told };
    let item = postcard::to_allocvec(&((&dst.name, dst.address), dst.incarnation, facts)).expect("bytes");
    let rest = [&[0, 0][..], &(item.len() as u16).to_be_bytes(), &item].concat();
    net.inject(0, &swim(presence(&net, 1).me().clone(), &rest));
    assert_eq!(presence(&net, 0).counts().dropped[0], 2, "it was read");
    let view = presence(&net, 0).view();
    assert!(view.members.iter().all(|row| !row.facts.told.contains_key("ready")));
}

#[test]
fn one_seed_gives_one_history() {
    let history = |seed| {
        let mut net = Net::settled(12, settings(), seed);
        net.weather.loss = 0.1;
        net.kill(1);
        net.run(30 * SECOND);
        let changes = net.members.iter().map(|m| format!("{:?}", m.changes)).collect::<Vec<_>>();
        (changes, presence(&net, 0).counts())
    };
    assert_eq!(history(13), history(13));
    assert_ne!(history(13), history(14));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever arrives, whole or as a torn, flipped, replayed or doubled datagram of the fleet's own, breaks nothing.
    #[test]
    fn no_datagram_breaks_or_swells_a_gateway(
        noise in prop::collection::vec(any::<u8>(), 0..1500),
        kind in 0u8..4,
        cut in 0usize..400,
        flip in (0usize..400, any::<u8>()),
    ) {
        let mut net = Net::settled(3, settings(), 15);
        let cluster = lanespan_fleet::wire::cluster("test");
        let from = lanespan_fleet::wire::key(presence(&net, 1).me());
        let kind = [Kind::Swim, Kind::Pull, Kind::Rows][usize::from(kind % 3)];
        let wrapped = Envelope { kind, cluster, from, digest: 3, mark: Default::default(), beat: 0 }.around(&noise[..noise.len().min(1300)]);
        net.inject(0, &noise);
        net.inject(0, &wrapped);
        // One of its own that was overheard.
        let me = presence(&net, 1).me().clone();
        let mut own = Presence::new(me, Default::default(), Settings {
            peers: vec![net.members[0].address], ..settings()
        }, 1, net.now());
        own.turn(net.now());
        let sent = own.outputs().into_iter().find_map(|out| match out {
            Output::Send(_, bytes) => Some(bytes),
            _ => None,
        }).expect("it asks its peer");
        let mut torn = sent.clone();
        torn.truncate(cut.min(sent.len()));
        let mut flipped = sent.clone();
        let at = flip.0 % flipped.len();
        flipped[at] ^= flip.1;
        for bytes in [&sent, &sent, &torn, &flipped] {
            net.inject(0, bytes);
        }
        prop_assert!(presence(&net, 0).view().members.len() <= 64);
        net.run(60 * SECOND);
        prop_assert!(net.agree());
    }
}
