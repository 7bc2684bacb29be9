//! The validated `fleet` section: how this gateway takes part in the membership of its fleet.

use super::document::FleetSection;
use super::plan::ReplicationSettings;
use super::problems::Problems;
use lanespan_fleet::node::Node;
use lanespan_settings::Site;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The shortest probe period. A shorter one would have the gateways do little besides probing.
const MIN_PROBE_PERIOD: Duration = Duration::from_millis(50);

/// How this gateway takes part in the membership of its fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// The name of this gateway.
    pub name: String,
    /// The zone of this gateway.
    pub zone: String,
    /// The index of this gateway among all gateways, from 0.
    pub gateway_index: u32,
    /// The number of gateways.
    pub gateway_count: u32,
    /// The address on which this gateway receives datagrams.
    pub listen: SocketAddr,
    /// The address to advertise to the others, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The name of the fleet.
    pub cluster: String,
    /// The addresses of the members that are contacted at startup.
    pub seed_addresses: Vec<SocketAddr>,
    /// Maps an address that another member advertises to the address by which it is reached from here.
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
    /// The interval between two probes.
    pub probe_period: Duration,
    /// How long members that are gone are remembered.
    pub retention: Duration,
    /// The maximum number of members that are tracked.
    pub max_members: usize,
    /// How long a member must be gone before the shares of the others grow.
    pub departure_hold: Duration,
    /// The offset added to the system clock, in milliseconds.
    pub clock_ahead_ms: i64,
    /// How this gateway takes part in the replicated fleet document, if it does.
    pub plan: Option<ReplicationSettings>,
}

impl FleetSettings {
    /// Reads and validates the section. `settings` is the `settings` section as written in the file.
    pub(super) fn read(
        section: FleetSection,
        name: &str,
        settings: &Value,
        site: &Site,
        problems: &mut Problems,
    ) -> FleetSettings {
        let plan = section.plan.map(|plan| {
            let mut plan_problems = Vec::new();
            let plan =
                ReplicationSettings::from_section(plan, name, zone_names(settings), &mut plan_problems);
            problems.extend(plan_problems);
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
            let message = format!("expected a name, and at most {max} bytes each in name and settings.zone");
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
        // The others would receive an address to which nothing can be sent.
        if self.advertise.unwrap_or(self.listen).ip().is_unspecified() {
            problems.add("fleet.advertise", "must name an address if fleet.listen is unspecified");
        }
    }

    /// Returns this gateway as a member of the fleet, to validate its name and zone.
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
