//! The `pool` section of the configuration: the limits on connections to backends.

use crate::config::document::{Count, Millis, PoolSection};
use crate::config_error::ConfigError;
use std::fmt::Debug;
use std::time::Duration;

/// Default limit on the connections of all gateways together to one backend. Each gateway gets an equal share.
const DEFAULT_FLEET_BACKEND_CONNECTIONS: usize = 1_200;
/// The minimum of a gateway's default share, so that two requests can be in flight while a third one need not wait for
/// a handshake behind both.
const MIN_DEFAULT_BACKEND_CONNECTIONS: usize = 4;
/// Default number of backends to which idle connections are kept: a subset of a large fleet, all of a small one.
const DEFAULT_IDLE_BACKENDS: usize = 64;
const DEFAULT_MIN_BACKOFF: Duration = Duration::from_millis(100);
const DEFAULT_MAX_BACKOFF: Duration = Duration::from_secs(1);
const DEFAULT_PRECONNECTS_PER_S: usize = 2;
const DEFAULT_PRECONNECT_BURST: usize = 2;
/// The minimum of all durations.
const MIN_TIME: Duration = Duration::from_millis(1);

/// The settings of the pool. All counts are at least one, and no minimum exceeds its maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// Maximum number of connections to all backends together, including those being dialled.
    pub max_connections: usize,
    /// Minimum of the adaptive limit on the connections to one backend.
    pub min_backend_connections: usize,
    /// Maximum and initial value of the adaptive limit.
    pub max_backend_connections: usize,
    /// Maximum number of backends to which idle connections are kept. The most recently used backends take precedence.
    pub max_idle_backends: usize,
    /// Minimum idle time of a connection. It is retired at a random age between this and the maximum.
    pub min_idle_time: Duration,
    /// Maximum idle time of a connection.
    pub max_idle_time: Duration,
    /// Maximum number of requests that wait for a connection to any backend.
    pub max_waiting: usize,
    /// Maximum number of requests that wait for a connection to one backend.
    pub max_backend_waiting: usize,
    /// How long a request waits for a connection.
    pub wait_timeout: Duration,
    /// Maximum pause after the first failed dial. Later pauses double it.
    pub min_backoff: Duration,
    /// Maximum pause after any failed dial.
    pub max_backoff: Duration,
    /// Whether connections are opened ahead of demand.
    pub preconnect: bool,
    /// Maximum rate of connections opened ahead of demand, per second.
    pub preconnects_per_s: usize,
    /// Maximum burst of connections opened ahead of demand.
    pub preconnect_burst: usize,
}

/// Values from other sections of the configuration that bound the pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolEnvironment {
    /// Default for the maximum number of connections.
    pub default_connections: usize,
    /// Maximum number of connections that the limit on descriptors allows.
    pub max_connections: usize,
    /// The number of gateways that share the backends.
    pub gateway_count: u32,
    /// The limit on descriptors.
    pub max_descriptors: usize,
    /// Time limit for establishing a connection.
    pub dial_timeout: Duration,
    /// Idle time after which backends close connections.
    pub backend_idle_timeout: Duration,
}

impl PoolSettings {
    /// Builds the settings from a section. Keys that are absent get a default that is consistent with the given ones.
    pub fn from_section(
        section: &PoolSection,
        environment: &PoolEnvironment,
    ) -> Result<PoolSettings, ConfigError> {
        let count = |key: Option<Count>, default: usize| key.map_or(default.max(1), Count::get);
        let time =
            |key: Option<Millis>, default: Duration| key.map_or(default.max(MIN_TIME), Millis::to_duration);
        let max_connections = count(section.links, environment.default_connections);
        let min_backend_connections = count(section.backend_least, 2.min(max_connections));
        let default_backend_connections =
            default_backend_connections(environment.gateway_count, max_connections);
        let default_backend_connections =
            default_backend_connections.max(min_backend_connections).min(max_connections);
        let max_backend_connections = count(section.backend_most, default_backend_connections);
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

    /// Returns one message for each value that exceeds its bound, with the keys of the configuration.
    fn problems(&self, environment: &PoolEnvironment) -> Vec<String> {
        fn exceeds<T: PartialOrd + Debug>(key: &str, value: T, bound: &str, max: T) -> Option<String> {
            (value > max).then(|| format!("pool.{key}: {value:?} is over {bound}, {max:?}"))
        }
        let left_for_backends =
            format!("what limits.sockets, {}, leaves for backends", environment.max_descriptors);
        let idle_timeout = environment.backend_idle_timeout.max(MIN_TIME);
        let problems = [
            exceeds("links", self.max_connections, &left_for_backends, environment.max_connections),
            exceeds(
                "backend_least",
                self.min_backend_connections,
                "pool.backend_most",
                self.max_backend_connections,
            ),
            exceeds("backend_most", self.max_backend_connections, "pool.links", self.max_connections),
            exceeds("idle_least_ms", self.min_idle_time, "pool.idle_most_ms", self.max_idle_time),
            exceeds("idle_most_ms", self.max_idle_time, "settings.bounds.conn_idle", idle_timeout),
            exceeds("backend_waiting", self.max_backend_waiting, "pool.waiting", self.max_waiting),
            exceeds("backoff_least_ms", self.min_backoff, "pool.backoff_most_ms", self.max_backoff),
        ];
        problems.into_iter().flatten().collect()
    }
}

/// Returns the default of the maximum number of connections to one backend.
fn default_backend_connections(gateway_count: u32, max_connections: usize) -> usize {
    let share = DEFAULT_FLEET_BACKEND_CONNECTIONS / gateway_count.max(1) as usize;
    share.max(MIN_DEFAULT_BACKEND_CONNECTIONS).min(max_connections.div_ceil(2))
}

#[cfg(test)]
mod tests;
