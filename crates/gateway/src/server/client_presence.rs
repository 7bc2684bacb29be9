//! Whether the client of an open request is still connected.
//!
//! No attempt may begin for a client that has closed its connection. TCP delivers the close behind all bytes that the
//! client has sent, so the gateway reads them ahead of the HTTP connection. As long as unread bytes remain that it may
//! not read ahead, a close could be among them: such a client is not taken to be connected, and no request of it is
//! forwarded.

use super::connection::ClientConnection;
use crate::read_ahead::MAX_READ_AHEAD_BYTES;
use crate::tapped::{PeerState, Socket};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// Waits until the client of an open request is no longer known to be connected. Never completes without such a request.
pub(super) async fn client_left(socket: &RefCell<Socket>, connection: &ClientConnection) -> PeerState {
    // Polled together with the HTTP connection, whose progress changes the phase, so no other wake-up is needed.
    poll_fn(|cx| {
        let Some(limit) = connection.read_ahead_limit() else { return Poll::Pending };
        match ready!(socket.borrow_mut().poll_peer_left(cx, limit)) {
            // The unread bytes may be the rest of the request.
            PeerState::Unknown if !connection.is_request_complete() => Poll::Pending,
            state => Poll::Ready(state),
        }
    })
    .await
}

/// Returns the state of the client of a request that is about to be submitted. Unless the request is complete, its own
/// bytes may be unread, and the client counts as connected.
pub(super) fn client_state(socket: &RefCell<Socket>, connection: &ClientConnection) -> PeerState {
    let Some(limit) = connection.read_ahead_limit() else { return PeerState::Connected };
    match socket.borrow_mut().peer_state(limit) {
        PeerState::Unknown if !connection.is_request_complete() => PeerState::Connected,
        state => state,
    }
}

/// The body of an upload. Backends execute a request once they have received its last byte, so the body ends with an
/// error if the client is not known to be connected when its last byte is read.
pub(super) struct ObservedUpload {
    body: Incoming,
    socket: Rc<RefCell<Socket>>,
}

impl ObservedUpload {
    /// Observes the client on `socket` while its upload is read.
    pub(super) fn new(body: Incoming, socket: Rc<RefCell<Socket>>) -> ObservedUpload {
        ObservedUpload { body, socket }
    }

    fn is_client_connected(&self) -> bool {
        self.socket.borrow_mut().peer_state(MAX_READ_AHEAD_BYTES) == PeerState::Connected
    }
}

impl Body for ObservedUpload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let is_last = frame.is_none() || self.body.is_end_stream();
        if is_last && !self.is_client_connected() {
            return Poll::Ready(Some(Err(io::Error::other("the client has left behind its upload"))));
        }
        Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
