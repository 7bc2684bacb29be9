//! Raft messages between voters and log records on disk, encoded with postcard. The protobuf encoding of the Raft
//! library is not used for messages from the network, because its parser is not made for untrusted input. Only a change
//! of voters in a record stays in that encoding.

use super::document::LogPosition;
use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// The [`LogRecord::kind`] of a proposal.
const RECORD_PROPOSAL: u8 = 0;

/// One entry of the voters' log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The kind of the record. 0: a proposal; 1: a change of voters.
    pub kind: u8,
    /// The position of the record in the log.
    pub position: LogPosition,
    /// The JSON text of the proposal, or the change of voters in the Raft library's protobuf encoding.
    pub data: Vec<u8>,
    /// The proposal that records a change of voters in the document; empty for other records.
    pub context: Vec<u8>,
}

impl LogRecord {
    pub(super) fn from_raft(entry: &eraftpb::Entry) -> LogRecord {
        LogRecord {
            kind: u8::from(entry.get_entry_type() != eraftpb::EntryType::EntryNormal),
            position: LogPosition { term: entry.term, index: entry.index },
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }

    pub(super) fn to_raft(&self) -> eraftpb::Entry {
        let mut entry = eraftpb::Entry::default();
        if self.kind != RECORD_PROPOSAL {
            entry.set_entry_type(eraftpb::EntryType::EntryConfChange);
        }
        entry.term = self.position.term;
        entry.index = self.position.index;
        entry.data = self.data.clone().into();
        entry.context = self.context.clone().into();
        entry
    }
}

/// The state after applying the log up to one position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry that is applied.
    pub position: LogPosition,
    /// The ids of the voters at that position.
    pub voters: Vec<u64>,
    /// The document, encoded with postcard; empty: there is no document yet.
    pub document: Vec<u8>,
}

impl Snapshot {
    pub(super) fn from_raft(snapshot: &eraftpb::Snapshot) -> Snapshot {
        let metadata = snapshot.get_metadata();
        Snapshot {
            position: LogPosition { term: metadata.term, index: metadata.index },
            voters: metadata.get_conf_state().voters.clone(),
            document: snapshot.data.to_vec(),
        }
    }

    pub(super) fn to_raft(&self) -> eraftpb::Snapshot {
        let mut snapshot =
            eraftpb::Snapshot { data: self.document.clone().into(), ..eraftpb::Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        metadata.term = self.position.term;
        metadata.index = self.position.index;
        metadata.mut_conf_state().voters = self.voters.clone();
        snapshot
    }
}

/// The kinds of messages that voters send each other. The position in this list is the number on the wire.
const MESSAGE_KINDS: [eraftpb::MessageType; 13] = [
    eraftpb::MessageType::MsgAppend,
    eraftpb::MessageType::MsgAppendResponse,
    eraftpb::MessageType::MsgRequestVote,
    eraftpb::MessageType::MsgRequestVoteResponse,
    eraftpb::MessageType::MsgSnapshot,
    eraftpb::MessageType::MsgHeartbeat,
    eraftpb::MessageType::MsgHeartbeatResponse,
    eraftpb::MessageType::MsgTransferLeader,
    eraftpb::MessageType::MsgTimeoutNow,
    eraftpb::MessageType::MsgReadIndex,
    eraftpb::MessageType::MsgReadIndexResp,
    eraftpb::MessageType::MsgRequestPreVote,
    eraftpb::MessageType::MsgRequestPreVoteResponse,
];

/// A Raft message from one voter to another. The private fields are those of the Raft library's message type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The id of the document that the voters replicate.
    pub document: u64,
    /// The id of the receiver.
    pub to: u64,
    /// The id of the sender.
    pub from: u64,
    kind: u8,
    term: u64,
    log_term: u64,
    index: u64,
    records: Vec<LogRecord>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<Snapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

impl RaftMessage {
    /// Converts from the Raft library's type; `None` for a message kind that is not sent between voters.
    pub(super) fn from_raft(document: u64, message: &eraftpb::Message) -> Option<RaftMessage> {
        let kind = MESSAGE_KINDS.iter().position(|kind| *kind == message.get_msg_type())?;
        let snapshot = message.has_snapshot().then(|| Snapshot::from_raft(message.get_snapshot()));
        Some(RaftMessage {
            document,
            to: message.to,
            from: message.from,
            kind: kind as u8,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            records: message.entries.iter().map(LogRecord::from_raft).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot,
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        })
    }

    /// Converts to the Raft library's type; `None` for an unknown message kind.
    pub(super) fn to_raft(&self) -> Option<eraftpb::Message> {
        let mut message = eraftpb::Message::default();
        message.set_msg_type(*MESSAGE_KINDS.get(usize::from(self.kind))?);
        message.to = self.to;
        message.from = self.from;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.set_entries(self.records.iter().map(LogRecord::to_raft).collect::<Vec<_>>().into());
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        if let Some(snapshot) = &self.snapshot {
            message.set_snapshot(snapshot.to_raft());
        }
        message.request_snapshot = self.request_snapshot;
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message.context = self.context.clone().into();
        message.priority = self.priority;
        Some(message)
    }
}
