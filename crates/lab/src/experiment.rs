//! Experiment files: a fleet, its load, a timeline of faults, and the checks that must hold.

use crate::links::Fault;
use crate::load::Load;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The most gateways of an experiment.
const MAX_GATEWAYS: usize = 60;
/// The most backends of an experiment.
const MAX_BACKENDS: usize = 200;
/// The longest load, in seconds.
const MAX_SECONDS: f64 = 3_600.0;
/// The highest rate of a load.
const MAX_REQUESTS_PER_SECOND: f64 = 5_000.0;

/// Why a text is not an experiment.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// It is not TOML, or has an unknown key or a value of another type.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// A value is not allowed.
    #[error("{key}: {expected}")]
    Invalid {
        /// The key.
        key: &'static str,
        /// What was expected.
        expected: &'static str,
    },
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it shows.
    pub shows: String,
    /// From which load, service times and chances are drawn.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long requests come, in seconds.
    pub seconds: f64,
    /// The zones of each region.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The gateways.
    pub gateways: Gateways,
    /// The backends.
    #[serde(default)]
    pub backends: Backends,
    /// The load.
    #[serde(default)]
    pub load: Load,
    /// The actions, in the order of their times.
    #[serde(default)]
    pub timeline: Vec<Step>,
    /// The bounds of the checks.
    #[serde(default)]
    pub checks: Checks,
}

fn default_seed() -> u64 {
    1
}

/// The gateways: `g0`, `g1`, over the zones in turn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// How many.
    pub count: usize,
    /// The period of their membership probes.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: u64,
    /// How long one must be gone before the quota shares of the others grow.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// Without it they have no `fleet` section.
    #[serde(default = "default_fleet")]
    pub fleet: bool,
    /// How far each one's clock is ahead of the machine's, in milliseconds, by name.
    #[serde(default)]
    pub clock_ahead_ms: BTreeMap<String, i64>,
    /// The fleet document; without it they have no `fleet.plan` section.
    pub plan: Option<ReplicationSettings>,
}

/// The fleet document: `g0`, `g1` and on vote.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReplicationSettings {
    /// How many vote: 1, 3 or 5.
    pub voters: usize,
    /// A tick of the voters.
    pub tick_ms: u64,
    /// How long a lease lasts without a renewal.
    pub lease_ms: u64,
    /// How long the last document is trusted without a heartbeat of a leader, in seconds.
    pub trust_s: u64,
    /// How long its trust then takes to decline to zero, in seconds.
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

/// The backends: `b0`, `b1`, over the zones in turn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backends {
    /// How many.
    pub count: usize,
    /// Requests that each works on at once.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// The mean time of service.
    pub mean_ms: u64,
    /// How long one warms up after a start.
    pub cold_ms: u64,
    /// The share of its speed that it starts with.
    pub cold_from: f64,
}

impl Default for Backends {
    fn default() -> Backends {
        Backends { count: 6, slots: 8, waiting: 16, mean_ms: 20, cold_ms: 3_000, cold_from: 0.3 }
    }
}

/// An action and its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When, in seconds since the load began.
    pub at: f64,
    /// The action.
    pub act: Action,
}

/// Parties: names such as `g0` and `b1`, `counter`, `discovery`, or all of `zone:a`, `region:north`, `gateways`,
/// `backends`.
pub type Parties = Vec<String>;

/// An action on a fleet. Unknown names are an error.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// SIGKILL, or for stand-ins an end without a drain.
    Kill(Parties),
    /// SIGTERM to gateways.
    Terminate(Parties),
    /// Starts what does not run: backends cold, the counter with what it held.
    Start(Parties),
    /// SIGTERM, the end, and a start, one after the other.
    Roll(Parties),
    /// SIGSTOP to gateways.
    Stop(Parties),
    /// SIGCONT to gateways.
    Resume(Parties),
    /// SIGHUP to gateways.
    Reload(Parties),
    /// The endpoint list has these backends as draining.
    Drain(Parties),
    /// The endpoint list has them as ready again.
    Undrain(Parties),
    /// Backends take several times as long.
    Slow {
        /// Which.
        who: Parties,
        /// How many times.
        times: f64,
    },
    /// Backends answer 500 at once.
    Fail(Parties),
    /// Backends do not respond.
    Freeze(Parties),
    /// Backends have no fault any more.
    Cure(Parties),
    /// The counter loses all totals.
    Forget,
    /// The links from these to those have this fault, one way.
    Link {
        /// From which,
        from: Parties,
        /// to which.
        to: Parties,
        /// The fault.
        fault: Fault,
    },
    /// Only parties of one group reach each other; those in none reach all.
    Partition(Vec<Parties>),
    /// No link has a fault any more.
    Heal,
    /// An item of the fleet document is proposed, to one gateway after the other until one decides.
    Propose {
        /// The section.
        section: String,
        /// The item.
        key: String,
        /// What it is to hold.
        value: String,
    },
}

impl Action {
    /// The parties that it names.
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

/// The bounds of the checks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Checks {
    /// The largest share of units forwarded beyond the customers' quotas, of those within.
    pub beyond_quota: f64,
    /// Memory of a gateway in MiB.
    pub memory_mb: u64,
    /// Descriptors of a gateway.
    pub descriptors: usize,
    /// How long after the end all views must agree, in seconds.
    pub agree_within: f64,
    /// The share of requests inside their quotas that must be served.
    pub served: f64,
    /// How many proposals to the plan must have been agreed on.
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
    /// Reads a file's text, and validates it.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text)?;
        experiment.validate()?;
        Ok(experiment)
    }

    fn validate(&self) -> Result<(), ExperimentError> {
        let plan = self.gateways.plan.as_ref();
        let require = |valid: bool, key: &'static str, expected: &'static str| match valid {
            true => Ok(()),
            false => Err(ExperimentError::Invalid { key, expected }),
        };
        require(!self.zones().is_empty(), "regions", "expected a zone at least")?;
        require((1..=MAX_GATEWAYS).contains(&self.gateways.count), "gateways.count", "expected 1 to 60")?;
        require(
            plan.is_none_or(|plan| plan.voters <= self.gateways.count),
            "gateways.plan.voters",
            "expected no more than gateways.count",
        )?;
        require((1..=MAX_BACKENDS).contains(&self.backends.count), "backends.count", "expected 1 to 200")?;
        require(self.seconds > 0.0 && self.seconds <= MAX_SECONDS, "seconds", "expected up to 3600")?;
        require(
            (0.0..=MAX_REQUESTS_PER_SECOND).contains(&self.load.rate),
            "load.rate",
            "expected 0 to 5000",
        )?;
        let in_order = !self.timeline.windows(2).any(|pair| pair[0].at > pair[1].at);
        require(in_order, "timeline", "out of order")?;
        let within = self.timeline.iter().all(|step| step.at >= 0.0 && step.at <= self.seconds);
        require(within, "timeline", "expected times from 0 to seconds")
    }

    /// All zones, in the order of their regions.
    pub fn zones(&self) -> Vec<String> {
        self.regions.values().flatten().cloned().collect()
    }

    /// How long requests come.
    pub fn span(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}
