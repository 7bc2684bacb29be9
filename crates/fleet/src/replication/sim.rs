//! A virtual network of voters with stores of their own, for tests and measurements: the same seed gives the same
//! history. Times are in microseconds.

use super::document::{Document, Entry, Proposal, Verdict, SCHEMA_VERSION, VOTERS_SECTION};
use super::log::{DurableState, LogWrite};
use super::voter::{Output, ProposeError, Voter, VoterChange};
use super::wire::RaftMessage;
use std::collections::{BTreeMap, HashSet};
use std::ops::RangeInclusive;

/// The length of a voter's tick.
pub const TICK: u64 = 20_000;
/// The document that the simulated voters vote on.
const DOCUMENT: u64 = 7;

/// What the network and the stores do.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that arrive twice.
    pub duplication: f64,
    /// How long messages travel.
    pub delay: RangeInclusive<u64>,
    /// How long writes take.
    pub write_time: RangeInclusive<u64>,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions { loss: 0.0, duplication: 0.0, delay: 200..=2_000, write_time: 100..=3_000 }
    }
}

enum Event {
    Tick { voter: usize, incarnation: u32 },
    MessageArrives { voter: usize, message: Box<RaftMessage> },
    WriteDone { voter: usize, incarnation: u32, number: u64 },
    StallEnds { voter: usize },
}

impl Event {
    fn voter(&self) -> usize {
        match self {
            Event::Tick { voter, .. }
            | Event::MessageArrives { voter, .. }
            | Event::WriteDone { voter, .. }
            | Event::StallEnds { voter } => *voter,
        }
    }
}

/// One voter with its store.
pub struct SimVoter {
    /// The voter; `None`: it is not running.
    pub voter: Option<Voter>,
    /// What is durable.
    pub disk: DurableState,
    /// How long its writes take, where that differs from the network's conditions.
    pub write_time: Option<RangeInclusive<u64>>,
    pending_write: Option<(u64, LogWrite)>,
    incarnation: u32,
    stalled_until: u64,
    /// What happened to it while it was stalled.
    backlog: Vec<Event>,
    /// What it reported as decided in all its incarnations: time, proposal and verdict.
    pub decided: Vec<(u64, u64, Verdict)>,
    /// The entries that it applied in its present incarnation.
    pub entries: Vec<Entry>,
    /// The confirmations of leadership that it got: time and number.
    pub confirmed: Vec<(u64, u64)>,
    /// Why it halted.
    pub halted: Option<String>,
    /// How fast its clock runs.
    pub speed: f64,
}

impl SimVoter {
    fn new(disk: DurableState) -> SimVoter {
        SimVoter {
            voter: None,
            disk,
            write_time: None,
            pending_write: None,
            incarnation: 0,
            stalled_until: 0,
            backlog: Vec::new(),
            decided: Vec::new(),
            entries: Vec::new(),
            confirmed: Vec::new(),
            halted: None,
            speed: 1.0,
        }
    }

    fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    fn finish_write(&mut self, incarnation: u32, number: u64) {
        if incarnation != self.incarnation {
            return;
        }
        let Some(voter) = &mut self.voter else { return };
        if let Some((_, write)) = self.pending_write.take_if(|(pending, _)| *pending == number) {
            self.disk.apply(&write);
            voter.persisted(number);
        }
    }
}

/// The network.
pub struct Network {
    /// Its voters; the id of each is its place plus one.
    pub voters: Vec<SimVoter>,
    /// What the network does.
    pub conditions: Conditions,
    /// Links that are cut: sender and receiver.
    pub cut: HashSet<(usize, usize)>,
    /// The current time.
    pub now: u64,
    /// The source of all random draws.
    pub rng: fastrand::Rng,
    /// Makes events of one time happen in the order in which they were scheduled.
    next_event: u64,
    scheduled: BTreeMap<(u64, u64), Event>,
    /// How many messages were sent.
    pub sent: u64,
}

impl Network {
    /// A network of first voters and of spare ones that may be added, all running.
    pub fn new(first_voters: usize, spare_voters: usize, seed: u64) -> Network {
        let items = (0..first_voters).map(|place| (format!("g{place}"), (place + 1).to_string())).collect();
        let document = Document::bootstrap(DOCUMENT, &items);
        let founded = DurableState::bootstrap(&document, (1..=first_voters as u64).collect());
        let founded = founded.unwrap_or_else(|_| DurableState::empty());
        let all = first_voters + spare_voters;
        let disk = |place: usize| if place < first_voters { founded.clone() } else { DurableState::empty() };
        let mut network = Network {
            voters: (0..all).map(|place| SimVoter::new(disk(place))).collect(),
            conditions: Conditions::default(),
            cut: HashSet::new(),
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            next_event: 0,
            scheduled: BTreeMap::new(),
            sent: 0,
        };
        for place in 0..all {
            network.start(place);
        }
        network
    }

    /// Starts a voter from what is durable; false where it can't start from that.
    pub fn start(&mut self, place: usize) -> bool {
        let seed = self.rng.u64(..);
        let sim = &mut self.voters[place];
        sim.incarnation += 1;
        sim.stalled_until = 0;
        sim.pending_write = None;
        sim.backlog.clear();
        sim.entries.clear();
        let voter = Voter::new(place as u64 + 1, DOCUMENT, &sim.disk, seed);
        sim.halted = voter.as_ref().err().map(ToString::to_string);
        sim.voter = voter.ok();
        let incarnation = sim.incarnation;
        let first_tick = self.rng.u64(..TICK);
        self.schedule(first_tick, Event::Tick { voter: place, incarnation });
        self.handle_outputs(place);
        self.voters[place].voter.is_some()
    }

    /// Ends a voter; a write that is under way is lost or not, at random.
    pub fn crash(&mut self, place: usize) {
        let survives = self.rng.bool();
        let sim = &mut self.voters[place];
        sim.voter = None;
        if let Some((_, write)) = sim.pending_write.take().filter(|_| survives) {
            sim.disk.apply(&write);
        }
    }

    /// Stalls a voter for some time.
    pub fn stall(&mut self, place: usize, span: u64) {
        self.voters[place].stalled_until = self.now + span;
        self.schedule(span, Event::StallEnds { voter: place });
    }

    /// Cuts all links between these voters and the others, both ways.
    pub fn partition(&mut self, side: &[usize]) {
        for from in 0..self.voters.len() {
            for to in 0..self.voters.len() {
                if side.contains(&from) != side.contains(&to) {
                    self.cut.insert((from, to));
                }
            }
        }
    }

    /// The voter that takes itself for the leader, in the latest term.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..self.voters.len()).filter(|place| self.voters[*place].is_leader());
        leaders.max_by_key(|place| self.voters[*place].voter.as_ref().map(Voter::log_position))
    }

    /// Proposes at a voter that a register holds this value.
    pub fn propose(
        &mut self,
        place: usize,
        id: u64,
        value: u64,
        expected_item_index: Option<u64>,
    ) -> Result<(), ProposeError> {
        let proposal = Proposal {
            expected_item_index,
            section: "register".to_string(),
            key: "x".to_string(),
            value: Some(value.to_string()),
            ..sim_proposal(id)
        };
        self.with_voter(place, |voter| voter.propose(&proposal))
    }

    /// Proposes at a voter that another be added or removed.
    pub fn change_voters(&mut self, place: usize, id: u64, change: VoterChange) -> Result<(), ProposeError> {
        let (voter, value) = match change {
            VoterChange::Add(voter) => (voter, Some(voter.to_string())),
            VoterChange::Remove(voter) => (voter, None),
        };
        let proposal = Proposal {
            section: VOTERS_SECTION.to_string(),
            key: format!("g{}", voter - 1),
            value,
            ..sim_proposal(id)
        };
        self.with_voter(place, |voter| voter.change_voters(change, &proposal))
    }

    /// Runs an action on a voter that is running.
    pub fn with_voter<T>(
        &mut self,
        place: usize,
        action: impl FnOnce(&mut Voter) -> Result<T, ProposeError>,
    ) -> Result<T, ProposeError> {
        let Some(voter) = &mut self.voters[place].voter else { return Err(ProposeError::NotLeader(None)) };
        let result = action(voter);
        self.handle_outputs(place);
        result
    }

    /// Runs for some time.
    pub fn run(&mut self, span: u64) {
        // The condition never holds, so there is no time to report.
        let _ = self.run_until(span, |_| false);
    }

    /// Runs until a condition holds, and returns the time that took; `None` if it does not within `span`.
    pub fn run_until(&mut self, span: u64, condition: impl Fn(&Network) -> bool) -> Option<u64> {
        let start = self.now;
        let end = self.now + span;
        loop {
            if condition(self) {
                return Some(self.now - start);
            }
            let next = self.scheduled.first_entry().filter(|entry| entry.key().0 <= end);
            let Some(next) = next else {
                self.now = end;
                return None;
            };
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.handle(event);
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.next_event += 1;
        self.scheduled.insert((self.now + after, self.next_event), event);
    }

    fn handle(&mut self, event: Event) {
        let place = event.voter();
        let sim = &mut self.voters[place];
        if self.now < sim.stalled_until {
            return sim.backlog.push(event);
        }
        match event {
            Event::Tick { incarnation, .. } => self.handle_tick(place, incarnation),
            Event::MessageArrives { message, .. } => {
                if let Some(voter) = &mut sim.voter {
                    voter.receive(&message);
                }
            }
            Event::WriteDone { incarnation, number, .. } => sim.finish_write(incarnation, number),
            Event::StallEnds { .. } => {
                let backlog = std::mem::take(&mut sim.backlog);
                backlog.into_iter().for_each(|event| self.handle(event));
            }
        }
        self.handle_outputs(place);
    }

    fn handle_tick(&mut self, place: usize, incarnation: u32) {
        let sim = &mut self.voters[place];
        if incarnation != sim.incarnation {
            return;
        }
        let Some(voter) = &mut sim.voter else { return };
        voter.tick();
        let next = (TICK as f64 / sim.speed) as u64;
        self.schedule(next, Event::Tick { voter: place, incarnation });
    }

    fn handle_outputs(&mut self, place: usize) {
        let Some(voter) = &mut self.voters[place].voter else { return };
        for output in voter.poll_outputs() {
            self.handle_output(place, output);
        }
    }

    fn handle_output(&mut self, place: usize, output: Output) {
        let now = self.now;
        let sim = &mut self.voters[place];
        match output {
            Output::Send(message) => self.send(place, message),
            Output::Write { number, write } => {
                let write_time = sim.write_time.clone().unwrap_or_else(|| self.conditions.write_time.clone());
                let incarnation = sim.incarnation;
                sim.pending_write = Some((number, write));
                let after = self.rng.u64(write_time);
                self.schedule(after, Event::WriteDone { voter: place, incarnation, number });
            }
            Output::Decided { id, verdict, entry } => {
                sim.decided.push((now, id, verdict));
                sim.entries.extend(entry);
            }
            Output::LeadershipConfirmed(number) => sim.confirmed.push((now, number)),
            Output::Halted(reason) => sim.halted = Some(reason.to_string()),
            Output::SnapshotInstalled | Output::LeaderChanged { .. } => {}
        }
    }

    fn send(&mut self, from: usize, message: RaftMessage) {
        self.sent += 1;
        let to = (message.to as usize).wrapping_sub(1);
        if to >= self.voters.len() || self.cut.contains(&(from, to)) || self.rng.f64() < self.conditions.loss
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.conditions.duplication);
        for _ in 0..copies {
            let after = self.rng.u64(self.conditions.delay.clone());
            self.schedule(after, Event::MessageArrives { voter: to, message: Box::new(message.clone()) });
        }
    }
}

fn sim_proposal(id: u64) -> Proposal {
    Proposal {
        id,
        schema: SCHEMA_VERSION,
        proposer: "sim".to_string(),
        reason: "a test".to_string(),
        ..Proposal::default()
    }
}
