//! Metrics of the memory and the open descriptors of this process.

use super::sampled::GaugeSpec;
use crate::memory::ProcessMemory;

/// The resource usage of this process. Values that the system does not provide are NaN.
pub(super) struct ProcessSnapshot {
    memory_bytes: f64,
    descriptors: f64,
}

impl ProcessSnapshot {
    pub(super) fn read() -> ProcessSnapshot {
        ProcessSnapshot {
            memory_bytes: ProcessMemory::read().map_or(f64::NAN, |memory| memory.resident_bytes() as f64),
            descriptors: open_descriptors(),
        }
    }
}

pub(super) const GAUGES: [GaugeSpec<ProcessSnapshot>; 2] = [
    GaugeSpec {
        name: "memory_bytes",
        help: "Resident memory of the process",
        read: |process| process.memory_bytes,
    },
    GaugeSpec {
        name: "descriptors",
        help: "Descriptors of the process",
        read: |process| process.descriptors,
    },
];

fn open_descriptors() -> f64 {
    std::fs::read_dir("/proc/self/fd").map_or(f64::NAN, |descriptors| descriptors.count() as f64)
}
