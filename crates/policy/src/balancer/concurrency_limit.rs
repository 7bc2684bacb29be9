//! Adapts the limit on attempts in flight at one backend by additive increase and multiplicative decrease.

use crate::Micros;

/// The limit of a backend before any result is known, in attempts.
pub(super) const INITIAL_LIMIT: f64 = 2.0;
/// Lower bound of the limit, in attempts.
const MIN_LIMIT: f64 = 0.1;
/// Factor applied to the limit on overload.
const DECREASE_FACTOR: f64 = 0.7;
/// Added to the limit by a fast response, in attempts.
const INCREASE_PER_FAST_RESPONSE: f64 = 0.03;
/// A response within this share of the latency objective is fast.
const FAST_OBJECTIVE_SHARE: f64 = 0.25;

/// Concurrency limit of one backend, before scaling to this gateway's share.
#[derive(Debug, Clone)]
pub(crate) struct ConcurrencyLimit(f64);

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit(INITIAL_LIMIT)
    }
}

impl ConcurrencyLimit {
    /// Returns the limit for a gateway with this share. It may be below 1.
    pub(crate) fn scaled(&self, scale: f64) -> f64 {
        self.0 * scale
    }

    /// Returns the scaled limit rounded down to an integer, at least 1.
    pub(super) fn scaled_floor(&self, scale: f64) -> f64 {
        self.scaled(scale).floor().max(1.0)
    }

    /// Returns whether one more attempt in flight would have reached the limit.
    pub(super) fn is_in_use(&self, in_flight: f64, scale: f64) -> bool {
        in_flight + 1.0 >= self.scaled(scale).floor()
    }

    /// Lowers the limit after an overload. The decrease is fast and recovery is slow.
    pub(super) fn decrease(&mut self) {
        self.0 = (self.0 * DECREASE_FACTOR).max(MIN_LIMIT);
    }

    /// Raises the limit after a fast response if the limit was in use, since the backend could handle more.
    pub(super) fn increase_if_fast(&mut self, in_use: bool, latency: Micros, objective: Micros) {
        if in_use && latency < objective.mul_f64(FAST_OBJECTIVE_SHARE) {
            self.0 += INCREASE_PER_FAST_RESPONSE;
        }
    }
}
