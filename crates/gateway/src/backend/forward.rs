//! A client's request as it is forwarded to backends.

use crate::http::RequestBody;
use crate::names::Names;
use crate::relay::Upload;
use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use tokio::time::Instant;

/// Header fields that hold for one connection alone (RFC 9110, section 7.6.1), and Content-Length, as a forwarded
/// message is framed anew.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
];

/// A client's request as it is forwarded to backends.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those that hold for the client's connection alone.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Payload,
    /// The deployment's names of headers.
    pub names: Rc<Names>,
}

/// The body of a client's request.
#[derive(Debug)]
pub enum Payload {
    /// It was read before the request was accepted.
    Complete(Bytes),
    /// It may still be arriving.
    Upload(Rc<Upload>),
}

impl Payload {
    /// The upload, if it is one.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Complete(_) => None,
            Payload::Upload(upload) => Some(upload),
        }
    }
}

impl ForwardedRequest {
    /// The request of one attempt. Its budget tells the backend how long this gateway waits.
    pub(super) fn request(&self, give_up_at: Instant, body: RequestBody) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let budget_ms = give_up_at.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert(&self.names.headers.timeout, HeaderValue::from(budget_ms));
        request
    }
}

/// Removes the headers that hold for one connection alone.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
