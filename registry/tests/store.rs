//! Tests of the store of a replica on disk.

use std::time::Duration;

use flaxdale_registry::raft::LogId;
use flaxdale_registry::state_machine::RegistryState;
use flaxdale_registry::store::Store;
use openraft::storage::RaftLogStorage;
use openraft::{CommittedLeaderId, SnapshotMeta};
use tokio::time::{sleep, timeout};

fn log_id(index: u64) -> LogId {
    LogId::new(CommittedLeaderId::new(1, 7), index)
}

/// Guards against a log that is purged although the snapshot that replaces it was never written, as after a kill or a
/// failed write between the two. Such a store can never be read again.
#[tokio::test]
async fn the_log_is_purged_only_once_the_snapshot_that_replaces_it_is_stored() {
    let folder = tempfile::tempdir().expect("a directory");
    let store = Store::open(folder.path(), "test", 7).expect("a store");
    let mut log = store.clone();
    let purge = tokio::spawn(async move { log.purge(log_id(5)).await });
    sleep(Duration::from_millis(200)).await;
    assert!(!purge.is_finished(), "purged without a snapshot");
    let older = SnapshotMeta { last_log_id: Some(log_id(4)), ..SnapshotMeta::default() };
    store.save_snapshot(older, RegistryState::default()).await.expect("a stored snapshot");
    sleep(Duration::from_millis(200)).await;
    assert!(!purge.is_finished(), "the snapshot does not cover the last entry");
    let meta = SnapshotMeta { last_log_id: Some(log_id(5)), ..SnapshotMeta::default() };
    store.save_snapshot(meta, RegistryState::default()).await.expect("a stored snapshot");
    let purged = timeout(Duration::from_secs(5), purge).await.expect("a purge in time");
    purged.expect("no panic").expect("a purged log");
    let state = store.clone().get_log_state().await.expect("the state of the log");
    assert_eq!(state.last_purged_log_id, Some(log_id(5)));
}
