use super::*;
use crate::config::{document::Document, problems};
use serde_json::{json, Value};

fn environment(gateway_count: u32, default_connections: usize) -> PoolEnvironment {
    PoolEnvironment {
        default_connections,
        max_connections: 448,
        gateway_count,
        max_descriptors: 1024,
        dial_timeout: Duration::from_millis(250),
        backend_idle_timeout: Duration::from_secs(30),
    }
}

fn read(section: Value) -> Result<PoolSettings, String> {
    let (document, problems) = problems::read::<Document>(json!({"pool": section}), &["pool"]);
    match document.filter(|_| problems.is_empty()) {
        Some(document) => {
            PoolSettings::from_section(&document.pool, &environment(300, 256)).map_err(|e| e.to_string())
        }
        None => Err(ConfigError::from(problems).to_string()),
    }
}

#[test]
fn default_limits_follow_the_fleet_size_and_the_descriptors() {
    let large_fleet = read(json!({})).expect("valid defaults");
    assert_eq!(
        (
            large_fleet.max_connections,
            large_fleet.min_backend_connections,
            large_fleet.max_backend_connections
        ),
        (256, 2, 4)
    );
    assert_eq!(large_fleet.max_idle_backends, 64, "a subset of a large fleet");
    assert_eq!(
        (large_fleet.min_idle_time, large_fleet.max_idle_time),
        (Duration::from_secs(15), Duration::from_millis(22_500))
    );
    let small_fleet =
        PoolSettings::from_section(&PoolSection::default(), &environment(3, 256)).expect("defaults");
    assert_eq!(small_fleet.max_backend_connections, 128, "half of the connections at most");
    for links in 1..20 {
        let few_connections = PoolSettings::from_section(&PoolSection::default(), &environment(300, links));
        assert!(few_connections.is_ok(), "defaults are valid for any number of connections: {links}");
    }
}

#[test]
fn an_invalid_section_is_reported_in_one_line_that_names_the_key() {
    for (section, message) in [
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
        (json!({"idle_most_ms": 30001}), "pool.idle_most_ms: 30.001s is over settings.bounds.conn_idle, 30s"),
        (json!({"waiting": 2, "backend_waiting": 3}), "pool.backend_waiting: 3 is over pool.waiting, 2"),
        (json!({"backoff_least_ms": 9, "backoff_most_ms": 8}), "pool.backoff_least_ms: 9ms is over"),
        (json!([]), "pool: expected an object, found []"),
    ] {
        let error = read(section.clone()).err().unwrap_or_default();
        assert!(error.starts_with(message) && (error.is_empty() == message.is_empty()), "{section}: {error}");
        assert!(!error.contains('\n'), "{error}");
    }
}
