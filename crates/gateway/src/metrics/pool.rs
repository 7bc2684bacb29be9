//! Metrics of the connections to backends and of the memory of streams.

use super::sampled::{CounterSpec, GaugeSpec};
use crate::pool::{Counters, Gauges};

pub(super) const GAUGES: [GaugeSpec<Gauges>; 4] = [
    GaugeSpec {
        name: "pool_idle",
        help: "Connections to backends that stand idle",
        read: |pool| pool.idle as f64,
    },
    GaugeSpec {
        name: "pool_in_use",
        help: "Connections to backends that carry a request",
        read: |pool| pool.in_use as f64,
    },
    GaugeSpec {
        name: "pool_dialling",
        help: "Connections to backends that are coming up",
        read: |pool| pool.dialling as f64,
    },
    GaugeSpec {
        name: "pool_waiting",
        help: "Requests that wait for a connection",
        read: |pool| pool.waiting as f64,
    },
];

pub(super) const COUNTERS: [CounterSpec<Counters>; 5] = [
    CounterSpec { name: "pool_used", help: "Connections given to requests", read: |pool| pool.used },
    CounterSpec {
        name: "pool_reused",
        help: "Those among them that had stood idle",
        read: |pool| pool.reused,
    },
    CounterSpec { name: "pool_dials", help: "Connections that were to be opened", read: |pool| pool.dials },
    CounterSpec { name: "pool_dials_failed", help: "Those that did not come up", read: |pool| pool.failed },
    CounterSpec { name: "pool_denied", help: "Requests that got no connection", read: |pool| pool.denied },
];

/// The gauge of the memory that streams have reserved.
pub(super) const STREAM_GAUGES: [GaugeSpec<usize>; 1] = [GaugeSpec {
    name: "stream_reserved_bytes",
    help: "What the streams under way may hold",
    read: |reserved| *reserved as f64,
}];
