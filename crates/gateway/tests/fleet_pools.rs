//! Tests the pools of many gateways with a shared set of loopback backends on a paused clock: how many connections each
//! backend holds, and how many are opened within 100 ms after all backends were replaced, compared with the baseline
//! pool.
#[path = "../benches/baseline/mod.rs"]
mod baseline;

use baseline::BaselinePool;
use lanespan_gateway::config::document::PoolSection;
use lanespan_gateway::http::Connection;
use lanespan_gateway::pool::{Backend, Pool, PoolEnvironment, PoolSettings};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::{sleep, Instant};

const GATEWAYS: usize = 24;
const BACKENDS: usize = 8;
const MS: Duration = Duration::from_millis(1);
/// How long a request holds its connection.
const REQUEST_TIME: Duration = Duration::from_millis(50);
/// The window within which opened connections are counted.
const WINDOW: Duration = Duration::from_millis(100);
/// How long a request waits for a connection at most.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// The default limit on the connections of one gateway to one backend in a fleet of 300.
const MAX_BACKEND_CONNECTIONS: usize = 4;

/// A backend that records its open connections, their peak, and when each was opened.
#[derive(Clone, Default)]
struct CountingBackend {
    open: Rc<Cell<usize>>,
    peak: Rc<Cell<usize>>,
    opened: Rc<RefCell<Vec<Instant>>>,
}

impl CountingBackend {
    async fn start() -> (CountingBackend, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let backend = CountingBackend::default();
        let server = backend.clone();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                server.open.set(server.open.get() + 1);
                server.peak.set(server.peak.get().max(server.open.get()));
                server.opened.borrow_mut().push(Instant::now());
                let server = server.clone();
                spawn_local(async move {
                    let _ = stream.read_u8().await;
                    server.open.set(server.open.get() - 1);
                });
            }
        });
        (backend, address)
    }
}

async fn start_backends() -> (Vec<CountingBackend>, Vec<SocketAddr>) {
    let mut started = (Vec::new(), Vec::new());
    for _ in 0..BACKENDS {
        let (backend, address) = CountingBackend::start().await;
        started.0.push(backend);
        started.1.push(address);
    }
    started
}

fn settings(section: serde_json::Value) -> PoolSettings {
    let environment = PoolEnvironment {
        default_connections: 256,
        max_connections: 256,
        gateway_count: 300,
        max_descriptors: 1024,
        dial_timeout: 250 * MS,
        backend_idle_timeout: Duration::from_secs(30),
    };
    let section: Option<PoolSection> = serde_json::from_value(section).expect("a readable section");
    PoolSettings::from_section(&section.unwrap_or_default(), &environment).expect("a valid section")
}

/// The connection pool of one gateway. A request holds a connection for [`REQUEST_TIME`].
trait Gateway {
    /// Replaces all backends.
    fn replace(&mut self, addresses: &[SocketAddr]);
    /// Makes one request and returns whether it got a connection.
    async fn request(&self, backend: usize) -> bool;
}

struct PoolGateway {
    pool: Rc<Pool>,
    backends: Vec<Rc<Backend>>,
}

impl PoolGateway {
    fn start(section: serde_json::Value, seed: u64) -> PoolGateway {
        PoolGateway { pool: Pool::new(settings(section), 250 * MS, seed), backends: Vec::new() }
    }
}

impl Gateway for PoolGateway {
    fn replace(&mut self, addresses: &[SocketAddr]) {
        let old = std::mem::take(&mut self.backends);
        let predecessor = |i: usize| old.get(i).map(|backend| &**backend);
        let new = addresses.iter().enumerate();
        self.backends = new.map(|(i, &a)| Rc::new(self.pool.add_backend(a, 0, predecessor(i)))).collect();
        old.iter().for_each(|backend| self.pool.close(backend));
    }
    async fn request(&self, backend: usize) -> bool {
        hold_connection(&self.pool, &self.backends[backend]).await
    }
}

/// Holds a connection for [`REQUEST_TIME`]. Returns whether one was available.
async fn hold_connection(pool: &Rc<Pool>, backend: &Backend) -> bool {
    let Ok(connection) = pool.checkout(backend, Instant::now() + MAX_WAIT).await else { return false };
    sleep(REQUEST_TIME).await;
    connection.release();
    true
}

struct BaselineGateway {
    pool: RefCell<BaselinePool<Connection>>,
    addresses: Vec<SocketAddr>,
    /// The id of the first backend. Grows with each replacement, so that a new backend never gets an old connection.
    first_id: u64,
}

impl Gateway for BaselineGateway {
    fn replace(&mut self, addresses: &[SocketAddr]) {
        (0..BACKENDS as u64).for_each(|i| self.pool.borrow_mut().close(self.first_id + i));
        self.first_id += BACKENDS as u64;
        self.addresses = addresses.to_vec();
    }
    async fn request(&self, backend: usize) -> bool {
        let id = self.first_id + backend as u64;
        let idle = self.pool.borrow_mut().checkout(Instant::now(), id).expect("the limit is not reached");
        let connection = match idle {
            Some(connection) => connection,
            None => Connection::open(self.addresses[backend]).await.expect("the backend listens"),
        };
        sleep(REQUEST_TIME).await;
        if id >= self.first_id {
            self.pool.borrow_mut().release(Instant::now(), id, connection);
        }
        true
    }
}

/// The measurements after all backends were replaced at once.
#[derive(Debug)]
struct Measurements {
    served: usize,
    /// The peak of connections at one backend.
    peak_at_backend: usize,
    /// The maximum number of connections opened by all gateways within a window.
    peak_opened: usize,
}

/// Replaces all backends, then sends 24 requests from each gateway: half of them to one backend, the others to random
/// backends.
async fn replace_all_backends(mut gateways: Vec<impl Gateway + 'static>) -> Measurements {
    let (_first, addresses) = start_backends().await;
    gateways.iter_mut().for_each(|gateway| gateway.replace(&addresses));
    let (second, addresses) = start_backends().await;
    gateways.iter_mut().for_each(|gateway| gateway.replace(&addresses));
    let mut requests = JoinSet::new();
    for (i, gateway) in gateways.into_iter().map(Rc::new).enumerate() {
        let mut rng = fastrand::Rng::with_seed(i as u64);
        for number in 0..24 {
            let backend = if number % 2 == 0 { 0 } else { rng.usize(..BACKENDS) };
            let (gateway, pause) = (gateway.clone(), MS * rng.u32(0..20));
            requests.spawn_local(async move {
                sleep(pause).await;
                gateway.request(backend).await
            });
        }
    }
    let served = requests.join_all().await.into_iter().filter(|served| *served).count();
    let mut opened: Vec<Instant> = second.iter().flat_map(|b| b.opened.borrow().clone()).collect();
    opened.sort();
    let within = |from: &Instant| opened.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
    Measurements {
        served,
        peak_at_backend: second.iter().map(|b| b.peak.get()).max().unwrap_or(0),
        peak_opened: opened.iter().map(within).max().unwrap_or(0),
    }
}

fn on_paused_clock<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), future)
}

#[test]
fn replacing_all_backends_keeps_each_within_the_sum_of_the_gateways_limits() {
    let baseline_result = on_paused_clock(async {
        let pool = || RefCell::new(BaselinePool::new(256, Duration::from_secs(30)));
        replace_all_backends(
            (0..GATEWAYS)
                .map(|_| BaselineGateway { pool: pool(), addresses: Vec::new(), first_id: 0 })
                .collect(),
        )
        .await
    });
    let pool_result = on_paused_clock(async {
        let gateway = |seed| PoolGateway::start(serde_json::Value::Null, seed);
        replace_all_backends((0..GATEWAYS as u64).map(gateway).collect()).await
    });
    println!("baseline: {baseline_result:?}\npool:     {pool_result:?}");
    assert_eq!((baseline_result.served, pool_result.served), (GATEWAYS * 24, GATEWAYS * 24));
    assert!(pool_result.peak_at_backend <= GATEWAYS * MAX_BACKEND_CONNECTIONS, "{pool_result:?}");
    assert!(
        baseline_result.peak_at_backend > 2 * pool_result.peak_at_backend,
        "{baseline_result:?} {pool_result:?}"
    );
    assert!(
        3 * pool_result.peak_opened < 2 * baseline_result.peak_opened,
        "{baseline_result:?} {pool_result:?}"
    );
}

#[test]
fn preconnects_are_rate_limited_and_only_to_backends_in_use() {
    on_paused_clock(async {
        let section = serde_json::json!({"warm_up": true, "warm_per_s": 4, "warm_burst": 2});
        let mut gateways: Vec<PoolGateway> =
            (0..GATEWAYS as u64).map(|seed| PoolGateway::start(section.clone(), seed)).collect();
        let (_first, addresses) = start_backends().await;
        gateways.iter_mut().for_each(|gateway| gateway.replace(&addresses));
        // Each gateway uses all backends but the last two.
        for _ in 0..10 {
            let mut round = JoinSet::new();
            for gateway in &gateways {
                for backend in &gateway.backends[..BACKENDS - 2] {
                    let (pool, backend) = (gateway.pool.clone(), backend.clone());
                    round.spawn_local(async move { hold_connection(&pool, &backend).await });
                }
            }
            assert!(round.join_all().await.into_iter().all(|served| served));
        }
        let (second, addresses) = start_backends().await;
        gateways.iter_mut().for_each(|gateway| gateway.replace(&addresses));
        let before: Vec<u64> = gateways.iter().map(|g| g.pool.counters().dials).collect();
        for step in 1..=12 {
            for (gateway, before) in gateways.iter().zip(&before) {
                let wanting: Vec<Rc<Backend>> =
                    gateway.backends.iter().filter(|b| gateway.pool.wants_preconnect(b)).cloned().collect();
                gateway.pool.preconnect(&wanting, 250 * MS);
                let dials = gateway.pool.counters().dials - before;
                assert!(dials <= 2 + step, "{dials} dials after {step} quarters of a second");
            }
            sleep(250 * MS).await;
        }
        sleep(250 * MS).await;
        let opened: Vec<usize> = second.iter().map(|b| b.opened.borrow().len()).collect();
        assert_eq!(
            opened,
            [24, 24, 24, 24, 24, 24, 0, 0],
            "one connection per gateway to each backend in use"
        );
        let mut all: Vec<Instant> = second.iter().flat_map(|b| b.opened.borrow().clone()).collect();
        all.sort();
        let within = |from: &Instant| all.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
        let peak_opened = all.iter().map(within).max();
        println!("preconnects: {peak_opened:?} of {} within 100 ms", all.len());
        assert!(peak_opened < Some(GATEWAYS * 6 / 4), "{peak_opened:?}");
    });
}
