//! The configuration of a gateway, built from its file and the environment.
//!
//! [`source`] reads files, [`document`] defines every key, [`platform`] filters out the keys of the platform's file that
//! are not meant for this gateway, [`build`] validates all sections and collects every problem, [`effective`] renders
//! the result.

mod build;
pub mod document;
mod effective;
mod endpoint_list;
mod fleet;
pub mod plan;
mod platform;
pub(crate) mod problems;
mod site;
mod site_check;
mod sockets;
mod source;

pub use endpoint_list::{EndpointEntry, EndpointList, EndpointListError, EndpointPhase};
pub use fleet::FleetSettings;
pub use platform::IgnoredKeys;
pub use sockets::SocketLimits;
pub use source::{Origin, Source};

use crate::names::Names;
use crate::pool::PoolSettings;
use crate::relay::StreamSettings;
use document::AdminSection;
use lanespan_settings::Site;
use serde_json::Value;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The sections whose changes take effect only after a restart.
const RESTART_ONLY: [&str; 7] = ["name", "listen", "limits", "names", "admin", "fleet", "settings"];

/// The part of the configuration that a reload can change: the services that a gateway calls, and the limits on its
/// connections to backends and on streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Upstreams {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the shared counter, if one is configured.
    pub counter: Option<SocketAddr>,
    /// The limits on connections to backends.
    pub pool: PoolSettings,
    /// The limits on streams. If absent, nothing is streamed.
    pub streaming: Option<StreamSettings>,
    /// The digest of the effective configuration, which is announced to the fleet.
    pub config_digest: u64,
}

impl fmt::Display for Upstreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "discovery {}", self.discovery)?;
        match self.counter {
            Some(counter) => write!(f, ", counter {counter}"),
            None => Ok(()),
        }
    }
}

/// The configuration with which a gateway starts.
pub struct Config {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) counter: Option<SocketAddr>,
    /// The seed of all random number generators.
    pub(crate) seed: u64,
    /// The endpoint list under the key `known`, used until discovery has answered.
    pub(crate) saved_endpoints: EndpointList,
    pub(crate) site: Site,
    pub(crate) sockets: SocketLimits,
    pub(crate) pool: PoolSettings,
    pub(crate) streaming: Option<StreamSettings>,
    /// The usable memory of the machine, in bytes.
    pub(crate) memory: usize,
    /// The timeout for opening a connection to a backend.
    pub(crate) dial_timeout: Duration,
    pub(crate) admin: Option<AdminSection>,
    pub(crate) fleet: Option<FleetSettings>,
    /// The deployment's names for headers, paths and fields.
    pub(crate) names: Names,
    /// The indexes of the classes whose effect this gateway does not know.
    pub(crate) unknown_effects: HashSet<usize>,
    ignored: IgnoredKeys,
    /// The document as written in the file, without `known`.
    document: Value,
}

impl Config {
    /// Returns the part that a reload can change.
    pub fn upstreams(&self) -> Upstreams {
        Upstreams {
            discovery: self.discovery,
            counter: self.counter,
            pool: self.pool,
            streaming: self.streaming,
            config_digest: self.digest(),
        }
    }

    /// Returns the keys and values of the file that were not used.
    pub fn ignored(&self) -> &IgnoredKeys {
        &self.ignored
    }

    /// Returns the address of the admin interface, if it is enabled.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(|admin| admin.listen)
    }

    /// Returns the sections whose changes take effect only after a restart, as written in the file.
    pub fn restart_only(&self) -> Vec<(&'static str, Value)> {
        RESTART_ONLY.into_iter().map(|key| (key, self.section(key))).collect()
    }

    /// Returns the keys of those `sections` that differ from the sections of this configuration.
    pub fn changed_sections(&self, sections: &[(&'static str, Value)]) -> Vec<&'static str> {
        let changed = sections.iter().filter(|(key, written)| self.section(key) != *written);
        changed.map(|(key, _)| *key).collect()
    }

    /// Returns a section as written in the file.
    fn section(&self, key: &str) -> Value {
        self.document.get(key).cloned().unwrap_or_default()
    }
}
