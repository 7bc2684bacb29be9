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
mod tests;
