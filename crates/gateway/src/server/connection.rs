//! The state machine of one client's connection, and the requests to end it.
//!
//! ```text
//!  accepted
//!     |
//!     v        request accepted               streamed response begins
//! Receiving ---------------------> Processing -------------------------> Streaming
//!   |  ^                               |                                     |
//!   |  | first byte of a request       | response complete                   | response ended
//!   v  |                               v                                     |
//!   Idle <-------------------------------------------------------------------+
//!
//! any phase -- the HTTP exchange is complete and bytes were written --> Lingering
//! ```
//!
//! `ConnectionTable` decides when a connection has to end and requests it with [`ClientConnection::close`],
//! [`ClientConnection::abandon`] or [`ClientConnection::abort`]; the task that serves the connection carries out the
//! request. None of these changes the phase or when it began, so a request to end a connection never extends the time
//! that its client has.

use super::transfer_progress::TransferProgress;
use crate::framing::{BodyFraming, FramingReader};
use crate::read_ahead::{MAX_READ_AHEAD_BYTES, MAX_READ_AHEAD_OF_BODY_BYTES};
use crate::relay::{StreamSettings, Upload};
use crate::tapped::Tap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The phase of a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The connection is new, or a part of a request has arrived.
    Receiving,
    /// A request was accepted and awaits its response. Its upload may still be arriving.
    Processing,
    /// A streamed response is being sent.
    Streaming,
    /// No request is open.
    Idle,
    /// The gateway has closed its side and discards what the client still sends.
    Lingering,
}

/// The shared state of one client's connection.
pub(super) struct ClientConnection {
    phase: Cell<Phase>,
    /// When the phase began.
    phase_since: Cell<Instant>,
    /// When the client last sent anything; at first, when the connection was accepted.
    last_received: Cell<Instant>,
    /// Whether a part of a request has arrived, but not the complete request.
    request_started: Cell<bool>,
    /// Whether the open request has arrived completely. For an upload, [`Self::upload`] tells this from its begin on.
    request_complete: Cell<bool>,
    /// Whether the client of the open request has sent more than may be read ahead.
    client_unobservable: Cell<bool>,
    /// Wakes the handler of the open request after `client_unobservable` was set.
    became_unobservable: Notify,
    /// Whether anything was written; a TCP reset could discard it before the client has read it.
    response_written: Cell<bool>,
    /// Whether the end of the connection is the end of the streamed response, so that only a reset tells a client that
    /// the response is incomplete.
    response_ends_with_connection: Cell<bool>,
    /// When it was first requested that the connection closes after the response to the current request.
    closing_since: Cell<Option<Instant>>,
    /// Whether the connection no longer waits for the rest of a request.
    abandoned: Cell<bool>,
    /// Whether the connection is to be closed immediately.
    aborted: Cell<bool>,
    /// Wakes the task that serves the connection after its end was requested.
    end_requested: Notify,
    /// Progress of the streamed response that is being sent.
    response: TransferProgress,
    /// The upload of the open request.
    upload: RefCell<Option<Rc<Upload>>>,
    /// Whether the connection was aborted because a transfer was too slow.
    aborted_as_slow: Cell<bool>,
    /// Follows where requests begin and end, and how they delimit their bodies.
    framing: RefCell<FramingReader>,
}

impl ClientConnection {
    /// Creates the state of a newly accepted connection.
    pub(super) fn new() -> ClientConnection {
        let now = Instant::now();
        ClientConnection {
            phase: Cell::new(Phase::Receiving),
            phase_since: Cell::new(now),
            last_received: Cell::new(now),
            request_started: Cell::new(false),
            request_complete: Cell::new(false),
            client_unobservable: Cell::new(false),
            became_unobservable: Notify::new(),
            response_written: Cell::new(false),
            response_ends_with_connection: Cell::new(false),
            closing_since: Cell::new(None),
            abandoned: Cell::new(false),
            aborted: Cell::new(false),
            end_requested: Notify::new(),
            response: TransferProgress::new(),
            upload: RefCell::default(),
            aborted_as_slow: Cell::new(false),
            framing: RefCell::default(),
        }
    }

    fn enter(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.phase_since.set(Instant::now());
        }
        if phase != Phase::Receiving {
            self.request_started.set(false);
        }
    }

    /// Records bytes received from the client.
    fn bytes_received(&self, bytes: &[u8]) {
        self.framing.borrow_mut().read(bytes);
        if bytes.is_empty() {
            return;
        }
        self.last_received.set(Instant::now());
        // The receive timeout starts with the first byte of a request, so that a partial request can't hold a
        // persistent connection longer than a new one.
        if matches!(self.phase(), Phase::Idle | Phase::Receiving) {
            self.enter(Phase::Receiving);
            self.request_started.set(true);
        }
    }

    /// Records that the head of a request is complete.
    pub(super) fn head_received(&self) {
        self.enter(Phase::Receiving);
    }

    /// Records that a request was accepted, which has arrived completely.
    pub(super) fn request_accepted(&self) {
        self.processing(true);
    }

    /// Records that a request was accepted whose upload may still be arriving.
    pub(super) fn upload_accepted(&self) {
        self.processing(false);
    }

    fn processing(&self, request_complete: bool) {
        self.request_complete.set(request_complete);
        self.client_unobservable.set(false);
        self.enter(Phase::Processing);
    }

    /// Records the start of a streamed response.
    pub(super) fn response_streaming(&self) {
        self.enter(Phase::Streaming);
        self.response.begin();
    }

    /// Records that a response is complete, or that its stream has ended. The start of the next request may have arrived
    /// before.
    pub(super) fn response_finished(&self) {
        if self.framing.borrow().ends_in_next_head() {
            self.enter(Phase::Receiving);
            self.request_started.set(true);
        } else {
            self.enter(Phase::Idle);
        }
    }

    /// Records the start of the lingering close: the HTTP exchange has ended, and further bytes are discarded.
    pub(super) fn lingering(&self) {
        self.enter(Phase::Lingering);
    }

    /// Records that the end of the connection is the end of the streamed response.
    pub(super) fn response_ends_with_connection(&self) {
        self.response_ends_with_connection.set(true);
    }

    /// Returns whether the connection must be reset if it ends before the HTTP exchange is complete.
    pub(super) fn must_reset(&self) -> bool {
        self.response_ends_with_connection.get()
    }

    /// Returns the current phase.
    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns when the current phase began.
    pub(super) fn phase_since(&self) -> Instant {
        self.phase_since.get()
    }

    /// Returns whether the connection has been in `phase` for longer than `limit`.
    pub(super) fn is_in_phase_longer_than(&self, phase: Phase, limit: Duration) -> bool {
        self.phase() == phase && self.phase_since().elapsed() > limit
    }

    /// Returns whether the connection waits for a request or the rest of one. An upload counts while its attempt waits
    /// for the client.
    pub(super) fn awaits_client(&self) -> bool {
        let upload_awaits_client =
            || self.upload.borrow().as_ref().is_some_and(|upload| upload.awaits_client());
        self.phase() == Phase::Receiving || upload_awaits_client()
    }

    /// Returns when the client fell silent, if the connection waits for it.
    pub(super) fn silent_since(&self) -> Option<Instant> {
        self.awaits_client().then(|| self.last_received.get())
    }

    /// Returns whether a part of a request has arrived, but not the complete request.
    pub(super) fn has_partial_request(&self) -> bool {
        self.request_started.get()
    }

    /// Returns whether anything was written to the client.
    pub(super) fn has_response_bytes(&self) -> bool {
        self.response_written.get()
    }

    /// Returns whether the open request has arrived completely.
    pub(super) fn is_request_complete(&self) -> bool {
        match &*self.upload.borrow() {
            Some(upload) => upload.is_complete(),
            None => self.request_complete.get(),
        }
    }

    /// Returns how many bytes may be read ahead to notice when the client of the open request disconnects. `None`
    /// without an open request, and while an upload is being read, which ends if the client disconnects.
    pub(super) fn read_ahead_limit(&self) -> Option<usize> {
        if self.phase() != Phase::Processing || self.client_unobservable.get() {
            return None;
        }
        if self.is_request_complete() {
            return Some(MAX_READ_AHEAD_BYTES);
        }
        let is_being_read = self.upload.borrow().as_ref().is_some_and(|upload| upload.is_being_read());
        (!is_being_read).then_some(MAX_READ_AHEAD_OF_BODY_BYTES)
    }

    /// Records that the client of the open request has sent more than may be read ahead, so that it can't be observed
    /// whether it is still connected.
    pub(super) fn client_unobservable(&self) {
        self.client_unobservable.set(true);
        self.became_unobservable.notify_one();
    }

    /// Waits until [`Self::client_unobservable`] is called for the open request.
    pub(super) async fn until_client_unobservable(&self) {
        while !self.client_unobservable.get() {
            self.became_unobservable.notified().await;
        }
    }

    /// Returns how the next request delimits its body, if that is known.
    pub(super) fn next_framing(&self) -> Option<BodyFraming> {
        self.framing.borrow_mut().next()
    }

    /// Requests that the connection closes after the response to the current request.
    pub(super) fn close(&self) {
        if self.closing_since.get().is_none() {
            self.closing_since.set(Some(Instant::now()));
            self.end_requested.notify_one();
        }
    }

    /// Requests that the connection no longer waits for the rest of a request, and closes immediately. If the request
    /// has arrived completely by then, the connection closes after its response instead.
    pub(super) fn abandon(&self) {
        self.abandoned.set(true);
        self.close();
        self.end_requested.notify_one();
    }

    /// Requests that the connection is closed immediately.
    pub(super) fn abort(&self) {
        self.aborted.set(true);
        self.end_requested.notify_one();
    }

    /// Requests that the connection is closed immediately, because a transfer is too slow.
    pub(super) fn abort_as_slow(&self) {
        self.aborted_as_slow.set(true);
        self.abort();
    }

    /// Returns whether a close after the current response was requested.
    pub(super) fn is_closing(&self) -> bool {
        self.closing_since.get().is_some()
    }

    /// Returns whether a close after the current response was requested more than `limit` ago.
    pub(super) fn is_closing_longer_than(&self, limit: Duration) -> bool {
        self.closing_since.get().is_some_and(|since| since.elapsed() > limit)
    }

    /// Returns whether the connection no longer waits for the rest of a request.
    pub(super) fn is_abandoned(&self) -> bool {
        self.abandoned.get()
    }

    /// Returns whether an immediate close was requested.
    pub(super) fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Returns whether the connection has to be closed now, without a further response.
    pub(super) fn must_end_now(&self) -> bool {
        self.is_aborted() || (self.is_abandoned() && self.awaits_client())
    }

    /// Returns whether an immediate close was requested because a transfer was too slow.
    pub(super) fn is_aborted_as_slow(&self) -> bool {
        self.aborted_as_slow.get()
    }

    /// Waits until [`Self::close`], [`Self::abandon`] or [`Self::abort`] is called.
    pub(super) async fn end_requested(&self) {
        self.end_requested.notified().await;
    }

    /// Waits until [`Self::abort`] is called.
    pub(super) async fn until_aborted(&self) {
        while !self.is_aborted() {
            self.end_requested.notified().await;
        }
    }

    /// Sets or clears the upload of the open request.
    pub(super) fn set_upload(&self, upload: Option<Rc<Upload>>) {
        self.upload.replace(upload);
    }

    /// Records bytes of a streamed response that were passed to the HTTP connection.
    pub(super) fn response_progress(&self, bytes: u64) {
        self.response.add(bytes);
    }

    /// Returns whether a transfer takes too long, or transferred too few bytes in a window.
    pub(super) fn is_transfer_too_slow(&self, settings: &StreamSettings) -> bool {
        if self.upload.borrow().as_ref().is_some_and(|upload| upload.is_client_too_slow(settings)) {
            return true;
        }
        self.phase() == Phase::Streaming && self.response.is_too_slow(settings)
    }
}

/// Reports the traffic of a client's connection to its [`ClientConnection`].
pub(super) struct ConnectionTap(pub(super) Rc<ClientConnection>);

impl Tap for ConnectionTap {
    fn bytes_read(&self, bytes: &[u8]) {
        self.0.bytes_received(bytes);
    }
    fn bytes_written(&self, count: usize) {
        if count > 0 {
            self.0.response_written.set(true);
        }
    }
}
