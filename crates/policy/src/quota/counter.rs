//! Calls to the counter service, which add to a customer's shared counts and return their totals.

use crate::hash::mix_bits;
use crate::quota::circuit_breaker::CircuitBreaker;
use crate::quota::concurrency::CONCURRENCY_PERIOD;
use crate::quota::query_share::QueryShare;
use crate::quota::shared_count::{CarriedAmount, SharedCount};
use crate::quota::window::QuotaWindow;
use crate::quota::{CounterReply, QuotaContext, Quotas, MIN_DIFFERENCE_UNITS};
use crate::{Action, Arrival, CounterKey, CustomerId, Micros, Outcome, RequestId, Settings};
use std::collections::{BTreeMap, VecDeque};

/// Maximum time for which the counter service keeps a count.
const MAX_KEY_LIFETIME: Micros = Micros::from_secs(60);
/// A reply is slow if it takes more than this share of the call's timeout.
const SLOW_REPLY_SHARE: f64 = 0.5;

/// The kind of a customer's shared count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountKind {
    /// Units in the current quota window.
    Window,
    /// Concurrent requests.
    Concurrency,
}

/// A counter call whose reply is pending.
#[derive(Debug)]
pub(crate) struct CounterCall {
    pub(crate) kind: CountKind,
    pub(crate) customer: CustomerId,
    /// The index of the quota window or concurrency period to which the call adds.
    pub(crate) period: u64,
    /// The request that waits for the reply, if any.
    pub(crate) request: Option<RequestId>,
    called_at: Micros,
    amount: f64,
    carried: CarriedAmount,
    /// Whether the call is the probe of a half-open circuit breaker.
    is_probe: bool,
}

/// The client of the counter service: its pending calls, its circuit breaker and the share of requests that query it.
#[derive(Debug, Default)]
pub(crate) struct CounterClient {
    enabled: bool,
    timeout: Micros,
    breaker: CircuitBreaker,
    query_share: QueryShare,
    last_failed_customer: Option<CustomerId>,
    /// Pending calls by counter key. Replies for one key arrive in the order of the calls.
    calls: BTreeMap<CounterKey, VecDeque<CounterCall>>,
}

impl CounterClient {
    pub(super) fn new(settings: &Settings) -> CounterClient {
        CounterClient {
            enabled: settings.quota_counter,
            timeout: settings.counter_timeout,
            query_share: QueryShare::new(settings.gateway_count),
            ..CounterClient::default()
        }
    }

    /// Returns whether the counter service may be called at all.
    pub(super) fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Returns whether the circuit breaker for the counter service is closed.
    pub(crate) fn breaker_is_closed(&self) -> bool {
        !self.breaker.is_open()
    }

    /// Returns the share of requests that query the counter.
    pub(crate) fn query_share(&self) -> f64 {
        self.query_share.get()
    }

    /// Returns the number of keys with pending calls.
    pub(crate) fn pending_keys(&self) -> usize {
        self.calls.len()
    }

    /// Decides at random whether a request queries the counter. While calls fail, only a share of the requests query
    /// it, so that the fleet's own calls do not overload the counter. While the breaker is open, every request may
    /// become its probe.
    pub(super) fn samples_query(&self, exponent: f64, random: &mut fastrand::Rng) -> bool {
        self.breaker.is_open() || random.f64() < self.query_share.get().powf(exponent)
    }

    /// Removes and returns the oldest pending call for a key.
    pub(super) fn take_call(&mut self, key: CounterKey) -> Option<CounterCall> {
        let calls = self.calls.get_mut(&key)?;
        let call = calls.pop_front()?;
        if calls.is_empty() {
            self.calls.remove(&key);
        }
        Some(call)
    }

    fn record_success(&mut self, call: &CounterCall, now: Micros) {
        let is_slow = now - call.called_at > self.timeout.mul_f64(SLOW_REPLY_SHARE);
        self.query_share.record_success(now, is_slow, call.is_probe);
        self.last_failed_customer = None;
        self.breaker.record_success(call.is_probe);
    }

    /// Records a failed call. One hot key can overload its part of the counter, so consecutive failures of the same
    /// customer count only once for this breaker, while the customer's own breaker opens. Only timeouts and rejections
    /// decrease the query share: a malformed or truncated reply is no evidence of load on the counter.
    fn record_failure(&mut self, call: &CounterCall, outcome: Outcome, now: Micros) {
        if matches!(outcome, Outcome::Timeout | Outcome::Rejected) {
            self.query_share.record_failure(now, call.called_at);
        }
        if self.last_failed_customer != Some(call.customer) || call.is_probe {
            self.breaker.record_failure(now, call.is_probe);
        }
        self.last_failed_customer = Some(call.customer);
    }
}

impl Quotas {
    /// Returns whether the counter's breaker and the customer's own both allow a call. If so, both record it as made,
    /// so the caller must make the call.
    pub(super) fn begin_counter_call(&mut self, context: QuotaContext, id: CustomerId) -> bool {
        let Some(customer) = self.customers.get_mut(&id) else { return false };
        let counter = &mut self.counter;
        let allowed = counter.enabled
            && counter.breaker.allows_call(context.now)
            && customer.breaker.allows_call(context.now);
        if allowed {
            counter.breaker.record_call();
            customer.breaker.record_call();
        }
        allowed
    }

    /// Adds a request to one of its customer's counts, together with the amount still unsent. Must be called only after
    /// [`begin_counter_call`](Quotas::begin_counter_call) allowed the call.
    pub(super) fn post_request(
        &mut self,
        context: QuotaContext,
        kind: CountKind,
        arrival: &Arrival,
    ) -> Option<Action> {
        let amount = match kind {
            CountKind::Window => arrival.units,
            CountKind::Concurrency => 1.0,
        };
        self.post(context, kind, arrival.customer, Some(arrival.request), amount)
    }

    /// Adds an amount to one of a customer's counts, together with the amount still unsent. Makes no call if the two
    /// cancel out.
    pub(super) fn post_amount(
        &mut self,
        context: QuotaContext,
        kind: CountKind,
        id: CustomerId,
        amount: f64,
    ) -> Option<Action> {
        let customer = self.customers.get_mut(&id)?;
        if amount + customer.count(kind).unsent == 0.0 {
            return None;
        }
        self.post(context, kind, id, None, amount)
    }

    fn post(
        &mut self,
        context: QuotaContext,
        kind: CountKind,
        id: CustomerId,
        request: Option<RequestId>,
        own_amount: f64,
    ) -> Option<Action> {
        let customer = self.customers.get_mut(&id)?;
        let plan = &self.plans[customer.plan.0];
        let probe_in_flight = self.counter.breaker.is_probing() || customer.breaker.is_probing();
        let count = customer.count(kind);
        let period = count.period;
        let carried = count.start_call();
        let amount = own_amount + carried.amount;
        let period_length = match kind {
            CountKind::Window => QuotaWindow::of(plan).length,
            CountKind::Concurrency => CONCURRENCY_PERIOD,
        };
        let key = counter_key(id, kind, period);
        let call = CounterCall {
            kind,
            customer: id,
            period,
            request,
            called_at: context.now,
            amount,
            carried,
            is_probe: request.is_some() && probe_in_flight,
        };
        self.counter.calls.entry(key).or_default().push_back(call);
        let lifetime = (period_length + period_length).min(MAX_KEY_LIFETIME);
        Some(Action::AddToCounter { key, amount, lifetime })
    }

    /// Applies the outcome of a counter call to the customer's counts.
    pub(crate) fn record_reply(
        &mut self,
        context: QuotaContext,
        call: &CounterCall,
        outcome: Outcome,
        total: f64,
    ) -> CounterReply {
        match outcome {
            Outcome::Success => self.record_total(context, call, total),
            _ => {
                self.record_failed_call(context, call, outcome);
                CounterReply::Unavailable
            }
        }
    }

    fn record_total(&mut self, context: QuotaContext, call: &CounterCall, total: f64) -> CounterReply {
        let is_window = call.kind == CountKind::Window;
        let below_one_request = self.burst_share_is_below_one_request(call.customer);
        if is_window {
            self.reported_units.add(call.amount, 0.0);
        }
        let Some(customer) = self.customers.get_mut(&call.customer) else {
            return CounterReply::Total(total);
        };
        let plan = &self.plans[customer.plan.0];
        let allowance = &mut customer.ceiling_allowance;
        let count = match call.kind {
            CountKind::Window => &mut customer.window.count,
            CountKind::Concurrency => &mut customer.concurrency,
        };
        let mut pending = 0.0;
        if count.period == call.period {
            count.end_call(call.carried);
            count.counted += call.amount;
            if is_window {
                // Other gateways can admit lost units a second time, so they are taken from the ceiling allowance.
                allowance.level -= recover_lost_units(count, total);
            }
            count.last_total = total;
            // The total now includes the units forwarded unverified, so other gateways take them into account. If the
            // total is within the plain window, the window accounts for them and the ceiling allowance gets them back.
            // Without this refund, requests within the quota would be rejected under a ceiling, call after call.
            if is_window && total <= QuotaWindow::of(plan).units {
                allowance.put_back(call.carried.unverified);
            }
            pending = count.pending();
        }
        customer.breaker.record_success(call.is_probe);
        if !below_one_request {
            customer.local_bucket = None;
        }
        self.counter.record_success(call, context.now);
        CounterReply::Total(total + pending)
    }

    fn record_failed_call(&mut self, context: QuotaContext, call: &CounterCall, outcome: Outcome) {
        if let Some(customer) = self.customers.get_mut(&call.customer) {
            let count = customer.count(call.kind);
            if count.period == call.period {
                count.end_call(call.carried);
                if outcome.never_ran() {
                    count.restore(call.carried);
                }
            }
        }
        self.counter.record_failure(call, outcome, context.now);
        if let Some(customer) = self.customers.get_mut(&call.customer) {
            customer.breaker.record_failure(context.now, call.is_probe);
        }
    }
}

/// Returns the units that the counter has lost: a total below this gateway's own counted amount proves a loss. The lost
/// units are marked as unsent, so that they are sent again and included in the known total until then.
fn recover_lost_units(count: &mut SharedCount, total: f64) -> f64 {
    let lost = count.counted - total;
    if lost <= MIN_DIFFERENCE_UNITS {
        return 0.0;
    }
    count.unsent += lost;
    count.counted = total;
    lost
}

/// Returns the key under which all gateways add to a customer's count for one period.
fn counter_key(customer: CustomerId, kind: CountKind, period: u64) -> CounterKey {
    let kind_bit = match kind {
        CountKind::Window => 0,
        CountKind::Concurrency => 1,
    };
    CounterKey(mix_bits(mix_bits(customer.0) ^ mix_bits(period << 1 | kind_bit)) >> 1)
}
