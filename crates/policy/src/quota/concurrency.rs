//! The cap on a customer's concurrent requests, counted over all gateways.

use crate::quota::{CountKind, CounterReply, QuotaContext, Quotas, MIN_DIFFERENCE_UNITS};
use crate::{Action, Arrival, CustomerId, Micros};

/// Length of the period after which the count starts again, so that requests of a gateway that was killed are dropped
/// from it.
pub(super) const CONCURRENCY_PERIOD: Micros = Micros::from_secs(5);

/// Exponent of the query share for calls that count concurrent requests. Calls that charge windows have an exponent of
/// 1 at the average overrun cost, so they take precedence while the counter can handle only a few calls.
const QUERY_EXPONENT: f64 = 3.0;

/// The result of [`Quotas::check_concurrency`].
pub(crate) enum ConcurrencyCheck {
    /// The plan has no cap.
    Uncapped,
    /// The counter is called, and its reply decides.
    Queried(Action),
    /// The counter is not called, so the request is decided without it.
    NotQueried,
}

impl Quotas {
    /// Adds a request to the shared count of its customer's concurrent requests, if its plan caps them.
    pub(crate) fn check_concurrency(
        &mut self,
        context: QuotaContext,
        arrival: &Arrival,
        random: &mut fastrand::Rng,
    ) -> ConcurrencyCheck {
        if !self.caps_concurrency(arrival) {
            return ConcurrencyCheck::Uncapped;
        }
        let sampled = self.counter.samples_query(QUERY_EXPONENT, random);
        if !sampled || !self.begin_counter_call(context, arrival.customer) {
            return ConcurrencyCheck::NotQueried;
        }
        let call = self.post_request(context, CountKind::Concurrency, arrival);
        call.map_or(ConcurrencyCheck::NotQueried, ConcurrencyCheck::Queried)
    }

    /// Returns whether the request's plan caps concurrent requests.
    pub(crate) fn caps_concurrency(&self, arrival: &Arrival) -> bool {
        self.plan(arrival.plan).max_concurrent > 0.0
    }

    /// Returns whether one more concurrent request is allowed, by the counter's total or else by this gateway's share
    /// of the cap. Without a total, client retries are not allowed while the counter is available.
    pub(crate) fn allows_concurrent(&self, arrival: &Arrival, reply: CounterReply) -> bool {
        let cap = self.plan(arrival.plan).max_concurrent;
        match reply {
            CounterReply::Total(total) => total <= cap,
            CounterReply::Unavailable
                if arrival.is_client_retry && !self.counter_is_unavailable(arrival.customer) =>
            {
                false
            }
            CounterReply::Unavailable => self.customers.get(&arrival.customer).is_some_and(|customer| {
                let local_share = (cap / customer.gateway_spread).floor().max(1.0);
                customer.concurrent < local_share
            }),
        }
    }

    /// Records that a request of the customer was admitted.
    pub(crate) fn add_concurrent(&mut self, id: CustomerId) {
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.concurrent += 1.0;
        }
    }

    /// Records that an admitted request of the customer has ended.
    pub(crate) fn remove_concurrent(&mut self, id: CustomerId) {
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.concurrent -= 1.0;
        }
    }

    /// Corrects the shared count if it includes more requests of this gateway than are running here.
    pub(crate) fn sync_concurrency(&mut self, context: QuotaContext, id: CustomerId) -> Option<Action> {
        self.roll(context, id);
        let customer = self.customers.get_mut(&id)?;
        let surplus = customer.concurrency.own_amount() - customer.concurrent;
        if surplus <= MIN_DIFFERENCE_UNITS || !self.counter.breaker_is_closed() {
            return None;
        }
        customer.concurrency.unsent -= surplus;
        self.post_amount(context, CountKind::Concurrency, id, 0.0)
    }
}
