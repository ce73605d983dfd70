use super::*;

/// Guards against a table that grows with every id.
#[test]
fn the_oldest_ids_are_forgotten() {
    let mut ids = PastIds::default();
    let hashes: Vec<IdHash> = (0..MAX_IDS + 10).map(|id| ids.hash(&id.to_le_bytes())).collect();
    hashes.iter().for_each(|id| ids.add(*id, 5));
    assert_eq!((ids.known.len(), ids.by_age.len()), (MAX_IDS, MAX_IDS));
    assert!(!ids.contains(hashes[9]) && ids.contains(hashes[10]));
    let last = ids.hash(b"last");
    ids.add(last, 5 + RETENTION_NS);
    assert_eq!((ids.known.len(), ids.by_age.len()), (1, 1));
    assert!(ids.contains(last));
}
