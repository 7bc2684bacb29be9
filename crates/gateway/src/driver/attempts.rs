//! Runs the attempts ordered by the policy engine, each in its own task, and reports their results to the driver.

use super::events::{DriverEvent, DriverSender};
use super::request_table::StartedAttempt;
use crate::backend::{attempt, AttemptParams, ForwardedRequest};
use crate::clock::Clock;
use crate::pool::{Backend, Pool};
use crate::relay::StreamLimits;
use lanespan_policy::{BackendId, Micros, Outcome, RequestId};
use std::pin::pin;
use std::rc::Rc;

/// An attempt as ordered by the engine.
pub(super) struct AttemptOrder {
    pub(super) request: RequestId,
    pub(super) backend: BackendId,
    /// Latest end of the attempt, unless it carries a long upload.
    pub(super) give_up_at: Micros,
    /// Latest start of the attempt.
    pub(super) begin_by: Micros,
    /// When the engine ordered the attempt.
    pub(super) ordered_at: Micros,
}

/// Spawns attempts and reports their progress to the driver.
#[derive(Clone)]
pub(super) struct AttemptRunner {
    pub(super) clock: Clock,
    pub(super) pool: Rc<Pool>,
    pub(super) streams: Rc<StreamLimits>,
    pub(super) driver: DriverSender,
}

impl AttemptRunner {
    /// Spawns an attempt; its result is sent to the driver.
    pub(super) fn spawn(&self, order: AttemptOrder, backend: Rc<Backend>, attempt: StartedAttempt) {
        let runner = self.clone();
        tokio::task::spawn_local(async move { runner.run(order, &backend, attempt).await });
    }

    async fn run(&self, order: AttemptOrder, backend: &Backend, started: StartedAttempt) {
        let AttemptOrder { request, backend: backend_id, give_up_at, begin_by, ordered_at } = order;
        let StartedAttempt { index, forward, cancelled, request_open } = started;
        let params = AttemptParams {
            index,
            give_up_at: self.clock.instant(give_up_at),
            begin_by: self.clock.instant(begin_by),
            cancelled,
            request_open,
        };
        let mut attempt = pin!(attempt(&self.pool, &self.streams, backend, &forward, params));
        let mut end = tokio::select! {
            biased;
            () = upload_committed(&forward, index) => {
                self.report(DriverEvent::UploadCommitted { request, attempt: index }).await;
                attempt.await
            }
            end = &mut attempt => end,
        };
        let elapsed = self.clock.now() - ordered_at - end.excluded_wait;
        let stream_end = end.stream_end.take();
        self.report(DriverEvent::AttemptEnded { request, attempt: index, backend: backend_id, end, elapsed })
            .await;
        if let Some(stream_end) = stream_end {
            let outcome = stream_end.await.unwrap_or(Outcome::Cancelled);
            self.report(DriverEvent::StreamEnded { request, attempt: index, outcome }).await;
        }
    }

    async fn report(&self, event: DriverEvent) {
        // The driver outlives every attempt, except while the process exits.
        let _ = self.driver.send(event).await;
    }
}

/// Completes once only this attempt can carry the request's upload; never completes for a request without an upload.
async fn upload_committed(forward: &ForwardedRequest, index: usize) {
    match forward.body.upload() {
        Some(upload) => upload.wait_until_bound_to(index).await,
        None => std::future::pending().await,
    }
}
