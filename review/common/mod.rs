//! Stand-ins and helpers that the cases share: the gateway process, discovery, the counter, HTTP messages and the
//! record. Written from the platform's protocol page; the standard library only, one thread per connection.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the case as one that could not run.
pub fn could_not_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(COULD_NOT_RUN)
}

/// Milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What was sent, answered and run, a line each, with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record at the path that `run.sh` sets in RECORD: record.txt in the folder of the case.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| could_not_run("RECORD names no file"));
        let file = File::create(&path).unwrap_or_else(|error| could_not_run(&format!("{path}: {error}")));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:10.2} {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A pseudo-random sequence (xorshift) from a fixed seed.
pub struct Random(pub u64);

impl Random {
    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// An HTTP message: its first line, its header fields with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// One connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Connection> {
        TcpStream::connect_timeout(&address, Duration::from_secs(2)).map(Connection::new)
    }

    /// Waits until a byte of the next message has arrived; `false` if none came within the time.
    pub fn wait_for_byte(&mut self, at_most: Duration) -> io::Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        self.stream.set_read_timeout(Some(at_most))?;
        let result = self.fill();
        self.stream.set_read_timeout(None)?;
        match result {
            Ok(()) => Ok(true),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Returns whether no byte of a further message has arrived, as of now.
    pub fn is_silent(&self) -> bool {
        let mut byte = [0];
        let pending = self.stream.set_nonblocking(true).and_then(|()| self.stream.peek(&mut byte));
        let _ = self.stream.set_nonblocking(false);
        self.buffer.is_empty() && pending.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.buffer.extend_from_slice(&bytes[..read]);
                Ok(())
            }
        }
    }

    /// Reads a complete message, delimited by Content-Length or chunks.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end);
        let mut lines = head.lines();
        let mut message =
            Message { first_line: lines.next().unwrap_or("").to_string(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            message.body = self.read_bytes(length)?;
        }
        Ok(message)
    }

    fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break at;
                }
                self.fill()?;
            };
            let line = self.read_bytes(line_end + 2)?;
            let size = String::from_utf8_lossy(&line[..line_end]).trim().to_string();
            let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let chunk = self.read_bytes(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// A complete response.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Listens on a free port of 127.0.0.1 and serves each connection in a thread.
pub fn listen(serve: impl Fn(Connection) -> io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .unwrap_or_else(|error| could_not_run(&format!("no free port: {error}")));
    let address = listener.local_addr().expect("a bound socket has an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = serve(Connection::new(stream));
            });
        }
    });
    address
}

/// Listens on a free port and passes the bytes of each connection on to `target` and back, each way `delay` later.
pub fn listen_with_delay(target: SocketAddr, delay: Duration) -> SocketAddr {
    listen(move |connection| {
        let (near, far) = (connection.stream, Connection::connect(target)?.stream);
        let (near_back, far_back) = (near.try_clone()?, far.try_clone()?);
        thread::spawn(move || pass_on(far_back, near_back, delay));
        pass_on(near, far, delay);
        Ok(())
    })
}

/// Passes on what `from` sends, also its end.
fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(read) = from.read(&mut bytes) {
        thread::sleep(delay);
        if read == 0 || to.write_all(&bytes[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

/// Returns an address on which nothing listens.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .unwrap_or_else(|error| could_not_run(&format!("no free port: {error}")));
    listener.local_addr().expect("a bound socket has an address")
}

/// A backend in the endpoint list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: &'static str,
}

impl Member {
    pub fn ready(id: &str, address: SocketAddr) -> Member {
        Member { id: id.to_string(), address, phase: "ready" }
    }

    fn json(&self) -> String {
        let Member { id, address, phase } = self;
        format!(
            "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"mtl-1\",\"flavor\":\"std-4\",\"cell\":0,\
             \"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
        )
    }
}

/// An endpoint list in discovery's form.
pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

struct ListState {
    revision: u64,
    members: Vec<Member>,
}

/// Discovery: answers whole lists at once, and calls with a revision when something newer exists or their wait is over.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<ListState>, Condvar)>,
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(name: &'static str, record: &Record, revision: u64, members: Vec<Member>) -> Discovery {
        let state = Arc::new((Mutex::new(ListState { revision, members }), Condvar::new()));
        let (shared, record) = (state.clone(), record.clone());
        let address = listen(move |mut connection| loop {
            let request = connection.read_message()?;
            let answer = wait_for_list(&shared, request.target());
            record.line(&format!("{name}: {} -> {}", request.target(), answer.0));
            connection.write(&response("200 OK", "Content-Type: application/json\r\n", &answer.1))?;
        });
        Discovery { state, address }
    }

    /// Changes the phase of a member; each open watch is answered at once.
    pub fn set_phase(&self, id: &str, phase: &'static str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        state.members.iter_mut().filter(|member| member.id == id).for_each(|member| member.phase = phase);
        changed.notify_all();
    }
}

fn wait_for_list(shared: &(Mutex<ListState>, Condvar), target: &str) -> (String, String) {
    let (state, changed) = shared;
    let query: HashMap<&str, u64> = target
        .split_once('?')
        .map_or("", |(_, query)| query)
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
        .collect();
    let mut state = state.lock().unwrap();
    if let Some(from) = query.get("from") {
        let until = Instant::now() + Duration::from_millis(*query.get("hold_ms").unwrap_or(&0));
        while state.revision <= *from && Instant::now() < until {
            let wait = until.saturating_duration_since(Instant::now());
            state = changed.wait_timeout(state, wait).unwrap().0;
        }
        if state.revision <= *from {
            return ("no change".to_string(), list_json(state.revision, false, &[]));
        }
    }
    (format!("whole list, revision {}", state.revision), list_json(state.revision, true, &state.members))
}

/// The shared counter.
pub fn start_counter() -> SocketAddr {
    let totals: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
    listen(move |mut connection| loop {
        let request = connection.read_message()?;
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let number = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<f64>().ok())
        };
        let total = {
            let mut totals = totals.lock().unwrap();
            let now = Instant::now();
            let life = Duration::from_millis(number("ttl_ms").unwrap_or(1000.0).min(60_000.0) as u64);
            let entry = totals.entry(path.to_string()).or_insert((0.0, now + life));
            if now >= entry.1 {
                *entry = (0.0, now + life);
            }
            entry.0 += number("add").unwrap_or(0.0);
            entry.0
        };
        connection.write(&response("200 OK", "", &format!("{total}")))?;
    })
}

/// The settings of a small deployment of `registre-mtl`: two classes, four plans, times in microseconds.
pub fn settings(balancers: u32, membership_mode: &str) -> String {
    format!(
        r#"{{"balancers":{balancers},"my_number":0,"tick":2000,"zone":"mtl-1","zones":["mtl-1"],"kinds":["std-4"],
        "family":"gate","layer":0,"stages":["depot"],"weights":"none","membership_mode":"{membership_mode}",
        "bounds":{{"conn_idle":30000000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout":250000,
          "max_attempts":3,"max_open":26197,"max_retry_after":1000000,"max_streams":32,"may_cancel":true,
          "peer_messages":false,"probing":true,"retry_after":true,"second_copies":true}},
        "classes":[
          {{"name":"lookup","effect":"pure","key_scope":"all","window":5000000,"deadline":4000000,"on_time":1500000,
            "credit":2.0,"late_share":0.0,"streaming":false}},
          {{"name":"publish","effect":"side_effect","key_scope":"all","window":5000000,"deadline":8000000,
            "on_time":3000000,"credit":6.0,"late_share":0.0,"streaming":false}}],
        "clients":{{"marks_retry":true}},
        "plans":[
          {{"name":"benevole","per_second":1.3,"peak_units":5.0,"price":0.45,"open":0,"ceiling_rate":0.0,
            "cap_depth":0.0,"tolerance":0.0,"excess_cost":1.2,"extra_worth":0.0}},
          {{"name":"institution","per_second":9.0,"peak_units":17.0,"price":1.4,"open":0,"ceiling_rate":0.0,
            "cap_depth":0.0,"tolerance":0.0,"excess_cost":1.2,"extra_worth":0.0}}],
        "specifics":{{"cost_after":false,"counter":true,"count_fee":0.02,"count_limit":80000,"meter_period":0,
          "peer_in_per_s":0.0,"units_top":2}},
        "report":{{"fields":["depth","load_share"],"via":"answers"}},
        "rules":{{"answer_slack":8000,"cold":13000000,"cold_from":0.29,"fall_multiple":2.0,"must_ask_in":10000000,
          "stop_sending_within":2000000,"tip_after":1000000}}}}"#
    )
}

/// The platform's configuration file, with the limits of scored days.
pub fn config(discovery: SocketAddr, counter: SocketAddr, sockets: u32, known: &str, settings: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\
         \"memory_mb\":192,\"sockets\":{sockets}}},\"counter\":\"{counter}\",\"known\":{known},\"settings\":{settings}}}"
    )
}

/// One real gateway, started with the command of the deploy file. Dropping it kills the process.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    pub config_path: PathBuf,
}

impl Gateway {
    pub fn start(folder: &Path, config: &str, discovery: SocketAddr) -> Gateway {
        let run = std::fs::read_to_string("deploy/balancer.toml").ok().and_then(|text| {
            let line = text.lines().find(|line| line.starts_with("run"))?.to_string();
            Some(line.split('"').nth(1)?.to_string())
        });
        let run = run.unwrap_or_else(|| could_not_run("deploy/balancer.toml has no command 'run'"));
        let address = free_address();
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let log = File::create(folder.join("gateway.log")).unwrap_or_else(|e| could_not_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", &config_path)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| could_not_run(&format!("{run}: {error}")));
        // Should the case end early, run.sh ends this process.
        let _ = std::fs::write(folder.join("gateway.pid"), child.id().to_string());
        let gateway = Gateway { child, address, config_path };
        gateway.wait_until_ready();
        gateway
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            let answer = Connection::connect(self.address).and_then(|mut connection| {
                connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                connection.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")?;
                connection.read_message()
            });
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        could_not_run("the gateway was not ready within 30 s");
    }

    /// Sends a signal to the gateway.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        if !sent.is_ok_and(|status| status.success()) {
            could_not_run(&format!("signal {name} could not be sent"));
        }
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.config_path.with_file_name("gateway.pid"));
    }
}

/// The bytes of a client's request. `lookup` is a GET without a body, `publish` a POST.
pub fn client_request(class: &str, id: &str, customer: u64, budget_ms: u64) -> Vec<u8> {
    let (method, body) = match class {
        "lookup" => ("GET", String::new()),
        _ => ("POST", format!("release {id}")),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /api?customer={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\n\
         X-Call-Class: {class}\r\nX-Plan: institution\r\nX-Budget-Ms: {budget_ms}\r\n{length}\
         X-Quota: units=1,spread=1,first=0\r\n\r\n{body}"
    )
    .into_bytes()
}

/// The folder for the files of the run, which `run.sh` creates and removes.
pub fn work_folder() -> PathBuf {
    std::env::var("WORK").map(PathBuf::from).unwrap_or_else(|_| could_not_run("WORK names no folder"))
}
