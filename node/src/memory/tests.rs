//! Tests of the budget and of the choice whom to evict, without sockets.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use super::eviction::{Candidate, choose};
use super::*;

const CAPACITY: usize = 32_000;

type Acquire = Pin<Box<dyn Future<Output = Permit>>>;

/// Starts to wait for a permit.
fn acquire(account: &Account, kind: Kind, bytes: usize) -> Acquire {
    let account = account.clone();
    Box::pin(async move { account.acquire(kind, bytes).await })
}

fn poll(acquire: &mut Acquire) -> Option<Permit> {
    match acquire.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(permit) => Some(permit),
        Poll::Pending => None,
    }
}

fn held(budget: &Budget, kind: Kind) -> usize {
    budget.held().find_map(|(held, bytes)| (held == kind).then_some(bytes)).expect("every kind is counted")
}

/// Guards against bytes that are counted twice, or never given back.
#[test]
fn bytes_are_held_until_their_permit_is_dropped() {
    let budget = Budget::new(CAPACITY);
    let account = budget.account();
    let mut permit = account.try_acquire(Kind::Request, 1000).expect("room");
    permit.merge(account.try_acquire(Kind::Request, 500).expect("room"));
    let other = account.hold(Kind::BackendList, 40);
    assert_eq!((budget.total(), held(&budget, Kind::Request)), (1540, 1500));
    permit.shrink_to(700);
    assert_eq!(budget.total(), 740);
    permit.set(900);
    assert_eq!(budget.total(), 940);
    drop((permit, other, account));
    assert_eq!(budget.total(), 0);
}

/// Guards against one kind that takes what the kinds that give way later need.
#[test]
fn each_kind_leaves_room_for_those_that_give_way_later() {
    let budget = Budget::new(CAPACITY);
    let account = budget.account();
    let mut permits = Vec::new();
    for pair in Kind::ALL.windows(2) {
        while let Some(permit) = account.try_acquire(pair[0], 100) {
            permits.push(permit);
        }
        assert!(budget.total() <= pair[0].ceiling(CAPACITY));
        assert!(pair[0].ceiling(CAPACITY) <= pair[1].ceiling(CAPACITY));
    }
    assert!(budget.total() <= CAPACITY);
    assert_eq!(budget.available(Kind::ReadAhead), 0);
}

/// Guards against small requests for memory that overtake a large one for ever.
#[test]
fn waiters_are_served_in_order_and_later_kinds_first() {
    let budget = Budget::new(CAPACITY);
    let account = budget.account();
    let full = account.hold(Kind::SmallResponse, CAPACITY);
    let mut body = acquire(&account, Kind::RequestBody, 12_000);
    let mut first = acquire(&account, Kind::SmallResponse, 18_000);
    let mut second = acquire(&account, Kind::SmallResponse, 100);
    for waiting in [&mut body, &mut first, &mut second] {
        assert!(poll(waiting).is_none());
    }
    assert!(account.try_acquire(Kind::RequestBody, 1).is_none());
    drop(full);
    let first = poll(&mut first).expect("the first response");
    let second = poll(&mut second).expect("the second response");
    assert!(poll(&mut body).is_none(), "the body does not fit beside the responses");
    drop((first, second));
    assert!(poll(&mut body).is_some());
    assert_eq!(budget.total(), 0);
}

/// Guards against bodies that are refused, although there is room, while a connection waits for another one to be closed.
#[test]
fn a_kind_at_its_own_limit_keeps_no_other_from_its_room() {
    let budget = Budget::new(CAPACITY);
    let account = budget.account();
    let limit = Kind::ClientConnection.own_limit(CAPACITY);
    let mut connections = account.try_acquire(Kind::ClientConnection, limit).expect("room");
    let mut next = acquire(&account, Kind::ClientConnection, 500);
    assert!(poll(&mut next).is_none());
    let body = account.try_acquire(Kind::RequestBody, 1800).expect("room for a body");
    let mut waiting_body = acquire(&account, Kind::RequestBody, 3000);
    assert!(poll(&mut waiting_body).is_none());
    drop(body);
    assert!(poll(&mut waiting_body).is_some() && poll(&mut next).is_none());
    connections.shrink_to(limit - 500);
    assert!(poll(&mut next).is_some());
}

/// Guards against bytes that stay with a waiter that has given up, before or after they were granted.
#[test]
fn a_waiter_that_gives_up_keeps_nothing() {
    let budget = Budget::new(CAPACITY);
    let account = budget.account();
    let full = account.hold(Kind::SmallResponse, CAPACITY);
    let (mut gone, mut granted) =
        (acquire(&account, Kind::Request, 900), acquire(&account, Kind::Request, 700));
    assert!(poll(&mut gone).is_none() && poll(&mut granted).is_none());
    drop(gone);
    assert_eq!(budget.missing(), Some(700));
    drop(full);
    assert_eq!(budget.total(), 700, "granted, and not yet taken");
    drop(granted);
    assert_eq!((budget.total(), budget.missing()), (0, None));
}

fn candidate(account: u64, stage: Stage, bytes: usize, held_ms: u64) -> Candidate {
    Candidate { account, stage, bytes, held_for: Duration::from_millis(held_ms) }
}

/// Guards against evicting requests that may be running, or clients that had no time to send or read.
#[test]
fn only_slow_senders_and_slow_readers_are_evicted() {
    let candidates = vec![
        candidate(1, Stage::Kept, 90_000, 9000),
        candidate(2, Stage::Receiving, 90_000, 100),
        candidate(3, Stage::Responding, 90_000, 200),
        candidate(4, Stage::Receiving, 0, 9000),
        candidate(5, Stage::Receiving, 10, 400),
        candidate(6, Stage::Responding, 10, 1100),
    ];
    assert_eq!(choose(candidates, usize::MAX), [6, 5]);
}

/// Guards against evicting more than is missing, or those who hold little.
#[test]
fn those_that_hold_most_for_longest_are_evicted_first() {
    let candidates = vec![
        candidate(1, Stage::Receiving, 1000, 2000),
        candidate(2, Stage::Receiving, 5000, 1000),
        candidate(3, Stage::Responding, 5000, 2000),
    ];
    assert_eq!(choose(candidates.clone(), 1), [3]);
    assert_eq!(choose(candidates.clone(), 5001), [3, 2]);
    assert_eq!(choose(candidates, 0), [0_u64; 0]);
}

/// Guards against holders that are not told that they were evicted.
#[tokio::test(start_paused = true)]
async fn a_slow_sender_is_evicted_while_another_waits() {
    let budget = Budget::new(CAPACITY);
    let (slow, waiting) = (budget.account(), budget.account());
    let held = slow.try_acquire(Kind::RequestBody, 19_000).expect("room");
    slow.set_stage(Stage::Receiving);
    let evicted = async {
        slow.evicted().await;
        drop(held);
        std::future::pending::<()>().await
    };
    tokio::select! {
        permit = waiting.acquire(Kind::RequestBody, 9000) => assert_eq!(permit.bytes(), 9000),
        () = evicted => unreachable!("never resolves"),
        () = reclaim(budget.clone(), |_| 0) => unreachable!("never resolves"),
    }
    assert!(slow.is_evicted() && !waiting.is_evicted());
}

/// Guards against memory that is kept for later use while others wait, and against evicting somebody in its place.
#[tokio::test(start_paused = true)]
async fn unused_memory_is_given_back_before_anybody_is_evicted() {
    let budget = Budget::new(CAPACITY);
    let (unused, slow, waiting) = (budget.account(), budget.account(), budget.account());
    let held = slow.try_acquire(Kind::RequestBody, 9000).expect("room");
    slow.set_stage(Stage::Receiving);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let kept = std::cell::RefCell::new(Some(unused.hold(Kind::BackendConnection, 19_000)));
    let release_unused =
        |bytes: usize| if bytes == 0 { 0 } else { kept.take().map_or(0, |kept| kept.bytes()) };
    tokio::select! {
        permit = waiting.acquire(Kind::Request, 9000) => assert_eq!(permit.bytes(), 9000),
        () = reclaim(budget.clone(), release_unused) => unreachable!("never resolves"),
    }
    assert!(!slow.is_evicted());
    drop(held);
}
