//! Retention: how long the state of a customer is kept, and which customers are forgotten if there are too many.

use super::customer::Customer;
use super::Quotas;
use crate::{CustomerId, Micros};
use std::collections::BTreeSet;

/// How long the state of an idle customer is kept. It is bounded because many customers send only one request.
pub(crate) const CUSTOMER_RETENTION: Micros = Micros::from_secs(30);
/// The share of the limit by which the number of customers is reduced once it is reached: 1 / `FORGOTTEN_DIVISOR`.
const FORGOTTEN_DIVISOR: usize = 8;

/// The maximum number of customers with state. Any client can make up names of customers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CustomerLimit(usize);

impl Default for CustomerLimit {
    fn default() -> CustomerLimit {
        CustomerLimit(usize::MAX)
    }
}

impl Quotas {
    /// Sets the maximum number of customers with state.
    pub(crate) fn limit_customers(&mut self, limit: usize) {
        self.customer_limit = CustomerLimit(limit);
    }

    /// Returns whether a customer would be the first one beyond the limit.
    pub(crate) fn is_full_for(&self, customer: CustomerId) -> bool {
        self.customers.len() >= self.customer_limit.0 && !self.has_customer(customer)
    }

    /// Drops the state of customers that have been idle for longer than [`CUSTOMER_RETENTION`] and have no concurrent
    /// requests.
    pub(crate) fn forget_idle(&mut self, now: Micros) {
        let is_active = |customer: &Customer| customer.last_seen + CUSTOMER_RETENTION >= now;
        self.customers.retain(|_, customer| is_active(customer) || customer.concurrent > 0.0);
    }

    /// Drops the state of some customers without an open request, so that there is room for others: first of those that
    /// have sent one request only, as made-up names do, then of those that were seen the longest ago.
    pub(crate) fn forget_some(&mut self, with_open_request: &BTreeSet<CustomerId>) {
        let may_forget = |id: &CustomerId, customer: &Customer| {
            customer.concurrent <= 0.0 && !with_open_request.contains(id)
        };
        let candidates = self.customers.iter().filter(|(id, customer)| may_forget(id, customer));
        let mut candidates: Vec<(bool, Micros, CustomerId)> =
            candidates.map(|(id, customer)| (customer.has_returned, customer.last_seen, *id)).collect();
        let count = (self.customer_limit.0 / FORGOTTEN_DIVISOR).max(1);
        if count < candidates.len() {
            candidates.select_nth_unstable(count);
            candidates.truncate(count);
        }
        for (_, _, id) in candidates {
            self.customers.remove(&id);
        }
    }
}
