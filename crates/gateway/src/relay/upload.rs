//! Long uploads, passed on as they arrive. What has come so far is kept while it fits into the replay buffer, so
//! that another attempt can send it again. Past that the upload is bound to the attempt that carries it.

use super::StreamSettings;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::{sleep, sleep_until, Instant};

/// What an upload is bound to that no attempt carries any more.
const NOBODY: usize = usize::MAX;

/// What a client sends, as it comes.
pub type Source = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// One upload: what its client sends, and how far it is.
pub struct Upload {
    parts: RefCell<Parts>,
    /// Bytes that came.
    moved: Cell<u64>,
    /// When it began, and its present window did, by then so many bytes had come.
    window: Cell<(Instant, Instant, u64)>,
    /// How long its client waits for the answer, from the last byte on.
    budget: Duration,
    /// It was bound, or is over.
    changed: Notify,
    _room: OwnedSemaphorePermit,
}

struct Parts {
    /// `None` once nothing more is wanted of it.
    source: Option<Source>,
    declared: Option<u64>,
    /// All that came, while it fits into `hold` bytes.
    kept: Vec<Bytes>,
    kept_bytes: usize,
    hold: usize,
    /// The attempt that alone carries it from here on.
    bound: Option<usize>,
    /// The client has sent all of it.
    whole: Option<Instant>,
    /// The client's side ended before that.
    broken: bool,
    /// Nothing more had come from the client at the last look.
    waits: bool,
    readers: Vec<Waker>,
}

impl Parts {
    fn wake(&mut self) {
        self.readers.drain(..).for_each(Waker::wake);
    }
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an upload, {} bytes so far", self.moved.get())
    }
}

impl Upload {
    /// An upload of which nothing has been read, nor will be before an attempt asks for it.
    pub fn new(source: Source, hold: usize, budget: Duration, room: OwnedSemaphorePermit) -> Rc<Upload> {
        let declared = source.size_hint().exact();
        let parts = Parts {
            source: Some(source),
            declared,
            kept: Vec::new(),
            kept_bytes: 0,
            hold,
            bound: None,
            whole: None,
            broken: false,
            waits: false,
            readers: Vec::new(),
        };
        let (now, changed) = (Instant::now(), Notify::new());
        let (moved, window) = (Cell::new(0), Cell::new((now, now, 0)));
        Rc::new(Upload { parts: RefCell::new(parts), moved, window, budget, changed, _room: room })
    }

    /// The body of one attempt, which reads from the start.
    pub fn carry(self: &Rc<Self>, attempt: usize) -> Carried {
        let parts = self.parts.borrow();
        let state = Rc::<Sending>::default();
        state.done.set(parts.whole.is_some() && parts.kept_bytes == 0);
        Carried { upload: self.clone(), attempt, at: 0, sent: 0, state }
    }

    /// Whether the client has sent all of it.
    pub fn is_whole(&self) -> bool {
        self.parts.borrow().whole.is_some()
    }

    /// Whether only this attempt can carry it.
    pub fn is_bound_to(&self, attempt: usize) -> bool {
        self.parts.borrow().bound == Some(attempt)
    }

    /// Whether an attempt that begins now would find all that came.
    pub fn is_kept(&self) -> bool {
        self.parts.borrow().bound.is_none()
    }

    /// Whether more is to come from the client, and it has not.
    pub fn waits_for_client(&self) -> bool {
        let parts = self.parts.borrow();
        parts.broken || parts.whole.is_none() && parts.waits
    }

    /// Waits until only this attempt can carry it.
    pub async fn bound_to(&self, attempt: usize) {
        self.until(|upload| upload.is_bound_to(attempt)).await;
    }

    async fn until(&self, so: impl Fn(&Upload) -> bool) {
        let mut changed = std::pin::pin!(self.changed.notified());
        loop {
            changed.as_mut().enable();
            if so(self) {
                return;
            }
            changed.as_mut().await;
            changed.set(self.changed.notified());
        }
    }

    /// Nothing more of it is wanted: its request has been answered, or its client is let go.
    pub fn close(&self) {
        let mut parts = self.parts.borrow_mut();
        parts.broken |= parts.source.take().is_some() && parts.whole.is_none();
        // Guards against a part that passes for the whole, at an attempt that is still out.
        (parts.kept, parts.bound) = (Vec::new(), Some(NOBODY));
        parts.wake();
        drop(parts);
        self.changed.notify_waiters();
    }

    /// Whether its client takes too long, or sent too little in a window. While the client is not waited for, its
    /// window stands still.
    pub fn lags(&self, set: &StreamSettings) -> bool {
        let (now, (began, window, moved)) = (Instant::now(), self.window.get());
        let (over, waits) = {
            let parts = self.parts.borrow();
            (parts.whole.is_some() || parts.source.is_none(), parts.waits)
        };
        if over {
            return false;
        }
        if !waits {
            self.window.set((began, now, self.moved.get()));
        } else if now >= window + set.window {
            self.window.set((began, now, self.moved.get()));
            if self.moved.get() - moved < set.least {
                return true;
            }
        }
        now >= began + set.longest
    }

    /// Waits until the time of a bound attempt is up: its backend took too little in a window, or has not
    /// answered in time from the last byte on.
    pub async fn time_of_backend(&self, set: &StreamSettings) {
        while !self.is_whole() {
            let moved = self.moved.get();
            tokio::select! {
                () = sleep(set.window) => {}
                () = self.until(Upload::is_whole) => break,
            }
            let parts = self.parts.borrow();
            if parts.whole.is_none() && !parts.waits && self.moved.get() - moved < set.least {
                return;
            }
        }
        let whole = self.parts.borrow().whole;
        sleep_until(whole.unwrap_or_else(Instant::now) + self.budget).await;
    }
}

/// An upload as one attempt sends it on.
pub struct Carried {
    upload: Rc<Upload>,
    attempt: usize,
    /// So many of the kept parts, and bytes, went out.
    at: usize,
    sent: u64,
    state: Rc<Sending>,
}

/// How far one attempt is with an upload.
#[derive(Debug, Default)]
pub struct Sending {
    /// Its backend has answered already: it sends nothing more.
    stopped: Cell<bool>,
    /// Its last byte is on its way, so it may run.
    done: Cell<bool>,
}

impl Sending {
    /// Sends nothing more.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Whether the backend may have all of it.
    pub fn is_done(&self) -> bool {
        self.done.get()
    }
}

impl Carried {
    /// How far it is.
    pub fn state(&self) -> Rc<Sending> {
        self.state.clone()
    }

    fn next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut parts = self.upload.parts.borrow_mut();
        let parts = &mut *parts;
        if parts.bound.is_some_and(|attempt| attempt != self.attempt) {
            return Poll::Ready(Some(Err(io::Error::other("it is not for this attempt any more"))));
        }
        if let Some(kept) = parts.kept.get(self.at) {
            self.at += 1;
            return Poll::Ready(Some(Ok(kept.clone())));
        }
        if parts.whole.is_some() {
            return Poll::Ready(None);
        }
        let Some(source) = parts.source.as_mut() else {
            return Poll::Ready(Some(Err(io::Error::other("the client's side ended"))));
        };
        let data = loop {
            let Poll::Ready(frame) = source.as_mut().poll_frame(cx) else {
                // Only one of several readers is told by the source; that one tells the others.
                parts.waits = true;
                if !parts.readers.iter().any(|reader| reader.will_wake(cx.waker())) {
                    parts.readers.push(cx.waker().clone());
                }
                return Poll::Pending;
            };
            // Trailers are dropped: they hold for the client's connection alone.
            match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Err(_trailers))) => {}
                Some(Ok(Ok(data))) => break Some(Ok(data)),
                Some(Err(error)) => break Some(Err(error)),
                None => break None,
            }
        };
        let ended = data.is_none() || source.is_end_stream();
        parts.waits = false;
        match &data {
            Some(Ok(data)) => {
                self.upload.moved.set(self.upload.moved.get() + data.len() as u64);
                if parts.bound.is_none() && parts.kept_bytes + data.len() <= parts.hold {
                    parts.kept.push(data.clone());
                    (parts.kept_bytes, self.at) = (parts.kept_bytes + data.len(), self.at + 1);
                } else if parts.bound.is_none() {
                    parts.bound = Some(self.attempt);
                    parts.kept = Vec::new();
                    self.upload.changed.notify_waiters();
                }
            }
            Some(Err(_)) => (parts.broken, parts.source) = (true, None),
            None => {}
        }
        if ended && !parts.broken {
            (parts.whole, parts.source) = (Some(Instant::now()), None);
            self.upload.changed.notify_waiters();
        }
        parts.wake();
        Poll::Ready(data)
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        let mut parts = self.upload.parts.borrow_mut();
        // Guards against a reader that waits for one that is gone. Who else reads says so anew.
        parts.waits = false;
        parts.wake();
    }
}

impl Body for Carried {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if this.state.stopped.get() {
            return Poll::Pending;
        }
        let next = ready!(this.next(cx));
        if let Some(Ok(data)) = &next {
            this.sent += data.len() as u64;
        }
        this.state.done.set(next.is_none() || this.is_end_stream());
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        let parts = self.upload.parts.borrow();
        // Guards against a part that passes for the whole: what another attempt carries does not end here.
        let here = parts.bound.is_none_or(|attempt| attempt == self.attempt);
        here && parts.whole.is_some() && self.at >= parts.kept.len()
    }

    fn size_hint(&self) -> SizeHint {
        let declared = self.upload.parts.borrow().declared;
        declared.map_or_else(SizeHint::default, |all| SizeHint::with_exact(all.saturating_sub(self.sent)))
    }
}

#[cfg(test)]
mod tests;
