//! Tests of the circuit breaker for counter calls, and of the share of requests that query the counter.
mod common;
use common::*;
use lanespan_policy::*;

/// Sends a request and fails its counter calls. Returns whether it made any.
fn fail_counter_calls(harness: &mut Harness, customer: u64) -> bool {
    let (_, out) = harness.request(0, 0, customer, 1.0);
    let calls = counter_calls(&out);
    for (counter_key, _) in &calls {
        harness.handle(Event::CounterReplied { key: *counter_key, outcome: Outcome::Rejected, total: 0.0 });
    }
    !calls.is_empty()
}

/// Fails the counter call of one of 100 customers, since only a share of requests query while calls fail.
fn fail_one_call(harness: &mut Harness, from: u64) {
    assert!(
        (from..from + 100).any(|customer| fail_counter_calls(harness, customer)),
        "some request queries while the breaker is closed"
    );
}

/// Opens the breaker with three failed calls over 400 ms.
fn open_breaker(harness: &mut Harness) {
    fail_one_call(harness, 1_000);
    fail_one_call(harness, 1_100);
    harness.advance(400 * MILLISECOND);
    fail_one_call(harness, 1_200);
}

#[test]
fn three_consecutive_failures_over_some_time_open_the_breaker() {
    let mut harness = Harness::new(settings(), 4);
    open_breaker(&mut harness);
    assert!(
        (0..200).all(|customer| !fail_counter_calls(&mut harness, customer)),
        "no request queries while the breaker is open"
    );
}

#[test]
fn two_failures_do_not_open_the_breaker() {
    let mut harness = Harness::new(settings(), 4);
    fail_one_call(&mut harness, 1_000);
    harness.advance(400 * MILLISECOND);
    fail_one_call(&mut harness, 1_100);
    // While calls fail, only a share of requests query; with twenty customers, some do.
    let querying = (10..30)
        .filter(|customer| !counter_calls(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!(querying > 0);
}

#[test]
fn simultaneous_timeouts_decrease_the_query_share_once_and_do_not_open_the_breaker() {
    let mut harness = Harness::new(settings(), 4);
    let calls: Vec<_> =
        (1..=20).flat_map(|customer| counter_calls(&harness.request(0, 0, customer, 1.0).1)).collect();
    assert_eq!(calls.len(), 20, "all requests query");
    harness.advance(80 * MILLISECOND);
    calls.iter().for_each(|(counter_key, _)| {
        drop(harness.handle(Event::CounterReplied {
            key: *counter_key,
            outcome: Outcome::Timeout,
            total: 0.0,
        }))
    });
    let querying = (100..200)
        .filter(|customer| !counter_calls(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!((60..100).contains(&querying), "{querying} of 100 query");
}

#[test]
fn malformed_replies_do_not_change_the_query_share() {
    let mut harness = Harness::new(settings(), 4);
    for customer in 1..=40 {
        let (_, out) = harness.request(0, 0, customer, 1.0);
        let outcome = if customer % 2 == 0 { Outcome::ServerError } else { Outcome::Success };
        counter_calls(&out).iter().for_each(|(counter_key, x)| {
            drop(harness.handle(Event::CounterReplied { key: *counter_key, outcome, total: *x }))
        });
    }
    let querying = (100..200)
        .filter(|customer| !counter_calls(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert_eq!(querying, 100, "all requests query");
}

#[test]
fn under_a_ceiling_units_that_the_counter_confirms_may_be_forwarded_unverified_again() {
    // Plan 1 has ten units per second, a burst of twenty and a ceiling of twice that, over two gateways. This gateway
    // may forward a burst of ten units and five units per second unverified. The customer requests 6.7 units per second
    // whose calls fail, and 2.2 units per second that are verified.
    let (mut harness, mut total, mut window) = (Harness::new(settings(), 40), 0.0, CounterKey(0));
    for i in 0..90 {
        harness.advance(if i == 1 { 2 * SECOND } else { 225 * MILLISECOND });
        let unverified = i % 2 == 1;
        let (id, mut out) = harness.request(0, 1, 9, if unverified { 3.0 } else { 1.0 });
        while let Some((counter_key, amount)) = counter_calls(&out).first().copied() {
            total = if counter_key == window { total } else { 0.0 };
            window = counter_key;
            total += if unverified { 0.0 } else { amount };
            let outcome = if unverified { Outcome::ConnectFailed } else { Outcome::Success };
            out = harness.handle(Event::CounterReplied { key: counter_key, outcome, total });
        }
        assert!(i == 0 || !rejected(&harness.actions, id), "request {i}");
        let sent = forwards(&harness.actions).into_iter().find(|(sent, _)| *sent == id);
        sent.into_iter()
            .for_each(|(id, backend)| drop(harness.end_attempt(id, 0, backend, Outcome::Success)));
    }
}

#[test]
fn after_the_cool_down_one_request_probes_and_success_closes_the_breaker() {
    let mut harness = Harness::new(settings(), 4);
    open_breaker(&mut harness);
    harness.advance(SECOND - 1);
    assert!(!fail_counter_calls(&mut harness, 4), "no request queries during the cool-down");
    harness.advance(1);
    let (_, out) = harness.request(0, 0, 5, 1.0);
    let probe = counter_adds(&out);
    assert_eq!(probe.len(), 1, "one probe while half-open");
    assert!(
        counter_calls(&harness.request(0, 0, 6, 1.0).1).is_empty(),
        "no other request queries while the probe is in flight"
    );
    harness.handle(Event::CounterReplied { key: probe[0].0, outcome: Outcome::Success, total: 1.0 });
    let querying = (10..30)
        .filter(|customer| !counter_adds(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!(querying > 0, "the breaker is closed again");
}

#[test]
fn a_failed_probe_opens_the_breaker_for_another_cool_down() {
    let mut harness = Harness::new(settings(), 4);
    open_breaker(&mut harness);
    harness.advance(SECOND);
    assert!(fail_counter_calls(&mut harness, 5), "the first probe fails");
    harness.advance(SECOND - 1);
    assert!(!fail_counter_calls(&mut harness, 6));
    harness.advance(1);
    assert!(fail_counter_calls(&mut harness, 7), "the next probe is sent after another cool-down");
}

#[test]
fn timeouts_of_a_silent_counter_open_the_breaker() {
    let mut harness = Harness::new(settings(), 4);
    for i in 0..200 {
        let calls = counter_calls(&harness.request(0, 0, i, 1.0).1);
        harness.advance(80 * MILLISECOND);
        calls.iter().for_each(|(counter_key, _)| {
            drop(harness.handle(Event::CounterReplied {
                key: *counter_key,
                outcome: Outcome::Timeout,
                total: 0.0,
            }))
        });
    }
    // Over 16 s, at most about one call per second is made once the breaker is open.
    let calls = counter_calls(&harness.actions).len();
    assert!((3..=30).contains(&calls), "{calls} calls");
}

#[test]
fn failures_of_one_hot_key_do_not_open_the_breaker_for_all_customers() {
    let mut harness = Harness::new(settings(), 4);
    for _ in 0..40 {
        fail_counter_calls(&mut harness, 1);
        harness.advance(40 * MILLISECOND);
    }
    let querying = (10..60)
        .filter(|customer| !counter_adds(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!(querying > 0, "other customers still query");
    assert!(!fail_counter_calls(&mut harness, 1), "the breaker of the hot key's customer is open");
}

#[test]
fn a_counter_that_rarely_answers_is_rarely_queried() {
    let mut harness = Harness::new(settings(), 4);
    let mut calls = 0;
    for customer in 100..2_100 {
        harness.advance(10 * MILLISECOND);
        let (_, out) = harness.request(0, 0, customer, 1.0);
        for (counter_key, amount) in counter_calls(&out) {
            // Two failures and one success alternate, so three consecutive failures never occur.
            calls += u32::from(amount != 0.0);
            let outcome = if amount == 0.0 || calls % 3 == 0 { Outcome::Success } else { Outcome::Rejected };
            harness.handle(Event::CounterReplied { key: counter_key, outcome, total: amount });
        }
    }
    assert!(calls < 200, "{calls} of 2000 requests queried the counter");
}

#[test]
fn a_half_open_customer_breaker_does_not_consume_the_shared_probe() {
    let mut harness = Harness::new(settings(), 4);
    open_breaker(&mut harness);
    for _ in 0..3 {
        fail_counter_calls(&mut harness, 1); // Decided locally.
    }
    harness.advance(SECOND);
    let (_, out) = harness.request(0, 0, 1, 1.0);
    let probe = counter_adds(&out);
    assert_eq!(probe.len(), 1);
    harness.handle(Event::CounterReplied { key: probe[0].0, outcome: Outcome::Rejected, total: 0.0 });
    harness.advance(SECOND);
    assert!(fail_counter_calls(&mut harness, 9), "the shared probe is still available");
}

/// Returns the units that four gateways admit without a counter, each with twenty requests per second for a minute.
/// `known_active` is the number of gateways that each of them sees as active.
fn admitted_by_four(known_active: [u32; 4]) -> f64 {
    let admitted = known_active.map(|known_active| {
        let mut harness = Harness::new(Settings { quota_counter: false, gateway_count: 4, ..settings() }, 4);
        let admitted_requests = (0..1_200).filter(|_| {
            harness.advance(50 * MILLISECOND);
            let id = RequestId(harness.next_request);
            harness.next_request += 1;
            let deadline = Micros(harness.now + 3 * SECOND);
            let (customer, units) = (CustomerId(1), 1.0);
            let arrival = Arrival {
                request: id,
                customer,
                gateway_spread: 4,
                active_gateways: known_active,
                deadline,
                units,
                ..Arrival::default()
            };
            let out = harness.handle(Event::RequestArrived(arrival));
            let admitted = !rejected(&out, id);
            forwards(&out)
                .iter()
                .for_each(|(id, backend)| drop(harness.end_attempt(*id, 0, *backend, Outcome::Success)));
            admitted
        });
        admitted_requests.count() as f64
    });
    admitted.iter().sum()
}

#[test]
fn local_shares_follow_the_active_gateways_and_a_partition_stays_within_its_bound() {
    // The quota of one minute, and what a local share of less than one request may add at each gateway.
    let (quota, minimum_shares) = (10.0 * 60.0 + 20.0, 4.0 * 4.0);
    let unpartitioned = admitted_by_four([4; 4]);
    assert_eq!(
        unpartitioned,
        admitted_by_four([0; 4]),
        "with no known active gateways, the full gateway spread counts"
    );
    assert!((0.9 * quota..quota + minimum_shares).contains(&unpartitioned), "{unpartitioned} of {quota}");
    // Three of four gateways see each other; the fourth sees none and counts all four: 1 + (4 - 3) / 4.
    let split = admitted_by_four([3, 3, 3, 4]);
    assert!(split > 1.15 * unpartitioned && split < 1.25 * quota + minimum_shares, "{split} of {quota}");
    // The worst case with shares of a majority, whatever each gateway sees: 4 / 3.
    let worst = admitted_by_four([3; 4]);
    assert!(worst < 4.0 / 3.0 * quota + minimum_shares, "{worst} of {quota}");
}
