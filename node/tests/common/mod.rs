//! Helpers: runs a node as a process, with scripted backends, discovery and clients on loopback sockets.
#![allow(dead_code)]

pub mod pressure;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// A wait longer than this fails the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP message read from a socket.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header_values(&self, name: &str) -> Vec<&str> {
        let matching = self.headers.iter().filter(|header| header.0.eq_ignore_ascii_case(name));
        matching.map(|(_, value)| value.as_str()).collect()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.header_values(name).first().copied()
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; none if the connection is closed first.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = || {
        let mut text = String::new();
        let read = reader.read_line(&mut text).ok()?;
        (read > 0).then(|| text.trim_end().to_owned())
    };
    let start_line = line()?;
    let mut headers = Vec::new();
    loop {
        let text = line()?;
        let Some((name, value)) = text.split_once(':') else { break };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { start_line, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a backend does with a request.
#[derive(Clone)]
pub enum Behavior {
    /// Writes the bytes and keeps the connection open.
    Respond(String),
    /// Writes the bytes and closes the connection.
    RespondAndClose(String),
    /// Writes nothing and keeps the connection open.
    Hang,
    /// Waits for the gate, then writes the bytes.
    RespondWhenOpen(Arc<Gate>, String),
    /// Writes the bytes evenly over the time, and keeps the connection open.
    RespondSlowly(String, Duration),
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn status(code: u16, headers: &str) -> String {
    format!("HTTP/1.1 {code} X\r\n{headers}Content-Length: 0\r\n\r\n")
}

/// A latch that backends wait on.
#[derive(Default)]
pub struct Gate {
    open: Mutex<bool>,
    changed: Condvar,
}

impl Gate {
    pub fn open(&self) {
        *self.open.lock().unwrap() = true;
        self.changed.notify_all();
    }

    pub fn wait(&self) {
        let open = self.open.lock().unwrap();
        let (_open, timed_out) = self.changed.wait_timeout_while(open, WAIT_TIMEOUT, |open| !*open).unwrap();
        assert!(!timed_out.timed_out(), "the gate never opened");
    }
}

/// A backend whose behavior the test scripts, and whose requests it can receive.
pub struct Backend {
    pub address: SocketAddr,
    pub requests: Receiver<Message>,
    pub connections: Arc<AtomicU32>,
    /// Connections closed by this backend that the node has closed as well.
    pub closed: Arc<AtomicU32>,
}

impl Backend {
    pub fn new(behavior: impl Fn(&Message) -> Behavior + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, requests) = channel();
        let connections = Arc::new(AtomicU32::new(0));
        let closed = Arc::new(AtomicU32::new(0));
        let (behavior, opened, closed_by_node) = (Arc::new(behavior), connections.clone(), closed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                opened.fetch_add(1, Ordering::SeqCst);
                let (behavior, sender, closed_by_node) =
                    (behavior.clone(), sender.clone(), closed_by_node.clone());
                thread::spawn(move || serve_connection(stream, &*behavior, &sender, &closed_by_node));
            }
        });
        Self { address, requests, connections, closed }
    }

    pub fn next_request(&self) -> Message {
        self.requests.recv_timeout(WAIT_TIMEOUT).expect("a request reaches the backend")
    }

    pub fn request_count(&self) -> usize {
        self.requests.try_iter().count()
    }
}

fn serve_connection(
    stream: TcpStream,
    behavior: &dyn Fn(&Message) -> Behavior,
    sender: &Sender<Message>,
    closed_by_node: &AtomicU32,
) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let next = behavior(&message);
        if sender.send(message).is_err() {
            return;
        }
        let written = match next {
            Behavior::Respond(text) => writer.write_all(text.as_bytes()),
            Behavior::RespondWhenOpen(gate, text) => {
                gate.wait();
                writer.write_all(text.as_bytes())
            }
            Behavior::RespondSlowly(text, duration) => write_slowly(&mut writer, &text, duration),
            Behavior::RespondAndClose(text) => {
                let _ = writer.write_all(text.as_bytes());
                let _ = writer.shutdown(Shutdown::Write);
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                closed_by_node.fetch_add(1, Ordering::SeqCst);
                return;
            }
            Behavior::Hang => Ok(()),
        };
        if written.is_err() {
            return;
        }
    }
}

fn write_slowly(writer: &mut TcpStream, text: &str, duration: Duration) -> std::io::Result<()> {
    const PIECES: usize = 40;
    for piece in text.as_bytes().chunks(text.len().div_ceil(PIECES)) {
        thread::sleep(duration / PIECES as u32);
        writer.write_all(piece)?;
    }
    Ok(())
}

/// What discovery does with a call.
#[derive(Clone, Copy, PartialEq)]
pub enum CallBehavior {
    /// Sends the list, at once or when it changes.
    SendList,
    /// The same, but the response leaves this much later.
    SendListLate(Duration),
    /// Never responds.
    Hang,
    /// Sends an endless response byte by byte.
    Trickle,
    /// Closes the connection.
    Close,
}

type Script = dyn Fn(usize) -> CallBehavior + Send + Sync;

/// A discovery service with one list and watches on it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    /// Request lines of all calls so far.
    pub calls: Arc<Mutex<Vec<String>>>,
    script: Arc<Script>,
}

impl Discovery {
    pub fn new(targets: Value) -> Self {
        Self::with_script(targets, |_| CallBehavior::SendList)
    }

    /// The script decides on each call by its number, counted from 0.
    pub fn with_script(
        targets: Value,
        script: impl Fn(usize) -> CallBehavior + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new((1, list(1, &targets))), Condvar::new())),
            calls: Arc::default(),
            script: Arc::new(script),
        };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve_connection(stream));
            }
        });
        discovery
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            let number = {
                let mut calls = self.calls.lock().unwrap();
                calls.push(message.start_line.clone());
                calls.len() - 1
            };
            let latency = match (self.script)(number) {
                CallBehavior::SendList => Duration::ZERO,
                CallBehavior::SendListLate(latency) => latency,
                CallBehavior::Hang => continue,
                CallBehavior::Close => return,
                CallBehavior::Trickle => {
                    let head = "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n{\"rev\":9,\"all\":true,\"targets\":[";
                    let mut bytes = head.bytes().chain(std::iter::repeat_n(b' ', 50_000));
                    while bytes.next().is_some_and(|byte| writer.write_all(&[byte]).is_ok()) {
                        thread::sleep(Duration::from_millis(20));
                    }
                    return;
                }
            };
            let from_rev =
                message.start_line.split("from=").nth(1).and_then(|t| t.split('&').next()?.parse().ok());
            let (lock, changed) = &*self.state;
            let state = lock.lock().unwrap();
            let unchanged = |state: &mut (u64, String)| Some(state.0) == from_rev;
            let hold_ms =
                message.start_line.split("hold_ms=").nth(1).and_then(|t| t.split(' ').next()?.parse().ok());
            let timeout = Duration::from_millis(hold_ms.unwrap_or(0));
            let (state, _) = changed.wait_timeout_while(state, timeout, unchanged).unwrap();
            let text = if Some(state.0) == from_rev {
                format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, state.0)
            } else {
                state.1.clone()
            };
            drop(state);
            thread::sleep(latency);
            if writer.write_all(ok(&text).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Replaces the list; watches get it in full.
    pub fn set_targets(&self, targets: Value) {
        let rev = self.state.0.lock().unwrap().0 + 1;
        self.set_response(rev, list(rev, &targets));
    }

    /// Sets the body that watches get next, valid or not.
    pub fn set_response(&self, rev: u64, text: String) {
        *self.state.0.lock().unwrap() = (rev, text);
        self.state.1.notify_all();
    }

    /// Waits for a watch from this revision, which means that the node has applied it.
    pub fn wait_for_watch_from(&self, rev: u64) {
        let query = format!("from={rev}&");
        wait_until("the node watches from the revision", || {
            self.calls.lock().unwrap().iter().any(|call| call.contains(&query))
        });
    }

    pub fn call_count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    pub fn rev(&self) -> u64 {
        self.state.0.lock().unwrap().0
    }
}

fn list(rev: u64, targets: &Value) -> String {
    json!({"rev": rev, "all": true, "targets": targets}).to_string()
}

/// Waits for a condition.
pub fn wait_until(condition: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..WAIT_TIMEOUT.as_millis() / 5 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("timed out waiting: {condition}");
}

pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "k", "pod_group": 0, "state": state,
        "capacity_hint": 1.0, "boot_ms": 0})
}

pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key-scope": "zone", "window-ns": 10_000_000_000u64,
            "on-time-ns": 2_000_000_000u64, "deadline-ns": 4_000_000_000u64, "importance": 1.0})
    };
    json!({"az": "a", "zones": ["a", "b"], "kinds": ["k"], "n-instances": 2, "discovery": "pushed",
        "classes": [class("read", "repeatable"), class("join", "by_key"), class("pay", "once")],
        "projects": [{"name": "acme", "quota-rps": 1000.0}],
        "policy-limits": {"attempts-cap": 3, "may-cancel": true, "second-copies": true, "probes": false,
            "retry-after": true, "max-retry-after-ns": 1_000_000_000u64, "conn-idle-ns": 30_000_000_000u64,
            "connect-timeout-ns": 1_000_000_000u64},
        "goal": {"worst-class": 0.1}, "quantum-ns": 1_000_000,
        "rules": {"answer-slack-ns": 20_000_000, "drain-grace-ns": 500_000_000u64, "fall-ns": 1_500_000_000u64,
            "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000_000_000u64}})
}

pub fn config(discovery: SocketAddr, known: Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 0, "all": true, "targets": known}, "settings": settings()})
}

/// A discovery service that lists these backends as `s-0`, `s-1` and so on, and the configuration of a node that knows them.
pub fn discovery_of(backends: &[Backend]) -> (Discovery, Value) {
    let targets: Vec<Value> =
        (0..).zip(backends).map(|(n, backend)| target(&format!("s-{n}"), backend.address, "Ready")).collect();
    let discovery = Discovery::new(json!(targets));
    let config = config(discovery.address, json!(targets));
    (discovery, config)
}

/// Runs the seeds of a soak, as many as `SOAK_SEEDS` says or else `default_seeds`, some in parallel.
pub fn run_seeds<Run: Send + 'static>(
    default_seeds: u64,
    parallel_runs: u64,
    run_seed: fn(u64) -> Run,
) -> Vec<Run> {
    let seeds =
        std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(default_seeds);
    let next = Arc::new(Mutex::new(0..seeds));
    let worker = |_| {
        let next = next.clone();
        thread::spawn(move || {
            let mut runs = Vec::new();
            loop {
                let Some(seed) = next.lock().unwrap().next() else { return runs };
                runs.push(run_seed(seed));
            }
        })
    };
    let workers: Vec<thread::JoinHandle<Vec<Run>>> = (0..parallel_runs).map(worker).collect();
    workers.into_iter().flat_map(|worker| worker.join().expect("the worker finishes")).collect()
}

/// A node's process, killed when dropped.
pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    config_path: PathBuf,
    log: Arc<Mutex<String>>,
}

/// Starts the node with this configuration text.
pub fn spawn(config: &str) -> Child {
    spawn_with_config(Command::new(binary()), config, &[]).0
}

/// The node's program: the one just built, or the one that `NODE_BINARY` names, to compare two versions.
fn binary() -> String {
    std::env::var("NODE_BINARY").unwrap_or_else(|_| env!("CARGO_BIN_EXE_badgerpost").to_owned())
}

fn spawn_with_config(mut program: Command, config: &str, variables: &[(&str, &str)]) -> (Child, PathBuf) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("badgerpost-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let child = program
        .env("EDGE_CONFIG", &path)
        .envs(variables.iter().copied())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the node starts");
    (child, path)
}

fn read_listen_address(reader: &mut BufReader<ChildStderr>) -> SocketAddr {
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap() > 0 {
        if let Ok(fields) = serde_json::from_str::<Value>(&line) {
            if let Some(address) = fields["listen"].as_str() {
                return address.parse().unwrap();
            }
        } else if let Some((_, fields)) = line.split_once(" listening ") {
            let address = fields.split_whitespace().find_map(|field| field.strip_prefix("listen="));
            return address.expect("the address").parse().unwrap();
        }
        line.clear();
    }
    panic!("the node exited before it listened");
}

impl Node {
    pub fn start(config: &Value) -> Self {
        Self::start_with_env(config, &[])
    }

    /// Starts with additional environment variables.
    pub fn start_with_env(config: &Value, variables: &[(&str, &str)]) -> Self {
        Self::run(Command::new(binary()), config, variables)
    }

    /// Starts with the process's descriptor limit set to that of the configuration.
    pub fn start_with_descriptor_limit(config: &Value) -> Self {
        let mut program = Command::new("sh");
        program.args(["-c", &format!("ulimit -n {}; exec \"$0\"", config["limits"]["sockets"]), &binary()]);
        Self::run(program, config, &[])
    }

    fn run(program: Command, config: &Value, variables: &[(&str, &str)]) -> Self {
        let (mut child, config_path) = spawn_with_config(program, &config.to_string(), variables);
        let mut reader = BufReader::new(child.stderr.take().unwrap());
        let address = read_listen_address(&mut reader);
        let log = Arc::new(Mutex::new(String::new()));
        let log_writer = log.clone();
        thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                log_writer.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        Self { child, address, config_path, log }
    }

    /// Starts a node whose discovery lists these backends as `s-0`, `s-1` and so on.
    pub fn with_backends(backends: &[&Backend]) -> (Self, Discovery) {
        let targets: Vec<Value> = (0..)
            .zip(backends)
            .map(|(n, backend)| target(&format!("s-{n}"), backend.address, "Ready"))
            .collect();
        let discovery = Discovery::new(json!(targets));
        let node = Self::start(&config(discovery.address, json!([])));
        discovery.wait_for_watch_from(1);
        (node, discovery)
    }

    pub fn log_contains(&self, text: &str) -> bool {
        self.log.lock().unwrap().contains(text)
    }

    /// The log lines so far that contain the text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        self.log.lock().unwrap().lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Peak of the process's resident memory, in KiB.
    pub fn peak_resident_kb(&self) -> u64 {
        self.try_peak_resident_kb().expect("the process runs")
    }

    /// Peak of the process's resident memory, in KiB; none if it has ended.
    pub fn try_peak_resident_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reconfigure(&self, config: &str) {
        std::fs::write(&self.config_path, config).unwrap();
        self.signal("-HUP");
    }

    pub fn request(&self, text: &str) -> Message {
        Client::connect(self.address).request(text).expect("a response")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client's connection.
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).expect("a connection")
    }

    /// None if the connection fails.
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        let writer = TcpStream::connect(address).ok()?;
        writer.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let reader = BufReader::new(writer.try_clone().unwrap());
        Some(Self { writer, reader })
    }

    pub fn write(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).unwrap();
    }

    /// Like `write`, but ignores errors: the node may have closed the connection.
    pub fn try_write(&mut self, text: &str) {
        let _ = self.writer.write_all(text.as_bytes());
    }

    pub fn read_response(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.writer, Some(Duration::ZERO)).unwrap();
    }

    pub fn request(&mut self, text: &str) -> Option<Message> {
        self.write(text);
        self.read_response()
    }
}

pub fn get(id: &str, extra_headers: &str) -> String {
    format!(
        "GET /api?x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: read\r\nX-Caller: acme\r\n\
         X-Budget-Ms: 3000\r\n{extra_headers}\r\n"
    )
}

pub fn post(class: &str, id: &str, extra_headers: &str, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: acme\r\n\
         X-Budget-Ms: 3000\r\nContent-Length: {}\r\n{extra_headers}\r\n{body}",
        body.len()
    )
}
