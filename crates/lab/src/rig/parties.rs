//! Resolves the party names in an experiment file to gateways, backends and other stand-ins.

use super::{Rig, RigError};
use crate::experiment::{Action, Parties};
use crate::gateway::Gateway;
use crate::stand_in::backend::Backend;
use std::collections::BTreeSet;
use std::rc::Rc;

impl Rig {
    /// Returns the names of all parties that the entries select: single ones, zones, regions, all gateways or all
    /// backends.
    pub(super) fn party_names(&self, parties: &Parties) -> Result<BTreeSet<String>, RigError> {
        let mut names = BTreeSet::new();
        for party in parties {
            let zones: Vec<&str> = match party.split_once(':') {
                Some(("zone", zone)) => vec![zone],
                Some(("region", region)) => {
                    let zones = self.experiment.regions.get(region).into_iter().flatten();
                    zones.map(String::as_str).collect()
                }
                _ => Vec::new(),
            };
            let before = names.len();
            let gateways = self.gateways.iter().filter(|gateway| {
                party == "gateways" || *party == gateway.name || zones.contains(&gateway.zone.as_str())
            });
            names.extend(gateways.map(|gateway| gateway.name.clone()));
            let backends = self.backends.iter().filter(|backend| {
                party == "backends" || *party == backend.id || zones.contains(&backend.zone.as_str())
            });
            names.extend(backends.map(|backend| backend.id.clone()));
            names.extend(
                ["counter", "discovery"].into_iter().filter(|name| party == name).map(str::to_string),
            );
            if names.len() == before {
                return Err(RigError::UnknownParty(party.clone()));
            }
        }
        Ok(names)
    }

    pub(super) fn gateways_of(&self, parties: &Parties) -> Result<Vec<Rc<Gateway>>, RigError> {
        let names = self.party_names(parties)?;
        Ok(self.gateways.iter().filter(|gateway| names.contains(&gateway.name)).cloned().collect())
    }

    pub(super) fn backends_of(&self, parties: &Parties) -> Result<Vec<Rc<Backend>>, RigError> {
        let names = self.party_names(parties)?;
        Ok(self.backends.iter().filter(|backend| names.contains(&backend.id)).cloned().collect())
    }

    /// Replaces the dynamic names of an action: `leader` by the gateway that currently leads the fleet document,
    /// `zone:leader` by its zone, and `rest` by all gateways and backends that no other group of the action names.
    pub(super) async fn resolve(&self, action: &Action) -> Result<Action, RigError> {
        let mut action = action.clone();
        let mut parties = action.parties();
        if parties.iter().any(|parties| parties.iter().any(|party| party.contains("leader"))) {
            let documents = self.get_json_from_all("/fleet/plan").await;
            let leader_name =
                documents.iter().find(|(_, document)| document["leads"] == true).map(|(name, _)| name);
            let leader = self.gateways.iter().find(|gateway| Some(&gateway.name) == leader_name);
            let leader = leader.ok_or(RigError::NoLeader)?;
            for party in parties.iter_mut().flat_map(|parties| parties.iter_mut()) {
                match party.as_str() {
                    "leader" => *party = leader.name.clone(),
                    "zone:leader" => *party = format!("zone:{}", leader.zone),
                    _ => {}
                }
            }
        }
        let mut named = BTreeSet::new();
        for group in parties.iter().filter(|group| !group.contains(&"rest".to_string())) {
            named.extend(self.party_names(group)?);
        }
        let all = self
            .gateways
            .iter()
            .map(|gateway| &gateway.name)
            .chain(self.backends.iter().map(|backend| &backend.id));
        let rest: Vec<String> = all.filter(|name| !named.contains(*name)).cloned().collect();
        for group in parties.iter_mut().filter(|group| group.contains(&"rest".to_string())) {
            **group = rest.clone();
        }
        Ok(action)
    }
}
