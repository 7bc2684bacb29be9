//! What the platform tells a gateway: the environment and the configuration file.

pub mod document;
pub mod plan;
pub(crate) mod problems;
mod site;

use super::config_error::ConfigError;
use super::names::Names;
use super::pool::{Around, PoolSettings};
use super::relay::StreamSettings;
use document::{AdminSection, Document, FleetSection};
use lanespan_settings::{flatten, Fields, Site};
use plan::PlanSettings;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Discovery's form of the list of backends, whole or as changes.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct MemberList {
    /// The list's version.
    pub revision: u64,
    /// It holds every member, not just those that changed.
    #[serde(default)]
    pub complete: bool,
    /// The entries.
    pub members: Vec<Member>,
}

/// One backend, as discovery tells of it.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Its name, the same at every gateway.
    pub id: String,
    /// Where it listens, as seen from this gateway.
    pub host_port: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Whether it takes work.
    pub phase: Phase,
    /// Its size against the others.
    #[serde(default = "one")]
    pub size: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Whether a backend takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It was taken away.
    Gone,
}

/// What a new configuration may change: the services that a gateway calls, and the bounds on its connections to
/// backends and on streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Upstreams {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The shared counter.
    pub counter: Option<SocketAddr>,
    /// The bounds on connections to backends.
    pub pool: PoolSettings,
    /// The bounds on streams; without them nothing is streamed.
    pub streaming: Option<StreamSettings>,
    /// A digest of the whole configuration as it was understood.
    pub file: u64,
}

impl fmt::Display for Upstreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "discovery {}", self.discovery)?;
        self.counter.map_or(Ok(()), |counter| write!(f, ", counter {counter}"))
    }
}

/// A file is read up to this length. Guards memory against one that is no configuration.
const LONGEST: u64 = 32 << 20;
/// What SIGHUP can't change; named in the log where a new file asks for it.
const FIXED: [&str; 7] = ["name", "listen", "limits", "names", "admin", "fleet", "settings"];

/// Where a configuration is read, and what the environment says of it, which goes before the file.
#[derive(Debug, Clone, Default)]
pub struct Source {
    /// The file: TOML where its name ends so, else JSON.
    pub path: PathBuf,
    /// NODE_NAME.
    pub name: Option<String>,
    /// NODE_LISTEN.
    pub listen: Option<SocketAddr>,
    /// NODE_DISCOVERY.
    pub discovery: Option<SocketAddr>,
    /// LANESPAN_NAMES.
    pub names: Option<PathBuf>,
}

impl Source {
    /// Reads the file and all that it says.
    pub fn read(&self) -> Result<Config, ConfigError> {
        let read = text(&self.path).and_then(|text| {
            let value = match self.path.extension().is_some_and(|suffix| suffix == "toml") {
                true => toml::from_str::<Value>(&text).map_err(|e| one_line(&e.to_string())),
                false => serde_json::from_str::<Value>(&text).map_err(|e| e.to_string()),
            };
            Config::of(value.map_err(ConfigError::new)?, self)
        });
        read.map_err(|error| error.at(&self.path.display().to_string()))
    }

    /// Reads the file again. It goes before the environment, which is as it was at the start.
    pub fn read_again(&self) -> Result<Config, ConfigError> {
        Source { discovery: None, ..self.clone() }.read()
    }

    /// The names that the deployment gives to what goes over its sockets.
    fn names(&self, told: &Value) -> Result<Names, ConfigError> {
        let Some(path) = &self.names else {
            // One that is no section is told with the others.
            let section = told.get("names").filter(|names| !names.is_null() && !names.is_array());
            return section.map_or_else(|| Ok(Names::default()), Names::of);
        };
        let read = text(path).and_then(|text| {
            let value = serde_json::from_str(&text).map_err(|e| ConfigError::new(e.to_string()))?;
            Names::of(&value)
        });
        read.map_err(|error| error.at(&path.display().to_string()))
    }
}

/// A file's text.
fn text(path: &Path) -> Result<String, ConfigError> {
    let told = |error: std::io::Error| ConfigError::new(error.to_string());
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).map_err(told)?;
    file.take(LONGEST + 1).read_to_end(&mut bytes).map_err(told)?;
    if bytes.len() as u64 > LONGEST {
        return Err(ConfigError::new(format!("longer than {} MiB", LONGEST >> 20)));
    }
    let text = String::from_utf8(bytes).map_err(|_| ConfigError::new("not UTF-8".into()))?;
    match text.trim().is_empty() {
        true => Err(ConfigError::new("empty".into())),
        false => Ok(text),
    }
}

/// What a parser says over several lines.
fn one_line(text: &str) -> String {
    text.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" ")
}

/// All that a gateway is told at its start.
pub struct Config {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) counter: Option<SocketAddr>,
    pub(crate) seed: u64,
    pub(crate) known: MemberList,
    pub(crate) site: Site,
    pub(crate) sockets: SocketLimits,
    pub(crate) pool: PoolSettings,
    pub(crate) streaming: Option<StreamSettings>,
    /// In bytes.
    pub(crate) memory: usize,
    /// An attempt's connection must be made within this.
    pub(crate) dial_timeout: Duration,
    pub(crate) admin: Option<AdminSection>,
    pub(crate) fleet: Option<FleetSettings>,
    /// What the deployment calls things on its sockets.
    pub(crate) names: Names,
    /// As it stood in the file.
    told: Value,
}

/// A gateway's place in its fleet, as its configuration tells it.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// This gateway's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its number among all gateways, from 0.
    pub number: u32,
    /// How many gateways there are.
    pub gateways: u32,
    /// Where it hears the others.
    pub listen: SocketAddr,
    /// Where they reach it, if not there.
    pub advertise: Option<SocketAddr>,
    /// The fleet's name.
    pub cluster: String,
    /// Who is asked at the start.
    pub join: Vec<SocketAddr>,
    /// What others tell of themselves, and where they are reached from here.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// The period of probes.
    pub probe: Duration,
    /// How long gone gateways are remembered.
    pub forget: Duration,
    /// The most that are kept in mind.
    pub most: usize,
    /// How long one must be gone before shares grow.
    pub hold: Duration,
    /// What is added to the system's clock, in milliseconds.
    pub clock_ahead_ms: i64,
    /// How it takes part in the fleet plan.
    pub plan: Option<PlanSettings>,
}

/// The shortest period of probes. Guards against a fleet that does nothing else.
const PROBE_LEAST: Duration = Duration::from_millis(50);

impl FleetSettings {
    fn of(
        section: FleetSection,
        name: &str,
        told: &Value,
        site: &Site,
        problems: &mut Vec<String>,
    ) -> FleetSettings {
        let zones = told["settings"]["zones"].as_array().into_iter().flatten();
        let zones = zones.filter_map(|zone| zone.as_str().map(str::to_string)).collect();
        let plan = section.plan.map(|plan| PlanSettings::of(plan, name, zones, problems));
        let set = FleetSettings {
            plan,
            name: name.to_string(),
            zone: told["settings"]["zone"].as_str().unwrap_or_default().to_string(),
            number: site.settings.me,
            gateways: site.settings.gateways,
            listen: section.listen,
            advertise: section.advertise,
            cluster: section.cluster,
            join: section.join,
            via: section.via,
            probe: section.probe_ms.ms(),
            forget: Duration::from_secs(section.forget_s.get() as u64),
            most: section.most.get(),
            hold: section.hold_ms.ms(),
            clock_ahead_ms: section.clock_ahead_ms,
        };
        let me = lanespan_fleet::node::Node {
            name: set.name.clone(),
            address: set.listen,
            incarnation: 0,
            zone: set.zone.clone(),
            build: String::new(),
        };
        if !me.is_sound() {
            let most = lanespan_fleet::node::LONGEST_WORD;
            problems
                .push(format!("fleet: expected a name, and name and settings.zone of {most} bytes at most"));
        }
        if set.probe < PROBE_LEAST {
            let (least, found) = (PROBE_LEAST.as_millis(), set.probe.as_millis());
            problems.push(format!("fleet.probe_ms: expected {least} or more, found {found}"));
        }
        if set.most < set.gateways as usize {
            let found = set.most;
            problems.push(format!(
                "fleet.most: expected settings.balancers, {}, or more, found {found}",
                set.gateways
            ));
        }
        // Whoever reaches none of its own addresses is told of by an address of any kind.
        if set.advertise.unwrap_or(set.listen).ip().is_unspecified() {
            problems.push("fleet.advertise: must be there where fleet.listen names no address".to_string());
        }
        set
    }
}

/// How the descriptors are shared out, so that no kind of connection can starve another.
#[derive(Debug, Clone, Copy)]
pub struct SocketLimits {
    /// From clients.
    pub clients: usize,
    /// To backends, where the `pool` section names no number,
    pub backends: usize,
    /// and the most that it may name.
    pub backends_most: usize,
    /// To the counter, which resets more than 32.
    pub counter: usize,
}

impl SocketLimits {
    fn of(sockets: usize) -> SocketLimits {
        // The rest, at least a sixteenth, is for standard streams, the listener, epoll and discovery.
        let (clients, counter) = ((sockets / 2).max(1), (sockets / 16).clamp(1, 32));
        let backends = (sockets / 4).max(1);
        let backends_most = sockets.saturating_sub(clients + counter + sockets / 16).max(backends);
        SocketLimits { clients, backends, backends_most, counter }
    }
}

impl Config {
    /// The services that it names.
    pub fn upstreams(&self) -> Upstreams {
        let Config { discovery, counter, pool, streaming, .. } = *self;
        let file = xxh3_64(self.shown().to_string().as_bytes());
        Upstreams { discovery, counter, pool, streaming, file }
    }

    /// Where operators reach it.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(|admin| admin.listen)
    }

    /// What takes effect with the next start only, as it stood in the file.
    pub fn fixed(&self) -> Vec<(&'static str, Value)> {
        FIXED.into_iter().map(|key| (key, self.told.get(key).cloned().unwrap_or_default())).collect()
    }

    /// Which of that is told otherwise here.
    pub fn differs_from(&self, fixed: &[(&'static str, Value)]) -> Vec<&'static str> {
        let held = |key: &str| self.told.get(key).cloned().unwrap_or_default();
        fixed.iter().filter(|(key, told)| held(key) != *told).map(|(key, _)| *key).collect()
    }

    /// The configuration as it was understood, with the bounds that follow from it.
    pub fn shown(&self) -> Value {
        let (pool, ms) = (&self.pool, |span: Duration| span.as_millis() as u64);
        let streaming = self.streaming.map(|set| {
            serde_json::json!({
                "hold_bytes": set.hold, "wait_ms": ms(set.wait), "least_bytes_a_window": set.least,
                "window_ms": ms(set.window), "longest_s": set.longest.as_secs(),
            })
        });
        serde_json::json!({
            "name": self.name, "listen": self.listen, "discovery": self.discovery, "counter": self.counter,
            "memory_bytes": self.memory, "known_backends": self.known.members.len(),
            "connections": {
                "clients": self.sockets.clients, "backends": pool.links, "counter": self.sockets.counter,
            },
            "pool": {
                "links": pool.links, "backend_least": pool.backend_least, "backend_most": pool.backend_most,
                "idle_backends": pool.idle_backends, "idle_least_ms": ms(pool.idle_least),
                "idle_most_ms": ms(pool.idle_most), "waiting": pool.waiting,
                "backend_waiting": pool.backend_waiting, "wait_ms": ms(pool.wait),
                "backoff_least_ms": ms(pool.backoff_least), "backoff_most_ms": ms(pool.backoff_most),
                "warm_up": pool.warm_up, "warm_per_s": pool.warm_per_s, "warm_burst": pool.warm_burst,
            },
            "streaming": streaming,
            "admin": self.admin.as_ref().map(|admin| admin.listen),
            "fleet": self.fleet.as_ref().map(|fleet| serde_json::json!({
                "name": fleet.name, "zone": fleet.zone, "number": fleet.number, "listen": fleet.listen,
                "advertise": fleet.advertise.unwrap_or(fleet.listen), "cluster": fleet.cluster, "join": fleet.join,
                "via": fleet.via, "probe_ms": ms(fleet.probe), "forget_s": fleet.forget.as_secs(),
                "most": fleet.most, "hold_ms": ms(fleet.hold), "clock_ahead_ms": fleet.clock_ahead_ms,
                "plan": fleet.plan.as_ref().map(|plan| serde_json::json!({
                    "listen": plan.listen, "advertise": plan.advertise.unwrap_or(plan.listen), "via": plan.via,
                    "voters": plan.voters.iter().map(|(name, voter)| (name.clone(), serde_json::json!({
                        "zone": voter.zone, "address": voter.address,
                    }))).collect::<serde_json::Map<_, _>>(),
                    "directory": plan.directory, "tick_ms": ms(plan.tick), "lease_ms": ms(plan.lease),
                    "trust_s": plan.trust.as_secs(), "ramp_s": plan.ramp.as_secs(),
                })),
            })),
            "settings": self.told.get("settings"),
        })
    }

    /// Reads a configuration in JSON.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let value = serde_json::from_str(text).map_err(|e| ConfigError::new(e.to_string()))?;
        Config::of(value, &Source::default())
    }

    /// Reads a configuration and tells all that is wrong with it.
    pub fn of(told: Value, source: &Source) -> Result<Config, ConfigError> {
        let (names, mut wrong) = match source.names(&told) {
            Ok(names) => (names, Vec::new()),
            Err(error) => (Names::default(), error.lines().to_vec()),
        };
        let mut here = told.clone();
        if let Some(known) = here.get_mut("known") {
            *known = names.list(known.take());
        }
        let (document, mut problems) = problems::read::<Document>(here, &document::SECTIONS);
        problems.append(&mut wrong);
        let Some(document) = document else { return Err(problems.into()) };
        let Document { limits, counter, known, settings, .. } = document;
        let seed = match document.seed.map(|seed| u64::from_str_radix(&seed, 16).map_err(|_| seed)) {
            Some(Ok(seed)) => seed,
            None => fastrand::u64(..),
            Some(Err(seed)) => {
                problems.push(format!("seed: expected 16 hex digits, found '{seed}'"));
                0
            }
        };
        let listen = there(&mut problems, "listen", source.listen.or(document.listen));
        let discovery = there(&mut problems, "discovery", source.discovery.or(document.discovery));
        let place = match settings.is_object() {
            true => Place::read(&settings, &mut problems),
            false => {
                // One that is a list was told before.
                if !problems.iter().any(|told| told.starts_with("settings: ")) {
                    let found = if settings.is_null() { "nothing".to_string() } else { settings.to_string() };
                    problems.push(format!("settings: expected an object, found {found}"));
                }
                None
            }
        };
        let Some(Place { site, dial_timeout, conn_idle }) = place else { return Err(problems.into()) };
        if site.settings.counter {
            there(&mut problems, "counter", counter);
        }
        let sockets = SocketLimits::of(limits.sockets.get());
        let around = Around {
            links: sockets.backends,
            links_most: sockets.backends_most,
            gateways: site.settings.gateways,
            sockets: limits.sockets.get(),
            dial_timeout,
            conn_idle,
        };
        let memory = limits.memory_mb.get().saturating_mul(1 << 20).min(1 << 32);
        let pool = PoolSettings::of(&document.pool, &around);
        let streaming = document.streaming.map(|section| StreamSettings::of(&section, memory)).transpose();
        problems.extend(pool.as_ref().err().into_iter().flat_map(|error| error.lines().to_vec()));
        problems.extend(streaming.as_ref().err().into_iter().flat_map(|error| error.lines().to_vec()));
        let name = source.name.clone().or(document.name).unwrap_or_default();
        let fleet =
            document.fleet.map(|section| FleetSettings::of(section, &name, &told, &site, &mut problems));
        match (pool, streaming) {
            (Ok(pool), Ok(streaming)) if problems.is_empty() => Ok(Config {
                name,
                listen,
                discovery,
                counter,
                seed,
                known,
                site,
                sockets,
                pool,
                streaming,
                memory,
                dial_timeout,
                admin: document.admin,
                fleet,
                names,
                told,
            }),
            _ => Err(problems.into()),
        }
    }
}

/// An address that must be there. One that can't be read was told before.
fn there(problems: &mut Vec<String>, key: &str, address: Option<SocketAddr>) -> SocketAddr {
    let place = format!("{key}: ");
    if address.is_none() && !problems.iter().any(|told| told.starts_with(&place)) {
        problems.push(format!("{place}expected an address and a port, found nothing"));
    }
    address.unwrap_or(NOWHERE)
}

/// Stands for an address that is missing, which is told.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// What the settings say.
struct Place {
    site: Site,
    dial_timeout: Duration,
    conn_idle: Duration,
}

impl Place {
    /// Reads the settings. What can't be read is told and left out, as long as it may be absent.
    fn read(settings: &Value, told: &mut Vec<String>) -> Option<Place> {
        let mut names = BTreeMap::new();
        flatten("", settings, &mut names);
        let mut left_out = site::put_right(&mut names, told);
        while told.len() < problems::MOST {
            let pairs = names.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
            let error = match Place::of(&Fields { place: "settings".into(), message: "settings", pairs }) {
                Ok(place) => return Some(place),
                Err(error) => error,
            };
            let wrong = error.strip_prefix("settings: ").and_then(|rest| rest.split(':').next());
            let wrong = wrong.unwrap_or_default().to_string();
            // One that was left out must be there: it was told, and nothing behind it can be read.
            if left_out.contains(&wrong) {
                return None;
            }
            told.push(error);
            names.remove(&wrong)?;
            left_out.push(wrong);
        }
        None
    }

    fn of(fields: &Fields) -> Result<Place, String> {
        let plain = |e: lanespan_settings::FieldError| e.0;
        let site = Site::read(fields).map_err(plain)?;
        site.settings.check().map_err(|e| format!("settings: {e}"))?;
        let span = |name, default| {
            fields.micros_or(name, default).map(|m| Duration::from_micros(m.0)).map_err(plain)
        };
        let dial_timeout = span("bounds.dial_timeout", 250_000)?;
        Ok(Place { site, dial_timeout, conn_idle: span("bounds.conn_idle", 15_000_000)? })
    }
}
