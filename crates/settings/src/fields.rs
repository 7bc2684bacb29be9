//! Named text values, and their conversion to numbers, durations and booleans.

use lanespan_policy::Micros;
use std::collections::HashMap;
use std::str::FromStr;

/// Why a named value can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// A part of a line is not a pair of name and value.
    #[error("{place}: expected name=value, found '{part}'")]
    NotAPair {
        /// The line that holds the part.
        place: String,
        /// The part that has no `=`.
        part: String,
    },
    /// A value is missing or invalid.
    #[error("{place}: {name}: expected {expected}, found {}", describe_found(.found))]
    Unexpected {
        /// The line or configuration section that should hold the value.
        place: String,
        /// The name of the value.
        name: String,
        /// A description of the valid values.
        expected: String,
        /// The value, or `None` if it is missing.
        found: Option<String>,
    },
}

fn describe_found(found: &Option<String>) -> String {
    found.as_ref().map_or("nothing".to_string(), |value| format!("'{value}'"))
}

impl FieldError {
    /// Returns the name of the invalid or missing value.
    pub fn field(&self) -> Option<&str> {
        match self {
            FieldError::NotAPair { .. } => None,
            FieldError::Unexpected { name, .. } => Some(name),
        }
    }
}

/// Named values from one source.
pub struct Fields<'a> {
    /// The source of the values, as shown in errors: `line 3: START` or a configuration section.
    pub place: String,
    /// The type of the message that holds the values.
    pub message_type: &'a str,
    /// The values as text, by their names.
    pub pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    /// Parses a line of the simulator's protocol: the type of the message, then `name=value` for each value.
    pub fn parse(line_number: u64, line: &'a str) -> Result<Fields<'a>, FieldError> {
        let mut parts = line.split(' ');
        let message_type = parts.next().unwrap_or("");
        let place = format!("line {line_number}: {message_type}");
        let mut pairs = HashMap::new();
        for part in parts {
            let Some((name, value)) = part.split_once('=') else {
                return Err(FieldError::NotAPair { place, part: part.to_string() });
            };
            pairs.insert(name, value);
        }
        Ok(Fields { place, message_type, pairs })
    }

    /// Returns the error for a missing or invalid value.
    pub fn unexpected(&self, name: &str, expected: &str) -> FieldError {
        FieldError::Unexpected {
            place: self.place.clone(),
            name: name.to_string(),
            expected: expected.to_string(),
            found: self.pairs.get(name).map(|value| value.to_string()),
        }
    }

    /// Reads an optional value.
    pub fn optional<T: FromStr>(&self, name: &str, expected: &str) -> Result<Option<T>, FieldError> {
        match self.pairs.get(name) {
            None => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| self.unexpected(name, expected)),
        }
    }

    /// Reads a required integer.
    pub fn required_u64(&self, name: &str) -> Result<u64, FieldError> {
        const EXPECTED: &str = "a whole number";
        self.optional(name, EXPECTED)?.ok_or_else(|| self.unexpected(name, EXPECTED))
    }

    /// Reads an integer, or returns the default if it is missing.
    pub fn u64_or(&self, name: &str, default: u64) -> Result<u64, FieldError> {
        Ok(self.optional(name, "a whole number")?.unwrap_or(default))
    }

    /// Reads a required integer of 32 bits.
    pub fn required_u32(&self, name: &str) -> Result<u32, FieldError> {
        const EXPECTED: &str = "a whole number below 2^32";
        self.optional(name, EXPECTED)?.ok_or_else(|| self.unexpected(name, EXPECTED))
    }

    /// Reads a finite number, or returns the default if it is missing.
    pub fn f64_or(&self, name: &str, default: f64) -> Result<f64, FieldError> {
        match self.optional::<f64>(name, "a number")? {
            Some(value) if !value.is_finite() => Err(self.unexpected(name, "a finite number")),
            value => Ok(value.unwrap_or(default)),
        }
    }

    /// Reads a duration in microseconds, or returns the default if it is missing.
    pub fn micros_or(&self, name: &str, default: u64) -> Result<Micros, FieldError> {
        self.u64_or(name, default).map(Micros)
    }

    /// Reads a boolean, or returns the default if it is missing.
    pub fn bool_or(&self, name: &str, default: bool) -> Result<bool, FieldError> {
        match self.pairs.get(name) {
            None => Ok(default),
            Some(&"1" | &"true") => Ok(true),
            Some(&"0" | &"false") => Ok(false),
            Some(_) => Err(self.unexpected(name, "1 or 0")),
        }
    }

    /// Reads a required string.
    pub fn required_str(&self, name: &str) -> Result<&'a str, FieldError> {
        self.pairs.get(name).copied().ok_or_else(|| self.unexpected(name, "a string"))
    }
}
