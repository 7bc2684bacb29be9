//! Records whether bytes were sent or received in the current call of a connection.

use crate::tapped::Tap;
use std::cell::Cell;
use std::rc::Rc;

/// Whether bytes were sent or received, and whether the response waits for memory, since the current call began.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: Cell<bool>,
    received: Cell<bool>,
    awaits_memory: Cell<bool>,
}

impl Traffic {
    /// Clears the record at the start of a call.
    pub(super) fn reset(&self) {
        self.sent.set(false);
        self.received.set(false);
        self.awaits_memory.set(false);
    }

    /// Records whether the response waits for memory, so that nothing is read.
    pub(super) fn set_awaits_memory(&self, awaits_memory: bool) {
        self.awaits_memory.set(awaits_memory);
    }

    /// Returns whether the response waits for memory.
    pub fn awaits_memory(&self) -> bool {
        self.awaits_memory.get()
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
