//! The ids that clients gave their requests. A backend treats a second request with the same id as a copy of the first,
//! and a request that may run only once would run twice. So an id is taken while any work for it is going on, whether
//! its client still waits or has left, and for a while after a request that may not run again.

mod recent;

use crate::memory::MemoryAccount;
use hyper::header::HeaderValue;
use recent::RecentIds;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use thiserror::Error;
use tokio::time::Instant;

/// Error of a request whose id can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestIdError {
    /// A request with this id is open, or work for it is going on.
    #[error("a request with this id is open")]
    Open,
    /// A request with this id may have run, and may not run again.
    #[error("a request with this id may have run")]
    MayHaveRun,
}

/// The ids that are taken. Clones share them.
#[derive(Clone)]
pub struct RequestIds(Rc<RefCell<TakenIds>>);

struct TakenIds {
    open: HashSet<HeaderValue>,
    recent: RecentIds,
}

impl RequestIds {
    /// Creates a set without ids. The ids that are kept beyond their requests are charged to `account`.
    pub fn new(account: &MemoryAccount) -> RequestIds {
        let recent = RecentIds::new(account);
        RequestIds(Rc::new(RefCell::new(TakenIds { open: HashSet::new(), recent })))
    }

    /// Takes the id of a request, unless it is taken. `may_run_again` tells that running the request twice does no harm.
    pub fn take(&self, id: HeaderValue, may_run_again: bool) -> Result<Rc<RequestIdGuard>, RequestIdError> {
        let mut taken = self.0.borrow_mut();
        if taken.recent.contains(id.as_bytes(), Instant::now()) {
            return Err(RequestIdError::MayHaveRun);
        }
        if !taken.open.insert(id.clone()) {
            return Err(RequestIdError::Open);
        }
        let may_have_run = Cell::new(false);
        Ok(Rc::new(RequestIdGuard { ids: self.clone(), id, may_run_again, may_have_run }))
    }
}

/// An id that is taken. Both the client's connection and the work for its request hold it, and it is free again when
/// neither does.
pub struct RequestIdGuard {
    ids: RequestIds,
    id: HeaderValue,
    may_run_again: bool,
    may_have_run: Cell<bool>,
}

impl RequestIdGuard {
    /// Returns whether running the request twice does no harm.
    pub fn may_run_again(&self) -> bool {
        self.may_run_again
    }

    /// Records that the request may have run.
    pub fn set_may_have_run(&self) {
        self.may_have_run.set(true);
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        let mut taken = self.ids.0.borrow_mut();
        taken.open.remove(&self.id);
        if self.may_have_run.get() && !self.may_run_again {
            taken.recent.insert(self.id.as_bytes(), Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
