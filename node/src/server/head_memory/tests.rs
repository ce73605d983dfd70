use super::*;
use crate::memory::Budget;

fn read(memory: &mut HeadMemory, bytes: usize) {
    assert!(memory.admits_read());
    memory.count(bytes);
}

/// Guards against large heads whose blocks are not counted while they are received, or after.
#[test]
fn a_large_head_holds_its_block_until_the_connection_is_closed() {
    let budget = Budget::new(1_000_000);
    let account = budget.account();
    let mut memory = HeadMemory::new(&account);
    read(&mut memory, 300);
    assert_eq!(budget.total(), 0, "the connection has room for a head that arrives at once");
    read(&mut memory, 9000);
    read(&mut memory, 10);
    assert_eq!(budget.total(), 24 * 1024);
    memory.head_received();
    memory.next_head();
    read(&mut memory, 300);
    assert_eq!(budget.total(), 24 * 1024);
    drop(memory);
    assert_eq!(budget.total(), 0);
}

/// Guards against reading on without memory, and against a connection that never goes on when there is memory again.
#[test]
fn a_large_head_waits_for_memory_and_goes_on() {
    let budget = Budget::new(64 * 1024);
    let account = budget.account();
    let other = account.hold(Kind::SmallResponse, 60 * 1024);
    let mut memory = HeadMemory::new(&account);
    read(&mut memory, 7000);
    assert!(!memory.admits_read());
    let missing_bytes = memory.missing_bytes().expect("memory is missing");
    assert_eq!(missing_bytes, 16 * 1024);
    drop(other);
    memory.grant(account.try_acquire(Kind::LargeHead, missing_bytes).expect("room"));
    assert!(memory.admits_read() && memory.missing_bytes().is_none());
    memory.head_received();
    assert!(memory.admits_read(), "a body has memory of its own");
}
