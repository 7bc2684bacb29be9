//! The names that a deployment gives to headers, paths, fields and states on its sockets. Those of the platform's
//! protocol hold where nothing else is told; what is sent under them is the same everywhere.

use super::config_error::ConfigError;
use hyper::header::HeaderName;
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};

/// The names in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Names {
    /// The headers of clients' requests and backends' answers.
    pub headers: Headers,
    /// The query parameter that names a customer, with its `=`.
    pub customer: String,
    /// Where a front asks whether this gateway is ready.
    pub ready: String,
    /// How discovery is asked.
    pub discovery: Discovery,
    /// How the counter is asked.
    pub counter: CounterCall,
    /// Fields and states of the list of backends: this deployment's name, and the protocol's.
    list: Vec<(String, &'static str)>,
    states: Vec<(String, &'static str)>,
}

/// The headers of clients' requests and backends' answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// What a client calls its request.
    pub call: HeaderName,
    /// The class.
    pub class: HeaderName,
    /// The customer's plan.
    pub plan: HeaderName,
    /// How long the client waits, in milliseconds.
    pub budget: HeaderName,
    /// Set to 1 on a client's retry.
    pub again: HeaderName,
    /// Units, spread and first.
    pub quota: HeaderName,
    /// A backend's load report.
    pub load: HeaderName,
    /// Set to 1 on an answer to a request that never ran.
    pub rejected: HeaderName,
}

/// How discovery is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Discovery {
    /// The path of the list.
    pub path: String,
    /// The parameter of the version from which changes are wanted.
    pub from: String,
    /// The parameter of the time to wait for one, in milliseconds.
    pub hold: String,
}

/// How the counter is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CounterCall {
    /// The path before a count's name.
    pub path: String,
    /// The parameter of the amount.
    pub add: String,
    /// The parameter of a new name's life, in milliseconds.
    pub life: String,
}

/// The platform's form of a deployment's names. What is absent is as in the protocol.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Told {
    h: BTreeMap<String, String>,
    paths: BTreeMap<String, String>,
    q: BTreeMap<String, String>,
    f: BTreeMap<String, String>,
    states: BTreeMap<String, String>,
    counter: BTreeMap<String, String>,
    key_name: Option<String>,
    #[serde(flatten)]
    ways: BTreeMap<String, Value>,
}

/// How things are said, which this gateway knows one way of.
const WAYS: [(&str, &str); 6] = [
    ("proto", "http"),
    ("deadline_form", "ms"),
    ("load_form", "orca"),
    ("class_in", "header"),
    ("key_in", "query"),
    ("discovery", "poll"),
];
/// The same of the counter.
const COUNTER_WAYS: [(&str, &str); 2] = [("proto", "http"), ("verb", "ADDGET")];
/// Fields and states of the list, by the platform's word for each and the protocol's name.
const LIST: [(&str, &str); 11] = [
    ("version", "revision"),
    ("full", "complete"),
    ("list", "members"),
    ("id", "id"),
    ("addr", "host_port"),
    ("zone", "locality"),
    ("kind", "flavor"),
    ("cell", "cell"),
    ("state", "phase"),
    ("weight", "size"),
    ("started", "up_since_ms"),
];
/// Of these the first ones stand round the members, the others in each.
const AROUND: usize = 3;
const STATES: [(&str, &str); 3] = [("ready", "ready"), ("draining", "draining"), ("gone", "gone")];

impl Default for Names {
    fn default() -> Names {
        match Names::of(&Value::Object(Default::default())) {
            Ok(names) => names,
            Err(error) => unreachable!("the protocol's own names: {error}"),
        }
    }
}

impl Names {
    /// Reads a deployment's names from the platform's form and tells all that is wrong with them.
    pub fn of(value: &Value) -> Result<Names, ConfigError> {
        if !value.is_object() {
            return Err(ConfigError::new(format!("names: expected an object, found {value}")));
        }
        let told = Told::deserialize(value).map_err(|e| ConfigError::new(format!("names: {e}")))?;
        let mut problems = Vec::new();
        for (key, known) in WAYS {
            let found = told.ways.get(key).filter(|way| way.as_str() != Some(known));
            problems.extend(found.map(|found| format!("names: {key}: expected '{known}', found {found}")));
        }
        for (key, known) in COUNTER_WAYS {
            let found = told.counter.get(key).filter(|way| *way != known);
            problems.extend(
                found.map(|found| format!("names: counter.{key}: expected '{known}', found '{found}'")),
            );
        }
        let mut header = |key: &str, usual: &'static str| {
            let name = told.h.get(key).map_or(usual, String::as_str);
            HeaderName::from_bytes(name.as_bytes()).unwrap_or_else(|_| {
                problems.push(format!("names: h.{key}: expected a header's name, found '{name}'"));
                HeaderName::from_static(usual)
            })
        };
        let headers = Headers {
            call: header("id", "x-call-id"),
            class: header("class", "x-call-class"),
            plan: header("tenant", "x-plan"),
            budget: header("deadline", "x-budget-ms"),
            again: header("retry", "x-again"),
            quota: header("extras", "x-quota"),
            load: header("load", "x-load-report"),
            rejected: header("not_run", "x-rejected"),
        };
        let mut word = |place: String, told: Option<&String>, usual: &str, path: bool| {
            let name = told.map_or(usual, String::as_str);
            let rest = if path { name.strip_prefix('/') } else { Some(name) };
            let plain = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c) || path && c == '/';
            if rest.is_some_and(|rest| !rest.is_empty() && rest.chars().all(plain)) {
                return name.to_string();
            }
            let wanted = if path { "a path" } else { "a name" };
            problems.push(format!("names: {place}: expected {wanted} of plain letters, found '{name}'"));
            usual.to_string()
        };
        let ready = word("paths.ready".into(), told.paths.get("ready"), "/_health", true);
        let discovery = Discovery {
            path: word("paths.list".into(), told.paths.get("list"), "/catalog/members", true),
            from: word("q.after".into(), told.q.get("after"), "from", false),
            hold: word("q.wait".into(), told.q.get("wait"), "hold_ms", false),
        };
        let counter = CounterCall {
            path: word("counter.path".into(), told.counter.get("path"), "/v1/count", true),
            add: word("counter.add".into(), told.counter.get("add"), "add", false),
            life: word("counter.ttl".into(), told.counter.get("ttl"), "ttl_ms", false),
        };
        let customer = word("key_name".into(), told.key_name.as_ref(), "customer", false) + "=";
        let mut table = |group: &str, told: &BTreeMap<String, String>, usual: &[(&str, &'static str)]| {
            let named = usual
                .iter()
                .map(|(key, name)| (word(format!("{group}.{key}"), told.get(*key), name, false), *name));
            named.collect::<Vec<_>>()
        };
        let (list, states) = (table("f", &told.f, &LIST), table("states", &told.states, &STATES));
        let Headers { call, class, plan, budget, again, quota, .. } = &headers;
        let asked = [call, class, plan, budget, again, quota].map(|name| name.to_string());
        twice("h", &asked, &mut problems);
        let named = |table: &[(String, &str)]| table.iter().map(|(name, _)| name.clone()).collect::<Vec<_>>();
        twice("f", &named(&list[..AROUND]), &mut problems);
        twice("f", &named(&list[AROUND..]), &mut problems);
        twice("states", &named(&states), &mut problems);
        match problems.is_empty() {
            true => Ok(Names { headers, customer, ready, discovery, counter, list, states }),
            false => Err(problems.into()),
        }
    }

    /// A list of backends, or changes to it, with the protocol's names for this deployment's.
    pub fn list(&self, mut list: Value) -> Value {
        if self.list.iter().chain(&self.states).all(|(here, usual)| here == usual) {
            return list;
        }
        rename(&mut list, &self.list[..AROUND]);
        for member in list["members"].as_array_mut().into_iter().flatten() {
            rename(member, &self.list[AROUND..]);
            let phase = member.get_mut("phase");
            let known = phase.and_then(|phase| {
                let usual = self.states.iter().find(|(here, _)| phase.as_str() == Some(here))?.1;
                Some((phase, usual))
            });
            known.into_iter().for_each(|(phase, usual)| *phase = usual.into());
        }
        list
    }
}

/// Gives an object's fields the protocol's names. What goes by none of these names is left out, as it could pass
/// for a field that it is not.
fn rename(object: &mut Value, names: &[(String, &'static str)]) {
    let Some(fields) = object.as_object_mut() else { return };
    let mut told = std::mem::take(fields);
    for (here, usual) in names {
        fields.extend(told.remove(here).map(|value| (usual.to_string(), value)));
    }
}

/// Tells names that stand for two things.
fn twice(group: &str, names: &[String], problems: &mut Vec<String>) {
    let mut seen = HashSet::new();
    let again = names.iter().filter(|name| !seen.insert(name.as_str()));
    problems.extend(again.map(|name| format!("names: {group}: '{name}' stands for two things")));
}
