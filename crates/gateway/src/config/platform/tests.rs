use super::*;
use crate::config::{Config, Origin, Source};
use proptest::prelude::*;
use serde_json::json;
use std::path::PathBuf;

/// A file with every key that the platform's documentation defines.
fn platform_file() -> Value {
    json!({"name": "n3", "listen": "10.0.0.4:8081", "discovery": "10.2.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096}, "counter": "10.2.0.2:6400",
        "known": {"revision": 41, "complete": true, "members": [
            {"id": "s-1", "host_port": "10.1.0.18:8081", "phase": "ready"}]},
        "settings": {"balancers": 2, "my_number": 0, "bounds": {"max_attempts": 3},
            "classes": [{"name": "look", "effect": "pure", "deadline": 4_000_000}],
            "plans": [{"name": "team", "per_second": 10.0, "peak_units": 10.0}],
            "specifics": {"counter": true, "count_limit": 300_000, "units_top": 4}}})
}

fn source() -> Source {
    Source { path: PathBuf::from("config.json"), origin: Origin::Platform, ..Source::default() }
}

fn read(file: Value, source: &Source) -> Result<Config, ConfigError> {
    let overrides = Overrides { listen: source.listen.is_some(), discovery: source.discovery.is_some() };
    Config::from_platform(PlatformDocument::read(file, overrides)?, source)
}

/// The effective configuration of a file.
fn effective_of(file: Value) -> Value {
    read(file, &source()).unwrap_or_else(|error| panic!("{error}")).effective()
}

/// Generates JSON values of any type, up to three levels deep.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "\\PC{0,12}".prop_map(Value::from),
        Just(json!("10.0.0.1:9901")),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(any_key(), inner, 0..4)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

/// Generates arbitrary keys, among them the keys of this gateway.
fn any_key() -> impl Strategy<Value = String> {
    let gateway_keys =
        ["admin", "fleet", "pool", "streaming", "names", "listen", "links", "plan", "lanespan"];
    prop_oneof![3 => prop::sample::select(gateway_keys.map(str::to_string).to_vec()), 2 => "\\PC{0,8}"]
}

proptest! {
    #[test]
    fn no_key_that_the_platform_adds_changes_the_effective_configuration(
        outside in prop::collection::btree_map(any_key(), any_json(), 0..6),
        in_limits in prop::collection::btree_map(any_key(), any_json(), 0..4),
        in_known in prop::collection::btree_map(any_key(), any_json(), 0..4),
        in_member in prop::collection::btree_map(any_key(), any_json(), 0..4),
        in_class in prop::collection::btree_map("x[a-z]{0,6}", any_json(), 0..4),
    ) {
        let plain = effective_of(platform_file());
        let mut file = platform_file();
        let add = |place: &mut Value, extra: std::collections::BTreeMap<String, Value>| {
            let fields = place.as_object_mut().expect("an object");
            for (key, value) in extra {
                fields.entry(key).or_insert(value);
            }
        };
        add(&mut file, outside);
        add(&mut file["limits"], in_limits);
        add(&mut file["known"], in_known);
        add(&mut file["known"]["members"][0], in_member);
        add(&mut file["settings"]["classes"][0], in_class);
        let mut effective = effective_of(file);
        // The effective configuration shows the settings as written, so the added keys appear there.
        effective["settings"] = plain["settings"].clone();
        prop_assert_eq!(effective, plain);
    }

    #[test]
    fn invalid_limits_known_seed_and_name_do_not_prevent_a_start(
        limits in any_json(), known in any_json(), seed in any_json(), name in any_json(), memory in any_json(),
    ) {
        let mut file = platform_file();
        file["limits"] = limits;
        file["known"] = known;
        file["seed"] = seed;
        file["name"] = name;
        prop_assert!(read(file, &source()).is_ok());
        let mut file = platform_file();
        file["limits"]["memory_mb"] = memory;
        prop_assert!(read(file, &source()).is_ok());
    }
}

#[test]
fn undefined_keys_and_unreadable_values_are_reported() {
    let mut file = platform_file();
    file["admin"] = json!("10.0.0.1:9901");
    file["limits"]["disk_mb"] = json!(5);
    file["limits"]["memory_mb"] = json!("much");
    file["seed"] = json!(17);
    file["known"]["members"] = json!("none");
    let config = read(file, &source()).expect("the configuration is valid");
    assert_eq!(config.ignored().summary(), "admin, limits.disk_mb");
    let unreadable = config.ignored().unreadable.join("\n");
    for line in [
        "limits.memory_mb: expected a number in its range, found \"much\"; using the default",
        "seed: expected 16 hex digits, found 17; using the default",
        "known: expected a list of members, found ",
    ] {
        assert!(unreadable.contains(line), "{line}: {unreadable}");
    }
    assert_eq!(config.effective()["memory_bytes"], json!(192 << 20));
}

#[test]
fn unreadable_required_keys_are_errors() {
    for (key, value, line) in [
        ("discovery", json!(7), "discovery: expected an address and a port, found 7"),
        ("listen", json!({"port": 8081}), "listen: "),
        ("counter", json!("far away"), "counter: expected an address and a port, found \"far away\""),
        ("settings", json!([]), "settings: expected an object, found []"),
        ("settings", json!("later"), "settings: expected an object, found \"later\""),
    ] {
        let mut file = platform_file();
        file[key] = value;
        let error = read(file, &source()).err().unwrap_or_else(|| panic!("{key} is required"));
        assert!(error.lines().len() == 1 && error.lines()[0].contains(line), "{line}: {error}");
    }
    let address = "127.0.0.1:1".parse().expect("the address is valid");
    let overridden = Source { listen: Some(address), discovery: Some(address), ..source() };
    let mut file = platform_file();
    (file["listen"], file["discovery"]) = (json!(7), json!({}));
    file["settings"]["specifics"]["counter"] = json!(false);
    file["counter"] = json!([]);
    assert!(read(file, &overridden).is_ok(), "values that are overridden or not needed may be unreadable");
}

#[test]
fn a_class_with_an_unknown_effect_or_scope_is_not_retried_and_does_not_prevent_a_start() {
    for (key, value, unknown_effects) in [
        ("effect", json!("idempotent_after_2027"), 1),
        ("effect", json!(["pure"]), 0),
        ("effect", json!({"kind": "pure"}), 1),
        ("key_scope", json!("planet"), 0),
        ("key_scope", Value::Null, 0),
    ] {
        let mut file = platform_file();
        let class = &mut file["settings"]["classes"][0];
        class["effect"] = json!("token");
        class["window"] = json!(1_000_000);
        class["key_scope"] = json!("all");
        class[key] = value.clone();
        let config = read(file, &source()).unwrap_or_else(|error| panic!("{value}: {error}"));
        let is_unknown = value != json!(["pure"]);
        let expected = if is_unknown {
            lanespan_policy::Idempotency::NonIdempotent
        } else {
            lanespan_policy::Idempotency::Idempotent
        };
        assert_eq!(config.site.settings.classes[0].idempotency, expected, "{value}");
        assert_eq!(config.unknown_effects.len(), unknown_effects, "{value}");
        assert_eq!(!config.ignored().unreadable.is_empty(), is_unknown, "{value} is reported");
    }
}

#[test]
fn many_ignored_keys_are_summarized_in_one_line_of_limited_length() {
    let mut file = platform_file();
    for number in 0..500 {
        file[format!("key\n{number:03}{}", "x".repeat(200))] = json!(number);
    }
    let summary = read(file, &source()).expect("the configuration is valid").ignored().summary();
    assert!(!summary.contains('\n') && summary.len() < 3000, "{}", summary.len());
    assert!(summary.ends_with(" and 450 more"), "{summary}");
}
