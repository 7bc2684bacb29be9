//! `lanespan status`: formats the state of a running gateway as tables.

use serde_json::Value;
use std::fmt::Write as _;

/// The admin path of the gateway's state.
pub const STATE_PATH: &str = "/debug/state";

/// Formats the state as two tables: one of the gateway and one of its backends.
pub fn table(state: &Value) -> String {
    let mut text = String::new();
    let (counter, pool, fleet) = (&state["counter"], &state["pool"], &state["fleet"]);
    let fleet = match fleet.is_null() {
        true => "-".to_string(),
        false => format!("{}, {}, {}", fleet["present"], fleet["suspect"], fleet["gone"]),
    };
    for (name, value) in [
        ("ready", flag(&state["ready"], "yes", "no")),
        ("endpoint list age, s", number(&state["discovery_age_s"])),
        ("breaker", flag(&counter["breaker_open"], "open", "closed")),
        ("counter query share", number(&counter["ask_share"])),
        ("requests open", state["requests_open"].to_string()),
        ("requests held", state["requests_held"].to_string()),
        ("customers", state["customers"].to_string()),
        ("connections in use, idle", format!("{}, {}", pool["in_use"], pool["idle"])),
        ("bytes reserved for streams", state["stream_bytes_reserved"].to_string()),
        ("gateways, suspect, gone", fleet),
        ("backends", state["backends_known"].to_string()),
    ] {
        // Writing to a String can't fail.
        let _ = writeln!(text, "{name:<28} {value}");
    }
    text + &backends_table(&state["backends"])
}

/// Formats a number with two decimals; any other value becomes a dash.
fn number(value: &Value) -> String {
    value.as_f64().map_or("-".to_string(), |number| format!("{number:.2}"))
}

/// Formats a boolean as one of two words; any other value becomes a dash.
fn flag(value: &Value, if_true: &str, if_false: &str) -> String {
    match value.as_bool() {
        Some(true) => if_true.to_string(),
        Some(false) => if_false.to_string(),
        None => "-".to_string(),
    }
}

/// Formats one row per backend.
fn backends_table(backends: &Value) -> String {
    let mut text = String::new();
    // Writing to a String can't fail.
    let _ = writeln!(
        text,
        "\n{:<18} {:<22} {:>6} {:>8} {:>6} {:>6} {:>9}  state",
        "backend", "address", "out", "streams", "limit", "fails", "ms"
    );
    for backend in backends.as_array().into_iter().flatten() {
        let conditions =
            [("listed", false, "not listed"), ("ejected", true, "ejected"), ("cold", true, "cold")];
        let conditions = conditions.iter().filter(|(key, value, _)| backend[*key].as_bool() == Some(*value));
        let conditions: Vec<&str> = conditions.map(|(_, _, label)| *label).collect();
        let latency_ms =
            backend["latency_us"].as_f64().map_or("-".to_string(), |us| format!("{:.1}", us / 1e3));
        let _ = writeln!(
            text,
            "{:<18} {:<22} {:>6} {:>8} {:>6} {:>6} {:>9}  {}",
            backend["id"].as_str().unwrap_or("-"),
            backend["address"].as_str().unwrap_or("-"),
            number(&backend["out"]),
            number(&backend["streams"]),
            number(&backend["limit"]),
            number(&backend["fail_share"]),
            latency_ms,
            if conditions.is_empty() { "in service".to_string() } else { conditions.join(", ") },
        );
    }
    text
}
