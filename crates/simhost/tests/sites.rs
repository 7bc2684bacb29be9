//! Simulates the policy engine with the settings of each site in deploy/sites, with attempts that succeed, fail or are
//! cancelled. Checks that its actions keep the rules on answers, deadlines, retries, hedging and cancellation whatever
//! classes, plans and limits a site has.

use lanespan_policy::*;
use lanespan_settings::{flatten, Fields, Site};
use std::collections::{BTreeMap, BinaryHeap};
use std::path::{Path, PathBuf};

const BACKEND_COUNT: u64 = 12;
const REQUEST_COUNT: u64 = 600;
/// The outcomes of failed attempts. On average one attempt in six fails.
const FAILED_OUTCOMES: [Outcome; 5] = [
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
];

fn site_directories() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    let sites = std::fs::read_dir(directory)
        .expect("deploy/sites exists")
        .map(|entry| entry.expect("the directory is readable").path());
    sites.filter(|path| path.is_dir()).collect()
}

fn load_settings(site: &Path) -> Settings {
    let text = std::fs::read_to_string(site.join("settings.json")).expect("settings.json is readable");
    let mut names = BTreeMap::new();
    flatten("", &serde_json::from_str(&text).expect("settings.json is valid JSON"), &mut names);
    let pairs = names.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let site = Site::read(&Fields { place: "settings".into(), message_type: "settings", pairs });
    site.expect("valid settings").settings
}

struct Attempt {
    backend_id: u64,
    sent_at: u64,
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

struct TrackedRequest {
    class: usize,
    deadline: u64,
    attempts: Vec<Attempt>,
    answer_count: usize,
}

/// A simulation of one engine with its clients, backends and counter. It checks each action against the rules.
struct Simulation {
    settings: Settings,
    engine: Engine,
    rng: fastrand::Rng,
    /// The simulated time, in microseconds.
    now: u64,
    /// The scheduled events as time and serial number. The earliest comes first; of events with equal times, the one
    /// that was scheduled last.
    schedule: BinaryHeap<(std::cmp::Reverse<u64>, u64)>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    requests: BTreeMap<u64, TrackedRequest>,
    counter_totals: BTreeMap<CounterKey, f64>,
    draining: Option<u64>,
}

impl Simulation {
    fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.serial += 1;
        self.schedule.push((std::cmp::Reverse(self.now + delay_us), self.serial));
        self.events.insert(self.serial, event);
    }

    fn endpoint(&self, backend_id: u64, endpoint_state: EndpointState) -> Endpoint {
        let (zone, cell) = (ZoneId((backend_id % 3) as u32), CellId(backend_id / 3));
        Endpoint {
            backend: BackendId(backend_id),
            zone,
            cell,
            state: endpoint_state,
            weight: 1.0,
            started_at: None,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.engine.handle(Micros(self.now), event, &mut actions);
        actions.into_iter().for_each(|action| self.apply_action(action));
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Forward { request: id, backend: backend_id, give_up_at: attempt_deadline, begin_by } => {
                self.forward(id.0, backend_id.0, attempt_deadline.0, begin_by.0)
            }
            Action::Reject { request: id, retry_after: retry_delay } => {
                assert!(
                    retry_delay.is_none() || self.settings.retry_after,
                    "a rejection has a retry delay although the settings forbid it"
                );
                self.record_answer(id.0);
                let tracked = &self.requests[&id.0];
                let ran = tracked.attempts.iter().any(Attempt::may_have_run);
                let class = &self.settings.classes[tracked.class];
                assert!(
                    match class.idempotency {
                        Idempotency::Idempotent => true,
                        Idempotency::Keyed =>
                            !ran || class.deduplication_scope == DeduplicationScope::AllBackends,
                        Idempotency::NonIdempotent => !ran,
                    },
                    "{id:?} was rejected although it may have run"
                );
            }
            Action::Fail(id) => self.record_answer(id.0),
            Action::CancelAttempt { request: id, attempt: attempt_index } => {
                assert!(
                    self.settings.cancellation,
                    "an attempt was cancelled although the settings forbid it"
                );
                let attempt = &self.requests[&id.0].attempts[attempt_index];
                let result =
                    self.attempt_result(id, attempt_index, BackendId(attempt.backend_id), Outcome::Cancelled);
                self.schedule_after(500, Event::AttemptEnded(result));
            }
            Action::AddToCounter { key: counter_key, amount, .. } => {
                let total = self.counter_totals.entry(counter_key).or_default();
                *total += amount;
                let total = *total;
                let (outcome, delay_us) = match self.rng.u32(0..20) {
                    0 => (Outcome::Timeout, self.settings.counter_timeout.0),
                    1 => (Outcome::Rejected, 1_000),
                    _ => (Outcome::Success, 1_500),
                };
                self.schedule_after(delay_us, Event::CounterReplied { key: counter_key, outcome, total });
            }
            Action::SetTimer { timer: id, delay: timer_delay } => {
                self.schedule_after(timer_delay.0, Event::TimerFired(id))
            }
            Action::SubscribeEndpoints => assert!(self.settings.endpoint_subscription),
            Action::CheckHealth(_) | Action::FetchEndpoints => panic!("{action:?}"),
        }
    }

    fn record_answer(&mut self, id: u64) {
        let tracked = self.requests.get_mut(&id).expect("the request has arrived");
        tracked.answer_count += 1;
        assert_eq!(tracked.answer_count, 1, "request {id} was answered twice");
        assert!(
            self.now <= tracked.deadline + self.settings.answer_slack.0,
            "request {id} was answered late"
        );
    }

    fn attempt_result(
        &self,
        id: RequestId,
        attempt: usize,
        backend_id: BackendId,
        outcome: Outcome,
    ) -> AttemptResult {
        let (elapsed_time, answered, report) =
            (Micros(40_000), outcome == Outcome::Success, LoadReport::default());
        AttemptResult {
            request: id,
            attempt,
            backend: backend_id,
            outcome,
            elapsed: elapsed_time,
            request_answered: answered,
            settled_units: None,
            load_report: report,
        }
    }

    fn forward(&mut self, id: u64, backend_id: u64, attempt_deadline: u64, begin_by: u64) {
        let tracked = self.requests.get_mut(&id).expect("the request has arrived");
        let class = &self.settings.classes[tracked.class];
        assert_eq!(tracked.answer_count, 0, "request {id} was forwarded after its answer");
        assert!(
            self.now < tracked.deadline && attempt_deadline <= tracked.deadline,
            "request {id} was forwarded past its deadline"
        );
        assert!(tracked.attempts.len() < self.settings.max_attempts, "request {id} has too many attempts");
        assert!(
            self.draining != Some(backend_id),
            "request {id} was forwarded to draining backend {backend_id}"
        );
        let in_flight = tracked.attempts.iter().any(|a| a.outcome.is_none());
        assert!(
            !in_flight || self.settings.hedging,
            "request {id} was hedged although the settings forbid it"
        );
        for earlier in tracked.attempts.iter().filter(|a| a.may_have_run()) {
            let in_scope = match class.deduplication_scope {
                DeduplicationScope::AllBackends => true,
                DeduplicationScope::Zone => earlier.backend_id % 3 == backend_id % 3,
                DeduplicationScope::Cell => earlier.backend_id / 3 == backend_id / 3,
            };
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("non-idempotent request {id} may run twice"),
                Idempotency::Keyed => {
                    assert!(in_scope, "request {id} was retried outside its deduplication scope");
                    assert!(
                        begin_by < earlier.sent_at + class.deduplication_window.0,
                        "request {id} was retried outside its deduplication window"
                    );
                }
            }
        }
        let attempt_index = tracked.attempts.len();
        tracked.attempts.push(Attempt { backend_id, sent_at: self.now, outcome: None });
        let fails = self.rng.u32(0..6) == 0;
        let outcome =
            if fails { FAILED_OUTCOMES[self.rng.usize(..FAILED_OUTCOMES.len())] } else { Outcome::Success };
        let delay_us = match outcome {
            Outcome::Timeout => attempt_deadline.saturating_sub(self.now),
            _ => self.rng.u64(1_000..200_000).min(attempt_deadline - self.now),
        };
        let result = self.attempt_result(RequestId(id), attempt_index, BackendId(backend_id), outcome);
        self.schedule_after(delay_us, Event::AttemptEnded(result));
    }

    fn step(&mut self) -> bool {
        let Some((std::cmp::Reverse(at), serial)) = self.schedule.pop() else { return false };
        self.now = at;
        let mut event = self.events.remove(&serial).expect("the event is scheduled");
        if let Event::AttemptEnded(result) = &mut event {
            let tracked = self.requests.get_mut(&result.request.0).expect("the request has arrived");
            let attempt = &mut tracked.attempts[result.attempt];
            if attempt.outcome.is_some() {
                return true;
            }
            attempt.outcome = Some(result.outcome);
            if result.outcome == Outcome::Success && tracked.answer_count == 0 {
                tracked.answer_count = 1;
            }
            result.request_answered = tracked.answer_count > 0;
        }
        self.handle_event(event);
        true
    }
}

fn simulate(settings: Settings, seed: u64) {
    let engine = Engine::new(seed, settings.clone()).expect("valid settings");
    let rng = fastrand::Rng::with_seed(seed);
    let (schedule, events, requests) = (BinaryHeap::new(), BTreeMap::new(), BTreeMap::new());
    let (now, counter_totals, draining) = (1_000_000_000, BTreeMap::new(), None);
    let mut simulation = Simulation {
        settings,
        engine,
        rng,
        now,
        schedule,
        events,
        serial: 0,
        requests,
        counter_totals,
        draining,
    };
    let endpoint_list = (0..BACKEND_COUNT)
        .map(|backend_id| simulation.endpoint(backend_id, EndpointState::InService))
        .collect();
    simulation
        .handle_event(Event::EndpointList { scope: EndpointListScope::Complete, endpoints: endpoint_list });
    for id in 1..=REQUEST_COUNT {
        let arrival_time = simulation.now + simulation.rng.u64(0..20_000);
        while simulation.schedule.peek().is_some_and(|(at, _)| at.0 <= arrival_time) {
            simulation.step();
        }
        simulation.now = arrival_time;
        if id % 500 == 0 {
            // One backend starts to drain and the previous one returns to service.
            let restored = simulation
                .draining
                .replace(id / 500)
                .map(|restored| simulation.endpoint(restored, EndpointState::InService));
            let draining_endpoint = simulation.endpoint(id / 500, EndpointState::Draining);
            simulation.handle_event(Event::EndpointList {
                scope: EndpointListScope::Changes,
                endpoints: restored.into_iter().chain([draining_endpoint]).collect(),
            });
        }
        let class = simulation.rng.usize(..simulation.settings.classes.len());
        let plan = PlanId(simulation.rng.usize(..simulation.settings.plans.len()));
        let deadline = simulation.now + simulation.settings.classes[class].deadline.0;
        let tracked = TrackedRequest { class, deadline, attempts: Vec::new(), answer_count: 0 };
        simulation.requests.insert(id, tracked);
        let customer = CustomerId(simulation.rng.u64(0..300) * 7 + plan.0 as u64);
        let units = 1.0 + simulation.rng.u64(..simulation.settings.max_request_units as u64) as f64;
        let spread = 1 + simulation.rng.u32(..simulation.settings.gateway_count);
        let (id, class) = (RequestId(id), ClassId(class));
        let deadline = Micros(deadline);
        let arrival = Arrival {
            request: id,
            class,
            plan,
            customer,
            gateway_spread: spread,
            deadline,
            units,
            ..Arrival::default()
        };
        simulation.handle_event(Event::RequestArrived(arrival));
        if id.0 % 40 == 0 && simulation.requests[&id.0].answer_count == 0 {
            // The client disconnects, whatever the state of its request.
            simulation.requests.get_mut(&id.0).expect("the request has arrived").answer_count = 1;
            simulation.handle_event(Event::ClientDisconnected(id));
        }
    }
    let end_time =
        simulation.now + simulation.settings.classes.iter().map(|class| class.deadline.0).max().unwrap_or(0);
    while simulation.now <= end_time && simulation.step() {}
    let unanswered: Vec<_> = simulation
        .requests
        .iter()
        .filter(|(_, tracked)| tracked.answer_count != 1)
        .map(|(id, _)| *id)
        .collect();
    assert!(unanswered.is_empty(), "requests without exactly one answer: {unanswered:?}");
    let attempt_count: usize = simulation.requests.values().map(|tracked| tracked.attempts.len()).sum();
    assert!(
        attempt_count > REQUEST_COUNT as usize / 10,
        "too few attempts for a meaningful simulation: {attempt_count}"
    );
}

#[test]
fn engine_keeps_the_request_rules_with_each_sites_settings() {
    let sites = site_directories();
    assert!(sites.len() >= 2, "{sites:?}");
    for site in sites {
        for seed in 0..4 {
            println!("{}, seed {seed}", site.display());
            simulate(load_settings(&site), seed);
        }
    }
}

#[test]
fn sites_cover_different_features() {
    let site_settings: Vec<Settings> = site_directories().iter().map(|site| load_settings(site)).collect();
    let some_but_not_all = |predicate: &dyn Fn(&Settings) -> bool| {
        site_settings.iter().any(predicate) && !site_settings.iter().all(predicate)
    };
    let any_class = |predicate: fn(&RequestClass) -> bool| {
        move |settings: &Settings| settings.classes.iter().any(predicate)
    };
    assert!(
        some_but_not_all(&|settings| settings.endpoint_subscription)
            && some_but_not_all(&|settings| settings.cancellation)
    );
    assert!(some_but_not_all(&any_class(|c| c.idempotency == Idempotency::NonIdempotent)));
    assert!(some_but_not_all(&any_class(
        |c| c.idempotency == Idempotency::Keyed && c.deduplication_scope == DeduplicationScope::Cell
    )));
    assert!(some_but_not_all(&any_class(
        |c| c.idempotency == Idempotency::Keyed && c.deduplication_scope == DeduplicationScope::Zone
    )));
    assert!(some_but_not_all(&|settings| settings.plans.iter().any(|plan| plan.max_concurrent > 0.0)));
}
