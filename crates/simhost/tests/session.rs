//! Replays a recorded session of the simulator's protocol and compares the replies byte for byte.
//!
//! The input contains every message type, list scope and outcome, and invalid lines. The replies depend on the policy
//! engine's decisions: a change that alters decisions on purpose must update the recorded output and say so, and any
//! other change must not affect it.

use lanespan_simhost::Host;

const INPUT: &str = include_str!("fixtures/session.in.txt");
const OUTPUT: &str = include_str!("fixtures/session.out.txt");

/// Returns the replies to the input, with a line `ERROR line N` for each invalid line.
fn replay(input: &str) -> String {
    let mut host = Host::default();
    let mut output = String::new();
    for line in input.lines() {
        match host.process_line(line) {
            Ok(reply) => output.push_str(&reply.unwrap_or_default()),
            Err(error) => {
                let error = error.to_string();
                let place = error.split(": ").next().expect("the error starts with its line");
                output.push_str(&format!("ERROR {place}\n"));
            }
        }
    }
    if host.finish().is_err() {
        output.push_str("ERROR at the end\n");
    }
    output
}

#[test]
fn replayed_session_produces_the_recorded_replies() {
    let output = replay(INPUT);
    let first_difference =
        output.lines().zip(OUTPUT.lines()).position(|(actual, recorded)| actual != recorded);
    assert!(
        output == OUTPUT,
        "replies differ from line {}: {} lines, {} recorded",
        first_difference.map_or(0, |line| line + 1),
        output.lines().count(),
        OUTPUT.lines().count()
    );
}

#[test]
fn recorded_session_covers_every_message_and_reply() {
    let contains =
        |text: &str, part: &str| text.lines().any(|line| line.starts_with(part) || line.contains(part));
    let messages = [
        "TICK ",
        "FOR ",
        "START ",
        "DOWN",
        "FLUSH",
        "KNOCK ",
        "RING ",
        "FIRST_BYTE ",
        "TIMED_OUT_CLIENT ",
        "PONG ",
        "COUNT_RESULT ",
        "OUTCOME ",
        "FLEET ",
        "ITEM ",
    ];
    let values = [
        "scope=incr",
        "scope=total",
        "scope=warm_copy",
        "scope=lost",
        "status=in_service",
        "status=terminating",
        "status=terminated",
        "how=200",
        "how=500",
        "how=503",
        "how=504",
        "how=502",
        "how=598",
        "how=499",
        "how=410",
        "settled=",
        "report=",
        "resent=1",
        "last_start=",
        "membership_mode=subscribe",
    ];
    for part in messages.iter().chain(&values) {
        assert!(contains(INPUT, part), "{part}");
    }
    let replies = [
        "AS who=",
        "ROUTE ",
        "REJECT ",
        "backoff=",
        "FINISH_ERROR ",
        "ABANDON ",
        "ADD_AND_GET ",
        "WAKE_ME ",
        "LISTEN active=1",
        "EOR",
        "ERROR ",
    ];
    for part in replies {
        assert!(contains(OUTPUT, part), "{part}");
    }
}
