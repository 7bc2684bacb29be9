//! Deserialization of a configuration that collects all problems, each with its key, the value found and the value
//! expected.

use crate::config_error::ConfigError;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

/// At most this many problems are reported. Bounds the work and the output for a file that is invalid throughout.
pub(crate) const MAX_PROBLEMS: usize = 100;
/// Values in problems are cut after this many characters.
const MAX_EXCERPT_CHARS: usize = 60;
/// What a problem states as expected if a section is not an object.
const EXPECTED_OBJECT: &str = "expected an object";
/// A known key is suggested for an unknown one if they differ by at most this many edits, or by one edit per three
/// characters if that is more.
const MAX_EDITS: usize = 2;

/// A list of problems, one line each: the location, a colon, and what is wrong there.
#[derive(Debug, Default)]
pub(crate) struct Problems(Vec<String>);

impl Problems {
    pub(crate) fn add(&mut self, place: &str, message: impl AsRef<str>) {
        self.0.push(format!("{place}: {}", message.as_ref()));
    }

    pub(crate) fn extend(&mut self, lines: impl IntoIterator<Item = String>) {
        self.0.extend(lines);
    }

    pub(crate) fn append(&mut self, mut other: Problems) {
        self.0.append(&mut other.0);
    }

    /// Returns the value, or adds the errors to these problems and returns `None`.
    pub(crate) fn collect<T>(&mut self, result: Result<T, ConfigError>) -> Option<T> {
        result.map_err(|error| self.append(error.into())).ok()
    }

    /// Returns whether a problem has been reported at `place`.
    pub(crate) fn has_problem_at(&self, place: &str) -> bool {
        let prefix = format!("{place}: ");
        self.0.iter().any(|line| line.starts_with(&prefix))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

impl From<ConfigError> for Problems {
    fn from(error: ConfigError) -> Problems {
        Problems(error.lines().to_vec())
    }
}

impl From<Problems> for ConfigError {
    fn from(problems: Problems) -> ConfigError {
        problems.0.into()
    }
}

/// Deserializes a value whose keys `sections` hold objects. Unreadable values are reported and removed, so that the rest
/// is still read. The result must be used only if there are no problems.
pub(crate) fn read<T: DeserializeOwned>(mut value: Value, sections: &[&str]) -> (Option<T>, Problems) {
    let mut problems = Problems::default();
    if !value.is_object() {
        problems.extend([wrong_value(&value, &[], EXPECTED_OBJECT)]);
        return (None, problems);
    }
    // Serde accepts a list in place of a struct and takes its items for the fields in order, so lists are rejected here.
    for section in sections {
        let path = [section.to_string()];
        if value.get(section).is_some_and(Value::is_array) {
            problems.extend([wrong_value(&value, &path, EXPECTED_OBJECT)]);
            remove(&mut value, &path);
        }
    }
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(read) => return (Some(read), problems),
            Err(error) => error,
        };
        let (line, path) = describe(&value, &error);
        problems.extend([line]);
        if !remove(&mut value, &path) {
            break;
        }
    }
    (None, problems)
}

/// Returns the line that reports an error, and the path of the key at fault.
fn describe(value: &Value, error: &serde_path_to_error::Error<serde_json::Error>) -> (String, Vec<String>) {
    let path = keys(error.path());
    let message = error.inner().to_string();
    let unknown = message.strip_prefix("unknown field `").and_then(|rest| rest.split_once('`'));
    match unknown {
        Some((key, rest)) => (unknown_key(&path, key, rest), with_key(&path, key)),
        None => (wrong_value(value, &path, &message), path),
    }
}

/// Returns the keys on the path to an error. An error within a list is attributed to the list.
fn keys(path: &Path) -> Vec<String> {
    let mut keys = Vec::new();
    for segment in path {
        match segment {
            Segment::Map { key } => keys.push(key.clone()),
            Segment::Seq { .. } => break,
            Segment::Enum { .. } | Segment::Unknown => {}
        }
    }
    keys
}

/// Returns a path that ends with `key`, which is appended unless the path ends with it already.
fn with_key(path: &[String], key: &str) -> Vec<String> {
    let mut path = path.to_vec();
    if path.last().is_none_or(|last| last != key) {
        path.push(key.to_string());
    }
    path
}

fn unknown_key(path: &[String], key: &str, rest: &str) -> String {
    let known: Vec<&str> = rest.split('`').skip(1).step_by(2).collect();
    let nearest = known.iter().map(|name| (strsim::damerau_levenshtein(name, key), name)).min();
    let similar = nearest.filter(|(edits, _)| *edits <= MAX_EDITS.max(key.len() / 3));
    let hint = similar.map_or(String::new(), |(_, name)| format!("; did you mean '{name}'?"));
    format!("{}: unknown; known are {}{hint}", with_key(path, key).join("."), known.join(", "))
}

fn wrong_value(value: &Value, path: &[String], message: &str) -> String {
    let found = path.iter().try_fold(value, |value, key| value.get(key)).unwrap_or(&Value::Null);
    let expected = match message {
        message if message.contains("expected struct") => EXPECTED_OBJECT,
        message if message.contains("expected a boolean") => "expected true or false",
        message if message.contains("socket address") => "expected an address and a port",
        message => message,
    };
    let place = if path.is_empty() { "the file".to_string() } else { path.join(".") };
    format!("{place}: {expected}, found {}", excerpt(found))
}

/// Returns a value as JSON, truncated to [`MAX_EXCERPT_CHARS`].
pub(super) fn excerpt(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_EXCERPT_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Removes the key at a path from a value. Returns whether it existed.
fn remove(value: &mut Value, path: &[String]) -> bool {
    let Some((last, parents)) = path.split_last() else { return false };
    let parent = parents.iter().try_fold(value, |value, key| value.get_mut(key));
    parent.and_then(Value::as_object_mut).is_some_and(|object| object.remove(last).is_some())
}
