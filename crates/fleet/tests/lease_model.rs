//! A model check of leases that runs the lease code itself. It explores every order of grants, renewals, losses, pauses
//! and side effects of two holders, one leader and one fenced resource within a few steps of time, with clocks that run
//! at different speeds.

use lanespan_fleet::replication::document::{Document, LogPosition, Verdict};
use lanespan_fleet::replication::lease::{Candidate, FencingGuard, HeldLeases, LeaseTable, ROLES};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

const ROLE: &str = ROLES[0];
/// The duration of a step of time.
const STEP_US: u64 = 100;
/// The ttl of a lease. It is two steps, so that clocks of different speeds are compared at the end of a lease.
const TTL_US: u64 = 200;
/// The number of steps that the model explores.
const LAST_STEP: u64 = 5;
/// The maximum number of renewals and responses in flight.
const MAX_IN_FLIGHT: usize = 2;
/// The maximum number of leaders after the first one.
const MAX_LEADER_CHANGES: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u64,
    document: Document,
    last_log_index: u64,
    leases: LeaseTable,
    leader_changes: u8,
    held: [HeldLeases; 2],
    /// The messages in flight: the holder, its token, the time of the request by the holder's clock, and whether the
    /// message is the response.
    messages: Vec<(usize, LogPosition, u64, bool)>,
    /// The token that each holder has looked up for a side effect that is not carried out yet. A holder that pauses
    /// here carries out the side effect later without another lookup.
    looked_up: [Option<LogPosition>; 2],
    guard: FencingGuard,
    /// The tokens of the accepted side effects, in order.
    accepted: Vec<LogPosition>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    TimePasses,
    LeaderGrants,
    LeaderChanges,
    HolderRenews(usize),
    Deliver(usize),
    Lose(usize),
    Acts(usize),
}

struct LeaseModel {
    /// The speeds of the clocks in percent: those of the two holders, then the leader's.
    clock_speeds: [u64; 3],
    /// If false, the resource accepts every action, to show that the check detects this.
    fenced: bool,
}

impl LeaseModel {
    fn clock(&self, gateway: usize, step: u64) -> u64 {
        let elapsed = step * STEP_US * self.clock_speeds[gateway];
        // The clocks don't start at 0, because 0 stands for never.
        1_000 + elapsed / 100
    }

    fn candidate(gateway: usize) -> Candidate {
        Candidate::new(format!("g{gateway}"), 1)
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
            last_log_index: 1,
            leases: LeaseTable::new(1, self.clock(2, 0)),
            leader_changes: 0,
            held: Default::default(),
            messages: Vec::new(),
            looked_up: [None; 2],
            guard: FencingGuard::default(),
            accepted: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.step < LAST_STEP {
            actions.push(Action::TimePasses);
        }
        actions.push(Action::LeaderGrants);
        if state.leader_changes < MAX_LEADER_CHANGES {
            actions.push(Action::LeaderChanges);
        }
        for gateway in 0..2 {
            actions.extend([Action::HolderRenews(gateway), Action::Acts(gateway)]);
        }
        for index in 0..state.messages.len() {
            actions.extend([Action::Deliver(index), Action::Lose(index)]);
        }
    }

    fn next_state(&self, previous: &State, action: Action) -> Option<State> {
        let mut state = previous.clone();
        let clock = |gateway: usize| self.clock(gateway, previous.step);
        match action {
            Action::TimePasses => state.step += 1,
            Action::LeaderChanges => {
                state.leader_changes += 1;
                state.leases = LeaseTable::new(1, clock(2));
            }
            Action::LeaderGrants => {
                // Only a candidate that does not hold the lease is offered, so that the lease moves.
                let holder = state.document.grant(ROLE).map(|current| current.grant.holder);
                let candidates: Vec<Candidate> = (0..2)
                    .map(LeaseModel::candidate)
                    .filter(|candidate| Some(&candidate.name) != holder.as_ref())
                    .collect();
                let mut last_id = state.last_log_index * 10;
                let due = state.leases.grants_due(&state.document, &candidates, TTL_US, clock(2), || {
                    last_id += 1;
                    last_id
                });
                for proposal in due {
                    if proposal.key != ROLE {
                        state.leases.grant_failed(proposal.id);
                        continue;
                    }
                    state.last_log_index += 1;
                    let token = LogPosition { term: 1, index: state.last_log_index };
                    let text = serde_json::to_string(&proposal).ok()?;
                    let (verdict, _) = state.document.apply(token, &text);
                    assert!(matches!(verdict, Verdict::Accepted(_)));
                    state.leases.record_grant(ROLE, token, clock(2));
                }
            }
            Action::HolderRenews(gateway) => {
                state.held[gateway].update(&state.document, &LeaseModel::candidate(gateway), clock(gateway));
                for (role, token) in state.held[gateway].renewals_due(clock(gateway)) {
                    if role == ROLE && state.messages.len() < MAX_IN_FLIGHT {
                        state.messages.push((gateway, token, clock(gateway), false));
                    }
                }
                // The holder starts a side effect if it holds the lease, and may pause before carrying it out.
                state.looked_up[gateway] =
                    state.looked_up[gateway].or(state.held[gateway].token(ROLE, clock(gateway)));
            }
            Action::Lose(index) => drop(state.messages.remove(index)),
            Action::Deliver(index) => {
                let (gateway, token, sent, is_response) = state.messages.remove(index);
                if is_response {
                    state.held[gateway].renewed(ROLE, token, sent, clock(gateway));
                } else if state.leases.renew(&state.document, ROLE, token, clock(2)) {
                    state.messages.push((gateway, token, sent, true));
                }
            }
            Action::Acts(gateway) => {
                let token = state.looked_up[gateway].take()?;
                if state.guard.admits(ROLE, token) || !self.fenced {
                    state.accepted.retain(|earlier| *earlier != token);
                    state.accepted.push(token);
                }
            }
        }
        (state != *previous).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one holder at a time", |model, state| {
                let holds = |gateway: usize| {
                    state.held[gateway].token(ROLE, model.clock(gateway, state.step)).is_some()
                };
                !(holds(0) && holds(1))
            }),
            Property::<Self>::always("no lower token after a higher one", |_, state| {
                state.accepted.windows(2).all(|pair| pair[0] < pair[1])
            }),
            // These properties show that the model covers the cases that it is meant to check.
            Property::<Self>::sometimes("both holders act in turn", |_, state| state.accepted.len() == 2),
            Property::<Self>::sometimes("a holder acts late", |_, state| {
                state
                    .looked_up
                    .iter()
                    .flatten()
                    .any(|token| state.accepted.last().is_some_and(|last| token < last))
            }),
        ]
    }
}

/// The maximum depth of the search. The shortest path to a late side effect has 17 actions.
const MAX_DEPTH: usize = 18;

#[test]
fn no_order_of_events_gives_two_holders_or_accepts_a_lower_token() {
    for clock_speeds in [[100, 100, 100], [96, 104, 104], [104, 96, 96]] {
        let model = LeaseModel { clock_speeds, fenced: true };
        let checked = model.checker().threads(4).target_max_depth(MAX_DEPTH).spawn_bfs().join();
        println!("{clock_speeds:?}: {} states", checked.unique_state_count());
        checked.assert_properties();
    }
}

#[test]
fn the_check_detects_a_resource_without_fencing() {
    let model = LeaseModel { clock_speeds: [100; 3], fenced: false };
    let checked = model.checker().threads(4).target_max_depth(MAX_DEPTH).spawn_bfs().join();
    assert!(checked.discovery("no lower token after a higher one").is_some());
}
