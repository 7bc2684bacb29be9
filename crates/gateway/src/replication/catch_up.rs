//! Catching up from peers, comparing versions with them, and watching the leader's heartbeats.

use super::members::MemberVersion;
use super::message::{voters_of, CatchUpResponse, NO_DOCUMENT};
use super::peers::PeerConnection;
use super::service::{ReplicationService, TICKS_PER_ROUND};
use lanespan_fleet::replication::replica::{CatchUp, CatchUpError};
use lanespan_fleet::replication::voter_trust::VoterTrust;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::error;

/// Rounds without a leader's heartbeat before that is reported.
const MAX_SILENT_ROUNDS: u64 = 20;
impl ReplicationService {
    /// Fetches what this copy lacks, if a peer has it. A voter gets it from the leader.
    pub(super) fn catch_up(self: &Rc<Self>) {
        if self.local_replica.borrow().is_fetching || self.voting.borrow().has_document() {
            return;
        }
        if let Some(address) = self.choose_peer_ahead(&self.members.member_versions()) {
            self.local_replica.borrow_mut().is_fetching = true;
            spawn_local(self.clone().fetch(address));
        }
    }

    /// A peer with a later version, chosen at random. The first document to follow must be that of a voter whom the
    /// configuration names.
    fn choose_peer_ahead(&self, members: &[MemberVersion]) -> Option<SocketAddr> {
        let own = self.local_replica.borrow().version();
        let is_ahead = |member: &&MemberVersion| match own.document {
            0 => member.version.document != 0 && self.settings.voters.contains_key(&member.node.name),
            document => member.version.document == document && member.version.index > own.index,
        };
        let ahead: Vec<&MemberVersion> = members.iter().filter(is_ahead).collect();
        let choice = self.rng.borrow_mut().usize(..ahead.len().max(1));
        let advertised = self.members.address_of(&ahead.get(choice)?.node)?;
        Some(self.route(advertised))
    }

    /// Fetches from a peer until this copy has what the peer has, or that fails.
    async fn fetch(self: Rc<Self>, address: SocketAddr) {
        let mut connection = PeerConnection::new(address);
        loop {
            let version = self.local_replica.borrow().version();
            let after = if version.document == 0 { NO_DOCUMENT } else { version.index as i64 };
            // On a failure, or if the peer has nothing more, another one is asked in a later round.
            let Ok(response) = connection.fetch_catch_up(after).await else { break };
            let Some(catch_up) = response.catch_up else { break };
            if let Err(problem) = self.apply_catch_up(response.document, catch_up) {
                if problem != CatchUpError::Stale {
                    error!(%problem, %address, "plan: catch-up from a peer can't be applied");
                }
                break;
            }
        }
        self.members.set_document_version(self.local_replica.borrow().version());
        // A peer that had nothing more may still be ahead by gossip: do not ask it at once again.
        sleep(self.settings.tick).await;
        self.local_replica.borrow_mut().is_fetching = false;
    }

    fn apply_catch_up(&self, document: u64, catch_up: CatchUp) -> Result<(), CatchUpError> {
        let entries = self.local_replica.borrow_mut().apply(document, catch_up)?;
        entries.iter().for_each(|entry| self.observe_entry(entry));
        Ok(())
    }

    /// What a peer at this index lacks; `NO_DOCUMENT`: one that has no document.
    pub fn catch_up_after(&self, after: i64) -> CatchUpResponse {
        self.local_replica.borrow().catch_up_after(after)
    }

    /// Compares the versions of all gateways.
    pub(super) fn compare_versions(&self, members: &[MemberVersion]) {
        let me = self.members.me().name;
        self.local_replica.borrow_mut().compare(members, &me);
    }

    /// Reports whether heartbeats of a leader arrive.
    pub(super) fn report_leader_silence(&self, now: u64) {
        let round = self.settings.tick.as_micros() as u64 * TICKS_PER_ROUND;
        let is_overdue = self.members.leader_heartbeat_age(now) > round * MAX_SILENT_ROUNDS;
        let mut follower = self.local_replica.borrow_mut();
        let is_silent = follower.version().document != 0 && is_overdue;
        follower.report_silence(is_silent, self.settings.trust.as_secs());
    }

    /// The share of fleet decisions that this gateway acts on: 1, and less the longer no leader's heartbeat arrived.
    pub fn trust(&self) -> f64 {
        let full_trust_us = self.settings.trust.as_micros() as u64;
        let ramp_us = self.settings.ramp.as_micros() as u64;
        VoterTrust { full_trust_us, ramp_us }.share(self.members.leader_heartbeat_age(self.now()))
    }

    /// The name and address of a voter, by the document.
    pub(super) fn find_voter(&self, id: u64) -> Option<super::message::VoterAddress> {
        let voters = voters_of(self.local_replica.borrow().replica().document());
        let (name, voter) = voters.into_iter().find(|(_, voter)| voter.id == id)?;
        Some(super::message::VoterAddress { name, address: voter.address })
    }

    /// Where an advertised address is reached from here.
    pub(super) fn route(&self, advertised: SocketAddr) -> SocketAddr {
        self.settings.address_map.get(&advertised).copied().unwrap_or(advertised)
    }
}
