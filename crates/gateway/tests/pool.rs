//! Tests of the pool's state machine: which request gets which connection, which requests wait, and when a connection
//! is dialled. The clock is simulated and the seeds are fixed; there are no sockets and no real waits.
use lanespan_gateway::config::document::PoolSection;
use lanespan_gateway::pool::{
    Checkout, CheckoutError, DialError, IncarnationId, PoolEnvironment, PoolSettings, PoolState, Poolable,
    WaiterId, SETTLE_TIME,
};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);
const CONN_IDLE: Duration = Duration::from_secs(30);

/// A connection that holds a descriptor until it is dropped.
#[derive(Debug)]
struct FakeConnection {
    number: u32,
    usable: Rc<Cell<bool>>,
    no_unread_data: Rc<Cell<bool>>,
    descriptors: Rc<Cell<usize>>,
}

impl Poolable for FakeConnection {
    fn is_usable(&mut self) -> bool {
        self.usable.get()
    }
    fn has_no_unread_data(&mut self) -> bool {
        self.no_unread_data.get()
    }
}

impl Drop for FakeConnection {
    fn drop(&mut self) {
        self.descriptors.set(self.descriptors.get() - 1);
    }
}

/// A pool state with a simulated clock and fake connections.
struct TestPool {
    state: PoolState<FakeConnection>,
    now: Instant,
    last_number: u32,
    waiter: WaiterId,
    usable: Rc<Cell<bool>>,
    no_unread_data: Rc<Cell<bool>>,
    descriptors: Rc<Cell<usize>>,
}

fn settings(section: serde_json::Value, max_connections: usize, gateway_count: u32) -> PoolSettings {
    let environment = PoolEnvironment {
        default_connections: max_connections,
        max_connections,
        gateway_count,
        max_descriptors: 4 * max_connections,
        dial_timeout: 250 * MS,
        backend_idle_timeout: CONN_IDLE,
    };
    let section: Option<PoolSection> = serde_json::from_value(section).expect("a readable section");
    PoolSettings::from_section(&section.unwrap_or_default(), &environment).expect("a valid section")
}

impl TestPool {
    fn seeded(section: serde_json::Value, max_connections: usize, seed: u64) -> TestPool {
        let state = PoolState::new(settings(section, max_connections, 300), seed);
        let (usable, no_unread_data) = (Rc::new(Cell::new(true)), Rc::new(Cell::new(true)));
        let descriptors = Rc::default();
        TestPool {
            state,
            now: Instant::now(),
            last_number: 0,
            waiter: WaiterId(0),
            usable,
            no_unread_data,
            descriptors,
        }
    }
    fn new(section: serde_json::Value) -> TestPool {
        TestPool::seeded(section, 64, 1)
    }
    fn add_backends(&mut self, number: usize) -> Vec<IncarnationId> {
        (0..number).map(|_| self.state.add(None)).collect()
    }
    fn advance(&mut self, time: Duration) {
        self.now += time;
    }
    /// Creates a connection, as a successful dial does.
    fn new_connection(&mut self) -> FakeConnection {
        self.last_number += 1;
        self.descriptors.set(self.descriptors.get() + 1);
        let (usable, no_unread_data) = (self.usable.clone(), self.no_unread_data.clone());
        FakeConnection {
            number: self.last_number,
            usable,
            no_unread_data,
            descriptors: self.descriptors.clone(),
        }
    }
    fn checkout(&mut self, id: IncarnationId) -> (WaiterId, Checkout<FakeConnection>) {
        self.waiter.0 += 1;
        (self.waiter, self.state.checkout(self.now, id, self.waiter))
    }
    /// Checks out a connection, which must be an idle one.
    fn checkout_idle(&mut self, id: IncarnationId) -> FakeConnection {
        match self.checkout(id).1 {
            Checkout::Idle(connection) => connection,
            other => panic!("not an idle connection: {other:?}"),
        }
    }
    /// Checks out a connection, which must wait. Returns the waiter and whether a dial was started for it.
    fn checkout_waiting(&mut self, id: IncarnationId) -> (WaiterId, bool) {
        match self.checkout(id) {
            (waiter, Checkout::Wait { dial, .. }) => (waiter, dial),
            other => panic!("not waiting: {other:?}"),
        }
    }
    fn checkout_denied(&mut self, id: IncarnationId) -> CheckoutError {
        match self.checkout(id).1 {
            Checkout::Denied(error) => error,
            other => panic!("not denied: {other:?}"),
        }
    }
    fn finish_dial(&mut self, id: IncarnationId) -> Option<(WaiterId, FakeConnection)> {
        let connection = self.new_connection();
        self.state.dial_ended(self.now, id, Ok(connection)).granted
    }
    /// Checks out a connection, which must be dialled, and returns it.
    fn checkout_new(&mut self, id: IncarnationId) -> FakeConnection {
        let (waiter, dial) = self.checkout_waiting(id);
        assert!(dial, "a connection is dialled");
        let (granted_to, connection) = self.finish_dial(id).expect("granted to the waiter");
        assert_eq!(granted_to, waiter);
        connection
    }
    fn release(&mut self, id: IncarnationId, connection: FakeConnection) {
        self.state.release(self.now, id, connection, true);
    }
    /// Adds `number` idle, settled connections to a backend and returns their numbers.
    fn add_idle(&mut self, id: IncarnationId, number: usize) -> Vec<u32> {
        let connections: Vec<FakeConnection> = (0..number).map(|_| self.checkout_new(id)).collect();
        let numbers = connections.iter().map(|connection| connection.number).collect();
        for connection in connections {
            self.advance(MS);
            self.release(id, connection);
        }
        self.advance(SETTLE_TIME);
        numbers
    }
    /// Returns the limit on a backend's connections, and how many are held.
    fn limit_and_held(&self, id: IncarnationId) -> (usize, usize) {
        (self.state.connection_limit(id).expect("a limit"), self.state.held(id).expect("a backend"))
    }
    fn check_descriptors(&self) {
        let gauges = self.state.gauges();
        assert_eq!(gauges.idle + gauges.in_use, self.descriptors.get(), "all descriptors are counted");
    }
}

fn no_section() -> serde_json::Value {
    serde_json::Value::Null
}

#[test]
fn the_last_released_connection_is_reused_first_and_none_is_checked_out_twice() {
    let mut pool = TestPool::new(no_section());
    let backend = pool.add_backends(1)[0];
    let numbers = pool.add_idle(backend, 3);
    let (first, second) = (pool.checkout_idle(backend), pool.checkout_idle(backend));
    assert_eq!((first.number, second.number), (numbers[2], numbers[1]));
    assert_eq!(pool.checkout_idle(backend).number, numbers[0]);
    assert!(pool.checkout_waiting(backend).1, "all three are in use, so another is dialled");
}

#[test]
fn a_connection_settles_before_reuse_and_a_request_that_waits_for_it_dials_none() {
    let mut pool = TestPool::new(no_section());
    let backend = pool.add_backends(1)[0];
    let connection = pool.checkout_new(backend);
    pool.release(backend, connection);
    let (waiter, checkout) = pool.checkout(backend);
    let settled = pool.now + SETTLE_TIME;
    assert!(
        matches!(checkout, Checkout::Wait { dial: false, serve_at: Some(serve_at) } if serve_at == settled)
    );
    pool.advance(SETTLE_TIME / 2);
    assert!(
        pool.state.serve_waiter(pool.now, backend).is_none(),
        "excess bytes after the response may still arrive"
    );
    pool.advance(SETTLE_TIME / 2);
    let (granted_to, connection) =
        pool.state.serve_waiter(pool.now, backend).expect("the connection has settled");
    assert_eq!((granted_to, connection.number), (waiter, 1));
}

#[test]
fn unread_bytes_or_a_close_at_checkout_end_the_connection() {
    for closed in [true, false] {
        let mut pool = TestPool::new(no_section());
        let backend = pool.add_backends(1)[0];
        pool.add_idle(backend, 2);
        let failing_check = if closed { &pool.usable } else { &pool.no_unread_data };
        failing_check.set(false);
        assert!(pool.checkout_waiting(backend).1, "a new connection is dialled");
        assert_eq!((pool.descriptors.get(), pool.state.counters().stale), (0, 2));
        pool.check_descriptors();
    }
}

#[test]
fn idle_connections_are_retired_before_the_backend_closes_them_and_not_in_step() {
    let retired_after = |seed| {
        let mut pool = TestPool::seeded(no_section(), 64, seed);
        let backend = pool.add_backends(1)[0];
        pool.add_idle(backend, 1);
        let start = pool.now;
        while pool.state.gauges().idle > 0 {
            pool.advance(10 * MS);
            pool.state.retire(pool.now);
        }
        pool.now - start
    };
    let ages: Vec<Duration> = (0..50).map(retired_after).collect();
    assert!(
        ages.iter().all(|age| *age >= CONN_IDLE / 2 - 2 * SETTLE_TIME && *age < CONN_IDLE * 4 / 5),
        "{ages:?}"
    );
    let retired_within =
        |from: &Duration| ages.iter().filter(|age| (*from..*from + 500 * MS).contains(age)).count();
    assert!(ages.iter().map(retired_within).max() < Some(10), "{ages:?}");
    // A connection that is too old at checkout is not used either.
    let mut pool = TestPool::new(no_section());
    let backend = pool.add_backends(1)[0];
    pool.add_idle(backend, 1);
    pool.advance(CONN_IDLE * 3 / 4);
    assert!(pool.checkout_waiting(backend).1);
}

#[test]
fn a_dialled_connection_whose_waiter_left_becomes_idle() {
    let mut pool = TestPool::new(no_section());
    let backend = pool.add_backends(1)[0];
    let (removed, dial) = pool.checkout_waiting(backend);
    assert!(dial);
    pool.state.remove_waiter(backend, removed);
    assert!(pool.finish_dial(backend).is_none(), "no request waits");
    let connection = pool.checkout_idle(backend);
    assert_eq!(connection.number, 1, "reused without settling, because nothing was written to it");
    pool.check_descriptors();
    // With two waiting requests, each with a dial, the first established connection goes to the longest waiting one.
    let ((first, first_dials), (second, second_dials)) =
        (pool.checkout_waiting(backend), pool.checkout_waiting(backend));
    assert!(first_dials && second_dials);
    assert_eq!(pool.finish_dial(backend).map(|(granted_to, _)| granted_to), Some(first));
    assert_eq!(pool.finish_dial(backend).map(|(granted_to, _)| granted_to), Some(second));
}

#[test]
fn the_longest_waiting_request_gets_the_released_connection() {
    let mut pool = TestPool::new(serde_json::json!({"backend_least": 1, "backend_most": 1}));
    let backend = pool.add_backends(1)[0];
    let connection = pool.checkout_new(backend);
    let ((first, first_dials), (second, second_dials)) =
        (pool.checkout_waiting(backend), pool.checkout_waiting(backend));
    assert!(!first_dials && !second_dials, "the connection limit of the backend is reached");
    let serve_at = pool.state.release(pool.now, backend, connection, true).expect("a request waits");
    pool.now = serve_at;
    let (granted_to, connection) =
        pool.state.serve_waiter(pool.now, backend).expect("the connection has settled");
    assert_eq!(granted_to, first);
    assert!(pool.state.serve_waiter(pool.now, backend).is_none(), "only one connection was idle");
    pool.state.remove_waiter(backend, second);
    pool.release(backend, connection);
    pool.advance(SETTLE_TIME);
    assert!(pool.state.serve_waiter(pool.now, backend).is_none(), "the second request no longer waits");
    assert_eq!(pool.checkout_idle(backend).number, 1, "the connection is idle again");
}

#[test]
fn a_closed_connection_is_replaced_for_a_waiting_request() {
    let mut pool = TestPool::new(serde_json::json!({"backend_least": 1, "backend_most": 1}));
    let backend = pool.add_backends(1)[0];
    let connection = pool.checkout_new(backend);
    let (waiter, dial) = pool.checkout_waiting(backend);
    assert!(!dial);
    drop(connection);
    assert!(pool.state.connection_closed(pool.now, backend), "another connection is dialled in its place");
    assert_eq!(pool.finish_dial(backend).map(|(granted_to, _)| granted_to), Some(waiter));
}

#[test]
fn no_connection_passes_from_one_incarnation_of_a_backend_to_the_next() {
    let mut pool = TestPool::new(no_section());
    let old = pool.add_backends(1)[0];
    pool.add_idle(old, 2);
    let in_use = [pool.checkout_idle(old), pool.checkout_idle(old)];
    let (waiter, _) = pool.checkout_waiting(old);
    let waited = pool.state.close(old);
    assert_eq!(waited, [waiter], "the waiting request is returned");
    let new = pool.state.add(Some(old));
    in_use.into_iter().for_each(|connection| pool.release(old, connection));
    assert!(pool.finish_dial(old).is_none(), "a connection dialled before the close is closed");
    assert_eq!((pool.state.gauges().open(), pool.descriptors.get()), (0, 0));
    assert_eq!(pool.checkout_denied(old), CheckoutError::BackendClosed);
    pool.advance(SETTLE_TIME);
    assert!(pool.checkout_waiting(new).1, "the new incarnation dials its own connection");
}

#[test]
fn an_unresponsive_backend_is_used_again_once_a_new_connection_is_established() {
    let mut pool = TestPool::new(no_section());
    let backend = pool.add_backends(1)[0];
    pool.add_idle(backend, 2);
    pool.state.timed_out_silently(backend);
    let connection = pool.checkout_idle(backend);
    pool.release(backend, connection);
    pool.advance(SETTLE_TIME);
    pool.state.timed_out_silently(backend);
    let (waiter, dial) = pool.checkout_waiting(backend);
    assert!(dial, "after two consecutive timeouts, idle connections are not used");
    assert_eq!(
        pool.finish_dial(backend).map(|(granted_to, connection)| (granted_to, connection.number)),
        Some((waiter, 3))
    );
    assert!(pool.checkout_idle(backend).number < 3, "idle connections are used again");
    // A byte received between two timeouts proves that the machine is still there.
    pool.state.timed_out_silently(backend);
    pool.state.backend_responded(backend);
    pool.state.timed_out_silently(backend);
    assert!(pool.checkout_idle(backend).number < 3);
}

#[test]
fn idle_connections_to_an_unresponsive_backend_give_way_to_a_new_dial() {
    let mut pool = TestPool::new(serde_json::json!({"backend_least": 1, "backend_most": 2}));
    let backend = pool.add_backends(1)[0];
    pool.add_idle(backend, 2);
    (0..2).for_each(|_| pool.state.timed_out_silently(backend));
    assert!(pool.checkout_waiting(backend).1);
    assert_eq!(pool.limit_and_held(backend), (2, 2));
    pool.check_descriptors();
}

#[test]
fn failed_dials_back_off_exponentially_and_then_a_single_dial_is_tried() {
    let pauses = |seed| {
        let mut pool = TestPool::seeded(no_section(), 64, seed);
        let backend = pool.add_backends(1)[0];
        let (mut trial, _) = pool.checkout_waiting(backend);
        let mut pauses = Vec::new();
        for _ in 0..8 {
            let ended = pool.state.dial_ended(pool.now, backend, Err(DialError::Refused));
            assert_eq!((ended.denied, ended.dial), (vec![trial], false));
            let start = pool.now;
            trial = loop {
                pool.advance(MS);
                match pool.checkout(backend) {
                    (_, Checkout::Denied(error)) => assert_eq!(error, CheckoutError::Unreachable),
                    (waiter, Checkout::Wait { dial: true, .. }) => break waiter,
                    other => panic!("{other:?}"),
                }
            };
            assert_eq!(
                pool.checkout_denied(backend),
                CheckoutError::Unreachable,
                "no request waits for the trial dial"
            );
            pauses.push(pool.now - start);
        }
        // A successful dial ends the backoff.
        assert!(pool.finish_dial(backend).is_some());
        assert!(pool.checkout_waiting(backend).1);
        pauses
    };
    let pauses_of_seed_1 = pauses(1);
    assert!(pauses_of_seed_1[0] >= 50 * MS && pauses_of_seed_1[0] <= 101 * MS, "{pauses_of_seed_1:?}");
    assert!(pauses_of_seed_1.iter().all(|pause| *pause <= 1001 * MS), "{pauses_of_seed_1:?}");
    assert!(pauses_of_seed_1[4..].iter().all(|pause| *pause >= 400 * MS), "{pauses_of_seed_1:?}");
    assert_ne!(pauses_of_seed_1, pauses(2), "different seeds have different pauses");
}

#[test]
fn concurrent_dial_failures_count_once_and_each_denies_one_waiter() {
    let mut pool = TestPool::new(no_section());
    let backend = pool.add_backends(1)[0];
    let waiters: Vec<WaiterId> = (0..4).map(|_| pool.checkout_waiting(backend).0).collect();
    for waiter in &waiters {
        assert_eq!(pool.state.dial_ended(pool.now, backend, Err(DialError::Refused)).denied, [*waiter]);
    }
    pool.advance(101 * MS);
    assert!(pool.checkout_waiting(backend).1, "the pause after one failure, not after four");
}

/// A backend under constant overload: it accepts `capacity` connections and takes 20 ms for a request, while 12
/// requests always wait.
struct OverloadedBackend {
    pool: TestPool,
    backend: IncarnationId,
    held: Vec<(Instant, FakeConnection)>,
    refused: usize,
}

impl OverloadedBackend {
    fn run(&mut self, capacity: usize, steps: usize) -> usize {
        let mut served = 0;
        let pool = &mut self.pool;
        for _ in 0..steps {
            pool.advance(MS);
            while let Some(finished) = self.held.iter().position(|(since, _)| pool.now >= *since + 20 * MS) {
                let (_, connection) = self.held.remove(finished);
                served += 1;
                pool.state.request_succeeded(pool.now, self.backend);
                // The backend closes connections above its capacity.
                if self.held.len() >= capacity {
                    drop(connection);
                    pool.state.connection_closed(pool.now, self.backend);
                } else {
                    pool.release(self.backend, connection);
                }
            }
            while let Some((_, connection)) = pool.state.serve_waiter(pool.now, self.backend) {
                self.held.push((pool.now, connection));
            }
            while pool.state.gauges().waiting < 12 {
                match pool.checkout(self.backend).1 {
                    Checkout::Idle(connection) => self.held.push((pool.now, connection)),
                    Checkout::Wait { dial: true, .. } => {}
                    Checkout::Wait { .. } | Checkout::Denied(_) => break,
                }
            }
            while pool.state.gauges().dialling > 0 {
                let established = pool.state.gauges().open() - pool.state.gauges().dialling;
                if established < capacity {
                    let granted = pool.finish_dial(self.backend);
                    self.held.extend(granted.map(|(_, connection)| (pool.now, connection)));
                } else {
                    self.refused += 1;
                    pool.state.dial_ended(pool.now, self.backend, Err(DialError::Refused));
                }
            }
            pool.check_descriptors();
        }
        served
    }
}

#[test]
fn the_connection_limit_adapts_to_the_capacity_of_a_backend() {
    let mut pool = TestPool::new(serde_json::json!({"backend_most": 32}));
    let backend = pool.add_backends(1)[0];
    let mut overloaded = OverloadedBackend { pool, backend, held: Vec::new(), refused: 0 };
    // Each connection serves at most one request every 25 ms, including the settle time: 400 in ten seconds.
    for capacity in [4, 16, 3, 8] {
        let _settling = overloaded.run(capacity, 15_000);
        let before = overloaded.refused;
        let served = overloaded.run(capacity, 10_000);
        assert!(served * 10 >= capacity * 400 * 7, "{served} served at a capacity of {capacity}");
        let refused = overloaded.refused - before;
        assert!(refused <= 25, "{refused} refused in ten seconds at a capacity of {capacity}");
    }
    let all = overloaded.pool.state.counters();
    assert!(all.dials < all.used / 20, "{all:?}");
}

#[test]
fn rejections_within_an_interval_lower_the_connection_limit_once() {
    let mut pool = TestPool::new(serde_json::json!({"backend_most": 20}));
    let backend = pool.add_backends(1)[0];
    let connections: Vec<FakeConnection> = (0..20).map(|_| pool.checkout_new(backend)).collect();
    (0..5).for_each(|_| pool.state.request_rejected(pool.now, backend));
    assert_eq!(pool.limit_and_held(backend), (14, 20));
    let mut connections = connections;
    connections.drain(..10).for_each(|connection| pool.release(backend, connection));
    pool.state.request_rejected(pool.now, backend);
    assert_eq!(pool.state.connection_limit(backend), Some(14), "a rejection within the interval is ignored");
    pool.advance(100 * MS);
    pool.state.request_rejected(pool.now, backend);
    assert_eq!(pool.state.connection_limit(backend), Some(7), "70% of the ten in use");
    connections.into_iter().for_each(|connection| pool.release(backend, connection));
    let (limit, held) = pool.limit_and_held(backend);
    assert!(held <= 10 && limit == 7, "connections above the limit are not kept: {held}");
    pool.check_descriptors();
}

#[test]
fn a_refused_dial_lowers_the_connection_limit_and_its_waiter_waits_for_a_release() {
    let mut pool = TestPool::new(serde_json::json!({"backend_most": 20}));
    let backend = pool.add_backends(1)[0];
    let mut connections: Vec<FakeConnection> = (0..10).map(|_| pool.checkout_new(backend)).collect();
    let (waiter, dial) = pool.checkout_waiting(backend);
    assert!(dial);
    assert!(pool.state.dial_ended(pool.now, backend, Err(DialError::Refused)).denied.is_empty());
    assert_eq!(pool.limit_and_held(backend), (8, 10));
    let connection = connections.pop().expect("ten connections");
    pool.release(backend, connection);
    pool.advance(SETTLE_TIME);
    assert_eq!(pool.state.serve_waiter(pool.now, backend).map(|(granted_to, _)| granted_to), Some(waiter));
}

#[test]
fn waiting_requests_are_bounded_over_all_backends() {
    let mut pool = TestPool::new(serde_json::json!({"waiting": 4, "backend_waiting": 2}));
    let backends = pool.add_backends(3);
    for &backend in &backends[..2] {
        (0..2).for_each(|_| _ = pool.checkout_waiting(backend));
        assert_eq!(pool.checkout_denied(backend), CheckoutError::BackendFull);
    }
    assert_eq!(pool.checkout_denied(backends[2]), CheckoutError::PoolExhausted);
    assert!(pool.finish_dial(backends[0]).is_some());
    pool.checkout_waiting(backends[2]);
}

#[test]
fn a_flood_at_a_hung_backend_does_not_starve_the_others() {
    let mut pool = TestPool::new(no_section());
    let backends = pool.add_backends(2);
    let (hung, healthy) = (backends[0], backends[1]);
    let (mut waiting, mut denied) = (0, 0);
    for _ in 0..500 {
        match pool.checkout(hung).1 {
            Checkout::Wait { .. } => waiting += 1,
            Checkout::Denied(CheckoutError::BackendFull) => denied += 1,
            other => panic!("{other:?}"),
        }
    }
    let (limit, held) = pool.limit_and_held(hung);
    assert!(held == limit && limit <= 4, "{held} of {limit}");
    assert_eq!((waiting, denied), (16, 484), "the queue is bounded, and further requests are denied at once");
    let connection = pool.checkout_new(healthy);
    pool.release(healthy, connection);
    // Its dials time out: all waiting requests are denied, and further ones at once.
    let mut denied_by_timeout = 0;
    for _ in 0..held {
        denied_by_timeout += pool.state.dial_ended(pool.now, hung, Err(DialError::TimedOut)).denied.len();
    }
    assert_eq!((denied_by_timeout, pool.checkout_denied(hung)), (16, CheckoutError::Unreachable));
    assert_eq!(pool.state.gauges().waiting, 0);
    pool.advance(SETTLE_TIME);
    pool.checkout_idle(healthy);
}

#[test]
fn two_hundred_backends_share_16_connections() {
    let mut pool = TestPool::seeded(no_section(), 16, 1);
    let all = pool.add_backends(200);
    for round in 0..3 {
        for &backend in &all {
            pool.advance(MS);
            let connection = pool.checkout_new(backend);
            assert!(pool.descriptors.get() <= 16, "round {round}");
            pool.release(backend, connection);
            pool.check_descriptors();
        }
    }
    assert_eq!(pool.state.gauges().idle, 16, "idle connections are kept up to the limit");
    // With all connections in use, another request is denied at once and no connection is opened.
    let held: Vec<FakeConnection> = all[..16].iter().map(|&backend| pool.checkout_new(backend)).collect();
    assert_eq!(pool.checkout_denied(all[100]), CheckoutError::PoolExhausted);
    assert_eq!((pool.descriptors.get(), pool.state.gauges().open()), (held.len(), 16));
}

#[test]
fn idle_connections_are_kept_to_the_most_recently_used_backends() {
    let mut pool = TestPool::new(serde_json::json!({"idle_backends": 8}));
    let all = pool.add_backends(200);
    for &backend in &all {
        pool.advance(MS);
        let connection = pool.checkout_new(backend);
        pool.release(backend, connection);
    }
    assert_eq!((pool.state.gauges().idle, pool.descriptors.get()), (8, 8));
    pool.advance(SETTLE_TIME);
    all[192..].iter().for_each(|&backend| _ = pool.checkout_idle(backend));
}

#[test]
fn preconnects_are_rate_limited_when_all_backends_are_replaced() {
    let mut dials = Vec::new();
    for seed in 0..40 {
        let section = serde_json::json!({"warm_up": true, "warm_per_s": 2, "warm_burst": 2});
        let mut pool = TestPool::seeded(section, 512, seed);
        let old = pool.add_backends(100);
        // Two concurrent requests to each backend, ten times.
        for _ in 0..10 {
            pool.advance(100 * MS);
            for &backend in &old {
                let connections: Vec<FakeConnection> = (0..2)
                    .map(|_| match pool.checkout(backend).1 {
                        Checkout::Idle(connection) => connection,
                        _ => pool.finish_dial(backend).expect("dialled").1,
                    })
                    .collect();
                connections.into_iter().for_each(|connection| pool.release(backend, connection));
            }
        }
        let new: Vec<IncarnationId> = old.iter().map(|&backend| pool.state.add(Some(backend))).collect();
        old.iter().for_each(|&backend| _ = pool.state.close(backend));
        let start = pool.now;
        let mut due: Vec<(Instant, IncarnationId)> = Vec::new();
        for step in 0..1000 {
            if step % 25 == 0 {
                let wanting = new
                    .iter()
                    .copied()
                    .filter(|&backend| pool.state.wants_preconnect(pool.now, backend))
                    .collect();
                let chosen = pool.state.choose_preconnects(pool.now, wanting, 250 * MS);
                due.extend(chosen.into_iter().map(|(backend, pause)| (pool.now + pause, backend)));
            }
            let now = pool.now;
            for (_, backend) in due.extract_if(.., |(due_at, _)| *due_at <= now) {
                if pool.state.begin_preconnect(now, backend) {
                    assert!(pool.finish_dial(backend).is_none());
                    dials.push(now - start);
                }
            }
            pool.advance(10 * MS);
        }
        assert!(pool.state.counters().preconnected <= 2 + 20, "a burst of two, then two per second");
        assert!(
            pool.state.counters().preconnected >= 10,
            "recent use calls for preconnects: {:?}",
            pool.state.counters()
        );
    }
    let within = |from: &Duration| dials.iter().filter(|d| (*from..*from + 100 * MS).contains(d)).count();
    assert!(dials.iter().map(within).max() < Some(50), "40 gateways do not dial in step");
}

#[test]
fn unused_failing_and_removed_backends_get_no_preconnects() {
    let mut pool = TestPool::new(serde_json::json!({"warm_up": true}));
    let backends = pool.add_backends(4);
    let (unused, failing, removed, used) = (backends[0], backends[1], backends[2], backends[3]);
    for backend in [failing, removed, used] {
        pool.add_idle(backend, 2);
        let connection = pool.checkout_idle(backend);
        drop(connection);
        pool.state.connection_closed(pool.now, backend);
    }
    let connections = [pool.checkout_idle(failing)];
    let (waiter, _) = pool.checkout_waiting(failing);
    pool.state.dial_ended(pool.now, failing, Err(DialError::Refused));
    pool.state.remove_waiter(failing, waiter);
    connections.into_iter().for_each(|connection| {
        drop(connection);
        pool.state.connection_closed(pool.now, failing);
    });
    pool.state.close(removed);
    let wanting = |pool: &TestPool| {
        backends.iter().map(|&backend| pool.state.wants_preconnect(pool.now, backend)).collect::<Vec<_>>()
    };
    assert_eq!(wanting(&pool), [false, false, false, true], "{unused:?} {failing:?} {removed:?} {used:?}");
    pool.advance(Duration::from_secs(60));
    assert_eq!(wanting(&pool), [false; 4], "old use calls for no preconnects");
}

#[test]
fn new_settings_close_idle_connections_at_once_and_spare_those_in_use() {
    let mut pool = TestPool::new(no_section());
    let backends = pool.add_backends(8);
    backends.iter().for_each(|&backend| _ = pool.add_idle(backend, 4));
    let in_use: Vec<FakeConnection> = backends.iter().map(|&backend| pool.checkout_idle(backend)).collect();
    pool.state.configure(settings(
        serde_json::json!({"links": 10, "backend_most": 2, "backend_least": 1}),
        64,
        300,
    ));
    assert_eq!((pool.state.gauges().in_use, pool.state.gauges().idle), (8, 2));
    in_use.into_iter().zip(&backends).for_each(|(connection, &backend)| pool.release(backend, connection));
    assert!(pool.state.gauges().idle <= 10);
    assert!(backends.iter().all(|&backend| matches!(pool.limit_and_held(backend), (2, held) if held <= 2)));
    pool.check_descriptors();
}

#[test]
fn a_stopped_pool_keeps_no_idle_connections() {
    let mut pool = TestPool::new(no_section());
    let backend = pool.add_backends(1)[0];
    pool.add_idle(backend, 3);
    let in_use = pool.checkout_idle(backend);
    pool.state.stop();
    assert_eq!(pool.descriptors.get(), 1, "the connection in use stays open");
    pool.release(backend, in_use);
    assert_eq!((pool.descriptors.get(), pool.state.gauges().open()), (0, 0));
    pool.checkout_new(backend);
}

#[test]
fn the_same_calls_with_the_same_seed_have_the_same_results() {
    let simulate = |seed| {
        let mut pool = TestPool::seeded(no_section(), 16, seed);
        let (backends, mut rng) = (pool.add_backends(12), fastrand::Rng::with_seed(7));
        let mut in_use: HashMap<IncarnationId, Vec<FakeConnection>> = HashMap::new();
        let (mut history, mut waiting) = (Vec::new(), Vec::new());
        for _ in 0..20_000 {
            pool.advance(MS * rng.u32(0..20));
            let backend = backends[rng.usize(..backends.len())];
            match rng.u32(0..6) {
                0..3 => match pool.checkout(backend) {
                    (_, Checkout::Idle(connection)) => in_use.entry(backend).or_default().push(connection),
                    (waiter, Checkout::Wait { .. }) => waiting.push((backend, waiter)),
                    _ => {}
                },
                3 => {
                    if let Some(connection) = in_use.get_mut(&backend).and_then(Vec::pop) {
                        pool.release(backend, connection);
                    }
                }
                4 => {
                    if let Some(connection) = in_use.get_mut(&backend).and_then(Vec::pop) {
                        drop(connection);
                        pool.state.connection_closed(pool.now, backend);
                    }
                }
                _ => pool.state.retire(pool.now),
            }
            while pool.state.gauges().dialling > 0 {
                let Some(&backend) = backends.iter().find(|&&id| pool.state.dialling(id) > 0) else { break };
                let fails = rng.u32(0..5) == 0;
                let connection = (!fails).then(|| pool.new_connection()).ok_or(DialError::Refused);
                let granted = pool.state.dial_ended(pool.now, backend, connection).granted;
                in_use.entry(backend).or_default().extend(granted.map(|(_, connection)| connection));
            }
            while let Some((_, connection)) = pool.state.serve_waiter(pool.now, backend) {
                in_use.entry(backend).or_default().push(connection);
            }
            if waiting.len() > 4 {
                let (backend, waiter) = waiting.remove(0);
                pool.state.remove_waiter(backend, waiter);
            }
            pool.check_descriptors();
            let gauges = pool.state.gauges();
            assert!(gauges.open() <= 16 && gauges.waiting <= 16, "{gauges:?}");
            let bounds = |&backend: &IncarnationId| {
                pool.state.connection_limit(backend).is_some_and(|limit| (2..=8).contains(&limit))
            };
            assert!(backends.iter().all(bounds));
            history.push(gauges);
        }
        (history, pool.state.counters())
    };
    let first = simulate(5);
    assert_eq!(first, simulate(5));
    assert!(first.1.reused > 100 && first.1.evicted > 10 && first.1.failed > 10, "{:?}", first.1);
}
