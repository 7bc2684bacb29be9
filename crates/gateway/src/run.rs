//! Runs a gateway: binds its sockets, starts its components, and serves until shutdown.

use crate::admin;
use crate::backoff::Backoff;
use crate::clock::Clock;
use crate::config::document::AdminSection;
use crate::config::{Config, FleetSettings, Upstreams};
use crate::config_error::ConfigError;
use crate::discovery;
use crate::driver::{self, Driver, DriverEvent, DriverSender};
use crate::fleet::{FactSources, Fleet};
use crate::memory::{watch_unreserved, MemoryAccount, ProcessMemory};
use crate::names::Names;
use crate::pool::Pool;
use crate::relay::StreamLimits;
use crate::replication::{self, ReplicationError, ReplicationService};
use crate::server::{self, KnownClass, ServerContext, ServerParams};
use lanespan_policy::{ClassId, Micros, PlanId};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tracing::info;

/// Error that prevents a gateway from starting or makes it stop.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Listening on an address failed.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The replication service could not start: its store or its address can't be used.
    #[error("fleet.plan: {0}")]
    Replication(#[source] ReplicationError),
    /// The driver task ended.
    #[error("the driver task ended unexpectedly")]
    DriverEnded,
}

/// Runs a gateway until `stopping` becomes true and every accepted request is answered. Changes of `upstreams` are
/// applied while it runs.
///
/// # Errors
///
/// Returns an error if the gateway can't start, or if its driver ends.
pub async fn run(
    config: Config,
    upstreams: watch::Receiver<Upstreams>,
    stopping: watch::Receiver<bool>,
) -> Result<(), RunError> {
    let clock = Clock::start(config.fleet.as_ref().map_or(0, |fleet| fleet.clock_ahead_ms));
    let setup = Setup::new(&config);
    let memory = open_memory_account(&config);
    let mut driver = Driver::new(driver::Params::new(config, clock, memory))?;
    let signals = Signals { upstreams, stopping };

    let fleet = start_fleet(&setup, clock, &mut driver, &signals).await?;
    let replication = start_replication(&setup, clock, fleet.as_ref(), &mut driver, &signals).await?;
    let (listener, address) = bind(setup.listen).await?;
    start_admin(&setup, &driver, fleet.clone(), replication).await?;
    info!(name = setup.name, %address, "listening");

    follow_upstreams(&setup, &driver, &signals);
    stop_pool_at_shutdown(driver.pool(), signals.stopping.clone());
    let context = server_context(setup, clock, &driver, fleet.clone(), signals.stopping);
    let driver_task = spawn_local(driver.run());
    // Without a driver, requests would be accepted but never decided, so the gateway exits when its driver ends.
    let result = tokio::select! {
        () = server::serve(listener, Rc::new(context)) => Ok(()),
        _ = driver_task => Err(RunError::DriverEnded),
    };
    if let Some(fleet) = fleet {
        fleet.leave();
    }
    result
}

/// Opens the account of the gateway's memory, and charges to it what the process comes to hold beyond its reservations.
fn open_memory_account(config: &Config) -> MemoryAccount {
    let Some(at_startup) = ProcessMemory::read() else {
        let unknown = ProcessMemory { anonymous_bytes: 0, file_bytes: usize::MAX };
        return MemoryAccount::for_process(config.memory, unknown);
    };
    let account = MemoryAccount::for_process(config.memory, at_startup);
    spawn_local(watch_unreserved(account.clone(), at_startup));
    account
}

/// Inputs that change while the process runs.
struct Signals {
    /// The services that the gateway calls, and the limits on its connections.
    upstreams: watch::Receiver<Upstreams>,
    /// Becomes true on SIGTERM.
    stopping: watch::Receiver<bool>,
}

/// The configuration of the components other than the driver.
struct Setup {
    name: String,
    listen: SocketAddr,
    seed: u64,
    fleet: Option<FleetSettings>,
    admin: Option<AdminSection>,
    names: Rc<Names>,
    /// The number of gateways that call discovery; 0 if the calls put no load on it.
    gateways_calling_discovery: u32,
    /// The revision of the saved endpoint list, from which to watch for changes.
    saved_revision: Option<u64>,
    max_clients: usize,
    classes: HashMap<String, KnownClass>,
    plans: HashMap<String, PlanId>,
    max_request_units: f64,
    gateway_count: u32,
    gateway_index: u32,
    retry_after: Option<Micros>,
    longest_deadline: Micros,
}

impl Setup {
    fn new(config: &Config) -> Setup {
        let settings = &config.site.settings;
        // With a subscription, each call puts load on a service that all gateways share.
        let subscribes = settings.endpoint_subscription;
        let has_saved_list = !config.saved_endpoints.endpoints.is_empty();
        Setup {
            name: config.name.clone(),
            listen: config.listen,
            seed: config.seed,
            fleet: config.fleet.clone(),
            admin: config.admin.clone(),
            names: Rc::new(config.names.clone()),
            gateways_calling_discovery: if subscribes { settings.gateway_count } else { 0 },
            saved_revision: (subscribes && has_saved_list).then_some(config.saved_endpoints.revision),
            max_clients: config.sockets.clients,
            classes: known_classes(config),
            plans: config.site.plans.iter().map(|(name, &id)| (name.clone(), PlanId(id))).collect(),
            max_request_units: settings.max_request_units,
            gateway_count: settings.gateway_count,
            gateway_index: settings.gateway_index,
            retry_after: settings.retry_after.then_some(settings.max_retry_after),
            longest_deadline: settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
        }
    }
}

fn known_classes(config: &Config) -> HashMap<String, KnownClass> {
    let known = |(name, &id): (&String, &usize)| {
        let class = &config.site.settings.classes[id];
        let idempotency = (!config.unknown_effects.contains(&id)).then_some(class.idempotency);
        (name.clone(), KnownClass { id: ClassId(id), idempotency, deadline: class.deadline })
    };
    config.site.classes.iter().map(known).collect()
}

async fn bind(listen: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    let failed = |source| RunError::Listen { address: listen, source };
    let listener = TcpListener::bind(listen).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// Joins the fleet, if one is configured.
async fn start_fleet(
    setup: &Setup,
    clock: Clock,
    driver: &mut Driver,
    signals: &Signals,
) -> Result<Option<Rc<Fleet>>, RunError> {
    let Some(settings) = &setup.fleet else { return Ok(None) };
    let started = Fleet::start(settings, clock, setup.seed).await;
    let fleet = started.map_err(|source| RunError::Listen { address: settings.listen, source })?;
    let shown = fleet.clone();
    driver.show_fleet(move || shown.snapshot());
    let status = driver.endpoint_status();
    let sources = FactSources {
        ready: status.ready,
        endpoint_list_revision: status.revision,
        upstreams: signals.upstreams.clone(),
    };
    spawn_local(fleet.clone().run(sources, signals.stopping.clone()));
    Ok(Some(fleet))
}

/// Starts replication of the fleet document, if it is configured.
async fn start_replication(
    setup: &Setup,
    clock: Clock,
    fleet: Option<&Rc<Fleet>>,
    driver: &mut Driver,
    signals: &Signals,
) -> Result<Option<Rc<ReplicationService>>, RunError> {
    let (Some(fleet_settings), Some(fleet)) = (&setup.fleet, fleet) else { return Ok(None) };
    let Some(settings) = &fleet_settings.plan else { return Ok(None) };
    let started =
        ReplicationService::start(settings, &fleet_settings.cluster, fleet.clone(), clock, setup.seed).await;
    let (service, listener) = started.map_err(RunError::Replication)?;
    let shown = service.clone();
    driver.show_replication(move || shown.metrics());
    spawn_local(replication::serve::serve(service.clone(), listener));
    spawn_local(service.clone().run(signals.stopping.clone()));
    Ok(Some(service))
}

/// Opens the admin interface, if it is configured.
async fn start_admin(
    setup: &Setup,
    driver: &Driver,
    fleet: Option<Rc<Fleet>>,
    replication: Option<Rc<ReplicationService>>,
) -> Result<(), RunError> {
    let Some(section) = &setup.admin else { return Ok(()) };
    let (listener, address) = bind(section.listen).await?;
    // The test harness reads the address from this log line.
    info!(%address, "admin interface open");
    let sources = admin::Sources { driver: driver.sender(), fleet, replication };
    spawn_local(admin::serve(listener, section.clone(), sources));
    Ok(())
}

/// Spawns the tasks that watch the endpoint list and apply configuration changes to services and limits.
fn follow_upstreams(setup: &Setup, driver: &Driver, signals: &Signals) {
    let backoff = Backoff::new(setup.seed, setup.gateways_calling_discovery).numbered(setup.gateway_index);
    spawn_local(discovery::watch(discovery::Params {
        upstreams: signals.upstreams.clone(),
        driver: driver.sender(),
        backoff,
        known_revision: setup.saved_revision,
        names: setup.names.clone(),
    }));
    spawn_local(apply_upstreams(signals.upstreams.clone(), driver.sender(), driver.pool(), driver.streams()));
}

/// Applies each change of the upstreams to the driver's counter, the pool and the stream limits.
async fn apply_upstreams(
    mut upstreams: watch::Receiver<Upstreams>,
    driver: DriverSender,
    pool: Rc<Pool>,
    streams: Rc<StreamLimits>,
) {
    while upstreams.changed().await.is_ok() {
        let Upstreams { counter, pool: pool_settings, streaming, .. } = *upstreams.borrow_and_update();
        pool.configure(pool_settings);
        streams.configure(streaming);
        if driver.send(DriverEvent::CounterAddressChanged(counter)).await.is_err() {
            return;
        }
    }
}

/// Stops the pool at shutdown, so that it keeps no idle connections.
fn stop_pool_at_shutdown(pool: Rc<Pool>, mut stopping: watch::Receiver<bool>) {
    spawn_local(async move {
        if stopping.wait_for(|stopping| *stopping).await.is_ok() {
            pool.stop();
        }
    });
}

fn server_context(
    setup: Setup,
    clock: Clock,
    driver: &Driver,
    fleet: Option<Rc<Fleet>>,
    stopping: watch::Receiver<bool>,
) -> ServerContext {
    ServerContext::new(ServerParams {
        driver: driver.sender(),
        clock,
        ready: driver.endpoint_status().ready,
        classes: setup.classes,
        plans: setup.plans,
        max_request_units: setup.max_request_units,
        gateway_count: setup.gateway_count,
        max_connections: setup.max_clients,
        memory: driver.memory(),
        stopping,
        streams: driver.streams(),
        max_retry_after: setup.retry_after,
        names: setup.names,
        longest_deadline: Duration::from_micros(setup.longest_deadline.0),
        fleet,
    })
}
