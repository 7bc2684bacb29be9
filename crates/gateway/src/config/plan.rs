//! The validated `fleet.plan` section: how this gateway takes part in the replicated fleet document.

use super::document::PlanSection;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// One of the first voters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirstVoter {
    /// Its zone.
    pub zone: String,
    /// Where the other gateways reach it.
    pub address: SocketAddr,
}

/// How this gateway takes part in the replicated fleet document.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicationSettings {
    /// The address to listen on for other gateways.
    pub listen: SocketAddr,
    /// The address to advertise, if it is another one.
    pub advertise: Option<SocketAddr>,
    /// The first voters by name.
    pub voters: BTreeMap<String, FirstVoter>,
    /// The directory of a voter's store. Without one this gateway only follows.
    pub directory: Option<PathBuf>,
    /// Addresses that others advertise, and where those are reached from here.
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
    /// The length of a voter's tick.
    pub tick: Duration,
    /// How long a lease lasts without a renewal.
    pub lease: Duration,
    /// How long the last known document is trusted in full without a heartbeat of the leader.
    pub trust: Duration,
    /// How long trust takes to decline after that.
    pub ramp: Duration,
    /// The zones of the site.
    pub zones: Vec<String>,
}

/// The shortest tick.
const MIN_TICK: Duration = Duration::from_millis(10);
/// The fewest ticks of a lease: a renewal takes some heartbeats.
const MIN_LEASE_TICKS: u32 = 20;

/// The voters must be spread over zones where the site has at least this many.
const MIN_ZONES_TO_SPREAD: usize = 3;

/// The zone that alone holds a majority of the voters, by their zones, where the site has three zones or more.
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
    /// Reads the section of the gateway of this name, and adds what is wrong with it to `problems`.
    pub(super) fn of(
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
                .map(|(name, voter)| (name, FirstVoter { zone: voter.zone, address: voter.address }))
                .collect(),
            directory: section.directory,
            address_map: section.via,
            tick: section.tick_ms.to_duration(),
            lease: section.lease_ms.to_duration(),
            trust: Duration::from_secs(section.trust_s.get() as u64),
            ramp: Duration::from_secs(section.ramp_s.get() as u64),
            zones,
        };
        let found = settings.voter_problems().into_iter().chain(settings.own_problems(name));
        problems.extend(found.map(|problem| format!("fleet.plan.{problem}")));
        settings
    }

    /// What is wrong with the first voters.
    fn voter_problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if !matches!(self.voters.len(), 1 | 3 | 5) {
            problems.push(format!("voters: expected 1, 3 or 5, found {}", self.voters.len()));
        }
        let voter_zones = self.voters.values().map(|voter| voter.zone.as_str());
        if let Some(zone) = zone_with_majority(voter_zones, self.zones.len()) {
            problems.push(format!("voters: zone '{zone}' alone holds a majority; spread them over zones"));
        }
        for (name, FirstVoter { zone, .. }) in &self.voters {
            if !self.zones.contains(zone) {
                problems.push(format!("voters.{name}.zone: expected one of settings.zones, found '{zone}'"));
            }
        }
        let addresses: BTreeSet<SocketAddr> = self.voters.values().map(|voter| voter.address).collect();
        if addresses.len() < self.voters.len() {
            problems.push("voters: two have one address".to_string());
        }
        problems
    }

    /// What is wrong with the settings of this gateway.
    fn own_problems(&self, name: &str) -> Vec<String> {
        let mut problems = Vec::new();
        if self.voters.contains_key(name) && self.directory.is_none() {
            problems.push("directory: must be there, as this gateway is a voter".to_string());
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
            problems.push("advertise: must be there where fleet.plan.listen names no address".to_string());
        }
        problems
    }
}
