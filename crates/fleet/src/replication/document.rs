//! The fleet document and how a log entry changes it: a pure function, the same on every build. The meaning of an
//! item belongs to the part of the program that reads its section; sections that this build does not know are kept
//! and passed on like any other.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The schema version of the entries that this build writes.
pub const SCHEMA_VERSION: u32 = 1;
/// The sections that this build knows.
pub const KNOWN_SECTIONS: [&str; 5] = [VOTERS_SECTION, LEASES_SECTION, "failover", "versions", "work"];
/// Section of the voters: name to identity and address.
pub const VOTERS_SECTION: &str = "voters";
/// Section of the leases: role to [`Grant`].
pub const LEASES_SECTION: &str = "duties";

/// The longest section, key or proposer.
const MAX_NAME_BYTES: usize = 64;
/// The longest reason.
const MAX_REASON_BYTES: usize = 256;
/// The longest value of an item.
const MAX_VALUE_BYTES: usize = 4 << 10;
/// The longest entry in its written form.
pub const MAX_ENTRY_BYTES: usize = 8 << 10;
/// The most items of all sections together.
const MAX_ITEMS: usize = 1_024;
/// How many of the latest proposals are recognised as duplicates when they are sent again.
const REMEMBERED_PROPOSALS: usize = 1_024;

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

/// The lease by which its holder proposes a change. Written as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, FencingToken)", into = "(String, FencingToken)")]
pub struct LeaseProof {
    /// The role that the proposer holds.
    pub role: String,
    /// The token under which it holds it.
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
    /// Identifies the proposal: one that is sent twice is applied once.
    pub id: u64,
    /// The schema version of this entry.
    pub schema: u32,
    /// Who proposes it.
    pub proposer: String,
    /// Why it is proposed.
    pub reason: String,
    /// A digest of the evidence behind it; may be empty.
    pub evidence: String,
    /// The document's index that the proposer saw; `None`: any.
    #[serde(rename = "expected")]
    pub expected_index: Option<u64>,
    /// The index at which the item was last changed, 0 if it must be absent; `None`: any.
    #[serde(rename = "after")]
    pub expected_item_index: Option<u64>,
    /// The lease by which it is proposed, where the proposer acts as a lease holder.
    #[serde(rename = "duty")]
    pub lease: Option<LeaseProof>,
    /// The section.
    pub section: String,
    /// The item's key.
    pub key: String,
    /// The item's new value; `None` removes the item.
    pub value: Option<String>,
}

impl Proposal {
    /// Checks the fields' limits. Whether it applies depends on the document.
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

/// Why a proposal changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// The document is no longer at the expected index.
    #[serde(rename = "Moved")]
    #[error("the plan has gone on to index {0}")]
    DocumentChanged(u64),
    /// The item was last changed at another index than expected; 0: it does not exist.
    #[serde(rename = "Changed")]
    #[error("{}", describe_item_change(.0))]
    ItemChanged(u64),
    /// The lease has passed to the holder of this token.
    #[error("the duty has passed on under token {0}")]
    Fenced(FencingToken),
    /// The proposal can't be parsed, or a field exceeds its limits.
    #[serde(rename = "Unsound")]
    #[error("{0}")]
    Invalid(String),
    /// The document has reached its maximum number of items.
    #[serde(rename = "Full")]
    #[error("the plan holds {MAX_ITEMS} items, and takes no more")]
    DocumentFull,
}

fn describe_item_change(index: &u64) -> String {
    match index {
        0 => "the item is not there".to_string(),
        index => format!("the item was changed at index {index}"),
    }
}

/// The result of a proposal that the voters have committed to their log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It became the document's entry of this index.
    #[serde(rename = "Agreed")]
    Accepted(u64),
    /// It had been accepted before, at this index.
    #[serde(rename = "Known")]
    Duplicate(u64),
    /// It changes nothing.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
}

/// One entry of the document's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The document's index with this entry: the first is 1.
    pub index: u64,
    /// The entry's position in the voters' log.
    pub position: LogPosition,
    /// The proposal as it was written.
    pub text: String,
    /// The document's digest with this entry.
    pub digest: u64,
}

impl Entry {
    /// The proposal, if this build can parse it.
    pub fn proposal(&self) -> Option<Proposal> {
        serde_json::from_str(&self.text).ok()
    }
}

/// One item of the document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    /// The value.
    pub value: String,
    /// The document's index at which the item was last changed.
    pub index: u64,
    /// The log position of that change.
    pub position: LogPosition,
}

/// The grant of a lease: the value of an item of [`LEASES_SECTION`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The gateway that holds the lease.
    pub holder: String,
    /// The holder's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How long the lease lasts without a renewal, in microseconds.
    pub ttl: u64,
}

/// A grant with the fencing token that it carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentGrant {
    /// The grant.
    pub grant: Grant,
    /// The log position of its entry.
    pub token: FencingToken,
}

/// The document at one index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Distinguishes this document from one that was founded anew; 0: none is known yet.
    pub id: u64,
    /// The index of the last entry.
    pub index: u64,
    /// The digest of the whole history up to here.
    pub digest: u64,
    /// The items by section and key.
    pub sections: BTreeMap<String, BTreeMap<String, Item>>,
    /// The latest proposals' ids with their indexes.
    recent: VecDeque<(u64, u64)>,
}

impl Document {
    /// A new document whose first voters are these.
    pub fn bootstrap(id: u64, voters: &BTreeMap<String, String>) -> Document {
        let item = |value: &String| Item { value: value.clone(), index: 0, position: LogPosition::default() };
        let voters = voters.iter().map(|(name, value)| (name.clone(), item(value))).collect();
        let sections = BTreeMap::from([(VOTERS_SECTION.to_string(), voters)]);
        Document { id, digest: id, sections, ..Document::default() }
    }

    /// An item.
    pub fn item(&self, section: &str, key: &str) -> Option<&Item> {
        self.sections.get(section)?.get(key)
    }

    /// The grant of a role's lease, whether or not it has expired.
    pub fn grant(&self, role: &str) -> Option<CurrentGrant> {
        let item = self.item(LEASES_SECTION, role)?;
        let grant = serde_json::from_str(&item.value).ok()?;
        Some(CurrentGrant { grant, token: item.position })
    }

    fn item_count(&self) -> usize {
        self.sections.values().map(BTreeMap::len).sum()
    }

    /// Applies a committed proposal. One that is rejected or a duplicate changes nothing and yields no entry.
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
        self.remember(proposal.id, index);
        self.change_item(proposal, index, position);
        self.digest = chain_digest(self.digest, index, position, text);
        let entry = Entry { index, position, text: text.to_string(), digest: self.digest };
        (Verdict::Accepted(index), Some(entry))
    }

    fn remember(&mut self, proposal: u64, index: u64) {
        self.recent.push_back((proposal, index));
        if self.recent.len() > REMEMBERED_PROPOSALS {
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

/// Parses an entry and checks its limits.
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

/// A hash chain over all entries and their positions: equal exactly where equal histories led to an index.
fn chain_digest(before: u64, index: u64, position: LogPosition, text: &str) -> u64 {
    let mut bytes = Vec::with_capacity(32 + text.len());
    for number in [before, index, position.term, position.index] {
        bytes.extend(number.to_be_bytes());
    }
    bytes.extend(text.as_bytes());
    xxh3_64(&bytes)
}
