//! Membership on a socket: one UDP task, which no request waits for. It owns the socket and the clock; what is known of
//! the fleet and what is sent, `lanespan_fleet::membership` decides. A datagram that can't be sent is dropped and
//! counted, since membership is made for loss.

use crate::clock::Clock;
use crate::config::{FleetSettings, Upstreams};
use lanespan_fleet::facts;
use lanespan_fleet::membership::{Config, Counters, MemberVersion, Membership, NameConflict, Output};
use lanespan_fleet::node::Node;
use lanespan_fleet::quota_divisor::ActiveGateways;
use lanespan_fleet::replication::replica::DocumentVersion;
use lanespan_fleet::time::Timestamp;
use lanespan_fleet::view::{MemberChange, MemberCounts, MemberState, View};
use lanespan_policy::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};
use tracing::{error, info, warn};

/// What this build is called among the members.
const BUILD: &str = env!("CARGO_PKG_VERSION");
/// Datagrams read before other tasks have their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Longer than any datagram of the fleet's, so that one that is too long is recognized.
const RECEIVE_BUFFER_BYTES: usize = 2_048;
/// The pause after the socket failed. Guards against one that fails at once each time.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// The active gateways are brought up to date this many times in the time for which one that is gone still counts.
const ACTIVE_UPDATES_PER_HOLD: u32 = 10;

/// Where the facts that this gateway announces come from.
pub struct FactSources {
    /// Whether there is an endpoint list.
    pub ready: Rc<Cell<bool>>,
    /// The list's revision.
    pub endpoint_list_revision: Rc<Cell<u64>>,
    /// The configuration in use.
    pub upstreams: watch::Receiver<Upstreams>,
}

/// What of its sources a gateway has announced.
#[derive(Default)]
struct Announced {
    leaving: bool,
    ready: bool,
    /// When the versions of endpoint list and configuration were announced last.
    versions_at: Option<Timestamp>,
}

/// What metrics and status show of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSnapshot {
    /// How many members there are.
    pub members: MemberCounts,
    /// Members that lately sent another view digest.
    pub disagreeing: usize,
    /// What membership counted.
    pub counters: Counters,
    /// Datagrams that the system did not accept.
    pub datagrams_unsent: u64,
}

/// The view from which the active gateways were last brought up to date.
#[derive(Clone, Copy, Default)]
struct ActiveUpdate {
    digest: u64,
    at: Timestamp,
}

/// A gateway's part in its fleet.
pub struct Fleet {
    socket: UdpSocket,
    clock: Clock,
    membership: RefCell<Membership>,
    active_gateways: RefCell<ActiveGateways>,
    last_active_update: Cell<ActiveUpdate>,
    active_update_interval: Duration,
    probe_period: Duration,
    datagrams_unsent: Cell<u64>,
}

impl Fleet {
    /// Binds the address and starts a new incarnation there.
    pub async fn start(settings: &FleetSettings, clock: Clock, seed: u64) -> io::Result<Rc<Fleet>> {
        let socket = UdpSocket::bind(settings.listen).await?;
        let listen = socket.local_addr()?;
        let now = timestamp(clock.now());
        let local = Node {
            name: settings.name.clone(),
            address: settings.advertise.unwrap_or(listen),
            incarnation: now.as_micros(),
            zone: settings.zone.clone(),
            build: BUILD.to_string(),
        };
        let (name, address, incarnation) = (&local.name, local.address, local.incarnation);
        info!(name, %address, %listen, cluster = settings.cluster, incarnation, "joining the fleet");
        let facts = BTreeMap::from([(facts::GATEWAY_NUMBER.to_string(), settings.gateway_index.to_string())]);
        let config = membership_config(settings, address);
        let membership = Membership::new(local, facts, config, seed, now);
        let active_gateways =
            ActiveGateways::new(settings.gateway_index, settings.gateway_count, settings.departure_hold);
        Ok(Rc::new(Fleet {
            socket,
            clock,
            membership: RefCell::new(membership),
            active_gateways: RefCell::new(active_gateways),
            last_active_update: Cell::default(),
            active_update_interval: settings.departure_hold / ACTIVE_UPDATES_PER_HOLD,
            probe_period: settings.probe_period,
            datagrams_unsent: Cell::new(0),
        }))
    }

    /// Runs for ever. Announces what changes of the sources, and that this gateway leaves once it is to stop.
    pub async fn run(self: Rc<Fleet>, sources: FactSources, mut stopping: watch::Receiver<bool>) {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let mut announced = Announced::default();
        loop {
            let timeout = self.membership.borrow().poll_timeout();
            tokio::select! {
                Ok(_) = stopping.wait_for(|stop| *stop), if !announced.leaving => {
                    announced.leaving = true;
                    self.announce(facts::LEAVING, facts::YES);
                }
                () = self.sleep_until(timeout) => self.membership.borrow_mut().handle_timeout(self.now()),
                readable = self.socket.readable() => {
                    if readable.and_then(|()| self.receive(&mut buffer)).is_err() {
                        sleep(SOCKET_ERROR_PAUSE).await;
                    }
                }
            }
            self.announce_changes(&sources, &mut announced);
            self.process_outputs();
        }
    }

    /// Announces that this gateway leaves. What it accepted is answered by now.
    pub fn leave(&self) {
        self.membership.borrow_mut().leave(self.now());
        self.process_outputs();
        info!("left the fleet");
    }

    /// By how many gateways the local quota of a customer is divided whose requests arrive at `spread` gateways from
    /// number `first` on.
    pub fn quota_divisor(&self, first: u32, spread: u32) -> u32 {
        self.active_gateways.borrow().quota_divisor(first, spread)
    }

    /// This gateway's identity.
    pub fn local(&self) -> Node {
        self.membership.borrow().local().clone()
    }

    /// Announces where others fetch the fleet document from this gateway.
    pub fn announce_document_address(&self, address: SocketAddr) {
        self.announce(facts::DOCUMENT_ADDRESS, &address.to_string());
    }

    /// This gateway acts on this version of the fleet document from now on.
    pub fn set_document_version(&self, version: DocumentVersion) {
        self.membership.borrow_mut().set_document_version(self.now(), version);
        self.process_outputs();
    }

    /// The other active members, and the versions of the fleet document that they act on.
    pub fn member_versions(&self) -> Vec<MemberVersion> {
        self.membership.borrow().member_versions()
    }

    /// Where a member says that the fleet document is fetched from it.
    pub fn document_address(&self, node: &Node) -> Option<SocketAddr> {
        self.membership.borrow().fact(node, facts::DOCUMENT_ADDRESS)?.parse().ok()
    }

    /// A majority confirmed that this gateway leads the fleet document; a later heartbeat is higher.
    pub fn leader_heartbeat(&self, heartbeat: u64) {
        self.membership.borrow_mut().leader_heartbeat(self.now(), heartbeat);
    }

    /// How long ago the latest heartbeat of the document's leader became known.
    pub fn leader_heartbeat_age(&self, now: Timestamp) -> Duration {
        self.membership.borrow().leader_heartbeat_age(now)
    }

    /// All that is known of the fleet.
    pub fn view(&self) -> View {
        self.membership.borrow().view()
    }

    /// What metrics and status show.
    pub fn snapshot(&self) -> FleetSnapshot {
        let membership = self.membership.borrow();
        FleetSnapshot {
            members: membership.member_counts(),
            disagreeing: membership.disagreeing(),
            counters: membership.counters(),
            datagrams_unsent: self.datagrams_unsent.get(),
        }
    }

    fn now(&self) -> Timestamp {
        timestamp(self.clock.now())
    }

    async fn sleep_until(&self, timeout: Option<Timestamp>) {
        match timeout {
            Some(timeout) => sleep_until(self.clock.instant(Micros(timeout.as_micros()))).await,
            None => std::future::pending().await,
        }
    }

    fn announce(&self, fact: &str, value: &str) {
        self.membership.borrow_mut().announce(self.now(), fact, value);
    }

    fn announce_changes(&self, sources: &FactSources, announced: &mut Announced) {
        if sources.ready.get() && !announced.ready {
            announced.ready = true;
            self.announce(facts::READY, facts::YES);
        }
        // Lists may change often, and each member passes on what one announces.
        if announced.versions_at.is_none_or(|at| self.now() >= at + self.probe_period) {
            announced.versions_at = Some(self.now());
            self.announce(facts::ENDPOINT_LIST_REVISION, &sources.endpoint_list_revision.get().to_string());
            let digest = sources.upstreams.borrow().config_digest;
            self.announce(facts::CONFIG_DIGEST, &format!("{digest:016x}"));
        }
    }

    /// Reads the datagrams that wait.
    fn receive(&self, buffer: &mut [u8]) -> io::Result<()> {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) => {
                    self.membership.borrow_mut().handle_datagram(self.now(), &buffer[..length]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn process_outputs(&self) {
        let outputs = self.membership.borrow_mut().poll_outputs();
        for output in outputs {
            match output {
                Output::Send { destination, datagram } => self.send(destination, &datagram),
                report => log_report(&report),
            }
        }
        self.update_active_gateways();
    }

    /// Also where no member changed, since one that is gone stops counting after a while.
    fn update_active_gateways(&self) {
        let (now, last) = (self.now(), self.last_active_update.get());
        let membership = self.membership.borrow();
        let digest = membership.digest();
        if digest != last.digest || now >= last.at + self.active_update_interval {
            self.last_active_update.set(ActiveUpdate { digest, at: now });
            self.active_gateways.borrow_mut().update(now, membership.gateway_numbers());
        }
    }

    /// Sends a datagram. A full send buffer loses it, as the network may.
    fn send(&self, destination: SocketAddr, datagram: &[u8]) {
        if self.socket.try_send_to(datagram, destination).is_err() {
            self.datagrams_unsent.set(self.datagrams_unsent.get() + 1);
        }
    }
}

fn timestamp(time: Micros) -> Timestamp {
    Timestamp::from_micros(time.0)
}

fn membership_config(settings: &FleetSettings, own_address: SocketAddr) -> Config {
    Config {
        cluster: settings.cluster.clone(),
        probe_period: settings.probe_period,
        retention: settings.retention,
        max_members: settings.max_members,
        seed_addresses: settings.seed_addresses.iter().copied().filter(|seed| *seed != own_address).collect(),
        address_map: settings.address_map.clone(),
    }
}

fn log_report(report: &Output) {
    match report {
        Output::Send { .. } => {}
        Output::MemberChanged(change) => log_change(change),
        Output::IdentityRenewed(local) => warn!(
            incarnation = local.incarnation,
            "this gateway was taken for dead, or known with a later start; it goes on under a new incarnation"
        ),
        Output::NameConflict(NameConflict { older, newer }) => error!(
            name = older.name, older = %older.address, newer = %newer.address,
            "two fleet members have one name, the later one is taken to have it"
        ),
    }
}

fn log_change(change: &MemberChange) {
    let MemberChange { node: Node { name, zone, address, incarnation, .. }, previous, state, observer } =
        change;
    let previous = previous.map(|previous| previous.to_string());
    match state {
        MemberState::Alive => {
            info!(name, zone, %address, incarnation, previous, %observer, "fleet member alive");
        }
        MemberState::Suspect => {
            warn!(name, zone, %address, incarnation, previous, %observer, "fleet member suspected");
        }
        MemberState::Left => {
            info!(name, zone, %address, incarnation, previous, %observer, "fleet member left");
        }
        MemberState::Dead => {
            warn!(name, zone, %address, incarnation, previous, %observer, "fleet member dead");
        }
    }
}
