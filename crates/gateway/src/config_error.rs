//! Why a gateway can't start with its configuration.

use std::fmt;

/// A configuration that a gateway can't start with; one plain line.
#[derive(Debug)]
pub struct ConfigError(pub(crate) String);

impl ConfigError {
    pub(crate) fn new(line: String) -> ConfigError {
        ConfigError(line)
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for ConfigError {}

impl From<lanespan_policy::api::SettingsError> for ConfigError {
    fn from(e: lanespan_policy::api::SettingsError) -> ConfigError {
        ConfigError(format!("settings: {e}"))
    }
}
