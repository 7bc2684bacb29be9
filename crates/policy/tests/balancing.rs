//! Tests of backend selection, outlier detection, retries, the wait queue and the endpoint list.
mod common;
use common::*;
use lanespan_policy::*;

#[test]
fn attempts_spread_over_backends_by_attempts_in_flight() {
    let mut harness = Harness::new(settings(), 4);
    let mut seen: Vec<_> = (0..4).map(|_| harness.forward_one(0).1).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 4, "each of the four backends gets one attempt before any gets two");
}

#[test]
fn an_unreachable_backend_is_ejected_and_retried_later() {
    let mut harness = Harness::new(settings(), 2);
    let mut hits = 0;
    for _ in 0..100 {
        harness.advance(10 * MILLISECOND);
        let (id, backend) = harness.forward_one(0);
        let is_faulty = backend == BackendId(0);
        hits += u32::from(is_faulty);
        let out = harness.end_attempt(
            id,
            0,
            backend,
            if is_faulty { Outcome::ConnectFailed } else { Outcome::Success },
        );
        assert!(!is_faulty || forwards(&out).iter().all(|s| s.1 == BackendId(1)));
        forwards(&out).iter().for_each(|(id, s)| drop(harness.end_attempt(*id, 1, *s, Outcome::Success)));
    }
    assert!((1..=3).contains(&hits), "{hits} attempts at the unreachable backend");
    harness.advance(9 * SECOND);
    let tried = (0..10).any(|_| {
        let (id, backend) = harness.forward_one(0);
        harness.end_attempt(id, 0, backend, Outcome::Success);
        backend == BackendId(0)
    });
    assert!(tried);
}

#[test]
fn timeouts_everywhere_eject_no_backend() {
    let mut harness = Harness::new(settings(), 4);
    let mut recently_used = Vec::new();
    for i in 0..200 {
        let (id, out) = harness.request(0, 3, 1, 1.0);
        for (_, backend) in forwards(&out) {
            harness.advance(20 * MILLISECOND);
            // All backends behave alike: one attempt in three succeeds.
            let outcome = if i % 3 == 0 { Outcome::Success } else { Outcome::Timeout };
            let out = harness.end_attempt(id, 0, backend, outcome);
            forwards(&out).iter().for_each(|(id, s)| drop(harness.end_attempt(*id, 1, *s, Outcome::Success)));
            if i >= 150 {
                recently_used.push(backend);
            }
        }
    }
    recently_used.sort();
    recently_used.dedup();
    assert!(recently_used.len() >= 3, "backends used by the last attempts: {recently_used:?}");
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut harness = Harness::new(settings(), 4);
    let (mut attempts_made, mut first) = (0, 0);
    for _ in 0..500 {
        harness.advance(50 * MILLISECOND);
        let (id, out) = harness.request(0, 3, 1, 1.0);
        let (mut out, mut attempt) = (forwards(&out), 0);
        first += out.len();
        while let Some((_, backend)) = out.first().copied() {
            attempts_made += 1;
            out = forwards(&harness.end_attempt(id, attempt, backend, Outcome::ServerError));
            attempt += 1;
        }
    }
    let retries = attempts_made - first;
    assert!(
        retries > 0 && retries as f64 <= 20.0 + 0.2 * 500.0,
        "{retries} retries of {first} first attempts"
    );
}

#[test]
fn with_all_backends_at_their_limit_a_request_waits_and_is_then_rejected() {
    let mut harness = Harness::new(settings(), 1);
    harness.forward_one(0);
    harness.forward_one(0);
    let (id, out) = harness.request(0, 3, 1, 1.0);
    assert!(forwards(&out).is_empty() && !rejected(&out, id), "the request waits");
    assert!(rejected(&harness.advance(400 * MILLISECOND), id), "the wait ends within the latency objective");
}

#[test]
fn the_waiting_request_with_the_highest_weight_gets_a_free_backend() {
    let mut config = settings();
    config.classes[3].priority_weight = 5.0;
    let mut harness = Harness::new(config, 1);
    let (first, backend) = harness.forward_one(0);
    harness.forward_one(0);
    let (low_weight, _) = harness.request(0, 3, 1, 1.0);
    let (high_weight, _) = harness.request(3, 3, 1, 1.0);
    let out = harness.end_attempt(first, 0, backend, Outcome::Success);
    assert_eq!(forwards(&out), [(high_weight, backend)]);
    assert_ne!(low_weight, high_weight);
}

#[test]
fn a_lost_endpoint_subscription_is_renewed() {
    let mut config = settings();
    config.endpoint_subscription = true;
    let mut harness = Harness::new(config, 1);
    assert!(harness.actions.contains(&Action::SubscribeEndpoints));
    harness.handle(Event::EndpointList { scope: EndpointListScope::Unavailable, endpoints: Vec::new() });
    assert!(harness.advance(SECOND).contains(&Action::SubscribeEndpoints));
}

#[test]
fn the_same_events_produce_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings(), 6);
        for i in 0..200 {
            harness.advance(7 * MILLISECOND);
            let (id, out) = harness.request((i % 4) as usize, (i % 3) as usize, i % 5, 1.0);
            for (counter_key, _) in counter_calls(&out) {
                let out = harness.handle(Event::CounterReplied {
                    key: counter_key,
                    outcome: Outcome::Success,
                    total: (i % 17) as f64,
                });
                forwards(&out)
                    .iter()
                    .for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
            }
        }
        harness.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_settings_are_rejected() {
    let is_rejected = |change: fn(&mut Settings)| {
        let mut config = settings();
        change(&mut config);
        lanespan_policy::Engine::new(1, config).is_err()
    };
    assert!(is_rejected(|s| s.gateway_count = 0));
    assert!(is_rejected(|s| s.gateway_index = 2));
    assert!(is_rejected(|s| s.plans[0].rate = -1.0));
    assert!(is_rejected(|s| s.plans[0].weight_multiplier = f64::NAN));
    assert!(is_rejected(|s| s.plans[0].burst = 0.0));
    assert!(!is_rejected(|_| ()));
}

#[test]
fn late_answers_lower_the_limit_below_one_attempt_per_backend() {
    let mut harness = Harness::new(settings(), 4);
    for _ in 0..60 {
        let (id, out) = harness.request(0, 3, 1, 1.0);
        for (_, backend) in forwards(&out) {
            harness.answer_after(id, backend, 600 * MILLISECOND, LoadReport::default());
        }
        harness.advance(300 * MILLISECOND);
    }
    let in_flight = (0..8).map(|_| forwards(&harness.request(0, 3, 1, 1.0).1).len()).sum::<usize>();
    assert_eq!(in_flight, 1, "one attempt in flight at all four backends together");
}

#[test]
fn state_of_idle_customers_and_removed_backends_is_dropped() {
    let mut harness = Harness::new(settings(), 2);
    let start = harness.engine.tracked_items();
    for i in 0..3_000u64 {
        let (old, new) = (1_000 + i as u32, 1_001 + i as u32);
        let endpoints =
            vec![endpoint(old, EndpointState::Removed, None), endpoint(new, EndpointState::InService, None)];
        harness.handle(Event::EndpointList { scope: EndpointListScope::Changes, endpoints });
        let (id, mut out) = harness.request(0, 0, i, 1.0);
        for (counter_key, x) in counter_calls(&out) {
            out.extend(harness.handle(Event::CounterReplied {
                key: counter_key,
                outcome: Outcome::Success,
                total: x,
            }));
        }
        let (_, backend) = forwards(&out)[0];
        harness.end_attempt(id, 0, backend, Outcome::Success);
        harness.advance(10 * MILLISECOND);
    }
    assert!(harness.engine.tracked_items() > start + 3_000, "recent customers still have state");
    harness.advance(70 * SECOND);
    let end = harness.engine.tracked_items();
    assert!(end <= start + 1, "{start} tracked items at the start, {end} at the end");
}
