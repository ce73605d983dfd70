//! Linearizability of the registry while its replicas fail.
//!
//! The start time of each instance is a register: a registration writes it, and a list from any replica reads it. A list
//! may be stale by up to the age that the replica reports, so a read starts that much earlier.
//!
//! Each register has a single writer and its values increase. Such a history is linearizable if and only if no read
//! returns a value whose write had not started, a value overwritten before the read started, or a value lower than that
//! of an earlier completed read (Lamport 1986: a regular register without inversions is atomic). A property test compares
//! this check with stateright's exhaustive tester.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::cluster::{Cluster, registration};
use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_registry::wire::Listing;
use proptest::prelude::*;
use rustix::process::Signal;
use serde_json::Value;
use stateright::semantics::register::{Register, RegisterOp, RegisterRet};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// The instances whose start times are the registers.
const REGISTERS: [&str; 3] = ["x", "y", "z"];
/// Value of a register before its instance has registered.
const UNREGISTERED: u64 = 0;
const READ_INTERVAL: Duration = Duration::from_millis(10);
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// An operation on a register; times are in microseconds since the start of the test.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Operation {
    began: u64,
    /// None if the operation is not known to have completed.
    ended: Option<u64>,
    /// The value written or read.
    value: u64,
    read: bool,
}

/// Whether the history of a single-writer register with increasing values is linearizable.
fn is_linearizable(history: &[Operation]) -> bool {
    let writes: Vec<&Operation> = history.iter().filter(|operation| !operation.read).collect();
    let mut reads: Vec<&Operation> = history.iter().filter(|operation| operation.read).collect();
    let ended_before =
        |first: &Operation, second: &Operation| first.ended.is_some_and(|ended| ended < second.began);
    let is_possible = |read: &&Operation| {
        let written = read.value == UNREGISTERED
            || writes.iter().any(|write| write.value == read.value && !ended_before(read, write));
        written && !writes.iter().any(|write| write.value > read.value && ended_before(write, read))
    };
    reads.sort_by_key(|read| read.began);
    // The greatest value returned by a read that had completed before the current one started.
    let mut ended: Vec<(u64, u64)> =
        reads.iter().filter_map(|read| Some((read.ended?, read.value))).collect();
    ended.sort_unstable();
    let (mut greatest, mut next) = (UNREGISTERED, 0);
    let is_monotonic = |read: &&Operation| {
        while next < ended.len() && ended[next].0 < read.began {
            greatest = greatest.max(ended[next].1);
            next += 1;
        }
        read.value >= greatest
    };
    reads.iter().all(is_possible) && reads.iter().all(is_monotonic)
}

/// Whether a history is linearizable, by exhaustive search; feasible for few operations only.
fn is_linearizable_by_search(history: &[Operation]) -> bool {
    let mut events: Vec<(u64, bool, usize)> = Vec::new();
    for (number, operation) in history.iter().enumerate() {
        events.push((operation.began, false, number));
        events.extend(operation.ended.map(|ended| (ended, true, number)));
    }
    events.sort_unstable();
    let mut tester = LinearizabilityTester::new(Register(UNREGISTERED));
    for (_, returns, number) in events {
        let Operation { value, read, .. } = history[number];
        let accepted = match (returns, read) {
            (false, true) => tester.on_invoke(number, RegisterOp::Read).map(drop),
            (false, false) => tester.on_invoke(number, RegisterOp::Write(value)).map(drop),
            (true, true) => tester.on_return(number, RegisterRet::ReadOk(value)).map(drop),
            (true, false) => tester.on_return(number, RegisterRet::WriteOk).map(drop),
        };
        accepted.expect("each operation has its own thread");
    }
    tester.is_consistent()
}

/// Writes increasing values to a register until stopped; retries each write until it is acknowledged.
fn spawn_writer(
    cluster: &Cluster,
    name: &'static str,
    began: Instant,
    stop: Arc<AtomicBool>,
) -> JoinHandle<Vec<Operation>> {
    let mut client = cluster.client_of_all();
    let now = move || began.elapsed().as_micros() as u64;
    tokio::spawn(async move {
        let mut history = Vec::new();
        for value in 1.. {
            let started = now();
            let mut ended = None;
            while ended.is_none() && !stop.load(Ordering::Relaxed) {
                match client.post::<Value>("/registry/register", &registration(name, value)).await {
                    Ok(_) => ended = Some(now()),
                    Err(_) => sleep(Duration::from_millis(20)).await,
                }
            }
            history.push(Operation { began: started, ended, value, read: false });
            if ended.is_none() {
                return history;
            }
            sleep(WRITE_INTERVAL).await;
        }
        history
    })
}

/// Reads all registers at one replica until stopped.
fn spawn_reader(
    cluster: &Cluster,
    index: usize,
    began: Instant,
    stop: Arc<AtomicBool>,
) -> JoinHandle<Vec<[Operation; 3]>> {
    let mut client = HttpClient::new(cluster.replicas[index].client);
    let now = move || began.elapsed().as_micros() as u64;
    tokio::spawn(async move {
        let mut history = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            sleep(READ_INTERVAL).await;
            let call = Call::get("/registry/instances", Duration::from_secs(1), 1 << 20);
            let started = now();
            let Ok(response) = client.call(&call).await else { continue };
            let age = response.list_age();
            // A list without a known age has no freshness guarantee.
            let Some(age) = age.filter(|_| response.status.is_success()) else { continue };
            let list: Listing = serde_json::from_slice(&response.body).expect("a list");
            // The age is reported in whole milliseconds.
            let age_us = age.as_micros() as u64 + 1000;
            let (began, ended) = (started.saturating_sub(age_us), Some(now()));
            history.push(REGISTERS.map(|name| {
                let found = list.targets.iter().find(|target| target.uid == name);
                Operation {
                    began,
                    ended,
                    value: found.map_or(UNREGISTERED, |target| target.boot_ms),
                    read: true,
                }
            }));
        }
        history
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn lists_are_linearizable_within_their_reported_age_while_replicas_fail() {
    let mut cluster = Cluster::start(3, "lease_ms = 600000").await;
    let (began, stop) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let writers = REGISTERS.map(|name| spawn_writer(&cluster, name, began, stop.clone()));
    let readers = [0, 1, 2].map(|index| spawn_reader(&cluster, index, began, stop.clone()));
    let leader = cluster.wait_ready().await;
    sleep(Duration::from_millis(500)).await;
    cluster.kill(leader);
    sleep(Duration::from_millis(1500)).await;
    cluster.start_replica(leader);
    let leader = cluster.wait_ready().await;
    cluster.set_isolated((leader + 1) % 3, true);
    sleep(Duration::from_millis(1500)).await;
    cluster.set_isolated((leader + 1) % 3, false);
    let leader = cluster.wait_ready().await;
    cluster.signal(leader, Signal::STOP);
    sleep(Duration::from_millis(1500)).await;
    cluster.signal(leader, Signal::CONT);
    cluster.wait_ready().await;
    stop.store(true, Ordering::Relaxed);
    let mut histories: [Vec<Operation>; 3] = Default::default();
    for (history, writer) in histories.iter_mut().zip(writers) {
        history.extend(writer.await.expect("the writer ended"));
    }
    for reader in readers {
        for operation in reader.await.expect("the reader ended") {
            histories.iter_mut().zip(operation).for_each(|(history, operation)| history.push(operation));
        }
    }
    for (name, history) in REGISTERS.iter().zip(&histories) {
        let writes = history.iter().filter(|operation| !operation.read).count();
        assert!(
            writes > 5 && history.len() > writes + 10,
            "too few operations: {writes} writes of {}",
            history.len()
        );
        assert!(is_linearizable(history), "{name}: {history:#?}\n{}", cluster.logs());
    }
    // A stale read that claims to be fresh must be detected.
    let history = &histories[0];
    let newest = history
        .iter()
        .filter(|operation| !operation.read)
        .filter_map(|operation| operation.ended)
        .max()
        .expect("a write");
    let old = Operation { began: newest + 1, ended: Some(newest + 2), value: 1, read: true };
    assert!(!is_linearizable(&[history.as_slice(), &[old]].concat()), "the check accepts a stale list");
}

proptest! {
    #[test]
    fn the_linearizability_check_agrees_with_an_exhaustive_search(
        times in prop::collection::vec((0u64..6, 0u64..6), 0..4),
        last_is_unacknowledged in any::<bool>(),
        reads in prop::collection::vec((0u64..20, 0u64..8, 0u64..4), 0..5),
    ) {
        let (mut history, mut at) = (Vec::new(), 0);
        for (value, (wait, takes)) in (1..).zip(&times) {
            // A single writer: each write starts after the previous one has ended.
            let began = at + wait + 1;
            at = began + takes;
            history.push(Operation { began, ended: Some(at), value, read: false });
        }
        if let Some(last) = history.last_mut().filter(|_| last_is_unacknowledged) {
            last.ended = None;
        }
        let reads = reads.into_iter();
        history.extend(reads.map(|(began, takes, value)| Operation { began, ended: Some(began + takes), value, read: true }));
        prop_assert_eq!(is_linearizable(&history), is_linearizable_by_search(&history), "{:?}", history);
    }
}

#[test]
fn the_linearizability_check_detects_stale_and_reordered_reads() {
    let write = |began, ended, value| Operation { began, ended, value, read: false };
    let read = |began, ended, value| Operation { began, ended: Some(ended), value, read: true };
    let writes = [write(0, Some(10), 1), write(20, Some(30), 2)];
    let with = |reads: &[Operation]| is_linearizable(&[&writes[..], reads].concat());
    assert!(with(&[read(11, 12, 1), read(25, 26, 1), read(27, 28, 2), read(31, 32, 2)]));
    assert!(!with(&[read(31, 32, 1)]), "an overwritten value");
    assert!(!with(&[read(11, 12, 2)]), "a value that was not written yet");
    assert!(!with(&[read(21, 22, 2), read(23, 24, 1)]), "a lower value than that of an earlier read");
    assert!(with(&[read(5, 32, UNREGISTERED)]), "a read that started before the first write had ended");
    let unacknowledged = [write(0, None, 1), read(50, 51, UNREGISTERED), read(60, 61, 1)];
    assert!(is_linearizable(&unacknowledged), "an unacknowledged write may take effect late");
}
