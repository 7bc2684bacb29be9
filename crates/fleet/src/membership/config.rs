//! The configuration of membership, and the SWIM parameters derived from it.

use crate::node::Node;
use crate::time::micros;
use crate::wire::MAX_PAYLOAD_BYTES;
use foca::PeriodicParams;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The number of members that a gossip message is sent to.
pub(super) const GOSSIP_FANOUT: usize = 2;

/// The time that a suspect has to refute, in probe periods per decimal logarithm of the fleet's size.
const SUSPICION_PROBE_PERIODS: f64 = 4.0;
/// The number of times that an update is transmitted, per binary logarithm of the fleet's size.
const TRANSMISSIONS_PER_LOG2_MEMBERS: f64 = 2.0;
const MIN_TRANSMISSIONS: f64 = 4.0;
const MAX_TRANSMISSIONS: f64 = 250.0;
const GOSSIP_ROUNDS_PER_PROBE_PERIOD: u32 = 5;
const INDIRECT_PROBES: usize = 3;
/// A probe must be answered within the probe period divided by this.
const PROBE_TIMEOUT_DIVISOR: u32 = 3;

/// The configuration of membership.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the fleet. Datagrams of other fleets are dropped.
    pub cluster: String,
    /// The interval at which each member probes one other member.
    pub probe_period: Duration,
    /// How long members that left or died are kept in the member table.
    pub retention: Duration,
    /// The maximum number of stored members, including those that left or died.
    pub max_members: usize,
    /// The addresses through which the fleet is joined. Those without an active member are contacted periodically.
    pub seed_addresses: Vec<SocketAddr>,
    /// Maps advertised addresses to the addresses at which this gateway reaches those members, where they differ.
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
}

impl Config {
    /// Returns the address at which this gateway reaches a member.
    pub(super) fn route(&self, node: &Node) -> SocketAddr {
        self.address_map.get(&node.address).copied().unwrap_or(node.address)
    }

    /// Returns how long a suspect has to refute in a fleet of this size.
    pub(super) fn suspicion_timeout(&self, members: usize) -> Duration {
        let scale = (members as f64).log10().max(1.0);
        let timeout = micros(self.probe_period) as f64 * SUSPICION_PROBE_PERIODS * scale;
        Duration::from_micros(timeout as u64)
    }

    /// Returns the SWIM parameters for a fleet of this size.
    pub(super) fn swim(&self, members: usize) -> foca::Config {
        let gossip = PeriodicParams {
            frequency: self.probe_period / GOSSIP_ROUNDS_PER_PROBE_PERIOD,
            num_members: non_zero(GOSSIP_FANOUT),
        };
        foca::Config {
            probe_period: self.probe_period,
            probe_rtt: self.probe_period / PROBE_TIMEOUT_DIVISOR,
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: transmissions(members),
            suspect_to_down_after: self.suspicion_timeout(members),
            remove_down_after: Some(self.retention),
            max_packet_size: non_zero(MAX_PAYLOAD_BYTES),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(gossip),
        }
    }
}

fn transmissions(members: usize) -> NonZeroU8 {
    let rounds = (members.max(1) as f64 + 1.0).log2().ceil();
    let transmissions = TRANSMISSIONS_PER_LOG2_MEMBERS * rounds;
    let transmissions = transmissions.clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS) as u8;
    NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN)
}

fn non_zero(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
