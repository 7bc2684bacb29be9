//! Requests of usual clients that are answered long after their time, while bad clients send requests and connect.

use crate::world::{self, Discovery, Folder, Gateway, GatewayFile, Member, Record, Wire};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SOCKETS: u32 = 256;
const BACKENDS: usize = 3;
/// How long a backend works on a `lookup`, and on a `publish`.
const LOOKUP_WORK: Duration = Duration::from_millis(100);
const PUBLISH_WORK: Duration = Duration::from_millis(300);
/// Usual clients, and bad clients that send requests: together at most a third of the descriptors.
const USUAL_CLIENTS: u64 = 8;
const BAD_WITH_REQUESTS: u64 = 72;
/// Bad clients that connect and say nothing.
const BAD_AND_SILENT: u64 = 400;
/// How long a usual client waits for its answer. An answer that comes up to half a second later only earns nothing.
const BUDGET: Duration = Duration::from_millis(200);
const EARNS_NOTHING: Duration = Duration::from_millis(500);
/// The slack of every time limit on sockets, and what this stand-in may be late itself.
const SLACK: Duration = Duration::from_millis(50 + 50);
const WATCHED: Duration = Duration::from_secs(15);

/// What became of the requests of usual clients.
#[derive(Default)]
struct Counts {
    in_time: AtomicU32,
    late: AtomicU32,
    never: AtomicU32,
    /// On a connection that was closed with no answer. The client sends them again, so they are not counted.
    closed: AtomicU32,
    /// No connection came up.
    refused: AtomicU32,
}

pub fn run(record: &Record, root: &Path, trouble: bool) -> i32 {
    let folder = Folder::create();
    let (discovery, discovery_address) = Discovery::start();
    for number in 0..BACKENDS {
        let address = world::serve(world::listen(), backend);
        discovery.set(Member { id: format!("s-{number}"), address, phase: "ready", up_since_ms: 0 });
    }
    let file = GatewayFile {
        name: "n0".into(),
        listen: world::free_address(),
        discovery: discovery_address,
        counter: world::start_counter(),
        memory_mb: 192,
        sockets: SOCKETS,
        number: 0,
        gateways: 2,
        deadlines_ms: [4000, 8000],
    };
    let mut gateway = match Gateway::start(root, &folder.0, &file) {
        Ok(gateway) => gateway,
        Err(error) => return world::finish(record, world::COULD_NOT_RUN, &format!("no gateway: {error}")),
    };
    if !gateway.wait_until_ready(Duration::from_secs(20)) {
        return world::finish(record, world::COULD_NOT_RUN, "the gateway did not get ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let longest = Arc::new(Mutex::new(Duration::ZERO));
    let mut clients = Vec::new();
    let address = gateway.address;
    if trouble {
        record.note(&format!(
            "{BAD_WITH_REQUESTS} bad clients send requests, {BAD_AND_SILENT} connect and say nothing"
        ));
        for number in 0..BAD_WITH_REQUESTS {
            let stop = stop.clone();
            clients.push(world::spawn(move || bad_with_requests(address, number, &stop)));
        }
        for _ in 0..BAD_AND_SILENT {
            let stop = stop.clone();
            clients.push(world::spawn(move || bad_and_silent(address, &stop)));
        }
        thread::sleep(Duration::from_secs(2));
    }
    for number in 0..USUAL_CLIENTS {
        let (stop, counts, longest, record) = (stop.clone(), counts.clone(), longest.clone(), record.clone());
        clients.push(world::spawn(move || usual(address, number, &stop, &counts, &longest, &record)));
    }
    thread::sleep(WATCHED);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if let Some(status) = gateway.ended() {
        return world::finish(record, world::BROKEN, &format!("the gateway ended: {status}"));
    }
    let count = |number: &AtomicU32| number.load(Ordering::SeqCst);
    let lost = count(&counts.late) + count(&counts.never);
    let answered = count(&counts.in_time) + count(&counts.late);
    record.say(&format!(
        "usual clients: {} answered in time, {} later than half a second after their time, {} never; {} closed unanswered, {} not connected; longest {:.3} s",
        count(&counts.in_time),
        count(&counts.late),
        count(&counts.never),
        count(&counts.closed),
        count(&counts.refused),
        longest.lock().unwrap().as_secs_f64()
    ));
    if answered + count(&counts.never) == 0 {
        return world::finish(
            record,
            world::COULD_NOT_RUN,
            "no usual client got as far as sending a request",
        );
    }
    let code = if lost == 0 { world::HELD } else { world::BROKEN };
    world::finish(record, code, &format!("{lost} requests of usual clients were lost"))
}

fn backend(mut wire: Wire) {
    while let Ok(request) = wire.read() {
        let id = request.field("x-call-id").unwrap_or("").to_string();
        let is_lookup = request.field("x-call-class") == Some("lookup");
        thread::sleep(if is_lookup { LOOKUP_WORK } else { PUBLISH_WORK });
        if wire.write(&world::answer("200 OK", "", format!("answer for {id}\n").as_bytes())).is_err() {
            return;
        }
    }
}

/// Connects, and again once the gateway has closed the connection.
fn bad_and_silent(address: SocketAddr, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let _ = stream.read(&mut [0; 100]);
    }
}

/// Sends a request, and the same again the moment it is answered.
fn bad_with_requests(address: SocketAddr, number: u64, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut wire = Wire::new(stream);
        while !stop.load(Ordering::SeqCst) {
            let request =
                world::request("publish", &world::call_id(), 1000 + number, 8000, 2, b"the same again");
            match wire.write(&request).and_then(|()| wire.read()) {
                Ok(answer) if answer.field("connection").is_none() => {}
                _ => break,
            }
        }
    }
}

/// Sends one request at a time, on one connection as long as the gateway keeps it, with a pause after each answer.
fn usual(
    address: SocketAddr,
    number: u64,
    stop: &AtomicBool,
    counts: &Counts,
    longest: &Mutex<Duration>,
    record: &Record,
) {
    let mut open: Option<Wire> = None;
    let count = |counter: &AtomicU32| {
        counter.fetch_add(1, Ordering::SeqCst);
    };
    let mut again: Option<String> = None;
    while !stop.load(Ordering::SeqCst) {
        let is_new = open.is_none();
        let connected = open.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(3));
            stream.ok().map(Wire::new)
        });
        let Some(mut wire) = connected else {
            count(&counts.refused);
            continue;
        };
        let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(5)));
        let id = again.take().unwrap_or_else(world::call_id);
        let budget_ms = BUDGET.as_millis() as u64;
        let written = wire.write(&world::request("lookup", &id, 1 + number, budget_ms, 2, b""));
        // From here on the request's last byte is written to a connection that the gateway's machine has accepted.
        let sent_at = Instant::now();
        let answer = written.and_then(|()| wire.read());
        let took = sent_at.elapsed();
        let seconds = took.as_secs_f64();
        match answer {
            Ok(answer) => {
                let is_late = took > BUDGET + EARNS_NOTHING + SLACK;
                count(if is_late { &counts.late } else { &counts.in_time });
                let mut longest = longest.lock().unwrap();
                *longest = took.max(*longest);
                let line = &answer.line;
                record.note(&format!(
                    "usual client {number} {id}: {line} after {seconds:.3} s, new connection: {is_new}"
                ));
                if !answer.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    open = Some(wire);
                }
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                count(&counts.never);
                record.note(&format!(
                    "usual client {number} {id}: no answer within {seconds:.3} s, new connection: {is_new}"
                ));
            }
            Err(error) => {
                count(&counts.closed);
                record.note(&format!("usual client {number} {id}: closed after {seconds:.3} s, new connection: {is_new}: {error}"));
                // The close crossed the request: it is sent once more, on a new connection.
                if !is_new {
                    again = Some(id);
                    continue;
                }
            }
        }
        thread::sleep(Duration::from_millis(400));
    }
}
