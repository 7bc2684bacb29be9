//! Time slots in which gateways may send to a cold backend, used where many gateways share the backends.
//!
//! A gateway that sends to a backend only once in many seconds cannot accumulate an allowance for it: either all
//! gateways would have accumulated one request at the same time, or the backend would be warm before any had. Requests
//! are permitted in rotation instead. Time is divided into slots by the clock that all gateways share. In each slot the
//! right number of gateways, determined by their indexes, may send one request each, without exchanging messages.

use crate::hash::{unit_interval, GOLDEN_RATIO_CONJUGATE};
use crate::{BackendId, Micros};

/// Duration of a slot: long enough that a gateway has a request to send in its slot, and much shorter than the time it
/// takes to overload a backend.
const SLOT_DURATION: Micros = Micros::from_millis(250);
/// Share of the ring of gateways by which the first assigned gateway advances from slot to slot. With the golden ratio,
/// any few consecutive slots permit about the same number of requests.
const ROTATION_STEP: f64 = GOLDEN_RATIO_CONJUGATE;

/// Identifies the gateway, backend and time for which a slot is looked up.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotQuery {
    pub(super) gateway_index: u32,
    pub(super) gateway_count: u32,
    pub(super) backend: BackendId,
    pub(super) now: Micros,
}

/// Returns the current slot if it is assigned to the gateway. `rate` is the number of requests per second that all
/// gateways together may send. If it amounts to a fraction of a request per slot, that fraction of the slots is
/// assigned.
pub(super) fn assigned_slot(query: SlotQuery, rate: f64) -> Option<u64> {
    let slot = query.now.0 / SLOT_DURATION.0;
    let ring_size = f64::from(query.gateway_count.max(1));
    let offset = unit_interval(query.backend.0);
    let start = (slot as f64 * ROTATION_STEP + offset).fract() * ring_size;
    let distance = (f64::from(query.gateway_index) - start).rem_euclid(ring_size);
    let requests_per_slot = rate * SLOT_DURATION.as_secs_f64();
    (distance < requests_per_slot).then_some(slot)
}

#[cfg(test)]
mod tests;
