//! Leases of fleet-wide roles, with fencing tokens. A grant is an entry of the fleet document, and its position in the
//! voters' log is its fencing token. A renewal is a response of the leader, sent once a majority has confirmed that it
//! still leads.
//!
//! At most one gateway holds a lease at a time. A holder measures the ttl from the time at which it *sent* the renewal
//! that succeeded, and shortens it by ttl / `CLOCK_DRIFT_DIVISOR`. The leader measures it from the confirmation of the
//! renewal, which is later, and extends it by ttl / `CLOCK_DRIFT_DIVISOR`. A new leader measures it from the time at
//! which it had applied all entries of earlier terms, which is after any confirmation by its predecessor. The holder's
//! lease therefore expires first as long as no clock runs fast or slow by more than 4 in 100. Where all of that fails,
//! late actions of the old holder are rejected because of its token.
//!
//! All times are in microseconds.

use super::document::{
    CurrentGrant, Document, FencingToken, Grant, LeaseProof, Proposal, LEASES_SECTION, SCHEMA_VERSION,
};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// The fleet-wide roles: assessing failover, and ordering work.
pub const ROLES: [&str; 2] = ["failover", "work"];
/// A lease is shortened by its ttl divided by this for the holder, and extended by the same time for the leader.
const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// The number of renewals of a lease within its ttl.
const RENEWALS_PER_TTL: u64 = 3;
/// An unanswered request is repeated at the latest after this time, however long the lease is. A lease is not held
/// until it is renewed for the first time, so otherwise one lost response would waste a part of a long lease.
const MAX_RETRY_INTERVAL_US: u64 = 2_000_000;

/// The proposer of grants, as stored in the log.
const LEADER_PROPOSER: &str = "the leader";
/// The reason for granting a role that has no grant, as stored in the log.
const REASON_VACANT: &str = "nobody holds it";
/// The reason for a release, as stored in the log.
const REASON_RELEASED: &str = "its holder leaves";

/// An incarnation of a gateway that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Candidate {
    /// The name of the gateway.
    pub name: String,
    /// The incarnation of the gateway.
    pub incarnation: u64,
}

impl Candidate {
    /// Creates a candidate from a gateway's name and incarnation.
    pub fn new(name: impl Into<String>, incarnation: u64) -> Candidate {
        Candidate { name: name.into(), incarnation }
    }

    fn holds(&self, grant: &Grant) -> bool {
        grant.holder == self.name && grant.incarnation == self.incarnation
    }
}

/// Chooses the candidate to grant a role to. Uses rendezvous hashing, so that when a candidate leaves, only the roles
/// that it held move.
pub fn rendezvous_choice<'a>(
    role: &str,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Option<&'a Candidate> {
    candidates.max_by_key(|candidate| {
        let score = xxh3_64(format!("{role}\0{}", candidate.name).as_bytes());
        (score, candidate.incarnation)
    })
}

/// The last renewal of a lease, or its grant if it was not renewed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    token: FencingToken,
    renewed_at: u64,
}

/// The leader's state: which leases are in force, and which roles to grant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    /// The term in which this voter is the leader.
    term: u64,
    /// The time at which this leader had applied all entries of earlier terms.
    leading_since: u64,
    /// The last renewal of each role's lease.
    renewals: BTreeMap<String, Renewal>,
    /// Roles with a proposed grant, and the id of the proposal. Their leases have expired, so they can't be renewed.
    pending_grants: BTreeMap<String, u64>,
    /// Candidates that released a lease in this term. They are leaving, even if gossip has not announced it yet.
    leavers: BTreeSet<Candidate>,
}

impl LeaseTable {
    /// Creates the table of a voter that leads in this term from now on.
    pub fn new(term: u64, now: u64) -> LeaseTable {
        LeaseTable { term, leading_since: now, ..LeaseTable::default() }
    }

    /// Keeps the table if it belongs to this term, and otherwise creates a new one. A voter that leads again in a later
    /// term starts with a new table, because another leader may have renewed leases in between.
    pub fn in_term(table: Option<LeaseTable>, term: u64, now: u64) -> LeaseTable {
        table.filter(|table| table.term == term).unwrap_or_else(|| LeaseTable::new(term, now))
    }

    /// Returns the time at which a lease expires by the leader's clock.
    fn expires_at(&self, role: &str, current: &CurrentGrant) -> u64 {
        let renewal = self.renewals.get(role).filter(|renewal| renewal.token == current.token);
        let renewed_at = renewal.map_or(0, |renewal| renewal.renewed_at);
        let ttl = current.grant.ttl;
        renewed_at.max(self.leading_since) + ttl + ttl / CLOCK_DRIFT_DIVISOR
    }

    fn record_renewal(&mut self, role: &str, token: FencingToken, now: u64) {
        self.renewals.insert(role.to_string(), Renewal { token, renewed_at: now });
    }

    /// Records that a grant was committed. Its lease starts now.
    pub fn record_grant(&mut self, role: &str, token: FencingToken, now: u64) {
        self.record_renewal(role, token, now);
        self.pending_grants.remove(role);
    }

    /// Records that a holder released its lease. This keeps the lease from being granted to the same incarnation again
    /// before gossip announces that it is leaving.
    pub fn record_release(&mut self, grant: Grant) {
        self.leavers.insert(Candidate { name: grant.holder, incarnation: grant.incarnation });
    }

    /// Records that a proposed grant was not accepted.
    pub fn grant_failed(&mut self, proposal: u64) {
        self.pending_grants.retain(|_, pending| *pending != proposal);
    }

    /// Returns whether a lease can still be renewed. The result is valid only once a majority confirms that this voter
    /// leads.
    pub fn may_renew(&self, document: &Document, role: &str, token: FencingToken, now: u64) -> bool {
        let current = document.grant(role).filter(|current| current.token == token);
        current.is_some_and(|current| now < self.expires_at(role, &current))
    }

    /// Renews a lease; false if it has expired. Called after a majority has confirmed that this voter leads.
    pub fn renew(&mut self, document: &Document, role: &str, token: FencingToken, now: u64) -> bool {
        let renewable = self.may_renew(document, role, token, now);
        if renewable {
            self.record_renewal(role, token, now);
        }
        renewable
    }

    /// Returns the grants to propose now: one for each role that has no grant or whose lease has expired.
    pub fn grants_due(
        &mut self,
        document: &Document,
        candidates: &[Candidate],
        ttl: u64,
        now: u64,
        mut next_id: impl FnMut() -> u64,
    ) -> Vec<Proposal> {
        // An incarnation that has left does not return.
        self.leavers.retain(|leaver| candidates.contains(leaver));
        let mut proposals = Vec::new();
        for role in ROLES {
            let Some(mut proposal) = self.grant_due(document, candidates, role, ttl, now) else { continue };
            proposal.id = next_id();
            self.pending_grants.insert(role.to_string(), proposal.id);
            proposals.push(proposal);
        }
        proposals
    }

    /// Returns the grant to propose now for one role, without an id.
    fn grant_due(
        &self,
        document: &Document,
        candidates: &[Candidate],
        role: &str,
        ttl: u64,
        now: u64,
    ) -> Option<Proposal> {
        if self.pending_grants.contains_key(role) {
            return None;
        }
        let current = document.grant(role);
        if current.as_ref().is_some_and(|current| now < self.expires_at(role, current)) {
            return None;
        }
        let eligible = candidates.iter().filter(|candidate| !self.leavers.contains(candidate));
        let Candidate { name, incarnation } = rendezvous_choice(role, eligible)?.clone();
        let reason = match &current {
            Some(current) => format!("the lease of {} is over", current.grant.holder),
            None => REASON_VACANT.to_string(),
        };
        Some(Proposal {
            schema: SCHEMA_VERSION,
            proposer: LEADER_PROPOSER.to_string(),
            reason,
            expected_item_index: Some(document.item(LEASES_SECTION, role).map_or(0, |item| item.index)),
            section: LEASES_SECTION.to_string(),
            key: role.to_string(),
            value: Some(serde_json::to_string(&Grant { holder: name, incarnation, ttl }).ok()?),
            ..Proposal::default()
        })
    }
}

/// A lease that is granted to this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    token: FencingToken,
    ttl: u64,
    /// The time at which the holder's view of the lease expires; 0: the lease is not held.
    held_until: u64,
    /// The time of the last request to renew the lease or, if this gateway is leaving, to release it; 0: never.
    requested_at: u64,
}

impl HeldLease {
    /// Creates a lease that was granted and is not renewed yet.
    fn granted(current: &CurrentGrant) -> HeldLease {
        HeldLease { token: current.token, ttl: current.grant.ttl, held_until: 0, requested_at: 0 }
    }

    /// Returns whether a request may be sent: none was sent yet, or so long ago that it is treated as lost.
    fn may_request(&self, now: u64) -> bool {
        let retry_after = (self.ttl / RENEWALS_PER_TTL / 2).min(MAX_RETRY_INTERVAL_US);
        self.requested_at == 0 || now >= self.requested_at + retry_after
    }

    fn renewal_is_due(&self, now: u64) -> bool {
        now + self.ttl - self.ttl / RENEWALS_PER_TTL >= self.held_until
    }
}

/// A change in the leases that this gateway holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// The lease is held from now on.
    Acquired {
        /// The role.
        role: &'static str,
        /// The fencing token of the lease.
        token: FencingToken,
    },
    /// The lease is no longer held.
    Lost {
        /// The role.
        role: &'static str,
        /// The fencing token of the lost lease.
        token: FencingToken,
    },
}

/// The holder's state: the leases that are granted to this gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HeldLeases {
    leases: BTreeMap<&'static str, HeldLease>,
    leaving: bool,
}

impl HeldLeases {
    /// Updates the leases to the grants that the document has for this incarnation, and ends expired leases.
    pub fn update(&mut self, document: &Document, me: &Candidate, now: u64) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        for role in ROLES {
            let own_grant = document.grant(role).filter(|current| me.holds(&current.grant));
            let granted = own_grant.as_ref().map(|current| current.token);
            let before = self.leases.get(role).copied();
            if let Some(ended) = before.filter(|lease| granted != Some(lease.token)) {
                self.leases.remove(role);
                if ended.held_until > 0 {
                    changes.push(LeaseChange::Lost { role, token: ended.token });
                }
            }
            if let Some(new) =
                own_grant.filter(|current| before.map(|lease| lease.token) != Some(current.token))
            {
                self.leases.insert(role, HeldLease::granted(&new));
            }
        }
        changes.extend(self.expire(now));
        changes
    }

    /// Ends leases that expired before their renewal. Each is reported as lost once, and as acquired again if a late
    /// renewal still succeeds.
    fn expire(&mut self, now: u64) -> Vec<LeaseChange> {
        let leases = self.leases.iter_mut();
        let expired = leases.filter(|(_, lease)| lease.held_until > 0 && lease.held_until <= now);
        expired
            .map(|(role, lease)| {
                lease.held_until = 0;
                LeaseChange::Lost { role, token: lease.token }
            })
            .collect()
    }

    /// Returns the renewals to request now.
    pub fn renewals_due(&mut self, now: u64) -> Vec<(&'static str, FencingToken)> {
        if self.leaving {
            return Vec::new();
        }
        let leases = self.leases.iter_mut();
        let due = leases.filter(|(_, lease)| lease.may_request(now) && lease.renewal_is_due(now));
        due.map(|(role, lease)| {
            lease.requested_at = now;
            (*role, lease.token)
        })
        .collect()
    }

    /// Handles the success of a renewal that was requested at `requested_at`.
    pub fn renewed(
        &mut self,
        role: &str,
        token: FencingToken,
        requested_at: u64,
        now: u64,
    ) -> Option<LeaseChange> {
        if self.leaving {
            return None;
        }
        let mut leases = self.leases.iter_mut();
        let (role, lease) = leases.find(|(held, lease)| **held == role && lease.token == token)?;
        let acquired = lease.held_until == 0;
        let held_until = requested_at + lease.ttl - lease.ttl / CLOCK_DRIFT_DIVISOR;
        lease.held_until = lease.held_until.max(held_until);
        (acquired && lease.held_until > now).then_some(LeaseChange::Acquired { role, token })
    }

    /// Returns the fencing token if this gateway holds the lease of a role now. Call this before each side effect.
    pub fn token(&self, role: &str, now: u64) -> Option<FencingToken> {
        self.leases.get(role).filter(|lease| now < lease.held_until).map(|lease| lease.token)
    }

    /// Releases all leases, and returns the proposals to make now. From the first call on no lease is held or renewed.
    /// Further calls release leases that were granted later, and repeat proposals that seem to be lost.
    pub fn release(&mut self, me: &Candidate, now: u64, mut next_id: impl FnMut() -> u64) -> Vec<Proposal> {
        if !std::mem::replace(&mut self.leaving, true) {
            for lease in self.leases.values_mut() {
                lease.held_until = 0;
                lease.requested_at = 0;
            }
        }
        let due = self.leases.iter_mut().filter(|(_, lease)| lease.may_request(now));
        due.map(|(role, lease)| {
            lease.requested_at = now;
            Proposal {
                id: next_id(),
                schema: SCHEMA_VERSION,
                proposer: me.name.clone(),
                reason: REASON_RELEASED.to_string(),
                lease: Some(LeaseProof { role: role.to_string(), token: lease.token }),
                section: LEASES_SECTION.to_string(),
                key: role.to_string(),
                ..Proposal::default()
            }
        })
        .collect()
    }
}

/// Rejects late actions on a resource that lease holders act on, by their fencing tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest_tokens: BTreeMap<String, FencingToken>,
}

impl FencingGuard {
    /// Records an action under this token and returns whether it is allowed. It is not if a higher token was seen
    /// before for the role.
    pub fn admits(&mut self, role: &str, token: FencingToken) -> bool {
        let highest = self.highest_tokens.entry(role.to_string()).or_default();
        let admitted = token >= *highest;
        *highest = (*highest).max(token);
        admitted
    }
}
