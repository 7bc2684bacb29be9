//! The location of a backend.

use crate::{CellId, ZoneId};

/// The zone and cell of a backend, which determine the backends with which it shares idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
}
