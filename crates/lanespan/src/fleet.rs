//! `lanespan fleet members`: formats a running gateway's view of the fleet as tables.

use serde_json::Value;
use std::fmt::Write as _;

/// The admin path of the membership view.
pub const MEMBERS_PATH: &str = "/fleet/members";

/// Formats the membership view: its version and digest, the number of members by zone, and one row per member.
pub fn members_table(view: &Value) -> String {
    let mut text = String::new();
    // Writing to a String can't fail.
    let _ = writeln!(
        text,
        "view {} of {}, digest {}",
        view["version"],
        text_of(&view["me"]["name"]),
        text_of(&view["digest"])
    );
    let _ = writeln!(text, "members that recently reported another digest: {}", view["disagreeing"]);
    for name in view["claimed_twice"].as_array().into_iter().flatten() {
        let _ = writeln!(text, "name claimed by two gateways: {}", text_of(name));
    }
    let _ = writeln!(text, "\n{:<18} {:>8} {:>8} {:>6}", "zone", "present", "suspect", "gone");
    for (zone, counts) in view["zones"].as_object().into_iter().flatten() {
        let [present, suspect, gone] = ["present", "suspect", "gone"].map(|key| counts[key].to_string());
        let _ = writeln!(text, "{zone:<18} {present:>8} {suspect:>8} {gone:>6}");
    }
    text + &member_rows(&view["members"])
}

/// Returns the text of a JSON string, or a dash for any other value.
fn text_of(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// Formats one row per member, below a header.
fn member_rows(members: &Value) -> String {
    let mut text = String::new();
    // Writing to a String can't fail.
    let _ = writeln!(
        text,
        "\n{:<14} {:<10} {:<22} {:>17} {:<8} {:>8} {:<12} {:<6} facts",
        "name", "zone", "address", "incarnation", "build", "for s", "seen", "view"
    );
    for member in members.as_array().into_iter().flatten() {
        let facts = member["facts"]["told"].as_object().into_iter().flatten();
        let facts: Vec<String> = facts.map(|(key, value)| format!("{key}={}", text_of(value))).collect();
        let observer = member["seen"]["by"].as_str().map_or("here".to_string(), |by| format!("by {by}"));
        let agreement =
            member["agrees"].as_bool().map_or("-", |agrees| if agrees { "same" } else { "other" });
        let superseded = if member["superseded"] == true { " (superseded)" } else { "" };
        let _ = writeln!(
            text,
            "{:<14} {:<10} {:<22} {:>17} {:<8} {:>8.1} {:<12} {:<6} {}{superseded} {}",
            text_of(&member["name"]),
            text_of(&member["zone"]),
            text_of(&member["address"]),
            member["incarnation"],
            text_of(&member["build"]),
            member["since"].as_f64().unwrap_or_default() / 1e6,
            observer,
            agreement,
            text_of(&member["standing"]),
            facts.join(" "),
        );
    }
    text
}
