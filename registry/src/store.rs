//! The durable state of a replica: its ID, its vote, the log and the last snapshot, in one redb database. Writes are
//! atomic and durable before they are acknowledged. After a write that failed, the store accepts no further write: it
//! has to be closed and opened again, which checks what the file contains.

use std::fmt::Debug;
use std::ops::{Bound, RangeBounds};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{LogState, OptionalSend, RaftLogId, RaftLogReader, SnapshotMeta, StorageIOError, Vote};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::raft::{LogId, Place, ReplicaId, StorageError, Types};
use crate::state_machine::RegistryState;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
// Keys of the `META` table.
const ID: &str = "id";
const FLEET: &str = "fleet";
const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const LAST_PURGED: &str = "purged";
const SNAPSHOT_META: &str = "snapshot-meta";
const SNAPSHOT: &str = "snapshot";
const FILE_NAME: &str = "registry.redb";
/// Size of the database's page cache.
const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// Limit of the entries that are read for one replication message, which a replica has to store within a heartbeat.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Duration from which on a write is logged as slow: elections fail if writes take longer than the election timeout.
const SLOW_WRITE: Duration = Duration::from_millis(100);
/// Time that a purge of the log waits for the snapshot that replaces the purged entries.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);
/// Key of the value that is written to test a store that had failed.
const TEST_WRITE: &str = "test-write";
/// Size of that value. The space stays in the file, so that the next writes do not fail at once.
const TEST_WRITE_BYTES: usize = 1024 * 1024;

type SnapshotMetadata = SnapshotMeta<ReplicaId, Place>;

/// Why an operation of the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database reported an error.
    #[error("{0}")]
    Database(#[from] redb::Error),
    /// A stored value cannot be decoded, or a value cannot be encoded.
    #[error("malformed value in the store: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The store belongs to another fleet.
    #[error("{file} is the store of fleet {stored:?}, expected {expected:?}")]
    Fleet {
        /// The file.
        file: String,
        /// The fleet that the store belongs to.
        stored: String,
        /// The fleet of this replica.
        expected: String,
    },
    /// The directory cannot be created.
    #[error("{directory}: {source}")]
    Directory {
        /// The directory.
        directory: String,
        /// The error.
        source: std::io::Error,
    },
    /// The file cannot be read again after a failure.
    #[error("{file}: {source}")]
    File {
        /// The file.
        file: String,
        /// The error.
        source: std::io::Error,
    },
    /// The file was replaced by the store of another replica.
    #[error("the store belongs to replica {stored}, expected {expected}")]
    Replica {
        /// The replica that the store belongs to.
        stored: ReplicaId,
        /// This replica.
        expected: ReplicaId,
    },
    /// The store was closed after a failure, or rejects writes since one failed.
    #[error("the store is closed after a failed write")]
    Closed,
    /// The log cannot be purged: no snapshot of the purged entries was written in time.
    #[error("no snapshot covers the log entries to be purged")]
    NoSnapshot,
    /// The operation did not complete because the runtime is shutting down or the operation panicked.
    #[error("store operation cancelled")]
    Cancelled,
}

macro_rules! impl_from_redb {
    ($($error:ident),*) => { $(
        impl From<redb::$error> for StoreError {
            fn from(error: redb::$error) -> Self {
                Self::Database(error.into())
            }
        }
    )* };
}
impl_from_redb!(CommitError, DatabaseError, SetDurabilityError, StorageError, TableError, TransactionError);

/// The store of a replica.
#[derive(Clone)]
pub struct Store {
    /// `None` once the store is closed.
    database: Arc<RwLock<Option<Arc<Database>>>>,
    file: PathBuf,
    /// The first write that failed. From then on the store rejects writes.
    first_write_error: Arc<Mutex<Option<String>>>,
    /// The last log entry that the stored snapshot covers. Its watchers are also woken when a write fails.
    snapshot_position: Arc<watch::Sender<Option<LogId>>>,
}

fn read<T: DeserializeOwned>(database: &Database, name: &str) -> Result<Option<T>, StoreError> {
    let table = database.begin_read()?.open_table(META)?;
    let Some(value) = table.get(name)? else { return Ok(None) };
    Ok(Some(serde_json::from_slice(value.value())?))
}

fn write(database: &Database, durability: Durability, values: &[(&str, Vec<u8>)]) -> Result<(), StoreError> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(durability)?;
    {
        let mut table = transaction.open_table(META)?;
        for (name, value) in values {
            table.insert(*name, value.as_slice())?;
        }
    }
    transaction.commit()?;
    Ok(())
}

/// Drops the pages of a file from the page cache. After a sync that failed, the kernel may treat pages as written that
/// never reached the disk; without them, the file is read as it is on the disk.
fn drop_cached_pages(file: &Path) -> Result<(), StoreError> {
    let file_error = |source| StoreError::File { file: file.display().to_string(), source };
    let opened = std::fs::File::open(file).map_err(file_error)?;
    rustix::fs::fadvise(&opened, 0, None, rustix::fs::Advice::DontNeed)
        .map_err(|error| file_error(error.into()))
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    Ok(serde_json::to_vec(value)?)
}

impl Store {
    /// Opens the store in a directory. If there is none, creates it with `new_id` as the ID of the replica.
    pub fn open(directory: &Path, fleet: &str, new_id: ReplicaId) -> Result<Self, StoreError> {
        let directory_error =
            |source| StoreError::Directory { directory: directory.display().to_string(), source };
        std::fs::create_dir_all(directory).map_err(directory_error)?;
        let file = directory.join(FILE_NAME);
        let database = Database::builder().set_cache_size(CACHE_BYTES).create(&file)?;
        let transaction = database.begin_write()?;
        transaction.open_table(LOG)?;
        transaction.open_table(META)?;
        transaction.commit()?;
        match read::<String>(&database, FLEET)? {
            None => {
                let values = [(ID, encode(&new_id)?), (FLEET, encode(&fleet)?)];
                write(&database, Durability::Immediate, &values)?;
            }
            Some(stored) if stored != fleet => {
                let (file, expected) = (file.display().to_string(), fleet.to_owned());
                return Err(StoreError::Fleet { file, stored, expected });
            }
            Some(_) => {}
        }
        let snapshot = read::<SnapshotMetadata>(&database, SNAPSHOT_META)?;
        let snapshot_position = watch::Sender::new(snapshot.and_then(|meta| meta.last_log_id));
        Ok(Self {
            database: Arc::new(RwLock::new(Some(Arc::new(database)))),
            file,
            first_write_error: Arc::default(),
            snapshot_position: Arc::new(snapshot_position),
        })
    }

    /// Opens a store again that was closed after a failed write, and writes to it, to test whether writes succeed.
    pub fn reopen(directory: &Path, fleet: &str, id: ReplicaId) -> Result<Self, StoreError> {
        drop_cached_pages(&directory.join(FILE_NAME))?;
        let store = Self::open(directory, fleet, id)?;
        let stored = store.id()?;
        if stored != id {
            return Err(StoreError::Replica { stored, expected: id });
        }
        let database = store.database()?;
        write(&database, Durability::Immediate, &[(TEST_WRITE, vec![0; TEST_WRITE_BYTES])])?;
        let transaction = database.begin_write()?;
        transaction.open_table(META)?.remove(TEST_WRITE)?;
        transaction.commit()?;
        Ok(store)
    }

    /// Closes the database once the operations in progress have ended. All later operations fail.
    pub fn close(&self) {
        self.database.write().unwrap_or_else(PoisonError::into_inner).take();
    }

    fn database(&self) -> Result<Arc<Database>, StoreError> {
        let database = self.database.read().unwrap_or_else(PoisonError::into_inner);
        database.clone().ok_or(StoreError::Closed)
    }

    /// Returns the ID of the replica.
    pub fn id(&self) -> Result<ReplicaId, StoreError> {
        Ok(read(&*self.database()?, ID)?.unwrap_or_default())
    }

    /// Returns the size of the database file in bytes.
    pub fn size(&self) -> u64 {
        std::fs::metadata(&self.file).map_or(0, |meta| meta.len())
    }

    /// Returns the error of the first write that failed, if any.
    pub fn first_write_error(&self) -> Option<String> {
        self.first_write_error.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Reads the last snapshot.
    pub async fn snapshot(&self) -> Result<Option<(SnapshotMetadata, RegistryState)>, StoreError> {
        self.run_blocking(|database| {
            let meta = read::<SnapshotMetadata>(database, SNAPSHOT_META)?;
            let state = read::<RegistryState>(database, SNAPSHOT)?;
            Ok(meta.zip(state))
        })
        .await
    }

    /// Replaces the last snapshot, and returns the state that was written.
    pub async fn save_snapshot(
        &self,
        meta: SnapshotMetadata,
        state: RegistryState,
    ) -> Result<RegistryState, StoreError> {
        let position = meta.last_log_id;
        let state = self
            .run_write(move |database| {
                let values = [(SNAPSHOT_META, encode(&meta)?), (SNAPSHOT, encode(&state)?)];
                write(database, Durability::Immediate, &values)?;
                Ok(state)
            })
            .await?;
        self.snapshot_position.send_modify(|known| *known = (*known).max(position));
        Ok(state)
    }

    /// Waits until the stored snapshot covers a log entry. openraft purges the log while it still installs the
    /// snapshot that replaces it.
    async fn await_snapshot(&self, log_id: LogId) -> Result<(), StoreError> {
        let mut position = self.snapshot_position.subscribe();
        let covered = position.wait_for(|known| *known >= Some(log_id) || self.first_write_error().is_some());
        // The sender is not dropped, as this store holds it.
        let _ = timeout(SNAPSHOT_TIMEOUT, covered).await;
        let known = *self.snapshot_position.borrow();
        if known >= Some(log_id) { Ok(()) } else { Err(StoreError::NoSnapshot) }
    }

    /// Runs a blocking operation on the blocking thread pool.
    async fn run_blocking<T: Send + 'static>(
        &self,
        operation: impl FnOnce(&Database) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let database = self.database()?;
        tokio::task::spawn_blocking(move || operation(&database)).await.unwrap_or(Err(StoreError::Cancelled))
    }

    /// Runs a write on the blocking thread pool and records the first failure.
    async fn run_write<T: Send + 'static>(
        &self,
        operation: impl FnOnce(&Database) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        if self.first_write_error().is_some() {
            return Err(StoreError::Closed);
        }
        let started_at = Instant::now();
        let result = self.run_blocking(operation).await;
        let elapsed = started_at.elapsed();
        if elapsed >= SLOW_WRITE {
            tracing::warn!(elapsed_ms = elapsed.as_millis() as u64, "slow write to the store");
        }
        if let Err(error) = &result {
            let mut first_error = self.first_write_error.lock().unwrap_or_else(PoisonError::into_inner);
            first_error.get_or_insert_with(|| error.to_string());
            drop(first_error);
            self.snapshot_position.send_modify(|_| ());
        }
        result
    }
}

fn read_error(error: StoreError) -> StorageError {
    StorageIOError::read_logs(&error).into()
}

fn write_error(error: StoreError) -> StorageError {
    StorageIOError::write_logs(&error).into()
}

/// Reads entries of a range up to a size limit, but at least one if the range is not empty.
fn read_entries(
    database: &Database,
    range: (Bound<u64>, Bound<u64>),
    max_bytes: usize,
) -> Result<Vec<openraft::Entry<Types>>, StoreError> {
    let table = database.begin_read()?.open_table(LOG)?;
    let (mut entries, mut bytes) = (Vec::new(), 0);
    for item in table.range(range)? {
        let (_, value) = item?;
        bytes += value.value().len();
        if bytes > max_bytes && !entries.is_empty() {
            break;
        }
        entries.push(serde_json::from_slice(value.value())?);
    }
    Ok(entries)
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<openraft::Entry<Types>>, StorageError> {
        let range = (range.start_bound().cloned(), range.end_bound().cloned());
        self.run_blocking(move |database| read_entries(database, range, usize::MAX)).await.map_err(read_error)
    }

    async fn limited_get_log_entries(
        &mut self,
        start: u64,
        end: u64,
    ) -> Result<Vec<openraft::Entry<Types>>, StorageError> {
        let range = (Bound::Included(start), Bound::Excluded(end));
        self.run_blocking(move |database| read_entries(database, range, MAX_READ_BYTES))
            .await
            .map_err(read_error)
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError> {
        let state = |database: &Database| {
            let last_purged_log_id = read::<LogId>(database, LAST_PURGED)?;
            let table = database.begin_read()?.open_table(LOG)?;
            let last = match table.last()? {
                Some((_, value)) => {
                    let entry: openraft::Entry<Types> = serde_json::from_slice(value.value())?;
                    Some(*entry.get_log_id())
                }
                None => last_purged_log_id,
            };
            Ok(LogState { last_purged_log_id, last_log_id: last })
        };
        self.run_blocking(state).await.map_err(read_error)
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<ReplicaId>) -> Result<(), StorageError> {
        let vote = *vote;
        let saved =
            self.run_write(move |database| write(database, Durability::Immediate, &[(VOTE, encode(&vote)?)]));
        saved.await.map_err(|error| StorageIOError::write_vote(&error).into())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<ReplicaId>>, StorageError> {
        let vote = self.run_blocking(|database| read(database, VOTE)).await;
        vote.map_err(|error| StorageIOError::read_vote(&error).into())
    }

    /// Saved so that a restarted replica applies committed entries at once and its list does not go backwards. Becomes
    /// durable with the next append; if it is lost, the leader sends it again.
    async fn save_committed(&mut self, committed: Option<LogId>) -> Result<(), StorageError> {
        let saved = self.run_write(move |database| {
            write(database, Durability::None, &[(COMMITTED, encode(&committed)?)])
        });
        saved.await.map_err(write_error)
    }

    async fn read_committed(&mut self) -> Result<Option<LogId>, StorageError> {
        let committed = self.run_blocking(|database| read::<Option<LogId>>(database, COMMITTED)).await;
        Ok(committed.map_err(read_error)?.flatten())
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = openraft::Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<openraft::Entry<Types>> = entries.into_iter().collect();
        let appended = self.run_write(move |database| {
            let transaction = database.begin_write()?;
            {
                let mut table = transaction.open_table(LOG)?;
                for entry in &entries {
                    table.insert(entry.get_log_id().index, encode(entry)?.as_slice())?;
                }
            }
            Ok(transaction.commit()?)
        });
        match appended.await {
            Ok(()) => {
                callback.log_io_completed(Ok(()));
                Ok(())
            }
            Err(error) => {
                callback.log_io_completed(Err(std::io::Error::other(error.to_string())));
                Err(write_error(error))
            }
        }
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        let truncated = self.run_write(move |database| {
            let transaction = database.begin_write()?;
            transaction.open_table(LOG)?.retain_in(log_id.index.., |_, _| false)?;
            Ok(transaction.commit()?)
        });
        truncated.await.map_err(write_error)
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.await_snapshot(log_id).await.map_err(write_error)?;
        let purged = self.run_write(move |database| {
            let transaction = database.begin_write()?;
            transaction.open_table(META)?.insert(LAST_PURGED, encode(&log_id)?.as_slice())?;
            transaction.open_table(LOG)?.retain_in(..=log_id.index, |_, _| false)?;
            Ok(transaction.commit()?)
        });
        purged.await.map_err(write_error)
    }
}
