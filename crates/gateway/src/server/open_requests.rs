//! Tracks the open requests of this gateway by the ids that clients gave them.

use super::error::RequestError;
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The client-assigned ids of open requests. Two requests with the same id must not be forwarded, because backends
/// treat the second one as a copy of the first.
#[derive(Clone, Default)]
pub(super) struct ClientRequestIds(Rc<RefCell<HashSet<HeaderValue>>>);

impl ClientRequestIds {
    /// Registers a request, unless one with the same id is open.
    pub(super) fn open(&self, client_id: HeaderValue) -> Result<ClientRequestGuard, RequestError> {
        match self.0.borrow_mut().insert(client_id.clone()) {
            true => Ok(ClientRequestGuard { requests: self.clone(), client_id }),
            false => Err(RequestError::DuplicateRequestId),
        }
    }
}

/// An open request; dropping it releases the id.
pub(super) struct ClientRequestGuard {
    requests: ClientRequestIds,
    client_id: HeaderValue,
}

impl Drop for ClientRequestGuard {
    fn drop(&mut self) {
        self.requests.0.borrow_mut().remove(&self.client_id);
    }
}
