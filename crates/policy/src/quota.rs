//! Quotas: decides whether a request is within its customer's quota, by the count that all gateways share on the
//! counter service, or by this gateway's local share of the quota if the counter does not reply.
//!
//! A request is forwarded *unverified* if it is admitted without a total from the counter.
//!
//! Each rule has its own module: [`window`] defines the quota windows, [`query_share`] which requests query the
//! counter, [`counter`] the calls to the counter service behind the [`circuit_breaker`], [`local_bucket`] the local
//! token bucket, [`ceiling`] the hard ceiling, [`retention`] how long a customer is remembered, [`unverified`] when a request may be forwarded unverified, and
//! [`concurrency`] the cap on concurrent requests.

mod ceiling;
mod circuit_breaker;
mod concurrency;
mod counter;
mod customer;
mod local_bucket;
mod query_share;
mod retention;
mod shared_count;
mod unverified;
mod window;

pub(crate) use concurrency::ConcurrencyCheck;
pub(crate) use counter::{CountKind, CounterCall};
pub(crate) use retention::{CustomerLimit, CUSTOMER_RETENTION};

use crate::smoothing::{update_average, DecayingRatio, SLOW_SAMPLE_WEIGHT};
use crate::{Action, Arrival, CounterKey, CustomerId, Micros, PlanId, QuotaPlan, Settings};
use counter::CounterClient;
use customer::Customer;
use std::collections::BTreeMap;
use unverified::LEARNING_SPAN_UNITS;
use window::QuotaWindow;

/// A difference between two counts, in units or requests, is treated as a rounding error unless it exceeds this value.
const MIN_DIFFERENCE_UNITS: f64 = 0.5;

/// Inputs of the quota rules that are not part of their own state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaContext {
    pub(crate) now: Micros,
    /// Whether concurrency limits are fractional ([`Balancer::limits_are_fractional`](crate::balancer::Balancer)). If
    /// they are, this gateway rarely sees the same customer.
    pub(crate) fractional_limits: bool,
}

/// The counter service's reply for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CounterReply {
    /// The shared total, including this request.
    Total(f64),
    /// The counter was not called, or the call failed.
    Unavailable,
}

/// The result of [`Quotas::check_window`].
pub(crate) enum WindowCheck {
    /// The window is known to be full, so calling the counter could only confirm it.
    KnownFull,
    /// The counter is called, and its reply decides.
    Queried(Action),
    /// The counter is not called, so the request is decided without it.
    NotQueried,
}

/// This gateway's view of the quotas of all customers.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    plans: Vec<QuotaPlan>,
    max_request_units: f64,
    customers: BTreeMap<CustomerId, Customer>,
    customer_limit: CustomerLimit,
    counter: CounterClient,
    /// The share of forwarded units that was reported to the counter.
    reported_units: DecayingRatio,
    /// For each plan, the share of units that found the quota exhausted. The sample is the requests for which the
    /// counter was queried, without client retries, of customers whose burst share is below one request.
    exhausted_units: Vec<DecayingRatio>,
    /// Average cost of forwarding a request beyond the quota.
    average_overrun_cost: f64,
}

impl Quotas {
    pub(crate) fn new(settings: &Settings) -> Quotas {
        Quotas {
            plans: settings.plans.clone(),
            max_request_units: settings.max_request_units,
            reported_units: DecayingRatio::new(LEARNING_SPAN_UNITS),
            counter: CounterClient::new(settings),
            exhausted_units: vec![DecayingRatio::new(LEARNING_SPAN_UNITS); settings.plans.len()],
            ..Quotas::default()
        }
    }

    /// Returns the counter client.
    pub(crate) fn counter(&self) -> &CounterClient {
        &self.counter
    }

    /// Removes and returns the oldest pending counter call for a key, for which a reply has arrived.
    pub(crate) fn take_call(&mut self, key: CounterKey) -> Option<CounterCall> {
        self.counter.take_call(key)
    }

    /// Returns the number of customers with state.
    pub(crate) fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether this customer has state.
    pub(crate) fn has_customer(&self, customer: CustomerId) -> bool {
        self.customers.contains_key(&customer)
    }

    /// Records the arrival of a request. Returns whether it is a client retry: either the client marked it as one, or
    /// it resembles a request that was rejected recently.
    pub(crate) fn record_arrival(&mut self, arrival: &Arrival, now: Micros) -> bool {
        let customer = self.customers.entry(arrival.customer).or_default();
        customer.record_arrival(arrival, now);
        arrival.is_client_retry || customer.resembles_rejection(arrival, now)
    }

    /// Records that a request was rejected.
    pub(crate) fn record_rejection(&mut self, arrival: &Arrival, now: Micros) {
        if let Some(customer) = self.customers.get_mut(&arrival.customer) {
            customer.record_rejection(arrival, now);
        }
    }

    /// Charges a request to its customer's quota window before anything is forwarded.
    pub(crate) fn check_window(
        &mut self,
        context: QuotaContext,
        arrival: &Arrival,
        weight: f64,
        random: &mut fastrand::Rng,
    ) -> WindowCheck {
        let overrun_cost = weight * self.plan(arrival.plan).over_quota_cost * arrival.units;
        update_average(&mut self.average_overrun_cost, overrun_cost, SLOW_SAMPLE_WEIGHT);
        let Some(customer) = self.customers.get(&arrival.customer) else { return WindowCheck::NotQueried };
        let total = customer.window.count.known_total();
        let is_full = self.remaining_units(context, arrival.customer, total) < arrival.units;
        if is_full && self.counter.breaker_is_closed() && total > 0.0 {
            return WindowCheck::KnownFull;
        }
        let exponent =
            query_share::exponent(arrival.is_client_retry, overrun_cost, self.average_overrun_cost);
        if !self.counter.samples_query(exponent, random)
            || !self.begin_counter_call(context, arrival.customer)
        {
            return WindowCheck::NotQueried;
        }
        let call = self.post_request(context, CountKind::Window, arrival);
        call.map_or(WindowCheck::NotQueried, WindowCheck::Queried)
    }

    /// Returns whether a request may be forwarded, by the counter's total if there is one. Without a total, the request
    /// may be forwarded only if `risk_accepted`, the result of
    /// [`accepts_unverified_risk`](Quotas::accepts_unverified_risk), is true.
    pub(crate) fn decide(
        &mut self,
        context: QuotaContext,
        arrival: &Arrival,
        reply: CounterReply,
        risk_accepted: bool,
    ) -> bool {
        match reply {
            CounterReply::Total(total) => self.decide_verified(context, arrival, total),
            CounterReply::Unavailable => risk_accepted && self.decide_unverified(context, arrival),
        }
    }

    /// Records whether [`decide`](Quotas::decide) admitted a request.
    pub(crate) fn record_decision(&mut self, arrival: &Arrival, admitted: bool) {
        let forwarded = if admitted { arrival.units } else { 0.0 };
        self.reported_units.add(0.0, forwarded);
    }

    /// Returns whether a request may be forwarded, given the total of the shared count.
    fn decide_verified(&mut self, context: QuotaContext, arrival: &Arrival, total: f64) -> bool {
        if self.remaining_units(context, arrival.customer, total) < 0.0 {
            return false;
        }
        let window = QuotaWindow::of(self.plan(arrival.plan));
        let beyond_window = if total <= window.units { 0.0 } else { arrival.units };
        // Under a ceiling the allowance may be below zero and must first recover, so this check is also made if nothing
        // is beyond the window.
        self.take_ceiling_allowance(context, arrival, beyond_window)
    }

    /// Corrects the customer's count to the actual units of a request, which are known only after it ran.
    pub(crate) fn settle_units(&mut self, arrival: &Arrival, true_units: f64) {
        if let Some(customer) = self.customers.get_mut(&arrival.customer) {
            customer.window.count.unsent += true_units - arrival.units;
        }
    }

    /// Refunds units that were charged to a window and not used. If less than one unit is left in the window even then,
    /// the refund is of no use to any gateway yet and is sent with the next call instead. The same applies while the
    /// counter's breaker is open.
    pub(crate) fn refund(
        &mut self,
        context: QuotaContext,
        id: CustomerId,
        charged_window: u64,
        units: f64,
    ) -> Option<Action> {
        self.roll(context, id);
        let customer = self.customers.get_mut(&id)?;
        if customer.window.count.period != charged_window {
            return None;
        }
        customer.window.count.last_total -= units;
        let total = customer.window.count.last_total;
        if self.counter.breaker_is_closed() && self.remaining_units(context, id, total) >= 1.0 {
            return self.post_amount(context, CountKind::Window, id, -units);
        }
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.window.count.unsent -= units;
        }
        None
    }

    /// Sends a customer's unsent units to the counter if there are more than [`MIN_DIFFERENCE_UNITS`] of them.
    pub(crate) fn flush_window(&mut self, context: QuotaContext, id: CustomerId) -> Option<Action> {
        let unsent = self.customers.get(&id).map_or(0.0, |customer| customer.window.count.unsent);
        if unsent <= MIN_DIFFERENCE_UNITS {
            return None;
        }
        self.post_amount(context, CountKind::Window, id, 0.0)
    }

    /// Returns the time until the customer's current window ends.
    pub(crate) fn time_to_next_window(&self, now: Micros, arrival: &Arrival) -> Micros {
        let window = QuotaWindow::of(self.plan(arrival.plan));
        window::position(now, arrival.customer, window.length).remaining
    }

    fn plan(&self, plan: PlanId) -> &QuotaPlan {
        &self.plans[plan.0]
    }

    /// Advances a customer's counts to the current quota window and concurrency period.
    pub(crate) fn roll(&mut self, context: QuotaContext, id: CustomerId) {
        if let Some(customer) = self.customers.get_mut(&id) {
            let plan = &self.plans[customer.plan.0];
            customer.roll_window(id, plan, context.now);
            customer.roll_concurrency(id, context.now);
        }
    }

    /// Returns the units left of the customer's quota in the current window, given a total of the shared count.
    fn remaining_units(&self, context: QuotaContext, id: CustomerId, total: f64) -> f64 {
        let Some(customer) = self.customers.get(&id) else { return 0.0 };
        let window = QuotaWindow::of(self.plan(customer.plan));
        let position = window::position(context.now, id, window.length);
        let extra_refill_share = if context.fractional_limits {
            window::unobserved_refill_share(self.counter.query_share())
        } else {
            0.0
        };
        customer.window.allowance_so_far(&window, &position, extra_refill_share) - total
    }

    /// Returns whether the counter can't be queried for this customer at present: it is disabled, or its circuit
    /// breaker or the customer's own is open or half-open.
    fn counter_is_unavailable(&self, id: CustomerId) -> bool {
        let customer_breaker_open =
            self.customers.get(&id).is_some_and(|customer| customer.breaker.is_open());
        !self.counter.is_enabled() || !self.counter.breaker_is_closed() || customer_breaker_open
    }

    /// Returns whether the customer is spread over so many gateways that one gateway's share of its burst is smaller
    /// than the largest request.
    fn burst_share_is_below_one_request(&self, id: CustomerId) -> bool {
        let Some(customer) = self.customers.get(&id) else { return false };
        customer.gateway_spread * self.max_request_units > self.plan(customer.plan).burst
    }
}
