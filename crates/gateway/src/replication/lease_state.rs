//! Keeps the leases that this gateway holds and those that it grants as the leader.

use super::message::RenewalRequest;
use lanespan_fleet::replication::document::{Entry, FencingToken, Proposal, LEASES_SECTION};
use lanespan_fleet::replication::lease::{HeldLeases, LeaseTable};
use lanespan_fleet::replication::replica::Replica;

/// The state of the leases at this gateway.
#[derive(Default)]
pub struct Leases {
    /// The leases that this gateway holds.
    pub(super) held: HeldLeases,
    /// The leases that this gateway grants; `None` unless it leads.
    pub(super) table: Option<LeaseTable>,
}

impl Leases {
    /// Returns the fencing token of a role if this gateway holds its lease now.
    pub fn token(&self, role: &str, now: u64) -> Option<FencingToken> {
        self.held.token(role, now)
    }

    /// Observes an entry that is about to be applied: a lease that it grants starts now, and a holder that released a
    /// lease is granted no lease again in this term.
    pub fn observe_entry(&mut self, entry: &Entry, proposal: &Proposal, replica: &Replica, now: u64) {
        let Some(table) = self.table.as_mut().filter(|_| proposal.section == LEASES_SECTION) else { return };
        match (&proposal.value, replica.document().grant(&proposal.key)) {
            (Some(_), _) => table.record_grant(&proposal.key, entry.position, now),
            (None, Some(previous)) => table.record_release(previous.grant),
            (None, None) => {}
        }
    }

    /// Records that a proposal was not accepted, which may be that of a grant.
    pub fn proposal_failed(&mut self, id: u64) {
        if let Some(table) = &mut self.table {
            table.grant_failed(id);
        }
    }

    /// Renews a lease and returns whether that was possible. Called after a majority confirmed that this gateway leads.
    pub fn renew(&mut self, request: &RenewalRequest, replica: &Replica, now: u64) -> bool {
        let table = self.table.as_mut();
        table.is_some_and(|table| table.renew(replica.document(), &request.role, request.token, now))
    }
}
