//! Instances that register and renew, as an app server's own process would: the emulated ones, and further ones that are
//! there for their number. And a writer, whose every acknowledged registration has to be there in the end.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::Nanos;
use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_model::scenario::Registry;
use flaxdale_model::world::MS;
use hdrhistogram::Histogram;
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::servers::AppServer;
use crate::shared::{Shared, lock};

/// A call that takes longer has failed: longer than a replica takes to say that it does not know.
const PATIENCE: Duration = Duration::from_secs(5);
const MOST_ANSWER: usize = 1024 * 1024;
/// The longest write that is told apart, in microseconds.
const MOST_MICROS: u64 = 120_000_000;
/// Between two tries of what failed.
const AGAIN: Duration = Duration::from_millis(20);
/// A server that is up from the start has been for long.
const WARM: Nanos = 3_600_000 * MS;

/// What the writer and the registrants came to.
#[derive(Default)]
pub struct Register {
    /// Whoever renews, by name: they must not be told of as gone.
    pub alive: Mutex<BTreeSet<String>>,
    /// What was acknowledged to the writer.
    pub acknowledged: Mutex<BTreeSet<String>>,
    /// When each version was asked for, as far as the writer knows.
    pub asked: Mutex<BTreeMap<u64, Nanos>>,
    /// How long writes took, in microseconds.
    pub took: Mutex<Option<Histogram<u64>>>,
    /// The longest time between two acknowledgements, in nanoseconds, less the wait between two writes.
    pub gap: AtomicU64,
    /// Renewals that were answered.
    pub renewals: AtomicU64,
    /// Renewals that were not.
    pub missed: AtomicU64,
}

impl Register {
    fn count(&self, counter: &AtomicU64, more: u64) {
        counter.fetch_add(more, Ordering::Relaxed);
    }
}

/// A caller that goes on to the next replica where one fails.
struct Caller {
    links: Vec<HttpClient>,
    at: usize,
}

impl Caller {
    fn new(addresses: &[SocketAddr], first: usize) -> Self {
        let links: Vec<HttpClient> = addresses.iter().map(|at| HttpClient::new(*at)).collect();
        let at = first % links.len().max(1);
        Self { links, at }
    }

    /// One call. `Err` has the status, where one came.
    async fn post(&mut self, path: &str, body: &Value) -> Result<Value, Option<StatusCode>> {
        let call = Call::post(path, body.to_string().into_bytes(), PATIENCE, MOST_ANSWER);
        let answer = self.links[self.at].call(&call).await;
        let failed = |own: &mut Self, status| {
            own.at = (own.at + 1) % own.links.len();
            Err(status)
        };
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => {
                serde_json::from_slice(&answer.body).or_else(|_| failed(self, None))
            }
            Ok(answer) => failed(self, Some(answer.status)),
            Err(_) => failed(self, None),
        }
    }
}

/// Where the registry is, and what is known of who talks to it.
pub struct Registrants {
    shared: Arc<Shared>,
    plan: Registry,
    addresses: Vec<SocketAddr>,
    /// Where the further instances are said to listen.
    endpoints: Vec<SocketAddr>,
    /// The account.
    pub register: Arc<Register>,
}

impl Registrants {
    /// Nobody yet.
    pub fn new(
        shared: Arc<Shared>,
        plan: Registry,
        addresses: Vec<SocketAddr>,
        endpoints: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let register = Arc::new(Register::default());
        *lock(&register.took) = Histogram::new_with_bounds(1, MOST_MICROS, 3).ok();
        Arc::new(Self { shared, plan, addresses, endpoints, register })
    }

    fn target(&self, uid: &str, endpoint: SocketAddr, of: usize, boot_ms: u64) -> Value {
        let world = &self.shared.world;
        let spec = &world.servers[of].spec;
        json!({"uid": uid, "endpoint": endpoint.to_string(), "az": world.zones[spec.zone as usize],
            "model": world.kinds[spec.kind as usize], "pod_group": spec.cell, "capacity_hint": world.servers[of].weight,
            "boot_ms": boot_ms})
    }

    async fn register_until_done(&self, caller: &mut Caller, target: &Value) {
        while caller.post("/registry/register", target).await.is_err() {
            sleep(AGAIN).await;
        }
    }

    /// An emulated app server's own part: it registers when it is up, renews, drains and leaves; never ends.
    pub async fn keep(self: Arc<Self>, server: Arc<AppServer>) {
        let mut caller = Caller::new(&self.addresses, server.instance as usize);
        let place = self.shared.timeline().instances[server.instance as usize];
        let mut every = interval(Duration::from_millis(self.plan.renew_ms as u64));
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let uid = server.uid();
        // The life that it registered, and whether it drains.
        let mut registered: Option<(u64, bool)> = None;
        loop {
            every.tick().await;
            let speaks = server.is_reachable();
            if !speaks {
                // A process that has died or vanished says nothing: its lease lapses.
                lock(&self.register.alive).remove(&uid);
                if !server.is_up() {
                    registered = None;
                }
                continue;
            }
            let boot_ms = server.started_at().map_or(self.shared.clock.now() - WARM, |began| began) / MS;
            let (life, drains) = match registered {
                Some((life, drains)) => (life, drains),
                None => {
                    let target = self.target(&uid, server.address(), place.server, boot_ms);
                    self.register_until_done(&mut caller, &target).await;
                    lock(&self.register.alive).insert(uid.clone());
                    registered = Some((boot_ms, false));
                    continue;
                }
            };
            if server.is_draining() && !drains {
                lock(&self.register.alive).remove(&uid);
                if caller.post("/registry/drain", &json!({"uid": uid, "boot_ms": life})).await.is_ok() {
                    registered = Some((life, true));
                }
                continue;
            }
            let lives = json!({"lives": [{"uid": uid, "boot_ms": life}]});
            match caller.post("/registry/renew", &lives).await {
                Ok(done) if done["unknown"].as_array().is_some_and(|unknown| !unknown.is_empty()) => {
                    registered = None;
                }
                Ok(_) => self.register.count(&self.register.renewals, 1),
                Err(_) => self.register.count(&self.register.missed, 1),
            }
        }
    }

    /// Further instances, each with its own connection and its own renewals; they end with the runtime.
    pub async fn crowd(self: Arc<Self>) {
        let mut coming = tokio::task::JoinSet::new();
        for number in 0..self.plan.instances as usize {
            let own = self.clone();
            coming.spawn(async move {
                let mut caller = Caller::new(&own.addresses, number);
                let uid = format!("i{number}");
                let (of, boot_ms) = (number % own.endpoints.len(), (own.shared.clock.now() - WARM) / MS);
                let target = own.target(&uid, own.endpoints[of], of, boot_ms);
                own.register_until_done(&mut caller, &target).await;
                lock(&own.register.alive).insert(uid.clone());
                tokio::spawn(own.renew(caller, uid, boot_ms, target));
            });
        }
        while coming.join_next().await.is_some() {}
    }

    async fn renew(self: Arc<Self>, mut caller: Caller, uid: String, boot_ms: u64, target: Value) {
        let mut every = interval(Duration::from_millis(self.plan.renew_ms as u64));
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let lives = json!({"lives": [{"uid": uid, "boot_ms": boot_ms}]});
        loop {
            every.tick().await;
            match caller.post("/registry/renew", &lives).await {
                Ok(done) if done["unknown"].as_array().is_some_and(|unknown| !unknown.is_empty()) => {
                    self.register_until_done(&mut caller, &target).await;
                }
                Ok(_) => self.register.count(&self.register.renewals, 1),
                Err(_) => self.register.count(&self.register.missed, 1),
            }
        }
    }

    /// Registers one instance after the other, each again until it is acknowledged, and renews for all of them; until told
    /// to stop.
    pub async fn write(self: Arc<Self>, mut stop: tokio::sync::watch::Receiver<bool>) {
        if self.plan.writes_per_s <= 0.0 {
            return;
        }
        let boot_ms = (self.shared.clock.now() - WARM) / MS;
        let renewing = tokio::spawn(self.clone().renew_written(boot_ms));
        let mut caller = Caller::new(&self.addresses, 0);
        let pace = Duration::from_secs_f64(1.0 / self.plan.writes_per_s);
        let mut every = interval(pace);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last: Option<Nanos> = None;
        for number in 0.. {
            tokio::select! {
                _ = every.tick() => {}
                _ = stop.wait_for(|stop| *stop) => break,
            }
            let (uid, of) = (format!("w{number}"), number % self.endpoints.len());
            let target = self.target(&uid, self.endpoints[of], of, boot_ms);
            let asked = self.shared.clock.now();
            let acknowledged = loop {
                match caller.post("/registry/register", &target).await {
                    Ok(done) => break done["rev"].as_u64(),
                    Err(_) if *stop.borrow() => break None,
                    Err(_) => sleep(AGAIN).await,
                }
            };
            let Some(rev) = acknowledged else { break };
            let now = self.shared.clock.now();
            lock(&self.register.alive).insert(uid.clone());
            lock(&self.register.acknowledged).insert(uid);
            lock(&self.register.asked).insert(rev, asked);
            if let Some(took) = lock(&self.register.took).as_mut() {
                took.saturating_record(((now - asked) / 1000).max(1));
            }
            let idle = pace.as_nanos() as u64;
            let gap = last.map_or(now - asked, |last| (now - last).saturating_sub(idle));
            self.register.gap.fetch_max(gap, Ordering::Relaxed);
            last = Some(now);
        }
        renewing.abort();
    }

    /// One machine renews for all that the writer has registered, in one call.
    async fn renew_written(self: Arc<Self>, boot_ms: u64) {
        let mut caller = Caller::new(&self.addresses, 1);
        let mut every = interval(Duration::from_millis(self.plan.renew_ms as u64));
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            let written = lock(&self.register.acknowledged).clone();
            let lives: Vec<Value> =
                written.iter().map(|uid| json!({"uid": uid, "boot_ms": boot_ms})).collect();
            if lives.is_empty() {
                continue;
            }
            let count = lives.len() as u64;
            match caller.post("/registry/renew", &json!({ "lives": lives })).await {
                Ok(_) => self.register.count(&self.register.renewals, count),
                Err(_) => self.register.count(&self.register.missed, count),
            }
        }
    }
}
