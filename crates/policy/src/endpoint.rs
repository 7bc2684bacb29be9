//! The endpoint list: the backends reported by discovery.

use crate::{BackendId, CellId, Micros, ZoneId};

/// The state of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The backend takes new work.
    InService,
    /// The backend completes its work in flight and takes no new work.
    Draining,
    /// The backend was taken out of service.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// The backend's zone.
    pub zone: ZoneId,
    /// The backend's cell.
    pub cell: CellId,
    /// Whether the backend takes new work.
    pub state: EndpointState,
    /// The backend's capacity relative to the other backends.
    pub weight: f64,
    /// When the backend last started; `None` means long ago.
    pub started_at: Option<Micros>,
}

/// The scope of an endpoint list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListScope {
    /// Only the entries that changed.
    Changes,
    /// The complete list; backends missing from it are gone.
    Complete,
    /// No entries, because fetching the list or subscribing to it failed; the last list remains valid.
    Unavailable,
}
