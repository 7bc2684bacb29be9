//! Records whether bytes were sent or received in the current call of a connection.

use crate::tapped::Tap;
use std::cell::Cell;
use std::rc::Rc;

/// Whether bytes were sent or received since the current call began.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: Cell<bool>,
    received: Cell<bool>,
}

impl Traffic {
    /// Clears the record at the start of a call.
    pub(super) fn reset(&self) {
        self.sent.set(false);
        self.received.set(false);
    }

    /// Returns whether any byte was sent.
    pub fn has_sent(&self) -> bool {
        self.sent.get()
    }

    /// Returns whether any byte was received.
    pub fn has_received(&self) -> bool {
        self.received.get()
    }
}

impl Tap for Rc<Traffic> {
    fn bytes_read(&self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.received.set(true);
        }
    }
    fn bytes_written(&self, count: usize) {
        if count > 0 {
            self.sent.set(true);
        }
    }
}
