//! Validates a request's head and extracts the attributes that the policy engine needs.

use super::context::{KnownClass, ServerContext};
use super::error::RequestError;
use crate::framing::BodyFraming;
use crate::names::Headers;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::Method;
use lanespan_policy::{Arrival, CustomerId, Idempotency, Micros};
use std::collections::HashMap;

/// Exclusive upper limit of customer ids.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;
const CUSTOMER_ID_HEX_DIGITS: usize = 16;
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that may appear only once in a request, in addition to those whose names are configured.
const SINGLETON_HEADERS: [HeaderName; 3] = [header::CONTENT_LENGTH, header::HOST, IDEMPOTENCY_KEY];

/// A validated request head.
pub(super) struct RequestHead {
    /// The request's attributes for the policy engine. Its `request` and `deadline` are not set yet.
    pub(super) arrival: Arrival,
    /// The id that the client gave the request.
    pub(super) client_id: HeaderValue,
    /// Whether the request may run more than once.
    pub(super) may_run_again: bool,
    /// How long the client waits.
    pub(super) budget: Micros,
}

impl RequestHead {
    /// Validates a head. `framing` is how the request delimits its body, if that is known.
    pub(super) fn parse(
        head: &Parts,
        framing: Option<BodyFraming>,
        context: &ServerContext,
    ) -> Result<RequestHead, RequestError> {
        let headers = &head.headers;
        let names = &context.names.headers;
        check_body_length(headers, framing)?;
        check_duplicates(headers, names)?;
        let class = find(headers, &names.class, &context.classes).ok_or(RequestError::UnknownClass)?;
        let plan = find(headers, &names.plan, &context.plans).ok_or(RequestError::UnknownPlan)?;
        let customer = customer_id(head.uri.query().unwrap_or_default(), &context.names.customer_parameter)
            .ok_or(RequestError::InvalidCustomer)?;
        let budget = budget(headers, &names.timeout).ok_or(RequestError::InvalidBudget)?;
        let quota = text(headers, &names.quota)
            .and_then(|value| QuotaHeader::parse(value, context.max_request_units, context.gateway_count))
            .ok_or(RequestError::InvalidQuota)?;
        let client_id = headers.get(&names.request_id).filter(|id| !id.is_empty()).cloned();
        let client_id = client_id.ok_or(RequestError::MissingRequestId)?;
        check_idempotency(&head.method, headers, class)?;
        let arrival = Arrival {
            class: class.id,
            plan: *plan,
            customer,
            gateway_spread: quota.gateway_spread,
            active_gateways: context.active_gateways(quota.first_gateway, quota.gateway_spread),
            units: quota.units,
            is_client_retry: text(headers, &names.retry) == Some("1"),
            ..Arrival::default()
        };
        // The deadline of the class limits the time that a client waits.
        let may_run_again = matches!(class.idempotency, Some(Idempotency::Idempotent | Idempotency::Keyed));
        Ok(RequestHead { arrival, client_id, may_run_again, budget: budget.min(class.deadline) })
    }
}

/// Returns the value of a header as text.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Looks up the configured item that a header names.
fn find<'a, T>(headers: &HeaderMap, name: &HeaderName, known: &'a HashMap<String, T>) -> Option<&'a T> {
    text(headers, name).and_then(|value| known.get(value))
}

/// Rejects requests whose body length is ambiguous, to prevent request smuggling (RFC 9112, section 11.2): with two
/// lengths (section 6.3), a peer that uses the other one would find a second request hidden in the body. hyper drops
/// the Content-Length of a chunked request, so the headers alone do not show this.
fn check_body_length(headers: &HeaderMap, framing: Option<BodyFraming>) -> Result<(), RequestError> {
    if headers.contains_key(header::TRANSFER_ENCODING) && framing != Some(BodyFraming::Chunked) {
        return Err(RequestError::AmbiguousBodyLength);
    }
    Ok(())
}

/// Rejects repeated singleton headers: no rule defines which of two values applies, so two peers could interpret the
/// request differently.
fn check_duplicates(headers: &HeaderMap, names: &Headers) -> Result<(), RequestError> {
    let has_duplicates = headers.keys_len() < headers.len();
    let is_duplicate = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    if has_duplicates && headers.keys().any(|name| is_singleton(name, names) && is_duplicate(name)) {
        return Err(RequestError::DuplicateHeader);
    }
    Ok(())
}

/// Returns whether a request may have this header only once.
fn is_singleton(name: &HeaderName, names: &Headers) -> bool {
    let Headers { request_id, class, plan, timeout, retry, quota, .. } = names;
    SINGLETON_HEADERS.contains(name) || [request_id, class, plan, timeout, retry, quota].contains(&name)
}

/// Checks that the method and the idempotency key match the class.
fn check_idempotency(method: &Method, headers: &HeaderMap, class: &KnownClass) -> Result<(), RequestError> {
    let Some(idempotency) = class.idempotency else { return Ok(()) };
    let expected = match idempotency {
        Idempotency::Idempotent => Method::GET,
        Idempotency::Keyed | Idempotency::NonIdempotent => Method::POST,
    };
    if *method != expected {
        return Err(RequestError::WrongMethod);
    }
    let has_key = headers.get(&IDEMPOTENCY_KEY).is_some_and(|key| !key.is_empty());
    if idempotency == Idempotency::Keyed && !has_key {
        return Err(RequestError::MissingIdempotencyKey);
    }
    Ok(())
}

fn budget(headers: &HeaderMap, name: &HeaderName) -> Option<Micros> {
    let milliseconds: u64 = text(headers, name)?.parse().ok()?;
    Some(Micros(milliseconds.saturating_mul(1000)))
}

/// Parses the customer's id from the query. `parameter`, which includes the `=`, must appear exactly once.
fn customer_id(query: &str, parameter: &str) -> Option<CustomerId> {
    let mut values = query.split('&').filter_map(|pair| pair.strip_prefix(parameter));
    let digits = values.next()?;
    let is_hex =
        digits.len() == CUSTOMER_ID_HEX_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex || values.next().is_some() {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().filter(|id| *id < CUSTOMER_ID_LIMIT).map(CustomerId)
}

/// The quota header: `units=2,spread=3,first=1`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct QuotaHeader {
    /// Units that the request takes from the customer's quota.
    pub(super) units: f64,
    /// Number of gateways that receive the customer's requests.
    pub(super) gateway_spread: u32,
    /// The first of these gateways.
    pub(super) first_gateway: u32,
}

impl QuotaHeader {
    /// Parses the header and rejects values out of range. Otherwise any client that knows a customer's id could charge
    /// the customer with values that no class and no tier has.
    pub(super) fn parse(value: &str, max_units: f64, gateway_count: u32) -> Option<QuotaHeader> {
        let (mut units, mut gateway_spread, mut first_gateway) = (None, None, None);
        for field in value.split(',') {
            // Unknown fields of any form are ignored, so that later versions can add some.
            let Some((name, value)) = field.trim().split_once('=') else { continue };
            let is_first = match name {
                "units" => set(&mut units, value, |units| *units > 0.0 && *units <= max_units)?,
                "spread" => set(&mut gateway_spread, value, |spread| (1..=gateway_count).contains(spread))?,
                "first" => set(&mut first_gateway, value, |first| *first < gateway_count)?,
                _ => true,
            };
            if !is_first {
                return None;
            }
        }
        Some(QuotaHeader { units: units?, gateway_spread: gateway_spread?, first_gateway: first_gateway? })
    }
}

/// Sets a field. Returns `None` if the value is invalid or out of range, otherwise whether the field was unset before.
fn set<T: std::str::FromStr>(
    field: &mut Option<T>,
    value: &str,
    in_range: impl Fn(&T) -> bool,
) -> Option<bool> {
    let value = value.parse::<T>().ok().filter(in_range)?;
    Some(field.replace(value).is_none())
}
