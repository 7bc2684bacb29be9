//! One gateway of the simulation.

use crate::encode::write_action;
use crate::error::WireError;
use lanespan_policy::{Action, Engine, Event, Micros};
use lanespan_settings::{Fields, Site};

/// One gateway: its engine, and the names by which the wire knows classes, plans, zones and backends.
pub(crate) struct Instance {
    pub(crate) engine: Engine,
    pub(crate) site: Site,
    /// Kept between events, for its memory.
    actions: Vec<Action>,
}

impl Instance {
    /// Starts a gateway with the settings of a line.
    pub(crate) fn start(fields: &Fields) -> Result<Instance, WireError> {
        let seed = fields.required_u64("rng_seed")?;
        let site = Site::read(fields)?;
        let engine = Engine::new(seed, site.settings.clone())
            .map_err(|reason| WireError::Settings { place: fields.place.clone(), reason })?;
        Ok(Instance { engine, site, actions: Vec::new() })
    }

    /// Passes an event to the engine and writes its actions.
    pub(crate) fn handle(&mut self, now: Micros, event: Event, reply: &mut String) {
        self.engine.handle(now, event, &mut self.actions);
        let backend_name = |id| self.site.backends.get(&id).map_or("", String::as_str);
        for action in self.actions.drain(..) {
            write_action(&action, backend_name, reply);
        }
    }
}
