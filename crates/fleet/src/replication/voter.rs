//! A voter, which replicates the log by Raft and applies committed proposals to the document. Uses the crate `raft`,
//! which does no I/O: the inputs are messages, ticks and the store's confirmations, the outputs are messages, writes
//! and decisions.

mod output;

pub use output::{HaltReason, Output};

use super::document::{LogPosition, Proposal};
use super::log::{DurableState, HardState, LogError, LogWrite, RaftLog};
use super::replica::Replica;
use super::wire::{LogRecord, RaftMessage, Snapshot};
use protobuf::Message as _;
use raft::eraftpb;
use raft::{Config, RawNode, StateRole};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use thiserror::Error;

/// The minimum number of ticks without a message from a leader after which a voter starts an election. The maximum is
/// twice as many, and the actual number is drawn at random each time.
pub const ELECTION_TICKS: usize = 10;
/// The number of ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// The upper bound of the election timeout that the Raft library draws. The library's random generator can't be seeded.
/// With a range this wide, a timeout drawn by the library is recognized by its length, and is replaced by one drawn by
/// this voter's own generator.
const LIBRARY_ELECTION_RANGE_TICKS: usize = 1 << 40;
/// The maximum size of the entries in one message.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
/// The maximum number of messages with entries in flight to one voter.
const MAX_IN_FLIGHT_MESSAGES: usize = 32;
/// The maximum size of the proposals that wait to be committed. Further proposals are rejected as busy.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;

/// Why a voter can't start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// The log can't be used.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The Raft library reported an error.
    #[error("the Raft library reported an error: {0}")]
    Raft(String),
}

/// Why a proposal could not be accepted for replication.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This voter is not the leader. Holds the id of the leader, if it is known.
    #[error("this voter is not the leader")]
    NotLeader(Option<u64>),
    /// Too many proposals are pending, or another change of voters is in progress.
    #[error("too many proposals are pending, or another change of voters is in progress")]
    Busy,
}

/// A change of the set of voters. Only one change can be in progress at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// Adds the voter with this id.
    Add(u64),
    /// Removes the voter with this id.
    Remove(u64),
}

impl VoterChange {
    fn to_raft(self) -> eraftpb::ConfChange {
        let (kind, id) = match self {
            VoterChange::Add(id) => (eraftpb::ConfChangeType::AddNode, id),
            VoterChange::Remove(id) => (eraftpb::ConfChangeType::RemoveNode, id),
        };
        let mut change = eraftpb::ConfChange::default();
        change.set_change_type(kind);
        change.node_id = id;
        change
    }
}

/// A write that is not durable yet, with the messages to send once it is.
struct PendingWrite {
    number: u64,
    messages: Vec<eraftpb::Message>,
}

/// The leader of a term; `leader` 0: none is known.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Leadership {
    leader: u64,
    term: u64,
}

/// A member of the Raft group that replicates the fleet document.
pub struct Voter {
    /// The Raft library's node; `None` once this voter has halted.
    node: Option<RawNode<RaftLog>>,
    id: u64,
    document: u64,
    rng: fastrand::Rng,
    pending_write: Option<PendingWrite>,
    /// The write of a compaction, which is merged into the next write.
    compaction: Option<LogWrite>,
    leadership: Leadership,
    outputs: VecDeque<Output>,
}

impl Voter {
    /// Creates the voter with this id from its durable state. The same seed and inputs give the same outputs.
    pub fn new(id: u64, document: u64, durable: &DurableState, seed: u64) -> Result<Voter, StartError> {
        let log = RaftLog::restore(durable)?;
        let config = raft_config(id, log.applied.index);
        let silent_logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &silent_logger);
        let node = node.map_err(|error| StartError::Raft(error.to_string()))?;
        let mut voter = Voter {
            node: Some(node),
            id,
            document,
            rng: fastrand::Rng::with_seed(seed),
            pending_write: None,
            compaction: None,
            leadership: Leadership::default(),
            outputs: VecDeque::new(),
        };
        voter.with_node(|_| Ok(()));
        Ok(voter)
    }

    /// Returns the id of this voter.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Advances the clock of this voter by one tick.
    pub fn tick(&mut self) {
        self.with_node(|node| {
            node.tick();
            Ok(())
        });
    }

    /// Handles a message from another voter.
    pub fn receive(&mut self, message: &RaftMessage) {
        if message.document != self.document || message.to != self.id {
            return;
        }
        let Some(message) = message.to_raft() else { return };
        if let Some(reason) = self.stale_store(&message) {
            return self.halt(reason);
        }
        self.with_node(|node| match node.step(message) {
            // The sender was removed, or the message is late. Raft tolerates both.
            Ok(()) | Err(raft::Error::StepPeerNotFound) | Err(raft::Error::ProposalDropped) => Ok(()),
            Err(raft::Error::StepLocalMsg) => Ok(()),
            Err(error) => Err(error.into()),
        });
    }

    /// Detects a store that was replaced by an older copy. A leader's heartbeat never has a higher commit index than
    /// the receiver has acknowledged, so a log that ends before that index has lost entries.
    fn stale_store(&self, message: &eraftpb::Message) -> Option<HaltReason> {
        let node = self.node.as_ref()?;
        let last = node.store().last_entry_index();
        let is_heartbeat = message.get_msg_type() == eraftpb::MessageType::MsgHeartbeat;
        let is_stale = is_heartbeat && message.commit > last && message.term >= node.raft.term;
        is_stale.then_some(HaltReason::StaleStore { last, acknowledged: message.commit })
    }

    /// Handles the store's confirmation that the write with this number is durable.
    pub fn persisted(&mut self, number: u64) {
        let Some(write) = self.pending_write.take_if(|write| write.number == number) else { return };
        self.send(write.messages);
        self.with_node(|node| {
            node.on_persist_ready(number);
            Self::report_applied(node);
            Ok(())
        });
    }

    /// Halts this voter because a write can't be made durable.
    pub fn store_failed(&mut self, problem: &str) {
        self.halt(HaltReason::StoreFailed(problem.to_string()));
    }

    /// Proposes a change of the document.
    pub fn propose(&mut self, proposal: &Proposal) -> Result<(), ProposeError> {
        let text = serde_json::to_vec(proposal).unwrap_or_default();
        self.require_leadership()?;
        let mut accepted = false;
        self.with_node(|node| {
            accepted = node.propose(Vec::new(), text).is_ok();
            Ok(())
        });
        accepted.then_some(()).ok_or(ProposeError::Busy)
    }

    /// Proposes a change of voters. The proposal records the change in the document.
    pub fn change_voters(&mut self, change: VoterChange, proposal: &Proposal) -> Result<(), ProposeError> {
        let text = serde_json::to_vec(proposal).unwrap_or_default();
        self.require_leadership()?;
        let mut accepted = false;
        self.with_node(|node| {
            // The library would replace a second change by an empty entry.
            let pending = node.raft.has_pending_conf();
            accepted = !pending && node.propose_conf_change(text, change.to_raft()).is_ok();
            Ok(())
        });
        accepted.then_some(()).ok_or(ProposeError::Busy)
    }

    /// Asks a majority to confirm that this voter leads. If it does, [`Output::LeadershipConfirmed`] with this number
    /// follows.
    pub fn confirm_leadership(&mut self, number: u64) {
        self.with_node(|node| {
            if node.raft.state == StateRole::Leader {
                node.read_index(number.to_be_bytes().to_vec());
            }
            Ok(())
        });
    }

    /// Handles a failed delivery of a message to the voter with this id.
    pub fn report_unreachable(&mut self, id: u64) {
        self.with_node(|node| {
            node.report_unreachable(id);
            // Without this the library would wait forever for a lost snapshot.
            node.report_snapshot(id, raft::SnapshotStatus::Failure);
            Ok(())
        });
    }

    /// Transfers leadership to another voter.
    pub fn transfer_leadership(&mut self, id: u64) {
        self.with_node(|node| {
            node.transfer_leader(id);
            Ok(())
        });
    }

    /// Takes the outputs since the last call.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        self.outputs.drain(..).collect()
    }

    /// Returns the document up to the last entry that this voter knows to be committed; `None` once it has halted.
    pub fn replica(&self) -> Option<&Replica> {
        self.node.as_ref().map(|node| &node.store().replica)
    }

    /// Returns whether this voter is the leader and has applied all entries of earlier terms.
    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(|node| {
            node.raft.state == StateRole::Leader && node.store().applied.term == node.raft.term
        })
    }

    /// Returns the id of the leader, if this voter knows it.
    pub fn leader(&self) -> Option<u64> {
        self.node.as_ref().map(|node| node.raft.leader_id).filter(|id| *id != 0)
    }

    /// Returns the current term and the index of the last entry of the log.
    pub fn log_position(&self) -> LogPosition {
        let position = |node: &RawNode<RaftLog>| LogPosition {
            term: node.raft.term,
            index: node.store().last_entry_index(),
        };
        self.node.as_ref().map(position).unwrap_or_default()
    }

    /// Returns the ids of the other voters.
    pub fn other_voters(&self) -> Vec<u64> {
        let Some(node) = &self.node else { return Vec::new() };
        let voters = node.store().voters.voters.iter().copied();
        voters.filter(|id| *id != self.id).collect()
    }

    /// Returns whether this voter is running, that is, has not halted.
    pub fn is_running(&self) -> bool {
        self.node.is_some()
    }

    fn require_leadership(&self) -> Result<(), ProposeError> {
        match &self.node {
            Some(node) if node.raft.state == StateRole::Leader => Ok(()),
            _ => Err(ProposeError::NotLeader(self.leader())),
        }
    }

    fn halt(&mut self, reason: HaltReason) {
        if self.node.take().is_some() {
            self.pending_write = None;
            self.compaction = None;
            self.outputs.push_back(Output::Halted(reason));
        }
    }

    /// Runs an action on the library's node and handles the resulting `Ready`s. The library panics on input that
    /// contradicts its log. The panic is caught, so that it halts this voter but not the gateway.
    fn with_node(&mut self, action: impl FnOnce(&mut RawNode<RaftLog>) -> Result<(), HaltReason>) {
        let Some(mut node) = self.node.take() else { return };
        let result = catch_unwind(AssertUnwindSafe(|| {
            action(&mut node)?;
            self.handle_ready(&mut node)
        }));
        self.node = Some(node);
        match result {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => self.halt(reason),
            Err(_) => self.halt(HaltReason::ContradictsLog),
        }
    }

    fn handle_ready(&mut self, node: &mut RawNode<RaftLog>) -> Result<(), HaltReason> {
        while self.pending_write.is_none() && node.has_ready() {
            self.handle_one_ready(node)?;
        }
        if node.raft.randomized_election_timeout() > 2 * ELECTION_TICKS {
            let ticks = self.rng.usize(ELECTION_TICKS..=2 * ELECTION_TICKS);
            node.raft.set_randomized_election_timeout(ticks);
        }
        self.report_leader(node);
        Ok(())
    }

    fn handle_one_ready(&mut self, node: &mut RawNode<RaftLog>) -> Result<(), HaltReason> {
        let mut ready = node.ready();
        let (write, must_sync) = self.collect_write(node, &ready)?;
        let number = ready.number();
        for read in ready.take_read_states() {
            let request = <[u8; 8]>::try_from(read.request_ctx.as_slice()).map(u64::from_be_bytes);
            self.outputs.extend(request.ok().map(Output::LeadershipConfirmed));
        }
        self.send(ready.take_messages());
        let messages = ready.take_persisted_messages();
        let committed = ready.take_committed_entries();
        node.advance_append_async(ready);
        self.apply_committed(node, committed)?;
        if must_sync {
            self.pending_write = Some(PendingWrite { number, messages });
            self.outputs.push_back(Output::Write { number, write });
        } else {
            self.send(messages);
            node.on_persist_ready(number);
        }
        Ok(())
    }

    /// Applies a `Ready` to the in-memory log. Returns the write for the store, and whether it must be durable before
    /// messages that depend on it are sent.
    fn collect_write(
        &mut self,
        node: &mut RawNode<RaftLog>,
        ready: &raft::Ready,
    ) -> Result<(LogWrite, bool), HaltReason> {
        let mut write = self.compaction.take().unwrap_or_default();
        let must_sync = ready.must_sync() || write != LogWrite::default();
        if !ready.snapshot().get_metadata().get_conf_state().voters.is_empty() {
            let snapshot = Snapshot::from_raft(ready.snapshot());
            node.mut_store().install_snapshot(&snapshot)?;
            // The snapshot from the leader replaces that of a pending compaction.
            write = LogWrite { snapshot: Some(snapshot), ..LogWrite::default() };
            self.outputs.push_back(Output::SnapshotInstalled);
        }
        if let Some(hard_state) = ready.hs() {
            node.mut_store().hard_state = hard_state.clone();
        }
        node.mut_store().append(ready.entries());
        write.records = ready.entries().iter().map(LogRecord::from_raft).collect();
        let hard_state = &node.store().hard_state;
        write.hard_state =
            Some(HardState { term: hard_state.term, vote: hard_state.vote, commit: hard_state.commit });
        Ok((write, must_sync))
    }

    fn report_leader(&mut self, node: &RawNode<RaftLog>) {
        let current = Leadership { leader: node.raft.leader_id, term: node.raft.term };
        if current != self.leadership && (current.leader != 0 || self.leadership.leader != 0) {
            self.leadership = current;
            self.outputs.push_back(Output::LeaderChanged { leader: current.leader, term: current.term });
        }
    }

    fn apply_committed(
        &mut self,
        node: &mut RawNode<RaftLog>,
        committed: Vec<eraftpb::Entry>,
    ) -> Result<(), HaltReason> {
        for entry in committed {
            self.apply_entry(node, &entry)?;
        }
        Self::report_applied(node);
        if self.compaction.is_none() {
            self.compaction = node.mut_store().compact();
        }
        Ok(())
    }

    fn apply_entry(
        &mut self,
        node: &mut RawNode<RaftLog>,
        committed: &eraftpb::Entry,
    ) -> Result<(), HaltReason> {
        let position = LogPosition { term: committed.term, index: committed.index };
        let changes_voters = committed.get_entry_type() == eraftpb::EntryType::EntryConfChange;
        let text = if changes_voters { &committed.context } else { &committed.data };
        node.mut_store().applied = position;
        let Ok(text) = std::str::from_utf8(text) else { return Ok(()) };
        // A new leader starts its term with an empty entry.
        if text.is_empty() {
            return Ok(());
        }
        let (verdict, entry) = node.mut_store().replica.apply(position, text);
        if changes_voters && entry.is_some() {
            let change = eraftpb::ConfChange::parse_from_bytes(&committed.data);
            let change = change.map_err(|error| HaltReason::Raft(error.to_string()))?;
            node.mut_store().voters = node.apply_conf_change(&change)?;
        }
        let id = serde_json::from_str::<Proposal>(text).map_or(0, |proposal| proposal.id);
        self.outputs.push_back(Output::Decided { id, verdict, entry });
        Ok(())
    }

    /// Reports the applied index to the library once it is durable. A snapshot is applied before it is durable.
    fn report_applied(node: &mut RawNode<RaftLog>) {
        let applied = node.store().applied.index;
        let log = &node.raft.raft_log;
        if applied > log.applied && applied <= log.persisted {
            node.advance_apply_to(applied);
        }
    }

    fn send(&mut self, messages: Vec<eraftpb::Message>) {
        let messages = messages.iter().filter_map(|message| RaftMessage::from_raft(self.document, message));
        self.outputs.extend(messages.map(Output::Send));
    }
}

fn raft_config(id: u64, applied: u64) -> Config {
    Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        min_election_tick: ELECTION_TICKS,
        max_election_tick: LIBRARY_ELECTION_RANGE_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_IN_FLIGHT_MESSAGES,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}
