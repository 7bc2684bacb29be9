//! Generates open-loop load. The times of all requests are drawn from the seed in advance and do not depend on earlier
//! responses, and the latency of a request counts from the time when it was due.

use crate::gateway::Gateway;
use crate::http::{self, HttpError};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The interval between the load balancer's health checks of a gateway, and the timeout of each check.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The largest 99th percentile of the generator's lateness with which a run is valid.
pub const MAX_P99_LATENESS: Duration = Duration::from_millis(50);
/// How long after its deadline a request is abandoned.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// The load settings of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// The request rate, in requests per second.
    pub rate: f64,
    /// The number of customers that send requests, with equal probability.
    pub customers: u64,
    /// The number of gateways that receive each customer's requests.
    pub spread: u32,
    /// The share of requests that are not idempotent.
    pub unsafe_share: f64,
    /// Each customer's quota: rate in units per second, and burst in units.
    pub quota: (f64, f64),
}

impl Default for Load {
    fn default() -> Load {
        Load { rate: 50.0, customers: 40, spread: 3, unsafe_share: 0.3, quota: (10.0, 20.0) }
    }
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// The name, as sent in `X-Call-Class`.
    pub name: &'static str,
    /// How long after its due time a request must be answered.
    pub deadline: Duration,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
}

/// The two classes of the load.
pub const CLASSES: [Class; 2] = [
    Class { name: "lookup", deadline: Duration::from_secs(4), idempotent: true },
    Class { name: "publish", deadline: Duration::from_secs(8), idempotent: false },
];

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No response yet.
    Pending,
    /// Served, with the body of the response.
    Served(Bytes),
    /// Rejected by quota or load shedding.
    Rejected,
    /// Failed, with the status of the response.
    Failed(u16),
    /// The connection ended without a complete response.
    ConnectionBroken,
    /// No response by half a second after its deadline.
    Unanswered,
    /// Not sent, because the gateway accepted no connection.
    NotSent,
}

impl Outcome {
    /// Returns the label that violations use for the outcome.
    pub fn label(&self) -> &'static str {
        match self {
            Outcome::Pending => "open",
            Outcome::Served(_) => "served",
            Outcome::Rejected => "refused",
            Outcome::Failed(_) => "failed",
            Outcome::ConnectionBroken => "broken",
            Outcome::Unanswered => "silent",
            Outcome::NotSent => "unsent",
        }
    }
}

/// A request of the load and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The id of the request.
    pub request_id: String,
    /// The id of the customer.
    pub customer: u64,
    /// The index of the request's class in `CLASSES`.
    pub class: usize,
    /// The name of the gateway that was selected for the request.
    pub gateway: String,
    /// The time when the request was due, since the rig started.
    pub due: Duration,
    /// The time when the outcome was known, since the rig started.
    pub ended: Duration,
    /// The outcome.
    pub outcome: Outcome,
}

/// The requests of a run, with their latencies and the generator's lateness.
pub struct LoadResults {
    /// The requests with a final outcome.
    pub requests: RefCell<Vec<RequestRecord>>,
    /// The times from due to response of the served requests, in microseconds.
    pub latencies: RefCell<Histogram<u64>>,
    /// The times from due to sent, in microseconds.
    pub lateness: RefCell<Histogram<u64>>,
    /// Responses without a matching request: gateway and time since the rig started.
    pub unexpected_responses: RefCell<Vec<(String, Duration)>>,
}

impl LoadResults {
    /// Creates an empty record.
    pub fn new() -> Rc<LoadResults> {
        let histogram = || {
            RefCell::new(Histogram::new_with_max(60_000_000, 3).expect("the histogram's bounds are valid"))
        };
        Rc::new(LoadResults {
            requests: RefCell::default(),
            latencies: histogram(),
            lateness: histogram(),
            unexpected_responses: RefCell::default(),
        })
    }

    /// Returns whether the generator sent requests too late, so that it and not the gateways was the bottleneck.
    pub fn generator_was_late(&self) -> bool {
        self.lateness.borrow().value_at_quantile(0.99) > MAX_P99_LATENESS.as_micros() as u64
    }
}

/// A request to send and its due time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledRequest {
    /// The time when the request is due, since the load started.
    pub at: Duration,
    /// The id of the request.
    pub request_id: String,
    /// The id of the customer.
    pub customer: u64,
    /// The index of the request's class in `CLASSES`.
    pub class: usize,
    /// A random number that selects the gateway.
    pub gateway_choice: u64,
}

/// Draws all requests of a load. Equal arguments give equal schedules.
pub fn schedule(load: &Load, duration: Duration, seed: u64) -> Vec<ScheduledRequest> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut at, mut requests) = (0.0, Vec::new());
    if load.rate <= 0.0 {
        return requests;
    }
    loop {
        at += -(1.0 - rng.f64()).ln() / load.rate;
        if at >= duration.as_secs_f64() {
            break;
        }
        let class = usize::from(rng.f64() < load.unsafe_share);
        let request_id = format!("{:016x}", rng.u64(..));
        let customer = rng.u64(..load.customers.max(1)) + 1;
        requests.push(ScheduledRequest {
            at: Duration::from_secs_f64(at),
            request_id,
            customer,
            class,
            gateway_choice: rng.u64(..),
        });
    }
    requests
}

/// Returns the index of the first gateway that receives a customer's requests; the others follow it consecutively.
pub fn first_gateway(customer: u64, gateways: usize) -> u32 {
    (customer % gateways.max(1) as u64) as u32
}

/// Simulates the clients and the load balancer in front of the gateways.
pub struct Generator {
    gateways: Vec<Rc<Gateway>>,
    healthy: Vec<Cell<bool>>,
    idle: RefCell<HashMap<usize, Vec<SendRequest<Full<Bytes>>>>>,
    results: Rc<LoadResults>,
    load: Load,
    epoch: Instant,
}

impl Generator {
    /// Creates a generator that sends the load to these gateways.
    pub fn new(
        gateways: &[Rc<Gateway>],
        load: &Load,
        results: Rc<LoadResults>,
        epoch: Instant,
    ) -> Rc<Generator> {
        Rc::new(Generator {
            gateways: gateways.to_vec(),
            healthy: gateways.iter().map(|_| Cell::new(false)).collect(),
            idle: RefCell::default(),
            results,
            load: load.clone(),
            epoch,
        })
    }

    /// Starts health checks of every gateway, which run until the runtime ends.
    pub fn start_health_checks(self: &Rc<Self>) {
        for index in 0..self.gateways.len() {
            let generator = self.clone();
            spawn_local(async move {
                loop {
                    generator.check_health(index).await;
                    sleep(HEALTH_CHECK_INTERVAL).await;
                }
            });
        }
    }

    async fn check_health(&self, index: usize) {
        let address = self.gateways[index].client_address.get();
        let response = timeout(HEALTH_CHECK_INTERVAL, http::get(address, "/_health")).await;
        self.healthy[index].set(matches!(response, Ok(Ok((200, _)))));
    }

    /// Returns whether all gateways are healthy.
    pub fn all_healthy(&self) -> bool {
        self.healthy.iter().all(Cell::get)
    }

    /// Sends the requests when they are due, and waits for the outcome of each.
    pub async fn run(self: &Rc<Self>, requests: Vec<ScheduledRequest>) {
        let start = Instant::now();
        let mut pending = JoinSet::new();
        for scheduled in requests {
            sleep_until(start + scheduled.at).await;
            let (generator, due) = (self.clone(), start + scheduled.at);
            pending.spawn_local(async move { generator.send(scheduled, due).await });
            while pending.try_join_next().is_some() {}
        }
        while pending.join_next().await.is_some() {}
    }

    async fn send(&self, scheduled: ScheduledRequest, due: Instant) {
        let Class { name, deadline, .. } = CLASSES[scheduled.class];
        let count = self.gateways.len();
        let first = first_gateway(scheduled.customer, count);
        let spread = self.load.spread.clamp(1, count as u32);
        let assigned: Vec<usize> = (0..spread).map(|offset| (first + offset) as usize % count).collect();
        let healthy: Vec<usize> =
            assigned.iter().copied().filter(|index| self.healthy[*index].get()).collect();
        let candidates = if healthy.is_empty() { &assigned } else { &healthy };
        let index = candidates[(scheduled.gateway_choice % candidates.len() as u64) as usize];
        let mut record = RequestRecord {
            request_id: scheduled.request_id.clone(),
            customer: scheduled.customer,
            class: scheduled.class,
            gateway: self.gateways[index].name.clone(),
            due: due - self.epoch,
            ended: Duration::ZERO,
            outcome: Outcome::Pending,
        };
        let lateness = due.elapsed();
        // Fails only beyond the histogram's maximum of a minute. A run that is so late is invalid in any case.
        let _ = self.results.lateness.borrow_mut().record(lateness.as_micros() as u64);
        let request = || {
            let remaining_ms = deadline.saturating_sub(due.elapsed()).as_millis();
            let method = if scheduled.class == 0 { Method::GET } else { Method::POST };
            let path = format!("/api?customer={:016x}&units=1", scheduled.customer);
            Request::builder()
                .method(method)
                .uri(path)
                .header("Host", "lab")
                .header("X-Call-Id", &scheduled.request_id)
                .header("X-Call-Class", name)
                .header("X-Plan", "team")
                .header("X-Budget-Ms", remaining_ms.to_string())
                .header("X-Quota", format!("units=1,spread={spread},first={first}"))
                .body(Full::<Bytes>::default())
        };
        let limit = (deadline + DEADLINE_GRACE).saturating_sub(due.elapsed());
        record.outcome = match timeout(limit, self.exchange(index, request)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unanswered,
        };
        record.ended = self.epoch.elapsed();
        if matches!(record.outcome, Outcome::Served(_)) {
            let _ = self.results.latencies.borrow_mut().record(due.elapsed().as_micros() as u64);
        }
        self.results.requests.borrow_mut().push(record);
    }

    async fn exchange(
        &self,
        index: usize,
        request: impl Fn() -> hyper::http::Result<Request<Full<Bytes>>>,
    ) -> Outcome {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&index).and_then(Vec::pop);
            let reused = idle.is_some();
            let mut sender = match idle {
                Some(sender) if sender.is_closed() => continue,
                Some(sender) => sender,
                None => match self.connect(index).await {
                    Ok(sender) => sender,
                    Err(_) => {
                        self.healthy[index].set(false);
                        return Outcome::NotSent;
                    }
                },
            };
            let Ok(request) = request() else { return Outcome::NotSent };
            match sender.send_request(request).await {
                Ok(response) => match http::collect(response).await {
                    Ok((status, body)) => {
                        // Only a connection that can carry another request returns to the pool.
                        if sender.ready().await.is_ok() {
                            self.idle.borrow_mut().entry(index).or_default().push(sender);
                        }
                        return match status {
                            200 => Outcome::Served(body),
                            429 | 503 => Outcome::Rejected,
                            status => Outcome::Failed(status),
                        };
                    }
                    Err(_) => return Outcome::ConnectionBroken,
                },
                // The idle connection was closed between requests, so retry on another one.
                Err(_) if reused => continue,
                Err(_) => return Outcome::ConnectionBroken,
            }
        }
    }

    async fn connect(&self, index: usize) -> Result<SendRequest<Full<Bytes>>, HttpError> {
        let gateway = &self.gateways[index];
        let (name, results, epoch) = (gateway.name.clone(), self.results.clone(), self.epoch);
        http::connect(gateway.client_address.get(), move |error| {
            // Matches the text of hyper's error for a response without a request.
            if error.to_string().contains("unexpected message") {
                results.unexpected_responses.borrow_mut().push((name, epoch.elapsed()));
            }
        })
        .await
    }
}
