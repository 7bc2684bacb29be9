//! Runs one gateway as a child process: configuration file, log, signals and exit.

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

/// How long to wait for each startup line in the log.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum number of log lines kept in memory; the log file has all of them.
const MAX_BUFFERED_LOG_LINES: usize = 2_000;

/// An error with a gateway's process.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The process was running already at a start.
    #[error("gateway {0} is already running")]
    AlreadyRunning(String),
    /// There is no process to signal.
    #[error("gateway {0} is not running")]
    NotRunning(String),
    /// A file could not be written, or the process could not be started.
    #[error("gateway {gateway}: I/O error: {source}")]
    Io {
        /// The gateway.
        gateway: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The process has no standard error to read the log from.
    #[error("gateway {0}: standard error was not captured")]
    NoLog(String),
    /// A startup line of the log contains no address.
    #[error("gateway {gateway}: no address in log line '{line}'")]
    NoAddress {
        /// The gateway.
        gateway: String,
        /// The line.
        line: String,
    },
    /// The process exited before it logged an expected line.
    #[error("gateway {gateway} exited before it logged '{line}'; last line: {last}")]
    EndedBeforeLine {
        /// The gateway.
        gateway: String,
        /// The text that the expected line contains.
        line: String,
        /// The last line that the gateway logged.
        last: String,
    },
    /// The gateway did not log an expected line in time.
    #[error("gateway {gateway} did not log '{line}' within {timeout:?}")]
    NoLine {
        /// The gateway.
        gateway: String,
        /// The text that the expected line contains.
        line: String,
        /// The time limit.
        timeout: Duration,
    },
    /// A signal could not be sent to the process.
    #[error("gateway {gateway}: cannot send signal: {source}")]
    Signal {
        /// The gateway.
        gateway: String,
        /// The cause.
        source: nix::errno::Errno,
    },
    /// A request to the admin address failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The admin address responded with a status other than 200.
    #[error("gateway {gateway}: expected status 200 from {path}, got {status}")]
    Status {
        /// The gateway.
        gateway: String,
        /// The requested path.
        path: String,
        /// The status of the response.
        status: u16,
    },
    /// A response of the admin address is not valid JSON.
    #[error("gateway {gateway}: invalid JSON: {source}")]
    Json {
        /// The gateway.
        gateway: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// The metrics lack the requested one.
    #[error("gateway {gateway} does not export metric {metric}")]
    NoMetric {
        /// The gateway.
        gateway: String,
        /// The name and labels of the metric.
        metric: String,
    },
}

/// The state of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Not running: not started yet, or exited.
    Stopped,
    /// Running.
    Running,
    /// Sent SIGTERM and not exited yet.
    Terminating,
}

/// A period in which a gateway was killed or stopped and need not respond, as times since the rig started.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The start of the period.
    pub from: Duration,
    /// The end of the period; `Duration::MAX` while the gateway is stopped.
    pub to: Duration,
}

/// The resources that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl ResourceUsage {
    /// Returns the larger value of each resource.
    pub fn max(self, other: ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// A gateway process and what the rig records about it.
pub struct Gateway {
    /// The gateway's name.
    pub name: String,
    /// The gateway's zone.
    pub zone: String,
    /// The address that the gateway advertises to the others.
    pub advertised: SocketAddr,
    /// The address on which the gateway accepts client connections.
    pub client_address: SharedAddress,
    /// The address of the admin interface.
    pub admin_address: SharedAddress,
    /// The address of the membership socket.
    pub membership_address: SharedAddress,
    /// The address of the replication listener.
    pub replication_address: SharedAddress,
    /// The state of the process.
    pub process_state: Cell<ProcessState>,
    /// Descriptions of the unexpected exits of the process.
    pub crashes: RefCell<Vec<String>>,
    /// The periods in which the process was killed or stopped.
    pub outages: RefCell<Vec<Outage>>,
    /// The number of starts so far.
    pub incarnations: Cell<u32>,
    /// The largest sampled memory and the largest sampled number of descriptors.
    pub peak_usage: Cell<ResourceUsage>,
    /// The path of the program; may be replaced by another build before a start.
    pub program: RefCell<PathBuf>,
    /// The configuration, written to the gateway's file by a start or reload.
    pub config: RefCell<Value>,
    directory: PathBuf,
    pid: Cell<Option<Pid>>,
    exits: watch::Sender<u64>,
    log_lines: Rc<RefCell<Vec<String>>>,
    log_lines_read: watch::Sender<u64>,
    epoch: Instant,
}

fn unbound_address() -> SharedAddress {
    Rc::new(Cell::new(SocketAddr::from(([127, 0, 0, 1], 1))))
}

impl Gateway {
    /// Creates a gateway that is not running yet. Its configuration file and logs are written to `directory`.
    pub fn new(
        name: &str,
        zone: &str,
        advertised: SocketAddr,
        program: &Path,
        directory: &Path,
        epoch: Instant,
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
            exits: watch::Sender::new(0),
            log_lines: Rc::default(),
            log_lines_read: watch::Sender::new(0),
            epoch,
        })
    }

    /// Starts the process and waits until it accepts connections.
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
        self.log_lines.borrow_mut().clear();
        let path = self.directory.join(format!("{}-{incarnation}.log", self.name));
        let log = std::fs::File::create(path).map_err(|source| self.io_error(source))?;
        let (log_lines, log_lines_read) = (self.log_lines.clone(), self.log_lines_read.clone());
        let log_reader = spawn_local(read_log(BufReader::new(stderr), log, log_lines, log_lines_read));
        let gateway = self.clone();
        spawn_local(async move { gateway.watch_process(child, log_reader).await });
        let has_fleet = self.config.borrow().get("fleet").is_some();
        let has_plan = self.config.borrow().pointer("/fleet/plan").is_some_and(Value::is_object);
        for (line, target) in [
            ("joining the fleet", &self.membership_address),
            ("plan: open", &self.replication_address),
            ("admin interface open", &self.admin_address),
            ("listening", &self.client_address),
        ] {
            if line.contains("fleet") && !has_fleet || line.contains("plan") && !has_plan {
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

    async fn watch_process(&self, mut child: Child, log_reader: tokio::task::JoinHandle<()>) {
        let status = child.wait().await;
        let _ = log_reader.await;
        let expected = match self.process_state.replace(ProcessState::Stopped) {
            ProcessState::Terminating => status.as_ref().is_ok_and(|status| status.success()),
            // `kill` sets this state before it sends the signal.
            ProcessState::Stopped => true,
            ProcessState::Running => false,
        };
        if !expected {
            let last = self.log_lines.borrow().last().cloned().unwrap_or_default();
            let at = self.epoch.elapsed().as_secs_f64();
            self.crashes.borrow_mut().push(format!("{} at {at:.2} s: {status:?}: {last}", self.name));
        }
        self.pid.set(None);
        self.exits.send_modify(|exits| *exits += 1);
    }

    /// Waits until the log of the current incarnation has a line that contains `text`, and returns the first such line.
    pub async fn wait_for_line(&self, text: &str, limit: Duration) -> Result<String, GatewayError> {
        let mut log_lines_read = self.log_lines_read.subscribe();
        let mut exits = self.exits.subscribe();
        let search = async {
            loop {
                let found = self.log_lines.borrow().iter().find(|line| line.contains(text)).cloned();
                if let Some(line) = found {
                    return Ok(line);
                }
                // The process id is cleared only after the log has been read to its end, so no line can follow.
                if self.pid.get().is_none() {
                    let last = self.log_lines.borrow().last().cloned().unwrap_or_default();
                    let (gateway, line) = (self.name.clone(), text.to_string());
                    return Err(GatewayError::EndedBeforeLine { gateway, line, last });
                }
                tokio::select! {
                    _ = log_lines_read.changed() => {}
                    _ = exits.changed() => {}
                }
            }
        };
        timeout(limit, search).await.unwrap_or_else(|_| {
            let (gateway, line) = (self.name.clone(), text.to_string());
            Err(GatewayError::NoLine { gateway, line, timeout: limit })
        })
    }

    /// Returns the id of the process if it is running.
    pub fn pid(&self) -> Option<i32> {
        self.pid.get().map(Pid::as_raw)
    }

    /// Returns the number of buffered log lines of the current incarnation that contain `text`.
    pub fn lines_with(&self, text: &str) -> usize {
        self.log_lines.borrow().iter().filter(|line| line.contains(text)).count()
    }

    fn signal(&self, signal: Signal) -> Result<(), GatewayError> {
        let pid = self.pid.get().ok_or_else(|| GatewayError::NotRunning(self.name.clone()))?;
        kill(pid, signal).map_err(|source| GatewayError::Signal { gateway: self.name.clone(), source })
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub async fn kill(&self) -> Result<(), GatewayError> {
        self.record_outage(Duration::ZERO);
        self.process_state.set(ProcessState::Stopped);
        self.signal(Signal::SIGKILL)?;
        self.wait_for_end().await;
        Ok(())
    }

    /// Sends SIGTERM to the process without waiting for its exit.
    pub fn terminate(&self) -> Result<(), GatewayError> {
        self.process_state.set(ProcessState::Terminating);
        self.signal(Signal::SIGTERM)
    }

    /// Waits until the process has exited.
    pub async fn wait_for_end(&self) {
        let mut exits = self.exits.subscribe();
        while self.pid.get().is_some() {
            if exits.changed().await.is_err() {
                return;
            }
        }
    }

    /// Suspends the process (SIGSTOP).
    pub fn stop(&self) -> Result<(), GatewayError> {
        self.record_outage(Duration::MAX);
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes the process (SIGCONT).
    pub fn resume(&self) -> Result<(), GatewayError> {
        let now = self.epoch.elapsed();
        self.outages
            .borrow_mut()
            .iter_mut()
            .filter(|outage| outage.to > now)
            .for_each(|outage| outage.to = now);
        self.signal(Signal::SIGCONT)
    }

    /// Writes the configuration file and makes the process reload it (SIGHUP).
    pub fn reload(&self) -> Result<(), GatewayError> {
        let file = self.directory.join(format!("{}.json", self.name));
        std::fs::write(file, self.config.borrow().to_string()).map_err(|source| self.io_error(source))?;
        self.signal(Signal::SIGHUP)
    }

    fn io_error(&self, source: std::io::Error) -> GatewayError {
        GatewayError::Io { gateway: self.name.clone(), source }
    }

    /// Fetches the value of a metric, given by its name and labels as the gateway prints them.
    pub async fn metric(&self, metric: &str) -> Result<f64, GatewayError> {
        let (_, body) = http::get(self.admin_address.get(), "/metrics").await?;
        let body = String::from_utf8_lossy(&body);
        let value = body.lines().find_map(|line| line.strip_prefix(metric)?.trim().parse().ok());
        value.ok_or_else(|| GatewayError::NoMetric { gateway: self.name.clone(), metric: metric.to_string() })
    }

    fn record_outage(&self, duration: Duration) {
        let from = self.epoch.elapsed();
        self.outages.borrow_mut().push(Outage { from, to: from.saturating_add(duration) });
    }

    /// Samples the memory and descriptors of the process and updates the peak usage.
    pub fn sample(&self) {
        let Some(pid) = self.pid.get() else { return };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let vm_rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = vm_rss.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0);
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |fds| fds.count());
        self.peak_usage
            .set(self.peak_usage.get().max(ResourceUsage { memory_bytes: kib * 1024, descriptors }));
    }

    /// Returns the CPU time that the running process has used, in seconds.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid.get()?)).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        // Fields 14 and 15 of proc(5), utime and stime, which Linux reports in hundredths of a second.
        let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
        Some((ticks(11)? + ticks(12)?) / 100.0)
    }

    /// Fetches JSON from a path of the admin address.
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

/// Copies a process's log to its file and to a buffer of recent lines.
async fn read_log(
    stderr: BufReader<tokio::process::ChildStderr>,
    mut log: std::fs::File,
    buffer: Rc<RefCell<Vec<String>>>,
    log_lines_read: watch::Sender<u64>,
) {
    use std::io::Write;
    let mut lines = stderr.lines();
    while let Ok(Some(line)) = lines.next_line().await {
        // Ignored so that a full disk costs log lines and does not fail the experiment.
        let _ = writeln!(log, "{line}");
        let mut buffer = buffer.borrow_mut();
        if buffer.len() >= MAX_BUFFERED_LOG_LINES {
            buffer.drain(..MAX_BUFFERED_LOG_LINES / 2);
        }
        buffer.push(line);
        log_lines_read.send_modify(|count| *count += 1);
    }
}
