//! The `pool` section of the configuration: the bounds on connections to backends.

use crate::config::document::{Count, PoolSection, Span};
use crate::config_error::ConfigError;
use std::fmt::Debug;
use std::time::Duration;

/// Connections that all gateways together may hold at one backend where nothing else is said: each gateway may
/// hold its part of them.
const FLEET_LINKS: usize = 1_200;
/// The least part that a gateway gets of them by default, so that two requests can be out at once and a third
/// one need not wait for a handshake behind both.
const LEAST_PART: usize = 4;
/// Backends to which idle connections are kept by default: a subset of a large fleet, all of a small one.
const IDLE_BACKENDS: usize = 64;
/// The shortest.
const SHORTEST: Duration = Duration::from_millis(1);

/// The bounds. All counts are at least one, and no least is over its most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// Connections to all backends together, those in use and those coming up included.
    pub links: usize,
    /// What the adaptive bound on the connections to one backend never falls below.
    pub backend_least: usize,
    /// What it never rises above, and where it starts.
    pub backend_most: usize,
    /// Backends to which idle connections are kept; those used last.
    pub idle_backends: usize,
    /// An idle connection is retired at a random age from this one,
    pub idle_least: Duration,
    /// up to this one.
    pub idle_most: Duration,
    /// Requests that may wait for a connection, all together.
    pub waiting: usize,
    /// Requests that may wait for a connection to one backend.
    pub backend_waiting: usize,
    /// How long one waits.
    pub wait: Duration,
    /// The bound of the pause after a first failed dial, before jitter,
    pub backoff_least: Duration,
    /// and what it doubles up to.
    pub backoff_most: Duration,
    /// Whether connections are opened ahead of need,
    pub warm_up: bool,
    /// so many a second,
    pub warm_per_s: usize,
    /// and so many at once.
    pub warm_burst: usize,
}

/// What else of the configuration bounds the pool.
#[derive(Debug, Clone, Copy)]
pub struct Around {
    /// Descriptors for connections to backends where the section names no number.
    pub links: usize,
    /// The most that there can be.
    pub links_most: usize,
    /// Gateways that share the backends.
    pub gateways: u32,
    /// The limit on descriptors.
    pub sockets: usize,
    /// A connection must be up within this.
    pub dial_timeout: Duration,
    /// A backend closes a connection that stood idle for this long.
    pub conn_idle: Duration,
}

impl PoolSettings {
    /// What a section says. What it does not name has a default that fits what it does.
    pub fn of(section: &PoolSection, around: &Around) -> Result<PoolSettings, ConfigError> {
        let count = |key: Option<Count>, default: usize| key.map_or(default.max(1), Count::get);
        let span = |key: Option<Span>, default: Duration| key.map_or(default.max(SHORTEST), Span::ms);
        let links = count(section.links, around.links);
        let most = (FLEET_LINKS / around.gateways.max(1) as usize).max(LEAST_PART).min(links.div_ceil(2));
        let backend_least = count(section.backend_least, 2.min(links));
        let backend_most = count(section.backend_most, most.max(backend_least).min(links));
        let idle_least = span(section.idle_least_ms, around.conn_idle / 2);
        let waiting = count(section.waiting, links);
        let backoff_least = span(section.backoff_least_ms, Duration::from_millis(100));
        let settings = PoolSettings {
            links,
            backend_least,
            backend_most,
            idle_backends: count(section.idle_backends, IDLE_BACKENDS.min(links)),
            idle_least,
            idle_most: span(section.idle_most_ms, (around.conn_idle * 3 / 4).max(idle_least)),
            waiting,
            backend_waiting: count(section.backend_waiting, (4 * backend_most).min(waiting)),
            wait: span(section.wait_ms, around.dial_timeout),
            backoff_least,
            backoff_most: span(section.backoff_most_ms, Duration::from_millis(1_000).max(backoff_least)),
            warm_up: section.warm_up.unwrap_or(false),
            warm_per_s: count(section.warm_per_s, 2),
            warm_burst: count(section.warm_burst, 2),
        };
        let problems = settings.problems(around);
        match problems.is_empty() {
            true => Ok(settings),
            false => Err(problems.into()),
        }
    }

    /// Each value that is over another.
    fn problems(&self, around: &Around) -> Vec<String> {
        fn over<T: PartialOrd + Debug>(key: &str, value: T, bound: &str, most: T) -> Option<String> {
            (value > most).then(|| format!("pool.{key}: {value:?} is over {bound}, {most:?}"))
        }
        let of_sockets = format!("what limits.sockets, {}, leaves for backends", around.sockets);
        let conn_idle = around.conn_idle.max(SHORTEST);
        let told = [
            over("links", self.links, &of_sockets, around.links_most),
            over("backend_least", self.backend_least, "pool.backend_most", self.backend_most),
            over("backend_most", self.backend_most, "pool.links", self.links),
            over("idle_least_ms", self.idle_least, "pool.idle_most_ms", self.idle_most),
            over("idle_most_ms", self.idle_most, "settings.bounds.conn_idle", conn_idle),
            over("backend_waiting", self.backend_waiting, "pool.waiting", self.waiting),
            over("backoff_least_ms", self.backoff_least, "pool.backoff_most_ms", self.backoff_most),
        ];
        told.into_iter().flatten().collect()
    }
}

#[cfg(test)]
mod tests;
