//! The endpoint list in force: which backends there are, with their connections, and whether there is a list yet.

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

/// What other parts of the gateway follow of the endpoint list.
#[derive(Clone, Default)]
pub struct EndpointStatus {
    /// Whether there is a list to forward requests by.
    pub ready: Rc<Cell<bool>>,
    /// The list's revision; 0 before there is one.
    pub revision: Rc<Cell<u64>>,
}

/// The endpoint list and the backends in service.
pub(super) struct Endpoints {
    /// Maps the names of backends and zones to the engine's ids.
    site: Site,
    pool: Rc<Pool>,
    in_service: HashMap<BackendId, Rc<Backend>>,
    status: EndpointStatus,
    /// When a list from before the start counts as current without an answer of discovery.
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

    /// Applies a list that was saved before the start. It may be outdated, so the gateway is ready only once
    /// discovery has answered or `wait` is over.
    pub(super) fn restore(&mut self, saved: EndpointList, wait: Duration) -> Event {
        self.ready_at = Some(Instant::now() + wait);
        self.apply(EndpointList { complete: true, ..saved })
    }

    /// Applies what discovery has sent.
    pub(super) fn update(&mut self, list: EndpointList) -> Event {
        self.updated_at = Some(Instant::now());
        let event = self.apply(list);
        self.become_ready();
        event
    }

    /// When to call `become_ready`, unless discovery sends a list before.
    pub(super) fn ready_at(&self) -> Option<Instant> {
        self.ready_at
    }

    /// Takes the list at hand for the current one.
    pub(super) fn become_ready(&mut self) {
        self.ready_at = None;
        if !self.status.ready.replace(true) {
            info!(backends = self.in_service.len(), "ready");
        }
    }

    /// What other parts of the gateway follow.
    pub(super) fn status(&self) -> &EndpointStatus {
        &self.status
    }

    /// How long ago discovery last sent a list or changes.
    pub(super) fn age(&self) -> Option<Duration> {
        self.updated_at.map(|at| at.elapsed())
    }

    /// The number of backends in service.
    pub(super) fn len(&self) -> usize {
        self.in_service.len()
    }

    /// The backends in service.
    pub(super) fn backends(&self) -> impl Iterator<Item = (BackendId, &Rc<Backend>)> {
        self.in_service.iter().map(|(id, backend)| (*id, backend))
    }

    /// A backend, if it is in service.
    pub(super) fn backend(&self, id: BackendId) -> Option<Rc<Backend>> {
        self.in_service.get(&id).cloned()
    }

    /// The address of a backend in service.
    pub(super) fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.in_service.get(&id).map(|backend| backend.address)
    }

    /// The name of a backend in service.
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
        // Guards against growing with every backend there ever was.
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

    /// Takes a backend into service. One that moved or restarted gets new connections.
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
            let stays = listed.contains(id);
            if !stays {
                self.pool.close(backend);
            }
            stays
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
