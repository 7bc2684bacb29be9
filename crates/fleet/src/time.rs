//! The timestamps that are passed to the state machines of this crate, none of which reads a clock.

use serde::{Serialize, Serializer};
use std::ops::Add;
use std::time::Duration;

/// A point in time on a monotonic clock, in microseconds since the clock's origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Creates the timestamp that is this many microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Returns the microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this timestamp.
    pub fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp earlier by `span`, but at least the clock's origin.
    pub fn saturating_sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(micros(span)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0 + micros(span))
    }
}

/// Returns a duration in microseconds, rounded down.
pub fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

/// Serializes a duration as its number of microseconds.
pub(crate) fn serialize_micros<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    micros(*span).serialize(serializer)
}

/// Returns a random duration between 0.5 and 1.5 times `span`.
pub(crate) fn jittered(rng: &mut fastrand::Rng, span: Duration) -> Duration {
    Duration::from_micros((micros(span) as f64 * (0.5 + rng.f64())) as u64)
}
