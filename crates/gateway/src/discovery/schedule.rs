//! Decides when discovery is called, which calls stay in progress, and which answers are applied. A state machine without
//! I/O: its owner makes the calls and reports how they ended.

use crate::backoff::{Backoff, MAX_CALL_INTERVAL};
use crate::config::EndpointList;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The longest delay before the first call at a new address of discovery, set by a reload. Its list must arrive within
/// 4 s after SIGHUP.
const MAX_DELAY_AFTER_RELOAD: Duration = Duration::from_secs(3);
/// The maximum number of calls in progress. Each holds a connection to discovery.
const MAX_CALLS_IN_PROGRESS: usize = 4;

/// Identifies a call. Later calls have higher ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId(u64);

/// Counts the changes of discovery's address. Revisions are comparable only within a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Generation(u64);

/// A call that must be made now.
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
    /// When the next call begins. `None` while a call at `address` is in progress.
    next_call_at: Option<Instant>,
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
        let next_call_at = Some(now + backoff.initial_delay(MAX_CALL_INTERVAL));
        Schedule {
            backoff,
            address,
            generation: first,
            revision: known_revision,
            applied: known_revision.map(|_| first),
            next_call_at,
            calls: Vec::new(),
            last_id: CallId(0),
        }
    }

    /// Returns the configured address of discovery.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns when the next call begins; `None` if it depends on a call in progress.
    pub(super) fn next_call_at(&self) -> Option<Instant> {
        self.next_call_at
    }

    /// Returns whether a call is to stay in progress.
    pub(super) fn is_in_progress(&self, id: CallId) -> bool {
        self.calls.iter().any(|call| call.id == id)
    }

    /// Begins the next call.
    pub(super) fn begin_call(&mut self, now: Instant) -> CallOrder {
        if self.calls.len() >= MAX_CALLS_IN_PROGRESS {
            // The oldest call stays, because it has waited the longest. Without this a rapid sequence of new addresses
            // would end each call before its answer.
            self.calls.remove(1);
        }
        self.last_id.0 += 1;
        let call = CallInProgress {
            id: self.last_id,
            generation: self.generation,
            from: self.revision,
            started_at: now,
        };
        self.calls.push(call);
        self.next_call_at = None;
        CallOrder { id: call.id, address: self.address, from: call.from }
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
        self.next_call_at = Some(self.next_call_at.map_or(call_at, |pending| pending.min(call_at)));
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
            self.schedule_retry(call, now);
            return Verdict::DoesNotFollow { known_revision };
        }
        self.backoff.reset();
        self.revision = Some(list.revision);
        self.next_call_at = Some(now);
        self.applied(call);
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
        self.applied(call);
        Verdict::Apply
    }

    /// Records that a call failed. Returns whether it was made to the configured address.
    pub(super) fn failed(&mut self, id: CallId, now: Instant) -> bool {
        let Some(call) = self.remove(id) else { return false };
        let is_current = call.generation == self.generation;
        if is_current {
            self.schedule_retry(call, now);
        }
        is_current
    }

    fn schedule_retry(&mut self, call: CallInProgress, now: Instant) {
        let delay = self.backoff.retry_delay(now.saturating_duration_since(call.started_at));
        self.next_call_at = Some(now + delay);
    }

    /// Ends the calls whose answers can't be newer than the list that `call` returned.
    fn applied(&mut self, call: CallInProgress) {
        self.applied = Some(call.generation);
        self.calls.retain(|other| other.generation > call.generation);
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
