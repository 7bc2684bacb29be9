//! Stores a voter's state in an embedded database (redb), in a directory that one process owns. A separate thread
//! writes to it, because a sync may take long. Each value has a checksum over its key and its bytes.

use lanespan_fleet::replication::log::{DurableState, HardState, LogWrite};
use lanespan_fleet::replication::wire::{LogRecord, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Display;
use std::fs;
use std::os::unix::fs::{DirBuilderExt, PermissionsExt};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::mpsc;
use thiserror::Error;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The name of the database file in the store's directory.
const FILE_NAME: &str = "plan.redb";
/// The table of values that exist once.
const SINGLE_VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("once");
/// The table of log records by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// Keys of [`SINGLE_VALUES`].
mod key {
    /// The voter's id.
    pub const ID: &str = "id";
    /// The document's id.
    pub const DOCUMENT: &str = "plan";
    /// Raft's hard state.
    pub const HARD_STATE: &str = "promise";
    /// The position before the oldest record.
    pub const BASE: &str = "base";
    /// The newest snapshot.
    pub const SNAPSHOT: &str = "snapshot";
}

/// Why a store can't be opened or written.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store in this file can't be opened.
    #[error("{path}: {cause}")]
    Open {
        /// The file.
        path: String,
        /// The cause.
        cause: Box<StoreError>,
    },
    /// The file system reported an error.
    #[error("{0}")]
    FileSystem(String),
    /// The database reported an error.
    #[error("{0}")]
    Database(String),
    /// A value or the entire file is damaged.
    #[error("{0} is damaged")]
    Damaged(String),
    /// A value that must exist is missing.
    #[error("the value '{0}' is missing")]
    Missing(String),
    /// A value can't be encoded.
    #[error("a value can't be encoded: {0}")]
    Encoding(postcard::Error),
    /// The writer thread has ended.
    #[error("the store's writer thread has ended")]
    WriterEnded,
}

fn file_system_error(error: impl Display) -> StoreError {
    StoreError::FileSystem(error.to_string())
}

fn database_error(error: impl Display) -> StoreError {
    StoreError::Database(error.to_string())
}

/// The voter that a store belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The voter's id. It is generated when the store is created, so that an empty store is a new voter.
    pub id: u64,
    /// The id of the document that it votes on; 0: none yet.
    pub document: u64,
}

/// The number of a write that became durable, or the error. Number 0 stands for [`Store::initialize`].
pub type WriteResult = Result<u64, StoreError>;

/// A voter's store.
pub struct Store {
    jobs: mpsc::Sender<Job>,
    results: Option<UnboundedReceiver<WriteResult>>,
    owner: Owner,
}

enum Job {
    Write {
        number: u64,
        write: Box<LogWrite>,
    },
    /// Replaces all contents with the initial state on a document.
    Initialize {
        owner: Owner,
        durable: Box<DurableState>,
    },
}

impl Store {
    /// Opens the store in a directory, or creates one with this id. Also returns the durable state, if the voter has
    /// started to vote on a document.
    pub fn open(directory: &Path, new_id: u64) -> Result<(Store, Option<DurableState>), StoreError> {
        let path = directory.join(FILE_NAME);
        let opened = open_database(directory, &path, new_id);
        let opened = opened
            .map_err(|cause| StoreError::Open { path: path.display().to_string(), cause: Box::new(cause) })?;
        let (jobs, job_receiver) = mpsc::channel();
        let (result_sender, results) = unbounded_channel();
        let database = opened.database;
        std::thread::spawn(move || run_jobs(&database, &job_receiver, &result_sender));
        Ok((Store { jobs, results: Some(results), owner: opened.owner }, opened.durable))
    }

    /// Returns the voter that the store belongs to.
    pub fn owner(&self) -> Owner {
        self.owner
    }

    /// Takes the receiver of the results of writes. Returns `None` after the first call.
    pub fn take_results(&mut self) -> Option<UnboundedReceiver<WriteResult>> {
        self.results.take()
    }

    /// Starts a write. Its number is sent as a result once it is durable.
    pub fn write(&self, number: u64, write: LogWrite) -> Result<(), StoreError> {
        let job = Job::Write { number, write: Box::new(write) };
        self.jobs.send(job).map_err(|_| StoreError::WriterEnded)
    }

    /// Starts to write the initial state on a document. Number 0 is sent as a result once it is durable.
    pub fn initialize(&mut self, document: u64, durable: &DurableState) -> Result<(), StoreError> {
        self.owner.document = document;
        let job = Job::Initialize { owner: self.owner, durable: Box::new(durable.clone()) };
        self.jobs.send(job).map_err(|_| StoreError::WriterEnded)
    }
}

struct OpenedDatabase {
    database: Database,
    owner: Owner,
    durable: Option<DurableState>,
}

fn open_database(directory: &Path, path: &Path, new_id: u64) -> Result<OpenedDatabase, StoreError> {
    if !directory.exists() {
        fs::DirBuilder::new().recursive(true).mode(0o700).create(directory).map_err(file_system_error)?;
    }
    // The database library may panic on a damaged file.
    let opening = || {
        let database = Database::create(path).map_err(database_error)?;
        let contents = read_contents(&database)?;
        Ok::<_, StoreError>((database, contents))
    };
    let damaged = Err(StoreError::Damaged("the database".to_string()));
    let (database, contents) = catch_unwind(AssertUnwindSafe(opening)).unwrap_or(damaged)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600)).map_err(file_system_error)?;
    let (owner, durable) = match contents {
        Some(contents) => contents,
        None => (create_owner(&database, new_id)?, None),
    };
    Ok(OpenedDatabase { database, owner, durable })
}

fn create_owner(database: &Database, id: u64) -> Result<Owner, StoreError> {
    let owner = Owner { id, document: 0 };
    let transaction = database.begin_write().map_err(database_error)?;
    put(&transaction, key::ID, &owner.id)?;
    put(&transaction, key::DOCUMENT, &owner.document)?;
    transaction.open_table(LOG).map_err(database_error)?;
    transaction.commit().map_err(database_error)?;
    Ok(owner)
}

/// Executes jobs until the store is dropped or a job fails, because after a failed sync no later write can be treated
/// as durable.
fn run_jobs(database: &Database, jobs: &mpsc::Receiver<Job>, result_sender: &UnboundedSender<WriteResult>) {
    while let Ok(job) = jobs.recv() {
        let result = run_job(database, &job);
        let failed = result.is_err();
        if result_sender.send(result).is_err() || failed {
            return;
        }
    }
}

/// Executes a job in one transaction, and returns once it is durable.
fn run_job(database: &Database, job: &Job) -> WriteResult {
    let transaction = database.begin_write().map_err(database_error)?;
    let number = match job {
        Job::Initialize { owner, durable } => {
            put_initial_state(&transaction, *owner, durable)?;
            0
        }
        Job::Write { number, write } => {
            put_write(&transaction, write)?;
            *number
        }
    };
    transaction.commit().map_err(database_error)?;
    Ok(number)
}

fn put_initial_state(
    transaction: &WriteTransaction,
    owner: Owner,
    durable: &DurableState,
) -> Result<(), StoreError> {
    transaction.delete_table(LOG).map_err(database_error)?;
    put(transaction, key::ID, &owner.id)?;
    put(transaction, key::DOCUMENT, &owner.document)?;
    put(transaction, key::HARD_STATE, &durable.hard_state)?;
    put(transaction, key::BASE, &durable.base)?;
    put(transaction, key::SNAPSHOT, &durable.snapshot)?;
    put_records(transaction, &durable.records)
}

fn put_write(transaction: &WriteTransaction, write: &LogWrite) -> Result<(), StoreError> {
    if let Some(snapshot) = &write.snapshot {
        put(transaction, key::SNAPSHOT, snapshot)?;
    }
    // A snapshot without a base was sent by the leader and replaces the entire log.
    let installed = write.snapshot.as_ref().filter(|_| write.base.is_none());
    if installed.is_some() {
        transaction.delete_table(LOG).map_err(database_error)?;
    }
    if let Some(base) = write.base.or(installed.map(|snapshot| snapshot.position)) {
        put(transaction, key::BASE, &base)?;
        let mut table = transaction.open_table(LOG).map_err(database_error)?;
        table.retain_in(..=base.index, |_, _| false).map_err(database_error)?;
    }
    put_records(transaction, &write.records)?;
    if let Some(hard_state) = &write.hard_state {
        put(transaction, key::HARD_STATE, hard_state)?;
    }
    Ok(())
}

fn put<T: Serialize>(transaction: &WriteTransaction, name: &str, value: &T) -> Result<(), StoreError> {
    let mut table = transaction.open_table(SINGLE_VALUES).map_err(database_error)?;
    table
        .insert(name, encode_with_checksum(checksum_seed(name), value)?.as_slice())
        .map_err(database_error)?;
    Ok(())
}

fn put_records(transaction: &WriteTransaction, records: &[LogRecord]) -> Result<(), StoreError> {
    let mut table = transaction.open_table(LOG).map_err(database_error)?;
    if let Some(first) = records.first() {
        table.retain_in(first.position.index.., |_, _| false).map_err(database_error)?;
    }
    for record in records {
        let index = record.position.index;
        table.insert(index, encode_with_checksum(index, record)?.as_slice()).map_err(database_error)?;
    }
    Ok(())
}

/// Reads the entire contents of a database; `None` if it is new.
fn read_contents(database: &Database) -> Result<Option<(Owner, Option<DurableState>)>, StoreError> {
    let transaction = database.begin_read().map_err(database_error)?;
    let values = match transaction.open_table(SINGLE_VALUES) {
        Ok(values) => values,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(database_error(error)),
    };
    let owner = Owner { id: get(&values, key::ID)?, document: get(&values, key::DOCUMENT)? };
    if owner.document == 0 {
        return Ok(Some((owner, None)));
    }
    let hard_state: HardState = get(&values, key::HARD_STATE)?;
    let base = get(&values, key::BASE)?;
    let snapshot: Snapshot = get(&values, key::SNAPSHOT)?;
    let mut records = Vec::new();
    for row in transaction.open_table(LOG).map_err(database_error)?.iter().map_err(database_error)? {
        let (index, bytes) = row.map_err(database_error)?;
        let index = index.value();
        records.push(decode_with_checksum(&format!("entry {index}"), index, bytes.value())?);
    }
    Ok(Some((owner, Some(DurableState { hard_state, base, snapshot, records }))))
}

fn get<T: DeserializeOwned>(
    values: &impl ReadableTable<&'static str, &'static [u8]>,
    name: &str,
) -> Result<T, StoreError> {
    let bytes = values.get(name).map_err(database_error)?;
    let bytes = bytes.ok_or_else(|| StoreError::Missing(name.to_string()))?;
    decode_with_checksum(name, checksum_seed(name), bytes.value())
}

/// Encodes a value and appends its checksum, seeded with the value's key.
fn encode_with_checksum<T: Serialize>(seed: u64, value: &T) -> Result<Vec<u8>, StoreError> {
    let mut bytes = postcard::to_allocvec(value).map_err(StoreError::Encoding)?;
    let checksum = xxh3_64_with_seed(&bytes, seed);
    bytes.extend(checksum.to_be_bytes());
    Ok(bytes)
}

/// Verifies the checksum of an encoded value and decodes the value.
fn decode_with_checksum<T: DeserializeOwned>(
    value_name: &str,
    seed: u64,
    bytes: &[u8],
) -> Result<T, StoreError> {
    let damaged = || StoreError::Damaged(value_name.to_string());
    let (value, checksum) = bytes.split_last_chunk::<8>().ok_or_else(damaged)?;
    if xxh3_64_with_seed(value, seed).to_be_bytes() != *checksum {
        return Err(damaged());
    }
    postcard::from_bytes(value).map_err(|_| damaged())
}

/// Returns the seed of the checksum for the value with this name.
fn checksum_seed(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 1)
}

#[cfg(test)]
mod tests;
