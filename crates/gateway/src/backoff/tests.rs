use super::*;

/// Latest start of the next call for its response to arrive within the 6 s in which gateways must receive a change.
const MAX_CALL_START: Duration = Duration::from_secs(5);

fn callers(count: u32, gateways: u32) -> Vec<Backoff> {
    (0..count).map(|index| Backoff::new(u64::from(index), gateways).numbered(index)).collect()
}

/// Returns the maximum number of calls within any 300 ms.
fn max_calls_in_300_ms(mut starts: Vec<Duration>) -> usize {
    starts.sort();
    let within = |from: &Duration| {
        starts.iter().filter(|start| (*from..*from + 3 * MIN_BOUND).contains(start)).count()
    };
    starts.iter().map(within).max().unwrap_or(0)
}

#[test]
fn gateways_that_start_or_fail_together_spread_their_calls() {
    let mut fleet = callers(60, 60);
    assert!(
        max_calls_in_300_ms(
            fleet.iter_mut().map(|backoff| backoff.initial_delay(MAX_CALL_INTERVAL)).collect()
        ) < 15
    );
    assert!(
        max_calls_in_300_ms(fleet.iter_mut().map(|backoff| backoff.retry_delay(Duration::ZERO)).collect())
            < 15
    );
    let mut few = callers(100, 30);
    few.iter_mut()
        .for_each(|backoff| assert!(backoff.retry_delay(Duration::ZERO) <= 30 * SPREAD_PER_GATEWAY));
    let second: Vec<Duration> = few.iter_mut().map(|backoff| backoff.retry_delay(Duration::ZERO)).collect();
    assert!(
        second.iter().sum::<Duration>() > 60 * 30 * SPREAD_PER_GATEWAY,
        "expected doubled bounds, got delays {second:?}"
    );
}

#[test]
fn a_fleet_of_any_size_spreads_its_calls_evenly_within_the_maximum_interval() {
    for fleet in [300, 4_700] {
        let mut callers = callers(fleet, fleet);
        let first: Vec<Duration> =
            callers.iter_mut().map(|backoff| backoff.initial_delay(MAX_CALL_INTERVAL)).collect();
        assert!(first.iter().all(|start| *start <= MAX_CALL_START));
        let even_share = fleet as usize * 3 / 50;
        assert!(
            max_calls_in_300_ms(first.clone()) < 2 * even_share,
            "{} of {fleet} within 300 ms",
            max_calls_in_300_ms(first)
        );
        for call in [0, 100, 2_000, 5_000, 60_000].map(Duration::from_millis) {
            for _ in 0..10 {
                let next = callers.iter_mut().map(|backoff| call + backoff.retry_delay(call));
                let latest = next.max().expect("at least one caller");
                assert!(latest <= MAX_CALL_START.max(call + MIN_BOUND), "{latest:?} after {call:?}");
            }
        }
    }
}

#[test]
fn delays_are_short_if_calls_put_no_load_on_the_service() {
    let mut fleet = callers(100, 0);
    assert!(fleet.iter_mut().all(|backoff| backoff.initial_delay(MAX_CALL_INTERVAL) == Duration::ZERO));
    assert!(
        (0..10).all(|_| fleet.iter_mut().all(|backoff| backoff.retry_delay(Duration::ZERO) <= 2 * MIN_BOUND))
    );
}

#[test]
fn any_part_of_a_fleet_spreads_its_first_calls_evenly() {
    let first_calls = |numbers: std::ops::Range<u32>| -> Vec<Duration> {
        let numbered = numbers.map(|index| Backoff::new(7, 300).numbered(index));
        numbered.map(|mut backoff| backoff.initial_delay(MAX_CALL_INTERVAL)).collect()
    };
    // A tenth of the fleet, as in a rolling restart, has an even share of 3 calls in 300 ms.
    for tenth in 0..10 {
        let calls = first_calls(30 * tenth..30 * (tenth + 1));
        assert!(max_calls_in_300_ms(calls.clone()) <= 5, "{tenth}: {calls:?}");
    }
    let even_share = 300 * 3 / 35;
    assert!(max_calls_in_300_ms(first_calls(0..300)) <= even_share + 3);
}

#[test]
fn gateways_without_a_number_spread_their_first_calls_by_chance() {
    let mut fleet: Vec<Backoff> = (0..100).map(|seed| Backoff::new(seed, 4_700)).collect();
    let first: Vec<Duration> =
        fleet.iter_mut().map(|backoff| backoff.initial_delay(MAX_CALL_INTERVAL)).collect();
    assert!(first.iter().all(|delay| *delay <= MAX_CALL_INTERVAL));
    assert!(max_calls_in_300_ms(first) < 25, "the even share is 9");
}
