//! A token bucket of quota units.

use crate::Micros;

/// A bucket of units that refills at a constant rate. Its level may be set below zero.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    /// Number of units in the bucket.
    pub(crate) level: f64,
    /// Maximum number of units in the bucket.
    pub(crate) depth: f64,
    /// Refill rate in units per second.
    pub(crate) refill_rate: f64,
    /// When the level was last updated.
    pub(crate) updated_at: Micros,
}

impl TokenBucket {
    /// Adds the units accrued since the last update.
    pub(crate) fn refill(&mut self, now: Micros) {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.level = (self.level + self.refill_rate * elapsed).min(self.depth);
        self.updated_at = now.max(self.updated_at);
    }

    /// Takes units if the bucket holds enough. Returns whether it did.
    pub(crate) fn try_take(&mut self, now: Micros, units: f64) -> bool {
        self.refill(now);
        let enough = self.level >= units;
        if enough {
            self.level -= units;
        }
        enough
    }

    /// Returns units to the bucket, up to its depth.
    pub(crate) fn put_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.depth);
    }
}
