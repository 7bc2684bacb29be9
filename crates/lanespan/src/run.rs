//! `lanespan run`: starts a gateway, reloads its configuration at SIGHUP and stops it at SIGTERM.

use lanespan_gateway::config::{Config, IgnoredKeys, Source, Upstreams};
use serde_json::Value;
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tracing::{info, warn};

/// Runs a gateway with this configuration until it stops.
pub fn run(source: &Source) -> ExitCode {
    let config = match source.read() {
        Ok(config) => config,
        Err(error) => return super::usage_error(error.lines()),
    };
    // By default a failed write to the log is reported on standard error, which panics if its reader has closed it.
    let log = tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr);
    log.log_internal_errors(false).init();
    log_ignored(config.ignored());
    match run_until_stopped(config, source.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lanespan: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Logs the ignored parts of a configuration: one line for the keys that are not the gateway's, and one for each
/// unreadable value.
fn log_ignored(ignored: &IgnoredKeys) {
    let IgnoredKeys { keys, unreadable } = ignored;
    if !keys.is_empty() {
        let keys = ignored.summary();
        info!(
            keys,
            "ignored keys of the platform's file; LANESPAN_CONFIG names a file with the gateway's own"
        );
    }
    for problem in unreadable {
        warn!(problem, "configuration: ignored an unreadable value");
    }
}

/// Runs a gateway on a runtime of its own until it stops.
fn run_until_stopped(config: Config, source: Source) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let terminate = signal(SignalKind::terminate())?;
        // Registered before the gateway starts, because an unhandled SIGHUP would end the process.
        let hang_up = signal(SignalKind::hangup())?;
        let (stop, stopping) = watch::channel(false);
        let (reload, upstreams) = watch::channel(config.upstreams());
        spawn_local(stop_on_sigterm(terminate, stop));
        spawn_local(reload_on_sighup(hang_up, source, config.restart_only(), reload));
        Ok(lanespan_gateway::run(config, upstreams, stopping).await?)
    })
}

/// Initiates a graceful shutdown at the first SIGTERM.
async fn stop_on_sigterm(mut terminate: Signal, stop: watch::Sender<bool>) {
    if terminate.recv().await.is_some() {
        info!("stopping");
        // The send fails if the gateway has already stopped.
        let _ = stop.send(true);
        // Never returns, because the sender must outlive the gateway's graceful shutdown.
        std::future::pending::<()>().await;
    }
}

/// Reloads the configuration at each SIGHUP, and applies the parts that do not need a restart.
async fn reload_on_sighup(
    mut hang_up: Signal,
    source: Source,
    restart_only: Vec<(&'static str, Value)>,
    reload: watch::Sender<Upstreams>,
) {
    while hang_up.recv().await.is_some() {
        match source.reload() {
            Ok(newer) => {
                log_ignored(newer.ignored());
                let upstreams = newer.upstreams();
                info!(%upstreams, "configuration reloaded");
                let changed = newer.changed_sections(&restart_only);
                if !changed.is_empty() {
                    warn!(
                        keys = changed.join(", "),
                        "configuration: a change to these sections needs a restart"
                    );
                }
                reload.send_replace(upstreams);
            }
            Err(problem) => warn!(%problem, "configuration not usable; the previous one stays in effect"),
        }
    }
}
