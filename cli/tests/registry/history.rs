//! Histories of writes and reads against the registry while its replicas fail, checked for linearizability.
//!
//! Each instance's start time is a register: a registration writes it, a list read at any replica reads it. A replica
//! does not promise the newest list, but says how old its own may be: a read counts as asked for that much earlier. So
//! the check holds each answer to the age that it claims.
//!
//! A register has one writer, whose values rise. Then a history is linearizable if, and only if, no read tells a value that
//! was not asked to be written yet, none tells one that was overwritten before it began, and no read tells less than one
//! that had ended before it began (Lamport 1986: a regular register without inversions is atomic). That takes no search;
//! stateright's tester, which searches, agrees on small histories of any kind.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::site::{Site, instance};
use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_registry::wire::Listing;
use proptest::prelude::*;
use rustix::process::Signal;
use serde_json::Value;
use stateright::semantics::register::{Register, RegisterOp, RegisterRet};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Registers that are written and read.
const NAMES: [&str; 3] = ["x", "y", "z"];
/// What a register holds before its instance registers.
const NOBODY: u64 = 0;
const READS_APART: Duration = Duration::from_millis(10);
const WRITES_APART: Duration = Duration::from_millis(20);

/// One operation on a register, in microseconds of the test's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Done {
    began: u64,
    /// None if it is not known to have ended.
    ended: Option<u64>,
    /// A value that was written, or read.
    value: u64,
    read: bool,
}

/// Whether there is an order of these operations that one register could have had, in which none stands before one that had
/// ended before it began. Values are written in order by one writer.
fn is_linearizable(history: &[Done]) -> bool {
    let writes: Vec<&Done> = history.iter().filter(|done| !done.read).collect();
    let mut reads: Vec<&Done> = history.iter().filter(|done| done.read).collect();
    let ended_before = |one: &Done, other: &Done| one.ended.is_some_and(|ended| ended < other.began);
    let told = |read: &&Done| {
        let written = read.value == NOBODY
            || writes.iter().any(|write| write.value == read.value && !ended_before(read, write));
        written && !writes.iter().any(|write| write.value > read.value && ended_before(write, read))
    };
    reads.sort_by_key(|read| read.began);
    // The greatest value that any read told which had ended by then.
    let mut ended: Vec<(u64, u64)> =
        reads.iter().filter_map(|read| Some((read.ended?, read.value))).collect();
    ended.sort_unstable();
    let (mut greatest, mut next) = (NOBODY, 0);
    let rises = |read: &&Done| {
        while next < ended.len() && ended[next].0 < read.began {
            greatest = greatest.max(ended[next].1);
            next += 1;
        }
        read.value >= greatest
    };
    reads.iter().all(told) && reads.iter().all(rises)
}

/// The same by search, for few operations.
fn is_linearizable_by_search(history: &[Done]) -> bool {
    let mut events: Vec<(u64, bool, usize)> = Vec::new();
    for (number, done) in history.iter().enumerate() {
        events.push((done.began, false, number));
        events.extend(done.ended.map(|ended| (ended, true, number)));
    }
    events.sort_unstable();
    let mut tester = LinearizabilityTester::new(Register(NOBODY));
    for (_, returns, number) in events {
        let Done { value, read, .. } = history[number];
        let taken = match (returns, read) {
            (false, true) => tester.on_invoke(number, RegisterOp::Read).map(drop),
            (false, false) => tester.on_invoke(number, RegisterOp::Write(value)).map(drop),
            (true, true) => tester.on_return(number, RegisterRet::ReadOk(value)).map(drop),
            (true, false) => tester.on_return(number, RegisterRet::WriteOk).map(drop),
        };
        taken.expect("each operation has a thread of its own");
    }
    tester.is_consistent()
}

/// Writes rising values to a register until told to stop; each again until it is acknowledged.
fn write(site: &Site, name: &'static str, began: Instant, stop: Arc<AtomicBool>) -> JoinHandle<Vec<Done>> {
    let mut client = site.any();
    let now = move || began.elapsed().as_micros() as u64;
    tokio::spawn(async move {
        let mut history = Vec::new();
        for value in 1.. {
            let asked = now();
            let mut ended = None;
            while ended.is_none() && !stop.load(Ordering::Relaxed) {
                match client.post::<Value>("/registry/register", &instance(name, value)).await {
                    Ok(_) => ended = Some(now()),
                    Err(_) => sleep(Duration::from_millis(20)).await,
                }
            }
            history.push(Done { began: asked, ended, value, read: false });
            if ended.is_none() {
                return history;
            }
            sleep(WRITES_APART).await;
        }
        history
    })
}

/// Reads all registers at one replica until told to stop.
fn read(site: &Site, at: usize, began: Instant, stop: Arc<AtomicBool>) -> JoinHandle<Vec<[Done; 3]>> {
    let mut link = HttpClient::new(site.replicas[at].client);
    let now = move || began.elapsed().as_micros() as u64;
    tokio::spawn(async move {
        let mut history = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            sleep(READS_APART).await;
            let call = Call::get("/registry/instances", Duration::from_secs(1), 1 << 20);
            let asked = now();
            let Ok(answer) = link.call(&call).await else { continue };
            let age = answer.list_age();
            // One that can't tell promises nothing.
            let Some(age) = age.filter(|_| answer.status.is_success()) else { continue };
            let list: Listing = serde_json::from_slice(&answer.body).expect("a list");
            // The age is told in whole milliseconds.
            let age_us = age.as_micros() as u64 + 1000;
            let (began, ended) = (asked.saturating_sub(age_us), Some(now()));
            history.push(NAMES.map(|name| {
                let found = list.targets.iter().find(|one| one.uid == name);
                Done { began, ended, value: found.map_or(NOBODY, |one| one.boot_ms), read: true }
            }));
        }
        history
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn every_answer_is_as_new_as_it_claims_while_replicas_fail() {
    let mut site = Site::start(3, "lease_ms = 600000").await;
    let (began, stop) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let writers = NAMES.map(|name| write(&site, name, began, stop.clone()));
    let readers = [0, 1, 2].map(|at| read(&site, at, began, stop.clone()));
    let leader = site.ready().await;
    sleep(Duration::from_millis(500)).await;
    site.kill(leader);
    sleep(Duration::from_millis(1500)).await;
    site.boot(leader);
    let leader = site.ready().await;
    site.isolate((leader + 1) % 3, true);
    sleep(Duration::from_millis(1500)).await;
    site.isolate((leader + 1) % 3, false);
    let leader = site.ready().await;
    site.signal(leader, Signal::STOP);
    sleep(Duration::from_millis(1500)).await;
    site.signal(leader, Signal::CONT);
    site.ready().await;
    stop.store(true, Ordering::Relaxed);
    let mut histories: [Vec<Done>; 3] = Default::default();
    for (history, writer) in histories.iter_mut().zip(writers) {
        history.extend(writer.await.expect("it wrote"));
    }
    for reader in readers {
        for done in reader.await.expect("it read") {
            histories.iter_mut().zip(done).for_each(|(history, done)| history.push(done));
        }
    }
    for (name, history) in NAMES.iter().zip(&histories) {
        let writes = history.iter().filter(|done| !done.read).count();
        assert!(
            writes > 5 && history.len() > writes + 10,
            "too little happened: {writes} of {}",
            history.len()
        );
        assert!(is_linearizable(history), "{name}: {history:#?}\n{}", site.logs());
    }
    // What a broken replica would say: one that tells an old list and claims that it is new.
    let history = &histories[0];
    let newest =
        history.iter().filter(|done| !done.read).filter_map(|done| done.ended).max().expect("a write");
    let old = Done { began: newest + 1, ended: Some(newest + 2), value: 1, read: true };
    assert!(!is_linearizable(&[history.as_slice(), &[old]].concat()), "the check takes an old list for new");
}

proptest! {
    #[test]
    fn the_check_agrees_with_a_search(
        times in prop::collection::vec((0u64..6, 0u64..6), 0..4),
        last_is_lost in any::<bool>(),
        reads in prop::collection::vec((0u64..20, 0u64..8, 0u64..4), 0..5),
    ) {
        let (mut history, mut at) = (Vec::new(), 0);
        for (value, (wait, takes)) in (1..).zip(&times) {
            // One writer: it begins after it has ended.
            let began = at + wait + 1;
            at = began + takes;
            history.push(Done { began, ended: Some(at), value, read: false });
        }
        if let Some(last) = history.last_mut().filter(|_| last_is_lost) {
            last.ended = None;
        }
        let reads = reads.into_iter();
        history.extend(reads.map(|(began, takes, value)| Done { began, ended: Some(began + takes), value, read: true }));
        prop_assert_eq!(is_linearizable(&history), is_linearizable_by_search(&history), "{:?}", history);
    }
}

#[test]
fn the_check_finds_what_is_out_of_order() {
    let write = |began, ended, value| Done { began, ended, value, read: false };
    let read = |began, ended, value| Done { began, ended: Some(ended), value, read: true };
    let two = [write(0, Some(10), 1), write(20, Some(30), 2)];
    let with = |reads: &[Done]| is_linearizable(&[&two[..], reads].concat());
    assert!(with(&[read(11, 12, 1), read(25, 26, 1), read(27, 28, 2), read(31, 32, 2)]));
    assert!(!with(&[read(31, 32, 1)]), "an old value after the next was written");
    assert!(!with(&[read(11, 12, 2)]), "a value that was not written yet");
    assert!(!with(&[read(21, 22, 2), read(23, 24, 1)]), "a step back");
    assert!(with(&[read(5, 32, NOBODY)]), "one asked for before the first write had ended");
    let lost = [write(0, None, 1), read(50, 51, NOBODY), read(60, 61, 1)];
    assert!(is_linearizable(&lost), "a write that nobody heard of may be carried out late");
}
