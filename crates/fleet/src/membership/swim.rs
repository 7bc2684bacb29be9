//! Wraps foca, a sans-I/O implementation of SWIM, and queues its messages, timers and notifications.

use super::codec::{names_only, ValidatingCodec};
use super::config::Config;
use super::counters::DropReason;
use super::dissemination::FactsHandler;
use crate::node::Node;
use bytes::Bytes;
use foca::{AccumulatingRuntime, Foca, Member, OwnedNotification, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::time::Duration;

/// The SWIM protocol of one member.
pub(super) struct Swim {
    foca: Foca<Node, ValidatingCodec, StdRng, FactsHandler>,
    /// foca's queued messages, timers and notifications.
    pending: AccumulatingRuntime<Node>,
    /// The fleet size for which the parameters were last set.
    sized_for: usize,
}

impl Swim {
    pub(super) fn new(local: Node, config: &Config, seed: u64, handler: FactsHandler) -> Swim {
        let (rng, codec) = (StdRng::seed_from_u64(seed), ValidatingCodec::new());
        let sized_for = 1;
        let foca = Foca::with_custom_broadcast(local, config.swim(sized_for), rng, codec, handler);
        Swim { foca, pending: AccumulatingRuntime::new(), sized_for }
    }

    pub(super) fn handle_timer(&mut self, timer: Timer<Node>) {
        // Errors only report stale timers, which foca handles itself.
        let _ = self.foca.handle_timer(timer, &mut self.pending);
    }

    pub(super) fn handle_message(&mut self, message: &[u8]) -> Result<(), DropReason> {
        self.foca.handle_data(message, &mut self.pending).map_err(|error| match error {
            foca::Error::DataFromOurselves => DropReason::OwnDatagram,
            _ => DropReason::Malformed,
        })
    }

    /// Returns whether a message can be decoded and contains only known nodes.
    pub(super) fn message_names_only(message: &[u8], is_known: impl Fn(&Node) -> bool) -> bool {
        names_only(message, is_known)
    }

    /// Applies member states.
    pub(super) fn apply(&mut self, members: impl IntoIterator<Item = Member<Node>>) {
        // This fails only if a member can't be encoded, and each member was decoded before.
        let _ = self.foca.apply_many(members.into_iter(), true, &mut self.pending);
    }

    /// Switches to another identity. Returns whether foca accepted it.
    pub(super) fn change_identity(&mut self, node: Node) -> bool {
        self.foca.change_identity(node, &mut self.pending).is_ok()
    }

    /// Broadcasts facts.
    pub(super) fn broadcast(&mut self, facts: &[u8]) {
        // This fails only if the handler can't decode the facts, and this crate encoded them.
        let _ = self.foca.add_broadcast(facts);
    }

    /// Announces to a few members that this one leaves.
    pub(super) fn leave(&mut self) {
        // An error needs no handling, because this member stops in any case.
        let _ = self.foca.leave_cluster(&mut self.pending);
    }

    /// Adapts the parameters to a fleet of this size.
    pub(super) fn resize(&mut self, config: &Config, members: usize) {
        if members != self.sized_for {
            self.sized_for = members;
            // This fails only if periods change, and they depend only on the configuration.
            let _ = self.foca.set_config(config.swim(members));
        }
    }

    /// Returns the states of all members that SWIM remembers.
    pub(super) fn members(&self) -> impl ExactSizeIterator<Item = &Member<Node>> {
        self.foca.iter_membership_state()
    }

    /// Returns the next identity to which foca switched by itself because other members declared the previous one dead.
    pub(super) fn next_renewal(&mut self) -> Option<Node> {
        while let Some(notification) = self.pending.to_notify() {
            if let OwnedNotification::Rejoin(node) = notification {
                return Some(node);
            }
        }
        None
    }

    /// Returns the next message to send and its destination.
    pub(super) fn next_message(&mut self) -> Option<(Node, Bytes)> {
        self.pending.to_send()
    }

    /// Returns the next timer to set and its delay.
    pub(super) fn next_timer(&mut self) -> Option<(Duration, Timer<Node>)> {
        self.pending.to_schedule()
    }
}
