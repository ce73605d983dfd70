use super::*;

const KEY: DedupKey = DedupKey { cell: 1, key: 7 };

#[test]
fn repeat_is_a_duplicate_in_its_group_and_window_unless_its_job_failed() {
    let mut keys = DedupTable::default();
    assert!(!keys.is_duplicate(KEY, 0));
    keys.insert(KEY, (0, 1), 100, 0);
    assert!(keys.is_duplicate(KEY, 99), "the job is still running");
    assert!(!keys.is_duplicate(DedupKey { cell: 2, ..KEY }, 99), "the key was used in another group");
    keys.job_ended((0, 1), true);
    assert!(keys.is_duplicate(KEY, 99));
    assert!(!keys.is_duplicate(KEY, 100), "the window has passed");
    keys.insert(KEY, (3, 1), 100, 100);
    keys.job_ended((0, 1), false);
    assert!(keys.is_duplicate(KEY, 101), "the end of an earlier job does not affect a later one");
    keys.job_ended((3, 1), false);
    assert!(!keys.is_duplicate(KEY, 101), "the job failed and may run again");
}

#[test]
fn table_size_is_bounded_by_the_window() {
    let mut keys = DedupTable::default();
    for at in 0..100_000 {
        keys.insert(DedupKey { cell: 0, key: at }, (0, at), 100, at);
        keys.job_ended((0, at), true);
    }
    assert!(keys.entries.len() <= MIN_SWEEP_SIZE && keys.running.is_empty(), "{}", keys.entries.len());
}
