//! A backend: slots, a waiting room, service times drawn from the seed and the request's id, a cold start, load reports.

use super::{parameter, Door};
use crate::http::{answer, Answer};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{sleep, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a backend is like.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Requests that it works on at once.
    pub slots: usize,
    /// Those that wait beside them; further ones are turned away.
    pub waiting: usize,
    /// The mean time of service.
    pub mean: Duration,
    /// How long it is cold after a start, and the part of its speed that it starts with.
    pub cold: (Duration, f64),
    /// From which service times are drawn.
    pub seed: u64,
}

/// What a backend does wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Illness {
    /// Nothing.
    None,
    /// It works so many times as long.
    Slow(f64),
    /// It answers 500 at once.
    Failing,
    /// It says nothing.
    Frozen,
}

/// A request that arrived whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub call: String,
    /// The backend.
    pub backend: String,
    /// When, since the rig began.
    pub at: Duration,
    /// Its customer.
    pub customer: u64,
    /// The units that it names.
    pub units: f64,
    /// It was worked on, or at least begun.
    pub ran: bool,
}

/// A backend.
pub struct Backend {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub door: Door,
    /// What is wrong with it.
    pub illness: Cell<Illness>,
    /// When it last started, in milliseconds of Unix time; 0: before the rig.
    pub up_since_ms: Cell<u64>,
    model: Model,
    began: Instant,
    started: Cell<Instant>,
    life: Cell<u32>,
    slots: RefCell<Rc<Semaphore>>,
    present: Cell<usize>,
    arrivals: Rc<RefCell<Vec<Arrival>>>,
}

impl Backend {
    /// A backend that is not running yet, and notes what arrives.
    pub fn new(
        id: String,
        zone: String,
        model: Model,
        began: Instant,
        arrivals: Rc<RefCell<Vec<Arrival>>>,
    ) -> Rc<Backend> {
        Rc::new(Backend {
            id,
            zone,
            door: Door::default(),
            illness: Cell::new(Illness::None),
            up_since_ms: Cell::new(0),
            model,
            began,
            // Long ago: the first life is warm.
            started: Cell::new(began.checked_sub(model.cold.0).unwrap_or(began)),
            life: Cell::new(0),
            slots: RefCell::new(Rc::new(Semaphore::new(model.slots))),
            present: Cell::new(0),
            arrivals,
        })
    }

    /// Starts it; `cold`: as a process does that has just come up.
    pub async fn start(self: &Rc<Self>, cold: bool) -> io::Result<()> {
        self.life.set(self.life.get() + 1);
        *self.slots.borrow_mut() = Rc::new(Semaphore::new(self.model.slots));
        self.present.set(0);
        if cold {
            self.started.set(Instant::now());
            let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            self.up_since_ms.set(unix.as_millis() as u64);
        }
        let backend = self.clone();
        self.door.open(move |request| backend.clone().serve(request)).await
    }

    /// Ends it without a word.
    pub fn kill(&self) {
        self.door.close();
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Option<Answer> {
        let life = self.life.get();
        let header =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
        let Some(call) = header("x-call-id") else { return Some(answer(StatusCode::NOT_FOUND, "no id")) };
        let query = request.uri().query().unwrap_or_default().to_string();
        let customer = parameter(&query, "customer").and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let units = parameter(&query, "units").and_then(|units| units.parse().ok()).unwrap_or(1.0);
        // A request begins when its last byte has come.
        crate::http::drain(request.into_body()).await.ok()?;
        let ran = self.present.get() < self.model.slots + self.model.waiting;
        let (backend, at) = (self.id.clone(), self.began.elapsed());
        let customer = customer.unwrap_or_default();
        self.arrivals.borrow_mut().push(Arrival { call: call.clone(), backend, at, customer, units, ran });
        if !ran {
            let mut turned_away = answer(StatusCode::SERVICE_UNAVAILABLE, "");
            turned_away.headers_mut().insert("x-rejected", HeaderValue::from_static("1"));
            return Some(turned_away);
        }
        let _here = Here::new(&self);
        let slots = self.slots.borrow().clone();
        let slot = slots.acquire().await.ok()?;
        match self.illness.get() {
            Illness::Frozen => return None,
            Illness::Failing => return Some(answer(StatusCode::INTERNAL_SERVER_ERROR, "")),
            Illness::Slow(_) | Illness::None => {}
        }
        sleep(self.time(&call)).await;
        drop(slot);
        let mut served = answer(StatusCode::OK, format!("{call} {} {life}", self.id));
        let util = (self.present.get() as f64 / self.model.slots as f64).min(1.0);
        let queue = self.present.get().saturating_sub(self.model.slots);
        if let Ok(report) = HeaderValue::from_str(&format!("TEXT queue={queue}, util={util:.2}")) {
            served.headers_mut().insert("x-load-report", report);
        }
        Some(served)
    }

    /// The time of service: half to one and a half of the mean, the same for one id and seed, longer while cold.
    fn time(&self, call: &str) -> Duration {
        let drawn = xxh3_64_with_seed(call.as_bytes(), self.model.seed) as f64 / u64::MAX as f64;
        let (cold, from) = self.model.cold;
        let warmth = (self.started.get().elapsed().as_secs_f64() / cold.as_secs_f64().max(1e-3)).min(1.0);
        let speed = from + (1.0 - from) * warmth;
        let slow = if let Illness::Slow(times) = self.illness.get() { times } else { 1.0 };
        self.model.mean.mul_f64((0.5 + drawn) * slow / speed.max(0.01))
    }
}

/// One request that is here, until its end.
struct Here(Rc<Backend>, u32);

impl Here {
    fn new(backend: &Rc<Backend>) -> Here {
        backend.present.set(backend.present.get() + 1);
        Here(backend.clone(), backend.life.get())
    }
}

impl Drop for Here {
    fn drop(&mut self) {
        // What a killed life held is gone with it.
        if self.0.life.get() == self.1 {
            self.0.present.set(self.0.present.get().saturating_sub(1));
        }
    }
}
