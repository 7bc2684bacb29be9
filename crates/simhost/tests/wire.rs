//! Tests the adapter with valid and invalid input.
use lanespan_simhost::Host;
use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = "START rng_seed=5 balancers=2 my_number=1 classes.count=1 classes.0.name=view \
    classes.0.deadline=3000000 classes.0.on_time=750000 classes.0.effect=pure plans.count=1 plans.0.name=p \
    plans.0.per_second=10.0 plans.0.peak_units=20.0 specifics.counter=true specifics.count_limit=80000 \
    bounds.max_attempts=3 unheard.of=7 zone=a zones=a,b";
const ENDPOINT_LIST: &str = "FLEET gen=1 scope=warm_copy items=1\n\
    ITEM backend=10.0.0.1:80 rack_zone=a model=m pod=0 status=in_service heft=1";

fn run_host(text: &str) -> Result<Vec<String>, String> {
    let mut host = Host::default();
    let mut replies = Vec::new();
    for line in text.lines() {
        replies.extend(host.process_line(line).map_err(|error| error.to_string())?);
    }
    host.finish().map_err(|error| error.to_string())?;
    Ok(replies)
}

fn run_started_instance(lines: &str) -> Result<Vec<String>, String> {
    run_host(&format!("TICK now=1000000\nFOR who=3\n{START}\n{ENDPOINT_LIST}\n{lines}"))
}

const KNOCK: &str =
    "KNOCK ref=9 kind=view user_key=91f03b7c55d20a64 doors=2 plan=p drop_dead=3000000 price_units=2";

#[test]
fn empty_batch_gets_an_empty_reply() {
    assert_eq!(run_host("TICK now=5\nFLUSH").unwrap(), ["EOR\n"]);
}

#[test]
fn request_is_counted_then_routed() {
    let replies = run_started_instance(&format!("{KNOCK}\nFLUSH")).unwrap();
    let add_line = replies[0]
        .lines()
        .find(|l| l.starts_with("ADD_AND_GET") && l.contains("amount=2"))
        .expect("the reply contains an ADD_AND_GET line");
    assert!(replies[0].starts_with("AS who=3\n") && replies[0].ends_with("EOR\n"));
    let book = add_line.split(' ').find(|p| p.starts_with("book=")).unwrap();
    let counter_reply = format!("COUNT_RESULT {book} how=200 result_value=2 took=900");
    let replies = run_started_instance(&format!(
        "{KNOCK}\nFLUSH\nTICK now=1002000\nFOR who=3\nSOMETHING_NEW a=1\n{counter_reply}\nFLUSH"
    ))
    .unwrap();
    assert!(replies[1].contains("ROUTE ref=9 backend=10.0.0.1:80 abandon_at="), "{}", replies[1]);
}

#[test]
fn stopped_instance_sends_no_replies() {
    let replies = run_started_instance(&format!("{KNOCK}\nDOWN\n{KNOCK}\nFLUSH")).unwrap();
    assert_eq!(replies, ["EOR\n"]);
}

#[test]
fn invalid_lines_report_their_line_and_field() {
    let cases = [
        ("KNOCK ref=x", "kind"),
        ("KNOCK ref=9 kind=view plan=p user_key=zz price_units=2", "user_key"),
        ("KNOCK ref=9 kind=nope plan=p user_key=1", "a known class"),
        ("KNOCK ref=99999999999999999999999 kind=view plan=p user_key=1", "ref"),
        ("KNOCK ref=9 kind=view plan=p user_key=1 price_units=-1", "price_units"),
        ("OUTCOME ref=9 backend=10.0.0.1:80 how=777", "how"),
        ("RING", "ref"),
        ("RING ref", "name=value"),
        ("FLEET scope=odd items=0", "scope"),
        ("FLEET scope=total items=2\nFLUSH", "ITEM"),
        ("ITEM backend=b status=in_service", "FLEET"),
    ];
    for (line, field) in cases {
        let error = run_started_instance(&format!("{line}\nFLUSH")).expect_err(line);
        assert!(error.starts_with("line ") && error.contains(field), "{line}: {error}");
        assert_eq!(error.lines().count(), 1);
    }
    assert!(run_host("RING ref=1").is_err(), "outside a batch");
    assert!(run_host("TICK now=5\nFLUSH\nTICK now=4\nFLUSH").is_err(), "time goes backwards");
    assert!(run_host("TICK now=5").is_err(), "batch without FLUSH");
    assert!(run_host("TICK now=5\nRING ref=1\nFLUSH").is_err(), "event without a selected instance");
    let invalid_start = START.replace("balancers=2", "balancers=0");
    assert!(run_host(&format!("TICK now=1\nFOR who=1\n{invalid_start}\nFLUSH")).is_err());
}

#[test]
fn invalid_input_ends_the_program_with_a_one_line_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lanespan-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(b"TICK now=1\nFLUSH\nTICK now=abc\n")
        .expect("the program reads its input");
    let program_output = child.wait_with_output().expect("the program exits");
    assert!(!program_output.status.success());
    assert_eq!(program_output.stdout, b"EOR\n");
    let error = String::from_utf8(program_output.stderr).expect("standard error is UTF-8");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(error.contains("line 3") && error.contains("now"));
}
