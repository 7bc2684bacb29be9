//! Maintains the current endpoint list and the backends in service, and tracks whether the gateway is ready.

use crate::config::{EndpointEntry, EndpointList, EndpointPhase};
use crate::pool::{Backend, Pool};
use lanespan_policy::{BackendId, CellId, Endpoint, EndpointListScope, EndpointState, Event, Micros};
use lanespan_settings::Site;
use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info};

/// Status of the endpoint list, shared with other parts of the gateway.
#[derive(Clone, Default)]
pub struct EndpointStatus {
    /// Whether there is an endpoint list by which requests can be forwarded.
    pub ready: Rc<Cell<bool>>,
    /// Revision of the endpoint list; 0 before the first one.
    pub revision: Rc<Cell<u64>>,
}

/// The endpoint list and the backends in service.
pub(super) struct Endpoints {
    /// Maps the names of backends and zones to the engine's ids.
    site: Site,
    pool: Rc<Pool>,
    in_service: HashMap<BackendId, Rc<Backend>>,
    status: EndpointStatus,
    /// When the saved endpoint list is treated as current, even if discovery has not responded.
    ready_at: Option<Instant>,
    /// When discovery last sent a list or changes.
    updated_at: Option<Instant>,
}

impl Endpoints {
    pub(super) fn new(site: Site, pool: Rc<Pool>) -> Endpoints {
        Endpoints {
            site,
            pool,
            in_service: HashMap::new(),
            status: EndpointStatus::default(),
            ready_at: None,
            updated_at: None,
        }
    }

    /// Applies an endpoint list that was saved before startup. It may be outdated, so the gateway becomes ready only
    /// once discovery has responded or `wait` has elapsed.
    pub(super) fn restore(&mut self, saved: EndpointList, wait: Duration) -> Event {
        self.ready_at = Some(Instant::now() + wait);
        self.apply(EndpointList { complete: true, ..saved })
    }

    /// Applies an endpoint list, or changes to it, sent by discovery.
    pub(super) fn update(&mut self, list: EndpointList) -> Event {
        self.updated_at = Some(Instant::now());
        let event = self.apply(list);
        self.mark_ready();
        event
    }

    /// Returns when to call `mark_ready`, unless discovery sends a list earlier.
    pub(super) fn ready_at(&self) -> Option<Instant> {
        self.ready_at
    }

    /// Treats the present endpoint list as current and marks the gateway as ready.
    pub(super) fn mark_ready(&mut self) {
        self.ready_at = None;
        if !self.status.ready.replace(true) {
            info!(backends = self.in_service.len(), "ready");
        }
    }

    /// Returns the status shared with other parts of the gateway.
    pub(super) fn status(&self) -> &EndpointStatus {
        &self.status
    }

    /// Returns the time since discovery last sent a list or changes; `None` if it never did.
    pub(super) fn age(&self) -> Option<Duration> {
        self.updated_at.map(|at| at.elapsed())
    }

    /// Returns the number of backends in service.
    pub(super) fn len(&self) -> usize {
        self.in_service.len()
    }

    /// Iterates over the backends in service.
    pub(super) fn backends(&self) -> impl Iterator<Item = (BackendId, &Rc<Backend>)> {
        self.in_service.iter().map(|(id, backend)| (*id, backend))
    }

    /// Returns a backend, if it is in service.
    pub(super) fn backend(&self, id: BackendId) -> Option<Rc<Backend>> {
        self.in_service.get(&id).cloned()
    }

    /// Returns the address of a backend, if it is in service.
    pub(super) fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.in_service.get(&id).map(|backend| backend.address)
    }

    /// Returns the name of a backend, if it is in service.
    pub(super) fn name(&self, id: BackendId) -> Option<&String> {
        self.site.backends.get(&id)
    }

    fn apply(&mut self, list: EndpointList) -> Event {
        let EndpointList { revision, complete, endpoints: entries, .. } = list;
        debug!(revision, complete, entries = entries.len(), "endpoint list changed");
        self.status.revision.set(revision);
        let endpoints: Vec<Endpoint> = entries.into_iter().map(|entry| self.apply_entry(entry)).collect();
        if complete {
            self.close_all_but(&endpoints);
        }
        // Without this the map would keep an entry for every backend that was ever listed.
        self.site.backends.retain(|id, _| self.in_service.contains_key(id));
        let scope = if complete { EndpointListScope::Complete } else { EndpointListScope::Changes };
        Event::EndpointList { scope, endpoints }
    }

    fn apply_entry(&mut self, entry: EndpointEntry) -> Endpoint {
        let id = self.site.backend_id(&entry.id);
        let state = state(entry.phase);
        match state {
            EndpointState::InService => self.open(id, entry.address, entry.started_at_ms),
            EndpointState::Draining | EndpointState::Removed => self.close(id),
        }
        Endpoint {
            backend: id,
            zone: self.site.zone_id(&entry.zone),
            cell: CellId(entry.cell),
            state,
            weight: entry.weight,
            started_at: Some(Micros(entry.started_at_ms.saturating_mul(1_000))).filter(|at| at.0 > 0),
        }
    }

    /// Puts a backend into service. If its address or start time changed, its old connections are closed.
    fn open(&mut self, id: BackendId, address: SocketAddr, started_at_ms: u64) {
        let old = self.in_service.get(&id);
        if old.is_some_and(|old| old.address == address && old.started_at_ms == started_at_ms) {
            return;
        }
        let new = self.pool.add_backend(address, started_at_ms, old.map(|old| &**old));
        if let Some(old) = self.in_service.insert(id, Rc::new(new)) {
            self.pool.close(&old);
        }
    }

    fn close(&mut self, id: BackendId) {
        if let Some(backend) = self.in_service.remove(&id) {
            self.pool.close(&backend);
        }
    }

    fn close_all_but(&mut self, listed: &[Endpoint]) {
        let listed: HashSet<BackendId> = listed.iter().map(|endpoint| endpoint.backend).collect();
        self.in_service.retain(|id, backend| {
            let is_listed = listed.contains(id);
            if !is_listed {
                self.pool.close(backend);
            }
            is_listed
        });
    }
}

fn state(phase: EndpointPhase) -> EndpointState {
    match phase {
        EndpointPhase::Ready => EndpointState::InService,
        EndpointPhase::Draining => EndpointState::Draining,
        EndpointPhase::Gone => EndpointState::Removed,
    }
}
