//! Simulates a backend: slots, a bounded queue, service times drawn from the seed and the request's id, a cold start
//! and load reports.

use super::{query_parameter, ServiceListener};
use crate::http::{response, HttpResponse};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{sleep, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The capacity and service times of a backend.
#[derive(Clone, Copy, Debug)]
pub struct ServiceModel {
    /// The number of requests served concurrently.
    pub slots: usize,
    /// The number of further requests that may wait; all others are rejected.
    pub queue_limit: usize,
    /// The mean service time.
    pub mean_service_time: Duration,
    /// How long the backend warms up after a restart, and the share of its full speed at which it begins.
    pub cold_start: (Duration, f64),
    /// The seed of the service times.
    pub seed: u64,
}

/// The injected fault of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// No fault.
    None,
    /// Service times are multiplied by the factor.
    Slow(f64),
    /// Requests get status 500 as soon as they have a slot.
    Failing,
    /// Requests never get a response.
    Frozen,
}

/// A request that a backend has received completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The id of the request.
    pub request_id: String,
    /// The id of the backend.
    pub backend: String,
    /// The time of arrival, since the rig started.
    pub at: Duration,
    /// The id of the customer.
    pub customer: u64,
    /// The units that the request consumes.
    pub units: f64,
    /// Whether the backend accepted the request for execution rather than rejecting it.
    pub executed: bool,
}

/// A simulated backend.
pub struct Backend {
    /// The backend's id.
    pub id: String,
    /// The backend's zone.
    pub zone: String,
    /// The listener for requests.
    pub listener: ServiceListener,
    /// The current fault.
    pub fault: Cell<BackendFault>,
    /// The Unix time of the last cold start, in milliseconds; 0 if there was none.
    pub up_since_ms: Cell<u64>,
    model: ServiceModel,
    epoch: Instant,
    warming_since: Cell<Instant>,
    incarnation: Cell<u32>,
    slots: RefCell<Rc<Semaphore>>,
    in_flight: Cell<usize>,
    arrivals: Rc<RefCell<Vec<Arrival>>>,
}

impl Backend {
    /// Creates a backend that is not running yet, and records its requests in `arrivals`.
    pub fn new(
        id: String,
        zone: String,
        model: ServiceModel,
        epoch: Instant,
        arrivals: Rc<RefCell<Vec<Arrival>>>,
    ) -> Rc<Backend> {
        Rc::new(Backend {
            id,
            zone,
            listener: ServiceListener::default(),
            fault: Cell::new(BackendFault::None),
            up_since_ms: Cell::new(0),
            model,
            epoch,
            // In the past, so that the first incarnation is warm.
            warming_since: Cell::new(epoch.checked_sub(model.cold_start.0).unwrap_or(epoch)),
            incarnation: Cell::new(0),
            slots: RefCell::new(Rc::new(Semaphore::new(model.slots))),
            in_flight: Cell::new(0),
            arrivals,
        })
    }

    /// Starts the backend. If `cold` is set it has to warm up, like a process that has just been started.
    pub async fn start(self: &Rc<Self>, cold: bool) -> io::Result<()> {
        self.incarnation.set(self.incarnation.get() + 1);
        *self.slots.borrow_mut() = Rc::new(Semaphore::new(self.model.slots));
        self.in_flight.set(0);
        if cold {
            self.warming_since.set(Instant::now());
            let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            self.up_since_ms.set(unix.as_millis() as u64);
        }
        let backend = self.clone();
        self.listener.open(move |request| backend.clone().serve(request)).await
    }

    /// Closes the listener and all its connections.
    pub fn kill(&self) {
        self.listener.close();
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Option<HttpResponse> {
        let incarnation = self.incarnation.get();
        let header =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
        let Some(id) = header("x-call-id") else { return Some(response(StatusCode::NOT_FOUND, "no id")) };
        let query = request.uri().query().unwrap_or_default().to_string();
        let customer = query_parameter(&query, "customer").and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let units = query_parameter(&query, "units").and_then(|units| units.parse().ok()).unwrap_or(1.0);
        // A request counts as arrived when its last byte has been received.
        crate::http::drain(request.into_body()).await.ok()?;
        let executed = self.in_flight.get() < self.model.slots + self.model.queue_limit;
        let (backend, at) = (self.id.clone(), self.epoch.elapsed());
        let customer = customer.unwrap_or_default();
        self.arrivals.borrow_mut().push(Arrival {
            request_id: id.clone(),
            backend,
            at,
            customer,
            units,
            executed,
        });
        if !executed {
            let mut rejected = response(StatusCode::SERVICE_UNAVAILABLE, "");
            rejected.headers_mut().insert("x-rejected", HeaderValue::from_static("1"));
            return Some(rejected);
        }
        let _in_flight = InFlight::new(&self);
        let slots = self.slots.borrow().clone();
        let slot = slots.acquire().await.ok()?;
        match self.fault.get() {
            BackendFault::Frozen => return None,
            BackendFault::Failing => return Some(response(StatusCode::INTERNAL_SERVER_ERROR, "")),
            BackendFault::Slow(_) | BackendFault::None => {}
        }
        sleep(self.service_time(&id)).await;
        drop(slot);
        let mut served = response(StatusCode::OK, format!("{id} {} {incarnation}", self.id));
        let util = (self.in_flight.get() as f64 / self.model.slots as f64).min(1.0);
        let queue = self.in_flight.get().saturating_sub(self.model.slots);
        if let Ok(report) = HeaderValue::from_str(&format!("TEXT queue={queue}, util={util:.2}")) {
            served.headers_mut().insert("x-load-report", report);
        }
        Some(served)
    }

    /// Returns the service time of a request: 0.5 to 1.5 times the mean, determined by the request's id and the seed,
    /// and longer while the backend is cold.
    fn service_time(&self, request_id: &str) -> Duration {
        let uniform = xxh3_64_with_seed(request_id.as_bytes(), self.model.seed) as f64 / u64::MAX as f64;
        let (warm_up, initial_speed) = self.model.cold_start;
        let warmth =
            (self.warming_since.get().elapsed().as_secs_f64() / warm_up.as_secs_f64().max(1e-3)).min(1.0);
        let speed = initial_speed + (1.0 - initial_speed) * warmth;
        let slowdown = if let BackendFault::Slow(factor) = self.fault.get() { factor } else { 1.0 };
        self.model.mean_service_time.mul_f64((0.5 + uniform) * slowdown / speed.max(0.01))
    }
}

/// Counts a request as in flight until it is dropped. Holds the backend and its incarnation at the arrival.
struct InFlight(Rc<Backend>, u32);

impl InFlight {
    fn new(backend: &Rc<Backend>) -> InFlight {
        backend.in_flight.set(backend.in_flight.get() + 1);
        InFlight(backend.clone(), backend.incarnation.get())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        // A restart resets the count, so requests of an earlier incarnation no longer count.
        if self.0.incarnation.get() == self.1 {
            self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
        }
    }
}
