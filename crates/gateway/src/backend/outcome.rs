//! Derives the outcome of an attempt from the response, or from the reason why there is none.

use super::attempt_end::AttemptEnd;
use super::forward::ForwardedRequest;
use crate::names::Headers;
use crate::pool::CheckoutError;
use crate::relay::ServedBody;
use hyper::{Response, StatusCode};
use lanespan_policy::{LoadReport, Outcome};

/// Returns the outcome of an attempt that got no connection. In none of these cases was the request sent.
pub(super) fn without_connection(error: CheckoutError) -> Outcome {
    match error {
        CheckoutError::BackendClosed | CheckoutError::PoolExhausted => Outcome::NotSent,
        CheckoutError::Unreachable => Outcome::ConnectFailed,
        // All connections that the backend accepts are in use, so it would reject another request.
        CheckoutError::BackendFull => Outcome::Rejected,
    }
}

/// Returns the outcome of an attempt whose upload did not reach its backend completely, so that the request never ran.
/// If the gateway was waiting for the client, the backend is not at fault.
pub(super) fn of_partial_upload(request: &ForwardedRequest) -> Outcome {
    match request.body.upload().is_some_and(|upload| upload.awaits_client()) {
        true => Outcome::NotSent,
        false => Outcome::ConnectFailed,
    }
}

/// Returns the result of an attempt that got a response. A 503 or 504 counts as a rejection only with the rejected
/// header: without it nothing proves that the request never ran.
pub(super) fn of_response(response: Response<ServedBody>, names: &Headers) -> AttemptEnd {
    let has_rejected_header =
        response.headers().get(&names.rejected).is_some_and(|value| value.as_bytes() == b"1");
    let load_report = response.headers().get(&names.load_report).and_then(|value| value.to_str().ok());
    let load_report = load_report.map_or_else(LoadReport::default, parse_load_report);
    let (outcome, body) = match response.status() {
        StatusCode::OK => (Outcome::Success, Some(response.into_body())),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_rejected_header => {
            (Outcome::Rejected, None)
        }
        _ => (Outcome::ServerError, None),
    };
    AttemptEnd { body, load_report, ..outcome.into() }
}

/// Parses a load report such as `TEXT depth=2, load_share=0.61`, with the field names of the platform. Malformed
/// fields are ignored, because a load report is only advisory.
fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for field in text.strip_prefix("TEXT").unwrap_or(text).split(',') {
        let Some((name, value)) = field.trim().split_once('=') else { continue };
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
        match name {
            "concurrent" => report.in_flight = value,
            "depth" => report.queued = value,
            "load_share" => report.utilization = value,
            _ => {}
        }
    }
    report
}
