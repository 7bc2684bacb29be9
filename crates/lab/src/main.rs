//! `lanespan-lab`: plays experiments.

use clap::{Parser, Subcommand};
use lanespan_lab::broken;
use lanespan_lab::experiment::Experiment;
use lanespan_lab::report::Report;
use lanespan_lab::rig::{play, Rig};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

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
    /// Stand in for a gateway that is broken on purpose, as `broken` in its file names it
    #[command(hide = true)]
    Run {
        /// A gateway's file, in JSON
        #[arg(long, env = "NODE_CONFIG")]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    let done = match Lab::parse().command {
        Command::Fleet { file, lanespan, seed, out } => fleet(&file, lanespan, seed, out).map(|report| {
            print!("{}", report.text());
            report.holds()
        }),
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

fn stand_in(config: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(config).map_err(|error| error.to_string())?;
    let config = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    play(broken::run(&config))
}

fn fleet(
    file: &Path,
    program: Option<PathBuf>,
    seed: Option<u64>,
    out: Option<PathBuf>,
) -> Result<Report, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let mut experiment = Experiment::read(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    let beside = || std::env::current_exe().ok().map(|own| own.with_file_name("lanespan"));
    let program = program.or_else(beside).filter(|program| program.exists());
    let program = program.ok_or("no gateway program: build it or name it with --lanespan")?;
    let out =
        out.unwrap_or_else(|| std::env::temp_dir().join(format!("lanespan-lab-{}", std::process::id())));
    play(async {
        let rig = Rig::start(&experiment, &program, &out).await?;
        // Ctrl-C ends the run; what was played is reported.
        let interrupted = tokio::select! {
            ran = rig.run() => { ran?; false }
            _ = tokio::signal::ctrl_c() => true,
        };
        let broken = if interrupted { Vec::new() } else { rig.check().await };
        let report = rig.report(broken);
        rig.end().await;
        let json = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
        let path = out.join("report.json");
        std::fs::write(&path, json).map_err(|e| format!("{}: {e}", path.display()))?;
        println!("logs and report.json in {}", out.display());
        match interrupted {
            true => Err("interrupted; report.json holds what was played".to_string()),
            false => Ok(report),
        }
    })
}
