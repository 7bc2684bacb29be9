//! Asks a running gateway through its admin address; `lanespan status` how it is.

use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a gateway is waited for.
const PATIENCE: Duration = Duration::from_secs(3);
/// The longest answer that is read.
const LONGEST: u64 = 16 << 20;

/// Where its state is.
pub const STATE: &str = "/debug/state";

/// What the gateway behind this door says at this path.
pub fn ask(admin: SocketAddr, path: &str) -> Result<Value, String> {
    match call(admin, "GET", path, "")? {
        (200, body) => serde_json::from_str(&body).map_err(|error| format!("{admin}: not JSON: {error}")),
        (status, _) => Err(format!("{admin}: answered {status}")),
    }
}

/// The status and body of its answer to a call.
pub fn call(admin: SocketAddr, method: &str, path: &str, body: &str) -> Result<(u16, String), String> {
    let text = exchange(admin, method, path, body).map_err(|error| format!("{admin}: {error}"))?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| format!("{admin}: not an answer"))?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    match status {
        Some(404) => Err(format!("{admin}: has no {path}; is its section configured?")),
        Some(status) => Ok((status, body.to_string())),
        None => Err(format!("{admin}: answered {}", head.lines().next().unwrap_or("nothing"))),
    }
}

fn exchange(admin: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&admin, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )?;
    let mut text = String::new();
    stream.take(LONGEST).read_to_string(&mut text)?;
    Ok(text)
}

/// The same as a table for people.
pub fn table(state: &Value) -> String {
    let mut text = String::new();
    let number = |value: &Value| value.as_f64().map_or("-".to_string(), |n| format!("{n:.2}"));
    let word = |value: &Value, so: &str, not: &str| match value.as_bool() {
        Some(true) => so.to_string(),
        Some(false) => not.to_string(),
        None => "-".to_string(),
    };
    let (counter, pool, fleet) = (&state["counter"], &state["pool"], &state["fleet"]);
    let fleet = match fleet.is_null() {
        true => "-".to_string(),
        false => format!("{}, {}, {}", fleet["present"], fleet["suspect"], fleet["gone"]),
    };
    for (name, value) in [
        ("ready", word(&state["ready"], "yes", "no")),
        ("list told, s ago", number(&state["discovery_age_s"])),
        ("breaker", word(&counter["breaker_open"], "open", "closed")),
        ("share that asks the counter", number(&counter["ask_share"])),
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
    let _ = writeln!(
        text,
        "\n{:<18} {:<22} {:>6} {:>8} {:>6} {:>6} {:>9}  state",
        "backend", "address", "out", "streams", "limit", "fails", "ms"
    );
    for backend in state["backends"].as_array().into_iter().flatten() {
        let flags = [("listed", false, "not listed"), ("ejected", true, "ejected"), ("cold", true, "cold")];
        let held = flags.iter().filter(|(key, so, _)| backend[*key].as_bool() == Some(*so));
        let held: Vec<&str> = held.map(|(_, _, word)| *word).collect();
        let ms = backend["latency_us"].as_f64().map_or("-".to_string(), |us| format!("{:.1}", us / 1e3));
        let _ = writeln!(
            text,
            "{:<18} {:<22} {:>6} {:>8} {:>6} {:>6} {:>9}  {}",
            backend["id"].as_str().unwrap_or("-"),
            backend["address"].as_str().unwrap_or("-"),
            number(&backend["out"]),
            number(&backend["streams"]),
            number(&backend["limit"]),
            number(&backend["fail_share"]),
            ms,
            if held.is_empty() { "in service".to_string() } else { held.join(", ") },
        );
    }
    text
}
