//! Responses that this gateway makes itself.

use super::error::RequestError;
use super::transfer::ResponseStream;
use crate::relay::ClientBody;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use lanespan_policy::Micros;

/// The body of a response to a client.
pub(super) type ResponseBody = ClientBody<ResponseStream>;

/// A complete body.
pub(super) fn complete_body(body: Bytes) -> ResponseBody {
    ClientBody::Complete(Full::new(body))
}

/// A response with a line of text.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(complete_body(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The response to a request that is in error. It ends the connection: guards against what follows a request that
/// can't be believed, such as a body of 60 MB, which then is not read.
pub(super) fn error_response(error: RequestError) -> Response<ResponseBody> {
    let (status, text) = error.response();
    with_connection_close(text_response(status, text))
}

/// Ends the connection with this response (RFC 9112, section 9.6).
pub(super) fn with_connection_close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Says when the client may try again (RFC 9110, section 10.2.3), in seconds with a fraction, which this platform's
/// clients read.
pub(super) fn set_retry_after(response: &mut Response<ResponseBody>, wait: Option<Micros>) {
    let Some(wait) = wait else { return };
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
}
