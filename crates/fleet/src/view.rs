//! A gateway's view of its fleet, for operators and for decisions. The JSON names are part of the admin interface.

use crate::facts::Facts;
use crate::node::Node;
use crate::time::serialize_micros;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The state of a member, as in SWIM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member answers probes.
    #[serde(rename = "present")]
    Alive,
    /// The member did not answer a probe, and still has time to refute before it is declared dead.
    Suspect,
    /// The member announced that it leaves, and left.
    Left,
    /// The member does not answer, or a later incarnation replaced it.
    #[serde(rename = "lost")]
    Dead,
}

impl MemberState {
    /// Returns whether the member is active, that is, alive or suspect.
    pub fn is_active(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// Who observed a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Observer {
    /// This gateway, by its own probes.
    #[serde(rename = "here")]
    Local,
    /// The member with this name, which forwarded the change.
    #[serde(rename = "by")]
    Peer(String),
}

impl fmt::Display for Observer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Observer::Local => f.write_str("here"),
            Observer::Peer(name) => write!(f, "by {name}"),
        }
    }
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub node: Node,
    /// Its previous state, or `None` if it was not known.
    pub previous: Option<MemberState>,
    /// Its new state.
    pub state: MemberState,
    /// Who observed it.
    pub observer: Observer,
}

/// A member as it appears in the view.
#[derive(Clone, Debug, Serialize)]
pub struct MemberView {
    /// Its identity.
    #[serde(flatten)]
    pub node: Node,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Who observed that state.
    #[serde(rename = "seen")]
    pub observer: Observer,
    /// The time since it entered that state. Serialized in microseconds.
    #[serde(rename = "since", serialize_with = "serialize_micros")]
    pub state_age: Duration,
    /// Whether a later active member has the same name and owns it.
    pub superseded: bool,
    /// What it announces about itself.
    pub facts: Facts,
    /// Whether its last view digest equals this view's, or `None` if it is not active or sent none recently.
    pub agrees: Option<bool>,
    /// The version of the fleet document that it acts on, or `None` if it has no document.
    #[serde(rename = "acts_on")]
    pub document: Option<DocumentPosition>,
}

/// A position in the history of the fleet document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DocumentPosition {
    /// The index of the last applied entry.
    pub index: u64,
    /// The digest of the document at that index, in hex.
    pub digest: String,
}

/// The number of members of a zone by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneView {
    /// Members that are alive and not suspect.
    #[serde(rename = "present")]
    pub alive: usize,
    /// Members that are suspect.
    pub suspect: usize,
    /// Members that left or are dead.
    pub gone: usize,
}

/// The number of members by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members that are alive or suspect, this gateway included.
    pub active: usize,
    /// Members that are suspect, which are counted in `active` as well.
    pub suspect: usize,
    /// Members that left or are dead, as long as they are remembered.
    pub gone: usize,
}

/// The fleet as one gateway sees it.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// This gateway.
    #[serde(rename = "me")]
    pub local: Node,
    /// Incremented with each change of the digest.
    pub version: u64,
    /// The view digest, in hex. It is the same on all gateways that have the same active members with the same facts.
    pub digest: String,
    /// All members, this gateway included, sorted by name.
    pub members: Vec<MemberView>,
    /// The member counts by zone.
    pub zones: BTreeMap<String, ZoneView>,
    /// Names shared by two or more active members.
    #[serde(rename = "claimed_twice")]
    pub conflicting_names: Vec<String>,
    /// The number of members whose last view digest, if received recently, differs from this view's.
    pub disagreeing: usize,
}
