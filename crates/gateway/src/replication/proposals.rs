//! Checks proposals and changes of voters, proposes them and awaits their decisions. Also handles the confirmations of
//! leadership by a majority.

use super::message::{voters_of, Reply, VoterChangeRequest, VoterHandshake, VoterItem};
use super::peers::{PeerConnection, PeerError};
use super::pending::Confirmation;
use super::service::ReplicationService;
use crate::config::plan::zone_with_majority;
use bytes::Bytes;
use hyper::Method;
use lanespan_fleet::replication::document::{
    Entry, Proposal, Verdict, KNOWN_SECTIONS, LEASES_SECTION, SCHEMA_VERSION, VOTERS_SECTION,
};
use lanespan_fleet::replication::replica::CatchUp;
use lanespan_fleet::replication::voter::{ProposeError, Voter, VoterChange};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::{error, info, warn};

/// The timeout of a decision, which is shorter than the default timeout of a call to the admin interface.
pub const DECISION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The upper bound of the timeout of a call to one voter, which otherwise is a quarter of the lease.
const MAX_VOTER_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of voters of a document.
const MAX_VOTERS: usize = 5;

/// Why a change of voters is invalid.
#[derive(Debug, Error)]
enum VoterChangeError {
    #[error("'{0}' is already a voter")]
    AlreadyVotes(String),
    #[error("'{0}' is not a voter")]
    DoesNotVote(String),
    #[error("the gateway at this address, '{0}', has no plan directory")]
    NoStore(String),
    #[error("the gateway at this address, '{0}', is not the one to be added")]
    OtherGateway(String),
    #[error("the handshake of '{0}' can't be fetched: {1}")]
    Unreachable(String, PeerError),
    #[error("zone '{0}' alone would hold a majority of the voters")]
    ZoneMajority(String),
    #[error("expected 1 to {MAX_VOTERS} voters, found {0}")]
    VoterCount(usize),
    #[error("the voter's item can't be encoded: {0}")]
    Encoding(serde_json::Error),
}

/// A checked change of voters; `value` is the new value of the voter's item, `None` if it is removed.
struct PlannedChange {
    change: VoterChange,
    value: Option<String>,
}

impl ReplicationService {
    /// Proposes a change of the document if this gateway leads, and returns the decision.
    pub async fn propose(&self, proposal: Proposal) -> Reply {
        if let Err(rejection) = proposal.check() {
            return Reply::Invalid(rejection.to_string());
        }
        let releases_lease = proposal.lease.is_some() && proposal.value.is_none();
        if proposal.section == VOTERS_SECTION || proposal.section == LEASES_SECTION && !releases_lease {
            return Reply::Invalid(format!("section: '{}' can't be changed by a proposal", proposal.section));
        }
        self.propose_and_wait(proposal.id, |voter| voter.propose(&proposal)).await
    }

    /// Makes a proposal at the local voter and waits for its decision.
    async fn propose_and_wait(
        &self,
        id: u64,
        propose: impl FnOnce(&mut Voter) -> Result<(), ProposeError>,
    ) -> Reply {
        if self.requests.borrow().is_full() {
            return Reply::Busy;
        }
        let proposed = match self.voter_driver.borrow_mut().voter_mut() {
            Some(voter) => propose(voter),
            None => Err(ProposeError::NotLeader(None)),
        };
        match proposed {
            Ok(()) => {}
            Err(ProposeError::Busy) => return Reply::Busy,
            Err(ProposeError::NotLeader(_)) => return self.not_leader(),
        }
        let (responder, decided) = oneshot::channel();
        self.requests.borrow_mut().proposals.insert(id, responder);
        self.drive_voter();
        match timeout(DECISION_TIMEOUT, decided).await {
            Ok(Ok(verdict)) => Reply::Decided(verdict),
            _ => {
                self.requests.borrow_mut().proposals.remove(&id);
                Reply::Undecided(id)
            }
        }
    }

    /// Handles the decision of a proposal: applies its entry and replies to the caller that waits for it.
    pub(super) fn handle_decision(&self, id: u64, verdict: Verdict, entry: Option<Entry>) {
        match entry {
            Some(entry) => {
                self.observe_entry(&entry);
                let mut local_replica = self.local_replica.borrow_mut();
                let document = local_replica.version().document;
                // The local replica applies the entry that the voter applied.
                if let Err(problem) = local_replica.apply(document, CatchUp::Entries(vec![entry])) {
                    error!(%problem, "plan: an entry from the local voter can't be applied");
                }
            }
            None => self.leases.borrow_mut().proposal_failed(id),
        }
        if let Some(responder) = self.requests.borrow_mut().proposals.remove(&id) {
            // Sending fails if the caller stopped waiting.
            let _ = responder.send(verdict);
        }
    }

    /// Observes an entry before it is applied: counts and logs it, and updates the lease table.
    pub(super) fn observe_entry(&self, entry: &Entry) {
        self.local_replica.borrow_mut().count_entry();
        let Some(proposal) = entry.proposal() else { return };
        let now = self.now();
        self.leases.borrow_mut().observe_entry(entry, &proposal, self.local_replica.borrow().replica(), now);
        let Proposal { section, key, value, proposer, reason, schema, .. } = &proposal;
        let (index, token, value) = (entry.index, entry.position, value.as_deref().unwrap_or("-"));
        info!(index, %token, section, key, value, proposer, reason, "plan: changed");
        if !KNOWN_SECTIONS.contains(&section.as_str()) || *schema > SCHEMA_VERSION {
            warn!(index, section, schema, "plan: an entry that this build does not know; kept and passed on");
        }
    }

    /// Requests a majority's confirmation that this gateway leads. `confirmation` is the action that follows.
    pub(super) fn request_confirmation(&self, confirmation: Confirmation) {
        let number = self.generate_id();
        self.requests.borrow_mut().add_confirmation(number, confirmation);
        if let Some(voter) = self.voter_driver.borrow_mut().voter_mut() {
            voter.confirm_leadership(number);
        }
    }

    /// Handles a majority's confirmation that this gateway was the leader when it requested it.
    pub(super) fn handle_confirmation(&self, number: u64, now: u64) {
        let mut requests = self.requests.borrow_mut();
        match requests.confirmations.remove(&number) {
            Some(Confirmation::Heartbeat) => {
                let voter_driver = self.voter_driver.borrow();
                let term = voter_driver.voter().map_or(0, |voter| voter.log_position().term);
                self.members.spread_leader_heartbeat(requests.next_heartbeat(term));
            }
            Some(Confirmation::Renewal { request, responder }) => {
                let local_replica = self.local_replica.borrow();
                let renewed = self.leases.borrow_mut().renew(&request, local_replica.replica(), now);
                // Sending fails if the caller stopped waiting.
                let _ = responder.send(renewed);
            }
            None => {}
        }
    }

    /// Asks the voters one after another, the known leader first and the others in random order, until one of them
    /// replies as the leader.
    pub(super) async fn ask_leader(&self, path: &str, body: Bytes) -> Reply {
        let voters = voters_of(self.local_replica.borrow().replica().document());
        let mut voters: Vec<SocketAddr> = voters.into_values().map(|voter| voter.address).collect();
        self.rng.borrow_mut().shuffle(&mut voters);
        let leader = self.leader.borrow().as_ref().map(|leader| leader.address);
        let mut queue: VecDeque<SocketAddr> = leader.into_iter().chain(voters).collect();
        let mut asked = BTreeSet::new();
        while let Some(address) = queue.pop_front() {
            if !asked.insert(address) {
                continue;
            }
            match self.ask_voter(address, path, body.clone()).await {
                Ok(Reply::NotLeader(Some(leader))) => {
                    queue.push_front(leader.address);
                    *self.leader.borrow_mut() = Some(leader);
                }
                Ok(Reply::NotLeader(None)) | Err(_) => {}
                Ok(reply) => return reply,
            }
        }
        Reply::NotLeader(None)
    }

    async fn ask_voter(&self, address: SocketAddr, path: &str, body: Bytes) -> Result<Reply, PeerError> {
        let call_timeout = (self.settings.lease / 4).min(MAX_VOTER_TIMEOUT);
        let mut connection = PeerConnection::new(self.dial_address(address));
        let reply = connection.call(Method::POST, path, body, call_timeout).await?;
        Ok(serde_json::from_slice(&reply)?)
    }

    /// Adds or removes a voter if this gateway leads, and returns the decision.
    pub async fn change_voters(&self, request: VoterChangeRequest) -> Reply {
        if !self.voter_driver.borrow().is_leader() {
            return self.not_leader();
        }
        let PlannedChange { change, value } = match self.plan_voter_change(&request).await {
            Ok(planned) => planned,
            Err(VoterChangeError::Encoding(_)) => return Reply::Busy,
            Err(problem) => return Reply::Invalid(problem.to_string()),
        };
        let proposal = Proposal {
            id: self.generate_id(),
            schema: SCHEMA_VERSION,
            proposer: self.members.me().name,
            reason: request.reason,
            section: VOTERS_SECTION.to_string(),
            key: request.name,
            value,
            ..Proposal::default()
        };
        if let Err(rejection) = proposal.check() {
            return Reply::Invalid(rejection.to_string());
        }
        self.propose_and_wait(proposal.id, |voter| voter.change_voters(change, &proposal)).await
    }

    async fn plan_voter_change(
        &self,
        request: &VoterChangeRequest,
    ) -> Result<PlannedChange, VoterChangeError> {
        let voters = voters_of(self.local_replica.borrow().replica().document());
        let others = voters.iter().filter(|(name, _)| **name != request.name);
        let mut zones: Vec<&str> = others.map(|(_, voter)| voter.zone.as_str()).collect();
        let planned = match (request.address, voters.get(&request.name)) {
            (Some(_), Some(_)) => return Err(VoterChangeError::AlreadyVotes(request.name.clone())),
            (None, None) => return Err(VoterChangeError::DoesNotVote(request.name.clone())),
            (None, Some(voter)) => PlannedChange { change: VoterChange::Remove(voter.id), value: None },
            (Some(address), None) => {
                let id = self.fetch_voter_handshake(&request.name, address).await?.id;
                zones.push(&request.zone);
                let item = VoterItem { id, address, zone: request.zone.clone() };
                let value = serde_json::to_string(&item).map_err(VoterChangeError::Encoding)?;
                PlannedChange { change: VoterChange::Add(id), value: Some(value) }
            }
        };
        // Two voters are an intermediate step from one to three, so both may be in one zone. With more than two, no
        // zone may have a majority.
        let majority = zone_with_majority(zones.iter().copied(), self.settings.zones.len());
        if let Some(zone) = majority.filter(|_| zones.len() > 2) {
            return Err(VoterChangeError::ZoneMajority(zone.to_string()));
        }
        if zones.is_empty() || zones.len() > MAX_VOTERS {
            return Err(VoterChangeError::VoterCount(zones.len()));
        }
        Ok(planned)
    }

    /// Fetches the handshake of a gateway that is to be added under this name, and checks that it has this name and a
    /// store.
    async fn fetch_voter_handshake(
        &self,
        name: &str,
        address: SocketAddr,
    ) -> Result<VoterHandshake, VoterChangeError> {
        match self.fetch_handshake(address).await {
            Ok(handshake) if handshake.id == 0 => Err(VoterChangeError::NoStore(handshake.name)),
            Ok(handshake) if handshake.name != name => Err(VoterChangeError::OtherGateway(handshake.name)),
            Ok(handshake) => Ok(handshake),
            Err(problem) => Err(VoterChangeError::Unreachable(name.to_string(), problem)),
        }
    }

    /// Returns the reply of a gateway that does not lead, with the leader if it is known.
    pub(super) fn not_leader(&self) -> Reply {
        Reply::NotLeader(self.leader.borrow().clone())
    }
}
