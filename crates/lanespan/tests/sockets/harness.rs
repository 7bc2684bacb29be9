//! A gateway under test as a process of its own, and its clients.
#![allow(dead_code, reason = "each program that shares this file uses a part of it")]

#[path = "stubs.rs"]
mod stubs;

pub use stubs::*;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A running gateway; killed when the test is over.
pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    startup_log: String,
    log: Arc<(Mutex<Vec<String>>, Condvar)>,
}

pub fn config(discovery: SocketAddr, counter: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"counter":"{counter}","settings":{SETTINGS}}}"#
    )
}

/// A file of its own with this configuration.
pub fn config_file(config: &str) -> PathBuf {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("written");
    path
}

/// The program, told to read this configuration as the platform's.
pub fn platform_command(config: &str) -> Command {
    platform_command_from(&config_file(config))
}

/// The program, told to read this file as the platform's.
pub fn platform_command_from(path: &Path) -> Command {
    let mut command = run_command();
    command.env("NODE_CONFIG", path);
    command
}

/// The program, told to read this configuration as an operator's.
pub fn operator_command(config: &str) -> Command {
    operator_command_from(&config_file(config))
}

/// The program, told to read this file as an operator's.
pub fn operator_command_from(path: &Path) -> Command {
    let mut command = run_command();
    command.arg("--config").arg(path);
    command
}

/// The program as it runs, told nothing by the environment.
fn run_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanespan"));
    command.arg("run").stderr(Stdio::piped());
    for name in
        ["NODE_CONFIG", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_NAME", "LANESPAN_CONFIG", "LANESPAN_NAMES"]
    {
        command.env_remove(name);
    }
    command
}

impl Node {
    pub fn spawn(mut command: Command) -> Node {
        let mut child = command.spawn().expect("it starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut startup_log = String::new();
        let address = loop {
            let mut line = String::new();
            assert!(
                log.read_line(&mut line).expect("text") > 0,
                "it ended before it listened: {startup_log}"
            );
            startup_log.push_str(&line);
            if let Some(address) = line.split("address=").nth(1) {
                let address = address.split(' ').next().unwrap_or_default();
                break address.trim().parse().expect("an address");
            }
        };
        // Its log must not fill the pipe.
        let lines = Arc::<(Mutex<Vec<String>>, Condvar)>::default();
        let shared_lines = lines.clone();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                shared_lines.0.lock().expect("whole").push(line);
                shared_lines.1.notify_all();
            }
        });
        Node { child, address, startup_log, log: lines }
    }
    /// Waits for a line of its log with this in it.
    pub fn wait_for_line(&self, part: &str) -> String {
        let found = |lines: &[String]| lines.iter().find(|line| line.contains(part)).cloned();
        let lines = self.log.0.lock().expect("whole");
        let lines = self.log.1.wait_timeout_while(lines, TEST_TIMEOUT, |lines| found(lines).is_none());
        found(&lines.expect("whole").0).unwrap_or_else(|| panic!("waited in vain for a line with '{part}'"))
    }
    /// Its log up to the first line that names an address.
    pub fn startup_log(&self) -> &str {
        &self.startup_log
    }
    /// Asks again until this holds.
    pub fn wait_until(&self, what: &str, holds: impl Fn() -> bool) {
        let until = Instant::now() + TEST_TIMEOUT;
        while !holds() {
            assert!(Instant::now() < until, "waited in vain for {what}");
            thread::sleep(Duration::from_millis(2));
        }
    }
    /// Its log since then.
    pub fn later_log_lines(&self) -> Vec<String> {
        self.log.0.lock().expect("whole").clone()
    }
    /// A gateway with these round it, ready.
    pub fn start(discovery: &Discovery, counter: &Stub) -> Node {
        let node = Node::spawn(platform_command(&config(discovery.stub.address, counter.address)));
        node.wait_ready();
        node
    }
    pub fn wait_ready(&self) {
        let until = Instant::now() + TEST_TIMEOUT;
        while self.client().exchange("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status() != 200 {
            assert!(Instant::now() < until, "never ready");
            thread::sleep(Duration::from_millis(5));
        }
    }
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }
    /// Sends it a signal, such as TERM.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }
    /// Waits for the end and returns the exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            assert!(Instant::now() < until, "it did not end");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        stream.set_write_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        Client { reader: BufReader::new(stream.try_clone().expect("a socket")), stream }
    }
    /// Writes what may be cut off.
    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("it reads");
    }
    /// The next answer; `None` when the connection ends without one.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }
    /// What comes, byte for byte.
    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }
    /// The answer to a request; `None` when the connection ends without one.
    pub fn try_exchange(&mut self, text: &str) -> Option<Message> {
        self.stream.write_all(text.as_bytes()).ok()?;
        self.read_response()
    }
    pub fn exchange(&mut self, text: &str) -> Message {
        self.send(text);
        self.read_response().expect("an answer")
    }
}

/// A request of a class, as clients write it.
pub fn request(class: &str, budget_ms: u32) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    let key = if class == "buy" { "Idempotency-Key: k-17\r\n" } else { "" };
    let body = if class == "look" { "" } else { "Content-Length: 5\r\n\r\nhello" };
    let end = if class == "look" { "\r\n" } else { "" };
    format!(
        "{method} /api?customer=00000000b4d65521&x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: 9b1f03aa5c7e2d41\r\n\
        X-Call-Class: {class}\r\nX-Plan: team\r\nX-Budget-Ms: {budget_ms}\r\n{key}X-Quota: units=2,spread=2,first=0\r\n{body}{end}"
    )
}
