use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn complete(revision: u64) -> EndpointList {
    EndpointList { revision, complete: true, ..EndpointList::default() }
}

fn changes(revision: u64) -> EndpointList {
    EndpointList { revision, ..EndpointList::default() }
}

/// A schedule without delays, and the time at which it is asked.
struct Clocked {
    schedule: Schedule,
    now: Instant,
}

impl Clocked {
    fn new(known_revision: Option<u64>) -> Clocked {
        let now = Instant::now();
        Clocked { schedule: Schedule::new(address(1), known_revision, Backoff::new(1, 0), now), now }
    }
    /// Takes the next step when it is due.
    fn step(&mut self) -> Step {
        self.now = self.now.max(self.schedule.next_step_at());
        self.schedule.step(self.now)
    }
    /// Steps until a call begins.
    fn begin(&mut self) -> CallOrder {
        loop {
            if let Step::Call(order) = self.step() {
                return order;
            }
        }
    }
    fn move_to(&mut self, port: u16) -> CallOrder {
        assert!(self.schedule.switch_to(address(port), self.now));
        self.begin()
    }
    fn answer(&mut self, call: CallOrder, list: &EndpointList) -> Verdict {
        self.schedule.answered(call.id, list, self.now)
    }
}

#[test]
fn the_same_address_changes_nothing() {
    let mut clocked = Clocked::new(Some(7));
    let call = clocked.begin();
    assert!(!clocked.schedule.switch_to(address(1), clocked.now));
    assert!(matches!(clocked.schedule.next_step, NextStep::Late(_)), "the call in progress is awaited");
    assert_eq!(clocked.answer(call, &changes(8)), Verdict::Apply);
    assert_eq!(clocked.begin().from, Some(8));
}

#[test]
fn the_oldest_call_survives_a_rapid_sequence_of_addresses() {
    let mut clocked = Clocked::new(Some(7));
    let silent_watches: Vec<CallOrder> = (0..MAX_CALLS_IN_PROGRESS).map(|_| clocked.begin()).collect();
    let calls: Vec<CallOrder> = (2..40).map(|port| clocked.move_to(port)).collect();
    assert!(
        !silent_watches.iter().any(|call| clocked.schedule.is_in_progress(call.id)),
        "calls to the address whose list is in use make room first"
    );
    let in_progress: Vec<&CallOrder> =
        calls.iter().filter(|call| clocked.schedule.is_in_progress(call.id)).collect();
    assert_eq!(in_progress.len(), MAX_CALLS_IN_PROGRESS);
    assert_eq!(in_progress[0].id, calls[0].id);
    assert_eq!(clocked.answer(calls[0], &complete(3)), Verdict::Apply);
    for port in 40..80 {
        clocked.move_to(port);
    }
    assert_eq!(clocked.answer(*in_progress[1], &complete(4)), Verdict::Apply);
}

#[test]
fn an_earlier_address_undoes_nothing_that_a_later_one_told() {
    let mut clocked = Clocked::new(None);
    let [first, second, third] = [clocked.begin(), clocked.move_to(2), clocked.move_to(3)];
    assert_eq!(clocked.answer(second, &complete(50)), Verdict::Apply);
    assert!(!clocked.schedule.is_in_progress(first.id));
    assert_eq!(clocked.answer(first, &complete(60)), Verdict::Outdated);
    assert_eq!(clocked.answer(third, &complete(2)), Verdict::Apply);
    assert_eq!(clocked.begin().from, Some(2), "the revision of the configured discovery");
}

#[test]
fn of_the_address_in_use_only_changes_are_applied_once_it_has_been_replaced() {
    for (list, verdict) in [
        (changes(8), Verdict::Apply),
        (changes(7), Verdict::Apply),
        (changes(6), Verdict::Outdated),
        (complete(8), Verdict::Outdated),
    ] {
        let mut clocked = Clocked::new(Some(7));
        let watch = clocked.begin();
        let fetch = clocked.move_to(2);
        assert_eq!(clocked.answer(watch, &list), verdict, "{list:?}");
        assert_eq!(clocked.answer(fetch, &changes(9)), Verdict::DoesNotFollow { known_revision: None });
    }
}

#[test]
fn a_failure_at_an_earlier_address_does_not_delay_the_call_to_the_configured_one() {
    let mut clocked = Clocked::new(Some(7));
    let watch = clocked.begin();
    assert!(clocked.schedule.switch_to(address(2), clocked.now));
    assert!(!clocked.schedule.failed(watch.id, clocked.now));
    assert_eq!(clocked.schedule.next_step_at(), clocked.now);
    let fetch = clocked.begin();
    assert!(clocked.schedule.failed(fetch.id, clocked.now));
    assert!(matches!(clocked.schedule.next_step, NextStep::Call(_)));
}

#[test]
fn a_pending_call_is_brought_forward_and_never_put_off_by_a_new_address() {
    for seed in 0..50 {
        let now = Instant::now();
        let mut schedule = Schedule::new(address(1), None, Backoff::new(seed, 4_700), now);
        let pending = schedule.next_step_at();
        for port in 2..20 {
            let before = schedule.next_step_at();
            assert!(schedule.switch_to(address(port), now));
            assert!(schedule.next_step_at() <= before);
        }
        assert!(schedule.next_step_at() <= pending.min(now + MAX_DELAY_AFTER_RELOAD));
    }
}

#[test]
fn a_late_call_goes_on_beside_the_next_one_and_either_may_answer() {
    for known_revision in [None, Some(7)] {
        for answered in 0..4 {
            let mut clocked = Clocked::new(known_revision);
            let calls: Vec<CallOrder> = (0..4).map(|_| clocked.begin()).collect();
            assert!(calls.iter().all(|call| clocked.schedule.is_in_progress(call.id)));
            assert_eq!(clocked.answer(calls[answered], &complete(8)), Verdict::Apply);
            assert!(!calls.iter().any(|call| clocked.schedule.is_in_progress(call.id)));
            assert_eq!(clocked.schedule.next_step_at(), clocked.now, "the watch goes on at once");
            assert_eq!(clocked.begin().from, Some(8));
        }
    }
}

#[test]
fn a_later_poll_goes_on_after_a_late_answer_without_changes() {
    let mut clocked = Clocked::new(Some(7));
    let [first, second] = [clocked.begin(), clocked.begin()];
    assert_eq!(clocked.answer(first, &changes(7)), Verdict::Apply);
    assert!(clocked.schedule.is_in_progress(second.id));
    assert!(clocked.schedule.next_step_at() > clocked.now, "the second poll is awaited");
    let third = clocked.begin();
    assert_eq!(clocked.answer(third, &changes(7)), Verdict::Apply);
    assert!(!clocked.schedule.is_in_progress(second.id), "an older poll is lost");
}

#[test]
fn a_failed_call_leaves_its_successor_alone() {
    let mut clocked = Clocked::new(None);
    let [first, second] = [clocked.begin(), clocked.begin()];
    let late_at = clocked.schedule.next_step_at();
    assert!(clocked.schedule.failed(first.id, clocked.now));
    assert!(clocked.schedule.is_in_progress(second.id));
    assert_eq!(clocked.schedule.next_step_at(), late_at);
    assert!(clocked.schedule.failed(second.id, clocked.now));
    assert!(clocked.schedule.next_step_at() < late_at);
}

#[test]
fn the_oldest_of_many_late_calls_stays_in_progress() {
    let mut clocked = Clocked::new(None);
    let calls: Vec<CallOrder> = (0..9).map(|_| clocked.begin()).collect();
    let in_progress = calls.iter().filter(|call| clocked.schedule.is_in_progress(call.id));
    let ids: Vec<CallId> = in_progress.map(|call| call.id).collect();
    assert_eq!(ids, [0, 6, 7, 8].map(|index: usize| calls[index].id));
}

#[test]
fn calls_begin_neither_sooner_nor_later_than_the_interval_allows() {
    for gateways in [0, 2, 300, 4_700] {
        for known_revision in [None, Some(7)] {
            for seed in 0..20 {
                let now = Instant::now();
                let schedule = Schedule::new(address(1), known_revision, Backoff::new(seed, gateways), now);
                let mut clocked = Clocked { schedule, now };
                clocked.begin();
                for _ in 0..20 {
                    let before = clocked.now;
                    clocked.begin();
                    let interval = clocked.now - before;
                    assert!(interval >= LATE_LIST, "{interval:?}");
                    assert!(interval <= MAX_CALL_INTERVAL, "{interval:?}");
                }
            }
        }
    }
}
