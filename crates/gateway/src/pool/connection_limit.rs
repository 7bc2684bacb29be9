//! An adaptive limit on the connections from this gateway to one backend. Backends do not announce how many connections
//! they accept, and other gateways hold connections as well, so the limit is found by additive increase and
//! multiplicative decrease (AIMD).

use super::settings::PoolSettings;
use std::time::Duration;
use tokio::time::Instant;

/// The share of the established connections to which a refused dial lowers the limit.
const DIAL_REFUSED_REMAINING_SHARE: f64 = 0.8;
/// The share of the connections in use to which a rejected request lowers the limit.
const REQUEST_REJECTED_REMAINING_SHARE: f64 = 0.7;
/// How long failures are ignored after a decrease, because those of requests and dials that were already in progress
/// carry no new information.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the limit is raised by one connection while it is reached. Jittered by up to a quarter either
/// way.
const INCREASE_INTERVAL: Duration = Duration::from_secs(1);

/// The adaptive connection limit for one backend.
#[derive(Debug)]
pub(super) struct ConnectionLimit {
    connections: f64,
    decreased_at: Option<Instant>,
    increase_at: Option<Instant>,
}

impl ConnectionLimit {
    /// Starts at the maximum, because the settings already divide the backend's connections among the gateways.
    pub(super) fn new(settings: &PoolSettings) -> ConnectionLimit {
        let connections = settings.max_backend_connections as f64;
        ConnectionLimit { connections, decreased_at: None, increase_at: None }
    }

    /// Returns the maximum number of concurrent connections.
    pub(super) fn connections(&self) -> usize {
        self.connections as usize
    }

    /// Clamps the limit to new settings.
    pub(super) fn configure(&mut self, settings: &PoolSettings) {
        let (min, max) = (settings.min_backend_connections, settings.max_backend_connections);
        self.connections = self.connections.clamp(min as f64, max as f64);
    }

    /// Lowers the limit after a dial was refused while `established` connections existed.
    pub(super) fn dial_refused(&mut self, now: Instant, established: usize, settings: &PoolSettings) {
        self.decrease(now, established as f64 * DIAL_REFUSED_REMAINING_SHARE, settings);
    }

    /// Lowers the limit after a request was rejected while `in_use` connections were in use.
    pub(super) fn request_rejected(&mut self, now: Instant, in_use: usize, settings: &PoolSettings) {
        self.decrease(now, in_use as f64 * REQUEST_REJECTED_REMAINING_SHARE, settings);
    }

    fn decrease(&mut self, now: Instant, to: f64, settings: &PoolSettings) {
        if self.decreased_at.is_some_and(|at| now < at + DECREASE_INTERVAL) {
            return;
        }
        self.connections = self.connections.min(to).max(settings.min_backend_connections as f64);
        self.decreased_at = Some(now);
        self.increase_at = None;
    }

    /// Records that a request succeeded while `held` connections were held, and raises the limit if it is reached and
    /// the increase is due. `jitter` is from 0 to 1 and keeps gateways from raising their limits in step.
    pub(super) fn request_succeeded(
        &mut self,
        now: Instant,
        held: usize,
        jitter: f64,
        settings: &PoolSettings,
    ) {
        let max = settings.max_backend_connections as f64;
        if held < self.connections() || self.connections >= max {
            return;
        }
        let interval = INCREASE_INTERVAL.mul_f64(0.75 + 0.5 * jitter);
        let increase_at = *self.increase_at.get_or_insert(now + interval);
        if now >= increase_at {
            self.connections = (self.connections.floor() + 1.0).min(max);
            self.increase_at = None;
        }
    }
}
