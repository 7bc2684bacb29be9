//! The structure of the configuration file: its keys, their types and their defaults. The reference in
//! docs/configuration.md and the JSON schema are generated from it, doc comments included.

use schemars::JsonSchema;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The longest duration that a key in milliseconds accepts: one hour.
pub const MAX_DURATION_MS: u64 = 3_600_000;

/// An integer from 1 to `MAX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct BoundedInt<const MAX: u64>(u64);

/// A duration in milliseconds, up to [`MAX_DURATION_MS`].
pub type Millis = BoundedInt<MAX_DURATION_MS>;
/// A count from 1 to 1,000,000.
pub type Count = BoundedInt<1_000_000>;

impl<const MAX: u64> BoundedInt<MAX> {
    /// Returns the number.
    pub fn get(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
    /// Returns the duration, for a number that counts milliseconds.
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl<const MAX: u64> BoundedInt<MAX> {
    /// Reads a number. Returns `None` if the value is not an integer or is out of range.
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
    /// The gateway's name. The environment variable NODE_NAME overrides it.
    pub name: Option<String>,
    /// The address and port to listen on for clients. NODE_LISTEN overrides it; one of the two is required.
    pub listen: Option<SocketAddr>,
    /// The address and port of discovery. NODE_DISCOVERY overrides it at startup, but not at a reload; one of the two
    /// is required.
    pub discovery: Option<SocketAddr>,
    /// The seed of all random numbers, 16 hex digits. By default a new one is chosen at each start.
    pub seed: Option<String>,
    /// The resources of the machine.
    pub limits: Limits,
    /// The address and port of the shared counter. Required if settings.specifics.counter is true.
    pub counter: Option<SocketAddr>,
    /// The endpoint list as last known, in discovery's format. It is used until discovery has answered.
    #[schemars(with = "Value")]
    pub known: Value,
    /// The deployment's names for headers, paths, fields and states, in the platform's format. The file named by
    /// LANESPAN_NAMES overrides it. If absent, the names of the protocol apply.
    #[schemars(with = "Value")]
    pub names: Value,
    /// The limits on connections to backends.
    pub pool: PoolSection,
    /// Streaming of long responses and uploads. If absent, bodies are buffered completely, up to 64 KiB.
    pub streaming: Option<StreamingSection>,
    /// The admin interface with metrics, health checks and state. If absent, it is disabled.
    pub admin: Option<AdminSection>,
    /// Membership of a fleet of gateways. If absent, this gateway communicates with no other gateway.
    pub fleet: Option<FleetSection>,
    /// The site: classes, quota plans, zones and limits, under the names that the simulator uses.
    pub settings: Value,
}

/// The keys whose values are sections.
pub const SECTIONS: [&str; 8] =
    ["limits", "known", "names", "pool", "streaming", "admin", "fleet", "settings"];

/// The resources of the machine.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// CPU cores. Accepted but not used, because the gateway runs on one thread.
    pub cores: Option<f64>,
    /// Memory, in MiB.
    pub memory_mb: Count,
    /// The limit on open file descriptors.
    pub sockets: Count,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { cores: None, memory_mb: BoundedInt(192), sockets: BoundedInt(1024) }
    }
}

/// The limits on connections to backends. The default of an absent key is derived from the keys that are set.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PoolSection {
    /// Maximum connections to all backends together, including those in use and those being opened. Default: a quarter
    /// of limits.sockets.
    pub links: Option<Count>,
    /// Minimum of the adaptive limit on connections to one backend. Default: 2.
    pub backend_least: Option<Count>,
    /// Maximum of that adaptive limit, and its initial value. Default: 1200 / gateways, at least 4 and at most half of
    /// links.
    pub backend_most: Option<Count>,
    /// Number of backends to which idle connections are kept. Default: 64, or links if that is lower.
    pub idle_backends: Option<Count>,
    /// An idle connection is closed after a random time from this one on. Default: half of settings.bounds.conn_idle.
    pub idle_least_ms: Option<Millis>,
    /// An idle connection is closed after this time at the latest. Default: three quarters of
    /// settings.bounds.conn_idle.
    pub idle_most_ms: Option<Millis>,
    /// Maximum requests that wait for a connection, over all backends. Default: links.
    pub waiting: Option<Count>,
    /// Maximum requests that wait for a connection to one backend. Default: four times backend_most, or
    /// waiting if that is lower.
    pub backend_waiting: Option<Count>,
    /// How long a request waits for a connection. Default: settings.bounds.dial_timeout.
    pub wait_ms: Option<Millis>,
    /// Backoff after the first failed dial, before jitter. Default: 100.
    pub backoff_least_ms: Option<Millis>,
    /// Maximum up to which the backoff doubles. Default: 1000.
    pub backoff_most_ms: Option<Millis>,
    /// Whether connections are opened before requests need them. Default: false.
    pub warm_up: Option<bool>,
    /// Connections opened in advance per second. Default: 2.
    pub warm_per_s: Option<Count>,
    /// Connections opened in advance at once. Default: 2.
    pub warm_burst: Option<Count>,
}

/// Streaming of long responses and uploads, which are forwarded as they arrive.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StreamingSection {
    /// KiB of a response that are buffered before its first byte is sent to the client, and KiB of an upload that are
    /// kept for a retry.
    pub hold_kb: BoundedInt<16_384>,
    /// How long a new stream waits for memory, in milliseconds.
    pub wait_ms: Millis,
    /// Minimum transfer rate of the side that is being waited for, in KiB per second, measured over each window.
    pub least_kb_per_s: BoundedInt<16_384>,
    /// Length of that window, in milliseconds.
    pub window_ms: Millis,
    /// Maximum duration of a transfer, in seconds.
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

/// The admin interface. Its address must be reachable by operators only.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AdminSection {
    /// The address and port to listen on for operators.
    pub listen: SocketAddr,
    /// Maximum concurrent connections; further ones are closed.
    pub connections: BoundedInt<64>,
    /// How long a connection may take, including the time in which the client reads the response, in milliseconds.
    pub timeout_ms: Millis,
}

impl Default for AdminSection {
    fn default() -> AdminSection {
        let listen = SocketAddr::from(([127, 0, 0, 1], 9901));
        AdminSection { listen, connections: BoundedInt(8), timeout_ms: BoundedInt(2_000) }
    }
}

/// Membership of a fleet of gateways, which exchange datagrams over UDP (docs/fleet.md).
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSection {
    /// The address and port on which this gateway receives datagrams of the others.
    pub listen: SocketAddr,
    /// The address that this gateway advertises to the others. Default: the address in listen.
    pub advertise: Option<SocketAddr>,
    /// The name of the fleet. Datagrams of other fleets are dropped.
    pub cluster: String,
    /// The addresses of the gateways that are contacted at startup.
    pub join: Vec<SocketAddr>,
    /// Maps an address that another gateway advertises to the address by which it is reached from here.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// The probe period, in milliseconds: each gateway probes one other per period.
    pub probe_ms: Millis,
    /// How long gateways that left or failed are remembered, in seconds.
    pub forget_s: BoundedInt<604_800>,
    /// Maximum number of gateways that are tracked, including those that are gone.
    pub most: BoundedInt<10_000>,
    /// How long a gateway must be gone before the shares of the others grow, in milliseconds.
    pub hold_ms: Millis,
    /// Offset added to the system clock, in milliseconds; for tests of clock skew.
    pub clock_ahead_ms: i64,
    /// The fleet plan, which all gateways act on. If absent, there is none.
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

/// The fleet plan, agreed on by a few voters and followed by all gateways (docs/plan.md).
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PlanSection {
    /// The address and port on which this gateway serves the plan to other gateways.
    pub listen: SocketAddr,
    /// The address that this gateway advertises to the others for the plan. Default: the address in listen.
    pub advertise: Option<SocketAddr>,
    /// The initial voters by name, each with zone and address: 1, 3 or 5, the same at all gateways.
    pub voters: BTreeMap<String, VoterSection>,
    /// The directory in which a voter stores its log; required at voters. A gateway without one follows the plan and
    /// does not vote.
    pub directory: Option<PathBuf>,
    /// Maps an address that another gateway advertises for the plan to the address by which it is reached from here.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// The length of a tick of the voters, in milliseconds. An election timeout is 10 to 20 ticks.
    pub tick_ms: Millis,
    /// How long the lease of a duty lasts without a renewal, in milliseconds; at least 20 ticks.
    pub lease_ms: Millis,
    /// How long the last known plan is trusted in full without a heartbeat of the leader, in seconds.
    pub trust_s: BoundedInt<604_800>,
    /// How long that trust then takes to decline to nothing, in seconds.
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

/// An initial voter of the fleet plan.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VoterSection {
    /// The zone of the voter.
    pub zone: String,
    /// The address at which other gateways reach its plan.
    pub address: SocketAddr,
}

/// Returns the JSON schema of the configuration file.
pub fn schema() -> Value {
    schemars::schema_for!(Document).to_value()
}

/// Returns the reference of all keys as Markdown tables, without the keys of `settings` and `known`.
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
        let description = section["description"].as_str().unwrap_or_default();
        text.push_str(&format!("\n## `{key}`\n\n{description}\n\n{}", table(section, key)));
    }
    text
}

fn table(section: &Value, key: &str) -> String {
    let mut text = "| key | type | default | description |\n| --- | --- | --- | --- |\n".to_string();
    for (name, property) in section["properties"].as_object().into_iter().flatten() {
        let integer_range = |schema: &Value| {
            Some(format!("integer, {} to {}", schema["minimum"], schema["maximum"].as_u64()?))
        };
        let json_type = |schema: &Value| match &schema["type"] {
            Value::String(name) => name.clone(),
            Value::Array(names) => names.first().and_then(Value::as_str).unwrap_or_default().to_string(),
            _ => "object".to_string(),
        };
        let value_type = integer_range(property).unwrap_or_else(|| match json_type(property).as_str() {
            "string" => "string".to_string(),
            "boolean" => "boolean".to_string(),
            "number" => "number".to_string(),
            "integer" => "integer".to_string(),
            "array" => "list".to_string(),
            _ => "section".to_string(),
        });
        let default = match &property["default"] {
            Value::Null | Value::Object(_) => "-".to_string(),
            default => default.to_string(),
        };
        let description = property["description"].as_str().unwrap_or_default().replace('\n', " ");
        let dot = if key.is_empty() { "" } else { "." };
        text.push_str(&format!("| `{key}{dot}{name}` | {value_type} | {default} | {description} |\n"));
    }
    text
}
