//! Test harness that drives an engine through its public interface, with a virtual clock and timers.
#![allow(dead_code, reason = "each test binary uses only some of these helpers")]

use lanespan_policy::*;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

pub fn class(idempotency_kind: Idempotency, scope: DeduplicationScope) -> RequestClass {
    RequestClass {
        latency_objective: Micros(800 * MILLISECOND),
        deadline: Micros(3 * SECOND),
        priority_weight: 1.0,
        late_weight_share: 0.0,
        idempotency: idempotency_kind,
        deduplication_scope: scope,
        deduplication_window: Micros(SECOND),
        streaming: false,
    }
}

pub fn plan(rate: f64, burst: f64) -> QuotaPlan {
    QuotaPlan {
        rate,
        burst,
        max_concurrent: 0.0,
        weight_multiplier: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

/// Returns settings with these classes and plans.
///
/// Classes: 0 idempotent, 1 keyed with cell scope, 2 non-idempotent, 3 keyed with the scope of all backends. Plans: 0
/// ten units per second with a burst of twenty, 1 the same with a ceiling of twice that, 2 two concurrent requests, 3
/// no quota.
pub fn settings() -> Settings {
    let ceiling =
        QuotaPlan { ceiling_rate: 20.0, ceiling_burst: 40.0, ceiling_slack: 4.0, ..plan(10.0, 20.0) };
    Settings {
        gateway_count: 2,
        classes: vec![
            class(Idempotency::Idempotent, DeduplicationScope::AllBackends),
            class(Idempotency::Keyed, DeduplicationScope::Cell),
            class(Idempotency::NonIdempotent, DeduplicationScope::AllBackends),
            class(Idempotency::Keyed, DeduplicationScope::AllBackends),
        ],
        plans: vec![
            plan(10.0, 20.0),
            ceiling,
            QuotaPlan { max_concurrent: 2.0, ..plan(0.0, 0.0) },
            plan(0.0, 0.0),
        ],
        max_attempts: 4,
        cancellation: true,
        retry_after: true,
        max_retry_after: Micros(2 * SECOND),
        quota_counter: true,
        counter_timeout: Micros(80 * MILLISECOND),
        max_request_units: 4.0,
        answer_slack: Micros(8 * MILLISECOND),
        cold_capacity_share: 0.2,
        warm_up_time: Micros(10 * SECOND),
        overload_multiple: 2.0,
        overload_after: Micros(SECOND),
        tick: Micros(2 * MILLISECOND),
        ..Settings::default()
    }
}

pub struct Harness {
    pub engine: Engine,
    pub now: u64,
    pub actions: Vec<Action>,
    pub next_request: u64,
    timers: Vec<(u64, TimerId)>,
}

impl Harness {
    pub fn new(settings: Settings, backends: u32) -> Harness {
        Harness::seeded(7, settings, backends)
    }
    pub fn seeded(seed: u64, settings: Settings, backends: u32) -> Harness {
        let engine = Engine::new(seed, settings).expect("valid settings");
        let mut harness =
            Harness { engine, now: 1_000 * SECOND, actions: Vec::new(), next_request: 1, timers: Vec::new() };
        let entries = (0..backends).map(|index| endpoint(index, EndpointState::InService, None)).collect();
        harness.handle(Event::EndpointList { scope: EndpointListScope::Complete, endpoints: entries });
        harness
    }
    /// Passes one event to the engine and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.engine.handle(Micros(self.now), event, &mut out);
        for action in &out {
            if let Action::SetTimer { timer: id, delay: after } = action {
                self.timers.push((self.now + after.0, *id));
            }
        }
        self.actions.extend(out.iter().cloned());
        out
    }
    /// Advances the clock, fires the timers that become due, and returns their actions.
    pub fn advance(&mut self, duration: u64) -> Vec<Action> {
        let (end, mut fired) = (self.now + duration, Vec::new());
        while let Some(&(at, id)) = self.timers.iter().filter(|t| t.0 <= end).min_by_key(|t| t.0) {
            self.timers.retain(|t| t.1 != id);
            self.now = self.now.max(at);
            fired.extend(self.handle(Event::TimerFired(id)));
        }
        self.now = end;
        fired
    }
    pub fn request(
        &mut self,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let deadline = Micros(self.now + 3 * SECOND);
        let (class, plan, customer) = (ClassId(class), PlanId(plan), CustomerId(customer));
        let arrival = Arrival {
            request: id,
            class,
            plan,
            customer,
            gateway_spread: 2,
            active_gateways: 0,
            deadline,
            units,
            is_client_retry: false,
        };
        (id, self.handle(Event::RequestArrived(arrival)))
    }
    /// Sends a request without quota, which is forwarded immediately. Returns its id and backend.
    pub fn forward_one(&mut self, class: usize) -> (RequestId, BackendId) {
        let (id, out) = self.request(class, 3, 1, 1.0);
        (id, forwards(&out).first().expect("the request is forwarded").1)
    }
    /// Ends an attempt that took 50 ms. On success, the request is answered.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: usize,
        backend: BackendId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            backend,
            outcome,
            elapsed: Micros(50 * MILLISECOND),
            request_answered: outcome == Outcome::Success,
            settled_units: None,
            load_report: LoadReport::default(),
        }))
    }
    /// Ends the first attempt of a request successfully after `elapsed` microseconds.
    pub fn answer_after(
        &mut self,
        request: RequestId,
        backend: BackendId,
        elapsed: u64,
        load_report: LoadReport,
    ) {
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt: 0,
            backend,
            outcome: Outcome::Success,
            elapsed: Micros(elapsed),
            request_answered: true,
            settled_units: None,
            load_report,
        }));
    }
}

pub fn endpoint(index: u32, listed_state: EndpointState, started_at: Option<u64>) -> Endpoint {
    Endpoint {
        backend: BackendId(u64::from(index)),
        zone: ZoneId(0),
        cell: CellId(u64::from(index) / 2),
        state: listed_state,
        weight: 1.0,
        started_at: started_at.map(Micros),
    }
}

pub fn counter_calls(out: &[Action]) -> Vec<(CounterKey, f64)> {
    out.iter()
        .filter_map(|action| {
            if let Action::AddToCounter { key: counter_key, amount: added, .. } = action {
                Some((*counter_key, *added))
            } else {
                None
            }
        })
        .collect()
}
/// Returns the counter calls that change a total.
pub fn counter_adds(out: &[Action]) -> Vec<(CounterKey, f64)> {
    counter_calls(out).into_iter().filter(|(_, added)| *added != 0.0).collect()
}
pub fn forwards(out: &[Action]) -> Vec<(RequestId, BackendId)> {
    out.iter()
        .filter_map(|action| {
            if let Action::Forward { request: r, backend: s, .. } = action {
                Some((*r, *s))
            } else {
                None
            }
        })
        .collect()
}
pub fn rejected(out: &[Action], id: RequestId) -> bool {
    out.iter().any(|action| matches!(action, Action::Reject { request: r, .. } if *r == id))
}
pub fn failed(out: &[Action], id: RequestId) -> bool {
    out.contains(&Action::Fail(id))
}
