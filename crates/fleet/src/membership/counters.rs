//! Counters of membership, and the reasons for dropping datagrams.

use crate::wire::DecodeError;

/// Why a datagram was dropped. Drops are counted by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DropReason {
    /// The datagram does not have the fleet's format, or its contents are invalid.
    #[error("the datagram is malformed")]
    Malformed,
    /// The datagram was sent by a member of another fleet.
    #[error("the datagram belongs to another fleet")]
    OtherCluster,
    /// This build does not support the datagram's protocol version.
    #[error("the datagram's protocol version is not supported")]
    UnsupportedVersion,
    /// The datagram contains new members, and the member table is full.
    #[error("the member table is full")]
    MemberTableFull,
    /// The datagram requests rows, and the limit of answers is used up.
    #[error("rows are requested too often")]
    RateLimited,
    /// This gateway sent the datagram itself.
    #[error("this gateway sent the datagram itself")]
    OwnDatagram,
}

impl DropReason {
    /// All reasons, in the order of their discriminants, by which `DropCounts` is indexed.
    pub const ALL: [DropReason; 6] = [
        DropReason::Malformed,
        DropReason::OtherCluster,
        DropReason::UnsupportedVersion,
        DropReason::MemberTableFull,
        DropReason::RateLimited,
        DropReason::OwnDatagram,
    ];

    /// Returns the reason's label in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            DropReason::Malformed => "malformed",
            DropReason::OtherCluster => "other_cluster",
            DropReason::UnsupportedVersion => "other_version",
            DropReason::MemberTableFull => "full",
            DropReason::RateLimited => "too_often",
            DropReason::OwnDatagram => "own",
        }
    }
}

impl From<DecodeError> for DropReason {
    fn from(error: DecodeError) -> DropReason {
        match error {
            DecodeError::OtherCluster => DropReason::OtherCluster,
            DecodeError::UnsupportedVersion(_) => DropReason::UnsupportedVersion,
            DecodeError::Length(_)
            | DecodeError::Magic
            | DecodeError::UnknownKind(_)
            | DecodeError::PayloadLength { .. }
            | DecodeError::Row
            | DecodeError::InvalidRow => DropReason::Malformed,
        }
    }
}

/// The number of dropped datagrams by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts([u64; DropReason::ALL.len()]);

impl DropCounts {
    /// Returns the number of datagrams dropped for this reason.
    pub fn get(&self, reason: DropReason) -> u64 {
        self.0[reason as usize]
    }

    pub(super) fn add(&mut self, reason: DropReason) {
        self.0[reason as usize] += 1;
    }
}

/// Counts since startup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams received, including those that were dropped.
    pub datagrams_received: u64,
    /// Bytes of the datagrams received.
    pub bytes_received: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams dropped, by reason.
    pub datagrams_dropped: DropCounts,
    /// Anti-entropy exchanges requested by this gateway.
    pub exchanges_requested: u64,
    /// Anti-entropy exchanges answered by this gateway.
    pub exchanges_answered: u64,
    /// Stalls of this process that made a timer overdue by more than half a probe period.
    pub stalls: u64,
    /// Transitions of a member to suspect.
    pub suspicions: u64,
}
