//! Tests of large fleets, in which each of hundreds of gateways gets one or two requests per second.
mod common;
use common::*;
use lanespan_policy::*;
use std::collections::BTreeMap;

fn gateway_of(gateways: u32, gateway_index: u32, backends: u32) -> Harness {
    Harness::seeded(
        u64::from(gateway_index),
        Settings { gateway_count: gateways, gateway_index, ..settings() },
        backends,
    )
}

/// Sends a request of a new customer that uses 200 gateways.
fn thinly_spread(harness: &mut Harness, is_client_retry: bool) -> (RequestId, Vec<Action>) {
    spread_over(harness, 200, harness.next_request + 1, is_client_retry)
}

/// Sends a request of this customer, which uses `spread` gateways.
fn spread_over(
    harness: &mut Harness,
    spread: u32,
    customer: u64,
    is_client_retry: bool,
) -> (RequestId, Vec<Action>) {
    let id = RequestId(harness.next_request);
    harness.next_request += 1;
    let deadline = Micros(harness.now + 3 * SECOND);
    let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(customer));
    let arrival = Arrival {
        request: id,
        class,
        plan,
        customer,
        gateway_spread: spread,
        active_gateways: 0,
        deadline,
        units: 2.0,
        is_client_retry,
    };
    (id, harness.handle(Event::RequestArrived(arrival)))
}

#[test]
fn each_gateway_uses_only_its_subset_and_subsets_cover_backends_evenly() {
    let mut gateways_at = BTreeMap::new();
    for gateway_index in 0..100 {
        let mut harness = gateway_of(100, gateway_index, 50);
        let mut used = BTreeMap::new();
        for _ in 0..100 {
            harness.advance(500 * MILLISECOND);
            let (id, backend) = harness.forward_one(0);
            harness.end_attempt(id, 0, backend, Outcome::Success);
            *used.entry(backend).or_insert(0) += 1;
        }
        assert!(used.len() <= 12, "gateway {gateway_index} used {} of 50", used.len());
        used.into_keys().for_each(|backend| *gateways_at.entry(backend).or_insert(0) += 1);
    }
    assert_eq!(gateways_at.len(), 50, "every backend is in some subset");
    let (fewest, most) = (gateways_at.values().min(), gateways_at.values().max());
    assert!(most <= fewest.map(|l| l * 4).as_ref(), "{gateways_at:?}");
}

#[test]
fn late_answers_make_a_sparse_fleet_shed_load_unless_load_reports_show_spare_capacity() {
    let rejections = |elapsed: u64, reported_utilization: Option<f64>| {
        let mut harness = gateway_of(200, 3, 50);
        let mut rejections = 0;
        for _ in 0..200 {
            harness.advance(700 * MILLISECOND);
            let (id, out) = harness.request(0, 3, 1, 1.0);
            rejections += u32::from(rejected(&out, id));
            for (_, backend) in forwards(&out) {
                harness.advance(elapsed);
                let report = LoadReport {
                    utilization: reported_utilization,
                    queued: reported_utilization.map(|_| 0.0),
                    ..LoadReport::default()
                };
                harness.answer_after(id, backend, elapsed, report);
            }
        }
        rejections
    };
    assert_eq!(rejections(50 * MILLISECOND, None), 0);
    assert!(
        rejections(700 * MILLISECOND, None) > 100,
        "late answers cause load shedding although at most one attempt is in flight"
    );
    assert!(rejections(700 * MILLISECOND, Some(0.98)) > 100, "load reports show overload");
    assert_eq!(
        rejections(700 * MILLISECOND, Some(0.6)),
        0,
        "load reports show spare capacity: requests take long by themselves"
    );
}

#[test]
fn without_load_reports_uneven_work_is_not_shed_while_typical_latency_is_low() {
    let rejections = |typical: u64, slow: u64| {
        let mut harness = gateway_of(200, 3, 50);
        let mut rejections = 0;
        for i in 0..300 {
            harness.advance(700 * MILLISECOND);
            let (id, out) = harness.request(0, 3, 1, 1.0);
            rejections += u32::from(rejected(&out, id));
            for (_, backend) in forwards(&out) {
                let elapsed = if i % 4 == 0 { slow } else { typical };
                harness.advance(elapsed);
                harness.answer_after(id, backend, elapsed, LoadReport::default());
            }
        }
        rejections
    };
    // One request in four takes most of the latency objective of 800 ms.
    assert_eq!(
        rejections(100 * MILLISECOND, 600 * MILLISECOND),
        0,
        "a few requests take long, typical latency is low"
    );
    assert!(rejections(500 * MILLISECOND, 600 * MILLISECOND) > 100, "typical latency is high as well");
    assert!(
        rejections(100 * MILLISECOND, 900 * MILLISECOND) > 20,
        "too many requests miss the latency objective"
    );
}

#[test]
fn while_calls_fail_first_requests_are_decided_locally_and_client_retries_are_not() {
    let mut harness = gateway_of(200, 3, 50);
    let mut forwarded_unverified = [0, 0];
    for i in 0..300 {
        harness.advance(300 * MILLISECOND);
        let is_client_retry = i % 2 == 1;
        let (id, mut out) = thinly_spread(&mut harness, is_client_retry);
        // One call in five is rejected, so the breaker stays closed.
        for (counter_key, _) in counter_calls(&out) {
            let outcome = if i % 5 == 0 { Outcome::Rejected } else { Outcome::Success };
            out.extend(harness.handle(Event::CounterReplied { key: counter_key, outcome, total: 2.0 }));
        }
        let is_unverified = i % 5 == 0 && !forwards(&out).is_empty();
        forwarded_unverified[usize::from(is_client_retry)] += u32::from(is_unverified);
        forwards(&out).iter().for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
    }
    assert!(forwarded_unverified[0] > 10, "first requests forwarded: {forwarded_unverified:?}");
    assert_eq!(forwarded_unverified[1], 0, "client retries forwarded");
}

#[test]
fn a_local_share_of_less_than_one_request_admits_one() {
    let mut harness = gateway_of(200, 3, 50);
    harness.advance(300 * MILLISECOND);
    let (id, out) = thinly_spread(&mut harness, false);
    let out = harness.handle(Event::CounterReplied {
        key: counter_calls(&out)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(forwards(&out).first().map(|s| s.0), Some(id));
}

#[test]
fn with_the_counter_down_hundreds_of_gateways_together_keep_a_ceiling() {
    // The ceiling is 20 units per second with a burst of 40. Each of 200 gateways gets one request per second.
    let mut harnesses: Vec<Harness> =
        (0..200).map(|gateway_index| gateway_of(200, gateway_index, 50)).collect();
    let (mut level, mut lowest) = (40.0f64, 40.0f64);
    for _ in 0..20 {
        level = (level + 20.0).min(40.0);
        for harness in &mut harnesses {
            harness.advance(SECOND);
            let id = RequestId(harness.next_request);
            harness.next_request += 1;
            let deadline = Micros(harness.now + 3 * SECOND);
            let (plan, customer) = (PlanId(1), CustomerId(9));
            let arrival = Arrival {
                request: id,
                plan,
                customer,
                gateway_spread: 200,
                deadline,
                units: 1.0,
                ..Arrival::default()
            };
            let mut out = harness.handle(Event::RequestArrived(arrival));
            for (counter_key, _) in counter_calls(&out) {
                out.extend(harness.handle(Event::CounterReplied {
                    key: counter_key,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            level -= forwards(&out).len() as f64;
            lowest = lowest.min(level);
            forwards(&out).iter().for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
        }
    }
    assert!(lowest >= -4.0, "lowest level {lowest}");
}

/// 100 gateways with steady load over 60 backends are notified that one backend has just started. The cold backend must
/// neither stay unused nor get more than it can handle from all gateways together.
#[test]
fn a_cold_backend_gets_work_from_the_start_and_is_never_overloaded() {
    let cold = BackendId(30);
    let step = |harness: &mut Harness| {
        harness.advance(125 * MILLISECOND);
        let (id, out) = harness.request(0, 3, 1, 1.0);
        forwards(&out)
            .iter()
            .for_each(|(_, backend)| drop(harness.end_attempt(id, 0, *backend, Outcome::Success)));
        forwards(&out).iter().filter(|(_, backend)| *backend == cold).count()
    };
    let mut harnesses: Vec<Harness> =
        (0..100).map(|gateway_index| gateway_of(100, gateway_index, 60)).collect();
    for harness in &mut harnesses {
        (0..24).for_each(|_| _ = step(harness));
    }
    for harness in &mut harnesses {
        let endpoints = vec![endpoint(30, EndpointState::InService, Some(harness.now))];
        harness.handle(Event::EndpointList { scope: EndpointListScope::Changes, endpoints });
    }
    let requests_per_step: Vec<usize> = (0..72).map(|_| harnesses.iter_mut().map(step).sum()).collect();
    // A warm backend gets 800 / 60 requests per second. The cold one handles 0.2 of that at first and all of it after
    // 10 s.
    let capacity_at = |i: usize| 800.0 / 60.0 * (0.2 + 0.8 * i as f64 / 80.0);
    for (i, second) in requests_per_step.windows(8).enumerate() {
        let sum = second.iter().sum::<usize>() as f64;
        assert!(sum <= 2.0 * capacity_at(i), "{sum} requests in the second from step {i}");
    }
    let first_half = requests_per_step[..36].iter().sum::<usize>() as f64;
    let share = first_half / (0..36).map(|i| capacity_at(i) / 8.0).sum::<f64>();
    assert!(share > 0.2, "{share} of its capacity used: {requests_per_step:?}");
}

/// Returns the number of requests that random variation explains, given the number that a cold backend can handle in
/// the time that overloads it.
fn max_with_random_variation(capacity: f64) -> f64 {
    capacity + 2.0 * capacity.sqrt() + 2.0
}

#[test]
fn thirty_gateways_with_uneven_traffic_do_not_overload_a_cold_backend_beyond_random_variation() {
    const GATEWAYS: u32 = 30;
    const BACKENDS: u32 = 20;
    let config = Settings { gateway_count: GATEWAYS, ..settings() };
    let cold = BackendId(7);
    let window = (config.overload_after.0 / (25 * MILLISECOND)) as usize;
    for seed in 0..10 {
        let mut next_random = random_numbers(seed);
        let mut harnesses: Vec<Harness> = (0..GATEWAYS)
            .map(|gateway_index| {
                Harness::seeded(
                    seed * 100 + u64::from(gateway_index),
                    Settings { gateway_index, ..config.clone() },
                    BACKENDS,
                )
            })
            .collect();
        // One gateway in five gets four times as many requests as the others, and requests arrive in bursts of three.
        let mut step = |harnesses: &mut Vec<Harness>| {
            let mut at_cold = 0;
            for (gateway_index, harness) in harnesses.iter_mut().enumerate() {
                harness.advance(25 * MILLISECOND);
                let request_probability = if gateway_index % 5 == 0 { 0.4 } else { 0.1 };
                if next_random() >= request_probability {
                    continue;
                }
                for _ in 0..3 {
                    let (id, out) = harness.request(0, 3, 1, 1.0);
                    for (_, backend) in forwards(&out) {
                        at_cold += usize::from(backend == cold);
                        harness.end_attempt(id, 0, backend, Outcome::Success);
                    }
                }
            }
            at_cold
        };
        (0..200).for_each(|_| _ = step(&mut harnesses));
        for harness in &mut harnesses {
            let endpoints = vec![endpoint(7, EndpointState::InService, Some(harness.now))];
            harness.handle(Event::EndpointList { scope: EndpointListScope::Changes, endpoints });
        }
        let requests_per_step: Vec<usize> = (0..400).map(|_| step(&mut harnesses)).collect();
        // Requests per second at a warm backend. A cold one handles `overload_multiple` times its capacity share of
        // that.
        let warm = 40.0 * 3.0 * (6.0 * 0.4 + 24.0 * 0.1) / f64::from(BACKENDS);
        for (i, second) in requests_per_step.windows(window).enumerate() {
            let capacity_share =
                config.cold_capacity_share + (1.0 - config.cold_capacity_share) * i as f64 / 400.0;
            let capacity =
                config.overload_multiple * capacity_share * warm * config.overload_after.as_secs_f64();
            let sum = second.iter().sum::<usize>() as f64;
            assert!(
                sum <= max_with_random_variation(capacity),
                "seed {seed}: {sum} requests from step {i}, capacity {capacity}"
            );
        }
        let total = requests_per_step.iter().sum::<usize>() as f64;
        assert!(total > 0.2 * 0.6 * warm * 10.0, "seed {seed}: the cold backend got {total} requests");
    }
}

/// Returns a generator of random numbers from 0 to 1, determined by the seed.
fn random_numbers(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[test]
fn preconnecting_is_allowed_where_the_engine_would_forward() {
    let (cold, failing, draining, healthy) = (BackendId(30), BackendId(31), BackendId(32), BackendId(33));
    let mut harnesses: Vec<Harness> =
        (0..100).map(|gateway_index| gateway_of(100, gateway_index, 60)).collect();
    let step = |harness: &mut Harness| {
        harness.advance(125 * MILLISECOND);
        let (id, out) = harness.request(0, 3, 1, 1.0);
        forwards(&out).iter().for_each(|(_, backend)| {
            let outcome = if *backend == failing { Outcome::ConnectFailed } else { Outcome::Success };
            drop(harness.end_attempt(id, 0, *backend, outcome));
        });
    };
    for harness in &mut harnesses {
        (0..24).for_each(|_| step(harness));
        let started = endpoint(30, EndpointState::InService, Some(harness.now));
        let endpoints = vec![started, endpoint(32, EndpointState::Draining, None)];
        harness.handle(Event::EndpointList { scope: EndpointListScope::Changes, endpoints });
    }
    let (mut at_cold, mut at_failing) = (Vec::new(), 0);
    for _ in 0..32 {
        harnesses.iter_mut().for_each(step);
        let mut allowed_gateways = |backend| {
            harnesses
                .iter_mut()
                .filter_map(|harness| {
                    harness.engine.may_preconnect(Micros(harness.now), backend).then_some(())
                })
                .count()
        };
        assert_eq!(
            (allowed_gateways(draining), allowed_gateways(healthy), allowed_gateways(BackendId(99))),
            (0, 100, 0)
        );
        at_cold.push(allowed_gateways(cold));
        at_failing += usize::from(allowed_gateways(failing) == 100);
    }
    // All gateways together may send a few requests to the cold backend in each time slot of a quarter of a second.
    assert!(at_cold.iter().all(|allowed| *allowed <= 10), "{at_cold:?}");
    assert!(at_cold.iter().sum::<usize>() > 0, "{at_cold:?}");
    assert_eq!(at_failing, 0, "gateways that tried the failing backend do not preconnect to it");
}

#[test]
fn scarce_counter_calls_go_first_to_requests_with_the_highest_over_quota_cost() {
    let mut config = Settings { gateway_count: 100, ..settings() };
    config.plans = vec![plan(10.0, 20.0), QuotaPlan { over_quota_cost: 0.0, ..plan(10.0, 20.0) }];
    let mut harness = Harness::seeded(3, config, 60);
    let mut counter_calls_made = [0, 0];
    for i in 0..400 {
        harness.advance(125 * MILLISECOND);
        let plan = i / 3 % 2;
        let (id, mut out) = harness.request(0, plan, 1_000 + i as u64, 1.0);
        let calls = counter_calls(&out);
        counter_calls_made[plan] += calls.len();
        for (counter_key, _) in calls {
            // One call in three is rejected.
            let outcome = if i % 3 == 0 { Outcome::Rejected } else { Outcome::Success };
            out.extend(harness.handle(Event::CounterReplied { key: counter_key, outcome, total: 1.0 }));
        }
        forwards(&out).iter().for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
    }
    assert!(
        counter_calls_made[0] > 2 * counter_calls_made[1] && counter_calls_made[1] > 0,
        "calls with and without an over-quota cost: {counter_calls_made:?}"
    );
}

#[test]
fn a_window_that_no_gateway_observed_grants_a_share_of_its_refill_while_all_requests_query() {
    let mut harness = gateway_of(100, 3, 60);
    // Each customer sends one request, and its window has this total. The quota is a burst of 20 units and 20 units of
    // refill in the two seconds of the window.
    let mut admitted = |requests: u64, total: f64| {
        let mut admitted = 0;
        for _ in 0..requests {
            harness.advance(125 * MILLISECOND);
            let (id, mut out) = thinly_spread(&mut harness, false);
            for (counter_key, amount) in counter_calls(&out) {
                let total = if amount > 0.0 { total } else { total + amount };
                out.extend(harness.handle(Event::CounterReplied {
                    key: counter_key,
                    outcome: Outcome::Success,
                    total,
                }));
            }
            admitted += forwards(&out).len();
            forwards(&out).iter().for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
        }
        admitted
    };
    assert_eq!(admitted(100, 2.0), 100, "every request queries by then and is admitted");
    let with_partial_refill = admitted(100, 22.0);
    assert!((40..90).contains(&with_partial_refill), "{with_partial_refill} of 100 admitted");
    assert_eq!(admitted(100, 27.0), 0, "the full refill is never granted");
}

/// Sends one request through the engine.
type SendRequest = dyn Fn(&mut Harness) -> (RequestId, Vec<Action>);

/// Ends the forwarded attempts successfully. Returns whether there were any.
fn end_successfully(harness: &mut Harness, id: RequestId, out: &[Action]) -> bool {
    forwards(out)
        .iter()
        .for_each(|(_, backend)| drop(harness.end_attempt(id, 0, *backend, Outcome::Success)));
    !forwards(out).is_empty()
}

/// Sends requests while the counter replies after `reply_delay` with this total. Returns how many did not query it, and
/// how many of those were forwarded.
fn count_unverified(
    harness: &mut Harness,
    requests_sent: u32,
    reply_delay: u64,
    total: f64,
    send: &SendRequest,
) -> (u32, u32) {
    let (mut unverified, mut forwarded) = (0, 0);
    for _ in 0..requests_sent {
        let (id, mut out) = send(harness);
        let calls = counter_calls(&out);
        harness.advance(reply_delay);
        for (counter_key, _) in &calls {
            out.extend(harness.handle(Event::CounterReplied {
                key: *counter_key,
                outcome: Outcome::Success,
                total,
            }));
        }
        let was_forwarded = end_successfully(harness, id, &out);
        if calls.is_empty() {
            unverified += 1;
            forwarded += u32::from(was_forwarded);
        }
    }
    (unverified, forwarded)
}

/// Reply delays: `SLOW_REPLY` keeps the query share low, and `FAST_REPLY` lets it rise.
const SLOW_REPLY: u64 = 50 * MILLISECOND;
const FAST_REPLY: u64 = 10 * MILLISECOND;

fn first_request(harness: &mut Harness) -> (RequestId, Vec<Action>) {
    thinly_spread(harness, false)
}

/// Sends a request of a new customer whose local share of the burst is ten units.
fn concentrated(harness: &mut Harness) -> (RequestId, Vec<Action>) {
    harness.request(0, 0, 1_000_000 + harness.next_request, 2.0)
}

/// Returns a gateway that has learned the totals of its plan from many first requests.
fn with_learned_totals(plan: QuotaPlan, total: f64) -> Harness {
    let config = Settings { gateway_count: 200, plans: vec![plan], ..settings() };
    let mut harness = Harness::seeded(3, config, 50);
    count_unverified(&mut harness, 600, SLOW_REPLY, total, &first_request);
    harness
}

/// Returns the share of unverified first requests that such a gateway forwards.
fn share_forwarded_unverified(plan: QuotaPlan, total: f64) -> f64 {
    let (unverified, forwarded) =
        count_unverified(&mut with_learned_totals(plan, total), 600, SLOW_REPLY, total, &first_request);
    assert!(unverified > 100, "{unverified} requests were unverified");
    f64::from(forwarded) / f64::from(unverified)
}

#[test]
fn first_requests_are_forwarded_unverified_according_to_their_expected_value_for_the_plan() {
    let costly = plan(10.0, 20.0);
    let free = QuotaPlan { over_quota_cost: 0.0, ..plan(10.0, 20.0) };
    let valuable = QuotaPlan { over_quota_value: 1.0, ..plan(10.0, 20.0) };
    assert_eq!(
        share_forwarded_unverified(costly.clone(), 2.0),
        1.0,
        "the customers' quotas are known to be nearly unused"
    );
    // The local share of the burst is a tenth of a unit, 1/40 of the largest request.
    let used_up = share_forwarded_unverified(costly, 60.0);
    assert!(used_up < 0.05, "{used_up}: the customers' quotas are known to be used up");
    assert_eq!(share_forwarded_unverified(free, 60.0), 1.0, "requests over the quota cost nothing");
    assert_eq!(
        share_forwarded_unverified(valuable, 60.0),
        1.0,
        "requests over the quota have as much value as cost"
    );
}

#[test]
fn unreported_units_of_other_gateways_are_estimated_by_the_share_reported_here() {
    // 2 of the 12 units are the request's own. At most one in five units forwarded here is reported, so the other
    // gateways are assumed to have forwarded 50 units of a burst of 20, until so few requests are unverified that most
    // are reported.
    let share = share_forwarded_unverified(plan(10.0, 20.0), 12.0);
    assert!(share < 0.9, "{share}: the customers are treated as idle");
    assert!(share > 0.02, "{share}: the reported share was not updated");
}

#[test]
fn estimates_from_thinly_spread_customers_affect_others_little_and_not_while_the_counter_is_silent() {
    let mut harness = with_learned_totals(plan(10.0, 20.0), 60.0);
    let (unverified, forwarded) = count_unverified(&mut harness, 60, SLOW_REPLY, 60.0, &concentrated);
    assert!(
        unverified > 20 && unverified == forwarded,
        "{forwarded} of {unverified} unverified requests forwarded"
    );
    // Each of six gateways has a local share of five sixths of a request, so it may forward that share of the requests.
    let (unverified, forwarded) = count_unverified(&mut harness, 200, SLOW_REPLY, 60.0, &|harness| {
        spread_over(harness, 6, 1_000_000 + harness.next_request, false)
    });
    assert!(
        unverified > 100 && forwarded * 10 > unverified * 7 && forwarded < unverified,
        "{forwarded} of {unverified} unverified requests forwarded"
    );
    // Once the counter is silent, only the local buckets decide, and each starts with one request.
    while !harness.engine.snapshot().breaker_open {
        let (_, out) = thinly_spread(&mut harness, false);
        harness.advance(100 * MILLISECOND);
        counter_calls(&out).iter().for_each(|(counter_key, _)| {
            drop(harness.handle(Event::CounterReplied {
                key: *counter_key,
                outcome: Outcome::Timeout,
                total: 0.0,
            }))
        });
    }
    let (id, out) = thinly_spread(&mut harness, false);
    assert!(counter_calls(&out).is_empty() && !rejected(&out, id), "{out:?}");
}

#[test]
fn a_known_total_in_the_current_window_alone_decides_for_its_customer() {
    let mut harness = with_learned_totals(plan(10.0, 20.0), 60.0);
    let (mut decided_locally, mut forwarded) = (0, 0);
    while decided_locally < 10 {
        let customer = 1_000_000 + harness.next_request;
        let (id, out) = spread_over(&mut harness, 200, customer, false);
        let calls = counter_calls(&out);
        harness.advance(SLOW_REPLY);
        let Some((counter_key, _)) = calls.first() else {
            end_successfully(&mut harness, id, &out);
            continue;
        };
        let out = harness.handle(Event::CounterReplied {
            key: *counter_key,
            outcome: Outcome::Success,
            total: 2.0,
        });
        end_successfully(&mut harness, id, &out);
        harness.advance(SLOW_REPLY);
        // The last reply showed that its quota is nearly unused.
        let (id, out) = spread_over(&mut harness, 200, customer, false);
        let was_forwarded = end_successfully(&mut harness, id, &out);
        if counter_calls(&out).is_empty() {
            decided_locally += 1;
            forwarded += u32::from(was_forwarded);
        }
    }
    assert_eq!(forwarded, decided_locally);
}

#[test]
fn retries_and_concentrated_customers_do_not_affect_estimates_for_thinly_spread_first_requests() {
    // A client retries because it was just rejected, so its quota is used up.
    let repeat = |harness: &mut Harness| thinly_spread(harness, true);
    for send_other in [&repeat as &SendRequest, &concentrated] {
        let mut harness = with_learned_totals(plan(10.0, 20.0), 2.0);
        count_unverified(&mut harness, 1_000, FAST_REPLY, 2.0, &first_request);
        let (unverified, _) = count_unverified(&mut harness, 300, FAST_REPLY, 60.0, send_other);
        assert!(unverified < 30, "{unverified} unverified requests: these requests query the counter");
        let (unverified, forwarded) = count_unverified(&mut harness, 300, SLOW_REPLY, 2.0, &first_request);
        assert!(
            unverified > 100 && unverified == forwarded,
            "{forwarded} of {unverified} unverified requests forwarded"
        );
    }
}
