//! Event-driven simulation of gateways, clients, backends, a counter and an endpoint list under one virtual clock.

use crate::backends::Backend;
use crate::counter::Counter;
use crate::scenarios::Scenario;
use crate::trace::{self, Trace};
use lanespan_policy::{
    Action, Arrival, AttemptResult, BackendId, ClassId, CounterKey, CustomerId, Endpoint, EndpointListScope,
    EndpointState, Engine, Event, LoadReport, Micros, Outcome, PlanId, QuotaPlan, RequestId, Settings,
    TimerId, ZoneId,
};
use std::collections::BTreeMap;

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const START: u64 = 1_000 * SECOND;
/// Time after the last arrival for attempts and timers to finish.
const DRAIN_TIME: u64 = 8 * SECOND;
const SNAPSHOT_INTERVAL: u64 = 400 * MILLISECOND;

/// A client's request, kept for retries.
#[derive(Clone)]
struct ClientRequest {
    customer: u64,
    class: usize,
    units: f64,
    tries: u32,
}

struct OpenRequest {
    client_request: ClientRequest,
    arrived: u64,
    attempts: usize,
    answered: bool,
}

struct AttemptInFlight {
    backend: u64,
    sent: u64,
    give_up_at: u64,
    outcome: Outcome,
    ends: u64,
    /// Whether the transfer has started or the attempt was cancelled, so that the give-up time no longer applies.
    committed: bool,
}

type AttemptKey = (usize, u64, usize);

enum SimulationEvent {
    Arrivals,
    Retry(usize, ClientRequest),
    Deliver(usize, u32, Event),
    AttemptEnds(AttemptKey, u64),
    ResponseStarts(AttemptKey),
    UploadCommits(AttemptKey),
    ClientDisconnects(usize, u64),
    EverySecond,
    TakeSnapshots,
    BackendReturns(usize, bool),
    BackendRemoved(usize),
}

struct Gateway {
    engine: Engine,
    incarnation: u32,
    subscribed: bool,
    open: BTreeMap<u64, OpenRequest>,
}

pub struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: fastrand::Rng,
    now: u64,
    serial: u64,
    schedule_queue: BTreeMap<(u64, u64), SimulationEvent>,
    gateways: Vec<Gateway>,
    backends: Vec<Backend>,
    counter: Counter,
    in_flight: BTreeMap<AttemptKey, AttemptInFlight>,
    next_request: u64,
    pub trace: Trace,
    pub events: u64,
}

impl<'a> Simulation<'a> {
    pub fn new(scenario: &'a Scenario, seed: u64, trace: Trace) -> Simulation<'a> {
        let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(0x5851_f42d_4c95_7f2d) ^ 0x1234_5678);
        let backends =
            (0..scenario.backends).map(|number| Backend::new(number, scenario, &mut rng)).collect();
        let mut simulation = Simulation {
            scenario,
            now: START,
            serial: 0,
            schedule_queue: BTreeMap::new(),
            gateways: Vec::new(),
            backends,
            counter: Counter::new(scenario.counter.clone()),
            in_flight: BTreeMap::new(),
            next_request: 1,
            trace,
            events: 0,
            rng,
        };
        simulation.check_settings();
        for number in 0..scenario.gateways {
            let gateway = simulation.start_gateway(number, 0);
            simulation.gateways.push(gateway);
            simulation.send_list(number as usize, EndpointListScope::Complete);
        }
        simulation.schedule(0, SimulationEvent::Arrivals);
        simulation.schedule(SECOND / 2, SimulationEvent::EverySecond);
        simulation.schedule(SNAPSHOT_INTERVAL, SimulationEvent::TakeSnapshots);
        simulation
    }

    fn start_gateway(&mut self, number: u32, incarnation: u32) -> Gateway {
        let settings = &self.scenario.settings;
        let gateway_index = number * (settings.gateway_count / self.scenario.gateways).max(1);
        let zone = ZoneId(number % 3);
        let settings = Settings { gateway_index, zone, ..settings.clone() };
        let engine = Engine::new(self.rng.u64(..), settings).expect("valid settings");
        Gateway { engine, incarnation, subscribed: false, open: BTreeMap::new() }
    }

    /// Records which settings are valid.
    fn check_settings(&mut self) {
        let valid = &self.scenario.settings;
        let mut negative_weight = valid.classes[0].clone();
        negative_weight.priority_weight = -1.0;
        let mut without_deadline = valid.classes[0].clone();
        without_deadline.deadline = Micros(0);
        let without_burst = QuotaPlan { rate: 1.0, burst: 0.0, ..valid.plans[0].clone() };
        let ceiling_without_burst =
            QuotaPlan { ceiling_rate: 1.0, ceiling_burst: 0.0, ..valid.plans[0].clone() };
        let negative_concurrency = QuotaPlan { max_concurrent: -1.0, ..valid.plans[0].clone() };
        let infinite_cost = QuotaPlan { over_quota_cost: f64::INFINITY, ..valid.plans[0].clone() };
        let cases = [
            valid.clone(),
            Settings { gateway_count: 0, ..valid.clone() },
            Settings { gateway_index: valid.gateway_count, ..valid.clone() },
            Settings { max_attempts: 0, ..valid.clone() },
            Settings { cold_capacity_share: -0.1, ..valid.clone() },
            Settings { overload_multiple: f64::NAN, ..valid.clone() },
            Settings { max_request_units: -1.0, ..valid.clone() },
            Settings { classes: vec![negative_weight], ..valid.clone() },
            Settings { classes: vec![without_deadline], ..valid.clone() },
            Settings { plans: vec![without_burst], ..valid.clone() },
            Settings { plans: vec![ceiling_without_burst], ..valid.clone() },
            Settings { plans: vec![negative_concurrency], ..valid.clone() },
            Settings { plans: vec![infinite_cost], ..valid.clone() },
        ];
        let mut line = vec![trace::SETTINGS_CHECK];
        line.extend(cases.iter().map(|settings| u64::from(settings.check().is_ok())));
        line.extend(cases.map(|settings| u64::from(Engine::new(1, settings).is_ok())));
        self.trace.record(&line);
    }

    fn schedule(&mut self, after: u64, simulation_event: SimulationEvent) {
        self.serial += 1;
        self.schedule_queue.insert((self.now + after, self.serial), simulation_event);
    }

    /// Delivers an event to a gateway after a delay, unless the gateway restarts in between.
    fn deliver(&mut self, gateway: usize, after: u64, event: Event) {
        let incarnation = self.gateways[gateway].incarnation;
        self.schedule(after, SimulationEvent::Deliver(gateway, incarnation, event));
    }

    fn arrivals_end(&self) -> u64 {
        START + self.scenario.seconds * SECOND
    }

    pub fn run(&mut self) {
        while let Some(((at, _), simulation_event)) = self.schedule_queue.pop_first() {
            if at > self.arrivals_end() + DRAIN_TIME {
                return;
            }
            self.now = at;
            self.dispatch(simulation_event);
        }
    }

    fn dispatch(&mut self, simulation_event: SimulationEvent) {
        match simulation_event {
            SimulationEvent::Arrivals => self.arrivals(),
            SimulationEvent::Retry(gateway, client_request) => self.arrive(gateway, client_request),
            SimulationEvent::Deliver(gateway, incarnation, event) => {
                if self.gateways[gateway].incarnation == incarnation {
                    self.handle(gateway, event);
                }
            }
            SimulationEvent::AttemptEnds(key, ends) => self.attempt_ends(key, ends),
            SimulationEvent::ResponseStarts(key) => self.response_starts(key),
            SimulationEvent::UploadCommits(key) => self.upload_commits(key),
            SimulationEvent::ClientDisconnects(gateway, request) => self.client_disconnects(gateway, request),
            SimulationEvent::EverySecond => self.every_second(),
            SimulationEvent::TakeSnapshots => self.take_snapshots(),
            SimulationEvent::BackendReturns(backend, with_start) => self.backend_returns(backend, with_start),
            SimulationEvent::BackendRemoved(backend) => self.set_state(backend, EndpointState::Removed),
        }
    }

    /// Delivers one event to a gateway, then records and executes its actions.
    fn handle(&mut self, gateway: usize, event: Event) {
        self.events += 1;
        let clock_skew = if self.rng.u32(0..200) == 0 { self.rng.u64(0..3_000) } else { 0 };
        let mut actions = Vec::new();
        self.gateways[gateway].engine.handle(Micros(self.now - clock_skew), event, &mut actions);
        for action in actions {
            let mut line = vec![self.now, gateway as u64];
            line.extend(trace::encode(&action));
            self.trace.record(&line);
            self.execute(gateway, action);
        }
    }

    fn execute(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Forward { request, backend, give_up_at, begin_by } => {
                self.send(gateway, request, backend, give_up_at.0, begin_by.0);
            }
            Action::Reject { request, retry_after } => {
                self.answered(
                    gateway,
                    request,
                    retry_after.map(|retry_after| retry_after.0),
                    self.scenario.client_retries,
                );
            }
            Action::Fail(request) => {
                self.answered(gateway, request, None, self.scenario.client_retries / 2.0)
            }
            Action::CancelAttempt { request, attempt } => self.cancel((gateway, request.0, attempt)),
            Action::CheckHealth(backend) => {
                self.deliver(
                    gateway,
                    1_000,
                    Event::HealthChecked {
                        backend,
                        outcome: Outcome::Success,
                        load_report: LoadReport::default(),
                    },
                );
            }
            Action::AddToCounter { key, amount, lifetime } => {
                let timeout = self.scenario.settings.counter_timeout.0;
                let reply = self.counter.call(self.now, (key, amount, lifetime.0), timeout, &mut self.rng);
                self.deliver(
                    gateway,
                    reply.after,
                    Event::CounterReplied { key, outcome: reply.outcome, total: reply.total },
                );
            }
            Action::SetTimer { timer, delay } => {
                let timer_delay = if self.rng.u32(0..10) == 0 { self.scenario.settings.tick.0 } else { 0 };
                self.deliver(gateway, delay.0 + timer_delay, Event::TimerFired(timer));
            }
            Action::SubscribeEndpoints => {
                self.gateways[gateway].subscribed = true;
                self.send_list(gateway, EndpointListScope::Complete);
            }
            Action::FetchEndpoints => self.send_list(gateway, EndpointListScope::Complete),
        }
    }
}

/// Client requests and retries.
impl Simulation<'_> {
    fn arrivals(&mut self) {
        let gap = (self.rng.f64() * 2.0 * 1e6 / self.scenario.requests_per_second) as u64;
        if self.now + gap < self.arrivals_end() {
            self.schedule(gap.max(1), SimulationEvent::Arrivals);
        }
        let sample = self.rng.f64();
        let busiest = (self.now / (4 * SECOND)) * 5; // The busiest customers change every four seconds.
        let customer =
            (busiest + (sample * sample * self.scenario.customers as f64) as u64) % self.scenario.customers;
        let class = self.rng.usize(0..self.scenario.settings.classes.len());
        let units = [0.0, 0.5, 1.0, 1.0, 1.0, 1.0, 2.0, 4.0][self.rng.usize(0..8)];
        let gateway = self.gateway_for(customer);
        self.arrive(gateway, ClientRequest { customer, class, units, tries: 0 });
    }

    fn spread(&self, customer: u64) -> u32 {
        self.scenario.spreads[(customer / 3) as usize % self.scenario.spreads.len()]
    }

    fn gateway_for(&mut self, customer: u64) -> usize {
        let spread = u64::from(self.spread(customer).min(self.scenario.gateways));
        ((customer * 7 + self.rng.u64(0..spread)) % u64::from(self.scenario.gateways)) as usize
    }

    fn arrive(&mut self, gateway: usize, client_request: ClientRequest) {
        let request = self.next_request;
        self.next_request += 1;
        let settings = &self.scenario.settings;
        let deadline = settings.classes[client_request.class].deadline.0;
        let plan = (client_request.customer % settings.plans.len() as u64) as usize;
        let (class_count, plan_count) = (settings.classes.len(), settings.plans.len());
        let spread = if self.rng.u32(0..50) == 0 { 0 } else { self.spread(client_request.customer) };
        let known_active = if self.rng.u32(0..3) == 0 { self.rng.u32(0..spread + 1) } else { 0 };
        let time_left = match self.rng.u32(0..30) {
            0 => self.rng.u64(0..deadline),
            1 => 2 * deadline,
            _ => deadline,
        };
        let (class, plan) = match self.rng.u32(0..2_000) {
            0 => (class_count, plan),
            1 => (client_request.class, plan_count),
            _ => (client_request.class, plan),
        };
        let is_marked_retry = client_request.tries > 0 && self.scenario.retries_marked;
        let arrival = Arrival {
            request: RequestId(request),
            class: ClassId(class),
            plan: PlanId(plan),
            customer: CustomerId(client_request.customer * 1_000_003),
            gateway_spread: spread,
            active_gateways: known_active,
            deadline: Micros(self.now + time_left),
            units: client_request.units,
            is_client_retry: is_marked_retry,
        };
        if self.rng.f64() < self.scenario.client_disconnects {
            let after = self.rng.u64(0..deadline);
            self.schedule(after, SimulationEvent::ClientDisconnects(gateway, request));
        }
        let open = OpenRequest { client_request, arrived: self.now, attempts: 0, answered: false };
        self.gateways[gateway].open.insert(request, open);
        self.handle(gateway, Event::RequestArrived(arrival));
    }

    fn answered(&mut self, gateway: usize, request: RequestId, retry_after: Option<u64>, retries: f64) {
        let Some(open) = self.gateways[gateway].open.get_mut(&request.0) else { return };
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        let client_request =
            ClientRequest { tries: open.client_request.tries + 1, ..open.client_request.clone() };
        if client_request.tries > 4 || self.rng.f64() >= retries {
            return;
        }
        let pause = self.rng.u64(10..900) * MILLISECOND;
        let after = retry_after.filter(|_| self.rng.bool()).unwrap_or(pause);
        let retry_gateway = self.gateway_for(client_request.customer);
        self.schedule(after, SimulationEvent::Retry(retry_gateway, client_request));
    }

    fn client_disconnects(&mut self, gateway: usize, request: u64) {
        if let Some(open) = self.gateways[gateway].open.get_mut(&request) {
            open.answered = true;
        }
        self.handle(gateway, Event::ClientDisconnected(RequestId(request)));
    }
}

/// Attempts at backends.
impl Simulation<'_> {
    fn send(&mut self, gateway: usize, request: RequestId, backend: BackendId, give_up: u64, begin_by: u64) {
        let Some(open) = self.gateways[gateway].open.get_mut(&request.0) else { return };
        let (attempt, class) = (open.attempts, open.client_request.class);
        open.attempts += 1;
        let key = (gateway, request.0, attempt);
        let model = &mut self.backends[backend.0 as usize];
        let planned_end = model.draw_attempt(self.now, &self.scenario.settings, &mut self.rng);
        model.in_flight += 1;
        let connect = if self.rng.u32(0..40) == 0 { self.rng.u64(0..700) * MILLISECOND } else { 0 };
        let mut active = AttemptInFlight {
            backend: backend.0,
            sent: self.now,
            give_up_at: give_up,
            outcome: planned_end.outcome,
            ends: self.now.saturating_add(connect + planned_end.after),
            committed: false,
        };
        if self.now + connect > begin_by {
            (active.outcome, active.ends) = (Outcome::NotSent, begin_by.max(self.now + 1));
        } else if planned_end.outcome == Outcome::Success {
            let streams =
                self.scenario.settings.classes[class].streaming || self.rng.f64() < self.scenario.streams;
            let starts = planned_end.after + connect;
            if streams && self.now + starts < give_up {
                self.schedule(starts, SimulationEvent::ResponseStarts(key));
                active.ends += self.rng.u64(100..6_000) * MILLISECOND;
                active.outcome =
                    if self.rng.u32(0..8) == 0 { Outcome::ConnectionReset } else { Outcome::Success };
            } else if self.rng.f64() < self.scenario.uploads {
                self.schedule(starts / 2, SimulationEvent::UploadCommits(key));
                active.ends += self.rng.u64(100..5_000) * MILLISECOND;
            }
        }
        self.schedule_end(key, active);
    }

    /// Schedules the end of an attempt, which replaces any earlier schedule.
    fn schedule_end(&mut self, key: AttemptKey, mut active: AttemptInFlight) {
        if active.ends > active.give_up_at && !active.committed {
            (active.outcome, active.ends) = (Outcome::Timeout, active.give_up_at.max(self.now + 1));
        }
        self.schedule(active.ends - self.now, SimulationEvent::AttemptEnds(key, active.ends));
        self.in_flight.insert(key, active);
    }

    fn response_starts(&mut self, key: AttemptKey) {
        self.commit(key, Event::ResponseStarted { request: RequestId(key.1), attempt: key.2 });
    }

    fn upload_commits(&mut self, key: AttemptKey) {
        self.commit(key, Event::UploadCommitted { request: RequestId(key.1), attempt: key.2 });
    }

    /// Commits a transfer, which from now on ends by itself instead of timing out.
    fn commit(&mut self, key: AttemptKey, event: Event) {
        let remaining = self.rng.u64(50..4_000) * MILLISECOND;
        let Some(mut active) = self.in_flight.remove(&key) else { return };
        if active.outcome == Outcome::Timeout {
            active.outcome = Outcome::Success;
            active.ends = self.now + remaining;
        }
        active.committed = true;
        self.schedule_end(key, active);
        self.handle(key.0, event);
    }

    fn cancel(&mut self, key: AttemptKey) {
        let Some(mut active) = self.in_flight.remove(&key) else { return };
        let completes_first = self.rng.u32(0..20) == 0;
        active.outcome = if completes_first { Outcome::Success } else { Outcome::Cancelled };
        active.ends = self.now + self.rng.u64(200..2_000);
        active.committed = true;
        self.schedule_end(key, active);
    }

    fn attempt_ends(&mut self, key: AttemptKey, ends: u64) {
        let Some(active) = self.in_flight.get(&key).filter(|active| active.ends == ends) else { return };
        let (backend, outcome, elapsed) = (active.backend, active.outcome, self.now - active.sent);
        self.in_flight.remove(&key);
        let model = &mut self.backends[backend as usize];
        model.in_flight = model.in_flight.saturating_sub(1);
        let reported = outcome != Outcome::ConnectFailed && self.rng.f64() < self.scenario.load_reports;
        let settings = &self.scenario.settings;
        let report = if reported {
            model.load_report(self.now, settings, &mut self.rng)
        } else {
            LoadReport::default()
        };
        let Some(open) = self.gateways[key.0].open.get_mut(&key.1) else { return };
        let ended = open.answered || outcome == Outcome::Success;
        open.answered = ended;
        let settles = outcome == Outcome::Success && self.rng.f64() < self.scenario.settled_units;
        let settled_amount = settles.then(|| open.client_request.units * (0.2 + 1.6 * self.rng.f64()));
        let end = AttemptResult {
            request: RequestId(key.1),
            attempt: key.2,
            backend: BackendId(backend),
            outcome,
            elapsed: Micros(elapsed),
            request_answered: ended,
            settled_units: settled_amount,
            load_report: report,
        };
        let is_repeated = self.rng.u32(0..100) == 0;
        let repeated = is_repeated.then(|| end.clone());
        self.handle(key.0, Event::AttemptEnded(end));
        repeated.into_iter().for_each(|end| self.deliver_unexpected_event(key.0, end));
    }

    /// Delivers an outdated or unexpected event, for example a repeated attempt end or one of another backend or
    /// attempt.
    fn deliver_unexpected_event(&mut self, gateway: usize, end: AttemptResult) {
        let (request, attempt) = (end.request, end.attempt);
        let events = [
            Event::AttemptEnded(AttemptResult { backend: BackendId(end.backend.0 + 1), ..end.clone() }),
            Event::AttemptEnded(AttemptResult { attempt: attempt + 7, ..end.clone() }),
            Event::AttemptEnded(end.clone()),
            Event::ResponseStarted { request, attempt: attempt + 3 },
            Event::UploadCommitted { request: RequestId(u64::MAX), attempt: 0 },
            Event::TimerFired(TimerId(u64::MAX)),
            Event::CounterReplied { key: CounterKey(5), outcome: Outcome::Success, total: 3.0 },
            Event::HealthChecked {
                backend: end.backend,
                outcome: Outcome::ServerError,
                load_report: end.load_report,
            },
            Event::ClientDisconnected(request),
        ];
        let number = self.rng.usize(0..events.len());
        if let Some(open) = self.gateways[gateway].open.get_mut(&request.0).filter(|_| number == 8) {
            open.answered = true;
        }
        let event = events.into_iter().nth(number).expect("the index is in range");
        self.handle(gateway, event);
    }
}

/// The endpoint list, faults and restarts.
impl Simulation<'_> {
    fn every_second(&mut self) {
        if self.now + SECOND < self.arrivals_end() {
            self.schedule(SECOND, SimulationEvent::EverySecond);
        }
        if self.rng.f64() < self.scenario.faults {
            let backend = self.rng.usize(0..self.backends.len());
            self.backends[backend].begin_fault(self.now, &mut self.rng);
        }
        if self.rng.f64() < self.scenario.list_changes {
            self.change_list();
        }
        if self.rng.f64() < self.scenario.lost_subscriptions {
            let gateway = self.rng.usize(0..self.gateways.len());
            self.gateways[gateway].subscribed = false;
            self.deliver(
                gateway,
                1,
                Event::EndpointList { scope: EndpointListScope::Unavailable, endpoints: Vec::new() },
            );
        }
        if self.rng.f64() < self.scenario.gateway_restarts {
            let gateway = self.rng.usize(0..self.gateways.len());
            self.restart_gateway(gateway);
        }
        // Drops requests that arrived more than 60 s ago.
        let oldest = self.now - 60 * SECOND;
        for gateway in &mut self.gateways {
            gateway.open.retain(|_, open| open.arrived > oldest);
        }
    }

    fn restart_gateway(&mut self, gateway: usize) {
        let incarnation = self.gateways[gateway].incarnation + 1;
        self.gateways[gateway] = self.start_gateway(gateway as u32, incarnation);
        self.in_flight.retain(|key, _| key.0 != gateway);
        self.send_list(gateway, EndpointListScope::Complete);
    }

    fn change_list(&mut self) {
        let backend = self.rng.usize(0..self.backends.len());
        match self.rng.u32(0..9) {
            0..=3 => {
                self.set_state(backend, EndpointState::Draining);
                let drained = self.rng.u64(50..2_500) * MILLISECOND;
                let back = drained + self.rng.u64(50..3_000) * MILLISECOND;
                self.schedule(drained, SimulationEvent::BackendRemoved(backend));
                self.schedule(back, SimulationEvent::BackendReturns(backend, true));
            }
            4 => {
                // Restarts without draining; the list reports the restart once the backend is back, or never.
                let downtime = self.rng.u64(300..4_000) * MILLISECOND;
                self.backends[backend].restart(self.now, downtime);
                if self.rng.bool() {
                    self.schedule(downtime, SimulationEvent::BackendReturns(backend, true));
                }
            }
            5 => {
                self.backends[backend].change_weight_and_zone(&mut self.rng);
                self.announce(backend);
            }
            6 => {
                // Takes all backends out of service for a moment.
                for backend in 0..self.backends.len() {
                    let back = self.rng.u64(100..900) * MILLISECOND;
                    self.set_state(backend, EndpointState::Draining);
                    self.schedule(back, SimulationEvent::BackendReturns(backend, false));
                }
            }
            7 => {
                let future = self.now + self.rng.u64(0..2_000) * MILLISECOND;
                self.backends[backend].listed_start = Some(future);
                self.announce(backend);
            }
            _ => {
                let gateway = self.rng.usize(0..self.gateways.len());
                self.send_list(gateway, EndpointListScope::Complete);
            }
        }
    }

    fn set_state(&mut self, backend: usize, state: EndpointState) {
        self.backends[backend].state = state;
        self.announce(backend);
    }

    fn backend_returns(&mut self, backend: usize, with_start: bool) {
        if with_start {
            self.backends[backend].warm_up_start = self.now;
            self.backends[backend].listed_start = Some(self.now);
        }
        self.set_state(backend, EndpointState::InService);
    }

    /// Sends one backend's entry to every gateway that receives changes, and the complete list to some of them.
    fn announce(&mut self, backend: usize) {
        let entry = self.backends[backend].endpoint();
        for gateway in 0..self.gateways.len() {
            let is_unsubscribed =
                self.scenario.settings.endpoint_subscription && !self.gateways[gateway].subscribed;
            if is_unsubscribed {
                continue;
            }
            if self.rng.u32(0..12) == 0 {
                self.send_list(gateway, EndpointListScope::Complete);
                continue;
            }
            let delay = self.rng.u64(1..300) * MILLISECOND;
            self.deliver(
                gateway,
                delay,
                Event::EndpointList { scope: EndpointListScope::Changes, endpoints: vec![entry.clone()] },
            );
        }
    }

    fn send_list(&mut self, gateway: usize, scope: EndpointListScope) {
        let mut entries: Vec<Endpoint> = self.backends.iter().map(Backend::endpoint).collect();
        entries.retain(|entry| entry.state != EndpointState::Removed);
        let delay = self.rng.u64(1..20) * MILLISECOND;
        self.deliver(gateway, delay, Event::EndpointList { scope, endpoints: entries });
    }
}

/// Snapshots of the gateways.
impl Simulation<'_> {
    fn take_snapshots(&mut self) {
        if self.now + SNAPSHOT_INTERVAL < self.arrivals_end() + DRAIN_TIME {
            self.schedule(SNAPSHOT_INTERVAL, SimulationEvent::TakeSnapshots);
        }
        let gateway = self.rng.usize(0..self.gateways.len());
        for _ in 0..3 {
            let backend = self.rng.u64(0..self.backends.len() as u64 + 1);
            let engine = &mut self.gateways[gateway].engine;
            let may_preconnect = engine.may_preconnect(Micros(self.now), BackendId(backend));
            self.trace.record(&[trace::PRECONNECT, gateway as u64, backend, u64::from(may_preconnect)]);
        }
        let engine = &self.gateways[gateway].engine;
        self.trace.record(&[trace::TRACKED_ITEMS, self.now, engine.tracked_items() as u64]);
        let snapshot = engine.snapshot();
        self.trace.record(&[
            trace::SNAPSHOT,
            u64::from(snapshot.breaker_open),
            snapshot.counter_query_share.to_bits(),
            snapshot.admitted_share.to_bits(),
            snapshot.customers as u64,
            snapshot.requests as u64,
            snapshot.waiting_requests as u64,
        ]);
        for backend in engine.backend_snapshots() {
            self.trace.record(&[
                trace::BACKEND_SNAPSHOT,
                backend.backend.0,
                u64::from(backend.in_service),
                backend.in_flight.to_bits(),
                backend.streams.to_bits(),
                backend.concurrency_limit.to_bits(),
                backend.failure_share.to_bits(),
                backend.latency.0,
                u64::from(backend.ejected),
                u64::from(backend.warming_up),
            ]);
        }
    }
}
