use super::*;

/// The reference as it is committed.
const PAGE: &str = include_str!("../../../docs/configuration.md");

#[test]
fn the_reference_is_what_the_structures_say() {
    let told = document::reference();
    assert!(PAGE.contains(&told), "docs/configuration.md is stale: put `lanespan config reference` into it");
}

#[test]
fn the_example_names_every_key_and_no_other() {
    let known = document::reference();
    let keys = known.lines().filter_map(|line| line.strip_prefix("| `")?.split_once('`').map(|(key, _)| key));
    for key in keys {
        let name = key.rsplit('.').next().unwrap_or(key);
        let there = EXAMPLE.lines().any(|line| {
            let line = line.trim_start_matches("# ");
            line.starts_with(&format!("{name} =")) || line.starts_with(&format!("[{key}"))
        });
        assert!(there, "{key} is not in the example");
    }
    // With each key that is commented out in force, it is still read.
    let all: String = EXAMPLE
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(rest) if rest.contains(" = ") || rest.starts_with('[') => format!("{rest}\n"),
            _ => format!("{line}\n"),
        })
        .collect();
    let path = std::env::temp_dir().join(format!("lanespan-example-{}.toml", std::process::id()));
    std::fs::write(&path, all).expect("written");
    let read = Source { path: path.clone(), ..Source::default() }.read();
    std::fs::remove_file(path).expect("there");
    assert!(read.is_ok(), "{:?}", read.err());
}
