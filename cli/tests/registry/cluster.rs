//! A registry of several processes for tests, with links between replicas that can be cut in one direction, and clients
//! that record the responses they get.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_fleet::watch::{ListHeader, ListUpdate, WatchClient, WatchPolicy};
use flaxdale_registry::client::{Client, ClientError};
use flaxdale_registry::list::State;
use flaxdale_registry::wire::{Listing, Target};
use flaxdale_rig::listener::ReservedPort;
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Time after which a wait fails.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition holds; panics with its description after the timeout.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < TIMEOUT, "timed out waiting until {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Whether bytes pass from one replica to another, by sender and receiver.
type Gates = Arc<Vec<Vec<watch::Sender<bool>>>>;

/// The process of a replica.
pub struct ReplicaProcess {
    pub client: SocketAddr,
    pub peer: SocketAddr,
    config: PathBuf,
    data: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
    _ports: [ReservedPort; 2],
}

pub struct Cluster {
    pub folder: tempfile::TempDir,
    pub replicas: Vec<ReplicaProcess>,
    gates: Gates,
}

/// Forwards connections of one replica to another, and the responses, while the gates are open.
async fn forward(listener: TcpListener, to: SocketAddr, gates: Gates, (from, into): (usize, usize)) {
    while let Ok((inbound, _)) = listener.accept().await {
        let gates = gates.clone();
        tokio::spawn(async move {
            let Ok(outbound) = TcpStream::connect(to).await else { return };
            let (inbound_reader, inbound_writer) = inbound.into_split();
            let (outbound_reader, outbound_writer) = outbound.into_split();
            let copy = async |mut input: tokio::net::tcp::OwnedReadHalf,
                              mut output: tokio::net::tcp::OwnedWriteHalf,
                              mut gate: watch::Receiver<bool>| {
                let mut bytes = vec![0; 16 * 1024];
                while let Ok(count @ 1..) = input.read(&mut bytes).await {
                    if gate.wait_for(|open| *open).await.is_err()
                        || output.write_all(&bytes[..count]).await.is_err()
                    {
                        return;
                    }
                }
            };
            tokio::select! {
                () = copy(inbound_reader, outbound_writer, gates[from][into].subscribe()) => {}
                () = copy(outbound_reader, inbound_writer, gates[into][from].subscribe()) => {}
            }
        });
    }
}

impl Cluster {
    /// Starts replicas with additional settings and waits until all are ready and one leads.
    pub async fn start(count: usize, settings: &str) -> Self {
        let mut cluster = Self::prepare(count, settings).await;
        for index in 0..count {
            cluster.start_replica(index);
        }
        cluster.wait_ready().await;
        cluster
    }

    /// Prepares a cluster without starting its processes.
    pub async fn prepare(count: usize, settings: &str) -> Self {
        let folder = tempfile::tempdir().expect("a directory");
        let gates: Gates =
            Arc::new((0..count).map(|_| (0..count).map(|_| watch::Sender::new(true)).collect()).collect());
        let ports: Vec<[ReservedPort; 2]> = (0..count)
            .map(|_| {
                [ReservedPort::reserve().expect("a free port"), ReservedPort::reserve().expect("a free port")]
            })
            .collect();
        let address_of = |port: &ReservedPort| port.address().expect("a local address");
        let peers: Vec<SocketAddr> = ports.iter().map(|[_, peer]| address_of(peer)).collect();
        let mut replicas = Vec::new();
        for (index, ports) in ports.into_iter().enumerate() {
            let mut via = String::from("[via]\n");
            for (other, peer) in peers.iter().enumerate().filter(|(other, _)| *other != index) {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let proxy = listener.local_addr().expect("a local address");
                via.push_str(&format!("\"{peer}\" = \"{proxy}\"\n"));
                tokio::spawn(forward(listener, *peer, gates.clone(), (index, other)));
            }
            let (client, peer) = (address_of(&ports[0]), peers[index]);
            let data = folder.path().join(format!("data-{index}"));
            let config = folder.path().join(format!("r{index}.toml"));
            let quoted: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
            let text = format!(
                "fleet = \"test\"\nlisten = \"{client}\"\npeer_listen = \"{peer}\"\nreplicas = [{}]\ndata = {data:?}\n{settings}\n{via}",
                quoted.join(", ")
            );
            std::fs::write(&config, text).expect("a written file");
            let log = folder.path().join(format!("r{index}.log"));
            replicas.push(ReplicaProcess { client, peer, config, data, log, child: None, _ports: ports });
        }
        Self { folder, replicas, gates }
    }

    /// Starts the process of a replica.
    pub fn start_replica(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(&replica.log).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_flaxdale"))
            .args(["registry", "serve", "--config"])
            .arg(&replica.config)
            .env("EDGE_TETHER", "stdin")
            .env("EDGE_LOG", std::env::var("TEST_LOG").unwrap_or_else(|_| "info,openraft=error".to_owned()))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a started process");
        replica.child = Some(child);
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.replicas[index].child.is_some()
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.replicas[index].child.as_ref().expect("a running process");
        kill_process(Pid::from_child(child), signal).expect("a delivered signal");
    }

    /// Kills a replica with SIGKILL and waits for its exit.
    pub fn kill(&mut self, index: usize) {
        let mut child = self.replicas[index].child.take().expect("a running process");
        child.kill().expect("a killed process");
        child.wait().expect("an exited process");
    }

    pub fn pid(&self, index: usize) -> Pid {
        Pid::from_child(self.replicas[index].child.as_ref().expect("a running process"))
    }

    /// Makes writes of a replica fail that would let its store grow, as on a full disk.
    pub fn limit_store_to_present_size(&self, index: usize) {
        let store = std::fs::metadata(self.replicas[index].data.join("registry.redb")).expect("a store");
        self.set_file_size_limit(index, Some(store.len()));
    }

    /// Lifts the limit of [`Self::limit_store_to_present_size`].
    pub fn lift_store_limit(&self, index: usize) {
        self.set_file_size_limit(index, None);
    }

    fn set_file_size_limit(&self, index: usize, limit: Option<u64>) {
        let limit = Rlimit { current: limit, maximum: None };
        prlimit(Some(self.pid(index)), Resource::Fsize, limit).expect("a file size limit");
    }

    /// Deletes the store of a stopped replica.
    pub fn delete_store(&self, index: usize) {
        std::fs::remove_dir_all(&self.replicas[index].data).expect("a removed directory");
    }

    /// Cuts or restores the link from replica replica to another.
    pub fn set_link_cut(&self, from: usize, to: usize, cut: bool) {
        self.gates[from][to].send_replace(!cut);
    }

    /// Cuts or restores all links of a replica in both directions.
    pub fn set_isolated(&self, index: usize, cut: bool) {
        for other in (0..self.replicas.len()).filter(|other| *other != index) {
            self.set_link_cut(index, other, cut);
            self.set_link_cut(other, index, cut);
        }
    }

    pub fn client(&self, index: usize) -> Client {
        Client::new(&[self.replicas[index].client])
    }

    /// Returns a client that knows all replicas.
    pub fn client_of_all(&self) -> Client {
        let addresses: Vec<SocketAddr> = self.replicas.iter().map(|replica| replica.client).collect();
        Client::new(&addresses)
    }

    pub async fn status(&self, index: usize) -> Option<Value> {
        self.client(index).get("/registry/status").await.ok()
    }

    /// Waits until all running replicas are ready and one of them leads; returns the leader.
    pub async fn wait_ready(&self) -> usize {
        let began = Instant::now();
        loop {
            let (mut leaders, mut unready) = (Vec::new(), Vec::new());
            for (index, _) in self.replicas.iter().enumerate().filter(|(_, replica)| replica.child.is_some())
            {
                let status = self.status(index).await.unwrap_or_default();
                if status["ready"] != json!(true) {
                    unready.push((index, status["unready"].clone()));
                }
                if status["leads"] == json!(true) {
                    leaders.push(index);
                }
            }
            if unready.is_empty() && leaders.len() == 1 {
                return leaders[0];
            }
            assert!(
                began.elapsed() < TIMEOUT,
                "timed out waiting for ready replicas: not ready {unready:?}, leaders {leaders:?}\n{}",
                self.logs()
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Like [`wait_until`], and prints the logs of all replicas on failure.
    pub async fn wait_until(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let began = Instant::now();
        while !holds().await {
            assert!(began.elapsed() < TIMEOUT, "timed out waiting until {what}\n{}", self.logs());
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the last lines of all logs.
    pub fn logs(&self) -> String {
        let mut all = String::new();
        for (index, replica) in self.replicas.iter().enumerate() {
            let text = std::fs::read_to_string(&replica.log).unwrap_or_default();
            let tail: Vec<&str> = text.lines().rev().take(25).collect();
            all.push_str(&format!("--- replica {index}\n"));
            tail.iter().rev().for_each(|line| all.push_str(&format!("{line}\n")));
        }
        all
    }

    pub async fn register(&self, uid: &str, boot_ms: u64) {
        let mut client = self.client_of_all();
        wait_until(&format!("{uid} is registered"), async || {
            client.post::<Value>("/registry/register", &registration(uid, boot_ms)).await.is_ok()
        })
        .await;
    }

    /// Returns the committed list once all running replicas answer with the same list.
    pub async fn converged_list(&self) -> Listing {
        let mut common = None;
        let began = Instant::now();
        while common.is_none() {
            let running = (0..self.replicas.len()).filter(|index| self.is_running(*index)).count();
            let mut lists: Vec<Listing> = Vec::new();
            for (index, _) in self.replicas.iter().enumerate().filter(|(_, replica)| replica.child.is_some())
            {
                lists.extend(self.client(index).get("/registry/instances").await);
            }
            if lists.len() == running && lists.iter().all(|list| *list == lists[0]) {
                common = lists.pop();
            }
            assert!(began.elapsed() < TIMEOUT, "timed out waiting for equal lists\n{}", self.logs());
            sleep(Duration::from_millis(50)).await;
        }
        common.expect("a common list")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.replicas.iter_mut().filter_map(|replica| replica.child.as_mut()) {
            // The process may have ended or be paused.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the registration of an instance.
pub fn registration(uid: &str, boot_ms: u64) -> Value {
    json!({"uid": uid, "endpoint": "127.0.0.1:9000", "az": "a", "model": "m1", "boot_ms": boot_ms})
}

/// What a watcher has received.
#[derive(Debug, Default)]
pub struct WatchRecord {
    pub list: BTreeMap<String, Target>,
    pub rev: u64,
    pub incarnation: u64,
    /// Pairs of a revision seen and a lower one received after it.
    pub regressions: Vec<(u64, u64)>,
    /// The longest time between two responses.
    pub max_gap: Duration,
    /// Instances that were removed from the list.
    pub gone: Vec<String>,
    pub responses: u64,
}

/// A client that watches the list until stopped.
pub struct Watcher {
    stop: Arc<AtomicBool>,
    task: JoinHandle<WatchRecord>,
}

impl Watcher {
    /// Starts to watch the replicas, beginning with the first.
    pub fn start(addresses: Vec<SocketAddr>, policy: WatchPolicy) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = stop.clone();
        let task = tokio::spawn(async move {
            let mut clients: Vec<HttpClient> =
                addresses.iter().map(|address| HttpClient::new(*address)).collect();
            let mut watch = WatchClient::new(policy, clients.len(), 0.0);
            let (began, mut seen) = (Instant::now(), WatchRecord::default());
            let mut last = began;
            while !stopping.load(Ordering::Relaxed) {
                let (next_at, request) = watch.next_request(began.elapsed());
                tokio::time::sleep_until(began + next_at).await;
                let sent_at = began.elapsed();
                let call =
                    Call::get(request.path_and_query(), request.hold + Duration::from_secs(2), 64 << 20);
                let response = clients[request.replica].call(&call).await;
                let response = response.ok().filter(|response| response.status.is_success());
                let Some(response) = response else {
                    watch.on_failure(began.elapsed(), None, 0.5);
                    continue;
                };
                let list: Listing = serde_json::from_slice(&response.body).expect("a list");
                let header = ListHeader {
                    incarnation: list.incarnation,
                    rev: list.rev,
                    full: list.all,
                    age: response.list_age(),
                };
                // A replica must not answer with a revision older than the one given in the request.
                if request.seen.is_some_and(|rev| list.rev < rev) {
                    seen.regressions.push((seen.rev, list.rev));
                }
                let update = watch.on_response(sent_at, began.elapsed(), header);
                seen.apply(update, list);
                seen.max_gap = seen.max_gap.max(last.elapsed());
                last = Instant::now();
                seen.responses += 1;
            }
            seen.max_gap = seen.max_gap.max(last.elapsed());
            seen
        });
        Self { stop, task }
    }

    /// Stops at once.
    pub fn stop_now(self) {
        self.task.abort();
    }

    /// Stops after the response to the current watch and returns what was received.
    pub async fn stop(self) -> WatchRecord {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("the watcher ended")
    }
}

impl WatchRecord {
    fn apply(&mut self, update: ListUpdate, list: Listing) {
        if update == ListUpdate::Ignore {
            return;
        }
        if update == ListUpdate::Full {
            let is_listed = |uid: &String| list.targets.iter().any(|target| target.uid == *uid);
            let gone: Vec<String> = self.list.keys().filter(|uid| !is_listed(uid)).cloned().collect();
            self.gone.extend(gone);
            self.list.clear();
        }
        (self.rev, self.incarnation) = (list.rev, list.incarnation);
        for target in list.targets {
            if target.state == State::Gone {
                self.list.remove(&target.uid);
                self.gone.push(target.uid);
            } else {
                self.list.insert(target.uid.clone(), target);
            }
        }
    }
}

/// A client that registers one instance after another until stopped.
pub struct Writer {
    stop: Arc<AtomicBool>,
    task: JoinHandle<WriteRecord>,
}

/// The results of a writer.
#[derive(Debug, Default)]
pub struct WriteRecord {
    /// Names of the acknowledged instances with the revisions returned.
    pub acknowledged: Vec<(String, u64)>,
    /// The longest time between two acknowledgements.
    pub max_gap: Duration,
    pub failed: u64,
}

/// Names of instances that a writer has registered or is about to register, for a client that renews their leases.
#[derive(Clone, Debug, Default)]
pub struct WrittenInstances {
    pub attempted: Vec<String>,
    /// The number of them that are acknowledged, from the first on.
    pub acknowledged: usize,
}

impl Writer {
    pub fn start(client: Client, name: &str) -> Self {
        Self::start_sharing(client, name, Duration::ZERO, Arc::default())
    }

    /// Starts a writer that pauses after each registration and shares the names before it registers them.
    pub fn start_sharing(
        mut client: Client,
        name: &str,
        pause: Duration,
        written: Arc<Mutex<WrittenInstances>>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopping, name) = (stop.clone(), name.to_owned());
        let task = tokio::spawn(async move {
            let (mut record, mut last, mut number) = (WriteRecord::default(), Instant::now(), 0);
            while !stopping.load(Ordering::Relaxed) {
                let uid = format!("{name}-{number}");
                let share = |update: fn(&mut WrittenInstances, &str)| {
                    update(&mut written.lock().expect("no panic"), &uid);
                };
                share(|written, uid| {
                    if written.attempted.last().is_none_or(|last| last != uid) {
                        written.attempted.push(uid.to_owned());
                    }
                });
                match client.post::<Value>("/registry/register", &registration(&uid, 1)).await {
                    Ok(body) => {
                        record.max_gap = record.max_gap.max(last.elapsed());
                        last = Instant::now();
                        share(|written, _| written.acknowledged = written.attempted.len());
                        record.acknowledged.push((uid, body["rev"].as_u64().expect("a revision")));
                        number += 1;
                        sleep(pause).await;
                    }
                    // Retries the same registration, which may have been applied.
                    Err(_) => {
                        record.failed += 1;
                        sleep(Duration::from_millis(10)).await;
                    }
                }
            }
            record
        });
        Self { stop, task }
    }

    pub async fn stop(self) -> WriteRecord {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("the writer ended")
    }
}

/// Returns the status and the reason of a rejected call.
pub fn expect_rejection<T>(result: Result<T, ClientError>) -> (u16, String) {
    match result {
        Err(ClientError::Rejected { status, text }) => (status, text),
        Err(error) => panic!("expected a rejection, got: {error}"),
        Ok(_) => panic!("expected a rejection, but the call succeeded"),
    }
}
