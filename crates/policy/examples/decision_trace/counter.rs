//! Simulated quota counter: totals by key, with periods in which it is slow, overloaded, silent or broken, and losses
//! of its totals.

use crate::scenarios::CounterScenario;
use lanespan_policy::{CounterKey, Outcome};
use std::collections::BTreeMap;

const MILLISECOND: u64 = 1_000;
/// Interval over which calls are counted against the capacity.
const CAPACITY_WINDOW: u64 = 100 * MILLISECOND;

#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Healthy,
    Slow,
    Silent,
    Overloaded,
    Broken,
    HotKeys,
    PartlySilent,
}

struct Total {
    value: f64,
    expires: u64,
}

/// Reply to a counter call: its delay, outcome and total.
pub struct Reply {
    pub after: u64,
    pub outcome: Outcome,
    pub total: f64,
}

pub struct Counter {
    scenario: CounterScenario,
    totals: BTreeMap<CounterKey, Total>,
    condition: Condition,
    condition_ends: u64,
    window: u64,
    calls_in_window: u64,
}

impl Counter {
    pub fn new(scenario: CounterScenario) -> Counter {
        Counter {
            scenario,
            totals: BTreeMap::new(),
            condition: Condition::Healthy,
            condition_ends: 0,
            window: 0,
            calls_in_window: 0,
        }
    }

    fn advance(&mut self, now: u64, rng: &mut fastrand::Rng) {
        if now >= self.condition_ends {
            let faults = [
                Condition::Slow,
                Condition::Silent,
                Condition::Overloaded,
                Condition::Broken,
                Condition::HotKeys,
                Condition::PartlySilent,
            ];
            let is_faulty = rng.f64() < self.scenario.fault_probability;
            self.condition = if is_faulty { faults[rng.usize(0..faults.len())] } else { Condition::Healthy };
            self.condition_ends = now + rng.u64(300..6_000) * MILLISECOND;
            if rng.f64() < self.scenario.loss_probability {
                let kept_share = [0.0, 0.5][rng.usize(0..2)];
                self.totals.values_mut().for_each(|total| total.value *= kept_share);
            }
            self.totals.retain(|_, total| total.expires > now);
        }
        if now / CAPACITY_WINDOW != self.window {
            self.window = now / CAPACITY_WINDOW;
            self.calls_in_window = 0;
        }
        self.calls_in_window += 1;
    }

    pub fn call(
        &mut self,
        now: u64,
        (key, amount, lifetime): (CounterKey, f64, u64),
        timeout: u64,
        rng: &mut fastrand::Rng,
    ) -> Reply {
        self.advance(now, rng);
        let short_delay = rng.u64(500..4_000);
        let failed = |outcome: Outcome, after: u64| Reply { after, outcome, total: 0.0 };
        if self.calls_in_window > self.scenario.calls_per_100_ms {
            return failed(Outcome::Rejected, short_delay);
        }
        let late = failed(Outcome::Timeout, timeout);
        let mut after = short_delay;
        match self.condition {
            Condition::Healthy if rng.u32(0..200) == 0 => return late,
            Condition::Healthy => {}
            Condition::Slow => after = rng.u64(timeout / 3..timeout + timeout / 5),
            Condition::Silent => return late,
            Condition::Overloaded => return failed(Outcome::Rejected, short_delay),
            Condition::Broken => {
                let outcomes = [
                    Outcome::ServerError,
                    Outcome::ConnectionReset,
                    Outcome::ConnectFailed,
                    Outcome::NotSent,
                ];
                return failed(outcomes[rng.usize(0..outcomes.len())], short_delay);
            }
            Condition::HotKeys if key.0 % 3 == 0 => return failed(Outcome::Rejected, short_delay),
            Condition::HotKeys => {}
            Condition::PartlySilent if rng.u32(0..3) == 0 => return late,
            Condition::PartlySilent => {}
        }
        let total = self.totals.entry(key).or_insert(Total { value: 0.0, expires: now + lifetime });
        if total.expires <= now {
            *total = Total { value: 0.0, expires: now + lifetime };
        }
        total.value += amount;
        if after >= timeout {
            return late; // The amount was counted although the reply is late.
        }
        Reply { after, outcome: Outcome::Success, total: total.value }
    }
}
