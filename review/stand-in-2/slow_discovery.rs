//! Backends that begin to drain while discovery answers late and new configurations come: one that moves discovery to an
//! address where each call is answered late, or many in a row.

use crate::world::{self, Discovery, Folder, Gateway, GatewayFile, Member, Record, Wire};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 3;
/// The backend that begins to drain.
const DRAINING: usize = 2;
/// How late discovery answers a call, in the case with one new configuration and in the one with many.
const LATE_WHEN_MOVED: Duration = Duration::from_millis(2500);
const LATE_WHILE_RELOADING: Duration = Duration::from_millis(1500);
/// When the backend begins to drain, after the one new configuration.
const DRAIN_AFTER_MOVE: Duration = Duration::from_secs(5);
/// How many new configurations come, and how long after each other.
const RELOADS: u32 = 20;
const RELOAD_PAUSE: Duration = Duration::from_secs(1);
/// After how many of them the backend begins to drain.
const DRAIN_AFTER_RELOADS: u32 = 3;
/// A change counts as told 6 s after discovery had it, and a send has to end 2 s later, with 50 ms of slack on sockets.
const GRACE: Duration = Duration::from_millis(6_000 + 2_000 + 50);
/// How long requests are sent after that.
const WATCHED: Duration = Duration::from_secs(10);
/// Clients, each with one request at a time: enough that every backend in service gets some.
const CLIENTS: u64 = 6;
const PAUSE: Duration = Duration::from_millis(60);
const WORK: Duration = Duration::from_millis(60);

/// The deployment of both cases: one gateway, its discovery and backends, and the load.
struct Deployment {
    folder: Folder,
    discovery: Discovery,
    members: Vec<Member>,
    arrived: Arc<Mutex<Vec<(usize, String, Instant)>>>,
    file: GatewayFile,
    gateway: Gateway,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU32>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Deployment {
    /// Starts all, with discovery at this address. Returns the exit code of the case if that fails.
    fn start(
        record: &Record,
        root: &Path,
        discovery: &Discovery,
        address: SocketAddr,
    ) -> Result<Deployment, i32> {
        let folder = Folder::create();
        let arrived: Arc<Mutex<Vec<(usize, String, Instant)>>> = Arc::default();
        let mut members = Vec::new();
        for number in 0..BACKENDS {
            let arrived = arrived.clone();
            let address = world::serve(world::listen(), move |wire| backend(wire, number, &arrived));
            members.push(Member { id: format!("s-{number}"), address, phase: "ready", up_since_ms: 0 });
        }
        members.iter().for_each(|member| discovery.set(member.clone()));
        let file = GatewayFile {
            name: "n0".into(),
            listen: world::free_address(),
            discovery: address,
            counter: world::start_counter(),
            memory_mb: 192,
            sockets: 1024,
            number: 0,
            gateways: 2,
            deadlines_ms: [4000, 8000],
        };
        let failed = |what: &str| world::finish(record, world::COULD_NOT_RUN, what);
        let gateway = Gateway::start(root, &folder.0, &file)
            .map_err(|error| failed(&format!("no gateway: {error}")))?;
        if !gateway.wait_until_ready(Duration::from_secs(20)) {
            return Err(failed("the gateway did not get ready"));
        }
        let stop = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicU32::new(0));
        let mut clients = Vec::new();
        for customer in 1..=CLIENTS {
            let (stop, served, address, record) =
                (stop.clone(), served.clone(), gateway.address, record.clone());
            clients.push(world::spawn(move || client(address, customer, &stop, &served, &record)));
        }
        thread::sleep(Duration::from_secs(3));
        let discovery = discovery.clone();
        Ok(Deployment { folder, discovery, members, arrived, file, gateway, stop, served, clients })
    }

    /// Replaces the configuration file as a whole, and sends SIGHUP.
    fn reload(&self, record: &Record) {
        let new = self.folder.0.join("new.json");
        let replaced = std::fs::write(&new, self.file.json())
            .and_then(|()| std::fs::rename(&new, self.folder.0.join("n0.json")));
        let (discovery, counter) = (self.file.discovery, self.file.counter);
        record
            .note(&format!("platform: SIGHUP, discovery at {discovery}, counter at {counter}: {replaced:?}"));
        self.gateway.signal("HUP");
    }

    fn drain(&self, record: &Record) -> Instant {
        self.discovery.set(Member { phase: "draining", ..self.members[DRAINING].clone() });
        record.note(&format!("discovery: s-{DRAINING} begins to drain"));
        Instant::now()
    }

    /// Ends the load, and returns the exit code of the case.
    fn finish(mut self, record: &Record, drains_at: Instant) -> i32 {
        self.stop.store(true, Ordering::SeqCst);
        for client in std::mem::take(&mut self.clients) {
            let _ = client.join();
        }
        if let Some(status) = self.gateway.ended() {
            return world::finish(record, world::BROKEN, &format!("the gateway ended: {status}"));
        }
        let arrived = self.arrived.lock().unwrap();
        let at_draining = || arrived.iter().filter(|(number, _, _)| *number == DRAINING);
        let before = at_draining().filter(|(_, _, at)| *at < drains_at).count();
        let mut late_sends = 0;
        for (number, id, at) in at_draining() {
            let after = at.saturating_duration_since(drains_at);
            if after > GRACE {
                late_sends += 1;
                let seconds = after.as_secs_f64();
                record
                    .note(&format!("backend s-{number}: {id} arrived {seconds:.2} s after the drain began"));
            }
        }
        let served = self.served.load(Ordering::SeqCst);
        record.say(&format!(
            "{} requests at backends, {before} at s-{DRAINING} before it began to drain, {served} served",
            arrived.len()
        ));
        if before == 0 || served < 100 {
            return world::finish(record, world::COULD_NOT_RUN, "the load did not reach all backends");
        }
        let code = if late_sends == 0 { world::HELD } else { world::BROKEN };
        let limit = GRACE.as_secs_f64();
        let what =
            format!("{late_sends} requests sent to s-{DRAINING} more than {limit} s after its drain began");
        world::finish(record, code, &what)
    }
}

/// One new configuration moves discovery to an address where each call is answered late.
pub fn run_moved(record: &Record, root: &Path, trouble: bool) -> i32 {
    let discovery = Discovery::default();
    let moved = Arc::new(AtomicBool::new(false));
    let old_address = old_discovery(&discovery, &moved);
    let is_late = Arc::new(AtomicBool::new(trouble));
    let new_address = late_discovery(&discovery, LATE_WHEN_MOVED, &is_late, record);
    let mut deployment = match Deployment::start(record, root, &discovery, old_address) {
        Ok(deployment) => deployment,
        Err(code) => return code,
    };
    deployment.file.discovery = new_address;
    deployment.reload(record);
    // The old address accepts no new connection, and closes open ones after 1.5 s.
    moved.store(true, Ordering::SeqCst);
    thread::sleep(DRAIN_AFTER_MOVE);
    let drains_at = deployment.drain(record);
    thread::sleep(GRACE + WATCHED);
    deployment.finish(record, drains_at)
}

/// Many new configurations in a row name the same discovery and another counter, while discovery answers late.
pub fn run_reloads(record: &Record, root: &Path, trouble: bool) -> i32 {
    let discovery = Discovery::default();
    let is_late = Arc::new(AtomicBool::new(false));
    let address = late_discovery(&discovery, LATE_WHILE_RELOADING, &is_late, record);
    let mut deployment = match Deployment::start(record, root, &discovery, address) {
        Ok(deployment) => deployment,
        Err(code) => return code,
    };
    let counters = [world::start_counter(), deployment.file.counter];
    is_late.store(trouble, Ordering::SeqCst);
    let mut drains_at = Instant::now();
    for number in 0..RELOADS {
        if number == DRAIN_AFTER_RELOADS {
            drains_at = deployment.drain(record);
        }
        if trouble {
            deployment.file.counter = counters[number as usize % counters.len()];
            deployment.reload(record);
        }
        thread::sleep(RELOAD_PAUSE);
    }
    deployment.finish(record, drains_at)
}

/// The old address: answers at once, until the configuration has moved.
fn old_discovery(discovery: &Discovery, moved: &Arc<AtomicBool>) -> SocketAddr {
    let (discovery, moved) = (discovery.clone(), moved.clone());
    world::serve(world::listen(), move |mut wire| {
        while let Ok(request) = wire.read() {
            if moved.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1500));
                return;
            }
            let body = discovery.list(&request);
            if wire
                .write(&world::answer("200 OK", "Content-Type: application/json\r\n", body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    })
}

/// An address of discovery at which each answer is written late, as long as `is_late` is set.
fn late_discovery(
    discovery: &Discovery,
    late: Duration,
    is_late: &Arc<AtomicBool>,
    record: &Record,
) -> SocketAddr {
    let (discovery, is_late, record) = (discovery.clone(), is_late.clone(), record.clone());
    world::serve(world::listen(), move |mut wire| {
        while let Ok(request) = wire.read() {
            let called_at = Instant::now();
            let body = discovery.list(&request);
            if is_late.load(Ordering::SeqCst) {
                thread::sleep(late);
            }
            let written =
                wire.write(&world::answer("200 OK", "Content-Type: application/json\r\n", body.as_bytes()));
            record.note(&format!(
                "discovery: {} answered after {:.2} s, {}",
                request.line,
                called_at.elapsed().as_secs_f64(),
                if written.is_ok() { "written" } else { "the gateway had gone" }
            ));
            if written.is_err() {
                return;
            }
        }
    })
}

fn backend(mut wire: Wire, number: usize, arrived: &Mutex<Vec<(usize, String, Instant)>>) {
    while let Ok(request) = wire.read() {
        let id = request.field("x-call-id").unwrap_or("").to_string();
        arrived.lock().unwrap().push((number, id.clone(), Instant::now()));
        thread::sleep(WORK);
        if wire.write(&world::answer("200 OK", "", format!("answer for {id}\n").as_bytes())).is_err() {
            return;
        }
    }
}

/// Sends one request after the other, on one connection as long as the gateway keeps it.
fn client(address: SocketAddr, customer: u64, stop: &AtomicBool, served: &AtomicU32, record: &Record) {
    let mut open: Option<Wire> = None;
    while !stop.load(Ordering::SeqCst) {
        let id = world::call_id();
        let connection = open.take().or_else(|| TcpStream::connect(address).ok().map(Wire::new));
        if let Some(mut wire) = connection {
            let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(10)));
            let asked = wire.write(&world::request("lookup", &id, customer, 4000, 2, b""));
            match asked.and_then(|()| wire.read()) {
                Ok(answer) => {
                    served.fetch_add(u32::from(answer.status() == 200), Ordering::SeqCst);
                    if answer.status() != 200 {
                        record.note(&format!("client {id}: {}", answer.line));
                    }
                    if !answer.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                        open = Some(wire);
                    }
                }
                Err(error) => record.note(&format!("client {id}: {error}")),
            }
        }
        thread::sleep(PAUSE);
    }
}
