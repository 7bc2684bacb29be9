use super::*;

const GATEWAYS: u32 = 100;

fn has_slot(gateway_index: u32, now: Micros, rate: f64) -> bool {
    let query = SlotQuery { gateway_index, gateway_count: GATEWAYS, backend: BackendId(7), now };
    assigned_slot(query, rate).is_some()
}

/// Returns the number of gateways out of 100 that are assigned each slot of 13 s at one backend.
fn assigned_per_slot(rate: f64) -> Vec<usize> {
    let at = |slot: u64| Micros(1_700_000_000_000_000 + slot * SLOT_DURATION.0);
    (0..52).map(|slot| (0..GATEWAYS).filter(|&gateway| has_slot(gateway, at(slot), rate)).count()).collect()
}

#[test]
fn assigned_slots_match_the_rate_over_time_and_within_each_second() {
    for rate in [0.5, 2.0, 5.0, 20.0] {
        let assigned = assigned_per_slot(rate);
        let total = assigned.iter().sum::<usize>() as f64;
        assert!((total - 13.0 * rate).abs() <= 2.0 + 0.1 * total, "{rate}: {total} requests in 13 s");
        let max = assigned.windows(4).map(|second| second.iter().sum::<usize>()).max().unwrap_or(0) as f64;
        assert!(max <= rate + 3.0, "{rate}: {max} requests in a second");
    }
}

#[test]
fn every_gateway_is_assigned_slots() {
    let at = |slot: u64| Micros(slot * SLOT_DURATION.0);
    let is_assigned = |gateway| (0..400).any(|slot| has_slot(gateway, at(slot), 4.0));
    assert!((0..GATEWAYS).all(is_assigned));
}
