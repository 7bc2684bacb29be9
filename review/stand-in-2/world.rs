//! Small stand-ins for the platform: discovery, the counter, backends and clients, on loopback addresses and the real
//! clock, and the start of gateways with the command of the deploy file. Standard library only.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Writes lines with their time to the record of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("creating the record");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn note(&self, line: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.4} {line}");
    }

    pub fn say(&self, line: &str) {
        println!("{line}");
        self.note(line);
    }
}

/// One HTTP message: its first line, its fields and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The path and the query of a request.
    pub fn target(&self) -> (&str, &str) {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        target.split_once('?').unwrap_or((target, ""))
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.target()
            .1
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16384];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    /// Reads one message whose body has a declared length, chunks, or none.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message { line: lines.next().unwrap_or("").into(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.fields.push((name.trim().into(), value.trim().into()));
            }
        }
        if message.field("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        } else if let Some(length) =
            message.field("content-length").and_then(|text| text.parse::<usize>().ok())
        {
            while self.buffer.len() < length {
                self.fill()?;
            }
            message.body = self.buffer.drain(..length).collect();
        }
        Ok(message)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                self.fill()?;
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let length = usize::from_str_radix(String::from_utf8_lossy(&line[..end]).trim(), 16).unwrap_or(0);
            while self.buffer.len() < length + 2 {
                self.fill()?;
            }
            body.extend(self.buffer.drain(..length));
            self.buffer.drain(..2);
            if length == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Accepts connections in a thread, and serves each in a thread of its own.
pub fn serve(listener: TcpListener, each: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let address = listener.local_addr().expect("a bound listener");
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || each(Wire::new(stream)));
        }
    });
    address
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn answer(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{fields}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Discovery: the members, and the revision at which each changed.
#[derive(Clone, Default)]
pub struct Discovery(Arc<(Mutex<Members>, Condvar)>);

#[derive(Default)]
struct Members {
    revision: u64,
    entries: Vec<(u64, Member)>,
}

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

impl Member {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"mtl-1\",\"flavor\":\"std-4\",\"cell\":0,\"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.address, self.phase, self.up_since_ms
        )
    }
}

impl Discovery {
    pub fn start() -> (Discovery, SocketAddr) {
        let discovery = Discovery::default();
        let address = discovery.serve();
        (discovery, address)
    }

    /// Serves the same members at one more address.
    pub fn serve(&self) -> SocketAddr {
        let discovery = self.clone();
        serve(listen(), move |mut wire| {
            while let Ok(request) = wire.read() {
                let body = discovery.list(&request);
                if wire
                    .write(&answer("200 OK", "Content-Type: application/json\r\n", body.as_bytes()))
                    .is_err()
                {
                    return;
                }
            }
        })
    }

    pub fn set(&self, member: Member) {
        let mut members = self.0 .0.lock().unwrap();
        members.revision += 1;
        let revision = members.revision;
        members.entries.retain(|(_, known)| known.id != member.id);
        members.entries.push((revision, member));
        self.0 .1.notify_all();
    }

    /// Answers a call: the whole list, or the changes after a revision, once there are any or the wait is over.
    pub fn list(&self, request: &Message) -> String {
        let from = request.parameter("from").and_then(|text| text.parse::<u64>().ok());
        let hold = request.parameter("hold_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold);
        let mut members = self.0 .0.lock().unwrap();
        if let Some(from) = from {
            while members.revision <= from && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                members = self.0 .1.wait_timeout(members, left).unwrap().0;
            }
        }
        let chosen = members.entries.iter().filter(|(revision, member)| match from {
            Some(from) => *revision > from,
            None => member.phase != "gone",
        });
        let entries: Vec<String> = chosen.map(|(_, member)| member.json()).collect();
        let complete = from.is_none();
        format!(
            "{{\"revision\":{},\"complete\":{complete},\"members\":[{}]}}",
            members.revision,
            entries.join(",")
        )
    }
}

/// Starts a counter that answers each call at once.
pub fn start_counter() -> SocketAddr {
    let totals: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
    serve(listen(), move |mut wire| {
        while let Ok(request) = wire.read() {
            let name = request.target().0.rsplit('/').next().unwrap_or("").to_string();
            let add: f64 = request.parameter("add").and_then(|text| text.parse().ok()).unwrap_or(0.0);
            let life: u64 = request.parameter("ttl_ms").and_then(|text| text.parse().ok()).unwrap_or(1);
            let total = {
                let mut totals = totals.lock().unwrap();
                let now = Instant::now();
                let entry = totals.entry(name).or_insert((0.0, now));
                if entry.1 <= now {
                    *entry = (0.0, now + Duration::from_millis(life.min(60_000)));
                }
                entry.0 += add;
                entry.0
            };
            if wire.write(&answer("200 OK", "", format!("{total}").as_bytes())).is_err() {
                return;
            }
        }
    })
}

/// What a gateway is told: the platform's file.
pub struct GatewayFile {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub number: u32,
    pub gateways: u32,
    /// The deadlines of `lookup` and `publish`, in milliseconds.
    pub deadlines_ms: [u64; 2],
}

impl GatewayFile {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"counter\":\"{}\",\"settings\":{}}}",
            self.name,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.counter,
            self.settings()
        )
    }

    /// Settings of a small deployment with a class that is safe to repeat and one that is not. The quotas are far above
    /// what a case sends.
    fn settings(&self) -> String {
        let class = |name: &str, effect: &str, credit: f64, aim_ms: u64, deadline_ms: u64| {
            format!(
                "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"key_scope\":\"all\",\"credit\":{credit},\"late_share\":0.0,\
                 \"on_time\":{},\"deadline\":{},\"streaming\":false,\"window\":5000000}}",
                aim_ms * 1000,
                deadline_ms * 1000
            )
        };
        let [lookup, publish] = self.deadlines_ms;
        format!(
            "{{\"balancers\":{},\"my_number\":{},\"family\":\"gate\",\"kinds\":[\"std-4\"],\"layer\":0,\
             \"membership_mode\":\"automatic\",\"stages\":[\"depot\"],\"tick\":2000,\"weights\":\"none\",\"zone\":\"mtl-1\",\
             \"zones\":[\"mtl-1\"],\"clients\":{{\"marks_retry\":true}},\
             \"bounds\":{{\"conn_idle\":30000000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":523958,\"dial_timeout\":250000,\
             \"max_attempts\":3,\"max_open\":26197,\"max_retry_after\":1000000,\"max_streams\":1,\"may_cancel\":true,\
             \"peer_messages\":false,\"probing\":true,\"retry_after\":true,\"second_copies\":true}},\
             \"classes\":[{},{}],\
             \"objective_mix\":{{\"whole\":0.65,\"worst_class\":0.0,\"worst_tenant\":0.15,\"worst_window\":0.2}},\
             \"plans\":[{{\"name\":\"institution\",\"per_second\":900.0,\"peak_units\":1700.0,\"price\":1.4,\"open\":0,\
             \"ceiling_rate\":0.0,\"cap_depth\":0.0,\"tolerance\":0.0,\"excess_cost\":1.2,\"extra_worth\":0.0}}],\
             \"prices\":{{\"connection\":0.0,\"cross_zone\":0.0,\"handshake\":0.0,\"late_fail\":0.03,\"membership_mode\":0.0,\
             \"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.01,\"waste\":0.08}},\
             \"report\":{{\"fields\":[\"depth\",\"load_share\"],\"via\":\"answers\"}},\
             \"rules\":{{\"answer_slack\":8000,\"cold\":13000000,\"cold_from\":0.29,\"fall_multiple\":2.0,\
             \"must_ask_in\":10000000,\"stop_sending_within\":2000000,\"tip_after\":1000000}},\
             \"specifics\":{{\"cost_after\":false,\"count_fee\":0.02,\"count_limit\":80000,\"counter\":true,\
             \"meter_period\":0,\"peer_in_per_s\":0.0,\"units_top\":2}}}}",
            self.gateways,
            self.number,
            class("lookup", "pure", 2.0, lookup * 3 / 8, lookup),
            class("publish", "side_effect", 6.0, publish * 3 / 8, publish),
        )
    }
}

/// A running gateway. It is killed when dropped.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
}

/// The command that the deploy file gives for a gateway.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("a run command");
    line.split('"').nth(1).expect("a quoted command").to_string()
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file, from the root of the repository.
    pub fn start(root: &Path, folder: &Path, file: &GatewayFile) -> io::Result<Gateway> {
        let config = folder.join(format!("{}.json", file.name));
        std::fs::write(&config, file.json())?;
        let log = File::create(folder.join(format!("{}.log", file.name)))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command(root)])
            .current_dir(root)
            .env("NODE_NAME", &file.name)
            .env("NODE_LISTEN", file.listen.to_string())
            .env("NODE_DISCOVERY", file.discovery.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", folder)
            .env_remove("LANESPAN_CONFIG")
            .env_remove("LANESPAN_NAMES")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // The script of the case ends the process if this one can't.
        std::fs::write(folder.join(format!("{}.pid", file.name)), child.id().to_string())?;
        Ok(Gateway { child, address: file.listen })
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut wire = Wire::new(stream);
                let asked =
                    wire.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
                if asked.is_ok() && wire.read().is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by its name, such as `TERM` or `HUP`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    /// Returns the exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// A figure of the process in KiB, such as `VmRSS` or `VmHWM`.
    pub fn memory_kib(&self, name: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(name)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A free port of the loopback address for a gateway.
pub fn free_address() -> SocketAddr {
    listen().local_addr().expect("a bound listener")
}

/// A folder of this run, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let parent = std::env::temp_dir();
        let path = parent.join(format!("case-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

static LAST_CALL: AtomicU64 = AtomicU64::new(0);

/// A fresh id for a call.
pub fn call_id() -> String {
    let number = LAST_CALL.fetch_add(1, Ordering::Relaxed) + 1;
    format!("{:08x}{number:08x}", std::process::id())
}

/// The bytes of a client's request.
pub fn request(class: &str, id: &str, customer: u64, budget_ms: u64, spread: u32, body: &[u8]) -> Vec<u8> {
    let method = if class == "lookup" { "GET" } else { "POST" };
    let length =
        if class == "lookup" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let mut bytes = format!(
        "{method} /api?customer={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\n\
         X-Call-Class: {class}\r\nX-Plan: institution\r\nX-Budget-Ms: {budget_ms}\r\n{length}\
         X-Quota: units=1,spread={spread},first=0\r\n\r\n"
    )
    .into_bytes();
    if class != "lookup" {
        bytes.extend_from_slice(body);
    }
    bytes
}

/// Runs a case, ends the process with its exit code, and says what it means.
pub fn finish(record: &Record, code: i32, what: &str) -> i32 {
    let word = match code {
        HELD => "held",
        BROKEN => "BROKEN",
        _ => "could not run",
    };
    record.say(&format!("{word}: {what}"));
    code
}

/// Starts a thread with a small stack.
pub fn spawn(body: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().stack_size(128 * 1024).spawn(body).expect("a thread")
}
