//! A registry of several processes for tests, with links between them that can be cut one way, and clients that keep
//! account of what they were told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_fleet::watch::{ListHeader, ListUpdate, WatchClient, WatchPolicy};
use flaxdale_registry::client::{Client, ClientError};
use flaxdale_registry::list::State;
use flaxdale_registry::wire::{Listing, Target};
use flaxdale_rig::listener::ReservedPort;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// What has not come by then does not come.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Waits until something holds; fails with its name if it never does.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < PATIENCE, "never came: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Which way bytes pass: from one replica to another.
type Gates = Arc<Vec<Vec<watch::Sender<bool>>>>;

/// One replica's process.
pub struct One {
    pub client: SocketAddr,
    pub peer: SocketAddr,
    config: PathBuf,
    data: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
    _ports: [ReservedPort; 2],
}

/// A registry of several processes.
pub struct Site {
    pub folder: tempfile::TempDir,
    pub replicas: Vec<One>,
    gates: Gates,
}

/// Carries what one replica sends to another, and the answers.
async fn wire(listener: TcpListener, to: SocketAddr, gates: Gates, (from, into): (usize, usize)) {
    while let Ok((near, _)) = listener.accept().await {
        let gates = gates.clone();
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(to).await else { return };
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            let pass = async |mut input: tokio::net::tcp::OwnedReadHalf,
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
                () = pass(near_in, far_out, gates[from][into].subscribe()) => {}
                () = pass(far_in, near_out, gates[into][from].subscribe()) => {}
            }
        });
    }
}

impl Site {
    /// Starts so many replicas with these further settings, and waits until one leads and all are ready.
    pub async fn start(count: usize, settings: &str) -> Self {
        let mut site = Self::prepare(count, settings).await;
        for at in 0..count {
            site.boot(at);
        }
        site.ready().await;
        site
    }

    /// The same before any process runs.
    pub async fn prepare(count: usize, settings: &str) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let gates: Gates =
            Arc::new((0..count).map(|_| (0..count).map(|_| watch::Sender::new(true)).collect()).collect());
        let ports: Vec<[ReservedPort; 2]> = (0..count)
            .map(|_| [ReservedPort::reserve().expect("a port"), ReservedPort::reserve().expect("a port")])
            .collect();
        let at = |port: &ReservedPort| port.address().expect("its address");
        let peers: Vec<SocketAddr> = ports.iter().map(|[_, peer]| at(peer)).collect();
        let mut replicas = Vec::new();
        for (own, ports) in ports.into_iter().enumerate() {
            let mut via = String::from("[via]\n");
            for (other, peer) in peers.iter().enumerate().filter(|(other, _)| *other != own) {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let between = listener.local_addr().expect("its address");
                via.push_str(&format!("\"{peer}\" = \"{between}\"\n"));
                tokio::spawn(wire(listener, *peer, gates.clone(), (own, other)));
            }
            let (client, peer) = (at(&ports[0]), peers[own]);
            let data = folder.path().join(format!("data-{own}"));
            let config = folder.path().join(format!("r{own}.toml"));
            let listed: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
            let text = format!(
                "fleet = \"test\"\nlisten = \"{client}\"\npeer_listen = \"{peer}\"\nreplicas = [{}]\ndata = {data:?}\n{settings}\n{via}",
                listed.join(", ")
            );
            std::fs::write(&config, text).expect("written");
            let log = folder.path().join(format!("r{own}.log"));
            replicas.push(One { client, peer, config, data, log, child: None, _ports: ports });
        }
        Self { folder, replicas, gates }
    }

    /// Starts a replica's process.
    pub fn boot(&mut self, at: usize) {
        let one = &mut self.replicas[at];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&one.log).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_flaxdale"))
            .args(["registry", "serve", "--config"])
            .arg(&one.config)
            .env("EDGE_TETHER", "stdin")
            .env("EDGE_LOG", std::env::var("TEST_LOG").unwrap_or_else(|_| "info,openraft=error".to_owned()))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("started");
        one.child = Some(child);
    }

    pub fn signal(&self, at: usize, signal: Signal) {
        let child = self.replicas[at].child.as_ref().expect("it runs");
        kill_process(Pid::from_child(child), signal).expect("signalled");
    }

    /// Kills a replica outright, and waits until it has gone.
    pub fn kill(&mut self, at: usize) {
        let mut child = self.replicas[at].child.take().expect("it runs");
        child.kill().expect("killed");
        child.wait().expect("gone");
    }

    pub fn pid(&self, at: usize) -> Pid {
        Pid::from_child(self.replicas[at].child.as_ref().expect("it runs"))
    }

    /// Empties a replica's store; it must not run.
    pub fn lose_store(&self, at: usize) {
        std::fs::remove_dir_all(&self.replicas[at].data).expect("removed");
    }

    /// Cuts what one replica sends to another, or lets it pass again.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        self.gates[from][to].send_replace(!cut);
    }

    /// Cuts a replica off from all others, both ways.
    pub fn isolate(&self, at: usize, cut: bool) {
        for other in (0..self.replicas.len()).filter(|other| *other != at) {
            self.cut(at, other, cut);
            self.cut(other, at, cut);
        }
    }

    pub fn client(&self, at: usize) -> Client {
        Client::new(&[self.replicas[at].client])
    }

    /// One that knows all replicas.
    pub fn any(&self) -> Client {
        let addresses: Vec<SocketAddr> = self.replicas.iter().map(|one| one.client).collect();
        Client::new(&addresses)
    }

    pub async fn status(&self, at: usize) -> Option<Value> {
        self.client(at).get("/registry/status").await.ok()
    }

    /// Which of the replicas that run says that it leads, once all of these are ready and one does.
    pub async fn ready(&self) -> usize {
        let began = Instant::now();
        loop {
            let (mut leaders, mut unready) = (Vec::new(), Vec::new());
            for (at, _) in self.replicas.iter().enumerate().filter(|(_, one)| one.child.is_some()) {
                let status = self.status(at).await.unwrap_or_default();
                if status["ready"] != json!(true) {
                    unready.push((at, status["unready"].clone()));
                }
                if status["leads"] == json!(true) {
                    leaders.push(at);
                }
            }
            if unready.is_empty() && leaders.len() == 1 {
                return leaders[0];
            }
            assert!(
                began.elapsed() < PATIENCE,
                "never ready: {unready:?}, leaders {leaders:?}\n{}",
                self.logs()
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// [`until`], with the logs if it never comes.
    pub async fn until(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let began = Instant::now();
        while !holds().await {
            assert!(began.elapsed() < PATIENCE, "never came: {what}\n{}", self.logs());
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// The ends of all logs.
    pub fn logs(&self) -> String {
        let mut all = String::new();
        for (at, one) in self.replicas.iter().enumerate() {
            let text = std::fs::read_to_string(&one.log).unwrap_or_default();
            let tail: Vec<&str> = text.lines().rev().take(25).collect();
            all.push_str(&format!("--- replica {at}\n"));
            tail.iter().rev().for_each(|line| all.push_str(&format!("{line}\n")));
        }
        all
    }

    pub async fn register(&self, uid: &str, boot_ms: u64) {
        let mut client = self.any();
        until(&format!("{uid} is registered"), async || {
            client.post::<Value>("/registry/register", &instance(uid, boot_ms)).await.is_ok()
        })
        .await;
    }

    /// The committed list, once every replica that runs has the same one.
    pub async fn settled(&self) -> Listing {
        let mut agreed = None;
        let began = Instant::now();
        while agreed.is_none() {
            let mut lists: Vec<Listing> = Vec::new();
            for (at, _) in self.replicas.iter().enumerate().filter(|(_, one)| one.child.is_some()) {
                lists.extend(self.client(at).get("/registry/instances").await);
            }
            if !lists.is_empty() && lists.iter().all(|list| *list == lists[0]) {
                agreed = lists.pop();
            }
            assert!(began.elapsed() < PATIENCE, "replicas never agree\n{}", self.logs());
            sleep(Duration::from_millis(50)).await;
        }
        agreed.expect("agreed")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.replicas.iter_mut().filter_map(|one| one.child.as_mut()) {
            // It may have ended, or be paused.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What an instance registers with.
pub fn instance(uid: &str, boot_ms: u64) -> Value {
    json!({"uid": uid, "endpoint": "127.0.0.1:9000", "az": "a", "model": "m1", "boot_ms": boot_ms})
}

/// What a watcher has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// The list as it has it.
    pub list: BTreeMap<String, Target>,
    pub rev: u64,
    pub incarnation: u64,
    /// Versions that stepped back.
    pub backwards: Vec<(u64, u64)>,
    /// The longest time without an answer.
    pub silent: Duration,
    /// Instances that it took for gone, with the time.
    pub gone: Vec<String>,
    pub answers: u64,
}

/// A client that watches until it is told to stop.
pub struct Watcher {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Seen>,
}

impl Watcher {
    /// Watches these replicas, starting with the first.
    pub fn of(addresses: Vec<SocketAddr>, rules: WatchPolicy) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let mut links: Vec<HttpClient> = addresses.iter().map(|at| HttpClient::new(*at)).collect();
            let mut follower = WatchClient::new(rules, links.len(), 0.0);
            let (began, mut seen) = (Instant::now(), Seen::default());
            let mut last = began;
            while !stopped.load(Ordering::Relaxed) {
                let (at, ask) = follower.next_request(began.elapsed());
                tokio::time::sleep_until(began + at).await;
                let asked = began.elapsed();
                let call = Call::get(ask.path_and_query(), ask.hold + Duration::from_secs(2), 64 << 20);
                let answer = links[ask.replica].call(&call).await;
                let answer = answer.ok().filter(|answer| answer.status.is_success());
                let Some(answer) = answer else {
                    follower.on_failure(began.elapsed(), None, 0.5);
                    continue;
                };
                let list: Listing = serde_json::from_slice(&answer.body).expect("a list");
                let head = ListHeader {
                    incarnation: list.incarnation,
                    rev: list.rev,
                    full: list.all,
                    age: answer.list_age(),
                };
                // What a replica tells on its own account: a client that asks with what it has seen is told nothing older.
                if ask.seen.is_some_and(|rev| list.rev < rev) {
                    seen.backwards.push((seen.rev, list.rev));
                }
                let take = follower.on_response(asked, began.elapsed(), head);
                seen.take(take, list);
                seen.silent = seen.silent.max(last.elapsed());
                last = Instant::now();
                seen.answers += 1;
            }
            seen.silent = seen.silent.max(last.elapsed());
            seen
        });
        Self { stop, task }
    }

    /// Ends it where it stands.
    pub fn stop_now(self) {
        self.task.abort();
    }

    /// Ends it, with what it has seen. A watch that waits is answered first.
    pub async fn stop(self) -> Seen {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("it watched")
    }
}

impl Seen {
    fn take(&mut self, take: ListUpdate, list: Listing) {
        if take == ListUpdate::Ignore {
            return;
        }
        if take == ListUpdate::Full {
            let stays = |uid: &String| list.targets.iter().any(|one| one.uid == *uid);
            let gone: Vec<String> = self.list.keys().filter(|uid| !stays(uid)).cloned().collect();
            self.gone.extend(gone);
            self.list.clear();
        }
        (self.rev, self.incarnation) = (list.rev, list.incarnation);
        for one in list.targets {
            if one.state == State::Gone {
                self.list.remove(&one.uid);
                self.gone.push(one.uid);
            } else {
                self.list.insert(one.uid.clone(), one);
            }
        }
    }
}

/// Writes that go on until they are told to stop: one registration after the other.
pub struct Writer {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Written>,
}

/// What was acknowledged.
#[derive(Debug, Default)]
pub struct Written {
    /// By name, with the version that was told.
    pub acknowledged: Vec<(String, u64)>,
    /// The longest time without an acknowledgement.
    pub silent: Duration,
    /// Calls that brought none.
    pub failed: u64,
}

impl Writer {
    pub fn start(mut client: Client, name: &str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, name) = (stop.clone(), name.to_owned());
        let task = tokio::spawn(async move {
            let (mut written, mut last, mut number) = (Written::default(), Instant::now(), 0);
            while !stopped.load(Ordering::Relaxed) {
                let uid = format!("{name}-{number}");
                match client.post::<Value>("/registry/register", &instance(&uid, 1)).await {
                    Ok(done) => {
                        written.silent = written.silent.max(last.elapsed());
                        last = Instant::now();
                        written.acknowledged.push((uid, done["rev"].as_u64().expect("a version")));
                        number += 1;
                    }
                    // The same one again: it may have been carried out.
                    Err(_) => {
                        written.failed += 1;
                        sleep(Duration::from_millis(10)).await;
                    }
                }
            }
            written
        });
        Self { stop, task }
    }

    pub async fn stop(self) -> Written {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("it wrote")
    }
}

/// Why a call was refused, with its status.
pub fn refusal<T>(done: Result<T, ClientError>) -> (u16, String) {
    match done {
        Err(ClientError::Rejected { status, text }) => (status, text),
        Err(error) => panic!("not refused: {error}"),
        Ok(_) => panic!("not refused, but done"),
    }
}
