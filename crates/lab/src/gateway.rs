//! One gateway as a real process: its file, its log, its signals and its end.

use crate::http::{self, HttpError};
use crate::links::SharedAddress;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// How long a start may take.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Lines of a log that are buffer in memory; all of them are in its file.
const MAX_LOG_LINES: usize = 2_000;

/// Why something failed at a gateway's process.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// It can't be started twice.
    #[error("{0} runs already")]
    AlreadyRunning(String),
    /// It has no process to signal.
    #[error("{0} does not run")]
    NotRunning(String),
    /// Its files could not be written, or its process not be started.
    #[error("{gateway}: {source}")]
    Io {
        /// The gateway.
        gateway: String,
        /// The cause.
        source: std::io::Error,
    },
    /// Its process has no standard error to read the log from.
    #[error("{0}: no log")]
    NoLog(String),
    /// A line of its log names no address.
    #[error("{gateway}: no address in '{line}'")]
    NoAddress {
        /// The gateway.
        gateway: String,
        /// The line.
        line: String,
    },
    /// Its process ended before it logged a line.
    #[error("{gateway} ended before '{line}': {last}")]
    EndedBeforeLine {
        /// The gateway.
        gateway: String,
        /// What the line contains.
        line: String,
        /// The last line that it logged.
        last: String,
    },
    /// It did not log a line in time.
    #[error("{gateway}: no line with '{line}' in {timeout:?}")]
    NoLine {
        /// The gateway.
        gateway: String,
        /// What the line contains.
        line: String,
        /// How long it was waited for.
        timeout: Duration,
    },
    /// Its process could not be signalled.
    #[error("{gateway}: {source}")]
    Signal {
        /// The gateway.
        gateway: String,
        /// The cause.
        source: nix::errno::Errno,
    },
    /// Its admin address could not be queried.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// Its admin address answered with another status than 200.
    #[error("{gateway}: {path} answered {status}")]
    Status {
        /// The gateway.
        gateway: String,
        /// The path.
        path: String,
        /// The status.
        status: u16,
    },
    /// Its answer is not JSON.
    #[error("{gateway}: {source}")]
    Json {
        /// The gateway.
        gateway: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// Its metrics lack one.
    #[error("{gateway}: no figure {metric}")]
    NoMetric {
        /// The gateway.
        gateway: String,
        /// The name of the metric.
        metric: String,
    },
}

/// The state of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Not started, or ended as it should.
    Stopped,
    /// It runs.
    Running,
    /// It got SIGTERM and has not ended yet.
    Terminating,
}

/// A span in which a gateway was killed or stopped and owes no responses, since the rig began.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// From here on,
    pub from: Duration,
    /// to here.
    pub to: Duration,
}

/// What a process uses of the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl ResourceUsage {
    /// The larger of each.
    pub fn max(self, other: ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// A gateway.
pub struct Gateway {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The address that it announces to the others.
    pub advertised: SocketAddr,
    /// Where clients reach it.
    pub client_address: SharedAddress,
    /// Its admin address.
    pub admin_address: SharedAddress,
    /// Its membership socket.
    pub membership_address: SharedAddress,
    /// Its replication listener.
    pub replication_address: SharedAddress,
    /// The state of its process.
    pub process_state: Cell<ProcessState>,
    /// Unexpected ends of its process.
    pub crashes: RefCell<Vec<String>>,
    /// When it was killed or stopped.
    pub outages: RefCell<Vec<Outage>>,
    /// Starts so far.
    pub incarnations: Cell<u32>,
    /// The largest memory and number of descriptors that were sampled.
    pub peak_usage: Cell<ResourceUsage>,
    /// The program; another build may be put in its place before a start.
    pub program: RefCell<PathBuf>,
    /// Its configuration.
    pub config: RefCell<Value>,
    directory: PathBuf,
    pid: Cell<Option<Pid>>,
    ended: watch::Sender<u64>,
    lines: Rc<RefCell<Vec<String>>>,
    lines_read: watch::Sender<u64>,
    began: Instant,
}

fn unbound_address() -> SharedAddress {
    Rc::new(Cell::new(SocketAddr::from(([127, 0, 0, 1], 1))))
}

impl Gateway {
    /// One that does not run yet. Its file and logs go to `directory`.
    pub fn new(
        name: &str,
        zone: &str,
        advertised: SocketAddr,
        program: &Path,
        directory: &Path,
        began: Instant,
    ) -> Rc<Gateway> {
        Rc::new(Gateway {
            name: name.to_string(),
            zone: zone.to_string(),
            advertised,
            client_address: unbound_address(),
            admin_address: unbound_address(),
            membership_address: unbound_address(),
            replication_address: unbound_address(),
            process_state: Cell::new(ProcessState::Stopped),
            crashes: RefCell::default(),
            outages: RefCell::default(),
            incarnations: Cell::new(0),
            peak_usage: Cell::default(),
            program: RefCell::new(program.to_path_buf()),
            config: RefCell::new(json!({})),
            directory: directory.to_path_buf(),
            pid: Cell::new(None),
            ended: watch::Sender::new(0),
            lines: Rc::default(),
            lines_read: watch::Sender::new(0),
            began,
        })
    }

    /// Starts it and waits until it listens.
    pub async fn start(self: &Rc<Self>) -> Result<(), GatewayError> {
        if self.process_state.get() != ProcessState::Stopped {
            return Err(GatewayError::AlreadyRunning(self.name.clone()));
        }
        let incarnation = self.incarnations.get() + 1;
        self.incarnations.set(incarnation);
        let file = self.directory.join(format!("{}.json", self.name));
        std::fs::write(&file, self.config.borrow().to_string()).map_err(|source| self.io_error(source))?;
        let mut command = Command::new(&*self.program.borrow());
        command.arg("run").arg("--config").arg(&file).stdin(Stdio::null()).stdout(Stdio::null());
        for name in ["NODE_LISTEN", "NODE_DISCOVERY", "NODE_NAME"] {
            command.env_remove(name);
        }
        let mut child = command
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| self.io_error(source))?;
        let Some(stderr) = child.stderr.take() else { return Err(GatewayError::NoLog(self.name.clone())) };
        self.pid.set(child.id().and_then(|id| i32::try_from(id).ok()).map(Pid::from_raw));
        self.process_state.set(ProcessState::Running);
        self.lines.borrow_mut().clear();
        let path = self.directory.join(format!("{}-{incarnation}.log", self.name));
        let log = std::fs::File::create(path).map_err(|source| self.io_error(source))?;
        let (lines, lines_read) = (self.lines.clone(), self.lines_read.clone());
        let reading = spawn_local(read(BufReader::new(stderr), log, lines, lines_read));
        let gateway = self.clone();
        spawn_local(async move { gateway.watch(child, reading).await });
        let fleet = self.config.borrow().get("fleet").is_some();
        let plan = self.config.borrow().pointer("/fleet/plan").is_some_and(Value::is_object);
        for (line, target) in [
            ("joining the fleet", &self.membership_address),
            ("plan: open", &self.replication_address),
            ("admin interface open", &self.admin_address),
            ("listening", &self.client_address),
        ] {
            if line.contains("fleet") && !fleet || line.contains("plan") && !plan {
                continue;
            }
            let line = self.wait_for_line(line, START_TIMEOUT).await?;
            let key = if line.contains("joining the fleet") { "listen=" } else { "address=" };
            let address = line.split(key).nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
            let no_address = || GatewayError::NoAddress { gateway: self.name.clone(), line: line.clone() };
            target.set(address.ok_or_else(no_address)?);
        }
        Ok(())
    }

    async fn watch(&self, mut child: Child, reading: tokio::task::JoinHandle<()>) {
        let status = child.wait().await;
        let _ = reading.await;
        let expected = match self.process_state.replace(ProcessState::Stopped) {
            ProcessState::Terminating => status.as_ref().is_ok_and(|status| status.success()),
            // A kill sets it before.
            ProcessState::Stopped => true,
            ProcessState::Running => false,
        };
        if !expected {
            let last = self.lines.borrow().last().cloned().unwrap_or_default();
            let at = self.began.elapsed().as_secs_f64();
            self.crashes.borrow_mut().push(format!("{} at {at:.2} s: {status:?}: {last}", self.name));
        }
        self.pid.set(None);
        self.ended.send_modify(|ends| *ends += 1);
    }

    /// The first line of its present log with this in it.
    pub async fn wait_for_line(&self, part: &str, limit: Duration) -> Result<String, GatewayError> {
        let mut lines_read = self.lines_read.subscribe();
        let mut ended = self.ended.subscribe();
        let finding = async {
            loop {
                let found = self.lines.borrow().iter().find(|line| line.contains(part)).cloned();
                if let Some(line) = found {
                    return Ok(line);
                }
                // It may have ended before this was asked; its lines are all read by then.
                if self.pid.get().is_none() {
                    let last = self.lines.borrow().last().cloned().unwrap_or_default();
                    let (gateway, line) = (self.name.clone(), part.to_string());
                    return Err(GatewayError::EndedBeforeLine { gateway, line, last });
                }
                tokio::select! {
                    _ = lines_read.changed() => {}
                    _ = ended.changed() => {}
                }
            }
        };
        timeout(limit, finding).await.unwrap_or_else(|_| {
            let (gateway, line) = (self.name.clone(), part.to_string());
            Err(GatewayError::NoLine { gateway, line, timeout: limit })
        })
    }

    /// Its process, where it runs.
    pub fn pid(&self) -> Option<i32> {
        self.pid.get().map(Pid::as_raw)
    }

    /// How many lines of its present log have this in them.
    pub fn lines_with(&self, part: &str) -> usize {
        self.lines.borrow().iter().filter(|line| line.contains(part)).count()
    }

    fn signal(&self, signal: Signal) -> Result<(), GatewayError> {
        let pid = self.pid.get().ok_or_else(|| GatewayError::NotRunning(self.name.clone()))?;
        kill(pid, signal).map_err(|source| GatewayError::Signal { gateway: self.name.clone(), source })
    }

    /// Kills it (SIGKILL) and waits for its end.
    pub async fn kill(&self) -> Result<(), GatewayError> {
        self.record_outage(Duration::ZERO);
        self.process_state.set(ProcessState::Stopped);
        self.signal(Signal::SIGKILL)?;
        self.wait_for_end().await;
        Ok(())
    }

    /// Sends SIGTERM; does not wait for the end.
    pub fn terminate(&self) -> Result<(), GatewayError> {
        self.process_state.set(ProcessState::Terminating);
        self.signal(Signal::SIGTERM)
    }

    /// Waits until it has ended.
    pub async fn wait_for_end(&self) {
        let mut ended = self.ended.subscribe();
        while self.pid.get().is_some() {
            if ended.changed().await.is_err() {
                return;
            }
        }
    }

    /// Stops its process (SIGSTOP).
    pub fn stop(&self) -> Result<(), GatewayError> {
        self.record_outage(Duration::MAX);
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes its process (SIGCONT).
    pub fn resume(&self) -> Result<(), GatewayError> {
        let now = self.began.elapsed();
        self.outages.borrow_mut().iter_mut().filter(|e| e.to > now).for_each(|e| e.to = now);
        self.signal(Signal::SIGCONT)
    }

    /// Writes its configuration and makes it reload (SIGHUP).
    pub fn reload(&self) -> Result<(), GatewayError> {
        let file = self.directory.join(format!("{}.json", self.name));
        std::fs::write(file, self.config.borrow().to_string()).map_err(|source| self.io_error(source))?;
        self.signal(Signal::SIGHUP)
    }

    fn io_error(&self, source: std::io::Error) -> GatewayError {
        GatewayError::Io { gateway: self.name.clone(), source }
    }

    /// The value of one of its metrics, by the name and labels as they are printed.
    pub async fn metric(&self, metric: &str) -> Result<f64, GatewayError> {
        let (_, body) = http::get(self.admin_address.get(), "/metrics").await?;
        let body = String::from_utf8_lossy(&body);
        let value = body.lines().find_map(|line| line.strip_prefix(metric)?.trim().parse().ok());
        value.ok_or_else(|| GatewayError::NoMetric { gateway: self.name.clone(), metric: metric.to_string() })
    }

    fn record_outage(&self, span: Duration) {
        let from = self.began.elapsed();
        self.outages.borrow_mut().push(Outage { from, to: from.saturating_add(span) });
    }

    /// Samples its memory and descriptors.
    pub fn sample(&self) {
        let Some(pid) = self.pid.get() else { return };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0);
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |fds| fds.count());
        self.peak_usage
            .set(self.peak_usage.get().max(ResourceUsage { memory_bytes: kib * 1024, descriptors }));
    }

    /// The CPU time that its running process has used, in seconds.
    pub fn cpu(&self) -> Option<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid.get()?)).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        // Fields 14 and 15 of proc(5), in the hundredths of a second that Linux tells.
        let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
        Some((ticks(11)? + ticks(12)?) / 100.0)
    }

    /// Gets JSON from a path of its admin address.
    pub async fn get_json(&self, path: &str) -> Result<Value, GatewayError> {
        let (status, body) = http::get(self.admin_address.get(), path).await?;
        match status {
            200 => serde_json::from_slice(&body)
                .map_err(|source| GatewayError::Json { gateway: self.name.clone(), source }),
            status => {
                Err(GatewayError::Status { gateway: self.name.clone(), path: path.to_string(), status })
            }
        }
    }
}

async fn read(
    stderr: BufReader<tokio::process::ChildStderr>,
    mut log: std::fs::File,
    buffer: Rc<RefCell<Vec<String>>>,
    lines_read: watch::Sender<u64>,
) {
    use std::io::Write;
    let mut lines = stderr.lines();
    while let Ok(Some(line)) = lines.next_line().await {
        // A full disk loses a log and no experiment.
        let _ = writeln!(log, "{line}");
        let mut buffer = buffer.borrow_mut();
        if buffer.len() >= MAX_LOG_LINES {
            buffer.drain(..MAX_LOG_LINES / 2);
        }
        buffer.push(line);
        lines_read.send_modify(|lines| *lines += 1);
    }
}
