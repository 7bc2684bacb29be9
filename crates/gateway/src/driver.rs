//! The one owner of the policy engine: it turns what happens on sockets into events, carries out the engine's actions
//! and fires its timers. It translates and never decides.

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
use views::{OperatorViews, Parts};

/// How many events may wait for the driver. Who sends one more waits too.
const MAX_PENDING_EVENTS: usize = 1024;
/// How often idle connections are checked.
const RETIRE_INTERVAL: Duration = Duration::from_secs(1);
/// How often connections are opened ahead of need.
const PRECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest tick. A gateway that calls its engine without pause would only burn its core.
const MIN_TICK: Duration = Duration::from_millis(1);
/// How long a gateway with a saved endpoint list waits for discovery before it is ready.
const WAIT_FOR_DISCOVERY: Duration = Duration::from_secs(1);

/// What a driver is made from.
pub struct Params {
    /// The policy's settings, and the names that it knows by id.
    pub site: Site,
    /// Seeds the engine's random choices.
    pub seed: u64,
    /// The clock of this gateway.
    pub clock: Clock,
    /// The endpoint list that was saved before the start; empty, where there is none.
    pub saved_endpoints: EndpointList,
    /// The counter's address, where there is a counter.
    pub counter_address: Option<SocketAddr>,
    /// How the counter is called.
    pub counter: counter::Params,
    /// The connections to backends.
    pub pool: Rc<Pool>,
    /// The streams of long answers and uploads.
    pub streams: Rc<StreamLimits>,
    /// Whether operators can ask for metrics.
    pub metrics: bool,
}

impl Params {
    /// What a configuration says of the driver, with an empty pool.
    pub fn new(config: Config, clock: Clock) -> Params {
        let counter_timeout = duration(config.site.settings.counter_timeout);
        Params {
            counter: counter::Params {
                timeout: counter_timeout,
                max_connections: config.sockets.counter,
                names: config.names.counter,
            },
            counter_address: config.counter,
            pool: Pool::new(config.pool, config.dial_timeout, config.seed),
            streams: Rc::new(StreamLimits::new(config.streaming, config.memory)),
            metrics: config.admin.is_some(),
            saved_endpoints: config.saved_endpoints,
            seed: config.seed,
            site: config.site,
            clock,
        }
    }
}

/// The driver.
pub struct Driver {
    engine: Engine,
    clock: Clock,
    tick: Duration,
    sender: DriverSender,
    received: mpsc::Receiver<DriverEvent>,
    pool: Rc<Pool>,
    streams: Rc<StreamLimits>,
    requests: RequestTable,
    attempts: AttemptRunner,
    counter_calls: CounterCalls,
    endpoints: Endpoints,
    timers: Timers,
    views: OperatorViews,
    /// Events for the engine's next run.
    batch: Vec<Event>,
    /// Reused between runs of the engine; empty outside of them.
    actions: Vec<Action>,
}

impl Driver {
    /// A driver that has no requests yet, and no endpoint list but a saved one.
    ///
    /// # Errors
    ///
    /// Settings that contradict each other.
    pub fn new(params: Params) -> Result<Driver, ConfigError> {
        let Params { site, seed, clock, saved_endpoints, counter_address, counter, pool, streams, metrics } =
            params;
        let settings = site.settings.clone();
        let metrics = metrics.then(|| Metrics::new(&site));
        let (sender, received) = mpsc::channel(MAX_PENDING_EVENTS);
        let mut endpoints = Endpoints::new(site, pool.clone());
        let mut batch = Vec::new();
        if !saved_endpoints.endpoints.is_empty() {
            // Where the list must be asked for, it may take long until it is this gateway's turn.
            let wait = if settings.endpoint_subscription { Duration::ZERO } else { WAIT_FOR_DISCOVERY };
            batch.push(endpoints.restore(saved_endpoints, wait));
        }
        let attempts =
            AttemptRunner { clock, pool: pool.clone(), streams: streams.clone(), driver: sender.clone() };
        Ok(Driver {
            tick: duration(settings.tick).max(MIN_TICK),
            engine: Engine::new(seed, settings)?,
            clock,
            counter_calls: CounterCalls::new(counter_address, counter, sender.clone()),
            sender,
            received,
            pool,
            streams,
            requests: RequestTable::default(),
            attempts,
            endpoints,
            timers: Timers::default(),
            views: OperatorViews::new(metrics),
            batch,
            actions: Vec::new(),
        })
    }

    /// Shows operators the membership protocol from here on.
    pub fn show_fleet(&mut self, source: impl Fn() -> FleetSnapshot + 'static) {
        self.views.show_fleet(Box::new(source));
    }

    /// Shows operators replication of the fleet document from here on.
    pub fn show_replication(&mut self, source: impl Fn() -> ReplicationMetrics + 'static) {
        self.views.show_replication(Box::new(source));
    }

    /// What other parts of the gateway follow of the endpoint list.
    pub fn endpoint_status(&self) -> EndpointStatus {
        self.endpoints.status().clone()
    }

    /// Sends events to this driver.
    pub fn sender(&self) -> DriverSender {
        self.sender.clone()
    }

    /// The connections to backends.
    pub fn pool(&self) -> Rc<Pool> {
        self.pool.clone()
    }

    /// The streams of long answers and uploads.
    pub fn streams(&self) -> Rc<StreamLimits> {
        self.streams.clone()
    }

    /// Runs for ever. Like the simulator it calls the engine at most once a tick.
    pub async fn run(mut self) {
        let mut last_run = Instant::now();
        let mut retire = interval(RETIRE_INTERVAL);
        let mut preconnect = interval(PRECONNECT_INTERVAL);
        loop {
            let next_run = self.next_run(last_run);
            let ready_at = self.endpoints.ready_at();
            tokio::select! {
                biased;
                () = reached(next_run) => {
                    last_run = Instant::now();
                    self.run_engine();
                }
                () = reached(ready_at) => self.endpoints.become_ready(),
                _ = retire.tick() => self.pool.retire(),
                _ = preconnect.tick(), if self.pool.settings().preconnect => self.preconnect(),
                Some(event) = self.received.recv() => {
                    self.receive(event);
                    while let Ok(event) = self.received.try_recv() {
                        self.receive(event);
                    }
                }
            }
        }
    }

    /// When the engine is to be called next, if there is anything to call it for.
    fn next_run(&self, last_run: Instant) -> Option<Instant> {
        let earliest = last_run + self.tick;
        if !self.batch.is_empty() {
            return Some(earliest);
        }
        self.timers.next_at().map(|fires_at| self.clock.instant(fires_at).max(earliest))
    }

    /// Opens connections ahead of need to backends that the engine may forward to.
    fn preconnect(&mut self) {
        let now = self.clock.now();
        let wanting = self.endpoints.backends().filter(|(_, backend)| self.pool.wants_preconnect(backend));
        let chosen = wanting.filter(|(id, _)| self.engine.may_preconnect(now, *id));
        let backends: Vec<Rc<Backend>> = chosen.map(|(_, backend)| backend.clone()).collect();
        self.pool.preconnect(&backends, PRECONNECT_INTERVAL);
    }

    /// Hands the engine what has happened since its last run, and carries out its actions.
    fn run_engine(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            self.batch.push(Event::TimerFired(timer));
        }
        let mut actions = std::mem::take(&mut self.actions);
        for event in std::mem::take(&mut self.batch) {
            let may_finish = request_that_may_finish(&event);
            self.engine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action);
            }
            // Not before the engine has handled the event, as it may forward once more. Guards against attempts whose
            // end the engine never learns of, so that it counts them as in flight for good.
            if let Some(request) = may_finish {
                self.requests.remove_if_finished(request);
            }
        }
        self.actions = actions;
        self.views.watch_breaker(&self.engine);
    }

    /// Takes in one event; what the engine must know of it waits for its next run.
    fn receive(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::RequestAccepted(accepted) => self.request_accepted(*accepted),
            DriverEvent::ClientDisconnected(request) => self.client_disconnected(request),
            DriverEvent::EndpointsChanged(list) => self.batch.push(self.endpoints.update(list)),
            DriverEvent::CounterMoved(address) => self.counter_calls.move_to(address),
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
                // An operator who has disconnected needs no report.
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

    /// Reports an attempt's end to the engine with its next run.
    fn report_attempt(&mut self, result: AttemptResult) {
        self.views.attempt_ended(result.outcome);
        self.batch.push(Event::AttemptEnded(result));
    }

    fn report(&self, query: AdminQuery) -> AdminReport {
        let parts = Parts {
            engine: &self.engine,
            endpoints: &self.endpoints,
            pool: &self.pool,
            streams: &self.streams,
            open_requests: self.requests.len(),
        };
        self.views.report(query, &parts)
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
            // The engine asks for no health checks, and the watch on the endpoint list never stops.
            Action::CheckHealth(_) | Action::SubscribeEndpoints | Action::FetchEndpoints => {}
        }
    }

    /// Begins an attempt, unless the client has disconnected or the endpoint list changed since the engine's event.
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

/// The request that may be finished once the engine has handled this event.
fn request_that_may_finish(event: &Event) -> Option<RequestId> {
    match event {
        Event::ClientDisconnected(request) => Some(*request),
        Event::AttemptEnded(result) => Some(result.request),
        _ => None,
    }
}

/// Ends at an instant; never, without one.
async fn reached(instant: Option<Instant>) {
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
