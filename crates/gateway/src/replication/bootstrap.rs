//! Turns a gateway with an empty store into a voter: the initial voters, which the configuration names, create
//! a document together, later voters join an existing one.

use super::message::{voters_of, VoterHandshake, VoterItem};
use super::peers::{PeerConnection, PeerError};
use super::service::{ReplicationService, TICKS_PER_ROUND};
use super::voter_driver::NotVoting;
use lanespan_fleet::replication::document::Document;
use lanespan_fleet::replication::log::DurableState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;
use xxhash_rust::xxh3::xxh3_64;

/// The number of rounds that a gateway with an empty store waits before it asks the initial voters, so that gossip
/// can first announce an existing document.
const ROUNDS_BEFORE_BOOTSTRAP: u64 = 10;

/// A document's id and the durable state with which a voter starts on it.
#[derive(Debug)]
struct InitialState {
    document: u64,
    durable: DurableState,
}

/// The decision about an empty store.
#[derive(Debug)]
enum Bootstrap {
    /// The gateway starts to vote with this state.
    Start(InitialState),
    /// The gateway must not vote, for this reason.
    Refuse(NotVoting),
    /// The initial voters have not all answered with a store yet.
    Wait,
}

/// The inputs of the decision about an empty store.
struct BootstrapInputs<'a> {
    name: &'a str,
    store_id: u64,
    handshakes: &'a [VoterHandshake],
    /// The document that the initial voters would create, if all of them answered with a store.
    new_document: Option<InitialState>,
    /// Whether any other gateway acts on a document.
    members_have_document: bool,
}

impl BootstrapInputs<'_> {
    fn decide(self) -> Bootstrap {
        let existing = self.handshakes.iter().find(|handshake| handshake.document != 0);
        match (existing, self.new_document) {
            // Another initial voter already received all answers and created the document. All of them compute the same
            // initial state.
            (Some(existing), Some(new_document)) if existing.document == new_document.document => {
                Bootstrap::Start(new_document)
            }
            (Some(existing), _) => join(existing, self.name, self.store_id),
            (None, Some(_)) if self.members_have_document => Bootstrap::Refuse(NotVoting::StoresLost),
            (None, Some(new_document)) => Bootstrap::Start(new_document),
            (None, None) => Bootstrap::Wait,
        }
    }
}

/// Decides about joining an existing document, which must list this voter with the id of its store.
fn join(existing: &VoterHandshake, name: &str, store_id: u64) -> Bootstrap {
    match existing.voters.get(name) {
        Some(id) if *id == store_id => {
            Bootstrap::Start(InitialState { document: existing.document, durable: DurableState::empty() })
        }
        Some(_) => Bootstrap::Refuse(NotVoting::StoreReplaced),
        None => Bootstrap::Refuse(NotVoting::NotAdded),
    }
}

impl ReplicationService {
    /// Starts the bootstrap of an empty store if this gateway is one of the initial voters, and repeats it every
    /// few rounds. Any other voter instead starts when the leader sends it messages after it was added.
    pub(super) fn bootstrap_if_due(self: &Rc<Self>, me: &str) {
        let voter_driver = self.voter_driver.borrow();
        let is_empty_initial_voter = self.settings.voters.contains_key(me) && voter_driver.has_empty_store();
        let rounds = self.rounds.get();
        let is_due = rounds >= ROUNDS_BEFORE_BOOTSTRAP && rounds.is_multiple_of(TICKS_PER_ROUND);
        let is_in_progress = voter_driver.starting_document().is_some() || self.is_bootstrapping.get();
        if is_empty_initial_voter && is_due && !is_in_progress {
            self.is_bootstrapping.set(true);
            spawn_local(self.clone().bootstrap());
        }
    }

    async fn bootstrap(self: Rc<Self>) {
        let me = self.members.me().name;
        let mut handshakes = vec![self.handshake()];
        for (name, voter) in self.settings.voters.iter().filter(|(name, _)| **name != me) {
            let handshake = self.fetch_handshake(voter.address).await;
            handshakes.extend(handshake.ok().filter(|handshake| handshake.name == *name));
        }
        self.is_bootstrapping.set(false);
        let mut voter_driver = self.voter_driver.borrow_mut();
        let Some(store_id) = voter_driver.store_id().filter(|_| voter_driver.starting_document().is_none())
        else {
            return;
        };
        let members = self.members.member_versions();
        let inputs = BootstrapInputs {
            name: &me,
            store_id,
            handshakes: &handshakes,
            new_document: self.prepare_new_document(&handshakes),
            members_have_document: members.iter().any(|member| member.version.document != 0),
        };
        match inputs.decide() {
            Bootstrap::Start(InitialState { document, durable }) => {
                voter_driver.initialize(document, durable)
            }
            Bootstrap::Refuse(reason) => voter_driver.set_not_voting(reason),
            Bootstrap::Wait => {}
        }
    }

    /// Returns the document that the initial voters create, or `None` unless all of them have a store. All of them
    /// compute the same document.
    fn prepare_new_document(&self, handshakes: &[VoterHandshake]) -> Option<InitialState> {
        let mut ids = Vec::new();
        let mut items = BTreeMap::new();
        for (name, voter) in &self.settings.voters {
            let handshake =
                handshakes.iter().find(|handshake| handshake.name == *name && handshake.id != 0)?;
            let item = VoterItem { id: handshake.id, address: voter.address, zone: voter.zone.clone() };
            items.insert(name.clone(), serde_json::to_string(&item).ok()?);
            ids.push(handshake.id);
        }
        let document = xxh3_64(format!("{} {items:?}", self.cluster).as_bytes()).max(1);
        let durable = DurableState::bootstrap(&Document::bootstrap(document, &items), ids).ok()?;
        Some(InitialState { document, durable })
    }

    /// Returns this gateway's handshake, which identifies its store and its document.
    pub fn handshake(&self) -> VoterHandshake {
        let voter_driver = self.voter_driver.borrow();
        let local_replica = self.local_replica.borrow();
        let voters = voters_of(local_replica.replica().document());
        let document = match local_replica.version().document {
            0 => voter_driver.starting_document().unwrap_or_default(),
            document => document,
        };
        VoterHandshake {
            name: self.members.me().name,
            id: voter_driver.store_id().unwrap_or_default(),
            document,
            voters: voters.into_iter().map(|(name, voter)| (name, voter.id)).collect(),
        }
    }

    /// Fetches the handshake of the gateway at an advertised address.
    pub(super) async fn fetch_handshake(&self, advertised: SocketAddr) -> Result<VoterHandshake, PeerError> {
        PeerConnection::new(self.dial_address(advertised)).fetch_handshake().await
    }
}

#[cfg(test)]
mod tests;
