//! Streams long bodies for tests: generates and digests them piecewise, so that no test holds one in memory.
#![allow(dead_code, reason = "each test binary that includes this file uses only some of its items")]

use super::harness::*;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

pub const MIB: usize = 1 << 20;
/// A `streaming` section with a small replay buffer and short stall limits.
pub const STREAMING_SECTION: &str =
    r#"{"hold_kb":64,"wait_ms":200,"least_kb_per_s":64,"window_ms":1000,"longest_s":60}"#;

/// Returns the length of the longest bodies: `BODY_MIB` from the environment, or 96 MiB, which a small machine withstands.
pub fn large_body_bytes() -> usize {
    std::env::var("BODY_MIB").map_or(96, |mib| mib.parse().expect("a number of MiB")) * MIB
}

/// Starts a gateway in front of the backend at this address, with this `streaming` section and memory limit.
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

/// Returns `length` bytes of a long body from offset `at`. Each byte depends on its offset, so that lost, duplicated or
/// reordered bytes change the digest.
pub fn body_part(at: usize, length: usize) -> Vec<u8> {
    (at..at + length).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

/// The hash (an FNV-1a step per byte, from 0) and the length of the bytes added so far.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Digest(pub u64, pub usize);

impl Digest {
    pub fn add(&mut self, bytes: &[u8]) {
        let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
        *self = Digest(bytes.iter().fold(self.0, step), self.1 + bytes.len());
    }
    /// Returns the digest of a body of this length, as [`body_part`] generates it.
    pub fn of(length: usize) -> Digest {
        let mut digest = Digest::default();
        (0..length).step_by(MIB).for_each(|at| digest.add(&body_part(at, MIB.min(length - at))));
        digest
    }
}

/// Reads the head of a message and returns its lines in lower case; the body stays unread.
pub fn read_head(from: &mut impl BufRead) -> Vec<String> {
    let lines = from.lines().map_while(Result::ok);
    lines.take_while(|line| !line.is_empty()).map(|line| line.to_ascii_lowercase()).collect()
}

/// Digests the next `length` bytes, or fewer where the connection ends first.
pub fn read_digest(from: &mut impl Read, length: usize) -> Digest {
    let (mut digest, mut buffer) = (Digest::default(), vec![0; 64 * 1024]);
    while digest.1 < length {
        let read_limit = buffer.len().min(length - digest.1);
        match from.read(&mut buffer[..read_limit]) {
            Ok(0) => break,
            Ok(read) => digest.add(&buffer[..read]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("{error}"),
        }
    }
    digest
}

/// Reads a chunked body; returns `None` if it ends before its last chunk or is malformed.
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

/// Returns the peak resident memory of the process in bytes.
pub fn peak_memory_bytes(node: &Node) -> usize {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("the gateway is running");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a VmHWM line");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("a number") * 1024
}

/// A request that a streaming backend received.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    /// The connection of the backend that it arrived on, numbered from 0.
    pub connection: usize,
    pub head: Vec<String>,
    /// The digest of the body, if the handler read it to its end.
    pub body: Option<Digest>,
    /// Whether the handler has returned.
    pub finished: bool,
}

/// A backend whose handler reads the body and writes the response on the connection itself.
pub struct StreamingBackend {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<RecordedRequest>>>,
}

/// Handles a request whose head has been read; it may read the body and write a response.
pub type Handler = dyn Fn(&mut BufReader<TcpStream>, &[String], usize) -> Option<Digest> + Send + Sync;

impl StreamingBackend {
    /// Starts the backend. `handler` receives the connection, the head and the request's number, counted from 0 over all
    /// connections; when it returns `None` the connection is closed.
    pub fn start(
        handler: impl Fn(&mut BufReader<TcpStream>, &[String], usize) -> Option<Digest> + Send + Sync + 'static,
    ) -> StreamingBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let backend = StreamingBackend {
            address: listener.local_addr().expect("a bound listener"),
            seen: Arc::default(),
        };
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
                            let mut seen = seen.lock().expect("unpoisoned lock");
                            seen.push(RecordedRequest {
                                connection,
                                head: head.clone(),
                                body: None,
                                finished: false,
                            });
                            seen.len() - 1
                        };
                        let body = handler(&mut stream, &head, number);
                        let mut seen = seen.lock().expect("unpoisoned lock");
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
        self.seen.lock().expect("unpoisoned lock").clone()
    }
    /// Waits until the head of a request has arrived.
    pub fn wait_for_request(&self) {
        let until = std::time::Instant::now() + TEST_TIMEOUT;
        while self.seen().is_empty() {
            assert!(std::time::Instant::now() < until, "timed out waiting for a request");
            std::thread::yield_now();
        }
    }
    /// Returns the body of the last request, once its handler has returned: the client may receive the response before.
    pub fn last_body(&self) -> Option<Digest> {
        let until = std::time::Instant::now() + TEST_TIMEOUT;
        loop {
            match self.seen().pop() {
                Some(seen) if seen.finished => return seen.body,
                _ => assert!(std::time::Instant::now() < until, "the handler did not return"),
            }
            std::thread::yield_now();
        }
    }
}

/// Reads a body by the framing that its head names; returns `None` if it is incomplete.
pub fn read_body(stream: &mut BufReader<TcpStream>, head: &[String]) -> Option<Digest> {
    if head.iter().any(|line| line == "transfer-encoding: chunked") {
        return read_chunked(stream);
    }
    let length = head.iter().find_map(|line| line.strip_prefix("content-length: ")).unwrap_or("0");
    let length = length.parse().expect("a content length");
    Some(read_digest(stream, length)).filter(|digest| digest.1 == length)
}

/// Writes a response and ignores errors, because the other side may have closed the connection.
pub fn respond(stream: &mut BufReader<TcpStream>, text: &str) {
    let _ = stream.get_mut().write_all(text.as_bytes());
}

/// Returns the head of an upload whose body is framed by this header line.
pub fn upload_head(class: &str, budget_ms: u32, framing: &str) -> String {
    let complete = request(class, budget_ms);
    let (head, _) = complete.split_once("\r\n\r\n").expect("a complete head");
    let kept = head.split("\r\n").filter(|line| !line.starts_with("Content-Length"));
    format!("{}\r\n{framing}\r\n\r\n", kept.collect::<Vec<_>>().join("\r\n"))
}
