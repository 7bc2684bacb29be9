//! A fleet on loopback: gateways as processes, stand-ins as tasks, and every path between them through a relay.

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
use crate::load::{schedule, Generator, Ledger};
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

/// How often a condition that is waited for is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the gateways' memory and descriptors are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a gateway may take to end after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after the load's end proposals under way are waited for.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a future that plays with a fleet to its end, and ends all tasks that it started.
pub fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// A running fleet. When it is dropped its processes are killed.
pub struct Rig {
    /// Its gateways.
    pub gateways: Vec<Rc<Gateway>>,
    /// Its backends.
    pub backends: Vec<Rc<Backend>>,
    /// Its counter.
    pub counter: Rc<Counter>,
    /// Its discovery.
    pub discovery: Rc<Discovery>,
    /// Its links.
    pub links: Links,
    /// The requests of the load, and what became of them.
    pub ledger: Rc<Ledger>,
    /// The requests that arrived at backends.
    pub arrivals: Rc<RefCell<Vec<Arrival>>>,
    /// The actions done, each with its time since the rig began.
    pub actions: RefCell<Vec<(Duration, String)>>,
    /// Gateways that got SIGTERM, which the others must know to have left.
    pub terminated: RefCell<BTreeSet<String>>,
    /// Where files and logs are.
    pub directory: PathBuf,
    /// The accepted proposals: the index and the value.
    pub proposals: Rc<RefCell<Vec<(u64, String)>>>,
    experiment: Experiment,
    generator: Rc<Generator>,
    began: Instant,
    discovery_listeners: Vec<ServiceListener>,
}

impl Rig {
    /// Time since the rig began.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// A gateway by its index.
    pub fn gateway(&self, index: usize) -> &Rc<Gateway> {
        &self.gateways[index]
    }

    /// Plays the load and the timeline, undoes the faults that are left, and waits for the fate of each request.
    pub async fn run(&self) -> Result<(), RigError> {
        let requests = schedule(&self.experiment.load, self.experiment.span(), self.experiment.seed);
        let sampled: Vec<Rc<Gateway>> = self.gateways.clone();
        let sampling = spawn_local(async move {
            loop {
                sampled.iter().for_each(|gateway| gateway.sample());
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        let (acted, ()) = tokio::join!(self.play_timeline(), self.generator.play(requests));
        sampling.abort();
        acted?;
        self.undo_faults().await
    }

    async fn play_timeline(&self) -> Result<(), RigError> {
        let start = Instant::now();
        for step in &self.experiment.timeline {
            sleep_until(start + Duration::from_secs_f64(step.at)).await;
            self.apply(&step.act).await?;
        }
        Ok(())
    }

    /// Heals links, resumes stopped gateways and waits for terminated ones, so that the views can be compared.
    async fn undo_faults(&self) -> Result<(), RigError> {
        self.links.heal();
        for gateway in &self.gateways {
            if gateway.process_state.get() == ProcessState::Running {
                gateway.resume()?;
            } else if timeout(SHUTDOWN_TIMEOUT, gateway.wait_for_end()).await.is_err() {
                let crash = format!("{} did not end when it was told to", gateway.name);
                gateway.crashes.borrow_mut().push(crash);
            }
        }
        Ok(())
    }

    /// Checks what happened; returns what does not hold.
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
        let wanted = self.experiment.checks.proposals;
        let enough = || self.proposals.borrow().len() >= wanted;
        let in_time = self.wait_until("proposals", PROPOSAL_TIMEOUT, enough).await.is_ok();
        let missing = (!in_time).then(|| checks::too_few_proposals(&self.proposals.borrow(), wanted));
        let running = self.running().count();
        let same_plan = self.wait_for_answers("one plan", "/fleet/plan", self.agree_timeout(), |plans| {
            plans.len() == running && checks::same_document(plans)
        });
        let disagreement = same_plan.await.err().map(|error| error.to_string());
        checks::document_violations(&self.record(), missing, disagreement)
    }

    fn agree_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.experiment.checks.agree_within)
    }

    /// The figures of the run.
    pub fn report(&self, violations: Vec<Violation>) -> Report {
        Report::new(&self.record(), violations)
    }

    fn record(&self) -> RunRecord<'_> {
        RunRecord {
            experiment: &self.experiment,
            gateways: &self.gateways,
            ledger: &self.ledger,
            arrivals: self.arrivals.borrow(),
            drained_at: self.discovery.drain_notices.borrow(),
            actions: self.actions.borrow(),
            proposals: self.proposals.borrow(),
            directory: &self.directory,
        }
    }

    /// Ends every process and closes every listener.
    pub async fn end(self) {
        for gateway in &self.gateways {
            if gateway.process_state.get() != ProcessState::Stopped {
                // One that has just ended is what is wanted.
                let _ = gateway.kill().await;
            }
        }
        self.backends.iter().for_each(|backend| backend.kill());
        self.discovery_listeners.iter().for_each(ServiceListener::close);
        self.counter.listener.close();
    }
}

/// The address that a gateway announces for its replication listener.
pub fn replication_address(gateway: &Gateway) -> SocketAddr {
    SocketAddr::new(gateway.advertised.ip(), gateway.advertised.port() + 1)
}
