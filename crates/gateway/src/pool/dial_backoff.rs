//! Exponential backoff after failed dials to one backend.

use super::settings::PoolSettings;
use tokio::time::Instant;

/// The maximum number of doublings of the pause, which keeps the shift in range. The configured maximum is reached long
/// before.
const MAX_DOUBLINGS: u32 = 20;

/// The backoff of dials to one backend.
#[derive(Debug, Default)]
pub(super) struct DialBackoff {
    /// Consecutive failures.
    failures: u32,
    /// The end of the pause after the last failure.
    retry_at: Option<Instant>,
}

impl DialBackoff {
    /// Returns whether the last dial failed.
    pub(super) fn is_failing(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Returns whether another connection may be dialled. After a failure, only one dial at a time is allowed once the
    /// pause is over, until a dial succeeds.
    pub(super) fn may_dial(&self, now: Instant, dialling: usize) -> bool {
        self.retry_at.is_none_or(|at| now >= at && dialling == 0)
    }

    /// Resets the backoff after a successful dial.
    pub(super) fn succeeded(&mut self) {
        *self = DialBackoff::default();
    }

    /// Starts the next pause after a failed dial. Concurrent dials fail for the same reason and count as one failure.
    /// `jitter` is from 0 to 1.
    pub(super) fn failed(&mut self, now: Instant, jitter: f64, settings: &PoolSettings) {
        if self.retry_at.is_some_and(|at| now < at) {
            return;
        }
        let doubled = settings.min_backoff.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        let pause = doubled.min(settings.max_backoff).mul_f64(0.5 + 0.5 * jitter);
        self.failures += 1;
        self.retry_at = Some(now + pause);
    }
}
