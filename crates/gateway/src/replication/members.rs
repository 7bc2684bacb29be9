//! Defines the part of the fleet's membership that replication uses.

use crate::fleet::Fleet;
pub use lanespan_fleet::membership::MemberVersion;
use lanespan_fleet::node::Node;
use lanespan_fleet::replication::lease::Candidate;
use lanespan_fleet::replication::replica::DocumentVersion;
use lanespan_fleet::time::{micros, Timestamp};
use std::net::SocketAddr;

/// Fleet membership, as replication uses it.
pub trait FleetMembers {
    /// Returns this gateway's name and incarnation.
    fn me(&self) -> Candidate;
    /// Advertises the address at which this gateway serves the document.
    fn advertise_address(&self, address: SocketAddr);
    /// Announces the version that this gateway acts on.
    fn set_document_version(&self, version: DocumentVersion);
    /// Returns the other gateways with the versions that they act on.
    fn member_versions(&self) -> Vec<MemberVersion>;
    /// Returns the address at which another gateway serves the document.
    fn address_of(&self, node: &Node) -> Option<SocketAddr>;
    /// Spreads a heartbeat of this gateway, which a majority confirmed as the leader.
    fn spread_leader_heartbeat(&self, heartbeat: u64);
    /// Returns the time since the last heartbeat of a leader was received, in microseconds.
    fn leader_heartbeat_age(&self, now: u64) -> u64;
}

impl FleetMembers for Fleet {
    fn me(&self) -> Candidate {
        let Node { name, incarnation, .. } = self.local();
        Candidate { name, incarnation }
    }

    fn advertise_address(&self, address: SocketAddr) {
        self.announce_document_address(address);
    }

    fn set_document_version(&self, version: DocumentVersion) {
        Fleet::set_document_version(self, version);
    }

    fn member_versions(&self) -> Vec<MemberVersion> {
        Fleet::member_versions(self)
    }

    fn address_of(&self, node: &Node) -> Option<SocketAddr> {
        self.document_address(node)
    }

    fn spread_leader_heartbeat(&self, heartbeat: u64) {
        self.announce_leader_heartbeat(heartbeat);
    }

    fn leader_heartbeat_age(&self, now: u64) -> u64 {
        micros(Fleet::leader_heartbeat_age(self, Timestamp::from_micros(now)))
    }
}
