//! Bytes that are read from a socket before its HTTP connection asks for them, and the memory that they may take.

use bytes::{Buf, BytesMut};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::ReadBuf;

/// The number of bytes that each connection may read ahead without a share of the [`ReadAheadBudget`].
pub const RESERVED_READ_AHEAD_BYTES: usize = 32 * 1024;
/// The number of bytes that one connection may read ahead at most.
pub const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;

/// The memory that all connections together may use to read ahead beyond [`RESERVED_READ_AHEAD_BYTES`] each. Clones
/// share it.
#[derive(Clone, Default)]
pub struct ReadAheadBudget {
    available_bytes: Rc<Cell<usize>>,
}

impl ReadAheadBudget {
    /// Creates a budget of this size.
    pub fn new(bytes: usize) -> ReadAheadBudget {
        ReadAheadBudget { available_bytes: Rc::new(Cell::new(bytes)) }
    }

    /// Takes bytes out of the budget. Returns whether it had as many.
    fn take(&self, bytes: usize) -> bool {
        let remaining = self.available_bytes.get().checked_sub(bytes);
        if let Some(remaining) = remaining {
            self.available_bytes.set(remaining);
        }
        remaining.is_some()
    }

    fn put_back(&self, bytes: usize) {
        self.available_bytes.set(self.available_bytes.get() + bytes);
    }
}

/// The bytes that were read ahead on one connection.
pub struct ReadAheadBuffer {
    bytes: BytesMut,
    budget: ReadAheadBudget,
    /// The bytes that this buffer has taken out of the budget.
    taken_bytes: usize,
}

impl ReadAheadBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: ReadAheadBudget) -> ReadAheadBuffer {
        ReadAheadBuffer { bytes: BytesMut::new(), budget, taken_bytes: 0 }
    }

    /// Returns whether the buffer holds nothing.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns how many bytes may be appended, up to `wanted`, so that the buffer holds `limit` bytes at most. 0 also
    /// if the budget is used up.
    pub fn reserve(&mut self, wanted: usize, limit: usize) -> usize {
        let count = wanted.min(limit.saturating_sub(self.bytes.len()));
        let beyond_reserved = (self.bytes.len() + count).saturating_sub(RESERVED_READ_AHEAD_BYTES);
        let missing = beyond_reserved.saturating_sub(self.taken_bytes);
        if !self.budget.take(missing) {
            return 0;
        }
        self.taken_bytes += missing;
        count
    }

    /// Appends bytes for which there is room.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Moves the first bytes into `target`.
    pub fn read_into(&mut self, target: &mut ReadBuf) {
        let count = self.bytes.len().min(target.remaining());
        target.put_slice(&self.bytes[..count]);
        self.bytes.advance(count);
        if self.bytes.is_empty() {
            // Frees the memory.
            self.bytes = BytesMut::new();
        }
        self.return_unused();
    }

    /// Returns to the budget what the bytes in the buffer don't need.
    pub fn return_unused(&mut self) {
        let needed = self.bytes.len().saturating_sub(RESERVED_READ_AHEAD_BYTES);
        self.budget.put_back(self.taken_bytes.saturating_sub(needed));
        self.taken_bytes = self.taken_bytes.min(needed);
    }
}

impl Drop for ReadAheadBuffer {
    fn drop(&mut self) {
        self.budget.put_back(self.taken_bytes);
    }
}

#[cfg(test)]
mod tests;
