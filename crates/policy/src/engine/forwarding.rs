//! Forwarding: sends the attempts of admitted requests, queues requests while no backend is available, and commits a
//! request to the attempt that carries a stream.

use super::Engine;
use crate::attempt_rules::AttemptRules;
use crate::attempt_times::{begin_by, give_up_at};
use crate::request::Attempt;
use crate::timers::Timer;
use crate::wait_queue::{self, POLL_INTERVAL};
use crate::{Action, BackendId, RequestId};
use std::cmp::Reverse;

/// Number of steps per unit of weight when waiting requests are sorted by weight, which needs an integer key.
const WEIGHT_STEPS: f64 = 1e6;

impl Engine {
    /// Sends the next attempt of a request, or queues the request until a backend is available.
    pub(super) fn forward_or_wait(&mut self, id: RequestId) {
        if let Some(backend) = self.select_backend(id) {
            return self.forward(id, backend);
        }
        if let Some(request) = self.requests.get_mut(&id).filter(|request| request.waiting_since.is_none()) {
            request.waiting_since = Some(self.now);
            self.wait_queue.push(id);
        }
        self.start_wait_queue_timer();
    }

    /// Forwards waiting requests to available backends in descending order of weight, and rejects those that have
    /// reached their maximum wait.
    pub(super) fn forward_waiting(&mut self) {
        for id in self.take_waiting() {
            if let Some(backend) = self.select_backend(id) {
                self.forward(id, backend);
            } else if self.has_exceeded_max_wait(id) {
                self.reject(id);
            } else {
                self.wait_queue.push(id);
            }
        }
        self.start_wait_queue_timer();
    }

    /// Removes all requests from the queue and returns those that are still waiting, in descending order of weight.
    fn take_waiting(&mut self) -> Vec<RequestId> {
        let mut waiting = self.wait_queue.take_all();
        waiting.retain(|id| {
            let request = self.requests.get(id);
            request.is_some_and(|request| !request.answered && request.waiting_since.is_some())
        });
        waiting.sort_by_key(|id| {
            let weight = self.settings.weight_of(&self.requests[id].arrival);
            (Reverse((weight * WEIGHT_STEPS) as u64), *id)
        });
        waiting
    }

    fn has_exceeded_max_wait(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            let class = self.settings.class_of(&request.arrival);
            wait_queue::has_exceeded_max_wait(request, class, self.now)
        })
    }

    fn start_wait_queue_timer(&mut self) {
        if self.wait_queue.claim_timer() {
            self.start_timer(Timer::WaitQueue, POLL_INTERVAL);
        }
    }

    fn select_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let request = self.requests.get(&id)?;
        let rules = AttemptRules::new(&self.settings, self.limits, request, self.now);
        self.balancer.select(&rules, &mut self.random)
    }

    fn forward(&mut self, id: RequestId, backend: BackendId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = self.settings.class_of(&request.arrival);
        let backends_are_healthy = self.balancer.backends_are_healthy();
        let give_up_at = give_up_at(request, class, self.limits, backends_are_healthy, self.now);
        let begin_by = begin_by(request, class, self.limits);
        request.attempts.push(Attempt::new(backend, self.balancer.location(backend), self.now));
        request.waiting_since = None;
        request.charged_window = None;
        self.balancer.record_forwarded(self.now, backend, request.arrival.units);
        self.actions.push(Action::Forward { request: id, backend, give_up_at, begin_by });
    }

    pub(super) fn on_response_started(&mut self, id: RequestId, attempt: usize) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.response_started = true;
        }
        self.commit_to_attempt(id, attempt);
    }

    /// Commits a request to one of its attempts, which carries a stream, and cancels its other attempts where the
    /// settings allow it.
    pub(super) fn commit_to_attempt(&mut self, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.committed = true;
        if self.settings.cancellation {
            let others = request.attempts_in_flight().filter(|&index| index != attempt);
            self.actions.extend(others.map(|attempt| Action::CancelAttempt { request: id, attempt }));
        }
        let committed = request.attempts.get_mut(attempt);
        if let Some(committed) = committed.filter(|attempt| attempt.in_flight && !attempt.is_stream) {
            committed.is_stream = true;
            self.balancer.record_stream(committed.backend);
        }
    }
}
