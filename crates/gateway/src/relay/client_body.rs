//! The body of a response to a client, complete or streamed.

use super::response::{IncompleteResponse, StreamedBody};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Observes a streamed response. The observer is dropped when the stream ends.
pub trait StreamObserver {
    /// Records that `bytes` bytes were passed to the HTTP connection.
    fn bytes_sent(&self, bytes: u64);
    /// Returns whether the stream is aborted because the transfer is too slow.
    fn is_too_slow(&self) -> bool;
}

/// The body of a response to a client.
pub enum ClientBody<O: StreamObserver> {
    /// The complete body.
    Complete(Full<Bytes>),
    /// A body that is still arriving from the backend.
    Streamed(Box<StreamedBody>, O),
}

impl<O: StreamObserver> Drop for ClientBody<O> {
    fn drop(&mut self) {
        if let ClientBody::Streamed(body, observer) = self {
            body.too_slow = observer.is_too_slow();
        }
    }
}

impl<O: StreamObserver + Unpin> Body for ClientBody<O> {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match self.get_mut() {
            ClientBody::Complete(body) => {
                let never = |error: Infallible| match error {};
                Pin::new(body).poll_frame(cx).map(|frame| frame.map(|frame| frame.map_err(never)))
            }
            ClientBody::Streamed(body, observer) => {
                let polled = Pin::new(&mut **body).poll_frame(cx);
                if let Poll::Ready(Some(Ok(frame))) = &polled {
                    observer.bytes_sent(frame.data_ref().map_or(0, |data| data.len() as u64));
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ClientBody::Complete(body) => body.is_end_stream(),
            ClientBody::Streamed(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ClientBody::Complete(body) => body.size_hint(),
            ClientBody::Streamed(body, _) => body.size_hint(),
        }
    }
}
