//! A minimal gateway with one deliberate defect, used to test that each check detects the fault it is meant for.
//!
//! It forwards requests without any admission or balancing decision. With the defect `none` it violates no check at a
//! light load.

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

/// The memory leaked with each request by the defect `leaks`.
const LEAKED_BYTES_PER_REQUEST: usize = 1 << 20;

/// An error of the defective gateway.
#[derive(Debug, thiserror::Error)]
pub enum DefectiveGatewayError {
    /// A socket could not be opened or used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A request to discovery or to a backend failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The endpoint list is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The configuration has no valid discovery address.
    #[error("configuration has no valid address in `discovery`")]
    NoDiscovery,
    /// The endpoint list has no ready backend.
    #[error("endpoint list has no ready backend")]
    NoBackend,
    /// The request line has no valid method.
    #[error("request line has no valid method")]
    InvalidMethod,
}

struct DefectiveGateway {
    /// One of `none`, `answers_twice`, `runs_twice`, `forges`, `keeps_drained`, `leaks`, `crashes` or `hangs_up`.
    defect: String,
    discovery: SocketAddr,
    initial_backends: Vec<SocketAddr>,
    leaked: RefCell<Vec<Vec<u8>>>,
    requests_served: RefCell<u64>,
}

/// Runs a defective gateway until SIGTERM. `config` is a gateway's configuration with the name of the defect in
/// `broken`.
pub async fn run(config: &Value) -> Result<(), DefectiveGatewayError> {
    let discovery = config["discovery"]
        .as_str()
        .and_then(|address| address.parse().ok())
        .ok_or(DefectiveGatewayError::NoDiscovery)?;
    let membership = UdpSocket::bind("127.0.0.1:0").await?;
    let admin = TcpListener::bind("127.0.0.1:0").await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let defect = config["broken"].as_str().unwrap_or("none").to_string();
    let initial_backends = ready_backends(discovery).await?;
    let (leaked, requests_served) = Default::default();
    let gateway = Rc::new(DefectiveGateway { defect, discovery, initial_backends, leaked, requests_served });
    eprintln!("joining the fleet listen={}", membership.local_addr()?);
    eprintln!("admin interface open address={}", admin.local_addr()?);
    eprintln!("listening address={}", listener.local_addr()?);
    let mut terminate = signal(SignalKind::terminate())?;
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted?,
            _ = terminate.recv() => return Ok(()),
        };
        let gateway = gateway.clone();
        // Errors of a client's connection only end that connection.
        spawn_local(async move { gateway.serve_connection(stream).await.unwrap_or_default() });
    }
}

/// Fetches the endpoint list and returns the addresses of its ready backends.
async fn ready_backends(discovery: SocketAddr) -> Result<Vec<SocketAddr>, DefectiveGatewayError> {
    let (_, body) = http::get(discovery, "/catalog/members").await?;
    let list: Value = serde_json::from_slice(&body)?;
    let ready = list["members"].as_array().into_iter().flatten().filter(|member| member["phase"] == "ready");
    Ok(ready.filter_map(|member| member["host_port"].as_str()?.parse().ok()).collect())
}

impl DefectiveGateway {
    async fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
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
            let request_line = head.first().cloned().unwrap_or_default();
            if request_line.contains("/_health") {
                stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            let id_of =
                |line: &String| Some(line.split_once(": ")?.1.to_string()).filter(|_| is_call_id(line));
            let request_id = head.iter().find_map(id_of).unwrap_or_default();
            let served_before = self.requests_served.replace_with(|served| *served + 1);
            match self.defect.as_str() {
                "crashes" if served_before == 5 => std::process::exit(3),
                "hangs_up" if served_before % 5 == 4 => return Ok(()),
                "leaks" => self.leaked.borrow_mut().push(vec![1; LEAKED_BYTES_PER_REQUEST]),
                _ => {}
            }
            let response = match self.forward(&request_line, &request_id).await {
                Ok((status, body)) => {
                    format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                }
                Err(_) => "HTTP/1.1 502 -\r\nContent-Length: 0\r\n\r\n".to_string(),
            };
            let copies = if self.defect == "answers_twice" { 2 } else { 1 };
            stream.get_mut().write_all(response.repeat(copies).as_bytes()).await?;
        }
    }

    async fn forward(
        &self,
        request_line: &str,
        request_id: &str,
    ) -> Result<(u16, String), DefectiveGatewayError> {
        let current_list = ready_backends(self.discovery).await?;
        let backends = if self.defect == "keeps_drained" { &self.initial_backends } else { &current_list };
        let index = request_id.bytes().map(usize::from).sum::<usize>() % backends.len().max(1);
        let backend = *backends.get(index).ok_or(DefectiveGatewayError::NoBackend)?;
        let mut parts = request_line.split(' ');
        let (method, path) = (parts.next().unwrap_or("GET"), parts.next().unwrap_or("/"));
        let method: Method = method.parse().map_err(|_| DefectiveGatewayError::InvalidMethod)?;
        let send = || async {
            let mut sender = http::connect(backend, |_| ()).await?;
            let request = Request::builder().method(method.clone()).uri(path).header("Host", "lab");
            let request = request.header("X-Call-Id", request_id).body(Full::<Bytes>::default());
            http::collect(sender.send_request(request?).await?).await
        };
        if self.defect == "runs_twice" {
            send().await?;
        }
        let (status, body) = send().await?;
        match self.defect.as_str() {
            "forges" => Ok((status, format!("{request_id} nobody 1"))),
            _ => Ok((status, String::from_utf8_lossy(&body).into_owned())),
        }
    }
}

/// Returns whether a line of the head is the `X-Call-Id` header.
fn is_call_id(line: &str) -> bool {
    line.to_ascii_lowercase().starts_with("x-call-id: ")
}
