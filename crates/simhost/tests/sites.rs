//! The settings of each deployment in deploy/sites, played through the decision module with every end that an
//! attempt can have: the rules hold whatever classes, plans and bounds a deployment has.

use lanespan_policy::*;
use lanespan_settings::{flatten, Fields, Site};
use std::collections::{BTreeMap, BinaryHeap};
use std::path::{Path, PathBuf};

const SERVERS: u64 = 12;
const REQUESTS: u64 = 600;
/// How attempts end that are not served: one in six.
const BAD_ENDS: [Outcome; 5] = [
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
];

fn sites() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    let sites = std::fs::read_dir(folder).expect("the folder").map(|entry| entry.expect("an entry").path());
    sites.filter(|path| path.is_dir()).collect()
}

fn settings(site: &Path) -> Settings {
    let text = std::fs::read_to_string(site.join("settings.json")).expect("settings");
    let mut names = BTreeMap::new();
    flatten("", &serde_json::from_str(&text).expect("JSON"), &mut names);
    let pairs = names.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let site = Site::read(&Fields { place: "settings".into(), message_type: "settings", pairs });
    site.expect("sound settings").settings
}

struct Attempt {
    server: u64,
    sent: u64,
    ended: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|outcome| !outcome.never_ran())
    }
}

struct Open {
    class: usize,
    deadline: u64,
    attempts: Vec<Attempt>,
    finals: usize,
}

/// A gateway, the world round it, and what the rules say of each action.
struct World {
    set: Settings,
    gateway: Engine,
    rng: fastrand::Rng,
    now: u64,
    /// What happens next, by its time (negated) and number.
    coming: BinaryHeap<(std::cmp::Reverse<u64>, u64)>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    requests: BTreeMap<u64, Open>,
    totals: BTreeMap<CounterKey, f64>,
    draining: Option<u64>,
}

impl World {
    fn later(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.coming.push((std::cmp::Reverse(self.now + after), self.serial));
        self.events.insert(self.serial, event);
    }

    fn entry(&self, server: u64, listed: EndpointState) -> Endpoint {
        let (zone, cell) = (ZoneId((server % 3) as u32), CellId(server / 3));
        Endpoint { backend: BackendId(server), zone, cell, state: listed, weight: 1.0, started_at: None }
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.gateway.handle(Micros(self.now), event, &mut out);
        out.into_iter().for_each(|action| self.act(action));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Forward { request: id, backend: server, give_up_at: until, begin_by } => {
                self.send(id.0, server.0, until.0, begin_by.0)
            }
            Action::Reject { request: id, retry_after: wait } => {
                assert!(wait.is_none() || self.set.retry_after, "advice where none is allowed");
                self.end(id.0);
                let open = &self.requests[&id.0];
                let ran = open.attempts.iter().any(Attempt::may_have_run);
                let class = &self.set.classes[open.class];
                assert!(
                    match class.idempotency {
                        Idempotency::Idempotent => true,
                        Idempotency::Keyed =>
                            !ran || class.deduplication_scope == DeduplicationScope::AllBackends,
                        Idempotency::NonIdempotent => !ran,
                    },
                    "refused though it may have run: {id:?}"
                );
            }
            Action::Fail(id) => self.end(id.0),
            Action::CancelAttempt { request: id, attempt: number } => {
                assert!(self.set.cancellation, "called off where that is not allowed");
                let attempt = &self.requests[&id.0].attempts[number];
                let end = self.attempt_end(id, number, BackendId(attempt.server), Outcome::Cancelled);
                self.later(500, Event::AttemptEnded(end));
            }
            Action::AddToCounter { key: name, amount, .. } => {
                let total = self.totals.entry(name).or_default();
                *total += amount;
                let total = *total;
                let (outcome, after) = match self.rng.u32(0..20) {
                    0 => (Outcome::Timeout, self.set.counter_timeout.0),
                    1 => (Outcome::Rejected, 1_000),
                    _ => (Outcome::Success, 1_500),
                };
                self.later(after, Event::CounterReplied { key: name, outcome, total });
            }
            Action::SetTimer { timer: id, delay: after } => self.later(after.0, Event::TimerFired(id)),
            Action::SubscribeEndpoints => assert!(self.set.endpoint_subscription),
            Action::CheckHealth(_) | Action::FetchEndpoints => panic!("{action:?}"),
        }
    }

    fn end(&mut self, id: u64) {
        let open = self.requests.get_mut(&id).expect("a request that was told");
        open.finals += 1;
        assert_eq!(open.finals, 1, "answered twice: {id}");
        assert!(self.now <= open.deadline + self.set.answer_slack.0, "answered late: {id}");
    }

    fn attempt_end(
        &self,
        id: RequestId,
        attempt: usize,
        server: BackendId,
        outcome: Outcome,
    ) -> AttemptResult {
        let (took, ended, report) = (Micros(40_000), outcome == Outcome::Success, LoadReport::default());
        AttemptResult {
            request: id,
            attempt,
            backend: server,
            outcome,
            elapsed: took,
            request_answered: ended,
            settled_units: None,
            load_report: report,
        }
    }

    fn send(&mut self, id: u64, server: u64, until: u64, begin_by: u64) {
        let open = self.requests.get_mut(&id).expect("a request that was told");
        let class = &self.set.classes[open.class];
        assert_eq!(open.finals, 0, "sent after its end");
        assert!(self.now < open.deadline && until <= open.deadline, "sent when nobody waits");
        assert!(open.attempts.len() < self.set.max_attempts, "too many attempts");
        assert!(self.draining != Some(server), "sent to one that drains");
        let out = open.attempts.iter().any(|a| a.ended.is_none());
        assert!(!out || self.set.hedging, "a second copy");
        for earlier in open.attempts.iter().filter(|a| a.may_have_run()) {
            let same = match class.deduplication_scope {
                DeduplicationScope::AllBackends => true,
                DeduplicationScope::Zone => earlier.server % 3 == server % 3,
                DeduplicationScope::Cell => earlier.server / 3 == server / 3,
            };
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("a duplicate of {id}"),
                Idempotency::Keyed => {
                    assert!(same, "outside its group: {id}");
                    assert!(
                        begin_by < earlier.sent + class.deduplication_window.0,
                        "outside its window: {id}"
                    );
                }
            }
        }
        let number = open.attempts.len();
        open.attempts.push(Attempt { server, sent: self.now, ended: None });
        let bad = self.rng.u32(0..6) == 0;
        let outcome = if bad { BAD_ENDS[self.rng.usize(..BAD_ENDS.len())] } else { Outcome::Success };
        let after = match outcome {
            Outcome::Timeout => until.saturating_sub(self.now),
            _ => self.rng.u64(1_000..200_000).min(until - self.now),
        };
        let end = self.attempt_end(RequestId(id), number, BackendId(server), outcome);
        self.later(after, Event::AttemptEnded(end));
    }

    fn step(&mut self) -> bool {
        let Some((std::cmp::Reverse(at), serial)) = self.coming.pop() else { return false };
        self.now = at;
        let mut event = self.events.remove(&serial).expect("it was to come");
        if let Event::AttemptEnded(end) = &mut event {
            let open = self.requests.get_mut(&end.request.0).expect("a request");
            let attempt = &mut open.attempts[end.attempt];
            if attempt.ended.is_some() {
                return true;
            }
            attempt.ended = Some(end.outcome);
            if end.outcome == Outcome::Success && open.finals == 0 {
                open.finals = 1;
            }
            end.request_answered = open.finals > 0;
        }
        self.tell(event);
        true
    }
}

fn play(set: Settings, seed: u64) {
    let gateway = Engine::new(seed, set.clone()).expect("sound settings");
    let rng = fastrand::Rng::with_seed(seed);
    let (coming, events, requests) = (BinaryHeap::new(), BTreeMap::new(), BTreeMap::new());
    let (now, totals, draining) = (1_000_000_000, BTreeMap::new(), None);
    let mut world = World { set, gateway, rng, now, coming, events, serial: 0, requests, totals, draining };
    let list = (0..SERVERS).map(|server| world.entry(server, EndpointState::InService)).collect();
    world.tell(Event::EndpointList { scope: EndpointListScope::Complete, endpoints: list });
    for id in 1..=REQUESTS {
        let until = world.now + world.rng.u64(0..20_000);
        while world.coming.peek().is_some_and(|(at, _)| at.0 <= until) {
            world.step();
        }
        world.now = until;
        if id % 500 == 0 {
            // One drains and the one before is back.
            let back =
                world.draining.replace(id / 500).map(|back| world.entry(back, EndpointState::InService));
            let drains = world.entry(id / 500, EndpointState::Draining);
            world.tell(Event::EndpointList {
                scope: EndpointListScope::Changes,
                endpoints: back.into_iter().chain([drains]).collect(),
            });
        }
        let class = world.rng.usize(..world.set.classes.len());
        let plan = PlanId(world.rng.usize(..world.set.plans.len()));
        let deadline = world.now + world.set.classes[class].deadline.0;
        let open = Open { class, deadline, attempts: Vec::new(), finals: 0 };
        world.requests.insert(id, open);
        let customer = CustomerId(world.rng.u64(0..300) * 7 + plan.0 as u64);
        let units = 1.0 + world.rng.u64(..world.set.max_request_units as u64) as f64;
        let spread = 1 + world.rng.u32(..world.set.gateway_count);
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
        world.tell(Event::RequestArrived(arrival));
        if id.0 % 40 == 0 && world.requests[&id.0].finals == 0 {
            // Its client goes, whatever it is at.
            world.requests.get_mut(&id.0).expect("told").finals = 1;
            world.tell(Event::ClientDisconnected(id));
        }
    }
    let end = world.now + world.set.classes.iter().map(|class| class.deadline.0).max().unwrap_or(0);
    while world.now <= end && world.step() {}
    let open: Vec<_> =
        world.requests.iter().filter(|(_, open)| open.finals != 1).map(|(id, _)| *id).collect();
    assert!(open.is_empty(), "never answered: {open:?}");
    let sent: usize = world.requests.values().map(|open| open.attempts.len()).sum();
    assert!(sent > REQUESTS as usize / 10, "hardly anything was sent on: {sent}");
}

#[test]
fn the_rules_hold_under_the_settings_of_each_deployment() {
    let sites = sites();
    assert!(sites.len() >= 2, "{sites:?}");
    for site in sites {
        for seed in 0..4 {
            println!("{}, seed {seed}", site.display());
            play(settings(&site), seed);
        }
    }
}

#[test]
fn the_deployments_differ_in_what_they_are_there_to_find() {
    let all: Vec<Settings> = sites().iter().map(|site| settings(site)).collect();
    let has = |what: &dyn Fn(&Settings) -> bool| all.iter().any(what) && !all.iter().all(what);
    let class = |what: fn(&RequestClass) -> bool| move |set: &Settings| set.classes.iter().any(what);
    assert!(has(&|set| set.endpoint_subscription) && has(&|set| set.cancellation));
    assert!(has(&class(|c| c.idempotency == Idempotency::NonIdempotent)));
    assert!(has(&class(
        |c| c.idempotency == Idempotency::Keyed && c.deduplication_scope == DeduplicationScope::Cell
    )));
    assert!(has(&class(
        |c| c.idempotency == Idempotency::Keyed && c.deduplication_scope == DeduplicationScope::Zone
    )));
    assert!(has(&|set| set.plans.iter().any(|plan| plan.max_concurrent > 0.0)));
}
