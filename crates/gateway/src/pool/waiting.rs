//! Requests that wait for a connection, and how they are notified.

use super::error::CheckoutError;
use super::id::{IncarnationId, WaiterId};
use super::pooled_connection::PooledConnection;
use super::Pool;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The result of a checkout.
pub(super) type CheckoutResult = Result<PooledConnection, CheckoutError>;

/// The senders that notify waiting requests.
#[derive(Default)]
pub(super) struct Waiters {
    senders: RefCell<HashMap<WaiterId, oneshot::Sender<CheckoutResult>>>,
    last: Cell<WaiterId>,
}

impl Waiters {
    /// Returns a new id for a request.
    pub(super) fn next_id(&self) -> WaiterId {
        let id = self.last.get();
        self.last.set(WaiterId(id.0 + 1));
        id
    }

    /// Adds a waiting request. Returns the receiver of its connection or error.
    pub(super) fn add(&self, waiter: WaiterId) -> oneshot::Receiver<CheckoutResult> {
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(waiter, sender);
        receiver
    }

    /// Grants a connection to a request. The connection is released to the pool if the request no longer waits.
    pub(super) fn grant(&self, waiter: WaiterId, connection: PooledConnection) {
        let sender = self.senders.borrow_mut().remove(&waiter);
        let Some(sender) = sender else { return connection.release() };
        if let Err(Ok(connection)) = sender.send(Ok(connection)) {
            connection.release();
        }
    }

    /// Sends an error to requests that get no connection.
    pub(super) fn deny(&self, waiters: Vec<WaiterId>, error: CheckoutError) {
        for waiter in waiters {
            let sender = self.senders.borrow_mut().remove(&waiter);
            if let Some(sender) = sender {
                // The request may have ended meanwhile.
                let _ = sender.send(Err(error));
            }
        }
    }

    fn remove(&self, waiter: WaiterId) {
        self.senders.borrow_mut().remove(&waiter);
    }
}

/// The wait of one request. Dropping it removes the request from the queue and releases a connection that was granted
/// but not received.
pub(super) struct Wait<'a> {
    pool: &'a Rc<Pool>,
    id: IncarnationId,
    waiter: WaiterId,
    pub(super) result: oneshot::Receiver<CheckoutResult>,
}

impl<'a> Wait<'a> {
    pub(super) fn begin(pool: &'a Rc<Pool>, id: IncarnationId, waiter: WaiterId) -> Wait<'a> {
        Wait { pool, id, waiter, result: pool.waiters.add(waiter) }
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.pool.waiters.remove(self.waiter);
        self.pool.state.borrow_mut().remove_waiter(self.id, self.waiter);
        if let Ok(Ok(connection)) = self.result.try_recv() {
            connection.release();
        }
    }
}
