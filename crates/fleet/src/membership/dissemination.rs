//! Stores the facts that members announce about themselves, and broadcasts them on SWIM messages.

use super::codec::MAX_INCARNATION;
use crate::facts::{Facts, LEAVING, YES};
use crate::node::{Address, Node};
use foca::{BroadcastHandler, Identity, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The facts announced by one incarnation.
struct FactsRecord {
    incarnation: u64,
    facts: Facts,
}

/// The latest facts of each member.
pub(super) struct FactsTable {
    records: HashMap<Address, FactsRecord>,
    max_members: usize,
    changed: bool,
}

/// The facts table, shared by SWIM's broadcast handler and the membership state machine.
pub(super) type SharedFacts = Rc<RefCell<FactsTable>>;

impl FactsTable {
    pub(super) fn new(max_members: usize) -> FactsTable {
        FactsTable { records: HashMap::new(), max_members, changed: false }
    }

    /// Stores a member's facts if they are valid, newer than those stored, and the table has capacity. Returns whether
    /// they were stored.
    pub(super) fn insert_if_newer(&mut self, address: Address, incarnation: u64, facts: Facts) -> bool {
        let stored = self.records.get(&address).map(|record| (record.incarnation, record.facts.version));
        let is_newer = stored.is_none_or(|stored| (incarnation, facts.version) > stored);
        let has_capacity = stored.is_some() || self.records.len() < self.max_members;
        if !is_newer || !has_capacity || !facts.is_valid() || incarnation > MAX_INCARNATION {
            return false;
        }
        self.insert(address, incarnation, facts);
        true
    }

    /// Stores facts unconditionally. Used for this gateway's own facts, which a full table must not reject.
    pub(super) fn insert(&mut self, address: Address, incarnation: u64, facts: Facts) {
        self.records.insert(address, FactsRecord { incarnation, facts });
        self.changed = true;
    }

    /// Returns the facts announced by this incarnation.
    pub(super) fn get(&self, node: &Node) -> Option<&Facts> {
        let record = self.records.get(&node.addr())?;
        (record.incarnation == node.incarnation).then_some(&record.facts)
    }

    /// Returns the latest facts at this address, from any incarnation.
    pub(super) fn latest(&self, address: &Address) -> Option<&Facts> {
        self.records.get(address).map(|record| &record.facts)
    }

    /// Returns the version of this incarnation's facts, or 0 if it announced none.
    pub(super) fn version(&self, node: &Node) -> u32 {
        self.get(node).map_or(0, |facts| facts.version)
    }

    /// Returns whether this incarnation announced that it is about to leave.
    pub(super) fn is_leaving(&self, node: &Node) -> bool {
        self.get(node).and_then(|facts| facts.get(LEAVING)) == Some(YES)
    }

    /// Keeps only the facts of the members for which `is_member` returns true.
    pub(super) fn retain(&mut self, is_member: impl Fn(&Address) -> bool) {
        self.records.retain(|address, _| is_member(address));
    }

    /// Returns whether facts changed since the last call.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}

/// The encoded form of broadcast facts.
#[derive(Serialize, Deserialize)]
struct FactsBroadcast {
    address: (String, SocketAddr),
    incarnation: u64,
    facts: Facts,
}

/// Encodes a node's facts for broadcast. Returns `None` if encoding fails.
pub(super) fn encode_broadcast(node: &Node, facts: Facts) -> Option<Vec<u8>> {
    let address = (node.name.clone(), node.address);
    postcard::to_allocvec(&FactsBroadcast { address, incarnation: node.incarnation, facts }).ok()
}

/// Identifies the member whose facts a broadcast contains. A newer broadcast with the same key replaces the older one.
pub(super) struct BroadcastKey(Address);

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &BroadcastKey) -> bool {
        self.0 == other.0
    }
}

/// Stores received facts and lets SWIM forward those that are new.
pub(super) struct FactsHandler {
    pub(super) facts: SharedFacts,
    pub(super) local: Address,
}

impl BroadcastHandler<Node> for FactsHandler {
    type Key = BroadcastKey;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        sender: Option<&Node>,
    ) -> Result<Option<BroadcastKey>, postcard::Error> {
        let FactsBroadcast { address: (name, socket), incarnation, facts } = postcard::from_bytes(data)?;
        let address = Address::new(&name, socket);
        // Announcements of this gateway itself have no sender. Those about this gateway that arrive from other members
        // are ignored: they are of an earlier incarnation, repeat the current facts, or are forged.
        let is_own_announcement = sender.is_none();
        if !is_own_announcement && address == self.local {
            return Ok(None);
        }
        let is_new = self.facts.borrow_mut().insert_if_newer(address, incarnation, facts);
        Ok((is_new || is_own_announcement).then_some(BroadcastKey(address)))
    }
}
