//! The effective configuration as JSON, including derived limits and defaults.

use super::plan::ReplicationSettings;
use super::{Config, FleetSettings};
use crate::pool::PoolSettings;
use crate::relay::StreamSettings;
use serde_json::{json, Map, Value};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

impl Config {
    /// Returns the effective configuration as JSON.
    pub fn effective(&self) -> Value {
        json!({
            "name": self.name, "listen": self.listen, "discovery": self.discovery, "counter": self.counter,
            "memory_bytes": self.memory, "known_backends": self.saved_endpoints.endpoints.len(),
            "connections": {
                "clients": self.sockets.clients, "backends": self.pool.max_connections, "counter": self.sockets.counter,
            },
            "pool": pool(&self.pool),
            "streaming": self.streaming.as_ref().map(streaming),
            "admin": self.admin_address(),
            "fleet": self.fleet.as_ref().map(fleet),
            "settings": self.document.get("settings"),
        })
    }

    /// Returns the digest of the effective configuration.
    pub(super) fn digest(&self) -> u64 {
        xxh3_64(self.effective().to_string().as_bytes())
    }
}

fn pool(pool: &PoolSettings) -> Value {
    json!({
        "links": pool.max_connections, "backend_least": pool.min_backend_connections, "backend_most": pool.max_backend_connections,
        "idle_backends": pool.max_idle_backends, "idle_least_ms": millis(pool.min_idle_time),
        "idle_most_ms": millis(pool.max_idle_time), "waiting": pool.max_waiting,
        "backend_waiting": pool.max_backend_waiting, "wait_ms": millis(pool.wait_timeout),
        "backoff_least_ms": millis(pool.min_backoff), "backoff_most_ms": millis(pool.max_backoff),
        "warm_up": pool.preconnect, "warm_per_s": pool.preconnects_per_s, "warm_burst": pool.preconnect_burst,
    })
}

fn streaming(streaming: &StreamSettings) -> Value {
    json!({
        "hold_bytes": streaming.hold_bytes, "wait_ms": millis(streaming.memory_wait),
        "least_bytes_a_window": streaming.min_window_bytes, "window_ms": millis(streaming.window),
        "longest_s": streaming.max_duration.as_secs(),
    })
}

fn fleet(fleet: &FleetSettings) -> Value {
    json!({
        "name": fleet.name, "zone": fleet.zone, "number": fleet.gateway_index, "listen": fleet.listen,
        "advertise": fleet.advertise.unwrap_or(fleet.listen), "cluster": fleet.cluster, "join": fleet.seed_addresses,
        "via": fleet.address_map, "probe_ms": millis(fleet.probe_period), "forget_s": fleet.retention.as_secs(),
        "most": fleet.max_members, "hold_ms": millis(fleet.departure_hold), "clock_ahead_ms": fleet.clock_ahead_ms,
        "plan": fleet.plan.as_ref().map(plan),
    })
}

fn plan(plan: &ReplicationSettings) -> Value {
    let voters = plan
        .voters
        .iter()
        .map(|(name, voter)| (name.clone(), json!({ "zone": voter.zone, "address": voter.address })));
    json!({
        "listen": plan.listen, "advertise": plan.advertise.unwrap_or(plan.listen), "via": plan.address_map,
        "voters": voters.collect::<Map<_, _>>(), "directory": plan.directory,
        "tick_ms": millis(plan.tick), "lease_ms": millis(plan.lease),
        "trust_s": plan.trust.as_secs(), "ramp_s": plan.ramp.as_secs(),
    })
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
