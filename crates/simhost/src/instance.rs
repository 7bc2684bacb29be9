//! One simulated gateway instance.

use crate::encode::write_action;
use crate::error::WireError;
use lanespan_policy::{Action, Engine, Event, Micros};
use lanespan_settings::{Fields, Site};

/// The policy engine of one gateway, and the site that maps the protocol's names of classes, plans, zones and backends
/// to the engine's ids.
pub(crate) struct Instance {
    pub(crate) engine: Engine,
    pub(crate) site: Site,
    /// Buffer for the engine's actions, reused for each event to avoid allocations.
    actions: Vec<Action>,
}

impl Instance {
    /// Creates an instance with the settings of a `START` line.
    pub(crate) fn start(fields: &Fields) -> Result<Instance, WireError> {
        let seed = fields.required_u64("rng_seed")?;
        let site = Site::read(fields)?;
        let engine = Engine::new(seed, site.settings.clone())
            .map_err(|reason| WireError::Settings { place: fields.place.clone(), reason })?;
        Ok(Instance { engine, site, actions: Vec::new() })
    }

    /// Passes an event to the engine and appends the resulting actions to `reply`.
    pub(crate) fn handle(&mut self, now: Micros, event: Event, reply: &mut String) {
        self.engine.handle(now, event, &mut self.actions);
        let backend_name = |id| self.site.backends.get(&id).map_or("", String::as_str);
        for action in self.actions.drain(..) {
            write_action(&action, backend_name, reply);
        }
    }
}
