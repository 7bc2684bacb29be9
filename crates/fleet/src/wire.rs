//! The wire format of the datagrams between gateways: an envelope and a payload, which is a SWIM message or part of the
//! anti-entropy exchange.
//!
//! The layout of the envelope, in big-endian byte order:
//!
//! | bytes | field |
//! | --- | --- |
//! | 0..2 | "LF" |
//! | 2 | version |
//! | 3 | kind |
//! | 4..12 | the hash of the fleet's name |
//! | 12..20 | the key of the sender's identity |
//! | 20..28 | the digest of the sender's view |
//! | 28..52 | the version of the fleet document that the sender acts on: document, index, digest |
//! | 52..60 | the latest heartbeat of the document's leader that the sender knows |
//! | 60..62 | the length of the payload |
//!
//! The envelope holds no secret, so anyone who can send to a gateway's fleet address can forge a datagram.
//! docs/fleet.md describes the bounds of what a forged one can do.

use crate::facts::Facts;
use crate::node::Node;
use crate::replication::replica::DocumentVersion;
use foca::Member;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The maximum length of a sent or accepted datagram, in bytes. Usual network paths don't fragment this length.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The length of the envelope, in bytes.
pub const ENVELOPE_BYTES: usize = 62;
/// The maximum length of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;

const MAGIC: [u8; 2] = *b"LF";
const VERSION: u8 = 2;
const VERSION_OFFSET: usize = 2;
const KIND_OFFSET: usize = 3;
const CLUSTER_OFFSET: usize = 4;
const SENDER_OFFSET: usize = 12;
const VIEW_DIGEST_OFFSET: usize = 20;
const DOCUMENT_OFFSET: usize = 28;
const DOCUMENT_INDEX_OFFSET: usize = 36;
const DOCUMENT_DIGEST_OFFSET: usize = 44;
const LEADER_HEARTBEAT_OFFSET: usize = 52;
const PAYLOAD_LENGTH_OFFSET: usize = 60;

/// The kind of a datagram's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A SWIM message.
    Swim = 0,
    /// A request for all rows; the payload is the sender's identity.
    Pull = 1,
    /// Rows of the sender's member table. There may be none, where only the envelope carries information.
    Rows = 2,
}

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is shorter than the envelope or longer than the maximum.
    #[error("the datagram has {0} bytes, which is shorter than the envelope or longer than the maximum")]
    Length(usize),
    /// The datagram does not start with the magic bytes.
    #[error("the datagram does not start with the magic bytes")]
    Magic,
    /// The datagram was sent by a member of another fleet.
    #[error("the datagram belongs to another fleet")]
    OtherCluster,
    /// This build does not support the datagram's protocol version.
    #[error("protocol version {0} is not supported")]
    UnsupportedVersion(u8),
    /// This build does not know the datagram's kind.
    #[error("datagram kind {0} is unknown")]
    UnknownKind(u8),
    /// The payload's length differs from that in the envelope.
    #[error("the payload has {found} bytes, but the envelope declares {expected}")]
    PayloadLength {
        /// The length in the envelope.
        expected: usize,
        /// The actual length.
        found: usize,
    },
    /// A row could not be decoded.
    #[error("a row could not be decoded")]
    Row,
    /// A row's node or facts exceed a limit, contain control characters, or the node's name is empty.
    #[error("a row's node or facts are invalid")]
    InvalidRow,
}

/// The header that precedes a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The kind of the payload.
    pub kind: Kind,
    /// The hash of the fleet's name.
    pub cluster: u64,
    /// The key of the sender's identity.
    pub sender: u64,
    /// The digest of the sender's view.
    pub view_digest: u64,
    /// The version of the fleet document that the sender acts on.
    pub document_version: DocumentVersion,
    /// The latest heartbeat of that document's leader that the sender knows; later heartbeats have higher numbers.
    pub leader_heartbeat: u64,
}

/// A member as sent in the anti-entropy exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The member's identity and SWIM state.
    pub member: Member<Node>,
    /// The facts that the member announced, if they are known.
    pub facts: Option<Facts>,
}

/// Returns the hash of a fleet's name.
pub fn cluster_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the key of an identity, which is a hash of its name, address and incarnation.
pub fn identity_key(node: &Node) -> u64 {
    let identity = (&node.name, node.address, node.incarnation);
    // Encoding strings and numbers can't fail.
    postcard::to_allocvec(&identity).map_or(0, |bytes| xxh3_64(&bytes))
}

impl Kind {
    fn decode(byte: u8) -> Result<Kind, DecodeError> {
        match byte {
            0 => Ok(Kind::Swim),
            1 => Ok(Kind::Pull),
            2 => Ok(Kind::Rows),
            unknown => Err(DecodeError::UnknownKind(unknown)),
        }
    }
}

impl Envelope {
    /// Encodes a datagram with this envelope and payload.
    pub fn encode(&self, payload: &[u8]) -> Vec<u8> {
        let DocumentVersion { document, index, digest } = self.document_version;
        let fields =
            [self.cluster, self.sender, self.view_digest, document, index, digest, self.leader_heartbeat];
        let mut bytes = Vec::with_capacity(ENVELOPE_BYTES + payload.len());
        bytes.extend(MAGIC);
        bytes.extend([VERSION, self.kind as u8]);
        fields.iter().for_each(|field| bytes.extend(field.to_be_bytes()));
        bytes.extend((payload.len() as u16).to_be_bytes());
        bytes.extend(payload);
        bytes
    }

    /// Decodes the envelope of a datagram of this fleet, and returns it with the payload.
    pub fn decode(bytes: &[u8], own_cluster: u64) -> Result<(Envelope, &[u8]), DecodeError> {
        if bytes.len() < ENVELOPE_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Length(bytes.len()));
        }
        if !bytes.starts_with(&MAGIC) {
            return Err(DecodeError::Magic);
        }
        let cluster = read_u64(bytes, CLUSTER_OFFSET);
        if cluster != own_cluster {
            return Err(DecodeError::OtherCluster);
        }
        if bytes[VERSION_OFFSET] != VERSION {
            return Err(DecodeError::UnsupportedVersion(bytes[VERSION_OFFSET]));
        }
        let envelope = Envelope {
            kind: Kind::decode(bytes[KIND_OFFSET])?,
            cluster,
            sender: read_u64(bytes, SENDER_OFFSET),
            view_digest: read_u64(bytes, VIEW_DIGEST_OFFSET),
            document_version: DocumentVersion {
                document: read_u64(bytes, DOCUMENT_OFFSET),
                index: read_u64(bytes, DOCUMENT_INDEX_OFFSET),
                digest: read_u64(bytes, DOCUMENT_DIGEST_OFFSET),
            },
            leader_heartbeat: read_u64(bytes, LEADER_HEARTBEAT_OFFSET),
        };
        let payload = &bytes[ENVELOPE_BYTES..];
        let length = [bytes[PAYLOAD_LENGTH_OFFSET], bytes[PAYLOAD_LENGTH_OFFSET + 1]];
        let expected = usize::from(u16::from_be_bytes(length));
        if payload.len() != expected {
            return Err(DecodeError::PayloadLength { expected, found: payload.len() });
        }
        Ok((envelope, payload))
    }
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut field = [0; 8];
    field.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_be_bytes(field)
}

/// Encodes rows into payloads, with as many rows in each as fit. A row longer than a payload is omitted.
pub fn encode_rows(rows: impl Iterator<Item = Row>) -> Vec<Vec<u8>> {
    let mut payloads: Vec<Vec<u8>> = Vec::new();
    for row in rows {
        let Ok(bytes) = postcard::to_allocvec(&row) else { continue };
        match payloads.last_mut().filter(|last| last.len() + bytes.len() <= MAX_PAYLOAD_BYTES) {
            Some(last) => last.extend(bytes),
            None if bytes.len() <= MAX_PAYLOAD_BYTES => payloads.push(bytes),
            None => {}
        }
    }
    payloads
}

/// Decodes all rows of a payload, or returns an error if any row is invalid.
pub fn decode_rows(mut payload: &[u8]) -> Result<Vec<Row>, DecodeError> {
    let mut rows = Vec::new();
    while !payload.is_empty() {
        let (row, rest) = postcard::take_from_bytes::<Row>(payload).map_err(|_| DecodeError::Row)?;
        if !row.member.id().is_valid() || !row.facts.as_ref().is_none_or(Facts::is_valid) {
            return Err(DecodeError::InvalidRow);
        }
        rows.push(row);
        payload = rest;
    }
    Ok(rows)
}
