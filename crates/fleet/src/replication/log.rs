//! The in-memory log of a voter, as the Raft library's storage, with the replica to which its committed entries are
//! applied.

use super::document::{Document, LogPosition};
use super::replica::Replica;
use super::wire::{LogRecord, Snapshot};
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// The number of applied entries that compaction leaves in the log, for voters that lag. The log is compacted when it
/// holds twice as many applied entries.
pub const RETAINED_ENTRIES: u64 = 1_000;

/// The persistent Raft state of a voter besides its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// The id of the voter that this voter voted for in that term; 0: none.
    pub vote: u64,
    /// The highest log index known to be committed.
    pub commit: u64,
}

/// A write to the store. Its fields are applied in this order, and must be durable before the messages that depend on
/// them are sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogWrite {
    /// A snapshot that replaces all older entries.
    pub snapshot: Option<Snapshot>,
    /// The position just before the oldest entry that is still needed. Entries up to this position may be removed.
    pub base: Option<LogPosition>,
    /// Entries that replace all stored entries from the index of the first one on.
    pub records: Vec<LogRecord>,
    /// The new hard state; `None`: unchanged.
    pub hard_state: Option<HardState>,
}

/// The durable state that a voter starts from.
#[derive(Clone, Debug, PartialEq)]
pub struct DurableState {
    /// The hard state.
    pub hard_state: HardState,
    /// The position just before the oldest entry.
    pub base: LogPosition,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after `base`.
    pub records: Vec<LogRecord>,
}

impl DurableState {
    /// Creates the state that each of the initial voters of a new document starts from.
    pub fn bootstrap(document: &Document, mut voters: Vec<u64>) -> Result<DurableState, postcard::Error> {
        voters.sort_unstable();
        let base = LogPosition { term: 1, index: 1 };
        Ok(DurableState {
            hard_state: HardState { term: 1, vote: 0, commit: 1 },
            base,
            snapshot: Snapshot { position: base, voters, document: postcard::to_allocvec(document)? },
            records: Vec::new(),
        })
    }

    /// Creates the state of a voter that is added to an existing document.
    pub fn empty() -> DurableState {
        let snapshot =
            Snapshot { position: LogPosition::default(), voters: Vec::new(), document: Vec::new() };
        DurableState {
            hard_state: HardState::default(),
            base: LogPosition::default(),
            snapshot,
            records: Vec::new(),
        }
    }

    /// Applies a write the way a store does.
    pub fn apply(&mut self, write: &LogWrite) {
        if let Some(snapshot) = &write.snapshot {
            if write.base.is_none() {
                self.base = snapshot.position;
                self.records.clear();
            }
            self.snapshot = snapshot.clone();
        }
        if let Some(base) = write.base {
            self.records.retain(|record| record.position.index > base.index);
            self.base = base;
        }
        if let Some(first) = write.records.first() {
            self.records.retain(|record| record.position.index < first.position.index);
            self.records.extend(write.records.iter().cloned());
        }
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
    }
}

/// Why a log or a snapshot can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The snapshot's document can't be decoded.
    #[error("the document in the snapshot cannot be decoded: {0}")]
    Snapshot(postcard::Error),
    /// Committed entries are missing at the end, or there is a gap in the log.
    #[error("log entries are missing: the log has {first} to {last}, and {committed} was committed")]
    MissingEntries {
        /// The index of the first entry of the log.
        first: u64,
        /// The index of the last entry of the log.
        last: u64,
        /// The highest index known to be committed.
        committed: u64,
    },
}

/// The in-memory log of a voter.
pub struct RaftLog {
    pub(super) hard_state: eraftpb::HardState,
    pub(super) voters: eraftpb::ConfState,
    entries: VecDeque<eraftpb::Entry>,
    base: LogPosition,
    pub(super) replica: Replica,
    pub(super) applied: LogPosition,
}

impl RaftLog {
    /// Restores the log from the durable state.
    pub fn restore(durable: &DurableState) -> Result<RaftLog, LogError> {
        let DurableState { hard_state, base, snapshot, records } = durable;
        let document = match snapshot.document.is_empty() {
            true => Document::default(),
            false => postcard::from_bytes(&snapshot.document).map_err(LogError::Snapshot)?,
        };
        let mut log = RaftLog {
            hard_state: eraftpb::HardState::default(),
            voters: eraftpb::ConfState::default(),
            entries: records.iter().map(LogRecord::to_raft).collect(),
            base: *base,
            replica: Replica::from_document(document),
            applied: snapshot.position,
        };
        log.hard_state.term = hard_state.term;
        log.hard_state.vote = hard_state.vote;
        log.hard_state.commit = hard_state.commit.max(snapshot.position.index);
        log.voters.voters = snapshot.voters.clone();
        log.check_complete()?;
        Ok(log)
    }

    fn check_complete(&self) -> Result<(), LogError> {
        let first = self.base.index + 1;
        let gap = self.entries.iter().zip(first..).any(|(entry, index)| entry.index != index);
        let committed = self.hard_state.commit;
        if gap || self.last_entry_index() < committed {
            return Err(LogError::MissingEntries { first, last: self.last_entry_index(), committed });
        }
        Ok(())
    }

    /// Returns the index of the last entry.
    pub fn last_entry_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    pub(super) fn append(&mut self, entries: &[eraftpb::Entry]) {
        if let Some(first) = entries.first() {
            let retained = first.index.saturating_sub(self.base.index + 1) as usize;
            self.entries.truncate(retained);
            self.entries.extend(entries.iter().cloned());
        }
    }

    /// Replaces the log and the replica with a snapshot from the leader.
    pub(super) fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), LogError> {
        let document = postcard::from_bytes(&snapshot.document).map_err(LogError::Snapshot)?;
        self.replica = Replica::from_document(document);
        self.entries.clear();
        self.base = snapshot.position;
        self.applied = snapshot.position;
        self.voters.voters = snapshot.voters.clone();
        self.hard_state.commit = self.hard_state.commit.max(snapshot.position.index);
        Ok(())
    }

    /// Takes a snapshot of the applied state.
    fn take_snapshot(&self) -> Result<Snapshot, postcard::Error> {
        let document = postcard::to_allocvec(self.replica.document())?;
        Ok(Snapshot { position: self.applied, voters: self.voters.voters.clone(), document })
    }

    /// Compacts the log if it holds at least twice [`RETAINED_ENTRIES`] applied entries, and returns the write that
    /// makes the compaction durable.
    pub(super) fn compact(&mut self) -> Option<LogWrite> {
        if self.applied.index < self.base.index + 2 * RETAINED_ENTRIES {
            return None;
        }
        let snapshot = self.take_snapshot().ok()?;
        let index = self.applied.index - RETAINED_ENTRIES;
        let base = LogPosition { term: Storage::term(self, index).ok()?, index };
        self.entries.drain(..(index - self.base.index) as usize);
        self.base = base;
        Some(LogWrite { snapshot: Some(snapshot), base: Some(base), ..LogWrite::default() })
    }

    /// Returns the offset in `entries` of an index after `base`.
    fn offset(&self, index: u64) -> usize {
        (index - self.base.index - 1) as usize
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.voters.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low <= self.base.index {
            return Err(StorageError::Compacted.into());
        }
        let (from, to) = (self.offset(low), self.offset(high));
        if to > self.entries.len() {
            return Err(StorageError::Unavailable.into());
        }
        let mut entries: Vec<eraftpb::Entry> = self.entries.range(from..to).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.base.index {
            return Ok(self.base.term);
        }
        if index < self.base.index {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get(self.offset(index));
        entry.map(|entry| entry.term).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.base.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        let snapshot = self.take_snapshot().ok().filter(|snapshot| snapshot.position.index >= request_index);
        snapshot
            .map(|snapshot| snapshot.to_raft())
            .ok_or_else(|| StorageError::SnapshotTemporarilyUnavailable.into())
    }
}
