//! Points in time and time spans in microseconds.

use std::ops::{Add, Sub};

/// A point in time or a span, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// Creates a span of the given number of milliseconds.
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis * 1_000)
    }

    /// Creates a span of the given number of seconds.
    pub const fn from_secs(seconds: u64) -> Micros {
        Micros(seconds * 1_000_000)
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the span scaled by `factor`, never below zero.
    pub fn mul_f64(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor).max(0.0) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;

    /// Subtracts, saturating at zero.
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}
