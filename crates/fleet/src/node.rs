//! A gateway's identity among the others, and what it tells of itself.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The longest name, zone or build, in bytes.
pub const LONGEST_WORD: usize = 64;
/// The most facts that one gateway tells, and the longest value, in bytes.
pub const MOST_FACTS: usize = 16;
/// The longest value of a fact, in bytes.
pub const LONGEST_VALUE: usize = 64;

/// One life of a gateway.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Node {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where the others reach it, unless they are told another address for this name.
    pub address: SocketAddr,
    /// When this life began, in microseconds of Unix time, or one more than the highest that others knew. The
    /// higher one of the same name and address is the later.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// The build it runs.
    pub build: String,
}

impl Node {
    /// Whether its words are there and short enough to be kept and passed on.
    pub fn is_sound(&self) -> bool {
        let short = |word: &str| word.len() <= LONGEST_WORD && !word.chars().any(char::is_control);
        !self.name.is_empty() && [&self.name, &self.zone, &self.build].into_iter().all(|word| short(word))
    }
}

/// What stays the same over a gateway's lives: where it is reached, and its name, as a hash, since foca compares these
/// with each of its members at each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Address {
    at: SocketAddr,
    name: u64,
}

impl Address {
    /// That of a name which is reached here.
    pub fn of(name: &str, at: SocketAddr) -> Address {
        Address { at, name: xxh3_64(name.as_bytes()) }
    }
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}#{}", self.name, self.address, self.incarnation)
    }
}

impl foca::Identity for Node {
    /// Two processes of one name are two members, so that neither declares the other down in turn without end; the
    /// view tells which of them has the name.
    type Addr = Address;

    fn renew(&self) -> Option<Node> {
        Some(Node { incarnation: self.incarnation.saturating_add(1), ..self.clone() })
    }
    fn addr(&self) -> Address {
        Address::of(&self.name, self.address)
    }
    fn win_addr_conflict(&self, other: &Node) -> bool {
        // The fields stand in this order: name and address are the same.
        self > other
    }
}

/// What a gateway tells of itself to all, by name: few and short, and changing seldom.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Raised with each change.
    pub version: u32,
    /// The facts.
    pub told: BTreeMap<String, String>,
}

impl Facts {
    /// Whether they are few and short enough.
    pub fn are_sound(&self) -> bool {
        let short = |word: &str, most: usize| word.len() <= most && !word.chars().any(char::is_control);
        self.told.len() <= MOST_FACTS
            && self.told.iter().all(|(key, value)| short(key, LONGEST_WORD) && short(value, LONGEST_VALUE))
    }
}

/// The fact that holds a gateway's number among all, from 0, as the settings tell it.
pub const NUMBER: &str = "number";
/// The fact that says whether the list of backends is in hand.
pub const READY: &str = "ready";
/// The fact that holds the revision of the list of backends in hand.
pub const LIST: &str = "list";
/// The fact that holds a digest of the configuration in force.
pub const FILE: &str = "file";
/// The fact that holds where others fetch the fleet plan.
pub const PLAN_AT: &str = "plan";
/// The fact of a gateway that is about to leave.
pub const LEAVING: &str = "leaving";
/// The value of what is so.
pub const YES: &str = "yes";
