//! The names that a deployment uses for headers, paths, fields and states on the wire. Names that it does not set are
//! those of the platform's protocol. The values sent under these names are the same in every deployment.
//!
//! Only this module knows the deployment's names; the rest of the gateway uses the terms of [`Headers`],
//! [`DiscoveryCall`] and [`CounterCall`], and the protocol's names in the endpoint list.

use crate::config::problems::Problems;
use crate::config_error::ConfigError;
use hyper::header::HeaderName;
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};

/// The names of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Names {
    /// The headers of clients' requests and backends' responses.
    pub headers: Headers,
    /// The query parameter that names the customer, including the `=`.
    pub customer_parameter: String,
    /// The path of the readiness check.
    pub ready_path: String,
    /// The path and parameters of a call to discovery.
    pub discovery: DiscoveryCall,
    /// The path and parameters of a call to the counter.
    pub counter: CounterCall,
    /// The fields and states of the endpoint list.
    endpoint_list: EndpointListNames,
}

/// The headers of clients' requests and backends' responses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// The client's id of a request.
    pub request_id: HeaderName,
    /// The class of a request.
    pub class: HeaderName,
    /// The customer's quota plan.
    pub plan: HeaderName,
    /// The client's timeout, in milliseconds.
    pub timeout: HeaderName,
    /// Set to 1 on a client's retry.
    pub retry: HeaderName,
    /// The units of a request, the number of gateways over which the customer is spread, and the first of these.
    pub quota: HeaderName,
    /// A backend's load report.
    pub load_report: HeaderName,
    /// Set to 1 on a response to a request that was not executed.
    pub rejected: HeaderName,
}

/// The path and parameters of a call to discovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// The path of the endpoint list.
    pub path: String,
    /// The parameter for the revision after which changes are requested.
    pub after_parameter: String,
    /// The parameter for the time to wait for a change, in milliseconds.
    pub wait_parameter: String,
}

/// The path and parameters of a call to the counter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CounterCall {
    /// The path that precedes the key.
    pub path: String,
    /// The parameter for the amount to add.
    pub amount_parameter: String,
    /// The parameter for the lifetime of a new key, in milliseconds.
    pub lifetime_parameter: String,
}

/// A name of the deployment, and the protocol's name for the same field or state.
type Alias = (String, &'static str);

/// The names of the endpoint list's fields and states.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EndpointListNames {
    list_fields: Vec<Alias>,
    entry_fields: Vec<Alias>,
    states: Vec<Alias>,
}

/// A deployment's names in the platform's format. Absent names are those of the protocol.
#[derive(Default, Deserialize)]
#[serde(default)]
struct PlatformNames {
    #[serde(rename = "h")]
    headers: BTreeMap<String, String>,
    paths: BTreeMap<String, String>,
    #[serde(rename = "q")]
    parameters: BTreeMap<String, String>,
    #[serde(rename = "f")]
    fields: BTreeMap<String, String>,
    states: BTreeMap<String, String>,
    counter: BTreeMap<String, String>,
    key_name: Option<String>,
    #[serde(flatten)]
    encodings: BTreeMap<String, Value>,
}

/// The encodings that a deployment may choose, by their keys, with the one value that this gateway supports.
const ENCODINGS: [(&str, &str); 6] = [
    ("proto", "http"),
    ("deadline_form", "ms"),
    ("load_form", "orca"),
    ("class_in", "header"),
    ("key_in", "query"),
    ("discovery", "poll"),
];
/// The same for calls to the counter.
const COUNTER_ENCODINGS: [(&str, &str); 2] = [("proto", "http"), ("verb", "ADDGET")];
/// The top-level fields of the endpoint list: the platform's key for each, and the protocol's name.
const LIST_FIELDS: [(&str, &str); 3] = [("version", "revision"), ("full", "complete"), ("list", "members")];
/// The fields of an entry: the platform's key for each, and the protocol's name.
const ENTRY_FIELDS: [(&str, &str); 8] = [
    ("id", "id"),
    ("addr", "host_port"),
    ("zone", "locality"),
    ("kind", "flavor"),
    ("cell", "cell"),
    ("state", "phase"),
    ("weight", "size"),
    ("started", "up_since_ms"),
];
/// The states of an entry: the platform's key for each, and the protocol's name.
const STATES: [(&str, &str); 3] = [("ready", "ready"), ("draining", "draining"), ("gone", "gone")];

impl Default for Names {
    fn default() -> Names {
        match Names::read(&Value::Object(Default::default())) {
            Ok(names) => names,
            Err(error) => unreachable!("the protocol's names are valid: {error}"),
        }
    }
}

impl Names {
    /// Reads a deployment's names from the platform's format.
    ///
    /// # Errors
    ///
    /// Returns every problem of the names.
    pub fn read(value: &Value) -> Result<Names, ConfigError> {
        if !value.is_object() {
            return Err(ConfigError::new(format!("names: expected an object, found {value}")));
        }
        let platform = PlatformNames::deserialize(value);
        let platform = platform.map_err(|error| ConfigError::new(format!("names: {error}")))?;
        let mut reader = NamesReader { platform, problems: Problems::default() };
        reader.check_encodings();
        let headers = reader.headers();
        let ready_path = reader.path("paths.ready", |names| names.paths.get("ready"), "/_health");
        let discovery = reader.discovery();
        let counter = reader.counter();
        let customer = reader.name("key_name", |names| names.key_name.as_ref(), "customer");
        let endpoint_list = reader.endpoint_list();
        reader.check_request_headers(&headers);
        reader.check_endpoint_list(&endpoint_list);
        if !reader.problems.is_empty() {
            return Err(reader.problems.into());
        }
        let customer_parameter = customer + "=";
        Ok(Names { headers, customer_parameter, ready_path, discovery, counter, endpoint_list })
    }

    /// Replaces this deployment's names by the protocol's in an endpoint list, or in changes to one.
    pub fn to_protocol(&self, mut list: Value) -> Value {
        let EndpointListNames { list_fields, entry_fields, states } = &self.endpoint_list;
        let aliases = [list_fields, entry_fields, states].into_iter().flatten();
        if aliases.into_iter().all(|(name, protocol_name)| name == protocol_name) {
            return list;
        }
        rename_fields(&mut list, list_fields);
        for entry in list["members"].as_array_mut().into_iter().flatten() {
            rename_fields(entry, entry_fields);
            if let Some(phase) = entry.get_mut("phase") {
                let alias = states.iter().find(|(name, _)| phase.as_str() == Some(name));
                if let Some((_, protocol_name)) = alias {
                    *phase = (*protocol_name).into();
                }
            }
        }
        list
    }
}

/// Reads names one by one and collects their problems.
struct NamesReader {
    platform: PlatformNames,
    problems: Problems,
}

impl NamesReader {
    fn check_encodings(&mut self) {
        for (key, supported) in ENCODINGS {
            let found = self.platform.encodings.get(key).filter(|value| value.as_str() != Some(supported));
            if let Some(found) = found {
                self.problems.add(&format!("names: {key}"), format!("expected '{supported}', found {found}"));
            }
        }
        for (key, supported) in COUNTER_ENCODINGS {
            if let Some(found) = self.platform.counter.get(key).filter(|value| *value != supported) {
                let place = format!("names: counter.{key}");
                self.problems.add(&place, format!("expected '{supported}', found '{found}'"));
            }
        }
    }

    fn headers(&mut self) -> Headers {
        Headers {
            request_id: self.header("id", "x-call-id"),
            class: self.header("class", "x-call-class"),
            plan: self.header("tenant", "x-plan"),
            timeout: self.header("deadline", "x-budget-ms"),
            retry: self.header("retry", "x-again"),
            quota: self.header("extras", "x-quota"),
            load_report: self.header("load", "x-load-report"),
            rejected: self.header("not_run", "x-rejected"),
        }
    }

    fn header(&mut self, key: &str, protocol_name: &'static str) -> HeaderName {
        let name = self.platform.headers.get(key).map_or(protocol_name, String::as_str);
        HeaderName::from_bytes(name.as_bytes()).unwrap_or_else(|_| {
            let message = format!("expected a header name, found '{name}'");
            self.problems.add(&format!("names: h.{key}"), message);
            HeaderName::from_static(protocol_name)
        })
    }

    fn discovery(&mut self) -> DiscoveryCall {
        DiscoveryCall {
            path: self.path("paths.list", |names| names.paths.get("list"), "/catalog/members"),
            after_parameter: self.name("q.after", |names| names.parameters.get("after"), "from"),
            wait_parameter: self.name("q.wait", |names| names.parameters.get("wait"), "hold_ms"),
        }
    }

    fn counter(&mut self) -> CounterCall {
        CounterCall {
            path: self.path("counter.path", |names| names.counter.get("path"), "/v1/count"),
            amount_parameter: self.name("counter.add", |names| names.counter.get("add"), "add"),
            lifetime_parameter: self.name("counter.ttl", |names| names.counter.get("ttl"), "ttl_ms"),
        }
    }

    fn endpoint_list(&mut self) -> EndpointListNames {
        let field = |names: &PlatformNames, key: &str| names.fields.get(key).cloned();
        EndpointListNames {
            list_fields: self.aliases("f", &LIST_FIELDS, field),
            entry_fields: self.aliases("f", &ENTRY_FIELDS, field),
            states: self.aliases("states", &STATES, |names, key| names.states.get(key).cloned()),
        }
    }

    fn aliases(
        &mut self,
        group: &str,
        keys: &[(&str, &'static str)],
        find: impl Fn(&PlatformNames, &str) -> Option<String>,
    ) -> Vec<Alias> {
        let alias = |&(key, protocol_name): &(&str, &'static str)| {
            let given = find(&self.platform, key);
            (self.validate(&format!("{group}.{key}"), given, protocol_name, Kind::Name), protocol_name)
        };
        keys.iter().map(alias).collect()
    }

    fn name(
        &mut self,
        place: &str,
        find: impl Fn(&PlatformNames) -> Option<&String>,
        protocol_name: &str,
    ) -> String {
        let given = find(&self.platform).cloned();
        self.validate(place, given, protocol_name, Kind::Name)
    }

    fn path(
        &mut self,
        place: &str,
        find: impl Fn(&PlatformNames) -> Option<&String>,
        protocol_path: &str,
    ) -> String {
        let given = find(&self.platform).cloned();
        self.validate(place, given, protocol_path, Kind::Path)
    }

    /// Returns the given name or path, or the protocol's if none is given. One that would need escaping in a URI is
    /// reported.
    fn validate(&mut self, place: &str, given: Option<String>, protocol_name: &str, kind: Kind) -> String {
        let name = given.unwrap_or_else(|| protocol_name.to_string());
        if kind.allows(&name) {
            return name;
        }
        let expected = kind.description();
        let message = format!("expected {expected} of letters, digits and -_.~, found '{name}'");
        self.problems.add(&format!("names: {place}"), message);
        protocol_name.to_string()
    }

    fn check_request_headers(&mut self, headers: &Headers) {
        let Headers { request_id, class, plan, timeout, retry, quota, .. } = headers;
        let names = [request_id, class, plan, timeout, retry, quota].map(|name| name.to_string());
        self.check_distinct("h", names.iter());
    }

    fn check_endpoint_list(&mut self, names: &EndpointListNames) {
        self.check_distinct("f", names.list_fields.iter().map(|(name, _)| name));
        self.check_distinct("f", names.entry_fields.iter().map(|(name, _)| name));
        self.check_distinct("states", names.states.iter().map(|(name, _)| name));
    }

    /// Reports names that are used more than once in a group.
    fn check_distinct<'a>(&mut self, group: &str, names: impl Iterator<Item = &'a String>) {
        let mut seen = HashSet::new();
        for name in names {
            if !seen.insert(name) {
                self.problems.add(&format!("names: {group}"), format!("'{name}' is used more than once"));
            }
        }
    }
}

/// The kind of a value that is used in a URI.
#[derive(Clone, Copy)]
enum Kind {
    Name,
    Path,
}

impl Kind {
    fn allows(self, name: &str) -> bool {
        let is_unreserved = |character: char| character.is_ascii_alphanumeric() || "-_.~".contains(character);
        match self {
            Kind::Name => !name.is_empty() && name.chars().all(is_unreserved),
            Kind::Path => name.strip_prefix('/').is_some_and(|rest| {
                !rest.is_empty() && rest.chars().all(|character| is_unreserved(character) || character == '/')
            }),
        }
    }

    fn description(self) -> &'static str {
        match self {
            Kind::Name => "a name",
            Kind::Path => "an absolute path",
        }
    }
}

/// Replaces the names of an object's fields by the protocol's. Fields without an alias are dropped, because their names
/// may be those of other fields in the protocol.
fn rename_fields(object: &mut Value, aliases: &[Alias]) {
    let Some(fields) = object.as_object_mut() else { return };
    let mut given = std::mem::take(fields);
    for (name, protocol_name) in aliases {
        fields.extend(given.remove(name).map(|value| (protocol_name.to_string(), value)));
    }
}
