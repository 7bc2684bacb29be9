//! Anti-entropy: decides when two members exchange all rows of their member tables, and how received rows are applied.
//!
//! SWIM alone treats a member that was declared dead as dead until it returns under a new incarnation, and transmits
//! each update only a bounded number of times. Therefore each datagram carries the digest of its sender's view, and a
//! member whose digest differs for longer than gossip takes is asked for all its rows. The same exchange lets a new
//! member join with only an address, and contacts dead members, so that the views converge after a partition heals.

use super::members::MemberRecord;
use crate::node::Node;
use crate::time::{jittered, Timestamp};
use crate::view::MemberState;
use crate::wire::Row;
use foca::{Identity, State};
use std::time::Duration;

/// The number of exchanges answered per probe period, all of which may be answered in one burst. The limit protects
/// against a peer that sends requests in a loop, and bounds the traffic sent to a forged address.
const MAX_ANSWERS_PER_PROBE_PERIOD: u32 = 16;
/// The time for gossip to make digests equal before an exchange is requested, in probe periods.
const SETTLE_PROBE_PERIODS: u32 = 2;

/// Rate limits for requesting and answering exchanges.
pub(super) struct AntiEntropy {
    next_request_at: Timestamp,
    answers_left: u32,
}

impl AntiEntropy {
    pub(super) fn new(now: Timestamp) -> AntiEntropy {
        AntiEntropy { next_request_at: now, answers_left: MAX_ANSWERS_PER_PROBE_PERIOD }
    }

    /// Returns whether one more exchange may be answered in this probe period, and counts it if so.
    pub(super) fn take_answer(&mut self) -> bool {
        let may_answer = self.answers_left > 0;
        self.answers_left = self.answers_left.saturating_sub(1);
        may_answer
    }

    /// Resets the answer limit at the start of a probe period.
    pub(super) fn refill_answers(&mut self) {
        self.answers_left = MAX_ANSWERS_PER_PROBE_PERIOD;
    }

    /// Returns whether to request rows now from a member with a different digest, and if so schedules the earliest
    /// time of the next request.
    pub(super) fn take_request(
        &mut self,
        now: Timestamp,
        view_changed_at: Timestamp,
        probe_period: Duration,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let is_settled = now >= view_changed_at + probe_period * SETTLE_PROBE_PERIODS;
        if !is_settled || now < self.next_request_at {
            return false;
        }
        self.next_request_at = now + jittered(rng, probe_period);
        true
    }
}

/// How to handle a row received from another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowAction {
    /// The row has a later incarnation of this gateway, as after its clock was set back. This gateway must renew its
    /// identity with an incarnation above this one.
    ExceedIncarnation(u64),
    /// The row has no newer identity of this gateway and is ignored.
    Skip,
    /// The row has this gateway's current identity.
    ApplyLocal,
    /// The row has a new member, and the member table is full.
    Reject,
    /// The row is applied to the member table.
    Apply,
    /// The sender declares a member dead that is alive in this gateway's view. The member is notified and has some time
    /// to return under a new incarnation. Applying the row at once would make both sides of a healed partition lose all
    /// their members at the same time.
    Dispute,
}

/// Decides how to handle a row. `known` is the record at its address, `capacity` the number of new members that fit.
pub(super) fn classify_row(
    row: &Row,
    local: &Node,
    known: Option<&MemberRecord>,
    capacity: usize,
) -> RowAction {
    let node = row.member.id();
    if node.addr() == local.addr() {
        return match node.incarnation {
            later if later > local.incarnation => RowAction::ExceedIncarnation(later),
            _ if node == local => RowAction::ApplyLocal,
            _ => RowAction::Skip,
        };
    }
    match known {
        None if capacity == 0 => RowAction::Reject,
        Some(known)
            if row.member.state() == State::Down
                && known.node == *node
                && known.state == MemberState::Alive =>
        {
            RowAction::Dispute
        }
        _ => RowAction::Apply,
    }
}
