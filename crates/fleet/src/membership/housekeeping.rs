//! Periodic work that no datagram triggers, run once per probe period.

use super::timers::Timer;
use super::{Membership, Output};
use crate::node::Node;
use crate::view::{MemberState, Observer};
use foca::{Identity, Member};
use std::net::SocketAddr;

impl Membership {
    pub(super) fn housekeeping(&mut self) {
        self.timers.set(self.clock.now() + self.config.probe_period, Timer::Housekeeping);
        self.anti_entropy.refill_answers();
        let (local, members) = (self.local.addr(), &self.members);
        self.facts.borrow_mut().retain(|address| *address == local || members.contains(address));
        self.settle_disputes();
        self.report_name_conflicts();
        if self.rejoin.is_due(self.clock.now()) {
            self.attempt_rejoin();
        }
    }

    /// Declares dead the disputed members from which no datagram arrived in time.
    fn settle_disputes(&mut self) {
        for dispute in self.disputes.take_expired(self.clock.now()) {
            let Some(record) = self.members.get(&dispute.address) else { continue };
            let timeout = self.config.suspicion_timeout(self.members.fleet_size());
            let was_seen =
                record.last_digest.is_some_and(|received| received.at + timeout > dispute.deadline);
            let is_same = record.node.incarnation == dispute.incarnation;
            if is_same && record.state.is_active() && !was_seen {
                let dead = Member::down(record.node.clone());
                self.apply([dead], &Observer::Local);
            }
        }
    }

    fn report_name_conflicts(&mut self) {
        let probe_period = self.config.probe_period;
        let settle_time = self.config.suspicion_timeout(self.members.fleet_size()) + probe_period * 2;
        let (now, members) = (self.clock.now(), &self.members);
        let is_settled = |node: &Node| {
            members.get(&node.addr()).is_none_or(|record| record.changed_at + settle_time <= now)
        };
        let others = members.active().map(|record| &record.node);
        let active = std::iter::once(&self.local).chain(others);
        let conflicts = self.name_conflicts.update(active, is_settled);
        self.outputs.extend(conflicts.into_iter().map(Output::NameConflict));
    }

    fn attempt_rejoin(&mut self) {
        let is_alone = self.members.active().next().is_none();
        let missing = self.missing_addresses();
        let (now, probe_period) = (self.clock.now(), self.config.probe_period);
        if let Some(chosen) = self.rejoin.attempt(now, is_alone, &missing, probe_period, &mut self.rng) {
            self.request_exchange(chosen);
        }
    }

    /// Returns the seed addresses and addresses of dead members at which there is no active member.
    fn missing_addresses(&self) -> Vec<SocketAddr> {
        let active: Vec<SocketAddr> = self.active_nodes().map(|node| self.config.route(node)).collect();
        let dead = self.members.iter().filter(|record| record.state == MemberState::Dead);
        let dead = dead.map(|record| self.config.route(&record.node));
        let expected = self.config.seed_addresses.iter().copied().chain(dead);
        let mut missing: Vec<SocketAddr> = expected.filter(|address| !active.contains(address)).collect();
        missing.sort();
        missing.dedup();
        missing
    }
}
