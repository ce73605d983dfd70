//! Registration of instances: of the emulated app servers, of additional instances that only register and renew, and of
//! a writer whose acknowledged registrations all have to be on the final list.

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

/// Timeout of a call. Longer than a replica takes to report that the outcome of a change is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Upper bound of the histogram of write latencies.
const MAX_WRITE_LATENCY_US: u64 = 120_000_000;
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Uptime that instances running from the start report; long enough to be past their slow start.
const INITIAL_UPTIME: Nanos = 3_600_000 * MS;

/// What was registered during a run, and how long it took.
#[derive(Default)]
pub struct RegistrationLog {
    /// UIDs of the instances that renew their lease: the registry must not list them as gone.
    pub renewing: Mutex<BTreeSet<String>>,
    /// UIDs of the writer's acknowledged registrations.
    pub acknowledged: Mutex<BTreeSet<String>>,
    /// When the writer sent the registration that became each revision.
    pub sent_at: Mutex<BTreeMap<u64, Nanos>>,
    /// Latency of the writes, in microseconds.
    pub write_latency_us: Mutex<Option<Histogram<u64>>>,
    /// Longest time between two acknowledgements, less the interval between two writes, in nanoseconds.
    pub max_write_gap: AtomicU64,
    /// Lease renewals that succeeded.
    pub renewals: AtomicU64,
    /// Lease renewals that failed.
    pub failed_renewals: AtomicU64,
}

impl RegistrationLog {
    fn add(&self, counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }
}

/// A registry client that moves on to the next replica when a call fails.
struct FailoverClient {
    replicas: Vec<HttpClient>,
    current: usize,
}

impl FailoverClient {
    fn new(addresses: &[SocketAddr], first: usize) -> Self {
        let replicas: Vec<HttpClient> = addresses.iter().map(|address| HttpClient::new(*address)).collect();
        let current = first % replicas.len().max(1);
        Self { replicas, current }
    }

    /// Sends a POST request. The error is the status of the response, if there was one.
    async fn post(&mut self, path: &str, body: &Value) -> Result<Value, Option<StatusCode>> {
        let call = Call::post(path, body.to_string().into_bytes(), CALL_TIMEOUT, MAX_RESPONSE_BYTES);
        let response = self.replicas[self.current].call(&call).await;
        let failed = |client: &mut Self, status| {
            client.current = (client.current + 1) % client.replicas.len();
            Err(status)
        };
        match response {
            Ok(response) if response.status == StatusCode::OK => {
                serde_json::from_slice(&response.body).or_else(|_| failed(self, None))
            }
            Ok(response) => failed(self, Some(response.status)),
            Err(_) => failed(self, None),
        }
    }
}

/// Registers instances with the replicas and renews their leases.
pub struct Registrar {
    shared: Arc<Shared>,
    settings: Registry,
    addresses: Vec<SocketAddr>,
    /// Endpoints that additional instances register.
    endpoints: Vec<SocketAddr>,
    /// What was registered.
    pub log: Arc<RegistrationLog>,
}

impl Registrar {
    /// A registrar that has not registered anything.
    pub fn new(
        shared: Arc<Shared>,
        settings: Registry,
        addresses: Vec<SocketAddr>,
        endpoints: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let log = Arc::new(RegistrationLog::default());
        *lock(&log.write_latency_us) = Histogram::new_with_bounds(1, MAX_WRITE_LATENCY_US, 3).ok();
        Arc::new(Self { shared, settings, addresses, endpoints, log })
    }

    fn registration(&self, uid: &str, endpoint: SocketAddr, server: usize, boot_ms: u64) -> Value {
        let world = &self.shared.world;
        let spec = &world.servers[server].spec;
        json!({"uid": uid, "endpoint": endpoint.to_string(), "az": world.zones[spec.zone as usize],
            "model": world.kinds[spec.kind as usize], "pod_group": spec.cell, "capacity_hint": world.servers[server].weight,
            "boot_ms": boot_ms})
    }

    async fn register_with_retries(&self, client: &mut FailoverClient, registration: &Value) {
        while client.post("/registry/register", registration).await.is_err() {
            sleep(RETRY_DELAY).await;
        }
    }

    /// Acts for an emulated app server: registers it when it is up, renews its lease and drains it. Never returns.
    pub async fn run_server(self: Arc<Self>, server: Arc<AppServer>) {
        let mut client = FailoverClient::new(&self.addresses, server.instance as usize);
        let instance = self.shared.timeline().instances[server.instance as usize];
        let mut renewals = interval(Duration::from_millis(self.settings.renew_ms as u64));
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let uid = server.uid();
        // The registered boot time, and whether the registry was told that the instance drains.
        let mut registered: Option<(u64, bool)> = None;
        loop {
            renewals.tick().await;
            let reachable = server.is_reachable();
            if !reachable {
                // A process that is down or unreachable sends nothing, so its lease expires.
                lock(&self.log.renewing).remove(&uid);
                if !server.is_up() {
                    registered = None;
                }
                continue;
            }
            let boot_ms =
                server.started_at().map_or(self.shared.clock.now() - INITIAL_UPTIME, |started_at| started_at)
                    / MS;
            let (registered_boot_ms, drains) = match registered {
                Some((registered_boot_ms, drains)) => (registered_boot_ms, drains),
                None => {
                    let registration = self.registration(&uid, server.address(), instance.server, boot_ms);
                    self.register_with_retries(&mut client, &registration).await;
                    lock(&self.log.renewing).insert(uid.clone());
                    registered = Some((boot_ms, false));
                    continue;
                }
            };
            if server.is_draining() && !drains {
                lock(&self.log.renewing).remove(&uid);
                if client
                    .post("/registry/drain", &json!({"uid": uid, "boot_ms": registered_boot_ms}))
                    .await
                    .is_ok()
                {
                    registered = Some((registered_boot_ms, true));
                }
                continue;
            }
            let renewal = json!({"lives": [{"uid": uid, "boot_ms": registered_boot_ms}]});
            match client.post("/registry/renew", &renewal).await {
                Ok(response) if response["unknown"].as_array().is_some_and(|unknown| !unknown.is_empty()) => {
                    registered = None;
                }
                Ok(_) => self.log.add(&self.log.renewals, 1),
                Err(_) => self.log.add(&self.log.failed_renewals, 1),
            }
        }
    }

    /// Registers the additional instances, each with its own connection, and renews their leases in the background.
    pub async fn run_additional_instances(self: Arc<Self>) {
        let mut registering = tokio::task::JoinSet::new();
        for number in 0..self.settings.instances as usize {
            let registrar = self.clone();
            registering.spawn(async move {
                let mut client = FailoverClient::new(&registrar.addresses, number);
                let uid = format!("i{number}");
                let (server, boot_ms) = (
                    number % registrar.endpoints.len(),
                    (registrar.shared.clock.now() - INITIAL_UPTIME) / MS,
                );
                let registration = registrar.registration(&uid, registrar.endpoints[server], server, boot_ms);
                registrar.register_with_retries(&mut client, &registration).await;
                lock(&registrar.log.renewing).insert(uid.clone());
                tokio::spawn(registrar.renew(client, uid, boot_ms, registration));
            });
        }
        while registering.join_next().await.is_some() {}
    }

    async fn renew(
        self: Arc<Self>,
        mut client: FailoverClient,
        uid: String,
        boot_ms: u64,
        registration: Value,
    ) {
        let mut renewals = interval(Duration::from_millis(self.settings.renew_ms as u64));
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let renewal = json!({"lives": [{"uid": uid, "boot_ms": boot_ms}]});
        loop {
            renewals.tick().await;
            match client.post("/registry/renew", &renewal).await {
                Ok(response) if response["unknown"].as_array().is_some_and(|unknown| !unknown.is_empty()) => {
                    self.register_with_retries(&mut client, &registration).await;
                }
                Ok(_) => self.log.add(&self.log.renewals, 1),
                Err(_) => self.log.add(&self.log.failed_renewals, 1),
            }
        }
    }

    /// Registers new instances at the configured rate until `stop`, retrying each until it is acknowledged, and renews
    /// their leases.
    pub async fn write(self: Arc<Self>, mut stop: tokio::sync::watch::Receiver<bool>) {
        if self.settings.writes_per_s <= 0.0 {
            return;
        }
        let boot_ms = (self.shared.clock.now() - INITIAL_UPTIME) / MS;
        let renewal_task = tokio::spawn(self.clone().renew_written(boot_ms));
        let mut client = FailoverClient::new(&self.addresses, 0);
        let write_interval = Duration::from_secs_f64(1.0 / self.settings.writes_per_s);
        let mut writes = interval(write_interval);
        writes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_ack: Option<Nanos> = None;
        for number in 0.. {
            tokio::select! {
                _ = writes.tick() => {}
                _ = stop.wait_for(|stop| *stop) => break,
            }
            let (uid, server) = (format!("w{number}"), number % self.endpoints.len());
            let registration = self.registration(&uid, self.endpoints[server], server, boot_ms);
            let sent_at = self.shared.clock.now();
            let acknowledged_rev = loop {
                match client.post("/registry/register", &registration).await {
                    Ok(response) => break response["rev"].as_u64(),
                    Err(_) if *stop.borrow() => break None,
                    Err(_) => sleep(RETRY_DELAY).await,
                }
            };
            let Some(rev) = acknowledged_rev else { break };
            let now = self.shared.clock.now();
            lock(&self.log.renewing).insert(uid.clone());
            lock(&self.log.acknowledged).insert(uid);
            lock(&self.log.sent_at).insert(rev, sent_at);
            if let Some(write_latency_us) = lock(&self.log.write_latency_us).as_mut() {
                write_latency_us.saturating_record(((now - sent_at) / 1000).max(1));
            }
            let idle = write_interval.as_nanos() as u64;
            let gap = last_ack.map_or(now - sent_at, |last_ack| (now - last_ack).saturating_sub(idle));
            self.log.max_write_gap.fetch_max(gap, Ordering::Relaxed);
            last_ack = Some(now);
        }
        renewal_task.abort();
    }

    /// Renews the leases of all instances that the writer has registered, in one call each time.
    async fn renew_written(self: Arc<Self>, boot_ms: u64) {
        let mut client = FailoverClient::new(&self.addresses, 1);
        let mut renewals = interval(Duration::from_millis(self.settings.renew_ms as u64));
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            renewals.tick().await;
            let uids = lock(&self.log.acknowledged).clone();
            let keys: Vec<Value> = uids.iter().map(|uid| json!({"uid": uid, "boot_ms": boot_ms})).collect();
            if keys.is_empty() {
                continue;
            }
            let count = keys.len() as u64;
            match client.post("/registry/renew", &json!({ "lives": keys })).await {
                Ok(_) => self.log.add(&self.log.renewals, count),
                Err(_) => self.log.add(&self.log.failed_renewals, count),
            }
        }
    }
}
