//! The ids of requests that have ended, may have run and may not run again. The gateway can't know whether a client has
//! learned the result: it may leave while the answer is on its way.

use crate::memory::{Holder, MemoryAccount, Reservation};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

/// How long an id is kept. A client that comes again with it does so within its own patience, which is longer than the
/// deadline of its request.
pub(super) const RETENTION: Duration = Duration::from_secs(60);
/// The memory of an id: its entries in the map and in the queue, with their unused capacity.
const ID_BYTES: usize = 64;
/// The ids take this share of the memory account at most: 1 / `SHARE_DIVISOR`. Beyond it the oldest are dropped.
const SHARE_DIVISOR: usize = 32;

/// Ids in the order in which they expire. Only their hashes are kept, with a key that clients don't know.
pub(super) struct RecentIds {
    hasher: RandomState,
    /// When each id expires.
    expires_at: HashMap<u64, Instant>,
    queue: VecDeque<(Instant, u64)>,
    max_ids: usize,
    reservation: Reservation,
}

impl RecentIds {
    pub(super) fn new(account: &MemoryAccount) -> RecentIds {
        RecentIds {
            hasher: RandomState::new(),
            expires_at: HashMap::new(),
            queue: VecDeque::new(),
            max_ids: (account.capacity_bytes() / SHARE_DIVISOR / ID_BYTES).max(1),
            reservation: account.charge(Holder::Requests, 0),
        }
    }

    pub(super) fn insert(&mut self, id: &[u8], now: Instant) {
        let hash = self.hasher.hash_one(id);
        self.expires_at.insert(hash, now + RETENTION);
        self.queue.push_back((now + RETENTION, hash));
        self.remove_expired(now);
    }

    pub(super) fn contains(&mut self, id: &[u8], now: Instant) -> bool {
        self.remove_expired(now);
        self.expires_at.contains_key(&self.hasher.hash_one(id))
    }

    /// Removes the ids that have expired, and the oldest ones beyond the maximum.
    fn remove_expired(&mut self, now: Instant) {
        while let Some(&(expires_at, hash)) = self.queue.front() {
            if expires_at > now && self.queue.len() <= self.max_ids {
                break;
            }
            self.queue.pop_front();
            // An id that was inserted again expires later.
            if self.expires_at.get(&hash) == Some(&expires_at) {
                self.expires_at.remove(&hash);
            }
        }
        self.reservation.set(self.queue.len() * ID_BYTES);
    }
}
