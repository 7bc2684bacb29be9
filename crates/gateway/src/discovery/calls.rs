//! The calls to discovery that are in progress.

use super::call::{Answer, Call, CallError};
use super::schedule::CallId;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;

type CallFuture = Pin<Box<dyn Future<Output = Result<Answer, CallError>>>>;

/// Drives the calls in progress side by side. A call is closed when it is removed.
#[derive(Default)]
pub(super) struct CallsInProgress {
    calls: Vec<(CallId, CallFuture)>,
}

impl CallsInProgress {
    pub(super) fn begin(&mut self, id: CallId, call: Call) {
        self.calls.push((id, Box::pin(call.make())));
    }

    /// Removes the calls for which `keep` returns false.
    pub(super) fn retain(&mut self, mut keep: impl FnMut(CallId) -> bool) {
        self.calls.retain(|(id, _)| keep(*id));
    }

    /// Waits until a call ends, and removes it. Of several that have ended the newest is first, because its answer is. Waits
    /// forever while there is none. Dropping the future loses nothing.
    pub(super) async fn next_ended(&mut self) -> (CallId, Result<Answer, CallError>) {
        poll_fn(|cx| {
            for index in (0..self.calls.len()).rev() {
                if let Poll::Ready(result) = self.calls[index].1.as_mut().poll(cx) {
                    let (id, _) = self.calls.remove(index);
                    return Poll::Ready((id, result));
                }
            }
            Poll::Pending
        })
        .await
    }
}
