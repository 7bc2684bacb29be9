//! The validated `fleet.plan` section: how this gateway takes part in the replicated fleet document.

use super::document::PlanSection;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// An initial voter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InitialVoter {
    /// The zone of the voter.
    pub zone: String,
    /// The address at which other gateways reach the voter.
    pub address: SocketAddr,
}

/// How this gateway takes part in the replicated fleet document.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicationSettings {
    /// The address to listen on for other gateways.
    pub listen: SocketAddr,
    /// The address to advertise, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The initial voters by name.
    pub voters: BTreeMap<String, InitialVoter>,
    /// The directory of a voter's store. A gateway without one follows and does not vote.
    pub directory: Option<PathBuf>,
    /// Maps an address that another gateway advertises to the address by which it is reached from here.
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
    /// The length of a voter's tick.
    pub tick: Duration,
    /// How long a lease lasts without a renewal.
    pub lease: Duration,
    /// How long the last known document is trusted in full without a heartbeat of the leader.
    pub trust: Duration,
    /// How long trust then takes to decline to nothing.
    pub ramp: Duration,
    /// The zones of the site.
    pub zones: Vec<String>,
}

/// The minimum length of a tick.
const MIN_TICK: Duration = Duration::from_millis(10);
/// The minimum length of a lease in ticks, because a renewal takes several heartbeats.
const MIN_LEASE_TICKS: u32 = 20;

/// From this number of zones on, no zone may hold a majority of the voters.
const MIN_ZONES_TO_SPREAD: usize = 3;

/// Returns the zone that alone holds a majority of the voters, given the zone of each voter and the number of zones of
/// the site. Returns `None` for a site with fewer than three zones, or with a single voter.
pub fn zone_with_majority<'a>(voters: impl Iterator<Item = &'a str>, zones: usize) -> Option<&'a str> {
    let mut counts = BTreeMap::<&str, usize>::new();
    voters.for_each(|zone| *counts.entry(zone).or_default() += 1);
    let voter_count: usize = counts.values().sum();
    if zones < MIN_ZONES_TO_SPREAD || voter_count <= 1 {
        return None;
    }
    counts.into_iter().find(|(_, count)| 2 * count > voter_count).map(|(zone, _)| zone)
}

impl ReplicationSettings {
    /// Reads the section for the gateway named `name` and adds its problems to `problems`.
    pub(super) fn from_section(
        section: PlanSection,
        name: &str,
        zones: Vec<String>,
        problems: &mut Vec<String>,
    ) -> Self {
        let voters = section.voters.into_iter();
        let settings = ReplicationSettings {
            listen: section.listen,
            advertise: section.advertise,
            voters: voters
                .map(|(name, voter)| (name, InitialVoter { zone: voter.zone, address: voter.address }))
                .collect(),
            directory: section.directory,
            address_map: section.via,
            tick: section.tick_ms.to_duration(),
            lease: section.lease_ms.to_duration(),
            trust: Duration::from_secs(section.trust_s.get() as u64),
            ramp: Duration::from_secs(section.ramp_s.get() as u64),
            zones,
        };
        let found = settings.voter_problems().into_iter().chain(settings.local_problems(name));
        problems.extend(found.map(|problem| format!("fleet.plan.{problem}")));
        settings
    }

    /// Returns the problems of the initial voters.
    fn voter_problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if !matches!(self.voters.len(), 1 | 3 | 5) {
            problems.push(format!("voters: expected 1, 3 or 5, found {}", self.voters.len()));
        }
        let voter_zones = self.voters.values().map(|voter| voter.zone.as_str());
        if let Some(zone) = zone_with_majority(voter_zones, self.zones.len()) {
            problems.push(format!("voters: zone '{zone}' alone holds a majority; spread them over zones"));
        }
        for (name, InitialVoter { zone, .. }) in &self.voters {
            if !self.zones.contains(zone) {
                problems.push(format!("voters.{name}.zone: expected one of settings.zones, found '{zone}'"));
            }
        }
        let addresses: BTreeSet<SocketAddr> = self.voters.values().map(|voter| voter.address).collect();
        if addresses.len() < self.voters.len() {
            problems.push("voters: two voters have the same address".to_string());
        }
        problems
    }

    /// Returns the problems of the settings for the gateway named `name`.
    fn local_problems(&self, name: &str) -> Vec<String> {
        let mut problems = Vec::new();
        if self.voters.contains_key(name) && self.directory.is_none() {
            problems.push("directory: required, because this gateway is a voter".to_string());
        }
        if self.tick < MIN_TICK {
            let (min, found) = (MIN_TICK.as_millis(), self.tick.as_millis());
            problems.push(format!("tick_ms: expected {min} or more, found {found}"));
        }
        let min_lease = self.tick * MIN_LEASE_TICKS;
        if self.lease < min_lease {
            let (min, found) = (min_lease.as_millis(), self.lease.as_millis());
            problems
                .push(format!("lease_ms: expected {MIN_LEASE_TICKS} ticks, {min}, or more, found {found}"));
        }
        if self.advertise.unwrap_or(self.listen).ip().is_unspecified() {
            problems.push("advertise: must name an address if fleet.plan.listen is unspecified".to_string());
        }
        problems
    }
}
