//! The received part of an upload, and which attempts may send it.

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// The request body of a client, from which an upload is read.
pub type UploadSource = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// Which attempts may send an upload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Carrier {
    /// Any attempt, because everything received so far is in the replay buffer.
    Any,
    /// Only this attempt, which read past the replay buffer.
    Only(usize),
    /// No attempt, because the upload was closed.
    Closed,
}

/// The number of kept bytes that a reader gets at once.
const REPLAY_CHUNK_BYTES: usize = 16 * 1024;

/// The start of an upload, kept while it fits into the capacity. It is a copy: the chunks of an upload that arrives
/// slowly are short, and each would keep the buffer that it was read into.
struct ReplayBuffer {
    bytes: BytesMut,
    /// The number of bytes that were kept. Unchanged when the bytes are dropped.
    kept_bytes: usize,
    capacity_bytes: usize,
}

/// The result of [`UploadState::store`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreResult {
    /// The chunk is in the replay buffer.
    Kept,
    /// The chunk did not fit into the replay buffer. The upload is now bound to the attempt that read the chunk.
    Bound,
    /// The upload had been bound or closed before.
    NotKept,
}

/// The received part of an upload and the source of the rest.
pub(super) struct UploadState {
    /// `None` once nothing more is read from the client.
    source: Option<UploadSource>,
    declared_length: Option<u64>,
    replay: ReplayBuffer,
    carrier: Carrier,
    /// When the last byte was received.
    completed_at: Option<Instant>,
    /// Whether the upload ended before it was complete.
    broken: bool,
    /// Whether a reader is waiting for the client.
    stalled: bool,
    /// The wakers of the readers that wait.
    wakers: Vec<Waker>,
}

impl UploadState {
    pub(super) fn new(source: UploadSource, replay_bytes: usize) -> UploadState {
        UploadState {
            declared_length: source.size_hint().exact(),
            source: Some(source),
            replay: ReplayBuffer { bytes: BytesMut::new(), kept_bytes: 0, capacity_bytes: replay_bytes },
            carrier: Carrier::Any,
            completed_at: None,
            broken: false,
            stalled: false,
            wakers: Vec::new(),
        }
    }

    /// Returns the length, if the client declared one.
    pub(super) fn declared_length(&self) -> Option<u64> {
        self.declared_length
    }

    /// Returns when the last byte was received.
    pub(super) fn completed_at(&self) -> Option<Instant> {
        self.completed_at
    }

    /// Returns whether the client has sent the complete upload.
    pub(super) fn is_complete(&self) -> bool {
        self.completed_at.is_some()
    }

    /// Returns whether nothing more is read from the client.
    pub(super) fn is_over(&self) -> bool {
        self.is_complete() || self.source.is_none()
    }

    /// Returns whether a reader waits for the client.
    pub(super) fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// Returns whether the upload is incomplete because of the client: it broke off, or a reader waits for more data.
    pub(super) fn awaits_client(&self) -> bool {
        self.broken || (!self.is_complete() && self.stalled)
    }

    /// Returns whether only this attempt may send the upload.
    pub(super) fn is_bound_to(&self, attempt: usize) -> bool {
        self.carrier == Carrier::Only(attempt)
    }

    /// Returns whether any attempt may send the upload.
    pub(super) fn is_replayable(&self) -> bool {
        self.carrier == Carrier::Any
    }

    /// Returns whether this attempt may send the upload.
    pub(super) fn may_carry(&self, attempt: usize) -> bool {
        self.is_replayable() || self.is_bound_to(attempt)
    }

    /// Returns whether the upload is complete and none of it was ever kept, so that a new attempt has nothing to send.
    pub(super) fn is_complete_unkept(&self) -> bool {
        self.is_complete() && self.replay.kept_bytes == 0
    }

    /// Returns bytes of the replay buffer from this offset; `None` at its end.
    pub(super) fn kept_from(&self, offset: usize) -> Option<Bytes> {
        let kept = self.replay.bytes.get(offset..)?;
        let chunk = &kept[..kept.len().min(REPLAY_CHUNK_BYTES)];
        (!chunk.is_empty()).then(|| Bytes::copy_from_slice(chunk))
    }

    /// Returns the number of bytes in the replay buffer.
    pub(super) fn kept_bytes(&self) -> usize {
        self.replay.bytes.len()
    }

    /// Reads data from the client.
    pub(super) fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let Some(source) = self.source.as_mut() else {
            return Poll::Ready(Some(Err(io::Error::other("the upload ended before it was complete"))));
        };
        let Poll::Ready(data) = poll_data(source, cx) else {
            self.stalled = true;
            self.register(cx.waker());
            return Poll::Pending;
        };
        let ended = data.is_none() || source.is_end_stream();
        self.stalled = false;
        if matches!(data, Some(Err(_))) {
            self.broken = true;
            self.source = None;
        } else if ended {
            self.completed_at = Some(Instant::now());
            self.source = None;
        }
        Poll::Ready(data)
    }

    /// Registers a reader to be woken. The source wakes only one of several readers, which then wakes the others.
    fn register(&mut self, waker: &Waker) {
        if !self.wakers.iter().any(|known| known.will_wake(waker)) {
            self.wakers.push(waker.clone());
        }
    }

    /// Wakes the readers that wait.
    pub(super) fn wake_readers(&mut self) {
        self.wakers.drain(..).for_each(Waker::wake);
    }

    /// Stores a chunk for other attempts if it fits into the replay buffer, or else binds the upload to this attempt.
    pub(super) fn store(&mut self, chunk: &Bytes, attempt: usize) -> StoreResult {
        if !self.is_replayable() {
            return StoreResult::NotKept;
        }
        let replay = &mut self.replay;
        if replay.kept_bytes + chunk.len() > replay.capacity_bytes {
            self.carrier = Carrier::Only(attempt);
            replay.bytes = BytesMut::new();
            return StoreResult::Bound;
        }
        replay.kept_bytes += chunk.len();
        replay.bytes.extend_from_slice(chunk);
        StoreResult::Kept
    }

    /// Handles a dropped reader. It may have been the only one that the source wakes, so all others are woken; those
    /// that still wait register again.
    pub(super) fn reader_dropped(&mut self) {
        self.stalled = false;
        self.wake_readers();
    }

    /// Closes the upload. No attempt may send it any more, so that an attempt still in progress does not end its
    /// request with a partial body.
    pub(super) fn close(&mut self) {
        if self.source.take().is_some() && !self.is_complete() {
            self.broken = true;
        }
        self.replay.bytes = BytesMut::new();
        self.carrier = Carrier::Closed;
        self.wake_readers();
    }
}

/// Polls for data. Trailers are dropped: they apply only to the client's connection.
fn poll_data(source: &mut UploadSource, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
    loop {
        let Poll::Ready(frame) = source.as_mut().poll_frame(cx) else { return Poll::Pending };
        match frame.map(|frame| frame.map(Frame::into_data)) {
            Some(Ok(Ok(data))) => return Poll::Ready(Some(Ok(data))),
            Some(Ok(Err(_trailers))) => {}
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            None => return Poll::Ready(None),
        }
    }
}
