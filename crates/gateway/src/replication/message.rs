//! Defines the paths and bodies of calls between gateways. The names on the wire are those of the first release.

use lanespan_fleet::replication::document::{Document, FencingToken, Verdict, VOTERS_SECTION};
use lanespan_fleet::replication::replica::CatchUp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The path for Raft messages between voters. The body is a `Vec<RaftMessage>` in postcard.
pub const RAFT_MESSAGES_PATH: &str = "/plan/letters";
/// The path of a gateway's handshake. The response is a [`VoterHandshake`] in JSON.
pub const HANDSHAKE_PATH: &str = "/plan/hello";
/// The path of catch-ups for followers. The response is a [`CatchUpResponse`] in postcard.
pub const CATCH_UP_PATH: &str = "/plan/news";
/// The query parameter of [`CATCH_UP_PATH`]: the follower's index, or [`NO_DOCUMENT`].
pub const AFTER_PARAMETER: &str = "after=";
/// The path for proposals. The body is a `Proposal` and the response a [`Reply`], both in JSON.
pub const PROPOSE_PATH: &str = "/plan/propose";
/// The path for lease renewals. The body is a [`RenewalRequest`] and the response a [`Reply`], both in JSON.
pub const RENEW_PATH: &str = "/plan/renew";

/// The index of a follower that has no document yet.
pub const NO_DOCUMENT: i64 = -1;

/// The value of a voter's item in the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterItem {
    /// The voter's id, which is that of its store.
    pub id: u64,
    /// The address at which other gateways call the voter.
    pub address: SocketAddr,
    /// The voter's zone.
    pub zone: String,
}

/// Returns the voters that a document lists, by name. Items that can't be parsed are left out.
pub fn voters_of(document: &Document) -> BTreeMap<String, VoterItem> {
    let items = document.sections.get(VOTERS_SECTION).into_iter().flatten();
    items.filter_map(|(name, item)| Some((name.clone(), serde_json::from_str(&item.value).ok()?))).collect()
}

/// A gateway's identity as a voter, and the voters that it knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoterHandshake {
    /// The gateway's name.
    pub name: String,
    /// The id of the gateway's store; 0: it has none.
    pub id: u64,
    /// The id of the gateway's document; 0: it has none.
    #[serde(rename = "plan")]
    pub document: u64,
    /// The store ids of the voters that the gateway's replica of the document lists, by name.
    pub voters: BTreeMap<String, u64>,
}

/// A lease holder's request to renew the lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// The role.
    #[serde(rename = "duty")]
    pub role: String,
    /// The fencing token of the lease.
    pub token: FencingToken,
}

/// A voter's name and address, serialized as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, SocketAddr)", into = "(String, SocketAddr)")]
pub struct VoterAddress {
    /// The voter's name.
    pub name: String,
    /// The voter's address.
    pub address: SocketAddr,
}

impl From<(String, SocketAddr)> for VoterAddress {
    fn from((name, address): (String, SocketAddr)) -> VoterAddress {
        VoterAddress { name, address }
    }
}

impl From<VoterAddress> for (String, SocketAddr) {
    fn from(voter: VoterAddress) -> (String, SocketAddr) {
        (voter.name, voter.address)
    }
}

/// A gateway's reply to a proposal or a renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The proposal was decided with this verdict.
    Decided(Verdict),
    /// Holds whether the lease was renewed.
    Renewed(bool),
    /// This gateway does not lead. Holds the leader, if it is known.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<VoterAddress>),
    /// Too many requests are pending, or another change of voters is in progress.
    Busy,
    /// The proposal with this id was not decided in time, but may still be decided. If it is sent again with the same
    /// id, it is applied once.
    #[serde(rename = "Open")]
    Undecided(u64),
    /// The request is invalid, for this reason.
    #[serde(rename = "Wrong")]
    Invalid(String),
}

/// An operator's request to change the voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoterChangeRequest {
    /// The voter's name.
    pub name: String,
    /// The address of a voter to add; `None`: the voter is removed.
    pub address: Option<SocketAddr>,
    /// The zone of a voter to add.
    pub zone: String,
    /// The reason for the change.
    pub reason: String,
}

/// A peer's response with the entries or the document that a follower lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatchUpResponse {
    /// The id of the peer's document; 0: it has none.
    pub document: u64,
    /// The catch-up; `None`: the peer has nothing that the follower lacks.
    pub catch_up: Option<CatchUp>,
}
