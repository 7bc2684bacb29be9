//! Queue of the timers set by the policy engine.

use lanespan_policy::{Micros, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Pending timers, ordered by the time at which they fire, then by id.
#[derive(Default)]
pub(super) struct Timers {
    pending: BinaryHeap<Reverse<(Micros, TimerId)>>,
}

impl Timers {
    /// Sets a timer. Timers are never cancelled: the engine ignores those that are obsolete when they fire.
    pub(super) fn set(&mut self, fires_at: Micros, timer: TimerId) {
        self.pending.push(Reverse((fires_at, timer)));
    }

    /// Returns when the next timer fires.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.pending.peek().map(|Reverse((fires_at, _))| *fires_at)
    }

    /// Removes and returns the next timer if it is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<TimerId> {
        if self.next_at()? > now {
            return None;
        }
        self.pending.pop().map(|Reverse((_, timer))| timer)
    }
}

#[cfg(test)]
mod tests;
