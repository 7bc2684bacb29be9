//! A gateway with a defect on purpose, in one way at a time, so that each check can be seen to catch what it is for.
//! It passes requests on without any decision; with no defect named it breaks no rule at a light load.

use crate::http::{self, HttpError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::Value;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;

/// What it leaks with each request, in bytes.
const LEAK_BYTES: usize = 1 << 20;

/// Why the defective gateway could not run, or not forward a request.
#[derive(Debug, thiserror::Error)]
pub enum DefectiveGatewayError {
    /// It could not listen.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Discovery or a backend failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The endpoint list is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Its file names no discovery.
    #[error("no discovery")]
    NoDiscovery,
    /// The endpoint list names no backend that takes requests.
    #[error("no backend")]
    NoBackend,
    /// The request line has no valid method.
    #[error("no method")]
    InvalidMethod,
}

struct DefectiveGateway {
    /// `none`, `answers_twice`, `runs_twice`, `forges`, `keeps_drained`, `leaks`, `crashes` or `hangs_up`.
    defect: String,
    discovery: SocketAddr,
    initial_backends: Vec<SocketAddr>,
    leaked: RefCell<Vec<Vec<u8>>>,
    served: RefCell<u64>,
}

/// Runs a defective gateway with a gateway's file, in which `broken` names the defect, until SIGTERM.
pub async fn run(config: &Value) -> Result<(), DefectiveGatewayError> {
    let discovery = config["discovery"]
        .as_str()
        .and_then(|at| at.parse().ok())
        .ok_or(DefectiveGatewayError::NoDiscovery)?;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let admin = TcpListener::bind("127.0.0.1:0").await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let defect = config["broken"].as_str().unwrap_or("none").to_string();
    let initial_backends = ready_backends(discovery).await?;
    let (leaked, served) = Default::default();
    let gateway = Rc::new(DefectiveGateway { defect, discovery, initial_backends, leaked, served });
    eprintln!("joining the fleet listen={}", socket.local_addr()?);
    eprintln!("admin interface open address={}", admin.local_addr()?);
    eprintln!("listening address={}", listener.local_addr()?);
    let mut terminate = signal(SignalKind::terminate())?;
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted?,
            _ = terminate.recv() => return Ok(()),
        };
        let gateway = gateway.clone();
        // A client that breaks off is served no further.
        spawn_local(async move { gateway.connection(stream).await.unwrap_or_default() });
    }
}

/// The backends that the endpoint list has as ready.
async fn ready_backends(discovery: SocketAddr) -> Result<Vec<SocketAddr>, DefectiveGatewayError> {
    let (_, body) = http::get(discovery, "/catalog/members").await?;
    let list: Value = serde_json::from_slice(&body)?;
    let ready = list["members"].as_array().into_iter().flatten().filter(|member| member["phase"] == "ready");
    Ok(ready.filter_map(|member| member["host_port"].as_str()?.parse().ok()).collect())
}

impl DefectiveGateway {
    async fn connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let mut head = Vec::new();
            loop {
                let mut line = String::new();
                if stream.read_line(&mut line).await? == 0 {
                    return Ok(());
                }
                match line.trim_end() {
                    "" => break,
                    line => head.push(line.to_string()),
                }
            }
            let line = head.first().cloned().unwrap_or_default();
            if line.contains("/_health") {
                stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            let name = |line: &String| Some(line.split_once(": ")?.1.to_string()).filter(|_| call_id(line));
            let call = head.iter().find_map(name).unwrap_or_default();
            let served = self.served.replace_with(|served| *served + 1);
            match self.defect.as_str() {
                "crashes" if served == 5 => std::process::exit(3),
                "hangs_up" if served % 5 == 4 => return Ok(()),
                "leaks" => self.leaked.borrow_mut().push(vec![1; LEAK_BYTES]),
                _ => {}
            }
            let answer = match self.forward(&line, &call).await {
                Ok((status, body)) => {
                    format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                }
                Err(_) => "HTTP/1.1 502 -\r\nContent-Length: 0\r\n\r\n".to_string(),
            };
            let times = if self.defect == "answers_twice" { 2 } else { 1 };
            stream.get_mut().write_all(answer.repeat(times).as_bytes()).await?;
        }
    }

    async fn forward(&self, line: &str, call: &str) -> Result<(u16, String), DefectiveGatewayError> {
        let current_list = ready_backends(self.discovery).await?;
        let backends = if self.defect == "keeps_drained" { &self.initial_backends } else { &current_list };
        let index = call.bytes().map(usize::from).sum::<usize>() % backends.len().max(1);
        let backend = *backends.get(index).ok_or(DefectiveGatewayError::NoBackend)?;
        let mut words = line.split(' ');
        let (method, path) = (words.next().unwrap_or("GET"), words.next().unwrap_or("/"));
        let method: Method = method.parse().map_err(|_| DefectiveGatewayError::InvalidMethod)?;
        let send = || async {
            let mut sender = http::connect(backend, |_| ()).await?;
            let request = Request::builder().method(method.clone()).uri(path).header("Host", "lab");
            let request = request.header("X-Call-Id", call).body(Full::<Bytes>::default());
            http::collect(sender.send_request(request?).await?).await
        };
        if self.defect == "runs_twice" {
            send().await?;
        }
        let (status, body) = send().await?;
        match self.defect.as_str() {
            "forges" => Ok((status, format!("{call} nobody 1"))),
            _ => Ok((status, String::from_utf8_lossy(&body).into_owned())),
        }
    }
}

fn call_id(line: &str) -> bool {
    line.to_ascii_lowercase().starts_with("x-call-id: ")
}
