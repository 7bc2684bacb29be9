//! The voters' log as the Raft library reads it, with the replica that its committed entries were applied to.

use super::document::{Document, LogPosition};
use super::replica::Replica;
use super::wire::{LogRecord, Snapshot};
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// How many applied entries compaction leaves in the log, for voters that lag. The log is compacted when there are
/// twice as many.
pub const RETAINED_ENTRIES: u64 = 1_000;

/// Raft's persistent state of a voter beside its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// The voter that got this one's vote in that term; 0: none.
    pub vote: u64,
    /// The highest log index known to be committed.
    pub commit: u64,
}

/// What must become durable, in this order, before the messages that depend on it are sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogWrite {
    /// A snapshot that replaces all older entries.
    pub snapshot: Option<Snapshot>,
    /// The position before the oldest entry that is still needed; older ones may be removed.
    pub base: Option<LogPosition>,
    /// Entries that replace those from the first one's index on.
    pub records: Vec<LogRecord>,
    /// The new hard state.
    pub hard_state: Option<HardState>,
}

/// The durable state from which a voter starts.
#[derive(Clone, Debug, PartialEq)]
pub struct DurableState {
    /// The hard state.
    pub hard_state: HardState,
    /// The position before the oldest entry.
    pub base: LogPosition,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after `base`.
    pub records: Vec<LogRecord>,
}

impl DurableState {
    /// What each of the first voters starts a new document with.
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

    /// What a voter starts with that is added to a document.
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

    /// Applies a write as a store does.
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

/// Why a log can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The snapshot's document can't be decoded.
    #[error("the state: {0}")]
    Snapshot(postcard::Error),
    /// Committed entries are missing, at the end or in between.
    #[error("entries are missing: {first} to {last} are there, {committed} were agreed")]
    MissingEntries {
        /// The first index that the log has.
        first: u64,
        /// The last index that the log has.
        last: u64,
        /// The highest index known to be committed.
        committed: u64,
    },
}

/// The log in memory.
pub struct RaftLog {
    pub(super) hard_state: eraftpb::HardState,
    pub(super) voters: eraftpb::ConfState,
    entries: VecDeque<eraftpb::Entry>,
    base: LogPosition,
    pub(super) replica: Replica,
    pub(super) applied: LogPosition,
}

impl RaftLog {
    /// Restores the log from what was durable.
    pub fn restore(durable: &DurableState) -> Result<RaftLog, LogError> {
        let DurableState { hard_state, base, snapshot, records } = durable;
        let document = match snapshot.document.is_empty() {
            true => Document::default(),
            false => postcard::from_bytes(&snapshot.document).map_err(LogError::Snapshot)?,
        };
        let mut log = RaftLog {
            hard_state: eraftpb::HardState::default(),
            voters: eraftpb::ConfState::default(),
            entries: records.iter().map(LogRecord::to_engine).collect(),
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

    /// The index of the last entry.
    pub fn last_entry_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    pub(super) fn append(&mut self, entries: &[eraftpb::Entry]) {
        if let Some(first) = entries.first() {
            let keep = first.index.saturating_sub(self.base.index + 1) as usize;
            self.entries.truncate(keep);
            self.entries.extend(entries.iter().cloned());
        }
    }

    /// Replaces everything by a snapshot from the leader.
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

    /// A snapshot of what is applied now.
    fn take_snapshot(&self) -> Result<Snapshot, postcard::Error> {
        let document = postcard::to_allocvec(self.replica.document())?;
        Ok(Snapshot { position: self.applied, voters: self.voters.voters.clone(), document })
    }

    /// Compacts the log once it has grown long, and returns what must be made durable for it.
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

    /// Where the entry of an index after `base` is in memory.
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
            .map(|snapshot| snapshot.to_engine())
            .ok_or_else(|| StorageError::SnapshotTemporarilyUnavailable.into())
    }
}
