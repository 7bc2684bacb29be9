use super::*;

#[test]
fn query_share_recovers_within_seconds_at_low_call_rate() {
    let mut share = QueryShare::new(100);
    assert_eq!(share.get(), 0.5);
    (1..=4).for_each(|i| share.record_failure(Micros(i * 100_000), Micros(i * 100_000)));
    assert!(share.get() < 0.25);
    // Four answers a second.
    (2..=48).for_each(|i| share.record_success(Micros(i * 250_000), false, false));
    assert!(share.get() > 0.9, "{}", share.get());
}

#[test]
fn simultaneous_call_failures_decrease_share_once() {
    let mut share = QueryShare::new(1);
    (1..=9).for_each(|i| share.record_failure(Micros(1_000_000 + i), Micros(900_000)));
    assert_eq!(share.get(), FAILURE_FACTOR);
}
