//! `lanespan-lab`: runs experiments with fleets of gateways and measures their behavior.

use clap::{Parser, Subcommand};
use lanespan_lab::defective_gateway::DefectiveGatewayError;
use lanespan_lab::experiment::{Experiment, ExperimentError};
use lanespan_lab::measure::{self, MeasureError};
use lanespan_lab::report::Report;
use lanespan_lab::rig::{block_on, Rig, RigError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

/// Runs experiments with fleets of gateways on loopback.
#[derive(Parser)]
#[command(name = "lanespan-lab", version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment file with real processes; exits with code 1 if a check fails
    #[command(after_help = "Example:\n  lanespan-lab fleet experiments/three-zones.toml")]
    Fleet {
        /// Path of the experiment file
        file: PathBuf,
        /// Path of the gateway program [default: `lanespan` in the directory of this program]
        #[arg(long)]
        lanespan: Option<PathBuf>,
        /// Seed to use instead of the one in the file
        #[arg(long)]
        seed: Option<u64>,
        /// Directory for the report, configuration files and logs [default: a new temporary directory]
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Measure the cost of membership and the time to detect a killed gateway
    #[command(after_help = "Example:\n  lanespan-lab presence --members 3,12,30,300 --seeds 3")]
    Presence {
        /// Numbers of gateways, comma-separated
        #[arg(long, value_delimiter = ',', default_value = "3,12,30")]
        members: Vec<usize>,
        /// Number of seeds in simulation
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Percentage of slow members in simulation
        #[arg(long, default_value_t = 0)]
        slow: usize,
        /// Path of a gateway program to run as real processes instead of a simulation
        #[arg(long)]
        real: Option<PathBuf>,
    },
    /// Measure how soon changes of the fleet document are accepted and applied, and leases handed over
    #[command(after_help = "Example:\n  lanespan-lab plan --members 300,1000 --seeds 3")]
    Plan {
        /// Numbers of gateways, comma-separated
        #[arg(long, value_delimiter = ',', default_value = "300")]
        members: Vec<usize>,
        /// Number of seeds in simulation
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Path of a gateway program to run as real processes instead of a simulation
        #[arg(long)]
        real: Option<PathBuf>,
    },
    /// Measure the highest load that the rig itself sustains, compared with a plain echo server
    #[command(after_help = "Example:\n  lanespan-lab ceiling")]
    Ceiling {
        /// Path of the gateway program [default: `lanespan` in the directory of this program]
        #[arg(long)]
        lanespan: Option<PathBuf>,
        /// Seed of the load
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Run a gateway with a deliberate defect, named by `broken` in its configuration file
    #[command(hide = true)]
    Run {
        /// Path of the configuration file, in JSON
        #[arg(long)]
        config: PathBuf,
    },
}

/// An error of a command.
#[derive(Debug, thiserror::Error)]
enum LabError {
    /// A file could not be read or written.
    #[error("cannot access {}: {source}", path.display())]
    File { path: PathBuf, source: std::io::Error },
    /// An experiment file is not valid.
    #[error("invalid experiment file {}: {source}", path.display())]
    Experiment { path: PathBuf, source: ExperimentError },
    /// Starting or controlling the fleet failed.
    #[error(transparent)]
    Rig(#[from] RigError),
    /// A measurement failed.
    #[error(transparent)]
    Measure(#[from] MeasureError),
    /// The defective gateway failed.
    #[error(transparent)]
    DefectiveGateway(#[from] DefectiveGatewayError),
    /// The defective gateway's configuration file could not be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The defective gateway's configuration is not valid JSON, or a report could not be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The gateway program does not exist.
    #[error("gateway program not found: build it or set its path with --lanespan")]
    NoProgram,
    /// Interrupted while the fleet was starting.
    #[error("interrupted while the fleet was starting")]
    InterruptedStart,
    /// Interrupted while the experiment was running.
    #[error("interrupted; report.json covers the run until then")]
    Interrupted,
}

fn file_error(path: &Path, source: std::io::Error) -> LabError {
    LabError::File { path: path.to_path_buf(), source }
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Fleet { file, lanespan, seed, out } => fleet(&file, lanespan, seed, out).map(|report| {
            print!("{}", report.text());
            report.passed()
        }),
        Command::Presence { members, seeds, slow, real } => {
            presence(&members, seeds, slow, real).map(|()| true)
        }
        Command::Plan { members, seeds, real } => plan(&members, seeds, real).map(|()| true),
        Command::Ceiling { lanespan, seed } => ceiling(lanespan, seed).map(|()| true),
        Command::Run { config } => run_defective_gateway(&config).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lanespan-lab: {error}");
            ExitCode::from(2)
        }
    }
}

fn presence(members: &[usize], seeds: u64, slow: usize, real: Option<PathBuf>) -> Result<(), LabError> {
    if let Some(program) = real {
        println!("{}", measure::MEMBERSHIP_REAL_HEADER);
        for count in members {
            let out = temporary_directory().join(count.to_string());
            println!("{}", block_on(measure::membership_real(*count, &program, &out))?);
        }
        return Ok(());
    }
    println!("{}", measure::MEMBERSHIP_SIMULATED_HEADER);
    for (count, seed) in members.iter().flat_map(|count| (1..=seeds).map(move |seed| (*count, seed))) {
        println!("{}", measure::membership_simulated(count, seed, slow));
    }
    Ok(())
}

fn plan(members: &[usize], seeds: u64, real: Option<PathBuf>) -> Result<(), LabError> {
    if let Some(program) = real {
        println!("{}", measure::DOCUMENT_REAL_HEADER);
        for count in members {
            let out = temporary_directory().join(count.to_string());
            println!("{}", block_on(measure::document_real(*count, &program, &out))?);
        }
        return Ok(());
    }
    println!("{}", measure::DOCUMENT_SIMULATED_HEADER);
    for (count, seed) in members.iter().flat_map(|count| (1..=seeds).map(move |seed| (*count, seed))) {
        println!("{}", measure::document_simulated(count, seed));
    }
    Ok(())
}

/// Returns the path of the gateway program: the given one, or `lanespan` in the directory of this program.
fn gateway_program(given: Option<PathBuf>) -> Result<PathBuf, LabError> {
    let sibling = || std::env::current_exe().ok().map(|lab| lab.with_file_name("lanespan"));
    let program = given.or_else(sibling).filter(|program| program.exists());
    program.ok_or(LabError::NoProgram)
}

fn ceiling(program: Option<PathBuf>, seed: u64) -> Result<(), LabError> {
    let program = gateway_program(program)?;
    println!("{}", measure::CEILING_HEADER);
    block_on(measure::ceiling(&program, &temporary_directory(), seed))?
        .iter()
        .for_each(|row| println!("{row}"));
    Ok(())
}

/// Waits for Ctrl-C or SIGTERM.
async fn termination_signal() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = terminate.recv() => {}
        },
        // Without a handler for SIGTERM, waits for Ctrl-C only.
        Err(_) => drop(tokio::signal::ctrl_c().await),
    }
}

/// Returns the path of this process's own temporary directory.
fn temporary_directory() -> PathBuf {
    std::env::temp_dir().join(format!("lanespan-lab-{}", std::process::id()))
}

fn run_defective_gateway(config: &Path) -> Result<(), LabError> {
    let text = std::fs::read_to_string(config)?;
    let config = serde_json::from_str(&text)?;
    Ok(block_on(lanespan_lab::defective_gateway::run(&config))?)
}

fn fleet(
    file: &Path,
    program: Option<PathBuf>,
    seed: Option<u64>,
    out: Option<PathBuf>,
) -> Result<Report, LabError> {
    let text = std::fs::read_to_string(file).map_err(|source| file_error(file, source))?;
    let mut experiment = Experiment::parse(&text)
        .map_err(|source| LabError::Experiment { path: file.to_path_buf(), source })?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    let program = gateway_program(program)?;
    let out = out.unwrap_or_else(temporary_directory);
    block_on(async {
        let start = Rig::start(&experiment, &program, &out);
        let rig = tokio::select! {
            rig = start => rig?,
            () = termination_signal() => return Err(LabError::InterruptedStart),
        };
        println!("running; logs in {}", out.display());
        // An interrupted run is reported up to the interruption, without checks.
        let interrupted = tokio::select! {
            result = rig.run() => { result?; false }
            () = termination_signal() => true,
        };
        let violations = if interrupted { Vec::new() } else { rig.check().await };
        let report = rig.report(violations);
        rig.shut_down().await;
        let json = serde_json::to_string_pretty(&report)?;
        let path = out.join("report.json");
        std::fs::write(&path, json).map_err(|source| file_error(&path, source))?;
        println!("report in {}", path.display());
        match interrupted {
            true => Err(LabError::Interrupted),
            false => Ok(report),
        }
    })
}
