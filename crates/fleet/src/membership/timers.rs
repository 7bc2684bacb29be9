//! A queue of timers, in process time. Timers with the same due time fire in the order in which they were set.

use crate::node::Node;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// The purpose of a timer.
pub(super) enum Timer {
    /// A timer of SWIM.
    Swim(foca::Timer<Node>),
    /// The periodic work of `housekeeping`.
    Housekeeping,
}

/// The pending timers, by due time and sequence number.
#[derive(Default)]
pub(super) struct Timers {
    by_time: BTreeMap<(Timestamp, u64), Timer>,
    last_sequence: u64,
}

impl Timers {
    pub(super) fn set(&mut self, at: Timestamp, timer: Timer) {
        self.last_sequence += 1;
        self.by_time.insert((at, self.last_sequence), timer);
    }

    /// Returns when the first timer is due.
    pub(super) fn first_due(&self) -> Option<Timestamp> {
        self.by_time.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the first timer that is due.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        self.first_due().filter(|at| *at <= now)?;
        self.by_time.pop_first().map(|(_, timer)| timer)
    }

    pub(super) fn clear(&mut self) {
        self.by_time.clear();
    }
}
