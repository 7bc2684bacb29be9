//! The pool of connections to all backends. A connection is checked out for one request at a time and released after
//! it.
//!
//! [`PoolState`] decides which request gets which connection, without any I/O. [`Pool`] owns the sockets, the timers
//! and the dial tasks.
//!
//! | module | job |
//! | --- | --- |
//! | `state` | the state machine: checkouts, releases, dials, evictions, preconnects |
//! | `backend_state` | the state of one backend |
//! | `idle`, `connection_limit`, `dial_backoff`, `preconnect` | for one backend: idle connections, the adaptive connection limit, the backoff after failed dials, recent use |
//! | `settings` | the `pool` section of the configuration |
//! | `pooled_connection`, `waiting` | a checked-out connection, and the wait for one |
//! | `id`, `poolable`, `error` | shared types |
//! | `stats`, `usage_log` | counters and gauges, and how they are logged |

mod backend_state;
mod connection_limit;
mod dial_backoff;
mod error;
mod id;
mod idle;
mod poolable;
mod pooled_connection;
mod preconnect;
mod settings;
mod state;
mod stats;
mod usage_log;
mod waiting;

pub use error::{CheckoutError, DialError};
pub use id::{IncarnationId, WaiterId};
pub use poolable::Poolable;
pub use pooled_connection::PooledConnection;
pub use settings::{PoolEnvironment, PoolSettings};
pub use state::{Checkout, DialResult, NextStep, PoolState, SETTLE_TIME};
pub use stats::{Counters, Gauges};

use crate::http::Connection;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use usage_log::UsageLog;
use waiting::{CheckoutResult, Wait, Waiters};

impl Poolable for Connection {
    fn is_usable(&mut self) -> bool {
        Connection::is_usable(self)
    }
    fn has_no_unread_data(&mut self) -> bool {
        Connection::has_no_unread_data(self)
    }
}

/// One incarnation of a backend. Connections belong to an incarnation and not to an address, because another server may
/// use the same address later.
#[derive(Debug)]
pub struct Backend {
    id: IncarnationId,
    /// The address on which the backend listens.
    pub address: SocketAddr,
    /// The start time of the backend from the endpoint list. A change means that older connections are dead.
    pub started_at_ms: u64,
    /// Whether the backend is in service. Cleared when the endpoint list reports that it moved, restarted, drains or is
    /// gone.
    pub open: Cell<bool>,
}

/// The pool of connections to all backends.
pub struct Pool {
    state: RefCell<PoolState<Connection>>,
    waiters: Waiters,
    dial_timeout: Duration,
    usage_log: UsageLog,
}

impl Pool {
    /// Creates an empty pool. A dial must succeed within `dial_timeout`. The seed determines the jitter, so pools with
    /// different seeds do not act in step.
    pub fn new(settings: PoolSettings, dial_timeout: Duration, seed: u64) -> Rc<Pool> {
        Rc::new(Pool {
            state: RefCell::new(PoolState::new(settings, seed)),
            waiters: Waiters::default(),
            dial_timeout,
            usage_log: UsageLog::default(),
        })
    }

    /// Adds a backend that is in service. `predecessor` is the earlier incarnation of the same backend, if there is
    /// one.
    pub fn add_backend(
        &self,
        address: SocketAddr,
        started_at_ms: u64,
        predecessor: Option<&Backend>,
    ) -> Backend {
        let id = self.state.borrow_mut().add(predecessor.map(|predecessor| predecessor.id));
        Backend { id, address, started_at_ms, open: Cell::new(true) }
    }

    /// Takes a backend out of service that moved, restarted, drains or is gone. No request gets a connection to it any
    /// more, not even one that already waits, and its idle connections are closed.
    pub fn close(&self, backend: &Backend) {
        backend.open.set(false);
        let waiters = self.state.borrow_mut().close(backend.id);
        self.waiters.deny(waiters, CheckoutError::BackendClosed);
    }

    /// Closes all idle connections. From now on, released connections are closed as well.
    pub fn stop(&self) {
        self.state.borrow_mut().stop();
        self.usage_log.log_now(self.counters(), self.gauges());
    }

    /// Applies new settings.
    pub fn configure(&self, settings: PoolSettings) {
        self.state.borrow_mut().configure(settings);
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> PoolSettings {
        *self.state.borrow().settings()
    }

    /// Returns the current gauges.
    pub fn gauges(&self) -> Gauges {
        self.state.borrow().gauges()
    }

    /// Returns the totals since startup.
    pub fn counters(&self) -> Counters {
        self.state.borrow().counters()
    }

    /// Checks out a connection for one request. Waits at most for the wait timeout of the settings and until
    /// `deadline`.
    pub async fn checkout(self: &Rc<Self>, backend: &Backend, deadline: Instant) -> CheckoutResult {
        let now = Instant::now();
        let (id, address) = (backend.id, backend.address);
        let waiter = self.waiters.next_id();
        let checkout = self.state.borrow_mut().checkout(now, id, waiter);
        let (dial, serve_at) = match checkout {
            Checkout::Idle(connection) => return Ok(self.pooled(id, address, connection, true)),
            Checkout::Denied(error) => return Err(error),
            Checkout::Wait { dial, serve_at } => (dial, serve_at),
        };
        let mut wait = Wait::begin(self, id, waiter);
        if dial {
            self.dial(id, address);
        }
        if let Some(serve_at) = serve_at {
            self.serve_waiters_at(id, address, serve_at);
        }
        let give_up_at = deadline.min(now + self.settings().wait_timeout);
        tokio::select! {
            biased;
            result = &mut wait.result => result.unwrap_or(Err(CheckoutError::BackendClosed)),
            () = sleep_until(give_up_at) => Err(self.state.borrow_mut().wait_timed_out(id)),
        }
    }

    /// Records that a backend responded successfully to a request.
    pub fn request_succeeded(&self, backend: &Backend) {
        self.state.borrow_mut().request_succeeded(Instant::now(), backend.id);
    }

    /// Records that a backend rejected a request.
    pub fn request_rejected(&self, backend: &Backend) {
        self.state.borrow_mut().request_rejected(Instant::now(), backend.id);
    }

    /// Records that a backend responded in any other way.
    pub fn backend_responded(&self, backend: &Backend) {
        self.state.borrow_mut().backend_responded(backend.id);
    }

    /// Records that an attempt timed out without receiving a byte from the backend.
    pub fn timed_out_silently(&self, backend: &Backend) {
        self.state.borrow_mut().timed_out_silently(backend.id);
    }

    /// Closes idle connections that are too old or were closed by their backend, and logs the pool usage.
    pub fn retire(&self) {
        self.state.borrow_mut().retire(Instant::now());
        self.usage_log.log(self.counters(), self.gauges());
    }

    /// Returns whether the recent use of a backend calls for more connections than it has.
    pub fn wants_preconnect(&self, backend: &Backend) -> bool {
        self.state.borrow().wants_preconnect(Instant::now(), backend.id)
    }

    /// Opens connections ahead of demand to some of these backends, within the rate limit, each after a random
    /// delay of at most `spread`.
    pub fn preconnect(self: &Rc<Self>, wanting: &[Rc<Backend>], spread: Duration) {
        let ids = wanting.iter().map(|backend| backend.id).collect();
        let chosen = self.state.borrow_mut().choose_preconnects(Instant::now(), ids, spread);
        for (id, delay) in chosen {
            let Some(backend) = wanting.iter().find(|backend| backend.id == id) else { continue };
            let (pool, address) = (self.clone(), backend.address);
            spawn_local(async move {
                sleep(delay).await;
                let begun = pool.state.borrow_mut().begin_preconnect(Instant::now(), id);
                if begun {
                    pool.dial(id, address);
                }
            });
        }
    }

    fn pooled(
        self: &Rc<Self>,
        id: IncarnationId,
        address: SocketAddr,
        connection: Connection,
        reused: bool,
    ) -> PooledConnection {
        PooledConnection::new(self.clone(), id, address, connection, reused)
    }

    /// Dials a connection that is already counted in the state. The request that caused the dial may end meanwhile.
    fn dial(self: &Rc<Self>, id: IncarnationId, address: SocketAddr) {
        let pool = self.clone();
        spawn_local(async move {
            let result = match timeout(pool.dial_timeout, Connection::open(address)).await {
                Ok(opened) => opened.map_err(|error| dial_error(&error)),
                Err(_) => Err(DialError::TimedOut),
            };
            let ended = pool.state.borrow_mut().dial_ended(Instant::now(), id, result);
            if let Some((waiter, connection)) = ended.granted {
                pool.waiters.grant(waiter, pool.pooled(id, address, connection, false));
            }
            pool.waiters.deny(ended.denied, CheckoutError::Unreachable);
            if ended.dial {
                pool.dial(id, address);
            }
        });
    }

    /// Grants idle connections to waiting requests at `at`, when the next idle connection has settled.
    fn serve_waiters_at(self: &Rc<Self>, id: IncarnationId, address: SocketAddr, at: Instant) {
        let pool = self.clone();
        spawn_local(async move {
            sleep_until(at).await;
            while let Some((waiter, connection)) = pool.next_served(id) {
                pool.waiters.grant(waiter, pool.pooled(id, address, connection, true));
            }
            let next = pool.state.borrow_mut().next_step(Instant::now(), id);
            if next.dial {
                pool.dial(id, address);
            }
            if let Some(serve_at) = next.serve_at.filter(|at| *at > Instant::now()) {
                pool.serve_waiters_at(id, address, serve_at);
            }
        });
    }

    /// Returns the next waiting request with its connection. The state is not borrowed after this call, because
    /// granting the connection may release it, which borrows the state again.
    fn next_served(&self, id: IncarnationId) -> Option<(WaiterId, Connection)> {
        self.state.borrow_mut().serve_waiter(Instant::now(), id)
    }
}

fn dial_error(error: &io::Error) -> DialError {
    match error.kind() {
        io::ErrorKind::TimedOut => DialError::TimedOut,
        _ => DialError::Refused,
    }
}
