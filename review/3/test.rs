//! A client sends many requests at once on one connection and closes it. The backend records when attempts begin.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 5;
/// "Hundreds of requests at once": 95 KB.
const REQUESTS: u64 = 400;
/// A mean publish of the site is 290 to 510 ms of work.
const WORK: Duration = Duration::from_millis(400);
/// How long the client stays after it has sent.
const STAY: Duration = Duration::from_millis(50);
/// An attempt may begin until 0.1 s after the close; time limits on sockets are 50 ms longer.
const GRACE: Duration = Duration::from_millis(150);

struct Attempt {
    id: String,
    /// When its first byte arrived.
    began: Instant,
}

type Attempts = Arc<Mutex<Vec<Attempt>>>;

fn start_backend(record: &Record, attempts: &Attempts) -> SocketAddr {
    let (record, attempts) = (record.clone(), attempts.clone());
    listen(move |mut connection| loop {
        if !connection.wait_for_byte(Duration::from_secs(600))? {
            return Ok(());
        }
        let began = Instant::now();
        let request = connection.read_message()?;
        let id = request.header("x-call-id").unwrap_or("-").to_string();
        record.line(&format!("backend: runs {id}"));
        attempts.lock().unwrap().push(Attempt { id: id.clone(), began });
        thread::sleep(WORK);
        connection.write(&response("200 OK", "", &format!("answer to {id}")))?;
    })
}

/// Sends the requests of one client. With the disruption it closes its connection; without, it sends one request at a
/// time and stays until each is answered.
fn run_client(round: u64, gateway: SocketAddr, record: &Record) -> std::io::Result<Instant> {
    let request = |number: u64| {
        client_request("publish", &format!("{:08x}{number:08x}", round + 1), 1 + round * REQUESTS + number, 8_000)
    };
    let mut connection = Connection::connect(gateway)?;
    if trouble() {
        let bytes: Vec<u8> = (0..REQUESTS).flat_map(request).collect();
        connection.write(&bytes)?;
        record.line(&format!("client {round}: sent {REQUESTS} requests at once, {} bytes", bytes.len()));
        thread::sleep(STAY);
    } else {
        for number in 0..3 {
            connection.write(&request(number))?;
            let answer = connection.read_message()?;
            record.line(&format!("client {round}: request {number} -> {}", answer.status()));
        }
    }
    drop(connection);
    let closed = Instant::now();
    record.line(&format!("client {round}: closed its connection"));
    Ok(closed)
}

fn main() {
    let (record, folder, attempts) = (Record::create(), work_folder(), Attempts::default());
    let members = vec![Member::ready("s-1", start_backend(&record, &attempts))];
    let known = list_json(1, true, &members);
    let discovery = Discovery::start("discovery", &record, 1, members);
    let config = config(discovery.address, start_counter(), 1024, &known, &settings(1, "automatic"));
    let gateway = Gateway::start(&folder, &config, discovery.address);
    let mut broken = 0;
    for round in 0..ROUNDS {
        let closed = run_client(round, gateway.address, &record);
        let closed = closed.unwrap_or_else(|error| could_not_run(&format!("client {round}: {error}")));
        thread::sleep(Duration::from_secs(4));
        let own = format!("{:08x}", round + 1);
        for attempt in attempts.lock().unwrap().iter().filter(|attempt| attempt.id.starts_with(&own)) {
            let after = attempt.began.saturating_duration_since(closed);
            if after > GRACE {
                broken += 1;
                let (id, after) = (&attempt.id, after.as_millis());
                record.line(&format!("BROKEN: the attempt of {id} began {after} ms after its client's close"));
            }
        }
    }
    drop(gateway);
    let all = attempts.lock().unwrap().len();
    record.say(&format!("attempts {all}, begun later than 0.1 s after the client's close {broken}"));
    if all == 0 {
        could_not_run("no attempt reached the backend");
    }
    std::process::exit(i32::from(broken > 0));
}
