//! The configuration of a gateway: the file, the environment, and what follows from both.
//!
//! [`source`] reads files, [`document`] has every key, [`platform`] separates what the platform's file holds for others,
//! [`build`] puts the parts together and collects every problem, [`effective`] shows the result.

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

/// The sections that take effect with the next start only.
const RESTART_ONLY: [&str; 7] = ["name", "listen", "limits", "names", "admin", "fleet", "settings"];

/// What a reload may change: the services that a gateway calls, and the limits on its connections to backends and on
/// streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Upstreams {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The shared counter.
    pub counter: Option<SocketAddr>,
    /// The limits on connections to backends.
    pub pool: PoolSettings,
    /// The limits on streams; without them nothing is streamed.
    pub streaming: Option<StreamSettings>,
    /// A digest of the effective configuration.
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
    /// The seed of all random numbers.
    pub(crate) seed: u64,
    /// The endpoint list as it was last known.
    pub(crate) saved_endpoints: EndpointList,
    pub(crate) site: Site,
    pub(crate) sockets: SocketLimits,
    pub(crate) pool: PoolSettings,
    pub(crate) streaming: Option<StreamSettings>,
    /// Memory of the machine, in bytes.
    pub(crate) memory: usize,
    /// A connection to a backend must be made within this.
    pub(crate) dial_timeout: Duration,
    pub(crate) admin: Option<AdminSection>,
    pub(crate) fleet: Option<FleetSettings>,
    /// What the deployment calls headers, paths and fields.
    pub(crate) names: Names,
    /// The indexes of the classes of which it is not known what their requests do.
    pub(crate) unknown_effects: HashSet<usize>,
    ignored: IgnoredKeys,
    /// The document as it was written.
    document: Value,
}

impl Config {
    /// What a reload may change.
    pub fn upstreams(&self) -> Upstreams {
        Upstreams {
            discovery: self.discovery,
            counter: self.counter,
            pool: self.pool,
            streaming: self.streaming,
            config_digest: self.digest(),
        }
    }

    /// What the configuration held and was not used.
    pub fn ignored(&self) -> &IgnoredKeys {
        &self.ignored
    }

    /// The address for operators.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(|admin| admin.listen)
    }

    /// The sections that take effect with the next start only, as they were written.
    pub fn restart_only(&self) -> Vec<(&'static str, Value)> {
        RESTART_ONLY.into_iter().map(|key| (key, self.section(key))).collect()
    }

    /// Which of these sections are written otherwise here.
    pub fn changed_sections(&self, sections: &[(&'static str, Value)]) -> Vec<&'static str> {
        let changed = sections.iter().filter(|(key, written)| self.section(key) != *written);
        changed.map(|(key, _)| *key).collect()
    }

    /// A section as it was written.
    fn section(&self, key: &str) -> Value {
        self.document.get(key).cloned().unwrap_or_default()
    }
}
