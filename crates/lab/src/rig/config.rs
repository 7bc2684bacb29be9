//! Builds the configuration file of a gateway.

use super::replication_address;
use crate::experiment::{Experiment, ReplicationSettings};
use crate::gateway::Gateway;
use crate::load::{Class, CLASSES};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// The maximum number of other gateways that a gateway is configured to join the fleet through.
const MAX_SEED_ADDRESSES: usize = 3;

/// The addresses of the relays from one gateway to the other parties.
pub(super) struct GatewayRoutes {
    /// The relay to discovery.
    pub discovery: SocketAddr,
    /// The relay to the counter.
    pub counter: SocketAddr,
    /// The relay to the membership socket of each other gateway, by its advertised address.
    pub membership: BTreeMap<SocketAddr, SocketAddr>,
    /// The relay to the replication listener of each other gateway, by its advertised address.
    pub replication: BTreeMap<SocketAddr, SocketAddr>,
}

/// Builds the configuration of the gateway at `index` of `gateways`, which are all gateways of the fleet.
pub(super) fn gateway_config(
    experiment: &Experiment,
    gateways: &[Rc<Gateway>],
    index: usize,
    routes: &GatewayRoutes,
    directory: &Path,
) -> Value {
    let gateway = &gateways[index];
    let mut config = json!({
        "name": gateway.name, "listen": "127.0.0.1:0", "discovery": routes.discovery, "counter": routes.counter,
        "seed": format!("{:x}", experiment.seed + index as u64),
        "limits": { "memory_mb": 192, "sockets": 1024 },
        "admin": { "listen": "127.0.0.1:0" },
        "settings": settings(experiment, gateway, index),
    });
    if experiment.gateways.fleet {
        config["fleet"] = fleet_section(experiment, gateway, routes);
    }
    if let Some(replication) = &experiment.gateways.plan {
        config["fleet"]["plan"] = plan_section(replication, gateways, gateway, routes, directory);
    }
    config
}

fn settings(experiment: &Experiment, gateway: &Gateway, index: usize) -> Value {
    let classes = CLASSES.map(|Class { name, deadline, idempotent }| {
        let effect = if idempotent { "pure" } else { "side_effect" };
        let deadline = deadline.as_micros() as u64;
        json!({ "name": name, "effect": effect, "deadline": deadline, "on_time": deadline / 2, "credit": 1.0 })
    });
    let (rate, burst) = experiment.load.quota;
    let backends = &experiment.backends;
    json!({
        "balancers": experiment.gateways.count, "my_number": index, "tick": 2000,
        "zone": gateway.zone, "zones": experiment.zones(),
        "bounds": {
            "max_attempts": 3, "may_cancel": true, "retry_after": true, "max_retry_after": 1_000_000,
            "dial_timeout": 250_000, "conn_idle": 15_000_000, "second_copies": false,
        },
        "classes": classes,
        "plans": [{ "name": "team", "per_second": rate, "peak_units": burst, "price": 1.0, "over_cost": 1.0 }],
        "specifics": { "counter": true, "count_limit": 80_000, "units_top": 4 },
        "rules": {
            "answer_slack": 8_000, "cold": backends.cold_ms * 1_000, "cold_from": backends.cold_from,
            "fall_multiple": 2.0, "tip_after": 1_000_000,
        },
    })
}

fn fleet_section(experiment: &Experiment, gateway: &Gateway, routes: &GatewayRoutes) -> Value {
    let seed_addresses: Vec<&SocketAddr> = routes.membership.values().take(MAX_SEED_ADDRESSES).collect();
    let clock_ahead_ms = experiment.gateways.clock_ahead_ms.get(&gateway.name).copied().unwrap_or(0);
    json!({
        "listen": "127.0.0.1:0", "advertise": gateway.advertised, "cluster": "lab", "join": seed_addresses,
        "via": routes.membership, "probe_ms": experiment.gateways.probe_ms, "hold_ms": experiment.gateways.hold_ms,
        "clock_ahead_ms": clock_ahead_ms,
    })
}

fn plan_section(
    replication: &ReplicationSettings,
    gateways: &[Rc<Gateway>],
    gateway: &Gateway,
    routes: &GatewayRoutes,
    directory: &Path,
) -> Value {
    let voters = gateways[..replication.voters].iter().map(|voter| {
        (voter.name.clone(), json!({ "zone": voter.zone, "address": replication_address(voter) }))
    });
    json!({
        "listen": "127.0.0.1:0", "advertise": replication_address(gateway), "via": routes.replication,
        "voters": voters.collect::<Map<_, _>>(),
        "directory": directory.join(format!("{}-plan", gateway.name)),
        "tick_ms": replication.tick_ms, "lease_ms": replication.lease_ms,
        "trust_s": replication.trust_s, "ramp_s": replication.ramp_s,
    })
}
