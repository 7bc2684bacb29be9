//! A simulated network of voters, each with its own store, for tests and measurements. The same seed gives the same
//! history. Times are in microseconds.

use super::document::{Document, Entry, Proposal, Verdict, SCHEMA_VERSION, VOTERS_SECTION};
use super::log::{DurableState, LogWrite};
use super::voter::{Output, ProposeError, Voter, VoterChange};
use super::wire::RaftMessage;
use std::collections::{BTreeMap, HashSet};
use std::ops::RangeInclusive;

/// The duration of a voter's tick.
pub const TICK_US: u64 = 20_000;
/// The id of the document that the simulated voters replicate.
const DOCUMENT_ID: u64 = 7;

/// The conditions of the network and the stores.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that are delivered twice.
    pub duplication: f64,
    /// The delay of messages.
    pub delay: RangeInclusive<u64>,
    /// The duration of writes.
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

/// A simulated voter with its store.
pub struct SimVoter {
    /// The voter; `None` while it is not running.
    pub voter: Option<Voter>,
    /// The durable state.
    pub disk: DurableState,
    /// The duration of this voter's writes, where it differs from the network's conditions.
    pub write_time: Option<RangeInclusive<u64>>,
    pending_write: Option<(u64, LogWrite)>,
    incarnation: u32,
    stalled_until: u64,
    /// The events that arrived while the voter was stalled.
    backlog: Vec<Event>,
    /// The decisions that the voter reported in all its incarnations: time, proposal id and verdict.
    pub decided: Vec<(u64, u64, Verdict)>,
    /// The entries that the voter applied in its current incarnation.
    pub entries: Vec<Entry>,
    /// The confirmations of leadership that the voter reported: time and number.
    pub confirmed: Vec<(u64, u64)>,
    /// Why the voter halted or could not start.
    pub halted: Option<String>,
    /// The speed of the voter's clock; 1 is exact.
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

/// A simulated network of voters.
pub struct Network {
    /// The voters; the id of each is its index plus one.
    pub voters: Vec<SimVoter>,
    /// The conditions of the network and the stores.
    pub conditions: Conditions,
    /// The links that are cut: sender and receiver.
    pub cut: HashSet<(usize, usize)>,
    /// The current time.
    pub now: u64,
    /// The generator of all random draws.
    pub rng: fastrand::Rng,
    /// The number of the last scheduled event. Events of the same time are handled in the order of these numbers.
    last_event_number: u64,
    scheduled: BTreeMap<(u64, u64), Event>,
    /// The number of messages sent.
    pub sent: u64,
}

impl Network {
    /// Creates a network of initial voters and of spare ones that can be added as voters. All are started.
    pub fn new(initial_voters: usize, spare_voters: usize, seed: u64) -> Network {
        let voter_items =
            (0..initial_voters).map(|index| (format!("g{index}"), (index + 1).to_string())).collect();
        let document = Document::bootstrap(DOCUMENT_ID, &voter_items);
        let initial_state = DurableState::bootstrap(&document, (1..=initial_voters as u64).collect());
        let initial_state = initial_state.unwrap_or_else(|_| DurableState::empty());
        let voter_count = initial_voters + spare_voters;
        let initial_disk =
            |index: usize| if index < initial_voters { initial_state.clone() } else { DurableState::empty() };
        let mut network = Network {
            voters: (0..voter_count).map(|index| SimVoter::new(initial_disk(index))).collect(),
            conditions: Conditions::default(),
            cut: HashSet::new(),
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            last_event_number: 0,
            scheduled: BTreeMap::new(),
            sent: 0,
        };
        for index in 0..voter_count {
            network.start(index);
        }
        network
    }

    /// Starts a voter from its durable state; false if it can't start from that state.
    pub fn start(&mut self, index: usize) -> bool {
        let seed = self.rng.u64(..);
        let sim_voter = &mut self.voters[index];
        sim_voter.incarnation += 1;
        sim_voter.stalled_until = 0;
        sim_voter.pending_write = None;
        sim_voter.backlog.clear();
        sim_voter.entries.clear();
        let voter = Voter::new(index as u64 + 1, DOCUMENT_ID, &sim_voter.disk, seed);
        sim_voter.halted = voter.as_ref().err().map(ToString::to_string);
        sim_voter.voter = voter.ok();
        let incarnation = sim_voter.incarnation;
        let first_tick = self.rng.u64(..TICK_US);
        self.schedule(first_tick, Event::Tick { voter: index, incarnation });
        self.handle_outputs(index);
        self.voters[index].voter.is_some()
    }

    /// Crashes a voter. A pending write is either lost or made durable, at random.
    pub fn crash(&mut self, index: usize) {
        let survives = self.rng.bool();
        let sim_voter = &mut self.voters[index];
        sim_voter.voter = None;
        if let Some((_, write)) = sim_voter.pending_write.take().filter(|_| survives) {
            sim_voter.disk.apply(&write);
        }
    }

    /// Stalls a voter for a duration.
    pub fn stall(&mut self, index: usize, duration: u64) {
        self.voters[index].stalled_until = self.now + duration;
        self.schedule(duration, Event::StallEnds { voter: index });
    }

    /// Cuts all links between these voters and the others, in both directions.
    pub fn partition(&mut self, side: &[usize]) {
        for from in 0..self.voters.len() {
            for to in 0..self.voters.len() {
                if side.contains(&from) != side.contains(&to) {
                    self.cut.insert((from, to));
                }
            }
        }
    }

    /// Returns the voter that acts as the leader in the latest term.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..self.voters.len()).filter(|index| self.voters[*index].is_leader());
        leaders.max_by_key(|index| self.voters[*index].voter.as_ref().map(Voter::log_position))
    }

    /// Proposes to a voter to set the register to this value.
    pub fn propose(
        &mut self,
        index: usize,
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
        self.with_voter(index, |voter| voter.propose(&proposal))
    }

    /// Proposes to a voter to add or remove a voter.
    pub fn change_voters(&mut self, index: usize, id: u64, change: VoterChange) -> Result<(), ProposeError> {
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
        self.with_voter(index, |voter| voter.change_voters(change, &proposal))
    }

    /// Runs an action on a voter, and fails if the voter is not running.
    pub fn with_voter<T>(
        &mut self,
        index: usize,
        action: impl FnOnce(&mut Voter) -> Result<T, ProposeError>,
    ) -> Result<T, ProposeError> {
        let Some(voter) = &mut self.voters[index].voter else { return Err(ProposeError::NotLeader(None)) };
        let result = action(voter);
        self.handle_outputs(index);
        result
    }

    /// Runs the simulation for a duration.
    pub fn run(&mut self, duration: u64) {
        // The condition never holds, so there is no time to report.
        let _ = self.run_until(duration, |_| false);
    }

    /// Runs the simulation until a condition holds, and returns the elapsed time; `None` if it does not hold within
    /// `duration`.
    pub fn run_until(&mut self, duration: u64, condition: impl Fn(&Network) -> bool) -> Option<u64> {
        let start = self.now;
        let end = self.now + duration;
        loop {
            if condition(self) {
                return Some(self.now - start);
            }
            let next_event = self.scheduled.first_entry().filter(|entry| entry.key().0 <= end);
            let Some(next_event) = next_event else {
                self.now = end;
                return None;
            };
            let ((at, _), event) = next_event.remove_entry();
            self.now = at;
            self.handle(event);
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.last_event_number += 1;
        self.scheduled.insert((self.now + after, self.last_event_number), event);
    }

    fn handle(&mut self, event: Event) {
        let index = event.voter();
        let sim_voter = &mut self.voters[index];
        if self.now < sim_voter.stalled_until {
            return sim_voter.backlog.push(event);
        }
        match event {
            Event::Tick { incarnation, .. } => self.handle_tick(index, incarnation),
            Event::MessageArrives { message, .. } => {
                if let Some(voter) = &mut sim_voter.voter {
                    voter.receive(&message);
                }
            }
            Event::WriteDone { incarnation, number, .. } => sim_voter.finish_write(incarnation, number),
            Event::StallEnds { .. } => {
                let backlog = std::mem::take(&mut sim_voter.backlog);
                backlog.into_iter().for_each(|event| self.handle(event));
            }
        }
        self.handle_outputs(index);
    }

    fn handle_tick(&mut self, index: usize, incarnation: u32) {
        let sim_voter = &mut self.voters[index];
        if incarnation != sim_voter.incarnation {
            return;
        }
        let Some(voter) = &mut sim_voter.voter else { return };
        voter.tick();
        let until_next_tick = (TICK_US as f64 / sim_voter.speed) as u64;
        self.schedule(until_next_tick, Event::Tick { voter: index, incarnation });
    }

    fn handle_outputs(&mut self, index: usize) {
        let Some(voter) = &mut self.voters[index].voter else { return };
        for output in voter.poll_outputs() {
            self.handle_output(index, output);
        }
    }

    fn handle_output(&mut self, index: usize, output: Output) {
        let now = self.now;
        let sim_voter = &mut self.voters[index];
        match output {
            Output::Send(message) => self.send(index, message),
            Output::Write { number, write } => {
                let write_time =
                    sim_voter.write_time.clone().unwrap_or_else(|| self.conditions.write_time.clone());
                let incarnation = sim_voter.incarnation;
                sim_voter.pending_write = Some((number, write));
                let after = self.rng.u64(write_time);
                self.schedule(after, Event::WriteDone { voter: index, incarnation, number });
            }
            Output::Decided { id, verdict, entry } => {
                sim_voter.decided.push((now, id, verdict));
                sim_voter.entries.extend(entry);
            }
            Output::LeadershipConfirmed(number) => sim_voter.confirmed.push((now, number)),
            Output::Halted(reason) => sim_voter.halted = Some(reason.to_string()),
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
        let deliveries = 1 + usize::from(self.rng.f64() < self.conditions.duplication);
        for _ in 0..deliveries {
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
