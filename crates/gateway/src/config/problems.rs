//! Reading a value into its type with every problem told at once, each by key, value and what is allowed.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

/// As many problems are told. Guards against a file that is nothing but problems.
pub(crate) const MOST: usize = 100;
/// A value is shown up to so many characters.
const SHOWN: usize = 60;
const AN_OBJECT: &str = "expected an object";

/// Reads a value with sections of these names. What can't be read is told and left out, so that the rest is read as
/// well; what is read then is of use only if nothing was told.
pub(crate) fn read<T: DeserializeOwned>(mut value: Value, sections: &[&str]) -> (Option<T>, Vec<String>) {
    let mut told = Vec::new();
    if !value.is_object() {
        return (None, vec![wrong_value(&value, &[], AN_OBJECT)]);
    }
    // Guards against a list that passes for a section, its items for values in the order of the keys.
    for section in sections {
        let path = [section.to_string()];
        if value.get(section).is_some_and(Value::is_array) {
            told.push(wrong_value(&value, &path, AN_OBJECT));
            leave_out(&mut value, &path);
        }
    }
    while told.len() < MOST {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(read) => return (Some(read), told),
            Err(error) => error,
        };
        let (path, message) = (segments(error.path()), error.inner().to_string());
        let unknown = message.strip_prefix("unknown field `").and_then(|rest| rest.split_once('`'));
        let (line, wrong) = match unknown {
            Some((key, rest)) => (unknown_key(&path, key, rest), within(&path, key)),
            None => (wrong_value(&value, &path, &message), path),
        };
        told.push(line);
        if !leave_out(&mut value, &wrong) {
            return (None, told);
        }
    }
    (None, told)
}

/// The keys on the way to a problem; what stands in a list is told by the list.
fn segments(path: &Path) -> Vec<String> {
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

/// The path of a key, whether or not the path that was told ends with it.
fn within(path: &[String], key: &str) -> Vec<String> {
    let mut path = path.to_vec();
    if path.last().is_none_or(|last| last != key) {
        path.push(key.to_string());
    }
    path
}

fn unknown_key(path: &[String], key: &str, rest: &str) -> String {
    let known: Vec<&str> = rest.split('`').skip(1).step_by(2).collect();
    let nearest = known.iter().map(|name| (strsim::damerau_levenshtein(name, key), name)).min();
    let hint = nearest.filter(|(steps, _)| *steps <= 2.max(key.len() / 3));
    let hint = hint.map_or(String::new(), |(_, name)| format!("; did you mean '{name}'?"));
    format!("{}: unknown; known are {}{hint}", within(path, key).join("."), known.join(", "))
}

fn wrong_value(value: &Value, path: &[String], message: &str) -> String {
    let found = path.iter().try_fold(value, |value, key| value.get(key)).unwrap_or(&Value::Null);
    let shown = shown(found);
    let wanted = match message {
        m if m.contains("expected struct") => AN_OBJECT,
        m if m.contains("expected a boolean") => "expected true or false",
        m if m.contains("socket address") => "expected an address and a port",
        m => m,
    };
    let place = if path.is_empty() { "the file".to_string() } else { path.join(".") };
    format!("{place}: {wanted}, found {shown}")
}

/// A value as JSON, cut short.
pub(super) fn shown(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(SHOWN) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

fn leave_out(value: &mut Value, path: &[String]) -> bool {
    let Some((last, before)) = path.split_last() else { return false };
    let holder = before.iter().try_fold(value, |value, key| value.get_mut(key));
    holder.and_then(Value::as_object_mut).is_some_and(|object| object.remove(last).is_some())
}
