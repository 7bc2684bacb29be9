//! Encodes actions of the policy engine as lines of the simulator's protocol.

use lanespan_policy::{Action, BackendId};
use std::fmt::Write;

/// Appends an action to `out` as one line.
pub(crate) fn write_action<'a>(
    action: &Action,
    backend_name: impl Fn(BackendId) -> &'a str,
    out: &mut String,
) {
    // Writing to a `String` cannot fail.
    let _ = match action {
        Action::Forward { request, backend, give_up_at, .. } => {
            let (request, backend) = (request.0, backend_name(*backend));
            writeln!(out, "ROUTE ref={request} backend={backend} abandon_at={}", give_up_at.0)
        }
        Action::Reject { request, retry_after: None } => writeln!(out, "REJECT ref={}", request.0),
        Action::Reject { request, retry_after: Some(retry_after) } => {
            writeln!(out, "REJECT ref={} backoff={}", request.0, retry_after.0)
        }
        Action::Fail(request) => writeln!(out, "FINISH_ERROR ref={}", request.0),
        Action::CancelAttempt { request, attempt } => {
            writeln!(out, "ABANDON ref={} trial={attempt}", request.0)
        }
        Action::CheckHealth(backend) => writeln!(out, "PROBE backend={}", backend_name(*backend)),
        Action::AddToCounter { key, amount, lifetime } => {
            writeln!(out, "ADD_AND_GET book={} amount={amount} lifetime={}", key.0, lifetime.0)
        }
        Action::SetTimer { timer, delay } => writeln!(out, "WAKE_ME ref={} in={}", timer.0, delay.0),
        Action::SubscribeEndpoints => writeln!(out, "LISTEN active=1"),
        Action::FetchEndpoints => writeln!(out, "RELOAD"),
    };
}
