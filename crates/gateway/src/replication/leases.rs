//! Renews and releases the leases of fleet-wide roles that this gateway holds, and grants leases as the leader.

use super::members::MemberVersion;
use super::message::{RenewalRequest, Reply, PROPOSE_PATH, RENEW_PATH};
use super::pending::Confirmation;
use super::service::ReplicationService;
use lanespan_fleet::replication::document::{FencingToken, Proposal};
use lanespan_fleet::replication::lease::{Candidate, LeaseChange, LeaseTable};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::{info, warn};

impl ReplicationService {
    /// Updates the leases that the document grants to this gateway. Requests the renewals that are due and, if this
    /// gateway is stopping, releases its leases.
    pub(super) fn update_held_leases(self: &Rc<Self>, me: &Candidate, stopping: bool, now: u64) {
        let leases = &mut *self.leases.borrow_mut();
        let local_replica = self.local_replica.borrow();
        let changes = leases.held.update(local_replica.replica().document(), me, now);
        changes.iter().for_each(log_change);
        for (role, token) in leases.held.renewals_due(now) {
            spawn_local(self.clone().request_renewal(role, token, now));
        }
        if stopping {
            // A leader that does not know yet that this gateway leaves may still have granted a lease to it.
            let releases = leases.held.release(me, now, || self.generate_id());
            spawn_local(self.clone().send_releases(releases));
        }
    }

    /// Proposes the grants that are due, while this gateway leads.
    pub(super) fn grant_leases(&self, members: &[MemberVersion], me: Option<Candidate>, now: u64) {
        let leases = &mut *self.leases.borrow_mut();
        let mut voter_driver = self.voter_driver.borrow_mut();
        let Some(voter) = voter_driver.leading_voter_mut() else {
            // Renewals of an earlier term must not count in a later one.
            leases.table = None;
            return;
        };
        let local_replica = self.local_replica.borrow();
        let document = local_replica.version().document;
        let others = members.iter().filter(|member| member.version.document == document && !member.leaving);
        let mut candidates: Vec<Candidate> =
            others.map(|member| Candidate::new(&member.node.name, member.node.incarnation)).collect();
        candidates.extend(me);
        // The term may also have changed if leadership was lost and regained since the last round.
        let table = LeaseTable::in_term(leases.table.take(), voter.log_position().term, now);
        let table = leases.table.insert(table);
        let ttl_us = self.settings.lease.as_micros() as u64;
        let document = local_replica.replica().document();
        for proposal in table.grants_due(document, &candidates, ttl_us, now, || self.generate_id()) {
            if voter.propose(&proposal).is_err() {
                table.grant_failed(proposal.id);
            }
        }
    }

    /// Renews a lease if this gateway leads and a majority confirms that.
    pub async fn renew(&self, request: RenewalRequest) -> Reply {
        let (responder, renewed) = oneshot::channel();
        {
            let leases = self.leases.borrow();
            let Some(table) = &leases.table else { return self.not_leader() };
            let local_replica = self.local_replica.borrow();
            let document = local_replica.replica().document();
            if !table.may_renew(document, &request.role, request.token, self.now()) {
                return Reply::Renewed(false);
            }
        }
        self.request_confirmation(Confirmation::Renewal { request, responder });
        self.drive_voter();
        match timeout(super::proposals::DECISION_TIMEOUT, renewed).await {
            Ok(Ok(renewed)) => Reply::Renewed(renewed),
            _ => Reply::Busy,
        }
    }

    /// Requests the renewal of a lease that this gateway holds, at itself or at the leader.
    async fn request_renewal(self: Rc<Self>, role: &'static str, token: FencingToken, requested_at: u64) {
        let request = RenewalRequest { role: role.to_string(), token };
        let reply = match self.renew(request.clone()).await {
            Reply::NotLeader(_) => match serde_json::to_vec(&request) {
                Ok(body) => self.ask_leader(RENEW_PATH, body.into()).await,
                Err(_) => return,
            },
            reply => reply,
        };
        if reply == Reply::Renewed(true) {
            let change = self.leases.borrow_mut().held.renewed(role, token, requested_at, self.now());
            change.iter().for_each(log_change);
        }
    }

    /// Releases all leases and transfers leadership to a random other voter.
    pub(super) async fn leave(self: Rc<Self>) {
        let (me, now) = (self.members.me(), self.now());
        let releases = self.leases.borrow_mut().held.release(&me, now, || self.generate_id());
        self.clone().send_releases(releases).await;
        let mut voter_driver = self.voter_driver.borrow_mut();
        if let Some(voter) = voter_driver.leading_voter_mut() {
            let others = voter.other_voters();
            let choice = self.rng.borrow_mut().usize(..others.len().max(1));
            if let Some(successor) = others.get(choice) {
                voter.transfer_leadership(*successor);
            }
        }
    }

    async fn send_releases(self: Rc<Self>, releases: Vec<Proposal>) {
        for proposal in releases {
            let Ok(body) = serde_json::to_vec(&proposal) else { continue };
            let role = proposal.key.clone();
            let reply = match self.propose(proposal).await {
                Reply::NotLeader(_) => self.ask_leader(PROPOSE_PATH, body.into()).await,
                reply => reply,
            };
            info!(duty = role, ?reply, "plan: lease release proposed");
        }
    }
}

fn log_change(change: &LeaseChange) {
    match change {
        LeaseChange::Acquired { role, token } => info!(duty = role, %token, "plan: duty taken"),
        LeaseChange::Lost { role, token } => warn!(duty = role, %token, "plan: duty lost"),
    }
}
