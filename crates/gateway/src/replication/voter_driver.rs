//! Drives this gateway's voter with its store: starts the voter, forwards its inputs and writes, and records why the
//! gateway does not vote.

use super::store::{Store, StoreError, WriteResult};
use lanespan_fleet::replication::log::{DurableState, LogWrite};
use lanespan_fleet::replication::replica::{DocumentVersion, Replica};
use lanespan_fleet::replication::voter::{HaltReason, Output, StartError, Voter};
use lanespan_fleet::replication::wire::RaftMessage;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::{error, info};

/// The number that the store sends as the result once a voter's initial state is durable.
const INITIAL_STATE_WRITE: u64 = 0;

/// Why a gateway with a store does not vote.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotVoting {
    /// The store can't be written.
    #[error("the store failed: {0}")]
    StoreFailed(#[from] StoreError),
    /// The voter can't start from its store.
    #[error(transparent)]
    CannotStart(#[from] StartError),
    /// The voter halted.
    #[error(transparent)]
    Halted(#[from] HaltReason),
    /// The document lists a voter of this name with another store.
    #[error(
        "the store is new, and the plan lists another one under this name: remove that voter and add it again"
    )]
    StoreReplaced,
    /// A document exists that does not list this voter.
    #[error("a plan already exists: this voter must be added to it")]
    NotAdded,
    /// The stores of all initial voters are empty although a document exists.
    #[error("all voters' stores are empty, but other gateways act on a plan: restore a store")]
    StoresLost,
}

/// The initial state of a voter, which starts once this state is durable.
struct InitialState {
    document: u64,
    durable: DurableState,
}

/// This gateway's voter and store, if it has them.
#[derive(Default)]
pub struct VoterDriver {
    voter: Option<Voter>,
    store: Option<Store>,
    initial_state: Option<InitialState>,
    not_voting: Option<NotVoting>,
}

impl VoterDriver {
    /// Creates the driver of a gateway that is only a follower.
    pub fn without_store() -> VoterDriver {
        VoterDriver::default()
    }

    /// Starts the voter of a store that has the state of a document. With an empty store the voter starts later, once
    /// its document is known.
    pub fn with_store(
        store: Store,
        durable: Option<DurableState>,
        rng: &mut fastrand::Rng,
    ) -> Result<VoterDriver, StartError> {
        let owner = store.owner();
        let voter = match &durable {
            Some(durable) => Some(Voter::new(owner.id, owner.document, durable, rng.u64(..))?),
            None => None,
        };
        Ok(VoterDriver { voter, store: Some(store), ..VoterDriver::default() })
    }

    /// Returns the voter, which may have halted.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// Returns the voter, which may have halted.
    pub fn voter_mut(&mut self) -> Option<&mut Voter> {
        self.voter.as_mut()
    }

    /// Returns the voter if it leads.
    pub fn leading_voter_mut(&mut self) -> Option<&mut Voter> {
        self.voter.as_mut().filter(|voter| voter.is_leader())
    }

    /// Returns whether this gateway votes now.
    pub fn is_voting(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_running)
    }

    /// Returns whether this gateway leads.
    pub fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// Returns whether the voter has a document. A voter that was just added has none until the leader sends it.
    pub fn has_document(&self) -> bool {
        let replica = self.voter.as_ref().and_then(Voter::replica);
        replica.is_some_and(|replica| replica.version().document != 0)
    }

    /// Returns why this gateway does not vote although it has a store.
    pub fn not_voting(&self) -> Option<&NotVoting> {
        self.not_voting.as_ref()
    }

    /// Returns the id of the store.
    pub fn store_id(&self) -> Option<u64> {
        self.store.as_ref().map(|store| store.owner().id)
    }

    /// Returns whether there is a store without a document.
    pub fn has_empty_store(&self) -> bool {
        self.store.as_ref().is_some_and(|store| store.owner().document == 0)
    }

    /// Returns the id of the document on which a voter is about to start.
    pub fn starting_document(&self) -> Option<u64> {
        self.initial_state.as_ref().map(|state| state.document)
    }

    /// Takes the receiver of the results of the store's writes. Returns `None` after the first call or without a store.
    pub fn take_results(&mut self) -> Option<UnboundedReceiver<WriteResult>> {
        self.store.as_mut().and_then(Store::take_results)
    }

    /// Advances the voter's clock by one tick.
    pub fn tick(&mut self) {
        self.voter.iter_mut().for_each(Voter::tick);
    }

    /// Passes a message to the voter. A gateway with an empty store becomes a voter when it receives a message of its
    /// document that is addressed to the id of its store.
    pub fn receive(&mut self, message: &RaftMessage, own_version: DocumentVersion) {
        if self.voter.is_none() && self.is_added_by(message, own_version) {
            self.initialize(message.document, DurableState::empty());
        }
        self.voter.iter_mut().for_each(|voter| voter.receive(message));
    }

    fn is_added_by(&self, message: &RaftMessage, own_version: DocumentVersion) -> bool {
        self.initial_state.is_none()
            && message.document != 0
            && message.document == own_version.document
            && self.has_empty_store()
            && self.store_id() == Some(message.to)
    }

    /// Takes the voter's outputs.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        self.voter.as_mut().map(Voter::poll_outputs).unwrap_or_default()
    }

    /// Starts a write that the voter requested.
    pub fn write(&mut self, number: u64, write: LogWrite) {
        let Some(store) = &self.store else { return };
        if let Err(problem) = store.write(number, write) {
            self.voter.iter_mut().for_each(|voter| voter.store_failed(&problem.to_string()));
        }
    }

    /// Starts to write the initial state of a voter. The voter starts once this state is durable.
    pub fn initialize(&mut self, document: u64, durable: DurableState) {
        match self.store.as_mut().map(|store| store.initialize(document, &durable)) {
            Some(Err(problem)) => self.set_not_voting(problem.into()),
            _ => self.initial_state = Some(InitialState { document, durable }),
        }
    }

    /// Handles the result of a write. Returns the replica of a voter that it started, unless the voter has no document
    /// yet.
    pub fn handle_write_result(&mut self, result: WriteResult, rng: &mut fastrand::Rng) -> Option<Replica> {
        match result {
            Ok(INITIAL_STATE_WRITE) => return self.start_voter(rng),
            Ok(number) => self.voter.iter_mut().for_each(|voter| voter.persisted(number)),
            Err(problem) => {
                self.initial_state = None;
                match &mut self.voter {
                    Some(voter) => voter.store_failed(&problem.to_string()),
                    None => self.set_not_voting(problem.into()),
                }
            }
        }
        None
    }

    fn start_voter(&mut self, rng: &mut fastrand::Rng) -> Option<Replica> {
        let InitialState { document, durable } = self.initial_state.take()?;
        let id = self.store_id().unwrap_or_default();
        match Voter::new(id, document, &durable, rng.u64(..)) {
            Ok(voter) => {
                info!(plan = format!("{document:016x}"), id = format!("{id:016x}"), "plan: voter started");
                let replica = voter.replica().filter(|replica| replica.version().document != 0).cloned();
                self.voter = Some(voter);
                self.not_voting = None;
                replica
            }
            Err(problem) => {
                self.set_not_voting(problem.into());
                None
            }
        }
    }

    /// Records why this gateway does not vote, and logs the reason if it changed.
    pub fn set_not_voting(&mut self, reason: NotVoting) {
        if self.not_voting.as_ref() != Some(&reason) {
            error!(problem = %reason, "plan: this gateway does not vote");
            self.not_voting = Some(reason);
        }
    }
}
