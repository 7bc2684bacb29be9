//! Tests of the replicated document and of its leases: voters on a simulated network with faults, over many seeds.

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

/// One second, in microseconds.
const SECOND: u64 = 1_000_000;
/// How long a test waits for a condition, in simulated microseconds.
const MAX_WAIT: u64 = 60 * SECOND;

/// Asserts that all voters have the same entry at each index, with the same position and digest.
fn assert_single_history(net: &Network, history: &mut BTreeMap<u64, (LogPosition, String, u64)>) {
    for entry in net.voters.iter().flat_map(|sim| &sim.entries) {
        let contents = (entry.position, entry.text.clone(), entry.digest);
        let first = history.entry(entry.index).or_insert_with(|| contents.clone());
        assert_eq!(*first, contents, "index {} has two different entries", entry.index);
    }
}

fn document_index(net: &Network, i: usize) -> u64 {
    let voter = net.voters[i].voter.as_ref();
    voter.and_then(Voter::replica).map_or(0, |replica| replica.document().index)
}

fn replicas_agree(net: &Network) -> bool {
    let versions: Vec<_> =
        net.voters.iter().filter_map(|sim| Some(sim.voter.as_ref()?.replica()?.version())).collect();
    versions.len() == net.voters.len() && versions.iter().all(|version| *version == versions[0])
}

/// Compare-and-set on a register, as its clients see it. Each accepted proposal must have exactly one entry, be decided
/// no earlier than it was proposed, and follow the version of the register that it expected.
#[test]
fn histories_under_faults_are_linearizable_with_one_entry_per_index() {
    for seed in 1..=40 {
        let voters = if seed % 2 == 0 { 5 } else { 3 };
        let mut net = Network::new(voters, 0, seed);
        net.conditions.loss = 0.1 * (seed % 3) as f64;
        net.conditions.duplication = 0.1;
        let (mut proposed, mut history, mut accepted_count) = (HashMap::new(), BTreeMap::new(), 0);
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
                    let side: Vec<usize> = (0..voters).filter(|_| net.rng.bool()).collect();
                    net.partition(&side);
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
            // The client reads from any voter and proposes to all, because it does not know the leader. Some proposals
            // are therefore proposed twice.
            let reader = net.rng.usize(..voters);
            let expected = net.voters[reader].voter.as_ref().and_then(Voter::replica);
            let expected = expected
                .and_then(|replica| replica.document().item("register", "x"))
                .map_or(0, |item| item.index);
            proposed.insert(id, (net.now, expected));
            for i in 0..voters {
                let _ = net.propose(i, id, id, Some(expected));
            }
            let pause = net.rng.u64(..SECOND / 4);
            net.run(pause);
            // Entries are kept in memory only, so they are compared before a crash loses them.
            assert_single_history(&net, &mut history);
        }
        net.cut.clear();
        net.conditions.loss = 0.0;
        for i in 0..voters {
            if net.voters[i].voter.is_none() {
                assert!(net.start(i));
            }
        }
        assert!(
            net.run_until(MAX_WAIT, |net| replicas_agree(net) && net.leader().is_some()).is_some(),
            "seed {seed}"
        );
        assert_single_history(&net, &mut history);
        let mut register_index = 0;
        for (index, (_, text, _)) in &history {
            let proposal: Proposal = serde_json::from_str(text).expect("the entry is a proposal");
            assert_eq!(
                proposal.expected_item_index,
                Some(register_index),
                "seed {seed}: the entry at index {index} overwrote a version that it did not expect"
            );
            register_index = *index;
            assert!(
                history.values().filter(|(_, other, _)| other == text).count() == 1,
                "the entry was applied twice"
            );
        }
        for (at, id, verdict) in net.voters.iter().flat_map(|sim| &sim.decided) {
            let (proposed_at, _) = proposed[id];
            assert!(*at >= proposed_at);
            if let Verdict::Accepted(index) | Verdict::Duplicate(index) = verdict {
                let proposal: Proposal =
                    serde_json::from_str(&history[index].1).expect("the entry is a proposal");
                assert_eq!(
                    proposal.id, *id,
                    "seed {seed}: reported as accepted at an index that has another entry"
                );
                accepted_count += 1;
            }
        }
        assert!(
            accepted_count > voters * 5,
            "seed {seed}: too few accepted proposals for a meaningful check: {accepted_count}"
        );
        assert!(net.voters.iter().all(|sim| sim.halted.is_none()), "seed {seed}");
    }
}

#[test]
fn the_same_seed_gives_the_same_history() {
    let run = |seed| {
        let mut net = Network::new(3, 0, seed);
        net.conditions.loss = 0.2;
        for id in 1..=20 {
            (0..3).for_each(|i| _ = net.propose(i, id, id, None));
            net.run(SECOND / 5);
        }
        (net.sent, net.voters[0].decided.clone(), net.leader())
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn a_partitioned_leader_steps_down_and_its_uncommitted_entries_are_lost() {
    for one_way in [false, true] {
        let mut net = Network::new(5, 0, 3);
        net.run_until(MAX_WAIT, |net| net.leader().is_some()).expect("a leader is elected");
        let old = net.leader().expect("there is a leader");
        if one_way {
            // It receives from all voters, but none receives from it.
            (0..5).for_each(|to| _ = net.cut.insert((old, to)));
        } else {
            net.partition(&[old]);
        }
        net.propose(old, 1, 1, None).expect("the old leader still acts as the leader");
        let other_leader = |net: &Network| {
            (0..5).find(|i| *i != old && net.voters[*i].voter.as_ref().is_some_and(Voter::is_leader))
        };
        net.run_until(MAX_WAIT, |net| other_leader(net).is_some()).expect("another leader is elected");
        let new = other_leader(&net).expect("there is another leader");
        net.propose(new, 2, 2, None).expect("the voter is the leader");
        net.run_until(MAX_WAIT, |net| document_index(net, new) == 1).expect("the proposal is committed");
        net.run_until(MAX_WAIT, |net| !net.voters[old].voter.as_ref().is_some_and(Voter::is_leader))
            .expect("the old leader steps down");
        assert_eq!(document_index(&net, old), 0);
        net.cut.clear();
        net.run_until(MAX_WAIT, replicas_agree).expect("all voters agree");
        let decided: Vec<u64> = net.voters[old].decided.iter().map(|(_, id, _)| *id).collect();
        assert_eq!(decided, [2], "the entry that was not committed is lost");
    }
}

#[test]
fn without_a_quorum_nothing_is_committed_or_confirmed_until_it_is_restored() {
    let mut net = Network::new(5, 0, 9);
    net.run_until(MAX_WAIT, |net| net.leader().is_some()).expect("a leader is elected");
    // A partition into groups of 2, 2 and 1.
    for (from, to) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| a / 2 != b / 2) {
        net.cut.insert((from, to));
    }
    net.run(2 * SECOND);
    let partitioned_at = net.now;
    for i in 0..5 {
        let _ = net.propose(i, 1, 1, None);
        let _ = net.with_voter(i, |voter| {
            voter.confirm_leadership(77);
            Ok(())
        });
    }
    net.run(5 * SECOND);
    assert!((0..5).all(|i| document_index(&net, i) == 0));
    assert!(net.voters.iter().all(|sim| sim.confirmed.iter().all(|(at, _)| *at < partitioned_at)));
    net.cut.clear();
    net.run_until(MAX_WAIT, |net| net.leader().is_some()).expect("a leader is elected");
    let leader = net.leader().expect("there is a leader");
    let _ = net.propose(leader, 2, 2, None);
    net.run_until(MAX_WAIT, |net| replicas_agree(net) && document_index(net, 0) > 0)
        .expect("proposals are committed again");
}

#[test]
fn voters_change_one_at_a_time_and_an_added_voter_gets_a_snapshot() {
    let mut net = Network::new(3, 1, 4);
    net.run_until(MAX_WAIT, |net| net.leader().is_some()).expect("a leader is elected");
    let leader = net.leader().expect("there is a leader");
    // More entries than the log retains, so that the added voter needs a snapshot.
    for id in 1..=2_500 {
        net.propose(leader, id, id, None).expect("the voter is the leader");
        net.run_until(MAX_WAIT, |net| document_index(net, leader) == id).expect("the proposal is committed");
    }
    assert!(net.voters[leader].disk.base.index > 1, "the log is compacted");
    net.change_voters(leader, 9_001, VoterChange::Add(4)).expect("the voter is the leader");
    assert_eq!(
        net.change_voters(leader, 9_002, VoterChange::Remove(1)),
        Err(ProposeError::Busy),
        "only one change of voters at a time"
    );
    net.run_until(MAX_WAIT, replicas_agree).expect("the added voter catches up");
    let removed = (0..3).find(|i| *i != leader).expect("there are other voters");
    net.change_voters(leader, 9_003, VoterChange::Remove(removed as u64 + 1))
        .expect("the voter is the leader");
    net.run_until(MAX_WAIT, |net| document_index(net, leader) == 2_502).expect("the proposal is committed");
    net.crash(removed);
    // One more of the initial voters may crash: the added voter counts towards the majority of the remaining three.
    let third = (0..3).find(|i| *i != leader && *i != removed).expect("there are other voters");
    net.crash(third);
    net.propose(leader, 9_004, 1, None).expect("the voter is the leader");
    net.run_until(MAX_WAIT, |net| document_index(net, leader) == 2_503 && document_index(net, 3) == 2_503)
        .expect("two of three voters are a majority");
    // A voter restores the same document from its compacted log.
    net.crash(leader);
    assert!(net.start(leader) && net.start(third));
    net.run_until(MAX_WAIT, |net| [leader, third, 3].iter().all(|i| document_index(net, *i) == 2_503))
        .expect("all voters have all entries");
}

#[test]
fn a_voter_on_an_older_copy_of_its_store_halts() {
    let mut net = Network::new(3, 0, 8);
    net.run_until(MAX_WAIT, |net| net.leader().is_some()).expect("a leader is elected");
    let leader = net.leader().expect("there is a leader");
    let stale = (0..3).find(|i| *i != leader).expect("there are other voters");
    let older: DurableState = net.voters[stale].disk.clone();
    for id in 1..=5 {
        net.propose(leader, id, id, None).expect("the voter is the leader");
    }
    net.run_until(MAX_WAIT, replicas_agree).expect("all voters have the entries");
    net.run(SECOND);
    net.crash(stale);
    net.voters[stale].disk = older;
    assert!(net.start(stale));
    net.run_until(MAX_WAIT, |net| net.voters[stale].halted.is_some()).expect("the voter halts");
    let reason = net.voters[stale].halted.clone().expect("the voter has halted");
    assert!(reason.contains("an older copy?"), "{reason}");
    // A gap in the log is reported when the voter starts.
    let mut with_gap = net.voters[leader].disk.clone();
    with_gap.records.remove(1);
    assert!(Voter::new(1, 7, &with_gap, 1).err().is_some_and(|error| error.to_string().contains("missing")));
}

#[test]
fn a_voter_acknowledges_nothing_before_it_is_durable() {
    for seed in 1..=5 {
        let mut net = Network::new(3, 0, seed);
        net.run_until(MAX_WAIT, |net| net.leader().is_some()).expect("a leader is elected");
        let leader = net.leader().expect("there is a leader");
        let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        others.iter().for_each(|i| net.voters[*i].write_time = Some(10 * SECOND..=10 * SECOND));
        net.propose(leader, 1, 1, None).expect("the voter is the leader");
        net.run(5 * SECOND);
        // The other voters' writes are not durable yet, so nothing may be decided, and no vote may count.
        assert!(net.voters.iter().all(|sim| sim.decided.is_empty()), "seed {seed}");
        assert!(
            net.leader().is_none_or(|current| current == leader),
            "seed {seed}: a leader was elected by votes that are not durable"
        );
    }
}

#[test]
fn a_failed_write_halts_the_voter_and_commits_nothing() {
    let mut net = Network::new(3, 0, 2);
    net.run_until(MAX_WAIT, |net| net.leader().is_some()).expect("a leader is elected");
    let leader = net.leader().expect("there is a leader");
    net.conditions.write_time = 10 * SECOND..=10 * SECOND;
    net.propose(leader, 1, 1, None).expect("the voter is the leader");
    net.run(SECOND);
    assert!(
        (0..3).all(|i| document_index(&net, i) == 0),
        "nothing is committed before the writes are durable"
    );
    net.with_voter(leader, |voter| {
        voter.store_failed("no space");
        Ok(())
    })
    .expect("the voter is running");
    assert!(net.voters[leader].halted.as_ref().is_some_and(|reason| reason.contains("no space")));
    net.conditions.write_time = 100..=100;
    net.run_until(MAX_WAIT, |net| net.leader().is_some_and(|other| other != leader))
        .expect("the other voters elect a leader");
}

fn test_proposal(id: u64, section: &str, value: &str) -> Proposal {
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

fn log_position(index: u64) -> LogPosition {
    LogPosition { term: 1, index }
}

fn proof(role: &str, token: LogPosition) -> LeaseProof {
    LeaseProof { role: role.into(), token }
}

fn to_json(proposal: &Proposal) -> String {
    serde_json::to_string(proposal).expect("the value can be encoded")
}

#[test]
fn proposals_are_validated_deduplicated_and_limited_and_unknown_sections_are_kept() {
    let mut replica = Replica::from_document(Document::bootstrap(1, &BTreeMap::new()));
    let mut apply = |index, proposal: &Proposal| replica.apply(log_position(index), &to_json(proposal)).0;
    assert_eq!(apply(2, &test_proposal(1, "failover", "a")), Verdict::Accepted(1));
    assert_eq!(
        apply(3, &test_proposal(1, "failover", "a")),
        Verdict::Duplicate(1),
        "a proposal that is sent twice is applied once"
    );
    let stale_document = Proposal { expected_index: Some(0), ..test_proposal(2, "failover", "b") };
    assert_eq!(apply(4, &stale_document), Verdict::Rejected(Rejection::DocumentChanged(1)));
    let stale_item = Proposal { expected_item_index: Some(0), ..test_proposal(3, "failover", "b") };
    assert_eq!(apply(5, &stale_item), Verdict::Rejected(Rejection::ItemChanged(1)));
    let absent = Proposal { value: None, key: "y".into(), ..test_proposal(4, "failover", "") };
    assert_eq!(apply(6, &absent), Verdict::Rejected(Rejection::ItemChanged(0)));
    let too_long = test_proposal(5, "failover", &"x".repeat(5_000));
    assert!(matches!(apply(7, &too_long), Verdict::Rejected(Rejection::Invalid(_))));
    let stale_lease =
        Proposal { lease: Some(proof("failover", log_position(3))), ..test_proposal(6, "failover", "c") };
    assert!(matches!(apply(8, &stale_lease), Verdict::Rejected(Rejection::Fenced(_))));
    // A proposal of a newer build, with a section and a field that this build does not know.
    let newer = to_json(&Proposal { schema: 9, ..test_proposal(7, "weather", "sun") })
        .replace("{\"id\"", "{\"moon\":3,\"id\"");
    assert_eq!(replica.apply(log_position(9), &newer).0, Verdict::Accepted(2));
    assert_eq!(replica.document().item("weather", "x").map(|item| item.value.as_str()), Some("sun"));
    assert!(
        replica.entries().last().is_some_and(|entry| entry.text.contains("moon")),
        "the unknown field is kept"
    );
    for id in 100..2_000 {
        replica.apply(
            log_position(id),
            &to_json(&Proposal { key: format!("k{id}"), ..test_proposal(id, "work", "v") }),
        );
    }
    assert_eq!(replica.document().sections.values().map(BTreeMap::len).sum::<usize>(), 1_024);
}

#[test]
fn followers_catch_up_by_entries_or_snapshot_and_detect_divergence() {
    let mut source = Replica::from_document(Document::bootstrap(1, &BTreeMap::new()));
    let mut follower = source.clone();
    for id in 1..=12_000 {
        source.apply(log_position(id + 1), &to_json(&test_proposal(id, "work", &id.to_string())));
    }
    // A follower that is more than 10,000 entries behind gets a snapshot. Then it gets entries, in several responses.
    assert!(matches!(source.catch_up_after(0), Some(CatchUp::Snapshot(_))));
    let mut new_follower = Replica::default();
    new_follower
        .apply_catch_up(1, source.catch_up_after(0).expect("the follower is behind"))
        .expect("the catch-up applies");
    assert_eq!(new_follower.version(), source.version());
    follower
        .apply_catch_up(1, source.catch_up_after(0).expect("the follower is behind"))
        .expect("the catch-up applies");
    for id in 12_001..=20_000 {
        source.apply(log_position(id + 1), &to_json(&test_proposal(id, "work", &id.to_string())));
    }
    let mut response_count = 0;
    while let Some(catch_up) = source.catch_up_after(follower.document().index) {
        follower.apply_catch_up(1, catch_up).expect("the catch-up applies");
        response_count += 1;
    }
    assert_eq!(follower.version(), source.version());
    assert!((2..50).contains(&response_count), "number of bounded responses: {response_count}");
    assert_eq!(follower.digest_at(15_000), source.digest_at(15_000));
    // Catch-ups of another document, with a divergent entry, and that do not follow the local version.
    assert_eq!(follower.apply_catch_up(2, CatchUp::Entries(Vec::new())), Err(CatchUpError::OtherDocument(2)));
    let before = follower.clone();
    source.apply(log_position(30_000), &to_json(&test_proposal(30_000, "work", "v")));
    let Some(CatchUp::Entries(mut entries)) = source.catch_up_after(20_000) else {
        panic!("expected entries")
    };
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
    let shares: Vec<f64> = [0, 30, 35, 40, 50, 1_000].iter().map(|age| trust.share(*age)).collect();
    assert_eq!(shares, [1.0, 1.0, 0.75, 0.5, 0.0, 0.0]);
}

/// Runs a leader and three holders with lost and late renewals, stalls and clocks that run 1% fast or slow. A holder
/// that acts after a stall without checking its lease again is fenced, and no two gateways hold a lease at once.
#[test]
fn at_most_one_gateway_holds_a_lease_and_a_late_holder_is_fenced() {
    let mut grant_count = 0;
    for seed in 1..=200u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let candidates: Vec<Candidate> = (0..3).map(|i| Candidate::new(format!("g{i}"), 1)).collect();
        let clock_speeds: Vec<f64> = (0..4).map(|_| 0.99 + 0.02 * rng.f64()).collect();
        let clock = |gateway: usize, now: u64| (now as f64 * clock_speeds[gateway]) as u64 + 1_000_000;
        let mut document = Document::bootstrap(1, &BTreeMap::new());
        let (mut leases, mut held) =
            (LeaseTable::new(1, clock(3, 0)), [(); 3].map(|()| HeldLeases::default()));
        let (mut guard, mut log_index, mut last_tokens) = (FencingGuard::default(), 1, BTreeMap::new());
        // Renewals in flight: the time of arrival, the holder, the role, the token, and the time of sending by the
        // holder's clock.
        let mut in_flight: Vec<(u64, usize, &'static str, LogPosition, u64)> = Vec::new();
        let mut stalled_until = [0u64; 3];
        // The role and token that a stalled holder had looked up before the stall.
        let mut looked_up: [Option<(&'static str, LogPosition)>; 3] = [None; 3];
        for now in (0..20_000_000u64).step_by(50_000) {
            if rng.u16(..200) == 0 {
                // A new leader does not know the renewals of its predecessor.
                leases = LeaseTable::new(1, clock(3, now));
            }
            for proposal in
                leases.grants_due(&document, &candidates, 1_000_000, clock(3, now), || rng.u64(1..))
            {
                log_index += 1;
                if rng.u8(..10) == 0 {
                    leases.grant_failed(proposal.id);
                    continue;
                }
                let (verdict, _) = document.apply(log_position(log_index), &to_json(&proposal));
                assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
                leases.record_grant(&proposal.key, log_position(log_index), clock(3, now));
                grant_count += 1;
            }
            in_flight.retain(|(arrives, gateway, role, token, sent)| {
                if *arrives > now {
                    return true;
                }
                if leases.renew(&document, role, *token, clock(3, now)) && stalled_until[*gateway] <= now {
                    held[*gateway].renewed(role, *token, *sent, clock(*gateway, now));
                }
                false
            });
            for gateway in 0..3 {
                if stalled_until[gateway] > now {
                    continue;
                }
                if let Some((role, token)) = looked_up[gateway].take() {
                    // The holder resumes in the middle of a side effect.
                    let current = last_tokens.get(role).copied().unwrap_or_default();
                    assert_eq!(guard.admits(role, token), token >= current, "seed {seed}");
                }
                held[gateway].update(&document, &candidates[gateway], clock(gateway, now));
                for (role, token) in held[gateway].renewals_due(clock(gateway, now)) {
                    if rng.u8(..10) < 7 {
                        let delay = rng.u64(..400_000);
                        in_flight.push((now + delay, gateway, role, token, clock(gateway, now)));
                    }
                }
                if rng.u16(..300) == 0 {
                    stalled_until[gateway] = now + rng.u64(..3_000_000);
                    looked_up[gateway] = ROLES
                        .into_iter()
                        .find_map(|role| Some((role, held[gateway].token(role, clock(gateway, now))?)));
                }
            }
            for role in ROLES {
                let holders: Vec<(usize, LogPosition)> = (0..3)
                    .filter_map(|gateway| Some((gateway, held[gateway].token(role, clock(gateway, now))?)))
                    .collect();
                assert!(holders.len() <= 1, "seed {seed}, {now}: {role} held by {holders:?}");
                for (gateway, token) in
                    holders.into_iter().filter(|(gateway, _)| stalled_until[*gateway] <= now)
                {
                    assert!(guard.admits(role, token), "seed {seed}: holder {gateway} of {role} is fenced");
                    last_tokens.insert(role, token);
                }
            }
        }
        assert!(last_tokens.len() == ROLES.len(), "seed {seed}: each role was held");
    }
    assert!(grant_count > 600, "too few grants for a meaningful check: {grant_count}");
}

#[test]
fn a_lease_is_granted_again_when_it_expires_and_not_before() {
    let candidates: Vec<Candidate> = (0..3).map(|i| Candidate::new(format!("g{i}"), 1)).collect();
    for (new_term_at, earliest) in [(None, 1.05), (Some(SECOND / 2), 1.55)] {
        let (mut document, mut leases, mut log_index) =
            (Document::bootstrap(1, &BTreeMap::new()), LeaseTable::new(1, 0), 1);
        let mut granted = Vec::new();
        for now in (0..3 * SECOND).step_by(10_000) {
            // In the second case the voter loses leadership and regains it in a later term before the table is used
            // again.
            let term = if new_term_at.is_some_and(|at| now >= at) { 2 } else { 1 };
            leases = LeaseTable::in_term(Some(leases), term, now);
            for proposal in leases.grants_due(&document, &candidates, SECOND, now, || now + 1) {
                log_index += 1;
                let with_id = Proposal { id: log_index, ..proposal.clone() };
                assert!(matches!(
                    document.apply(log_position(log_index), &to_json(&with_id)).0,
                    Verdict::Accepted(_)
                ));
                leases.record_grant(&proposal.key, log_position(log_index), now);
                granted.extend((proposal.key == ROLES[0]).then_some(now as f64 / SECOND as f64));
            }
        }
        assert!(granted[1] >= earliest && granted[1] <= earliest + 0.011, "{new_term_at:?}: {granted:?}");
    }
}

#[test]
fn a_lease_is_released_by_its_holder_only() {
    let mut document = Document::bootstrap(1, &BTreeMap::new());
    let candidates: Vec<Candidate> = (0..5).map(|i| Candidate::new(format!("g{i}"), 1)).collect();
    let mut leases = LeaseTable::new(1, 0);
    for proposal in leases.grants_due(&document, &candidates, SECOND, 0, || 1) {
        let position = log_position(if proposal.key == ROLES[0] { 2 } else { 3 });
        // Both proposals have the same id, so the second would be a duplicate. The log positions serve as ids instead.
        let _ = document.apply(position, &to_json(&Proposal { id: position.index, ..proposal.clone() }));
        leases.record_grant(&proposal.key, position, 0);
    }
    let CurrentGrant { grant, token } = document.grant(ROLES[0]).expect("the role is granted");
    let me = Candidate::new(&grant.holder, grant.incarnation);
    let mut held = HeldLeases::default();
    held.update(&document, &me, 0);
    assert_eq!(held.token(ROLES[0], 0), None, "a lease is not held before its first renewal");
    held.renewed(ROLES[0], token, 0, 10);
    assert_eq!(held.token(ROLES[0], 10), Some(token));
    assert_eq!(
        held.token(ROLES[0], SECOND * 96 / 100),
        None,
        "the holder stops before the lease expires for the leader"
    );
    let releases = held.release(&me, 10, || 99);
    assert_eq!(held.token(ROLES[0], 10), None);
    // The lease can't be released with another token.
    let forged = Proposal { id: 98, lease: Some(proof(ROLES[0], log_position(1))), ..releases[0].clone() };
    assert!(matches!(
        document.apply(log_position(5), &to_json(&forged)).0,
        Verdict::Rejected(Rejection::Fenced(_))
    ));
    assert!(matches!(document.apply(log_position(6), &to_json(&releases[0])).0, Verdict::Accepted(_)));
    assert_eq!(document.grant(ROLES[0]), None);
    let others: Vec<Candidate> = candidates.iter().filter(|candidate| **candidate != me).cloned().collect();
    let due = leases.grants_due(&document, &others, SECOND, 20, || 100);
    let grant: Grant = serde_json::from_str(due[0].value.as_deref().expect("the grant has a value"))
        .expect("the value is a grant");
    assert!(due.len() == 1 && grant.holder != me.name && due[0].section == LEASES_SECTION);
}

/// Grants the first role to a candidate. Returns the document, the leader's table and the token.
fn granted_to(me: &Candidate, index: u64) -> (Document, LeaseTable, LogPosition) {
    let (mut document, mut leases) = (Document::bootstrap(1, &BTreeMap::new()), LeaseTable::new(1, 0));
    let due = leases.grants_due(&document, std::slice::from_ref(me), SECOND, 0, || 1);
    let grant = due.into_iter().find(|proposal| proposal.key == ROLES[0]).expect("the role has no holder");
    assert!(matches!(document.apply(log_position(index), &to_json(&grant)).0, Verdict::Accepted(_)));
    leases.record_grant(ROLES[0], log_position(index), 0);
    leases.grant_failed(1); // The grant of the other role.
    (document, leases, log_position(index))
}

/// A gateway that released a lease is leaving, but remains a candidate until gossip announces it. Without the record of
/// the release the leader would grant the lease back to it.
#[test]
fn an_incarnation_that_released_a_lease_is_not_granted_one_again() {
    let (me, other) = (Candidate::new("g0", 1), Candidate::new("g1", 1));
    let (mut document, mut leases, _) = granted_to(&me, 2);
    let mut held = HeldLeases::default();
    held.update(&document, &me, 0);
    let releases = held.release(&me, 10, || 99);
    let before = document.grant(ROLES[0]).expect("the role is granted").grant;
    assert!(matches!(document.apply(log_position(3), &to_json(&releases[0])).0, Verdict::Accepted(_)));
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
    assert_eq!(due(std::slice::from_ref(&me)), [], "a leaving gateway is no candidate");
    assert_eq!(due(&[me.clone(), other.clone()]), [other.clone(), other.clone()]);
    let restarted = Candidate::new(&me.name, 2);
    assert_eq!(
        due(&[me, restarted.clone()]),
        [restarted.clone(), restarted],
        "its next incarnation may hold the lease"
    );
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
        "its first renewal is in flight when it begins to leave"
    );
    let releases = held.release(&me, 10, || 99);
    assert_eq!(releases.len(), 1, "a lease that was granted but not renewed is released");
    assert_eq!(
        held.renewed(ROLES[0], token, 5, 15),
        None,
        "a late renewal does not make a leaving gateway the holder"
    );
    assert_eq!(held.token(ROLES[0], 15), None);
    assert!(held.release(&me, 20, || 98).is_empty(), "the release was requested recently");
    assert_eq!(
        held.release(&me, SECOND, || 97).len(),
        1,
        "the release is repeated because the first request may be lost"
    );
    assert!(matches!(document.apply(log_position(3), &to_json(&releases[0])).0, Verdict::Accepted(_)));
    assert!(held.update(&document, &me, SECOND).is_empty());
    // Another leader that does not know of the release grants the lease again.
    let grant =
        serde_json::to_string(&Grant { holder: me.name.clone(), incarnation: me.incarnation, ttl: SECOND })
            .expect("the value can be encoded");
    let late = Proposal { value: Some(grant), ..test_proposal(50, LEASES_SECTION, "") };
    let late = Proposal { key: ROLES[0].to_string(), ..late };
    assert!(matches!(document.apply(log_position(4), &to_json(&late)).0, Verdict::Accepted(_)));
    held.update(&document, &me, SECOND + 10);
    assert!(held.renewals_due(SECOND + 10).is_empty());
    let releases = held.release(&me, SECOND + 10, || 96);
    assert_eq!(releases[0].lease, Some(proof(ROLES[0], log_position(4))));
    assert!(matches!(document.apply(log_position(5), &to_json(&releases[0])).0, Verdict::Accepted(_)));
    assert_eq!(document.grant(ROLES[0]), None);
}

#[test]
fn a_lost_first_renewal_is_retried_within_a_bound_for_any_ttl() {
    let me = Candidate::new("g0", 1);
    for ttl in [5 * SECOND, 600 * SECOND] {
        let mut document = Document::default();
        let grant = Grant { holder: me.name.clone(), incarnation: me.incarnation, ttl };
        let value = Some(serde_json::to_string(&grant).expect("the value can be encoded"));
        let granted = Proposal { value, key: ROLES[0].to_string(), ..test_proposal(50, LEASES_SECTION, "") };
        assert!(matches!(document.apply(log_position(1), &to_json(&granted)).0, Verdict::Accepted(_)));
        let mut held = HeldLeases::default();
        held.update(&document, &me, 0);
        assert_eq!(held.renewals_due(5), [(ROLES[0], log_position(1))]);
        assert!(held.renewals_due(SECOND / 2).is_empty(), "the first request may still be answered");
        assert_eq!(held.renewals_due(5 * SECOND / 2), [(ROLES[0], log_position(1))], "a lease of {ttl} us");
        held.renewed(ROLES[0], log_position(1), 5 * SECOND / 2, 5 * SECOND / 2 + 10);
        assert!(held.renewals_due(3 * SECOND).is_empty(), "the next renewal is not due yet");
    }
}
