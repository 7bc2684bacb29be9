//! The hard ceiling of a plan, above its quota.

use crate::quota::{QuotaContext, Quotas};
use crate::Arrival;

impl Quotas {
    /// Takes units from this gateway's share of the ceiling's headroom above the quota. Returns whether they were
    /// granted, which they always are under a plan without a ceiling.
    ///
    /// The allowance is needed wherever the plain window does not account for the forwarded units: when they are
    /// forwarded unverified, by this gateway's estimate of the carried-over units, or beyond the quota. Plain windows
    /// stay within the quota, so the sum over all gateways stays below the ceiling whatever each gateway assumes. The
    /// share is too small for a gateway that receives all of a customer's traffic.
    pub(super) fn take_ceiling_allowance(
        &mut self,
        context: QuotaContext,
        arrival: &Arrival,
        units: f64,
    ) -> bool {
        let plan = &self.plans[arrival.plan.0];
        if !plan.has_ceiling() {
            return true;
        }
        let Some(customer) = self.customers.get_mut(&arrival.customer) else { return true };
        let gateways = customer.gateway_spread;
        let allowance = &mut customer.ceiling_allowance;
        allowance.refill_rate = (plan.ceiling_rate - plan.rate).max(0.0) / gateways;
        allowance.depth = (plan.ceiling_burst - plan.burst).max(0.0) / gateways;
        allowance.try_take(context.now, units)
    }
}
