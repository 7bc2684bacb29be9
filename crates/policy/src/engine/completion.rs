//! Completion: processes the end of an attempt, retries or answers its request, and releases the quota units and the
//! concurrency slot that the request holds.

use super::Engine;
use crate::attempt_rules::{may_reject, AttemptRules};
use crate::request::Request;
use crate::{Action, AttemptResult, CustomerId, Micros, Outcome, RequestId};

impl Engine {
    pub(super) fn on_attempt_ended(&mut self, result: AttemptResult) {
        let id = result.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(result.attempt);
        let matching = attempt.filter(|attempt| attempt.in_flight && attempt.backend == result.backend);
        let Some(attempt) = matching else { return };
        attempt.in_flight = false;
        attempt.may_have_run = !result.outcome.never_ran();
        let was_stream = attempt.is_stream;
        let succeeded = result.outcome == Outcome::Success;
        let is_first_success = succeeded && !request.answered;
        request.answered |= result.request_answered || succeeded;
        let answered = request.answered;
        let objective = self.settings.class_of(&request.arrival).latency_objective;
        let in_time = self.now < request.arrived_at + objective;
        if let Some(true_units) = result.settled_units.filter(|_| is_first_success) {
            self.quotas.settle_units(&request.arrival, true_units);
        }
        self.balancer.record_load(result.load_report.load());
        self.balancer.record_ended(result.backend, was_stream);
        let signal = self.balancer.record_result(self.now, &result, objective, &mut self.random);
        signal.into_iter().for_each(|signal| self.shedder.record(signal));
        if answered {
            self.release(id);
        } else if in_time && self.try_withdraw_retry(id, result.outcome) {
            self.forward_or_wait(id);
        } else if self.requests.get(&id).is_some_and(|request| !request.is_in_flight()) {
            self.reject(id);
        }
        if !self.wait_queue.is_empty() {
            self.forward_waiting();
        }
    }

    /// Withdraws a retry from the budget if the request may be retried after an attempt with this outcome. Returns
    /// whether it did.
    fn try_withdraw_retry(&mut self, id: RequestId, outcome: Outcome) -> bool {
        // The backend did respond, but there was no memory to relay the response; a retry would hit the same shortage.
        if outcome == Outcome::ResponseDropped {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let rules = AttemptRules::new(&self.settings, self.limits, request, self.now);
        self.balancer.has_eligible(&rules) && self.retry_budget.try_withdraw()
    }

    pub(super) fn on_deadline(&mut self, id: RequestId) {
        let awaits_answer = |request: &Request| !request.answered && !request.committed;
        if self.requests.get(&id).is_some_and(awaits_answer) {
            self.reject(id);
        }
    }

    /// Answers a request as rejected, with a Retry-After where the settings allow one, or as failed if retrying it
    /// might do harm.
    pub(super) fn reject(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = self.settings.class_of(&request.arrival);
        let answer = match may_reject(request, class) {
            true => Action::Reject { request: id, retry_after: self.retry_after(request) },
            false => Action::Fail(id),
        };
        self.quotas.record_rejection(&request.arrival, self.now);
        self.finish(id, Some(answer));
    }

    /// Returns the Retry-After for a rejected request: the time until its customer's next quota window, up to the
    /// configured maximum.
    fn retry_after(&self, request: &Request) -> Option<Micros> {
        let has_rate = self.settings.plan_of(&request.arrival).rate > 0.0;
        if !self.settings.retry_after || !has_rate {
            return None;
        }
        let next_window = self.quotas.time_to_next_window(self.now, &request.arrival);
        Some(next_window.min(self.settings.max_retry_after))
    }

    /// Marks a request as answered and sends `answer`, which is `None` if the client disconnected. Cancels its attempts
    /// in flight where the settings allow it, unless the response has started.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.answered {
            request.answered = true;
            self.actions.extend(answer);
            if self.settings.cancellation && !request.response_started {
                let in_flight = request.attempts_in_flight();
                self.actions.extend(in_flight.map(|attempt| Action::CancelAttempt { request: id, attempt }));
            }
        }
        self.release(id);
    }

    /// Releases the quota units and the concurrency slot of an answered request without attempts in flight, and removes
    /// it unless a counter call is pending.
    pub(super) fn release(&mut self, id: RequestId) {
        let is_finished = |request: &&mut Request| request.answered && !request.is_in_flight();
        let Some(request) = self.requests.get_mut(&id).filter(is_finished) else { return };
        let customer = request.arrival.customer;
        let units = request.arrival.units;
        let held_slot = std::mem::take(&mut request.holds_concurrency_slot);
        let charged_window = request.charged_window.take();
        // Otherwise each answered request would be remembered until its deadline.
        if let Some(timer) = request.deadline_timer.take() {
            self.timers.take(timer);
        }
        // The reply to a pending counter call still has to find out whether the request was forwarded.
        if request.pending_counter_calls == 0 {
            self.requests.remove(&id);
        }
        if let Some(window) = charged_window {
            let call = self.quotas.refund(self.quota_context(), customer, window, units);
            self.actions.extend(call);
        }
        if held_slot {
            self.quotas.remove_concurrent(customer);
            self.sync_concurrency(customer);
        }
    }

    /// Corrects the shared count of a customer's concurrent requests if it includes requests that have ended.
    pub(super) fn sync_concurrency(&mut self, customer: CustomerId) {
        let call = self.quotas.sync_concurrency(self.quota_context(), customer);
        self.actions.extend(call);
    }
}
