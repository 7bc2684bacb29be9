//! How far the fleet document can be trusted without a leader's heartbeat. Shown to operators; no decision depends on it.

/// How long the last known document is trusted without a leader's heartbeat, and how that trust fades. Microseconds.
#[derive(Clone, Copy, Debug)]
pub struct VoterTrust {
    /// The document is trusted in full for this long after the last heartbeat.
    pub full_trust_us: u64,
    /// After that, trust declines linearly to nothing over this long.
    pub ramp_us: u64,
}

impl VoterTrust {
    /// The trust, from 1 down to 0, when the last heartbeat is this old.
    pub fn share(&self, heartbeat_age: u64) -> f64 {
        let overdue = heartbeat_age.saturating_sub(self.full_trust_us) as f64;
        (1.0 - overdue / self.ramp_us.max(1) as f64).clamp(0.0, 1.0)
    }
}
