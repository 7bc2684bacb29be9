//! Long bodies for tests: made and digested piece by piece, so that none stands whole in memory.
#![allow(dead_code, reason = "each program that shares this file uses a part of it")]

use super::harness::*;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

pub const MIB: usize = 1 << 20;
pub const STREAMING_SECTION: &str =
    r#"{"hold_kb":64,"wait_ms":200,"least_kb_per_s":64,"window_ms":1000,"longest_s":60}"#;

/// How long the longest bodies are: by default what a small machine bears.
pub fn large_body_bytes() -> usize {
    std::env::var("BODY_MIB").map_or(96, |mib| mib.parse().expect("a number of MiB")) * MIB
}

/// A gateway before the backend at this address, with this `streaming` section and so much memory.
pub fn gateway(section: &str, memory_mb: u32, backend: SocketAddr) -> (Discovery, Stub, Node) {
    let discovery = Discovery::start(&member("s-1", backend, "ready"));
    let counter = counter();
    let config = config(discovery.stub.address, counter.address)
        .replacen('{', &format!("{{\"streaming\":{section},"), 1)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"));
    let node = Node::spawn(operator_command(&config));
    node.wait_ready();
    (discovery, counter, node)
}

/// The bytes of a long body, so that any that is lost, doubled or moved shows in the digest.
pub fn body_part(at: usize, length: usize) -> Vec<u8> {
    (at..at + length).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

/// The FNV-1a hash of what was seen so far, and its length.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Digest(pub u64, pub usize);

impl Digest {
    pub fn add(&mut self, bytes: &[u8]) {
        let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
        *self = Digest(bytes.iter().fold(self.0, step), self.1 + bytes.len());
    }
    pub fn of(length: usize) -> Digest {
        let mut digest = Digest::default();
        (0..length).step_by(MIB).for_each(|at| digest.add(&body_part(at, MIB.min(length - at))));
        digest
    }
}

/// The head of a message that goes on: its lines, in lower case.
pub fn read_head(from: &mut impl BufRead) -> Vec<String> {
    let lines = from.lines().map_while(Result::ok);
    lines.take_while(|line| !line.is_empty()).map(|line| line.to_ascii_lowercase()).collect()
}

/// Reads so many bytes, or to the end of the connection.
pub fn read_digest(from: &mut impl Read, length: usize) -> Digest {
    let (mut digest, mut buffer) = (Digest::default(), vec![0; 64 * 1024]);
    while digest.1 < length {
        let most = buffer.len().min(length - digest.1);
        match from.read(&mut buffer[..most]) {
            Ok(0) => break,
            Ok(read) => digest.add(&buffer[..read]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("{error}"),
        }
    }
    digest
}

/// Reads a chunked body. `None`: it did not end well.
pub fn read_chunked(from: &mut impl BufRead) -> Option<Digest> {
    let mut digest = Digest::default();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        from.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(digest);
        }
        digest.add(&chunk[..size]);
    }
}

/// The most memory that the process had, in bytes.
pub fn peak_memory_bytes(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a figure");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("a number") * 1024
}

/// What a raw backend saw of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    /// Which of its connections it came on, from 0.
    pub connection: usize,
    pub head: Vec<String>,
    /// What came of its body, if all of it did.
    pub body: Option<Digest>,
    /// What the backend did with it has ended.
    pub finished: bool,
}

/// A backend that reads bodies piece by piece, or as `handler` says.
pub struct StreamingBackend {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<RecordedRequest>>>,
}

/// What a raw backend does with a request whose head has come: it may read the body, and answers.
pub type Handler = dyn Fn(&mut BufReader<TcpStream>, &[String], usize) -> Option<Digest> + Send + Sync;

impl StreamingBackend {
    /// `handler` is told the head and the number of the request among all; without a body its connection ends.
    pub fn start(
        handler: impl Fn(&mut BufReader<TcpStream>, &[String], usize) -> Option<Digest> + Send + Sync + 'static,
    ) -> StreamingBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let backend =
            StreamingBackend { address: listener.local_addr().expect("bound"), seen: Arc::default() };
        let (handler, seen) = (Arc::new(handler) as Arc<Handler>, backend.seen.clone());
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (handler, seen) = (handler.clone(), seen.clone());
                std::thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    loop {
                        let head = read_head(&mut stream);
                        if head.is_empty() {
                            return;
                        }
                        let number = {
                            let mut seen = seen.lock().expect("whole");
                            seen.push(RecordedRequest {
                                connection,
                                head: head.clone(),
                                body: None,
                                finished: false,
                            });
                            seen.len() - 1
                        };
                        let body = handler(&mut stream, &head, number);
                        let mut seen = seen.lock().expect("whole");
                        (seen[number].body, seen[number].finished) = (body, true);
                        drop(seen);
                        if body.is_none() {
                            return;
                        }
                    }
                });
            }
        });
        backend
    }
    pub fn seen(&self) -> Vec<RecordedRequest> {
        self.seen.lock().expect("whole").clone()
    }
    /// The body of the last request, once the backend is done with it: its answer may be read before that.
    pub fn last_body(&self) -> Option<Digest> {
        let until = std::time::Instant::now() + TEST_TIMEOUT;
        loop {
            match self.seen().pop() {
                Some(seen) if seen.finished => return seen.body,
                _ => assert!(std::time::Instant::now() < until, "it is never done"),
            }
            std::thread::yield_now();
        }
    }
}

/// Reads a body by the framing that its head names; `None` if it did not come whole.
pub fn read_body(stream: &mut BufReader<TcpStream>, head: &[String]) -> Option<Digest> {
    if head.iter().any(|line| line == "transfer-encoding: chunked") {
        return read_chunked(stream);
    }
    let length = head.iter().find_map(|line| line.strip_prefix("content-length: ")).unwrap_or("0");
    let length = length.parse().expect("a length");
    Some(read_digest(stream, length)).filter(|digest| digest.1 == length)
}

/// Answers; the other side may have gone.
pub fn respond(stream: &mut BufReader<TcpStream>, text: &str) {
    let _ = stream.get_mut().write_all(text.as_bytes());
}

/// A request whose body comes by this framing, a line of its head, its head alone.
pub fn upload_head(class: &str, budget_ms: u32, framing: &str) -> String {
    let whole = request(class, budget_ms);
    let (head, _) = whole.split_once("\r\n\r\n").expect("a head");
    let kept = head.split("\r\n").filter(|line| !line.starts_with("Content-Length"));
    format!("{}\r\n{framing}\r\n\r\n", kept.collect::<Vec<_>>().join("\r\n"))
}
