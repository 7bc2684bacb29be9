//! A deterministic simulated network of gateways for tests and measurements. The same seed gives the same history.

use crate::facts::GATEWAY_NUMBER;
use crate::membership::{Config, Membership, Output};
use crate::node::Node;
use crate::replication::replica::DocumentVersion;
use crate::time::{micros, Timestamp};
use crate::view::MemberChange;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// One second.
pub const SECOND: Duration = Duration::from_secs(1);

/// The maximum number of datagrams queued for a stalled gateway; further ones are lost.
const MAX_WAITING_DATAGRAMS: usize = 200;
/// The number of gateways whose addresses are the seed addresses of all gateways.
const SEED_GATEWAYS: usize = 3;
const ZONES: usize = 3;
const BASE_PORT: u16 = 10_000;
/// The wall clock time at the start of the simulation.
const WALL_CLOCK_START_MICROS: u64 = 1_700_000_000_000_000;
/// The maximum pause between the starts of two gateways. Random pauses keep the gateways from acting in lockstep, which
/// would hide interleavings of their actions.
const MAX_START_PAUSE: Duration = Duration::from_millis(50);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);
/// The minimum interval between checks of `run_until`'s condition, because a check can be expensive.
const CONDITION_INTERVAL: Duration = Duration::from_millis(10);

/// How the network loses, duplicates and delays datagrams.
#[derive(Clone, Debug)]
pub struct LinkConditions {
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that arrive twice.
    pub duplication: f64,
    /// The minimum delay. Each datagram has its own random delay, so datagrams can arrive out of order.
    pub min_delay: Duration,
    /// The maximum delay.
    pub max_delay: Duration,
}

impl Default for LinkConditions {
    fn default() -> LinkConditions {
        LinkConditions {
            loss: 0.0,
            duplication: 0.0,
            min_delay: Duration::from_micros(200),
            max_delay: Duration::from_micros(1_000),
        }
    }
}

/// A gateway of the simulated network.
pub struct SimulatedGateway {
    /// Its membership state, or `None` if it is not running.
    pub membership: Option<Membership>,
    /// The member changes that it reported, with the time of each.
    pub changes: Vec<(Timestamp, MemberChange)>,
    /// Its other reports, with the time of each.
    pub reports: Vec<(Timestamp, Output)>,
    /// The offset of its wall clock from the simulation's, in microseconds.
    pub wall_clock_offset_micros: i64,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    stalled_until: Timestamp,
    waiting: Vec<Vec<u8>>,
}

/// A callback for each output of each gateway, in order. Its arguments are the time, the gateway's index and the
/// output.
pub type OutputObserver = Box<dyn FnMut(Timestamp, usize, &Output)>;

/// A datagram in flight.
struct InFlight {
    destination: usize,
    datagram: Vec<u8>,
}

/// A simulated network of gateways.
pub struct SimulatedNetwork {
    /// The gateways by index.
    pub gateways: Vec<SimulatedGateway>,
    /// The current conditions of all links.
    pub conditions: LinkConditions,
    cut_links: HashSet<(usize, usize)>,
    /// The partition group of each gateway. Only gateways of the same group can exchange datagrams.
    groups: Vec<usize>,
    now: Timestamp,
    rng: fastrand::Rng,
    last_sequence: u64,
    in_flight: BTreeMap<(Timestamp, u64), InFlight>,
    /// The next timeout of each gateway, ordered by time.
    timeouts: BTreeSet<(Timestamp, usize)>,
    /// The next timeout of each gateway by index.
    timeout_of: Vec<Option<Timestamp>>,
    by_address: HashMap<SocketAddr, usize>,
    config: Config,
    seed: u64,
    observer: Option<OutputObserver>,
}

fn initial_address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), BASE_PORT + index as u16)
}

fn stopped_gateway(index: usize) -> SimulatedGateway {
    SimulatedGateway {
        membership: None,
        changes: Vec::new(),
        reports: Vec::new(),
        wall_clock_offset_micros: 0,
        address: initial_address(index),
        name: format!("g{index}"),
        stalled_until: Timestamp::default(),
        waiting: Vec::new(),
    }
}

/// Setup.
impl SimulatedNetwork {
    /// Creates a network of `gateways` gateways, none of them running. The addresses of the first three are the seed
    /// addresses.
    pub fn new(gateways: usize, config: Config, seed: u64) -> SimulatedNetwork {
        let seed_addresses = (0..gateways.min(SEED_GATEWAYS)).map(initial_address).collect();
        SimulatedNetwork {
            gateways: (0..gateways).map(stopped_gateway).collect(),
            conditions: LinkConditions::default(),
            cut_links: HashSet::new(),
            groups: vec![0; gateways],
            now: Timestamp::default(),
            rng: fastrand::Rng::with_seed(seed),
            last_sequence: 0,
            in_flight: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            timeout_of: vec![None; gateways],
            by_address: (0..gateways).map(|index| (initial_address(index), index)).collect(),
            config: Config { seed_addresses, ..config },
            seed,
            observer: None,
        }
    }

    /// Creates a network of `gateways` running gateways in three zones, whose views agree.
    pub fn converged(gateways: usize, config: Config, seed: u64) -> SimulatedNetwork {
        let mut network = SimulatedNetwork::new(gateways, config, seed);
        for index in 0..gateways {
            network.start(index);
            let pause = network.rng.u64(..micros(MAX_START_PAUSE));
            network.run(Duration::from_micros(pause));
        }
        let converged = network.run_until(CONVERGENCE_TIMEOUT, SimulatedNetwork::views_agree);
        assert!(converged.is_some(), "the views of all gateways agree after the start");
        network
    }

    /// Calls an observer with each further output.
    pub fn observe(&mut self, observer: OutputObserver) {
        self.observer = Some(observer);
    }
}

/// Operations on gateways and links.
impl SimulatedNetwork {
    /// Starts or restarts a gateway.
    pub fn start(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let wall_clock = WALL_CLOCK_START_MICROS + self.now.as_micros();
        let local = Node {
            name: gateway.name.clone(),
            address: gateway.address,
            incarnation: wall_clock.saturating_add_signed(gateway.wall_clock_offset_micros),
            zone: format!("z{}", index % ZONES),
            build: "1".to_string(),
        };
        let facts = BTreeMap::from([(GATEWAY_NUMBER.to_string(), index.to_string())]);
        let seed = self.seed ^ (index as u64) << 32 ^ self.now.as_micros();
        gateway.membership = Some(Membership::new(local, facts, self.config.clone(), seed, self.now));
        gateway.waiting.clear();
        gateway.stalled_until = Timestamp::default();
        self.process_outputs(index);
    }

    /// Changes the address of a gateway that is not running.
    pub fn move_to(&mut self, index: usize, address: SocketAddr) {
        self.gateways[index].address = address;
        self.by_address.insert(address, index);
    }

    /// Stops a gateway as a crash does, without announcing it.
    pub fn kill(&mut self, index: usize) {
        self.gateways[index].membership = None;
        self.clear_timeout(index);
    }

    /// Stops a gateway after it announces that it leaves.
    pub fn leave(&mut self, index: usize) {
        let now = self.now;
        self.gateways[index].membership.iter_mut().for_each(|membership| membership.leave(now));
        self.process_outputs(index);
        self.kill(index);
    }

    /// Sets the version of the fleet document that a gateway acts on.
    pub fn set_document_version(&mut self, index: usize, version: DocumentVersion) {
        let now = self.now;
        let membership = self.gateways[index].membership.iter_mut();
        membership.for_each(|membership| membership.set_document_version(now, version));
        self.process_outputs(index);
    }

    /// Suspends a gateway's process for `span`.
    pub fn stall(&mut self, index: usize, span: Duration) {
        self.gateways[index].stalled_until = self.now + span;
        self.set_timeout(index);
    }

    /// Drops all datagrams from one gateway to another, in that direction only.
    pub fn cut_link(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    /// Partitions the gateways into groups. Only gateways of the same group can exchange datagrams.
    pub fn partition(&mut self, group_of: impl Fn(usize) -> usize) {
        self.groups = (0..self.gateways.len()).map(group_of).collect();
    }

    /// Restores all links and removes the partition.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.groups.fill(0);
    }

    /// Delivers a datagram of unknown origin.
    pub fn inject(&mut self, index: usize, datagram: &[u8]) {
        self.deliver(index, datagram.to_vec());
    }
}

/// Observation, and the advance of simulated time.
impl SimulatedNetwork {
    /// Returns the simulated time since the start.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the running gateways with their indices.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        let gateways = self.gateways.iter().enumerate();
        gateways.filter_map(|(index, gateway)| Some((index, gateway.membership.as_ref()?)))
    }

    /// Returns whether all running gateways have the same view digest, and as many active members as there are running
    /// gateways.
    pub fn views_agree(&self) -> bool {
        let size = self.running().count();
        let digest = self.running().next().map(|(_, membership)| membership.digest());
        self.running().all(|(_, membership)| {
            Some(membership.digest()) == digest && membership.member_counts().active == size
        })
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let never = self.run_until(span, |_| false);
        debug_assert!(never.is_none());
    }

    /// Runs the simulation until a condition holds. Returns the time until then, or `None` if it did not hold within
    /// `span`.
    pub fn run_until(
        &mut self,
        span: Duration,
        condition: impl Fn(&SimulatedNetwork) -> bool,
    ) -> Option<Duration> {
        let (start, end) = (self.now, self.now + span);
        let mut next_check = Timestamp::default();
        loop {
            if self.now >= next_check {
                if condition(self) {
                    return Some(self.now.saturating_duration_since(start));
                }
                next_check = self.now + CONDITION_INTERVAL;
            }
            if !self.step(end) {
                self.now = end;
                return None;
            }
        }
    }

    /// Delivers the next datagram or fires the next timeout, and returns whether there was one until `end`. Datagrams
    /// are handled before timeouts of the same time.
    fn step(&mut self, end: Timestamp) -> bool {
        let timeout = self.timeouts.first().copied();
        let arrival = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        let Some(next) = timeout.map(|(at, _)| at).into_iter().chain(arrival).min() else { return false };
        if next > end {
            return false;
        }
        self.now = self.now.max(next);
        if arrival.is_some_and(|at| at <= next) {
            if let Some((_, InFlight { destination, datagram })) = self.in_flight.pop_first() {
                self.deliver(destination, datagram);
            }
        } else if let Some((_, index)) = timeout {
            self.timeouts.pop_first();
            self.fire_timeout(index);
        }
        true
    }

    fn fire_timeout(&mut self, index: usize) {
        let (now, gateway) = (self.now, &mut self.gateways[index]);
        if now < gateway.stalled_until {
            return self.set_timeout(index);
        }
        let waiting = std::mem::take(&mut gateway.waiting);
        if let Some(membership) = &mut gateway.membership {
            // Like a real process after a stall: it first runs its due timers, then reads the waiting datagrams.
            membership.handle_timeout(now);
            waiting.iter().for_each(|datagram| membership.handle_datagram(now, datagram));
        }
        self.process_outputs(index);
    }

    fn deliver(&mut self, index: usize, datagram: Vec<u8>) {
        let (now, gateway) = (self.now, &mut self.gateways[index]);
        let Some(membership) = &mut gateway.membership else { return };
        if now < gateway.stalled_until {
            if gateway.waiting.len() < MAX_WAITING_DATAGRAMS {
                gateway.waiting.push(datagram);
            }
            return;
        }
        membership.handle_datagram(now, &datagram);
        self.process_outputs(index);
    }

    fn process_outputs(&mut self, index: usize) {
        let outputs = self.gateways[index].membership.as_mut().map(Membership::poll_outputs);
        for output in outputs.unwrap_or_default() {
            self.observer.iter_mut().for_each(|observer| observer(self.now, index, &output));
            match output {
                Output::Send { destination, datagram } => self.send(index, destination, &datagram),
                Output::MemberChanged(change) => self.gateways[index].changes.push((self.now, change)),
                report => self.gateways[index].reports.push((self.now, report)),
            }
        }
        self.set_timeout(index);
    }

    fn send(&mut self, from: usize, destination: SocketAddr, datagram: &[u8]) {
        let Some(&destination) = self.by_address.get(&destination) else { return };
        let is_cut = self.cut_links.contains(&(from, destination));
        let is_partitioned = self.groups[from] != self.groups[destination];
        if is_cut || is_partitioned || self.rng.f64() < self.conditions.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.conditions.duplication);
        for _ in 0..copies {
            let delays = micros(self.conditions.min_delay)..=micros(self.conditions.max_delay);
            let arrival = self.now + Duration::from_micros(self.rng.u64(delays));
            self.last_sequence += 1;
            let in_flight = InFlight { destination, datagram: datagram.to_vec() };
            self.in_flight.insert((arrival, self.last_sequence), in_flight);
        }
    }

    fn set_timeout(&mut self, index: usize) {
        self.clear_timeout(index);
        let gateway = &self.gateways[index];
        let due = gateway.membership.as_ref().and_then(Membership::poll_timeout);
        if let Some(due) = due.map(|due| due.max(gateway.stalled_until)) {
            self.timeouts.insert((due, index));
            self.timeout_of[index] = Some(due);
        }
    }

    fn clear_timeout(&mut self, index: usize) {
        if let Some(due) = self.timeout_of[index].take() {
            self.timeouts.remove(&(due, index));
        }
    }
}
