//! Slow start (recovery ramp): a backend that has just started gets a gradually increasing share of the work.

use crate::balancer::outlier_detection::BASE_EJECTION_TIME;
use crate::balancer::time_slots::{assigned_slot, SlotQuery};
use crate::balancer::Balancer;
use crate::token_bucket::TokenBucket;
use crate::{Micros, Settings};

/// An allowance level that permits exactly one request of any size: any level above zero permits one, which may take
/// the level below zero.
const ONE_REQUEST_LEVEL_UNITS: f64 = 1e-9;
/// Capacity of an allowance.
const MAX_ALLOWANCE_UNITS: f64 = 1.0;
/// A cold backend is sent at most this share of the load that would overload it.
const MAX_OVERLOAD_SHARE: f64 = 0.5;
/// While the sum of all weights is at most this multiple of the usable warm weights, a cold backend's share is derived
/// from the work of a warm one. Beyond it, the work is divided by the weights of all backends.
const MAX_TOTAL_TO_WARM_RATIO: f64 = 3.0;
/// Lower bound of the weight sum used as a divisor.
const MIN_WEIGHT: f64 = 1e-9;

/// The settings that describe how backends warm up.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowStartSettings {
    /// Time from its start until a backend has its full capacity.
    pub(super) warm_up_time: Micros,
    /// Share of its full capacity that a backend has when it starts.
    cold_capacity_share: f64,
    /// Multiple of its current capacity that overloads a cold backend.
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

    /// Returns the share of its full capacity that a backend has this long after its start.
    fn capacity_share(&self, age: Micros) -> f64 {
        let progress = age.as_secs_f64() / self.warm_up_time.as_secs_f64();
        self.cold_capacity_share + (1.0 - self.cold_capacity_share) * progress
    }

    /// Returns the share of its current capacity that a cold backend is sent.
    fn used_share(&self) -> f64 {
        (self.overload_multiple * MAX_OVERLOAD_SHARE).min(1.0)
    }
}

/// Slow-start state of one backend.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    /// When the backend started; `None` if it is warm.
    started_at: Option<Micros>,
    /// Units that this gateway may send to the backend while it warms up.
    allowance: TokenBucket,
    /// The last time slot in which this gateway was permitted to send a request to the backend.
    last_slot: Option<u64>,
}

impl SlowStart {
    pub(crate) fn is_warming_up(&self) -> bool {
        self.started_at.is_some()
    }

    pub(super) fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// Returns whether the backend is warming up and this gateway has no allowance left for it.
    pub(super) fn is_held_back(&self) -> bool {
        self.is_warming_up() && self.allowance.level <= 0.0
    }

    /// Deducts units sent to the backend from the allowance.
    pub(super) fn spend(&mut self, units: f64) {
        self.allowance.level -= units;
    }

    /// Sets the allowance of a backend that the endpoint list reports as started to a random level between one and two
    /// of the largest requests below zero, so that gateways do not all send at the same time.
    pub(super) fn delay_first_request(&mut self, max_request_units: f64, random: f64, now: Micros) {
        self.allowance = empty_allowance(-max_request_units * (1.0 + random), now);
    }

    /// Sets the start time from the endpoint list, if the list reports a recent start.
    pub(super) fn set_started_at(&mut self, started_at: Option<Micros>) {
        self.started_at = started_at.or(self.started_at);
    }

    /// Begins slow start after a restart that the endpoint list has not reported yet. A backend that responds again
    /// after its connections failed for longer than [`BASE_EJECTION_TIME`] is treated as cold.
    pub(super) fn start_if_restarted(&mut self, unreachable_since: Option<Micros>, now: Micros) {
        let restarted = unreachable_since.is_some_and(|since| now - since > BASE_EJECTION_TIME);
        if restarted && !self.is_warming_up() {
            self.started_at = Some(now);
            self.allowance = empty_allowance(0.0, now);
        }
    }

    /// Updates the allowance to the current time, and ends slow start once the backend is warm.
    fn update(
        &mut self,
        settings: &SlowStartSettings,
        rates: &SlowStartRates,
        weight: f64,
        query: SlotQuery,
    ) {
        let Some(started_at) = self.started_at else { return };
        let now = query.now;
        if now >= started_at + settings.warm_up_time {
            self.started_at = None;
            return;
        }
        let capacity_share = settings.capacity_share(now - started_at);
        let units_per_second = rates.units_per_weight * weight * capacity_share * settings.used_share();
        match rates.requests_per_unit {
            None => {
                self.allowance.refill_rate = units_per_second;
                self.allowance.refill(now);
            }
            Some(requests_per_unit) => {
                self.use_slot(assigned_slot(query, units_per_second * requests_per_unit))
            }
        }
    }

    /// Permits one request in each assigned time slot. An unused allowance expires with its slot.
    fn use_slot(&mut self, slot: Option<u64>) {
        if slot.is_none() {
            self.allowance.level = 0.0;
        } else if slot != self.last_slot {
            self.last_slot = slot;
            self.allowance.level = ONE_REQUEST_LEVEL_UNITS;
        }
    }
}

fn empty_allowance(level: f64, now: Micros) -> TokenBucket {
    TokenBucket { level, depth: MAX_ALLOWANCE_UNITS, refill_rate: 0.0, updated_at: now }
}

/// The rates from which the allowances of cold backends are computed.
struct SlowStartRates {
    /// Units per second that a warm backend of weight 1 gets from this gateway.
    units_per_weight: f64,
    /// Converts this gateway's units per second into requests per second of all gateways. Set only with fractional
    /// limits, where gateways are permitted requests by time slot.
    requests_per_unit: Option<f64>,
}

impl Balancer {
    /// Updates the allowances of cold backends, which keep them from being overloaded. A cold backend gets the work
    /// that a warm one of its weight gets from this gateway, times the share of its capacity that it must have reached
    /// by now. Warm backends handle that load, and since each gateway scales its own work, the sum stays in proportion.
    pub(super) fn update_slow_start(&mut self, now: Micros) {
        if !self.backends.values().any(|backend| backend.slow_start.is_warming_up()) {
            return;
        }
        let rates = self.slow_start_rates(now);
        let settings = &self.settings;
        for (&backend_id, backend) in &mut self.backends {
            let (gateway_index, gateway_count) = (settings.gateway_index, settings.gateway_count);
            let query = SlotQuery { gateway_index, gateway_count, backend: backend_id, now };
            backend.slow_start.update(&settings.slow_start, &rates, backend.weight, query);
        }
    }

    fn slow_start_rates(&self, now: Micros) -> SlowStartRates {
        let in_service = || self.backends.values().filter(|backend| backend.in_service);
        let warm = || in_service().filter(|backend| !backend.slow_start.is_warming_up());
        let usable_warm = warm().filter(|backend| !backend.outlier.is_excluded(now));
        let warm_weight: f64 = usable_warm.map(|backend| backend.weight).sum();
        let total_weight: f64 = in_service().map(|backend| backend.weight).sum();
        let enough_warm = warm_weight * MAX_TOTAL_TO_WARM_RATIO >= total_weight;
        let shared_by = if enough_warm { warm_weight } else { total_weight.max(MIN_WEIGHT) };
        // Slots assigned to gateways whose subset lacks the backend are lost.
        let slots_per_request = (warm().count() as f64 / self.subset_size(now).max(1) as f64).max(1.0);
        let gateways = f64::from(self.settings.gateway_count);
        let requests_per_unit = gateways * slots_per_request / self.settings.max_request_units.max(1.0);
        SlowStartRates {
            units_per_weight: self.forwarded.per_second(now) / shared_by,
            requests_per_unit: self.limits_are_fractional(now).then_some(requests_per_unit),
        }
    }
}
