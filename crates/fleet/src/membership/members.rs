//! The member table: the state of each other member, updated from SWIM's states.

use super::dissemination::FactsTable;
use crate::node::{Address, Node};
use crate::replication::replica::DocumentVersion;
use crate::time::Timestamp;
use crate::view::{MemberChange, MemberCounts, MemberState, Observer};
use crate::wire::{self, Envelope};
use foca::{Identity, Member, State};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// How long a received digest stays valid, in probe periods.
const DIGEST_MAX_AGE_PROBE_PERIODS: u32 = 10;

/// A view digest that a member sent.
#[derive(Clone, Copy)]
pub(super) struct ReceivedDigest {
    pub(super) digest: u64,
    pub(super) at: Timestamp,
}

/// The state of one other member.
pub(super) struct MemberRecord {
    pub(super) node: Node,
    /// The key of its identity, by which its datagrams identify it.
    key: u64,
    pub(super) state: MemberState,
    pub(super) observer: Observer,
    /// When it entered this state.
    pub(super) changed_at: Timestamp,
    /// The last view digest that it sent.
    pub(super) last_digest: Option<ReceivedDigest>,
    /// The version of the fleet document that it acts on, as last received.
    pub(super) document_version: DocumentVersion,
}

/// All other members, and the digest of the view.
pub(super) struct MemberTable {
    by_address: BTreeMap<Address, MemberRecord>,
    address_by_key: HashMap<u64, Address>,
    /// The fingerprint of SWIM's states at the last call of `take_swim_change`.
    swim_fingerprint: u64,
    /// The digest of the active members and the versions of their facts.
    digest: u64,
    /// Incremented with each change of the digest.
    version: u64,
    changed_at: Timestamp,
}

impl MemberTable {
    pub(super) fn new(now: Timestamp) -> MemberTable {
        MemberTable {
            by_address: BTreeMap::new(),
            address_by_key: HashMap::new(),
            swim_fingerprint: 0,
            digest: 0,
            version: 0,
            changed_at: now,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_address.len()
    }

    /// Returns the number of members, including this gateway and those that left or died.
    pub(super) fn fleet_size(&self) -> usize {
        self.len() + 1
    }

    pub(super) fn contains(&self, address: &Address) -> bool {
        self.by_address.contains_key(address)
    }

    pub(super) fn get(&self, address: &Address) -> Option<&MemberRecord> {
        self.by_address.get(address)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.by_address.values()
    }

    /// Returns the members that are alive or suspect.
    pub(super) fn active(&self) -> impl Iterator<Item = &MemberRecord> {
        self.iter().filter(|record| record.state.is_active())
    }

    /// Returns the number of members by state, this gateway included.
    pub(super) fn counts(&self) -> MemberCounts {
        let active = self.active().count();
        let suspect = self.iter().filter(|record| record.state == MemberState::Suspect).count();
        MemberCounts { active: active + 1, suspect, gone: self.len() - active }
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns when the digest last changed.
    pub(super) fn changed_at(&self) -> Timestamp {
        self.changed_at
    }

    /// Records the digest and document version from a member's envelope. Returns the member's record if it is known.
    pub(super) fn record_envelope(&mut self, envelope: &Envelope, now: Timestamp) -> Option<&MemberRecord> {
        let address = self.address_by_key.get(&envelope.sender)?;
        let record = self.by_address.get_mut(address)?;
        record.last_digest = Some(ReceivedDigest { digest: envelope.view_digest, at: now });
        // Datagrams can arrive out of order, so an earlier index of the same document is ignored.
        let (received, recorded) = (envelope.document_version, record.document_version);
        if received.document != recorded.document || received.index >= recorded.index {
            record.document_version = received;
        }
        Some(record)
    }

    /// Returns whether a member has the same view, or `None` if it is not active, or has sent no digest since this view
    /// last changed or within the maximum age.
    pub(super) fn agrees(
        &self,
        record: &MemberRecord,
        now: Timestamp,
        probe_period: Duration,
    ) -> Option<bool> {
        let max_age = probe_period * DIGEST_MAX_AGE_PROBE_PERIODS;
        let is_current = |at: Timestamp| at >= self.changed_at && at + max_age >= now;
        let received = record.last_digest.filter(|received| is_current(received.at))?;
        record.state.is_active().then_some(received.digest == self.digest)
    }

    /// Returns the number of members whose last digest is recent and differs.
    pub(super) fn disagreeing(&self, now: Timestamp, probe_period: Duration) -> usize {
        self.iter().filter(|record| self.agrees(record, now, probe_period) == Some(false)).count()
    }

    /// Returns whether SWIM's states changed since the last call.
    pub(super) fn take_swim_change<'a>(&mut self, swim: impl Iterator<Item = &'a Member<Node>>) -> bool {
        let fingerprint = swim_fingerprint(swim);
        std::mem::replace(&mut self.swim_fingerprint, fingerprint) != fingerprint
    }

    /// Updates the table from SWIM's states and returns the changes.
    pub(super) fn update<'a>(
        &mut self,
        swim: impl Iterator<Item = &'a Member<Node>>,
        facts: &FactsTable,
        observer: &Observer,
        now: Timestamp,
    ) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for member in swim {
            let node = member.id();
            let state = match member.state() {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Down if facts.is_leaving(node) => MemberState::Left,
                State::Down => MemberState::Dead,
            };
            let known = self.by_address.get(&node.addr());
            if known.is_some_and(|known| known.node == *node && known.state == state) {
                continue;
            }
            let previous = known.map(|known| known.state);
            // A member that was already gone when it became known is not reported as a change.
            if previous.is_some() || state.is_active() {
                changes.push(MemberChange {
                    node: node.clone(),
                    previous,
                    state,
                    observer: observer.clone(),
                });
            }
            self.insert(node, state, observer, now);
        }
        changes
    }

    fn insert(&mut self, node: &Node, state: MemberState, observer: &Observer, now: Timestamp) {
        let key = wire::identity_key(node);
        let record = MemberRecord {
            node: node.clone(),
            key,
            state,
            observer: observer.clone(),
            changed_at: now,
            last_digest: None,
            document_version: DocumentVersion::default(),
        };
        self.address_by_key.insert(key, node.addr());
        let replaced = self.by_address.insert(node.addr(), record);
        if let Some(replaced) = replaced.filter(|replaced| replaced.key != key) {
            self.address_by_key.remove(&replaced.key);
        }
    }

    /// Removes the members that SWIM no longer remembers. Returns whether there were any.
    pub(super) fn forget_removed<'a>(
        &mut self,
        swim: impl ExactSizeIterator<Item = &'a Member<Node>>,
    ) -> bool {
        if self.len() <= swim.len() {
            return false;
        }
        let remembered: HashSet<Address> = swim.map(|member| member.id().addr()).collect();
        self.by_address.retain(|address, _| remembered.contains(address));
        self.address_by_key.retain(|_, address| remembered.contains(address));
        true
    }

    /// Recomputes the digest of the view.
    pub(super) fn update_digest(&mut self, local: &Node, facts: &FactsTable, now: Timestamp) {
        let digest = self.compute_digest(local, facts);
        if digest != self.digest {
            self.digest = digest;
            self.version += 1;
            self.changed_at = now;
        }
    }

    fn compute_digest(&self, local: &Node, facts: &FactsTable) -> u64 {
        let others = self.active().map(|record| (record.key, facts.version(&record.node)));
        let own = (wire::identity_key(local), facts.version(local));
        let mut active: Vec<(u64, u32)> = others.chain([own]).collect();
        active.sort_unstable();
        let mut hash = Xxh3::new();
        for (key, facts_version) in active {
            hash.update(&key.to_be_bytes());
            hash.update(&facts_version.to_be_bytes());
        }
        hash.digest()
    }
}

/// Returns the sum of the hashes of all members' states. The sum does not depend on their order, and simultaneous
/// changes do not cancel each other out.
fn swim_fingerprint<'a>(swim: impl Iterator<Item = &'a Member<Node>>) -> u64 {
    swim.fold(0, |sum: u64, member| {
        let (node, state) = (member.id(), member.state() as u64);
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&node.incarnation.to_be_bytes());
        bytes[8..].copy_from_slice(&(u64::from(node.address.port()) << 2 | state).to_be_bytes());
        sum.wrapping_add(xxh3_64(&bytes))
    })
}
