//! The memory account, its rule and its reservations.

use super::process::ProcessMemory;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use tokio::sync::Notify;

/// The share of the limit that stays free: 1 / `MARGIN_DIVISOR`. It covers what the process comes to hold between two
/// measurements of its memory, and the rounding of the allocator.
const MARGIN_DIVISOR: usize = 8;
/// Pages of the program file are charged up to this share of the limit: 1 / `FILE_DIVISOR`. Beyond it the system can
/// drop them.
const FILE_DIVISOR: usize = 4;
/// The capacity of an account whose limit leaves less than this beside the program itself.
const MIN_CAPACITY_BYTES: usize = 2 << 20;
/// The share of the capacity that large holders leave to small ones: 1 / `SMALL_HOLDERS_DIVISOR`.
const SMALL_HOLDERS_DIVISOR: usize = 8;
/// The share of the capacity that connections leave to the requests on them: 1 / `REQUESTS_DIVISOR`.
const REQUESTS_DIVISOR: usize = 16;
/// A large holder needs this many times its size to be available.
const LARGE_HOLDER_FACTOR: usize = 8;

/// The number of kinds of holders.
const HOLDER_KINDS: usize = 6;

/// The kinds of holders of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// Clients' connections with their buffers.
    Connections,
    /// Bytes read ahead on clients' connections.
    ReadAhead,
    /// Requests: heads, complete bodies and the state of each.
    Requests,
    /// Responses of backends, until their clients have received them.
    Responses,
    /// Streamed responses and uploads.
    Streams,
    /// What the policy engine keeps for each customer.
    Customers,
}

impl Holder {
    /// Returns the size up to which a holder of this kind may use all that is available. A client decides how much it
    /// sends ahead and how long its requests are, so a larger holder must leave some memory to others.
    fn small_bytes(self) -> usize {
        match self {
            Holder::ReadAhead => 0,
            Holder::Requests => 16 * 1024,
            Holder::Connections | Holder::Responses | Holder::Streams | Holder::Customers => usize::MAX,
        }
    }
}

/// The account of the gateway's memory. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryAccount(Arc<State>);

#[derive(Debug)]
struct State {
    capacity_bytes: usize,
    reserved_bytes: AtomicUsize,
    reserved_by_holder: [AtomicUsize; HOLDER_KINDS],
    /// What the process was last measured to hold beyond its memory at startup.
    measured_bytes: AtomicUsize,
    /// The part of that which no reservation covers.
    unreserved_bytes: AtomicUsize,
    /// How often the account refused memory, or a holder began to wait for it.
    refusals: AtomicU64,
    released: Notify,
}

impl MemoryAccount {
    /// Creates the account of a process that may hold `limit_bytes` and holds `at_startup` already.
    pub fn for_process(limit_bytes: usize, at_startup: ProcessMemory) -> MemoryAccount {
        let program_bytes =
            at_startup.anonymous_bytes + at_startup.file_bytes.min(limit_bytes / FILE_DIVISOR);
        let capacity_bytes = limit_bytes - limit_bytes / MARGIN_DIVISOR;
        MemoryAccount::with_capacity(capacity_bytes.saturating_sub(program_bytes).max(MIN_CAPACITY_BYTES))
    }

    /// Creates an account with this capacity.
    pub fn with_capacity(capacity_bytes: usize) -> MemoryAccount {
        MemoryAccount(Arc::new(State {
            capacity_bytes,
            reserved_bytes: AtomicUsize::new(0),
            reserved_by_holder: Default::default(),
            measured_bytes: AtomicUsize::new(0),
            unreserved_bytes: AtomicUsize::new(0),
            refusals: AtomicU64::new(0),
            released: Notify::new(),
        }))
    }

    /// Creates an account that is never spent, for holders that are bounded elsewhere.
    pub fn unlimited() -> MemoryAccount {
        MemoryAccount::with_capacity(usize::MAX)
    }

    /// Returns the capacity.
    pub fn capacity_bytes(&self) -> usize {
        self.0.capacity_bytes
    }

    /// Returns the bytes that all holders have reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.0.reserved_bytes.load(Relaxed)
    }

    /// Returns the bytes that the holders of one kind have reserved.
    pub fn reserved_by(&self, holder: Holder) -> usize {
        self.0.reserved_by_holder[holder as usize].load(Relaxed)
    }

    /// Returns the bytes that the process holds beyond its memory at startup and the reservations.
    pub fn unreserved_bytes(&self) -> usize {
        self.0.unreserved_bytes.load(Relaxed)
    }

    /// Sets what the process was measured to hold beyond its memory at startup, and the part of it that no reservation
    /// covers.
    pub(super) fn set_measured(&self, measured_bytes: usize, unreserved_bytes: usize) {
        self.0.measured_bytes.store(measured_bytes, Relaxed);
        self.0.unreserved_bytes.store(unreserved_bytes, Relaxed);
        self.0.released.notify_waiters();
    }

    /// Returns how often the account refused memory, or a holder began to wait for it.
    pub fn refusals(&self) -> u64 {
        self.0.refusals.load(Relaxed)
    }

    /// Returns the bytes that are neither reserved nor otherwise held. Reservations may not have been used yet, so they
    /// count in full beside what they don't cover; memory may not have been returned yet after its release, so what was
    /// measured counts as well.
    pub fn available_bytes(&self) -> usize {
        let reserved = self.reserved_bytes().saturating_add(self.unreserved_bytes());
        let held = reserved.max(self.0.measured_bytes.load(Relaxed));
        self.0.capacity_bytes.saturating_sub(held)
    }

    /// Returns whether a holder may grow from `held` to `wanted` bytes.
    fn permits(&self, holder: Holder, held: usize, wanted: usize) -> bool {
        let available = self.available_bytes();
        if holder == Holder::Connections {
            return available >= wanted - held + self.0.capacity_bytes / REQUESTS_DIVISOR;
        }
        if wanted <= holder.small_bytes() {
            return wanted - held <= available;
        }
        let left_to_small = self.0.capacity_bytes / SMALL_HOLDERS_DIVISOR;
        available >= wanted.saturating_mul(LARGE_HOLDER_FACTOR).saturating_add(left_to_small)
    }

    /// Reserves memory, unless too little is left.
    pub fn try_reserve(&self, holder: Holder, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.charge(holder, 0);
        reservation.try_resize(bytes).then_some(reservation)
    }

    /// Reserves memory, and waits until enough is left.
    pub async fn reserve(&self, holder: Holder, bytes: usize) -> Reservation {
        let mut reservation = self.charge(holder, 0);
        reservation.resize(bytes).await;
        reservation
    }

    /// Charges memory that is held already or can't be refused.
    pub fn charge(&self, holder: Holder, bytes: usize) -> Reservation {
        let mut reservation = Reservation { account: self.clone(), holder, bytes: 0 };
        reservation.set(bytes);
        reservation
    }
}

/// Memory that a holder has reserved. Dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation {
    account: MemoryAccount,
    holder: Holder,
    bytes: usize,
}

impl Reservation {
    /// Returns the size.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size and returns whether the account permits it. It always permits a smaller size.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let permitted = bytes <= self.bytes || self.account.permits(self.holder, self.bytes, bytes);
        match permitted {
            true => self.set(bytes),
            false => {
                self.account.0.refusals.fetch_add(1, Relaxed);
            }
        }
        permitted
    }

    /// Changes the size, and waits until the account permits it.
    pub async fn resize(&mut self, bytes: usize) {
        let account = self.account.clone();
        let mut released = std::pin::pin!(account.0.released.notified());
        loop {
            released.as_mut().enable();
            if self.try_resize(bytes) {
                return;
            }
            released.as_mut().await;
            released.set(account.0.released.notified());
        }
    }

    /// Changes the size, whatever is left in the account.
    pub fn set(&mut self, bytes: usize) {
        let state = &self.account.0;
        let of_holder = &state.reserved_by_holder[self.holder as usize];
        let before = std::mem::replace(&mut self.bytes, bytes);
        if bytes >= before {
            state.reserved_bytes.fetch_add(bytes - before, Relaxed);
            of_holder.fetch_add(bytes - before, Relaxed);
        } else {
            state.reserved_bytes.fetch_sub(before - bytes, Relaxed);
            of_holder.fetch_sub(before - bytes, Relaxed);
            state.released.notify_waiters();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
