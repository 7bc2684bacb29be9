use super::*;
use serde_json::json;

fn entry(id: &str) -> Value {
    json!({"id": id, "host_port": "10.1.0.18:8081", "locality": "a", "flavor": "m2", "cell": 3, "phase": "ready",
        "size": 2.0, "up_since_ms": 7})
}

fn list(members: Vec<Value>) -> Result<EndpointList, EndpointListError> {
    EndpointList::read(&json!({"revision": 41, "complete": true, "members": members}))
}

/// Reads a list of two entries, the second one with `field` set to `value` or removed. Returns the second entry and the
/// number of unreadable ones.
fn read_second(field: &str, value: Option<Value>) -> (Option<EndpointEntry>, usize) {
    let mut changed = entry("s-2");
    let fields = changed.as_object_mut().expect("the entry is an object");
    match value {
        Some(value) => drop(fields.insert(field.to_string(), value)),
        None => drop(fields.remove(field)),
    }
    let list = list(vec![entry("s-1"), changed]).expect("the list is valid");
    assert_eq!((list.endpoints[0].id.as_str(), list.endpoints[0].phase), ("s-1", EndpointPhase::Ready));
    (list.endpoints.get(1).cloned(), list.unreadable)
}

#[test]
fn optional_fields_of_an_entry_have_defaults() {
    let complete = read_second("flavor", Some(json!("m2"))).0.expect("the entry is read");
    assert_eq!(
        (complete.zone.as_str(), complete.cell, complete.weight, complete.started_at_ms),
        ("a", 3, 2.0, 7)
    );
    for (field, value) in [("later", Some(json!({"edition": [2]}))), ("flavor", Some(json!(9)))] {
        assert_eq!(read_second(field, value), (Some(complete.clone()), 0), "{field}");
    }
    for value in [None, Some(Value::Null)] {
        assert_eq!(read_second("locality", value.clone()).0.expect("the entry is read").zone, "");
        assert_eq!(read_second("cell", value.clone()).0.expect("the entry is read").cell, 0);
        assert_eq!(read_second("size", value.clone()).0.expect("the entry is read").weight, 1.0);
        assert_eq!(read_second("up_since_ms", value).0.expect("the entry is read").started_at_ms, 0);
    }
    for (field, value) in [("locality", json!(5)), ("size", json!("large"))] {
        let read = read_second(field, Some(value));
        assert_eq!(
            (read.0.expect("the entry is read").phase, read.1),
            (EndpointPhase::Ready, 0),
            "{field} affects only preferences"
        );
    }
}

#[test]
fn an_unreadable_entry_is_draining_and_does_not_affect_other_entries() {
    for (field, value) in [
        ("phase", Some(json!("warming"))),
        ("phase", Some(json!(3))),
        ("phase", None),
        ("host_port", Some(json!("nowhere"))),
        ("host_port", Some(json!({"ip": "10.1.0.18"}))),
        ("host_port", None),
        ("cell", Some(json!("c3"))),
        ("cell", Some(json!(-1))),
        ("up_since_ms", Some(json!("yesterday"))),
    ] {
        let (read, unreadable) = read_second(field, value.clone());
        let read = read.unwrap_or_else(|| panic!("an entry with {field}: {value:?} keeps its id"));
        assert_eq!(
            (read.id.as_str(), read.phase, unreadable),
            ("s-2", EndpointPhase::Draining, 1),
            "{field}"
        );
    }
    for (field, value) in [("id", None), ("id", Some(json!(2))), ("id", Some(json!("")))] {
        assert_eq!(read_second(field, value), (None, 1), "an entry without an id is left out");
    }
    let mixed = list(vec![json!(7), entry("s-1"), json!(null), json!([])]).expect("the list is valid");
    assert_eq!((mixed.endpoints.len(), mixed.unreadable), (1, 3));
}

#[test]
fn a_draining_or_gone_entry_needs_no_address() {
    for (state, phase) in [("draining", EndpointPhase::Draining), ("gone", EndpointPhase::Gone)] {
        let read = EndpointList::read(&json!({"revision": 3, "members": [{"id": "s-1", "phase": state}]}));
        let read = read.expect("the list is valid");
        assert_eq!((read.endpoints[0].phase, read.unreadable, read.complete), (phase, 0, false));
    }
}

#[test]
fn a_value_that_is_no_list_or_a_complete_list_without_readable_entries_is_an_error() {
    for value in [
        json!(7),
        json!({}),
        json!({"revision": 3, "members": 7}),
        json!({"revision": "3", "members": []}),
        json!({"revision": 3, "complete": "yes", "members": []}),
        json!({"revision": 3, "complete": true, "members": [{"id": "s-1", "phase": "warming"}]}),
    ] {
        assert!(EndpointList::read(&value).is_err(), "{value}");
    }
    let empty = json!({"revision": 3, "complete": true, "members": []});
    assert!(EndpointList::read(&empty).is_ok(), "a complete list without any entries is valid");
    let change = json!({"revision": 3, "members": [{"id": "s-1", "phase": "warming"}]});
    assert!(EndpointList::read(&change).is_ok(), "an unreadable change affects one backend only");
}
