//! What a replica keeps on disk: its name, its vote, the log and the last snapshot, in one database file. A change is on
//! disk before it is acknowledged; a kill in the middle of a write leaves the state before it or after it.

use std::fmt::Debug;
use std::ops::{Bound, RangeBounds};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{LogState, OptionalSend, RaftLogId, RaftLogReader, SnapshotMeta, StorageIOError, Vote};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::raft::{LogId, Place, ReplicaId, StorageError, Types};
use crate::state_machine::State;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Names in [`META`].
const ID: &str = "id";
const FLEET: &str = "fleet";
const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const PURGED: &str = "purged";
const SNAPSHOT_META: &str = "snapshot-meta";
const SNAPSHOT: &str = "snapshot";
/// Memory for the database's pages.
const CACHE: usize = 16 * 1024 * 1024;
/// Bytes of entries that are read at a time: a replica that is behind gets them in several messages.
const MOST_READ: usize = 512 * 1024;

type Meta = SnapshotMeta<ReplicaId, Place>;

/// Why the store can't do what is wanted.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database.
    #[error("{0}")]
    Database(#[from] redb::Error),
    /// What is in it.
    #[error("what is stored can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It is another fleet's.
    #[error("{file} is the store of fleet {kept:?}, not of {wanted:?}")]
    Fleet {
        /// The file.
        file: String,
        /// Whose it is.
        kept: String,
        /// Whose it should be.
        wanted: String,
    },
    /// The folder.
    #[error("{folder}: {source}")]
    Folder {
        /// The folder.
        folder: String,
        /// What is wrong with it.
        source: std::io::Error,
    },
    /// It was given up half way.
    #[error("the program ends")]
    Ends,
}

macro_rules! from_database {
    ($($error:ident),*) => { $(
        impl From<redb::$error> for StoreError {
            fn from(error: redb::$error) -> Self {
                Self::Database(error.into())
            }
        }
    )* };
}
from_database!(CommitError, DatabaseError, SetDurabilityError, StorageError, TableError, TransactionError);

/// A replica's store.
#[derive(Clone)]
pub struct Store {
    database: Arc<Database>,
    file: PathBuf,
    /// The first thing that could not be written; nothing is, from then on.
    trouble: Arc<Mutex<Option<String>>>,
}

fn read<T: DeserializeOwned>(database: &Database, name: &str) -> Result<Option<T>, StoreError> {
    let table = database.begin_read()?.open_table(META)?;
    let Some(value) = table.get(name)? else { return Ok(None) };
    Ok(Some(serde_json::from_slice(value.value())?))
}

fn write(database: &Database, durability: Durability, values: &[(&str, Vec<u8>)]) -> Result<(), StoreError> {
    let mut change = database.begin_write()?;
    change.set_durability(durability)?;
    {
        let mut table = change.open_table(META)?;
        for (name, value) in values {
            table.insert(*name, value.as_slice())?;
        }
    }
    change.commit()?;
    Ok(())
}

fn encoded<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    Ok(serde_json::to_vec(value)?)
}

impl Store {
    /// Opens the store in a folder, or makes one, under `fresh` as the replica's name.
    pub fn open(folder: &Path, fleet: &str, fresh: ReplicaId) -> Result<Self, StoreError> {
        let of_folder = |source| StoreError::Folder { folder: folder.display().to_string(), source };
        std::fs::create_dir_all(folder).map_err(of_folder)?;
        let file = folder.join("registry.redb");
        let database = Database::builder().set_cache_size(CACHE).create(&file)?;
        let change = database.begin_write()?;
        change.open_table(LOG)?;
        change.open_table(META)?;
        change.commit()?;
        match read::<String>(&database, FLEET)? {
            None => {
                let values = [(ID, encoded(&fresh)?), (FLEET, encoded(&fleet)?)];
                write(&database, Durability::Immediate, &values)?;
            }
            Some(kept) if kept != fleet => {
                let (file, wanted) = (file.display().to_string(), fleet.to_owned());
                return Err(StoreError::Fleet { file, kept, wanted });
            }
            Some(_) => {}
        }
        Ok(Self { database: Arc::new(database), file, trouble: Arc::default() })
    }

    /// The replica's name.
    pub fn id(&self) -> Result<ReplicaId, StoreError> {
        Ok(read(&self.database, ID)?.unwrap_or_default())
    }

    /// Bytes of its file.
    pub fn size(&self) -> u64 {
        std::fs::metadata(&self.file).map_or(0, |meta| meta.len())
    }

    /// What could not be written, if anything.
    pub fn trouble(&self) -> Option<String> {
        self.trouble.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The last snapshot.
    pub async fn snapshot(&self) -> Result<Option<(Meta, State)>, StoreError> {
        self.with(|database| {
            let meta = read::<Meta>(database, SNAPSHOT_META)?;
            let state = read::<State>(database, SNAPSHOT)?;
            Ok(meta.zip(state))
        })
        .await
    }

    /// Keeps a snapshot in place of the last one, and gives its state back.
    pub async fn keep_snapshot(&self, meta: Meta, state: State) -> Result<State, StoreError> {
        self.change(move |database| {
            let values = [(SNAPSHOT_META, encoded(&meta)?), (SNAPSHOT, encoded(&state)?)];
            write(database, Durability::Immediate, &values)?;
            Ok(state)
        })
        .await
    }

    /// Runs what waits for the disk where nothing else waits.
    async fn with<T: Send + 'static>(
        &self,
        work: impl FnOnce(&Database) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let database = self.database.clone();
        tokio::task::spawn_blocking(move || work(&database)).await.unwrap_or(Err(StoreError::Ends))
    }

    /// The same for a change. One that fails is remembered: the replica can't vouch for itself any more.
    async fn change<T: Send + 'static>(
        &self,
        work: impl FnOnce(&Database) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let changed = self.with(work).await;
        if let Err(error) = &changed {
            let mut trouble = self.trouble.lock().unwrap_or_else(PoisonError::into_inner);
            trouble.get_or_insert_with(|| error.to_string());
        }
        changed
    }
}

fn reading(error: StoreError) -> StorageError {
    StorageIOError::read_logs(&error).into()
}

fn writing(error: StoreError) -> StorageError {
    StorageIOError::write_logs(&error).into()
}

/// Entries from a range, some at least if there are any.
fn entries(
    database: &Database,
    range: (Bound<u64>, Bound<u64>),
    most: usize,
) -> Result<Vec<openraft::Entry<Types>>, StoreError> {
    let table = database.begin_read()?.open_table(LOG)?;
    let (mut found, mut bytes) = (Vec::new(), 0);
    for item in table.range(range)? {
        let (_, value) = item?;
        bytes += value.value().len();
        if bytes > most && !found.is_empty() {
            break;
        }
        found.push(serde_json::from_slice(value.value())?);
    }
    Ok(found)
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<openraft::Entry<Types>>, StorageError> {
        let range = (range.start_bound().cloned(), range.end_bound().cloned());
        self.with(move |database| entries(database, range, usize::MAX)).await.map_err(reading)
    }

    async fn limited_get_log_entries(
        &mut self,
        start: u64,
        end: u64,
    ) -> Result<Vec<openraft::Entry<Types>>, StorageError> {
        let range = (Bound::Included(start), Bound::Excluded(end));
        self.with(move |database| entries(database, range, MOST_READ)).await.map_err(reading)
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError> {
        let state = |database: &Database| {
            let last_purged_log_id = read::<LogId>(database, PURGED)?;
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
        self.with(state).await.map_err(reading)
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<ReplicaId>) -> Result<(), StorageError> {
        let vote = *vote;
        let saved =
            self.change(move |database| write(database, Durability::Immediate, &[(VOTE, encoded(&vote)?)]));
        saved.await.map_err(|error| StorageIOError::write_vote(&error).into())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<ReplicaId>>, StorageError> {
        let vote = self.with(|database| read(database, VOTE)).await;
        vote.map_err(|error| StorageIOError::read_vote(&error).into())
    }

    /// So that a replica that starts again has at once what it had before, and steps back for nobody. It goes to disk
    /// with the next entries: what is lost with it is told again by the leader.
    async fn save_committed(&mut self, committed: Option<LogId>) -> Result<(), StorageError> {
        let saved = self
            .change(move |database| write(database, Durability::None, &[(COMMITTED, encoded(&committed)?)]));
        saved.await.map_err(writing)
    }

    async fn read_committed(&mut self) -> Result<Option<LogId>, StorageError> {
        let committed = self.with(|database| read::<Option<LogId>>(database, COMMITTED)).await;
        Ok(committed.map_err(reading)?.flatten())
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = openraft::Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<openraft::Entry<Types>> = entries.into_iter().collect();
        let appended = self.change(move |database| {
            let change = database.begin_write()?;
            {
                let mut table = change.open_table(LOG)?;
                for entry in &entries {
                    table.insert(entry.get_log_id().index, encoded(entry)?.as_slice())?;
                }
            }
            Ok(change.commit()?)
        });
        match appended.await {
            Ok(()) => {
                callback.log_io_completed(Ok(()));
                Ok(())
            }
            Err(error) => {
                callback.log_io_completed(Err(std::io::Error::other(error.to_string())));
                Err(writing(error))
            }
        }
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        let truncated = self.change(move |database| {
            let change = database.begin_write()?;
            change.open_table(LOG)?.retain_in(log_id.index.., |_, _| false)?;
            Ok(change.commit()?)
        });
        truncated.await.map_err(writing)
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        let purged = self.change(move |database| {
            let change = database.begin_write()?;
            change.open_table(META)?.insert(PURGED, encoded(&log_id)?.as_slice())?;
            change.open_table(LOG)?.retain_in(..=log_id.index, |_, _| false)?;
            Ok(change.commit()?)
        });
        purged.await.map_err(writing)
    }
}
