//! The command line: commands, options, and the configuration that they name.

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use lanespan_gateway::config::{Origin, Source};
use lanespan_gateway::config_error::ConfigError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A gateway that holds the customers of a package registry to quotas which all gateways share, and spreads their
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
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run a gateway until SIGTERM; SIGHUP reads its file again
    #[command(after_help = "Examples:\n  lanespan run --config lanespan.toml\n  \
        NODE_CONFIG=/run/balancer/config.json lanespan run")]
    Run(RunArgs),
    /// Check, show and explain configuration files
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Ask a running gateway how it is, through its admin address
    #[command(after_help = "Examples:\n  lanespan status --admin 127.0.0.1:9901\n  \
        lanespan status --config lanespan.toml --json")]
    Status(AdminArgs),
    /// Ask a running gateway what it knows of the others
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Print a shell's completions
    #[command(after_help = "Example:\n  lanespan completions bash > /etc/bash_completion.d/lanespan")]
    Completions {
        /// The shell
        shell: Shell,
    },
}

#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Tell every problem of a file, a line each
    #[command(after_help = "Example:\n  lanespan config check lanespan.toml && kill -HUP $(pidof lanespan)")]
    Check(ConfigArgs),
    /// Print a file as it was understood, with the bounds that follow from it
    Show(ConfigArgs),
    /// Print a commented file that a gateway starts with as it is
    #[command(after_help = "Example:\n  lanespan config example > lanespan.toml")]
    Example,
    /// Print the JSON schema of the file
    Schema,
    /// Print the tables of docs/configuration.md
    Reference,
}

#[derive(Subcommand)]
pub enum FleetCommand {
    /// List the gateways that it knows, by zone
    #[command(after_help = "Examples:\n  lanespan fleet members --admin 127.0.0.1:9901\n  \
        lanespan fleet members --config lanespan.toml --json")]
    Members(AdminArgs),
    /// Show and change the plan that all gateways act on
    #[command(subcommand)]
    Plan(PlanCommand),
    /// Add and remove those that vote on the plan, one at a time
    #[command(subcommand)]
    Voters(VotersCommand),
    /// List who holds which duty
    #[command(after_help = "Example:\n  lanespan fleet duties --admin 127.0.0.1:9901")]
    Duties(AdminArgs),
}

#[derive(Subcommand)]
pub enum PlanCommand {
    /// Show the plan that a gateway acts on
    #[command(after_help = "Example:\n  lanespan fleet plan show --admin 127.0.0.1:9901")]
    Show(AdminArgs),
    /// List the entries that a gateway still keeps
    History(AdminArgs),
    /// Propose a change; exit code 3 if it is refused, 4 if another gateway decides, 5 if it is not decided in time
    #[command(
        after_help = "Example:\n  lanespan fleet plan propose versions floor 17 --reason \"release 17\" \\\n    \
        --admin 127.0.0.1:9901"
    )]
    Propose(ProposeArgs),
    /// List what changed after one index up to another
    Diff {
        /// The earlier index
        from: u64,
        /// The later index
        to: u64,
        #[command(flatten)]
        admin: AdminArgs,
    },
}

#[derive(Args)]
pub struct ProposeArgs {
    /// The section
    pub section: String,
    /// The item
    pub key: String,
    /// What it holds from now on; without one it is removed
    pub value: Option<String>,
    /// Why
    #[arg(long)]
    pub reason: String,
    /// Who asks
    #[arg(long, default_value = "operator")]
    pub proposer: String,
    /// A digest of what it was concluded from
    #[arg(long, default_value = "")]
    pub evidence: String,
    /// Only if the plan is at this index
    #[arg(long)]
    pub expected: Option<u64>,
    /// Only if the item was last changed at this index; 0: only if it is not there
    #[arg(long)]
    pub after: Option<u64>,
    /// The id under which it was sent before
    #[arg(long)]
    pub id: Option<u64>,
    #[command(flatten)]
    pub admin: AdminArgs,
}

#[derive(Subcommand)]
pub enum VotersCommand {
    /// Add a gateway that has a plan directory
    Add {
        /// Its name
        name: String,
        /// Its plan's address
        address: SocketAddr,
        /// Its zone
        #[arg(long)]
        zone: String,
        /// Why
        #[arg(long)]
        reason: String,
        #[command(flatten)]
        admin: AdminArgs,
    },
    /// Remove one
    Remove {
        /// Its name
        name: String,
        /// Why
        #[arg(long)]
        reason: String,
        #[command(flatten)]
        admin: AdminArgs,
    },
}

#[derive(Args)]
pub struct RunArgs {
    /// An operator's configuration: TOML if its name ends so, else JSON [default: the platform's, which NODE_CONFIG
    /// names]
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

#[derive(Args)]
pub struct ConfigArgs {
    /// The configuration: TOML if its name ends so, else JSON [default: the platform's, which NODE_CONFIG names]
    #[arg(value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Read it as the platform's, which may hold any key
    #[arg(long)]
    pub platform: bool,
}

#[derive(Args)]
pub struct AdminArgs {
    /// The gateway's admin address
    #[arg(long, value_name = "ADDRESS")]
    pub admin: Option<SocketAddr>,
    /// Its configuration, which names the address [default: the platform's, which NODE_CONFIG names]
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Print JSON for programs
    #[arg(long)]
    pub json: bool,
}

impl AdminArgs {
    /// The admin address that is named, or that of the configuration.
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

/// Why a command line, with the environment and the files that it names, makes no sense.
#[derive(Debug, Error)]
pub enum UsageError {
    /// Neither the command line nor the environment names a configuration.
    #[error("name a configuration file, or set NODE_CONFIG to the platform's; see --help")]
    NoConfig,
    /// A variable of the environment holds no address.
    #[error("{variable}: expected an address and a port, found '{text}'")]
    InvalidAddress {
        /// The variable.
        variable: &'static str,
        /// Its text.
        text: String,
    },
    /// The configuration is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configuration has no admin address.
    #[error("{}: admin: there is no such section", .0.display())]
    NoAdminSection(PathBuf),
}

impl UsageError {
    /// Each problem, as it is printed on a line of its own.
    pub fn lines(&self) -> Vec<String> {
        match self {
            UsageError::Config(error) => error.lines().to_vec(),
            error => vec![error.to_string()],
        }
    }
}

/// The file that is named, or else the platform's, with the settings of the environment. A named file is an operator's
/// unless `platform` is set.
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

fn address_from(variable: &'static str) -> Result<Option<SocketAddr>, UsageError> {
    let Ok(text) = std::env::var(variable) else { return Ok(None) };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(UsageError::InvalidAddress { variable, text }),
    }
}

/// The completion script for a shell.
pub fn completions(shell: Shell) -> String {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Lanespan::command(), "lanespan", &mut script);
    String::from_utf8_lossy(&script).into_owned()
}
