//! The platform's configuration file. It belongs to the platform, which may add keys of any name and type at any
//! time; this gateway reads those that the platform's pages define and passes over all others. Its own sections
//! stand in a file of their own, so that no key of the platform's can be taken for one of them.

use super::document::Count;
use super::problems;
use crate::config_error::ConfigError;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The keys that the platform's pages define.
const DEFINED: [&str; 8] = ["name", "listen", "discovery", "seed", "limits", "counter", "known", "settings"];
/// The same within `limits`.
const LIMITS: [&str; 3] = ["cores", "memory_mb", "sockets"];
/// The sections of this gateway, which an operator's file holds.
pub(super) const SECTIONS: [&str; 5] = ["names", "pool", "streaming", "admin", "fleet"];
/// As many keys that were passed over are named, each up to so many characters.
const MAX_NAMED: usize = 50;
const MAX_NAME: usize = 40;

/// Which keys the environment goes before, so that what the file says of them does not count.
#[derive(Debug, Clone, Copy)]
pub(super) struct Overrides {
    pub(super) listen: bool,
    pub(super) discovery: bool,
}

/// The part of the platform's file that this gateway reads.
#[derive(Debug)]
pub(super) struct Sifted {
    /// The keys that are defined and can be read, and this gateway's own sections once they are added.
    pub(super) document: Value,
    /// What was not read.
    pub(super) passed_over: PassedOver,
}

/// What a configuration held that this gateway did not use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PassedOver {
    /// The keys of the platform's file that its pages don't define, by their dotted names.
    pub keys: BTreeSet<String>,
    /// What was told in a form that can't be read, a line each, with what holds instead.
    pub unreadable: Vec<String>,
}

impl PassedOver {
    /// The keys in one line, the first ones by name and the others as a count. Empty if there are none.
    pub fn names(&self) -> String {
        let plain = |key: &String| key.chars().take(MAX_NAME).collect::<String>().escape_debug().to_string();
        let mut line = self.keys.iter().take(MAX_NAMED).map(plain).collect::<Vec<_>>().join(", ");
        if self.keys.len() > MAX_NAMED {
            line.push_str(&format!(" and {} more", self.keys.len() - MAX_NAMED));
        }
        line
    }
}

/// Separates what is defined and can be read from the rest of the platform's file. A defined key that can't be read
/// stays, to be told as a problem, only where a gateway can't start without it.
pub(super) fn sift(file: Value, overrides: Overrides) -> Result<Sifted, ConfigError> {
    let Value::Object(fields) = file else {
        return Err(ConfigError::new(format!(
            "the file: expected an object, found {}",
            problems::shown(&file)
        )));
    };
    let mut passed_over = PassedOver::default();
    let mut document = Map::new();
    for (key, value) in fields {
        match DEFINED.contains(&key.as_str()) {
            true => drop(document.insert(key, value)),
            false => drop(passed_over.keys.insert(key)),
        }
    }
    let mut sifted = Sifted { document: Value::Object(document), passed_over };
    sifted.sift_limits();
    sifted.drop_unreadable(overrides);
    Ok(sifted)
}

impl Sifted {
    /// Adds the sections of an operator's file.
    pub(super) fn add_sections(&mut self, sections: Value) -> Result<(), ConfigError> {
        let Value::Object(sections) = sections else {
            return Err(ConfigError::new("the file: expected an object".to_string()));
        };
        let known = SECTIONS.join(", ");
        let foreign = sections.keys().filter(|key| !SECTIONS.contains(&key.as_str()));
        let problems: Vec<String> =
            foreign.map(|key| format!("{key}: no section of the gateway; known are {known}")).collect();
        if !problems.is_empty() {
            return Err(problems.into());
        }
        self.fields().extend(sections);
        Ok(())
    }

    fn fields(&mut self) -> &mut Map<String, Value> {
        match &mut self.document {
            Value::Object(fields) => fields,
            other => unreachable!("sift makes an object, found {other}"),
        }
    }

    /// Limits that can't be read leave the defaults in force.
    fn sift_limits(&mut self) {
        let Some(limits) = self.fields().remove("limits") else { return };
        let Value::Object(mut limits) = limits else {
            return self.tell("limits", "an object", &limits);
        };
        let foreign: Vec<String> =
            limits.keys().filter(|key| !LIMITS.contains(&key.as_str())).cloned().collect();
        for key in foreign {
            limits.remove(&key);
            self.passed_over.keys.insert(format!("limits.{key}"));
        }
        for key in LIMITS {
            let Some(value) = limits.get(key) else { continue };
            let sound = match key {
                "cores" => value.is_number() || value.is_null(),
                _ => Count::read(value).is_some(),
            };
            if !sound {
                self.tell(&format!("limits.{key}"), "a number in its range", value);
                limits.remove(key);
            }
        }
        self.fields().insert("limits".to_string(), Value::Object(limits));
    }

    /// Leaves out what can't be read, unless a gateway can't start without it.
    fn drop_unreadable(&mut self, overrides: Overrides) {
        let address = |value: &Value| value.as_str().is_some_and(|text| text.parse::<SocketAddr>().is_ok());
        let seed = |value: &Value| value.as_str().is_some_and(|text| u64::from_str_radix(text, 16).is_ok());
        let counts = match self.document.pointer("/settings/specifics/counter") {
            Some(Value::Bool(counts)) => *counts,
            Some(other) => !matches!(other.as_str(), Some("0" | "false")) && other.as_u64() != Some(0),
            None => false,
        };
        self.drop_unless("name", "a text", Value::is_string);
        self.drop_unless("seed", "16 hex digits", seed);
        if overrides.listen {
            self.drop_unless("listen", "an address and a port", address);
        }
        if overrides.discovery {
            self.drop_unless("discovery", "an address and a port", address);
        }
        if !counts {
            self.drop_unless("counter", "an address and a port", address);
        }
    }

    fn drop_unless(&mut self, key: &str, wanted: &str, sound: impl Fn(&Value) -> bool) {
        let found = self.fields().get(key).filter(|value| !value.is_null() && !sound(value)).cloned();
        if let Some(found) = found {
            self.fields().remove(key);
            self.tell(key, wanted, &found);
        }
    }

    fn tell(&mut self, key: &str, wanted: &str, found: &Value) {
        let line = format!("{key}: expected {wanted}, found {}; the default holds", problems::shown(found));
        self.passed_over.unreadable.push(line);
    }
}

#[cfg(test)]
mod tests;
