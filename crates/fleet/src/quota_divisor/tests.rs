use super::*;

const DEPARTURE_HOLD: Duration = Duration::from_secs(5);

/// Returns the state of gateway `local` out of `gateway_count` after an update with these active gateways.
fn with_active(local: u32, gateway_count: u32, active: impl Iterator<Item = u32>) -> ActiveGateways {
    let mut active_gateways = ActiveGateways::new(local, gateway_count, DEPARTURE_HOLD);
    active_gateways.update(Timestamp::default(), active);
    active_gateways
}

#[test]
fn quota_shares_of_any_partition_sum_to_less_than_one_and_a_half() {
    for spread in 1..=8u32 {
        // Each gateway of the set is in one of four groups, given by its base-4 digit of `partition`.
        for partition in 0..4u32.pow(spread) {
            let group = |number: u32| partition / 4u32.pow(number) % 4;
            let share = |local: u32| {
                let reachable = (0..spread).filter(|other| group(*other) == group(local));
                1.0 / f64::from(with_active(local, spread, reachable).quota_divisor(0, spread))
            };
            let sum: f64 = (0..spread).map(share).sum();
            assert!((0.999..1.5).contains(&sum), "{spread} gateways, partition {partition}: {sum}");
        }
    }
}

#[test]
fn quota_shares_sum_to_less_than_two_for_any_views() {
    for spread in 1..=9u32 {
        let divisors = (1..=spread).map(|active| with_active(0, spread, 0..active).quota_divisor(0, spread));
        let largest_share = divisors.min().map_or(0.0, |least| 1.0 / f64::from(least));
        assert!(f64::from(spread) * largest_share < 2.0, "{spread} gateways");
    }
}

#[test]
fn quota_shares_grow_after_the_departure_hold_and_shrink_at_once() {
    let mut active_gateways = with_active(0, 10, 0..4);
    let hold_end = Timestamp::default() + DEPARTURE_HOLD;
    active_gateways.update(hold_end, 0..3);
    assert_eq!(active_gateways.quota_divisor(0, 4), 4, "the departure hold is not over");
    active_gateways.update(hold_end + Duration::from_micros(1), 0..3);
    assert_eq!(active_gateways.quota_divisor(0, 4), 3);
    active_gateways.update(hold_end + Duration::from_micros(2), 0..4);
    assert_eq!(active_gateways.quota_divisor(0, 4), 4);
    // The set wraps around at the number of gateways, and the local gateway always counts as active.
    let wrapping = with_active(9, 10, 0..4);
    assert_eq!(wrapping.quota_divisor(9, 3), 3);
    assert_eq!(wrapping.quota_divisor(8, 3), 2, "number 8 was never active");
}
