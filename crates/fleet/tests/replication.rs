//! The replicated document among voters on a virtual network with faults, over many seeds.

use lanespan_fleet::replication::document::{
    CurrentGrant, Document, Grant, LeaseProof, LogPosition, Proposal, Rejection, Verdict, LEASES_SECTION,
    SCHEMA_VERSION,
};
use lanespan_fleet::replication::lease::{Candidate, FencingGuard, HeldLeases, LeaseTable, ROLES};
use lanespan_fleet::replication::log::DurableState;
use lanespan_fleet::replication::replica::{CatchUp, CatchUpError, Replica};
use lanespan_fleet::replication::sim::Network;
use lanespan_fleet::replication::voter::{ProposeError, Voter, VoterChange};
use lanespan_fleet::replication::voter_trust::VoterTrust;
use std::collections::{BTreeMap, HashMap};

const SECOND: u64 = 1_000_000;
const PATIENCE: u64 = 60 * SECOND;

/// The one history: every index has one content at all voters, and each digest follows from it.
fn one_history(net: &Network, seen: &mut BTreeMap<u64, (LogPosition, String, u64)>) {
    for entry in net.voters.iter().flat_map(|sim| &sim.entries) {
        let held = (entry.position, entry.text.clone(), entry.digest);
        let first = seen.entry(entry.index).or_insert_with(|| held.clone());
        assert_eq!(*first, held, "index {} has two contents", entry.index);
    }
}

fn index(net: &Network, i: usize) -> u64 {
    let voter = net.voters[i].voter.as_ref();
    voter.and_then(Voter::replica).map_or(0, |replica| replica.document().index)
}

fn settled(net: &Network) -> bool {
    let marks: Vec<_> =
        net.voters.iter().filter_map(|sim| Some(sim.voter.as_ref()?.replica()?.version())).collect();
    marks.len() == net.voters.len() && marks.iter().all(|mark| *mark == marks[0])
}

/// A register under compare and set, seen by its clients: what was reported as accepted has one place in the order
/// of entries, not before it was asked for, and every success follows the value that it asked for.
#[test]
fn histories_under_faults_are_linearizable_and_no_index_has_two_entries() {
    for seed in 1..=40 {
        let voters = if seed % 2 == 0 { 5 } else { 3 };
        let mut net = Network::new(voters, 0, seed);
        net.conditions.loss = 0.1 * (seed % 3) as f64;
        net.conditions.duplication = 0.1;
        let (mut asked, mut seen, mut reported) = (HashMap::new(), BTreeMap::new(), 0);
        for id in 1..=120u64 {
            match net.rng.u8(..12) {
                0 => {
                    let i = net.rng.usize(..voters);
                    net.crash(i);
                }
                1 => {
                    let i = net.rng.usize(..voters);
                    net.stall(i, SECOND);
                }
                2 => {
                    let these: Vec<usize> = (0..voters).filter(|_| net.rng.bool()).collect();
                    net.partition(&these);
                }
                3 => {
                    let (from, to) = (net.rng.usize(..voters), net.rng.usize(..voters));
                    net.cut.insert((from, to));
                }
                4 | 5 => net.cut.clear(),
                _ => {}
            }
            for i in 0..voters {
                if net.voters[i].voter.is_none() && net.rng.u8(..4) == 0 {
                    assert!(net.start(i), "{:?}", net.voters[i].halted);
                }
            }
            // A client that reads somewhere and asks everybody, as it does not know who leads: some twice.
            let reader = net.rng.usize(..voters);
            let after = net.voters[reader].voter.as_ref().and_then(Voter::replica);
            let after =
                after.and_then(|replica| replica.document().item("register", "x")).map_or(0, |x| x.index);
            asked.insert(id, (net.now, after));
            for i in 0..voters {
                let _ = net.propose(i, id, id, Some(after));
            }
            let pause = net.rng.u64(..SECOND / 4);
            net.run(pause);
            // What lives in memory is compared before a crash forgets it.
            one_history(&net, &mut seen);
        }
        net.cut.clear();
        net.conditions.loss = 0.0;
        for i in 0..voters {
            if net.voters[i].voter.is_none() {
                assert!(net.start(i));
            }
        }
        assert!(
            net.run_until(PATIENCE, |net| settled(net) && net.leader().is_some()).is_some(),
            "seed {seed}"
        );
        one_history(&net, &mut seen);
        let mut register = 0;
        for (index, (_, text, _)) in &seen {
            let proposal: Proposal = serde_json::from_str(text).expect("an entry");
            assert_eq!(
                proposal.expected_item_index,
                Some(register),
                "seed {seed}: index {index} overwrote what it had not read"
            );
            register = *index;
            assert!(seen.values().filter(|(_, other, _)| other == text).count() == 1, "applied twice");
        }
        for (at, id, verdict) in net.voters.iter().flat_map(|sim| &sim.decided) {
            let (asked_at, _) = asked[id];
            assert!(*at >= asked_at);
            if let Verdict::Accepted(index) | Verdict::Duplicate(index) = verdict {
                let proposal: Proposal = serde_json::from_str(&seen[index].1).expect("an entry");
                assert_eq!(proposal.id, *id, "seed {seed}: reported as agreed, and is not there");
                reported += 1;
            }
        }
        assert!(reported > voters * 5, "seed {seed}: too few decisions to say anything: {reported}");
        assert!(net.voters.iter().all(|sim| sim.halted.is_none()), "seed {seed}");
    }
}

#[test]
fn the_same_seed_gives_the_same_history() {
    let played = |seed| {
        let mut net = Network::new(3, 0, seed);
        net.conditions.loss = 0.2;
        for id in 1..=20 {
            (0..3).for_each(|i| _ = net.propose(i, id, id, None));
            net.run(SECOND / 5);
        }
        (net.sent, net.voters[0].decided.clone(), net.leader())
    };
    assert_eq!(played(5), played(5));
    assert_ne!(played(5), played(6));
}

#[test]
fn a_partitioned_leader_steps_down_and_its_uncommitted_entries_are_lost() {
    for one_way in [false, true] {
        let mut net = Network::new(5, 0, 3);
        net.run_until(PATIENCE, |net| net.leader().is_some()).expect("a leader");
        let old = net.leader().expect("there");
        if one_way {
            // It hears all, and is heard by none.
            (0..5).for_each(|to| _ = net.cut.insert((old, to)));
        } else {
            net.partition(&[old]);
        }
        net.propose(old, 1, 1, None).expect("it does not know yet");
        let other = |net: &Network| {
            (0..5).find(|i| *i != old && net.voters[*i].voter.as_ref().is_some_and(Voter::is_leader))
        };
        net.run_until(PATIENCE, |net| other(net).is_some()).expect("another leads");
        let new = other(&net).expect("there");
        net.propose(new, 2, 2, None).expect("it leads");
        net.run_until(PATIENCE, |net| index(net, new) == 1).expect("agreed");
        net.run_until(PATIENCE, |net| !net.voters[old].voter.as_ref().is_some_and(Voter::is_leader))
            .expect("it gives way");
        assert_eq!(index(&net, old), 0);
        net.cut.clear();
        net.run_until(PATIENCE, settled).expect("one history");
        let all: Vec<u64> = net.voters[old].decided.iter().map(|(_, id, _)| *id).collect();
        assert_eq!(all, [2], "what was never agreed is gone");
    }
}

#[test]
fn without_a_quorum_nothing_is_committed_or_confirmed_until_it_returns() {
    let mut net = Network::new(5, 0, 9);
    net.run_until(PATIENCE, |net| net.leader().is_some()).expect("a leader");
    // 2/2/1.
    for (from, to) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| a / 2 != b / 2) {
        net.cut.insert((from, to));
    }
    net.run(2 * SECOND);
    let from = net.now;
    for i in 0..5 {
        let _ = net.propose(i, 1, 1, None);
        let _ = net.with_voter(i, |voter| {
            voter.confirm_leadership(77);
            Ok(())
        });
    }
    net.run(5 * SECOND);
    assert!((0..5).all(|i| index(&net, i) == 0));
    assert!(net.voters.iter().all(|sim| sim.confirmed.iter().all(|(at, _)| *at < from)));
    net.cut.clear();
    net.run_until(PATIENCE, |net| net.leader().is_some()).expect("a leader");
    let leader = net.leader().expect("there");
    let _ = net.propose(leader, 2, 2, None);
    net.run_until(PATIENCE, |net| settled(net) && index(net, 0) > 0).expect("it goes on");
}

#[test]
fn voters_change_one_at_a_time_and_a_late_one_gets_a_snapshot() {
    let mut net = Network::new(3, 1, 4);
    net.run_until(PATIENCE, |net| net.leader().is_some()).expect("a leader");
    let leader = net.leader().expect("there");
    // More than the log keeps, so that the newcomer can't have it entry by entry.
    for id in 1..=2_500 {
        net.propose(leader, id, id, None).expect("it leads");
        net.run_until(PATIENCE, |net| index(net, leader) == id).expect("agreed");
    }
    assert!(net.voters[leader].disk.base.index > 1, "the log is cut");
    net.change_voters(leader, 9_001, VoterChange::Add(4)).expect("it leads");
    assert_eq!(
        net.change_voters(leader, 9_002, VoterChange::Remove(1)),
        Err(ProposeError::Busy),
        "one at a time"
    );
    net.run_until(PATIENCE, settled).expect("it has all");
    let gone = (0..3).find(|i| *i != leader).expect("another");
    net.change_voters(leader, 9_003, VoterChange::Remove(gone as u64 + 1)).expect("it leads");
    net.run_until(PATIENCE, |net| index(net, leader) == 2_502).expect("agreed");
    net.crash(gone);
    // Of the other three, the one that was there already may go too: the newcomer counts.
    let third = (0..3).find(|i| *i != leader && *i != gone).expect("another");
    net.crash(third);
    net.propose(leader, 9_004, 1, None).expect("it leads");
    net.run_until(PATIENCE, |net| index(net, leader) == 2_503 && index(net, 3) == 2_503)
        .expect("two of three");
    // From its disk, cut as it is, a voter knows the same.
    net.crash(leader);
    assert!(net.start(leader) && net.start(third));
    net.run_until(PATIENCE, |net| [leader, third, 3].iter().all(|i| index(net, *i) == 2_503))
        .expect("all back");
}

#[test]
fn a_voter_on_an_older_copy_of_its_store_halts() {
    let mut net = Network::new(3, 0, 8);
    net.run_until(PATIENCE, |net| net.leader().is_some()).expect("a leader");
    let leader = net.leader().expect("there");
    let victim = (0..3).find(|i| *i != leader).expect("another");
    let older: DurableState = net.voters[victim].disk.clone();
    for id in 1..=5 {
        net.propose(leader, id, id, None).expect("it leads");
    }
    net.run_until(PATIENCE, settled).expect("all have it");
    net.run(SECOND);
    net.crash(victim);
    net.voters[victim].disk = older;
    assert!(net.start(victim));
    net.run_until(PATIENCE, |net| net.voters[victim].halted.is_some()).expect("it is reported");
    let reported = net.voters[victim].halted.clone().expect("there");
    assert!(reported.contains("an older copy?"), "{reported}");
    // Entries that are missing in the middle are reported at the start.
    let mut holed = net.voters[leader].disk.clone();
    holed.records.remove(1);
    assert!(Voter::new(1, 7, &holed, 1).err().is_some_and(|problem| problem.to_string().contains("missing")));
}

#[test]
fn a_voter_acknowledges_nothing_before_it_is_durable() {
    for seed in 1..=5 {
        let mut net = Network::new(3, 0, seed);
        net.run_until(PATIENCE, |net| net.leader().is_some()).expect("a leader");
        let leader = net.leader().expect("there");
        let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        others.iter().for_each(|i| net.voters[*i].write_time = Some(10 * SECOND..=10 * SECOND));
        net.propose(leader, 1, 1, None).expect("it leads");
        net.run(5 * SECOND);
        // Their disks lose it, and nobody may have counted on it; nor on a vote that is not kept.
        assert!(net.voters.iter().all(|sim| sim.decided.is_empty()), "seed {seed}");
        assert!(
            net.leader().is_none_or(|there| there == leader),
            "seed {seed}: elected by votes that are not kept"
        );
    }
}

#[test]
fn a_failed_write_halts_the_voter_and_commits_nothing() {
    let mut net = Network::new(3, 0, 2);
    net.run_until(PATIENCE, |net| net.leader().is_some()).expect("a leader");
    let leader = net.leader().expect("there");
    net.conditions.write_time = 10 * SECOND..=10 * SECOND;
    net.propose(leader, 1, 1, None).expect("it leads");
    net.run(SECOND);
    assert!((0..3).all(|i| index(&net, i) == 0), "no answer before the disk's");
    net.with_voter(leader, |voter| {
        voter.store_failed("no space");
        Ok(())
    })
    .expect("it runs");
    assert!(net.voters[leader].halted.as_ref().is_some_and(|reported| reported.contains("no space")));
    net.conditions.write_time = 100..=100;
    net.run_until(PATIENCE, |net| net.leader().is_some_and(|other| other != leader))
        .expect("the others go on");
}

fn change(id: u64, section: &str, value: &str) -> Proposal {
    Proposal {
        id,
        schema: SCHEMA_VERSION,
        proposer: "g0".into(),
        reason: "a test".into(),
        section: section.into(),
        key: "x".into(),
        value: Some(value.into()),
        ..Proposal::default()
    }
}

fn at(index: u64) -> LogPosition {
    LogPosition { term: 1, index }
}

fn proof(role: &str, token: LogPosition) -> LeaseProof {
    LeaseProof { role: role.into(), token }
}

fn text(proposal: &Proposal) -> String {
    serde_json::to_string(proposal).expect("a form")
}

#[test]
fn proposals_are_checked_applied_once_bounded_and_kept_in_unknown_sections() {
    let mut replica = Replica::from_document(Document::bootstrap(1, &BTreeMap::new()));
    let mut apply = |index, proposal: &Proposal| replica.apply(at(index), &text(proposal)).0;
    assert_eq!(apply(2, &change(1, "failover", "a")), Verdict::Accepted(1));
    assert_eq!(apply(3, &change(1, "failover", "a")), Verdict::Duplicate(1), "sent twice, applied once");
    let moved = Proposal { expected_index: Some(0), ..change(2, "failover", "b") };
    assert_eq!(apply(4, &moved), Verdict::Rejected(Rejection::DocumentChanged(1)));
    let changed = Proposal { expected_item_index: Some(0), ..change(3, "failover", "b") };
    assert_eq!(apply(5, &changed), Verdict::Rejected(Rejection::ItemChanged(1)));
    let absent = Proposal { value: None, key: "y".into(), ..change(4, "failover", "") };
    assert_eq!(apply(6, &absent), Verdict::Rejected(Rejection::ItemChanged(0)));
    let long = change(5, "failover", &"x".repeat(5_000));
    assert!(matches!(apply(7, &long), Verdict::Rejected(Rejection::Invalid(_))));
    let late = Proposal { lease: Some(proof("failover", at(3))), ..change(6, "failover", "c") };
    assert!(matches!(apply(8, &late), Verdict::Rejected(Rejection::Fenced(_))));
    // A newer build's section, with a field that this one does not know.
    let newer =
        text(&Proposal { schema: 9, ..change(7, "weather", "sun") }).replace("{\"id\"", "{\"moon\":3,\"id\"");
    assert_eq!(replica.apply(at(9), &newer).0, Verdict::Accepted(2));
    assert_eq!(replica.document().item("weather", "x").map(|item| item.value.as_str()), Some("sun"));
    assert!(
        replica.entries().last().is_some_and(|entry| entry.text.contains("moon")),
        "passed on as it came"
    );
    for id in 100..2_000 {
        replica.apply(at(id), &text(&Proposal { key: format!("k{id}"), ..change(id, "work", "v") }));
    }
    assert_eq!(replica.document().sections.values().map(BTreeMap::len).sum::<usize>(), 1_024);
}

#[test]
fn followers_catch_up_by_entries_or_snapshot_and_detect_divergence() {
    let mut whole = Replica::from_document(Document::bootstrap(1, &BTreeMap::new()));
    let mut follower = whole.clone();
    for id in 1..=12_000 {
        whole.apply(at(id + 1), &text(&change(id, "work", &id.to_string())));
    }
    // 10,000 and more behind: the state. Then entries, some at a time.
    assert!(matches!(whole.catch_up_after(0), Some(CatchUp::Snapshot(_))));
    let mut late = Replica::default();
    late.apply_catch_up(1, whole.catch_up_after(0).expect("news")).expect("taken");
    assert_eq!(late.version(), whole.version());
    follower.apply_catch_up(1, whole.catch_up_after(0).expect("news")).expect("taken");
    for id in 12_001..=20_000 {
        whole.apply(at(id + 1), &text(&change(id, "work", &id.to_string())));
    }
    let mut answers = 0;
    while let Some(news) = whole.catch_up_after(follower.document().index) {
        follower.apply_catch_up(1, news).expect("taken");
        answers += 1;
    }
    assert_eq!(follower.version(), whole.version());
    assert!((2..50).contains(&answers), "bounded answers: {answers}");
    assert_eq!(follower.digest_at(15_000), whole.digest_at(15_000));
    // Another plan, one that differs, and one that does not follow.
    assert_eq!(follower.apply_catch_up(2, CatchUp::Entries(Vec::new())), Err(CatchUpError::OtherDocument(2)));
    let before = follower.clone();
    whole.apply(at(30_000), &text(&change(30_000, "work", "v")));
    let Some(CatchUp::Entries(mut entries)) = whole.catch_up_after(20_000) else { panic!("entries") };
    entries[0].digest ^= 1;
    assert_eq!(
        follower.apply_catch_up(1, CatchUp::Entries(entries.clone())),
        Err(CatchUpError::Diverged(20_001))
    );
    entries[0].index += 1;
    assert_eq!(follower.apply_catch_up(1, CatchUp::Entries(entries)), Err(CatchUpError::Stale));
    assert_eq!(follower.version(), before.version());
}

#[test]
fn trust_in_the_last_document_declines_linearly() {
    let trust = VoterTrust { full_trust_us: 30, ramp_us: 20 };
    let shares: Vec<f64> = [0, 30, 35, 40, 50, 1_000].iter().map(|since| trust.share(*since)).collect();
    assert_eq!(shares, [1.0, 1.0, 0.75, 0.5, 0.0, 0.0]);
}

/// The leader's and the holders' sides over lossy, late renewals, stalls and clocks that run 1% fast or slow: whoever
/// acts without looking again is fenced, and whoever looks never acts beside another.
#[test]
fn no_two_gateways_hold_a_lease_at_once_and_a_late_holder_is_fenced() {
    let mut handed_over = 0;
    for seed in 1..=200u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let members: Vec<Candidate> = (0..3).map(|i| Candidate::new(format!("g{i}"), 1)).collect();
        let speed: Vec<f64> = (0..4).map(|_| 0.99 + 0.02 * rng.f64()).collect();
        let clock = |who: usize, now: u64| (now as f64 * speed[who]) as u64 + 1_000_000;
        let mut document = Document::bootstrap(1, &BTreeMap::new());
        let (mut leases, mut held) =
            (LeaseTable::new(1, clock(3, 0)), [(); 3].map(|()| HeldLeases::default()));
        let (mut receiver, mut place, mut last) = (FencingGuard::default(), 1, BTreeMap::new());
        // Renewals on their way: when they arrive, whose, of what, and when they were sent by the sender's clock.
        let mut on_the_way: Vec<(u64, usize, &'static str, LogPosition, u64)> = Vec::new();
        let mut stalled = [0u64; 3];
        // What a stalled holder had looked up before it stood still.
        let mut in_hand: [Option<(&'static str, LogPosition)>; 3] = [None; 3];
        for now in (0..20_000_000u64).step_by(50_000) {
            if rng.u16(..200) == 0 {
                // A new leader: it knows no renewals.
                leases = LeaseTable::new(1, clock(3, now));
            }
            for proposal in leases.grants_due(&document, &members, 1_000_000, clock(3, now), || rng.u64(1..))
            {
                place += 1;
                if rng.u8(..10) == 0 {
                    leases.grant_failed(proposal.id);
                    continue;
                }
                let (verdict, _) = document.apply(at(place), &text(&proposal));
                assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
                leases.record_grant(&proposal.key, at(place), clock(3, now));
                handed_over += 1;
            }
            on_the_way.retain(|(arrives, who, role, token, sent)| {
                if *arrives > now {
                    return true;
                }
                if leases.renew(&document, role, *token, clock(3, now)) && stalled[*who] <= now {
                    held[*who].renewed(role, *token, *sent, clock(*who, now));
                }
                false
            });
            for who in 0..3 {
                if stalled[who] > now {
                    continue;
                }
                if let Some((role, token)) = in_hand[who].take() {
                    // Resumed in the middle of a side effect.
                    let current = last.get(role).copied().unwrap_or_default();
                    assert_eq!(receiver.admits(role, token), token >= current, "seed {seed}");
                }
                held[who].update(&document, &members[who], clock(who, now));
                for (role, token) in held[who].renewals_due(clock(who, now)) {
                    if rng.u8(..10) < 7 {
                        let late = rng.u64(..400_000);
                        on_the_way.push((now + late, who, role, token, clock(who, now)));
                    }
                }
                if rng.u16(..300) == 0 {
                    stalled[who] = now + rng.u64(..3_000_000);
                    in_hand[who] =
                        ROLES.into_iter().find_map(|d| Some((d, held[who].token(d, clock(who, now))?)));
                }
            }
            for role in ROLES {
                let holders: Vec<(usize, LogPosition)> =
                    (0..3).filter_map(|who| Some((who, held[who].token(role, clock(who, now))?))).collect();
                assert!(holders.len() <= 1, "seed {seed}, {now}: {role} held by {holders:?}");
                for (who, token) in holders.into_iter().filter(|(who, _)| stalled[*who] <= now) {
                    assert!(receiver.admits(role, token), "seed {seed}: {who} holds {role} and is fenced");
                    last.insert(role, token);
                }
            }
        }
        assert!(last.len() == ROLES.len(), "seed {seed}: each role was held");
    }
    assert!(handed_over > 600, "{handed_over}");
}

#[test]
fn a_lease_is_granted_again_when_it_expires_and_not_before() {
    let members: Vec<Candidate> = (0..3).map(|i| Candidate::new(format!("g{i}"), 1)).collect();
    for (new_leader, least) in [(None, 1.05), (Some(SECOND / 2), 1.55)] {
        let (mut document, mut leases, mut place) =
            (Document::bootstrap(1, &BTreeMap::new()), LeaseTable::new(1, 0), 1);
        let mut granted = Vec::new();
        for now in (0..3 * SECOND).step_by(10_000) {
            // Also where one loses the lead and gets it back before it looks.
            let term = if new_leader.is_some_and(|at| now >= at) { 2 } else { 1 };
            leases = LeaseTable::in_term(Some(leases), term, now);
            for proposal in leases.grants_due(&document, &members, SECOND, now, || now + 1) {
                place += 1;
                let one = Proposal { id: place, ..proposal.clone() };
                assert!(matches!(document.apply(at(place), &text(&one)).0, Verdict::Accepted(_)));
                leases.record_grant(&proposal.key, at(place), now);
                granted.extend((proposal.key == ROLES[0]).then_some(now as f64 / SECOND as f64));
            }
        }
        assert!(granted[1] >= least && granted[1] <= least + 0.011, "{new_leader:?}: {granted:?}");
    }
}

#[test]
fn a_lease_is_released_by_its_holder_only() {
    let mut document = Document::bootstrap(1, &BTreeMap::new());
    let members: Vec<Candidate> = (0..5).map(|i| Candidate::new(format!("g{i}"), 1)).collect();
    let mut leases = LeaseTable::new(1, 0);
    for proposal in leases.grants_due(&document, &members, SECOND, 0, || 1) {
        let place = at(if proposal.key == ROLES[0] { 2 } else { 3 });
        // One id for both: the second is known, and nobody's.
        let _ = document.apply(place, &text(&Proposal { id: place.index, ..proposal.clone() }));
        leases.record_grant(&proposal.key, place, 0);
    }
    let CurrentGrant { grant, token } = document.grant(ROLES[0]).expect("granted");
    let me = Candidate::new(&grant.holder, grant.incarnation);
    let mut held = HeldLeases::default();
    held.update(&document, &me, 0);
    assert_eq!(held.token(ROLES[0], 0), None, "not before a renewal");
    held.renewed(ROLES[0], token, 0, 10);
    assert_eq!(held.token(ROLES[0], 10), Some(token));
    assert_eq!(held.token(ROLES[0], SECOND * 96 / 100), None, "it stops before the lease can have ended");
    let back = held.release(&me, 10, || 99);
    assert_eq!(held.token(ROLES[0], 10), None);
    // Another's token gives nothing back.
    let forged = Proposal { id: 98, lease: Some(proof(ROLES[0], at(1))), ..back[0].clone() };
    assert!(matches!(document.apply(at(5), &text(&forged)).0, Verdict::Rejected(Rejection::Fenced(_))));
    assert!(matches!(document.apply(at(6), &text(&back[0])).0, Verdict::Accepted(_)));
    assert_eq!(document.grant(ROLES[0]), None);
    let others: Vec<Candidate> = members.iter().filter(|member| **member != me).cloned().collect();
    let next = leases.grants_due(&document, &others, SECOND, 20, || 100);
    let grant: Grant = serde_json::from_str(next[0].value.as_deref().expect("a value")).expect("a grant");
    assert!(next.len() == 1 && grant.holder != me.name && next[0].section == LEASES_SECTION);
}

/// A role that this candidate was granted, as the leader's leases and the document have it.
fn granted_to(me: &Candidate, index: u64) -> (Document, LeaseTable, LogPosition) {
    let (mut document, mut leases) = (Document::bootstrap(1, &BTreeMap::new()), LeaseTable::new(1, 0));
    let due = leases.grants_due(&document, std::slice::from_ref(me), SECOND, 0, || 1);
    let grant = due.into_iter().find(|proposal| proposal.key == ROLES[0]).expect("nobody holds it");
    assert!(matches!(document.apply(at(index), &text(&grant)).0, Verdict::Accepted(_)));
    leases.record_grant(ROLES[0], at(index), 0);
    leases.grant_failed(1); // That of the other role.
    (document, leases, at(index))
}

#[test]
fn an_incarnation_that_released_a_lease_is_granted_none_before_gossip_tells_that_it_leaves() {
    let (me, other) = (Candidate::new("g0", 1), Candidate::new("g1", 1));
    let (mut document, mut leases, _) = granted_to(&me, 2);
    let mut held = HeldLeases::default();
    held.update(&document, &me, 0);
    let back = held.release(&me, 10, || 99);
    let before = document.grant(ROLES[0]).expect("granted").grant;
    assert!(matches!(document.apply(at(3), &text(&back[0])).0, Verdict::Accepted(_)));
    leases.record_release(before);
    let mut due = |candidates: &[Candidate]| {
        let due = leases.grants_due(&document, candidates, SECOND, 20, || 100);
        due.iter().for_each(|proposal| leases.grant_failed(proposal.id));
        let holder = |grant: &Proposal| serde_json::from_str::<Grant>(grant.value.as_deref()?).ok();
        due.iter()
            .filter_map(holder)
            .map(|grant| Candidate::new(grant.holder, grant.incarnation))
            .collect::<Vec<Candidate>>()
    };
    assert_eq!(due(std::slice::from_ref(&me)), [], "whoever leaves is no candidate");
    assert_eq!(due(&[me.clone(), other.clone()]), [other.clone(), other.clone()]);
    let again = Candidate::new(&me.name, 2);
    assert_eq!(due(&[me, again.clone()]), [again.clone(), again], "its next life may hold it");
}

#[test]
fn a_leaving_gateway_releases_late_grants_and_leases_that_were_never_renewed() {
    let me = Candidate::new("g0", 1);
    let (mut document, _, token) = granted_to(&me, 2);
    let mut held = HeldLeases::default();
    held.update(&document, &me, 0);
    assert_eq!(
        held.renewals_due(5),
        [(ROLES[0], token)],
        "its first renewal is under way as it is told to stop"
    );
    let back = held.release(&me, 10, || 99);
    assert_eq!(back.len(), 1, "granted is enough");
    assert_eq!(held.renewed(ROLES[0], token, 5, 15), None, "a late renewal makes it a holder no more");
    assert_eq!(held.token(ROLES[0], 15), None);
    assert!(held.release(&me, 20, || 98).is_empty(), "asked for a moment ago");
    assert_eq!(held.release(&me, SECOND, || 97).len(), 1, "and again, where that was lost");
    assert!(matches!(document.apply(at(3), &text(&back[0])).0, Verdict::Accepted(_)));
    assert!(held.update(&document, &me, SECOND).is_empty());
    // Another leader, who has heard of nothing, grants it once more.
    let grant =
        serde_json::to_string(&Grant { holder: me.name.clone(), incarnation: me.incarnation, ttl: SECOND })
            .expect("words");
    let late = Proposal { value: Some(grant), ..change(50, LEASES_SECTION, "") };
    let late = Proposal { key: ROLES[0].to_string(), ..late };
    assert!(matches!(document.apply(at(4), &text(&late)).0, Verdict::Accepted(_)));
    held.update(&document, &me, SECOND + 10);
    assert!(held.renewals_due(SECOND + 10).is_empty());
    let back = held.release(&me, SECOND + 10, || 96);
    assert_eq!(back[0].lease, Some(proof(ROLES[0], at(4))));
    assert!(matches!(document.apply(at(5), &text(&back[0])).0, Verdict::Accepted(_)));
    assert_eq!(document.grant(ROLES[0]), None);
}

#[test]
fn a_lost_first_renewal_is_retried_soon_however_long_the_lease_is() {
    let me = Candidate::new("g0", 1);
    for ttl in [5 * SECOND, 600 * SECOND] {
        let mut document = Document::default();
        let grant = Grant { holder: me.name.clone(), incarnation: me.incarnation, ttl };
        let value = Some(serde_json::to_string(&grant).expect("words"));
        let granted = Proposal { value, key: ROLES[0].to_string(), ..change(50, LEASES_SECTION, "") };
        assert!(matches!(document.apply(at(1), &text(&granted)).0, Verdict::Accepted(_)));
        let mut held = HeldLeases::default();
        held.update(&document, &me, 0);
        assert_eq!(held.renewals_due(5), [(ROLES[0], at(1))]);
        assert!(held.renewals_due(SECOND / 2).is_empty(), "it may still be answered");
        assert_eq!(held.renewals_due(5 * SECOND / 2), [(ROLES[0], at(1))], "a lease of {ttl} us");
        held.renewed(ROLES[0], at(1), 5 * SECOND / 2, 5 * SECOND / 2 + 10);
        assert!(held.renewals_due(3 * SECOND).is_empty(), "one that was renewed waits for its time");
    }
}
