//! Catches up from peers, compares versions with them, and monitors the leader's heartbeats.

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

/// The number of rounds without a leader's heartbeat after which the leader is reported as silent.
const MAX_SILENT_ROUNDS: u64 = 20;

impl ReplicationService {
    /// Starts to fetch missing entries if a peer has a later version. A voter with a document gets them from the leader
    /// instead.
    pub(super) fn catch_up(self: &Rc<Self>) {
        if self.local_replica.borrow().is_fetching || self.voter_driver.borrow().has_document() {
            return;
        }
        if let Some(address) = self.choose_peer_ahead(&self.members.member_versions()) {
            self.local_replica.borrow_mut().is_fetching = true;
            spawn_local(self.clone().fetch(address));
        }
    }

    /// Returns the address of a random peer with a later version. A gateway without a document only takes one from the
    /// initial voters, which the configuration names.
    fn choose_peer_ahead(&self, members: &[MemberVersion]) -> Option<SocketAddr> {
        let own = self.local_replica.borrow().version();
        let is_ahead = |member: &&MemberVersion| match own.document {
            0 => member.version.document != 0 && self.settings.voters.contains_key(&member.node.name),
            document => member.version.document == document && member.version.index > own.index,
        };
        let ahead: Vec<&MemberVersion> = members.iter().filter(is_ahead).collect();
        let choice = self.rng.borrow_mut().usize(..ahead.len().max(1));
        let advertised = self.members.address_of(&ahead.get(choice)?.node)?;
        Some(self.dial_address(advertised))
    }

    /// Fetches from a peer until the local replica is up to date with it or a call fails.
    async fn fetch(self: Rc<Self>, address: SocketAddr) {
        let mut connection = PeerConnection::new(address);
        loop {
            let version = self.local_replica.borrow().version();
            let after = if version.document == 0 { NO_DOCUMENT } else { version.index as i64 };
            // On a failure, or if the peer has nothing more, a later tick tries another peer.
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
        // Gossip may still report a peer as ahead that had nothing more, so don't ask again at once.
        sleep(self.settings.tick).await;
        self.local_replica.borrow_mut().is_fetching = false;
    }

    fn apply_catch_up(&self, document: u64, catch_up: CatchUp) -> Result<(), CatchUpError> {
        let entries = self.local_replica.borrow_mut().apply(document, catch_up)?;
        entries.iter().for_each(|entry| self.observe_entry(entry));
        Ok(())
    }

    /// Returns the catch-up for a peer at this index, or at `NO_DOCUMENT` if it has no document.
    pub fn catch_up_after(&self, after: i64) -> CatchUpResponse {
        self.local_replica.borrow().catch_up_after(after)
    }

    /// Compares the versions of the other gateways with the local replica.
    pub(super) fn compare_versions(&self, members: &[MemberVersion]) {
        let me = self.members.me().name;
        self.local_replica.borrow_mut().compare(members, &me);
    }

    /// Logs when the leader's heartbeats stop or resume.
    pub(super) fn report_leader_silence(&self, now: u64) {
        let round_us = self.settings.tick.as_micros() as u64 * TICKS_PER_ROUND;
        let is_overdue = self.members.leader_heartbeat_age(now) > round_us * MAX_SILENT_ROUNDS;
        let mut local_replica = self.local_replica.borrow_mut();
        let is_silent = local_replica.version().document != 0 && is_overdue;
        local_replica.report_silence(is_silent, self.settings.trust.as_secs());
    }

    /// Returns the trust in the last known document, between 0 and 1. It declines the longer no leader's heartbeat
    /// arrives.
    pub fn trust(&self) -> f64 {
        let full_trust_us = self.settings.trust.as_micros() as u64;
        let ramp_us = self.settings.ramp.as_micros() as u64;
        VoterTrust { full_trust_us, ramp_us }.share(self.members.leader_heartbeat_age(self.now()))
    }

    /// Returns the name and address that the document has for a voter.
    pub(super) fn find_voter(&self, id: u64) -> Option<super::message::VoterAddress> {
        let voters = voters_of(self.local_replica.borrow().replica().document());
        let (name, voter) = voters.into_iter().find(|(_, voter)| voter.id == id)?;
        Some(super::message::VoterAddress { name, address: voter.address })
    }

    /// Returns the address to dial for an advertised address, as set in the address map.
    pub(super) fn dial_address(&self, advertised: SocketAddr) -> SocketAddr {
        self.settings.address_map.get(&advertised).copied().unwrap_or(advertised)
    }
}
