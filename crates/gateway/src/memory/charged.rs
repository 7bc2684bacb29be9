//! Bytes that carry their reservation with them.

use super::account::{Holder, MemoryAccount, Reservation};
use bytes::{Bytes, BytesMut};

/// The capacity of the first allocation of a buffer whose length is not known.
const FIRST_CAPACITY_BYTES: usize = 4096;

/// A buffer grows by this share of its capacity: 1 / `GROWTH_DIVISOR`.
const GROWTH_DIVISOR: usize = 4;

/// A buffer in which a message is collected. It copies what it is given: a slice of a connection's read buffer would
/// keep all of that buffer, however short the slice is. Its capacity is reserved before it is allocated.
#[derive(Debug)]
pub struct ChargedBuffer {
    bytes: BytesMut,
    reservation: Reservation,
}

impl ChargedBuffer {
    /// Creates an empty buffer.
    pub fn new(account: &MemoryAccount, holder: Holder) -> ChargedBuffer {
        ChargedBuffer { bytes: BytesMut::new(), reservation: account.charge(holder, 0) }
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reserves and allocates memory for a message of this length, and waits until there is enough.
    pub async fn allocate(&mut self, length: usize) {
        if length > self.bytes.capacity() {
            self.reservation.resize(length).await;
            let mut grown = BytesMut::with_capacity(length);
            grown.extend_from_slice(&self.bytes);
            self.bytes = grown;
        }
    }

    /// Appends bytes. Waits for memory if the buffer has to grow.
    pub async fn append(&mut self, bytes: &[u8]) {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            let capacity = self.bytes.capacity();
            let grown = capacity + (capacity / GROWTH_DIVISOR).max(FIRST_CAPACITY_BYTES);
            self.allocate(needed.max(grown)).await;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the bytes, which stay charged until the last reference to them is dropped.
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ChargedBytes { bytes: self.bytes, _reservation: self.reservation })
    }
}

/// The owner of frozen bytes.
struct ChargedBytes {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
