//! The endpoint list as received from discovery. Entries are read one by one, so that an unreadable one does not keep
//! the others from taking effect.

use serde_json::{Map, Value};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Placeholder for the address of an entry that gets no new requests and has no readable address.
const MISSING_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// The weight of an entry without a readable weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A complete endpoint list, or changes to one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointList {
    /// The revision of the list.
    pub revision: u64,
    /// Whether the list holds every backend, and not only those that changed.
    pub complete: bool,
    /// The entries. An unreadable entry with a readable id is included as [`EndpointPhase::Draining`].
    pub endpoints: Vec<EndpointEntry>,
    /// The number of unreadable entries.
    pub unreadable: usize,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The id of the backend, the same at every gateway.
    pub id: String,
    /// The address at which this gateway reaches the backend.
    pub address: SocketAddr,
    /// The zone of the backend.
    pub zone: String,
    /// The cell of the backend.
    pub cell: u64,
    /// Whether the backend accepts new requests.
    pub phase: EndpointPhase,
    /// The capacity of the backend relative to the others.
    pub weight: f64,
    /// When the backend last started, as Unix time in milliseconds. 0 means long ago.
    pub started_at_ms: u64,
}

/// Whether a backend accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// The backend accepts new requests.
    Ready,
    /// The backend finishes its open requests and accepts no new ones.
    Draining,
    /// The backend was taken out of service.
    Gone,
}

/// Why a value is not an endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// The value is not an object.
    #[error("expected an object")]
    NotAnObject,
    /// The field `members` is missing or not a list.
    #[error("expected a list of members")]
    InvalidMembers,
    /// The field `revision` is missing or not an integer.
    #[error("expected revision to be a whole number")]
    InvalidRevision,
    /// The field `complete` is not a boolean.
    #[error("expected complete to be true or false")]
    InvalidComplete,
    /// The list is complete and none of its entries can be read. Applying it would leave this gateway without backends.
    #[error("expected readable members, found none")]
    NoReadableEntry,
}

impl EndpointPhase {
    fn read(value: &Value) -> Option<EndpointPhase> {
        match value.as_str()? {
            "ready" => Some(EndpointPhase::Ready),
            "draining" => Some(EndpointPhase::Draining),
            "gone" => Some(EndpointPhase::Gone),
            _ => None,
        }
    }
}

impl EndpointList {
    /// Reads a list whose fields have the names of the protocol.
    pub fn read(value: &Value) -> Result<EndpointList, EndpointListError> {
        let fields = value.as_object().ok_or(EndpointListError::NotAnObject)?;
        let revision = fields.get("revision").and_then(Value::as_u64);
        let complete = match fields.get("complete") {
            None | Some(Value::Null) => Some(false),
            Some(flag) => flag.as_bool(),
        };
        let entries = fields.get("members").and_then(Value::as_array);
        let entries = entries.ok_or(EndpointListError::InvalidMembers)?;
        let mut list = EndpointList {
            revision: revision.ok_or(EndpointListError::InvalidRevision)?,
            complete: complete.ok_or(EndpointListError::InvalidComplete)?,
            endpoints: Vec::with_capacity(entries.len()),
            unreadable: 0,
        };
        for entry in entries {
            list.add(entry);
        }
        if list.complete && list.unreadable > 0 && list.unreadable == entries.len() {
            return Err(EndpointListError::NoReadableEntry);
        }
        Ok(list)
    }

    fn add(&mut self, entry: &Value) {
        let Some(fields) = entry.as_object() else {
            self.unreadable += 1;
            return;
        };
        let endpoint = EndpointEntry::read(fields).or_else(|| {
            self.unreadable += 1;
            EndpointEntry::read_as_draining(fields)
        });
        self.endpoints.extend(endpoint);
    }
}

impl EndpointEntry {
    /// Reads an entry. Returns `None` if a field is unreadable on which correctness depends: the phase, address, cell or
    /// start time. Zone and weight affect only preferences, so an unreadable one is replaced by its default.
    fn read(fields: &Map<String, Value>) -> Option<EndpointEntry> {
        let phase = EndpointPhase::read(fields.get("phase")?)?;
        let address = fields.get("host_port").and_then(Value::as_str).and_then(|text| text.parse().ok());
        let address = match phase {
            EndpointPhase::Ready => address?,
            EndpointPhase::Draining | EndpointPhase::Gone => address.unwrap_or(MISSING_ADDRESS),
        };
        Some(EndpointEntry {
            id: read_id(fields)?,
            address,
            zone: fields.get("locality").and_then(Value::as_str).unwrap_or_default().to_string(),
            cell: integer_or_zero(fields.get("cell"))?,
            phase,
            weight: fields.get("size").and_then(Value::as_f64).unwrap_or(DEFAULT_WEIGHT),
            started_at_ms: integer_or_zero(fields.get("up_since_ms"))?,
        })
    }

    /// Reads an entry of which only the id can be read. Whether the backend accepts requests is unknown, so the entry is
    /// draining and the backend gets no new ones.
    fn read_as_draining(fields: &Map<String, Value>) -> Option<EndpointEntry> {
        Some(EndpointEntry {
            id: read_id(fields)?,
            address: MISSING_ADDRESS,
            zone: String::new(),
            cell: 0,
            phase: EndpointPhase::Draining,
            weight: DEFAULT_WEIGHT,
            started_at_ms: 0,
        })
    }
}

fn read_id(fields: &Map<String, Value>) -> Option<String> {
    fields.get("id").and_then(Value::as_str).filter(|id| !id.is_empty()).map(str::to_string)
}

/// Reads an integer whose absence means 0.
fn integer_or_zero(value: Option<&Value>) -> Option<u64> {
    match value {
        None | Some(Value::Null) => Some(0),
        Some(value) => value.as_u64(),
    }
}

#[cfg(test)]
mod tests;
