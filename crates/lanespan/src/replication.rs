//! `lanespan fleet plan`, `voters` and `duties`: shows and changes the fleet document of a running gateway, its voters
//! and its leases. The `EXIT_` constants are the exit codes of a change.

use crate::cli::{PlanCommand, ProposeArgs, VotersCommand};
use crate::{admin, print, usage_error};
use lanespan_fleet::replication::document::{Proposal, Verdict, SCHEMA_VERSION};
use lanespan_gateway::replication::{Reply, VoterAddress, VoterChangeRequest};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;

/// The admin path of the leases.
pub const LEASES_PATH: &str = "/fleet/duties";
/// The admin path of the fleet document.
const DOCUMENT_PATH: &str = "/fleet/plan";
/// The admin path of the document's retained entries.
const HISTORY_PATH: &str = "/fleet/plan/history";
/// The admin path for proposals.
const PROPOSE_PATH: &str = "/fleet/plan/propose";
/// The admin path for changes of the voters.
const VOTERS_PATH: &str = "/fleet/plan/voters";

/// The gateway can't be reached, or its response is not usable.
const EXIT_UNREACHABLE: u8 = 1;
/// The request is invalid.
const EXIT_INVALID: u8 = 2;
/// The proposal was rejected.
const EXIT_REJECTED: u8 = 3;
/// The gateway is not the leader.
const EXIT_NOT_LEADER: u8 = 4;
/// The gateway was busy, or the change was not decided in time. A proposal that was not decided may still be accepted. It
/// has to be sent again with the same id, so that it is applied at most once.
const EXIT_UNDECIDED: u8 = 5;

/// Runs `lanespan fleet plan`.
pub fn run_plan_command(command: &PlanCommand) -> ExitCode {
    match command {
        PlanCommand::Show(admin) => crate::query(admin, DOCUMENT_PATH, document_table),
        PlanCommand::History(admin) => crate::query(admin, HISTORY_PATH, history_table),
        PlanCommand::Diff { from, to, admin } => {
            let (from, to) = (*from.min(to), *from.max(to));
            let changes = match admin.address() {
                Ok(address) => admin::get_json(address, HISTORY_PATH)
                    .map_err(|error| error.to_string())
                    .and_then(|history| diff(&history, from, to)),
                Err(error) => return usage_error(&error.lines()),
            };
            match changes {
                Ok(text) => print(&text),
                Err(problem) => fail(EXIT_UNREACHABLE, &problem),
            }
        }
        PlanCommand::Propose(args) => propose(args),
    }
}

/// Runs `lanespan fleet voters`.
pub fn run_voters_command(command: &VotersCommand) -> ExitCode {
    let (admin, request) = match command {
        VotersCommand::Add { name, address, zone, reason, admin } => {
            let (name, zone, reason) = (name.clone(), zone.clone(), reason.clone());
            (admin, VoterChangeRequest { name, address: Some(*address), zone, reason })
        }
        VotersCommand::Remove { name, reason, admin } => {
            let (name, reason) = (name.clone(), reason.clone());
            (admin, VoterChangeRequest { name, address: None, zone: String::new(), reason })
        }
    };
    match (admin.address(), serde_json::to_string(&request)) {
        (Ok(address), Ok(body)) => request_change(address, VOTERS_PATH, &body),
        (Err(error), _) => usage_error(&error.lines()),
        (_, Err(error)) => fail(EXIT_UNREACHABLE, &error.to_string()),
    }
}

/// Runs `lanespan fleet plan propose`.
fn propose(args: &ProposeArgs) -> ExitCode {
    let proposal = Proposal {
        id: args.id.unwrap_or_else(|| fastrand::u64(1..)),
        schema: SCHEMA_VERSION,
        proposer: args.proposer.clone(),
        reason: args.reason.clone(),
        evidence: args.evidence.clone(),
        expected_index: args.expected,
        expected_item_index: args.after,
        section: args.section.clone(),
        key: args.key.clone(),
        value: args.value.clone(),
        ..Proposal::default()
    };
    match (args.admin.address(), serde_json::to_string(&proposal)) {
        (Ok(address), Ok(body)) => request_change(address, PROPOSE_PATH, &body),
        (Err(error), _) => usage_error(&error.lines()),
        (_, Err(error)) => fail(EXIT_UNREACHABLE, &error.to_string()),
    }
}

/// Sends a change to a gateway and reports the reply.
fn request_change(address: SocketAddr, path: &str, body: &str) -> ExitCode {
    let body = match admin::call(address, "POST", path, body) {
        Ok((_, body)) => body,
        Err(error) => return fail(EXIT_UNREACHABLE, &error.to_string()),
    };
    match serde_json::from_str(&body) {
        Ok(reply) => report(&reply),
        Err(_) => fail(EXIT_UNREACHABLE, &format!("{address}: {}", body.trim())),
    }
}

/// Prints a gateway's reply to a change and returns its exit code.
fn report(reply: &Reply) -> ExitCode {
    match reply {
        Reply::Decided(Verdict::Accepted(index)) => print(&format!("accepted: index {index}\n")),
        Reply::Decided(Verdict::Duplicate(index)) => print(&format!("duplicate: index {index}\n")),
        Reply::Decided(Verdict::Rejected(rejection)) => {
            fail(EXIT_REJECTED, &format!("rejected: {rejection}"))
        }
        Reply::Invalid(problem) => fail(EXIT_INVALID, problem),
        Reply::NotLeader(Some(VoterAddress { name, address })) => fail(
            EXIT_NOT_LEADER,
            &format!("this gateway is not the leader; ask {name}, whose replication address is {address}"),
        ),
        Reply::NotLeader(None) => {
            fail(EXIT_NOT_LEADER, "this gateway is not the leader and knows of no leader")
        }
        Reply::Busy => fail(EXIT_UNDECIDED, "the gateway is busy; send the change again"),
        Reply::Undecided(id) => fail(
            EXIT_UNDECIDED,
            &format!(
                "not decided in time, but may still be accepted; send the proposal again with --id {id}"
            ),
        ),
        Reply::Renewed(_) => {
            fail(EXIT_UNREACHABLE, "expected the result of a proposal, found a lease renewal")
        }
    }
}

/// Prints a problem to standard error and returns the exit code.
fn fail(code: u8, problem: &str) -> ExitCode {
    eprintln!("lanespan: {problem}");
    ExitCode::from(code)
}

/// Formats a JSON value as a table cell; null becomes a dash.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Formats the fleet document: the role of the gateway, the age of the last heartbeat, and one row per item.
fn document_table(document: &Value) -> String {
    let mut text = String::new();
    let role = match (document["leads"].as_bool(), document["votes"].as_bool()) {
        (Some(true), _) => "leads".to_string(),
        (_, Some(true)) => format!("votes, {} leads", cell(&document["leader"])),
        _ => "follows".to_string(),
    };
    let [id, index, digest] = ["plan", "index", "digest"].map(|key| cell(&document[key]));
    // Writing to a String can't fail.
    let _ = writeln!(text, "plan {id} index {index} digest {digest}");
    let _ = writeln!(text, "this gateway {role}");
    if let Some(reason) = document["apart"].as_str() {
        let _ = writeln!(text, "does not vote: {reason}");
    }
    let heartbeat_age = document["news_age_s"].as_f64().unwrap_or_default();
    let trust = document["trust"].as_f64().unwrap_or_default();
    let _ = writeln!(text, "last leader heartbeat {heartbeat_age:.1} s ago, trust {trust:.2}");
    let _ = writeln!(text, "\n{:<12} {:<20} {:>7} {:<10} value", "section", "key", "index", "token");
    for (section, items) in document["sections"].as_object().into_iter().flatten() {
        for (key, item) in items.as_object().into_iter().flatten() {
            let [index, token, value] = ["index", "token", "value"].map(|field| cell(&item[field]));
            let _ = writeln!(text, "{section:<12} {key:<20} {index} {token:<10} {value}");
        }
    }
    text
}

/// Formats one row per retained entry of the fleet document.
fn history_table(history: &Value) -> String {
    let mut text = format!(
        "{:>7} {:<10} {:<16} {:<12} {:<20} {:<14} value, reason\n",
        "index", "token", "digest", "section", "key", "proposer"
    );
    for entry in history["entries"].as_array().into_iter().flatten() {
        let [index, token, digest, section, key, proposer, value, reason] =
            ["index", "token", "digest", "section", "key", "proposer", "value", "reason"]
                .map(|field| cell(&entry[field]));
        // Writing to a String can't fail.
        let _ = writeln!(
            text,
            "{index} {token:<10} {digest:<16} {section:<12} {key:<20} {proposer:<14} {value}, {reason}"
        );
    }
    text
}

/// Lists the items that changed after index `from`, up to and including index `to`, each with its value at `to`.
fn diff(history: &Value, from: u64, to: u64) -> Result<String, String> {
    let entries: Vec<&Value> = history["entries"].as_array().into_iter().flatten().collect();
    let index_of = |entry: &Value| entry["index"].as_u64().unwrap_or_default();
    let first = entries.first().map_or(0, |entry| index_of(entry));
    let last = entries.last().map_or(0, |entry| index_of(entry));
    if from + 1 < first || to > last {
        return Err(format!(
            "entries {first} to {last} are retained, but {} to {to} were requested",
            from + 1
        ));
    }
    let mut items = BTreeMap::new();
    for entry in entries.into_iter().filter(|entry| (from + 1..=to).contains(&index_of(entry))) {
        items.insert((cell(&entry["section"]), cell(&entry["key"])), entry);
    }
    let mut text = String::new();
    for ((section, key), entry) in items {
        let [value, index, proposer, reason] =
            ["value", "index", "proposer", "reason"].map(|field| cell(&entry[field]));
        // Writing to a String can't fail.
        let _ = writeln!(text, "{section}/{key} = {value} (index {index}, {proposer}: {reason})");
    }
    Ok(text)
}

/// Formats one row per lease.
pub fn leases_table(leases: &Value) -> String {
    let mut text = format!("{:<12} {:<14} {:<10} held here\n", "duty", "holder", "token");
    for lease in leases["duties"].as_array().into_iter().flatten() {
        let [role, holder, token] = ["duty", "holder", "token"].map(|field| cell(&lease[field]));
        let held_here = if lease["held_here"] == true { "yes" } else { "no" };
        // Writing to a String can't fail.
        let _ = writeln!(text, "{role:<12} {holder:<14} {token:<10} {held_here}");
    }
    text
}
