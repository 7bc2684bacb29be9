//! The settings of an engine and their validation.

use crate::{Arrival, Micros, ZoneId};

/// Whether and how a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running the request again has no further effect.
    Idempotent,
    /// The request carries an idempotency key: the backends of one deduplication scope drop a duplicate within the
    /// deduplication window.
    Keyed,
    /// The request must not run twice.
    NonIdempotent,
}

/// The set of backends that share the idempotency keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every backend.
    AllBackends,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency objective: a final answer within this time counts with the full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits for the final answer, over all attempts.
    pub deadline: Micros,
    /// Weight of a request relative to requests of other classes.
    pub priority_weight: f64,
    /// Share of the weight with which a final answer after the latency objective counts. The engine does not read it.
    pub late_weight_share: f64,
    /// Whether requests of this class may run more than once.
    pub idempotency: Idempotency,
    /// Which backends drop duplicates of a request that carries an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// How long these backends drop duplicates.
    pub deduplication_window: Micros,
    /// Whether the response is a stream.
    pub streaming: bool,
}

/// A quota plan. Its limits apply to each customer across all gateways.
#[derive(Clone, Debug)]
pub struct QuotaPlan {
    /// Rate of the quota in units per second; 0 means no quota on the rate.
    pub rate: f64,
    /// Depth of the quota's token bucket, in units.
    pub burst: f64,
    /// Maximum number of a customer's concurrent requests, including those that wait for a backend; 0 means no cap.
    pub max_concurrent: f64,
    /// Factor applied to the priority weight of the class.
    pub weight_multiplier: f64,
    /// Share of the weight that is gained by forwarding a request beyond the quota.
    pub over_quota_value: f64,
    /// Share of the weight that is lost by forwarding a request beyond the quota.
    pub over_quota_cost: f64,
    /// Rate of the hard ceiling in units per second; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Depth of the ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// How far the ceiling's token bucket may fall below zero, in units.
    pub ceiling_slack: f64,
}

/// The settings of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways.
    pub gateway_count: u32,
    /// This gateway's index among them, from 0.
    pub gateway_index: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The quota plans.
    pub plans: Vec<QuotaPlan>,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether backends may be sent health checks. The engine does not send any yet.
    pub health_checks: bool,
    /// Whether rejected clients receive a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients respect.
    pub max_retry_after: Micros,
    /// Whether the shared quota counter may be called.
    pub quota_counter: bool,
    /// Timeout of a call to the counter.
    pub counter_timeout: Micros,
    /// Size of the largest request, in units.
    pub max_request_units: f64,
    /// Whether the engine must subscribe to changes of the endpoint list.
    pub endpoint_subscription: bool,
    /// Time after a request's deadline during which a final answer still counts. The engine does not read it.
    pub answer_slack: Micros,
    /// Share of its full capacity that a backend has when it starts.
    pub cold_capacity_share: f64,
    /// Time after its start at which a backend has its full capacity.
    pub warm_up_time: Micros,
    /// Multiple of its current capacity that overloads a cold backend when sustained for `overload_after`.
    pub overload_multiple: f64,
    /// How long the load must last to overload a cold backend. The engine does not read it.
    pub overload_after: Micros,
    /// Minimum time between two calls of the engine.
    pub tick: Micros,
}

/// The reason why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The number of gateways is 0, or this gateway's index is not below it.
    Gateways,
    /// The maximum number of attempts is 0.
    MaxAttempts,
    /// The cold capacity share, the overload multiple or the maximum request units is negative or not finite.
    BackendNumbers,
    /// A class has a weight that is negative or not finite, or no deadline.
    Class,
    /// A plan has a number that is negative or not finite.
    PlanNumbers,
    /// A plan has a rate without a burst, or a ceiling rate without a ceiling burst.
    PlanBurst,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SettingsError::Gateways => {
                "balancers, my_number: expected at least 1 gateway, and the number of this gateway below their count"
            }
            SettingsError::MaxAttempts => "bounds.max_attempts: expected at least 1",
            SettingsError::BackendNumbers => {
                "rules.cold_from, rules.fall_multiple, specifics.units_top: expected finite numbers of 0 or more"
            }
            SettingsError::Class => {
                "classes: expected a finite credit and late_share of 0 or more, and a deadline above 0"
            }
            SettingsError::PlanNumbers => "plans: expected finite numbers of 0 or more",
            SettingsError::PlanBurst => {
                "plans: expected peak_units above 0 with a per_second, and cap_depth above 0 with a ceiling_rate"
            }
        })
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Returns an error if these settings are invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.gateway_count == 0 || self.gateway_index >= self.gateway_count {
            return Err(SettingsError::Gateways);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::MaxAttempts);
        }
        let backend_numbers = [self.cold_capacity_share, self.overload_multiple, self.max_request_units];
        if !backend_numbers.into_iter().all(is_valid_amount) {
            return Err(SettingsError::BackendNumbers);
        }
        if !self.classes.iter().all(RequestClass::is_valid) {
            return Err(SettingsError::Class);
        }
        self.plans.iter().try_for_each(QuotaPlan::check)
    }
}

impl Settings {
    /// Returns whether these settings contain the class and the plan of a request.
    pub(crate) fn defines(&self, arrival: &Arrival) -> bool {
        arrival.class.0 < self.classes.len() && arrival.plan.0 < self.plans.len()
    }

    /// Returns the class of a request.
    pub(crate) fn class_of(&self, arrival: &Arrival) -> &RequestClass {
        &self.classes[arrival.class.0]
    }

    /// Returns the quota plan of a request's customer.
    pub(crate) fn plan_of(&self, arrival: &Arrival) -> &QuotaPlan {
        &self.plans[arrival.plan.0]
    }

    /// Returns the weight of a request relative to others.
    pub(crate) fn weight_of(&self, arrival: &Arrival) -> f64 {
        self.class_of(arrival).priority_weight * self.plan_of(arrival).weight_multiplier
    }
}

impl RequestClass {
    fn is_valid(&self) -> bool {
        is_valid_amount(self.priority_weight)
            && is_valid_amount(self.late_weight_share)
            && self.deadline.0 > 0
    }
}

impl QuotaPlan {
    /// Returns whether this plan has a hard ceiling.
    pub fn has_ceiling(&self) -> bool {
        self.ceiling_rate > 0.0
    }

    fn check(&self) -> Result<(), SettingsError> {
        let limits = [self.rate, self.burst, self.max_concurrent];
        let ceiling = [self.ceiling_rate, self.ceiling_burst, self.ceiling_slack];
        let values = [self.weight_multiplier, self.over_quota_value, self.over_quota_cost];
        if ![limits, ceiling, values].into_iter().flatten().all(is_valid_amount) {
            return Err(SettingsError::PlanNumbers);
        }
        let rate_without_burst = self.rate > 0.0 && self.burst <= 0.0;
        let ceiling_without_burst = self.has_ceiling() && self.ceiling_burst <= 0.0;
        if rate_without_burst || ceiling_without_burst {
            return Err(SettingsError::PlanBurst);
        }
        Ok(())
    }
}

/// Returns whether a value is finite and not negative.
fn is_valid_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
