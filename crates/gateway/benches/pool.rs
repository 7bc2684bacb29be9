//! Checkout and give-back of one connection a request: time and allocations at 10 and 200 backends, the pool beside
//! the one before it, in turn in one run. `cargo bench --bench pool` prints a row each.
mod baseline;

use baseline::Baseline;
use lanespan_gateway::config::document::PoolSection;
use lanespan_gateway::pool::{Around, Book, Checkout, Link, PoolSettings, SETTLE};
use socket2::SockRef;
use std::hint::black_box;
use std::mem::MaybeUninit;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use tokio::time::Instant;

const ROUNDS: usize = 15;
const REQUESTS: u32 = 20_000;
const LINKS: usize = 256;
const CONN_IDLE: Duration = Duration::from_secs(30);

/// A connection that costs nothing to look at, or a socket that the system is asked about.
struct Cheap(Option<(UnixStream, UnixStream)>);

impl Link for Cheap {
    fn is_usable(&mut self) -> bool {
        true
    }
    fn is_quiet(&mut self) -> bool {
        let Some((near, _)) = &self.0 else { return true };
        let mut byte = [MaybeUninit::uninit(); 1];
        SockRef::from(near).peek(&mut byte).is_err()
    }
}

fn link(sockets: bool) -> Cheap {
    let pair = || {
        let (near, far) = UnixStream::pair().expect("a pair of sockets");
        near.set_nonblocking(true).expect("a mode that every socket has");
        (near, far)
    };
    Cheap(sockets.then(pair))
}

/// A pool with one idle connection to each backend, and how one request goes through it.
trait Subject {
    fn request(&mut self, now: Instant, at: usize);
}

struct Old(Baseline<Cheap>);

impl Old {
    fn new(backends: usize, sockets: bool, now: Instant) -> Old {
        let mut pool = Baseline::new(LINKS, CONN_IDLE);
        for at in 0..backends {
            assert!(pool.checkout(now, at as u64).is_some_and(|idle| idle.is_none()), "none is idle yet");
            pool.give_back(now, at as u64, link(sockets));
        }
        Old(pool)
    }
}

impl Subject for Old {
    fn request(&mut self, now: Instant, at: usize) {
        let link = self.0.checkout(now, at as u64).flatten().expect("it is idle");
        self.0.give_back(now, at as u64, black_box(link));
    }
}

struct Pooled(Book<Cheap>, Vec<u64>);

impl Pooled {
    fn new(backends: usize, sockets: bool, now: Instant) -> Pooled {
        let (dial_timeout, links) = (Duration::from_millis(250), LINKS);
        let (gateways, sockets_most) = (300, 4 * LINKS);
        let around = Around {
            links,
            links_most: links,
            gateways,
            sockets: sockets_most,
            dial_timeout,
            conn_idle: CONN_IDLE,
        };
        let settings = PoolSettings::of(&PoolSection::default(), &around).expect("defaults");
        let mut book = Book::new(settings, 1);
        let serials: Vec<u64> = (0..backends).map(|_| book.add(None)).collect();
        for (waiter, &serial) in serials.iter().enumerate() {
            assert!(matches!(book.checkout(now, serial, waiter as u64), Checkout::Wait { dial: true, .. }));
            let (_, link) = book.dialled(now, serial, Ok(link(sockets))).granted.expect("for the waiter");
            book.give_back(now, serial, link, true);
        }
        Pooled(book, serials)
    }
}

impl Subject for Pooled {
    fn request(&mut self, now: Instant, at: usize) {
        let serial = self.1[at];
        let Checkout::Link(link) = self.0.checkout(now, serial, 0) else { panic!("it is idle") };
        self.0.give_back(now, serial, black_box(link), true);
    }
}

/// Nanoseconds a request, each on the next backend, 10 ms after the last one there at the least.
fn round(subject: &mut dyn Subject, backends: usize, now: &mut Instant) -> f64 {
    let start = std::time::Instant::now();
    for i in 0..REQUESTS {
        *now += Duration::from_millis(10) / backends as u32;
        subject.request(*now, i as usize % backends);
    }
    start.elapsed().as_nanos() as f64 / f64::from(REQUESTS)
}

fn compare(backends: usize, sockets: bool) {
    let start = Instant::now();
    let mut old = Old::new(backends, sockets, start);
    let mut new = Pooled::new(backends, sockets, start);
    let subjects: [(&str, &mut dyn Subject); 2] = [("before", &mut old), ("pool", &mut new)];
    let settled = start + 2 * SETTLE;
    let mut rows = subjects.map(|(name, subject)| (name, subject, settled, Vec::new()));
    // The first round is not counted.
    for counted in std::iter::once(false).chain([true; ROUNDS]) {
        for (_, subject, now, times) in &mut rows {
            let time = round(*subject, backends, now);
            times.extend(counted.then_some(time));
        }
    }
    for (name, subject, now, mut times) in rows {
        let mut now = now;
        let allocated = allocation_counter::measure(|| _ = round(subject, backends, &mut now)).count_total;
        times.sort_by(f64::total_cmp);
        let links = if sockets { "sockets" } else { "books only" };
        println!(
            "{backends:>4} backends, {links:<10}  {name:<6}  ns a request: {:>5.0} min {:>5.0} median {:>5.0} max  \
             allocations a request: {:.4}",
            times[0],
            times[times.len() / 2],
            times[times.len() - 1],
            allocated as f64 / f64::from(REQUESTS)
        );
    }
}

fn main() {
    for backends in [10, 200] {
        for sockets in [false, true] {
            compare(backends, sockets);
        }
    }
}
