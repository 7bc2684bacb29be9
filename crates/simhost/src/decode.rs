//! Decodes lines of the simulator's protocol into events of the policy engine.

use lanespan_policy::{
    Arrival, AttemptResult, CellId, ClassId, CounterKey, CustomerId, Endpoint, EndpointListScope,
    EndpointState, Event, LoadReport, Micros, Outcome, PlanId, RequestId, TimerId,
};
use lanespan_settings::{FieldError, Fields, Site};
use std::collections::HashMap;

/// Upper limit of `doors`, the number of gateways over which a customer's requests are spread.
const MAX_GATEWAY_SPREAD: f64 = 1e6;

/// Decodes a line into an event. Returns `None` for an unknown message type, which a newer protocol version may send.
pub(crate) fn read_event(fields: &Fields, site: &mut Site, now: Micros) -> Result<Option<Event>, FieldError> {
    Ok(Some(match fields.message_type {
        "KNOCK" => Event::RequestArrived(read_arrival(fields, site, now)?),
        "RING" => Event::TimerFired(TimerId(fields.required_u64("ref")?)),
        "FIRST_BYTE" => {
            Event::ResponseStarted { request: request_id(fields)?, attempt: attempt_index(fields)? }
        }
        "TIMED_OUT_CLIENT" => Event::ClientDisconnected(request_id(fields)?),
        "PONG" => Event::HealthChecked {
            backend: site.backend_id(fields.required_str("backend")?),
            outcome: read_outcome(fields)?,
            load_report: read_load_report(fields)?,
        },
        "COUNT_RESULT" => Event::CounterReplied {
            key: CounterKey(fields.required_u64("book")?),
            outcome: read_outcome(fields)?,
            total: fields.f64_or("result_value", 0.0)?,
        },
        "OUTCOME" => Event::AttemptEnded(read_attempt_result(fields, site)?),
        _ => return Ok(None),
    }))
}

fn request_id(fields: &Fields) -> Result<RequestId, FieldError> {
    Ok(RequestId(fields.required_u64("ref")?))
}

fn attempt_index(fields: &Fields) -> Result<usize, FieldError> {
    Ok(fields.u64_or("trial", 0)? as usize)
}

fn read_arrival(fields: &Fields, site: &Site, now: Micros) -> Result<Arrival, FieldError> {
    let class = index_of(fields, "kind", "a known class", &site.classes)?;
    let plan = index_of(fields, "plan", "a known plan", &site.plans)?;
    let customer = u64::from_str_radix(fields.required_str("user_key")?, 16)
        .map_err(|_| fields.unexpected("user_key", "16 hex digits"))?;
    let units = fields.f64_or("price_units", 1.0)?;
    if units < 0.0 {
        return Err(fields.unexpected("price_units", "a number of 0 or more"));
    }
    let class_deadline = now + site.settings.classes[class].deadline;
    Ok(Arrival {
        request: request_id(fields)?,
        class: ClassId(class),
        plan: PlanId(plan),
        customer: CustomerId(customer),
        gateway_spread: fields.f64_or("doors", 1.0)?.clamp(1.0, MAX_GATEWAY_SPREAD) as u32,
        active_gateways: 0,
        deadline: fields.optional("drop_dead", "a time in microseconds")?.map_or(class_deadline, Micros),
        units,
        is_client_retry: fields.bool_or("resent", false)?,
    })
}

fn index_of(
    fields: &Fields,
    name: &str,
    expected: &str,
    indices: &HashMap<String, usize>,
) -> Result<usize, FieldError> {
    indices.get(fields.required_str(name)?).copied().ok_or_else(|| fields.unexpected(name, expected))
}

fn read_attempt_result(fields: &Fields, site: &mut Site) -> Result<AttemptResult, FieldError> {
    Ok(AttemptResult {
        request: request_id(fields)?,
        attempt: attempt_index(fields)?,
        backend: site.backend_id(fields.required_str("backend")?),
        outcome: read_outcome(fields)?,
        elapsed: fields.micros_or("took", 0)?,
        request_answered: fields.bool_or("ended", false)?,
        settled_units: Some(fields.f64_or("settled", 0.0)?).filter(|units| *units > 0.0),
        load_report: read_load_report(fields)?,
    })
}

fn read_outcome(fields: &Fields) -> Result<Outcome, FieldError> {
    Ok(match fields.required_str("how")? {
        "200" => Outcome::Success,
        "500" => Outcome::ServerError,
        "503" => Outcome::Rejected,
        "504" => Outcome::Timeout,
        "502" => Outcome::ConnectFailed,
        "598" => Outcome::ConnectionReset,
        "499" => Outcome::Cancelled,
        "410" => Outcome::NotSent,
        _ => return Err(fields.unexpected("how", "one of 200 410 499 500 502 503 504 598")),
    })
}

/// Reads the `name:number` pairs of a load report. Unknown names are ignored.
fn read_load_report(fields: &Fields) -> Result<LoadReport, FieldError> {
    let mut report = LoadReport::default();
    for pair in fields.pairs.get("report").into_iter().flat_map(|pairs| pairs.split(',')) {
        if pair.is_empty() {
            continue;
        }
        let named_value = pair.split_once(':').and_then(|(name, value)| Some((name, value.parse().ok()?)));
        let Some((name, value)) = named_value else {
            return Err(fields.unexpected("report", "name:number pairs"));
        };
        match name {
            "concurrent" => report.in_flight = Some(value),
            "depth" => report.queued = Some(value),
            "load_share" => report.utilization = Some(value),
            _ => {}
        }
    }
    Ok(report)
}

/// Reads the scope of an endpoint list.
pub(crate) fn read_scope(fields: &Fields) -> Result<EndpointListScope, FieldError> {
    match fields.required_str("scope")? {
        "incr" => Ok(EndpointListScope::Changes),
        "total" | "warm_copy" => Ok(EndpointListScope::Complete),
        "lost" => Ok(EndpointListScope::Unavailable),
        _ => Err(fields.unexpected("scope", "incr, total, warm_copy or lost")),
    }
}

/// Reads one entry of an endpoint list.
pub(crate) fn read_endpoint(fields: &Fields, site: &mut Site) -> Result<Endpoint, FieldError> {
    Ok(Endpoint {
        backend: site.backend_id(fields.required_str("backend")?),
        zone: site.zone_id(fields.pairs.get("rack_zone").copied().unwrap_or("")),
        cell: CellId(fields.u64_or("pod", 0)?),
        state: match fields.required_str("status")? {
            "in_service" => EndpointState::InService,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            _ => return Err(fields.unexpected("status", "in_service, terminating or terminated")),
        },
        weight: fields.f64_or("heft", 1.0)?,
        started_at: Some(fields.micros_or("last_start", 0)?).filter(|started_at| started_at.0 > 0),
    })
}
