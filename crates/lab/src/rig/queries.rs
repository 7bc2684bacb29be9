//! Queries the admin addresses of the running gateways.

use super::Rig;
use crate::gateway::{Gateway, ProcessState};
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::JoinSet;

impl Rig {
    /// Returns the membership views of the running gateways that respond, by gateway name.
    pub async fn views(&self) -> BTreeMap<String, Value> {
        self.get_json_from_all("/fleet/members").await
    }

    /// Fetches JSON from a path of every running gateway's admin address. Returns the successful responses by gateway
    /// name.
    pub async fn get_json_from_all(&self, path: &'static str) -> BTreeMap<String, Value> {
        let mut queries = JoinSet::new();
        for gateway in self.running() {
            let gateway = gateway.clone();
            queries.spawn_local(async move { (gateway.name.clone(), gateway.get_json(path).await) });
        }
        let mut responses = BTreeMap::new();
        while let Some(query) = queries.join_next().await {
            if let Ok((name, Ok(response))) = query {
                responses.insert(name, response);
            }
        }
        responses
    }

    /// Returns the gateways whose process is running.
    pub fn running(&self) -> impl Iterator<Item = &Rc<Gateway>> {
        self.gateways.iter().filter(|gateway| gateway.process_state.get() == ProcessState::Running)
    }
}
