//! Schedules rejoin attempts: requests to a seed address or to a dead member, at which there is no active member.

use crate::time::{jittered, Timestamp};
use std::net::SocketAddr;
use std::time::Duration;

/// The interval of rejoin attempts while other members are active, in probe periods.
const INTERVAL_PROBE_PERIODS: u32 = 5;
/// The longest interval of rejoin attempts while no other member is active, in probe periods.
const MAX_LONE_INTERVAL_PROBE_PERIODS: u32 = 10;
/// The maximum number of times that the backoff doubles while no other member is active.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// The schedule of rejoin attempts.
pub(super) struct Rejoin {
    next_attempt_at: Timestamp,
    /// The number of consecutive attempts while no other member was active.
    lone_attempts: u32,
}

impl Rejoin {
    pub(super) fn new(now: Timestamp) -> Rejoin {
        Rejoin { next_attempt_at: now, lone_attempts: 0 }
    }

    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_attempt_at
    }

    /// Makes the next attempt due at once.
    pub(super) fn schedule_now(&mut self, now: Timestamp) {
        self.next_attempt_at = now;
    }

    /// Schedules the next attempt and returns a random missing address to contact now, if there is one. While no other
    /// member is active, attempts start at a short interval and back off.
    pub(super) fn attempt(
        &mut self,
        now: Timestamp,
        is_alone: bool,
        missing: &[SocketAddr],
        probe_period: Duration,
        rng: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        let interval = match is_alone {
            true => {
                self.lone_attempts = self.lone_attempts.saturating_add(1);
                let backoff = probe_period * (1 << self.lone_attempts.min(MAX_BACKOFF_DOUBLINGS));
                backoff.min(probe_period * MAX_LONE_INTERVAL_PROBE_PERIODS)
            }
            false => {
                self.lone_attempts = 0;
                probe_period * INTERVAL_PROBE_PERIODS
            }
        };
        self.next_attempt_at = now + jittered(rng, interval);
        if missing.is_empty() {
            return None;
        }
        Some(missing[rng.usize(..missing.len())])
    }
}
