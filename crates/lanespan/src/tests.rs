use super::*;

/// The committed page with the configuration reference.
const REFERENCE_PAGE: &str = include_str!("../../../docs/configuration.md");

#[test]
fn committed_reference_matches_the_document_types() {
    let tables = document::reference();
    assert!(
        REFERENCE_PAGE.contains(&tables),
        "docs/configuration.md is stale: put `lanespan config reference` into it"
    );
}

#[test]
fn example_has_every_key_and_no_unknown_one() {
    let reference = document::reference();
    let keys =
        reference.lines().filter_map(|line| line.strip_prefix("| `")?.split_once('`').map(|(key, _)| key));
    for key in keys {
        let name = key.rsplit('.').next().unwrap_or(key);
        let in_example = EXAMPLE.lines().any(|line| {
            let line = line.trim_start_matches("# ");
            line.starts_with(&format!("{name} =")) || line.starts_with(&format!("[{key}"))
        });
        assert!(in_example, "{key} is not in the example");
    }
    // The example is still valid with every commented-out key enabled.
    let all_enabled: String = EXAMPLE
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(rest) if rest.contains(" = ") || rest.starts_with('[') => format!("{rest}\n"),
            _ => format!("{line}\n"),
        })
        .collect();
    let path = std::env::temp_dir().join(format!("lanespan-example-{}.toml", std::process::id()));
    std::fs::write(&path, all_enabled).expect("the example is written");
    let config = Source { path: path.clone(), ..Source::default() }.read();
    std::fs::remove_file(path).expect("the example is removed");
    assert!(config.is_ok(), "{:?}", config.err());
}
