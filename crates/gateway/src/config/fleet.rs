//! A gateway's place in its fleet, as its configuration has it.

use super::document::FleetSection;
use super::plan::ReplicationSettings;
use super::problems::Problems;
use lanespan_fleet::node::Node;
use lanespan_settings::Site;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The shortest period of probes. Guards against a fleet that does nothing but probe.
const MIN_PROBE_PERIOD: Duration = Duration::from_millis(50);

/// A gateway's place in its fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// This gateway's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its index among all gateways, from 0.
    pub gateway_index: u32,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// Where it receives datagrams.
    pub listen: SocketAddr,
    /// Where the others reach it, if not there.
    pub advertise: Option<SocketAddr>,
    /// The fleet's name.
    pub cluster: String,
    /// The members that are contacted at the start.
    pub seed_addresses: Vec<SocketAddr>,
    /// The addresses that others announce, and where those are reached from here.
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
    /// The period of probes.
    pub probe_period: Duration,
    /// How long members that are gone are remembered.
    pub retention: Duration,
    /// The most members that are kept.
    pub max_members: usize,
    /// How long a member must be gone before local shares grow.
    pub departure_hold: Duration,
    /// What is added to the system's clock, in milliseconds.
    pub clock_ahead_ms: i64,
    /// How it takes part in the replicated fleet document.
    pub plan: Option<ReplicationSettings>,
}

impl FleetSettings {
    /// Reads the section and checks it; `settings` is the `settings` section as it was written.
    pub(super) fn read(
        section: FleetSection,
        name: &str,
        settings: &Value,
        site: &Site,
        problems: &mut Problems,
    ) -> FleetSettings {
        let plan = section.plan.map(|plan| {
            let mut lines = Vec::new();
            let plan = ReplicationSettings::of(plan, name, zone_names(settings), &mut lines);
            problems.extend(lines);
            plan
        });
        let fleet = FleetSettings {
            plan,
            name: name.to_string(),
            zone: settings["zone"].as_str().unwrap_or_default().to_string(),
            gateway_index: site.settings.gateway_index,
            gateway_count: site.settings.gateway_count,
            listen: section.listen,
            advertise: section.advertise,
            cluster: section.cluster,
            seed_addresses: section.join,
            address_map: section.via,
            probe_period: section.probe_ms.to_duration(),
            retention: Duration::from_secs(section.forget_s.get() as u64),
            max_members: section.most.get(),
            departure_hold: section.hold_ms.to_duration(),
            clock_ahead_ms: section.clock_ahead_ms,
        };
        fleet.check(problems);
        fleet
    }

    fn check(&self, problems: &mut Problems) {
        if !self.node().is_valid() {
            let max = lanespan_fleet::node::MAX_LABEL_BYTES;
            let message = format!("expected a name, and name and settings.zone of {max} bytes at most");
            problems.add("fleet", message);
        }
        if self.probe_period < MIN_PROBE_PERIOD {
            let (min, found) = (MIN_PROBE_PERIOD.as_millis(), self.probe_period.as_millis());
            problems.add("fleet.probe_ms", format!("expected {min} or more, found {found}"));
        }
        if self.max_members < self.gateway_count as usize {
            let (gateways, found) = (self.gateway_count, self.max_members);
            let message = format!("expected settings.balancers, {gateways}, or more, found {found}");
            problems.add("fleet.most", message);
        }
        // Others would be told of an address that can't be reached.
        if self.advertise.unwrap_or(self.listen).ip().is_unspecified() {
            problems.add("fleet.advertise", "must be there where fleet.listen names no address");
        }
    }

    /// This gateway as a member of the fleet.
    fn node(&self) -> Node {
        Node {
            name: self.name.clone(),
            address: self.listen,
            incarnation: 0,
            zone: self.zone.clone(),
            build: String::new(),
        }
    }
}

fn zone_names(settings: &Value) -> Vec<String> {
    let zones = settings["zones"].as_array().into_iter().flatten();
    zones.filter_map(|zone| zone.as_str().map(str::to_string)).collect()
}
