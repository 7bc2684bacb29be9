//! The configuration file: its keys, what each may hold, and what holds where a key is absent. The reference in
//! docs/configuration.md and the schema are made from these.

use schemars::JsonSchema;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The longest span that a key may name.
pub const MAX_DURATION_MS: u64 = 3_600_000;

/// A whole number from 1 to `MAX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct BoundedInt<const MAX: u64>(u64);

/// A span in milliseconds.
pub type Millis = BoundedInt<MAX_DURATION_MS>;
/// A count.
pub type Count = BoundedInt<1_000_000>;

impl<const MAX: u64> BoundedInt<MAX> {
    /// The number.
    pub fn get(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
    /// As milliseconds.
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl<const MAX: u64> BoundedInt<MAX> {
    /// Reads one; `None` if it is none, or out of its range.
    pub fn read(value: &Value) -> Option<Self> {
        value.as_u64().filter(|number| (1..=MAX).contains(number)).map(BoundedInt)
    }
}

impl<'de, const MAX: u64> Deserialize<'de> for BoundedInt<MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = BoundedInt::read(&Value::deserialize(deserializer)?);
        number.ok_or_else(|| D::Error::custom(format!("expected a whole number from 1 to {MAX}")))
    }
}

impl<const MAX: u64> JsonSchema for BoundedInt<MAX> {
    fn inline_schema() -> bool {
        true
    }
    fn schema_name() -> Cow<'static, str> {
        format!("BoundedInt{MAX}").into()
    }
    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({"type": "integer", "minimum": 1, "maximum": MAX})
    }
}

/// The configuration of a gateway.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The gateway's name. NODE_NAME goes before it.
    pub name: Option<String>,
    /// The address and port for clients. NODE_LISTEN goes before it; one of them must be there.
    pub listen: Option<SocketAddr>,
    /// The address and port of discovery. NODE_DISCOVERY goes before it at the start; one of them must be there.
    pub discovery: Option<SocketAddr>,
    /// 16 hex digits, from which random numbers are drawn; by default drawn anew at each start.
    pub seed: Option<String>,
    /// What the machine bears.
    pub limits: Limits,
    /// The address and port of the counter; must be there where the settings have one.
    pub counter: Option<SocketAddr>,
    /// The list of backends as it was last known, in discovery's form.
    #[schemars(with = "Value")]
    pub known: Value,
    /// What the deployment calls headers, paths, fields and states, in the platform's form. A file that LANESPAN_NAMES
    /// names goes before it; absent: the names of the protocol.
    #[schemars(with = "Value")]
    pub names: Value,
    /// The connections to backends.
    pub pool: PoolSection,
    /// Long answers and uploads. Absent: bodies are collected whole, 64 KiB at most.
    pub streaming: Option<StreamingSection>,
    /// The operators' door: metrics, health and state. Absent: closed.
    pub admin: Option<AdminSection>,
    /// The gateways of the fleet among each other. Absent: this gateway knows of no other.
    pub fleet: Option<FleetSection>,
    /// The site: classes, plans, zones and bounds, with the names that the simulator gives them.
    pub settings: Value,
}

/// The keys of the sections.
pub const SECTIONS: [&str; 8] =
    ["limits", "known", "names", "pool", "streaming", "admin", "fleet", "settings"];

/// What the machine bears.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Cores; told, and not used: the gateway has one thread.
    pub cores: Option<f64>,
    /// Memory in MiB.
    pub memory_mb: Count,
    /// Descriptors.
    pub sockets: Count,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { cores: None, memory_mb: BoundedInt(192), sockets: BoundedInt(1024) }
    }
}

/// The bounds on connections to backends. What is absent fits what is there.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PoolSection {
    /// Connections to all backends, those in use and coming up included; by default a fourth of limits.sockets.
    pub links: Option<Count>,
    /// What the bound at one backend never falls below; by default 2.
    pub backend_least: Option<Count>,
    /// What it never rises above, and where it starts; by default 1200 / gateways, 4 to half of links.
    pub backend_most: Option<Count>,
    /// Backends to which idle connections are kept; by default 64, or links.
    pub idle_backends: Option<Count>,
    /// Idle connections are retired from this age; by default half of settings.bounds.conn_idle.
    pub idle_least_ms: Option<Millis>,
    /// And up to this one; by default three quarters of it.
    pub idle_most_ms: Option<Millis>,
    /// Requests that wait for a connection, all together; by default links.
    pub waiting: Option<Count>,
    /// The same for one backend; by default four times backend_most.
    pub backend_waiting: Option<Count>,
    /// How long one waits; by default settings.bounds.dial_timeout.
    pub wait_ms: Option<Millis>,
    /// The pause after a first failed dial, before jitter; by default 100.
    pub backoff_least_ms: Option<Millis>,
    /// What it doubles up to; by default 1000.
    pub backoff_most_ms: Option<Millis>,
    /// Open connections ahead of need; by default false.
    pub warm_up: Option<bool>,
    /// How many a second; by default 2.
    pub warm_per_s: Option<Count>,
    /// And at once; by default 2.
    pub warm_burst: Option<Count>,
}

/// Long answers and uploads, passed on as they arrive.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StreamingSection {
    /// KiB that are held back of an answer before commitment, and kept of an upload to be sent again.
    pub hold_kb: BoundedInt<16_384>,
    /// How long a new stream waits for memory.
    pub wait_ms: Millis,
    /// The least rate of whichever side is waited for, over each window.
    pub least_kb_per_s: BoundedInt<16_384>,
    /// The window.
    pub window_ms: Millis,
    /// The longest transfer, in seconds.
    pub longest_s: BoundedInt<604_800>,
}

impl Default for StreamingSection {
    fn default() -> StreamingSection {
        StreamingSection {
            hold_kb: BoundedInt(64),
            wait_ms: BoundedInt(500),
            least_kb_per_s: BoundedInt(1),
            window_ms: BoundedInt(5_000),
            longest_s: BoundedInt(3_600),
        }
    }
}

/// The operators' door, on an address that only they reach.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AdminSection {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Connections at once; further ones are closed.
    pub connections: BoundedInt<64>,
    /// How long one may take, its client's reading included.
    pub timeout_ms: Millis,
}

impl Default for AdminSection {
    fn default() -> AdminSection {
        let listen = SocketAddr::from(([127, 0, 0, 1], 9901));
        AdminSection { listen, connections: BoundedInt(8), timeout_ms: BoundedInt(2_000) }
    }
}

/// The gateways of the fleet among each other, over UDP (docs/fleet.md).
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSection {
    /// Where this gateway hears the others.
    pub listen: SocketAddr,
    /// Where they reach it; by default where it listens.
    pub advertise: Option<SocketAddr>,
    /// The fleet's name. What comes from another is dropped.
    pub cluster: String,
    /// The gateways that are asked at the start, by their addresses.
    pub join: Vec<SocketAddr>,
    /// Addresses that others tell of themselves, and by which they are reached from here.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// Each gateway probes one other so often.
    pub probe_ms: Millis,
    /// How long gateways that are gone are remembered, in seconds.
    pub forget_s: BoundedInt<604_800>,
    /// The most gateways that are kept in mind, those that are gone included.
    pub most: BoundedInt<10_000>,
    /// How long one must be gone before the shares of the others grow.
    pub hold_ms: Millis,
    /// What is added to the system's clock, in milliseconds; for tests of clocks that lie apart.
    pub clock_ahead_ms: i64,
    /// The plan that all gateways act on. Absent: there is none.
    pub plan: Option<PlanSection>,
}

impl Default for FleetSection {
    fn default() -> FleetSection {
        FleetSection {
            listen: SocketAddr::from(([127, 0, 0, 1], 7946)),
            advertise: None,
            cluster: "lanespan".to_string(),
            join: Vec::new(),
            via: BTreeMap::new(),
            probe_ms: BoundedInt(1_000),
            forget_s: BoundedInt(3_600),
            most: BoundedInt(1_000),
            hold_ms: BoundedInt(5_000),
            clock_ahead_ms: 0,
            plan: None,
        }
    }
}

/// The fleet plan, agreed on by a few voters and followed by all (docs/plan.md).
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PlanSection {
    /// Where other gateways reach the plan here.
    pub listen: SocketAddr,
    /// Where they are told that it is; by default where it listens.
    pub advertise: Option<SocketAddr>,
    /// The first voters by name, each with zone and address; 1, 3 or 5, the same at all gateways.
    pub voters: BTreeMap<String, VoterSection>,
    /// Where a voter keeps its log; must be there at voters. Without it a gateway only follows.
    pub directory: Option<PathBuf>,
    /// Addresses that others tell as their plan's, and by which they are reached from here.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// A tick of the voters: an election takes 10 to 20 of them.
    pub tick_ms: Millis,
    /// How long a duty is held without a renewal; 20 ticks at least.
    pub lease_ms: Millis,
    /// How long the last plan is acted on without news, in seconds.
    pub trust_s: BoundedInt<604_800>,
    /// How long giving it up takes, in seconds.
    pub ramp_s: BoundedInt<604_800>,
}

impl Default for PlanSection {
    fn default() -> PlanSection {
        PlanSection {
            listen: SocketAddr::from(([127, 0, 0, 1], 7947)),
            advertise: None,
            voters: BTreeMap::new(),
            directory: None,
            via: BTreeMap::new(),
            tick_ms: BoundedInt(100),
            lease_ms: BoundedInt(5_000),
            trust_s: BoundedInt(30),
            ramp_s: BoundedInt(30),
        }
    }
}

/// One of the first voters.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VoterSection {
    /// Its zone.
    pub zone: String,
    /// Where the others reach its plan.
    pub address: SocketAddr,
}

/// The JSON schema of the file.
pub fn schema() -> Value {
    schemars::schema_for!(Document).to_value()
}

/// The reference of all keys but those of `settings` and `known`, as tables.
pub fn reference() -> String {
    let schema = schema();
    let mut text = table(&schema, "");
    for (name, key) in [
        ("Limits", "limits"),
        ("PoolSection", "pool"),
        ("StreamingSection", "streaming"),
        ("AdminSection", "admin"),
        ("FleetSection", "fleet"),
        ("PlanSection", "fleet.plan"),
    ] {
        let section = &schema["$defs"][name];
        let about = section["description"].as_str().unwrap_or_default();
        text.push_str(&format!("\n## `{key}`\n\n{about}\n\n{}", table(section, key)));
    }
    text
}

fn table(section: &Value, key: &str) -> String {
    let mut text = "| key | holds | default | what |\n| --- | --- | --- | --- |\n".to_string();
    for (name, property) in section["properties"].as_object().into_iter().flatten() {
        let whole =
            |p: &Value| Some(format!("a whole number, {} to {}", p["minimum"], p["maximum"].as_u64()?));
        let kind = |p: &Value| match &p["type"] {
            Value::String(kind) => kind.clone(),
            Value::Array(kinds) => kinds.first().and_then(Value::as_str).unwrap_or_default().to_string(),
            _ => "object".to_string(),
        };
        let holds = whole(property).unwrap_or_else(|| match kind(property).as_str() {
            "string" => "text".to_string(),
            "boolean" => "true or false".to_string(),
            "number" => "a number".to_string(),
            "integer" => "a whole number".to_string(),
            "array" => "a list".to_string(),
            _ => "a section".to_string(),
        });
        let default = match &property["default"] {
            Value::Null | Value::Object(_) => "-".to_string(),
            default => default.to_string(),
        };
        let what = property["description"].as_str().unwrap_or_default().replace('\n', " ");
        let dot = if key.is_empty() { "" } else { "." };
        text.push_str(&format!("| `{key}{dot}{name}` | {holds} | {default} | {what} |\n"));
    }
    text
}
