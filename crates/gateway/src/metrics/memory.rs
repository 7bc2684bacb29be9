//! Metrics of the memory account.

use super::sampled::{CounterSpec, GaugeSpec};
use crate::memory::{Holder, MemoryAccount};

pub(super) const GAUGES: [GaugeSpec<MemoryAccount>; 8] = [
    GaugeSpec {
        name: "memory_capacity_bytes",
        help: "Memory that may be reserved",
        read: |account| account.capacity_bytes() as f64,
    },
    GaugeSpec {
        name: "memory_unreserved_bytes",
        help: "Memory of the process beyond that at startup and that which is reserved",
        read: |account| account.unreserved_bytes() as f64,
    },
    GaugeSpec {
        name: "memory_connections_bytes",
        help: "Memory reserved for connections of clients",
        read: |account| account.reserved_by(Holder::Connections) as f64,
    },
    GaugeSpec {
        name: "memory_read_ahead_bytes",
        help: "Memory reserved for bytes read ahead on them",
        read: |account| account.reserved_by(Holder::ReadAhead) as f64,
    },
    GaugeSpec {
        name: "memory_requests_bytes",
        help: "Memory reserved for requests",
        read: |account| account.reserved_by(Holder::Requests) as f64,
    },
    GaugeSpec {
        name: "memory_responses_bytes",
        help: "Memory reserved for responses of backends",
        read: |account| account.reserved_by(Holder::Responses) as f64,
    },
    GaugeSpec {
        name: "memory_streams_bytes",
        help: "Memory reserved for streams",
        read: |account| account.reserved_by(Holder::Streams) as f64,
    },
    GaugeSpec {
        name: "memory_customers_bytes",
        help: "Memory reserved for the state of customers",
        read: |account| account.reserved_by(Holder::Customers) as f64,
    },
];

pub(super) const COUNTERS: [CounterSpec<MemoryAccount>; 1] = [CounterSpec {
    name: "memory_refusals",
    help: "Times that memory was refused or had to be waited for",
    read: MemoryAccount::refusals,
}];
