//! Request bodies, complete or streamed.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A request body that is sent while it is being received.
pub type StreamedRequestBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// The body of a request.
pub enum RequestBody {
    /// The complete body.
    Complete(Full<Bytes>),
    /// A body that is sent while it is being received.
    Streamed(StreamedRequestBody),
}

impl RequestBody {
    /// Returns an empty body.
    pub fn empty() -> RequestBody {
        RequestBody::Complete(Full::default())
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            RequestBody::Complete(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never: Infallible| match never {})
            }
            RequestBody::Streamed(body) => body.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Complete(body) => body.is_end_stream(),
            RequestBody::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Complete(body) => body.size_hint(),
            RequestBody::Streamed(body) => body.size_hint(),
        }
    }
}
