//! Tracks members that are alive in this gateway's view and that another member declared dead.
//!
//! Until the deadline such a member can send a datagram or return under a new incarnation; otherwise this gateway
//! declares it dead as well.

use crate::node::Address;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// A disputed member and its deadline.
#[derive(Clone, Copy)]
pub(super) struct Dispute {
    pub(super) address: Address,
    pub(super) incarnation: u64,
    pub(super) deadline: Timestamp,
}

/// The open disputes, by member address.
#[derive(Default)]
pub(super) struct Disputes {
    by_address: BTreeMap<Address, Dispute>,
}

impl Disputes {
    /// Opens a dispute unless one about this member is already open.
    pub(super) fn open(&mut self, dispute: Dispute) {
        self.by_address.entry(dispute.address).or_insert(dispute);
    }

    /// Removes and returns the disputes whose deadline has passed.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<Dispute> {
        let is_expired = |dispute: &&Dispute| now >= dispute.deadline;
        let expired: Vec<Dispute> = self.by_address.values().filter(is_expired).copied().collect();
        expired.iter().for_each(|dispute| _ = self.by_address.remove(&dispute.address));
        expired
    }

    /// Keeps only the disputes about members that are still known.
    pub(super) fn retain(&mut self, is_member: impl Fn(&Address) -> bool) {
        self.by_address.retain(|address, _| is_member(address));
    }
}
