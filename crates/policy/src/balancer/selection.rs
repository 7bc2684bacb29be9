//! Selects the backend for an attempt: the candidate with the shortest expected wait.

use crate::attempt_rules::AttemptRules;
use crate::balancer::{Backend, Balancer};
use crate::hash::unit_interval;
use crate::{BackendId, Micros};

/// Lower bound of the total limit on attempts in flight at a gateway with fractional limits. A smaller number would
/// delay requests that happen to arrive at the same moment.
const MIN_TOTAL_LIMIT_FRACTIONAL: f64 = 2.0;
/// Lower bound of the total limit on attempts in flight at any other gateway.
const MIN_TOTAL_LIMIT: f64 = 1.0;
/// Weight of a backend's failure share in its expected wait.
const FAILURE_PENALTY: f64 = 3.0;
/// Added to the expected wait for each earlier attempt of the same request at this backend.
const REPEAT_PENALTY_ATTEMPTS: f64 = 4.0;
/// Relative increase of the expected wait for a backend in another zone.
const OTHER_ZONE_PENALTY_SHARE: f64 = 0.05;
/// Largest random increase of the expected wait, as a share of it.
const RANDOM_SHARE: f64 = 0.1;
/// Factor applied to the expected wait of a backend that awaits its trial, or of a cold one that this gateway may send
/// to in the current time slot.
const PREFERENCE_FACTOR: f64 = 0.3;

/// Inputs shared by all candidates of one selection.
struct SelectionContext<'a> {
    rules: &'a AttemptRules<'a>,
    now: Micros,
    /// This gateway's share in the limit of each backend.
    limit_scale: f64,
    fractional_limits: bool,
    /// Whether some backend is available.
    any_available: bool,
    /// Seeds the random part of each candidate's wait.
    salt: u64,
}

impl Balancer {
    /// Returns the candidate with the shortest expected wait. The search ends with the subset, in which only warm
    /// backends are counted, or later with the first candidate outside it.
    pub(crate) fn select(&mut self, rules: &AttemptRules, random: &mut fastrand::Rng) -> Option<BackendId> {
        let now = rules.now;
        self.update_slow_start(now);
        let salt = random.u64(..);
        if !rules.allow_attempt() {
            return None;
        }
        let (subset_size, limit_scale) = (self.subset_size(now), self.limit_scale(now));
        let total_limit = self.total_limit(now, subset_size, limit_scale);
        let fractional_limits = self.limits_are_fractional(now);
        if self.is_at_limit(total_limit, fractional_limits) {
            return None;
        }
        let any_available = total_limit > 0.0
            || self.backends.values().any(|backend| backend.in_service && backend.is_available(now));
        let context = SelectionContext { rules, now, limit_scale, fractional_limits, any_available, salt };
        self.best_candidate(&context, subset_size)
    }

    /// Returns the sum of the scaled limits of the available backends in the subset.
    fn total_limit(&self, now: Micros, subset_size: usize, limit_scale: f64) -> f64 {
        let subset = self.subset_first().take(subset_size).map(|id| &self.backends[&id]);
        let available = subset.filter(|backend| backend.is_available(now));
        available.map(|backend| backend.concurrency_limit.scaled(limit_scale)).sum()
    }

    /// Returns whether the attempts in flight at all backends have reached the sum of the limits, raised to its lower
    /// bound. The sum is enforced because a single limit may be below one attempt where many gateways share the
    /// backends.
    fn is_at_limit(&self, total_limit: f64, fractional_limits: bool) -> bool {
        let min_total_limit = if fractional_limits { MIN_TOTAL_LIMIT_FRACTIONAL } else { MIN_TOTAL_LIMIT };
        total_limit > 0.0 && self.in_flight >= total_limit.max(min_total_limit)
    }

    fn best_candidate(&self, context: &SelectionContext, subset_size: usize) -> Option<BackendId> {
        let mut best: Option<(f64, BackendId)> = None;
        let mut warm_backends_seen = 0;
        for id in self.subset_first() {
            if warm_backends_seen >= subset_size && best.is_some() {
                break;
            }
            let backend = &self.backends[&id];
            // Cold backends are not counted, so that the search continues past a subset that was recently replaced and
            // has few backends able to work.
            warm_backends_seen += usize::from(!backend.slow_start.is_warming_up());
            if !self.is_candidate(context, backend) {
                continue;
            }
            let wait = self.expected_wait(context, id, backend);
            if best.is_none_or(|(best_wait, _)| wait < best_wait) {
                best = Some((wait, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Returns whether a backend may be selected. If none is available, each eligible backend gets one attempt at a
    /// time.
    fn is_candidate(&self, context: &SelectionContext, backend: &Backend) -> bool {
        let limit = match context.any_available {
            true => backend.concurrency_limit.scaled_floor(context.limit_scale),
            false => 1.0,
        };
        backend.in_flight < limit
            && (!context.any_available || backend.is_available(context.now))
            && self.is_eligible(context.rules, backend)
    }

    /// Returns the expected wait at a backend, in attempts of an average backend.
    fn expected_wait(&self, context: &SelectionContext, id: BackendId, backend: &Backend) -> f64 {
        let request = context.rules.request;
        let relative_latency = self.health.relative_latency(backend.latency);
        let queue = backend.in_flight + backend.streams + 1.0;
        let failure_factor = 1.0 + FAILURE_PENALTY * backend.outlier.failure_share();
        let repeat_penalty = REPEAT_PENALTY_ATTEMPTS * request.attempts_at(id) as f64;
        let wait = queue * relative_latency / backend.weight * failure_factor + repeat_penalty;
        let random_increase = RANDOM_SHARE * unit_interval(context.salt ^ id.0);
        let same_zone = backend.zone == self.settings.zone;
        let zone_penalty = if same_zone { 0.0 } else { OTHER_ZONE_PENALTY_SHARE * context.limit_scale };
        let wait = wait * (1.0 + random_increase + zone_penalty);
        // Without this preference a backend that awaits its trial would never be tried, and a slow-start slot would
        // expire unused.
        let has_slot = backend.slow_start.is_warming_up() && context.fractional_limits;
        let is_preferred = (backend.outlier.awaits_trial() || has_slot) && request.attempts.is_empty();
        wait * if is_preferred { PREFERENCE_FACTOR } else { 1.0 }
    }
}
