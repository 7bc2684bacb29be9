//! Waits, with a time limit, until conditions on the fleet become true.

use super::{Rig, RigError, POLL_INTERVAL};
use crate::checks;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

impl Rig {
    /// Waits until a condition becomes true.
    pub async fn wait_until(
        &self,
        condition: &str,
        limit: Duration,
        holds: impl Fn() -> bool,
    ) -> Result<(), RigError> {
        let polling = async {
            while !holds() {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(limit, polling)
            .await
            .map_err(|_| RigError::ConditionTimeout { condition: condition.to_string(), timeout: limit })
    }

    /// Waits until a condition holds for the membership views of the running gateways that respond.
    pub async fn wait_for_views(
        &self,
        condition: &str,
        limit: Duration,
        holds: impl Fn(&BTreeMap<String, Value>) -> bool,
    ) -> Result<(), RigError> {
        self.poll_responses("/fleet/members", condition, limit, holds, view_summary).await.map(drop)
    }

    /// Waits until all running gateways have the same view, with exactly the running gateways as alive.
    pub async fn wait_for_agreement(&self, limit: Duration) -> Result<(), RigError> {
        let running: BTreeSet<String> = self.running().map(|gateway| gateway.name.clone()).collect();
        self.wait_for_views("views agree", limit, |views| checks::views_agree(views, &running)).await
    }

    /// Waits until a condition holds for the responses of the running gateways from a path of their admin addresses,
    /// and returns these responses.
    pub async fn wait_for_answers(
        &self,
        condition: &str,
        path: &'static str,
        limit: Duration,
        holds: impl Fn(&BTreeMap<String, Value>) -> bool,
    ) -> Result<BTreeMap<String, Value>, RigError> {
        self.poll_responses(path, condition, limit, holds, |name, response| format!("{name} {response}"))
            .await
    }

    /// Polls a path of the admin addresses until a condition holds. After the limit it returns an error with the last
    /// responses as formatted by `describe`.
    async fn poll_responses(
        &self,
        path: &'static str,
        condition: &str,
        limit: Duration,
        holds: impl Fn(&BTreeMap<String, Value>) -> bool,
        describe: impl Fn(&str, &Value) -> String,
    ) -> Result<BTreeMap<String, Value>, RigError> {
        let deadline = Instant::now() + limit;
        loop {
            let responses = self.get_json_from_all(path).await;
            if holds(&responses) {
                return Ok(responses);
            }
            if Instant::now() >= deadline {
                let described: Vec<String> =
                    responses.iter().map(|(name, response)| describe(name, response)).collect();
                return Err(RigError::ResponseTimeout {
                    condition: condition.to_string(),
                    timeout: limit,
                    responses: described.join("; "),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Formats a view in one line: its digest and the state of each member.
fn view_summary(name: &str, view: &Value) -> String {
    let members = view["members"].as_array().into_iter().flatten();
    let rows = members.map(|row| {
        format!("{} {}", row["name"].as_str().unwrap_or("?"), row["standing"].as_str().unwrap_or("?"))
    });
    format!("{name} [{}] {}", view["digest"].as_str().unwrap_or("?"), rows.collect::<Vec<_>>().join(", "))
}
