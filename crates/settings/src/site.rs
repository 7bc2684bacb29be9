//! The settings of a site, and the external names of its classes, plans, zones and backends.

use crate::{FieldError, Fields};
use lanespan_policy::{
    BackendId, DeduplicationScope, Idempotency, Micros, QuotaPlan, RequestClass, Settings, ZoneId,
};
use std::collections::HashMap;

/// The maximum number of classes or plans.
const MAX_LIST_ITEMS: u64 = 10_000;

/// The settings of a site, with the external names of its classes, plans, zones and backends.
pub struct Site {
    /// The settings of the policy engine.
    pub settings: Settings,
    /// The indexes of the classes by name.
    pub classes: HashMap<String, usize>,
    /// The indexes of the quota plans by name.
    pub plans: HashMap<String, usize>,
    /// The names of the backends seen so far, by id.
    pub backends: HashMap<BackendId, String>,
    zones: HashMap<String, u32>,
}

impl Site {
    /// Reads the settings of a site.
    pub fn read(fields: &Fields) -> Result<Site, FieldError> {
        let (classes, request_classes) = read_list(fields, "classes", read_class)?;
        let (plans, quota_plans) = read_list(fields, "plans", read_plan)?;
        let mut zones = HashMap::new();
        for name in fields.pairs.get("zones").into_iter().flat_map(|names| names.split(',')) {
            zone_id(&mut zones, name);
        }
        let zone = zone_id(&mut zones, fields.pairs.get("zone").copied().unwrap_or(""));
        let settings = read_settings(fields, zone, request_classes, quota_plans)?;
        Ok(Site { settings, classes, plans, backends: HashMap::new(), zones })
    }

    /// Returns the id for the name of a backend: its FNV-1a hash, so that all gateways use the same id, or the next free
    /// id on a collision.
    pub fn backend_id(&mut self, name: &str) -> BackendId {
        let mut id = BackendId(fnv1a(name));
        while self.backends.get(&id).is_some_and(|known| known != name) {
            id = BackendId(id.0.wrapping_add(1));
        }
        self.backends.entry(id).or_insert_with(|| name.to_string());
        id
    }

    /// Returns the id for the name of a zone. A new name gets the next unused id.
    pub fn zone_id(&mut self, name: &str) -> ZoneId {
        zone_id(&mut self.zones, name)
    }
}

fn fnv1a(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

fn zone_id(zones: &mut HashMap<String, u32>, name: &str) -> ZoneId {
    let next = zones.len() as u32;
    ZoneId(*zones.entry(name.to_string()).or_insert(next))
}

/// Reads one item of a list of settings. The second argument maps the name of a field to its dotted name.
type ReadItem<T> = fn(&Fields, &dyn Fn(&str) -> String) -> Result<T, FieldError>;

/// Reads a list of settings. Returns the indexes of the items by name, and the items.
fn read_list<T>(
    fields: &Fields,
    list: &str,
    read_item: ReadItem<T>,
) -> Result<(HashMap<String, usize>, Vec<T>), FieldError> {
    let count_key = format!("{list}.count");
    let count = fields.u64_or(&count_key, 0)?;
    if count > MAX_LIST_ITEMS {
        return Err(fields.unexpected(&count_key, "at most 10000"));
    }
    let mut names = HashMap::new();
    let mut items = Vec::new();
    for index in 0..count as usize {
        let key = |name: &str| format!("{list}.{index}.{name}");
        names.insert(fields.required_str(&key("name"))?.to_string(), index);
        items.push(read_item(fields, &key)?);
    }
    Ok((names, items))
}

fn read_class(fields: &Fields, key: &dyn Fn(&str) -> String) -> Result<RequestClass, FieldError> {
    let deadline = Micros(fields.required_u64(&key("deadline"))?);
    Ok(RequestClass {
        latency_objective: fields.micros_or(&key("on_time"), deadline.0)?,
        deadline,
        priority_weight: fields.f64_or(&key("credit"), 1.0)?,
        late_weight_share: fields.f64_or(&key("late_share"), 0.0)?,
        idempotency: read_idempotency(fields, &key("effect"))?,
        deduplication_scope: read_deduplication_scope(fields, &key("key_scope"))?,
        deduplication_window: fields.micros_or(&key("window"), 0)?,
        streaming: fields.bool_or(&key("streaming"), false)?,
    })
}

fn read_idempotency(fields: &Fields, key: &str) -> Result<Idempotency, FieldError> {
    match fields.pairs.get(key) {
        Some(&"pure") => Ok(Idempotency::Idempotent),
        Some(&"token") => Ok(Idempotency::Keyed),
        Some(&"side_effect") | None => Ok(Idempotency::NonIdempotent),
        Some(_) => Err(fields.unexpected(key, "pure, token or side_effect")),
    }
}

fn read_deduplication_scope(fields: &Fields, key: &str) -> Result<DeduplicationScope, FieldError> {
    match fields.pairs.get(key) {
        Some(&"all") => Ok(DeduplicationScope::AllBackends),
        Some(&"zone") => Ok(DeduplicationScope::Zone),
        Some(&"cell") | None => Ok(DeduplicationScope::Cell),
        Some(_) => Err(fields.unexpected(key, "all, zone or cell")),
    }
}

fn read_plan(fields: &Fields, key: &dyn Fn(&str) -> String) -> Result<QuotaPlan, FieldError> {
    let number = |name: &str, default| fields.f64_or(&key(name), default);
    Ok(QuotaPlan {
        rate: number("per_second", 0.0)?,
        burst: number("peak_units", 0.0)?,
        max_concurrent: number("open", 0.0)?,
        weight_multiplier: number("price", 1.0)?,
        over_quota_value: number("extra_worth", 0.0)?,
        over_quota_cost: number("excess_cost", 0.0)?,
        ceiling_rate: number("ceiling_rate", 0.0)?,
        ceiling_burst: number("cap_depth", 0.0)?,
        ceiling_slack: number("tolerance", 0.0)?,
    })
}

fn read_settings(
    fields: &Fields,
    zone: ZoneId,
    classes: Vec<RequestClass>,
    plans: Vec<QuotaPlan>,
) -> Result<Settings, FieldError> {
    let u32_or = |name: &str, default| -> Result<u32, FieldError> {
        Ok(u32::try_from(fields.u64_or(name, default)?).unwrap_or(u32::MAX))
    };
    Ok(Settings {
        gateway_count: u32_or("balancers", 1)?,
        gateway_index: u32_or("my_number", 0)?,
        zone,
        classes,
        plans,
        max_attempts: fields.u64_or("bounds.max_attempts", 1)? as usize,
        hedging: fields.bool_or("bounds.second_copies", false)?,
        cancellation: fields.bool_or("bounds.may_cancel", false)?,
        health_checks: fields.bool_or("bounds.probing", false)?,
        retry_after: fields.bool_or("bounds.retry_after", false)?,
        max_retry_after: fields.micros_or("bounds.max_retry_after", 0)?,
        quota_counter: fields.bool_or("specifics.counter", false)?,
        counter_timeout: fields.micros_or("specifics.count_limit", 0)?,
        max_request_units: fields.f64_or("specifics.units_top", 1.0)?,
        endpoint_subscription: fields.pairs.get("membership_mode") == Some(&"subscribe"),
        answer_slack: fields.micros_or("rules.answer_slack", 0)?,
        cold_capacity_share: fields.f64_or("rules.cold_from", 1.0)?,
        warm_up_time: fields.micros_or("rules.cold", 0)?,
        overload_multiple: fields.f64_or("rules.fall_multiple", 1.0)?,
        overload_after: fields.micros_or("rules.tip_after", 0)?,
        tick: fields.micros_or("tick", 0)?,
    })
}
