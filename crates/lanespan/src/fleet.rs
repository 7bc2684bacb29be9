//! `lanespan fleet`: what a running gateway knows of the others, as tables for people.

use serde_json::Value;
use std::fmt::Write as _;

/// Where its members are.
pub const MEMBERS: &str = "/fleet/members";

/// The members by zone, and each of them.
pub fn table(view: &Value) -> String {
    let mut text = String::new();
    let word = |value: &Value| value.as_str().unwrap_or("-").to_string();
    // Writing to a String can't fail.
    let _ = writeln!(
        text,
        "view {} of {}, digest {}",
        view["version"],
        word(&view["me"]["name"]),
        word(&view["digest"])
    );
    let _ = writeln!(text, "told another digest lately: {}", view["disagreeing"]);
    for name in view["claimed_twice"].as_array().into_iter().flatten() {
        let _ = writeln!(text, "claimed twice: {}", word(name));
    }
    let _ = writeln!(text, "\n{:<18} {:>8} {:>8} {:>6}", "zone", "present", "suspect", "gone");
    for (zone, counts) in view["zones"].as_object().into_iter().flatten() {
        let [present, suspect, gone] = ["present", "suspect", "gone"].map(|key| counts[key].to_string());
        let _ = writeln!(text, "{zone:<18} {present:>8} {suspect:>8} {gone:>6}");
    }
    let _ = writeln!(
        text,
        "\n{:<14} {:<10} {:<22} {:>17} {:<8} {:>8} {:<12} {:<6} facts",
        "name", "zone", "address", "incarnation", "build", "for s", "seen", "view"
    );
    for member in view["members"].as_array().into_iter().flatten() {
        let facts = member["facts"]["told"].as_object().into_iter().flatten();
        let facts: Vec<String> = facts.map(|(key, value)| format!("{key}={}", word(value))).collect();
        let seen = member["seen"]["by"].as_str().map_or("here".to_string(), |by| format!("by {by}"));
        let view = member["agrees"].as_bool().map_or("-", |agrees| if agrees { "same" } else { "other" });
        let superseded = if member["superseded"] == true { " (superseded)" } else { "" };
        let _ = writeln!(
            text,
            "{:<14} {:<10} {:<22} {:>17} {:<8} {:>8.1} {:<12} {:<6} {}{superseded} {}",
            word(&member["name"]),
            word(&member["zone"]),
            word(&member["address"]),
            member["incarnation"],
            word(&member["build"]),
            member["since"].as_f64().unwrap_or_default() / 1e6,
            seen,
            view,
            word(&member["standing"]),
            facts.join(" "),
        );
    }
    text
}
