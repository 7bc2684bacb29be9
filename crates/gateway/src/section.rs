//! A section of the configuration, read key by key. What is wrong is told in one plain line that names the key.

use super::config_error::ConfigError;
use serde_json::{Map, Value};
use std::fmt;
use std::time::Duration;

/// The longest span that a key may name.
const LONGEST_MS: usize = 3_600_000;

/// A section as it stands in the file.
pub(crate) struct Section<'a> {
    name: &'static str,
    fields: Option<&'a Map<String, Value>>,
}

impl<'a> Section<'a> {
    /// A section that may be absent and holds none but these keys.
    pub(crate) fn new(
        name: &'static str,
        value: &'a Value,
        keys: &[&str],
    ) -> Result<Section<'a>, ConfigError> {
        let fields = match value {
            Value::Null => None,
            Value::Object(fields) => Some(fields),
            other => return Err(ConfigError::new(format!("{name}: expected an object, found {other}"))),
        };
        let section = Section { name, fields };
        match fields.and_then(|fields| fields.keys().find(|key| !keys.contains(&key.as_str()))) {
            Some(key) => Err(section.problem(key, format!("unknown; known are {}", keys.join(", ")))),
            None => Ok(section),
        }
    }

    /// Whether there is one.
    pub(crate) fn is_there(&self) -> bool {
        self.fields.is_some()
    }

    fn get(&self, key: &str) -> Option<&Value> {
        self.fields.and_then(|fields| fields.get(key))
    }

    fn problem(&self, key: &str, what: impl fmt::Display) -> ConfigError {
        ConfigError::new(format!("{}.{key}: {what}", self.name))
    }

    /// A whole number from 1 to `most`.
    pub(crate) fn whole(&self, key: &str, default: usize, most: usize) -> Result<usize, ConfigError> {
        let Some(value) = self.get(key) else { return Ok(default.clamp(1, most)) };
        let number = value.as_u64().and_then(|n| usize::try_from(n).ok()).filter(|n| (1..=most).contains(n));
        let wanted = || format!("expected a whole number from 1 to {most}, found {value}");
        number.ok_or_else(|| self.problem(key, wanted()))
    }

    /// A time in milliseconds.
    pub(crate) fn span(&self, key: &str, default: Duration) -> Result<Duration, ConfigError> {
        let default = usize::try_from(default.as_millis()).unwrap_or(LONGEST_MS);
        self.whole(key, default, LONGEST_MS).map(|ms| Duration::from_millis(ms as u64))
    }

    /// True or false.
    pub(crate) fn flag(&self, key: &str, default: bool) -> Result<bool, ConfigError> {
        match self.get(key) {
            None => Ok(default),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(value) => Err(self.problem(key, format!("expected true or false, found {value}"))),
        }
    }

    /// One value must not be over another.
    pub(crate) fn at_most<T: PartialOrd + fmt::Debug>(
        &self,
        key: &str,
        value: T,
        bound: &str,
        most: T,
    ) -> Result<(), ConfigError> {
        if value <= most {
            return Ok(());
        }
        Err(self.problem(key, format!("{value:?} is over {bound}, {most:?}")))
    }
}
