//! The process clock of membership, which excludes the time during which this process was stalled.
//!
//! After a stall all timers are due at once. If they all fired, this gateway would declare every other member dead
//! before reading the answers that are already waiting. Therefore process time stops when a timer is overdue by more
//! than half a probe period.
//!
//! System time is the time that callers pass in, from a monotonic clock. It includes the stalls.

use crate::time::Timestamp;
use std::time::Duration;

/// Process time, and the stalls excluded from it.
pub(super) struct ProcessClock {
    now: Timestamp,
    stalled: Duration,
    stalls: u64,
}

impl ProcessClock {
    pub(super) fn new(now: Timestamp) -> ProcessClock {
        ProcessClock { now, stalled: Duration::ZERO, stalls: 0 }
    }

    /// Returns the current process time.
    pub(super) fn now(&self) -> Timestamp {
        self.now
    }

    /// Converts a process time to system time.
    pub(super) fn system_time(&self, process_time: Timestamp) -> Timestamp {
        process_time + self.stalled
    }

    /// Returns the number of stalls.
    pub(super) fn stalls(&self) -> u64 {
        self.stalls
    }

    /// Advances process time to the system time `system`. `first_timer` is the due time of the next timer, in process
    /// time.
    pub(super) fn advance(
        &mut self,
        system: Timestamp,
        first_timer: Option<Timestamp>,
        probe_period: Duration,
    ) {
        let mut now = system.saturating_sub(self.stalled).max(self.now);
        if let Some(due) = first_timer.filter(|due| now > *due + probe_period / 2) {
            let stall = now.saturating_duration_since(due.max(self.now));
            self.stalled += stall;
            self.stalls += 1;
            now = now.saturating_sub(stall);
        }
        self.now = now;
    }
}
