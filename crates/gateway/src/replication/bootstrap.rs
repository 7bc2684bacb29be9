//! How an empty store becomes a voter: the first voters found a document together, later ones join an existing one.

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

/// Rounds that an empty store waits before it asks the first voters, so that gossip can bring an existing document first.
const ROUNDS_BEFORE_BOOTSTRAP: u64 = 10;

/// A document and the state with which a voter starts on it.
#[derive(Debug)]
struct VoterStart {
    document: u64,
    durable: DurableState,
}

/// What becomes of an empty store.
#[derive(Debug)]
enum Bootstrap {
    /// It starts to vote.
    Start(VoterStart),
    /// It must not vote.
    Refuse(NotVoting),
    /// Not all first voters are there yet.
    Wait,
}

/// What is known when an empty store asks the first voters.
struct BootstrapInputs<'a> {
    name: &'a str,
    store_id: u64,
    handshakes: &'a [VoterHandshake],
    /// The document that the first voters would found, if all of them are there.
    founded: Option<VoterStart>,
    /// Whether other gateways act on a document.
    members_have_document: bool,
}

impl BootstrapInputs<'_> {
    fn decide(self) -> Bootstrap {
        let existing = self.handshakes.iter().find(|handshake| handshake.document != 0);
        match (existing, self.founded) {
            // Another first voter reached all the others a moment earlier and founded it: the same state starts here.
            (Some(existing), Some(founded)) if existing.document == founded.document => {
                Bootstrap::Start(founded)
            }
            (Some(existing), _) => join(existing, self.name, self.store_id),
            (None, Some(_)) if self.members_have_document => Bootstrap::Refuse(NotVoting::StoresLost),
            (None, Some(founded)) => Bootstrap::Start(founded),
            (None, None) => Bootstrap::Wait,
        }
    }
}

/// Joins an existing document, if it knows this voter by its store.
fn join(existing: &VoterHandshake, name: &str, store_id: u64) -> Bootstrap {
    match existing.voters.get(name) {
        Some(id) if *id == store_id => {
            Bootstrap::Start(VoterStart { document: existing.document, durable: DurableState::empty() })
        }
        Some(_) => Bootstrap::Refuse(NotVoting::StoreReplaced),
        None => Bootstrap::Refuse(NotVoting::NotAdded),
    }
}

impl ReplicationService {
    /// Asks the first voters what to do with an empty store, every few rounds. A voter that is not among them is
    /// addressed by the leader once it is added.
    pub(super) fn bootstrap_if_due(self: &Rc<Self>, me: &str) {
        let voting = self.voting.borrow();
        let is_empty_first_voter = self.settings.voters.contains_key(me) && voting.has_empty_store();
        let rounds = self.rounds.get();
        let is_time = rounds >= ROUNDS_BEFORE_BOOTSTRAP && rounds.is_multiple_of(TICKS_PER_ROUND);
        let is_under_way = voting.starting_document().is_some() || self.is_bootstrapping.get();
        if is_empty_first_voter && is_time && !is_under_way {
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
        let mut voting = self.voting.borrow_mut();
        let Some(store_id) = voting.store_id().filter(|_| voting.starting_document().is_none()) else {
            return;
        };
        let members = self.members.member_versions();
        let inputs = BootstrapInputs {
            name: &me,
            store_id,
            handshakes: &handshakes,
            founded: self.founded_document(&handshakes),
            members_have_document: members.iter().any(|member| member.version.document != 0),
        };
        match inputs.decide() {
            Bootstrap::Start(VoterStart { document, durable }) => voting.begin(document, durable),
            Bootstrap::Refuse(reason) => voting.set_not_voting(reason),
            Bootstrap::Wait => {}
        }
    }

    /// The document that the first voters found, if all of them have a store. All of them compute the same one.
    fn founded_document(&self, handshakes: &[VoterHandshake]) -> Option<VoterStart> {
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
        Some(VoterStart { document, durable })
    }

    /// What this gateway says of its place among the voters.
    pub fn handshake(&self) -> VoterHandshake {
        let voting = self.voting.borrow();
        let follower = self.local_replica.borrow();
        let voters = voters_of(follower.replica().document());
        let document = match follower.version().document {
            0 => voting.starting_document().unwrap_or_default(),
            document => document,
        };
        VoterHandshake {
            name: self.members.me().name,
            id: voting.store_id().unwrap_or_default(),
            document,
            voters: voters.into_iter().map(|(name, voter)| (name, voter.id)).collect(),
        }
    }

    /// Asks the gateway at an advertised address for its place among the voters.
    pub(super) async fn fetch_handshake(&self, advertised: SocketAddr) -> Result<VoterHandshake, PeerError> {
        PeerConnection::new(self.route(advertised)).fetch_handshake().await
    }
}

#[cfg(test)]
mod tests;
