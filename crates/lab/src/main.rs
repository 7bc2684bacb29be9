//! `lanespan-lab`: plays experiments.

use clap::{Parser, Subcommand};
use lanespan_lab::defective_gateway::DefectiveGatewayError;
use lanespan_lab::experiment::{Experiment, ExperimentError};
use lanespan_lab::measure::{self, MeasureError};
use lanespan_lab::report::Report;
use lanespan_lab::rig::{block_on, Rig, RigError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

/// Plays experiments with fleets of gateways on loopback.
#[derive(Parser)]
#[command(name = "lanespan-lab", version, arg_required_else_help = true)]
struct Lab {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play an experiment file with real processes; exit code 1 where a check fails
    #[command(after_help = "Example:\n  lanespan-lab fleet experiments/three-zones.toml")]
    Fleet {
        /// The experiment
        file: PathBuf,
        /// The gateway program; by default `lanespan` beside this one
        #[arg(long)]
        lanespan: Option<PathBuf>,
        /// Another seed than the file's
        #[arg(long)]
        seed: Option<u64>,
        /// Where the report, files and logs go; by default a new folder among the temporary ones
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Measure what presence costs and how soon a kill is known
    #[command(after_help = "Example:\n  lanespan-lab presence --members 3,12,30,300 --seeds 3")]
    Presence {
        /// How many gateways, a list
        #[arg(long, value_delimiter = ',', default_value = "3,12,30")]
        members: Vec<usize>,
        /// How many seeds, for those in simulation
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// How many members in a hundred are slow, in simulation
        #[arg(long, default_value_t = 0)]
        slow: usize,
        /// With real processes of this program, not in simulation
        #[arg(long)]
        real: Option<PathBuf>,
    },
    /// Measure how soon the fleet plan is agreed on, acted on and handed over
    #[command(after_help = "Example:\n  lanespan-lab plan --members 300,1000 --seeds 3")]
    Plan {
        /// How many gateways, a list
        #[arg(long, value_delimiter = ',', default_value = "300")]
        members: Vec<usize>,
        /// How many seeds, for those in simulation
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// With real processes of this program, not in simulation
        #[arg(long)]
        real: Option<PathBuf>,
    },
    /// Measure what the rig itself bears, beside a plain echo
    #[command(after_help = "Example:\n  lanespan-lab ceiling")]
    Ceiling {
        /// The gateway program; by default `lanespan` beside this one
        #[arg(long)]
        lanespan: Option<PathBuf>,
        /// From which the load is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Stand in for a gateway that is broken on purpose, as `broken` in its file names it
    #[command(hide = true)]
    Run {
        /// A gateway's file, in JSON
        #[arg(long)]
        config: PathBuf,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum LabError {
    /// A file could not be read or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: std::io::Error },
    /// A file is not an experiment.
    #[error("{}: {source}", path.display())]
    Experiment { path: PathBuf, source: ExperimentError },
    /// The fleet failed.
    #[error(transparent)]
    Rig(#[from] RigError),
    /// A measurement failed.
    #[error(transparent)]
    Measure(#[from] MeasureError),
    /// The broken gateway failed.
    #[error(transparent)]
    Broken(#[from] DefectiveGatewayError),
    /// The broken gateway's file could not be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A configuration or a report is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// There is no gateway program to run.
    #[error("no gateway program: build it or name it with --lanespan")]
    NoProgram,
    /// Interrupted while the fleet started.
    #[error("interrupted before all was started")]
    InterruptedStart,
    /// Interrupted while the experiment was played.
    #[error("interrupted; report.json holds what was played")]
    Interrupted,
}

fn file_error(path: &Path, source: std::io::Error) -> LabError {
    LabError::File { path: path.to_path_buf(), source }
}

fn main() -> ExitCode {
    let done = match Lab::parse().command {
        Command::Fleet { file, lanespan, seed, out } => fleet(&file, lanespan, seed, out).map(|report| {
            print!("{}", report.text());
            report.holds()
        }),
        Command::Presence { members, seeds, slow, real } => {
            presence(&members, seeds, slow, real).map(|()| true)
        }
        Command::Plan { members, seeds, real } => plan(&members, seeds, real).map(|()| true),
        Command::Ceiling { lanespan, seed } => ceiling(lanespan, seed).map(|()| true),
        Command::Run { config } => stand_in(&config).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("lanespan-lab: {problem}");
            ExitCode::from(2)
        }
    }
}

fn presence(members: &[usize], seeds: u64, slow: usize, real: Option<PathBuf>) -> Result<(), LabError> {
    if let Some(program) = real {
        println!("{}", measure::REAL);
        for count in members {
            let out = temporary().join(count.to_string());
            println!("{}", block_on(measure::real(*count, &program, &out))?);
        }
        return Ok(());
    }
    println!("{}", measure::SIMULATED);
    for (count, seed) in members.iter().flat_map(|count| (1..=seeds).map(move |seed| (*count, seed))) {
        println!("{}", measure::simulated(count, seed, slow));
    }
    Ok(())
}

fn plan(members: &[usize], seeds: u64, real: Option<PathBuf>) -> Result<(), LabError> {
    if let Some(program) = real {
        println!("{}", measure::PLAN_REAL);
        for count in members {
            let out = temporary().join(count.to_string());
            println!("{}", block_on(measure::plan_real(*count, &program, &out))?);
        }
        return Ok(());
    }
    println!("{}", measure::PLAN_SIMULATED);
    for (count, seed) in members.iter().flat_map(|count| (1..=seeds).map(move |seed| (*count, seed))) {
        println!("{}", measure::plan_simulated(count, seed));
    }
    Ok(())
}

/// The gateway program.
fn gateway(named: Option<PathBuf>) -> Result<PathBuf, LabError> {
    let beside = || std::env::current_exe().ok().map(|own| own.with_file_name("lanespan"));
    let program = named.or_else(beside).filter(|program| program.exists());
    program.ok_or(LabError::NoProgram)
}

fn ceiling(program: Option<PathBuf>, seed: u64) -> Result<(), LabError> {
    let program = gateway(program)?;
    println!("{}", measure::CEILING);
    block_on(measure::ceiling(&program, &temporary(), seed))?.iter().for_each(|row| println!("{row}"));
    Ok(())
}

/// Ctrl-C or SIGTERM.
async fn termination_signal() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = terminate.recv() => {}
        },
        // Without it Ctrl-C is left.
        Err(_) => drop(tokio::signal::ctrl_c().await),
    }
}

/// A folder for the files of this process.
fn temporary() -> PathBuf {
    std::env::temp_dir().join(format!("lanespan-lab-{}", std::process::id()))
}

fn stand_in(config: &Path) -> Result<(), LabError> {
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
    let program = gateway(program)?;
    let out = out.unwrap_or_else(temporary);
    block_on(async {
        let starting = Rig::start(&experiment, &program, &out);
        let rig = tokio::select! {
            rig = starting => rig?,
            () = termination_signal() => return Err(LabError::InterruptedStart),
        };
        println!("playing; logs in {}", out.display());
        // What was played until then is reported.
        let interrupted = tokio::select! {
            ran = rig.run() => { ran?; false }
            () = termination_signal() => true,
        };
        let broken = if interrupted { Vec::new() } else { rig.check().await };
        let report = rig.report(broken);
        rig.end().await;
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
