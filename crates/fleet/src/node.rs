//! The identity of a gateway among the members of a fleet.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum length of a name, zone or build, in bytes.
pub const MAX_LABEL_BYTES: usize = 64;

/// The identity of one incarnation of a gateway. Identities are ordered by their fields in the order of declaration.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Node {
    /// The gateway's name, which stays the same after a restart.
    pub name: String,
    /// The advertised address. A gateway's address map can replace it by the one at which that gateway reaches it.
    pub address: SocketAddr,
    /// When this incarnation started, in microseconds of Unix time, or one more than the highest incarnation known to
    /// other members. Of two identities with the same name and address, the one with the higher incarnation is later.
    pub incarnation: u64,
    /// The gateway's zone.
    pub zone: String,
    /// The build that the gateway runs.
    pub build: String,
}

impl Node {
    /// Returns whether the name is not empty, and all labels are within the length limit for storing and forwarding
    /// them and have no control characters.
    pub fn is_valid(&self) -> bool {
        let labels = [&self.name, &self.zone, &self.build];
        !self.name.is_empty() && labels.into_iter().all(|label| is_short_text(label, MAX_LABEL_BYTES))
    }

    /// Returns the sort key by which the latest of several members with the same name is found.
    pub(crate) fn recency(&self) -> (u64, SocketAddr) {
        (self.incarnation, self.address)
    }
}

/// Returns whether a text has at most `max_bytes` bytes and no control characters.
pub(crate) fn is_short_text(text: &str, max_bytes: usize) -> bool {
    text.len() <= max_bytes && !text.chars().any(char::is_control)
}

/// The part of an identity that is the same for all incarnations of a gateway: its socket address and name. The name is
/// stored as a hash, because foca compares an address with those of all members for each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Address {
    socket: SocketAddr,
    name_hash: u64,
}

impl Address {
    /// Creates the address of the gateway with this name at this socket address.
    pub fn new(name: &str, socket: SocketAddr) -> Address {
        Address { socket, name_hash: xxh3_64(name.as_bytes()) }
    }
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}#{}", self.name, self.address, self.incarnation)
    }
}

impl foca::Identity for Node {
    /// Two processes with the same name at different socket addresses are two members, so that they don't declare each
    /// other down endlessly. The view shows which of them owns the name.
    type Addr = Address;

    fn renew(&self) -> Option<Node> {
        Some(Node { incarnation: self.incarnation.saturating_add(1), ..self.clone() })
    }
    fn addr(&self) -> Address {
        Address::new(&self.name, self.address)
    }
    fn win_addr_conflict(&self, other: &Node) -> bool {
        // Name and address are equal here, so the incarnation decides.
        self > other
    }
}
