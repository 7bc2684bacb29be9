//! Simulated backends: their state in the endpoint list, faults, cold starts, and the outcome and latency of attempts.

use crate::scenarios::Scenario;
use lanespan_policy::{
    BackendId, CellId, Endpoint, EndpointState, LoadReport, Micros, Outcome, Settings, ZoneId,
};

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const CELL_SIZE: u64 = 3;
const ZONES: u64 = 3;

#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    Slow,
    Errors,
    Hangs,
    Unreachable,
    Resets,
    Rejects,
    Flaky,
}

const FAULTS: [Fault; 7] = [
    Fault::Slow,
    Fault::Errors,
    Fault::Hangs,
    Fault::Unreachable,
    Fault::Resets,
    Fault::Rejects,
    Fault::Flaky,
];

pub struct Backend {
    pub number: u64,
    pub state: EndpointState,
    pub weight: f64,
    /// Start time reported by the endpoint list.
    pub listed_start: Option<u64>,
    /// Actual start of the warm-up.
    pub warm_up_start: u64,
    pub in_flight: u64,
    fault: Option<Fault>,
    fault_ends: u64,
    latency: u64,
    capacity: f64,
    zone_shift: u64,
}

/// Outcome and latency of an attempt that is neither cancelled nor given up.
pub struct AttemptEnd {
    pub after: u64,
    pub outcome: Outcome,
}

impl Backend {
    pub fn new(number: u64, scenario: &Scenario, rng: &mut fastrand::Rng) -> Backend {
        let weight = if scenario.uneven_weights { [0.0, 0.5, 1.0, 2.0][rng.usize(0..4)] } else { 1.0 };
        Backend {
            number,
            state: EndpointState::InService,
            weight,
            listed_start: None,
            warm_up_start: 0,
            in_flight: 0,
            fault: None,
            fault_ends: 0,
            latency: rng.u64(scenario.latency_ms.0..scenario.latency_ms.1) * MILLISECOND,
            capacity: scenario.capacity * if weight > 0.0 { weight } else { 1.0 },
            zone_shift: 0,
        }
    }

    pub fn endpoint(&self) -> Endpoint {
        Endpoint {
            backend: BackendId(self.number),
            zone: ZoneId(((self.number + self.zone_shift) % ZONES) as u32),
            cell: CellId(self.number / CELL_SIZE),
            state: self.state,
            weight: self.weight,
            started_at: self.listed_start.map(Micros),
        }
    }

    pub fn begin_fault(&mut self, now: u64, rng: &mut fastrand::Rng) {
        self.fault = Some(FAULTS[rng.usize(0..FAULTS.len())]);
        let max_duration_ms = if rng.u32(0..4) == 0 { 30_000 } else { 7_000 };
        self.fault_ends = now + rng.u64(200..max_duration_ms) * MILLISECOND;
    }

    /// Makes the backend unreachable for `downtime`, after which it is cold.
    pub fn restart(&mut self, now: u64, downtime: u64) {
        self.fault = Some(Fault::Unreachable);
        self.fault_ends = now + downtime;
        self.warm_up_start = now + downtime;
    }

    pub fn change_weight_and_zone(&mut self, rng: &mut fastrand::Rng) {
        self.weight = [0.0, 0.5, 1.0, 2.0][rng.usize(0..4)];
        self.zone_shift += 1;
    }

    fn capacity(&self, now: u64, settings: &Settings) -> f64 {
        let warm_up_progress =
            now.saturating_sub(self.warm_up_start) as f64 / settings.warm_up_time.0.max(1) as f64;
        self.capacity
            * (settings.cold_capacity_share
                + (1.0 - settings.cold_capacity_share) * warm_up_progress.min(1.0))
    }

    pub fn draw_attempt(&mut self, now: u64, settings: &Settings, rng: &mut fastrand::Rng) -> AttemptEnd {
        let load = self.in_flight as f64 / self.capacity(now, settings).max(0.1);
        let spread = if rng.u32(0..12) == 0 { rng.f64() * 8.0 } else { 0.5 + rng.f64() };
        let latency = (self.latency as f64 * spread * load.max(1.0)) as u64;
        let short_delay = rng.u64(300..3_000);
        let (after, outcome) = match self.fault.filter(|_| now < self.fault_ends) {
            Some(Fault::Slow) => (latency * 8, Outcome::Success),
            Some(Fault::Errors) if rng.u32(0..10) < 8 => (short_delay, Outcome::ServerError),
            Some(Fault::Hangs) => (3_600 * SECOND, Outcome::Timeout),
            Some(Fault::Unreachable) => (short_delay, Outcome::ConnectFailed),
            Some(Fault::Resets) if rng.u32(0..10) < 6 => (latency, Outcome::ConnectionReset),
            Some(Fault::Rejects) if rng.u32(0..10) < 7 => (short_delay, Outcome::Rejected),
            Some(Fault::Flaky) if rng.u32(0..10) < 3 => (latency, Outcome::ServerError),
            _ if load > 2.0 && rng.f64() * 3.0 < load - 2.0 => (short_delay, Outcome::Rejected),
            _ => match rng.u32(0..400) {
                0 => (latency, Outcome::ResponseDropped),
                1 => (short_delay, Outcome::NotSent),
                2 => (latency, Outcome::ConnectionReset),
                3 => (latency, Outcome::ServerError),
                _ => (latency, Outcome::Success),
            },
        };
        AttemptEnd { after: after.max(1), outcome }
    }

    /// Returns the load report sent with an answer. Some reports are partial or empty.
    pub fn load_report(&self, now: u64, settings: &Settings, rng: &mut fastrand::Rng) -> LoadReport {
        let utilization = self.in_flight as f64 / self.capacity(now, settings).max(0.1);
        match rng.u32(0..8) {
            0 => LoadReport::default(),
            1 => LoadReport { in_flight: Some(self.in_flight as f64), ..LoadReport::default() },
            2 => LoadReport { queued: Some(0.0), utilization: Some(utilization), ..LoadReport::default() },
            3 => LoadReport {
                queued: Some((utilization - 1.0).max(0.0)),
                utilization: Some(utilization * 0.9),
                ..LoadReport::default()
            },
            4 => LoadReport { queued: Some((utilization - 1.0).max(0.0)), ..LoadReport::default() },
            _ => LoadReport {
                in_flight: Some(self.in_flight as f64),
                queued: None,
                utilization: Some(utilization),
            },
        }
    }
}
