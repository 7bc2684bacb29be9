//! A gateway's clock: monotonic Unix time, comparable between gateways.

use lanespan_policy::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic Unix time: the system clock is read once, and the time elapsed since then is measured with the monotonic
/// clock.
#[derive(Clone, Copy)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Starts the clock at the system time plus an offset in milliseconds.
    pub fn start(offset_ms: i64) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_micros = offset_ms.saturating_mul(1_000);
        let base = Micros((unix.as_micros() as u64).saturating_add_signed(offset_micros));
        Clock { base, start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// Converts an instant to this clock's time.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + Micros(instant.saturating_duration_since(self.start).as_micros() as u64)
    }

    /// Converts this clock's time to an instant.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros((time - self.base).0)
    }
}
