//! The request that is forwarded to backends.

use crate::http::RequestBody;
use crate::names::Names;
use crate::relay::Upload;
use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use tokio::time::Instant;

/// Header fields that apply to a single connection (RFC 9110, section 7.6.1), and Content-Length, because a forwarded
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
    /// The method of the request.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers, without those that apply only to the client's connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Payload,
    /// The header names of this deployment.
    pub names: Rc<Names>,
}

/// The body of a client's request.
#[derive(Debug)]
pub enum Payload {
    /// A body that was read completely before the request was accepted.
    Complete(Bytes),
    /// A body that may still be arriving.
    Upload(Rc<Upload>),
}

impl Payload {
    /// Returns the upload, if the body is one.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Complete(_) => None,
            Payload::Upload(upload) => Some(upload),
        }
    }
}

impl ForwardedRequest {
    /// Builds the HTTP request of one attempt. Its timeout header contains the time for which this gateway waits.
    pub(super) fn to_http_request(&self, give_up_at: Instant, body: RequestBody) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let timeout_ms = give_up_at.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert(&self.names.headers.timeout, HeaderValue::from(timeout_ms));
        request
    }
}

/// Removes the headers that apply to a single connection, and Content-Length.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
