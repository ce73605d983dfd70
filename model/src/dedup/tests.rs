use super::*;

const KEY: DedupKey = DedupKey { cell: 1, key: 7 };

#[test]
fn a_repeat_is_known_in_its_group_and_window_and_only_while_its_work_stands() {
    let mut keys = DedupTable::default();
    assert!(!keys.is_duplicate(KEY, 0));
    keys.insert(KEY, (0, 1), 100, 0);
    assert!(keys.is_duplicate(KEY, 99), "while it runs too");
    assert!(!keys.is_duplicate(DedupKey { cell: 2, ..KEY }, 99), "another group has not seen it");
    keys.job_ended((0, 1), true);
    assert!(keys.is_duplicate(KEY, 99));
    assert!(!keys.is_duplicate(KEY, 100), "its window is over");
    keys.insert(KEY, (3, 1), 100, 100);
    keys.job_ended((0, 1), false);
    assert!(keys.is_duplicate(KEY, 101), "the end of an earlier job takes nothing from a later one");
    keys.job_ended((3, 1), false);
    assert!(!keys.is_duplicate(KEY, 101), "what failed may run again");
}

#[test]
fn what_is_remembered_is_bounded_by_the_windows() {
    let mut keys = DedupTable::default();
    for at in 0..100_000 {
        keys.insert(DedupKey { cell: 0, key: at }, (0, at), 100, at);
        keys.job_ended((0, at), true);
    }
    assert!(keys.entries.len() <= MIN_SWEEP_SIZE && keys.running.is_empty(), "{}", keys.entries.len());
}
