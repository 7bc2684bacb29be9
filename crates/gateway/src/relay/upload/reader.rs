//! Reads an upload as the request body of one attempt.

use super::state::StoreResult;
use super::Upload;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// An upload as the request body of one attempt.
pub struct UploadReader {
    upload: Rc<Upload>,
    attempt: usize,
    /// How many bytes of the replay buffer were read.
    kept_bytes_read: usize,
    sent_bytes: u64,
    send_state: Rc<SendState>,
}

/// The progress of one attempt in sending an upload.
#[derive(Debug, Default)]
pub struct SendState {
    /// Whether sending stopped because the backend has already responded.
    stopped: Cell<bool>,
    /// Whether the last byte was passed to the HTTP connection, so that the backend may execute the request.
    complete: Cell<bool>,
}

impl SendState {
    /// Stops sending.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Returns whether the backend may have received the complete upload.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }
}

impl UploadReader {
    /// Creates the request body of an attempt, which reads the upload from its start.
    pub fn new(upload: Rc<Upload>, attempt: usize) -> UploadReader {
        let send_state = Rc::<SendState>::default();
        send_state.complete.set(upload.state.borrow().is_complete_unkept());
        UploadReader { upload, attempt, kept_bytes_read: 0, sent_bytes: 0, send_state }
    }

    /// Returns the shared progress of this attempt.
    pub fn send_state(&self) -> Rc<SendState> {
        self.send_state.clone()
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut state = self.upload.state.borrow_mut();
        if !state.may_carry(self.attempt) {
            let error = io::Error::other("the upload is bound to another attempt or closed");
            return Poll::Ready(Some(Err(error)));
        }
        if let Some(chunk) = state.kept_from(self.kept_bytes_read) {
            self.kept_bytes_read += chunk.len();
            return Poll::Ready(Some(Ok(chunk)));
        }
        if state.is_complete() {
            return Poll::Ready(None);
        }
        let data = ready!(state.poll_source(cx));
        if let Some(Ok(chunk)) = &data {
            self.upload.received_bytes.set(self.upload.received_bytes.get() + chunk.len() as u64);
            match state.store(chunk, self.attempt) {
                StoreResult::Kept => self.kept_bytes_read += chunk.len(),
                StoreResult::Bound => self.upload.changed.notify_waiters(),
                StoreResult::NotKept => {}
            }
        }
        if state.is_complete() {
            self.upload.changed.notify_waiters();
        }
        state.wake_readers();
        Poll::Ready(data)
    }
}

impl Drop for UploadReader {
    fn drop(&mut self) {
        self.upload.state.borrow_mut().reader_dropped();
    }
}

impl Body for UploadReader {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if this.send_state.stopped.get() {
            return Poll::Pending;
        }
        let data = ready!(this.poll_data(cx));
        if let Some(Ok(chunk)) = &data {
            this.sent_bytes += chunk.len() as u64;
        }
        this.send_state.complete.set(data.is_none() || this.is_end_stream());
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.upload.state.borrow();
        // An upload that is bound to another attempt must not end here: the backend would take a partial body for a
        // complete one.
        state.may_carry(self.attempt) && state.is_complete() && self.kept_bytes_read >= state.kept_bytes()
    }

    fn size_hint(&self) -> SizeHint {
        match self.upload.state.borrow().declared_length() {
            Some(length) => SizeHint::with_exact(length.saturating_sub(self.sent_bytes)),
            None => SizeHint::default(),
        }
    }
}
