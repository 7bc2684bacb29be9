//! Starts a fleet: first the stand-ins, then a relay on every path, then the gateways.

use super::config::{gateway_config, GatewayRoutes};
use super::{replication_address, Rig, RigError, SHUTDOWN_TIMEOUT};
use crate::experiment::Experiment;
use crate::gateway::Gateway;
use crate::links::Links;
use crate::load::{Generator, LoadResults};
use crate::stand_in::backend::{Arrival, Backend, ServiceModel};
use crate::stand_in::counter::Counter;
use crate::stand_in::discovery::{Discovery, Routes};
use crate::stand_in::ServiceListener;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a fleet may take to become ready, and then again to agree on its members.
const FLEET_START_TIMEOUT: Duration = SHUTDOWN_TIMEOUT.saturating_mul(3);
/// The port of the advertised addresses.
const ADVERTISED_PORT: u16 = 7946;

impl Rig {
    /// Starts all parties of an experiment, and waits until the gateways are ready and, if membership is enabled,
    /// agree on their members.
    pub async fn start(experiment: &Experiment, program: &Path, directory: &Path) -> Result<Rig, RigError> {
        Rig::start_with(experiment, program, directory, |_| ()).await
    }

    /// Like [`Rig::start`], but passes each gateway's configuration to `change` before the gateway starts.
    pub async fn start_with(
        experiment: &Experiment,
        program: &Path,
        directory: &Path,
        change: impl Fn(&mut Value),
    ) -> Result<Rig, RigError> {
        std::fs::create_dir_all(directory)?;
        let epoch = Instant::now();
        let arrivals = Rc::<RefCell<Vec<Arrival>>>::default();
        let backends = start_backends(experiment, epoch, &arrivals).await?;
        let counter = Rc::<Counter>::default();
        counter.start().await?;
        let gateways = new_gateways(experiment, program, directory, epoch);
        let results = LoadResults::new();
        let mut rig = Rig {
            generator: Generator::new(&gateways, &experiment.load, results.clone(), epoch),
            discovery: Discovery::new(&backends, epoch),
            links: Links::new(experiment.seed),
            gateways,
            backends,
            counter,
            results,
            arrivals,
            actions: RefCell::default(),
            terminated: RefCell::default(),
            directory: directory.to_path_buf(),
            experiment: experiment.clone(),
            epoch,
            discovery_listeners: Vec::new(),
            proposals: Rc::default(),
        };
        for (index, gateway) in rig.gateways.iter().enumerate() {
            let (listener, routes) = rig.open_routes(gateway).await?;
            rig.discovery_listeners.push(listener);
            let mut config = gateway_config(experiment, &rig.gateways, index, &routes, directory);
            change(&mut config);
            *gateway.config.borrow_mut() = config;
        }
        rig.start_gateways().await?;
        Ok(rig)
    }

    /// Opens a gateway's discovery listener, and a relay on each path from the gateway to another party.
    async fn open_routes(&self, gateway: &Gateway) -> std::io::Result<(ServiceListener, GatewayRoutes)> {
        let (links, name) = (&self.links, &gateway.name);
        let mut to_backends = Routes::new();
        for backend in &self.backends {
            let relay = links.tcp(name, &backend.id, backend.listener.address.clone()).await?;
            to_backends.insert(backend.id.clone(), relay);
        }
        let listener = ServiceListener::default();
        self.discovery.open(&listener, name, Rc::new(to_backends)).await?;
        let mut routes = GatewayRoutes {
            discovery: links.tcp(name, "discovery", listener.address.clone()).await?,
            counter: links.tcp(name, "counter", self.counter.listener.address.clone()).await?,
            membership: BTreeMap::new(),
            replication: BTreeMap::new(),
        };
        for other in self.gateways.iter().filter(|other| other.name != *name) {
            let relay = links.udp(name, &other.name, other.membership_address.clone()).await?;
            routes.membership.insert(other.advertised, relay);
            if self.experiment.gateways.plan.is_some() {
                let relay = links.tcp(name, &other.name, other.replication_address.clone()).await?;
                routes.replication.insert(replication_address(other), relay);
            }
        }
        Ok((listener, routes))
    }

    async fn start_gateways(&self) -> Result<(), RigError> {
        for gateway in &self.gateways {
            gateway.start().await?;
        }
        self.generator.start_health_checks();
        self.wait_until("all gateways ready", FLEET_START_TIMEOUT, || self.generator.all_healthy()).await?;
        if self.experiment.gateways.fleet {
            self.wait_for_agreement(FLEET_START_TIMEOUT).await?;
        }
        Ok(())
    }
}

/// Returns the zone of the backend or gateway at an index. Zones are assigned round-robin.
fn zone_of(experiment: &Experiment, index: usize) -> String {
    let zones = experiment.zones();
    zones[index % zones.len()].clone()
}

async fn start_backends(
    experiment: &Experiment,
    epoch: Instant,
    arrivals: &Rc<RefCell<Vec<Arrival>>>,
) -> Result<Vec<Rc<Backend>>, RigError> {
    let settings = &experiment.backends;
    let model = ServiceModel {
        slots: settings.slots,
        queue_limit: settings.waiting,
        mean_service_time: Duration::from_millis(settings.mean_ms),
        cold_start: (Duration::from_millis(settings.cold_ms), settings.cold_from),
        seed: experiment.seed,
    };
    let mut backends = Vec::new();
    for index in 0..settings.count {
        let zone = zone_of(experiment, index);
        let backend = Backend::new(format!("b{index}"), zone, model, epoch, arrivals.clone());
        backend.start(false).await?;
        backends.push(backend);
    }
    Ok(backends)
}

fn new_gateways(
    experiment: &Experiment,
    program: &Path,
    directory: &Path,
    epoch: Instant,
) -> Vec<Rc<Gateway>> {
    let gateway = |index: usize| {
        let zone = zone_of(experiment, index);
        Gateway::new(&format!("g{index}"), &zone, advertised_address(index), program, directory, epoch)
    };
    (0..experiment.gateways.count).map(gateway).collect()
}

/// Returns the address that a gateway advertises. Nothing listens there: the other gateways connect to it through the
/// rig's relays.
fn advertised_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 77, (index / 200) as u8, (index % 200 + 1) as u8], ADVERTISED_PORT))
}
