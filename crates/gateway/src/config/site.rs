//! What a site's settings must say, looked at key by key before they are read: each problem has a line of its own
//! with the key and its value. What may be absent, and what only the module can judge, is not looked at here.

use super::Origin;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Classes and plans are numbered up to this.
const MOST: usize = 10_000;
const EFFECTS: [&str; 3] = ["pure", "token", "side_effect"];
const SCOPES: [&str; 3] = ["all", "zone", "cell"];

/// The effect that is never repeated, the most careful reading of one that is not known.
const MOST_CAREFUL: &str = "side_effect";

/// What was put in place of settings that can't be used.
#[derive(Debug, Default)]
pub(super) struct PutRight {
    /// The keys that were told as problems.
    pub(super) wrong: Vec<String>,
    /// What is taken in another way than it was told, a line each.
    pub(super) notes: Vec<String>,
    /// The numbers of the classes whose effect is not known.
    pub(super) unknown_effects: HashSet<usize>,
}

/// The settings by their dotted names, those that are wrong replaced as they are told.
struct Site<'a> {
    names: &'a mut BTreeMap<String, String>,
    told: &'a mut Vec<String>,
    put: PutRight,
}

/// Tells what is missing or can't hold and puts something sound in its place, so that the rest can be read as well.
/// The platform's settings may be of a later edition: an effect or scope in them that is not known is no problem, but
/// its class is never repeated.
pub(super) fn put_right(
    names: &mut BTreeMap<String, String>,
    told: &mut Vec<String>,
    origin: Origin,
) -> PutRight {
    let mut site = Site { names, told, put: PutRight::default() };
    site.above_zero("balancers");
    site.there("my_number", "0");
    site.above_zero("bounds.max_attempts");
    for i in 0..site.listed("classes") {
        let key = |name: &str| format!("classes.{i}.{name}");
        site.above_zero(&key("deadline"));
        match origin {
            Origin::Operator => site.one_of(&key("effect"), &EFFECTS),
            Origin::Platform => site.known_or_careful(i),
        }
        if site.is(&key("effect"), "token") {
            site.one_of(&key("key_scope"), &SCOPES);
            site.above_zero(&key("window"));
        }
    }
    for i in 0..site.listed("plans") {
        let key = |name: &str| format!("plans.{i}.{name}");
        site.there(&key("per_second"), "0");
        if site.number(&key("per_second")).is_some_and(|rate| rate > 0.0) {
            site.above_zero(&key("peak_units"));
        }
        if site.number(&key("ceiling_rate")).is_some_and(|rate| rate > 0.0) {
            site.above_zero(&key("cap_depth"));
        }
    }
    site.there("specifics.counter", "0");
    site.above_zero("specifics.units_top");
    if site.is("specifics.counter", "true") || site.is("specifics.counter", "1") {
        site.above_zero("specifics.count_limit");
    }
    site.put
}

impl Site<'_> {
    fn is(&self, key: &str, value: &str) -> bool {
        self.names.get(key).is_some_and(|held| held == value)
    }

    fn number(&self, key: &str) -> Option<f64> {
        self.names.get(key)?.parse().ok()
    }

    fn tell(&mut self, key: &str, wanted: &str, instead: &str) {
        let found = self.names.get(key).map_or("nothing".to_string(), |value| format!("'{value}'"));
        self.told.push(format!("settings: {key}: expected {wanted}, found {found}"));
        self.names.insert(key.to_string(), instead.to_string());
        self.put.wrong.push(key.to_string());
    }

    /// A key that must be there.
    fn there(&mut self, key: &str, instead: &str) {
        if !self.names.contains_key(key) {
            self.tell(key, "a value", instead);
        }
    }

    /// A number that must be there, and above 0. One that can't be read at all is told by who reads it.
    fn above_zero(&mut self, key: &str) {
        let sound = match self.names.get(key) {
            None => false,
            Some(text) => text.parse::<f64>().map_or(true, |number| number > 0.0),
        };
        if !sound {
            self.tell(key, "a number above 0", "1");
        }
    }

    /// Takes a class for one that is never repeated if its effect, or the scope of its keys, is not known.
    fn known_or_careful(&mut self, class: usize) {
        let (effect, scope) = (format!("classes.{class}.effect"), format!("classes.{class}.key_scope"));
        if !self.is_any_of(&effect, &EFFECTS) {
            self.put.unknown_effects.insert(class);
            self.take_careful(class, &effect, &EFFECTS);
        } else if self.is(&effect, "token") && !self.is_any_of(&scope, &SCOPES) {
            self.take_careful(class, &scope, &SCOPES);
        }
        // Only classes with keys have a scope that counts.
        if !self.is(&effect, "token") {
            self.names.remove(&scope);
        }
    }

    fn take_careful(&mut self, class: usize, key: &str, known: &[&str]) {
        let found = self.names.get(key).map_or("nothing".to_string(), |value| format!("{value:?}"));
        let wanted = known.join(", ");
        let note =
            format!("settings: {key}: expected {wanted}, found {found}; its requests are never repeated");
        self.put.notes.push(note);
        self.names.insert(format!("classes.{class}.effect"), MOST_CAREFUL.to_string());
    }

    fn is_any_of(&self, key: &str, known: &[&str]) -> bool {
        self.names.get(key).is_some_and(|value| known.contains(&value.as_str()))
    }

    fn one_of(&mut self, key: &str, known: &[&str]) {
        if !self.is_any_of(key, known) {
            self.tell(key, &known.join(", "), known[0]);
        }
    }

    /// How many of these there are, each with a name of its own.
    fn listed(&mut self, what: &str) -> usize {
        let count = self.number(&format!("{what}.count")).map_or(0, |count| count as usize);
        if count == 0 {
            self.told.push(format!("settings: {what}: expected at least one, found none"));
        }
        let mut first = HashMap::new();
        for i in 0..count.min(MOST) {
            let key = format!("{what}.{i}.name");
            self.there(&key, &format!("{what} {i}"));
            let name = self.names.get(&key).cloned().unwrap_or_default();
            match first.get(&name) {
                Some(before) => {
                    let wanted = format!("another name than {what}.{before}.name has");
                    self.tell(&key, &wanted, &format!("{what} {i}"));
                }
                None => drop(first.insert(name, i)),
            }
        }
        count.min(MOST)
    }
}
