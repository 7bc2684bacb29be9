//! A model check of leases: every order of grants, renewals, losses, pauses and side effects that two holders, one
//! leader and one receiver can have within a few steps of time, with clocks that run apart. It runs the code itself.

use lanespan_fleet::replication::document::{Document, LogPosition, Verdict};
use lanespan_fleet::replication::lease::{Candidate, FencingGuard, HeldLeases, LeaseTable, ROLES};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

const ROLE: &str = ROLES[0];
/// A step of time, a lease, and how far the model goes. A lease is two steps, so that clocks which run apart are at
/// its end when they are compared.
const STEP: u64 = 100;
const TTL: u64 = 200;
const LAST_STEP: u64 = 5;
/// Renewals and answers that are on their way at once, and leaders that follow the first.
const MAX_IN_FLIGHT: usize = 2;
const MAX_LEADER_CHANGES: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u64,
    document: Document,
    log: u64,
    leases: LeaseTable,
    leaders: u8,
    held: [HeldLeases; 2],
    /// Whose renewal of which token, sent when by its clock, and whether it is the answer's turn to travel.
    messages: Vec<(usize, LogPosition, u64, bool)>,
    /// Looked up, and not yet carried out: whoever pauses here goes on as if nothing had been.
    in_hand: [Option<LogPosition>; 2],
    receiver: FencingGuard,
    /// The tokens under which side effects were taken, in order.
    taken: Vec<LogPosition>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    TimePasses,
    LeaderGrants,
    AnotherLeads,
    HolderRenews(usize),
    Delivered(usize),
    Lost(usize),
    Acts(usize),
}

struct LeaseModel {
    /// What each clock shows when 100 have passed: the holders' and the leader's.
    fast: [u64; 3],
    /// Without it a receiver takes what comes, to see that the check sees it.
    fenced: bool,
}

impl LeaseModel {
    fn clock(&self, who: usize, step: u64) -> u64 {
        let shown = step * STEP * self.fast[who];
        // Not from 0, which stands for never.
        1_000 + shown / 100
    }

    fn me(who: usize) -> Candidate {
        Candidate::new(format!("g{who}"), 1)
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let document = Document::bootstrap(1, &BTreeMap::new());
        vec![State {
            step: 0,
            document,
            log: 1,
            leases: LeaseTable::new(1, self.clock(2, 0)),
            leaders: 0,
            held: Default::default(),
            messages: Vec::new(),
            in_hand: [None; 2],
            receiver: FencingGuard::default(),
            taken: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, moves: &mut Vec<Action>) {
        if state.step < LAST_STEP {
            moves.push(Action::TimePasses);
        }
        moves.push(Action::LeaderGrants);
        if state.leaders < MAX_LEADER_CHANGES {
            moves.push(Action::AnotherLeads);
        }
        for who in 0..2 {
            moves.extend([Action::HolderRenews(who), Action::Acts(who)]);
        }
        for place in 0..state.messages.len() {
            moves.extend([Action::Delivered(place), Action::Lost(place)]);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let clock = |who: usize| self.clock(who, last.step);
        match action {
            Action::TimePasses => state.step += 1,
            Action::AnotherLeads => {
                state.leaders += 1;
                state.leases = LeaseTable::new(1, clock(2));
            }
            Action::LeaderGrants => {
                // Whoever does not hold it is offered first, so that it moves.
                let holder = state.document.grant(ROLE).map(|current| current.grant.holder);
                let other: Vec<Candidate> = (0..2)
                    .map(LeaseModel::me)
                    .filter(|candidate| Some(&candidate.name) != holder.as_ref())
                    .collect();
                let mut ids = state.log * 10;
                let due = state.leases.grants_due(&state.document, &other, TTL, clock(2), || {
                    ids += 1;
                    ids
                });
                for proposal in due {
                    if proposal.key != ROLE {
                        state.leases.grant_failed(proposal.id);
                        continue;
                    }
                    state.log += 1;
                    let token = LogPosition { term: 1, index: state.log };
                    let text = serde_json::to_string(&proposal).ok()?;
                    let (verdict, _) = state.document.apply(token, &text);
                    assert!(matches!(verdict, Verdict::Accepted(_)));
                    state.leases.record_grant(ROLE, token, clock(2));
                }
            }
            Action::HolderRenews(who) => {
                state.held[who].update(&state.document, &LeaseModel::me(who), clock(who));
                for (role, token) in state.held[who].renewals_due(clock(who)) {
                    if role == ROLE && state.messages.len() < MAX_IN_FLIGHT {
                        state.messages.push((who, token, clock(who), false));
                    }
                }
                // It sets about a side effect, if it may, and may pause before it.
                state.in_hand[who] = state.in_hand[who].or(state.held[who].token(ROLE, clock(who)));
            }
            Action::Lost(place) => drop(state.messages.remove(place)),
            Action::Delivered(place) => {
                let (who, token, sent, answer) = state.messages.remove(place);
                if answer {
                    state.held[who].renewed(ROLE, token, sent, clock(who));
                } else if state.leases.renew(&state.document, ROLE, token, clock(2)) {
                    state.messages.push((who, token, sent, true));
                }
            }
            Action::Acts(who) => {
                let token = state.in_hand[who].take()?;
                if state.receiver.admits(ROLE, token) || !self.fenced {
                    state.taken.retain(|taken| *taken != token);
                    state.taken.push(token);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one holder at a time", |model, state| {
                let holds = |who: usize| state.held[who].token(ROLE, model.clock(who, state.step)).is_some();
                !(holds(0) && holds(1))
            }),
            Property::<Self>::always("no lower token after a higher one", |_, state| {
                state.taken.windows(2).all(|pair| pair[0] < pair[1])
            }),
            // What shows that the model reaches what it is about.
            Property::<Self>::sometimes("it moves and is acted on by both", |_, state| {
                state.taken.len() == 2
            }),
            Property::<Self>::sometimes("one goes on late", |_, state| {
                state
                    .in_hand
                    .iter()
                    .flatten()
                    .any(|token| state.taken.last().is_some_and(|last| token < last))
            }),
        ]
    }
}

/// The shortest way to a side effect that comes late has 17 moves.
const DEPTH: usize = 18;

#[test]
fn in_no_order_of_events_do_two_hold_the_lease_or_is_a_lower_token_accepted() {
    for fast in [[100, 100, 100], [96, 104, 104], [104, 96, 96]] {
        let model = LeaseModel { fast, fenced: true };
        let checked = model.checker().threads(4).target_max_depth(DEPTH).spawn_bfs().join();
        println!("{fast:?}: {} states", checked.unique_state_count());
        checked.assert_properties();
    }
}

#[test]
fn the_check_detects_a_resource_without_fencing() {
    let model = LeaseModel { fast: [100; 3], fenced: false };
    let checked = model.checker().threads(4).target_max_depth(DEPTH).spawn_bfs().join();
    assert!(checked.discovery("no lower token after a higher one").is_some());
}
