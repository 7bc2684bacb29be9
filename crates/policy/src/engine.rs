//! The engine: dispatches each event to the rules that decide on it, and collects the resulting actions. It has no
//! rules of its own.
//!
//! [`admission`] takes a request from its arrival to the decision to forward it, [`forwarding`] sends its attempts, and
//! [`completion`] leads to its final answer. [`snapshot`] reports the engine's state to operators.

mod admission;
mod completion;
mod forwarding;
pub(crate) mod snapshot;

use crate::attempt_rules::AttemptLimits;
use crate::balancer::Balancer;
use crate::load_shedding::LoadShedder;
use crate::quota::{QuotaContext, Quotas, CUSTOMER_RETENTION};
use crate::request::Request;
use crate::retry_budget::RetryBudget;
use crate::timers::{Timer, Timers};
use crate::wait_queue::WaitQueue;
use crate::{
    Action, BackendId, Endpoint, EndpointListScope, Event, Micros, RequestId, Settings, SettingsError,
    TimerId,
};
use std::collections::BTreeMap;

/// Minimum delay before the engine subscribes to the endpoint list again after discovery reported a failure.
const MIN_RESUBSCRIBE_DELAY: Micros = Micros::from_millis(500);
/// Exclusive upper bound of the random jitter added to [`MIN_RESUBSCRIBE_DELAY`].
const MAX_RESUBSCRIBE_JITTER: Micros = Micros::from_millis(500);

/// Makes all decisions of one gateway. The totals of the counter service are the only state it shares with other
/// gateways.
#[derive(Default)]
pub struct Engine {
    settings: Settings,
    limits: AttemptLimits,
    random: fastrand::Rng,
    now: Micros,
    actions: Vec<Action>,
    timers: Timers,
    requests: BTreeMap<RequestId, Request>,
    quotas: Quotas,
    balancer: Balancer,
    shedder: LoadShedder,
    retry_budget: RetryBudget,
    wait_queue: WaitQueue,
}

impl Engine {
    /// Creates an engine that knows no endpoints or customers yet. The same seed and the same events always produce the
    /// same actions.
    pub fn new(seed: u64, settings: Settings) -> Result<Engine, SettingsError> {
        settings.check()?;
        let mut engine = Engine {
            limits: AttemptLimits::new(&settings),
            random: fastrand::Rng::with_seed(seed),
            quotas: Quotas::new(&settings),
            balancer: Balancer::new(&settings),
            retry_budget: RetryBudget::full(),
            settings,
            ..Engine::default()
        };
        // The first call of `handle` returns these actions, whatever its event is.
        engine.start_timer(Timer::Sweep, CUSTOMER_RETENTION);
        engine.subscribe();
        Ok(engine)
    }

    /// Returns the number of tracked items: backends, customers, requests, counter keys with pending calls, timers
    /// and queued requests. It falls again when traffic does.
    pub fn tracked_items(&self) -> usize {
        let tracked = self.balancer.backend_count() + self.quotas.customer_count() + self.requests.len();
        tracked + self.quotas.counter().pending_keys() + self.timers.len() + self.wait_queue.len()
    }

    /// Returns the number of customers with state.
    pub fn customer_count(&self) -> usize {
        self.quotas.customer_count()
    }

    /// Sets the maximum number of customers with state. Those with open requests are kept in any case.
    pub fn limit_customers(&mut self, limit: usize) {
        self.quotas.limit_customers(limit);
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointList { scope, endpoints } => self.on_endpoint_list(scope, endpoints),
            Event::RequestArrived(arrival) => self.on_request(arrival),
            Event::TimerFired(timer) => self.on_timer(timer),
            Event::ResponseStarted { request, attempt } => self.on_response_started(request, attempt),
            Event::UploadCommitted { request, attempt } => self.commit_to_attempt(request, attempt),
            Event::ClientDisconnected(request) => self.finish(request, None),
            Event::HealthChecked { .. } => {}
            Event::CounterReplied { key, outcome, total } => self.on_counter_reply(key, outcome, total),
            Event::AttemptEnded(result) => self.on_attempt_ended(result),
        }
        actions.append(&mut self.actions);
    }

    /// Returns whether a connection to this backend may be opened before a request needs it.
    pub fn may_preconnect(&mut self, now: Micros, backend: BackendId) -> bool {
        self.now = self.now.max(now);
        self.balancer.may_preconnect(self.now, backend)
    }

    fn on_timer(&mut self, id: TimerId) {
        match self.timers.take(id) {
            Some(Timer::RequestDeadline(request)) => self.on_deadline(request),
            Some(Timer::WaitQueue) => {
                self.wait_queue.timer_fired();
                self.forward_waiting();
            }
            Some(Timer::Resubscribe) => self.subscribe(),
            Some(Timer::Sweep) => {
                self.quotas.forget_idle(self.now);
                self.start_timer(Timer::Sweep, CUSTOMER_RETENTION);
            }
            None => {}
        }
    }

    fn on_endpoint_list(&mut self, scope: EndpointListScope, endpoints: Vec<Endpoint>) {
        if scope == EndpointListScope::Unavailable {
            let jitter = Micros(self.random.u64(0..MAX_RESUBSCRIBE_JITTER.0));
            self.start_timer(Timer::Resubscribe, MIN_RESUBSCRIBE_DELAY + jitter);
            return;
        }
        self.balancer.apply_endpoints(self.now, scope, endpoints, &mut self.random);
        self.forward_waiting();
    }

    fn subscribe(&mut self) {
        if self.settings.endpoint_subscription {
            self.actions.push(Action::SubscribeEndpoints);
        }
    }

    fn start_timer(&mut self, timer: Timer, delay: Micros) -> TimerId {
        let timer = self.timers.register(timer);
        self.actions.push(Action::SetTimer { timer, delay });
        timer
    }

    /// Returns the inputs of the quota rules that are not part of their own state.
    fn quota_context(&self) -> QuotaContext {
        QuotaContext { now: self.now, fractional_limits: self.balancer.limits_are_fractional(self.now) }
    }
}
