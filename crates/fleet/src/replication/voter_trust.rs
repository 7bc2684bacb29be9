//! The trust in the fleet document while no leader's heartbeat arrives. Shown to operators; no decision depends on it.

/// How long the last known document is trusted without a leader's heartbeat, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct VoterTrust {
    /// How long after the last heartbeat the document is trusted in full.
    pub full_trust_us: u64,
    /// The time over which the trust then declines linearly from 1 to 0.
    pub ramp_us: u64,
}

impl VoterTrust {
    /// Returns the trust, between 0 and 1, for the age of the last heartbeat in microseconds.
    pub fn share(&self, heartbeat_age_us: u64) -> f64 {
        let overdue_us = heartbeat_age_us.saturating_sub(self.full_trust_us) as f64;
        (1.0 - overdue_us / self.ramp_us.max(1) as f64).clamp(0.0, 1.0)
    }
}
