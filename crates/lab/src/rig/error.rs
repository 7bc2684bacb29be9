//! The errors of starting, controlling and querying a fleet.

use crate::gateway::GatewayError;
use std::time::Duration;
use thiserror::Error;

/// An error of starting a fleet, applying an action to it or waiting for a condition.
#[derive(Debug, Error)]
pub enum RigError {
    /// A directory could not be created, or a stand-in or relay could not listen.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A gateway's process failed.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// An action names a party that the experiment does not have.
    #[error("unknown party: {0}")]
    UnknownParty(String),
    /// An action names the leader of the fleet document while no gateway reports that it leads.
    #[error("the fleet document has no leader")]
    NoLeader,
    /// A gateway did not exit in time after SIGTERM.
    #[error("gateway {0} did not exit in time after SIGTERM")]
    ExitTimeout(String),
    /// A condition did not become true in time.
    #[error("condition not reached within {timeout:?}: {condition}")]
    ConditionTimeout {
        /// The condition.
        condition: String,
        /// The time limit.
        timeout: Duration,
    },
    /// The gateways' responses did not meet a condition in time.
    #[error("condition not reached within {timeout:?}: {condition}; last responses: {responses}")]
    ResponseTimeout {
        /// The condition.
        condition: String,
        /// The time limit.
        timeout: Duration,
        /// The last responses.
        responses: String,
    },
}
