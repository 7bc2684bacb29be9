//! Tracks the version of the fleet document that this gateway acts on, and the latest heartbeat of the document's
//! leader. Both are sent in the envelope of each datagram.

use crate::replication::replica::DocumentVersion;
use crate::time::Timestamp;
use std::time::Duration;

/// The number of members that a rumour of a later version is sent to.
pub(super) const RUMOUR_FANOUT: usize = 3;
const MAX_RUMOURS_PER_PROBE_PERIOD: u32 = 20;

/// The document version and leader heartbeat known to this gateway.
pub(super) struct DocumentState {
    version: DocumentVersion,
    /// The latest known heartbeat; later heartbeats have higher numbers.
    leader_heartbeat: u64,
    /// When `leader_heartbeat` was received, in system time, because leases expire during a stall as well.
    heartbeat_received_at: Timestamp,
    next_rumour_at: Timestamp,
}

impl DocumentState {
    pub(super) fn new(now: Timestamp) -> DocumentState {
        DocumentState {
            version: DocumentVersion::default(),
            leader_heartbeat: 0,
            heartbeat_received_at: now,
            next_rumour_at: now,
        }
    }

    pub(super) fn version(&self) -> DocumentVersion {
        self.version
    }

    pub(super) fn leader_heartbeat(&self) -> u64 {
        self.leader_heartbeat
    }

    /// Sets the version that this gateway acts on, and returns whether its index is later. A change to another document
    /// resets the heartbeat.
    pub(super) fn set_version(&mut self, version: DocumentVersion, system_now: Timestamp) -> bool {
        let is_later = version.index > self.version.index;
        if version.document != self.version.document {
            self.leader_heartbeat = 0;
            self.heartbeat_received_at = system_now;
        }
        self.version = version;
        is_later
    }

    /// Returns whether a rumour may be sent now, and if so schedules the earliest time of the next one.
    pub(super) fn take_rumour(&mut self, now: Timestamp, probe_period: Duration) -> bool {
        let may_send = now >= self.next_rumour_at;
        if may_send {
            self.next_rumour_at = now + probe_period / MAX_RUMOURS_PER_PROBE_PERIOD;
        }
        may_send
    }

    /// Records a heartbeat of this document's leader, if it is later than the one known.
    pub(super) fn record_heartbeat(&mut self, heartbeat: u64, system_now: Timestamp) {
        if heartbeat > self.leader_heartbeat {
            self.leader_heartbeat = heartbeat;
            self.heartbeat_received_at = system_now;
        }
    }

    /// Records the heartbeat that a peer sent, if the peer acts on the same document.
    pub(super) fn record_peer_heartbeat(
        &mut self,
        peer: DocumentVersion,
        heartbeat: u64,
        system_now: Timestamp,
    ) {
        if peer.document == self.version.document {
            self.record_heartbeat(heartbeat, system_now);
        }
    }

    /// Returns the time since the latest heartbeat was received.
    pub(super) fn heartbeat_age(&self, system_now: Timestamp) -> Duration {
        system_now.saturating_duration_since(self.heartbeat_received_at)
    }
}
