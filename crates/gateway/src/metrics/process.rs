//! Metrics of the memory and the open descriptors of this process.

use super::sampled::GaugeSpec;

/// The resource usage of this process. Values that the system does not provide are NaN.
pub(super) struct ProcessSnapshot {
    memory_bytes: f64,
    descriptors: f64,
}

impl ProcessSnapshot {
    pub(super) fn read() -> ProcessSnapshot {
        ProcessSnapshot {
            memory_bytes: resident_bytes().unwrap_or(f64::NAN),
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

fn resident_bytes() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = resident.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1024.0)
}

fn open_descriptors() -> f64 {
    std::fs::read_dir("/proc/self/fd").map_or(f64::NAN, |descriptors| descriptors.count() as f64)
}
