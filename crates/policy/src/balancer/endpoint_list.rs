//! Applies updates of the endpoint list to the balancer's backends.

use crate::balancer::{Backend, Balancer};
use crate::{Endpoint, EndpointListScope, EndpointState, Micros};

/// Weight of a backend whose endpoint has no positive weight.
const DEFAULT_WEIGHT: f64 = 1.0;

impl Balancer {
    /// Applies a complete endpoint list or a set of changes. Backends missing from a complete list go out of service.
    pub(crate) fn apply_endpoints(
        &mut self,
        now: Micros,
        scope: EndpointListScope,
        endpoints: Vec<Endpoint>,
        random: &mut fastrand::Rng,
    ) {
        if scope == EndpointListScope::Complete {
            self.backends.values_mut().for_each(|backend| backend.in_service = false);
        }
        endpoints.into_iter().for_each(|endpoint| self.apply_endpoint(now, &endpoint, random));
        // Drops the state of backends that are out of service and have nothing in flight.
        self.backends.retain(|_, backend| backend.in_service || backend.in_flight + backend.streams > 0.0);
        let in_service = self.backends.iter().filter(|(_, backend)| backend.in_service);
        self.ring = in_service.map(|(&id, _)| id).collect();
    }

    fn apply_endpoint(&mut self, now: Micros, endpoint: &Endpoint, random: &mut fastrand::Rng) {
        let warm_up_time = self.settings.slow_start.warm_up_time;
        let backend = self.backends.entry(endpoint.backend).or_default();
        let started_at = endpoint.started_at.filter(|&started_at| now < started_at + warm_up_time);
        if started_at.is_some_and(|started_at| is_later_start(backend, started_at)) {
            *backend = backend.restarted();
            let max_request_units = self.settings.max_request_units;
            backend.slow_start.delay_first_request(max_request_units, random.f64(), now);
        }
        backend.slow_start.set_started_at(started_at);
        backend.zone = endpoint.zone;
        backend.cell = endpoint.cell;
        backend.weight = if endpoint.weight > 0.0 { endpoint.weight } else { DEFAULT_WEIGHT };
        backend.in_service = endpoint.state == EndpointState::InService;
    }
}

/// Returns whether this start is later than the known one, or none is known.
fn is_later_start(backend: &Backend, started_at: Micros) -> bool {
    backend.slow_start.started_at().is_none_or(|known| known < started_at)
}
