//! The `pool` section of the configuration: the bounds on connections to backends.

use crate::config_error::ConfigError;
use crate::section::Section;
use serde_json::Value;
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
/// The most that a key may count.
const MOST: usize = 1_000_000;

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

const KEYS: [&str; 14] = [
    "links",
    "backend_least",
    "backend_most",
    "idle_backends",
    "idle_least_ms",
    "idle_most_ms",
    "waiting",
    "backend_waiting",
    "wait_ms",
    "backoff_least_ms",
    "backoff_most_ms",
    "warm_up",
    "warm_per_s",
    "warm_burst",
];

impl PoolSettings {
    /// Reads the section; `Null` where there is none. What it does not name has a default that fits what it does.
    pub fn read(section: &Value, around: &Around) -> Result<PoolSettings, ConfigError> {
        let section = Section::new("pool", section, &KEYS)?;
        let links = section.whole("links", around.links, MOST)?;
        let most = (FLEET_LINKS / around.gateways.max(1) as usize).max(LEAST_PART).min(links.div_ceil(2));
        let backend_least = section.whole("backend_least", 2.min(links), MOST)?;
        let backend_most = section.whole("backend_most", most.max(backend_least).min(links), MOST)?;
        let idle_least = section.span("idle_least_ms", around.conn_idle / 2)?;
        let idle_most = section.span("idle_most_ms", (around.conn_idle * 3 / 4).max(idle_least))?;
        let waiting = section.whole("waiting", links, MOST)?;
        let backend_waiting = section.whole("backend_waiting", (4 * backend_most).min(waiting), MOST)?;
        let backoff_least = section.span("backoff_least_ms", Duration::from_millis(100))?;
        let backoff_most =
            section.span("backoff_most_ms", Duration::from_millis(1_000).max(backoff_least))?;
        let settings = PoolSettings {
            links,
            backend_least,
            backend_most,
            idle_backends: section.whole("idle_backends", IDLE_BACKENDS.min(links), MOST)?,
            idle_least,
            idle_most,
            waiting,
            backend_waiting,
            wait: section.span("wait_ms", around.dial_timeout)?,
            backoff_least,
            backoff_most,
            warm_up: section.flag("warm_up", false)?,
            warm_per_s: section.whole("warm_per_s", 2, MOST)?,
            warm_burst: section.whole("warm_burst", 2, MOST)?,
        };
        settings.check(&section, around).map(|()| settings)
    }

    fn check(&self, section: &Section, around: &Around) -> Result<(), ConfigError> {
        let at_most = |key, value: usize, bound: &str, most| section.at_most(key, value, bound, most);
        let no_later = |key, value: Duration, bound, most| section.at_most(key, value, bound, most);
        let of_sockets = format!("what limits.sockets, {}, leaves for backends", around.sockets);
        at_most("links", self.links, &of_sockets, around.links_most)?;
        at_most("backend_least", self.backend_least, "pool.backend_most", self.backend_most)?;
        at_most("backend_most", self.backend_most, "pool.links", self.links)?;
        no_later("idle_least_ms", self.idle_least, "pool.idle_most_ms", self.idle_most)?;
        no_later(
            "idle_most_ms",
            self.idle_most,
            "settings.bounds.conn_idle",
            around.conn_idle.max(SHORTEST),
        )?;
        at_most("backend_waiting", self.backend_waiting, "pool.waiting", self.waiting)?;
        no_later("backoff_least_ms", self.backoff_least, "pool.backoff_most_ms", self.backoff_most)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn around(gateways: u32, links: usize) -> Around {
        let (dial_timeout, conn_idle) = (Duration::from_millis(250), Duration::from_secs(30));
        Around { links, links_most: 448, gateways, sockets: 1024, dial_timeout, conn_idle }
    }

    fn read(section: Value) -> Result<PoolSettings, String> {
        PoolSettings::read(&section, &around(300, 256)).map_err(|e| e.to_string())
    }

    #[test]
    fn without_a_section_the_bounds_follow_the_fleet_and_the_descriptors() {
        let large = read(Value::Null).expect("defaults");
        assert_eq!((large.links, large.backend_least, large.backend_most), (256, 2, 4));
        assert_eq!(large.idle_backends, 64, "a subset of a large fleet");
        assert_eq!(
            (large.idle_least, large.idle_most),
            (Duration::from_secs(15), Duration::from_millis(22_500))
        );
        assert_eq!(read(json!({})), Ok(large));
        let few = PoolSettings::read(&Value::Null, &around(3, 256)).expect("defaults");
        assert_eq!(few.backend_most, 128, "half of the connections at most");
        for links in 1..20 {
            let small = PoolSettings::read(&Value::Null, &around(300, links));
            assert!(small.is_ok(), "defaults fit however few there are: {links}");
        }
    }

    #[test]
    fn what_makes_no_sense_is_told_in_one_line_that_names_the_key() {
        for (section, line) in [
            (json!({"link": 3}), "pool.link: unknown; known are links, "),
            (json!({"links": 0}), "pool.links: expected a whole number from 1 to 1000000, found 0"),
            (json!({"wait_ms": 0}), "pool.wait_ms: expected a whole number from 1 to 3600000, found 0"),
            (json!({"waiting": -1}), "pool.waiting: expected a whole number from 1 to 1000000, found -1"),
            (json!({"warm_burst": 1.5}), "pool.warm_burst: expected a whole number"),
            (json!({"warm_per_s": "2"}), "pool.warm_per_s: expected a whole number"),
            (json!({"warm_up": 1}), "pool.warm_up: expected true or false, found 1"),
            (
                json!({"links": 449}),
                "pool.links: 449 is over what limits.sockets, 1024, leaves for backends, 448",
            ),
            (json!({"backend_least": 5}), ""),
            (
                json!({"backend_least": 5, "backend_most": 4}),
                "pool.backend_least: 5 is over pool.backend_most, 4",
            ),
            (json!({"links": 8, "backend_most": 9}), "pool.backend_most: 9 is over pool.links, 8"),
            (
                json!({"idle_least_ms": 9, "idle_most_ms": 8}),
                "pool.idle_least_ms: 9ms is over pool.idle_most_ms, 8ms",
            ),
            (
                json!({"idle_most_ms": 30001}),
                "pool.idle_most_ms: 30.001s is over settings.bounds.conn_idle, 30s",
            ),
            (json!({"waiting": 2, "backend_waiting": 3}), "pool.backend_waiting: 3 is over pool.waiting, 2"),
            (json!({"backoff_least_ms": 9, "backoff_most_ms": 8}), "pool.backoff_least_ms: 9ms is over"),
            (json!([]), "pool: expected an object, found []"),
        ] {
            let told = read(section.clone()).err().unwrap_or_default();
            assert!(told.starts_with(line) && (told.is_empty() == line.is_empty()), "{section}: {told}");
            assert!(!told.contains('\n'), "{told}");
        }
    }
}
