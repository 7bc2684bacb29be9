//! The `streaming` section of the configuration.

use crate::config::document::StreamingSection;
use crate::config_error::ConfigError;
use crate::http::MAX_BODY_BYTES;
use std::time::Duration;

const BYTES_PER_KB: usize = 1024;
/// Streams may hold the gateway's memory divided by this.
pub(super) const MEMORY_DIVISOR: usize = 4;
/// What one stream may hold besides its start: what was read from the backend and what is being written to the client,
/// each up to hyper's buffer.
pub(super) const STREAM_BUFFER_BYTES: usize = 4 * MAX_BODY_BYTES;

/// The settings of streamed responses and uploads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamSettings {
    /// So many bytes of a response are held back before the client gets the first one, and so many of an upload are
    /// kept to be sent again.
    pub hold_bytes: usize,
    /// How long a new stream waits for memory.
    pub memory_wait: Duration,
    /// At least so many bytes must go through in each window.
    pub min_window_bytes: u64,
    /// How long a window is.
    pub window: Duration,
    /// A transfer ends after this time.
    pub max_duration: Duration,
}

impl StreamSettings {
    /// The settings that a section makes. `memory_bytes` is the memory of the whole gateway.
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

    /// The most that one stream may hold.
    pub fn stream_memory_bytes(&self) -> usize {
        self.hold_bytes + STREAM_BUFFER_BYTES
    }
}
