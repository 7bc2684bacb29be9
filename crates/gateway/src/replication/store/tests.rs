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

fn wait_for_write(results: &mut UnboundedReceiver<Result<u64, StoreError>>) -> u64 {
    results.blocking_recv().expect("a result arrives").expect("the write is durable")
}

/// A store must not lose or alter a durable write, be opened twice at once, or be readable by other users.
#[test]
fn reopened_store_returns_the_durable_state_and_an_open_store_cannot_be_opened_again() {
    let path = directory();
    let (mut store, initial_durable) = Store::open(&path, 42).expect("the store is created");
    assert_eq!((store.owner().id, initial_durable), (42, None));
    let mut results = store.take_results().expect("the results are available");
    let mut model = DurableState::bootstrap(&Document::bootstrap(9, &Default::default()), vec![42])
        .expect("the document is encoded");
    store.initialize(9, &model).expect("the store accepts the initial state");
    assert_eq!(wait_for_write(&mut results), 0);
    let hard_state = Some(HardState { term: 2, vote: 42, commit: 3 });
    let snapshot = Snapshot { position: LogPosition { term: 2, index: 4 }, ..model.snapshot.clone() };
    let writes = [
        LogWrite { records: (2..=6).map(|i| record(1, i)).collect(), hard_state, ..LogWrite::default() },
        // Entries of a newer leader replace the existing ones from their index on.
        LogWrite { records: vec![record(2, 4)], ..LogWrite::default() },
        LogWrite {
            snapshot: Some(snapshot.clone()),
            base: Some(LogPosition { term: 1, index: 3 }),
            ..LogWrite::default()
        },
        LogWrite { records: vec![record(2, 5)], ..LogWrite::default() },
    ];
    for (number, write) in (1..).zip(&writes) {
        store.write(number, write.clone()).expect("the store accepts the write");
        assert_eq!(wait_for_write(&mut results), number);
        model.apply(write);
    }
    assert_eq!(model.records.len(), 2);
    let second_open = Store::open(&path, 43).err().expect("the second open is rejected");
    assert!(
        second_open.to_string().contains("plan.redb") && second_open.to_string().contains("open"),
        "{second_open}"
    );
    drop((store, results));
    let reopen = |path: &Path| loop {
        // The writer thread closes the file some time after the store is dropped.
        match Store::open(path, 43) {
            Err(problem) if problem.to_string().contains("already open") => std::thread::yield_now(),
            result => return result,
        }
    };
    let (store, durable) = reopen(&path).expect("the store is opened");
    assert_eq!((store.owner(), durable), (Owner { id: 42, document: 9 }, Some(model)));
    drop(store);
    assert_eq!(
        fs::metadata(path.join(FILE_NAME)).expect("the file exists").permissions().mode() & 0o777,
        0o600
    );
    let _ = fs::remove_dir_all(&path);
}

/// A damaged store must not be treated as new or return other values. Changes each byte of the stored values in turn,
/// then about 300 of the non-zero bytes of the file.
#[test]
fn store_with_a_damaged_byte_is_rejected_or_read_intact_and_never_treated_as_new() {
    let path = directory();
    let (mut store, _) = Store::open(&path, 42).expect("the store is created");
    let mut results = store.take_results().expect("the results are available");
    let model = DurableState::bootstrap(&Document::bootstrap(9, &Default::default()), vec![42])
        .expect("the document is encoded");
    store.initialize(9, &model).expect("the store accepts the initial state");
    wait_for_write(&mut results);
    store
        .write(1, LogWrite { records: vec![record(1, 2)], ..LogWrite::default() })
        .expect("the store accepts the write");
    wait_for_write(&mut results);
    drop((store, results));
    // Waits until the writer thread has closed the file cleanly.
    while let Err(problem) = Database::create(path.join(FILE_NAME)) {
        assert!(problem.to_string().contains("already open"), "{problem}");
        std::thread::yield_now();
    }
    let bytes = fs::read(path.join(FILE_NAME)).expect("the file is read");
    let other_directory = directory();
    fs::create_dir_all(&other_directory).expect("the directory is created");
    let open_damaged = |damaged: &[u8]| {
        // Uses a new file each time, because the previous one may still be open.
        let _ = fs::remove_file(other_directory.join(FILE_NAME));
        fs::write(other_directory.join(FILE_NAME), damaged).expect("the damaged file is written");
        Store::open(&other_directory, 77)
    };
    // Every byte of every value, in each place where the file contains the value.
    let values = [
        encode_with_checksum(checksum_seed("id"), &42u64),
        encode_with_checksum(checksum_seed("promise"), &model.hard_state),
        encode_with_checksum(checksum_seed("snapshot"), &model.snapshot),
        encode_with_checksum(2, &record(1, 2)),
    ];
    for value in values.map(|value| value.expect("the value is encoded")) {
        let value_offsets: Vec<usize> =
            (0..bytes.len() - value.len()).filter(|start| bytes[*start..].starts_with(&value)).collect();
        assert!(!value_offsets.is_empty());
        for byte in 0..value.len() {
            let mut damaged = bytes.clone();
            value_offsets.iter().for_each(|start| damaged[start + byte] ^= 0x41);
            let problem = open_damaged(&damaged).err().unwrap_or_else(|| panic!("byte {byte} of {value:?}"));
            assert!(problem.to_string().contains("damaged"), "{problem}");
        }
    }
    // A sample of all non-zero bytes: the store returns the original values, or an error that names the file.
    let offsets: Vec<usize> = (0..bytes.len()).filter(|offset| bytes[*offset] != 0).collect();
    for offset in offsets.iter().step_by(offsets.len() / 300 + 1) {
        let mut damaged = bytes.clone();
        damaged[*offset] ^= 0x41;
        match open_damaged(&damaged) {
            Ok((store, Some(durable))) => {
                assert!(store.owner().id == 42 && durable.hard_state == model.hard_state, "byte {offset}");
            }
            Ok((store, None)) => panic!("byte {offset}: treated as a new store of {:?}", store.owner()),
            Err(problem) => assert!(problem.to_string().contains("plan.redb"), "{problem}"),
        }
    }
    let _ = (fs::remove_dir_all(&path), fs::remove_dir_all(&other_directory));
}
