//! One attempt at a backend, with its time limit and its cancellation.

use super::attempt_end::AttemptEnd;
use super::exchange::Exchange;
use super::forward::ForwardedRequest;
use super::outcome;
use super::send_progress::SendProgress;
use crate::pool::{Backend, Pool};
use crate::relay::StreamLimits;
use lanespan_policy::Outcome;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep_until, Instant};

/// The parameters that the driver sets for one attempt.
pub struct AttemptParams {
    /// The index of the attempt among the attempts of its request, from 0.
    pub index: usize,
    /// When the attempt times out, unless an upload is bound to it by then.
    pub give_up_at: Instant,
    /// The latest time at which the request may be sent.
    pub begin_by: Instant,
    /// Resolves when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// Whether the request still waits for a response. Once it does not, an attempt that has not sent the request yet
    /// ends without sending it, even if the configuration forbids cancelling attempts.
    pub request_open: watch::Receiver<bool>,
}

/// Makes one attempt and returns its result. The attempt ends at its time limit at the latest, or when it is
/// cancelled. By then its connection is closed, back in the pool, or owned by the streamed body of the result.
pub async fn attempt(
    pool: &Rc<Pool>,
    streams: &StreamLimits,
    backend: &Backend,
    request: &ForwardedRequest,
    params: AttemptParams,
) -> AttemptEnd {
    let AttemptParams { index, give_up_at, begin_by, cancelled, request_open } = params;
    let progress = RefCell::new(SendProgress::default());
    let exchange = Exchange {
        pool,
        streams,
        backend,
        request,
        index,
        give_up_at,
        begin_by,
        request_open,
        progress: &progress,
    };
    tokio::select! {
        biased;
        _ = cancelled => match progress.borrow().is_upload_partial() {
            true => Outcome::NotSent.into(),
            false => Outcome::Cancelled.into(),
        },
        () = wait_for_time_limit(streams, request, index, give_up_at) => {
            timeout_outcome(pool, backend, request, &progress.borrow()).into()
        }
        end = exchange.run() => end,
    }
}

/// Waits until an attempt times out: at `give_up_at`, or, if an upload is bound to the attempt by then, once the
/// backend stalls the upload or does not respond to it in time.
async fn wait_for_time_limit(
    streams: &StreamLimits,
    request: &ForwardedRequest,
    index: usize,
    give_up_at: Instant,
) {
    let (Some(upload), Some(settings)) = (request.body.upload(), streams.last_settings()) else {
        return sleep_until(give_up_at).await;
    };
    tokio::select! {
        biased;
        () = upload.wait_until_bound_to(index) => upload.wait_for_backend_timeout(&settings).await,
        () = sleep_until(give_up_at) => {}
    }
}

/// Returns the outcome of an attempt that timed out.
fn timeout_outcome(
    pool: &Pool,
    backend: &Backend,
    request: &ForwardedRequest,
    progress: &SendProgress,
) -> Outcome {
    if progress.is_upload_partial() {
        return outcome::of_partial_upload(request);
    }
    let Some(traffic) = &progress.traffic else { return Outcome::ConnectFailed };
    if traffic.awaits_memory() {
        // The backend did respond.
        return Outcome::ResponseDropped;
    }
    if !traffic.has_received() {
        pool.timed_out_silently(backend);
    }
    Outcome::Timeout
}
