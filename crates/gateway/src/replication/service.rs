//! Runs the event loop of replication and connects its parts, each of which has a module of its own.

use super::lease_state::Leases;
use super::local_replica::LocalReplica;
use super::members::FleetMembers;
use super::message::VoterAddress;
use super::peers::{next_batch, MessageQueues, PeerConnection};
use super::pending::{Confirmation, PendingRequests};
use super::store::{Store, StoreError, WriteResult};
use super::voter_driver::VoterDriver;
use crate::clock::Clock;
use crate::config::plan::ReplicationSettings;
use lanespan_fleet::replication::voter::{Output, StartError, Voter, ELECTION_TICKS};
use lanespan_fleet::replication::wire::RaftMessage;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, MissedTickBehavior};
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

/// The number of ticks in a round, the interval at which other gateways, leases and the leader are checked.
pub(super) const TICKS_PER_ROUND: u64 = 3;

/// Why replication can't start.
#[derive(Debug, Error)]
pub enum ReplicationError {
    /// The store can't be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The voter can't start from its store.
    #[error("{}: {problem}", directory.display())]
    Voter {
        /// The store's directory.
        directory: PathBuf,
        /// The cause.
        problem: StartError,
    },
    /// The address can't be listened on.
    #[error("can't listen on {address}: {problem}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        problem: io::Error,
    },
}

/// The replication of the fleet document at one gateway.
pub struct ReplicationService {
    weak_self: Weak<ReplicationService>,
    pub(super) settings: ReplicationSettings,
    pub(super) cluster: String,
    pub(super) members: Rc<dyn FleetMembers>,
    clock: Clock,
    pub(super) rng: RefCell<fastrand::Rng>,
    pub(super) voter_driver: RefCell<VoterDriver>,
    pub(super) local_replica: RefCell<LocalReplica>,
    pub(super) leases: RefCell<Leases>,
    pub(super) requests: RefCell<PendingRequests>,
    queues: RefCell<MessageQueues>,
    /// The leader as last reported; `None` if none is known.
    pub(super) leader: RefCell<Option<VoterAddress>>,
    pub(super) is_bootstrapping: Cell<bool>,
    pub(super) rounds: Cell<u64>,
}

impl ReplicationService {
    /// Opens the store, if one is configured, and listens on the configured address.
    pub async fn start(
        settings: &ReplicationSettings,
        cluster: &str,
        members: Rc<dyn FleetMembers>,
        clock: Clock,
        seed: u64,
    ) -> Result<(Rc<ReplicationService>, TcpListener), ReplicationError> {
        let me = members.me();
        // The seed includes the incarnation, so that the ids of proposals differ after a restart. Otherwise a new
        // proposal could be treated as a duplicate.
        let mut rng = fastrand::Rng::with_seed(seed ^ me.incarnation);
        let voter_driver = match &settings.directory {
            // The id of a new store does not depend on the seed, because it must differ from the id of any earlier
            // store.
            Some(directory) => {
                let entropy = format!("{me:?} {} {}", clock.now().0, fastrand::u64(..));
                open_voter(directory, xxh3_64(entropy.as_bytes()).max(1), &mut rng)?
            }
            None => VoterDriver::without_store(),
        };
        let replica = voter_driver.voter().and_then(Voter::replica).cloned().unwrap_or_default();
        let listen_failed = |problem| ReplicationError::Listen { address: settings.listen, problem };
        let listener = TcpListener::bind(settings.listen).await.map_err(listen_failed)?;
        let address = listener.local_addr().map_err(listen_failed)?;
        members.advertise_address(settings.advertise.unwrap_or(address));
        let version = replica.version();
        members.set_document_version(version);
        info!(%address, index = version.index, votes = voter_driver.voter().is_some(), "plan: open");
        let service = Rc::new_cyclic(|weak_self| ReplicationService {
            weak_self: weak_self.clone(),
            settings: settings.clone(),
            cluster: cluster.to_string(),
            members,
            clock,
            rng: RefCell::new(rng),
            voter_driver: RefCell::new(voter_driver),
            local_replica: RefCell::new(LocalReplica::new(replica)),
            leases: RefCell::default(),
            requests: RefCell::default(),
            queues: RefCell::default(),
            leader: RefCell::default(),
            is_bootstrapping: Cell::new(false),
            rounds: Cell::new(0),
        });
        Ok((service, listener))
    }

    /// Runs the event loop. Never returns. Releases all leases once this gateway is to stop.
    pub async fn run(self: Rc<Self>, mut stop: watch::Receiver<bool>) {
        let mut write_results = self.voter_driver.borrow_mut().take_results();
        let mut ticks = interval(self.settings.tick);
        // Missed ticks are not made up after a stall, because the voter's clock would run ahead of those of other
        // voters.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tick_count = 0u64;
        let mut stopping = false;
        self.drive_voter();
        loop {
            tokio::select! {
                Ok(_) = stop.wait_for(|stop| *stop), if !stopping => {
                    stopping = true;
                    spawn_local(self.clone().leave());
                }
                _ = ticks.tick() => {
                    tick_count += 1;
                    self.handle_tick(tick_count, stopping);
                }
                result = next_write_result(&mut write_results) => self.handle_write_result(result),
            }
            self.drive_voter();
        }
    }

    fn handle_tick(self: &Rc<Self>, tick_count: u64, stopping: bool) {
        self.voter_driver.borrow_mut().tick();
        self.catch_up();
        if tick_count.is_multiple_of(TICKS_PER_ROUND) {
            self.handle_round(stopping);
        }
    }

    /// Does the periodic work of a round: compares versions, updates and grants leases, confirms leadership, bootstraps
    /// an empty store and monitors the leader's heartbeats.
    fn handle_round(self: &Rc<Self>, stopping: bool) {
        self.rounds.set(self.rounds.get() + 1);
        let now = self.now();
        let me = self.members.me();
        let members = self.members.member_versions();
        self.compare_versions(&members);
        self.update_held_leases(&me, stopping, now);
        let candidate = (!stopping).then(|| me.clone());
        self.grant_leases(&members, candidate, now);
        if self.voter_driver.borrow().is_leader() {
            self.request_confirmation(Confirmation::Heartbeat);
        } else {
            self.requests.borrow_mut().clear_confirmations();
        }
        self.bootstrap_if_due(&me.name);
        self.report_leader_silence(now);
    }

    fn handle_write_result(&self, result: WriteResult) {
        let started = self.voter_driver.borrow_mut().handle_write_result(result, &mut self.rng.borrow_mut());
        if let Some(replica) = started {
            self.local_replica.borrow_mut().replace(replica);
        }
    }

    /// Handles the voter's outputs until there are no more, and announces the resulting version.
    pub(super) fn drive_voter(&self) {
        let now = self.now();
        loop {
            let outputs = self.voter_driver.borrow_mut().poll_outputs();
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(|output| self.handle_output(output, now));
        }
        self.members.set_document_version(self.local_replica.borrow().version());
    }

    fn handle_output(&self, output: Output, now: u64) {
        match output {
            Output::Send(message) => self.send(message),
            Output::Write { number, write } => self.voter_driver.borrow_mut().write(number, write),
            Output::Decided { id, verdict, entry } => self.handle_decision(id, verdict, entry),
            Output::SnapshotInstalled => self.adopt_voter_replica(),
            Output::LeadershipConfirmed(number) => self.handle_confirmation(number, now),
            Output::LeaderChanged { leader, term } => self.set_leader(leader, term),
            Output::Halted(reason) => self.voter_driver.borrow_mut().set_not_voting(reason.into()),
        }
    }

    /// Replaces the local replica with the voter's after a snapshot from the leader, unless the local replica is ahead.
    fn adopt_voter_replica(&self) {
        let voter_driver = self.voter_driver.borrow();
        let Some(replica) = voter_driver.voter().and_then(Voter::replica) else { return };
        let mut local_replica = self.local_replica.borrow_mut();
        let index = replica.version().index;
        if index >= local_replica.version().index {
            local_replica.replace(replica.clone());
            info!(index, "plan: snapshot from the leader installed");
        }
    }

    fn set_leader(&self, id: u64, term: u64) {
        let leader = self.find_voter(id);
        let name = leader.as_ref().map_or("nobody", |leader| leader.name.as_str());
        info!(leader = name, term, "plan: leader changed");
        *self.leader.borrow_mut() = leader;
    }

    /// Handles Raft messages from another voter.
    pub fn receive(&self, messages: &[RaftMessage]) {
        for message in messages {
            let version = self.local_replica.borrow().version();
            self.voter_driver.borrow_mut().receive(message, version);
        }
        self.drive_voter();
    }

    fn send(&self, message: RaftMessage) {
        self.queues.borrow_mut().send(message, |voter, messages| {
            spawn_local(send_messages(self.weak_self.clone(), voter, messages));
        });
    }

    fn report_unreachable(&self, voter: u64) {
        if let Some(local_voter) = self.voter_driver.borrow_mut().voter_mut() {
            local_voter.report_unreachable(voter);
        }
        self.drive_voter();
    }

    /// Returns the current time of the clock, in microseconds.
    pub(super) fn now(&self) -> u64 {
        self.clock.now().0
    }

    /// Generates a random id for a proposal or a confirmation.
    pub(super) fn generate_id(&self) -> u64 {
        self.rng.borrow_mut().u64(1..)
    }
}

fn open_voter(
    directory: &Path,
    new_id: u64,
    rng: &mut fastrand::Rng,
) -> Result<VoterDriver, ReplicationError> {
    let (store, durable) = Store::open(directory, new_id)?;
    VoterDriver::with_store(store, durable, rng)
        .map_err(|problem| ReplicationError::Voter { directory: directory.to_path_buf(), problem })
}

/// Waits for the next result of the store. Never returns if there is no store.
async fn next_write_result(results: &mut Option<UnboundedReceiver<WriteResult>>) -> WriteResult {
    if let Some(results) = results {
        if let Some(result) = results.recv().await {
            return result;
        }
    }
    std::future::pending().await
}

/// Sends the messages that are queued for a voter, until the service is dropped.
async fn send_messages(service: Weak<ReplicationService>, voter: u64, mut messages: Receiver<RaftMessage>) {
    let mut connection: Option<PeerConnection> = None;
    while let Some(batch) = next_batch(&mut messages).await {
        let Some(service) = service.upgrade() else { return };
        let Some(advertised) = service.find_voter(voter) else { continue };
        let address = service.dial_address(advertised.address);
        let reusable = connection.take().filter(|connection| connection.address() == address);
        let connection = connection.insert(reusable.unwrap_or_else(|| PeerConnection::new(address)));
        let call_timeout = service.settings.tick * ELECTION_TICKS as u32;
        if connection.send_raft_messages(&batch, call_timeout).await.is_err() {
            service.report_unreachable(voter);
            sleep(service.settings.tick).await;
        }
    }
}
