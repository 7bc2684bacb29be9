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
    fn begin(&mut self) -> CallOrder {
        self.schedule.begin_call(self.now)
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
    assert_eq!(clocked.schedule.next_call_at(), None, "the call in progress is awaited");
    assert_eq!(clocked.answer(call, &changes(8)), Verdict::Apply);
    assert_eq!(clocked.begin().from, Some(8));
}

#[test]
fn the_oldest_call_survives_a_rapid_sequence_of_addresses() {
    let mut clocked = Clocked::new(Some(7));
    let first = clocked.begin();
    let moved = clocked.move_to(2);
    let calls: Vec<CallOrder> = (3..40).map(|port| clocked.move_to(port)).collect();
    let moves = std::iter::once(&moved).chain(&calls);
    let in_progress = moves.filter(|call| clocked.schedule.is_in_progress(call.id)).count();
    assert_eq!(in_progress, MAX_CALLS_IN_PROGRESS - 1, "besides the oldest one");
    assert!(clocked.schedule.is_in_progress(first.id));
    assert_eq!(clocked.answer(first, &changes(8)), Verdict::Apply);
    let oldest = calls.iter().find(|call| clocked.schedule.is_in_progress(call.id)).expect("calls remain");
    for port in 40..80 {
        clocked.move_to(port);
    }
    assert_eq!(clocked.answer(*oldest, &complete(3)), Verdict::Apply);
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
    assert_eq!(clocked.schedule.next_call_at(), Some(clocked.now));
    let fetch = clocked.begin();
    assert!(clocked.schedule.failed(fetch.id, clocked.now));
    assert!(clocked.schedule.next_call_at().is_some());
}

#[test]
fn a_pending_call_is_brought_forward_and_never_put_off_by_a_new_address() {
    for seed in 0..50 {
        let now = Instant::now();
        let mut schedule = Schedule::new(address(1), None, Backoff::new(seed, 4_700), now);
        let pending = schedule.next_call_at().expect("the first call is scheduled");
        for port in 2..20 {
            let before = schedule.next_call_at();
            assert!(schedule.switch_to(address(port), now));
            assert!(schedule.next_call_at() <= before);
        }
        assert!(schedule.next_call_at() <= Some(pending.min(now + MAX_DELAY_AFTER_RELOAD)));
    }
}
