//! `lanespan`: runs a gateway, checks its configuration and queries running gateways.

mod admin;
mod cli;
mod fleet;
mod replication;
mod run;
mod status;

use clap::Parser;
use cli::{Command, ConfigCommand, FleetCommand, Lanespan};
use lanespan_gateway::config::{document, Origin, Source};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Returns freed memory to the system, by the settings in .cargo/config.toml, so that the resident memory of a gateway
/// follows its memory account.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// The exit code for an invalid command line or configuration.
const EXIT_USAGE: u8 = 2;

/// A commented example configuration that a gateway starts with unchanged.
const EXAMPLE: &str = include_str!("../example.toml");

fn main() -> ExitCode {
    match Lanespan::parse().command {
        Command::Run(file) => with_source(file.config, false, run::run),
        Command::Config(ConfigCommand::Check(file)) => with_source(file.config, file.platform, check_config),
        Command::Config(ConfigCommand::Show(file)) => with_source(file.config, file.platform, show_config),
        Command::Config(ConfigCommand::Example) => print(EXAMPLE),
        Command::Config(ConfigCommand::Schema) => print(&format!("{:#}\n", document::schema())),
        Command::Config(ConfigCommand::Reference) => print(&document::reference()),
        Command::Status(admin) => query(&admin, status::STATE_PATH, status::table),
        Command::Fleet(FleetCommand::Members(admin)) => {
            query(&admin, fleet::MEMBERS_PATH, fleet::members_table)
        }
        Command::Fleet(FleetCommand::Plan(command)) => replication::run_plan_command(&command),
        Command::Fleet(FleetCommand::Voters(command)) => replication::run_voters_command(&command),
        Command::Fleet(FleetCommand::Duties(admin)) => {
            query(&admin, replication::LEASES_PATH, replication::leases_table)
        }
        Command::Completions { shell } => print(&cli::completions(shell)),
    }
}

/// Queries a running gateway, and prints its response as JSON or as a table.
fn query(admin: &cli::AdminArgs, path: &str, table: fn(&serde_json::Value) -> String) -> ExitCode {
    let address = match admin.address() {
        Ok(address) => address,
        Err(error) => return usage_error(&error.lines()),
    };
    match admin::get_json(address, path) {
        Ok(response) if admin.json => print(&format!("{response:#}\n")),
        Ok(response) => print(&table(&response)),
        Err(error) => {
            eprintln!("lanespan: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints whether a configuration file is valid, whether it was read as an operator's or as the platform's, and which
/// keys were ignored.
fn check_config(source: &Source) -> ExitCode {
    let path = source.path.display();
    let config = match source.read() {
        Ok(config) => config,
        Err(error) => {
            let _ = print(&format!("{path}: {}\n", read_as(source.origin)));
            return usage_error(error.lines());
        }
    };
    let ignored = config.ignored();
    let mut text = format!("{path}: valid\n{path}: {}\n", read_as(source.origin));
    if !ignored.keys.is_empty() {
        text.push_str(&format!("{path}: ignored, as not the gateway's: {}\n", ignored.summary()));
    }
    for line in &ignored.unreadable {
        text.push_str(&format!("{path}: ignored: {line}\n"));
    }
    print(&text)
}

/// Describes how a file of this origin was read.
fn read_as(origin: Origin) -> &'static str {
    match origin {
        Origin::Operator => {
            "read as an operator's, in which every key is the gateway's; --platform reads the platform's"
        }
        Origin::Platform => {
            "read as the platform's, in which keys that the gateway does not know are ignored"
        }
    }
}

/// Prints the effective configuration.
fn show_config(source: &Source) -> ExitCode {
    match source.read() {
        Ok(config) => print(&format!("{:#}\n", config.effective())),
        Err(error) => usage_error(error.lines()),
    }
}

/// Runs a command with the named configuration file, or else with the platform's.
fn with_source(file: Option<PathBuf>, platform: bool, command: impl FnOnce(&Source) -> ExitCode) -> ExitCode {
    match cli::config_source(file, platform) {
        Ok(source) => command(&source),
        Err(error) => usage_error(&error.lines()),
    }
}

/// Prints each problem on its own line to standard error, and returns the exit code for invalid usage.
fn usage_error(problems: &[String]) -> ExitCode {
    problems.iter().for_each(|problem| eprintln!("lanespan: {problem}"));
    ExitCode::from(EXIT_USAGE)
}

/// Prints to standard output. Fails without a panic if its reader has closed the pipe.
fn print(text: &str) -> ExitCode {
    match std::io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

#[cfg(test)]
mod tests;
