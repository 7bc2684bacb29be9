//! Runs a fleet on loopback: gateways as processes, stand-ins as tasks, and a relay on every path between them.

mod config;
mod error;
mod faults;
mod parties;
mod proposals;
mod queries;
mod start;
mod waiting;

pub use error::RigError;

use crate::checks::{self, Violation};
use crate::experiment::Experiment;
use crate::gateway::{Gateway, ProcessState};
use crate::links::Links;
use crate::load::{schedule, Generator, LoadResults};
use crate::record::RunRecord;
use crate::report::Report;
use crate::stand_in::backend::{Arrival, Backend};
use crate::stand_in::counter::Counter;
use crate::stand_in::discovery::Discovery;
use crate::stand_in::ServiceListener;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The interval between checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between samples of the gateways' memory and descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a gateway may take to exit after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// How long to wait for pending proposals after the end of the load.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a future to completion on a new single-threaded runtime, and drops all tasks that it spawned.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, future)
}

/// A running fleet. Its processes are killed when it is dropped.
pub struct Rig {
    /// The gateways.
    pub gateways: Vec<Rc<Gateway>>,
    /// The simulated backends.
    pub backends: Vec<Rc<Backend>>,
    /// The simulated counter.
    pub counter: Rc<Counter>,
    /// The simulated discovery service.
    pub discovery: Rc<Discovery>,
    /// The links between the parties.
    pub links: Links,
    /// The requests of the load and their outcomes.
    pub results: Rc<LoadResults>,
    /// The requests received by backends.
    pub arrivals: Rc<RefCell<Vec<Arrival>>>,
    /// The applied actions and their times since the rig started.
    pub actions: RefCell<Vec<(Duration, String)>>,
    /// The gateways that were terminated and not started again, which the others must record as `left`.
    pub terminated: RefCell<BTreeSet<String>>,
    /// The directory of the configuration files and logs.
    pub directory: PathBuf,
    /// The index and value of each accepted proposal.
    pub proposals: Rc<RefCell<Vec<(u64, String)>>>,
    experiment: Experiment,
    generator: Rc<Generator>,
    epoch: Instant,
    discovery_listeners: Vec<ServiceListener>,
}

impl Rig {
    /// Returns the time since the rig started.
    pub fn elapsed(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Returns a gateway by its index.
    pub fn gateway(&self, index: usize) -> &Rc<Gateway> {
        &self.gateways[index]
    }

    /// Runs the load and the timeline, waits for the outcome of each request, and undoes the remaining faults.
    pub async fn run(&self) -> Result<(), RigError> {
        let requests = schedule(&self.experiment.load, self.experiment.span(), self.experiment.seed);
        let sampled: Vec<Rc<Gateway>> = self.gateways.clone();
        let sampler = spawn_local(async move {
            loop {
                sampled.iter().for_each(|gateway| gateway.sample());
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        let (timeline_result, ()) = tokio::join!(self.run_timeline(), self.generator.run(requests));
        sampler.abort();
        timeline_result?;
        self.undo_faults().await
    }

    async fn run_timeline(&self) -> Result<(), RigError> {
        let start = Instant::now();
        for step in &self.experiment.timeline {
            sleep_until(start + Duration::from_secs_f64(step.at)).await;
            self.apply(&step.act).await?;
        }
        Ok(())
    }

    /// Heals links, resumes stopped gateways and waits for the exit of terminated ones, so that the views can be
    /// compared.
    async fn undo_faults(&self) -> Result<(), RigError> {
        self.links.heal();
        for gateway in &self.gateways {
            if gateway.process_state.get() == ProcessState::Running {
                gateway.resume()?;
            } else if timeout(SHUTDOWN_TIMEOUT, gateway.wait_for_end()).await.is_err() {
                let crash = format!("{} did not exit after SIGTERM", gateway.name);
                gateway.crashes.borrow_mut().push(crash);
            }
        }
        Ok(())
    }

    /// Runs all checks and returns their violations.
    pub async fn check(&self) -> Vec<Violation> {
        let mut violations = checks::request_violations(&self.record());
        if self.experiment.gateways.fleet {
            violations.extend(self.check_membership().await);
        }
        if self.experiment.gateways.plan.is_some() {
            violations.extend(self.check_document().await);
        }
        violations
    }

    async fn check_membership(&self) -> Vec<Violation> {
        let disagreement =
            self.wait_for_agreement(self.agree_timeout()).await.err().map(|error| error.to_string());
        let views = self.views().await;
        checks::membership_violations(disagreement, &views, &self.terminated.borrow())
    }

    async fn check_document(&self) -> Vec<Violation> {
        let required = self.experiment.checks.proposals;
        let enough = || self.proposals.borrow().len() >= required;
        let in_time = self.wait_until("accepted proposals", PROPOSAL_TIMEOUT, enough).await.is_ok();
        let missing = (!in_time).then(|| checks::too_few_proposals(&self.proposals.borrow(), required));
        let running = self.running().count();
        let convergence =
            self.wait_for_answers("one plan", "/fleet/plan", self.agree_timeout(), |documents| {
                documents.len() == running && checks::same_document(documents)
            });
        let disagreement = convergence.await.err().map(|error| error.to_string());
        checks::document_violations(&self.record(), missing, disagreement)
    }

    fn agree_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.experiment.checks.agree_within)
    }

    /// Summarizes the run.
    pub fn report(&self, violations: Vec<Violation>) -> Report {
        Report::new(&self.record(), violations)
    }

    fn record(&self) -> RunRecord<'_> {
        RunRecord {
            experiment: &self.experiment,
            gateways: &self.gateways,
            results: &self.results,
            arrivals: self.arrivals.borrow(),
            drain_notices: self.discovery.drain_notices.borrow(),
            actions: self.actions.borrow(),
            proposals: self.proposals.borrow(),
            directory: &self.directory,
        }
    }

    /// Kills all processes and closes all listeners.
    pub async fn shut_down(self) {
        for gateway in &self.gateways {
            if gateway.process_state.get() != ProcessState::Stopped {
                // Fails if the process has just exited, which is the intended state.
                let _ = gateway.kill().await;
            }
        }
        self.backends.iter().for_each(|backend| backend.kill());
        self.discovery_listeners.iter().for_each(ServiceListener::close);
        self.counter.listener.close();
    }
}

/// Returns the address that a gateway advertises for its replication listener.
pub fn replication_address(gateway: &Gateway) -> SocketAddr {
    SocketAddr::new(gateway.advertised.ip(), gateway.advertised.port() + 1)
}
