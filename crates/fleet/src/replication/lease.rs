//! Leases of fleet-wide roles, with fencing tokens. A grant is an entry of the fleet document and its position in the
//! voters' log is its fencing token; a renewal is the leader's answer, given once a majority has confirmed that it
//! still leads.
//!
//! Why no two gateways hold one lease at a time: a holder counts its ttl from when it *sent* the renewal that
//! succeeded, and stops one `CLOCK_DRIFT_DIVISOR`th early. The leader counts from when the renewal was confirmed,
//! which is later, and waits one `CLOCK_DRIFT_DIVISOR`th longer. A new leader counts from when it had applied all
//! entries of earlier terms, which is after any confirmation by its predecessor. So the holder stops first as long as
//! no clock runs wrong by 4 in 100. Where all of that fails, late actions of the old holder are rejected by its token.

use super::document::{
    CurrentGrant, Document, FencingToken, Grant, LeaseProof, Proposal, LEASES_SECTION, SCHEMA_VERSION,
};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// The roles: the assessor of failover, and the keeper of the order of work.
pub const ROLES: [&str; 2] = ["failover", "work"];
/// A lease is shorter by one part in this many for its holder, and longer by as much for the leader.
const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// How often a lease is renewed within its ttl.
const RENEWALS_PER_TTL: u64 = 3;
/// An unanswered request is repeated after this at the latest, in microseconds, however long the lease is: a lease is
/// acted on only once it was renewed, so one lost answer must not cost a part of a long lease.
const MAX_RETRY_INTERVAL: u64 = 2_000_000;

/// The proposer named in grants.
const LEADER_PROPOSER: &str = "the leader";
/// The reason of a first grant.
const REASON_VACANT: &str = "nobody holds it";
/// The reason of a release.
const REASON_RELEASED: &str = "its holder leaves";

/// An incarnation of a gateway that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Candidate {
    /// The gateway's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
}

impl Candidate {
    /// This incarnation of the gateway of this name.
    pub fn new(name: impl Into<String>, incarnation: u64) -> Candidate {
        Candidate { name: name.into(), incarnation }
    }

    fn holds(&self, grant: &Grant) -> bool {
        grant.holder == self.name && grant.incarnation == self.incarnation
    }
}

/// The candidate that is granted a role: rendezvous hashing, so that one that leaves moves only what it held.
pub fn rendezvous_choice<'a>(
    role: &str,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Option<&'a Candidate> {
    candidates.max_by_key(|candidate| {
        let score = xxh3_64(format!("{role}\0{}", candidate.name).as_bytes());
        (score, candidate.incarnation)
    })
}

/// The last renewal of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    token: FencingToken,
    renewed_at: u64,
}

/// The leader's side: which leases are in force, and which roles to grant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    /// The term in which this voter leads.
    term: u64,
    /// When this leader had applied all entries of earlier terms.
    leading_since: u64,
    /// The last renewal of each role's lease.
    renewals: BTreeMap<String, Renewal>,
    /// Roles whose grant is proposed, with the proposal's id. Their leases have expired, so nobody renews them.
    pending_grants: BTreeMap<String, u64>,
    /// Candidates that released a lease in this term and so are leaving, even if gossip has not said so yet.
    leavers: BTreeSet<Candidate>,
}

impl LeaseTable {
    /// The table of a voter that leads this term from now on.
    pub fn new(term: u64, now: u64) -> LeaseTable {
        LeaseTable { term, leading_since: now, ..LeaseTable::default() }
    }

    /// Keeps a table within its term. A voter that leads again in a later one starts over: another leader may have
    /// renewed leases in between.
    pub fn in_term(table: Option<LeaseTable>, term: u64, now: u64) -> LeaseTable {
        table.filter(|table| table.term == term).unwrap_or_else(|| LeaseTable::new(term, now))
    }

    /// When a lease expires by the leader's clock.
    fn expires_at(&self, role: &str, current: &CurrentGrant) -> u64 {
        let renewal = self.renewals.get(role).filter(|renewal| renewal.token == current.token);
        let renewed_at = renewal.map_or(0, |renewal| renewal.renewed_at);
        let ttl = current.grant.ttl;
        renewed_at.max(self.leading_since) + ttl + ttl / CLOCK_DRIFT_DIVISOR
    }

    fn record_renewal(&mut self, role: &str, token: FencingToken, now: u64) {
        self.renewals.insert(role.to_string(), Renewal { token, renewed_at: now });
    }

    /// A grant was committed: its lease runs from now.
    pub fn record_grant(&mut self, role: &str, token: FencingToken, now: u64) {
        self.record_renewal(role, token, now);
        self.pending_grants.remove(role);
    }

    /// A holder released its lease. Guards against granting it to the same incarnation again before gossip says that
    /// it leaves.
    pub fn record_release(&mut self, grant: Grant) {
        self.leavers.insert(Candidate { name: grant.holder, incarnation: grant.incarnation });
    }

    /// A proposed grant was not accepted.
    pub fn grant_failed(&mut self, proposal: u64) {
        self.pending_grants.retain(|_, pending| *pending != proposal);
    }

    /// Whether a lease can still be renewed. The answer counts only once a majority confirms that this voter leads.
    pub fn may_renew(&self, document: &Document, role: &str, token: FencingToken, now: u64) -> bool {
        let current = document.grant(role).filter(|current| current.token == token);
        current.is_some_and(|current| now < self.expires_at(role, &current))
    }

    /// Renews a lease now that a majority has confirmed this leader; false if the lease has expired.
    pub fn renew(&mut self, document: &Document, role: &str, token: FencingToken, now: u64) -> bool {
        let renewable = self.may_renew(document, role, token, now);
        if renewable {
            self.record_renewal(role, token, now);
        }
        renewable
    }

    /// The grants to propose now: of each role that nobody holds or whose lease has expired.
    pub fn grants_due(
        &mut self,
        document: &Document,
        candidates: &[Candidate],
        ttl: u64,
        now: u64,
        mut next_id: impl FnMut() -> u64,
    ) -> Vec<Proposal> {
        // No incarnation returns once it has left.
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

    /// The grant to propose for one role, without an id.
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

/// One lease at its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    token: FencingToken,
    ttl: u64,
    /// The lease is held before this time; 0: it was not renewed yet.
    held_until: u64,
    /// When its renewal or, by a gateway that leaves, its release was last requested; 0: never.
    requested_at: u64,
}

impl HeldLease {
    /// A lease that was granted and is not renewed yet.
    fn granted(current: &CurrentGrant) -> HeldLease {
        HeldLease { token: current.token, ttl: current.grant.ttl, held_until: 0, requested_at: 0 }
    }

    /// Nothing was requested yet, or so long ago that the request is taken as lost.
    fn may_request(&self, now: u64) -> bool {
        let retry_after = (self.ttl / RENEWALS_PER_TTL / 2).min(MAX_RETRY_INTERVAL);
        self.requested_at == 0 || now >= self.requested_at + retry_after
    }

    fn renewal_is_due(&self, now: u64) -> bool {
        now + self.ttl - self.ttl / RENEWALS_PER_TTL >= self.held_until
    }
}

/// A lease was acquired or lost by this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// The lease is held from now on.
    Acquired {
        /// The role.
        role: &'static str,
        /// The token to act under.
        token: FencingToken,
    },
    /// The lease is no longer held.
    Lost {
        /// The role.
        role: &'static str,
        /// The token under which it was held.
        token: FencingToken,
    },
}

/// The holder's side: the leases of this gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HeldLeases {
    leases: BTreeMap<&'static str, HeldLease>,
    leaving: bool,
}

impl HeldLeases {
    /// Brings the leases in line with what the document grants to this incarnation, and ends those that expired.
    pub fn update(&mut self, document: &Document, me: &Candidate, now: u64) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        for role in ROLES {
            let mine = document.grant(role).filter(|current| me.holds(&current.grant));
            let granted = mine.as_ref().map(|current| current.token);
            let before = self.leases.get(role).copied();
            if let Some(ended) = before.filter(|lease| granted != Some(lease.token)) {
                self.leases.remove(role);
                if ended.held_until > 0 {
                    changes.push(LeaseChange::Lost { role, token: ended.token });
                }
            }
            if let Some(new) = mine.filter(|current| before.map(|lease| lease.token) != Some(current.token)) {
                self.leases.insert(role, HeldLease::granted(&new));
            }
        }
        changes.extend(self.expire(now));
        changes
    }

    /// Leases that ran out before their renewal: reported once, and acquired again if the renewal succeeds after all.
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

    /// The renewals to request now.
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

    /// A renewal that was requested at `requested_at` succeeded.
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

    /// The token under which this gateway may act in a role now: to be looked up at each side effect.
    pub fn token(&self, role: &str, now: u64) -> Option<FencingToken> {
        self.leases.get(role).filter(|lease| now < lease.held_until).map(|lease| lease.token)
    }

    /// Releases all leases: the proposals to make now. Called repeatedly, it also releases what is granted after the
    /// first call, and repeats what seems lost. Nothing is held or renewed from the first call on.
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

/// The guard of a resource that lease holders act on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: BTreeMap<String, FencingToken>,
}

impl FencingGuard {
    /// Whether an action is allowed: not under a token lower than one seen before.
    pub fn admits(&mut self, role: &str, token: FencingToken) -> bool {
        let highest = self.highest.entry(role.to_string()).or_default();
        let admitted = token >= *highest;
        *highest = (*highest).max(token);
        admitted
    }
}
