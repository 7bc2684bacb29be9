//! The timing of a graceful shutdown.
//!
//! On SIGTERM `/_health` fails and idle connections are closed, but new ones are still accepted for
//! [`ACCEPT_AFTER_SIGTERM`]. Then the gateway waits for the responses to accepted requests, as long as the
//! platform permits: it sends SIGKILL no earlier than 0.7 s plus the longest deadline of a class after SIGTERM, where a
//! deadline longer than [`MAX_AWAITED_DEADLINE`] counts as that. Requests that have no response shortly before SIGKILL
//! are answered as failed.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// How long after SIGTERM new connections are accepted; the platform still routes some here for 0.4 s after it.
pub(super) const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(600);
/// Longer deadlines than this do not delay SIGKILL any further.
const MAX_AWAITED_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the longest deadline at which requests that are still open are answered as failed.
const FAIL_AFTER_DEADLINE: Duration = Duration::from_millis(400);
/// Time limit for sending these last responses.
pub(super) const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(200);

/// The point of a shutdown after which the gateway no longer waits for backends.
pub(super) struct ResponseDeadline {
    /// Time from SIGTERM to the deadline.
    pub(super) after_sigterm: Duration,
    expired: Cell<bool>,
    waiting: Notify,
}

impl ResponseDeadline {
    /// Creates the deadline for the longest deadline of all classes.
    pub(super) fn new(longest_deadline: Duration) -> ResponseDeadline {
        let after_sigterm = longest_deadline.min(MAX_AWAITED_DEADLINE) + FAIL_AFTER_DEADLINE;
        ResponseDeadline { after_sigterm, expired: Cell::new(false), waiting: Notify::new() }
    }

    /// Ends all present and future waits.
    pub(super) fn expire(&self) {
        self.expired.set(true);
        self.waiting.notify_waiters();
    }

    /// Waits until the deadline has passed.
    pub(super) async fn wait(&self) {
        // Single-threaded: nothing else runs between the check and the wait.
        if !self.expired.get() {
            self.waiting.notified().await;
        }
    }
}
