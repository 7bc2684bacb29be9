//! Scenarios of the simulation: settings, traffic and faults.

use lanespan_policy::{DeduplicationScope, Idempotency, Micros, QuotaPlan, RequestClass, Settings, ZoneId};

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;

#[derive(Clone)]
pub struct CounterScenario {
    /// Probability that a period is faulty.
    pub fault_probability: f64,
    /// Probability that all or half of the totals are lost before a period.
    pub loss_probability: f64,
    pub calls_per_100_ms: u64,
}

#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub settings: Settings,
    /// Number of simulated gateways; `settings` has the number in the fleet.
    pub gateways: u32,
    pub backends: u64,
    pub seconds: u64,
    pub requests_per_second: f64,
    pub customers: u64,
    /// Numbers of gateways that customers use, assigned by customer.
    pub spreads: Vec<u32>,
    /// Attempts in flight that a warm backend of weight 1 handles without slowing down.
    pub capacity: f64,
    /// Range of the base latency of a backend.
    pub latency_ms: (u64, u64),
    pub uneven_weights: bool,
    pub counter: CounterScenario,
    /// Probabilities for each request or attempt.
    pub client_disconnects: f64,
    pub client_retries: f64,
    pub retries_marked: bool,
    pub uploads: f64,
    pub streams: f64,
    pub settled_units: f64,
    pub load_reports: f64,
    /// Probabilities, each second, of a fault at some backend, of a change of the endpoint list, of a lost subscription
    /// and of a gateway restart.
    pub faults: f64,
    pub list_changes: f64,
    pub lost_subscriptions: f64,
    pub gateway_restarts: f64,
}

fn class(
    idempotency: Idempotency,
    scope: DeduplicationScope,
    objective_ms: u64,
    weight: f64,
) -> RequestClass {
    RequestClass {
        latency_objective: Micros(objective_ms * MILLISECOND),
        deadline: Micros(3 * SECOND),
        priority_weight: weight,
        late_weight_share: 0.2,
        idempotency,
        deduplication_scope: scope,
        deduplication_window: Micros(SECOND),
        streaming: false,
    }
}

fn plan(rate: f64, burst: f64) -> QuotaPlan {
    QuotaPlan {
        rate,
        burst,
        max_concurrent: 0.0,
        weight_multiplier: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

fn with_ceiling(rate: f64, burst: f64, multiple: f64) -> QuotaPlan {
    QuotaPlan {
        ceiling_rate: rate * multiple,
        ceiling_burst: burst * multiple,
        ceiling_slack: 4.0,
        ..plan(rate, burst)
    }
}

fn classes() -> Vec<RequestClass> {
    vec![
        class(Idempotency::Idempotent, DeduplicationScope::AllBackends, 800, 1.0),
        class(Idempotency::Keyed, DeduplicationScope::Cell, 600, 2.0),
        class(Idempotency::NonIdempotent, DeduplicationScope::AllBackends, 1_000, 4.0),
        class(Idempotency::Keyed, DeduplicationScope::AllBackends, 800, 0.5),
        class(Idempotency::Keyed, DeduplicationScope::Zone, 400, 1.0),
        RequestClass {
            streaming: true,
            ..class(Idempotency::Idempotent, DeduplicationScope::AllBackends, 900, 1.5)
        },
        class(Idempotency::Idempotent, DeduplicationScope::AllBackends, 300, 0.0),
    ]
}

fn plans() -> Vec<QuotaPlan> {
    vec![
        plan(10.0, 20.0),
        with_ceiling(10.0, 20.0, 2.0),
        QuotaPlan { max_concurrent: 3.0, ..plan(0.0, 0.0) },
        plan(0.0, 0.0),
        QuotaPlan { over_quota_value: 0.5, over_quota_cost: 2.0, weight_multiplier: 3.0, ..plan(4.0, 12.0) },
        QuotaPlan { over_quota_value: 0.5, over_quota_cost: 0.2, ..plan(30.0, 15.0) },
        QuotaPlan { max_concurrent: 4.0, weight_multiplier: 0.5, ..with_ceiling(8.0, 24.0, 1.5) },
        QuotaPlan {
            ceiling_slack: 0.0,
            over_quota_value: 1.0,
            over_quota_cost: 0.0,
            ..with_ceiling(20.0, 20.0, 1.0)
        },
    ]
}

fn settings(gateway_count: u32) -> Settings {
    Settings {
        gateway_count,
        gateway_index: 0,
        zone: ZoneId(1),
        classes: classes(),
        plans: plans(),
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        health_checks: false,
        retry_after: true,
        max_retry_after: Micros(2 * SECOND),
        quota_counter: true,
        counter_timeout: Micros(80 * MILLISECOND),
        max_request_units: 4.0,
        endpoint_subscription: false,
        answer_slack: Micros(8 * MILLISECOND),
        cold_capacity_share: 0.2,
        warm_up_time: Micros(10 * SECOND),
        overload_multiple: 2.0,
        overload_after: Micros(SECOND),
        tick: Micros(2 * MILLISECOND),
    }
}

fn dense() -> Scenario {
    Scenario {
        name: "dense",
        settings: settings(3),
        gateways: 3,
        backends: 12,
        seconds: 25,
        requests_per_second: 220.0,
        customers: 24,
        spreads: vec![1, 2, 3],
        capacity: 12.0,
        latency_ms: (20, 120),
        uneven_weights: false,
        counter: CounterScenario { fault_probability: 0.05, loss_probability: 0.03, calls_per_100_ms: 1_000 },
        client_disconnects: 0.02,
        client_retries: 0.5,
        retries_marked: true,
        uploads: 0.01,
        streams: 0.01,
        settled_units: 0.2,
        load_reports: 0.8,
        faults: 0.2,
        list_changes: 0.1,
        lost_subscriptions: 0.05,
        gateway_restarts: 0.01,
    }
}

fn sparse() -> Scenario {
    Scenario {
        name: "sparse",
        settings: settings(300),
        gateways: 300,
        backends: 45,
        seconds: 20,
        requests_per_second: 260.0,
        customers: 40,
        spreads: vec![1, 4, 30, 200, 300],
        counter: CounterScenario { fault_probability: 0.1, loss_probability: 0.05, calls_per_100_ms: 22 },
        list_changes: 0.3,
        ..dense()
    }
}

/// Returns all scenarios, in the order in which they run.
pub fn all() -> Vec<Scenario> {
    let mut scenarios = vec![sparse(), dense()];
    scenarios.extend(counter_scenarios());
    scenarios.extend(quota_scenarios());
    scenarios.extend(attempt_scenarios());
    scenarios.extend(backend_scenarios());
    scenarios.extend(overload_scenarios());
    scenarios
}

fn counter_scenarios() -> Vec<Scenario> {
    let down = CounterScenario { fault_probability: 0.7, loss_probability: 0.2, calls_per_100_ms: 1_000 };
    vec![
        Scenario { name: "counter_down", counter: down.clone(), retries_marked: false, ..dense() },
        Scenario {
            name: "sparse_counter_down",
            counter: CounterScenario { calls_per_100_ms: 15, ..down },
            ..sparse()
        },
        Scenario {
            name: "sparse_counter_overloaded",
            counter: CounterScenario { fault_probability: 0.0, loss_probability: 0.0, calls_per_100_ms: 8 },
            requests_per_second: 400.0,
            retries_marked: false,
            ..sparse()
        },
        Scenario {
            name: "no_counter",
            settings: Settings { quota_counter: false, retry_after: false, ..settings(3) },
            ..dense()
        },
        sparse_busy(),
    ]
}

/// Few gateways of a large fleet with many requests each, so that their estimates for plans are well filled.
fn sparse_busy() -> Scenario {
    Scenario {
        name: "sparse_busy",
        settings: Settings {
            plans: vec![
                plan(400.0, 800.0),
                plan(10.0, 20.0),
                QuotaPlan { over_quota_cost: 2.0, ..plan(60.0, 300.0) },
                plan(40.0, 100.0),
            ],
            ..settings(300)
        },
        gateways: 4,
        customers: 16,
        seconds: 30,
        requests_per_second: 560.0,
        capacity: 12.0,
        latency_ms: (4, 20),
        load_reports: 1.0,
        spreads: vec![1, 300, 200, 300],
        counter: CounterScenario { fault_probability: 0.7, loss_probability: 0.1, calls_per_100_ms: 70 },
        client_retries: 0.1,
        ..sparse()
    }
}

fn quota_scenarios() -> Vec<Scenario> {
    let ceilings = vec![
        with_ceiling(10.0, 20.0, 2.0),
        with_ceiling(20.0, 30.0, 1.2),
        QuotaPlan { over_quota_value: 0.5, over_quota_cost: 0.0, ..with_ceiling(18.0, 36.0, 1.5) },
        QuotaPlan { max_concurrent: 3.0, ..with_ceiling(9.0, 9.0, 3.0) },
    ];
    let concurrent = vec![
        QuotaPlan { max_concurrent: 1.0, ..plan(0.0, 0.0) },
        QuotaPlan { max_concurrent: 4.0, ..plan(0.0, 0.0) },
        QuotaPlan { max_concurrent: 2.0, ..plan(15.0, 30.0) },
        QuotaPlan { max_concurrent: 30.0, ..plan(0.0, 0.0) },
    ];
    let flaky = CounterScenario { fault_probability: 0.3, loss_probability: 0.3, calls_per_100_ms: 1_000 };
    let with_plans =
        |plans: &Vec<QuotaPlan>, gateways| Settings { plans: plans.clone(), ..settings(gateways) };
    vec![
        Scenario {
            name: "ceilings",
            settings: with_plans(&ceilings, 3),
            counter: flaky.clone(),
            customers: 10,
            ..dense()
        },
        Scenario {
            name: "sparse_ceilings",
            settings: with_plans(&ceilings, 300),
            counter: CounterScenario { calls_per_100_ms: 25, ..flaky.clone() },
            customers: 20,
            ..sparse()
        },
        Scenario {
            name: "max_concurrent",
            settings: with_plans(&concurrent, 3),
            counter: flaky,
            customers: 12,
            latency_ms: (60, 300),
            capacity: 20.0,
            ..dense()
        },
        Scenario {
            name: "idle_customers",
            seconds: 150,
            requests_per_second: 12.0,
            customers: 300,
            ..dense()
        },
    ]
}

fn attempt_scenarios() -> Vec<Scenario> {
    let keyed = vec![
        RequestClass {
            deduplication_window: Micros(400 * MILLISECOND),
            ..class(Idempotency::Keyed, DeduplicationScope::Cell, 900, 1.0)
        },
        RequestClass {
            deduplication_window: Micros(2 * SECOND),
            ..class(Idempotency::Keyed, DeduplicationScope::Zone, 900, 1.0)
        },
        RequestClass {
            deduplication_window: Micros(150 * MILLISECOND),
            ..class(Idempotency::Keyed, DeduplicationScope::AllBackends, 900, 1.0)
        },
        class(Idempotency::NonIdempotent, DeduplicationScope::AllBackends, 900, 1.0),
    ];
    vec![
        Scenario {
            name: "hedging",
            settings: Settings { hedging: true, health_checks: true, ..settings(3) },
            faults: 0.6,
            ..dense()
        },
        Scenario {
            name: "no_cancellation",
            settings: Settings { cancellation: false, max_attempts: 2, ..settings(3) },
            faults: 0.4,
            client_disconnects: 0.08,
            ..dense()
        },
        Scenario {
            name: "keyed",
            settings: Settings { classes: keyed, ..settings(3) },
            faults: 0.7,
            ..dense()
        },
        Scenario {
            name: "faults",
            seconds: 45,
            requests_per_second: 140.0,
            faults: 0.6,
            latency_ms: (10, 60),
            load_reports: 0.0,
            ..dense()
        },
        Scenario {
            name: "transfers",
            uploads: 0.2,
            streams: 0.25,
            client_disconnects: 0.1,
            requests_per_second: 120.0,
            faults: 0.3,
            ..dense()
        },
    ]
}

fn backend_scenarios() -> Vec<Scenario> {
    let slow_warm_up = |gateways| Settings {
        warm_up_time: Micros(6 * SECOND),
        overload_multiple: 1.5,
        ..settings(gateways)
    };
    vec![
        Scenario { name: "rolling_restarts", list_changes: 1.0, uneven_weights: true, ..dense() },
        Scenario {
            name: "sparse_cold",
            settings: slow_warm_up(300),
            list_changes: 1.0,
            faults: 0.1,
            uneven_weights: true,
            ..sparse()
        },
        Scenario {
            name: "medium_cold",
            settings: Settings { max_request_units: 1.0, ..slow_warm_up(30) },
            gateways: 30,
            backends: 20,
            spreads: vec![1, 5, 30],
            list_changes: 0.8,
            ..dense()
        },
        Scenario {
            name: "subscriptions",
            settings: Settings { endpoint_subscription: true, ..settings(3) },
            list_changes: 0.7,
            lost_subscriptions: 0.4,
            requests_per_second: 120.0,
            ..dense()
        },
    ]
}

fn overload_scenarios() -> Vec<Scenario> {
    vec![
        Scenario {
            name: "overload",
            capacity: 2.0,
            backends: 6,
            latency_ms: (100, 400),
            faults: 0.05,
            ..dense()
        },
        Scenario {
            name: "sparse_overload",
            capacity: 2.0,
            backends: 20,
            latency_ms: (150, 500),
            requests_per_second: 320.0,
            ..sparse()
        },
        Scenario {
            name: "sparse_near_capacity",
            capacity: 3.4,
            latency_ms: (150, 500),
            requests_per_second: 320.0,
            load_reports: 1.0,
            counter: CounterScenario { fault_probability: 0.0, loss_probability: 0.0, calls_per_100_ms: 60 },
            list_changes: 0.0,
            faults: 0.0,
            ..sparse()
        },
        Scenario {
            name: "sparse_late_unreported",
            capacity: 6.0,
            latency_ms: (150, 700),
            load_reports: 0.0,
            ..sparse()
        },
    ]
}
