use super::*;

fn callers(sharing: u32) -> Vec<Backoff> {
    (0..100).map(|seed| Backoff::new(seed, sharing)).collect()
}

/// The most of these moments within any 250 ms.
fn busiest(mut at: Vec<Duration>) -> usize {
    at.sort();
    let within = |from: &Duration| at.iter().filter(|t| (*from..*from + 3 * LEAST).contains(t)).count();
    at.iter().map(within).max().unwrap_or(0)
}

#[test]
fn a_fleet_that_starts_or_fails_together_does_not_call_together() {
    let mut fleet = callers(100);
    assert!(busiest(fleet.iter_mut().map(Backoff::first).collect()) < 15);
    assert!(busiest(fleet.iter_mut().map(Backoff::pause).collect()) < 15);
    let second: Vec<Duration> = fleet.iter_mut().map(Backoff::pause).collect();
    assert!(second.iter().sum::<Duration>() > 60 * 100 * SHARE, "bounds double: {second:?}");
}

#[test]
fn where_calls_are_free_nothing_waits_for_long() {
    let mut fleet = callers(0);
    assert!(fleet.iter_mut().all(|b| b.first() == Duration::ZERO));
    assert!((0..10).all(|_| fleet.iter_mut().all(|b| b.pause() <= 2 * LEAST)));
}
