//! Benchmarks checkout and release of one connection per request: time and allocations with 10 and 200 backends. The
//! pool and the baseline pool take turns in one run. `cargo bench --bench pool` prints one row for each.
mod baseline;

use baseline::BaselinePool;
use lanespan_gateway::config::document::PoolSection;
use lanespan_gateway::pool::{
    Checkout, IncarnationId, PoolEnvironment, PoolSettings, PoolState, Poolable, WaiterId, SETTLE_TIME,
};
use socket2::SockRef;
use std::hint::black_box;
use std::mem::MaybeUninit;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use tokio::time::Instant;

const ROUNDS: usize = 15;
const REQUESTS: u32 = 20_000;
const MAX_CONNECTIONS: usize = 256;
const CONN_IDLE: Duration = Duration::from_secs(30);

/// A connection without a socket, whose checks cost nothing, or one with a socket that is checked for unread data.
struct BenchConnection(Option<(UnixStream, UnixStream)>);

impl Poolable for BenchConnection {
    fn is_usable(&mut self) -> bool {
        true
    }
    fn has_no_unread_data(&mut self) -> bool {
        let Some((near, _)) = &self.0 else { return true };
        let mut byte = [MaybeUninit::uninit(); 1];
        SockRef::from(near).peek(&mut byte).is_err()
    }
}

fn connection(sockets: bool) -> BenchConnection {
    let pair = || {
        let (near, far) = UnixStream::pair().expect("a pair of sockets");
        near.set_nonblocking(true).expect("sockets support non-blocking mode");
        (near, far)
    };
    BenchConnection(sockets.then(pair))
}

/// A pool with one idle connection to each backend.
trait Subject {
    /// Checks out and releases a connection for one request.
    fn request(&mut self, now: Instant, backend: usize);
}

struct BaselineSubject(BaselinePool<BenchConnection>);

impl BaselineSubject {
    fn new(backends: usize, sockets: bool, now: Instant) -> BaselineSubject {
        let mut pool = BaselinePool::new(MAX_CONNECTIONS, CONN_IDLE);
        for backend in 0..backends {
            assert!(
                pool.checkout(now, backend as u64).is_some_and(|idle| idle.is_none()),
                "no connection is idle yet"
            );
            pool.release(now, backend as u64, connection(sockets));
        }
        BaselineSubject(pool)
    }
}

impl Subject for BaselineSubject {
    fn request(&mut self, now: Instant, backend: usize) {
        let connection = self.0.checkout(now, backend as u64).flatten().expect("an idle connection");
        self.0.release(now, backend as u64, black_box(connection));
    }
}

struct PoolSubject(PoolState<BenchConnection>, Vec<IncarnationId>);

impl PoolSubject {
    fn new(backends: usize, sockets: bool, now: Instant) -> PoolSubject {
        let environment = PoolEnvironment {
            default_connections: MAX_CONNECTIONS,
            max_connections: MAX_CONNECTIONS,
            gateway_count: 300,
            max_descriptors: 4 * MAX_CONNECTIONS,
            dial_timeout: Duration::from_millis(250),
            backend_idle_timeout: CONN_IDLE,
        };
        let settings = PoolSettings::from_section(&PoolSection::default(), &environment).expect("defaults");
        let mut state = PoolState::new(settings, 1);
        let ids: Vec<IncarnationId> = (0..backends).map(|_| state.add(None)).collect();
        for (waiter, &id) in ids.iter().enumerate() {
            let checkout = state.checkout(now, id, WaiterId(waiter as u64));
            assert!(matches!(checkout, Checkout::Wait { dial: true, .. }));
            let (_, connection) =
                state.dial_ended(now, id, Ok(connection(sockets))).granted.expect("granted to the waiter");
            state.release(now, id, connection, true);
        }
        PoolSubject(state, ids)
    }
}

impl Subject for PoolSubject {
    fn request(&mut self, now: Instant, backend: usize) {
        let id = self.1[backend];
        let Checkout::Idle(connection) = self.0.checkout(now, id, WaiterId(0)) else {
            panic!("no idle connection")
        };
        self.0.release(now, id, black_box(connection), true);
    }
}

/// Sends one round of requests and returns the nanoseconds per request. The backends take turns, and requests to the
/// same backend are 10 ms apart.
fn round(subject: &mut dyn Subject, backends: usize, now: &mut Instant) -> f64 {
    let start = std::time::Instant::now();
    for i in 0..REQUESTS {
        *now += Duration::from_millis(10) / backends as u32;
        subject.request(*now, i as usize % backends);
    }
    start.elapsed().as_nanos() as f64 / f64::from(REQUESTS)
}

fn compare(backends: usize, sockets: bool) {
    let start = Instant::now();
    let mut old = BaselineSubject::new(backends, sockets, start);
    let mut new = PoolSubject::new(backends, sockets, start);
    let subjects: [(&str, &mut dyn Subject); 2] = [("before", &mut old), ("pool", &mut new)];
    let settled = start + 2 * SETTLE_TIME;
    let mut rows = subjects.map(|(name, subject)| (name, subject, settled, Vec::new()));
    // The first round warms up and is not counted.
    for counted in std::iter::once(false).chain([true; ROUNDS]) {
        for (_, subject, now, times) in &mut rows {
            let time = round(*subject, backends, now);
            times.extend(counted.then_some(time));
        }
    }
    for (name, subject, now, mut times) in rows {
        let mut now = now;
        let allocated = allocation_counter::measure(|| _ = round(subject, backends, &mut now)).count_total;
        times.sort_by(f64::total_cmp);
        let kind = if sockets { "sockets" } else { "state only" };
        println!(
            "{backends:>4} backends, {kind:<10}  {name:<6}  ns a request: {:>5.0} min {:>5.0} median {:>5.0} max  \
             allocations a request: {:.4}",
            times[0],
            times[times.len() / 2],
            times[times.len() - 1],
            allocated as f64 / f64::from(REQUESTS)
        );
    }
}

fn main() {
    for backends in [10, 200] {
        for sockets in [false, true] {
            compare(backends, sockets);
        }
    }
}
