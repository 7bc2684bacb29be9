//! Watches the endpoint list at discovery by long polling, and retries indefinitely after failures.
//!
//! [`schedule`] decides when to call and which answers count, [`call`] makes one call, and this module joins the two with
//! the configuration and the driver. A call in progress is independent of the configuration and of its own lateness: when
//! its answer is late another call is made beside it, and it ends by its answer or once another call has returned a list
//! that is at least as new.

mod call;
mod calls;
mod schedule;

use super::backoff::Backoff;
use super::config::{EndpointList, Upstreams};
use super::driver::{DriverEvent, DriverSender};
use super::http::Connection;
use super::names::Names;
use call::{Answer, Call, CallError};
use calls::CallsInProgress;
use schedule::{CallId, CallOrder, Schedule, Step, Verdict};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};

/// How long discovery may wait for a change before it answers a poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(3);

/// The parameters of a watch on the endpoint list.
pub struct Params {
    /// Provides discovery's address, which a reload may change.
    pub upstreams: watch::Receiver<Upstreams>,
    /// Receives each list and each change.
    pub driver: DriverSender,
    /// The delays before the first poll and after a failed one.
    pub backoff: Backoff,
    /// The revision to watch from. Without one the complete list is fetched first.
    pub known_revision: Option<u64>,
    /// The deployment's names for the path and parameters of discovery.
    pub names: Rc<Names>,
}

/// Watches the endpoint list and forwards lists and changes to the driver, until the driver ends. Discovery continues a
/// watch whose next poll arrives within 200 ms, so only the first poll and polls after a failure are delayed.
pub async fn watch(params: Params) {
    let Params { mut upstreams, driver, backoff, known_revision, names } = params;
    let address = upstreams.borrow_and_update().discovery;
    let mut watcher = Watcher {
        schedule: Schedule::new(address, known_revision, backoff, Instant::now()),
        calls: CallsInProgress::default(),
        idle: None,
        names,
        failing: false,
        unreadable: 0,
    };
    loop {
        let next_step_at = watcher.schedule.next_step_at();
        let list = tokio::select! {
            biased;
            Ok(()) = upstreams.changed() => {
                watcher.switch_to(upstreams.borrow_and_update().discovery);
                None
            }
            (id, result) = watcher.calls.next_ended() => watcher.ended(id, result),
            () = sleep_until(next_step_at) => {
                watcher.step();
                None
            }
        };
        if let Some(list) = list {
            if driver.send(DriverEvent::EndpointsChanged(list)).await.is_err() {
                return;
            }
        }
    }
}

/// The state of a watch.
struct Watcher {
    schedule: Schedule,
    calls: CallsInProgress,
    /// An idle connection to the configured address.
    idle: Option<Connection>,
    names: Rc<Names>,
    /// Whether the last call failed.
    failing: bool,
    /// The number of unreadable entries in the last list.
    unreadable: usize,
}

impl Watcher {
    fn step(&mut self) {
        match self.schedule.step(Instant::now()) {
            Step::Call(order) => self.begin_call(order),
            Step::Late { calls } => self.log_late(calls),
        }
    }

    fn begin_call(&mut self, order: CallOrder) {
        debug!(discovery = %order.address, from = order.from, "calling discovery");
        let call = Call {
            address: order.address,
            from: order.from,
            names: self.names.clone(),
            idle: self.idle.take(),
        };
        self.calls.begin(order.id, call);
        self.close_ended_calls();
    }

    fn switch_to(&mut self, address: SocketAddr) {
        if self.schedule.switch_to(address, Instant::now()) {
            self.idle = None;
        }
    }

    /// Records how a call ended. Returns its list if it is to be applied.
    fn ended(&mut self, id: CallId, result: Result<Answer, CallError>) -> Option<EndpointList> {
        let applied = match result {
            Ok(answer) => self.answered(id, answer),
            Err(error) => {
                self.failed(id, &error);
                None
            }
        };
        self.close_ended_calls();
        applied
    }

    fn answered(&mut self, id: CallId, answer: Answer) -> Option<EndpointList> {
        let Answer { list, address, connection } = answer;
        let verdict = self.schedule.answered(id, &list, Instant::now());
        if address == self.schedule.address() {
            self.idle = Some(connection);
            self.log_recovery();
        }
        match verdict {
            Verdict::Apply => {
                self.log_unreadable(&list);
                Some(list)
            }
            Verdict::DoesNotFollow { known_revision } => {
                warn!(
                    revision = list.revision,
                    known_revision, "endpoint list does not follow the known one, fetching the complete list"
                );
                None
            }
            Verdict::Outdated => {
                debug!(discovery = %address, revision = list.revision, "endpoint list is outdated");
                None
            }
        }
    }

    fn failed(&mut self, id: CallId, error: &CallError) {
        let address = self.schedule.address();
        if !self.schedule.failed(id, Instant::now()) {
            debug!(%error, "call to an earlier discovery failed");
        } else if !std::mem::replace(&mut self.failing, true) {
            warn!(discovery = %address, %error, "endpoint list watch failed, keeping the last known list");
        }
    }

    /// Closes the connections of calls that the schedule has ended.
    fn close_ended_calls(&mut self) {
        let schedule = &self.schedule;
        self.calls.retain(|id| schedule.is_in_progress(id));
    }

    /// Logs that discovery does not answer. One late answer is common where discovery is slow, and not worth a line.
    fn log_late(&mut self, calls: usize) {
        if calls > 1 && !std::mem::replace(&mut self.failing, true) {
            let discovery = self.schedule.address();
            warn!(%discovery, calls, "endpoint list watch gets no answer, keeping the last known list");
        }
    }

    fn log_recovery(&mut self) {
        if std::mem::take(&mut self.failing) {
            info!(discovery = %self.schedule.address(), "endpoint list watch recovered");
        }
    }

    /// Logs the number of unreadable entries when it changes, and not for each list, because frequent lists may contain
    /// the same unreadable entry every time.
    fn log_unreadable(&mut self, list: &EndpointList) {
        let before = std::mem::replace(&mut self.unreadable, list.unreadable);
        if list.unreadable != before && list.unreadable > 0 {
            warn!(
                entries = list.unreadable,
                revision = list.revision,
                "endpoint list has entries that can't be read, sending no new requests to their backends"
            );
        }
    }
}
