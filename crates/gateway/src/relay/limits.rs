//! The settings and the memory limit that all streams share.

use super::settings::{StreamSettings, MEMORY_DIVISOR};
use crate::memory::{Holder, MemoryAccount, Reservation};
use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory of one stream. Dropping it releases the memory.
#[derive(Debug)]
pub struct StreamMemory {
    _share: OwnedSemaphorePermit,
    _reservation: Reservation,
}

/// The settings and the memory limit that all streams share.
pub struct StreamLimits {
    settings: Cell<Option<StreamSettings>>,
    /// The last settings that were not `None`, for streams that have not ended yet.
    last_settings: Cell<Option<StreamSettings>>,
    /// The share of the account that streams may use, with one permit per byte.
    memory: Arc<Semaphore>,
    memory_bytes: usize,
    account: MemoryAccount,
}

impl StreamLimits {
    /// Creates the limits. `gateway_memory_bytes` is the memory limit of the entire gateway, and `account` that of which
    /// the memory of streams and of responses is reserved.
    pub fn new(
        settings: Option<StreamSettings>,
        gateway_memory_bytes: usize,
        account: MemoryAccount,
    ) -> StreamLimits {
        let memory_bytes = gateway_memory_bytes / MEMORY_DIVISOR;
        StreamLimits {
            settings: Cell::new(settings),
            last_settings: Cell::new(settings),
            memory: Arc::new(Semaphore::new(memory_bytes)),
            memory_bytes,
            account,
        }
    }

    /// Returns the account of the gateway's memory.
    pub fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// Returns the settings in force, or `None` if nothing is streamed.
    pub fn settings(&self) -> Option<StreamSettings> {
        self.settings.get()
    }

    /// Returns the settings for open streams, which stay in force after the section is removed.
    pub fn last_settings(&self) -> Option<StreamSettings> {
        self.last_settings.get()
    }

    /// Returns the memory that is reserved for open streams.
    pub fn reserved_bytes(&self) -> usize {
        self.memory_bytes - self.memory.available_permits()
    }

    /// Applies new settings. The memory limit remains as it was at startup.
    pub fn configure(&self, settings: Option<StreamSettings>) {
        self.settings.set(settings);
        self.last_settings.set(settings.or(self.last_settings.get()));
    }

    /// Reserves memory for a stream. Waits until other streams have released enough.
    pub async fn reserve(&self, bytes: usize) -> Option<StreamMemory> {
        // A new configuration may require more than the limit set at startup. A stream then reserves all of it.
        let bytes = bytes.min(self.memory_bytes);
        // The semaphore is never closed.
        let share = self.memory.clone().acquire_many_owned(bytes as u32).await.ok()?;
        let reservation = self.account.reserve(Holder::Streams, bytes).await;
        Some(StreamMemory { _share: share, _reservation: reservation })
    }
}
