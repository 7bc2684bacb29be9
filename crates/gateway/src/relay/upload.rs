//! A client's upload, which is forwarded as it arrives. The data received so far is kept while it fits into the replay
//! buffer, so that another attempt can send it again. Once it no longer fits, the upload is bound to the attempt that
//! sends it.

mod reader;
mod state;

pub use reader::{SendState, UploadReader};
pub use state::UploadSource;

use super::{StreamMemory, StreamSettings};
use state::UploadState;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// A client's upload and its progress.
pub struct Upload {
    state: RefCell<UploadState>,
    received_bytes: Cell<u64>,
    started_at: Instant,
    window: Cell<ReceiveWindow>,
    /// How long the client waits for the response after the last byte of the upload.
    response_timeout: Duration,
    /// Notified when the upload becomes bound, complete or closed.
    changed: Notify,
    _memory: StreamMemory,
}

/// A period in which the client must send a minimum number of bytes.
#[derive(Clone, Copy)]
struct ReceiveWindow {
    started_at: Instant,
    bytes_before: u64,
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an upload with {} bytes received", self.received_bytes.get())
    }
}

impl Upload {
    /// Creates an upload. Nothing is read from `source` before an attempt reads the upload.
    pub fn new(
        source: UploadSource,
        replay_bytes: usize,
        response_timeout: Duration,
        memory: StreamMemory,
    ) -> Rc<Upload> {
        let now = Instant::now();
        Rc::new(Upload {
            state: RefCell::new(UploadState::new(source, replay_bytes)),
            received_bytes: Cell::new(0),
            started_at: now,
            window: Cell::new(ReceiveWindow { started_at: now, bytes_before: 0 }),
            response_timeout,
            changed: Notify::new(),
            _memory: memory,
        })
    }

    /// Returns whether the client has sent the complete upload.
    pub fn is_complete(&self) -> bool {
        self.state.borrow().is_complete()
    }

    /// Returns whether an attempt has begun to read the upload, and the client has not sent all of it yet.
    pub fn is_being_read(&self) -> bool {
        self.received_bytes.get() > 0 && !self.state.borrow().is_over()
    }

    /// Returns whether only this attempt can send the upload.
    pub fn is_bound_to(&self, attempt: usize) -> bool {
        self.state.borrow().is_bound_to(attempt)
    }

    /// Returns whether a new attempt could send everything that was received so far.
    pub fn is_replayable(&self) -> bool {
        self.state.borrow().is_replayable()
    }

    /// Returns whether the upload is incomplete because of the client: it broke off, or a reader waits for more data.
    pub fn awaits_client(&self) -> bool {
        self.state.borrow().awaits_client()
    }

    /// Waits until only this attempt can send the upload.
    pub async fn wait_until_bound_to(&self, attempt: usize) {
        self.wait_until(|upload| upload.is_bound_to(attempt)).await;
    }

    async fn wait_until(&self, condition: impl Fn(&Upload) -> bool) {
        let mut changed = std::pin::pin!(self.changed.notified());
        loop {
            changed.as_mut().enable();
            if condition(self) {
                return;
            }
            changed.as_mut().await;
            changed.set(self.changed.notified());
        }
    }

    /// Closes the upload, because its request was answered or its client disconnected.
    pub fn close(&self) {
        self.state.borrow_mut().close();
        self.changed.notify_waiters();
    }

    /// Returns whether the client exceeded the maximum duration, or sent less than the minimum in the window that just
    /// ended. The window restarts while no reader waits for the client.
    pub fn is_client_too_slow(&self, settings: &StreamSettings) -> bool {
        let (is_over, is_stalled) = {
            let state = self.state.borrow();
            (state.is_over(), state.is_stalled())
        };
        if is_over {
            return false;
        }
        let (now, window) = (Instant::now(), self.window.get());
        let received = self.received_bytes.get();
        let window_ended = now >= window.started_at + settings.window;
        if !is_stalled || window_ended {
            self.window.set(ReceiveWindow { started_at: now, bytes_before: received });
        }
        let below_minimum =
            is_stalled && window_ended && received - window.bytes_before < settings.min_window_bytes;
        below_minimum || now >= self.started_at + settings.max_duration
    }

    /// Waits until a bound attempt times out: its backend accepted less than the minimum in a window at whose end no
    /// reader waits for the client, or has not responded in time after the last byte.
    pub async fn wait_for_backend_timeout(&self, settings: &StreamSettings) {
        while !self.is_complete() {
            let received_before = self.received_bytes.get();
            tokio::select! {
                () = sleep(settings.window) => {}
                () = self.wait_until(Upload::is_complete) => break,
            }
            let received = self.received_bytes.get() - received_before;
            let state = self.state.borrow();
            if !state.is_complete() && !state.is_stalled() && received < settings.min_window_bytes {
                return;
            }
        }
        let completed_at = self.state.borrow().completed_at();
        sleep_until(completed_at.unwrap_or_else(Instant::now) + self.response_timeout).await;
    }
}

#[cfg(test)]
mod tests;
