//! What crosses at a running gateway: connections that come up late, floods, idle crowds, moves and kills.
#[path = "sockets/harness.rs"]
mod harness;

use harness::*;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A listener whose queue is full, so that further connections come up only once it accepts.
fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    const PROBE: Duration = Duration::from_millis(50);
    const MOST: usize = 10_000;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let filling: Vec<TcpStream> =
        (0..MOST).map_while(|_| TcpStream::connect_timeout(&address, PROBE).ok()).collect();
    assert!(filling.len() < MOST, "the queue never fills");
    (listener, filling)
}

/// How many descriptors a process holds.
fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).expect("it runs").count()
}

/// Waits until somebody's connection to this address has been asked for and not come up.
fn wait_for_dial(address: SocketAddr) {
    const SYN_SENT: &str = "02";
    let remote = format!(":{:04X}", address.port());
    let until = Instant::now() + TEST_TIMEOUT;
    let dialling = || {
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the sockets");
        sockets.lines().any(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            fields.len() > 3 && fields[2].ends_with(&remote) && fields[3] == SYN_SENT
        })
    };
    while !dialling() {
        assert!(Instant::now() < until, "waited in vain for a dial");
        thread::yield_now();
    }
}

#[test]
fn a_window_that_ends_in_the_middle_of_a_dial_ends_the_repeats() {
    let (reset, resets) = std::sync::mpsc::channel();
    let resets = std::sync::Mutex::new(resets);
    let first = Stub::start(move |_| {
        resets.lock().expect("whole").recv_timeout(TEST_TIMEOUT).expect("the test goes on");
        Reply::RawThenClose(String::new())
    });
    let (late, filling) = full_listener();
    let late_address = late.local_addr().expect("bound");
    let (discovery, counter) = (Discovery::start(&member("s-1", first.address, "ready")), counter());
    // A handshake that found the queue full is tried again after 1 s: by then the window is over, the dial is not.
    let config = config(discovery.stub.address, counter.address)
        .replace("\"window\":8000000", "\"window\":800000")
        .replace("\"dial_timeout\":250000", "\"dial_timeout\":6000000");
    let mut node = Node::spawn(platform_command(&config));
    node.wait_ready();
    let mut client = node.client();
    client.send(&request("buy", 3500));
    first.wait_for("the first attempt", |log| log.requests.len() == 1);
    discovery.publish(42, false, &member("s-2", late_address, "ready"));
    reset.send(()).expect("it waits");
    wait_for_dial(late_address);
    drop(filling);
    let accepting = late.try_clone().expect("a socket");
    let accepted = thread::spawn(move || {
        // Those that filled the queue end at once; the late one is the gateway's.
        accepting
            .incoming()
            .map_while(Result::ok)
            .map(|mut stream| {
                let mut carried = String::new();
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
                let _ = stream.read_to_string(&mut carried);
                carried
            })
            .take_while(|carried| carried != LAST)
            .collect::<String>()
    });
    assert_eq!(client.read_response().expect("an answer").status(), 429, "a keyed request may come again");
    node.signal("TERM");
    assert_eq!(node.wait_for_exit(), Some(0));
    let mut last = TcpStream::connect(late_address).expect("it listens");
    std::io::Write::write_all(&mut last, LAST.as_bytes()).expect("it is open");
    drop(last);
    assert_eq!(accepted.join().expect("it ends"), "", "nothing was begun behind its window");
    assert_eq!(first.requests().len(), 1);
}

/// What tells the late listener that no more comes.
const LAST: &str = "no more comes";

#[test]
fn a_flood_of_connections_is_answered_in_the_end_and_never_takes_more_descriptors_than_there_are() {
    const SOCKETS: usize = 64;
    const CLIENTS: usize = 400;
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let config = config(discovery.stub.address, counter.address)
        .replace("\"sockets\":1024", &format!("\"sockets\":{SOCKETS}"))
        .replace(
            "\"per_second\":1000.0,\"peak_units\":1000.0",
            "\"per_second\":9000.0,\"peak_units\":9000.0",
        );
    let node = Node::spawn(platform_command(&config));
    node.wait_ready();
    let address = node.address;
    let flood: Vec<_> = (0..CLIENTS).map(|number| thread::spawn(move || answered(address, number))).collect();
    let mut most = 0;
    while flood.iter().any(|client| !client.is_finished()) {
        most = most.max(descriptors(&node));
        thread::yield_now();
    }
    let answered = flood.into_iter().map(|client| client.join().expect("it ends"));
    assert_eq!(answered.filter(|answered| *answered).count(), CLIENTS);
    assert!(most <= SOCKETS, "{most} descriptors");
    assert_eq!(node.client().exchange(&request("look", 3000)).status(), 200);
}

/// Whether a client that comes back when its connection is closed unread is served in the end.
fn answered(address: SocketAddr, number: usize) -> bool {
    let id = format!("X-Call-Id: {number:016x}");
    let asked = request("look", 3900).replace("X-Call-Id: 9b1f03aa5c7e2d41", &id);
    let until = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < until {
        let answer = Client::connect(address).try_exchange(&asked);
        if answer.is_some_and(|answer| answer.status() == 200) {
            return true;
        }
    }
    false
}

#[test]
fn idle_clients_that_fill_the_places_while_discovery_is_down_keep_no_reload_and_no_drain_from_being_heard() {
    let (old, new) = (Stub::start(|_| http("200 OK", "old")), Stub::start(|_| http("200 OK", "new")));
    let (silent, counter) = (Stub::start(|_| Reply::Silence), counter());
    let known = endpoint_list(7, true, &member("s-old", old.address, "ready"));
    let with = |discovery: SocketAddr| {
        config(discovery, counter.address).replace("\"sockets\":1024", "\"sockets\":64").replacen(
            '{',
            &format!("{{\"known\":{known},"),
            1,
        )
    };
    let path = config_file(&with(silent.address));
    let node = Node::spawn(platform_command_from(&path));
    node.wait_ready();
    let crowd: Vec<Client> = (0..128).map(|_| node.client()).collect();
    assert_eq!(
        node.client().exchange(&request("look", 3000)).body,
        "old",
        "discovery is down, requests go on"
    );
    // A new configuration, and a drain right after.
    let discovery = Discovery::start(&member("s-old", old.address, "ready"));
    std::fs::write(&path, with(discovery.stub.address)).expect("written");
    node.signal("HUP");
    discovery.wait_for_watch(41);
    let members = [member("s-old", old.address, "draining"), member("s-new", new.address, "ready")];
    discovery.publish(42, false, &members.join(","));
    for _ in 0..8 {
        assert_eq!(node.client().exchange(&request("look", 3000)).body, "new");
    }
    drop(crowd);
}

#[test]
fn a_backend_that_is_killed_right_after_an_accept_takes_no_request_twice() {
    let killed = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = killed.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in killed.incoming().flatten() {
            // What was accepted ends with a reset, as where a process dies.
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
        }
    });
    let sound = Stub::start(|_| http("200 OK", "ok"));
    let members = [member("s-1", address, "ready"), member("s-2", sound.address, "ready")].join(",");
    let (discovery, counter) = (Discovery::start(&members), counter());
    let node = Node::start(&discovery, &counter);
    let mut sent = 0;
    for number in 0..40 {
        let class = ["look", "once"][number % 2];
        let id = format!("X-Call-Id: {number:016x}");
        let asked = request(class, 3000).replace("X-Call-Id: 9b1f03aa5c7e2d41", &id);
        let status = node.client().exchange(&asked).status();
        let allowed: &[u16] = if class == "look" { &[200] } else { &[200, 429, 502] };
        assert!(allowed.contains(&status), "{class}: {status}");
        sent += usize::from(status == 200);
    }
    let mut ids: Vec<_> =
        sound.requests().iter().map(|seen| seen.header("x-call-id").map(str::to_string)).collect();
    assert_eq!(ids.len(), sent, "whatever the sound one ran was served");
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), sent, "and none of it twice");
}
