//! A gateway's replica of the fleet document, with its latest entries. Voters apply committed proposals to it,
//! followers catch up from any peer that is ahead.

use super::document::{Document, Entry, LogPosition, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// The maximum number of entries that are retained for followers.
const MAX_RETAINED_ENTRIES: usize = 10_000;
/// The maximum size of the entries that are retained for followers.
const MAX_RETAINED_BYTES: usize = 4 << 20;
/// The size of one response to a follower: entries are added until their total size is at least this.
const CATCH_UP_BYTES: usize = 256 << 10;

/// The version of the document that a gateway acts on. Comparing versions shows which gateways lag or diverge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// The id of the document; 0: the gateway has no document.
    #[serde(rename = "plan")]
    pub document: u64,
    /// The index of its last entry.
    pub index: u64,
    /// The digest at that index.
    pub digest: u64,
}

/// A response that brings a follower up to date, or closer to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatchUp {
    /// The entries that follow the follower's version.
    Entries(Vec<Entry>),
    /// The complete document, sent when those entries are no longer retained.
    Snapshot(Box<Document>),
}

/// Why a catch-up could not be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CatchUpError {
    /// The catch-up belongs to another document, with this id.
    #[error("the catch-up belongs to another document, {0:016x}")]
    OtherDocument(u64),
    /// Applying an entry did not give the same result as at the peer. Holds the index of the entry.
    #[error("the peer's history diverges from the local one at index {0}")]
    Diverged(u64),
    /// The catch-up is older than the local version, or does not follow it.
    #[error("the catch-up is older than the local version or does not follow it")]
    Stale,
}

/// A replica of the document, with its latest entries.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    document: Document,
    entries: VecDeque<Entry>,
    retained_bytes: usize,
}

impl Replica {
    /// Creates a replica of this document without entries.
    pub fn from_document(document: Document) -> Replica {
        Replica { document, ..Replica::default() }
    }

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the version of the document.
    pub fn version(&self) -> DocumentVersion {
        let Document { id, index, digest, .. } = self.document;
        DocumentVersion { document: id, index, digest }
    }

    /// Returns the retained entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Applies a committed proposal.
    pub fn apply(&mut self, position: LogPosition, text: &str) -> (Verdict, Option<Entry>) {
        let (verdict, entry) = self.document.apply(position, text);
        if let Some(entry) = &entry {
            self.retain(entry.clone());
        }
        (verdict, entry)
    }

    fn retain(&mut self, entry: Entry) {
        self.retained_bytes += entry.text.len();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_RETAINED_ENTRIES || self.retained_bytes > MAX_RETAINED_BYTES {
            let oldest = self.entries.pop_front();
            self.retained_bytes -= oldest.map_or(0, |oldest| oldest.text.len());
        }
    }

    /// Returns a catch-up for a follower at `index`; `None` if the follower is up to date.
    pub fn catch_up_after(&self, index: u64) -> Option<CatchUp> {
        if index >= self.document.index {
            return None;
        }
        let Some(oldest) = self.entries.front().filter(|oldest| oldest.index <= index + 1) else {
            return Some(CatchUp::Snapshot(Box::new(self.document.clone())));
        };
        let first = (index + 1 - oldest.index) as usize;
        let mut bytes_left = CATCH_UP_BYTES;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(first) {
            if bytes_left == 0 {
                break;
            }
            bytes_left = bytes_left.saturating_sub(entry.text.len());
            entries.push(entry.clone());
        }
        Some(CatchUp::Entries(entries))
    }

    /// Returns the digest at an index; `None` unless it is the current index or its entry is retained.
    pub fn digest_at(&self, index: u64) -> Option<u64> {
        if index == self.document.index {
            return Some(self.document.digest);
        }
        let oldest = self.entries.front()?.index;
        let offset = usize::try_from(index.checked_sub(oldest)?).ok()?;
        self.entries.get(offset).map(|entry| entry.digest)
    }

    /// Applies a catch-up of this document either completely or not at all, and returns the new entries.
    pub fn apply_catch_up(&mut self, document: u64, catch_up: CatchUp) -> Result<Vec<Entry>, CatchUpError> {
        if self.document.id != 0 && document != self.document.id {
            return Err(CatchUpError::OtherDocument(document));
        }
        match catch_up {
            CatchUp::Entries(entries) => self.apply_entries(document, entries),
            CatchUp::Snapshot(snapshot) => {
                let older = snapshot.id != document || snapshot.index <= self.document.index;
                if older && self.document.id != 0 {
                    return Err(CatchUpError::Stale);
                }
                *self = Replica::from_document(*snapshot);
                Ok(Vec::new())
            }
        }
    }

    fn apply_entries(&mut self, document: u64, entries: Vec<Entry>) -> Result<Vec<Entry>, CatchUpError> {
        let mut next = self.document.clone();
        let new: Vec<Entry> = entries.into_iter().filter(|entry| entry.index > self.document.index).collect();
        for entry in &new {
            if next.id != document || entry.index != next.index + 1 {
                return Err(CatchUpError::Stale);
            }
            let (_, applied) = next.apply(entry.position, &entry.text);
            if applied.as_ref() != Some(entry) {
                return Err(CatchUpError::Diverged(entry.index));
            }
        }
        self.document = next;
        new.iter().for_each(|entry| self.retain(entry.clone()));
        Ok(new)
    }
}
