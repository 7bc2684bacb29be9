//! The record of a run that the checks and the report are computed from.

use crate::experiment::Experiment;
use crate::gateway::Gateway;
use crate::load::LoadResults;
use crate::stand_in::backend::Arrival;
use std::cell::Ref;
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// A read-only view of a run. It borrows the rig's `RefCell`s, so it must be dropped before the fleet continues to run.
pub struct RunRecord<'a> {
    /// The experiment that was run.
    pub experiment: &'a Experiment,
    /// The gateways of the fleet.
    pub gateways: &'a [Rc<Gateway>],
    /// The requests of the load and their outcomes.
    pub results: &'a LoadResults,
    /// The requests received by backends.
    pub arrivals: Ref<'a, Vec<Arrival>>,
    /// The time when a gateway was first notified that a backend is draining or gone, by gateway and backend.
    pub drain_notices: Ref<'a, HashMap<(String, String), Duration>>,
    /// The applied actions and their times since the rig started.
    pub actions: Ref<'a, Vec<(Duration, String)>>,
    /// The index and value of each accepted proposal.
    pub proposals: Ref<'a, Vec<(u64, String)>>,
    /// The directory of the configuration files and logs.
    pub directory: &'a Path,
}
