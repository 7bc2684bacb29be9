//! The local token bucket: refills at this gateway's share of a customer's rate and decides when the counter does not.

use crate::quota::window::QuotaWindow;
use crate::quota::{QuotaContext, Quotas};
use crate::token_bucket::TokenBucket;
use crate::Arrival;

impl Quotas {
    /// Takes a request's units from the customer's local bucket and records them as unverified. Returns whether the
    /// bucket held enough.
    ///
    /// A new bucket starts with this gateway's share of the units last known to be left of the customer's quota. A
    /// bucket that starts empty would reject customers with few units for seconds. Under a hard ceiling, the units must
    /// also be granted by the allowance of [`ceiling`](super::ceiling), which does start empty.
    pub(super) fn take_local(&mut self, context: QuotaContext, arrival: &Arrival) -> bool {
        let id = arrival.customer;
        let Some(customer) = self.customers.get(&id) else { return false };
        let known_total = customer.window.count.known_total();
        let remaining = self.remaining_units(context, id, known_total).max(0.0);
        let share = self.local_share(arrival);
        let max_request_units = self.max_request_units;
        let plan = &self.plans[arrival.plan.0];
        // A share smaller than one request would reject everything, so the bucket starts with at least the largest
        // request, up to the units left.
        let level = (remaining * share).max(max_request_units.min(remaining));
        let depth = (plan.burst * share).max(max_request_units);
        let refill_rate = plan.rate * share;
        let Some(customer) = self.customers.get_mut(&id) else { return false };
        let initial = TokenBucket { level, depth, refill_rate, updated_at: context.now };
        let bucket = customer.local_bucket.get_or_insert(initial);
        bucket.depth = depth;
        bucket.refill_rate = refill_rate;
        let taken = bucket.try_take(context.now, arrival.units);
        if taken {
            customer.window.count.unsent += arrival.units;
            customer.window.count.unsent_unverified += arrival.units;
        }
        taken
    }

    /// Returns this gateway's share of a customer's quota: the mean of an even share among the gateways assumed to
    /// serve the customer and the share of the customer's units that passed through this gateway.
    ///
    /// The share is raised to the part of the quota that, by past usage, the other gateways do not need, except while
    /// the usage is unknown and the counter is unavailable. Without this rule, a customer that uses little of its quota
    /// and uses one gateway for a while would be rejected when the counter is unavailable or can't handle all calls.
    /// The share is too large if, during an outage of the counter, a customer asks several gateways for more than
    /// before.
    fn local_share(&self, arrival: &Arrival) -> f64 {
        let Some(customer) = self.customers.get(&arrival.customer) else { return 0.0 };
        let even_share = 1.0 / customer.active_gateways;
        let own_share = customer.history.own_share().unwrap_or(even_share);
        let share = (own_share + even_share) / 2.0;
        if !customer.history.is_known() && self.counter_is_unavailable(arrival.customer) {
            return share;
        }
        let usage = customer.history.usage(&QuotaWindow::of(&self.plans[customer.plan.0]));
        let needed_by_others = (1.0 - own_share) * usage;
        share.max(1.0 - needed_by_others)
    }
}
