//! Errors for which a request is answered without involving the policy engine.

use crate::request_ids::RequestIdError;
use hyper::StatusCode;

/// Error in a request, or lack of a resource to process it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestError {
    /// Transfer-Encoding on a request that also has a Content-Length, or while streaming is off (RFC 9112, section
    /// 6.3).
    AmbiguousBodyLength,
    /// A header that may appear only once is repeated.
    DuplicateHeader,
    /// The class is missing or not configured.
    UnknownClass,
    /// The quota plan is missing or not configured.
    UnknownPlan,
    /// The customer id is missing or malformed.
    InvalidCustomer,
    /// The time that the client waits is missing or malformed.
    InvalidBudget,
    /// The quota header is missing, malformed or out of range.
    InvalidQuota,
    /// The request id is missing or empty.
    MissingRequestId,
    /// A request with the same id is open.
    DuplicateRequestId,
    /// A request with the same id may have run, and may not run again.
    RequestMayHaveRun,
    /// The method is not the one of the class.
    WrongMethod,
    /// The class requires an idempotency key, which is missing or empty.
    MissingIdempotencyKey,
    /// The body exceeds the limit for messages that are not streamed.
    BodyTooLong,
    /// There is no memory for the request.
    NoMemoryForRequest,
    /// There is no memory for the body.
    NoMemoryForBody,
    /// The connection ended before the body was complete.
    IncompleteBody,
    /// The path is not served.
    UnknownPath,
}

impl From<RequestIdError> for RequestError {
    fn from(error: RequestIdError) -> RequestError {
        match error {
            RequestIdError::Open => RequestError::DuplicateRequestId,
            RequestIdError::MayHaveRun => RequestError::RequestMayHaveRun,
        }
    }
}

impl RequestError {
    /// Returns the status (RFC 9110, section 15) and the text of the response.
    pub(super) fn response(self) -> (StatusCode, &'static str) {
        use RequestError as E;
        match self {
            E::AmbiguousBodyLength => (
                StatusCode::BAD_REQUEST,
                "Transfer-Encoding: expected one length, and Content-Length without streaming\n",
            ),
            E::DuplicateHeader => (StatusCode::BAD_REQUEST, "a header stands twice\n"),
            E::UnknownClass => (StatusCode::BAD_REQUEST, "the class: expected a known one\n"),
            E::UnknownPlan => (StatusCode::BAD_REQUEST, "the plan: expected a known one\n"),
            E::InvalidCustomer => (StatusCode::BAD_REQUEST, "the customer: expected 16 hex digits\n"),
            E::InvalidBudget => (StatusCode::BAD_REQUEST, "the budget: expected whole milliseconds\n"),
            E::InvalidQuota => {
                (StatusCode::BAD_REQUEST, "the quota: expected units, spread and first in their ranges\n")
            }
            E::MissingRequestId => (StatusCode::BAD_REQUEST, "the call: expected an id\n"),
            E::DuplicateRequestId => (StatusCode::CONFLICT, "the call: a request of that name is open\n"),
            E::RequestMayHaveRun => (StatusCode::CONFLICT, "the call: a request of that name may have run\n"),
            E::WrongMethod => (StatusCode::METHOD_NOT_ALLOWED, "not this class's method\n"),
            E::MissingIdempotencyKey => (StatusCode::BAD_REQUEST, "Idempotency-Key: expected a key\n"),
            E::BodyTooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 64 KiB\n"),
            E::NoMemoryForRequest => (StatusCode::SERVICE_UNAVAILABLE, "no room for the request\n"),
            E::NoMemoryForBody => (StatusCode::SERVICE_UNAVAILABLE, "no room for the body\n"),
            E::IncompleteBody => (StatusCode::BAD_REQUEST, "the body broke off\n"),
            E::UnknownPath => (StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}
