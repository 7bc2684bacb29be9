//! Reports the replicated document to operators: views for the admin interface, and metrics. The keys of the views are
//! those of the first release.

use super::ReplicationService;
use lanespan_fleet::replication::document::{Document, Entry, Item};
use lanespan_fleet::replication::lease::ROLES;
use lanespan_fleet::replication::voter::Voter;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

const MICROS_PER_SECOND: f64 = 1e6;

/// The document and this gateway's role in its replication.
#[derive(Serialize)]
struct DocumentStatus {
    #[serde(rename = "plan")]
    document: String,
    index: u64,
    digest: String,
    sections: BTreeMap<String, BTreeMap<String, ItemStatus>>,
    /// The leader's name.
    leader: Option<String>,
    #[serde(rename = "votes")]
    is_voting: bool,
    #[serde(rename = "leads")]
    is_leader: bool,
    term: Option<u64>,
    /// The index of the last entry of the voters' log.
    #[serde(rename = "log")]
    log_index: Option<u64>,
    /// Why this gateway does not vote although it has a store.
    #[serde(rename = "apart")]
    not_voting: Option<String>,
    #[serde(rename = "news_age_s")]
    leader_heartbeat_age_s: f64,
    trust: f64,
}

/// One item of the document.
#[derive(Serialize)]
struct ItemStatus {
    value: String,
    index: u64,
    token: String,
}

impl ItemStatus {
    fn from_item(item: &Item) -> ItemStatus {
        ItemStatus { value: item.value.clone(), index: item.index, token: item.position.to_string() }
    }
}

/// The retained entries.
#[derive(Serialize)]
struct DocumentHistory {
    #[serde(rename = "plan")]
    document: String,
    entries: Vec<EntryStatus>,
}

/// One entry of the document.
#[derive(Serialize)]
struct EntryStatus {
    index: u64,
    token: String,
    digest: String,
    section: String,
    key: String,
    value: Option<String>,
    proposer: String,
    reason: String,
    evidence: String,
    id: String,
}

impl EntryStatus {
    fn from_entry(entry: &Entry) -> EntryStatus {
        let proposal = entry.proposal().unwrap_or_default();
        EntryStatus {
            index: entry.index,
            token: entry.position.to_string(),
            digest: hex(entry.digest),
            section: proposal.section,
            key: proposal.key,
            value: proposal.value,
            proposer: proposal.proposer,
            reason: proposal.reason,
            evidence: proposal.evidence,
            id: hex(proposal.id),
        }
    }
}

/// The leases by role.
#[derive(Serialize)]
struct LeasesStatus {
    me: String,
    #[serde(rename = "duties")]
    leases: Vec<LeaseStatus>,
}

/// One role's lease.
#[derive(Serialize)]
struct LeaseStatus {
    #[serde(rename = "duty")]
    role: &'static str,
    holder: Option<String>,
    token: Option<String>,
    /// Whether this gateway may act in the role now.
    held_here: bool,
}

/// The metrics of the replicated document at this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicationMetrics {
    /// The index that this gateway acts on.
    pub index: u64,
    /// Whether this gateway votes.
    pub is_voting: bool,
    /// Whether this gateway leads.
    pub is_leader: bool,
    /// The time since the last heartbeat of a leader was received.
    pub leader_heartbeat_age_seconds: f64,
    /// The number of entries observed since startup.
    pub entries_seen: u64,
    /// The number of divergences from other gateways found since startup.
    pub divergences: usize,
}

impl ReplicationService {
    /// Returns the document and this gateway's role in its replication.
    pub fn document_status(&self) -> Value {
        let local_replica = self.local_replica.borrow();
        let voter_driver = self.voter_driver.borrow();
        let version = local_replica.version();
        let position = voter_driver.voter().filter(|voter| voter.is_running()).map(Voter::log_position);
        to_json(&DocumentStatus {
            document: hex(version.document),
            index: version.index,
            digest: hex(version.digest),
            sections: sections_status(local_replica.replica().document()),
            leader: self.leader.borrow().as_ref().map(|leader| leader.name.clone()),
            is_voting: position.is_some(),
            is_leader: voter_driver.is_leader(),
            term: position.map(|position| position.term),
            log_index: position.map(|position| position.index),
            not_voting: voter_driver.not_voting().map(ToString::to_string),
            leader_heartbeat_age_s: self.leader_heartbeat_age_seconds(),
            trust: self.trust(),
        })
    }

    /// Returns the retained entries of the document.
    pub fn document_history(&self) -> Value {
        let local_replica = self.local_replica.borrow();
        to_json(&DocumentHistory {
            document: hex(local_replica.version().document),
            entries: local_replica.replica().entries().map(EntryStatus::from_entry).collect(),
        })
    }

    /// Returns the holder of each role's lease, and whether this gateway may act in the role now.
    pub fn leases_status(&self) -> Value {
        let now = self.now();
        let local_replica = self.local_replica.borrow();
        let leases = self.leases.borrow();
        let lease_status = |role| {
            let current = local_replica.replica().document().grant(role);
            LeaseStatus {
                role,
                token: current.as_ref().map(|current| current.token.to_string()),
                holder: current.map(|current| current.grant.holder),
                held_here: leases.token(role, now).is_some(),
            }
        };
        to_json(&LeasesStatus {
            me: self.members.me().name,
            leases: ROLES.into_iter().map(lease_status).collect(),
        })
    }

    /// Returns the current values of the metrics.
    pub fn metrics(&self) -> ReplicationMetrics {
        let local_replica = self.local_replica.borrow();
        let voter_driver = self.voter_driver.borrow();
        ReplicationMetrics {
            index: local_replica.version().index,
            is_voting: voter_driver.is_voting(),
            is_leader: voter_driver.is_leader(),
            leader_heartbeat_age_seconds: self.leader_heartbeat_age_seconds(),
            entries_seen: local_replica.entries_seen(),
            divergences: local_replica.divergence_count(),
        }
    }

    fn leader_heartbeat_age_seconds(&self) -> f64 {
        self.members.leader_heartbeat_age(self.now()) as f64 / MICROS_PER_SECOND
    }
}

fn sections_status(document: &Document) -> BTreeMap<String, BTreeMap<String, ItemStatus>> {
    let section = |items: &BTreeMap<String, Item>| {
        items.iter().map(|(key, item)| (key.clone(), ItemStatus::from_item(item))).collect()
    };
    document.sections.iter().map(|(name, items)| (name.clone(), section(items))).collect()
}

fn hex(number: u64) -> String {
    format!("{number:016x}")
}

/// Converts a view to JSON. This can't fail, because the views consist of text and numbers.
fn to_json(view: &impl Serialize) -> Value {
    serde_json::to_value(view).unwrap_or_default()
}
