//! The facts that a gateway announces about itself to all members: a few short values that seldom change.

use crate::node::{is_short_text, MAX_LABEL_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of facts of one gateway.
pub const MAX_FACTS: usize = 16;
/// The maximum length of a fact's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64;

/// The gateway's number: its index among all gateways, from 0, as configured in its settings.
pub const GATEWAY_NUMBER: &str = "number";
/// Set to [`YES`] once the gateway has an endpoint list.
pub const READY: &str = "ready";
/// The revision of the endpoint list in use.
pub const ENDPOINT_LIST_REVISION: &str = "list";
/// A digest of the configuration in use.
pub const CONFIG_DIGEST: &str = "file";
/// The address from which others fetch the fleet document.
pub const DOCUMENT_ADDRESS: &str = "plan";
/// Set to [`YES`] when the gateway is about to leave.
pub const LEAVING: &str = "leaving";
/// The value of a boolean fact that is true.
pub const YES: &str = "yes";

/// The facts of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Incremented with each change.
    pub version: u32,
    /// The values by fact name.
    #[serde(rename = "told")]
    pub values: BTreeMap<String, String>,
}

impl Facts {
    /// Returns whether the number and lengths of the facts are within the limits for storing and forwarding them, and
    /// they have no control characters.
    pub fn is_valid(&self) -> bool {
        let is_valid = |name: &str, value: &str| {
            is_short_text(name, MAX_LABEL_BYTES) && is_short_text(value, MAX_VALUE_BYTES)
        };
        self.values.len() <= MAX_FACTS && self.values.iter().all(|(name, value)| is_valid(name, value))
    }

    /// Returns the value of a fact.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Sets the value of a fact. Returns whether it changed.
    pub(crate) fn set(&mut self, name: &str, value: &str) -> bool {
        if self.get(name) == Some(value) {
            return false;
        }
        self.values.insert(name.to_string(), value.to_string());
        self.version += 1;
        true
    }
}
