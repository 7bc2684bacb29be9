//! The connections to all backends: checked out for one request at a time and given back. What goes to whom
//! stands in the books (`book`), which know no socket; here are the sockets, the timers and the dials.

mod book;
mod bound;
mod settings;
mod warm;

pub use book::{Book, Checkout, Counters, DialError, Dialled, Gauges, Link, NoLink, Serial, Waiter, SETTLE};
pub use settings::{Around, PoolSettings};

use super::http::Connection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::info;

/// Counters are logged this often at the most.
const LOG_EVERY: Duration = Duration::from_secs(10);

impl Link for Connection {
    fn is_usable(&mut self) -> bool {
        Connection::is_usable(self)
    }
    fn is_quiet(&mut self) -> bool {
        Connection::is_quiet(self)
    }
}

/// One backend as the list has it now. Guards against giving a connection to who stands at the same address
/// later: connections are this backend's alone, by its number.
#[derive(Debug)]
pub struct Backend {
    /// The pool's number for it.
    serial: Serial,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it last started, as told; a change means that old connections are dead.
    pub up_since_ms: u64,
    /// Cleared when the list says that it drains or is gone.
    pub open: Cell<bool>,
}

type Granted = Result<Lease, NoLink>;

/// The connections to all backends.
pub struct Pool {
    book: RefCell<Book<Connection>>,
    /// Where those who wait are told.
    waiting: RefCell<HashMap<Waiter, oneshot::Sender<Granted>>>,
    waiters: Cell<Waiter>,
    dial_timeout: Duration,
    /// What was logged last, and when.
    logged: Cell<(Counters, Option<Instant>)>,
}

/// A connection that one request has. Dropped, it is closed, and its place is free.
pub struct Lease {
    pool: Rc<Pool>,
    serial: Serial,
    address: SocketAddr,
    connection: Option<Connection>,
    /// It had stood idle.
    pub reused: bool,
    used: bool,
}

impl Lease {
    /// The connection, to write a request to.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.used = true;
        self.connection.as_mut()
    }

    /// Gives the connection back for others.
    pub fn give_back(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let now = Instant::now();
        let at = self.pool.book.borrow_mut().give_back(now, self.serial, connection, self.used);
        if let Some(at) = at {
            self.pool.serve_at(self.serial, self.address, at);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            drop(connection);
            let dial = self.pool.book.borrow_mut().closed(Instant::now(), self.serial);
            if dial {
                self.pool.dial(self.serial, self.address);
            }
        }
    }
}

/// A place in a queue. Guards against a connection that is granted to who has just gone: it goes back unused.
struct Place<'a> {
    pool: &'a Rc<Pool>,
    serial: Serial,
    waiter: Waiter,
    granted: oneshot::Receiver<Granted>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.pool.waiting.borrow_mut().remove(&self.waiter);
        self.pool.book.borrow_mut().leave(self.serial, self.waiter);
        if let Ok(Ok(lease)) = self.granted.try_recv() {
            lease.give_back();
        }
    }
}

impl Pool {
    /// An empty pool. A connection must come up within `dial_timeout`. Pools with different seeds act at
    /// different times.
    pub fn new(set: PoolSettings, dial_timeout: Duration, seed: u64) -> Rc<Pool> {
        let book = RefCell::new(Book::new(set, seed));
        let (waiting, waiters, logged) = (RefCell::default(), Cell::new(0), Cell::default());
        Rc::new(Pool { book, waiting, waiters, dial_timeout, logged })
    }

    /// A backend that takes work; it may follow an earlier life of the same one.
    pub fn backend(&self, address: SocketAddr, up_since_ms: u64, follows: Option<&Backend>) -> Backend {
        let serial = self.book.borrow_mut().add(follows.map(|old| old.serial));
        Backend { serial, address, up_since_ms, open: Cell::new(true) }
    }

    /// Ends a backend that moved, restarted, drains or is gone: it gets nothing new, also of what still waits
    /// for a connection, and its idle connections are closed.
    pub fn close(&self, backend: &Backend) {
        backend.open.set(false);
        let waited = self.book.borrow_mut().close(backend.serial);
        self.deny(waited, NoLink::Closed);
    }

    /// Closes all idle connections; from now on none is kept.
    pub fn stop(&self) {
        self.book.borrow_mut().stop();
        self.log(true);
    }

    /// Keeps to new bounds.
    pub fn configure(&self, set: PoolSettings) {
        self.book.borrow_mut().configure(set);
    }

    /// The bounds in force.
    pub fn settings(&self) -> PoolSettings {
        *self.book.borrow().settings()
    }

    /// What there is now.
    pub fn gauges(&self) -> Gauges {
        self.book.borrow().gauges()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        self.book.borrow().counters()
    }

    /// A connection for one request, within the time that one waits for it, and by `until`.
    pub async fn checkout(self: &Rc<Self>, backend: &Backend, until: Instant) -> Granted {
        let (now, serial, address) = (Instant::now(), backend.serial, backend.address);
        let waiter = self.waiters.replace(self.waiters.get() + 1);
        let checkout = self.book.borrow_mut().checkout(now, serial, waiter);
        let (dial, serve_at) = match checkout {
            Checkout::Link(connection) => return Ok(self.lease(serial, address, connection, true)),
            Checkout::No(why) => return Err(why),
            Checkout::Wait { dial, serve_at } => (dial, serve_at),
        };
        let (grant, granted) = oneshot::channel();
        self.waiting.borrow_mut().insert(waiter, grant);
        let mut place = Place { pool: self, serial, waiter, granted };
        if dial {
            self.dial(serial, address);
        }
        if let Some(at) = serve_at {
            self.serve_at(serial, address, at);
        }
        let longest = until.min(now + self.settings().wait);
        tokio::select! {
            biased;
            granted = &mut place.granted => granted.unwrap_or(Err(NoLink::Closed)),
            () = sleep_until(longest) => Err(self.book.borrow_mut().waited_in_vain(serial)),
        }
    }

    /// A backend answered well.
    pub fn served(&self, backend: &Backend) {
        self.book.borrow_mut().served(Instant::now(), backend.serial);
    }

    /// A backend turned a request away.
    pub fn turned_away(&self, backend: &Backend) {
        self.book.borrow_mut().turned_away(Instant::now(), backend.serial);
    }

    /// Something came back from a backend, however bad.
    pub fn heard(&self, backend: &Backend) {
        self.book.borrow_mut().heard(backend.serial);
    }

    /// An attempt at a backend timed out with not a byte back.
    pub fn silent(&self, backend: &Backend) {
        self.book.borrow_mut().silent(backend.serial);
    }

    /// Closes idle connections that are old or were closed by the other side, and logs the counters.
    pub fn retire(&self) {
        self.book.borrow_mut().retire(Instant::now());
        self.log(false);
    }

    /// Whether recent use of a backend asks for more connections than there are.
    pub fn wants_more(&self, backend: &Backend) -> bool {
        self.book.borrow().wants_more(Instant::now(), backend.serial)
    }

    /// Opens connections ahead of need to some of these backends, as the pace allows, each at a moment of its
    /// own within `spread`.
    pub fn warm_up(self: &Rc<Self>, wanting: &[Rc<Backend>], spread: Duration) {
        let serials = wanting.iter().map(|b| b.serial).collect();
        let chosen = self.book.borrow_mut().warm_up(Instant::now(), serials, spread);
        for (serial, pause) in chosen {
            let Some(backend) = wanting.iter().find(|b| b.serial == serial).cloned() else { continue };
            let pool = self.clone();
            spawn_local(async move {
                sleep(pause).await;
                let begun = pool.book.borrow_mut().begin_warm(Instant::now(), serial);
                if begun {
                    pool.dial(serial, backend.address);
                }
            });
        }
    }

    fn lease(self: &Rc<Self>, serial: Serial, address: SocketAddr, it: Connection, reused: bool) -> Lease {
        Lease { pool: self.clone(), serial, address, connection: Some(it), reused, used: false }
    }

    /// Opens a connection that is on the books already. Whoever waits for it may go meanwhile.
    fn dial(self: &Rc<Self>, serial: Serial, address: SocketAddr) {
        let pool = self.clone();
        spawn_local(async move {
            let end = match timeout(pool.dial_timeout, Connection::open(address)).await {
                Ok(opened) => opened.map_err(|error| kind(&error)),
                Err(_) => Err(DialError::TimedOut),
            };
            let Dialled { granted, failed, dial } =
                pool.book.borrow_mut().dialled(Instant::now(), serial, end);
            if let Some((waiter, connection)) = granted {
                pool.grant(waiter, pool.lease(serial, address, connection, false));
            }
            pool.deny(failed, NoLink::Unreachable);
            if dial {
                pool.dial(serial, address);
            }
        });
    }

    /// Serves those who wait once a connection has settled.
    fn serve_at(self: &Rc<Self>, serial: Serial, address: SocketAddr, at: Instant) {
        let pool = self.clone();
        spawn_local(async move {
            sleep_until(at).await;
            loop {
                let served = pool.book.borrow_mut().serve(Instant::now(), serial);
                let Some((waiter, connection)) = served else { break };
                pool.grant(waiter, pool.lease(serial, address, connection, true));
            }
            let (dial, again) = pool.book.borrow_mut().still_waiting(Instant::now(), serial);
            if dial {
                pool.dial(serial, address);
            }
            if let Some(again) = again.filter(|again| *again > Instant::now()) {
                pool.serve_at(serial, address, again);
            }
        });
    }

    fn grant(&self, waiter: Waiter, lease: Lease) {
        let place = self.waiting.borrow_mut().remove(&waiter);
        let Some(place) = place else { return lease.give_back() };
        if let Err(Ok(lease)) = place.send(Ok(lease)) {
            lease.give_back();
        }
    }

    fn deny(&self, waiters: Vec<Waiter>, why: NoLink) {
        for waiter in waiters {
            let place = self.waiting.borrow_mut().remove(&waiter);
            // Who has just gone needs no word.
            place.into_iter().for_each(|place| _ = place.send(Err(why)));
        }
    }

    /// One line of counters, if any changed and the last one is old enough.
    fn log(&self, at_once: bool) {
        let (now, counters, gauges) = (Instant::now(), self.counters(), self.gauges());
        let (last, at) = self.logged.get();
        let due = at_once || at.is_none_or(|at| now >= at + LOG_EVERY);
        if !due || counters == last {
            return;
        }
        self.logged.set((counters, Some(now)));
        let Counters { used, reused, dials, warmed, failed, stale, retired, evicted, denied } = counters;
        let Gauges { idle, in_use, waiting, .. } = gauges;
        let reuse = format!("{:.3}", reused as f64 / used.max(1) as f64);
        info!(
            open = gauges.open(),
            idle,
            in_use,
            waiting,
            used,
            dials,
            warmed,
            failed,
            reuse,
            stale,
            retired,
            evicted,
            denied,
            "pool"
        );
    }
}

fn kind(error: &io::Error) -> DialError {
    match error.kind() {
        io::ErrorKind::TimedOut => DialError::TimedOut,
        _ => DialError::Refused,
    }
}
