use super::*;

const HOLD: u64 = 5_000_000;

fn believing(present: impl Iterator<Item = u32>) -> Shares {
    let mut shares = Shares::default();
    shares.update(0, HOLD, present);
    shares
}

#[test]
fn shares_of_any_split_sum_to_less_than_one_and_a_half() {
    for spread in 1..=8u32 {
        // Each gateway of the set is in one of four parts.
        for split in 0..4u32.pow(spread) {
            let part = |number: u32| split / 4u32.pow(number) % 4;
            let share = |me: u32| {
                let side = (0..spread).filter(|other| part(*other) == part(me));
                1.0 / f64::from(believing(side).divisor(me, 0, spread, spread))
            };
            let sum: f64 = (0..spread).map(share).sum();
            assert!((0.999..1.5).contains(&sum), "{spread} gateways, split {split}: {sum}");
        }
    }
}

#[test]
fn shares_sum_to_less_than_two_whatever_each_believes() {
    for spread in 1..=9u32 {
        let least = (1..=spread).map(|present| believing(0..present).divisor(0, 0, spread, spread));
        let widest = least.min().map_or(0.0, |least| 1.0 / f64::from(least));
        assert!(f64::from(spread) * widest < 2.0, "{spread}");
    }
}

#[test]
fn shares_grow_late_and_shrink_at_once() {
    let mut shares = believing(0..4);
    shares.update(HOLD, HOLD, 0..3);
    assert_eq!(shares.divisor(0, 0, 4, 10), 4, "not long enough");
    shares.update(HOLD + 1, HOLD, 0..3);
    assert_eq!(shares.divisor(0, 0, 4, 10), 3);
    shares.update(HOLD + 2, HOLD, 0..4);
    assert_eq!(shares.divisor(0, 0, 4, 10), 4);
    // A set may go round the end, and a gateway of the set is there for itself.
    assert_eq!(shares.divisor(9, 9, 3, 10), 3);
    assert_eq!(shares.divisor(9, 8, 3, 10), 2, "number 8 was never seen");
}
