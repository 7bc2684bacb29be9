//! Computes the number by which a customer's quota is divided among gateways while the shared counter does not reply.
//!
//! A customer's requests arrive at a set of S gateways. With n of them active, including this one, a gateway uses 1/n
//! of the quota if 2n > S, else 1/S. Whatever each gateway knows of the others, the shares sum to less than
//! S / (S/2) = 2. If the gateways are partitioned into groups with equal views within each group, at most one group has
//! a majority, so the shares sum to at most 1 + (S - n)/S < 1.5.

use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tracks the gateways that count as active when quotas are divided. A gateway that is gone still counts for the
/// departure hold, so that quota shares grow late. A gateway that returns counts at once, so that they shrink at once.
#[derive(Debug)]
pub struct ActiveGateways {
    /// This gateway's number, which is its index among all gateways, from 0.
    local: u32,
    /// The number of all gateways, active or not.
    gateway_count: u32,
    /// How long a gateway that is gone still counts as active.
    departure_hold: Duration,
    /// When the gateway with each number was last active.
    last_active: BTreeMap<u32, Timestamp>,
}

impl ActiveGateways {
    /// Creates the state in which only the gateway number `local` out of `gateway_count` is active.
    pub fn new(local: u32, gateway_count: u32, departure_hold: Duration) -> ActiveGateways {
        let gateway_count = gateway_count.max(1);
        ActiveGateways { local, gateway_count, departure_hold, last_active: BTreeMap::new() }
    }

    /// Records that the gateways with these numbers are active now.
    pub fn update(&mut self, now: Timestamp, active: impl IntoIterator<Item = u32>) {
        for number in active {
            self.last_active.insert(number, now);
        }
        let departure_hold = self.departure_hold;
        self.last_active.retain(|_, last| now.saturating_duration_since(*last) <= departure_hold);
    }

    /// Returns the quota divisor of a customer whose requests arrive at `spread` consecutive gateways, starting with
    /// number `first` and wrapping around at the number of gateways.
    pub fn quota_divisor(&self, first: u32, spread: u32) -> u32 {
        let numbers = (0..spread).map(|offset| (first % self.gateway_count + offset) % self.gateway_count);
        let active = numbers.filter(|number| self.is_active(*number)).count() as u32;
        if 2 * active > spread {
            active
        } else {
            spread.max(1)
        }
    }

    fn is_active(&self, number: u32) -> bool {
        number == self.local || self.last_active.contains_key(&number)
    }
}

#[cfg(test)]
mod tests;
