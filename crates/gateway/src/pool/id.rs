//! Identifiers of backends and waiting requests within the pool.

/// Identifies one incarnation of a backend within the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId(pub u64);

/// Identifies a request that checks out a connection.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WaiterId(pub u64);
