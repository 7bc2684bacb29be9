use super::*;
use crate::driver::Input;
use crate::http::{without_options, MAX_BODY};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

fn front(stopping: watch::Receiver<bool>) -> Front {
    Front {
        inbox: mpsc::channel(1).0,
        clock: Clock::start(0),
        ready: Rc::new(Cell::new(true)),
        classes: HashMap::new(),
        plans: HashMap::new(),
        most_units: 1.0,
        gateways: 1,
        open: RefCell::default(),
        bodies: Semaphore::new(MAX_BODY),
        last: Cell::new(0),
        stopping,
        relays: Rc::new(Relays::new(None, 0)),
        retry_after: None,
        time_is_up: Notify::new(),
        fleet: None,
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn what_no_backend_answers_before_a_stopping_gateway_must_end_is_answered_as_failed() {
    let (stop, stopping) = watch::channel(false);
    let (inbox, mut driver) = mpsc::channel(1);
    let classes = [("buy".to_string(), (ClassId(0), Effect::Unsafe, Micros(8_000_000)))].into();
    let plans = [("team".to_string(), PlanId(0))].into();
    let front = Rc::new(Front { inbox, classes, plans, ..front(stopping) });
    let asking = async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut client = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("it listens");
        let serving = tokio::task::spawn_local(serve(listener, front, 8));
        let ask = b"POST /api?customer=00000000b4d65521 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\n\
            X-Call-Class: buy\r\nX-Plan: team\r\nX-Budget-Ms: 8000\r\nContent-Length: 0\r\n\
            X-Quota: units=1,spread=1,first=0\r\n\r\n";
        client.write_all(ask).await.expect("it is open");
        let taken = driver.recv().await;
        let Some(Input::Taken(taken)) = taken else { panic!("it is taken") };
        let stopped = Instant::now();
        stop.send(true).expect("it runs");
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.expect("it ends well");
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer:?}");
        assert!(stopped.elapsed() < Duration::from_millis(3700), "before SIGKILL: {:?}", stopped.elapsed());
        assert!(matches!(driver.recv().await, Some(Input::Gone(id)) if id == taken.arrival.id));
        serving.await.expect("it ends");
    };
    // On paused time a wait in vain ends at once.
    let asked = timeout(Duration::from_secs(20), LocalSet::new().run_until(asking)).await;
    asked.expect("it is answered");
}

#[tokio::test(flavor = "current_thread")]
async fn a_client_whose_socket_takes_no_options_is_served() {
    let (_stop, stopping) = watch::channel(false);
    let front = Rc::new(front(stopping));
    let serving = async move {
        let (stream, mut client) = without_options();
        tokio::task::spawn_local(async move { connection(stream, &Rc::new(Line::new(false)), front).await });
        let ask = b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        client.write_all(ask).await.expect("it is open");
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.expect("it is answered");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    };
    LocalSet::new().run_until(serving).await;
}
