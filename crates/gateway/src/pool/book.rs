//! The books of the pool: which connection goes to whom, who waits, who dials. It has no socket, timer or task
//! of its own; it is told the time, and the same calls with the same seed lead to the same answers.

use super::bound::Bound;
use super::settings::PoolSettings;
use super::warm::{Pace, Recent};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The pause after an answer before its connection is used again. Guards against bytes right behind an answer
/// that come after the look at the socket and would pass for the answer to the next request.
pub const SETTLE: Duration = Duration::from_millis(5);
/// So many attempts in a row that timed out with not a byte back say that the backend's machine vanished.
const SILENT: u32 = 2;

/// A connection, as far as the books must know it.
pub trait Link {
    /// Whether it can carry another request as far as has been told.
    fn is_usable(&mut self) -> bool;
    /// Whether the system holds nothing unread for it: no byte, no end, no error.
    fn is_quiet(&mut self) -> bool;
}

/// The pool's number for one life of a backend.
pub type Serial = u64;
/// A request that waits for a connection.
pub type Waiter = u64;

/// Why there is no connection. In each case nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoLink {
    /// The backend moved, restarted, drains or is gone.
    Closed,
    /// No connection to it came up.
    Unreachable,
    /// It bears no more connections from this gateway, and none came free in time.
    Full,
    /// This gateway has no descriptor left for one.
    Exhausted,
}

/// What a request gets that asks for a connection.
#[derive(Debug, PartialEq)]
pub enum Checkout<L> {
    /// This one, which stood idle.
    Link(L),
    /// A place in the queue. Whoever asked dials, where told to, and serves the queue at the time told.
    Wait {
        /// A connection is to be opened for it.
        dial: bool,
        /// An idle connection may be used from then on.
        serve_at: Option<Instant>,
    },
    /// None.
    No(NoLink),
}

/// Why a dial failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DialError {
    /// The other side said no, at once.
    Refused,
    /// Nothing came back in time.
    TimedOut,
}

/// What follows from a dial's end.
#[derive(Debug, PartialEq)]
pub struct Dialled<L> {
    /// The connection goes to this waiter.
    pub granted: Option<(Waiter, L)>,
    /// These need wait no longer.
    pub failed: Vec<Waiter>,
    /// Another one is to be opened.
    pub dial: bool,
}

/// What was counted since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counters {
    /// Connections given to requests,
    pub used: u64,
    /// and those among them that had stood idle.
    pub reused: u64,
    /// Connections that were to be opened, those ahead of need included,
    pub dials: u64,
    /// those ahead of need,
    pub warmed: u64,
    /// and dials that failed.
    pub failed: u64,
    /// Connections found dead, spoken to or too old when a request was to have them.
    pub stale: u64,
    /// Connections retired for their age or closed by their backend while idle.
    pub retired: u64,
    /// Idle connections closed to make room.
    pub evicted: u64,
    /// Requests that got none.
    pub denied: u64,
}

/// What there is now.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Gauges {
    /// Connections that stand idle.
    pub idle: usize,
    /// Connections that carry a request.
    pub in_use: usize,
    /// Connections that are coming up.
    pub dialling: usize,
    /// Requests that wait for one.
    pub waiting: usize,
}

impl Gauges {
    /// All descriptors held.
    pub fn open(&self) -> usize {
        self.idle + self.in_use + self.dialling
    }
}

/// A connection that nobody uses.
struct Idle<L> {
    link: L,
    /// It has settled by then.
    ready: Instant,
    /// Its age is at an end.
    until: Instant,
}

/// What is kept of one life of a backend.
struct Entry<L> {
    /// Cleared when it moved, restarted, drains or is gone; the entry lasts until nothing of it is out.
    open: bool,
    /// Given back last stands last, and is taken first, so that those not needed age and are retired.
    idle: Vec<Idle<L>>,
    in_use: usize,
    dialling: usize,
    waiting: VecDeque<Waiter>,
    bound: Bound,
    /// Dials that failed in a row, one for all that were under way together, and the pause that followed.
    failures: u32,
    not_before: Option<Instant>,
    /// Attempts in a row that timed out with not a byte back.
    silent: u32,
    recent: Recent,
}

impl<L> Entry<L> {
    fn held(&self) -> usize {
        self.idle.len() + self.in_use + self.dialling
    }
    /// Its machine seems to have vanished: nothing idle is given out until a new connection has come up.
    fn distrusted(&self) -> bool {
        self.silent >= SILENT
    }
    /// When the idle connection that settles first may be used.
    fn settles(&self) -> Option<Instant> {
        self.idle.iter().map(|idle| idle.ready).min().filter(|_| !self.distrusted())
    }
    /// Connections that may yet come free for those who wait.
    fn coming(&self) -> usize {
        if self.distrusted() {
            self.dialling
        } else {
            self.dialling + self.idle.len()
        }
    }
    /// After a failed dial, and until one succeeds, a single one is tried once the pause is over.
    fn may_dial(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|at| now >= at && self.dialling == 0)
    }
    fn is_done(&self) -> bool {
        !self.open && self.in_use == 0 && self.dialling == 0
    }
}

/// The books.
pub struct Book<L> {
    set: PoolSettings,
    rng: fastrand::Rng,
    entries: HashMap<Serial, Entry<L>>,
    last: Serial,
    gauges: Gauges,
    counters: Counters,
    /// Backends to which idle connections stand.
    idle_backends: usize,
    pace: Pace,
    stopped: bool,
}

impl<L: Link> Book<L> {
    /// Empty books.
    pub fn new(set: PoolSettings, seed: u64) -> Book<L> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let pace = Pace::new(rng.f64() * set.warm_burst as f64);
        let (gauges, counters) = (Gauges::default(), Counters::default());
        let entries = HashMap::new();
        Book { set, rng, entries, last: 0, gauges, counters, idle_backends: 0, pace, stopped: false }
    }

    /// The bounds in force.
    pub fn settings(&self) -> &PoolSettings {
        &self.set
    }

    /// What there is now.
    pub fn gauges(&self) -> Gauges {
        self.gauges
    }

    /// What was counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The bound on connections to a backend, and how many are held.
    pub fn bound(&self, serial: Serial) -> Option<(usize, usize)> {
        self.entries.get(&serial).map(|e| (e.bound.links(), e.held()))
    }

    /// The connections that are coming up to a backend.
    pub fn dialling(&self, serial: Serial) -> usize {
        self.entries.get(&serial).map_or(0, |e| e.dialling)
    }

    /// Takes a backend in. One that follows an earlier life of the same backend is wanted as much as that was.
    pub fn add(&mut self, follows: Option<Serial>) -> Serial {
        self.last += 1;
        let recent = follows.and_then(|old| self.entries.get(&old)).map(|e| e.recent.clone());
        let entry = Entry {
            open: true,
            idle: Vec::new(),
            in_use: 0,
            dialling: 0,
            waiting: VecDeque::new(),
            bound: Bound::new(&self.set),
            failures: 0,
            not_before: None,
            silent: 0,
            recent: recent.unwrap_or_default(),
        };
        self.entries.insert(self.last, entry);
        self.last
    }

    /// Ends a backend: its idle connections are closed. Returns who waited for one.
    pub fn close(&mut self, serial: Serial) -> Vec<Waiter> {
        self.drop_idle(serial);
        let Some(e) = self.entries.get_mut(&serial) else { return Vec::new() };
        e.open = false;
        let waited: Vec<Waiter> = e.waiting.drain(..).collect();
        self.gauges.waiting -= waited.len();
        self.tidy(serial);
        waited
    }

    /// Closes all that stands idle; from now on nothing does.
    pub fn stop(&mut self) {
        self.stopped = true;
        let all: Vec<Serial> = self.entries.keys().copied().collect();
        all.into_iter().for_each(|serial| _ = self.drop_idle(serial));
    }

    /// Keeps to new bounds. What is in use stays until it is given back.
    pub fn configure(&mut self, set: PoolSettings) {
        self.set = set;
        self.entries.values_mut().for_each(|e| e.bound.fit(&set));
        while self.gauges.open() > set.links && self.evict() {}
        while self.idle_backends > set.idle_backends && self.evict_backend() {}
    }

    /// A request wants a connection.
    pub fn checkout(&mut self, now: Instant, serial: Serial, waiter: Waiter) -> Checkout<L> {
        let Some(e) = self.entries.get_mut(&serial).filter(|e| e.open) else {
            return self.deny(NoLink::Closed);
        };
        e.recent.note(now, e.in_use + e.waiting.len() + 1);
        // Who waited longer goes first.
        if e.waiting.is_empty() {
            if let Some(link) = self.take(now, serial) {
                return Checkout::Link(link);
            }
        }
        let queues_full = self.gauges.waiting >= self.set.waiting;
        let Some(e) = self.entries.get_mut(&serial) else { return self.deny(NoLink::Closed) };
        let failing = e.not_before.is_some() && e.in_use == 0 && e.settles().is_none();
        if failing && !e.may_dial(now) {
            return self.deny(NoLink::Unreachable);
        } else if e.waiting.len() >= self.set.backend_waiting {
            return self.deny(NoLink::Full);
        } else if queues_full {
            return self.deny(NoLink::Exhausted);
        }
        e.waiting.push_back(waiter);
        self.gauges.waiting += 1;
        let dial = self.dial_wanted(now, serial);
        let serve_at = self.entries.get(&serial).and_then(Entry::settles);
        // Nothing of this backend's is there or comes: the descriptors are in use elsewhere.
        if self.entries.get(&serial).is_some_and(|e| e.held() == 0) {
            self.leave(serial, waiter);
            return self.deny(NoLink::Exhausted);
        }
        Checkout::Wait { dial, serve_at }
    }

    fn deny(&mut self, why: NoLink) -> Checkout<L> {
        self.counters.denied += 1;
        Checkout::No(why)
    }

    /// Takes the settled connection that was used last, if it is fit for use; those that are not are closed.
    fn take(&mut self, now: Instant, serial: Serial) -> Option<L> {
        let e = self.entries.get_mut(&serial).filter(|e| !e.distrusted())?;
        let had = !e.idle.is_empty();
        let mut found = None;
        while let Some(settled) = e.idle.iter().rposition(|idle| idle.ready <= now) {
            let mut idle = e.idle.remove(settled);
            self.gauges.idle -= 1;
            if now < idle.until && idle.link.is_usable() && idle.link.is_quiet() {
                e.in_use += 1;
                self.gauges.in_use += 1;
                self.counters.used += 1;
                self.counters.reused += 1;
                found = Some(idle.link);
                break;
            }
            self.counters.stale += 1;
        }
        self.idle_backends -= usize::from(had && e.idle.is_empty());
        found
    }

    /// Whether a connection is to be opened for those who wait; if so it is on the books. One dial for one
    /// waiter: what settles or comes up is for somebody already.
    fn dial_wanted(&mut self, now: Instant, serial: Serial) -> bool {
        let Some(e) = self.entries.get(&serial) else { return false };
        e.open && e.waiting.len() > e.coming() && e.may_dial(now) && self.begin(serial)
    }

    /// Puts a dial on the books, if both bounds leave room or an idle connection gives way.
    fn begin(&mut self, serial: Serial) -> bool {
        let Some(e) = self.entries.get_mut(&serial) else { return false };
        if e.distrusted() && e.held() >= e.bound.links() && !e.idle.is_empty() {
            // What nobody trusts gives way to the connection that may restore the trust.
            e.idle.remove(0);
            self.idle_backends -= usize::from(e.idle.is_empty());
            self.gauges.idle -= 1;
            self.counters.evicted += 1;
        }
        if e.held() >= e.bound.links() {
            return false;
        }
        if self.gauges.open() >= self.set.links && !self.evict() {
            return false;
        }
        let Some(e) = self.entries.get_mut(&serial) else { return false };
        e.dialling += 1;
        self.gauges.dialling += 1;
        self.counters.dials += 1;
        true
    }

    /// Closes the connection that stands idle the longest.
    fn evict(&mut self) -> bool {
        let oldest = |e: &Entry<L>| e.idle.iter().map(|idle| idle.ready).min();
        let found = self.entries.iter().filter_map(|(&serial, e)| Some((oldest(e)?, serial))).min();
        let Some(e) = found.and_then(|(_, serial)| self.entries.get_mut(&serial)) else { return false };
        if let Some(place) = (0..e.idle.len()).min_by_key(|&i| e.idle[i].ready) {
            e.idle.remove(place);
        }
        self.idle_backends -= usize::from(e.idle.is_empty());
        self.gauges.idle -= 1;
        self.counters.evicted += 1;
        true
    }

    /// Closes what stands idle to the backend that was used the longest ago.
    fn evict_backend(&mut self) -> bool {
        let with_idle = self.entries.iter().filter(|(_, e)| !e.idle.is_empty());
        let found = with_idle.map(|(&serial, e)| (e.recent.last(), serial)).min();
        let Some((_, serial)) = found else { return false };
        self.counters.evicted += self.drop_idle(serial) as u64;
        true
    }

    fn drop_idle(&mut self, serial: Serial) -> usize {
        let Some(e) = self.entries.get_mut(&serial) else { return 0 };
        let dropped = e.idle.drain(..).count();
        self.idle_backends -= usize::from(dropped > 0);
        self.gauges.idle -= dropped;
        dropped
    }

    /// Who waited gave up, or has what it waited for.
    pub fn leave(&mut self, serial: Serial, waiter: Waiter) {
        let Some(e) = self.entries.get_mut(&serial) else { return };
        if let Some(place) = e.waiting.iter().position(|&w| w == waiter) {
            e.waiting.remove(place);
            self.gauges.waiting -= 1;
        }
    }

    /// Why a waiter whose time is up got nothing.
    pub fn waited_in_vain(&mut self, serial: Serial) -> NoLink {
        self.counters.denied += 1;
        let bears = self.entries.get(&serial).is_some_and(|e| e.in_use + e.idle.len() > 0);
        if bears {
            NoLink::Full
        } else {
            NoLink::Unreachable
        }
    }

    /// A connection is given back: it may be used again once it has settled, at the time returned if somebody
    /// waits for it. `used` tells whether a request was written to it.
    pub fn give_back(&mut self, now: Instant, serial: Serial, mut link: L, used: bool) -> Option<Instant> {
        self.gauges.in_use -= 1;
        let jitter = self.rng.f64();
        let (set, stopped) = (self.set, self.stopped);
        let e = self.entries.get_mut(&serial)?;
        e.in_use -= 1;
        let keep = e.open && !stopped && e.held() < e.bound.links() && link.is_usable();
        if keep || e.open && e.waiting.len() > e.idle.len() && link.is_usable() {
            let until = now + set.idle_least + (set.idle_most - set.idle_least).mul_f64(jitter);
            self.idle_backends += usize::from(e.idle.is_empty());
            e.idle.push(Idle { link, ready: if used { now + SETTLE } else { now }, until });
            self.gauges.idle += 1;
            while self.idle_backends > self.set.idle_backends && self.evict_backend() {}
            while self.gauges.open() > self.set.links && self.evict() {}
        }
        self.tidy(serial);
        let e = self.entries.get(&serial).filter(|e| !e.waiting.is_empty())?;
        e.settles()
    }

    /// A connection that carried a request is closed. Returns whether another is to be opened for a waiter.
    pub fn closed(&mut self, now: Instant, serial: Serial) -> bool {
        self.gauges.in_use -= 1;
        if let Some(e) = self.entries.get_mut(&serial) {
            e.in_use -= 1;
        }
        self.tidy(serial);
        self.dial_wanted(now, serial)
    }

    /// Gives what has settled to whoever waits the longest, one at a time until there is nothing to give.
    pub fn serve(&mut self, now: Instant, serial: Serial) -> Option<(Waiter, L)> {
        let waiter = *self.entries.get(&serial)?.waiting.front()?;
        let link = self.take(now, serial)?;
        self.leave(serial, waiter);
        Some((waiter, link))
    }

    /// What is left to do for those who still wait once all was served: whether to dial, and when to serve again.
    pub fn still_waiting(&mut self, now: Instant, serial: Serial) -> (bool, Option<Instant>) {
        let dial = self.dial_wanted(now, serial);
        let waits = self.entries.get(&serial).filter(|e| !e.waiting.is_empty());
        (dial, waits.and_then(Entry::settles))
    }

    /// A dial has ended.
    pub fn dialled(&mut self, now: Instant, serial: Serial, end: Result<L, DialError>) -> Dialled<L> {
        self.gauges.dialling -= 1;
        let (granted, failed) = match end {
            Ok(link) => (self.came_up(now, serial, link), Vec::new()),
            Err(error) => (None, self.dial_failed(now, serial, error)),
        };
        self.tidy(serial);
        let dial = self.dial_wanted(now, serial);
        Dialled { granted, failed, dial }
    }

    fn came_up(&mut self, now: Instant, serial: Serial, link: L) -> Option<(Waiter, L)> {
        let e = self.entries.get_mut(&serial)?;
        e.dialling -= 1;
        (e.failures, e.not_before, e.silent) = (0, None, 0);
        // Not yet given to anybody, it counts as in use: it goes to who waits the longest, or to the pool.
        e.in_use += 1;
        self.gauges.in_use += 1;
        if let Some(waiter) = e.waiting.pop_front() {
            self.gauges.waiting -= 1;
            self.counters.used += 1;
            return Some((waiter, link));
        }
        self.give_back(now, serial, link, false);
        None
    }

    /// Starts the pause before the next dial and returns those who need wait no longer.
    fn dial_failed(&mut self, now: Instant, serial: Serial, error: DialError) -> Vec<Waiter> {
        self.counters.failed += 1;
        let (set, jitter) = (self.set, 0.5 + 0.5 * self.rng.f64());
        let Some(e) = self.entries.get_mut(&serial) else { return Vec::new() };
        e.dialling -= 1;
        if e.not_before.is_none_or(|at| now >= at) {
            // Dials that were under way together fail for one reason and count once.
            let bound = set.backoff_least.saturating_mul(1 << e.failures.min(20)).min(set.backoff_most);
            e.failures += 1;
            e.not_before = Some(now + bound.mul_f64(jitter));
        }
        let up = e.idle.len() + e.in_use;
        match error {
            DialError::Refused if up > 0 => e.bound.refused(now, up, &set),
            DialError::Refused => {}
            DialError::TimedOut => e.silent = e.silent.saturating_add(1),
        }
        // While connections are up, one may come free for those who wait. Else the dial's own waiter has
        // nothing to wait for, nor do those for whom no dial is out.
        let mut failed = Vec::new();
        if e.in_use == 0 && e.settles().is_none() {
            failed.extend(e.waiting.pop_front());
            let excess = e.waiting.len().saturating_sub(e.dialling);
            failed.extend(e.waiting.drain(..excess));
        }
        self.gauges.waiting -= failed.len();
        self.counters.denied += failed.len() as u64;
        failed
    }

    /// The backend answered a request well.
    pub fn served(&mut self, now: Instant, serial: Serial) {
        let (set, jitter) = (self.set, self.rng.f64());
        if let Some(e) = self.entries.get_mut(&serial) {
            let held = e.held();
            e.bound.served(now, held, jitter, &set);
            e.silent = 0;
        }
    }

    /// The backend turned a request away.
    pub fn turned_away(&mut self, now: Instant, serial: Serial) {
        let set = self.set;
        if let Some(e) = self.entries.get_mut(&serial) {
            e.bound.turned_away(now, e.in_use, &set);
            e.silent = 0;
        }
    }

    /// Something came back from the backend, however bad.
    pub fn heard(&mut self, serial: Serial) {
        self.entries.get_mut(&serial).into_iter().for_each(|e| e.silent = 0);
    }

    /// An attempt timed out with not a byte back.
    pub fn silent(&mut self, serial: Serial) {
        self.entries.get_mut(&serial).into_iter().for_each(|e| e.silent = e.silent.saturating_add(1));
    }

    /// Closes idle connections that are old or were closed by the other side.
    pub fn retire(&mut self, now: Instant) {
        for e in self.entries.values_mut().filter(|e| !e.idle.is_empty()) {
            let before = e.idle.len();
            e.idle.retain_mut(|idle| now < idle.until && idle.link.is_usable());
            let retired = before - e.idle.len();
            self.gauges.idle -= retired;
            self.counters.retired += retired as u64;
            self.idle_backends -= usize::from(e.idle.is_empty());
        }
    }

    /// Whether recent use of a backend asks for more connections than there are.
    pub fn wants_more(&self, now: Instant, serial: Serial) -> bool {
        let Some(e) = self.entries.get(&serial).filter(|e| e.open && !self.stopped) else { return false };
        let wanted = e.recent.wants(now, self.set.idle_least).min(e.bound.links());
        e.held() < wanted && e.not_before.is_none() && !e.distrusted()
    }

    /// Of backends that want more, those for which a connection may be opened ahead of need, each after a pause
    /// of its own within `spread`. Asked in an order by chance, so that gateways differ.
    pub fn warm_up(
        &mut self,
        now: Instant,
        mut wanting: Vec<Serial>,
        spread: Duration,
    ) -> Vec<(Serial, Duration)> {
        self.rng.shuffle(&mut wanting);
        let set = self.set;
        let mut chosen = Vec::new();
        for serial in wanting {
            if !self.pace.take(now, &set) {
                break;
            }
            chosen.push((serial, spread.mul_f64(self.rng.f64())));
        }
        chosen
    }

    /// The pause is over: whether the connection is still wanted, and within the bounds without another's end.
    pub fn begin_warm(&mut self, now: Instant, serial: Serial) -> bool {
        let wanted = self.wants_more(now, serial) && self.gauges.open() < self.set.links;
        let begun = wanted && self.begin(serial);
        self.counters.warmed += u64::from(begun);
        begun
    }

    /// Forgets a backend that ended, once nothing of it is out.
    fn tidy(&mut self, serial: Serial) {
        if self.entries.get(&serial).is_some_and(Entry::is_done) {
            self.entries.remove(&serial);
        }
    }
}
