//! The state of the pool: which request gets which connection, which ones wait, when a connection is dialled. All on a
//! given clock with fixed seeds; no socket and no wait.
use lanespan_gateway::config::document::PoolSection;
use lanespan_gateway::pool::{
    Checkout, CheckoutError, DialError, IncarnationId, PoolEnvironment, PoolSettings, PoolState, Poolable,
    WaiterId, SETTLE_TIME,
};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);
const CONN_IDLE: Duration = Duration::from_secs(30);

/// A connection that holds a descriptor until it is dropped.
#[derive(Debug)]
struct Fake {
    number: u32,
    usable: Rc<Cell<bool>>,
    quiet: Rc<Cell<bool>>,
    descriptors: Rc<Cell<usize>>,
}

impl Poolable for Fake {
    fn is_usable(&mut self) -> bool {
        self.usable.get()
    }
    fn has_no_unread_data(&mut self) -> bool {
        self.quiet.get()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.descriptors.set(self.descriptors.get() - 1);
    }
}

/// A pool's state, a clock, and where connections come from.
struct Rig {
    state: PoolState<Fake>,
    now: Instant,
    next: u32,
    waiter: WaiterId,
    usable: Rc<Cell<bool>>,
    quiet: Rc<Cell<bool>>,
    descriptors: Rc<Cell<usize>>,
}

fn settings(section: serde_json::Value, max_connections: usize, gateway_count: u32) -> PoolSettings {
    let environment = PoolEnvironment {
        default_connections: max_connections,
        max_connections,
        gateway_count,
        max_descriptors: 4 * max_connections,
        dial_timeout: 250 * MS,
        backend_idle_timeout: CONN_IDLE,
    };
    let section: Option<PoolSection> = serde_json::from_value(section).expect("a section that can be read");
    PoolSettings::from_section(&section.unwrap_or_default(), &environment)
        .expect("a section that makes sense")
}

impl Rig {
    fn seeded(section: serde_json::Value, max_connections: usize, seed: u64) -> Rig {
        let state = PoolState::new(settings(section, max_connections, 300), seed);
        let (usable, quiet) = (Rc::new(Cell::new(true)), Rc::new(Cell::new(true)));
        let descriptors = Rc::default();
        Rig { state, now: Instant::now(), next: 0, waiter: WaiterId(0), usable, quiet, descriptors }
    }
    fn new(section: serde_json::Value) -> Rig {
        Rig::seeded(section, 64, 1)
    }
    fn backends(&mut self, number: usize) -> Vec<IncarnationId> {
        (0..number).map(|_| self.state.add(None)).collect()
    }
    fn pass(&mut self, time: Duration) {
        self.now += time;
    }
    /// A connection as it comes up.
    fn link(&mut self) -> Fake {
        self.next += 1;
        self.descriptors.set(self.descriptors.get() + 1);
        let (usable, quiet) = (self.usable.clone(), self.quiet.clone());
        Fake { number: self.next, usable, quiet, descriptors: self.descriptors.clone() }
    }
    fn checkout(&mut self, id: IncarnationId) -> (WaiterId, Checkout<Fake>) {
        self.waiter.0 += 1;
        (self.waiter, self.state.checkout(self.now, id, self.waiter))
    }
    /// A checkout that must have an idle connection.
    fn reuse(&mut self, id: IncarnationId) -> Fake {
        match self.checkout(id).1 {
            Checkout::Idle(link) => link,
            other => panic!("not an idle connection: {other:?}"),
        }
    }
    /// A checkout that must wait; returns who waits and whether a dial was started for it.
    fn wait(&mut self, id: IncarnationId) -> (WaiterId, bool) {
        match self.checkout(id) {
            (waiter, Checkout::Wait { dial, .. }) => (waiter, dial),
            other => panic!("it does not wait: {other:?}"),
        }
    }
    fn denied(&mut self, id: IncarnationId) -> CheckoutError {
        match self.checkout(id).1 {
            Checkout::Denied(why) => why,
            other => panic!("not denied: {other:?}"),
        }
    }
    fn came_up(&mut self, id: IncarnationId) -> Option<(WaiterId, Fake)> {
        let link = self.link();
        self.state.dial_ended(self.now, id, Ok(link)).granted
    }
    /// A checkout that dials, and the connection that it gets.
    fn fresh(&mut self, id: IncarnationId) -> Fake {
        let (waiter, dial) = self.wait(id);
        assert!(dial, "one is opened");
        let (whose, link) = self.came_up(id).expect("it is for the waiter");
        assert_eq!(whose, waiter);
        link
    }
    fn give_back(&mut self, id: IncarnationId, link: Fake) {
        self.state.release(self.now, id, link, true);
    }
    /// Puts so many idle, settled connections to a backend into the pool.
    fn fill(&mut self, id: IncarnationId, number: usize) -> Vec<u32> {
        let links: Vec<Fake> = (0..number).map(|_| self.fresh(id)).collect();
        let numbers = links.iter().map(|link| link.number).collect();
        for link in links {
            self.pass(MS);
            self.give_back(id, link);
        }
        self.pass(SETTLE_TIME);
        numbers
    }
    /// The limit on a backend's connections, and how many are held.
    fn limit_and_held(&self, id: IncarnationId) -> (usize, usize) {
        (self.state.connection_limit(id).expect("a limit"), self.state.held(id).expect("a backend"))
    }
    fn check(&self) {
        let gauges = self.state.gauges();
        assert_eq!(gauges.idle + gauges.in_use, self.descriptors.get(), "all descriptors are counted");
    }
}

fn none() -> serde_json::Value {
    serde_json::Value::Null
}

#[test]
fn the_last_released_connection_is_reused_first_and_none_is_checked_out_twice() {
    let mut rig = Rig::new(none());
    let at = rig.backends(1)[0];
    let numbers = rig.fill(at, 3);
    let (first, second) = (rig.reuse(at), rig.reuse(at));
    assert_eq!((first.number, second.number), (numbers[2], numbers[1]));
    assert_eq!(rig.reuse(at).number, numbers[0]);
    assert!(rig.wait(at).1, "all three are out: another is opened");
}

#[test]
fn a_connection_settles_before_reuse_and_a_request_that_waits_for_it_dials_none() {
    let mut rig = Rig::new(none());
    let at = rig.backends(1)[0];
    let link = rig.fresh(at);
    rig.give_back(at, link);
    let (waiter, checkout) = rig.checkout(at);
    let settled = rig.now + SETTLE_TIME;
    assert!(matches!(checkout, Checkout::Wait { dial: false, serve_at: Some(at) } if at == settled));
    rig.pass(SETTLE_TIME / 2);
    assert!(rig.state.serve_waiter(rig.now, at).is_none(), "bytes behind the answer may still come");
    rig.pass(SETTLE_TIME / 2);
    let (whose, link) = rig.state.serve_waiter(rig.now, at).expect("it has settled");
    assert_eq!((whose, link.number), (waiter, 1));
}

#[test]
fn unread_bytes_or_a_close_at_checkout_end_the_connection() {
    for seen_by_the_runtime in [true, false] {
        let mut rig = Rig::new(none());
        let at = rig.backends(1)[0];
        rig.fill(at, 2);
        let spoilt = if seen_by_the_runtime { &rig.usable } else { &rig.quiet };
        spoilt.set(false);
        assert!(rig.wait(at).1, "a new one is opened");
        assert_eq!((rig.descriptors.get(), rig.state.counters().stale), (0, 2));
        rig.check();
    }
}

#[test]
fn idle_connections_are_retired_before_the_backend_closes_them_and_not_in_step() {
    let retired_after = |seed| {
        let mut rig = Rig::seeded(none(), 64, seed);
        let at = rig.backends(1)[0];
        rig.fill(at, 1);
        let start = rig.now;
        while rig.state.gauges().idle > 0 {
            rig.pass(10 * MS);
            rig.state.retire(rig.now);
        }
        rig.now - start
    };
    let ages: Vec<Duration> = (0..50).map(retired_after).collect();
    assert!(
        ages.iter().all(|age| *age >= CONN_IDLE / 2 - 2 * SETTLE_TIME && *age < CONN_IDLE * 4 / 5),
        "{ages:?}"
    );
    let busiest = |at: &Duration| ages.iter().filter(|age| (*at..*at + 500 * MS).contains(age)).count();
    assert!(ages.iter().map(busiest).max() < Some(10), "{ages:?}");
    // Too old at the checkout, it is not used either.
    let mut rig = Rig::new(none());
    let at = rig.backends(1)[0];
    rig.fill(at, 1);
    rig.pass(CONN_IDLE * 3 / 4);
    assert!(rig.wait(at).1);
}

#[test]
fn a_dialled_connection_whose_waiter_left_becomes_idle() {
    let mut rig = Rig::new(none());
    let at = rig.backends(1)[0];
    let (gone, dial) = rig.wait(at);
    assert!(dial);
    rig.state.remove_waiter(at, gone);
    assert!(rig.came_up(at).is_none(), "for nobody");
    let link = rig.reuse(at);
    assert_eq!(link.number, 1, "it may be used at once: nothing was written to it");
    rig.check();
    // Two wait, each with a dial; the one that comes up first is for who waits the longest.
    let ((first, one), (second, other)) = (rig.wait(at), rig.wait(at));
    assert!(one && other);
    assert_eq!(rig.came_up(at).map(|(whose, _)| whose), Some(first));
    assert_eq!(rig.came_up(at).map(|(whose, _)| whose), Some(second));
}

#[test]
fn the_longest_waiting_request_gets_the_released_connection() {
    let mut rig = Rig::new(serde_json::json!({"backend_least": 1, "backend_most": 1}));
    let at = rig.backends(1)[0];
    let link = rig.fresh(at);
    let ((first, one), (second, other)) = (rig.wait(at), rig.wait(at));
    assert!(!one && !other, "the backend's bound is reached");
    let serve_at = rig.state.release(rig.now, at, link, true).expect("somebody waits");
    rig.now = serve_at;
    let (whose, link) = rig.state.serve_waiter(rig.now, at).expect("it has settled");
    assert_eq!(whose, first);
    assert!(rig.state.serve_waiter(rig.now, at).is_none(), "there was one");
    rig.state.remove_waiter(at, second);
    rig.give_back(at, link);
    rig.pass(SETTLE_TIME);
    assert!(rig.state.serve_waiter(rig.now, at).is_none(), "the second went");
    assert_eq!(rig.reuse(at).number, 1, "it is free again");
}

#[test]
fn a_closed_connection_is_replaced_for_a_waiting_request() {
    let mut rig = Rig::new(serde_json::json!({"backend_least": 1, "backend_most": 1}));
    let at = rig.backends(1)[0];
    let link = rig.fresh(at);
    let (waiter, dial) = rig.wait(at);
    assert!(!dial);
    drop(link);
    assert!(rig.state.connection_closed(rig.now, at), "another is opened in its place");
    assert_eq!(rig.came_up(at).map(|(whose, _)| whose), Some(waiter));
}

#[test]
fn no_connection_passes_from_one_incarnation_of_a_backend_to_the_next() {
    let mut rig = Rig::new(none());
    let old = rig.backends(1)[0];
    rig.fill(old, 2);
    let out = [rig.reuse(old), rig.reuse(old)];
    let (waiter, _) = rig.wait(old);
    let waited = rig.state.close(old);
    assert_eq!(waited, [waiter], "who waits is told");
    let new = rig.state.add(Some(old));
    out.into_iter().for_each(|link| rig.give_back(old, link));
    assert!(rig.came_up(old).is_none(), "a dial that was under way ends as well");
    assert_eq!((rig.state.gauges().open(), rig.descriptors.get()), (0, 0));
    assert_eq!(rig.denied(old), CheckoutError::BackendClosed);
    rig.pass(SETTLE_TIME);
    assert!(rig.wait(new).1, "the next one opens its own");
}

#[test]
fn an_unresponsive_backend_is_used_again_once_a_new_connection_came_up() {
    let mut rig = Rig::new(none());
    let at = rig.backends(1)[0];
    rig.fill(at, 2);
    rig.state.timed_out_silently(at);
    let link = rig.reuse(at);
    rig.give_back(at, link);
    rig.pass(SETTLE_TIME);
    rig.state.timed_out_silently(at);
    let (waiter, dial) = rig.wait(at);
    assert!(dial, "two in a row: what stands idle is not trusted");
    assert_eq!(rig.came_up(at).map(|(whose, link)| (whose, link.number)), Some((waiter, 3)));
    assert!(rig.reuse(at).number < 3, "it is back");
    // A byte between two time-outs says that the machine is there.
    rig.state.timed_out_silently(at);
    rig.state.backend_responded(at);
    rig.state.timed_out_silently(at);
    assert!(rig.reuse(at).number < 3);
}

#[test]
fn idle_connections_to_an_unresponsive_backend_give_way_to_a_new_dial() {
    let mut rig = Rig::new(serde_json::json!({"backend_least": 1, "backend_most": 2}));
    let at = rig.backends(1)[0];
    rig.fill(at, 2);
    (0..2).for_each(|_| rig.state.timed_out_silently(at));
    assert!(rig.wait(at).1);
    assert_eq!(rig.limit_and_held(at), (2, 2));
    rig.check();
}

#[test]
fn failed_dials_back_off_exponentially_and_then_one_is_tried() {
    let pauses = |seed| {
        let mut rig = Rig::seeded(none(), 64, seed);
        let at = rig.backends(1)[0];
        let (mut trial, _) = rig.wait(at);
        let mut pauses = Vec::new();
        for _ in 0..8 {
            let ended = rig.state.dial_ended(rig.now, at, Err(DialError::Refused));
            assert_eq!((ended.denied, ended.dial), (vec![trial], false));
            let start = rig.now;
            trial = loop {
                rig.pass(MS);
                match rig.checkout(at) {
                    (_, Checkout::Denied(why)) => assert_eq!(why, CheckoutError::Unreachable),
                    (waiter, Checkout::Wait { dial: true, .. }) => break waiter,
                    other => panic!("{other:?}"),
                }
            };
            assert_eq!(rig.denied(at), CheckoutError::Unreachable, "nobody waits behind the trial");
            pauses.push(rig.now - start);
        }
        // Once one came up there is no pause any more.
        assert!(rig.came_up(at).is_some());
        assert!(rig.wait(at).1);
        pauses
    };
    let one = pauses(1);
    assert!(one[0] >= 50 * MS && one[0] <= 101 * MS, "{one:?}");
    assert!(one.iter().all(|pause| *pause <= 1001 * MS), "{one:?}");
    assert!(one[4..].iter().all(|pause| *pause >= 400 * MS), "{one:?}");
    assert_ne!(one, pauses(2), "gateways differ");
}

#[test]
fn concurrent_dial_failures_count_once_and_each_denies_one_waiter() {
    let mut rig = Rig::new(none());
    let at = rig.backends(1)[0];
    let waiters: Vec<WaiterId> = (0..4).map(|_| rig.wait(at).0).collect();
    for waiter in &waiters {
        assert_eq!(rig.state.dial_ended(rig.now, at, Err(DialError::Refused)).denied, [*waiter]);
    }
    rig.pass(101 * MS);
    assert!(rig.wait(at).1, "the first pause, not the fourth");
}

/// A backend that holds so many connections, each for 20 ms, before which so many requests always wait.
struct Crowd {
    rig: Rig,
    at: IncarnationId,
    held: Vec<(Instant, Fake)>,
    refused: usize,
}

impl Crowd {
    fn run(&mut self, bears: usize, steps: usize) -> usize {
        let mut served = 0;
        let rig = &mut self.rig;
        for _ in 0..steps {
            rig.pass(MS);
            while let Some(done) = self.held.iter().position(|(since, _)| rig.now >= *since + 20 * MS) {
                let (_, link) = self.held.remove(done);
                served += 1;
                rig.state.request_succeeded(rig.now, self.at);
                // It closes those that it can't bear any more.
                if self.held.len() >= bears {
                    drop(link);
                    rig.state.connection_closed(rig.now, self.at);
                } else {
                    rig.give_back(self.at, link);
                }
            }
            while let Some((_, link)) = rig.state.serve_waiter(rig.now, self.at) {
                self.held.push((rig.now, link));
            }
            while rig.state.gauges().waiting < 12 {
                match rig.checkout(self.at).1 {
                    Checkout::Idle(link) => self.held.push((rig.now, link)),
                    Checkout::Wait { dial: true, .. } => {}
                    Checkout::Wait { .. } | Checkout::Denied(_) => break,
                }
            }
            while rig.state.gauges().dialling > 0 {
                let up = rig.state.gauges().open() - rig.state.gauges().dialling;
                if up < bears {
                    let granted = rig.came_up(self.at);
                    self.held.extend(granted.map(|(_, link)| (rig.now, link)));
                } else {
                    self.refused += 1;
                    rig.state.dial_ended(rig.now, self.at, Err(DialError::Refused));
                }
            }
            rig.check();
        }
        served
    }
}

#[test]
fn the_connection_limit_adapts_to_what_a_backend_takes() {
    let mut rig = Rig::new(serde_json::json!({"backend_most": 32}));
    let at = rig.backends(1)[0];
    let mut crowd = Crowd { rig, at, held: Vec::new(), refused: 0 };
    // What it bears, 25 ms for each request with its pause, over ten seconds.
    for bears in [4, 16, 3, 8] {
        let _settling = crowd.run(bears, 15_000);
        let before = crowd.refused;
        let served = crowd.run(bears, 10_000);
        assert!(served * 10 >= bears * 400 * 7, "{served} served where {bears} are borne");
        let refused = crowd.refused - before;
        assert!(refused <= 25, "{refused} refused in ten seconds where {bears} are borne");
    }
    let all = crowd.rig.state.counters();
    assert!(all.dials < all.used / 20, "{all:?}");
}

#[test]
fn rejections_within_an_interval_lower_the_connection_limit_once() {
    let mut rig = Rig::new(serde_json::json!({"backend_most": 20}));
    let at = rig.backends(1)[0];
    let links: Vec<Fake> = (0..20).map(|_| rig.fresh(at)).collect();
    (0..5).for_each(|_| rig.state.request_rejected(rig.now, at));
    assert_eq!(rig.limit_and_held(at), (14, 20));
    let mut links = links;
    links.drain(..10).for_each(|link| rig.give_back(at, link));
    rig.state.request_rejected(rig.now, at);
    assert_eq!(rig.state.connection_limit(at), Some(14), "the same news");
    rig.pass(100 * MS);
    rig.state.request_rejected(rig.now, at);
    assert_eq!(rig.state.connection_limit(at), Some(7), "ten were in use");
    links.into_iter().for_each(|link| rig.give_back(at, link));
    let (limit, held) = rig.limit_and_held(at);
    assert!(held <= 10 && limit == 7, "what is over it is not kept: {held}");
    rig.check();
}

#[test]
fn a_refused_dial_lowers_the_connection_limit_and_its_waiter_waits_for_a_release() {
    let mut rig = Rig::new(serde_json::json!({"backend_most": 20}));
    let at = rig.backends(1)[0];
    let mut links: Vec<Fake> = (0..10).map(|_| rig.fresh(at)).collect();
    let (waiter, dial) = rig.wait(at);
    assert!(dial);
    assert!(rig.state.dial_ended(rig.now, at, Err(DialError::Refused)).denied.is_empty());
    assert_eq!(rig.limit_and_held(at), (8, 10));
    let link = links.pop().expect("ten");
    rig.give_back(at, link);
    rig.pass(SETTLE_TIME);
    assert_eq!(rig.state.serve_waiter(rig.now, at).map(|(whose, _)| whose), Some(waiter));
}

#[test]
fn waiting_requests_are_bounded_over_all_backends() {
    let mut rig = Rig::new(serde_json::json!({"waiting": 4, "backend_waiting": 2}));
    let ends = rig.backends(3);
    for &at in &ends[..2] {
        (0..2).for_each(|_| _ = rig.wait(at));
        assert_eq!(rig.denied(at), CheckoutError::BackendFull);
    }
    assert_eq!(rig.denied(ends[2]), CheckoutError::PoolExhausted);
    assert!(rig.came_up(ends[0]).is_some());
    rig.wait(ends[2]);
}

#[test]
fn a_flood_at_a_hung_backend_does_not_starve_the_others() {
    let mut rig = Rig::new(none());
    let ends = rig.backends(2);
    let (hung, sound) = (ends[0], ends[1]);
    let (mut waiting, mut denied) = (0, 0);
    for _ in 0..500 {
        match rig.checkout(hung).1 {
            Checkout::Wait { .. } => waiting += 1,
            Checkout::Denied(CheckoutError::BackendFull) => denied += 1,
            other => panic!("{other:?}"),
        }
    }
    let (limit, held) = rig.limit_and_held(hung);
    assert!(held == limit && limit <= 4, "{held} of {limit}");
    assert_eq!((waiting, denied), (16, 484), "the queue is bounded, and who does not fit is told at once");
    let link = rig.fresh(sound);
    rig.give_back(sound, link);
    // Its dials time out: everybody is told, and from then on at once.
    let mut told = 0;
    for _ in 0..held {
        told += rig.state.dial_ended(rig.now, hung, Err(DialError::TimedOut)).denied.len();
    }
    assert_eq!((told, rig.denied(hung)), (16, CheckoutError::Unreachable));
    assert_eq!(rig.state.gauges().waiting, 0);
    rig.pass(SETTLE_TIME);
    rig.reuse(sound);
}

#[test]
fn two_hundred_backends_share_16_connections() {
    let mut rig = Rig::seeded(none(), 16, 1);
    let all = rig.backends(200);
    for round in 0..3 {
        for &at in &all {
            rig.pass(MS);
            let link = rig.fresh(at);
            assert!(rig.descriptors.get() <= 16, "round {round}");
            rig.give_back(at, link);
            rig.check();
        }
    }
    assert_eq!(rig.state.gauges().idle, 16, "what fits is kept");
    // All in use, one more is told at once and takes nothing.
    let held: Vec<Fake> = all[..16].iter().map(|&at| rig.fresh(at)).collect();
    assert_eq!(rig.denied(all[100]), CheckoutError::PoolExhausted);
    assert_eq!((rig.descriptors.get(), rig.state.gauges().open()), (held.len(), 16));
}

#[test]
fn idle_connections_are_kept_to_the_most_recently_used_backends() {
    let mut rig = Rig::new(serde_json::json!({"idle_backends": 8}));
    let all = rig.backends(200);
    for &at in &all {
        rig.pass(MS);
        let link = rig.fresh(at);
        rig.give_back(at, link);
    }
    assert_eq!((rig.state.gauges().idle, rig.descriptors.get()), (8, 8));
    rig.pass(SETTLE_TIME);
    all[192..].iter().for_each(|&at| _ = rig.reuse(at));
}

#[test]
fn preconnects_are_paced_when_all_backends_are_replaced() {
    let mut dials = Vec::new();
    for seed in 0..40 {
        let section = serde_json::json!({"warm_up": true, "warm_per_s": 2, "warm_burst": 2});
        let mut rig = Rig::seeded(section, 512, seed);
        let old = rig.backends(100);
        // Two at once to each, for a while.
        for _ in 0..10 {
            rig.pass(100 * MS);
            for &at in &old {
                let links: Vec<Fake> = (0..2)
                    .map(|_| match rig.checkout(at).1 {
                        Checkout::Idle(link) => link,
                        _ => rig.came_up(at).expect("opened").1,
                    })
                    .collect();
                links.into_iter().for_each(|link| rig.give_back(at, link));
            }
        }
        let new: Vec<IncarnationId> = old.iter().map(|&at| rig.state.add(Some(at))).collect();
        old.iter().for_each(|&at| _ = rig.state.close(at));
        let start = rig.now;
        let mut due: Vec<(Instant, IncarnationId)> = Vec::new();
        for step in 0..1000 {
            if step % 25 == 0 {
                let wanting =
                    new.iter().copied().filter(|&at| rig.state.wants_preconnect(rig.now, at)).collect();
                let chosen = rig.state.choose_preconnects(rig.now, wanting, 250 * MS);
                due.extend(chosen.into_iter().map(|(at, pause)| (rig.now + pause, at)));
            }
            let now = rig.now;
            for (_, at) in due.extract_if(.., |(at, _)| *at <= now) {
                if rig.state.begin_preconnect(now, at) {
                    assert!(rig.came_up(at).is_none());
                    dials.push(now - start);
                }
            }
            rig.pass(10 * MS);
        }
        assert!(rig.state.counters().preconnected <= 2 + 20, "two at once and two a second");
        assert!(
            rig.state.counters().preconnected >= 10,
            "recent use asks for them: {:?}",
            rig.state.counters()
        );
    }
    let within = |from: &Duration| dials.iter().filter(|d| (*from..*from + 100 * MS).contains(d)).count();
    assert!(dials.iter().map(within).max() < Some(50), "40 gateways do not dial in step");
}

#[test]
fn unused_failing_and_removed_backends_get_no_preconnects() {
    let mut rig = Rig::new(serde_json::json!({"warm_up": true}));
    let ends = rig.backends(4);
    let (unused, failing, gone, used) = (ends[0], ends[1], ends[2], ends[3]);
    for at in [failing, gone, used] {
        rig.fill(at, 2);
        let link = rig.reuse(at);
        drop(link);
        rig.state.connection_closed(rig.now, at);
    }
    let links = [rig.reuse(failing)];
    let (waiter, _) = rig.wait(failing);
    rig.state.dial_ended(rig.now, failing, Err(DialError::Refused));
    rig.state.remove_waiter(failing, waiter);
    links.into_iter().for_each(|link| {
        drop(link);
        rig.state.connection_closed(rig.now, failing);
    });
    rig.state.close(gone);
    let wanting =
        |rig: &Rig| ends.iter().map(|&at| rig.state.wants_preconnect(rig.now, at)).collect::<Vec<_>>();
    assert_eq!(wanting(&rig), [false, false, false, true], "{unused:?} {failing:?} {gone:?} {used:?}");
    rig.pass(Duration::from_secs(60));
    assert_eq!(wanting(&rig), [false; 4], "use of long ago asks for nothing");
}

#[test]
fn new_settings_close_idle_connections_at_once_and_spare_those_in_use() {
    let mut rig = Rig::new(none());
    let ends = rig.backends(8);
    ends.iter().for_each(|&at| _ = rig.fill(at, 4));
    let busy: Vec<Fake> = ends.iter().map(|&at| rig.reuse(at)).collect();
    rig.state.configure(settings(
        serde_json::json!({"links": 10, "backend_most": 2, "backend_least": 1}),
        64,
        300,
    ));
    assert_eq!((rig.state.gauges().in_use, rig.state.gauges().idle), (8, 2));
    busy.into_iter().zip(&ends).for_each(|(link, &at)| rig.give_back(at, link));
    assert!(rig.state.gauges().idle <= 10);
    assert!(ends.iter().all(|&at| matches!(rig.limit_and_held(at), (2, held) if held <= 2)));
    rig.check();
}

#[test]
fn a_stopped_pool_keeps_no_idle_connections() {
    let mut rig = Rig::new(none());
    let at = rig.backends(1)[0];
    rig.fill(at, 3);
    let busy = rig.reuse(at);
    rig.state.stop();
    assert_eq!(rig.descriptors.get(), 1, "what is in use goes on");
    rig.give_back(at, busy);
    assert_eq!((rig.descriptors.get(), rig.state.gauges().open()), (0, 0));
    rig.fresh(at);
}

#[test]
fn the_same_calls_with_the_same_seed_have_the_same_results() {
    let play = |seed| {
        let mut rig = Rig::seeded(none(), 16, seed);
        let (ends, mut rng) = (rig.backends(12), fastrand::Rng::with_seed(7));
        let mut out: HashMap<IncarnationId, Vec<Fake>> = HashMap::new();
        let (mut seen, mut waiting) = (Vec::new(), Vec::new());
        for _ in 0..20_000 {
            rig.pass(MS * rng.u32(0..20));
            let at = ends[rng.usize(..ends.len())];
            match rng.u32(0..6) {
                0..3 => match rig.checkout(at) {
                    (_, Checkout::Idle(link)) => out.entry(at).or_default().push(link),
                    (waiter, Checkout::Wait { .. }) => waiting.push((at, waiter)),
                    _ => {}
                },
                3 => {
                    if let Some(link) = out.get_mut(&at).and_then(Vec::pop) {
                        rig.give_back(at, link);
                    }
                }
                4 => {
                    if let Some(link) = out.get_mut(&at).and_then(Vec::pop) {
                        drop(link);
                        rig.state.connection_closed(rig.now, at);
                    }
                }
                _ => rig.state.retire(rig.now),
            }
            while rig.state.gauges().dialling > 0 {
                let Some(&at) = ends.iter().find(|&&at| rig.state.dialling(at) > 0) else { break };
                let fails = rng.u32(0..5) == 0;
                let link = (!fails).then(|| rig.link()).ok_or(DialError::Refused);
                let granted = rig.state.dial_ended(rig.now, at, link).granted;
                out.entry(at).or_default().extend(granted.map(|(_, link)| link));
            }
            while let Some((_, link)) = rig.state.serve_waiter(rig.now, at) {
                out.entry(at).or_default().push(link);
            }
            if waiting.len() > 4 {
                let (at, waiter) = waiting.remove(0);
                rig.state.remove_waiter(at, waiter);
            }
            rig.check();
            let gauges = rig.state.gauges();
            assert!(gauges.open() <= 16 && gauges.waiting <= 16, "{gauges:?}");
            let bounds = |&at: &IncarnationId| {
                rig.state.connection_limit(at).is_some_and(|limit| (2..=8).contains(&limit))
            };
            assert!(ends.iter().all(bounds));
            seen.push(gauges);
        }
        (seen, rig.state.counters())
    };
    let first = play(5);
    assert_eq!(first, play(5));
    assert!(first.1.reused > 100 && first.1.evicted > 10 && first.1.failed > 10, "{:?}", first.1);
}
