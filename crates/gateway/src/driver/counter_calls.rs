//! Makes the calls to the shared counter that the policy engine orders.

use super::events::{DriverEvent, DriverSender};
use crate::counter::{self, Counter, CounterReply, ReplySequencer};
use lanespan_policy::{CounterKey, Micros, Outcome};
use std::net::SocketAddr;
use std::rc::Rc;

/// A call to the counter, as ordered by the engine.
pub(super) struct CounterCall {
    pub(super) key: CounterKey,
    pub(super) amount: f64,
    /// How long the counter keeps the key, if this call creates it.
    pub(super) lifetime: Micros,
    /// When the engine ordered the call.
    pub(super) called_at: Micros,
}

/// Makes calls to the counter, each in its own task, and returns their replies in the order of the calls.
pub(super) struct CounterCalls {
    counter: Option<Rc<Counter>>,
    params: counter::Params,
    replies: ReplySequencer,
    driver: DriverSender,
}

impl CounterCalls {
    pub(super) fn new(
        address: Option<SocketAddr>,
        params: counter::Params,
        driver: DriverSender,
    ) -> CounterCalls {
        let counter = address.map(|address| Rc::new(Counter::new(address, params.clone())));
        CounterCalls { counter, params, replies: ReplySequencer::default(), driver }
    }

    /// Switches to the counter at another address.
    pub(super) fn set_address(&mut self, address: Option<SocketAddr>) {
        // Removing the counter from the configuration requires a restart.
        let Some(address) = address else { return };
        match &self.counter {
            Some(counter) => counter.set_address(address),
            None => self.counter = Some(Rc::new(Counter::new(address, self.params.clone()))),
        }
    }

    /// Spawns a call; its reply is sent to the driver.
    pub(super) fn spawn(&mut self, call: CounterCall) {
        let CounterCall { key, amount, lifetime, called_at } = call;
        let sequence = self.replies.register(key);
        let (counter, driver) = (self.counter.clone(), self.driver.clone());
        tokio::task::spawn_local(async move {
            let reply = match counter {
                Some(counter) => counter.add(key, amount, lifetime).await,
                None => Outcome::ConnectFailed.into(),
            };
            // The driver outlives every call, except while the process exits.
            let _ = driver.send(DriverEvent::CounterReplied { key, sequence, reply, called_at }).await;
        });
    }

    /// Records a reply, and returns the replies for its key that can now be delivered, in the order of their calls.
    pub(super) fn resolve(
        &mut self,
        key: CounterKey,
        sequence: u64,
        reply: CounterReply,
    ) -> Vec<CounterReply> {
        self.replies.resolve(key, sequence, reply)
    }
}
