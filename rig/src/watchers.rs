//! Clients of the registry that keep account: whether a version ever stepped back, who was told of as gone, how long
//! nothing was told, and how long after a change each of them knew of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::Nanos;
use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_fleet::watch::{INSTANCES_PATH, ListHeader, ListUpdate, WatchClient, WatchPolicy};
use flaxdale_model::invariants::Rule;
use hyper::StatusCode;
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use crate::registrants::Register;
use crate::shared::{Shared, lock};

const MOST_LIST: usize = 16 * 1024 * 1024;
/// An answer this long after a watch's wait does not come any more.
const GRACE: Duration = Duration::from_secs(1);
/// Changes whose arrival one client remembers.
const MOST_HEARD: usize = 4096;
/// How long after the end of the faults a client may take to have the committed list.
const SETTLES: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
struct List {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
    incarnation: u64,
}

#[derive(Clone, PartialEq, Eq, Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    state: String,
    boot_ms: u64,
}

/// What one client has seen.
#[derive(Default)]
struct Seen {
    list: BTreeMap<String, Target>,
    rev: u64,
    /// When it knew of each version that it was told.
    heard: Vec<(u64, Nanos)>,
    /// When it was last told anything, and the longest time that it was not.
    last: Option<Nanos>,
    silent: Nanos,
}

/// Clients that watch.
pub struct Watchers {
    shared: Arc<Shared>,
    register: Arc<Register>,
    addresses: Vec<SocketAddr>,
    rules: WatchPolicy,
    seen: Mutex<Vec<Arc<Mutex<Seen>>>>,
}

/// What the clients came to, together.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// How long each client took to know of each change, in milliseconds, sorted.
    pub heard_ms: Vec<f64>,
    /// The longest time without any answer, in milliseconds.
    pub silent_ms: f64,
}

impl Watchers {
    /// Nobody yet.
    pub fn new(
        shared: Arc<Shared>,
        register: Arc<Register>,
        addresses: Vec<SocketAddr>,
        hold: Duration,
    ) -> Arc<Self> {
        let rules = WatchPolicy { hold, ..WatchPolicy::default() };
        Arc::new(Self { shared, register, addresses, rules, seen: Mutex::default() })
    }

    /// One more, which asks this replica first. It ends with the runtime.
    pub fn add(self: &Arc<Self>, first: usize) {
        let seen = Arc::new(Mutex::new(Seen::default()));
        lock(&self.seen).push(seen.clone());
        tokio::spawn(self.clone().follow(first, seen));
    }

    /// How many have a list.
    pub fn ready(&self) -> usize {
        lock(&self.seen).iter().filter(|seen| lock(seen).rev > 0).count()
    }

    async fn follow(self: Arc<Self>, first: usize, seen: Arc<Mutex<Seen>>) {
        let count = self.addresses.len();
        let mut links: Vec<HttpClient> =
            (0..count).map(|by| HttpClient::new(self.addresses[(first + by) % count])).collect();
        let mut follower = WatchClient::new(self.rules, count, 0.0);
        let clock = self.shared.clock;
        let began = clock.now();
        let since = || Duration::from_nanos(clock.now() - began);
        loop {
            let (at, ask) = follower.next_request(since());
            sleep(at.saturating_sub(since())).await;
            let asked = since();
            let answer =
                links[ask.replica].call(&Call::get(ask.path_and_query(), ask.hold + GRACE, MOST_LIST)).await;
            let answer = answer.ok().filter(|answer| answer.status == StatusCode::OK);
            let list = answer.and_then(|answer| {
                Some((serde_json::from_slice::<List>(&answer.body).ok()?, answer.list_age()))
            });
            let Some((list, age)) = list else {
                // Spread as a fleet's clients are; the links' order differs between them.
                follower.on_failure(since(), None, (first % 10) as f64 / 10.0);
                continue;
            };
            let mut book = lock(&self.shared.tracker);
            book.invariants.record_check(Rule::RegistryForward);
            drop(book);
            if ask.seen.is_some_and(|rev| list.rev < rev) {
                let what = format!("told version {} after {:?}", list.rev, ask.seen);
                self.shared.record_violation(Rule::RegistryForward, format!("watcher of r{first}"), what);
            }
            let head = ListHeader { incarnation: list.incarnation, rev: list.rev, full: list.all, age };
            let take = follower.on_response(asked, since(), head);
            self.take(&seen, take, list);
        }
    }

    fn take(&self, seen: &Mutex<Seen>, take: ListUpdate, list: List) {
        let now = self.shared.clock.now();
        let mut seen = lock(seen);
        seen.silent = seen.silent.max(seen.last.map_or(0, |last| now - last));
        seen.last = Some(now);
        if take == ListUpdate::Ignore {
            return;
        }
        let mut gone = Vec::new();
        if take == ListUpdate::Full {
            let named: BTreeSet<&String> = list.targets.iter().map(|one| &one.uid).collect();
            gone.extend(seen.list.keys().filter(|uid| !named.contains(uid)).cloned());
            seen.list.clear();
        }
        if list.rev > seen.rev && seen.heard.len() < MOST_HEARD {
            seen.heard.push((list.rev, now));
        }
        seen.rev = list.rev;
        for one in list.targets {
            if one.state == "Gone" {
                seen.list.remove(&one.uid);
                gone.push(one.uid);
            } else {
                seen.list.insert(one.uid.clone(), one);
            }
        }
        drop(seen);
        for uid in gone {
            lock(&self.shared.tracker).invariants.record_check(Rule::RegistryBelieves);
            if lock(&self.register.alive).contains(&uid) {
                self.shared.record_violation(
                    Rule::RegistryBelieves,
                    uid,
                    "told of as gone, and it renews".to_owned(),
                );
            }
        }
    }

    /// Holds that what was acknowledged is on the committed list, and that every client has that list soon.
    pub async fn settle(&self) {
        let Some(committed) = self.committed().await else {
            self.shared.record_violation(
                Rule::RegistrySame,
                "registry".to_owned(),
                "no replica tells its list".to_owned(),
            );
            return;
        };
        for uid in lock(&self.register.acknowledged).iter() {
            lock(&self.shared.tracker).invariants.record_check(Rule::RegistryKeeps);
            if !committed.contains_key(uid) {
                self.shared.record_violation(
                    Rule::RegistryKeeps,
                    uid.clone(),
                    "acknowledged, and not on the list".to_owned(),
                );
            }
        }
        let seen = lock(&self.seen).clone();
        let same = async {
            while !seen.iter().all(|seen| lock(seen).list == committed) {
                sleep(LOOK).await;
            }
        };
        let settled = timeout(SETTLES, same).await.is_ok();
        for (number, seen) in seen.iter().enumerate() {
            lock(&self.shared.tracker).invariants.record_check(Rule::RegistrySame);
            let own = lock(seen).list.clone();
            if !settled && own != committed {
                let what = format!("has {} instances, and {} are on the list", own.len(), committed.len());
                self.shared.record_violation(Rule::RegistrySame, format!("watcher {number}"), what);
            }
        }
    }

    /// The newest list that any replica tells, once it tells the same twice: nothing changes any more.
    async fn committed(&self) -> Option<BTreeMap<String, Target>> {
        let read = async || {
            let mut newest: Option<List> = None;
            for at in &self.addresses {
                let call = Call::get(INSTANCES_PATH, Duration::from_secs(2), MOST_LIST);
                let Ok(answer) = HttpClient::new(*at).call(&call).await else { continue };
                let list = serde_json::from_slice::<List>(&answer.body).ok();
                let newer = |list: &List| newest.as_ref().is_none_or(|newest| list.rev > newest.rev);
                newest = list.filter(newer).or(newest);
            }
            newest
        };
        let settles = async {
            let mut before = None;
            loop {
                let now = read().await;
                if let Some(list) = now {
                    if before == Some(list.rev) {
                        return list;
                    }
                    before = Some(list.rev);
                }
                sleep(Duration::from_millis(500)).await;
            }
        };
        let list = timeout(SETTLES, settles).await.ok()?;
        Some(list.targets.into_iter().map(|one| (one.uid.clone(), one)).collect())
    }

    /// What the clients came to between two times.
    pub fn account(&self, from: Nanos, to: Nanos) -> Account {
        let asked = lock(&self.register.asked).clone();
        let mut account = Account::default();
        for seen in lock(&self.seen).iter() {
            let seen = lock(seen);
            account.silent_ms = account.silent_ms.max(seen.silent as f64 / 1e6);
            let mut before = 0;
            for &(rev, at) in &seen.heard {
                for (_, &began) in
                    asked.range(before + 1..=rev).filter(|(_, began)| (from..to).contains(*began))
                {
                    // The first list that a client is told holds changes from before its time.
                    if before > 0 {
                        account.heard_ms.push(at.saturating_sub(began) as f64 / 1e6);
                    }
                }
                before = rev;
            }
        }
        account.heard_ms.sort_by(f64::total_cmp);
        account
    }
}

impl Account {
    /// The time within which this share of the changes was known.
    pub fn heard_by(&self, share: f64) -> Option<f64> {
        let at = (share * self.heard_ms.len().saturating_sub(1) as f64).round() as usize;
        self.heard_ms.get(at).copied()
    }
}
