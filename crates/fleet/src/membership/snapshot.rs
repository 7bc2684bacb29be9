//! Builds the view that operators see from the state of membership.

use super::dissemination::FactsTable;
use super::members::{MemberRecord, MemberTable};
use super::name_conflicts::NameConflicts;
use crate::node::Node;
use crate::replication::replica::DocumentVersion;
use crate::time::Timestamp;
use crate::view::{DocumentPosition, MemberState, MemberView, Observer, View, ZoneView};
use std::collections::BTreeMap;
use std::time::Duration;

/// The inputs of a view.
pub(super) struct Snapshot<'a> {
    pub(super) local: &'a Node,
    pub(super) document_version: DocumentVersion,
    pub(super) members: &'a MemberTable,
    pub(super) facts: &'a FactsTable,
    pub(super) name_conflicts: &'a NameConflicts,
    pub(super) now: Timestamp,
    pub(super) probe_period: Duration,
}

impl Snapshot<'_> {
    pub(super) fn view(&self) -> View {
        let mut members: Vec<MemberView> = self.members.iter().map(|record| self.member(record)).collect();
        members.push(self.local_member());
        members.sort_by(|first, second| first.node.cmp(&second.node));
        View {
            local: self.local.clone(),
            version: self.members.version(),
            digest: format!("{:016x}", self.members.digest()),
            zones: zones(&members),
            members,
            conflicting_names: self.name_conflicts.names(),
            disagreeing: self.members.disagreeing(self.now, self.probe_period),
        }
    }

    fn local_member(&self) -> MemberView {
        MemberView {
            node: self.local.clone(),
            state: MemberState::Alive,
            observer: Observer::Local,
            state_age: Duration::ZERO,
            superseded: self.is_superseded(self.local),
            facts: self.facts.get(self.local).cloned().unwrap_or_default(),
            agrees: Some(true),
            document: position(self.document_version),
        }
    }

    fn member(&self, record: &MemberRecord) -> MemberView {
        MemberView {
            node: record.node.clone(),
            state: record.state,
            observer: record.observer.clone(),
            state_age: self.now.saturating_duration_since(record.changed_at),
            superseded: record.state.is_active() && self.is_superseded(&record.node),
            facts: self.facts.get(&record.node).cloned().unwrap_or_default(),
            agrees: self.members.agrees(record, self.now, self.probe_period),
            document: position(record.document_version),
        }
    }

    /// Returns whether a more recent active member has the same name.
    fn is_superseded(&self, node: &Node) -> bool {
        let others = self.members.active().map(|record| &record.node);
        let mut same_name = others.chain([self.local]).filter(|other| other.name == node.name);
        same_name.any(|other| other.recency() > node.recency())
    }
}

fn zones(members: &[MemberView]) -> BTreeMap<String, ZoneView> {
    let mut zones = BTreeMap::<String, ZoneView>::new();
    for member in members {
        let zone = zones.entry(member.node.zone.clone()).or_default();
        match member.state {
            MemberState::Alive => zone.alive += 1,
            MemberState::Suspect => zone.suspect += 1,
            MemberState::Left | MemberState::Dead => zone.gone += 1,
        }
    }
    zones
}

fn position(version: DocumentVersion) -> Option<DocumentPosition> {
    let DocumentVersion { document, index, digest } = version;
    (document != 0).then(|| DocumentPosition { index, digest: format!("{digest:016x}") })
}
