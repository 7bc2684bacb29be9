//! Checks the `settings` section key by key before it is read, and reports each problem with its key and value. Optional
//! keys, and rules that the policy engine checks itself, are not covered here.

use super::problems::Problems;
use super::Origin;
use std::collections::{BTreeMap, HashMap, HashSet};

/// At most this many classes or plans are checked.
const MAX_LIST_ITEMS: usize = 10_000;
const EFFECTS: [&str; 3] = ["pure", "token", "side_effect"];
const KEY_SCOPES: [&str; 3] = ["all", "zone", "cell"];
/// The effect that replaces an unknown one. Requests with this effect must not run twice.
const FALLBACK_EFFECT: &str = "side_effect";

/// The record of the values that were replaced because they are invalid or unknown.
#[derive(Debug, Default)]
pub(super) struct Correction {
    /// The keys that were reported as problems.
    pub(super) reported: Vec<String>,
    /// The values that are not used as written, one line each.
    pub(super) notes: Vec<String>,
    /// The indexes of the classes whose effect this gateway does not know.
    pub(super) unknown_effects: HashSet<usize>,
}

/// A check in progress, over the settings by their dotted names. Invalid values are replaced as they are reported.
struct SettingsCheck<'a> {
    values: &'a mut BTreeMap<String, String>,
    problems: &'a mut Problems,
    correction: Correction,
}

/// Reports missing and invalid values and replaces them with valid ones, so that the rest can still be read. The
/// platform's settings may be of a later version: an unknown effect or scope in them is not a problem, but requests of
/// its class must not run twice.
pub(super) fn check_settings(
    values: &mut BTreeMap<String, String>,
    problems: &mut Problems,
    origin: Origin,
) -> Correction {
    let mut check = SettingsCheck { values, problems, correction: Correction::default() };
    check.require_above_zero("balancers");
    check.require_present("my_number", "0");
    check.require_above_zero("bounds.max_attempts");
    for class in 0..check.check_names("classes") {
        check.check_class(class, origin);
    }
    for plan in 0..check.check_names("plans") {
        check.check_plan(plan);
    }
    check.require_present("specifics.counter", "0");
    check.require_above_zero("specifics.units_top");
    if check.has("specifics.counter", "true") || check.has("specifics.counter", "1") {
        check.require_above_zero("specifics.count_limit");
    }
    check.correction
}

impl SettingsCheck<'_> {
    fn check_class(&mut self, class: usize, origin: Origin) {
        let key = |name: &str| format!("classes.{class}.{name}");
        self.require_above_zero(&key("deadline"));
        match origin {
            Origin::Operator => self.require_one_of(&key("effect"), &EFFECTS),
            Origin::Platform => self.replace_unknown_effect(class),
        }
        if self.has(&key("effect"), "token") {
            self.require_one_of(&key("key_scope"), &KEY_SCOPES);
            self.require_above_zero(&key("window"));
        }
    }

    fn check_plan(&mut self, plan: usize) {
        let key = |name: &str| format!("plans.{plan}.{name}");
        self.require_present(&key("per_second"), "0");
        if self.number(&key("per_second")).is_some_and(|rate| rate > 0.0) {
            self.require_above_zero(&key("peak_units"));
        }
        if self.number(&key("ceiling_rate")).is_some_and(|rate| rate > 0.0) {
            self.require_above_zero(&key("cap_depth"));
        }
    }

    fn has(&self, key: &str, value: &str) -> bool {
        self.values.get(key).is_some_and(|found| found == value)
    }

    fn has_any_of(&self, key: &str, known: &[&str]) -> bool {
        self.values.get(key).is_some_and(|value| known.contains(&value.as_str()))
    }

    fn number(&self, key: &str) -> Option<f64> {
        self.values.get(key)?.parse().ok()
    }

    /// Reports a value as invalid and replaces it.
    fn replace(&mut self, key: &str, expected: &str, replacement: &str) {
        let found = self.values.get(key).map_or("nothing".to_string(), |value| format!("'{value}'"));
        self.problems.add(&format!("settings: {key}"), format!("expected {expected}, found {found}"));
        self.values.insert(key.to_string(), replacement.to_string());
        self.correction.reported.push(key.to_string());
    }

    /// Reports a missing key.
    fn require_present(&mut self, key: &str, replacement: &str) {
        if !self.values.contains_key(key) {
            self.replace(key, "a value", replacement);
        }
    }

    /// Reports a number that is missing or not above 0. A value that is not a number is reported later, when it is read.
    fn require_above_zero(&mut self, key: &str) {
        let valid = match self.values.get(key) {
            None => false,
            Some(text) => text.parse::<f64>().map_or(true, |number| number > 0.0),
        };
        if !valid {
            self.replace(key, "a number above 0", "1");
        }
    }

    /// Reports a value that is not one of `known`.
    fn require_one_of(&mut self, key: &str, known: &[&str]) {
        if !self.has_any_of(key, known) {
            self.replace(key, &known.join(", "), known[0]);
        }
    }

    /// Treats a class as one whose requests must not run twice if its effect, or the scope of its keys, is unknown.
    fn replace_unknown_effect(&mut self, class: usize) {
        let effect = format!("classes.{class}.effect");
        let scope = format!("classes.{class}.key_scope");
        if !self.has_any_of(&effect, &EFFECTS) {
            self.correction.unknown_effects.insert(class);
            self.use_fallback_effect(class, &effect, &EFFECTS);
        } else if self.has(&effect, "token") && !self.has_any_of(&scope, &KEY_SCOPES) {
            self.use_fallback_effect(class, &scope, &KEY_SCOPES);
        }
        // The scope matters only for classes with idempotency keys.
        if !self.has(&effect, "token") {
            self.values.remove(&scope);
        }
    }

    /// Replaces the effect of a class because the value of `key` is unknown, and notes this.
    fn use_fallback_effect(&mut self, class: usize, key: &str, known: &[&str]) {
        let found = self.values.get(key).map_or("nothing".to_string(), |value| format!("{value:?}"));
        let expected = known.join(", ");
        let note =
            format!("settings: {key}: expected {expected}, found {found}; its requests are never repeated");
        self.correction.notes.push(note);
        self.values.insert(format!("classes.{class}.effect"), FALLBACK_EFFECT.to_string());
    }

    /// Checks that a list is not empty and that its items have distinct names. Returns the number of its items.
    fn check_names(&mut self, list: &str) -> usize {
        let count = self.number(&format!("{list}.count")).map_or(0, |count| count as usize);
        if count == 0 {
            self.problems.add(&format!("settings: {list}"), "expected at least one, found none");
        }
        let mut first_with_name = HashMap::new();
        for index in 0..count.min(MAX_LIST_ITEMS) {
            let key = format!("{list}.{index}.name");
            let unique_name = format!("{list} {index}");
            self.require_present(&key, &unique_name);
            let name = self.values.get(&key).cloned().unwrap_or_default();
            if let Some(first) = first_with_name.get(&name) {
                let expected = format!("another name than {list}.{first}.name has");
                self.replace(&key, &expected, &unique_name);
            } else {
                first_with_name.insert(name, index);
            }
        }
        count.min(MAX_LIST_ITEMS)
    }
}
