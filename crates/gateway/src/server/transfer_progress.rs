//! Measures the progress of a streamed response, to detect transfers that are too slow.

use crate::relay::StreamSettings;
use std::cell::Cell;
use tokio::time::Instant;

/// The progress of a streamed response, measured in time windows.
pub(super) struct TransferProgress {
    bytes: Cell<u64>,
    window: Cell<TransferWindow>,
}

#[derive(Clone, Copy)]
struct TransferWindow {
    transfer_began: Instant,
    began: Instant,
    bytes_before: u64,
}

impl TransferProgress {
    pub(super) fn new() -> TransferProgress {
        let now = Instant::now();
        let window = TransferWindow { transfer_began: now, began: now, bytes_before: 0 };
        TransferProgress { bytes: Cell::new(0), window: Cell::new(window) }
    }

    /// Records the start of a transfer.
    pub(super) fn begin(&self) {
        let now = Instant::now();
        self.window.set(TransferWindow { transfer_began: now, began: now, bytes_before: self.bytes.get() });
    }

    /// Records transferred bytes.
    pub(super) fn add(&self, bytes: u64) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// Returns whether the transfer takes too long, or transferred too few bytes in the window that ends now.
    pub(super) fn is_too_slow(&self, settings: &StreamSettings) -> bool {
        let window = self.window.get();
        let now = Instant::now();
        let mut below_minimum = false;
        if now >= window.began + settings.window {
            below_minimum = self.bytes.get() - window.bytes_before < settings.min_window_bytes;
            self.window.set(TransferWindow { began: now, bytes_before: self.bytes.get(), ..window });
        }
        below_minimum || now >= window.transfer_began + settings.max_duration
    }
}
