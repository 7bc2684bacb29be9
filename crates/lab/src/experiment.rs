//! Parses and validates experiment files: a fleet, its load, a timeline of actions, and the bounds of the checks.

use crate::links::Fault;
use crate::load::Load;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of gateways in an experiment.
const MAX_GATEWAYS: usize = 60;
/// The maximum number of backends in an experiment.
const MAX_BACKENDS: usize = 200;
/// The maximum duration of the load, in seconds.
const MAX_SECONDS: f64 = 3_600.0;
/// The maximum request rate that an experiment file may set.
const MAX_REQUESTS_PER_SECOND: f64 = 5_000.0;

/// An error in an experiment file.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The text is not valid TOML, has an unknown key, or has a value of the wrong type.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// A value is out of range or inconsistent with another one.
    #[error("invalid `{key}`: {expected}")]
    Invalid {
        /// The key, as a dotted path.
        key: &'static str,
        /// The values that are allowed.
        expected: &'static str,
    },
}

/// A parsed and validated experiment file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// A description of what the experiment demonstrates.
    pub shows: String,
    /// The seed of the load, the service times, the link faults and the gateways' random choices.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The duration of the load, in seconds.
    pub seconds: f64,
    /// The zones of each region.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The fleet of gateways.
    pub gateways: Gateways,
    /// The simulated backends.
    #[serde(default)]
    pub backends: Backends,
    /// The load that clients generate.
    #[serde(default)]
    pub load: Load,
    /// The actions to apply, ordered by time.
    #[serde(default)]
    pub timeline: Vec<Step>,
    /// The bounds that the checks apply.
    #[serde(default)]
    pub checks: Checks,
}

fn default_seed() -> u64 {
    1
}

/// The gateways, named `g0`, `g1` and so on, and assigned to the zones round-robin.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// The number of gateways.
    pub count: usize,
    /// The interval between membership probes, in milliseconds.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: u64,
    /// How long a gateway must be absent before the quota shares of the others grow, in milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// Whether the gateways' configuration has a `fleet` section.
    #[serde(default = "default_fleet")]
    pub fleet: bool,
    /// The offset of each gateway's clock from the machine's, in milliseconds, keyed by gateway name.
    #[serde(default)]
    pub clock_ahead_ms: BTreeMap<String, i64>,
    /// The settings of the fleet document. Without them the configuration has no `fleet.plan` section.
    pub plan: Option<ReplicationSettings>,
}

/// The settings of the replicated fleet document. The voters are the first gateways: `g0`, `g1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReplicationSettings {
    /// The number of voters: 1, 3 or 5.
    pub voters: usize,
    /// The interval between the voters' ticks, in milliseconds.
    pub tick_ms: u64,
    /// How long a lease is valid without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// How long the last document is trusted without a heartbeat from a leader, in seconds.
    pub trust_s: u64,
    /// How long the trust then takes to decline to zero, in seconds.
    pub ramp_s: u64,
}

impl Default for ReplicationSettings {
    fn default() -> ReplicationSettings {
        ReplicationSettings { voters: 3, tick_ms: 40, lease_ms: 2_000, trust_s: 5, ramp_s: 5 }
    }
}

fn default_probe_ms() -> u64 {
    200
}
fn default_hold_ms() -> u64 {
    2_000
}
fn default_fleet() -> bool {
    true
}

/// The backends, named `b0`, `b1` and so on, and assigned to the zones round-robin.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backends {
    /// The number of backends.
    pub count: usize,
    /// The number of requests that a backend serves concurrently.
    pub slots: usize,
    /// The number of requests that may wait for a slot.
    pub waiting: usize,
    /// The mean service time, in milliseconds.
    pub mean_ms: u64,
    /// How long a backend warms up after a restart, in milliseconds.
    pub cold_ms: u64,
    /// The share of its full speed at which a restarted backend begins.
    pub cold_from: f64,
}

impl Default for Backends {
    fn default() -> Backends {
        Backends { count: 6, slots: 8, waiting: 16, mean_ms: 20, cold_ms: 3_000, cold_from: 0.3 }
    }
}

/// An action of the timeline and its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When the action is applied, in seconds since the load started.
    pub at: f64,
    /// The action to apply.
    pub act: Action,
}

/// Selects parties: single ones such as `g0`, `b1`, `counter` and `discovery`, or groups: `zone:a`, `region:north`,
/// `gateways` and `backends`. The names `leader`, `zone:leader` and `rest` are resolved when an action is applied.
pub type Parties = Vec<String>;

/// An action on a running fleet. Unknown keys and party names are errors.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Kills gateways by SIGKILL, and backends and the counter by closing their listener and connections without a drain.
    Kill(Parties),
    /// Sends SIGTERM to gateways.
    Terminate(Parties),
    /// Starts gateways as soon as their previous process has exited, and backends and the counter if they are closed:
    /// backends cold, the counter with its previous totals.
    Start(Parties),
    /// Restarts gateways one after the other: SIGTERM, wait for the exit, start.
    Roll(Parties),
    /// Sends SIGSTOP to gateways.
    Stop(Parties),
    /// Sends SIGCONT to gateways.
    Resume(Parties),
    /// Writes the configuration of gateways and sends SIGHUP to them.
    Reload(Parties),
    /// Marks backends as draining in the endpoint list.
    Drain(Parties),
    /// Marks backends as ready again in the endpoint list.
    Undrain(Parties),
    /// Multiplies the service time of backends.
    Slow {
        /// The backends.
        who: Parties,
        /// The factor.
        times: f64,
    },
    /// Makes backends respond with status 500 at once.
    Fail(Parties),
    /// Makes backends accept requests and never respond.
    Freeze(Parties),
    /// Removes the faults of backends.
    Cure(Parties),
    /// Clears all totals of the counter.
    Forget,
    /// Sets the fault of the links from some parties to others, in that direction only.
    Link {
        /// The senders.
        from: Parties,
        /// The receivers.
        to: Parties,
        /// The fault to set.
        fault: Fault,
    },
    /// Cuts the links between groups. Parties in no group stay connected to all others.
    Partition(Vec<Parties>),
    /// Removes the faults of all links.
    Heal,
    /// Proposes an item of the fleet document, to one gateway after the other until one returns a decision.
    Propose {
        /// The section of the document.
        section: String,
        /// The key of the item.
        key: String,
        /// The new value of the item.
        value: String,
    },
}

impl Action {
    /// Returns the party lists that the action names.
    pub fn parties(&mut self) -> Vec<&mut Parties> {
        match self {
            Action::Kill(parties)
            | Action::Terminate(parties)
            | Action::Start(parties)
            | Action::Roll(parties)
            | Action::Stop(parties)
            | Action::Resume(parties)
            | Action::Reload(parties)
            | Action::Drain(parties)
            | Action::Undrain(parties)
            | Action::Fail(parties)
            | Action::Freeze(parties)
            | Action::Cure(parties)
            | Action::Slow { who: parties, .. } => vec![parties],
            Action::Link { from, to, .. } => vec![from, to],
            Action::Partition(groups) => groups.iter_mut().collect(),
            Action::Forget | Action::Heal | Action::Propose { .. } => Vec::new(),
        }
    }
}

/// The bounds that the checks apply.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Checks {
    /// The largest allowed ratio of units forwarded beyond the customers' quotas to units within them.
    pub beyond_quota: f64,
    /// The largest allowed resident memory of a gateway, in MiB.
    pub memory_mb: u64,
    /// The largest allowed number of open file descriptors of a gateway.
    pub descriptors: usize,
    /// How long after the end of the load all views must agree, in seconds.
    pub agree_within: f64,
    /// The share of requests that must be served.
    pub served: f64,
    /// The number of proposals to the fleet document that must have been accepted.
    pub proposals: usize,
}

impl Default for Checks {
    fn default() -> Checks {
        Checks {
            beyond_quota: 0.25,
            memory_mb: 192,
            descriptors: 1_024,
            agree_within: 60.0,
            served: 0.0,
            proposals: 0,
        }
    }
}

impl Experiment {
    /// Parses and validates the text of an experiment file.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text)?;
        experiment.validate()?;
        Ok(experiment)
    }

    fn validate(&self) -> Result<(), ExperimentError> {
        let replication = self.gateways.plan.as_ref();
        let require = |valid: bool, key: &'static str, expected: &'static str| match valid {
            true => Ok(()),
            false => Err(ExperimentError::Invalid { key, expected }),
        };
        require(!self.zones().is_empty(), "regions", "expected at least one zone")?;
        require((1..=MAX_GATEWAYS).contains(&self.gateways.count), "gateways.count", "expected 1 to 60")?;
        require(
            replication.is_none_or(|replication| replication.voters <= self.gateways.count),
            "gateways.plan.voters",
            "expected no more than gateways.count",
        )?;
        require((1..=MAX_BACKENDS).contains(&self.backends.count), "backends.count", "expected 1 to 200")?;
        require(
            self.seconds > 0.0 && self.seconds <= MAX_SECONDS,
            "seconds",
            "expected more than 0 and at most 3600",
        )?;
        require(
            (0.0..=MAX_REQUESTS_PER_SECOND).contains(&self.load.rate),
            "load.rate",
            "expected 0 to 5000",
        )?;
        let in_order = !self.timeline.windows(2).any(|pair| pair[0].at > pair[1].at);
        require(in_order, "timeline", "expected steps in ascending order of `at`")?;
        let in_span = self.timeline.iter().all(|step| step.at >= 0.0 && step.at <= self.seconds);
        require(in_span, "timeline", "expected each `at` between 0 and `seconds`")
    }

    /// Returns all zones, ordered by region name.
    pub fn zones(&self) -> Vec<String> {
        self.regions.values().flatten().cloned().collect()
    }

    /// Returns the duration of the load.
    pub fn span(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}
