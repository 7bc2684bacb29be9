//! A fleet on loopback: gateways as processes, stand-ins as tasks, and every path between them through a relay.

use crate::checks::{self, Broken};
use crate::experiment::{Act, Experiment, Parties};
use crate::gateway::{Gateway, Running};
use crate::links::{Fault, Links};
use crate::load::{plan, Generator, Ledger, CLASSES};
use crate::report::Report;
use crate::stand_in::backend::{Arrival, Backend, Illness, Model};
use crate::stand_in::counter::Counter;
use crate::stand_in::discovery::{Discovery, Routes};
use crate::stand_in::Door;
use hyper::Method;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How often what is waited for is looked at, and processes are measured.
const LOOK: Duration = Duration::from_millis(20);
const SAMPLE: Duration = Duration::from_millis(500);
/// How long a gateway that was told to end may take.
const END: Duration = Duration::from_secs(10);

/// Runs what plays with a fleet to its end, and everything that it started with it.
pub fn play<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// A running fleet. When it is dropped its processes are killed.
pub struct Rig {
    /// Its gateways.
    pub gateways: Vec<Rc<Gateway>>,
    /// Its backends.
    pub backends: Vec<Rc<Backend>>,
    /// Its counter.
    pub counter: Rc<Counter>,
    /// Its discovery.
    pub discovery: Rc<Discovery>,
    /// Its links.
    pub links: Links,
    /// What was asked.
    pub ledger: Rc<Ledger>,
    /// What arrived at backends.
    pub arrivals: Rc<RefCell<Vec<Arrival>>>,
    /// What was done, and when since the rig began.
    pub done: RefCell<Vec<(Duration, String)>>,
    /// Gateways that were told to end, whom the others must hold for left.
    pub leavers: RefCell<BTreeSet<String>>,
    /// Where files and logs are.
    pub directory: PathBuf,
    /// What was told as agreed of the plan: the index and the value.
    pub proposals: Rc<RefCell<Vec<(u64, String)>>>,
    experiment: Experiment,
    generator: Rc<Generator>,
    began: Instant,
    doors: Vec<Door>,
}

impl Rig {
    /// Starts all of an experiment's parties and waits until its gateways are ready and, with a fleet, agree.
    pub async fn start(experiment: &Experiment, program: &Path, directory: &Path) -> Result<Rig, String> {
        Rig::start_with(experiment, program, directory, |_| ()).await
    }

    /// The same, with each gateway's file changed before its start.
    pub async fn start_with(
        experiment: &Experiment,
        program: &Path,
        directory: &Path,
        change: impl Fn(&mut Value),
    ) -> Result<Rig, String> {
        let told = |error: std::io::Error| error.to_string();
        std::fs::create_dir_all(directory).map_err(told)?;
        let (began, zones) = (Instant::now(), experiment.zones());
        let zone = |place: usize| zones[place % zones.len()].clone();
        let links = Links::new(experiment.seed);
        let arrivals = Rc::<RefCell<Vec<Arrival>>>::default();
        let set = &experiment.backends;
        let model = Model {
            slots: set.slots,
            waiting: set.waiting,
            mean: Duration::from_millis(set.mean_ms),
            cold: (Duration::from_millis(set.cold_ms), set.cold_from),
            seed: experiment.seed,
        };
        let backend =
            |place: usize| Backend::new(format!("b{place}"), zone(place), model, began, arrivals.clone());
        let backends: Vec<Rc<Backend>> = (0..set.count).map(backend).collect();
        for backend in &backends {
            backend.start(false).await.map_err(told)?;
        }
        let counter = Rc::<Counter>::default();
        counter.start().await.map_err(told)?;
        let discovery = Discovery::new(&backends, began);
        let gateway = |place: usize| {
            // An address that nothing listens at: the others reach it by way of the rig.
            let advertised =
                SocketAddr::from(([127, 77, (place / 200) as u8, (place % 200 + 1) as u8], 7946));
            Gateway::new(&format!("g{place}"), &zone(place), advertised, program, directory, began)
        };
        let gateways: Vec<Rc<Gateway>> = (0..experiment.gateways.count).map(gateway).collect();
        let mut doors = Vec::new();
        for (place, gateway) in gateways.iter().enumerate() {
            let mut routes = Routes::new();
            for backend in &backends {
                let at =
                    links.tcp(&gateway.name, &backend.id, backend.door.target.clone()).await.map_err(told)?;
                routes.insert(backend.id.clone(), at);
            }
            let door = Door::default();
            discovery.open(&door, &gateway.name, Rc::new(routes)).await.map_err(told)?;
            let list = links.tcp(&gateway.name, "discovery", door.target.clone()).await.map_err(told)?;
            let count =
                links.tcp(&gateway.name, "counter", counter.door.target.clone()).await.map_err(told)?;
            let (mut via, mut plan_via) = (BTreeMap::new(), BTreeMap::new());
            for other in gateways.iter().filter(|other| other.name != gateway.name) {
                let at = links.udp(&gateway.name, &other.name, other.fleet.clone()).await.map_err(told)?;
                via.insert(other.advertised, at);
                if experiment.gateways.plan.is_some() {
                    let at = links.tcp(&gateway.name, &other.name, other.plan.clone()).await.map_err(told)?;
                    plan_via.insert(plan_address(other), at);
                }
            }
            doors.push(door);
            let mut told = config(experiment, gateway, place, list, count, &via);
            if let Some(plan) = &experiment.gateways.plan {
                let voters = gateways[..plan.voters].iter().map(|voter| {
                    (voter.name.clone(), json!({ "zone": voter.zone, "address": plan_address(voter) }))
                });
                told["fleet"]["plan"] = json!({
                    "listen": "127.0.0.1:0", "advertise": plan_address(gateway), "via": plan_via,
                    "voters": voters.collect::<serde_json::Map<_, _>>(),
                    "directory": directory.join(format!("{}-plan", gateway.name)),
                    "tick_ms": plan.tick_ms, "lease_ms": plan.lease_ms, "trust_s": plan.trust_s, "ramp_s": plan.ramp_s,
                });
            }
            change(&mut told);
            *gateway.config.borrow_mut() = told;
        }
        let ledger = Ledger::new();
        let generator = Generator::new(&gateways, &experiment.load, ledger.clone(), began);
        let rig = Rig {
            gateways,
            backends,
            counter,
            discovery,
            links,
            ledger,
            arrivals,
            done: RefCell::default(),
            leavers: RefCell::default(),
            directory: directory.to_path_buf(),
            experiment: experiment.clone(),
            generator,
            began,
            doors,
            proposals: Rc::default(),
        };
        for gateway in &rig.gateways {
            gateway.start().await?;
        }
        rig.generator.watch();
        rig.wait("all gateways ready", END * 3, || rig.generator.all_up()).await?;
        if experiment.gateways.fleet {
            rig.agreed(END * 3).await?;
        }
        Ok(rig)
    }

    /// Time since the rig began.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// A gateway by its name or number.
    pub fn gateway(&self, place: usize) -> &Rc<Gateway> {
        &self.gateways[place]
    }

    /// Waits until it is so.
    pub async fn wait(&self, what: &str, patience: Duration, so: impl Fn() -> bool) -> Result<(), String> {
        let waiting = async {
            while !so() {
                sleep(LOOK).await;
            }
        };
        timeout(patience, waiting).await.map_err(|_| format!("waited {patience:?} in vain for {what}"))
    }

    /// Waits until what the doors of gateways tell is so.
    pub async fn wait_for_views(
        &self,
        what: &str,
        patience: Duration,
        so: impl Fn(&BTreeMap<String, Value>) -> bool,
    ) -> Result<(), String> {
        self.looked("/fleet/members", what, patience, so, summary).await.map(drop)
    }

    /// The views of all running gateways that answer.
    pub async fn views(&self) -> BTreeMap<String, Value> {
        self.told("/fleet/members").await
    }

    /// Waits until all running gateways hold the same view, which is what the rig knows.
    pub async fn agreed(&self, patience: Duration) -> Result<(), String> {
        let running: BTreeSet<String> = self.running().map(|gateway| gateway.name.clone()).collect();
        self.wait_for_views("views that agree", patience, |views| checks::agree(views, &running)).await
    }

    /// What every running gateway that answers says at a path of its door.
    pub async fn told(&self, path: &'static str) -> BTreeMap<String, Value> {
        let mut asked = tokio::task::JoinSet::new();
        for gateway in self.running() {
            let gateway = gateway.clone();
            asked.spawn_local(async move { (gateway.name.clone(), gateway.ask(path).await) });
        }
        let mut told = BTreeMap::new();
        while let Some(answered) = asked.join_next().await {
            if let Ok((name, Ok(answer))) = answered {
                told.insert(name, answer);
            }
        }
        told
    }

    /// Waits until what every running gateway says at a path of its door is so.
    pub async fn wait_for(
        &self,
        what: &str,
        path: &'static str,
        patience: Duration,
        so: impl Fn(&BTreeMap<String, Value>) -> bool,
    ) -> Result<BTreeMap<String, Value>, String> {
        self.looked(path, what, patience, so, |name, told| format!("{name} {told}")).await
    }

    /// The same; what was seen last is shown so, where it never is.
    async fn looked(
        &self,
        path: &'static str,
        what: &str,
        patience: Duration,
        so: impl Fn(&BTreeMap<String, Value>) -> bool,
        shown: impl Fn(&str, &Value) -> String,
    ) -> Result<BTreeMap<String, Value>, String> {
        let until = Instant::now() + patience;
        loop {
            let told = self.told(path).await;
            if so(&told) {
                return Ok(told);
            }
            if Instant::now() >= until {
                let seen: Vec<String> = told.iter().map(|(name, told)| shown(name, told)).collect();
                return Err(format!("waited {patience:?} in vain for {what}: {}", seen.join("; ")));
            }
            sleep(LOOK).await;
        }
    }

    /// The gateways that run.
    pub fn running(&self) -> impl Iterator<Item = &Rc<Gateway>> {
        self.gateways.iter().filter(|gateway| gateway.running.get() == Running::Yes)
    }

    /// All parties that are meant.
    fn named(&self, parties: &Parties) -> Result<BTreeSet<String>, String> {
        let mut names = BTreeSet::new();
        for party in parties {
            let zones: Vec<&str> = match party.split_once(':') {
                Some(("zone", zone)) => vec![zone],
                Some(("region", region)) => {
                    let zones = self.experiment.regions.get(region).into_iter().flatten();
                    zones.map(String::as_str).collect()
                }
                _ => Vec::new(),
            };
            let before = names.len();
            let gateways = self
                .gateways
                .iter()
                .filter(|g| party == "gateways" || *party == g.name || zones.contains(&g.zone.as_str()));
            names.extend(gateways.map(|gateway| gateway.name.clone()));
            let backends = self
                .backends
                .iter()
                .filter(|b| party == "backends" || *party == b.id || zones.contains(&b.zone.as_str()));
            names.extend(backends.map(|backend| backend.id.clone()));
            names.extend(
                ["counter", "discovery"].into_iter().filter(|name| party == name).map(str::to_string),
            );
            if names.len() == before {
                return Err(format!("no such party: {party}"));
            }
        }
        Ok(names)
    }

    fn gateways_of(&self, parties: &Parties) -> Result<Vec<Rc<Gateway>>, String> {
        let names = self.named(parties)?;
        Ok(self.gateways.iter().filter(|gateway| names.contains(&gateway.name)).cloned().collect())
    }

    fn backends_of(&self, parties: &Parties) -> Result<Vec<Rc<Backend>>, String> {
        let names = self.named(parties)?;
        Ok(self.backends.iter().filter(|backend| names.contains(&backend.id)).cloned().collect())
    }

    /// The same with `leader` for who leads the plan now, `zone:leader` for its zone, and `rest` for all gateways and
    /// backends that no other group of a partition names.
    async fn resolved(&self, act: &Act) -> Result<Act, String> {
        let mut act = act.clone();
        let mut parties = act.parties();
        if parties.iter().any(|parties| parties.iter().any(|party| party.contains("leader"))) {
            let told = self.told("/fleet/plan").await;
            let name = told.iter().find(|(_, plan)| plan["leads"] == true).map(|(name, _)| name);
            let leads = self.gateways.iter().find(|gateway| Some(&gateway.name) == name);
            let leads = leads.ok_or("nobody leads the plan")?;
            for party in parties.iter_mut().flat_map(|parties| parties.iter_mut()) {
                match party.as_str() {
                    "leader" => *party = leads.name.clone(),
                    "zone:leader" => *party = format!("zone:{}", leads.zone),
                    _ => {}
                }
            }
        }
        let mut named = BTreeSet::new();
        for group in parties.iter().filter(|group| !group.contains(&"rest".to_string())) {
            named.extend(self.named(group)?);
        }
        let all = self.gateways.iter().map(|g| &g.name).chain(self.backends.iter().map(|b| &b.id));
        let rest: Vec<String> = all.filter(|name| !named.contains(*name)).cloned().collect();
        for group in parties.iter_mut().filter(|group| group.contains(&"rest".to_string())) {
            **group = rest.clone();
        }
        Ok(act)
    }

    /// Does something to the fleet.
    pub async fn act(&self, act: &Act) -> Result<(), String> {
        let act = &self.resolved(act).await?;
        self.done.borrow_mut().push((self.elapsed(), format!("{act:?}")));
        let told = |error: std::io::Error| error.to_string();
        match act {
            Act::Kill(parties) => {
                let names = self.named(parties)?;
                self.backends_of(parties)?.iter().for_each(|backend| backend.kill());
                if names.contains("counter") {
                    self.counter.door.close();
                }
                let killed: Vec<_> = self.gateways_of(parties)?;
                let killed = killed.iter().filter(|gateway| gateway.running.get() != Running::No);
                for gateway in killed {
                    gateway.kill().await?;
                }
            }
            Act::Terminate(parties) => {
                for gateway in self.gateways_of(parties)? {
                    self.leavers.borrow_mut().insert(gateway.name.clone());
                    gateway.terminate()?;
                }
            }
            Act::Start(parties) => {
                let names = self.named(parties)?;
                for backend in self.backends_of(parties)?.iter().filter(|backend| !backend.door.is_open()) {
                    backend.start(true).await.map_err(told)?;
                    self.discovery.set(&backend.id, "ready");
                }
                if names.contains("counter") && !self.counter.door.is_open() {
                    self.counter.start().await.map_err(told)?;
                }
                for gateway in self.gateways_of(parties)? {
                    gateway.wait_for_end().await;
                    self.leavers.borrow_mut().remove(&gateway.name);
                    gateway.start().await?;
                }
            }
            Act::Roll(parties) => {
                for gateway in self.gateways_of(parties)? {
                    gateway.terminate()?;
                    let ended = timeout(END, gateway.wait_for_end()).await;
                    ended.map_err(|_| format!("{} did not end", gateway.name))?;
                    gateway.start().await?;
                }
            }
            Act::Stop(parties) => self.gateways_of(parties)?.iter().try_for_each(|gateway| gateway.stop())?,
            Act::Resume(parties) => {
                self.gateways_of(parties)?.iter().try_for_each(|gateway| gateway.resume())?
            }
            Act::Reload(parties) => {
                self.gateways_of(parties)?.iter().try_for_each(|gateway| gateway.reload())?
            }
            Act::Drain(parties) => self
                .backends_of(parties)?
                .iter()
                .for_each(|backend| self.discovery.set(&backend.id, "draining")),
            Act::Undrain(parties) => {
                self.backends_of(parties)?.iter().for_each(|backend| self.discovery.set(&backend.id, "ready"))
            }
            Act::Slow { who, times } => self.sicken(who, Illness::Slow(*times))?,
            Act::Fail(parties) => self.sicken(parties, Illness::Failing)?,
            Act::Freeze(parties) => self.sicken(parties, Illness::Frozen)?,
            Act::Cure(parties) => self.sicken(parties, Illness::None)?,
            Act::Forget => self.counter.forget(),
            Act::Link { from, to, fault } => self.links.set(&self.named(from)?, &self.named(to)?, *fault),
            Act::Partition(groups) => {
                let groups: Vec<BTreeSet<String>> =
                    groups.iter().map(|group| self.named(group)).collect::<Result<_, _>>()?;
                let cut = Fault { cut: true, ..Fault::default() };
                for (place, from) in groups.iter().enumerate() {
                    let others = groups.iter().enumerate().filter(|(other, _)| *other != place);
                    others.for_each(|(_, to)| self.links.set(from, to, cut));
                }
            }
            Act::Heal => self.links.heal(),
            Act::Propose { section, key, value } => {
                let (doors, told) = (self.gateways.clone(), self.proposals.clone());
                let (section, key, value) = (section.clone(), key.clone(), value.clone());
                let id = fastrand::Rng::with_seed(self.elapsed().as_nanos() as u64).u64(1..);
                spawn_local(async move {
                    if let Some(index) = propose(&doors, id, &section, &key, &value).await {
                        told.borrow_mut().push((index, value));
                    }
                });
            }
        }
        Ok(())
    }

    fn sicken(&self, parties: &Parties, illness: Illness) -> Result<(), String> {
        self.backends_of(parties)?.iter().for_each(|backend| backend.illness.set(illness));
        Ok(())
    }

    /// Plays the load and the timeline, undoes what faults are left, and waits for the fate of each request.
    pub async fn run(&self) -> Result<(), String> {
        let start = Instant::now();
        let requests = plan(&self.experiment.load, self.experiment.span(), self.experiment.seed);
        let sampled: Vec<Rc<Gateway>> = self.gateways.clone();
        let sampling = spawn_local(async move {
            loop {
                sampled.iter().for_each(|gateway| gateway.sample());
                sleep(SAMPLE).await;
            }
        });
        let acting = async {
            for step in &self.experiment.timeline {
                sleep_until(start + Duration::from_secs_f64(step.at)).await;
                self.act(&step.act).await?;
            }
            Ok::<(), String>(())
        };
        let (acted, ()) = tokio::join!(acting, self.generator.play(requests));
        sampling.abort();
        acted?;
        // What the timeline left broken is mended before the views are held against each other.
        self.links.heal();
        for gateway in &self.gateways {
            if gateway.running.get() == Running::Yes {
                gateway.resume()?;
            } else if timeout(END, gateway.wait_for_end()).await.is_err() {
                gateway
                    .crashes
                    .borrow_mut()
                    .push(format!("{} did not end when it was told to", gateway.name));
            }
        }
        Ok(())
    }

    /// Holds what happened against the checks.
    pub async fn check(&self) -> Vec<Broken> {
        let mut broken = checks::of_requests(self, &self.experiment);
        if self.experiment.gateways.fleet {
            broken.extend(checks::of_views(self, &self.experiment).await);
        }
        if self.experiment.gateways.plan.is_some() {
            broken.extend(checks::of_plan(self, &self.experiment).await);
        }
        broken
    }

    /// What happened, in figures.
    pub fn report(&self, broken: Vec<Broken>) -> Report {
        Report::of(self, &self.experiment, broken)
    }

    /// Ends every process and every door.
    pub async fn end(self) {
        for gateway in &self.gateways {
            if gateway.running.get() != Running::No {
                // One that has just ended is what is wanted.
                let _ = gateway.kill().await;
            }
        }
        self.backends.iter().for_each(|backend| backend.kill());
        self.doors.iter().for_each(Door::close);
        self.counter.door.close();
    }
}

/// Where the others are told that a gateway's plan is.
pub fn plan_address(gateway: &Gateway) -> SocketAddr {
    SocketAddr::new(gateway.advertised.ip(), gateway.advertised.port() + 1)
}

/// Proposes at one gateway after the other until one decides; the index, if it was agreed on.
async fn propose(doors: &[Rc<Gateway>], id: u64, section: &str, key: &str, value: &str) -> Option<u64> {
    let body = json!({
        "id": id, "schema": 1, "proposer": "rig", "reason": "an experiment", "section": section, "key": key,
        "value": value,
    });
    let until = Instant::now() + END * 3;
    while Instant::now() < until {
        for gateway in doors.iter().filter(|gateway| gateway.running.get() == Running::Yes) {
            let path = "/fleet/plan/propose";
            let answer = crate::http::call(gateway.door.get(), Method::POST, path, body.to_string()).await;
            let Ok((200, answer)) = answer else { continue };
            let answer: Value = serde_json::from_slice(&answer).ok()?;
            let verdict = &answer["Decided"];
            return verdict["Agreed"].as_u64().or(verdict["Known"].as_u64());
        }
        sleep(LOOK).await;
    }
    None
}

/// What a view says, in a few words.
fn summary(name: &str, view: &Value) -> String {
    let members = view["members"].as_array().into_iter().flatten();
    let rows = members.map(|row| {
        format!("{} {}", row["name"].as_str().unwrap_or("?"), row["standing"].as_str().unwrap_or("?"))
    });
    format!("{name} [{}] {}", view["digest"].as_str().unwrap_or("?"), rows.collect::<Vec<_>>().join(", "))
}

fn config(
    experiment: &Experiment,
    gateway: &Gateway,
    place: usize,
    discovery: SocketAddr,
    counter: SocketAddr,
    via: &BTreeMap<SocketAddr, SocketAddr>,
) -> Value {
    let classes = CLASSES.map(|(name, deadline, safe)| {
        let effect = if safe { "pure" } else { "side_effect" };
        let (deadline, on_time) = (deadline.as_micros() as u64, deadline.as_micros() as u64 / 2);
        json!({ "name": name, "effect": effect, "deadline": deadline, "on_time": on_time, "credit": 1.0 })
    });
    let (rate, burst) = experiment.load.quota;
    let set = &experiment.backends;
    let mut config = json!({
        "name": gateway.name, "listen": "127.0.0.1:0", "discovery": discovery, "counter": counter,
        "seed": format!("{:x}", experiment.seed + place as u64),
        "limits": { "memory_mb": 192, "sockets": 1024 },
        "admin": { "listen": "127.0.0.1:0" },
        "settings": {
            "balancers": experiment.gateways.count, "my_number": place, "tick": 2000,
            "zone": gateway.zone, "zones": experiment.zones(),
            "bounds": {
                "max_attempts": 3, "may_cancel": true, "retry_after": true, "max_retry_after": 1_000_000,
                "dial_timeout": 250_000, "conn_idle": 15_000_000, "second_copies": false,
            },
            "classes": classes,
            "plans": [{ "name": "team", "per_second": rate, "peak_units": burst, "price": 1.0, "over_cost": 1.0 }],
            "specifics": { "counter": true, "count_limit": 80_000, "units_top": 4 },
            "rules": {
                "answer_slack": 8_000, "cold": set.cold_ms * 1_000, "cold_from": set.cold_from,
                "fall_multiple": 2.0, "tip_after": 1_000_000,
            },
        },
    });
    if experiment.gateways.fleet {
        let join: Vec<&SocketAddr> = via.values().take(3).collect();
        let ahead = experiment.gateways.clock_ahead_ms.get(&gateway.name).copied().unwrap_or(0);
        config["fleet"] = json!({
            "listen": "127.0.0.1:0", "advertise": gateway.advertised, "cluster": "lab", "join": join, "via": via,
            "probe_ms": experiment.gateways.probe_ms, "hold_ms": experiment.gateways.hold_ms,
            "clock_ahead_ms": ahead,
        });
    }
    config
}
