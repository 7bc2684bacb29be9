//! A backend's response that is forwarded as it arrives. The start of the body is held back up to a limit. A response
//! that turns out malformed within the limit is a failed attempt. Past the limit the client receives the body; if the
//! response then ends early, the client's connection is closed as well, so that the client does not mistake a truncated
//! body for a complete one.

use super::limits::StreamMemory;
use crate::pool::PooledConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use lanespan_policy::Outcome;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::oneshot;

/// The body of a response that is served.
pub enum ServedBody {
    /// The complete body.
    Complete(Bytes),
    /// A body that is still arriving.
    Streamed(Box<StreamedBody>),
}

impl fmt::Debug for ServedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServedBody::Complete(body) => write!(f, "{} bytes", body.len()),
            ServedBody::Streamed(_) => f.write_str("a stream"),
        }
    }
}

/// The backend's response ended early, after a part of it was sent to the client.
#[derive(Debug, Error)]
#[error("the backend's response ended before it was complete")]
pub struct IncompleteResponse;

/// The part of a response that has not been read yet, and the connection on which it arrives.
struct Remainder {
    connection: PooledConnection,
    body: Incoming,
}

/// The body of a streamed response: the data that was held back, followed by the data that arrives. It reads from the
/// backend only as fast as the client receives. The connection is released to the pool only after a complete body.
pub struct StreamedBody {
    held_back: Bytes,
    remaining: Option<Remainder>,
    /// Whether the request was sent completely, so that the connection can carry another request.
    request_complete: bool,
    /// Whether no more data had arrived from the backend when the body was last polled.
    awaits_backend: bool,
    /// Whether the body is aborted because the transfer was too slow.
    pub(super) too_slow: bool,
    end_sender: Option<oneshot::Sender<Outcome>>,
    _memory: StreamMemory,
}

/// The parameters of [`StreamedBody::new`].
pub struct StreamedBodyParams {
    /// The start of the body, which was held back.
    pub held_back: Bytes,
    /// The connection on which the rest of the body arrives.
    pub connection: PooledConnection,
    /// The rest of the body.
    pub remaining: Incoming,
    /// Whether the request was sent completely.
    pub request_complete: bool,
    /// Receives the outcome when the body ends.
    pub end_sender: oneshot::Sender<Outcome>,
    /// The memory that is reserved for the stream.
    pub memory: StreamMemory,
}

impl StreamedBody {
    /// Creates a body that starts with the data that was held back.
    pub fn new(params: StreamedBodyParams) -> StreamedBody {
        StreamedBody {
            held_back: params.held_back,
            remaining: Some(Remainder { connection: params.connection, body: params.remaining }),
            request_complete: params.request_complete,
            awaits_backend: false,
            too_slow: false,
            end_sender: Some(params.end_sender),
            _memory: params.memory,
        }
    }

    /// Ends the body with an outcome. Further calls have no effect.
    fn end(&mut self, outcome: Outcome) {
        let remaining = self.remaining.take();
        if let Some(end_sender) = self.end_sender.take() {
            // The receiver may be gone if the driver has ended.
            let _ = end_sender.send(outcome);
        }
        if let Some(remaining) = remaining.filter(|_| outcome == Outcome::Success && self.request_complete) {
            remaining.connection.release();
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        // The backend is at fault only if the stream was waiting for it, not if the client reads slowly or disconnects.
        self.end(if self.too_slow && self.awaits_backend { Outcome::Timeout } else { Outcome::Cancelled });
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        let this = self.get_mut();
        if !this.held_back.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.held_back)))));
        }
        loop {
            let Some(Remainder { connection, body }) = &mut this.remaining else { return Poll::Ready(None) };
            let Some(connection) = connection.connection() else {
                return Poll::Ready(Some(Err(IncompleteResponse)));
            };
            let polled = connection.poll_frame(cx, body);
            this.awaits_backend = polled.is_pending();
            match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are dropped: they apply only to the backend's connection.
                    let Ok(data) = frame.into_data() else { continue };
                    // A caller that knows the length does not poll again after the last byte, so end the body here.
                    if body.is_end_stream() {
                        this.end(Outcome::Success);
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Poll::Ready(Some(Err(_))) => {
                    this.end(Outcome::ConnectionReset);
                    return Poll::Ready(Some(Err(IncompleteResponse)));
                }
                Poll::Ready(None) => {
                    this.end(Outcome::Success);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.held_back.is_empty() && self.remaining.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let held_back = self.held_back.len() as u64;
        let remaining = match &self.remaining {
            Some(remaining) => remaining.body.size_hint(),
            None => SizeHint::with_exact(0),
        };
        remaining
            .exact()
            .map_or_else(SizeHint::default, |remaining| SizeHint::with_exact(held_back + remaining))
    }
}
