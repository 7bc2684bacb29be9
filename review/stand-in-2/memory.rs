//! The memory of a gateway while bad clients send what can't be read.

use crate::world::{self, Discovery, Folder, Gateway, GatewayFile, Member, Record, Wire};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits that the gateway is told.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
const BACKENDS: usize = 3;
const WORK: Duration = Duration::from_millis(300);
/// Bad clients that send a request and then what can't be read: together with the usual ones a third of the descriptors.
const BAD_WITH_REQUESTS: u64 = 330;
const UNREADABLE_BYTES: usize = 44_000;
/// Bad clients that send a head that does not end.
const BAD_WITH_HEADS: u64 = 170;
const HEAD_BYTES: usize = 15_000;
const USUAL_CLIENTS: u64 = 4;
const WATCHED: Duration = Duration::from_secs(12);

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
        memory_mb: MEMORY_MB,
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
    if gateway.memory_kib("RssAnon") == 0 {
        return world::finish(record, world::COULD_NOT_RUN, "the memory of the process can't be read");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let (served, sent) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let mut clients = Vec::new();
    let address = gateway.address;
    for number in 0..USUAL_CLIENTS {
        let (stop, served) = (stop.clone(), served.clone());
        clients.push(world::spawn(move || usual(address, number, &stop, &served)));
    }
    if trouble {
        record.note(&format!(
            "{BAD_WITH_REQUESTS} bad clients send requests and noise, {BAD_WITH_HEADS} heads without an end"
        ));
        for number in 0..BAD_WITH_REQUESTS {
            let (stop, sent) = (stop.clone(), sent.clone());
            clients.push(world::spawn(move || bad_with_requests(address, number, &stop, &sent)));
        }
        for _ in 0..BAD_WITH_HEADS {
            let (stop, sent) = (stop.clone(), sent.clone());
            clients.push(world::spawn(move || bad_with_heads(address, &stop, &sent)));
        }
    }
    // What is not a part of a file: the limit holds for this and files together.
    let mut peak = 0;
    let mut ended = None;
    let until = Instant::now() + WATCHED;
    while Instant::now() < until && ended.is_none() {
        let kib = gateway.memory_kib("RssAnon");
        peak = peak.max(kib);
        record.note(&format!("gateway: {kib} KiB without files, {} KiB with", gateway.memory_kib("VmRSS")));
        thread::sleep(Duration::from_millis(250));
        ended = gateway.ended();
    }
    stop.store(true, Ordering::SeqCst);
    if let Some(status) = ended {
        return world::finish(record, world::BROKEN, &format!("the gateway ended: {status}"));
    }
    drop(gateway);
    for client in clients {
        let _ = client.join();
    }
    let limit = u64::from(MEMORY_MB) * 1024;
    record.say(&format!(
        "{} connections of bad clients, {} requests of usual clients served",
        sent.load(Ordering::SeqCst),
        served.load(Ordering::SeqCst)
    ));
    if served.load(Ordering::SeqCst) == 0 && !trouble {
        return world::finish(record, world::COULD_NOT_RUN, "no usual client was served");
    }
    let code = if peak <= limit { world::HELD } else { world::BROKEN };
    world::finish(
        record,
        code,
        &format!("at most {peak} KiB of memory without files; the gateway is killed over {limit} KiB"),
    )
}

fn backend(mut wire: Wire) {
    while let Ok(request) = wire.read() {
        let id = request.field("x-call-id").unwrap_or("").to_string();
        thread::sleep(WORK);
        if wire.write(&world::answer("200 OK", "", format!("answer for {id}\n").as_bytes())).is_err() {
            return;
        }
    }
}

/// Sends a request and noise at once, reads whatever it is sent, and does the same again once it is closed.
fn bad_with_requests(address: SocketAddr, number: u64, stop: &AtomicBool, sent: &AtomicU32) {
    while !stop.load(Ordering::SeqCst) {
        let mut bytes = world::request("lookup", &world::call_id(), 1000 + number, 4000, 2, b"");
        bytes.resize(bytes.len() + UNREADABLE_BYTES, b'y');
        send(address, &bytes, sent);
    }
}

fn bad_with_heads(address: SocketAddr, stop: &AtomicBool, sent: &AtomicU32) {
    let mut bytes = b"GET /api HTTP/1.1\r\n".to_vec();
    while bytes.len() < HEAD_BYTES {
        bytes.extend_from_slice(format!("x-{}: {}\r\n", bytes.len(), "z".repeat(160)).as_bytes());
    }
    while !stop.load(Ordering::SeqCst) {
        send(address, &bytes, sent);
    }
}

fn send(address: SocketAddr, bytes: &[u8], sent: &AtomicU32) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return thread::sleep(Duration::from_millis(20));
    };
    sent.fetch_add(1, Ordering::SeqCst);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let _ = stream.write_all(bytes);
    let mut answer = [0; 1024];
    while stream.read(&mut answer).is_ok_and(|count| count > 0) {}
}

fn usual(address: SocketAddr, number: u64, stop: &AtomicBool, served: &AtomicU32) {
    while !stop.load(Ordering::SeqCst) {
        if let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
            let mut wire = Wire::new(stream);
            let asked = wire.write(&world::request("lookup", &world::call_id(), 1 + number, 4000, 2, b""));
            let answer = asked.and_then(|()| wire.read());
            served.fetch_add(u32::from(answer.is_ok_and(|answer| answer.status() == 200)), Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(100));
    }
}
