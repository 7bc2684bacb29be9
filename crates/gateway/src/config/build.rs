//! Builds a configuration from its document. Every section is read even after a problem, so that all problems are
//! reported at once.

use super::document::{self, Document, Limits, StreamingSection};
use super::platform::{IgnoredKeys, PlatformDocument};
use super::problems::{self, Problems};
use super::site::SiteSettings;
use super::{Config, EndpointList, FleetSettings, Origin, SocketLimits, Source};
use crate::config_error::ConfigError;
use crate::names::Names;
use crate::pool::{PoolEnvironment, PoolSettings};
use crate::relay::StreamSettings;
use serde_json::Value;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The limits on the memory of bodies and streams are derived from at most this much memory, even if limits.memory_mb
/// is higher.
const MAX_MEMORY_BYTES: usize = 1 << 32;
const BYTES_PER_MEBIBYTE: usize = 1 << 20;
/// Placeholder for a missing address. Its absence is reported as a problem, so it never becomes part of a configuration.
const MISSING_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

impl Config {
    /// Builds a configuration from an operator's file in JSON.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let document = serde_json::from_str(text).map_err(|error| ConfigError::new(error.to_string()))?;
        Config::from_document(document, &Source::default())
    }

    /// Builds a configuration from an operator's document.
    ///
    /// # Errors
    ///
    /// Returns every problem of the document.
    pub fn from_document(document: Value, source: &Source) -> Result<Config, ConfigError> {
        build(document, source, IgnoredKeys::default())
    }

    /// Builds a configuration from the part of the platform's file that is meant for this gateway.
    pub(super) fn from_platform(platform: PlatformDocument, source: &Source) -> Result<Config, ConfigError> {
        build(platform.document, source, platform.ignored)
    }
}

fn build(mut raw: Value, source: &Source, mut ignored: IgnoredKeys) -> Result<Config, ConfigError> {
    let (names, names_problems) = match source.names(&raw) {
        Ok(names) => (names, Problems::default()),
        Err(error) => (Names::default(), Problems::from(error)),
    };
    let known = raw.as_object_mut().and_then(|fields| fields.remove("known"));
    let (document, mut problems) = problems::read::<Document>(raw.clone(), &document::SECTIONS);
    problems.append(names_problems);
    let Some(document) = document else { return Err(problems.into()) };
    let (saved_endpoints, known_problem) = read_known(known, &names);
    report_by_origin(known_problem, source.origin, &mut problems, &mut ignored);
    let seed = read_seed(document.seed, &mut problems);
    let listen = required(&mut problems, "listen", source.listen.or(document.listen));
    let discovery = required(&mut problems, "discovery", source.discovery.or(document.discovery));
    let site_settings = read_site(&document.settings, source.origin, &mut problems);
    let Some(mut site_settings) = site_settings else { return Err(problems.into()) };
    ignored.unreadable.append(&mut site_settings.notes);
    let site = site_settings.site;
    if site.settings.quota_counter {
        required(&mut problems, "counter", document.counter);
    }
    let sockets = SocketLimits::allocate(document.limits.sockets.get());
    let environment = PoolEnvironment {
        default_connections: sockets.backends,
        max_connections: sockets.max_backends,
        gateway_count: site.settings.gateway_count,
        max_descriptors: document.limits.sockets.get(),
        dial_timeout: site_settings.dial_timeout,
        backend_idle_timeout: site_settings.idle_timeout,
    };
    let pool = problems.collect(PoolSettings::from_section(&document.pool, &environment));
    let memory = usable_memory(&document.limits);
    let streaming = problems.collect(read_streaming(document.streaming, memory));
    let name = source.name.clone().or(document.name).unwrap_or_default();
    let settings = &raw["settings"];
    let fleet =
        document.fleet.map(|section| FleetSettings::read(section, &name, settings, &site, &mut problems));
    let (Some(pool), Some(streaming), true) = (pool, streaming, problems.is_empty()) else {
        return Err(problems.into());
    };
    Ok(Config {
        name,
        listen,
        discovery,
        counter: document.counter,
        seed,
        saved_endpoints,
        site,
        sockets,
        pool,
        streaming,
        memory,
        dial_timeout: site_settings.dial_timeout,
        admin: document.admin,
        fleet,
        names,
        unknown_effects: site_settings.unknown_effects,
        ignored,
        document: raw,
    })
}

/// Returns the memory of the machine, up to [`MAX_MEMORY_BYTES`].
fn usable_memory(limits: &Limits) -> usize {
    limits.memory_mb.get().saturating_mul(BYTES_PER_MEBIBYTE).min(MAX_MEMORY_BYTES)
}

fn read_streaming(
    section: Option<StreamingSection>,
    memory: usize,
) -> Result<Option<StreamSettings>, ConfigError> {
    section.map(|section| StreamSettings::from_section(&section, memory)).transpose()
}

/// Parses the configured seed, or chooses one at random if there is none.
fn read_seed(configured: Option<String>, problems: &mut Problems) -> u64 {
    let Some(configured) = configured else { return fastrand::u64(..) };
    u64::from_str_radix(&configured, 16).unwrap_or_else(|_| {
        problems.add("seed", format!("expected 16 hex digits, found '{configured}'"));
        0
    })
}

fn read_site(settings: &Value, origin: Origin, problems: &mut Problems) -> Option<SiteSettings> {
    if settings.is_object() {
        return SiteSettings::read(settings, origin, problems);
    }
    // A list in place of the section has already been reported.
    if !problems.has_problem_at("settings") {
        let found = if settings.is_null() { "nothing".to_string() } else { settings.to_string() };
        problems.add("settings", format!("expected an object, found {found}"));
    }
    None
}

/// Returns a required address and reports it if it is missing. An unreadable address has already been reported.
fn required(problems: &mut Problems, key: &str, address: Option<SocketAddr>) -> SocketAddr {
    if address.is_none() && !problems.has_problem_at(key) {
        problems.add(key, "expected an address and a port, found nothing");
    }
    address.unwrap_or(MISSING_ADDRESS)
}

/// Records an unreadable value: as a problem of an operator's file, as an ignored value of the platform's file.
fn report_by_origin(
    problem: Option<String>,
    origin: Origin,
    problems: &mut Problems,
    ignored: &mut IgnoredKeys,
) {
    match origin {
        Origin::Operator => problems.extend(problem),
        Origin::Platform => ignored.unreadable.extend(problem),
    }
}

/// Reads the saved endpoint list of the file, with a problem if it can't be read completely. Without one, or if it can't
/// be read, the list is empty.
fn read_known(known: Option<Value>, names: &Names) -> (EndpointList, Option<String>) {
    let Some(known) = known else { return (EndpointList::default(), None) };
    let known = names.to_protocol(known);
    match EndpointList::read(&known) {
        Err(error) => {
            let problem = format!("known: {error}, found {}", problems::excerpt(&known));
            (EndpointList::default(), Some(problem))
        }
        Ok(list) => {
            let count = list.unreadable;
            let problem = format!("known.members: expected backends, found {count} that can't be read");
            (list, (count > 0).then_some(problem))
        }
    }
}
