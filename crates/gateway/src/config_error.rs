//! The error of an invalid configuration.

/// An invalid configuration, with which a gateway can't start. Holds all problems, one line each.
#[derive(Debug, thiserror::Error)]
#[error("{}", .0.join("; "))]
pub struct ConfigError(Vec<String>);

impl ConfigError {
    pub(crate) fn new(problem: String) -> ConfigError {
        ConfigError(vec![problem])
    }

    /// Returns the problems, one line each.
    pub fn lines(&self) -> &[String] {
        &self.0
    }

    /// Prefixes each problem with `location`, such as the name of the file.
    pub(crate) fn with_location(self, location: &str) -> ConfigError {
        self.with_locations(|_| location.to_string())
    }

    /// Prefixes each problem with the location that `location_of` returns for it.
    pub(crate) fn with_locations(self, location_of: impl Fn(&str) -> String) -> ConfigError {
        ConfigError(self.0.into_iter().map(|line| format!("{}: {line}", location_of(&line))).collect())
    }
}

impl From<Vec<String>> for ConfigError {
    fn from(lines: Vec<String>) -> ConfigError {
        ConfigError(lines)
    }
}

impl From<lanespan_policy::SettingsError> for ConfigError {
    fn from(error: lanespan_policy::SettingsError) -> ConfigError {
        ConfigError::new(format!("settings: {error}"))
    }
}
