//! The platform's configuration file. The platform may add keys of any name and type at any time, so this gateway reads
//! only those that the platform's documentation defines and ignores all others. The gateway's own sections are in a
//! separate file, so that no key of the platform can be mistaken for one of them.

use super::document::Count;
use super::problems::{excerpt, Problems};
use crate::config_error::ConfigError;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The top-level keys that the platform's documentation defines.
const DEFINED_KEYS: [&str; 8] =
    ["name", "listen", "discovery", "seed", "limits", "counter", "known", "settings"];
/// The keys that it defines within `limits`.
const DEFINED_LIMITS: [&str; 3] = ["cores", "memory_mb", "sockets"];
/// The gateway's own sections, which an operator's file holds.
pub(super) const SECTIONS: [&str; 5] = ["names", "pool", "streaming", "admin", "fleet"];
/// A summary names at most this many ignored keys.
const MAX_SUMMARY_KEYS: usize = 50;
/// Each key in a summary is cut after this many characters.
const MAX_SUMMARY_KEY_CHARS: usize = 40;

/// The keys that the environment overrides, for which the file's value is not needed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Overrides {
    pub(super) listen: bool,
    pub(super) discovery: bool,
}

/// The part of the platform's file that this gateway reads.
#[derive(Debug)]
pub(super) struct PlatformDocument {
    /// The defined keys with readable values, and the gateway's own sections once they are added.
    pub(super) document: Value,
    /// The keys and values that were left out.
    pub(super) ignored: IgnoredKeys,
}

/// The keys and values of a configuration that this gateway does not use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IgnoredKeys {
    /// The keys of the platform's file that its documentation does not define, as dotted names.
    pub keys: BTreeSet<String>,
    /// The unreadable values, one line each, with the value that is used instead.
    pub unreadable: Vec<String>,
}

impl IgnoredKeys {
    /// Returns the ignored keys in one line: the first ones by name and the rest as a count. Empty if there are none.
    pub fn summary(&self) -> String {
        let shorten = |key: &String| key.chars().take(MAX_SUMMARY_KEY_CHARS).collect::<String>();
        let escape = |key: &String| shorten(key).escape_debug().to_string();
        let named: Vec<String> = self.keys.iter().take(MAX_SUMMARY_KEYS).map(escape).collect();
        let mut line = named.join(", ");
        if self.keys.len() > MAX_SUMMARY_KEYS {
            line.push_str(&format!(" and {} more", self.keys.len() - MAX_SUMMARY_KEYS));
        }
        line
    }
}

impl PlatformDocument {
    /// Keeps the defined keys with readable values and records the rest of the platform's file as ignored. An unreadable
    /// value of a key that a gateway can't start without is kept, so that it is reported as a problem.
    pub(super) fn read(file: Value, overrides: Overrides) -> Result<PlatformDocument, ConfigError> {
        let Value::Object(fields) = file else {
            let found = excerpt(&file);
            return Err(ConfigError::new(format!("the file: expected an object, found {found}")));
        };
        let mut ignored = IgnoredKeys::default();
        let mut document = Map::new();
        for (key, value) in fields {
            if DEFINED_KEYS.contains(&key.as_str()) {
                document.insert(key, value);
            } else {
                ignored.keys.insert(key);
            }
        }
        let mut platform = PlatformDocument { document: Value::Object(document), ignored };
        platform.filter_limits();
        platform.drop_unreadable(overrides);
        Ok(platform)
    }

    /// Adds the sections of an operator's file.
    pub(super) fn add_sections(&mut self, sections: Value) -> Result<(), ConfigError> {
        let Value::Object(sections) = sections else {
            return Err(ConfigError::new("the file: expected an object".to_string()));
        };
        let known = SECTIONS.join(", ");
        let mut problems = Problems::default();
        for key in sections.keys().filter(|key| !SECTIONS.contains(&key.as_str())) {
            problems.add(key, format!("no section of the gateway; known are {known}"));
        }
        if !problems.is_empty() {
            return Err(problems.into());
        }
        self.fields().extend(sections);
        Ok(())
    }

    fn fields(&mut self) -> &mut Map<String, Value> {
        match &mut self.document {
            Value::Object(fields) => fields,
            other => unreachable!("the document is always an object, found {other}"),
        }
    }

    /// Removes undefined and unreadable limits, for which the defaults then apply.
    fn filter_limits(&mut self) {
        let Some(limits) = self.fields().remove("limits") else { return };
        let Value::Object(mut limits) = limits else {
            return self.record_unreadable("limits", "an object", &limits);
        };
        let undefined = limits.keys().filter(|key| !DEFINED_LIMITS.contains(&key.as_str())).cloned();
        for key in undefined.collect::<Vec<String>>() {
            limits.remove(&key);
            self.ignored.keys.insert(format!("limits.{key}"));
        }
        for key in DEFINED_LIMITS {
            let Some(value) = limits.get(key) else { continue };
            let readable = match key {
                "cores" => value.is_number() || value.is_null(),
                _ => Count::read(value).is_some(),
            };
            if !readable {
                self.record_unreadable(&format!("limits.{key}"), "a number in its range", value);
                limits.remove(key);
            }
        }
        self.fields().insert("limits".to_string(), Value::Object(limits));
    }

    /// Removes unreadable values, except those that a gateway can't start without.
    fn drop_unreadable(&mut self, overrides: Overrides) {
        const ADDRESS: &str = "an address and a port";
        self.drop_unless("name", "a string", Value::is_string);
        self.drop_unless("seed", "16 hex digits", is_seed);
        if overrides.listen {
            self.drop_unless("listen", ADDRESS, is_address);
        }
        if overrides.discovery {
            self.drop_unless("discovery", ADDRESS, is_address);
        }
        if !self.wants_counter() {
            self.drop_unless("counter", ADDRESS, is_address);
        }
    }

    /// Returns whether the settings ask for a counter. An unreadable value counts as yes.
    fn wants_counter(&self) -> bool {
        match self.document.pointer("/settings/specifics/counter") {
            Some(Value::Bool(wants_counter)) => *wants_counter,
            Some(other) => !matches!(other.as_str(), Some("0" | "false")) && other.as_u64() != Some(0),
            None => false,
        }
    }

    fn drop_unless(&mut self, key: &str, expected: &str, is_readable: impl Fn(&Value) -> bool) {
        let value = self.fields().get(key).filter(|value| !value.is_null() && !is_readable(value)).cloned();
        if let Some(found) = value {
            self.fields().remove(key);
            self.record_unreadable(key, expected, &found);
        }
    }

    fn record_unreadable(&mut self, key: &str, expected: &str, found: &Value) {
        let line = format!("{key}: expected {expected}, found {}; using the default", excerpt(found));
        self.ignored.unreadable.push(line);
    }
}

fn is_address(value: &Value) -> bool {
    value.as_str().is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}

fn is_seed(value: &Value) -> bool {
    value.as_str().is_some_and(|text| u64::from_str_radix(text, 16).is_ok())
}

#[cfg(test)]
mod tests;
