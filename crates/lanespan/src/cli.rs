//! What the command line may say.

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use lanespan_gateway::config::{Origin, Source};
use std::net::SocketAddr;
use std::path::PathBuf;

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
    Run(RunFile),
    /// Check, show and explain configuration files
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Ask a running gateway how it is, through its admin address
    #[command(after_help = "Examples:\n  lanespan status --admin 127.0.0.1:9901\n  \
        lanespan status --config lanespan.toml --json")]
    Status(Status),
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
    Check(File),
    /// Print a file as it was understood, with the bounds that follow from it
    Show(File),
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
    Members(Status),
    /// Show and change the plan that all gateways act on
    #[command(subcommand)]
    Plan(PlanCommand),
    /// Add and remove those that vote on the plan, one at a time
    #[command(subcommand)]
    Voters(VotersCommand),
    /// List who holds which duty
    #[command(after_help = "Example:\n  lanespan fleet duties --admin 127.0.0.1:9901")]
    Duties(Status),
}

#[derive(Subcommand)]
pub enum PlanCommand {
    /// Show the plan that a gateway acts on
    #[command(after_help = "Example:\n  lanespan fleet plan show --admin 127.0.0.1:9901")]
    Show(Status),
    /// List the entries that a gateway still keeps
    History(Status),
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
        asked: Status,
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
    pub asked: Status,
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
        asked: Status,
    },
    /// Remove one
    Remove {
        /// Its name
        name: String,
        /// Why
        #[arg(long)]
        reason: String,
        #[command(flatten)]
        asked: Status,
    },
}

#[derive(Args)]
pub struct RunFile {
    /// An operator's configuration: TOML if its name ends so, else JSON [default: the platform's, which NODE_CONFIG
    /// names]
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

#[derive(Args)]
pub struct File {
    /// The configuration: TOML if its name ends so, else JSON [default: the platform's, which NODE_CONFIG names]
    #[arg(value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Read it as the platform's, which may hold any key
    #[arg(long)]
    pub platform: bool,
}

#[derive(Args)]
pub struct Status {
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

impl Status {
    /// The address to ask.
    pub fn door(&self) -> Result<SocketAddr, Vec<String>> {
        if let Some(admin) = self.admin {
            return Ok(admin);
        }
        let source = source(self.config.clone(), false).map_err(|problem| vec![problem])?;
        let config = source.read().map_err(|error| error.lines().to_vec())?;
        let path = source.sections.as_ref().unwrap_or(&source.path);
        config.admin().ok_or_else(|| vec![format!("{}: admin: there is no such section", path.display())])
    }
}

/// The file that was named, or else the platform's, with what the environment says. A file that was named is an
/// operator's unless it is said to be the platform's.
pub fn source(named: Option<PathBuf>, platform: bool) -> Result<Source, String> {
    let path_from = |variable| std::env::var_os(variable).map(PathBuf::from);
    let origin = if named.is_some() && !platform { Origin::Operator } else { Origin::Platform };
    let path = named.or_else(|| path_from("NODE_CONFIG"));
    Ok(Source {
        path: path.ok_or("name a configuration file, or set NODE_CONFIG to the platform's; see --help")?,
        origin,
        sections: path_from("LANESPAN_CONFIG").filter(|_| origin == Origin::Platform),
        name: std::env::var("NODE_NAME").ok(),
        listen: address("NODE_LISTEN")?,
        discovery: address("NODE_DISCOVERY")?,
        names: path_from("LANESPAN_NAMES"),
    })
}

fn address(name: &str) -> Result<Option<SocketAddr>, String> {
    let Ok(text) = std::env::var(name) else { return Ok(None) };
    let wrong = |_| format!("{name}: expected an address and a port, found '{text}'");
    text.parse().map(Some).map_err(wrong)
}

/// A script for this shell.
pub fn completions(shell: Shell) -> String {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Lanespan::command(), "lanespan", &mut script);
    String::from_utf8_lossy(&script).into_owned()
}
