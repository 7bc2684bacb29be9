//! Simulates the counter: totals by name, each with a lifetime.

use super::{query_parameter, ServiceListener};
use crate::http::{response, HttpResponse};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The maximum lifetime of a total.
const MAX_LIFETIME_MS: u64 = 60_000;

/// A simulated counter service.
#[derive(Default)]
pub struct Counter {
    /// The listener for calls.
    pub listener: ServiceListener,
    /// The latency of a call.
    pub latency: Cell<Duration>,
    totals: RefCell<HashMap<String, (f64, Instant)>>,
    /// The number of valid calls answered.
    pub calls: Cell<u64>,
}

impl Counter {
    /// Starts the counter, or restarts it with the totals that it held.
    pub async fn start(self: &Rc<Self>) -> io::Result<()> {
        let counter = self.clone();
        self.listener.open(move |request| counter.clone().serve(request)).await
    }

    /// Clears all totals.
    pub fn forget(&self) {
        self.totals.borrow_mut().clear();
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Option<HttpResponse> {
        let uri = request.uri();
        let name = uri.path().strip_prefix("/v1/count/").map(str::to_string);
        let query = uri.query().unwrap_or_default();
        let add = query_parameter(query, "add").and_then(|add| add.parse::<f64>().ok());
        let lifetime_ms = query_parameter(query, "ttl_ms").and_then(|ttl| ttl.parse::<u64>().ok());
        let (Some(name), Some(add), Some(lifetime_ms)) = (name, add, lifetime_ms) else {
            return Some(response(StatusCode::BAD_REQUEST, ""));
        };
        if !(1..=64).contains(&name.len()) || lifetime_ms == 0 || !add.is_finite() || add.abs() > 1e9 {
            return Some(response(StatusCode::BAD_REQUEST, ""));
        }
        sleep(self.latency.get()).await;
        let (now, mut totals) = (Instant::now(), self.totals.borrow_mut());
        if totals.len() > 100_000 {
            totals.retain(|_, (_, expires_at)| *expires_at > now);
        }
        let expires_at = now + Duration::from_millis(lifetime_ms.min(MAX_LIFETIME_MS));
        let total = totals.entry(name).and_modify(|t| *t = if t.1 <= now { (0.0, expires_at) } else { *t });
        let total = total.or_insert((0.0, expires_at));
        total.0 += add;
        self.calls.set(self.calls.get() + 1);
        Some(response(StatusCode::OK, total.0.to_string()))
    }
}
