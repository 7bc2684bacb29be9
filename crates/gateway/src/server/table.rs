//! The bounded table of client connections: enforces timeouts and evicts connections in favor of new ones.

use super::connection::{ClientConnection, Phase};
use crate::memory::{Holder, MemoryAccount, Reservation};
use crate::relay::StreamLimits;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{interval, timeout};

/// How often the limits on connections are checked.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for receiving a request: from the accept of a new connection, from the first byte of the request on a
/// persistent one, or from the previous response on one that is being closed. The platform grants clients that send
/// nothing 3 s.
pub(super) const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without an open request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum time that a connection must have been silent to be evicted for a new one. Typical clients send immediately.
const MIN_SILENCE: Duration = Duration::from_millis(250);
/// The memory of a connection: hyper's read buffer of up to 16 KiB and its write buffer of 8 KiB, the first chunk that is
/// read ahead, and the state of the connection.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Interval between two attempts to evict a connection for a new one.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Identifies a connection in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ConnectionId(u64);

/// The open client connections.
pub(super) struct ConnectionTable {
    open: RefCell<HashMap<ConnectionId, Rc<ClientConnection>>>,
    last_id: Cell<u64>,
    max_connections: usize,
    streams: Rc<StreamLimits>,
    /// Notified when a connection was removed.
    removed: Notify,
}

impl ConnectionTable {
    /// Creates an empty table for at most `max_connections` connections.
    pub(super) fn new(max_connections: usize, streams: Rc<StreamLimits>) -> ConnectionTable {
        ConnectionTable {
            open: RefCell::default(),
            last_id: Cell::new(0),
            max_connections,
            streams,
            removed: Notify::new(),
        }
    }

    /// Adds an accepted connection.
    pub(super) fn insert(&self, connection: Rc<ClientConnection>) -> ConnectionId {
        let id = ConnectionId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        self.open.borrow_mut().insert(id, connection);
        id
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, id: ConnectionId) {
        self.open.borrow_mut().remove(&id);
        self.removed.notify_one();
    }

    fn len(&self) -> usize {
        self.open.borrow().len()
    }

    fn all(&self) -> Vec<Rc<ClientConnection>> {
        self.open.borrow().values().cloned().collect()
    }

    /// Closes all connections, each after the response to its current request.
    pub(super) fn close_all(&self) {
        self.all().iter().for_each(|connection| connection.close());
    }

    /// Closes all connections except those on which a request is arriving. These close after its response.
    pub(super) fn close_all_but_receiving(&self) {
        let mut others = self.all();
        others.retain(|connection| connection.phase() != Phase::Receiving);
        others.iter().for_each(|connection| connection.close());
    }

    /// Closes connections that exceed a time limit: those of clients that send nothing, send a partial request, or do
    /// not read their response.
    pub(super) fn sweep(&self) {
        let settings = self.streams.last_settings();
        for connection in self.open.borrow().values() {
            let too_slow = settings.is_some_and(|settings| connection.is_transfer_too_slow(&settings));
            let response_unread = connection.is_closing_longer_than(RECEIVE_TIMEOUT)
                && connection.is_in_phase_longer_than(Phase::Idle, RECEIVE_TIMEOUT);
            if too_slow {
                connection.abort_as_slow();
            } else if response_unread {
                connection.abort();
            } else if connection.is_in_phase_longer_than(Phase::Receiving, RECEIVE_TIMEOUT) {
                connection.abandon();
            } else if connection.is_in_phase_longer_than(Phase::Idle, IDLE_TIMEOUT) {
                connection.close();
            }
        }
        self.close_idle_over_half();
    }

    /// Closes the connections that were idle longest while more than half of the table is used. Clients may limit their
    /// own connections: if idle ones used up that limit, they could not open new ones. This also covers floods, and
    /// many clients that send one request each. The cost: when more clients than the table holds return after a pause,
    /// each needs a new connection.
    fn close_idle_over_half(&self) {
        let mut idle = self.all();
        idle.retain(|connection| {
            !connection.is_closing() && connection.is_in_phase_longer_than(Phase::Idle, MIN_SILENCE)
        });
        idle.sort_by_key(|connection| connection.phase_since());
        let excess = self.len().saturating_sub(self.max_connections / 2);
        idle.iter().take(excess).for_each(|connection| connection.close());
    }

    /// Waits until the table has a free slot and the account the memory of a connection, and returns that memory. Evicts
    /// connections if necessary. Otherwise clients that keep their connections forever would shut others out.
    pub(super) async fn wait_for_slot(&self, account: &MemoryAccount) -> Reservation {
        loop {
            if self.len() < self.max_connections {
                if let Some(memory) = account.try_reserve(Holder::Connections, CONNECTION_BYTES) {
                    return memory;
                }
            }
            self.evict_one();
            // The evicted connection may still have to finish a request, so this retries after a while.
            let _ = timeout(SLOT_RETRY_INTERVAL, self.removed.notified()).await;
        }
    }

    /// Evicts one connection, by the first of these rules that finds one: the connection that has been lingering
    /// longest, the one whose client has been silent for longest in or before a request, the one that has been idle
    /// longest, or the one that has been receiving its request for longest. The first two and the last free their slot
    /// at once.
    fn evict_one(&self) {
        let candidates = self.all();
        if let Some(connection) = oldest(&candidates, Phase::Lingering, MIN_SILENCE) {
            connection.abort();
        } else if let Some(connection) = longest_silent(&candidates) {
            connection.abandon();
        } else if let Some(connection) = oldest(&not_closing(&candidates), Phase::Idle, Duration::ZERO) {
            connection.close();
        } else if let Some(connection) = oldest(&candidates, Phase::Receiving, MIN_SILENCE) {
            connection.abandon();
        }
    }

    /// Waits until no connection is open.
    pub(super) async fn wait_until_empty(&self) {
        let mut sweep = interval(SWEEP_INTERVAL);
        while !self.open.borrow().is_empty() {
            tokio::select! {
                () = self.removed.notified() => {}
                _ = sweep.tick() => self.sweep(),
            }
        }
    }
}

/// Returns the connection that has been in this phase for longest, if it has been for more than `min_time`.
fn oldest(
    candidates: &[Rc<ClientConnection>],
    phase: Phase,
    min_time: Duration,
) -> Option<&Rc<ClientConnection>> {
    candidates
        .iter()
        .filter(|connection| connection.is_in_phase_longer_than(phase, min_time))
        .filter(|connection| !connection.is_aborted())
        .min_by_key(|connection| connection.phase_since())
}

/// Returns the connection that has waited for its silent client for longest, if it has for more than [`MIN_SILENCE`].
fn longest_silent(candidates: &[Rc<ClientConnection>]) -> Option<&Rc<ClientConnection>> {
    candidates
        .iter()
        .filter_map(|connection| Some((connection.silent_since()?, connection)))
        .filter(|(since, connection)| since.elapsed() > MIN_SILENCE && !connection.is_abandoned())
        .min_by_key(|(since, _)| *since)
        .map(|(_, connection)| connection)
}

/// Returns the connections for which no close was requested.
fn not_closing(candidates: &[Rc<ClientConnection>]) -> Vec<Rc<ClientConnection>> {
    candidates.iter().filter(|connection| !connection.is_closing()).cloned().collect()
}
