//! The anti-entropy exchange: requests rows, answers requests with all own rows, and merges received rows.
//! `anti_entropy` decides when to exchange and how each row is handled.

use super::anti_entropy::{classify_row, RowAction};
use super::codec::is_acceptable;
use super::disputes::Dispute;
use super::{DropReason, Membership};
use crate::node::{Address, Node};
use crate::view::Observer;
use crate::wire::{self, Kind, Row};
use foca::{Identity, Member};
use std::net::SocketAddr;

impl Membership {
    pub(super) fn request_exchange(&mut self, destination: SocketAddr) {
        // An identity can always be encoded.
        if let Ok(payload) = postcard::to_allocvec(&self.local) {
            self.counters.exchanges_requested += 1;
            self.send(destination, Kind::Pull, &payload);
        }
    }

    /// Answers a node's request for all rows, and adds that node as a member.
    pub(super) fn answer_exchange(&mut self, payload: &[u8]) -> Result<(), DropReason> {
        let sender: Node = postcard::from_bytes(payload).map_err(|_| DropReason::Malformed)?;
        if !is_acceptable(&sender) {
            return Err(DropReason::Malformed);
        }
        if sender.addr() == self.local.addr() {
            return Err(DropReason::OwnDatagram);
        }
        if !self.members.contains(&sender.addr()) && self.members.len() >= self.config.max_members {
            return Err(DropReason::MemberTableFull);
        }
        if !self.anti_entropy.take_answer() {
            return Err(DropReason::RateLimited);
        }
        self.counters.exchanges_answered += 1;
        self.apply([Member::alive(sender.clone())], &Observer::Peer(sender.name.clone()));
        self.send_all_rows(self.config.route(&sender));
        Ok(())
    }

    fn send_all_rows(&mut self, destination: SocketAddr) {
        let local = Member::alive(self.local.clone());
        let payloads = {
            let facts = self.facts.borrow();
            let row = |member: &Member<Node>| Row {
                member: member.clone(),
                facts: facts.get(member.id()).cloned(),
            };
            wire::encode_rows(std::iter::once(&local).chain(self.swim.members()).map(row))
        };
        payloads.iter().for_each(|payload| self.send(destination, Kind::Rows, payload));
    }

    /// Merges the rows of another member's table into this one.
    pub(super) fn merge_rows(&mut self, payload: &[u8], observer: &Observer) -> Result<(), DropReason> {
        let rows = wire::decode_rows(payload)?;
        if rows.iter().any(|row| !is_acceptable(row.member.id())) {
            return Err(DropReason::Malformed);
        }
        let (mut updates, mut disputed) = (Vec::new(), Vec::new());
        let mut capacity = self.config.max_members.saturating_sub(self.members.len());
        let mut has_rejected = false;
        for row in rows {
            let known = self.members.get(&row.member.id().addr());
            match classify_row(&row, &self.local, known, capacity) {
                RowAction::ExceedIncarnation(incarnation) => self.renew(incarnation + 1),
                RowAction::Skip => {}
                RowAction::Reject => has_rejected = true,
                RowAction::ApplyLocal => updates.push(row.member),
                RowAction::Apply => {
                    capacity -= usize::from(known.is_none());
                    updates.push(self.take_row_facts(row));
                }
                RowAction::Dispute => disputed.push(self.take_row_facts(row)),
            }
        }
        self.apply(updates, observer);
        self.dispute(disputed);
        match has_rejected {
            true => Err(DropReason::MemberTableFull),
            false => Ok(()),
        }
    }

    fn take_row_facts(&self, row: Row) -> Member<Node> {
        let node = row.member.id();
        if let Some(facts) = row.facts {
            self.facts.borrow_mut().insert_if_newer(node.addr(), node.incarnation, facts);
        }
        row.member
    }

    /// Opens disputes about members that others declared dead, and notifies those members so that they can refute.
    fn dispute(&mut self, disputed: Vec<Member<Node>>) {
        let timeout = self.config.suspicion_timeout(self.members.fleet_size());
        let deadline = self.clock.now() + timeout;
        for member in disputed {
            let node = member.id().clone();
            self.disputes.open(Dispute { address: node.addr(), incarnation: node.incarnation, deadline });
            let destination = self.config.route(&node);
            let payloads = wire::encode_rows(std::iter::once(Row { member, facts: None }));
            payloads.iter().for_each(|payload| self.send(destination, Kind::Rows, payload));
        }
    }

    /// Requests the rows of a sender whose view differs, once gossip has had time to make the views equal.
    pub(super) fn request_exchange_if_diverged(&mut self, sender: &Address, view_digest: u64) {
        let Some(record) = self.members.get(sender).filter(|record| record.state.is_active()) else { return };
        let destination = self.config.route(&record.node);
        if view_digest == self.members.digest() {
            return;
        }
        let (now, probe_period) = (self.clock.now(), self.config.probe_period);
        if self.anti_entropy.take_request(now, self.members.changed_at(), probe_period, &mut self.rng) {
            self.request_exchange(destination);
        }
    }
}
