//! The engine's timers.

use crate::{RequestId, TimerId};
use std::collections::BTreeMap;

/// The purpose of a timer.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Timer {
    /// Give a request its final answer.
    RequestDeadline(RequestId),
    /// Retry backend selection for the requests that wait for a backend.
    WaitQueue,
    /// Subscribe to the endpoint list again.
    Resubscribe,
    /// Drop the state of idle customers.
    Sweep,
}

/// The timers that are set and have not fired.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pending: BTreeMap<TimerId, Timer>,
    last_id: u64,
}

impl Timers {
    /// Registers a timer and returns its new id.
    pub(crate) fn register(&mut self, timer: Timer) -> TimerId {
        self.last_id += 1;
        let id = TimerId(self.last_id);
        self.pending.insert(id, timer);
        id
    }

    /// Removes a timer that fired and returns its purpose.
    pub(crate) fn take(&mut self, id: TimerId) -> Option<Timer> {
        self.pending.remove(&id)
    }

    /// Returns the number of timers that are set.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }
}
