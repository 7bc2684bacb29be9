//! Errors of checkouts and dials.

use thiserror::Error;

/// Error of a failed checkout. Nothing was sent in any of these cases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CheckoutError {
    /// The backend moved, restarted, drains or is gone.
    #[error("the backend is no longer in service")]
    BackendClosed,
    /// No connection to the backend could be established.
    #[error("the backend is unreachable")]
    Unreachable,
    /// No connection to the backend became free in time, or too many requests already wait for one.
    #[error("all connections to the backend are in use")]
    BackendFull,
    /// The limit of this gateway on connections or on waiting requests is reached.
    #[error("all connections of this gateway are in use")]
    PoolExhausted,
}

/// Error of a failed dial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DialError {
    /// The dial failed without timing out. Usually the backend refused the connection, but this also covers network
    /// errors and local faults, such as exhausted file descriptors. The pool handles all of them as refusals.
    #[error("connecting to the backend failed")]
    Refused,
    /// The connection was not established in time.
    #[error("the connection to the backend timed out")]
    TimedOut,
}
