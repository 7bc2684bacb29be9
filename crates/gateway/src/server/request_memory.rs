//! The memory of a request's head, and heads that keep no more than they need.

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::Uri;

/// The state of an open request besides its head and body: its entries in the tables of the driver and of the policy
/// engine, and the task of its attempt.
const REQUEST_STATE_BYTES: usize = 4 * 1024;
/// The entry of a field in a header map, including the unused part of the map.
const FIELD_BYTES: usize = 192;
/// A request keeps its head, and each attempt has a copy of it.
const HEAD_COPIES: usize = 2;

/// Returns the memory of an open request without its body.
pub(super) fn request_bytes(head: &Parts) -> usize {
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES);
    let uri_length = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    REQUEST_STATE_BYTES + HEAD_COPIES * (fields.sum::<usize>() + uri_length)
}

/// Returns the head with its own copy of the target and of each value. As hyper returns them, they are slices of the
/// connection's read buffer and keep all of it for as long as the request is open.
pub(super) fn compact(mut head: Parts) -> Parts {
    let mut headers = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.append(name.clone(), copy);
        }
    }
    head.headers = headers;
    if let Ok(copy) = Uri::try_from(head.uri.to_string()) {
        head.uri = copy;
    }
    head
}
