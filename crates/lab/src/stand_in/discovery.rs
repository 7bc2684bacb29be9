//! Simulates discovery: the endpoint list, with revisions and long polls.
//!
//! Each gateway has a listener of its own, because the list contains the addresses of that gateway's relays to the
//! backends.

use super::backend::Backend;
use super::{query_parameter, ServiceListener};
use crate::http::{response, HttpResponse};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// The maximum time for which a long poll is held open.
const MAX_HOLD_MS: u64 = 60_000;

/// An entry of the endpoint list and the revision of its last change.
struct Entry {
    backend: Rc<Backend>,
    phase: &'static str,
    changed_revision: u64,
}

/// A simulated discovery service for all gateways.
pub struct Discovery {
    entries: RefCell<Vec<Entry>>,
    revision: watch::Sender<u64>,
    /// The time when a gateway was first notified that a backend is draining or gone, by gateway and backend.
    pub drain_notices: RefCell<HashMap<(String, String), Duration>>,
    epoch: Instant,
}

/// The addresses of one gateway's relays to the backends, by backend.
pub type Routes = HashMap<String, SocketAddr>;

impl Discovery {
    /// Creates a service whose list has these backends, all ready.
    pub fn new(backends: &[Rc<Backend>], epoch: Instant) -> Rc<Discovery> {
        let entry =
            |backend: &Rc<Backend>| Entry { backend: backend.clone(), phase: "ready", changed_revision: 1 };
        let entries = RefCell::new(backends.iter().map(entry).collect());
        let (revision, drain_notices) = (watch::Sender::new(1), RefCell::default());
        Rc::new(Discovery { entries, revision, drain_notices, epoch })
    }

    /// Opens the listener of a gateway.
    pub async fn open(
        self: &Rc<Self>,
        listener: &ServiceListener,
        gateway: &str,
        routes: Rc<Routes>,
    ) -> io::Result<()> {
        let (discovery, gateway) = (self.clone(), gateway.to_string());
        listener.open(move |request| discovery.clone().serve(request, gateway.clone(), routes.clone())).await
    }

    /// Sets the phase of a backend: `ready`, `draining` or `gone`. The next list also has its current start time.
    pub fn set_phase(&self, backend: &str, phase: &'static str) {
        let revision = *self.revision.borrow() + 1;
        let mut entries = self.entries.borrow_mut();
        for entry in entries.iter_mut().filter(|entry| entry.backend.id == backend) {
            (entry.phase, entry.changed_revision) = (phase, revision);
        }
        drop(entries);
        if phase == "ready" {
            self.drain_notices.borrow_mut().retain(|(_, id), _| id != backend);
        }
        self.revision.send_replace(revision);
    }

    /// Returns whether the list has a backend as ready.
    pub fn is_ready(&self, backend: &str) -> bool {
        self.entries.borrow().iter().any(|entry| entry.backend.id == backend && entry.phase == "ready")
    }

    async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
        gateway: String,
        routes: Rc<Routes>,
    ) -> Option<HttpResponse> {
        if request.uri().path() != "/catalog/members" {
            return Some(response(StatusCode::NOT_FOUND, ""));
        }
        let query = request.uri().query().unwrap_or_default();
        let from = query_parameter(query, "from").and_then(|from| from.parse::<u64>().ok());
        let hold = query_parameter(query, "hold_ms").and_then(|hold| hold.parse::<u64>().ok()).unwrap_or(0);
        let mut revision = self.revision.subscribe();
        if let Some(from) = from {
            let hold = Duration::from_millis(hold.min(MAX_HOLD_MS));
            // If the hold expires the response has no changes.
            let _ = timeout(hold, revision.wait_for(|revision| *revision > from)).await;
        }
        let list = self.list(from, &gateway, &routes);
        Some(response(StatusCode::OK, list.to_string()))
    }

    fn list(&self, from: Option<u64>, gateway: &str, routes: &Routes) -> Value {
        let entries = self.entries.borrow();
        let wanted = entries.iter().filter(|entry| match from {
            Some(from) => entry.changed_revision > from,
            None => entry.phase != "gone",
        });
        let members = wanted.filter_map(|entry| {
            let backend = &entry.backend;
            if entry.phase != "ready" {
                let key = (gateway.to_string(), backend.id.clone());
                self.drain_notices.borrow_mut().entry(key).or_insert_with(|| self.epoch.elapsed());
            }
            Some(json!({
                "id": backend.id, "host_port": routes.get(&backend.id)?, "locality": backend.zone, "flavor": "m",
                "cell": 0, "phase": entry.phase, "size": 1.0, "up_since_ms": backend.up_since_ms.get(),
            }))
        });
        let members: Vec<Value> = members.collect();
        json!({ "revision": *self.revision.borrow(), "complete": from.is_none(), "members": members })
    }
}
