//! A client of the shared counter: makes calls over a few connections, each call once, and puts the replies into the
//! order of the calls.

use super::http::{CallError, Connection};
use super::names;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{header, Method, Request, StatusCode};
use lanespan_policy::{CounterKey, Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{timeout, Instant};
use tracing::warn;

/// Connections that were idle for longer are not reused, because the counter closes them after 10 s or less.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// How one call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterReply {
    /// The outcome of the call.
    pub outcome: Outcome,
    /// The total of the key after a successful call, 0 otherwise.
    pub total: f64,
}

impl From<Outcome> for CounterReply {
    fn from(outcome: Outcome) -> CounterReply {
        CounterReply { outcome, total: 0.0 }
    }
}

/// The parameters of a client, which are independent of the counter's address.
#[derive(Debug, Clone)]
pub struct Params {
    /// The timeout of a call, including the wait for a connection.
    pub timeout: Duration,
    /// The maximum number of connections. Further calls wait for a free one.
    pub max_connections: usize,
    /// The deployment's names for the path and the parameters of a call.
    pub names: names::CounterCall,
}

/// A client of the counter at the address that the configuration names.
pub struct Counter {
    params: Params,
    current: RefCell<Rc<CounterAddress>>,
}

/// The connections to one address of the counter. The limit on them holds for each address.
struct CounterAddress {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    /// Closed once the configuration names another address.
    connections: Semaphore,
}

impl Counter {
    /// Creates a client without connections. They are opened when calls need them.
    pub fn new(address: SocketAddr, params: Params) -> Counter {
        let current = CounterAddress::new(address, params.max_connections);
        Counter { params, current: RefCell::new(Rc::new(current)) }
    }

    /// Switches to another address. Calls that have been sent continue at the old one, and calls that wait for a
    /// connection to it, which it would refuse, go to the new one.
    pub fn set_address(&self, address: SocketAddr) {
        if self.current.borrow().address == address {
            return;
        }
        let new = CounterAddress::new(address, self.params.max_connections);
        self.current.replace(Rc::new(new)).retire();
    }

    /// Adds an amount to a key. A call that times out closes its connection, so that a late reply is not taken as the
    /// reply to a later call.
    pub async fn add(&self, key: CounterKey, amount: f64, lifetime: Micros) -> CounterReply {
        let sent = Cell::new(false);
        match timeout(self.params.timeout, self.exchange(key, amount, lifetime, &sent)).await {
            Ok(reply) => reply,
            Err(_) if sent.get() => Outcome::Timeout.into(),
            Err(_) => Outcome::ConnectFailed.into(),
        }
    }

    /// Makes one call. `sent` is true while the call may have reached the counter.
    async fn exchange(
        &self,
        key: CounterKey,
        amount: f64,
        lifetime: Micros,
        sent: &Cell<bool>,
    ) -> CounterReply {
        loop {
            let target = self.current.borrow().clone();
            let Ok(_permit) = target.connections.acquire().await else { continue };
            let pooled = target.pop_idle();
            let reused = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => match Connection::open(target.address).await {
                    Ok(connection) => connection,
                    Err(_) if target.is_retired() => continue,
                    Err(_) => return Outcome::ConnectFailed.into(),
                },
            };
            sent.set(true);
            match connection.call(self.request(target.address, key, amount, lifetime)).await {
                Ok(response) => {
                    let reply = read_reply(response.status(), response.body());
                    target.release(connection, &reply);
                    return reply;
                }
                // The counter may have closed a pooled connection just before the write; the next one is tried.
                Err(CallError::NotSent) if reused || target.is_retired() => sent.set(false),
                Err(CallError::NotSent) => return Outcome::ConnectFailed.into(),
                Err(CallError::Broken) => return Outcome::ConnectionReset.into(),
            }
        }
    }

    fn request(
        &self,
        address: SocketAddr,
        key: CounterKey,
        amount: f64,
        lifetime: Micros,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::POST;
        let names::CounterCall { path, amount_parameter, lifetime_parameter } = &self.params.names;
        let lifetime_ms = (lifetime.0 / 1_000).max(1);
        // All parts consist of unreserved URI characters, so the URI is always valid.
        let uri = format!("{path}/{}?{amount_parameter}={amount}&{lifetime_parameter}={lifetime_ms}", key.0);
        if let Ok(uri) = uri.parse() {
            *request.uri_mut() = uri;
        }
        if let Ok(host) = address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }
}

impl CounterAddress {
    fn new(address: SocketAddr, max_connections: usize) -> CounterAddress {
        CounterAddress { address, idle: RefCell::default(), connections: Semaphore::new(max_connections) }
    }

    /// Closes the idle connections and ends the wait of calls that have none.
    fn retire(&self) {
        self.connections.close();
        self.idle.borrow_mut().clear();
    }

    fn is_retired(&self) -> bool {
        self.connections.is_closed()
    }

    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            if connection.idle_since.elapsed() < MAX_IDLE_TIME && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. It is dropped after a reply with an unexpected status or without a number,
    /// because later replies on it may be unreadable as well, and once the address is no longer configured.
    fn release(&self, mut connection: Connection, reply: &CounterReply) {
        if !self.is_retired() && reply.outcome != Outcome::ServerError && connection.is_usable() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push(connection);
        }
    }
}

fn read_reply(status: StatusCode, body: &Bytes) -> CounterReply {
    match status {
        StatusCode::OK => read_total(body),
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected.into(),
        // The counter does not know such a call, so nothing was added.
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND => Outcome::NotSent.into(),
        status => {
            warn!(%status, "counter replied with an unexpected status");
            Outcome::ServerError.into()
        }
    }
}

fn read_total(body: &Bytes) -> CounterReply {
    let text = std::str::from_utf8(body).unwrap_or("").trim();
    match text.parse::<f64>() {
        Ok(total) if total.is_finite() => CounterReply { outcome: Outcome::Success, total },
        _ => {
            warn!("counter replied with status 200 but without a number");
            Outcome::ServerError.into()
        }
    }
}

/// A call whose reply has not been returned yet.
struct PendingCall {
    sequence: u64,
    reply: Option<CounterReply>,
}

/// Puts the replies for each key into the order of their calls, which the policy engine expects. Replies may arrive out
/// of order because calls use several connections.
#[derive(Default)]
pub struct ReplySequencer {
    last_sequence: u64,
    pending: HashMap<CounterKey, VecDeque<PendingCall>>,
}

impl ReplySequencer {
    /// Registers a call and returns the number by which its reply is resolved.
    pub fn register(&mut self, key: CounterKey) -> u64 {
        self.last_sequence += 1;
        let call = PendingCall { sequence: self.last_sequence, reply: None };
        self.pending.entry(key).or_default().push_back(call);
        self.last_sequence
    }

    /// Records a reply. Returns the replies for its key that can now be passed on, in the order of their calls.
    pub fn resolve(&mut self, key: CounterKey, sequence: u64, reply: CounterReply) -> Vec<CounterReply> {
        let Some(calls) = self.pending.get_mut(&key) else { return Vec::new() };
        if let Some(call) = calls.iter_mut().find(|call| call.sequence == sequence) {
            call.reply = Some(reply);
        }
        let mut ready = Vec::new();
        while let Some(reply) = calls.front().and_then(|call| call.reply) {
            ready.push(reply);
            calls.pop_front();
        }
        if calls.is_empty() {
            self.pending.remove(&key);
        }
        ready
    }
}
