//! Decides whether a request may be forwarded unverified, that is without a total from the counter.

use crate::quota::{CounterReply, QuotaContext, Quotas};
use crate::Arrival;

/// Span, in units, of the decaying ratios of reported units and of units that find the quota exhausted.
pub(super) const LEARNING_SPAN_UNITS: f64 = 200.0;
/// Number of units that are assumed to have found quota left before the first query.
const PRIOR_UNITS: f64 = 20.0;
/// Lower bound of the assumed share of units that is reported to the counter.
const MIN_REPORTED_SHARE: f64 = 0.1;
/// Slope of the probability of forwarding a request unverified. The probability is 1 up to a third of the exhausted
/// share at which forwarding no longer pays, and falls to 0 there, because the last requests admitted find less quota
/// left than the known average.
const CHANCE_SLOPE: f64 = 1.5;

impl Quotas {
    /// Records whether a counter reply shows the quota as exhausted. Ignores client retries and customers whose burst
    /// share is at least one request.
    pub(crate) fn record_exhaustion(
        &mut self,
        context: QuotaContext,
        arrival: &Arrival,
        reply: CounterReply,
    ) {
        let CounterReply::Total(total) = reply else { return };
        if arrival.is_client_retry || !self.burst_share_is_below_one_request(arrival.customer) {
            return;
        }
        let estimated_total = self.estimate_total(arrival, total);
        let exhausted = self.remaining_units(context, arrival.customer, estimated_total) < 0.0;
        let exhausted_units = if exhausted { arrival.units } else { 0.0 };
        self.exhausted_units[arrival.plan.0].add(exhausted_units, arrival.units);
    }

    /// Returns a total that includes an estimate of the units that other gateways forwarded and never reported,
    /// assuming that they report the same share as this gateway. Without the estimate, customers whose units other
    /// gateways forwarded unverified would be treated as idle: such units reach the counter only with the customer's
    /// next call at the same gateway, so never if a customer rarely uses one gateway twice.
    fn estimate_total(&self, arrival: &Arrival, total: f64) -> f64 {
        let customer = self.customers.get(&arrival.customer);
        let own = customer.map_or(0.0, |customer| customer.window.count.own_amount());
        let reported_share = self.reported_units.ratio_or(1.0);
        own + (total - own).max(0.0) / reported_share.clamp(MIN_REPORTED_SHARE, 1.0)
    }

    /// Returns whether a request may be forwarded without a total from the counter, after the risk was accepted.
    pub(super) fn decide_unverified(&mut self, context: QuotaContext, arrival: &Arrival) -> bool {
        // A client retry was rejected recently, here or at another gateway. If the local share is smaller than one
        // request, only the counter may admit it, as long as it can be queried.
        let must_query = arrival.is_client_retry
            && self.burst_share_is_below_one_request(arrival.customer)
            && !self.counter_is_unavailable(arrival.customer);
        !must_query
            && self.take_ceiling_allowance(context, arrival, arrival.units)
            && self.take_local(context, arrival)
    }

    /// Decides at random whether to accept the risk that a request forwarded unverified is beyond the quota. The
    /// probability falls with the share of units of the same plan that found the quota exhausted and with the net loss
    /// of a request beyond the quota, but is at least this gateway's share of the burst, in requests. The draw is
    /// skipped for a customer with a known total in this window, because that total decides, and while the counter is
    /// unavailable.
    ///
    /// [`take_local`](Quotas::take_local) grants at least one request at each gateway. Without this rule, the grants of
    /// a customer's many gateways would add up to many times its burst. The rule may reject a request whose quota is
    /// not exhausted while other customers of the plan ask for more than theirs.
    pub(crate) fn accepts_unverified_risk(
        &self,
        arrival: &Arrival,
        reply: CounterReply,
        random: &mut fastrand::Rng,
    ) -> bool {
        if reply != CounterReply::Unavailable || self.counter_is_unavailable(arrival.customer) {
            return true;
        }
        let Some(customer) = self.customers.get(&arrival.customer) else { return false };
        let plan = &self.plans[arrival.plan.0];
        let net_loss = plan.over_quota_cost - plan.over_quota_value;
        let exhausted_share = self.exhausted_units[arrival.plan.0].ratio_with_prior(PRIOR_UNITS);
        let burst_share_in_requests = plan.burst / (customer.gateway_spread * self.max_request_units);
        let chance = (CHANCE_SLOPE * (1.0 - exhausted_share * (1.0 + net_loss))).max(burst_share_in_requests);
        net_loss <= 0.0 || customer.window.count.last_total > 0.0 || chance >= 1.0 || random.f64() < chance
    }
}
