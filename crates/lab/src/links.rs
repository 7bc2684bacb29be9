//! Relays the traffic between parties and injects faults into it.
//!
//! Every pair of parties that communicate has a relay, and faults are set per pair and direction. Parties go by names
//! such as `g0`, `b3`, `counter` and `discovery`.

use serde::Deserialize;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The address on which a party currently listens. Changes when the party restarts.
pub type SharedAddress = Rc<Cell<SocketAddr>>;

/// The fault of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Nothing passes: datagrams are lost, connections stay open without data, and new ones receive nothing.
    pub cut: bool,
    /// Existing and new connections are reset, and datagrams are lost.
    pub reset: bool,
    /// The share of datagrams lost.
    pub drop: f64,
    /// The share of datagrams that arrive twice.
    pub duplicate: f64,
    /// The share of datagrams that are held back so that later ones overtake them.
    pub reorder: f64,
    /// The delay of the link, in milliseconds.
    pub delay_ms: u64,
    /// The maximum random addition to the delay, in milliseconds.
    pub jitter_ms: u64,
}

/// The additional delay of datagrams that later ones are to overtake.
const REORDER_DELAY: Duration = Duration::from_millis(40);

struct LinkState {
    faults: HashMap<(String, String), Fault>,
    rng: fastrand::Rng,
    /// Incremented with each change of a fault, to wake the relays.
    changed: watch::Sender<u64>,
}

/// The links of a rig, with their faults.
#[derive(Clone)]
pub struct Links(Rc<RefCell<LinkState>>);

impl Links {
    /// Creates links without faults. The seed determines their random choices.
    pub fn new(seed: u64) -> Links {
        let (faults, rng) = (HashMap::new(), fastrand::Rng::with_seed(seed));
        Links(Rc::new(RefCell::new(LinkState { faults, rng, changed: watch::Sender::new(0) })))
    }

    /// Sets the fault of the links from each sender to each receiver, in that direction only.
    pub fn set(&self, from: &BTreeSet<String>, to: &BTreeSet<String>, fault: Fault) {
        let mut state = self.0.borrow_mut();
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (from, to))) {
            if from != to {
                state.faults.insert((from.clone(), to.clone()), fault);
            }
        }
        state.changed.send_modify(|changes| *changes += 1);
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        let mut state = self.0.borrow_mut();
        state.faults.clear();
        state.changed.send_modify(|changes| *changes += 1);
    }

    fn fault(&self, from: &str, to: &str) -> Fault {
        let state = self.0.borrow();
        state.faults.get(&(from.to_string(), to.to_string())).copied().unwrap_or_default()
    }

    fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.0.borrow_mut().rng.f64() < probability
    }

    fn delay(&self, fault: &Fault) -> Duration {
        let jitter = if fault.jitter_ms > 0 { self.0.borrow_mut().rng.u64(0..=fault.jitter_ms) } else { 0 };
        Duration::from_millis(fault.delay_ms + jitter)
    }

    fn changes(&self) -> watch::Receiver<u64> {
        self.0.borrow().changed.subscribe()
    }

    /// Starts a relay of connections from one party to another, and returns the address on which it listens.
    pub async fn tcp(&self, from: &str, to: &str, target: SharedAddress) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (links, from, to) = (self.clone(), from.to_string(), to.to_string());
        spawn_local(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let (links, from, to, target) = (links.clone(), from.clone(), to.clone(), target.clone());
                spawn_local(async move { links.relay_connection(client, &from, &to, &target).await });
            }
        });
        Ok(address)
    }

    async fn relay_connection(&self, client: TcpStream, from: &str, to: &str, target: &SharedAddress) {
        let mut changes = self.changes();
        while self.fault(from, to).cut {
            if changes.changed().await.is_err() {
                return;
            }
        }
        let server = match self.fault(from, to).reset {
            true => None,
            false => TcpStream::connect(target.get()).await.ok(),
        };
        let Some(server) = server else { return reset(&client) };
        // Without TCP_NODELAY small messages wait for each other. It fails only on a closed connection.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let _ = (SockRef::from(&client).set_linger(None), SockRef::from(&server).set_linger(None));
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let requests = self.relay_bytes(client_reader, server_writer, from, to);
        let responses = self.relay_bytes(server_reader, client_writer, to, from);
        // An error in one direction ends both.
        let _ = tokio::try_join!(requests, responses);
    }

    /// Relays bytes in one direction until the sender closes it. Returns an error if the connection breaks.
    async fn relay_bytes(
        &self,
        mut reader: OwnedReadHalf,
        mut writer: OwnedWriteHalf,
        from: &str,
        to: &str,
    ) -> Result<(), ConnectionBroken> {
        let reset_both = |reader: &OwnedReadHalf, writer: &OwnedWriteHalf| {
            reset(reader.as_ref());
            reset(writer.as_ref());
            Err(ConnectionBroken)
        };
        let mut changes = self.changes();
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let read = tokio::select! {
                read = reader.read(&mut buffer) => read,
                Ok(()) = changes.changed() => {
                    if self.fault(from, to).reset {
                        return reset_both(&reader, &writer);
                    }
                    continue;
                }
            };
            let mut fault = self.fault(from, to);
            while fault.cut {
                if changes.changed().await.is_err() {
                    return Ok(());
                }
                fault = self.fault(from, to);
            }
            match read {
                _ if fault.reset => return reset_both(&reader, &writer),
                // The sender closed its direction: close it towards the receiver too.
                Ok(0) => {
                    let _ = writer.shutdown().await;
                    return Ok(());
                }
                Err(_) => return reset_both(&reader, &writer),
                Ok(length) => {
                    let delay = self.delay(&fault);
                    if delay > Duration::ZERO {
                        sleep(delay).await;
                    }
                    if writer.write_all(&buffer[..length]).await.is_err() {
                        return reset_both(&reader, &writer);
                    }
                }
            }
        }
    }

    /// Starts a relay of datagrams from one party to another, and returns the address on which it listens.
    pub async fn udp(&self, from: &str, to: &str, target: SharedAddress) -> io::Result<SocketAddr> {
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let (links, from, to) = (self.clone(), from.to_string(), to.to_string());
        spawn_local(async move {
            let mut buffer = vec![0; 64 * 1024];
            loop {
                // Errors stem from datagrams that the relay could not deliver, and concern no party.
                let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
                let fault = links.fault(&from, &to);
                if fault.cut || fault.reset || links.random_bool(fault.drop) {
                    continue;
                }
                let copies = 1 + usize::from(links.random_bool(fault.duplicate));
                for _ in 0..copies {
                    let reorder_delay =
                        if links.random_bool(fault.reorder) { REORDER_DELAY } else { Duration::ZERO };
                    let delay = links.delay(&fault) + reorder_delay;
                    let (socket, bytes, to) = (socket.clone(), buffer[..length].to_vec(), target.get());
                    if delay > Duration::ZERO {
                        spawn_local(async move {
                            sleep(delay).await;
                            let _ = socket.send_to(&bytes, to).await;
                        });
                    } else {
                        let _ = socket.send_to(&bytes, to).await;
                    }
                }
            }
        });
        Ok(address)
    }
}

/// The connection broke or was reset by a fault.
struct ConnectionBroken;

/// Makes the close of a connection send a reset to the other side.
fn reset(stream: &TcpStream) {
    // Fails only on a closed connection.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
