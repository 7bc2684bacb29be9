//! The fleet document and the function that applies a log entry to it. The function is pure and the same in every
//! build. Items are interpreted by the part of the program that reads their section; sections that this build does not
//! know are stored and replicated like any other.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The schema version of the entries that this build writes.
pub const SCHEMA_VERSION: u32 = 1;
/// The sections that this build knows.
pub const KNOWN_SECTIONS: [&str; 5] = [VOTERS_SECTION, LEASES_SECTION, "failover", "versions", "work"];
/// The section of the voters: maps a voter's name to its identity and address.
pub const VOTERS_SECTION: &str = "voters";
/// The section of the leases: maps a role to its [`Grant`].
pub const LEASES_SECTION: &str = "duties";

/// The maximum length of a section, a key or a proposer.
const MAX_NAME_BYTES: usize = 64;
/// The maximum length of a reason.
const MAX_REASON_BYTES: usize = 256;
/// The maximum length of an item's value.
const MAX_VALUE_BYTES: usize = 4 << 10;
/// The maximum length of an entry in its JSON form.
pub const MAX_ENTRY_BYTES: usize = 8 << 10;
/// The maximum number of items in all sections together.
const MAX_ITEMS: usize = 1_024;
/// The number of latest proposals that are recognized as duplicates when they are sent again.
const MAX_RECENT_PROPOSALS: usize = 1_024;

/// The position of an entry in the voters' log. Positions order by term, then index, so that the position of a
/// grant serves as the fencing token of its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term in which the entry was proposed.
    pub term: u64,
    /// The index of the entry in the log.
    pub index: u64,
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.index)
    }
}

/// The fencing token of a lease: the log position of its grant.
pub type FencingToken = LogPosition;

/// Identifies the lease under which its holder proposes a change. Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, FencingToken)", into = "(String, FencingToken)")]
pub struct LeaseProof {
    /// The role whose lease the proposer holds.
    pub role: String,
    /// The fencing token of that lease.
    pub token: FencingToken,
}

impl From<(String, FencingToken)> for LeaseProof {
    fn from((role, token): (String, FencingToken)) -> LeaseProof {
        LeaseProof { role, token }
    }
}

impl From<LeaseProof> for (String, FencingToken) {
    fn from(proof: LeaseProof) -> (String, FencingToken) {
        (proof.role, proof.token)
    }
}

/// A proposed change of one item of the document. Its JSON form is what the log stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Proposal {
    /// The id of the proposal. A proposal that is sent twice is applied once.
    pub id: u64,
    /// The schema version of this entry.
    pub schema: u32,
    /// The name of the proposer.
    pub proposer: String,
    /// The reason for the change.
    pub reason: String,
    /// A digest of the evidence for the change; may be empty.
    pub evidence: String,
    /// The index at which the document must be; `None`: any.
    #[serde(rename = "expected")]
    pub expected_index: Option<u64>,
    /// The index at which the item must have been last changed; 0: it must not exist; `None`: any.
    #[serde(rename = "after")]
    pub expected_item_index: Option<u64>,
    /// The lease that must still be in force; set where the proposer acts as a lease holder.
    #[serde(rename = "duty")]
    pub lease: Option<LeaseProof>,
    /// The section of the item.
    pub section: String,
    /// The key of the item.
    pub key: String,
    /// The new value of the item; `None` removes the item.
    pub value: Option<String>,
}

impl Proposal {
    /// Checks the limits of the fields. The preconditions are checked when the proposal is applied to a document.
    pub fn check(&self) -> Result<(), Rejection> {
        check_name("section", &self.section)?;
        check_name("key", &self.key)?;
        check_name("proposer", &self.proposer)?;
        if self.reason.is_empty() || self.reason.len() > MAX_REASON_BYTES {
            return Err(Rejection::Invalid(format!("reason: expected 1 to {MAX_REASON_BYTES} bytes")));
        }
        if self.value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return Err(Rejection::Invalid(format!("value: expected {MAX_VALUE_BYTES} bytes at most")));
        }
        Ok(())
    }
}

/// Why a proposal was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// The document is no longer at the expected index.
    #[serde(rename = "Moved")]
    #[error("the plan is at index {0}, not at the expected index")]
    DocumentChanged(u64),
    /// The item was last changed at this index, not at the expected one; 0: the item does not exist.
    #[serde(rename = "Changed")]
    #[error("{}", describe_item_change(.0))]
    ItemChanged(u64),
    /// The proposer's token is not the current token of the role's lease. Holds the current token.
    #[error("the proposer's token for the duty is out of date: the current token is {0}")]
    Fenced(FencingToken),
    /// The proposal can't be parsed, or a field exceeds its limits.
    #[serde(rename = "Unsound")]
    #[error("{0}")]
    Invalid(String),
    /// The document has reached its maximum number of items.
    #[serde(rename = "Full")]
    #[error("the plan already holds the maximum of {MAX_ITEMS} items")]
    DocumentFull,
}

fn describe_item_change(index: &u64) -> String {
    match index {
        0 => "the item does not exist".to_string(),
        index => format!("the item was last changed at index {index}, not at the expected index"),
    }
}

/// The result of a proposal that the voters have committed to their log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The proposal became the document's entry at this index.
    #[serde(rename = "Agreed")]
    Accepted(u64),
    /// The proposal had already been accepted, at this index.
    #[serde(rename = "Known")]
    Duplicate(u64),
    /// The proposal was rejected and does not change the document.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
}

/// One entry of the document's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The index of the document after this entry; the first entry has index 1.
    pub index: u64,
    /// The position of the entry in the voters' log.
    pub position: LogPosition,
    /// The JSON text of the proposal, as stored in the log.
    pub text: String,
    /// The digest of the document after this entry.
    pub digest: u64,
}

impl Entry {
    /// Parses the proposal; `None` if this build can't parse it.
    pub fn proposal(&self) -> Option<Proposal> {
        serde_json::from_str(&self.text).ok()
    }
}

/// One item of the document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    /// The value of the item.
    pub value: String,
    /// The index of the document at which the item was last changed.
    pub index: u64,
    /// The log position of that change.
    pub position: LogPosition,
}

/// The grant of a lease, stored as the value of an item of [`LEASES_SECTION`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The gateway that holds the lease.
    pub holder: String,
    /// The incarnation of the holder.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How long the lease lasts without a renewal, in microseconds.
    pub ttl: u64,
}

/// The current grant of a role's lease, with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentGrant {
    /// The grant.
    pub grant: Grant,
    /// The log position of the grant's entry.
    pub token: FencingToken,
}

/// The fleet document at one index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Distinguishes this document from one that was bootstrapped separately; 0: no document is known yet.
    pub id: u64,
    /// The index of the last entry.
    pub index: u64,
    /// The digest of the complete history up to `index`.
    pub digest: u64,
    /// The items by section and key.
    pub sections: BTreeMap<String, BTreeMap<String, Item>>,
    /// The ids of the latest accepted proposals, with the indexes at which they were accepted.
    recent: VecDeque<(u64, u64)>,
}

impl Document {
    /// Creates a document with these initial voters and no entries.
    pub fn bootstrap(id: u64, voters: &BTreeMap<String, String>) -> Document {
        let item = |value: &String| Item { value: value.clone(), index: 0, position: LogPosition::default() };
        let voters = voters.iter().map(|(name, value)| (name.clone(), item(value))).collect();
        let sections = BTreeMap::from([(VOTERS_SECTION.to_string(), voters)]);
        Document { id, digest: id, sections, ..Document::default() }
    }

    /// Returns an item.
    pub fn item(&self, section: &str, key: &str) -> Option<&Item> {
        self.sections.get(section)?.get(key)
    }

    /// Returns the grant of a role's lease, whether or not it has expired.
    pub fn grant(&self, role: &str) -> Option<CurrentGrant> {
        let item = self.item(LEASES_SECTION, role)?;
        let grant = serde_json::from_str(&item.value).ok()?;
        Some(CurrentGrant { grant, token: item.position })
    }

    fn item_count(&self) -> usize {
        self.sections.values().map(BTreeMap::len).sum()
    }

    /// Applies a committed proposal. A rejected or duplicate proposal does not change the document and yields no entry.
    pub fn apply(&mut self, position: LogPosition, text: &str) -> (Verdict, Option<Entry>) {
        let proposal = match parse(text) {
            Ok(proposal) => proposal,
            Err(rejection) => return (Verdict::Rejected(rejection), None),
        };
        if let Some((_, index)) = self.recent.iter().find(|(id, _)| *id == proposal.id) {
            return (Verdict::Duplicate(*index), None);
        }
        if let Err(rejection) = self.check_preconditions(&proposal) {
            return (Verdict::Rejected(rejection), None);
        }
        self.index += 1;
        let index = self.index;
        self.record_accepted(proposal.id, index);
        self.change_item(proposal, index, position);
        self.digest = chain_digest(self.digest, index, position, text);
        let entry = Entry { index, position, text: text.to_string(), digest: self.digest };
        (Verdict::Accepted(index), Some(entry))
    }

    fn record_accepted(&mut self, proposal: u64, index: u64) {
        self.recent.push_back((proposal, index));
        if self.recent.len() > MAX_RECENT_PROPOSALS {
            self.recent.pop_front();
        }
    }

    fn change_item(&mut self, proposal: Proposal, index: u64, position: LogPosition) {
        match proposal.value {
            Some(value) => {
                let section = self.sections.entry(proposal.section).or_default();
                section.insert(proposal.key, Item { value, index, position });
            }
            None => {
                if let Some(section) = self.sections.get_mut(&proposal.section) {
                    section.remove(&proposal.key);
                }
            }
        }
    }

    fn check_preconditions(&self, proposal: &Proposal) -> Result<(), Rejection> {
        if proposal.expected_index.is_some_and(|expected| expected != self.index) {
            return Err(Rejection::DocumentChanged(self.index));
        }
        let item = self.item(&proposal.section, &proposal.key);
        let changed_at = item.map_or(0, |item| item.index);
        if proposal.expected_item_index.is_some_and(|expected| expected != changed_at) {
            return Err(Rejection::ItemChanged(changed_at));
        }
        if item.is_none() && proposal.value.is_none() {
            return Err(Rejection::ItemChanged(0));
        }
        if item.is_none() && self.item_count() >= MAX_ITEMS {
            return Err(Rejection::DocumentFull);
        }
        if let Some(proof) = &proposal.lease {
            let current = self.grant(&proof.role).map(|current| current.token).unwrap_or_default();
            if proof.token != current {
                return Err(Rejection::Fenced(current));
            }
        }
        Ok(())
    }
}

/// Parses the JSON text of a proposal and checks its limits.
fn parse(text: &str) -> Result<Proposal, Rejection> {
    if text.len() > MAX_ENTRY_BYTES {
        return Err(Rejection::Invalid(format!("longer than {MAX_ENTRY_BYTES} bytes")));
    }
    let proposal: Proposal =
        serde_json::from_str(text).map_err(|error| Rejection::Invalid(error.to_string()))?;
    proposal.check()?;
    Ok(proposal)
}

fn check_name(field: &str, name: &str) -> Result<(), Rejection> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        let expected = format!("{field}: expected 1 to {MAX_NAME_BYTES} bytes, no control characters");
        return Err(Rejection::Invalid(expected));
    }
    Ok(())
}

/// Extends the hash chain over all entries and their positions by one entry. Digests at an index are equal exactly
/// where the histories up to it are equal.
fn chain_digest(previous_digest: u64, index: u64, position: LogPosition, text: &str) -> u64 {
    let mut bytes = Vec::with_capacity(32 + text.len());
    for number in [previous_digest, index, position.term, position.index] {
        bytes.extend(number.to_be_bytes());
    }
    bytes.extend(text.as_bytes());
    xxh3_64(&bytes)
}
