//! Runs fleet membership over UDP, in one task that no request waits for. The task owns the socket and the clock;
//! `lanespan_fleet::membership` implements the protocol. A datagram that can't be sent is dropped and counted, because
//! the protocol tolerates loss.

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

/// The version of this build, as announced to the members.
const BUILD_VERSION: &str = env!("CARGO_PKG_VERSION");
/// The maximum number of datagrams read before other tasks can run.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 64;
/// The size of the receive buffer, which exceeds that of any valid datagram so that a longer one is detected.
const RECEIVE_BUFFER_BYTES: usize = 2_048;
/// The pause after a socket error, so that a socket on which every call fails at once does not cause a busy loop.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// How many times the active gateways are updated within the departure hold. A gateway that is gone stops counting at
/// the first update after the hold.
const ACTIVE_UPDATES_PER_HOLD: u32 = 10;

/// The sources of the facts that this gateway announces.
pub struct FactSources {
    /// Whether this gateway has an endpoint list.
    pub ready: Rc<Cell<bool>>,
    /// The revision of the endpoint list.
    pub endpoint_list_revision: Rc<Cell<u64>>,
    /// The configuration in use.
    pub upstreams: watch::Receiver<Upstreams>,
}

/// The facts that this gateway has announced.
#[derive(Default)]
struct Announced {
    leaving: bool,
    ready: bool,
    /// When the versions of the endpoint list and the configuration were last announced.
    versions_at: Option<Timestamp>,
}

/// The state of the fleet for metrics and status.
#[derive(Clone, Copy, Debug)]
pub struct FleetSnapshot {
    /// The number of members by state.
    pub members: MemberCounts,
    /// The number of active members that recently sent a view digest different from this gateway's.
    pub disagreeing: usize,
    /// The counters of the membership protocol.
    pub counters: Counters,
    /// The number of datagrams that the operating system did not accept.
    pub datagrams_unsent: u64,
}

/// The view digest and the time of the last update of the active gateways.
#[derive(Clone, Copy, Default)]
struct ActiveUpdate {
    digest: u64,
    at: Timestamp,
}

/// The fleet membership of this gateway, over a UDP socket.
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
    /// Binds the socket and starts a new incarnation of this gateway.
    pub async fn start(settings: &FleetSettings, clock: Clock, seed: u64) -> io::Result<Rc<Fleet>> {
        let socket = UdpSocket::bind(settings.listen).await?;
        let listen = socket.local_addr()?;
        let now = timestamp(clock.now());
        let local = Node {
            name: settings.name.clone(),
            address: settings.advertise.unwrap_or(listen),
            incarnation: now.as_micros(),
            zone: settings.zone.clone(),
            build: BUILD_VERSION.to_string(),
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

    /// Runs the protocol. Never returns. Announces the changes of the sources and, once this gateway is to stop, that
    /// it is about to leave.
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

    /// Announces that this gateway leaves. Called once all accepted requests are answered.
    pub fn leave(&self) {
        self.membership.borrow_mut().leave(self.now());
        self.process_outputs();
        info!("left the fleet");
    }

    /// Returns the number of gateways by which a customer's quota is divided. The customer's requests arrive at
    /// `spread` consecutive gateways, starting with number `first`.
    pub fn quota_divisor(&self, first: u32, spread: u32) -> u32 {
        self.active_gateways.borrow().quota_divisor(first, spread)
    }

    /// Returns this gateway's identity.
    pub fn local(&self) -> Node {
        self.membership.borrow().local().clone()
    }

    /// Announces the address at which this gateway serves the fleet document.
    pub fn announce_document_address(&self, address: SocketAddr) {
        self.announce(facts::DOCUMENT_ADDRESS, &address.to_string());
    }

    /// Announces the version of the fleet document that this gateway acts on.
    pub fn set_document_version(&self, version: DocumentVersion) {
        self.membership.borrow_mut().set_document_version(self.now(), version);
        self.process_outputs();
    }

    /// Returns the other active members with the versions of the fleet document that they act on.
    pub fn member_versions(&self) -> Vec<MemberVersion> {
        self.membership.borrow().member_versions()
    }

    /// Returns the address at which a member serves the fleet document, if it announced one.
    pub fn document_address(&self, node: &Node) -> Option<SocketAddr> {
        self.membership.borrow().fact(node, facts::DOCUMENT_ADDRESS)?.parse().ok()
    }

    /// Spreads a heartbeat of this gateway as the leader of the fleet document, which a majority confirmed. Later
    /// heartbeats have higher numbers.
    pub fn announce_leader_heartbeat(&self, heartbeat: u64) {
        self.membership.borrow_mut().leader_heartbeat(self.now(), heartbeat);
    }

    /// Returns the time since the latest heartbeat of the document's leader was received.
    pub fn leader_heartbeat_age(&self, now: Timestamp) -> Duration {
        self.membership.borrow().leader_heartbeat_age(now)
    }

    /// Returns this gateway's full view of the fleet.
    pub fn view(&self) -> View {
        self.membership.borrow().view()
    }

    /// Returns the state of the fleet for metrics and status.
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
        // Endpoint lists may change often, and each announcement spreads through all members, so versions are announced
        // at most once a probe period.
        if announced.versions_at.is_none_or(|at| self.now() >= at + self.probe_period) {
            announced.versions_at = Some(self.now());
            self.announce(facts::ENDPOINT_LIST_REVISION, &sources.endpoint_list_revision.get().to_string());
            let digest = sources.upstreams.borrow().config_digest;
            self.announce(facts::CONFIG_DIGEST, &format!("{digest:016x}"));
        }
    }

    /// Reads the datagrams that are ready, up to a limit.
    fn receive(&self, buffer: &mut [u8]) -> io::Result<()> {
        for _ in 0..MAX_DATAGRAMS_PER_WAKEUP {
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
                event => log_event(&event),
            }
        }
        self.update_active_gateways();
    }

    /// Updates the active gateways if the view changed or the update interval has passed. The latter is needed because
    /// a gateway that is gone stops counting after the departure hold.
    fn update_active_gateways(&self) {
        let (now, last) = (self.now(), self.last_active_update.get());
        let membership = self.membership.borrow();
        let digest = membership.digest();
        if digest != last.digest || now >= last.at + self.active_update_interval {
            self.last_active_update.set(ActiveUpdate { digest, at: now });
            self.active_gateways.borrow_mut().update(now, membership.gateway_numbers());
        }
    }

    /// Sends a datagram. If the send buffer is full, the datagram is dropped and counted.
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

fn log_event(event: &Output) {
    match event {
        Output::Send { .. } => {}
        Output::MemberChanged(change) => log_change(change),
        Output::IdentityRenewed(local) => warn!(
            incarnation = local.incarnation,
            "this gateway was declared dead, or is known with a later start; it continues under a new incarnation"
        ),
        Output::NameConflict(NameConflict { older, newer }) => error!(
            name = older.name, older = %older.address, newer = %newer.address,
            "two fleet members have the same name, the one that started later owns it"
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
