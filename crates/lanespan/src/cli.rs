//! The command line: its commands and options, and which configuration file they select.

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use lanespan_gateway::config::{Origin, Source};
use lanespan_gateway::config_error::ConfigError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A gateway that enforces the quotas of a package registry's customers, which all gateways share, and balances their
/// requests over backends.
#[derive(Parser)]
#[command(
    name = "lanespan",
    version,
    arg_required_else_help = true,
    after_help = "Examples:\n  lanespan config example > lanespan.toml\n  lanespan config check lanespan.toml\n  \
        lanespan run --config lanespan.toml"
)]
pub struct Lanespan {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run a gateway until SIGTERM; SIGHUP reloads its configuration
    #[command(after_help = "Examples:\n  lanespan run --config lanespan.toml\n  \
        NODE_CONFIG=/run/balancer/config.json lanespan run")]
    Run(RunArgs),
    /// Check, show and explain configuration files
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Show the state of a running gateway, from its admin address
    #[command(after_help = "Examples:\n  lanespan status --admin 127.0.0.1:9901\n  \
        lanespan status --config lanespan.toml --json")]
    Status(AdminArgs),
    /// Show the fleet as a running gateway sees it, and change the fleet document
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Print the completion script for a shell
    #[command(after_help = "Example:\n  lanespan completions bash > /etc/bash_completion.d/lanespan")]
    Completions {
        /// The shell
        shell: Shell,
    },
}

#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Report every problem of a file, one per line
    #[command(after_help = "Example:\n  lanespan config check lanespan.toml && kill -HUP $(pidof lanespan)")]
    Check(ConfigArgs),
    /// Print the effective configuration of a file, with the limits derived from it
    Show(ConfigArgs),
    /// Print a commented example that a gateway starts with unchanged
    #[command(after_help = "Example:\n  lanespan config example > lanespan.toml")]
    Example,
    /// Print the JSON schema of the configuration file
    Schema,
    /// Print the reference tables of docs/configuration.md
    Reference,
}

#[derive(Subcommand)]
pub enum FleetCommand {
    /// List the known gateways and count them by zone
    #[command(after_help = "Examples:\n  lanespan fleet members --admin 127.0.0.1:9901\n  \
        lanespan fleet members --config lanespan.toml --json")]
    Members(AdminArgs),
    /// Show and change the fleet document that all gateways act on
    #[command(subcommand)]
    Plan(PlanCommand),
    /// Add and remove voters of the fleet document, one at a time
    #[command(subcommand)]
    Voters(VotersCommand),
    /// List the leases and their holders
    #[command(after_help = "Example:\n  lanespan fleet duties --admin 127.0.0.1:9901")]
    Duties(AdminArgs),
}

#[derive(Subcommand)]
pub enum PlanCommand {
    /// Show the fleet document that a gateway acts on
    #[command(after_help = "Example:\n  lanespan fleet plan show --admin 127.0.0.1:9901")]
    Show(AdminArgs),
    /// List the entries of the fleet document that a gateway retains
    History(AdminArgs),
    /// Propose a change; exit code 3 if it is rejected, 4 if the gateway is not the leader, 5 if the gateway is busy or
    /// does not decide in time
    #[command(
        after_help = "Example:\n  lanespan fleet plan propose versions floor 17 --reason \"release 17\" \\\n    \
        --admin 127.0.0.1:9901"
    )]
    Propose(ProposeArgs),
    /// List the items that changed after one index, up to and including another
    Diff {
        /// The index after which changes are listed
        from: u64,
        /// The last index
        to: u64,
        #[command(flatten)]
        admin: AdminArgs,
    },
}

#[derive(Args)]
pub struct ProposeArgs {
    /// The section of the fleet document
    pub section: String,
    /// The key of the item in its section
    pub key: String,
    /// The new value of the item; without a value the item is removed
    pub value: Option<String>,
    /// The reason, recorded with the entry
    #[arg(long)]
    pub reason: String,
    /// Who proposes the change
    #[arg(long, default_value = "operator")]
    pub proposer: String,
    /// A digest of the data that the change is based on
    #[arg(long, default_value = "")]
    pub evidence: String,
    /// Accept the change only if the fleet document is at this index
    #[arg(long)]
    pub expected: Option<u64>,
    /// Accept the change only if the item was last changed at this index; 0: only if the item does not exist
    #[arg(long)]
    pub after: Option<u64>,
    /// The id under which the same proposal was sent before
    #[arg(long)]
    pub id: Option<u64>,
    #[command(flatten)]
    pub admin: AdminArgs,
}

#[derive(Subcommand)]
pub enum VotersCommand {
    /// Add a gateway that has a plan directory
    Add {
        /// The name of the gateway
        name: String,
        /// The gateway's replication address
        address: SocketAddr,
        /// The gateway's zone
        #[arg(long)]
        zone: String,
        /// The reason, recorded with the entry
        #[arg(long)]
        reason: String,
        #[command(flatten)]
        admin: AdminArgs,
    },
    /// Remove a voter
    Remove {
        /// The name of the voter
        name: String,
        /// The reason, recorded with the entry
        #[arg(long)]
        reason: String,
        #[command(flatten)]
        admin: AdminArgs,
    },
}

#[derive(Args)]
pub struct RunArgs {
    /// An operator's configuration: TOML if its name ends in .toml, else JSON [default: the platform's, named by
    /// NODE_CONFIG]
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

#[derive(Args)]
pub struct ConfigArgs {
    /// The configuration: TOML if its name ends in .toml, else JSON [default: the platform's, named by NODE_CONFIG]
    #[arg(value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Read the file as the platform's, which may have keys unknown to the gateway
    #[arg(long)]
    pub platform: bool,
}

#[derive(Args)]
pub struct AdminArgs {
    /// The gateway's admin address
    #[arg(long, value_name = "ADDRESS")]
    pub admin: Option<SocketAddr>,
    /// The gateway's configuration, which has the admin address [default: the platform's, named by NODE_CONFIG]
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Print JSON instead of a table
    #[arg(long)]
    pub json: bool,
}

impl AdminArgs {
    /// Returns the address given with `--admin`, or else the admin address of the configuration.
    pub fn address(&self) -> Result<SocketAddr, UsageError> {
        if let Some(admin) = self.admin {
            return Ok(admin);
        }
        let source = config_source(self.config.clone(), false)?;
        let config = source.read()?;
        let path = source.sections.as_ref().unwrap_or(&source.path);
        config.admin_address().ok_or_else(|| UsageError::NoAdminSection(path.clone()))
    }
}

/// Why a command line is invalid, with the environment and the files that it names.
#[derive(Debug, Error)]
pub enum UsageError {
    /// Neither the command line nor the environment names a configuration.
    #[error("no configuration file: name one, or set NODE_CONFIG to the platform's; see --help")]
    NoConfig,
    /// The value of an environment variable is not an address with a port.
    #[error("{variable}: expected an address and a port, found '{text}'")]
    InvalidAddress {
        /// The name of the variable.
        variable: &'static str,
        /// The value of the variable.
        text: String,
    },
    /// The configuration is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configuration has no admin address.
    #[error("{}: admin: expected a section with the admin address, found none", .0.display())]
    NoAdminSection(PathBuf),
}

impl UsageError {
    /// Returns one line for each problem.
    pub fn lines(&self) -> Vec<String> {
        match self {
            UsageError::Config(error) => error.lines().to_vec(),
            error => vec![error.to_string()],
        }
    }
}

/// Returns the named configuration file, or else the platform's, with the settings from the environment. A named file
/// is read as an operator's unless `platform` is set.
pub fn config_source(named: Option<PathBuf>, platform: bool) -> Result<Source, UsageError> {
    let path_from = |variable| std::env::var_os(variable).map(PathBuf::from);
    let origin = if named.is_some() && !platform { Origin::Operator } else { Origin::Platform };
    let path = named.or_else(|| path_from("NODE_CONFIG"));
    Ok(Source {
        path: path.ok_or(UsageError::NoConfig)?,
        origin,
        sections: path_from("LANESPAN_CONFIG").filter(|_| origin == Origin::Platform),
        name: std::env::var("NODE_NAME").ok(),
        listen: address_from("NODE_LISTEN")?,
        discovery: address_from("NODE_DISCOVERY")?,
        names: path_from("LANESPAN_NAMES"),
    })
}

/// Reads an address with a port from an environment variable; `None` if the variable is not set.
fn address_from(variable: &'static str) -> Result<Option<SocketAddr>, UsageError> {
    let Ok(text) = std::env::var(variable) else { return Ok(None) };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(UsageError::InvalidAddress { variable, text }),
    }
}

/// Returns the completion script for a shell.
pub fn completions(shell: Shell) -> String {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Lanespan::command(), "lanespan", &mut script);
    String::from_utf8_lossy(&script).into_owned()
}
