//! Measures what the process holds beyond its memory at startup, and the part of it that no reservation covers: pages
//! that the allocator keeps, and state that is not reserved by its holder.

use super::account::MemoryAccount;
use super::process::ProcessMemory;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

/// The time between two measurements.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);
/// The number of measurements in which memory must be uncovered to count as unreserved.
const UNCOVERED_MEASUREMENTS: usize = 10;

/// Charges what the process holds beyond the reservations, for as long as the process runs. Returns if the system does
/// not tell the memory of the process.
pub async fn watch_unreserved(account: MemoryAccount, at_startup: ProcessMemory) {
    let mut uncovered = Uncovered::default();
    let mut ticks = interval(MEASURE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(memory) = ProcessMemory::read() else { return };
        let grown_bytes = memory.anonymous_bytes.saturating_sub(at_startup.anonymous_bytes);
        account.set_measured(grown_bytes, uncovered.record(grown_bytes, account.reserved_bytes()));
    }
}

/// What no reservation covered in the last measurements. Memory is returned some time after its reservation is released,
/// so that one measurement alone shows memory as uncovered that is about to be returned or used again.
#[derive(Debug, Default)]
pub(super) struct Uncovered(VecDeque<usize>);

impl Uncovered {
    /// Records a measurement, and returns what was uncovered in all of the last ones.
    pub(super) fn record(&mut self, grown_bytes: usize, reserved_bytes: usize) -> usize {
        if self.0.len() == UNCOVERED_MEASUREMENTS {
            self.0.pop_front();
        }
        self.0.push_back(grown_bytes.saturating_sub(reserved_bytes));
        self.0.iter().copied().min().unwrap_or_default()
    }
}
