//! The driver owns the policy engine. It converts socket activity into engine events, carries out the engine's actions
//! and fires its timers. All policy decisions are made by the engine.

mod attempts;
mod counter_calls;
mod endpoints;
mod events;
mod request_table;
mod timers;
mod views;

pub use endpoints::EndpointStatus;
pub use events::{AcceptedRequest, AdminQuery, AdminReport, DriverEvent, DriverSender, FinalAnswer};

use crate::clock::Clock;
use crate::config::{Config, EndpointList};
use crate::config_error::ConfigError;
use crate::counter::{self, CounterReply};
use crate::fleet::FleetSnapshot;
use crate::memory::{Holder, MemoryAccount, Reservation};
use crate::metrics::{Metrics, RequestResult};
use crate::pool::{Backend, Pool};
use crate::relay::StreamLimits;
use crate::replication::ReplicationMetrics;
use attempts::{AttemptOrder, AttemptRunner};
use counter_calls::{CounterCall, CounterCalls};
use endpoints::Endpoints;
use lanespan_policy::{Action, AttemptResult, Engine, Event, Micros, RequestId};
use lanespan_settings::Site;
use request_table::{AttemptProgress, EndedAttempt, RequestTable};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timers::Timers;
use tokio::sync::mpsc;
use tokio::time::{interval, sleep_until, Instant};
use views::{DriverState, OperatorViews};

/// Capacity of the driver's event queue. Senders wait while it is full.
const MAX_PENDING_EVENTS: usize = 1024;
/// What the engine keeps for one customer.
const CUSTOMER_BYTES: usize = 1024;
/// The customers that the engine keeps take this share of the memory account at most: 1 / `CUSTOMERS_DIVISOR`.
const CUSTOMERS_DIVISOR: usize = 8;
/// How often the pool's idle connections are checked.
const RETIRE_INTERVAL: Duration = Duration::from_secs(1);
/// How often connections to backends are opened ahead of demand.
const PRECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Lower bound of the tick. A shorter one would keep a core busy running the engine without any benefit.
const MIN_TICK: Duration = Duration::from_millis(1);
/// How long a gateway with a saved endpoint list waits for discovery before it becomes ready.
const DISCOVERY_WAIT: Duration = Duration::from_secs(1);

/// Parameters of a [`Driver`].
pub struct Params {
    /// The policy settings, and the mapping of configured names to ids.
    pub site: Site,
    /// Seed of the engine's random number generator.
    pub seed: u64,
    /// The gateway's clock.
    pub clock: Clock,
    /// The endpoint list saved before startup; empty if there is none.
    pub saved_endpoints: EndpointList,
    /// The address of the counter, if one is configured.
    pub counter_address: Option<SocketAddr>,
    /// Parameters for calls to the counter.
    pub counter: counter::Params,
    /// The pool of connections to backends.
    pub pool: Rc<Pool>,
    /// Limits on streamed responses and uploads.
    pub streams: Rc<StreamLimits>,
    /// Whether metrics are collected.
    pub metrics: bool,
}

impl Params {
    /// Builds the parameters from a configuration, with an empty connection pool. `memory` is the account of the
    /// gateway's memory.
    pub fn new(config: Config, clock: Clock, memory: MemoryAccount) -> Params {
        let counter_timeout = duration(config.site.settings.counter_timeout);
        Params {
            counter: counter::Params {
                timeout: counter_timeout,
                max_connections: config.sockets.counter,
                names: config.names.counter,
            },
            counter_address: config.counter,
            pool: Pool::new(config.pool, config.dial_timeout, config.seed),
            streams: Rc::new(StreamLimits::new(config.streaming, config.memory, memory)),
            metrics: config.admin.is_some(),
            saved_endpoints: config.saved_endpoints,
            seed: config.seed,
            site: config.site,
            clock,
        }
    }
}

/// Runs the policy engine: feeds it events, carries out its actions and fires its timers.
pub struct Driver {
    engine: Engine,
    clock: Clock,
    tick: Duration,
    sender: DriverSender,
    events: mpsc::Receiver<DriverEvent>,
    pool: Rc<Pool>,
    streams: Rc<StreamLimits>,
    requests: RequestTable,
    attempts: AttemptRunner,
    counter_calls: CounterCalls,
    endpoints: Endpoints,
    timers: Timers,
    /// The memory of what the engine keeps for each customer.
    customer_memory: Reservation,
    views: OperatorViews,
    /// Events to be passed to the engine in its next run.
    batch: Vec<Event>,
    /// Buffer reused between engine runs; empty outside of a run.
    actions: Vec<Action>,
}

impl Driver {
    /// Creates a driver without requests, whose endpoint list is the saved one, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings contradict each other.
    pub fn new(params: Params) -> Result<Driver, ConfigError> {
        let Params { site, seed, clock, saved_endpoints, counter_address, counter, pool, streams, metrics } =
            params;
        let settings = site.settings.clone();
        let metrics = metrics.then(|| Metrics::new(&site));
        let (sender, events) = mpsc::channel(MAX_PENDING_EVENTS);
        let mut endpoints = Endpoints::new(site, pool.clone());
        let mut batch = Vec::new();
        if !saved_endpoints.endpoints.is_empty() {
            // A gateway that subscribes to the list may wait long for its first call, because the calls of all
            // gateways are spread over time.
            let wait = if settings.endpoint_subscription { Duration::ZERO } else { DISCOVERY_WAIT };
            batch.push(endpoints.restore(saved_endpoints, wait));
        }
        let customer_memory = streams.account().charge(Holder::Customers, 0);
        let attempts =
            AttemptRunner { clock, pool: pool.clone(), streams: streams.clone(), driver: sender.clone() };
        let tick = duration(settings.tick).max(MIN_TICK);
        let mut engine = Engine::new(seed, settings)?;
        engine.limit_customers(streams.account().capacity_bytes() / CUSTOMERS_DIVISOR / CUSTOMER_BYTES);
        Ok(Driver {
            tick,
            engine,
            clock,
            counter_calls: CounterCalls::new(counter_address, counter, sender.clone()),
            sender,
            events,
            pool,
            streams,
            requests: RequestTable::default(),
            attempts,
            endpoints,
            timers: Timers::default(),
            customer_memory,
            views: OperatorViews::new(metrics),
            batch,
            actions: Vec::new(),
        })
    }

    /// Includes the membership protocol in metrics and reports from now on.
    pub fn show_fleet(&mut self, source: impl Fn() -> FleetSnapshot + 'static) {
        self.views.show_fleet(Box::new(source));
    }

    /// Includes replication of the fleet document in metrics from now on.
    pub fn show_replication(&mut self, source: impl Fn() -> ReplicationMetrics + 'static) {
        self.views.show_replication(Box::new(source));
    }

    /// Returns the shared status of the endpoint list.
    pub fn endpoint_status(&self) -> EndpointStatus {
        self.endpoints.status().clone()
    }

    /// Returns a sender of events to this driver.
    pub fn sender(&self) -> DriverSender {
        self.sender.clone()
    }

    /// Returns the pool of connections to backends.
    pub fn pool(&self) -> Rc<Pool> {
        self.pool.clone()
    }

    /// Returns the account of the gateway's memory.
    pub fn memory(&self) -> MemoryAccount {
        self.streams.account().clone()
    }

    /// Returns the limits on streamed responses and uploads.
    pub fn streams(&self) -> Rc<StreamLimits> {
        self.streams.clone()
    }

    /// Runs forever. Like the simulator, it runs the engine at most once per tick.
    pub async fn run(mut self) {
        let mut last_run = Instant::now();
        let mut retire = interval(RETIRE_INTERVAL);
        let mut preconnect = interval(PRECONNECT_INTERVAL);
        loop {
            let next_run = self.next_run(last_run);
            let ready_at = self.endpoints.ready_at();
            tokio::select! {
                biased;
                () = wait_until(next_run) => {
                    last_run = Instant::now();
                    self.run_engine();
                }
                () = wait_until(ready_at) => self.endpoints.mark_ready(),
                _ = retire.tick() => self.pool.retire(),
                _ = preconnect.tick(), if self.pool.settings().preconnect => self.preconnect(),
                Some(event) = self.events.recv() => {
                    self.receive(event);
                    while let Ok(event) = self.events.try_recv() {
                        self.receive(event);
                    }
                }
            }
        }
    }

    /// Returns when the engine must run next, or `None` if it has neither events nor timers pending.
    fn next_run(&self, last_run: Instant) -> Option<Instant> {
        let earliest = last_run + self.tick;
        if !self.batch.is_empty() {
            return Some(earliest);
        }
        self.timers.next_at().map(|fires_at| self.clock.instant(fires_at).max(earliest))
    }

    /// Opens connections ahead of demand to backends to which the engine may forward requests.
    fn preconnect(&mut self) {
        let now = self.clock.now();
        let wanting = self.endpoints.backends().filter(|(_, backend)| self.pool.wants_preconnect(backend));
        let chosen = wanting.filter(|(id, _)| self.engine.may_preconnect(now, *id));
        let backends: Vec<Rc<Backend>> = chosen.map(|(_, backend)| backend.clone()).collect();
        self.pool.preconnect(&backends, PRECONNECT_INTERVAL);
    }

    /// Passes the pending events and due timers to the engine, and carries out its actions.
    fn run_engine(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            self.batch.push(Event::TimerFired(timer));
        }
        let mut actions = std::mem::take(&mut self.actions);
        for event in std::mem::take(&mut self.batch) {
            let finishable = finishable_request(&event);
            self.engine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action);
            }
            // The request is removed only after the engine has handled the event, because the engine may forward it
            // again. If it were removed earlier, the end of that attempt would never be reported and the engine would
            // count it as in flight forever.
            if let Some(request) = finishable {
                self.requests.remove_if_finished(request);
            }
        }
        self.actions = actions;
        self.customer_memory.set(self.engine.customer_count() * CUSTOMER_BYTES);
        self.views.watch_breaker(&self.engine);
    }

    /// Handles one event. Events for the engine are queued until its next run.
    fn receive(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::RequestAccepted(accepted) => self.request_accepted(*accepted),
            DriverEvent::ClientDisconnected(request) => self.client_disconnected(request),
            DriverEvent::EndpointsChanged(list) => self.batch.push(self.endpoints.update(list)),
            DriverEvent::CounterAddressChanged(address) => self.counter_calls.set_address(address),
            DriverEvent::CounterReplied { key, sequence, reply, called_at } => {
                self.views.counter_call_ended(reply.outcome, self.clock.now() - called_at);
                let replies = self.counter_calls.resolve(key, sequence, reply);
                let replied = |CounterReply { outcome, total }| Event::CounterReplied { key, outcome, total };
                self.batch.extend(replies.into_iter().map(replied));
            }
            DriverEvent::AttemptEnded { request, attempt, backend, end, elapsed } => {
                self.attempt_ended(EndedAttempt { request, attempt, backend, end, elapsed });
            }
            DriverEvent::UploadCommitted { request, attempt } => {
                if self.requests.awaits_answer(request) {
                    self.batch.push(Event::UploadCommitted { request, attempt });
                }
            }
            DriverEvent::StreamEnded { request, attempt, outcome } => {
                if let Some(result) = self.requests.stream_ended(request, attempt, outcome) {
                    self.report_attempt(result);
                }
            }
            DriverEvent::Inspect { query, reply } => {
                // The send fails if the operator has disconnected; the report is then dropped.
                let _ = reply.send(self.report(query));
            }
        }
    }

    fn request_accepted(&mut self, accepted: AcceptedRequest) {
        let arrival = self.requests.insert(accepted);
        self.batch.push(Event::RequestArrived(arrival));
    }

    fn client_disconnected(&mut self, request: RequestId) {
        if let Some(origin) = self.requests.disconnect(request) {
            self.batch.push(Event::ClientDisconnected(request));
            self.views.request_ended(origin, RequestResult::ClientDisconnected, self.clock.now());
        }
    }

    fn attempt_ended(&mut self, ended: EndedAttempt) {
        let (request, attempt) = (ended.request, ended.attempt);
        let Some(AttemptProgress { served, result }) = self.requests.attempt_ended(ended) else { return };
        if let Some(origin) = served {
            self.views.request_ended(origin, RequestResult::Served, self.clock.now());
        }
        match result {
            Some(result) => self.report_attempt(result),
            None => self.batch.push(Event::ResponseStarted { request, attempt }),
        }
    }

    /// Queues the result of an attempt for the engine's next run.
    fn report_attempt(&mut self, result: AttemptResult) {
        self.views.attempt_ended(result.outcome);
        self.batch.push(Event::AttemptEnded(result));
    }

    fn report(&self, query: AdminQuery) -> AdminReport {
        let state = DriverState {
            engine: &self.engine,
            endpoints: &self.endpoints,
            pool: &self.pool,
            streams: &self.streams,
            open_requests: self.requests.len(),
        };
        self.views.report(query, &state)
    }

    /// Carries out one of the engine's actions.
    fn perform(&mut self, now: Micros, action: Action) {
        match action {
            Action::Forward { request, backend, give_up_at, begin_by } => {
                self.forward(AttemptOrder { request, backend, give_up_at, begin_by, ordered_at: now });
            }
            Action::Reject { request, retry_after } => {
                self.answer(request, FinalAnswer::Rejected(retry_after));
            }
            Action::Fail(request) => self.answer(request, FinalAnswer::Failed),
            Action::CancelAttempt { request, attempt } => self.requests.cancel_attempt(request, attempt),
            Action::AddToCounter { key, amount, lifetime } => {
                self.counter_calls.spawn(CounterCall { key, amount, lifetime, called_at: now });
            }
            Action::SetTimer { timer, delay } => self.timers.set(now + delay, timer),
            // The engine orders no health checks, and the watch on the endpoint list never stops.
            Action::CheckHealth(_) | Action::SubscribeEndpoints | Action::FetchEndpoints => {}
        }
    }

    /// Starts an attempt, unless the request no longer awaits an answer or the backend is no longer in service. In
    /// these cases the attempt is reported as not sent.
    fn forward(&mut self, order: AttemptOrder) {
        let request = order.request;
        let backend = self.endpoints.backend(order.backend);
        let Some(backend) = backend.filter(|_| self.requests.awaits_answer(request)) else {
            if let Some(result) = self.requests.skip_attempt(request, order.backend) {
                self.report_attempt(result);
            }
            return;
        };
        if let Some(started) = self.requests.start_attempt(request) {
            self.attempts.spawn(order, backend, started);
        }
    }

    fn answer(&mut self, request: RequestId, answer: FinalAnswer) {
        let result = match &answer {
            FinalAnswer::Served(_) => RequestResult::Served,
            FinalAnswer::Rejected(_) => RequestResult::Rejected,
            FinalAnswer::Failed => RequestResult::Failed,
        };
        if let Some(origin) = self.requests.answer(request, answer) {
            self.views.request_ended(origin, result, self.clock.now());
        }
    }
}

/// Returns the request that may be finished once the engine has handled this event.
fn finishable_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::ClientDisconnected(request) => Some(*request),
        Event::AttemptEnded(result) => Some(result.request),
        _ => None,
    }
}

/// Completes at `instant`; never completes without one.
async fn wait_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => sleep_until(instant).await,
        None => std::future::pending().await,
    }
}

fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}

#[cfg(test)]
mod tests;
