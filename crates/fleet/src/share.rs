//! By how many gateways a customer's local share is divided while the counter is silent.
//!
//! A customer's requests come through S gateways in a row. With n of them believed present, this one among them, its
//! share is 1/n where 2n > S, else 1/S. Whatever each gateway believes, shares sum to less than S / (S/2) = 2; and
//! where gateways are split into parts that each agree within themselves, one part at most holds a majority, so that
//! they sum to 1 + (S - n)/S < 1.5.

use std::collections::BTreeMap;

/// The gateways believed present, by their numbers, from whose absence shares grow late and from whose return they
/// shrink at once.
#[derive(Debug, Default)]
pub struct Shares {
    /// When each number was last seen present, in microseconds.
    seen: BTreeMap<u32, u64>,
}

impl Shares {
    /// These numbers are present now; those gone for longer than `hold` no longer count. Both in microseconds.
    pub fn update(&mut self, now: u64, hold: u64, present: impl Iterator<Item = u32>) {
        present.for_each(|number| _ = self.seen.insert(number, now));
        self.seen.retain(|_, at| now.saturating_sub(*at) <= hold);
    }

    /// By how many the share of a customer is divided who comes through `spread` gateways from number `first` on,
    /// counted round `gateways`. This one counts as present where it is one of them.
    pub fn divisor(&self, me: u32, first: u32, spread: u32, gateways: u32) -> u32 {
        let gateways = gateways.max(1);
        let set = (0..spread).map(|step| (first % gateways + step) % gateways);
        let present = set.filter(|number| *number == me || self.seen.contains_key(number)).count() as u32;
        if 2 * present > spread {
            present
        } else {
            spread.max(1)
        }
    }
}

#[cfg(test)]
mod tests {
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
}
