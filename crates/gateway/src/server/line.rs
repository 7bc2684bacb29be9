//! The connections of clients as those see them who may close them: what each is at, and since when.

use super::answering::OpenCall;
use super::{ACCEPT_PAUSE, SWEEP_EVERY};
use crate::framing::Heads;
use crate::relay::{Guard, Relays, StreamSettings, Upload};
use crate::tapped::Tap;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{interval, timeout, Instant};

/// A request must have come whole so long after its connection was opened, or after the answer before it on a
/// connection that is being closed. 3 s from connecting are owed to who sends none.
pub(super) const RECEIVE_TIME: Duration = Duration::from_millis(2000);
/// A connection is closed when no request was open on it for so long.
pub(super) const LONGEST_IDLE: Duration = Duration::from_secs(15);
/// A new connection on which nothing came for so long gives way to newer ones; usual clients send at once.
pub(super) const SILENT: Duration = Duration::from_millis(250);

/// What a client's connection is at.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It is new, or a request's head has come, but no request whole.
    Receiving,
    /// A request was taken and is not answered.
    Busy,
    /// A long answer is on its way to it.
    Streaming,
    /// Between requests.
    Idle,
    /// This gateway has ended it and reads what its client still sends.
    Lingering,
}

/// A client's connection as those see it who may close it.
pub(super) struct Line {
    pub(super) phase: Cell<Phase>,
    since: Cell<Instant>,
    /// It is to end with the answer to what it is at.
    closing: Cell<bool>,
    /// It is to end at once.
    pub(super) cut: Cell<bool>,
    pub(super) told: Notify,
    /// The bytes of long answers that went through.
    moved: Cell<u64>,
    transfer: Cell<Transfer>,
    /// It is cut for a transfer that is too slow.
    lagged: Cell<bool>,
    /// What its client sends meanwhile.
    pub(super) upload: RefCell<Option<Rc<Upload>>>,
    /// A part of a request came, and the request has not come whole.
    pub(super) begun: Cell<bool>,
    /// Something was written to it, which a reset could take away.
    pub(super) answered: Cell<bool>,
    /// How its requests say how long they are, where that is followed.
    pub(super) heads: Option<Rc<RefCell<Heads>>>,
}

/// Listens in on a client's connection.
pub(super) struct Followed(pub(super) Rc<Line>);

impl Tap for Followed {
    fn read(&self, bytes: &[u8]) {
        let line = &self.0;
        line.heads.iter().for_each(|heads| heads.borrow_mut().read(bytes));
        // A request's time runs from its first byte: half of one holds its connection no longer than the first.
        if !bytes.is_empty() && matches!(line.phase.get(), Phase::Idle | Phase::Receiving) {
            line.turn(Phase::Receiving);
            line.begun.set(true);
        }
    }
    fn wrote(&self, bytes: usize) {
        self.0.answered.set(self.0.answered.get() || bytes > 0);
    }
}

/// When a long answer began to go out, and when its present window did, by then so many bytes moved.
#[derive(Clone, Copy)]
pub(super) struct Transfer {
    began: Instant,
    window: Instant,
    moved: u64,
}

impl Line {
    pub(super) fn new(followed: bool) -> Line {
        let (phase, since) = (Cell::new(Phase::Receiving), Cell::new(Instant::now()));
        let (closing, cut, moved) = (Cell::new(false), Cell::new(false), Cell::new(0));
        let transfer = Transfer { began: Instant::now(), window: Instant::now(), moved: 0 };
        let transfer = Cell::new(transfer);
        let (lagged, upload, begun, answered) =
            (Cell::new(false), RefCell::default(), Cell::new(false), Cell::new(false));
        let (told, heads) = (Notify::new(), followed.then(Rc::default));
        Line { phase, since, closing, cut, told, moved, transfer, lagged, upload, begun, answered, heads }
    }
    /// A first request's time runs from the opening.
    pub(super) fn turn(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.since.set(Instant::now());
        }
        self.begun.set(self.begun.get() && phase == Phase::Receiving);
    }
    /// Whether it is to end with the answer to what it is at.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }
    /// Whether a request has come whole and was not answered. While an upload comes, its reader sees the client's end.
    pub(super) fn awaits_answer(&self) -> bool {
        let whole = |upload: &Rc<Upload>| upload.is_whole();
        self.phase.get() == Phase::Busy && self.upload.borrow().as_ref().is_none_or(whole)
    }
    pub(super) fn close(&self) {
        if !self.closing.replace(true) {
            self.since.set(Instant::now());
            self.told.notify_one();
        }
    }
    pub(super) fn cut(&self) {
        self.cut.set(true);
        self.told.notify_one();
    }
    fn is(&self, phase: Phase, longer_than: Duration) -> bool {
        self.phase.get() == phase && self.since.get().elapsed() > longer_than
    }
    /// Whether a long transfer takes too long, or too little of it went through in a window.
    fn lags(&self, set: &StreamSettings) -> bool {
        if self.upload.borrow().as_ref().is_some_and(|upload| upload.lags(set)) {
            return true;
        }
        if self.phase.get() != Phase::Streaming {
            return false;
        }
        let Transfer { began, window, moved } = self.transfer.get();
        let (now, mut slow) = (Instant::now(), false);
        if now >= window + set.window {
            slow = self.moved.get() - moved < set.least;
            self.transfer.set(Transfer { began, window: now, moved: self.moved.get() });
        }
        slow || now >= began + set.longest
    }
}

/// What lasts as long as a long answer is on its way: the request's name, and the connection's phase.
pub(super) struct Stream {
    line: Rc<Line>,
    _open: OpenCall,
}

impl Stream {
    pub(super) fn new(line: &Rc<Line>, open: OpenCall) -> Stream {
        line.turn(Phase::Streaming);
        let (began, moved) = (Instant::now(), line.moved.get());
        line.transfer.set(Transfer { began, window: began, moved });
        Stream { line: line.clone(), _open: open }
    }
}

impl Guard for Stream {
    fn moved(&self, bytes: u64) {
        self.line.moved.set(self.line.moved.get() + bytes);
    }
    fn lags(&self) -> bool {
        self.line.lagged.get()
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.line.turn(Phase::Idle);
    }
}

/// An upload while its request is open. What has not come by its end is not wanted any more.
pub(super) struct Uploading<'a> {
    line: &'a Line,
    pub(super) upload: Rc<Upload>,
}

impl<'a> Uploading<'a> {
    pub(super) fn new(line: &'a Line, upload: Rc<Upload>) -> Uploading<'a> {
        line.upload.replace(Some(upload.clone()));
        Uploading { line, upload }
    }
}

impl Drop for Uploading<'_> {
    fn drop(&mut self) {
        self.line.upload.take();
        self.upload.close();
    }
}

/// The open connections of clients, a bounded number.
pub(super) struct Lines {
    pub(super) open: RefCell<HashMap<u64, Rc<Line>>>,
    most: usize,
    relays: Rc<Relays>,
    /// One has ended.
    pub(super) ended: Notify,
}

impl Lines {
    pub(super) fn new(most: usize, relays: Rc<Relays>) -> Lines {
        Lines { open: RefCell::default(), most, relays, ended: Notify::new() }
    }

    pub(super) fn all(&self) -> Vec<Rc<Line>> {
        self.open.borrow().values().cloned().collect()
    }

    /// Closes what takes too long. Guards against clients that keep a connection and say nothing, send half a
    /// request, or do not read their answer.
    pub(super) fn sweep(&self) {
        let streams = self.relays.bounds();
        for line in self.open.borrow().values() {
            let lags = streams.is_some_and(|set| line.lags(&set));
            let unread = line.closing.get() && line.is(Phase::Idle, RECEIVE_TIME);
            if line.is(Phase::Receiving, RECEIVE_TIME) || unread || lags {
                line.lagged.set(lags);
                line.cut();
            } else if line.is(Phase::Idle, LONGEST_IDLE) {
                line.close();
            }
        }
        self.thin_out();
    }

    /// Closes those idle longest while more than half of the places are taken. Guards against clients that are
    /// held to a number of connections of their own, which those kept for good fill, so that nothing new comes
    /// in; covers floods and crowds that ask once as well. May hurt where more clients than places come back
    /// after a pause: each then pays for a new connection.
    fn thin_out(&self) {
        let mut idle = self.all();
        idle.retain(|line| !line.closing.get() && line.is(Phase::Idle, SILENT));
        idle.sort_by_key(|line| line.since.get());
        let excess = self.open.borrow().len().saturating_sub(self.most / 2);
        idle.iter().take(excess).for_each(|line| line.close());
    }

    /// Waits for a place for one more connection. Guards against clients that keep theirs for good and so
    /// shut others out: the one silent longest gives way, else the one idle longest.
    pub(super) async fn place(&self) {
        while self.open.borrow().len() >= self.most {
            let lines = self.all();
            let longest = |phase, over| {
                let fit = lines.iter().filter(|line| line.is(phase, over) && !line.cut.get());
                let fit = fit.filter(|line| phase == Phase::Lingering || !line.closing.get());
                fit.min_by_key(|line| line.since.get())
            };
            if let Some(line) = longest(Phase::Lingering, SILENT) {
                line.cut();
            } else {
                let gives =
                    longest(Phase::Receiving, SILENT).or_else(|| longest(Phase::Idle, Duration::ZERO));
                gives.into_iter().for_each(|line| line.close());
            }
            // It may have been one that has a request after all: look again then.
            let _ = timeout(ACCEPT_PAUSE, self.ended.notified()).await;
        }
    }

    /// Waits until none is open.
    pub(super) async fn all_ended(&self) {
        let mut sweep = interval(SWEEP_EVERY);
        while !self.open.borrow().is_empty() {
            tokio::select! {
                () = self.ended.notified() => {}
                _ = sweep.tick() => self.sweep(),
            }
        }
    }
}
