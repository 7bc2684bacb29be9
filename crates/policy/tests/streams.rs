//! Tests of long transfers: responses that have started, and uploads that cannot be sent again.
mod common;
use common::*;
use lanespan_policy::*;

/// Longer than any request deadline.
const PAST_DEADLINES: u64 = 60 * SECOND;

#[test]
fn a_committed_upload_outlives_its_deadline_and_is_never_retried() {
    for (class, outcome) in [(0, Outcome::ConnectFailed), (2, Outcome::ConnectFailed), (0, Outcome::Rejected)]
    {
        let mut harness = Harness::new(settings(), 2);
        let (id, backend) = harness.forward_one(class);
        harness.handle(Event::UploadCommitted { request: id, attempt: 0 });
        let actions = harness.advance(PAST_DEADLINES);
        assert!(!rejected(&actions, id) && !failed(&actions, id), "the upload continues");
        let out = harness.end_attempt(id, 0, backend, outcome);
        assert!(forwards(&out).is_empty(), "{outcome:?}");
        assert!(rejected(&out, id), "the attempt never ran, so a rejection is safe for every class");
    }
}

#[test]
fn a_committed_upload_that_may_have_run_fails_unless_it_is_idempotent() {
    for (class, safe_to_reject) in [(0, true), (2, false)] {
        let mut harness = Harness::new(settings(), 2);
        let (id, backend) = harness.forward_one(class);
        harness.handle(Event::UploadCommitted { request: id, attempt: 0 });
        let out = harness.end_attempt(id, 0, backend, Outcome::ConnectionReset);
        assert!(forwards(&out).is_empty());
        assert_eq!((rejected(&out, id), failed(&out, id)), (safe_to_reject, !safe_to_reject));
    }
}

#[test]
fn a_client_that_disconnects_cancels_its_committed_upload_but_not_a_started_response() {
    for is_upload in [true, false] {
        let mut harness = Harness::new(settings(), 2);
        let (id, _) = harness.forward_one(0);
        harness.handle(match is_upload {
            true => Event::UploadCommitted { request: id, attempt: 0 },
            false => Event::ResponseStarted { request: id, attempt: 0 },
        });
        let out = harness.handle(Event::ClientDisconnected(id));
        assert_eq!(out.contains(&Action::CancelAttempt { request: id, attempt: 0 }), is_upload);
    }
}

#[test]
fn a_stream_counts_in_selection_but_not_against_the_concurrency_limit() {
    let mut harness = Harness::new(settings(), 2);
    let initial_items = harness.engine.tracked_items();
    let streams: Vec<_> = (0..40)
        .map(|_| {
            let (id, backend) = harness.forward_one(0);
            harness.handle(Event::ResponseStarted { request: id, attempt: 0 });
            (id, backend)
        })
        .collect();
    let on = |backend| streams.iter().filter(|(_, s)| *s == BackendId(backend)).count();
    assert!(on(0).abs_diff(on(1)) <= 4, "{} and {}", on(0), on(1));
    // Streams end late because their clients are slow, which must not count against the backends.
    harness.advance(PAST_DEADLINES);
    streams.iter().for_each(|(id, backend)| drop(harness.end_attempt(*id, 0, *backend, Outcome::Success)));
    let (id, backend) = harness.forward_one(0);
    harness.end_attempt(id, 0, backend, Outcome::Success);
    harness.advance(PAST_DEADLINES);
    assert_eq!(harness.engine.tracked_items(), initial_items, "ended streams leave no state");
}

#[test]
fn responses_that_break_after_their_start_count_against_their_backend() {
    let mut harness = Harness::new(settings(), 4);
    let mut last = 0;
    for i in 0..200 {
        harness.advance(20 * MILLISECOND);
        let (id, backend) = harness.forward_one(0);
        let is_faulty = backend == BackendId(0);
        last = if is_faulty { i } else { last };
        harness.handle(Event::ResponseStarted { request: id, attempt: 0 });
        let end = AttemptResult {
            request: id,
            attempt: 0,
            backend,
            outcome: if is_faulty { Outcome::ConnectionReset } else { Outcome::Success },
            elapsed: Micros(50 * MILLISECOND),
            request_answered: true,
            settled_units: None,
            load_report: LoadReport::default(),
        };
        harness.handle(Event::AttemptEnded(end));
    }
    let hits = |harness: &Harness| {
        harness
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Forward { backend, .. } if *backend == BackendId(0)))
            .count()
    };
    assert!(
        (1..30).contains(&hits(&harness)),
        "{} of 200 attempts at the faulty backend, the last at {last}",
        hits(&harness)
    );
}

#[test]
fn a_dropped_response_is_not_retried_and_does_not_count_against_its_backend() {
    let mut harness = Harness::new(settings(), 2);
    for _ in 0..20 {
        let (idempotent, backend) = harness.forward_one(0);
        let out = harness.end_attempt(idempotent, 0, backend, Outcome::ResponseDropped);
        assert!(rejected(&out, idempotent) && forwards(&out).is_empty());
        let (non_idempotent, backend) = harness.forward_one(2);
        let out = harness.end_attempt(non_idempotent, 0, backend, Outcome::ResponseDropped);
        assert!(failed(&out, non_idempotent) && forwards(&out).is_empty(), "the attempt ran");
    }
    let mut seen: Vec<_> = (0..2).map(|_| harness.forward_one(0).1).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 2, "both backends still get attempts");
}
