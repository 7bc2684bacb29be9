//! Named values, and reading them as numbers, spans and flags.

use lanespan_policy::Micros;
use std::collections::HashMap;
use std::str::FromStr;

/// Why named values can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// A part of a line is no pair of name and value.
    #[error("{place}: expected name=value, found '{part}'")]
    NotAPair {
        /// The line.
        place: String,
        /// The part.
        part: String,
    },
    /// A value is missing, or is not what was expected.
    #[error("{place}: {name}: expected {expected}, found {}", shown(.found))]
    Unexpected {
        /// The line, or another place.
        place: String,
        /// The name of the value.
        name: String,
        /// What was expected.
        expected: String,
        /// The value; `None`: there is none.
        found: Option<String>,
    },
}

fn shown(found: &Option<String>) -> String {
    found.as_ref().map_or("nothing".to_string(), |value| format!("'{value}'"))
}

impl FieldError {
    /// The name of the value that is wrong.
    pub fn field(&self) -> Option<&str> {
        match self {
            FieldError::NotAPair { .. } => None,
            FieldError::Unexpected { name, .. } => Some(name),
        }
    }
}

/// Named values, and where they stood.
pub struct Fields<'a> {
    /// Where the values stood, for errors: `line 3: START`, or another place.
    pub place: String,
    /// What kind of message holds them.
    pub message_type: &'a str,
    /// The values as text, by their names.
    pub pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    /// Reads a line of the simulator's wire: the kind of message, then `name=value` for each value.
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

    /// The error of a value that is not what was expected.
    pub fn unexpected(&self, name: &str, expected: &str) -> FieldError {
        FieldError::Unexpected {
            place: self.place.clone(),
            name: name.to_string(),
            expected: expected.to_string(),
            found: self.pairs.get(name).map(|value| value.to_string()),
        }
    }

    /// A value that may be absent.
    pub fn optional<T: FromStr>(&self, name: &str, expected: &str) -> Result<Option<T>, FieldError> {
        match self.pairs.get(name) {
            None => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| self.unexpected(name, expected)),
        }
    }

    /// A whole number that must be there.
    pub fn required_u64(&self, name: &str) -> Result<u64, FieldError> {
        const EXPECTED: &str = "a whole number";
        self.optional(name, EXPECTED)?.ok_or_else(|| self.unexpected(name, EXPECTED))
    }

    /// A whole number, or a default.
    pub fn u64_or(&self, name: &str, default: u64) -> Result<u64, FieldError> {
        Ok(self.optional(name, "a whole number")?.unwrap_or(default))
    }

    /// A whole number of 32 bits that must be there.
    pub fn required_u32(&self, name: &str) -> Result<u32, FieldError> {
        const EXPECTED: &str = "a small whole number";
        self.optional(name, EXPECTED)?.ok_or_else(|| self.unexpected(name, EXPECTED))
    }

    /// A finite number, or a default.
    pub fn f64_or(&self, name: &str, default: f64) -> Result<f64, FieldError> {
        match self.optional::<f64>(name, "a number")? {
            Some(value) if !value.is_finite() => Err(self.unexpected(name, "a finite number")),
            value => Ok(value.unwrap_or(default)),
        }
    }

    /// A span in microseconds, or a default.
    pub fn micros_or(&self, name: &str, default: u64) -> Result<Micros, FieldError> {
        self.u64_or(name, default).map(Micros)
    }

    /// True or false, or a default.
    pub fn bool_or(&self, name: &str, default: bool) -> Result<bool, FieldError> {
        match self.pairs.get(name) {
            None => Ok(default),
            Some(&"1" | &"true") => Ok(true),
            Some(&"0" | &"false") => Ok(false),
            Some(_) => Err(self.unexpected(name, "1 or 0")),
        }
    }

    /// A text that must be there.
    pub fn required_str(&self, name: &str) -> Result<&'a str, FieldError> {
        self.pairs.get(name).copied().ok_or_else(|| self.unexpected(name, "a text"))
    }
}
