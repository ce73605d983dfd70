//! Soak test of the registry with randomized faults of processes, links, stores and operators' calls. A seed gives the
//! faults and their times. Runs are judged by what clients recorded: no acknowledged write is lost, no revision
//! decreases, no instance that renews is removed, no backup lacks an acknowledged write, no term has two leaders, and
//! writes are accepted soon after the last fault.
//!
//! `REGISTRY_SOAK_SEEDS=60 cargo test -p flaxdale --test registry soak` runs more seeds, and `REGISTRY_SOAK_SEED=7` one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_registry::wire::Backup;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::cluster::{Cluster, Writer, WrittenInstances, registration};
use crate::{flaxdale_command, start_watchers};

/// The default number of seeds.
const SEEDS: u64 = 4;
/// How many of the seeds run in parallel.
const PARALLEL_RUNS: usize = 2;
const REPLICAS: usize = 3;
/// The period in which faults begin.
const FAULT_PERIOD_MS: u64 = 10_000;
/// Time within which writes are accepted after the last fault.
const WRITES_RESUME_WITHIN: Duration = Duration::from_secs(10);
/// SIGKILL follows SIGTERM after this time at the earliest.
const SIGKILL_AFTER: Duration = Duration::from_millis(3700);
/// Every expired lease removes its instance at once.
const SETTINGS: &str = "lease_ms = 6000\nbelieved_share = 1.0\nbelieved_count = 100000\nsnapshot_every = 200";
/// Time within which a leader completes a removal that was interrupted.
const MEMBERSHIP_SETTLES_WITHIN: Duration = Duration::from_secs(3);
/// Time limit of a call of the renewing client.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Number of clients that register instances, and their pause after each.
const WRITERS: usize = 3;
const WRITE_PAUSE: Duration = Duration::from_millis(30);
/// Name of the instance that is registered after the last fault.
const LAST_WRITE: &str = "last";
/// Number of instances that only renew.
const RENEWED_INSTANCES: usize = 20;

/// A fault, by the indices of the replicas that it concerns.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Terminate(usize),
    Pause(usize),
    /// The link is cut in this direction only.
    CutLink(usize, usize),
    Isolate(usize),
    /// The stores cannot grow, and are written to until they fail.
    FillStores(Vec<usize>),
    /// The caller of a leadership transfer goes away.
    DroppedLead(usize, Duration),
    /// The caller of a removal goes away. The replica is added again.
    DroppedRemove(usize, Duration),
    /// The caller of a restore goes away after a part.
    DroppedRestore,
    Backup,
}

#[derive(Clone, Debug)]
struct PlannedFault {
    fault: Fault,
    begins: Duration,
    ends: Duration,
}

fn draw_fault(random: &mut StdRng) -> Fault {
    let replica = random.random_range(0..REPLICAS);
    let other = (replica + random.random_range(1..REPLICAS)) % REPLICAS;
    let dropped_after = Duration::from_millis(random.random_range(0..900));
    match random.random_range(0..11) {
        0 => Fault::Kill(replica),
        1 => Fault::Terminate(replica),
        2 => Fault::Pause(replica),
        3 | 4 => Fault::CutLink(replica, other),
        5 => Fault::Isolate(replica),
        6 => Fault::FillStores(
            (0..random.random_range(1..=REPLICAS)).map(|by| (replica + by) % REPLICAS).collect(),
        ),
        7 => Fault::DroppedLead(replica, dropped_after),
        8 => Fault::DroppedRemove(replica, dropped_after),
        9 => Fault::DroppedRestore,
        _ => Fault::Backup,
    }
}

/// Draws the faults of a run. Some come in series on one replica, some begin in the moment of another.
fn draw_plan(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut plan: Vec<PlannedFault> = Vec::new();
    for _ in 0..random.random_range(4..9) {
        let begins = match plan.last() {
            Some(previous) if random.random_bool(0.3) => previous.begins,
            Some(previous) if random.random_bool(0.3) => previous.ends,
            _ => Duration::from_millis(random.random_range(0..FAULT_PERIOD_MS)),
        };
        let fault = draw_fault(random);
        let lasts = match fault {
            Fault::Terminate(_) => SIGKILL_AFTER,
            _ => Duration::from_millis(random.random_range(100..4000)),
        };
        plan.push(PlannedFault { fault, begins, ends: begins + lasts });
    }
    plan
}

/// A client that renews instances and records which of them the registry did not know.
struct Renewer {
    stop: Arc<AtomicBool>,
    task: JoinHandle<BTreeSet<String>>,
}

impl Renewer {
    fn start(addresses: Vec<SocketAddr>, written: Vec<Arc<Mutex<WrittenInstances>>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = stop.clone();
        let task = tokio::spawn(async move {
            let mut removed = BTreeSet::new();
            let mut replicas: Vec<HttpClient> = addresses.into_iter().map(HttpClient::new).collect();
            while !stopping.load(Ordering::Relaxed) {
                let (mut lives, mut acknowledged) = (Vec::new(), BTreeSet::new());
                for written in &written {
                    let written = written.lock().expect("no panic").clone();
                    acknowledged.extend(written.attempted[..written.acknowledged].iter().cloned());
                    lives.extend(written.attempted.iter().map(|uid| json!({"uid": uid, "boot_ms": 1})));
                }
                let body = json!({ "lives": lives }).to_string().into_bytes();
                for replica in &mut replicas {
                    let call = Call::post("/registry/renew", body.clone(), RENEWAL_TIMEOUT, 1 << 20);
                    let response = replica.call(&call).await;
                    let Some(response) = response.ok().filter(|response| response.status.is_success()) else {
                        continue;
                    };
                    let response: Value = serde_json::from_slice(&response.body).expect("a response");
                    let unknown = response["unknown"].as_array().cloned().unwrap_or_default();
                    let unknown = unknown.iter().filter_map(Value::as_str).map(str::to_owned);
                    // Those that are not acknowledged yet need not be on the list.
                    removed.extend(unknown.filter(|uid| acknowledged.contains(uid)));
                    break;
                }
                sleep(Duration::from_millis(300)).await;
            }
            removed
        });
        Self { stop, task }
    }

    async fn stop(self) -> BTreeSet<String> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("the renewer ended")
    }
}

/// The replicas that reported that they lead, by term.
type LeadersByTerm = Arc<Mutex<BTreeMap<u64, BTreeSet<u64>>>>;

/// Records which replicas reported that they lead in a term.
fn observe_leaders(addresses: Vec<SocketAddr>) -> (LeadersByTerm, JoinHandle<()>) {
    let leaders = LeadersByTerm::default();
    let observed = leaders.clone();
    let task = tokio::spawn(async move {
        let mut replicas: Vec<HttpClient> = addresses.into_iter().map(HttpClient::new).collect();
        loop {
            for replica in &mut replicas {
                let call = Call::get("/registry/status", Duration::from_millis(200), 1 << 20);
                let Ok(response) = replica.call(&call).await else { continue };
                let status: Value = serde_json::from_slice(&response.body).unwrap_or_default();
                if let (Some(true), Some(term), Some(id)) =
                    (status["leads"].as_bool(), status["term"].as_u64(), status["id"].as_u64())
                {
                    let mut observed = observed.lock().expect("no panic");
                    observed.entry(term).or_default().insert(id);
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
    });
    (leaders, task)
}

/// Takes a backup and returns the names of the given instances that it lacks; none if it was refused.
fn missing_in_backup(mut command: Command, file: &Path, acknowledged: Vec<String>) -> Vec<String> {
    if !command.output().expect("a process").status.success() {
        return Vec::new();
    }
    let backup: Backup =
        serde_json::from_slice(&std::fs::read(file).expect("a backup file")).expect("a backup");
    let saved: BTreeSet<&str> = backup.lines.iter().map(|line| line.instance.uid.as_str()).collect();
    acknowledged.into_iter().filter(|uid| !saved.contains(uid.as_str())).collect()
}

/// A cluster with faults in progress.
struct Run {
    cluster: Cluster,
    written: Vec<Arc<Mutex<WrittenInstances>>>,
    /// Backups in progress, each with the acknowledged instances that it lacks.
    backups: Vec<JoinHandle<Vec<String>>>,
    /// Operators' commands in progress, with the time at which they are killed.
    commands: Vec<(Child, Instant)>,
    errors: Vec<String>,
}

impl Run {
    fn is_running(&self, at: usize) -> bool {
        self.cluster.is_running(at)
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = flaxdale_command(arguments);
        for replica in &self.cluster.replicas {
            command.arg("--at").arg(replica.client.to_string());
        }
        command
    }

    fn spawn(&mut self, arguments: &[&str], killed_after: Duration) {
        let mut command = self.command(arguments);
        let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("a process");
        self.commands.push((child, Instant::now() + killed_after));
    }

    fn kill_due_commands(&mut self, all: bool) {
        self.commands.retain_mut(|(child, killed_at)| {
            let due = all || Instant::now() >= *killed_at;
            if due {
                // The command may have ended.
                let _ = child.kill();
                let _ = child.wait();
            }
            !due
        });
    }

    async fn begin(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(at) if self.is_running(*at) => self.cluster.kill(*at),
            Fault::Terminate(at) if self.is_running(*at) => self.cluster.signal(*at, Signal::TERM),
            Fault::Pause(at) if self.is_running(*at) => self.cluster.signal(*at, Signal::STOP),
            Fault::CutLink(from, to) => self.cluster.set_link_cut(*from, *to, true),
            Fault::Isolate(at) => self.cluster.set_isolated(*at, true),
            Fault::FillStores(limited) => {
                for at in limited.iter().filter(|at| self.is_running(**at)) {
                    self.cluster.limit_store_to_present_size(*at);
                }
                self.fill_stores();
            }
            Fault::DroppedLead(at, after) => {
                let peer = self.cluster.replicas[*at].peer.to_string();
                self.spawn(&["lead", &peer], *after);
            }
            Fault::DroppedRemove(at, after) => {
                let peer = self.cluster.replicas[*at].peer.to_string();
                self.spawn(&["remove", &peer], *after);
            }
            Fault::DroppedRestore => self.send_restore_part(),
            Fault::Backup => {
                let file = self.cluster.folder.path().join(format!("backup-{}.json", self.backups.len()));
                let command = self.command(&["backup", file.to_str().expect("a UTF-8 path")]);
                let acknowledged = self.written.iter().flat_map(|written| {
                    let written = written.lock().expect("no panic");
                    written.attempted[..written.acknowledged].to_vec()
                });
                let acknowledged = acknowledged.collect();
                let check = move || missing_in_backup(command, &file, acknowledged);
                self.backups.push(tokio::task::spawn_blocking(check));
            }
            Fault::Kill(_) | Fault::Terminate(_) | Fault::Pause(_) => {}
        }
    }

    /// Sends the first part of a backup, whose others never follow, from a client that does not wait for the response.
    fn send_restore_part(&self) {
        let line = json!({"instance": {"uid": "x".repeat(100), "endpoint": "1.2.3.4:5", "zone": "z".repeat(100),
            "kind": "k".repeat(100), "group": 0, "capacity": 1.0, "boot_ms": 1}, "state": "Ready",
            "suspect": false, "rev": 1});
        let body = json!({"part": 0, "parts": 2, "lines": vec![line; 100]}).to_string().into_bytes();
        for replica in &self.cluster.replicas {
            let (address, body) = (replica.client, body.clone());
            tokio::spawn(async move {
                let call = Call::post("/registry/restore", body, Duration::from_millis(100), 1 << 20);
                let _ = HttpClient::new(address).call(&call).await;
            });
        }
    }

    /// Lets the log grow, so that stores that cannot grow fail.
    fn fill_stores(&self) {
        for _ in 0..15 {
            self.send_restore_part();
        }
    }

    async fn end(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(at) => self.start_if_down(*at),
            Fault::Terminate(at) => {
                if self.is_running(*at) {
                    self.cluster.kill(*at);
                }
                self.start_if_down(*at);
            }
            Fault::Pause(at) if self.is_running(*at) => self.cluster.signal(*at, Signal::CONT),
            Fault::CutLink(from, to) => self.cluster.set_link_cut(*from, *to, false),
            Fault::Isolate(at) => self.cluster.set_isolated(*at, false),
            Fault::FillStores(limited) => {
                for at in limited.iter().filter(|at| self.is_running(**at)) {
                    self.cluster.lift_store_limit(*at);
                }
            }
            _ => {}
        }
    }

    fn start_if_down(&mut self, at: usize) {
        if !self.is_running(at) {
            self.cluster.start_replica(at);
        }
    }

    /// Plays the faults of a plan, each from its beginning to its end.
    async fn play(&mut self, plan: &[PlannedFault]) {
        let mut events: Vec<(Duration, bool, &Fault)> = Vec::new();
        for PlannedFault { fault, begins, ends } in plan {
            events.push((*begins, true, fault));
            events.push((*ends, false, fault));
        }
        events.sort_by_key(|(at, ..)| *at);
        let started_at = Instant::now();
        for (at, begins, fault) in events {
            while Instant::now() < started_at + at {
                self.kill_due_commands(false);
                sleep_until((started_at + at).min(Instant::now() + Duration::from_millis(20))).await;
            }
            if begins { self.begin(fault).await } else { self.end(fault).await }
        }
        self.kill_due_commands(true);
        self.heal();
    }

    /// Ends the faults that overlapped with others on the same replica.
    fn heal(&mut self) {
        for at in 0..REPLICAS {
            self.cluster.set_isolated(at, false);
            self.start_if_down(at);
            self.cluster.signal(at, Signal::CONT);
            self.cluster.lift_store_limit(at);
        }
    }

    /// Checks that writes are accepted soon.
    async fn check_writes_resume(&mut self) {
        let accepted = timeout(WRITES_RESUME_WITHIN, async {
            let mut client = self.cluster.client_of_all();
            while client.post::<Value>("/registry/register", &registration(LAST_WRITE, 1)).await.is_err() {
                sleep(Duration::from_millis(20)).await;
            }
        });
        if accepted.await.is_err() {
            self.errors.push(format!("no write accepted within {WRITES_RESUME_WITHIN:?} of the last fault"));
        }
    }

    /// Adds the replicas again that a removal has taken out of the membership, with empty stores.
    async fn restore_membership(&mut self) {
        let began = Instant::now();
        // A removal that was interrupted may be completed some time later.
        let mut complete_since = None;
        while began.elapsed() < Duration::from_secs(40) {
            sleep(Duration::from_millis(100)).await;
            let Some(members) = self.members().await else {
                complete_since = None;
                continue;
            };
            let is_member = |at: &usize| members.contains(&self.cluster.replicas[*at].peer.to_string());
            let Some(missing) = (0..REPLICAS).find(|at| !is_member(at)) else {
                if complete_since.get_or_insert_with(Instant::now).elapsed() >= MEMBERSHIP_SETTLES_WITHIN {
                    return;
                }
                continue;
            };
            complete_since = None;
            self.cluster.kill(missing);
            self.cluster.delete_store(missing);
            self.cluster.start_replica(missing);
            let peer = self.cluster.replicas[missing].peer.to_string();
            for _ in 0..20 {
                sleep(Duration::from_millis(500)).await;
                if self.command(&["add", &peer]).output().expect("a process").status.success() {
                    break;
                }
            }
        }
        self.errors.push("the membership is not complete".to_owned());
    }

    /// Returns the peer addresses of the voters, as the leader knows them.
    async fn members(&self) -> Option<BTreeSet<String>> {
        for at in 0..REPLICAS {
            let status = self.cluster.status(at).await.unwrap_or_default();
            if status["leads"] != json!(true) || status["ready"] != json!(true) {
                continue;
            }
            let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
            let voters = replicas.iter().filter(|replica| replica["votes"] == json!(true));
            return Some(voters.filter_map(|replica| replica["peer"].as_str().map(str::to_owned)).collect());
        }
        None
    }
}

/// Runs one seed and returns the number of acknowledged writes, or what went wrong.
async fn run_seed(seed: u64) -> Result<usize, String> {
    let mut random = StdRng::seed_from_u64(seed);
    let plan = draw_plan(&mut random);
    // Shown if the run fails, also by a panic.
    println!("seed {seed}: {plan:?}");
    let cluster = Cluster::start(REPLICAS, SETTINGS).await;
    let addresses: Vec<SocketAddr> = cluster.replicas.iter().map(|replica| replica.client).collect();
    let renewed: Vec<String> = (0..RENEWED_INSTANCES).map(|number| format!("renewed-{number}")).collect();
    for uid in &renewed {
        cluster.register(uid, 1).await;
    }
    // The last write of the run is renewed as well, from the start on.
    let attempted = renewed.iter().cloned().chain([LAST_WRITE.to_owned()]).collect();
    let at_start = WrittenInstances { attempted, acknowledged: renewed.len() };
    let mut written = vec![Arc::new(Mutex::new(at_start))];
    written.extend((0..WRITERS).map(|_| Arc::default()));
    let renewer = Renewer::start(addresses.clone(), written.clone());
    let (leaders, observer) = observe_leaders(addresses);
    let watchers = start_watchers(&cluster);
    let start_writer = |number: usize| {
        let (client, name) = (cluster.client_of_all(), format!("w{number}"));
        Writer::start_sharing(client, &name, WRITE_PAUSE, written[number].clone())
    };
    let writers: Vec<Writer> = (1..=WRITERS).map(start_writer).collect();
    let mut run = Run { cluster, written, backups: Vec::new(), commands: Vec::new(), errors: Vec::new() };
    run.play(&plan).await;
    run.check_writes_resume().await;
    run.restore_membership().await;
    for backup in std::mem::take(&mut run.backups) {
        let missing = backup.await.expect("the check of the backup ended");
        if !missing.is_empty() {
            run.errors.push(format!("acknowledged and missing in a backup: {missing:?}"));
        }
    }
    let mut acknowledged = Vec::new();
    for writer in writers {
        let record = writer.stop().await;
        let revs: Vec<u64> = record.acknowledged.iter().map(|(_, rev)| *rev).collect();
        if !revs.is_sorted() {
            run.errors.push(format!("revisions of a writer decrease: {revs:?}"));
        }
        acknowledged.extend(record.acknowledged.into_iter().map(|(uid, _)| uid));
    }
    let list = run.cluster.converged_list().await;
    let listed: BTreeSet<&str> = list.targets.iter().map(|target| target.uid.as_str()).collect();
    let lost: Vec<&String> =
        acknowledged.iter().chain(&renewed).filter(|uid| !listed.contains(uid.as_str())).collect();
    if !lost.is_empty() {
        run.errors.push(format!("not on the list in the end: {lost:?}"));
    }
    let removed = renewer.stop().await;
    if !removed.is_empty() {
        run.errors.push(format!("removed although they renewed: {removed:?}"));
    }
    for watcher in watchers {
        let seen = watcher.stop().await;
        if !seen.regressions.is_empty() {
            run.errors.push(format!("revisions of a watcher decrease: {:?}", seen.regressions));
        }
        if !seen.gone.is_empty() {
            run.errors.push(format!("watchers saw instances removed: {:?}", seen.gone));
        }
    }
    observer.abort();
    let contested: Vec<(u64, BTreeSet<u64>)> = leaders
        .lock()
        .expect("no panic")
        .iter()
        .filter(|(_, ids)| ids.len() > 1)
        .map(|(term, ids)| (*term, ids.clone()))
        .collect();
    if !contested.is_empty() {
        run.errors.push(format!("terms with several leaders: {contested:?}"));
    }
    if run.errors.is_empty() {
        return Ok(acknowledged.len());
    }
    Err(format!("seed {seed}: {:#?}\n{}", run.errors, run.cluster.logs()))
}

/// Runs one seed on a thread and a runtime of its own, so that a panic fails this seed and not the others.
fn run_seed_on_its_own(seed: u64) -> Result<usize, String> {
    let run = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        runtime.expect("a runtime").block_on(run_seed(seed))
    });
    run.join().unwrap_or_else(|panic| {
        let message = panic.downcast_ref::<String>().cloned().unwrap_or_default();
        Err(format!("seed {seed} panicked: {message}"))
    })
}

#[test]
fn soak_of_faults_loses_no_write_and_removes_no_renewed_instance() {
    let number = |name: &str| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    let seeds = match number("REGISTRY_SOAK_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("REGISTRY_SOAK_SEEDS").unwrap_or(SEEDS),
    };
    let parallel = number("REGISTRY_SOAK_PARALLEL").map_or(PARALLEL_RUNS, |parallel| parallel as usize);
    let next = Arc::new(Mutex::new(seeds));
    let workers: Vec<thread::JoinHandle<Vec<Result<usize, String>>>> = (0..parallel)
        .map(|_| {
            let next = next.clone();
            thread::spawn(move || {
                let mut runs = Vec::new();
                loop {
                    let Some(seed) = next.lock().expect("no panic").next() else { return runs };
                    runs.push(run_seed_on_its_own(seed));
                }
            })
        })
        .collect();
    let runs: Vec<Result<usize, String>> =
        workers.into_iter().flat_map(|worker| worker.join().expect("the worker finishes")).collect();
    let failed: Vec<&String> = runs.iter().filter_map(|run| run.as_ref().err()).collect();
    let writes: usize = runs.iter().flatten().sum();
    println!("{} seeds run, {} failed, {writes} writes acknowledged", runs.len(), failed.len());
    let failures: Vec<&str> = failed.iter().map(|failure| failure.as_str()).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
