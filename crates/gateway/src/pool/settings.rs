//! The `pool` section of the configuration: the limits on connections to backends.

use crate::config::document::{Count, Millis, PoolSection};
use crate::config_error::ConfigError;
use std::fmt::Debug;
use std::time::Duration;

/// Connections that all gateways together may hold at one backend where the section does not say: each gateway gets
/// its part of them.
const DEFAULT_FLEET_CONNECTIONS: usize = 1_200;
/// The smallest part that a gateway gets of them by default, so that two requests can be out at once and a third one
/// need not wait for a handshake behind both.
const MIN_DEFAULT_PART: usize = 4;
/// Backends to which idle connections are kept by default: a subset of a large fleet, all of a small one.
const DEFAULT_IDLE_BACKENDS: usize = 64;
const DEFAULT_MIN_BACKOFF: Duration = Duration::from_millis(100);
const DEFAULT_MAX_BACKOFF: Duration = Duration::from_secs(1);
const DEFAULT_PRECONNECTS_PER_S: usize = 2;
const DEFAULT_PRECONNECT_BURST: usize = 2;
/// The shortest time that a setting may be.
const MIN_TIME: Duration = Duration::from_millis(1);

/// The settings of the pool. All counts are at least one, and no minimum is above its maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// Connections to all backends together, those in use and those coming up included.
    pub max_connections: usize,
    /// The adaptive limit on the connections to one backend never falls below this.
    pub min_backend_connections: usize,
    /// It never rises above this, and starts here.
    pub max_backend_connections: usize,
    /// Backends to which idle connections are kept: those used last.
    pub max_idle_backends: usize,
    /// An idle connection is retired at a random age from this one on.
    pub min_idle_time: Duration,
    /// It is retired by this age.
    pub max_idle_time: Duration,
    /// Requests that may wait for a connection, all together.
    pub max_waiting: usize,
    /// Requests that may wait for a connection to one backend.
    pub max_backend_waiting: usize,
    /// How long a request waits.
    pub wait_timeout: Duration,
    /// The longest pause after a first failed dial.
    pub min_backoff: Duration,
    /// The pause doubles up to this.
    pub max_backoff: Duration,
    /// Whether connections are opened ahead of need.
    pub preconnect: bool,
    /// How many of these a second.
    pub preconnects_per_s: usize,
    /// How many of these at once.
    pub preconnect_burst: usize,
}

/// What else of the configuration bounds the pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolEnvironment {
    /// Connections to backends where the section does not say.
    pub default_connections: usize,
    /// The most that the limit on descriptors allows.
    pub max_connections: usize,
    /// The number of gateways that share the backends.
    pub gateway_count: u32,
    /// The limit on descriptors.
    pub max_descriptors: usize,
    /// A connection must come up within this time.
    pub dial_timeout: Duration,
    /// Backends close connections that were idle for this time.
    pub backend_idle_timeout: Duration,
}

impl PoolSettings {
    /// The settings that a section makes. What it does not name has a default that fits what it names.
    pub fn from_section(
        section: &PoolSection,
        environment: &PoolEnvironment,
    ) -> Result<PoolSettings, ConfigError> {
        let count = |key: Option<Count>, default: usize| key.map_or(default.max(1), Count::get);
        let time =
            |key: Option<Millis>, default: Duration| key.map_or(default.max(MIN_TIME), Millis::to_duration);
        let max_connections = count(section.links, environment.default_connections);
        let min_backend_connections = count(section.backend_least, 2.min(max_connections));
        let default_part = default_part(environment.gateway_count, max_connections);
        let default_part = default_part.max(min_backend_connections).min(max_connections);
        let max_backend_connections = count(section.backend_most, default_part);
        let idle_timeout = environment.backend_idle_timeout;
        let min_idle_time = time(section.idle_least_ms, idle_timeout / 2);
        let max_waiting = count(section.waiting, max_connections);
        let min_backoff = time(section.backoff_least_ms, DEFAULT_MIN_BACKOFF);
        let settings = PoolSettings {
            max_connections,
            min_backend_connections,
            max_backend_connections,
            max_idle_backends: count(section.idle_backends, DEFAULT_IDLE_BACKENDS.min(max_connections)),
            min_idle_time,
            max_idle_time: time(section.idle_most_ms, (idle_timeout * 3 / 4).max(min_idle_time)),
            max_waiting,
            max_backend_waiting: count(
                section.backend_waiting,
                (4 * max_backend_connections).min(max_waiting),
            ),
            wait_timeout: time(section.wait_ms, environment.dial_timeout),
            min_backoff,
            max_backoff: time(section.backoff_most_ms, DEFAULT_MAX_BACKOFF.max(min_backoff)),
            preconnect: section.warm_up.unwrap_or(false),
            preconnects_per_s: count(section.warm_per_s, DEFAULT_PRECONNECTS_PER_S),
            preconnect_burst: count(section.warm_burst, DEFAULT_PRECONNECT_BURST),
        };
        let problems = settings.problems(environment);
        match problems.is_empty() {
            true => Ok(settings),
            false => Err(problems.into()),
        }
    }

    /// Each value that is above another, by the keys of the configuration.
    fn problems(&self, environment: &PoolEnvironment) -> Vec<String> {
        fn above<T: PartialOrd + Debug>(key: &str, value: T, bound: &str, max: T) -> Option<String> {
            (value > max).then(|| format!("pool.{key}: {value:?} is over {bound}, {max:?}"))
        }
        let left_for_backends =
            format!("what limits.sockets, {}, leaves for backends", environment.max_descriptors);
        let idle_timeout = environment.backend_idle_timeout.max(MIN_TIME);
        let problems = [
            above("links", self.max_connections, &left_for_backends, environment.max_connections),
            above(
                "backend_least",
                self.min_backend_connections,
                "pool.backend_most",
                self.max_backend_connections,
            ),
            above("backend_most", self.max_backend_connections, "pool.links", self.max_connections),
            above("idle_least_ms", self.min_idle_time, "pool.idle_most_ms", self.max_idle_time),
            above("idle_most_ms", self.max_idle_time, "settings.bounds.conn_idle", idle_timeout),
            above("backend_waiting", self.max_backend_waiting, "pool.waiting", self.max_waiting),
            above("backoff_least_ms", self.min_backoff, "pool.backoff_most_ms", self.max_backoff),
        ];
        problems.into_iter().flatten().collect()
    }
}

/// The connections to one backend that a gateway of a fleet may hold by default.
fn default_part(gateway_count: u32, max_connections: usize) -> usize {
    let part = DEFAULT_FLEET_CONNECTIONS / gateway_count.max(1) as usize;
    part.max(MIN_DEFAULT_PART).min(max_connections.div_ceil(2))
}

#[cfg(test)]
mod tests;
