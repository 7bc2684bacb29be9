//! Decides when discovery is called, which calls stay in progress, and which answers are applied. A state machine without
//! I/O: its owner makes the calls and reports how they ended.

use super::MAX_POLL_WAIT;
use crate::backoff::{Backoff, MAX_CALL_INTERVAL, SLOW_RESPONSE};
use crate::config::EndpointList;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A list from a new address of discovery must arrive within this time after SIGHUP.
const MAX_MOVE_TIME: Duration = Duration::from_secs(4);
/// The longest delay before the first call at a new address of discovery, set by a reload.
const MAX_DELAY_AFTER_RELOAD: Duration = MAX_MOVE_TIME.saturating_sub(SLOW_RESPONSE);
/// The answer to a request for the complete list is late after this time.
const LATE_LIST: Duration = Duration::from_secs(2);
/// The answer to a poll is late if discovery exceeds the time that it may wait by this. A silent watch and a quiet one
/// look alike until then, and a silent one must be replaced within `MAX_CALL_INTERVAL`.
const LATE_POLL: Duration = MAX_POLL_WAIT.saturating_add(Duration::from_millis(250));
/// The maximum number of calls in progress. Each holds a connection to discovery.
const MAX_CALLS_IN_PROGRESS: usize = 4;

/// Identifies a call. Later calls have higher ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId(u64);

/// Counts the changes of discovery's address. Revisions are comparable only within a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Generation(u64);

/// What must be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// A call is made.
    Call(CallOrder),
    /// The answer to the newest call is late. The call goes on, and another one follows.
    Late {
        /// The number of calls to the configured address that are in progress, all of them late.
        calls: usize,
    },
}

/// The next step, unless an answer or a configuration comes first.
#[derive(Debug, Clone, Copy)]
enum NextStep {
    /// A call begins.
    Call(Instant),
    /// The newest call becomes late.
    Late(Instant),
}

/// A call that must be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallOrder {
    pub(super) id: CallId,
    pub(super) address: SocketAddr,
    /// The revision after which changes are requested. Without one the complete list is requested.
    pub(super) from: Option<u64>,
}

/// What to do with the list that a call returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The list is applied.
    Apply,
    /// The list does not follow the known revision. It is not applied, and the complete list is requested next.
    DoesNotFollow {
        /// The revision that was known.
        known_revision: Option<u64>,
    },
    /// The list was requested from an address that is no longer configured, and is not applied.
    Outdated,
}

/// A call in progress.
#[derive(Debug, Clone, Copy)]
struct CallInProgress {
    id: CallId,
    generation: Generation,
    from: Option<u64>,
    started_at: Instant,
}

/// The calls to discovery, present and next.
pub(super) struct Schedule {
    backoff: Backoff,
    address: SocketAddr,
    /// The generation of `address`.
    generation: Generation,
    /// The revision of the list as known at `address`.
    revision: Option<u64>,
    /// The generation of the last applied list; `None` before the first list.
    applied: Option<Generation>,
    next_step: NextStep,
    /// The calls in progress, the oldest first.
    calls: Vec<CallInProgress>,
    last_id: CallId,
}

impl Schedule {
    /// Schedules the first call. With a known revision it requests the changes since then.
    pub(super) fn new(
        address: SocketAddr,
        known_revision: Option<u64>,
        mut backoff: Backoff,
        now: Instant,
    ) -> Schedule {
        let first = Generation(0);
        let next_step = NextStep::Call(now + backoff.initial_delay(MAX_CALL_INTERVAL));
        Schedule {
            backoff,
            address,
            generation: first,
            revision: known_revision,
            applied: known_revision.map(|_| first),
            next_step,
            calls: Vec::new(),
            last_id: CallId(0),
        }
    }

    /// Returns the configured address of discovery.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns when to call [`Schedule::step`], unless an answer or a configuration comes first.
    pub(super) fn next_step_at(&self) -> Instant {
        match self.next_step {
            NextStep::Call(at) | NextStep::Late(at) => at,
        }
    }

    /// Returns whether a call is to stay in progress.
    pub(super) fn is_in_progress(&self, id: CallId) -> bool {
        self.calls.iter().any(|call| call.id == id)
    }

    /// Takes the step that is due.
    pub(super) fn step(&mut self, now: Instant) -> Step {
        match self.next_step {
            NextStep::Call(_) => Step::Call(self.begin_call(now)),
            NextStep::Late(_) => {
                self.schedule_retry(self.newest_started_at().unwrap_or(now), now);
                Step::Late { calls: self.current_calls().count() }
            }
        }
    }

    fn begin_call(&mut self, now: Instant) -> CallOrder {
        if self.calls.len() >= MAX_CALLS_IN_PROGRESS {
            self.calls.remove(self.least_useful_call());
        }
        self.last_id.0 += 1;
        let call = CallInProgress {
            id: self.last_id,
            generation: self.generation,
            from: self.revision,
            started_at: now,
        };
        self.calls.push(call);
        let late_after = if call.from.is_some() { LATE_POLL } else { LATE_LIST };
        self.next_step = NextStep::Late(now + late_after);
        CallOrder { id: call.id, address: self.address, from: call.from }
    }

    /// Returns the index of the call that makes room for another one: one to the address whose list is in use, if another
    /// address has replaced it, else the second oldest. The oldest stays, because it has waited the longest. Without this
    /// a rapid sequence of new addresses, or a discovery that is slower than the other calls may be, would end each call
    /// before its answer.
    fn least_useful_call(&self) -> usize {
        let is_replaced = |call: &CallInProgress| {
            call.generation != self.generation && Some(call.generation) == self.applied
        };
        self.calls.iter().position(is_replaced).unwrap_or(1)
    }

    /// Switches to another address of discovery, from which the complete list is requested. Calls in progress at earlier
    /// addresses continue until there is a list from a later one, so that a rapid sequence of addresses hides no change.
    /// A delay that has begun is not prolonged, for the same reason. Returns false if the address has not changed.
    pub(super) fn switch_to(&mut self, address: SocketAddr, now: Instant) -> bool {
        if address == self.address {
            return false;
        }
        self.address = address;
        self.generation.0 += 1;
        self.revision = None;
        let call_at = now + self.backoff.initial_delay(MAX_DELAY_AFTER_RELOAD);
        self.bring_call_forward(call_at);
        true
    }

    /// Records the answer to a call and returns whether its list is applied.
    pub(super) fn answered(&mut self, id: CallId, list: &EndpointList, now: Instant) -> Verdict {
        let Some(call) = self.remove(id) else { return Verdict::Outdated };
        if call.generation != self.generation {
            return self.earlier_address_answered(call, list);
        }
        if !follows(self.revision, list) {
            let known_revision = self.revision.take();
            self.calls.retain(|other| other.generation != call.generation);
            self.schedule_retry(call.started_at, now);
            return Verdict::DoesNotFollow { known_revision };
        }
        self.backoff.reset();
        self.revision = Some(list.revision);
        self.applied(call, list);
        if self.current_calls().next().is_none() {
            self.next_step = NextStep::Call(now);
        }
        Verdict::Apply
    }

    /// Records the answer to a call at an address that is no longer configured. The list in use is from that address or
    /// from an earlier one, because later lists end such calls.
    fn earlier_address_answered(&mut self, call: CallInProgress, list: &EndpointList) -> Verdict {
        let is_applied = if list.complete {
            // A discovery that is going out of service may return a list without its backends. From an address whose
            // list is already in use only changes are therefore accepted.
            self.applied < Some(call.generation)
        } else {
            self.applied == Some(call.generation) && follows(call.from, list)
        };
        if !is_applied {
            return Verdict::Outdated;
        }
        self.applied(call, list);
        Verdict::Apply
    }

    /// Records that a call failed. Returns whether it was made to the configured address.
    pub(super) fn failed(&mut self, id: CallId, now: Instant) -> bool {
        let Some(call) = self.remove(id) else { return false };
        let is_current = call.generation == self.generation;
        let has_successor = self.current_calls().any(|other| other.id > call.id);
        if is_current && !has_successor {
            self.schedule_retry(call.started_at, now);
        }
        is_current
    }

    /// Schedules a call after one that has failed or is late.
    fn schedule_retry(&mut self, started_at: Instant, now: Instant) {
        let delay = self.backoff.retry_delay(now.saturating_duration_since(started_at));
        self.bring_call_forward(now + delay);
    }

    /// Schedules a call, unless an earlier one is scheduled.
    fn bring_call_forward(&mut self, at: Instant) {
        self.next_step = match self.next_step {
            NextStep::Call(pending) => NextStep::Call(pending.min(at)),
            NextStep::Late(_) => NextStep::Call(at),
        };
    }

    /// Ends the calls whose answers can't be newer than the list that `call` returned. A later poll that continues from
    /// its revision goes on as the next one.
    fn applied(&mut self, call: CallInProgress, list: &EndpointList) {
        self.applied = Some(call.generation);
        self.calls.retain(|other| {
            let continues = other.id > call.id && other.from == Some(list.revision);
            other.generation > call.generation || (other.generation == call.generation && continues)
        });
    }

    /// Iterates over the calls to the configured address, the oldest first.
    fn current_calls(&self) -> impl Iterator<Item = &CallInProgress> {
        self.calls.iter().filter(|call| call.generation == self.generation)
    }

    /// Returns when the newest call to the configured address started.
    fn newest_started_at(&self) -> Option<Instant> {
        self.current_calls().last().map(|call| call.started_at)
    }

    fn remove(&mut self, id: CallId) -> Option<CallInProgress> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }
}

/// Returns whether a list can be applied. An older revision is not, because it would undo drains that are already known;
/// nor are changes to an unknown list. A complete list that was fetched on purpose is always applied.
fn follows(known_revision: Option<u64>, list: &EndpointList) -> bool {
    match known_revision {
        Some(known) => list.revision >= known,
        None => list.complete,
    }
}

#[cfg(test)]
mod tests;
