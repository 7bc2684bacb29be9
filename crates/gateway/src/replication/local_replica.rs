//! Keeps the replica of the document that this gateway acts on. Detects divergences from other gateways and reports
//! when the leader's heartbeats stop.

use super::members::MemberVersion;
use super::message::CatchUpResponse;
use lanespan_fleet::replication::document::Entry;
use lanespan_fleet::replication::replica::{CatchUp, CatchUpError, DocumentVersion, Replica};
use std::collections::BTreeSet;
use tracing::{error, info, warn};

/// The maximum number of divergences that are kept, so that a defective gateway can't make the set grow without bound.
const MAX_DIVERGENCES: usize = 256;

/// The replica of the document, and what was observed about it.
#[derive(Default)]
pub struct LocalReplica {
    replica: Replica,
    /// The number of entries observed since startup.
    entries_seen: u64,
    /// The gateways whose document or digest differed, with their indexes.
    divergences: BTreeSet<(String, u64)>,
    /// Whether the leader was last reported as silent.
    leader_is_silent: bool,
    /// Whether a catch-up is being fetched.
    pub(super) is_fetching: bool,
}

impl LocalReplica {
    /// Creates the state with this replica.
    pub fn new(replica: Replica) -> LocalReplica {
        LocalReplica { replica, ..LocalReplica::default() }
    }

    /// Returns the replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the version of the replica.
    pub fn version(&self) -> DocumentVersion {
        self.replica.version()
    }

    /// Returns the number of entries observed since startup.
    pub fn entries_seen(&self) -> u64 {
        self.entries_seen
    }

    /// Returns the number of divergences found since startup.
    pub fn divergence_count(&self) -> usize {
        self.divergences.len()
    }

    /// Counts an entry that is about to be applied.
    pub fn count_entry(&mut self) {
        self.entries_seen += 1;
    }

    /// Replaces the replica with that of the voter.
    pub fn replace(&mut self, replica: Replica) {
        self.replica = replica;
    }

    /// Applies a catch-up and returns the new entries.
    pub fn apply(&mut self, document: u64, catch_up: CatchUp) -> Result<Vec<Entry>, CatchUpError> {
        self.replica.apply_catch_up(document, catch_up)
    }

    /// Returns the catch-up for a peer at this index, or at `NO_DOCUMENT` if it has no document.
    pub fn catch_up_after(&self, after: i64) -> CatchUpResponse {
        let document = self.version().document;
        let catch_up = match u64::try_from(after) {
            Ok(after) => self.replica.catch_up_after(after),
            Err(_) => Some(CatchUp::Snapshot(Box::new(self.replica.document().clone()))),
        };
        CatchUpResponse { document, catch_up: catch_up.filter(|_| document != 0) }
    }

    /// Logs an error for each gateway that acts on another document or has another digest at the same index, once for
    /// each index.
    pub(super) fn compare(&mut self, members: &[MemberVersion], me: &str) {
        let own = self.version();
        if own.document == 0 {
            return;
        }
        for MemberVersion { node, version, .. } in
            members.iter().filter(|member| member.version.document != 0)
        {
            let other_plan = version.document != own.document;
            let here = self.replica.digest_at(version.index);
            if !other_plan && here.is_none_or(|here| here == version.digest) {
                continue;
            }
            let is_new = self.divergences.len() < MAX_DIVERGENCES
                && self.divergences.insert((node.name.clone(), version.index));
            if is_new {
                error!(
                    here = me,
                    there = node.name,
                    index = version.index,
                    digest_here = here.map(|digest| format!("{digest:016x}")),
                    digest_there = format!("{:016x}", version.digest),
                    other_plan,
                    "plan: two gateways differ"
                );
            }
        }
    }

    /// Logs once when the leader's heartbeats stop, and once when they resume.
    pub(super) fn report_silence(&mut self, is_silent: bool, trust_s: u64) {
        if is_silent == self.leader_is_silent {
            return;
        }
        self.leader_is_silent = is_silent;
        let index = self.version().index;
        if is_silent {
            warn!(
                index,
                trust_s,
                "plan: no heartbeat from a leader with a majority; requests, membership and the last known plan \
                 continue, proposals and grants do not"
            );
        } else {
            info!(index, "plan: heartbeats from a leader with a majority have resumed");
        }
    }
}
