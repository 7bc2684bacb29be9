//! Membership: tracks which gateways of the fleet are alive.
//!
//! A sans-I/O state machine: it takes datagrams, timestamps and announcements as input and returns datagrams and
//! changes as output. The same seed and inputs give the same outputs.
//!
//! This module dispatches to its submodules. `swim` detects failures and gossips. `exchange` joins a fleet and repairs
//! diverged views by exchanging all rows, when `anti_entropy` decides to. `dissemination` spreads the facts that
//! members announce, and `document` the version of the fleet document. `members` is the table of all other members, on
//! which `housekeeping` runs `disputes`, `rejoin` and `name_conflicts`. `clock` excludes stalls of this process from
//! all timers.

mod anti_entropy;
mod clock;
mod codec;
mod config;
mod counters;
mod disputes;
mod dissemination;
mod document;
mod exchange;
mod housekeeping;
mod members;
mod name_conflicts;
mod rejoin;
mod snapshot;
mod swim;
mod timers;

pub use config::Config;
pub use counters::{Counters, DropCounts, DropReason};
pub use name_conflicts::NameConflict;

use crate::facts::{Facts, GATEWAY_NUMBER, LEAVING, YES};
use crate::node::Node;
use crate::replication::replica::DocumentVersion;
use crate::time::Timestamp;
use crate::view::{MemberChange, MemberCounts, MemberState, Observer, View};
use crate::wire::{self, Envelope, Kind};
use anti_entropy::AntiEntropy;
use clock::ProcessClock;
use codec::MAX_INCARNATION;
use config::GOSSIP_FANOUT;
use disputes::Disputes;
use dissemination::{encode_broadcast, FactsHandler, FactsTable, SharedFacts};
use document::{DocumentState, RUMOUR_FANOUT};
use foca::{Identity, Member};
use members::{MemberRecord, MemberTable};
use name_conflicts::NameConflicts;
use rejoin::Rejoin;
use snapshot::Snapshot;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use swim::Swim;
use timers::{Timer, Timers};

/// An action or a report for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The destination address.
        destination: SocketAddr,
        /// The encoded datagram.
        datagram: Vec<u8>,
    },
    /// A member's state changed.
    MemberChanged(MemberChange),
    /// This gateway continues under this new identity, because other members declared it dead or knew an earlier
    /// incarnation of it with a later start time.
    IdentityRenewed(Node),
    /// Two active members have the same name.
    NameConflict(NameConflict),
}

/// A member and the version of the fleet document that it acts on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberVersion {
    /// The member.
    pub node: Node,
    /// The version that it last sent.
    pub version: DocumentVersion,
    /// Whether it announced that it is about to leave.
    pub leaving: bool,
}

/// The membership state machine of one gateway. All times passed to it are in system time (see `clock`).
pub struct Membership {
    config: Config,
    cluster_hash: u64,
    local: Node,
    clock: ProcessClock,
    timers: Timers,
    rng: fastrand::Rng,
    swim: Swim,
    facts: SharedFacts,
    members: MemberTable,
    anti_entropy: AntiEntropy,
    disputes: Disputes,
    rejoin: Rejoin,
    name_conflicts: NameConflicts,
    document: DocumentState,
    counters: Counters,
    outputs: Vec<Output>,
    has_left: bool,
}

/// Lifecycle: creation, input of datagrams and timeouts, leaving.
impl Membership {
    /// Creates the state of a gateway that starts now with these facts and knows no other member. Its first timeout
    /// sends a request to a seed address at once.
    pub fn new(
        local: Node,
        facts: BTreeMap<String, String>,
        config: Config,
        seed: u64,
        now: Timestamp,
    ) -> Membership {
        let local = Node { incarnation: local.incarnation.min(MAX_INCARNATION), ..local };
        let shared_facts = Rc::new(RefCell::new(FactsTable::new(config.max_members)));
        let handler = FactsHandler { facts: shared_facts.clone(), local: local.addr() };
        let mut membership = Membership {
            cluster_hash: wire::cluster_hash(&config.cluster),
            swim: Swim::new(local.clone(), &config, seed, handler),
            clock: ProcessClock::new(now),
            timers: Timers::default(),
            rng: fastrand::Rng::with_seed(seed),
            facts: shared_facts,
            members: MemberTable::new(now),
            anti_entropy: AntiEntropy::new(now),
            disputes: Disputes::default(),
            rejoin: Rejoin::new(now),
            name_conflicts: NameConflicts::default(),
            document: DocumentState::new(now),
            counters: Counters::default(),
            outputs: Vec::new(),
            has_left: false,
            local,
            config,
        };
        membership.broadcast_facts(Facts { version: 1, values: facts });
        membership.update_members(&Observer::Local);
        membership.timers.set(now, Timer::Housekeeping);
        membership
    }

    /// Returns when `handle_timeout` must be called next, or `None` if no timer is set.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.timers.first_due().map(|due| self.clock.system_time(due))
    }

    /// Runs the timers that are due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.advance(now);
        while let Some(timer) = self.timers.pop_due(self.clock.now()) {
            match timer {
                Timer::Swim(timer) => {
                    self.swim.handle_timer(timer);
                    self.process_swim(&Observer::Local);
                }
                Timer::Housekeeping => self.housekeeping(),
            }
        }
    }

    /// Processes a received datagram. An unusable one is dropped and counted.
    pub fn handle_datagram(&mut self, now: Timestamp, datagram: &[u8]) {
        self.advance(now);
        self.counters.datagrams_received += 1;
        self.counters.bytes_received += datagram.len() as u64;
        if self.has_left {
            return;
        }
        if let Err(reason) = self.process_datagram(datagram) {
            self.counters.datagrams_dropped.add(reason);
        }
    }

    /// Announces that this gateway leaves, and stops: no timer runs and later datagrams are ignored.
    pub fn leave(&mut self, now: Timestamp) {
        self.announce(now, LEAVING, YES);
        self.swim.leave();
        self.send_swim_messages();
        self.has_left = true;
        self.timers.clear();
    }

    /// Returns the pending outputs in order and clears them.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    fn advance(&mut self, now: Timestamp) {
        self.clock.advance(now, self.timers.first_due(), self.config.probe_period);
    }
}

/// What this gateway announces about itself.
impl Membership {
    /// Announces a fact about this gateway to all members.
    pub fn announce(&mut self, now: Timestamp, fact: &str, value: &str) {
        self.advance(now);
        let mut facts = self.local_facts();
        if facts.set(fact, value) {
            self.broadcast_facts(facts);
            self.update_members(&Observer::Local);
        }
    }

    /// Sets the version of the fleet document that this gateway acts on. A later index is sent at once to a few
    /// members, which do the same when they act on it; all others learn it from regular datagrams.
    pub fn set_document_version(&mut self, now: Timestamp, version: DocumentVersion) {
        self.advance(now);
        let is_later = self.document.set_version(version, now);
        if is_later && self.document.take_rumour(self.clock.now(), self.config.probe_period) {
            self.send_rumours();
        }
    }

    /// Records a heartbeat of the fleet document's leader; later heartbeats have higher numbers. Other members learn it
    /// from regular datagrams.
    pub fn leader_heartbeat(&mut self, now: Timestamp, heartbeat: u64) {
        self.advance(now);
        self.document.record_heartbeat(heartbeat, now);
    }

    fn send_rumours(&mut self) {
        let others = self.members.active().map(|record| self.config.route(&record.node));
        let mut destinations: Vec<SocketAddr> = others.collect();
        self.rng.shuffle(&mut destinations);
        destinations.truncate(RUMOUR_FANOUT);
        for destination in destinations {
            // The envelope carries the version, so the payload is empty.
            self.send(destination, Kind::Rows, &[]);
        }
    }

    fn local_facts(&self) -> Facts {
        self.facts.borrow().latest(&self.local.addr()).cloned().unwrap_or_default()
    }

    fn broadcast_facts(&mut self, facts: Facts) {
        self.facts.borrow_mut().insert(self.local.addr(), self.local.incarnation, facts.clone());
        if let Some(broadcast) = encode_broadcast(&self.local, facts) {
            self.swim.broadcast(&broadcast);
        }
    }

    /// Switches to this incarnation, which must be later than all that other members know.
    fn renew(&mut self, incarnation: u64) {
        let node = Node { incarnation, ..self.local.clone() };
        if self.swim.change_identity(node.clone()) {
            self.identity_renewed(node);
        }
    }

    fn identity_renewed(&mut self, node: Node) {
        let mut facts = self.local_facts();
        facts.version += 1;
        self.local = node;
        self.broadcast_facts(facts);
        self.rejoin.schedule_now(self.clock.now());
        self.outputs.push(Output::IdentityRenewed(self.local.clone()));
    }
}

/// Queries about the fleet.
impl Membership {
    /// Returns this gateway's identity.
    pub fn local(&self) -> &Node {
        &self.local
    }

    /// Returns the view digest. Two gateways have the same digest if the same members are active in their views and
    /// have announced the same facts.
    pub fn digest(&self) -> u64 {
        self.members.digest()
    }

    /// Returns the number of members by state, this gateway included.
    pub fn member_counts(&self) -> MemberCounts {
        self.members.counts()
    }

    /// Returns the state of the last known incarnation of a member.
    pub fn member_state(&self, node: &Node) -> Option<MemberState> {
        self.members.get(&node.addr()).map(|record| record.state)
    }

    /// Returns the gateway numbers of the active members, this gateway included.
    pub fn gateway_numbers(&self) -> Vec<u32> {
        let facts = self.facts.borrow();
        let number = |node: &Node| facts.get(node)?.get(GATEWAY_NUMBER)?.parse().ok();
        self.active_nodes().filter_map(number).collect()
    }

    /// Returns the value of a fact that this incarnation of a member announced.
    pub fn fact(&self, node: &Node, fact: &str) -> Option<String> {
        self.facts.borrow().get(node)?.get(fact).map(str::to_string)
    }

    /// Returns the other active members with the versions of the fleet document that they act on.
    pub fn member_versions(&self) -> Vec<MemberVersion> {
        let facts = self.facts.borrow();
        let member_version = |record: &MemberRecord| MemberVersion {
            node: record.node.clone(),
            version: record.document_version,
            leaving: facts.is_leaving(&record.node),
        };
        self.members.active().map(member_version).collect()
    }

    /// Returns the time since the latest heartbeat of the document's leader was received, including stalls of this
    /// process.
    pub fn leader_heartbeat_age(&self, now: Timestamp) -> Duration {
        self.document.heartbeat_age(now)
    }

    /// Returns the number of members whose last view digest, if received recently, differs from this gateway's.
    pub fn disagreeing(&self) -> usize {
        self.members.disagreeing(self.clock.now(), self.config.probe_period)
    }

    /// Returns the counters since startup.
    pub fn counters(&self) -> Counters {
        Counters { stalls: self.clock.stalls(), ..self.counters }
    }

    /// Returns this gateway's full view of the fleet.
    pub fn view(&self) -> View {
        let snapshot = Snapshot {
            local: &self.local,
            document_version: self.document.version(),
            members: &self.members,
            facts: &self.facts.borrow(),
            name_conflicts: &self.name_conflicts,
            now: self.clock.now(),
            probe_period: self.config.probe_period,
        };
        snapshot.view()
    }

    fn active_nodes(&self) -> impl Iterator<Item = &Node> {
        std::iter::once(&self.local).chain(self.members.active().map(|record| &record.node))
    }
}

/// Processing of received datagrams.
impl Membership {
    fn process_datagram(&mut self, datagram: &[u8]) -> Result<(), DropReason> {
        let (envelope, payload) = Envelope::decode(datagram, self.cluster_hash)?;
        if envelope.sender == wire::identity_key(&self.local) {
            return Err(DropReason::OwnDatagram);
        }
        let sender =
            self.members.record_envelope(&envelope, self.clock.now()).map(|record| record.node.clone());
        let observer = sender.as_ref().map_or(Observer::Local, |node| Observer::Peer(node.name.clone()));
        match envelope.kind {
            Kind::Swim => self.handle_swim_message(payload, &observer)?,
            Kind::Pull => self.answer_exchange(payload)?,
            Kind::Rows => self.merge_rows(payload, &observer)?,
        }
        let system_now = self.clock.system_time(self.clock.now());
        self.document.record_peer_heartbeat(envelope.document_version, envelope.leader_heartbeat, system_now);
        if let Some(sender) = sender {
            self.request_exchange_if_diverged(&sender.addr(), envelope.view_digest);
        }
        Ok(())
    }

    fn handle_swim_message(&mut self, message: &[u8], observer: &Observer) -> Result<(), DropReason> {
        let is_nearly_full = self.members.len() + GOSSIP_FANOUT >= self.config.max_members;
        let is_known = |node: &Node| self.members.contains(&node.addr()) || node.addr() == self.local.addr();
        if is_nearly_full && !Swim::message_names_only(message, is_known) {
            return Err(DropReason::MemberTableFull);
        }
        let handled = self.swim.handle_message(message);
        self.process_swim(observer);
        handled
    }
}

/// Integration with SWIM, and sending.
impl Membership {
    /// Applies member states that `observer` reported.
    fn apply(&mut self, members: impl IntoIterator<Item = Member<Node>>, observer: &Observer) {
        self.swim.apply(members);
        self.process_swim(observer);
    }

    /// Handles SWIM's pending notifications, messages and timers, and updates the member table from its states.
    fn process_swim(&mut self, observer: &Observer) {
        while let Some(node) = self.swim.next_renewal() {
            self.identity_renewed(node);
        }
        self.update_members(observer);
        self.send_swim_messages();
        while let Some((delay, timer)) = self.swim.next_timer() {
            self.timers.set(self.clock.now() + delay, Timer::Swim(timer));
        }
    }

    fn update_members(&mut self, observer: &Observer) {
        let swim_changed = self.members.take_swim_change(self.swim.members());
        let facts_changed = self.facts.borrow_mut().take_changed();
        if !swim_changed && !facts_changed {
            return;
        }
        let (now, facts) = (self.clock.now(), self.facts.borrow());
        for change in self.members.update(self.swim.members(), &facts, observer, now) {
            self.counters.suspicions += u64::from(change.state == MemberState::Suspect);
            self.outputs.push(Output::MemberChanged(change));
        }
        if self.members.forget_removed(self.swim.members()) {
            let members = &self.members;
            self.disputes.retain(|address| members.contains(address));
        }
        self.members.update_digest(&self.local, &facts, now);
        drop(facts);
        self.swim.resize(&self.config, self.members.counts().active);
    }

    fn send_swim_messages(&mut self) {
        while let Some((node, message)) = self.swim.next_message() {
            self.send(self.config.route(&node), Kind::Swim, &message);
        }
    }

    fn send(&mut self, destination: SocketAddr, kind: Kind, payload: &[u8]) {
        let envelope = Envelope {
            kind,
            cluster: self.cluster_hash,
            sender: wire::identity_key(&self.local),
            view_digest: self.members.digest(),
            document_version: self.document.version(),
            leader_heartbeat: self.document.leader_heartbeat(),
        };
        let datagram = envelope.encode(payload);
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += datagram.len() as u64;
        self.outputs.push(Output::Send { destination, datagram });
    }
}
