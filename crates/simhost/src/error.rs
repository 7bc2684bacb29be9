//! Errors in the simulator's input.

use lanespan_policy::SettingsError;
use lanespan_settings::FieldError;

/// An invalid line, or an invalid end, of the simulator's input.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// A field of the line is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A line other than `TICK` was found outside a batch.
    #[error("{place}: message outside a batch, expected TICK first")]
    OutsideBatch {
        /// The line number and message type.
        place: String,
    },
    /// A line other than `ITEM` was found before the last entry of an endpoint list.
    #[error("{place}: endpoint list is incomplete, expected ITEM")]
    IncompleteList {
        /// The line number and message type.
        place: String,
    },
    /// An entry of an endpoint list was found outside a list.
    #[error("{place}: endpoint list entry outside a list, expected FLEET first")]
    EntryOutsideList {
        /// The line number and message type.
        place: String,
    },
    /// No gateway instance has been selected in this batch.
    #[error("{place}: no gateway instance is selected, expected FOR first")]
    NoInstance {
        /// The line number and message type.
        place: String,
    },
    /// The settings of a gateway instance are invalid.
    #[error("{place}: invalid settings: {reason}")]
    Settings {
        /// The line number and message type.
        place: String,
        /// The violated constraint.
        reason: SettingsError,
    },
    /// The input ended inside a batch.
    #[error("line {line}: input ended inside a batch, expected FLUSH")]
    UnfinishedBatch {
        /// The number of the last line.
        line: u64,
    },
}
