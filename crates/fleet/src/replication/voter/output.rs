//! The outputs of a voter: requests and reports to its driver.

use crate::replication::document::{Entry, Verdict};
use crate::replication::log::{LogError, LogWrite};
use crate::replication::wire::RaftMessage;
use thiserror::Error;

/// A request or a report of a voter to its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The driver must send this message to another voter.
    Send(RaftMessage),
    /// The driver must make this write durable, then call [`crate::replication::voter::Voter::persisted`] with its
    /// number. No other write is requested before that call.
    Write {
        /// The number of the write.
        number: u64,
        /// The write.
        write: LogWrite,
    },
    /// A proposal was committed and applied.
    Decided {
        /// The proposal's id.
        id: u64,
        /// The result of the proposal.
        verdict: Verdict,
        /// The entry of the document, if the proposal was accepted.
        entry: Option<Entry>,
    },
    /// A snapshot from the leader replaced the document.
    SnapshotInstalled,
    /// A majority confirmed that this voter was the leader when
    /// [`crate::replication::voter::Voter::confirm_leadership`] was called with this number.
    LeadershipConfirmed(u64),
    /// The leader or the term changed, as seen by this voter.
    LeaderChanged {
        /// The id of the leader; 0: none.
        leader: u64,
        /// The current term.
        term: u64,
    },
    /// This voter has halted.
    Halted(HaltReason),
}

/// Why a voter halted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HaltReason {
    /// The store could not make a write durable.
    #[error("the store failed: {0}")]
    StoreFailed(String),
    /// The leader has received an acknowledgement of an entry that the store does not have.
    #[error(
        "the store ends at entry {last}, but entry {acknowledged} was acknowledged from it: an older copy?"
    )]
    StaleStore {
        /// The index of the last entry of the store.
        last: u64,
        /// The index of the entry that was acknowledged.
        acknowledged: u64,
    },
    /// The Raft library panicked on input that contradicts the log.
    #[error("received input contradicts the log")]
    ContradictsLog,
    /// The log or a snapshot can't be used.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The Raft library reported an error.
    #[error("the Raft library reported an error: {0}")]
    Raft(String),
}

impl From<raft::Error> for HaltReason {
    fn from(error: raft::Error) -> HaltReason {
        HaltReason::Raft(error.to_string())
    }
}
