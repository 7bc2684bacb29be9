//! Slow start and recovery ramp: a backend that has just started gets its share of work step by step.

use crate::balancer::outlier_detection::BASE_EJECTION_TIME;
use crate::balancer::turns::{turn, TurnHolder};
use crate::balancer::Balancer;
use crate::token_bucket::TokenBucket;
use crate::{Micros, Settings};

/// An allowance for one request, whatever its units: any level above zero allows one, which may take it below zero.
const ONE_REQUEST: f64 = 1e-9;
/// The most that an allowance saves up, in units.
const MAX_ALLOWANCE: f64 = 1.0;
/// Of what overloads a cold backend, this share is used at most.
const OVERLOAD_MARGIN: f64 = 0.5;
/// While all weights together are at most this multiple of the usable warm ones, a cold backend is measured by what a
/// warm one gets; else the work is divided by all backends.
const MAX_TOTAL_TO_WARM: f64 = 3.0;
/// The smallest sum of weights that is divided by.
const MIN_WEIGHT: f64 = 1e-9;

/// How backends start, as the settings tell it.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowStartSettings {
    /// A backend has its full capacity this long after its start.
    pub(super) warm_up_time: Micros,
    /// Share of its capacity that it has when it starts.
    cold_capacity_share: f64,
    /// The multiple of its present capacity that overloads it.
    overload_multiple: f64,
}

impl SlowStartSettings {
    pub(super) fn new(settings: &Settings) -> SlowStartSettings {
        SlowStartSettings {
            warm_up_time: settings.warm_up_time,
            cold_capacity_share: settings.cold_capacity_share,
            overload_multiple: settings.overload_multiple,
        }
    }

    /// The share of its capacity that a backend has this long after its start.
    fn capacity_share(&self, age: Micros) -> f64 {
        let progress = age.as_secs_f64() / self.warm_up_time.as_secs_f64();
        self.cold_capacity_share + (1.0 - self.cold_capacity_share) * progress
    }

    /// The share of its present capacity that a cold backend is given.
    fn used_share(&self) -> f64 {
        (self.overload_multiple * OVERLOAD_MARGIN).min(1.0)
    }
}

/// The slow start of one backend.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    /// When it started; `None`: it is warm.
    started_at: Option<Micros>,
    /// What this gateway may send it while it warms up, in units.
    allowance: TokenBucket,
    /// The last turn that this gateway had at it.
    last_turn: Option<u64>,
}

impl SlowStart {
    pub(crate) fn is_warming_up(&self) -> bool {
        self.started_at.is_some()
    }

    pub(super) fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// It warms up, and this gateway may send it nothing now.
    pub(super) fn is_held_back(&self) -> bool {
        self.is_warming_up() && self.allowance.level <= 0.0
    }

    /// Units are sent to the backend.
    pub(super) fn spend(&mut self, units: f64) {
        self.allowance.level -= units;
    }

    /// The allowance of a backend that the endpoint list reports as started: below zero by some requests, drawn at
    /// random, so that not all gateways send at once.
    pub(super) fn delay_first_request(&mut self, max_request_units: f64, random: f64, now: Micros) {
        self.allowance = empty_allowance(-max_request_units * (1.0 + random), now);
    }

    /// The endpoint list tells when the backend started, if that was lately.
    pub(super) fn set_started_at(&mut self, started_at: Option<Micros>) {
        self.started_at = started_at.or(self.started_at);
    }

    /// Guards against a restart that the endpoint list has not reported yet: connections failed for a while and now the
    /// backend answers, so it is taken to be cold.
    pub(super) fn start_if_restarted(&mut self, unreachable_since: Option<Micros>, now: Micros) {
        let restarted = unreachable_since.is_some_and(|since| now - since > BASE_EJECTION_TIME);
        if restarted && !self.is_warming_up() {
            self.started_at = Some(now);
            self.allowance = empty_allowance(0.0, now);
        }
    }

    /// Brings the allowance up to date.
    fn update(&mut self, settings: &SlowStartSettings, pace: &Pace, weight: f64, holder: TurnHolder) {
        let Some(started_at) = self.started_at else { return };
        let now = holder.now;
        if now >= started_at + settings.warm_up_time {
            self.started_at = None;
            return;
        }
        let capacity_share = settings.capacity_share(now - started_at);
        let units_per_second = pace.units_per_weight * weight * capacity_share * settings.used_share();
        match pace.requests_per_unit {
            None => {
                self.allowance.refill_rate = units_per_second;
                self.allowance.refill(now);
            }
            Some(requests_per_unit) => self.take_turn(turn(holder, units_per_second * requests_per_unit)),
        }
    }

    /// One request in each turn; an unused allowance lapses with it.
    fn take_turn(&mut self, turn: Option<u64>) {
        if turn.is_none() {
            self.allowance.level = 0.0;
        } else if turn != self.last_turn {
            self.last_turn = turn;
            self.allowance.level = ONE_REQUEST;
        }
    }
}

fn empty_allowance(level: f64, now: Micros) -> TokenBucket {
    TokenBucket { level, depth: MAX_ALLOWANCE, refill_rate: 0.0, updated_at: now }
}

/// What cold backends get at a moment.
struct Pace {
    /// Units a second that a warm backend of weight 1 gets from this gateway.
    units_per_weight: f64,
    /// With fractional limits, where allowances go round by turns: makes of these the requests a second of all gateways.
    requests_per_unit: Option<f64>,
}

impl Balancer {
    /// Brings the allowances of cold backends up to date. Guards against overloading a cold backend: it is given the
    /// work that a warm one of its weight gets from this gateway, times the share of its capacity that it must have by
    /// now. Warm backends bear that load, and each gateway scales its own, so the sum stays in proportion.
    pub(super) fn update_slow_start(&mut self, now: Micros) {
        if !self.backends.values().any(|backend| backend.slow_start.is_warming_up()) {
            return;
        }
        let pace = self.slow_start_pace(now);
        let settings = &self.settings;
        for (&backend_id, backend) in &mut self.backends {
            let (gateway, gateways) = (settings.gateway_index, settings.gateway_count);
            let holder = TurnHolder { gateway, gateways, backend: backend_id, now };
            backend.slow_start.update(&settings.slow_start, &pace, backend.weight, holder);
        }
    }

    fn slow_start_pace(&self, now: Micros) -> Pace {
        let in_service = || self.backends.values().filter(|backend| backend.in_service);
        let warm = || in_service().filter(|backend| !backend.slow_start.is_warming_up());
        let usable_warm = warm().filter(|backend| !backend.outlier.is_excluded(now));
        let warm_weight: f64 = usable_warm.map(|backend| backend.weight).sum();
        let total_weight: f64 = in_service().map(|backend| backend.weight).sum();
        let enough_warm = warm_weight * MAX_TOTAL_TO_WARM >= total_weight;
        let shared_by = if enough_warm { warm_weight } else { total_weight.max(MIN_WEIGHT) };
        // Turns of gateways whose subset lacks the backend are lost.
        let gateways_per_turn = (warm().count() as f64 / self.subset_size(now).max(1) as f64).max(1.0);
        let gateways = f64::from(self.settings.gateway_count);
        let requests_per_unit = gateways * gateways_per_turn / self.settings.max_request_units.max(1.0);
        Pace {
            units_per_weight: self.forwarded.per_second(now) / shared_by,
            requests_per_unit: self.limits_are_fractional(now).then_some(requests_per_unit),
        }
    }
}
