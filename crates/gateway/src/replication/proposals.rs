//! Proposals and changes of voters: checked, proposed, waited for and answered; and the leader's confirmations by a
//! majority.

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

/// How long a decision is waited for: less than an admin call may take.
pub const DECISION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long one voter's reply is waited for at most, however long a lease is.
const MAX_VOTER_TIMEOUT: Duration = Duration::from_secs(1);
/// The most voters of a document.
const MAX_VOTERS: usize = 5;

/// Why a change of voters is invalid.
#[derive(Debug, Error)]
enum VoterChangeError {
    #[error("'{0}' votes already")]
    AlreadyVotes(String),
    #[error("'{0}' does not vote")]
    DoesNotVote(String),
    #[error("who answers there, '{0}', has no plan directory")]
    NoStore(String),
    #[error("who answers there, '{0}', is another gateway")]
    OtherGateway(String),
    #[error("'{0}' can't be asked: {1}")]
    Unreachable(String, PeerError),
    #[error("zone '{0}' alone would hold a majority")]
    ZoneMajority(String),
    #[error("expected 1 to {MAX_VOTERS} voters, found {0}")]
    VoterCount(usize),
    #[error("{0}")]
    Encoding(serde_json::Error),
}

/// A change of voters with the new value of the voter's item.
struct PlannedChange {
    change: VoterChange,
    value: Option<String>,
}

impl ReplicationService {
    /// Proposes a change of the document here, if this gateway leads.
    pub async fn propose(&self, proposal: Proposal) -> Reply {
        if let Err(rejection) = proposal.check() {
            return Reply::Invalid(rejection.to_string());
        }
        let releases_lease = proposal.lease.is_some() && proposal.value.is_none();
        if proposal.section == VOTERS_SECTION || proposal.section == LEASES_SECTION && !releases_lease {
            return Reply::Invalid(format!("section: '{}' is changed by other means", proposal.section));
        }
        self.decide(proposal.id, |voter| voter.propose(&proposal)).await
    }

    /// Makes a proposal and waits for its decision.
    async fn decide(&self, id: u64, propose: impl FnOnce(&mut Voter) -> Result<(), ProposeError>) -> Reply {
        if self.requests.borrow().is_full() {
            return Reply::Busy;
        }
        let proposed = match self.voting.borrow_mut().voter_mut() {
            Some(voter) => propose(voter),
            None => Err(ProposeError::NotLeader(None)),
        };
        match proposed {
            Ok(()) => {}
            Err(ProposeError::Busy) => return Reply::Busy,
            Err(ProposeError::NotLeader(_)) => return self.not_leader(),
        }
        let (answer, decided) = oneshot::channel();
        self.requests.borrow_mut().proposals.insert(id, answer);
        self.drive_voter();
        match timeout(DECISION_TIMEOUT, decided).await {
            Ok(Ok(verdict)) => Reply::Decided(verdict),
            _ => {
                self.requests.borrow_mut().proposals.remove(&id);
                Reply::Undecided(id)
            }
        }
    }

    /// A proposal was decided: applies its entry and answers the caller that waits for it.
    pub(super) fn handle_decision(&self, id: u64, verdict: Verdict, entry: Option<Entry>) {
        match entry {
            Some(entry) => {
                self.observe_entry(&entry);
                let mut follower = self.local_replica.borrow_mut();
                let document = follower.version().document;
                // What the voter applied is what this copy takes.
                if let Err(problem) = follower.apply(document, CatchUp::Entries(vec![entry])) {
                    error!(%problem, "plan: an entry of the own voter can't be applied");
                }
            }
            None => self.leases.borrow_mut().proposal_failed(id),
        }
        if let Some(answer) = self.requests.borrow_mut().proposals.remove(&id) {
            // The caller may have gone.
            let _ = answer.send(verdict);
        }
    }

    /// Logs an entry before it is applied, and starts the lease that it grants.
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

    /// Asks a majority whether this gateway leads, for the sake of this.
    pub(super) fn request_confirmation(&self, confirmation: Confirmation) {
        let number = self.draw_id();
        self.requests.borrow_mut().add_confirmation(number, confirmation);
        if let Some(voter) = self.voting.borrow_mut().voter_mut() {
            voter.confirm_leadership(number);
        }
    }

    /// A majority confirmed that this gateway led when it asked.
    pub(super) fn handle_confirmation(&self, number: u64, now: u64) {
        let mut requests = self.requests.borrow_mut();
        match requests.confirmations.remove(&number) {
            Some(Confirmation::Heartbeat) => {
                let voting = self.voting.borrow();
                let term = voting.voter().map_or(0, |voter| voter.log_position().term);
                self.members.spread_leader_heartbeat(requests.next_heartbeat(term));
            }
            Some(Confirmation::Renewal { request, answer }) => {
                let follower = self.local_replica.borrow();
                let renewed = self.leases.borrow_mut().renew(&request, follower.replica(), now);
                // The caller may have gone.
                let _ = answer.send(renewed);
            }
            None => {}
        }
    }

    /// Asks the voters one by one, from the last known leader on, until one replies as the leader.
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
        let limit = (self.settings.lease / 4).min(MAX_VOTER_TIMEOUT);
        let mut connection = PeerConnection::new(self.route(address));
        let reply = connection.call(Method::POST, path, body, limit).await?;
        Ok(serde_json::from_slice(&reply)?)
    }

    /// Adds or removes a voter here, if this gateway leads.
    pub async fn change_voters(&self, request: VoterChangeRequest) -> Reply {
        if !self.voting.borrow().is_leader() {
            return self.not_leader();
        }
        let PlannedChange { change, value } = match self.plan_voter_change(&request).await {
            Ok(planned) => planned,
            Err(VoterChangeError::Encoding(_)) => return Reply::Busy,
            Err(problem) => return Reply::Invalid(problem.to_string()),
        };
        let proposal = Proposal {
            id: self.draw_id(),
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
        self.decide(proposal.id, |voter| voter.change_voters(change, &proposal)).await
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
                let id = self.handshake_with(&request.name, address).await?.id;
                zones.push(&request.zone);
                let item = VoterItem { id, address, zone: request.zone.clone() };
                let value = serde_json::to_string(&item).map_err(VoterChangeError::Encoding)?;
                PlannedChange { change: VoterChange::Add(id), value: Some(value) }
            }
        };
        // On the way from one voter to three there are two; beyond that no zone must decide alone.
        let majority = zone_with_majority(zones.iter().copied(), self.settings.zones.len());
        if let Some(zone) = majority.filter(|_| zones.len() > 2) {
            return Err(VoterChangeError::ZoneMajority(zone.to_string()));
        }
        if zones.is_empty() || zones.len() > MAX_VOTERS {
            return Err(VoterChangeError::VoterCount(zones.len()));
        }
        Ok(planned)
    }

    /// The handshake of a gateway that is to be added under this name.
    async fn handshake_with(
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

    /// The reply of a gateway that does not lead.
    pub(super) fn not_leader(&self) -> Reply {
        Reply::NotLeader(self.leader.borrow().clone())
    }
}
