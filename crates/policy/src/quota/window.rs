//! Quota windows: fixed periods, in each of which a customer's shared count starts again from zero.

use crate::hash::mix_bits;
use crate::quota::shared_count::SharedCount;
use crate::{CustomerId, Micros, QuotaPlan};

/// Extra share of the refill that is granted while all requests query the counter, if this gateway did not observe the
/// previous window.
const UNOBSERVED_REFILL_SHARE: f64 = 0.3;
/// Under a hard ceiling, the length and the units of a window are reduced to this share, so that two consecutive
/// windows stay below the ceiling.
const CEILING_WINDOW_SHARE: f64 = 0.5;
/// Minimum length of a window.
const MIN_WINDOW_MICROS: f64 = 1.0;

/// The length of a plan's windows and the units that the plain window admits: one burst in the time that refills it,
/// both scaled by [`CEILING_WINDOW_SHARE`] under a hard ceiling.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaWindow {
    pub(super) length: Micros,
    pub(super) units: f64,
}

impl QuotaWindow {
    pub(super) fn of(plan: &QuotaPlan) -> QuotaWindow {
        let share = if plan.has_ceiling() { CEILING_WINDOW_SHARE } else { 1.0 };
        let micros = (plan.burst / plan.rate) * share * 1e6;
        QuotaWindow { length: Micros(micros.max(MIN_WINDOW_MICROS) as u64), units: plan.burst * share }
    }
}

/// The position of a point in time within a customer's windows.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowPosition {
    /// The index of the window.
    pub(super) index: u64,
    /// The time until the window ends.
    pub(super) remaining: Micros,
}

/// Returns the position of `now` within the customer's windows. The customer's hash shifts the boundaries, so that the
/// windows of different customers do not all end at once.
pub(super) fn position(now: Micros, customer: CustomerId, length: Micros) -> WindowPosition {
    let shifted = now.0 + mix_bits(customer.0) % length.0;
    WindowPosition { index: shifted / length.0, remaining: Micros(length.0 - shifted % length.0) }
}

/// Returns the extra share of the refill that is granted, with fractional limits, if this gateway did not observe the
/// previous window. It falls with the share of requests that query the counter, because totals then miss units that
/// other gateways forwarded.
pub(super) fn unobserved_refill_share(query_share: f64) -> f64 {
    UNOBSERVED_REFILL_SHARE * query_share.powi(2)
}

/// A customer's current window.
#[derive(Debug, Default)]
pub(super) struct CustomerWindow {
    /// This gateway's side of the shared count.
    pub(super) count: SharedCount,
    /// Units of its allowance that the previous window is estimated to have left.
    pub(super) carried_over: f64,
    /// Whether this gateway observed the previous window, so that `carried_over` is based on its total.
    pub(super) previous_observed: bool,
}

impl CustomerWindow {
    /// Returns the window with the given index, which replaces this one. If this window does not directly precede it,
    /// only this gateway's share of the burst is carried over: gateways that rarely see a customer must not each assume
    /// that the burst is unused.
    pub(super) fn next(
        &self,
        index: u64,
        quota_units: f64,
        burst: f64,
        gateway_spread: f64,
    ) -> CustomerWindow {
        let previous_observed = self.count.period + 1 == index;
        let left = self.carried_over + quota_units - self.count.known_total();
        let carried_over = if previous_observed { left.clamp(0.0, burst) } else { burst / gateway_spread };
        CustomerWindow { count: SharedCount::new(index), carried_over, previous_observed }
    }

    /// Returns the units that the quota admits up to this point of the window. If this gateway observed the previous
    /// window, this is a token bucket that starts with the units carried over; otherwise it is at least the plain
    /// window.
    ///
    /// A plain window alone would reject requests within the quota, because it ignores the units left by the previous
    /// window, and would admit requests beyond the quota, because it grants the full burst again. The allowance may be
    /// too small if totals include units that the bucket did not grant.
    pub(super) fn allowance_so_far(
        &self,
        window: &QuotaWindow,
        position: &WindowPosition,
        extra_refill_share: f64,
    ) -> f64 {
        let elapsed_share = 1.0 - position.remaining.as_secs_f64() / window.length.as_secs_f64();
        let refill = window.units * elapsed_share;
        let plain_window =
            if self.previous_observed { 0.0 } else { window.units + extra_refill_share * refill };
        (self.carried_over + refill).max(plain_window)
    }
}
