//! Answers with no length that come whole.

use crate::world::{self, Discovery, Folder, Gateway, GatewayFile, Member, Record, Wire};
use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BACKENDS: usize = 3;
const REQUESTS: usize = 60;
/// One answer in three has no length.
const WITHOUT_LENGTH_OF: usize = 3;

/// What the backends made: for each id of a call, whether an answer of it had no length, and how often it ran.
#[derive(Default, Clone, Copy)]
struct Ran {
    times: u32,
    without_length: bool,
}

pub fn run(record: &Record, root: &Path, trouble: bool) -> i32 {
    let folder = Folder::create();
    let (discovery, discovery_address) = Discovery::start();
    let ran: Arc<Mutex<HashMap<String, Ran>>> = Arc::default();
    for number in 0..BACKENDS {
        let (ran, record) = (ran.clone(), record.clone());
        let address =
            world::serve(world::listen(), move |wire| backend(wire, number, trouble, &ran, &record));
        let id = format!("s-{number}");
        discovery.set(Member { id, address, phase: "ready", up_since_ms: 0 });
    }
    let file = GatewayFile {
        name: "n0".into(),
        listen: world::free_address(),
        discovery: discovery_address,
        counter: world::start_counter(),
        memory_mb: 192,
        sockets: 1024,
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
    // Numbers of calls by class: all, whole answers without a length, and those among them that the client got.
    let mut counts: HashMap<&str, [u32; 4]> = HashMap::new();
    for number in 0..REQUESTS {
        let class = if number % 3 == 2 { "publish" } else { "lookup" };
        let id = format!("{}{:04x}", &world::call_id()[..12], number);
        let got = call(&gateway, class, &id, number as u64);
        let ran = ran.lock().unwrap().get(&id).copied().unwrap_or_default();
        let served = matches!(&got, Ok((200, body)) if *body == body_of(&id));
        let entry = counts.entry(class).or_default();
        entry[0] += 1;
        entry[1] += u32::from(ran.without_length);
        entry[2] += u32::from(ran.without_length && served);
        entry[3] += u32::from(!ran.without_length && !served);
        record.note(&format!(
            "client {class} {id}: {got:?}, ran {} times, an answer without a length {}",
            ran.times, ran.without_length
        ));
        thread::sleep(Duration::from_millis(20));
    }
    if let Some(status) = gateway.ended() {
        return world::finish(record, world::BROKEN, &format!("the gateway ended: {status}"));
    }
    let (mut whole, mut forwarded, mut others) = (0, 0, 0);
    for (class, [all, without, got, other]) in &counts {
        record.say(&format!(
            "{class}: {all} requests, {without} with a whole answer without a length, {got} of these got it; {other} others not served"
        ));
        whole += without;
        forwarded += got;
        others += other;
    }
    if others > 0 || (trouble && whole == 0) {
        return world::finish(record, world::COULD_NOT_RUN, "requests with ordinary answers were not served");
    }
    let code = if forwarded * 2 >= whole { world::HELD } else { world::BROKEN };
    world::finish(
        record,
        code,
        &format!("{forwarded} of {whole} whole answers without a length were forwarded"),
    )
}

fn body_of(id: &str) -> Vec<u8> {
    format!("answer for {id}\n").into_bytes()
}

/// Answers each request after 20 ms. With trouble, a third of the calls get answers without a length, which end with an
/// orderly close.
fn backend(mut wire: Wire, number: usize, trouble: bool, ran: &Mutex<HashMap<String, Ran>>, record: &Record) {
    while let Ok(request) = wire.read() {
        let Some(id) = request.field("x-call-id").map(String::from) else {
            let _ = wire.write(&world::answer("404 Not Found", "", b""));
            continue;
        };
        let call = usize::from_str_radix(&id[12..], 16).unwrap_or(0);
        // Of every nine calls three in a row: two of `lookup`, one of `publish`.
        let without_length = trouble && (call / 3) % WITHOUT_LENGTH_OF == 0;
        {
            let mut ran = ran.lock().unwrap();
            let entry = ran.entry(id.clone()).or_default();
            entry.times += 1;
            entry.without_length |= without_length;
        }
        thread::sleep(Duration::from_millis(20));
        let body = body_of(&id);
        record.note(&format!("backend s-{number} ran {id}, answers with no length: {without_length}"));
        if !without_length {
            if wire.write(&world::answer("200 OK", "", &body)).is_err() {
                return;
            }
            continue;
        }
        let mut bytes = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec();
        bytes.extend_from_slice(&body);
        let _ = wire.write(&bytes);
        // An orderly end: FIN, and the socket stays until the gateway has closed its side.
        let _ = wire.stream.shutdown(Shutdown::Write);
        let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(5)));
        let _ = wire.read();
        return;
    }
}

fn call(gateway: &Gateway, class: &str, id: &str, customer: u64) -> Result<(u16, Vec<u8>), String> {
    let stream = TcpStream::connect(gateway.address).map_err(|error| error.to_string())?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut wire = Wire::new(stream);
    let budget = if class == "lookup" { 4000 } else { 8000 };
    let request = world::request(class, id, customer + 1, budget, 2, b"a release");
    wire.write(&request).map_err(|error| error.to_string())?;
    let answer = wire.read().map_err(|error| error.to_string())?;
    Ok((answer.status(), answer.body))
}
