//! Submits a request to the driver and waits for its final answer.

use super::connection::ClientConnection;
use super::context::ServerContext;
use crate::backend::ForwardedRequest;
use crate::driver::{AcceptedRequest, DriverEvent, DriverSender, FinalAnswer};
use crate::memory::Reservation;
use crate::request_ids::RequestIdGuard;
use lanespan_policy::{Arrival, Micros, RequestId};
use std::rc::Rc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

/// A request that is ready to be submitted.
pub(super) struct Submission {
    /// The request's attributes for the policy engine. Its `request` and `deadline` are not set yet.
    pub(super) arrival: Arrival,
    /// The time that the client waits after the last byte of its request.
    pub(super) budget: Micros,
    /// The request to forward.
    pub(super) forward: ForwardedRequest,
    /// The id that the client gave the request.
    pub(super) id: Rc<RequestIdGuard>,
    /// The memory of the request.
    pub(super) memory: Reservation,
}

/// Submits a request to the driver and returns its final answer. While an upload that exceeds the replay buffer is
/// arriving, no time limit applies. The request fails once it can't be observed any more whether its client is still
/// connected.
pub(super) async fn submit(
    submission: Submission,
    context: &ServerContext,
    connection: &ClientConnection,
) -> FinalAnswer {
    let Submission { arrival, budget, forward, id, memory } = submission;
    let accepted_at = context.clock.now();
    let request = context.next_request();
    let arrival = Arrival { request, deadline: accepted_at + budget, ..arrival };
    let (reply, answer) = oneshot::channel();
    let accepted = AcceptedRequest { arrival, accepted_at, forward, id, memory, reply };
    let mut guard = DisconnectGuard { driver: &context.driver, request, answered: false };
    if context.driver.send(DriverEvent::RequestAccepted(Box::new(accepted))).await.is_err() {
        return FinalAnswer::Failed;
    }
    tokio::select! {
        biased;
        answer = answer => {
            guard.answered = true;
            answer.unwrap_or(FinalAnswer::Failed)
        }
        // Dropping the guard makes the driver end the request's attempts.
        () = context.response_deadline.wait() => FinalAnswer::Failed,
        () = connection.until_client_unobservable() => FinalAnswer::Failed,
    }
}

/// On drop, reports to the driver that the client disconnected, unless its request was answered.
struct DisconnectGuard<'a> {
    driver: &'a DriverSender,
    request: RequestId,
    answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        // If the driver's queue is full, the event is sent later; if the driver has ended, it is dropped.
        let sent = self.driver.try_send(DriverEvent::ClientDisconnected(self.request));
        if let Err(TrySendError::Full(event)) = sent {
            let driver = self.driver.clone();
            tokio::task::spawn_local(async move { driver.send(event).await });
        }
    }
}
