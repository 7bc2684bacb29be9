//! One attempt at a backend, and the time that it has.

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

/// One attempt as the driver orders it.
pub struct AttemptParams {
    /// Its index among its request's attempts, from 0.
    pub index: usize,
    /// It ends by then, unless it carries a long upload.
    pub give_up_at: Instant,
    /// It is not begun later than then.
    pub begin_by: Instant,
    /// Resolves when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// Whether its request still waits for an answer. Where it does not, an attempt that is not begun yet never is,
    /// also where none may be cancelled.
    pub request_open: watch::Receiver<bool>,
}

/// Makes one attempt and returns how it ended, its connection closed or back in the pool. It ends in time, or when it
/// is cancelled.
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
        () = time_limit(streams, request, index, give_up_at) => {
            timed_out(pool, backend, request, &progress.borrow()).into()
        }
        end = exchange.run() => end,
    }
}

/// Waits until the time of an attempt is over: at `give_up_at`, or where it alone can carry an upload, once that
/// stalls.
async fn time_limit(streams: &StreamLimits, request: &ForwardedRequest, index: usize, give_up_at: Instant) {
    let (Some(upload), Some(settings)) = (request.body.upload(), streams.last_settings()) else {
        return sleep_until(give_up_at).await;
    };
    tokio::select! {
        biased;
        () = upload.wait_until_bound_to(index) => upload.backend_time_limit(&settings).await,
        () = sleep_until(give_up_at) => {}
    }
}

/// The outcome of an attempt whose time is over.
fn timed_out(pool: &Pool, backend: &Backend, request: &ForwardedRequest, progress: &SendProgress) -> Outcome {
    if progress.is_upload_partial() {
        return outcome::of_partial_upload(request);
    }
    let Some(traffic) = &progress.traffic else { return Outcome::ConnectFailed };
    if !traffic.has_received() {
        pool.timed_out_silently(backend);
    }
    Outcome::Timeout
}
