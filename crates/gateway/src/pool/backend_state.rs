//! The pool's state for one incarnation of a backend.

use super::connection_limit::ConnectionLimit;
use super::dial_backoff::DialBackoff;
use super::id::WaiterId;
use super::idle::IdleConnections;
use super::poolable::Poolable;
use super::preconnect::RecentUse;
use super::settings::PoolSettings;
use std::collections::VecDeque;
use tokio::time::Instant;

/// The number of consecutive attempts or dials that time out without a byte from the backend after which its machine is
/// assumed to be gone.
const UNRESPONSIVE_AFTER_TIMEOUTS: u32 = 2;

/// The state of one incarnation of a backend.
pub(super) struct BackendState<C> {
    /// Whether requests may be sent to the backend. Cleared when it moved, restarted, drains or is gone. The state is
    /// kept until no connection is in use or being dialled.
    pub(super) in_service: bool,
    pub(super) idle: IdleConnections<C>,
    pub(super) in_use: usize,
    pub(super) dialling: usize,
    /// Requests that wait for a connection, in the order of their arrival.
    pub(super) waiting: VecDeque<WaiterId>,
    pub(super) limit: ConnectionLimit,
    pub(super) backoff: DialBackoff,
    pub(super) recent_use: RecentUse,
    /// Consecutive attempts and dials that timed out without a byte from the backend.
    silent_timeouts: u32,
}

impl<C: Poolable> BackendState<C> {
    pub(super) fn new(settings: &PoolSettings, recent_use: RecentUse) -> BackendState<C> {
        BackendState {
            in_service: true,
            idle: IdleConnections::new(),
            in_use: 0,
            dialling: 0,
            waiting: VecDeque::new(),
            limit: ConnectionLimit::new(settings),
            backoff: DialBackoff::default(),
            recent_use,
            silent_timeouts: 0,
        }
    }

    /// Returns the number of connections to the backend, including those being dialled.
    pub(super) fn held(&self) -> usize {
        self.idle.len() + self.in_use + self.dialling
    }

    /// Returns whether the connection limit is reached.
    pub(super) fn is_at_limit(&self) -> bool {
        self.held() >= self.limit.connections()
    }

    /// Records that a byte was received from the backend or that a connection to it was established.
    pub(super) fn responded(&mut self) {
        self.silent_timeouts = 0;
    }

    /// Records that an attempt or a dial timed out without a byte from the backend.
    pub(super) fn timed_out_silently(&mut self) {
        self.silent_timeouts = self.silent_timeouts.saturating_add(1);
    }

    /// Returns whether the backend's machine seems to be gone. If so, idle connections are not used until a new one has
    /// been established or a byte was received on one that is in use.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.silent_timeouts >= UNRESPONSIVE_AFTER_TIMEOUTS
    }

    /// Returns when the first idle connection may be used.
    pub(super) fn next_settled_at(&self) -> Option<Instant> {
        self.idle.first_settled_at().filter(|_| !self.is_unresponsive())
    }

    /// Returns the number of connections that may become free for waiting requests without another dial.
    pub(super) fn expected_connections(&self) -> usize {
        match self.is_unresponsive() {
            true => self.dialling,
            false => self.dialling + self.idle.len(),
        }
    }

    /// Returns whether there is no established connection that could become free.
    pub(super) fn has_no_established_connection(&self) -> bool {
        self.in_use == 0 && self.next_settled_at().is_none()
    }

    /// Returns whether the backoff allows another dial.
    pub(super) fn may_dial(&self, now: Instant) -> bool {
        self.backoff.may_dial(now, self.dialling)
    }

    /// Returns whether the backend is out of service and no connection is in use or being dialled.
    pub(super) fn is_finished(&self) -> bool {
        !self.in_service && self.in_use == 0 && self.dialling == 0
    }
}
