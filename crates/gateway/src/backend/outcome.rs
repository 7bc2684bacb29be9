//! The outcome of an attempt, from what came back or did not.

use super::attempt_end::AttemptEnd;
use super::forward::ForwardedRequest;
use crate::names::Headers;
use crate::pool::CheckoutError;
use crate::relay::ServedBody;
use hyper::{Response, StatusCode};
use lanespan_policy::{LoadReport, Outcome};

/// The outcome of an attempt for which there was no connection. In no case did the request reach its backend.
pub(super) fn without_connection(error: CheckoutError) -> Outcome {
    match error {
        CheckoutError::BackendClosed | CheckoutError::PoolExhausted => Outcome::NotSent,
        CheckoutError::Unreachable => Outcome::ConnectFailed,
        // The backend takes no more connections, so it would reject one more request.
        CheckoutError::BackendFull => Outcome::Rejected,
    }
}

/// The outcome of an attempt whose upload did not reach its backend completely: it never ran. Where the client is
/// the one waited for, the backend is not at fault.
pub(super) fn of_partial_upload(request: &ForwardedRequest) -> Outcome {
    match request.body.upload().is_some_and(|upload| upload.awaits_client()) {
        true => Outcome::NotSent,
        false => Outcome::ConnectFailed,
    }
}

/// What a response says. Guards against taking a bare 503 or 504 for a rejection: only the header proves that the
/// request never ran.
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

/// Reads `TEXT depth=2, load_share=0.61`, with the platform's names of fields. Fields that can't be read are passed
/// over: a report only advises.
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
