//! Tracks proposals and confirmations that wait for a majority of the voters.

use super::message::RenewalRequest;
use lanespan_fleet::replication::document::Verdict;
use std::collections::{BTreeMap, HashMap};
use tokio::sync::oneshot;

/// The maximum number of pending proposals, and likewise of pending confirmations.
const MAX_PENDING: usize = 256;

/// The action that follows once a majority has confirmed that this gateway leads.
pub enum Confirmation {
    /// Spread a heartbeat.
    Heartbeat,
    /// Renew a lease, and report whether that was possible.
    Renewal {
        /// The request to renew the lease.
        request: RenewalRequest,
        /// Receives whether the lease was renewed.
        responder: oneshot::Sender<bool>,
    },
}

/// Proposals that await a decision, and confirmations that await a majority.
#[derive(Default)]
pub struct PendingRequests {
    pub(super) proposals: HashMap<u64, oneshot::Sender<Verdict>>,
    pub(super) confirmations: BTreeMap<u64, Confirmation>,
    heartbeat_count: u64,
}

impl PendingRequests {
    pub(super) fn is_full(&self) -> bool {
        self.proposals.len() >= MAX_PENDING
    }

    pub(super) fn add_confirmation(&mut self, number: u64, confirmation: Confirmation) {
        // Bounds the map while no majority answers; the confirmation with the lowest number is dropped.
        if self.confirmations.len() >= MAX_PENDING {
            self.confirmations.pop_first();
        }
        self.confirmations.insert(number, confirmation);
    }

    /// Drops all confirmations. Called when this gateway does not lead.
    pub fn clear_confirmations(&mut self) {
        self.confirmations.clear();
    }

    /// Returns the number of the next heartbeat, which is higher than those of earlier terms and than earlier ones of
    /// the same term.
    pub(super) fn next_heartbeat(&mut self, term: u64) -> u64 {
        self.heartbeat_count += 1;
        term << 32 | self.heartbeat_count & 0xffff_ffff
    }
}
