//! Tracks accepted requests and their attempts until they finish.
//!
//! Every request gets at most one final answer: the channel for it is taken in one place only, [`OpenRequest::close`],
//! and later callers find none. A request is removed once it is closed and none of its attempts is running.

use super::events::{AcceptedRequest, FinalAnswer};
use crate::backend::{AttemptEnd, ForwardedRequest};
use crate::memory::Reservation;
use crate::relay::ServedBody;
use crate::request_ids::RequestIdGuard;
use lanespan_policy::{
    Arrival, AttemptResult, BackendId, ClassId, LoadReport, Micros, Outcome, PlanId, RequestId,
};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{oneshot, watch};

/// Attributes of a request that metrics need when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestOrigin {
    pub(super) class: ClassId,
    pub(super) plan: PlanId,
    pub(super) accepted_at: Micros,
}

/// An attempt that was started for a request.
pub(super) struct StartedAttempt {
    /// Its index among the request's attempts, from 0.
    pub(super) index: usize,
    /// The request to forward.
    pub(super) forward: Rc<ForwardedRequest>,
    /// Resolves when the attempt is cancelled.
    pub(super) cancelled: oneshot::Receiver<()>,
    /// Whether the request still awaits its final answer.
    pub(super) request_open: watch::Receiver<bool>,
}

/// An attempt that has ended, or whose response has begun to arrive.
pub(super) struct EndedAttempt {
    pub(super) request: RequestId,
    pub(super) attempt: usize,
    pub(super) backend: BackendId,
    pub(super) end: AttemptEnd,
    pub(super) elapsed: Micros,
}

/// The effect of an [`EndedAttempt`] on its request.
pub(super) struct AttemptProgress {
    /// Set if its response became the final answer to its request.
    pub(super) served: Option<RequestOrigin>,
    /// Its result; `None` while its response is still being streamed to the client.
    pub(super) result: Option<AttemptResult>,
}

/// The part of an attempt's result that is known when its response begins.
#[derive(Clone, Copy)]
struct Observation {
    backend: BackendId,
    load_report: LoadReport,
    elapsed: Micros,
}

enum AttemptState {
    Running,
    /// Its response is being streamed to the client; the observation is reported when the stream ends.
    Streaming(Observation),
    Ended,
}

struct AttemptEntry {
    state: AttemptState,
    /// Taken when the attempt is cancelled.
    cancel: Option<oneshot::Sender<()>>,
}

struct OpenRequest {
    /// Receives the final answer; `None` once it was sent or the client has disconnected.
    reply: Option<oneshot::Sender<FinalAnswer>>,
    /// Signals to the attempts whether the request still awaits its answer.
    open: watch::Sender<bool>,
    forward: Rc<ForwardedRequest>,
    /// The id that the client gave the request; `None` once the request is answered, if it never ran or may run again.
    id: Option<Rc<RequestIdGuard>>,
    _memory: Reservation,
    attempts: Vec<AttemptEntry>,
    /// Whether an attempt has ended with an outcome that does not prove that the request never ran.
    may_have_run: bool,
    origin: RequestOrigin,
}

impl OpenRequest {
    /// Closes the request and returns the channel for its answer, unless it was taken before. Attempts that have not
    /// begun yet are not made any more.
    fn close(&mut self) -> Option<oneshot::Sender<FinalAnswer>> {
        self.open.send_replace(false);
        self.reply.take()
    }

    /// Sends the final answer, unless the request was already closed.
    fn answer(&mut self, answer: FinalAnswer) -> Option<RequestOrigin> {
        let reply = self.close()?;
        // The send fails if the client has just disconnected; the answer is then dropped.
        let never_ran = matches!(answer, FinalAnswer::Rejected(_));
        let _ = reply.send(answer);
        if never_ran || self.id.as_ref().is_some_and(|id| id.may_run_again()) {
            self.id = None;
        }
        Some(self.origin)
    }

    /// Records how an attempt ended.
    fn record_outcome(&mut self, outcome: Outcome) {
        self.may_have_run |= !outcome.never_ran();
    }

    fn is_finished(&self) -> bool {
        let ended = |attempt: &AttemptEntry| matches!(attempt.state, AttemptState::Ended);
        self.reply.is_none() && self.attempts.iter().all(ended)
    }

    fn result(
        &self,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        observation: Observation,
    ) -> AttemptResult {
        let Observation { backend, load_report, elapsed } = observation;
        AttemptResult {
            request,
            attempt,
            backend,
            outcome,
            elapsed,
            request_answered: self.reply.is_none(),
            settled_units: None,
            load_report,
        }
    }
}

/// The requests that were accepted and are not finished yet.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
}

impl RequestTable {
    /// Adds a request, which then awaits its final answer, and returns its attributes for the engine.
    pub(super) fn insert(&mut self, accepted: AcceptedRequest) -> Arrival {
        let AcceptedRequest { arrival, accepted_at, forward, id, memory, reply } = accepted;
        let (open, _) = watch::channel(true);
        let origin = RequestOrigin { class: arrival.class, plan: arrival.plan, accepted_at };
        let request = OpenRequest {
            reply: Some(reply),
            open,
            forward: Rc::new(forward),
            id: Some(id),
            _memory: memory,
            attempts: Vec::new(),
            may_have_run: false,
            origin,
        };
        self.requests.insert(arrival.request, request);
        arrival
    }

    /// Returns the number of requests in the table.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a request still awaits its final answer.
    pub(super) fn awaits_answer(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.reply.is_some())
    }

    /// Sends a request its final answer; returns `None` if the request is unknown or already closed.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer) -> Option<RequestOrigin> {
        let origin = self.requests.get_mut(&id)?.answer(answer)?;
        self.remove_if_finished(id);
        Some(origin)
    }

    /// Closes a request whose client has disconnected; returns `None` if it is unknown or already closed.
    pub(super) fn disconnect(&mut self, id: RequestId) -> Option<RequestOrigin> {
        let request = self.requests.get_mut(&id)?;
        request.close()?;
        Some(request.origin)
    }

    /// Registers an attempt of a request.
    pub(super) fn start_attempt(&mut self, id: RequestId) -> Option<StartedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let (cancel, cancelled) = oneshot::channel();
        request.attempts.push(AttemptEntry { state: AttemptState::Running, cancel: Some(cancel) });
        Some(StartedAttempt {
            index: request.attempts.len() - 1,
            forward: request.forward.clone(),
            cancelled,
            request_open: request.open.subscribe(),
        })
    }

    /// Registers an attempt that is not made, and returns its result.
    pub(super) fn skip_attempt(&mut self, id: RequestId, backend: BackendId) -> Option<AttemptResult> {
        let request = self.requests.get_mut(&id)?;
        request.attempts.push(AttemptEntry { state: AttemptState::Ended, cancel: None });
        let observation = Observation { backend, load_report: LoadReport::default(), elapsed: Micros(0) };
        Some(request.result(id, request.attempts.len() - 1, Outcome::NotSent, observation))
    }

    /// Cancels an attempt. The attempt reports its end once its connection is closed.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: usize) {
        let request = self.requests.get_mut(&id);
        let entry = request.and_then(|request| request.attempts.get_mut(attempt));
        if let Some(cancel) = entry.and_then(|entry| entry.cancel.take()) {
            // The send fails if the attempt has already ended.
            let _ = cancel.send(());
        }
    }

    /// Records the end of an attempt. The first 200 response is passed to the client at once. A response to a closed
    /// request is dropped here, together with its connection.
    pub(super) fn attempt_ended(&mut self, ended: EndedAttempt) -> Option<AttemptProgress> {
        let EndedAttempt { request: id, attempt: index, backend, end, elapsed } = ended;
        let request = self.requests.get_mut(&id)?;
        request.attempts.get(index)?;
        let observation = Observation { backend, load_report: end.load_report, elapsed };
        let streams = matches!(end.body, Some(ServedBody::Streamed(_)));
        let served = end.body.and_then(|body| request.answer(FinalAnswer::Served(body)));
        let attempt = request.attempts.get_mut(index)?;
        if served.is_some() && streams {
            attempt.state = AttemptState::Streaming(observation);
            return Some(AttemptProgress { served, result: None });
        }
        attempt.state = AttemptState::Ended;
        request.record_outcome(end.outcome);
        let result = request.result(id, index, end.outcome, observation);
        Some(AttemptProgress { served, result: Some(result) })
    }

    /// Records the end of a response that was streamed to the client; returns `None` if the attempt's response was not
    /// being streamed.
    pub(super) fn stream_ended(
        &mut self,
        id: RequestId,
        index: usize,
        outcome: Outcome,
    ) -> Option<AttemptResult> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(index)?;
        let AttemptState::Streaming(observation) = attempt.state else { return None };
        attempt.state = AttemptState::Ended;
        request.record_outcome(outcome);
        Some(request.result(id, index, outcome, observation))
    }

    /// Removes a request if it is closed and none of its attempts is running.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(OpenRequest::is_finished) {
            return;
        }
        let request = self.requests.remove(&id).filter(|request| request.may_have_run);
        if let Some(id) = request.and_then(|request| request.id) {
            id.set_may_have_run();
        }
    }
}

#[cfg(test)]
mod tests;
