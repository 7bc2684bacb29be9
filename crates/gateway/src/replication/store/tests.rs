use super::*;
use lanespan_fleet::replication::document::{Document, LogPosition};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

fn directory() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("lanespan-store-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    let _ = fs::remove_dir_all(&path);
    path
}

fn record(term: u64, index: u64) -> LogRecord {
    LogRecord {
        kind: 0,
        position: LogPosition { term, index },
        data: vec![index as u8; 40],
        context: Vec::new(),
    }
}

fn wait(results: &mut UnboundedReceiver<Result<u64, StoreError>>) -> u64 {
    results.blocking_recv().expect("a result").expect("durable")
}

#[test]
fn a_reopened_store_has_what_was_durable_and_no_second_process_can_open_it() {
    let path = directory();
    let (mut store, nothing) = Store::open(&path, 42).expect("a new one");
    assert_eq!((store.owner().id, nothing), (42, None));
    let mut results = store.take_results().expect("once");
    let mut model = DurableState::bootstrap(&Document::bootstrap(9, &Default::default()), vec![42])
        .expect("it can be encoded");
    store.begin(9, &model).expect("taken");
    assert_eq!(wait(&mut results), 0);
    let hard_state = Some(HardState { term: 2, vote: 42, commit: 3 });
    let snapshot = Snapshot { position: LogPosition { term: 2, index: 4 }, ..model.snapshot.clone() };
    let writes = [
        LogWrite { records: (2..=6).map(|i| record(1, i)).collect(), hard_state, ..LogWrite::default() },
        // A newer leader's entries take the place of those from there on.
        LogWrite { records: vec![record(2, 4)], ..LogWrite::default() },
        LogWrite {
            snapshot: Some(snapshot.clone()),
            base: Some(LogPosition { term: 1, index: 3 }),
            ..LogWrite::default()
        },
        LogWrite { records: vec![record(2, 5)], ..LogWrite::default() },
    ];
    for (number, write) in (1..).zip(&writes) {
        store.write(number, write.clone()).expect("taken");
        assert_eq!(wait(&mut results), number);
        model.apply(write);
    }
    assert_eq!(model.records.len(), 2);
    let second = Store::open(&path, 43).err().expect("refused");
    assert!(second.to_string().contains("plan.redb") && second.to_string().contains("open"), "{second}");
    drop((store, results));
    let read = |path: &Path| loop {
        // The writing thread closes the file when it has seen that the store was dropped.
        match Store::open(path, 43) {
            Err(problem) if problem.to_string().contains("already open") => std::thread::yield_now(),
            read => return read,
        }
    };
    let (store, durable) = read(&path).expect("there");
    assert_eq!((store.owner(), durable), (Owner { id: 42, document: 9 }, Some(model)));
    drop(store);
    assert_eq!(fs::metadata(path.join(FILE)).expect("there").permissions().mode() & 0o777, 0o600);
    let _ = fs::remove_dir_all(&path);
}

#[test]
fn a_store_damaged_at_any_byte_is_rejected_or_intact_and_never_empty() {
    let path = directory();
    let (mut store, _) = Store::open(&path, 42).expect("a new one");
    let mut results = store.take_results().expect("once");
    let model = DurableState::bootstrap(&Document::bootstrap(9, &Default::default()), vec![42])
        .expect("it can be encoded");
    store.begin(9, &model).expect("taken");
    wait(&mut results);
    store.write(1, LogWrite { records: vec![record(1, 2)], ..LogWrite::default() }).expect("taken");
    wait(&mut results);
    drop((store, results));
    // Once its thread has let go of it, and it is closed in order.
    while let Err(problem) = Database::create(path.join(FILE)) {
        assert!(problem.to_string().contains("already open"), "{problem}");
        std::thread::yield_now();
    }
    let bytes = fs::read(path.join(FILE)).expect("there");
    let other = directory();
    fs::create_dir_all(&other).expect("a folder");
    let open_with = |damaged: &[u8]| {
        // Another file each time: the one before may not have been let go of yet.
        let _ = fs::remove_file(other.join(FILE));
        fs::write(other.join(FILE), damaged).expect("written");
        Store::open(&other, 77)
    };
    // Every byte of every value, wherever the file has it.
    let values = [
        seal(name_seed("id"), &42u64),
        seal(name_seed("promise"), &model.hard_state),
        seal(name_seed("snapshot"), &model.snapshot),
        seal(2, &record(1, 2)),
    ];
    for value in values.map(|value| value.expect("it can be encoded")) {
        let held: Vec<usize> =
            (0..bytes.len() - value.len()).filter(|at| bytes[*at..].starts_with(&value)).collect();
        assert!(!held.is_empty());
        for step in 0..value.len() {
            let mut damaged = bytes.clone();
            held.iter().for_each(|at| damaged[at + step] ^= 0x41);
            let problem = open_with(&damaged).err().unwrap_or_else(|| panic!("byte {step} of {value:?}"));
            assert!(problem.to_string().contains("damaged"), "{problem}");
        }
    }
    // And any other place: it reads what was there, or says what is wrong.
    let places: Vec<usize> = (0..bytes.len()).filter(|place| bytes[*place] != 0).collect();
    for place in places.iter().step_by(places.len() / 300 + 1) {
        let mut damaged = bytes.clone();
        damaged[*place] ^= 0x41;
        match open_with(&damaged) {
            Ok((store, Some(durable))) => {
                assert!(store.owner().id == 42 && durable.hard_state == model.hard_state, "byte {place}");
            }
            Ok((store, None)) => panic!("byte {place}: taken for a new one, of {:?}", store.owner()),
            Err(problem) => assert!(problem.to_string().contains("plan.redb"), "{problem}"),
        }
    }
    let _ = (fs::remove_dir_all(&path), fs::remove_dir_all(&other));
}
