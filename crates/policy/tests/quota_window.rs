//! Tests of quota windows, refunds, lost counts, the local bucket and the cap on concurrent requests.
mod common;
use common::*;
use lanespan_policy::*;

/// Sends a request and answers its counter call with this total.
fn with_total(harness: &mut Harness, units: f64, total: f64) -> (RequestId, Vec<Action>) {
    let (id, out) = harness.request(0, 0, 1, units);
    let add = counter_adds(&out);
    assert_eq!(add.len(), 1, "one add before the request is forwarded");
    assert!(forwards(&out).is_empty(), "nothing is forwarded before the reply");
    (id, harness.handle(Event::CounterReplied { key: add[0].0, outcome: Outcome::Success, total }))
}

#[test]
fn a_request_is_counted_before_it_is_forwarded() {
    let mut harness = Harness::new(settings(), 4);
    let (id, out) = harness.request(0, 0, 1, 3.0);
    assert_eq!(counter_adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [3.0]);
    let out = harness.handle(Event::CounterReplied {
        key: counter_adds(&out)[0].0,
        outcome: Outcome::Success,
        total: 3.0,
    });
    assert_eq!(forwards(&out)[0].0, id);
}

#[test]
fn a_request_that_exactly_fills_the_window_is_forwarded() {
    let mut harness = Harness::new(settings(), 4);
    let (_, out) = with_total(&mut harness, 2.0, 20.0);
    assert_eq!(forwards(&out).len(), 1);
}

#[test]
fn beyond_the_quota_a_request_is_rejected_with_retry_after() {
    let mut harness = Harness::new(settings(), 4);
    // The total exceeds twice the burst, which is more than any bucket can hold.
    let (id, out) = with_total(&mut harness, 4.0, 43.0);
    let Some(Action::Reject { retry_after: Some(wait), .. }) =
        out.iter().find(|a| matches!(a, Action::Reject { request: r, .. } if *r == id))
    else {
        panic!("rejected with a Retry-After: {out:?}");
    };
    assert!(wait.0 > 0 && wait.0 <= 2 * SECOND);
    assert!(forwards(&out).is_empty());
    // No gateway could use the units of the rejected add. They are refunded with the next call, without one of their
    // own.
    assert!(counter_adds(&out).is_empty());
}

#[test]
fn a_window_known_to_be_full_rejects_without_a_call() {
    let mut harness = Harness::new(settings(), 4);
    with_total(&mut harness, 2.0, 43.0);
    let (id, out) = harness.request(0, 0, 1, 2.0);
    assert!(rejected(&out, id) && counter_adds(&out).is_empty());
}

#[test]
fn a_new_window_is_counted_under_a_new_key() {
    let mut harness = Harness::new(settings(), 4);
    let first = counter_adds(&harness.request(0, 0, 1, 2.0).1)[0].0;
    harness.handle(Event::CounterReplied { key: first, outcome: Outcome::Success, total: 43.0 });
    harness.advance(2 * SECOND);
    let (_, out) = harness.request(0, 0, 1, 2.0);
    assert_eq!(counter_adds(&out).len(), 1);
    assert_ne!(counter_adds(&out)[0].0, first);
}

#[test]
fn gateways_agree_on_the_counter_key() {
    let mut other = settings();
    other.gateway_index = 1;
    let (mut a, mut b) = (Harness::new(settings(), 4), Harness::new(other, 2));
    assert_eq!(counter_adds(&a.request(0, 0, 1, 2.0).1)[0].0, counter_adds(&b.request(0, 0, 1, 2.0).1)[0].0);
}

#[test]
fn units_are_sent_again_after_the_counter_lost_its_totals() {
    let mut harness = Harness::new(settings(), 4);
    with_total(&mut harness, 4.0, 4.0);
    with_total(&mut harness, 4.0, 8.0);
    // The counter has lost its totals: its reply contains only this add.
    let (_, out) = with_total(&mut harness, 2.0, 2.0);
    assert_eq!(counter_adds(&out).iter().map(|a| a.1).sum::<f64>(), 8.0);
}

#[test]
fn units_of_a_rejected_request_are_refunded_at_once_where_others_could_use_them() {
    let mut harness = Harness::new(settings(), 4);
    let (id, out) = harness.request(0, 0, 1, 4.0);
    let out = harness.handle(Event::CounterReplied {
        key: counter_adds(&out)[0].0,
        outcome: Outcome::Success,
        total: 22.0,
    });
    assert!(rejected(&out, id), "{out:?}");
    assert_eq!(counter_adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [-4.0]);
}

#[test]
fn units_admitted_locally_are_sent_with_the_next_call() {
    let mut harness = Harness::new(settings(), 4);
    let (_, out) = harness.request(0, 0, 1, 2.0);
    // The rejected call added nothing, and the local bucket admits the request.
    let out = harness.handle(Event::CounterReplied {
        key: counter_adds(&out)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(forwards(&out).len(), 1);
    let next = (0..50).find_map(|_| counter_adds(&harness.request(0, 0, 1, 1.0).1).first().map(|a| a.1));
    assert!(
        next.expect("some request queries the counter") >= 3.0,
        "the request's own unit and those forwarded unverified"
    );
}

#[test]
fn without_a_counter_the_local_share_decides() {
    let mut config = settings();
    config.quota_counter = false;
    let mut harness = Harness::new(config, 8);
    let mut admitted = 0;
    for _ in 0..400 {
        harness.advance(100 * MILLISECOND);
        let (id, out) = harness.request(0, 0, 1, 1.0);
        assert!(counter_calls(&out).is_empty());
        if let Some((_, backend)) = forwards(&out).first() {
            admitted += 1;
            harness.end_attempt(id, 0, *backend, Outcome::Success);
        }
    }
    // 40 s at a local share of 5 units per second, plus at most the local share of one burst.
    assert!((190..=212).contains(&admitted), "{admitted} requests admitted");
}

#[test]
fn the_cap_on_concurrent_requests_is_counted_and_released() {
    let mut harness = Harness::new(settings(), 4);
    let (id, out) = harness.request(0, 2, 1, 1.0);
    let (counter_key, added) = counter_adds(&out)[0];
    assert_eq!(added, 1.0);
    let out =
        harness.handle(Event::CounterReplied { key: counter_key, outcome: Outcome::Success, total: 1.0 });
    let backend = forwards(&out)[0].1;
    let out = harness.end_attempt(id, 0, backend, Outcome::Success);
    assert_eq!(counter_adds(&out), [(counter_key, -1.0)]);
    harness.handle(Event::CounterReplied { key: counter_key, outcome: Outcome::Success, total: 0.0 });
    let (id, out) = harness.request(0, 2, 1, 1.0);
    assert_eq!(counter_adds(&out), [(counter_key, 1.0)]);
    let out =
        harness.handle(Event::CounterReplied { key: counter_key, outcome: Outcome::Success, total: 3.0 });
    assert!(rejected(&out, id), "two requests run elsewhere");
    assert_eq!(counter_adds(&out), [(counter_key, -1.0)], "the slot is released");
}

#[test]
fn a_reply_without_a_call_is_ignored() {
    let mut harness = Harness::new(settings(), 4);
    assert!(harness
        .handle(Event::CounterReplied { key: CounterKey(5), outcome: Outcome::Success, total: 1.0 })
        .is_empty());
}

#[test]
fn a_gateway_with_nearly_all_traffic_gets_a_larger_share_of_unverified_requests() {
    let admitted_unverified = |others: f64| {
        let mut harness = Harness::new(settings(), 8);
        // In each of four windows, this gateway adds 4 units and other gateways add `others`.
        for _ in 0..4 {
            harness.advance(2 * SECOND);
            let (id, out) = harness.request(0, 0, 1, 4.0);
            for (counter_key, amount) in counter_calls(&out) {
                let total = if amount > 0.0 { 4.0 + others } else { 0.0 };
                let out = harness.handle(Event::CounterReplied {
                    key: counter_key,
                    outcome: Outcome::Success,
                    total,
                });
                forwards(&out)
                    .iter()
                    .for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
            }
        }
        let mut admitted = 0;
        for _ in 0..300 {
            harness.advance(100 * MILLISECOND);
            let (id, mut out) = harness.request(0, 0, 1, 1.0);
            for (counter_key, _) in counter_calls(&out.clone()) {
                out.extend(harness.handle(Event::CounterReplied {
                    key: counter_key,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            admitted += forwards(&out).len();
            forwards(&out).iter().for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
        }
        admitted
    };
    let (alone, beside) = (admitted_unverified(0.0), admitted_unverified(12.0));
    assert!(alone * 4 > beside * 5, "{alone} admitted alone, {beside} beside other gateways");
}
