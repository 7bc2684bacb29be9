//! Admission: takes a request from its arrival to the decision to forward it, through load shedding, the quota window
//! and the cap on concurrent requests.

use super::Engine;
use crate::quota::{ConcurrencyCheck, CountKind, CounterCall, CounterReply, WindowCheck};
use crate::request::Request;
use crate::timers::Timer;
use crate::{Action, Arrival, CounterKey, CustomerId, Outcome, RequestId};

impl Engine {
    pub(super) fn on_request(&mut self, arrival: Arrival) {
        let id = arrival.request;
        if !self.settings.defines(&arrival) {
            return self.actions.push(Action::Reject { request: id, retry_after: None });
        }
        self.retry_budget.deposit();
        // Fires two ticks before the deadline: the timer may fire one tick late, and sending the answer takes another.
        let delay = arrival.deadline - self.now - self.settings.tick - self.settings.tick;
        let deadline_timer = Some(self.start_timer(Timer::RequestDeadline(id), delay));
        self.make_room_for(arrival.customer);
        let is_client_retry = self.quotas.record_arrival(&arrival, self.now);
        let arrival = Arrival { is_client_retry, ..arrival };
        let customer = arrival.customer;
        let weight = self.settings.weight_of(&arrival);
        let has_rate = self.settings.plan_of(&arrival).rate > 0.0;
        let request = Request { arrival, arrived_at: self.now, deadline_timer, ..Request::default() };
        self.requests.insert(id, request);
        let context = self.quota_context();
        self.quotas.roll(context, customer);
        if self.shedder.should_shed(weight, context.fractional_limits, &mut self.random) {
            // The request is not rejected because of its quota, so the answer has no Retry-After.
            return self.finish(id, Some(Action::Reject { request: id, retry_after: None }));
        }
        match has_rate {
            true => self.check_window(id),
            false => self.check_concurrency(id),
        }
    }

    /// Forgets other customers if there is no room for the state of this one.
    fn make_room_for(&mut self, customer: CustomerId) {
        if self.quotas.is_full_for(customer) {
            let with_open_request = self.requests.values().map(|request| request.arrival.customer).collect();
            self.quotas.forget_some(&with_open_request);
        }
    }

    fn check_window(&mut self, id: RequestId) {
        let context = self.quota_context();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let weight = self.settings.weight_of(&request.arrival);
        match self.quotas.check_window(context, &request.arrival, weight, &mut self.random) {
            WindowCheck::KnownFull => self.reject(id),
            WindowCheck::Queried(call) => {
                request.pending_counter_calls += 1;
                self.actions.push(call);
            }
            WindowCheck::NotQueried => self.decide_window(id, CounterReply::Unavailable),
        }
    }

    fn check_concurrency(&mut self, id: RequestId) {
        let context = self.quota_context();
        let Some(request) = self.requests.get_mut(&id) else { return };
        match self.quotas.check_concurrency(context, &request.arrival, &mut self.random) {
            ConcurrencyCheck::Uncapped => self.admit(id),
            ConcurrencyCheck::Queried(call) => {
                request.pending_counter_calls += 1;
                self.actions.push(call);
            }
            ConcurrencyCheck::NotQueried => self.decide_concurrency(id, CounterReply::Unavailable),
        }
    }

    pub(super) fn on_counter_reply(&mut self, key: CounterKey, outcome: Outcome, total: f64) {
        let Some(call) = self.quotas.take_call(key) else { return };
        if let Some(request) = call.request.and_then(|id| self.requests.get_mut(&id)) {
            request.pending_counter_calls -= 1;
        }
        let context = self.quota_context();
        self.quotas.roll(context, call.customer);
        if !self.quotas.has_customer(call.customer) {
            return;
        }
        let reply = self.quotas.record_reply(context, &call, outcome, total);
        self.record_charge(&call, reply);
        if let Some(id) = call.request {
            match call.kind {
                CountKind::Window => self.decide_window(id, reply),
                CountKind::Concurrency => self.decide_concurrency(id, reply),
            }
        }
        if call.kind == CountKind::Window && reply != CounterReply::Unavailable {
            let context = self.quota_context();
            let call = self.quotas.flush_window(context, call.customer);
            self.actions.extend(call);
        }
        if let Some(id) = call.request {
            self.release(id);
        }
    }

    /// Records the quota window to which a successful call charged its request.
    fn record_charge(&mut self, call: &CounterCall, reply: CounterReply) {
        if reply == CounterReply::Unavailable {
            return;
        }
        if let Some(request) = call.request.and_then(|id| self.requests.get_mut(&id)) {
            request.charged_window = (call.kind == CountKind::Window).then_some(call.period);
        }
    }

    /// Admits or rejects a request by its customer's quota, using the counter's total if it replied.
    fn decide_window(&mut self, id: RequestId, reply: CounterReply) {
        let context = self.quota_context();
        let Some(request) = self.requests.get(&id) else { return };
        let arrival = &request.arrival;
        self.quotas.record_exhaustion(context, arrival, reply);
        // Draws a random number even if the request has been answered in the meantime, so that later draws do not
        // depend on it.
        let risk_accepted = self.quotas.accepts_unverified_risk(arrival, reply, &mut self.random);
        if request.answered {
            return;
        }
        let admitted = self.quotas.decide(context, arrival, reply, risk_accepted);
        self.quotas.record_decision(arrival, admitted);
        match admitted {
            true => self.check_concurrency(id),
            false => self.reject(id),
        }
    }

    /// Admits or rejects a request by its customer's cap on concurrent requests, using the counter's total if it
    /// replied.
    fn decide_concurrency(&mut self, id: RequestId, reply: CounterReply) {
        let Some(request) = self.requests.get(&id) else { return };
        let customer = request.arrival.customer;
        if !self.quotas.has_customer(customer) {
            return;
        }
        match self.quotas.allows_concurrent(&request.arrival, reply) && !request.answered {
            true => self.admit(id),
            false => self.reject(id),
        }
        self.sync_concurrency(customer);
    }

    /// Admits a request: takes its concurrency slot, if its plan has a cap, and forwards it.
    fn admit(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if self.quotas.caps_concurrency(&request.arrival) {
            request.holds_concurrency_slot = true;
            self.quotas.add_concurrent(request.arrival.customer);
        }
        self.forward_or_wait(id);
    }
}
