//! Bytes that are read from a socket before its HTTP connection asks for them.

use crate::memory::{Holder, MemoryAccount, Reservation};
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use tokio::io::ReadBuf;

/// The size of the chunks in which bytes are kept.
pub const CHUNK_BYTES: usize = 4096;
/// The number of bytes that are read ahead at most while a request is incomplete and nothing reads its body.
pub const MAX_READ_AHEAD_OF_BODY_BYTES: usize = 32 * 1024;
/// The number of bytes that one connection may read ahead at most.
pub const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;

/// The bytes that were read ahead on one connection. Its memory is reserved by whole chunks; the first one belongs to
/// the memory of the connection, so that a client which sends little can always be read.
#[derive(Debug)]
pub struct ReadAheadBuffer {
    chunks: VecDeque<BytesMut>,
    length: usize,
    /// The memory of all chunks but the first.
    reservation: Reservation,
}

impl ReadAheadBuffer {
    /// Creates an empty buffer.
    pub fn new(account: &MemoryAccount) -> ReadAheadBuffer {
        let reservation = account.charge(Holder::ReadAhead, 0);
        ReadAheadBuffer { chunks: VecDeque::new(), length: 0, reservation }
    }

    /// Returns whether the buffer holds nothing.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns how many bytes may be appended, up to `wanted`, so that the buffer holds `limit` bytes at most. 0 also
    /// if there is no memory for another chunk.
    pub fn reserve(&mut self, wanted: usize, limit: usize) -> usize {
        let count = wanted.min(limit.saturating_sub(self.length));
        let room = self.room_in_last_chunk();
        if room > 0 || count == 0 {
            return count.min(room);
        }
        match self.reservation.try_resize(self.chunks.len() * CHUNK_BYTES) {
            true => count.min(CHUNK_BYTES),
            false => 0,
        }
    }

    fn room_in_last_chunk(&self) -> usize {
        self.chunks.back().map_or(0, |chunk| chunk.capacity() - chunk.len())
    }

    /// Appends bytes for which there is room.
    pub fn append(&mut self, bytes: &[u8]) {
        if self.room_in_last_chunk() < bytes.len() {
            self.chunks.push_back(BytesMut::with_capacity(CHUNK_BYTES));
        }
        if let Some(chunk) = self.chunks.back_mut() {
            chunk.extend_from_slice(bytes);
            self.length += bytes.len();
        }
    }

    /// Moves the first bytes into `target`.
    pub fn read_into(&mut self, target: &mut ReadBuf) {
        while let Some(chunk) = self.chunks.front_mut().filter(|_| target.remaining() > 0) {
            let count = chunk.len().min(target.remaining());
            target.put_slice(&chunk[..count]);
            chunk.advance(count);
            self.length -= count;
            if chunk.is_empty() {
                self.chunks.pop_front();
            }
        }
        self.return_unused();
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.chunks = VecDeque::new();
        self.length = 0;
        self.return_unused();
    }

    /// Releases memory that was reserved for a chunk to which nothing was appended.
    pub fn return_unused(&mut self) {
        let needed = self.chunks.len().saturating_sub(1) * CHUNK_BYTES;
        if needed < self.reservation.bytes() {
            self.reservation.set(needed);
        }
    }
}

#[cfg(test)]
mod tests;
