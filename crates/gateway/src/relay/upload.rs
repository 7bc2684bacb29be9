//! A client's upload, which is passed on as it arrives. What has arrived so far is kept while it fits into the replay
//! buffer, so that another attempt can send it again. Past that the upload is bound to the attempt that carries it.

mod reader;
mod state;

pub use reader::{SendState, UploadReader};
pub use state::UploadSource;

use super::StreamSettings;
use state::UploadState;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::{sleep, sleep_until, Instant};

/// One upload: what its client sends, and how far it is.
pub struct Upload {
    state: RefCell<UploadState>,
    received_bytes: Cell<u64>,
    began: Instant,
    window: Cell<ReceiveWindow>,
    /// How long its client waits for the response, from the last byte on.
    budget: Duration,
    /// It became bound, complete or closed.
    changed: Notify,
    _memory: OwnedSemaphorePermit,
}

/// A span of time in which a client must send a minimum.
#[derive(Clone, Copy)]
struct ReceiveWindow {
    began: Instant,
    bytes_before: u64,
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an upload, {} bytes so far", self.received_bytes.get())
    }
}

impl Upload {
    /// An upload of which nothing has been read, nor will be before an attempt asks for it.
    pub fn new(
        source: UploadSource,
        replay_bytes: usize,
        budget: Duration,
        memory: OwnedSemaphorePermit,
    ) -> Rc<Upload> {
        let now = Instant::now();
        Rc::new(Upload {
            state: RefCell::new(UploadState::new(source, replay_bytes)),
            received_bytes: Cell::new(0),
            began: now,
            window: Cell::new(ReceiveWindow { began: now, bytes_before: 0 }),
            budget,
            changed: Notify::new(),
            _memory: memory,
        })
    }

    /// Whether the client has sent all of it.
    pub fn is_complete(&self) -> bool {
        self.state.borrow().is_complete()
    }

    /// Whether only this attempt can carry it.
    pub fn is_bound_to(&self, attempt: usize) -> bool {
        self.state.borrow().is_bound_to(attempt)
    }

    /// Whether an attempt that begins now would find all that has arrived.
    pub fn is_replayable(&self) -> bool {
        self.state.borrow().is_replayable()
    }

    /// Whether more is to come from the client, and has not arrived.
    pub fn awaits_client(&self) -> bool {
        self.state.borrow().awaits_client()
    }

    /// Waits until only this attempt can carry it.
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

    /// Nothing more of it is wanted: its request has been answered, or its client has disconnected.
    pub fn close(&self) {
        self.state.borrow_mut().close();
        self.changed.notify_waiters();
    }

    /// Whether its client takes too long, or sent too little in the window that ends now. While the client is not
    /// waited for, the window begins anew.
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
        let window_ended = now >= window.began + settings.window;
        if !is_stalled || window_ended {
            self.window.set(ReceiveWindow { began: now, bytes_before: received });
        }
        let below_minimum =
            is_stalled && window_ended && received - window.bytes_before < settings.min_window_bytes;
        below_minimum || now >= self.began + settings.max_duration
    }

    /// Waits until the time of a bound attempt is over: its backend took too little in a window, or has not answered
    /// within the budget from the last byte on.
    pub async fn backend_time_limit(&self, settings: &StreamSettings) {
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
        sleep_until(completed_at.unwrap_or_else(Instant::now) + self.budget).await;
    }
}

#[cfg(test)]
mod tests;
