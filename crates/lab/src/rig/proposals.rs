//! Proposes changes to the fleet document.

use super::{POLL_INTERVAL, SHUTDOWN_TIMEOUT};
use crate::gateway::{Gateway, ProcessState};
use crate::http;
use hyper::Method;
use serde_json::{json, Value};
use std::rc::Rc;
use tokio::time::{sleep, Instant};

const PROPOSE_PATH: &str = "/fleet/plan/propose";

/// Sends a proposal to one running gateway after the other until one returns a decision. Returns the index if the
/// proposal was accepted, and `None` otherwise.
pub(super) async fn propose(
    gateways: &[Rc<Gateway>],
    id: u64,
    section: &str,
    key: &str,
    value: &str,
) -> Option<u64> {
    let body = json!({
        "id": id, "schema": 1, "proposer": "rig", "reason": "an experiment", "section": section, "key": key,
        "value": value,
    });
    let deadline = Instant::now() + SHUTDOWN_TIMEOUT * 3;
    while Instant::now() < deadline {
        for gateway in gateways.iter().filter(|gateway| gateway.process_state.get() == ProcessState::Running)
        {
            let response =
                http::call(gateway.admin_address.get(), Method::POST, PROPOSE_PATH, body.to_string()).await;
            let Ok((200, response)) = response else { continue };
            let response: Value = serde_json::from_slice(&response).ok()?;
            let decision = &response["Decided"];
            return decision["Agreed"].as_u64().or(decision["Known"].as_u64());
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}
