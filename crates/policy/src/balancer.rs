//! Selects a backend for each attempt and updates backend state from the results of attempts.
//!
//! A backend is *eligible* for a request if it is in service, an attempt there is safe and slow start allows it. It is
//! *available* if it is neither excluded nor busy with its trial attempt. It is a *candidate* if it is both eligible
//! and available, and below its concurrency limit. If no backend is available, each eligible backend without an attempt
//! in flight is a candidate.
//!
//! Each submodule implements one rule:
//!
//! - [`subset`]: which backends this gateway uses;
//! - [`selection`]: which of them gets an attempt;
//! - [`concurrency_limit`]: how many attempts one backend may have in flight;
//! - [`outlier_detection`]: which backends are ejected;
//! - [`slow_start`]: how much work a backend gets that has just started;
//! - [`endpoint_list`]: how updates of the endpoint list are applied.

mod backend;
mod backends_health;
mod concurrency_limit;
mod endpoint_list;
mod outlier_detection;
mod selection;
mod slow_start;
mod subset;
mod time_slots;

pub(crate) use backend::Backend;

use crate::attempt_rules::AttemptRules;
use crate::location::Location;
use crate::smoothing::DecayingRate;
use crate::{AttemptResult, BackendId, Micros, Outcome, Settings, ZoneId};
use backends_health::BackendsHealth;
use slow_start::SlowStartSettings;
use std::collections::BTreeMap;

/// A response is late if its latency plus a margin of [`LATE_MARGIN_LATENCIES`] exceeds this share of the latency
/// objective.
const LATE_OBJECTIVE_SHARE: f64 = 0.85;
/// Safety margin added to the latency of a response, as a multiple of the backend's average latency.
const LATE_MARGIN_LATENCIES: u64 = 2;

/// The settings that the balancer uses.
#[derive(Clone, Debug, Default)]
struct BalancerSettings {
    gateway_count: u32,
    gateway_index: u32,
    zone: ZoneId,
    max_request_units: f64,
    slow_start: SlowStartSettings,
}

/// The backends known to this gateway, with the state that selection needs.
#[derive(Debug, Default)]
pub(crate) struct Balancer {
    settings: BalancerSettings,
    backends: BTreeMap<BackendId, Backend>,
    /// The backends in service, ordered by id, so that all gateways have the same order.
    ring: Vec<BackendId>,
    /// Attempts in flight at all backends, excluding streams.
    in_flight: f64,
    /// Rate of forwarded units.
    forwarded: DecayingRate,
    health: BackendsHealth,
}

/// What the result of an attempt indicates about the load on the backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSignal {
    /// The backend keeps up with its work.
    Normal,
    /// This backend, or the backends in general, have too much work.
    Overloaded,
}

impl Balancer {
    pub(crate) fn new(settings: &Settings) -> Balancer {
        let settings = BalancerSettings {
            gateway_count: settings.gateway_count,
            gateway_index: settings.gateway_index,
            zone: settings.zone,
            max_request_units: settings.max_request_units,
            slow_start: SlowStartSettings::new(settings),
        };
        Balancer { settings, ..Balancer::default() }
    }

    /// Iterates over the backends that have state, in order of id.
    pub(crate) fn backends(&self) -> impl Iterator<Item = (BackendId, &Backend)> {
        self.backends.iter().map(|(&id, backend)| (id, backend))
    }

    /// Returns the location of a backend, if it is known.
    pub(crate) fn location(&self, backend: BackendId) -> Option<Location> {
        self.backends.get(&backend).map(Backend::location)
    }

    /// Returns the number of backends that have state.
    pub(crate) fn backend_count(&self) -> usize {
        self.backends.len()
    }

    /// Returns whether nearly all attempts succeed in time, so that a failing backend has a fault of its own.
    pub(crate) fn backends_are_healthy(&self) -> bool {
        self.health.is_healthy()
    }

    /// Returns whether some backend is eligible for another attempt of this request, even if it is excluded or at its
    /// concurrency limit.
    pub(crate) fn has_eligible(&self, rules: &AttemptRules) -> bool {
        rules.allow_attempt() && self.backends.values().any(|backend| self.is_eligible(rules, backend))
    }

    /// Returns whether this backend is in service, an attempt there is safe, and slow start allows it. The caller has
    /// checked that the request may have another attempt at all.
    fn is_eligible(&self, rules: &AttemptRules, backend: &Backend) -> bool {
        let is_known = |id| self.backends.contains_key(&id);
        backend.in_service
            && !backend.slow_start.is_held_back()
            && rules.is_safe_at(backend.location(), is_known)
    }

    /// Returns whether a connection to a backend may be opened before a request needs it. The backend must be in
    /// service and not ejected, and while it warms up, this gateway must be allowed to send it a request.
    pub(crate) fn may_preconnect(&mut self, now: Micros, id: BackendId) -> bool {
        self.update_slow_start(now);
        self.backends.get(&id).is_some_and(|backend| {
            let usable = backend.in_service && backend.is_available(now) && !backend.outlier.awaits_trial();
            usable && !backend.slow_start.is_held_back()
        })
    }

    /// Records that an attempt is sent to a backend.
    pub(crate) fn record_forwarded(&mut self, now: Micros, id: BackendId, units: f64) {
        self.forwarded.add(now, units);
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.in_flight += 1.0;
            self.in_flight += 1.0;
            backend.slow_start.spend(units);
        }
    }

    /// Records that an attempt becomes a stream, whose duration depends on its client.
    pub(crate) fn record_stream(&mut self, id: BackendId) {
        self.remove_in_flight(id);
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.streams += 1.0;
        }
    }

    /// Records the end of an attempt, which may have become a stream.
    pub(crate) fn record_ended(&mut self, id: BackendId, was_stream: bool) {
        if !was_stream {
            self.remove_in_flight(id);
        } else if let Some(backend) = self.backends.get_mut(&id) {
            backend.streams = (backend.streams - 1.0).max(0.0);
        }
    }

    fn remove_in_flight(&mut self, id: BackendId) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.in_flight = (backend.in_flight - 1.0).max(0.0);
            self.in_flight = (self.in_flight - 1.0).max(0.0);
        }
    }

    /// Updates limits, averages and outlier state from the result of an attempt. Returns `None` if its backend is no
    /// longer known.
    pub(crate) fn record_result(
        &mut self,
        now: Micros,
        result: &AttemptResult,
        objective: Micros,
        random: &mut fastrand::Rng,
    ) -> Option<LoadSignal> {
        let ejection_jitter = outlier_detection::jitter(random);
        let limit_scale = self.limit_scale(now);
        let has_spare_capacity = self.limits_are_fractional(now) && self.health.has_spare_capacity(objective);
        let backend = self.backends.get_mut(&result.backend)?;
        let overloaded = is_overloaded(backend, result, objective, has_spare_capacity);
        if overloaded {
            backend.concurrency_limit.decrease();
        } else if result.outcome == Outcome::Success {
            let limit_in_use = backend.concurrency_limit.is_in_use(backend.in_flight, limit_scale);
            backend.concurrency_limit.increase_if_fast(limit_in_use, result.elapsed, objective);
        }
        let failed = is_failure(result.outcome);
        self.health.record_result(failed || result.elapsed > objective);
        if result.outcome == Outcome::Success {
            self.health.record_latency(result.elapsed);
            backend.record_success(result.elapsed, now);
        }
        if failed {
            backend.outlier.record_failure(result.outcome, now, &self.health, ejection_jitter);
        }
        Some(if overloaded { LoadSignal::Overloaded } else { LoadSignal::Normal })
    }

    /// Records the load that a backend reported, if any.
    pub(crate) fn record_load(&mut self, load: Option<f64>) {
        self.health.record_load(load);
    }
}

/// Returns whether the result of an attempt indicates too much work. This detects backends that have more in flight
/// than they can handle, because of overload or a fault of their own, and therefore respond slowly or fail. It may be
/// wrong just after a short stall.
fn is_overloaded(
    backend: &Backend,
    result: &AttemptResult,
    objective: Micros,
    has_spare_capacity: bool,
) -> bool {
    let elapsed_with_margin = result.elapsed + Micros(LATE_MARGIN_LATENCIES * backend.latency as u64);
    let was_answered = matches!(result.outcome, Outcome::Success | Outcome::Cancelled);
    let late = was_answered && elapsed_with_margin > objective.mul_f64(LATE_OBJECTIVE_SHARE);
    let timed_out = result.outcome == Outcome::Timeout;
    result.outcome == Outcome::Rejected || !has_spare_capacity && (late || timed_out)
}

/// Returns whether an outcome counts as a failure of the backend.
fn is_failure(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Success | Outcome::Cancelled | Outcome::NotSent | Outcome::ResponseDropped)
}
