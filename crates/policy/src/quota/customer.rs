//! The quota state of one customer at this gateway.

use crate::quota::circuit_breaker::CircuitBreaker;
use crate::quota::concurrency::CONCURRENCY_PERIOD;
use crate::quota::counter::CountKind;
use crate::quota::shared_count::SharedCount;
use crate::quota::window::{self, CustomerWindow, QuotaWindow};
use crate::smoothing::update_average;
use crate::token_bucket::TokenBucket;
use crate::{Arrival, ClassId, CustomerId, Micros, PlanId, QuotaPlan};

/// Time after a rejection during which a request that resembles the rejected one is treated as its retry.
const CLIENT_RETRY_RECOGNITION_TIME: Micros = Micros::from_secs(1);
/// Weight of the newest window in the history of windows.
const WINDOW_WEIGHT: f64 = 0.3;
/// Share of its quota that a customer is assumed to use until one of its totals is known.
const DEFAULT_USAGE_SHARE: f64 = 0.3;

/// The most recent rejected request, used to recognize its retry.
#[derive(Debug)]
struct Rejection {
    class: ClassId,
    units: f64,
    at: Micros,
}

/// Exponentially weighted averages over past quota windows.
#[derive(Debug, Default)]
pub(super) struct UsageHistory {
    /// Units per window that the counter counted for this gateway.
    own_units: f64,
    /// Units per window of all gateways.
    total_units: f64,
}

impl UsageHistory {
    /// Returns whether a window with a known total has been recorded.
    pub(super) fn is_known(&self) -> bool {
        self.total_units > 0.0
    }

    fn record(&mut self, count: &SharedCount) {
        let weight = if self.is_known() { WINDOW_WEIGHT } else { 1.0 };
        update_average(&mut self.own_units, count.counted, weight);
        update_average(&mut self.total_units, count.last_total, weight);
    }

    /// Returns the share of the customer's units that passed through this gateway.
    pub(super) fn own_share(&self) -> Option<f64> {
        self.is_known().then(|| (self.own_units / self.total_units).clamp(0.0, 1.0))
    }

    /// Returns the share of its quota that the customer uses.
    pub(super) fn usage(&self, window: &QuotaWindow) -> f64 {
        if self.is_known() {
            self.total_units / window.units
        } else {
            DEFAULT_USAGE_SHARE
        }
    }
}

/// The quota state of one customer.
#[derive(Debug, Default)]
pub(super) struct Customer {
    pub(super) plan: PlanId,
    /// Number of gateways over which the customer's requests are spread.
    pub(super) gateway_spread: f64,
    /// Number of these gateways that are assumed to serve the customer at present.
    pub(super) active_gateways: f64,
    pub(super) window: CustomerWindow,
    pub(super) history: UsageHistory,
    /// This gateway's side of the shared count of concurrent requests.
    pub(super) concurrency: SharedCount,
    /// Number of the customer's concurrent requests at this gateway, if its plan caps them.
    pub(super) concurrent: f64,
    /// The token bucket that decides while the counter does not reply.
    pub(super) local_bucket: Option<TokenBucket>,
    /// Units that may be forwarded unverified or beyond the window under a hard ceiling.
    pub(super) ceiling_allowance: TokenBucket,
    /// The circuit breaker for counter calls of this customer alone.
    pub(super) breaker: CircuitBreaker,
    pub(super) last_seen: Micros,
    /// Whether the customer has sent more than one request.
    pub(super) has_returned: bool,
    last_rejection: Option<Rejection>,
}

impl Customer {
    pub(super) fn record_arrival(&mut self, arrival: &Arrival, now: Micros) {
        let is_new = self.last_seen == Micros(0);
        self.has_returned = !is_new;
        if is_new {
            // The allowance starts empty, because an earlier process of this gateway may have spent it.
            self.ceiling_allowance.updated_at = now;
        }
        self.plan = arrival.plan;
        self.gateway_spread = f64::from(arrival.gateway_spread.max(1));
        self.active_gateways = match arrival.active_gateways {
            0 => self.gateway_spread,
            active => f64::from(active),
        };
        self.last_seen = now;
    }

    /// Returns whether a request resembles the one last rejected at this gateway, which identifies retries of clients
    /// that do not mark them.
    pub(super) fn resembles_rejection(&self, arrival: &Arrival, now: Micros) -> bool {
        self.last_rejection.as_ref().is_some_and(|rejection| {
            rejection.class == arrival.class
                && rejection.units == arrival.units
                && now < rejection.at + CLIENT_RETRY_RECOGNITION_TIME
        })
    }

    pub(super) fn record_rejection(&mut self, arrival: &Arrival, now: Micros) {
        self.last_rejection = Some(Rejection { class: arrival.class, units: arrival.units, at: now });
    }

    /// Returns this gateway's side of one of the customer's shared counts.
    pub(super) fn count(&mut self, kind: CountKind) -> &mut SharedCount {
        match kind {
            CountKind::Window => &mut self.window.count,
            CountKind::Concurrency => &mut self.concurrency,
        }
    }

    /// Advances to the current quota window.
    pub(super) fn roll_window(&mut self, id: CustomerId, plan: &QuotaPlan, now: Micros) {
        let has_rate = plan.rate > 0.0;
        let (length, quota_units) = match has_rate.then(|| QuotaWindow::of(plan)) {
            Some(window) => (window.length, window.units),
            None => (CONCURRENCY_PERIOD, 0.0),
        };
        let index = window::position(now, id, length).index;
        if self.window.count.period == index {
            return;
        }
        if self.window.count.last_total > 0.0 {
            self.history.record(&self.window.count);
        }
        self.window = self.window.next(index, quota_units, plan.burst, self.gateway_spread);
    }

    /// Advances the count of concurrent requests to the current period, in which the running requests are counted anew.
    pub(super) fn roll_concurrency(&mut self, id: CustomerId, now: Micros) {
        let period = window::position(now, id, CONCURRENCY_PERIOD).index;
        if self.concurrency.period != period {
            self.concurrency = SharedCount { unsent: self.concurrent, ..SharedCount::new(period) };
        }
    }
}
