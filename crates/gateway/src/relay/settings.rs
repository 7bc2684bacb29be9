//! The `streaming` section of the configuration.

use crate::config::document::StreamingSection;
use crate::config_error::ConfigError;
use crate::http::MAX_BODY_BYTES;
use std::time::Duration;

const BYTES_PER_KB: usize = 1024;
/// All streams together may hold the memory limit of the gateway divided by this.
pub(super) const MEMORY_DIVISOR: usize = 4;
/// The memory of one stream besides the data that it holds back: the data read from the backend and the data being
/// written to the client, each up to the size of hyper's buffer.
pub(super) const STREAM_BUFFER_BYTES: usize = 4 * MAX_BODY_BYTES;

/// The settings of streamed responses and uploads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamSettings {
    /// How many bytes of a response are held back before the first one is sent to the client, and how many bytes of an
    /// upload are kept for replay.
    pub hold_bytes: usize,
    /// How long a new stream waits for memory.
    pub memory_wait: Duration,
    /// The minimum number of bytes to transfer in each window.
    pub min_window_bytes: u64,
    /// The length of a window.
    pub window: Duration,
    /// The maximum duration of a transfer.
    pub max_duration: Duration,
}

impl StreamSettings {
    /// Builds the settings from a section. `memory_bytes` is the memory limit of the entire gateway.
    pub fn from_section(
        section: &StreamingSection,
        memory_bytes: usize,
    ) -> Result<StreamSettings, ConfigError> {
        let hold_kb = section.hold_kb.get();
        let max_hold_kb = (memory_bytes / MEMORY_DIVISOR).saturating_sub(STREAM_BUFFER_BYTES) / BYTES_PER_KB;
        if hold_kb > max_hold_kb {
            let bound = format!("what limits.memory_mb leaves for one stream, {max_hold_kb}");
            return Err(ConfigError::new(format!("streaming.hold_kb: {hold_kb} is over {bound}")));
        }
        let window = section.window_ms.to_duration();
        let min_bytes_per_s = (section.least_kb_per_s.get() * BYTES_PER_KB) as f64;
        Ok(StreamSettings {
            hold_bytes: hold_kb * BYTES_PER_KB,
            memory_wait: section.wait_ms.to_duration(),
            min_window_bytes: (min_bytes_per_s * window.as_secs_f64()) as u64,
            window,
            max_duration: Duration::from_secs(section.longest_s.get() as u64),
        })
    }

    /// Returns the maximum memory of one stream.
    pub fn stream_memory_bytes(&self) -> usize {
        self.hold_bytes + STREAM_BUFFER_BYTES
    }
}
