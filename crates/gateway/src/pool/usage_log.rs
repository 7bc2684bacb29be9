//! Logs the pool usage at a limited rate and only when it changed.

use super::stats::{Counters, Gauges};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// The minimum interval between log lines.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// The counters that were logged last, and when.
#[derive(Default)]
pub(super) struct UsageLog {
    counters: Cell<Counters>,
    logged_at: Cell<Option<Instant>>,
}

impl UsageLog {
    /// Logs the pool usage if the counters changed and [`MIN_INTERVAL`] has passed since the last log line.
    pub(super) fn log(&self, counters: Counters, gauges: Gauges) {
        let now = Instant::now();
        if self.logged_at.get().is_none_or(|at| now >= at + MIN_INTERVAL) {
            self.log_now(counters, gauges);
        }
    }

    /// Logs the pool usage if the counters changed.
    pub(super) fn log_now(&self, counters: Counters, gauges: Gauges) {
        if counters == self.counters.get() {
            return;
        }
        self.counters.set(counters);
        self.logged_at.set(Some(Instant::now()));
        let reuse = format!("{:.3}", counters.reused as f64 / counters.used.max(1) as f64);
        info!(
            open = gauges.open(),
            idle = gauges.idle,
            in_use = gauges.in_use,
            waiting = gauges.waiting,
            used = counters.used,
            dials = counters.dials,
            warmed = counters.preconnected,
            failed = counters.failed,
            reuse,
            stale = counters.stale,
            retired = counters.retired,
            evicted = counters.evicted,
            denied = counters.denied,
            "pool"
        );
    }
}
