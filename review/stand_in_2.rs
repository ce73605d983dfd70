//! Stand-ins for clients, app servers, discovery and links, and helpers to run the project's programs, for the cases of the
//! second review. Standard library only. Every socket is on loopback.
#![allow(dead_code)]

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
const TIME_LIMIT: Duration = Duration::from_secs(115);

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        self.file.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }
}

/// The programs that a run has started.
#[derive(Default)]
pub struct Programs(Mutex<Vec<Child>>);

impl Programs {
    pub fn end_all(&self) {
        for child in self.0.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What a case has.
#[derive(Clone)]
pub struct Case {
    pub record: Record,
    pub programs: Arc<Programs>,
    pub folder: PathBuf,
    pub trouble: bool,
    log_count: Arc<AtomicU64>,
}

/// Runs a case: its first argument is the path of its `record.txt`. Ends with the exit code of the case.
pub fn run_case(case: impl FnOnce(&Case) -> Result<i32, String> + Send + 'static) -> ! {
    let record_path = PathBuf::from(std::env::args().nth(1).expect("the path of record.txt"));
    let temporary = std::env::var("TMPDIR").unwrap_or_else(|_| "/tmp".to_owned());
    let folder = Path::new(&temporary).join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let file = Arc::new(Mutex::new(File::create(record_path).expect("record.txt")));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record { started_at: Instant::now(), file };
    let context =
        Case { record, programs: Arc::default(), folder: folder.clone(), trouble, log_count: Arc::default() };
    context.record.line(&format!("start, trouble={trouble}"));
    let (sender, result) = std::sync::mpsc::channel();
    let for_case = context.clone();
    thread::spawn(move || {
        let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&for_case)));
        let _ = sender.send(ended.unwrap_or_else(|_| Err("the test panicked".to_owned())));
    });
    let result =
        result.recv_timeout(TIME_LIMIT).unwrap_or_else(|_| Err("the time limit was reached".to_owned()));
    context.programs.end_all();
    let _ = std::fs::remove_dir_all(&folder);
    let (code, text) = match result {
        Ok(HELD) => (HELD, "the rule held".to_owned()),
        Ok(code) => (code, "the rule was broken".to_owned()),
        Err(cause) => (NOT_RUN, format!("the case could not run: {cause}")),
    };
    context.record.line(&text);
    println!("{text}");
    std::process::exit(code)
}

static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// A free port of a loopback address that this process alone uses. No port is given twice, and none that the system gives to
/// connections, which could take it before the program that listens there has started.
pub fn free_address() -> SocketAddr {
    let process = std::process::id();
    let own = Ipv4Addr::new(127, 64 + (process % 128) as u8, 1 + (process / 128 % 250) as u8, 1);
    loop {
        let address = SocketAddr::from((own, NEXT_PORT.fetch_add(1, Ordering::SeqCst)));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Case {
    /// Starts a command of the deploy file, or another program of the project, from the root of the repository.
    pub fn start(&self, command: &str, variables: &[(&str, String)]) -> u32 {
        let number = self.log_count.fetch_add(1, Ordering::SeqCst);
        let log = File::create(self.folder.join(format!("log-{number}"))).expect("a log file");
        let mut shell = Command::new("/bin/sh");
        // The program ends together with this process, even if that is killed.
        shell.arg("-c").arg(command).stdin(Stdio::piped()).env("EDGE_TETHER", "stdin");
        shell.stdout(Stdio::null()).stderr(log).env("EDGE_LOG", "info").env("TMPDIR", &self.folder);
        for (name, value) in variables {
            shell.env(name, value);
        }
        let child = shell.spawn().expect("a program of the project");
        let id = child.id();
        self.programs.0.lock().unwrap().push(child);
        id
    }

    /// Sends a signal to a program that was started.
    pub fn signal(&self, id: u32, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {id}")).status();
    }

    /// Runs a command to its end; its output if it succeeded.
    pub fn command(&self, command: &str) -> Result<String, String> {
        let output = Command::new("/bin/sh").arg("-c").arg(command).stdin(Stdio::null()).output();
        let output = output.map_err(|error| error.to_string())?;
        let text =
            format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        self.record.line(&format!("operator: {command}: {}", text.trim().replace('\n', "; ")));
        if output.status.success() { Ok(text) } else { Err(text) }
    }

    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("a settings file");
        path
    }

    /// Waits for a condition.
    pub fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        mut done: impl FnMut() -> bool,
    ) -> Result<(), String> {
        let started_at = Instant::now();
        while !done() {
            if started_at.elapsed() > limit {
                return Err(format!("not in time: {what}"));
            }
            thread::sleep(ms(20));
        }
        self.record.line(what);
        Ok(())
    }
}

/// An HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub head: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    (reader.read_line(&mut text).ok()? > 0 && text.ends_with('\n')).then(|| text.trim_end().to_owned())
}

/// Reads one message with a length or in chunks; none if the connection ended before.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message { start_line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else { break };
        message.head.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.field("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.split(';').next()?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            read_line(reader)?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Sends a request over a new connection and reads the answer; none if there was none within the limit.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(ms(1000))).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n{length}\r\n{body}");
    stream.write_all(head.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// A request that an app server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub budget_ms: i64,
}

/// An app server. It answers each request after some work; while it hangs it answers none.
#[derive(Clone)]
pub struct AppServer {
    pub uid: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub hangs: Arc<AtomicBool>,
}

impl AppServer {
    pub fn start(case: &Case, uid: &str, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let server = Self {
            uid: uid.to_owned(),
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            hangs: Arc::default(),
        };
        let (for_connections, record) = (server.clone(), case.record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (for_connections.clone(), record.clone());
                thread::spawn(move || server.serve(stream, &record, work));
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream, record: &Record, work: Duration) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let id = request.field("x-call-id").unwrap_or("-").to_owned();
            let budget_ms = request.field("x-budget-ms").and_then(|text| text.parse().ok()).unwrap_or(-1);
            record.line(&format!("{} runs {id}, told {budget_ms} ms", self.uid));
            self.runs.lock().unwrap().push(Run { at: record.now(), id: id.clone(), budget_ms });
            thread::sleep(work);
            while self.hangs.load(Ordering::SeqCst) {
                thread::sleep(ms(10));
            }
            let body = format!("{id} by {}", self.uid);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Its line on the list of discovery.
    pub fn target(&self, zone: &str, state: &str) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{zone}","model":"dual-core","pod_group":1,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#,
            self.uid, self.address
        )
    }
}

/// Discovery: the whole list, and long polls. Each answer leaves `delay_ms` later than it could.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    pub delay_ms: Arc<AtomicU64>,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Agent {
    pub fn start(targets: &[String]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new((1, targets.join(","))), Condvar::new()));
        let agent = Self { address, delay_ms: Arc::default(), state };
        let server = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        agent
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let number = |name: &str| {
                let text = request.start_line.split(name).nth(1)?;
                text.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let (from, hold) = (number("from="), ms(number("hold_ms=").unwrap_or(0)));
            let (lock, changed) = &*self.state;
            let state = changed.wait_timeout_while(lock.lock().unwrap(), hold, |state| Some(state.0) == from);
            let (rev, targets) = state.unwrap().0.clone();
            let body = if Some(rev) == from {
                format!(r#"{{"rev":{rev},"all":false,"targets":[]}}"#)
            } else {
                format!(r#"{{"rev":{rev},"all":true,"targets":[{targets}]}}"#)
            };
            thread::sleep(ms(self.delay_ms.load(Ordering::SeqCst)));
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Replaces the list.
    pub fn set(&self, targets: &[String]) {
        let mut state = self.state.0.lock().unwrap();
        *state = (state.0 + 1, targets.join(","));
        self.state.1.notify_all();
    }
}

/// A link to an address. While answers are lost, what is sent to the target arrives and what it answers does not.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    pub loses_answers: Arc<AtomicBool>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let link = Self { address: listener.local_addr().unwrap(), loses_answers: Arc::default() };
        let loses_answers = link.loses_answers.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let loses_answers = loses_answers.clone();
                thread::spawn(move || relay(client, target, loses_answers));
            }
        });
        link
    }
}

fn relay(client: TcpStream, target: SocketAddr, loses_answers: Arc<AtomicBool>) {
    let Ok(server) = TcpStream::connect(target) else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(from_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) else { return };
    thread::spawn(move || copy(from_client, to_server, None));
    copy(server, client, Some(loses_answers));
}

fn copy(mut from: TcpStream, mut to: TcpStream, loses: Option<Arc<AtomicBool>>) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        let lost = loses.as_ref().is_some_and(|loses| loses.load(Ordering::SeqCst));
        if !lost && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
}

/// The answer to a request of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Status(u16, String),
    /// The node has closed the connection without an answer.
    Closed,
    /// There was no answer when the client closed its connection.
    None,
}

/// A client with one connection that it keeps.
pub struct Client {
    node: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Client {
    pub fn new(node: SocketAddr) -> Self {
        Self { node, connection: None }
    }

    /// Sends a request of a class and waits for its answer, for its budget and `patience` more.
    pub fn send(
        &mut self,
        record: &Record,
        class: &str,
        budget_ms: u64,
        patience: Duration,
    ) -> (String, Answer) {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let answer = self.exchange(record, &id, class, budget_ms, patience);
        let text = match &answer {
            Answer::Status(status, body) => format!("{status} {body}"),
            other => format!("{other:?}"),
        };
        record.line(&format!("client: {id} answered: {text}"));
        if !matches!(answer, Answer::Status(..)) {
            self.connection = None;
        }
        (id, answer)
    }

    fn exchange(
        &mut self,
        record: &Record,
        id: &str,
        class: &str,
        budget_ms: u64,
        patience: Duration,
    ) -> Answer {
        let key =
            if class == "segment-save" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: kaupunki-a\r\n\
             X-Budget-Ms: {budget_ms}\r\n{key}Content-Length: 4\r\n\r\nbody"
        );
        // An idle connection that the node has closed is replaced.
        if let Some(connection) = &self.connection {
            let stream = connection.get_ref();
            let _ = stream.set_nonblocking(true);
            let closed =
                matches!(stream.peek(&mut [0]), Ok(0)) || stream.take_error().ok().flatten().is_some();
            let _ = stream.set_nonblocking(false);
            if closed {
                self.connection = None;
            }
        }
        if self.connection.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&self.node, ms(1000)) else { return Answer::Closed };
            let _ = stream.set_nodelay(true);
            self.connection = Some(BufReader::new(stream));
        }
        let Some(connection) = &mut self.connection else { return Answer::Closed };
        let _ = connection.get_ref().set_read_timeout(Some(ms(budget_ms) + patience));
        record.line(&format!("client: {id} sent, {class}, {budget_ms} ms"));
        if connection.get_mut().write_all(request.as_bytes()).is_err() {
            return Answer::Closed;
        }
        let sent_at = Instant::now();
        match read_message(connection) {
            Some(answer) => {
                let (status, text) = (answer.status(), answer.text());
                if answer.field("connection") == Some("close") {
                    self.connection = None;
                }
                Answer::Status(status, text)
            }
            None if sent_at.elapsed() + ms(20) >= ms(budget_ms) + patience => Answer::None,
            None => Answer::Closed,
        }
    }
}

/// The settings object of a node of a small deployment.
pub fn node_settings() -> &'static str {
    r#"{"az":"hervanta","callers":{"marks-retry":false},
"classes":[{"deadline-ns":1500000000,"effect":"by_key","importance":8.0,"key-scope":"cell","late-share":0.2,"name":"segment-save","on-time-ns":750000000,"streaming":false,"window-ns":1500000000},
{"deadline-ns":1500000000,"effect":"once","importance":10.0,"key-scope":"all","late-share":0.25,"name":"minutes-sign","on-time-ns":500000000,"streaming":false,"window-ns":5000000000}],
"discovery":"pushed","family":"proxy","family-info":{"warm-keys":false},
"goal":{"whole":0.55,"worst-class":0.05,"worst-tenant":0.25,"worst-window":0.15},
"kinds":["fast-single","dual-core","slow-single"],"me":0,"n-instances":2,"over-share-worth":0.2,
"policy-limits":{"attempts-cap":3,"conn-idle-ns":60000000000,"connect-timeout-ns":200000000,"cpu-us-per-request":0.0,"cpu-us-per-s":15000,"max-retry-after-ns":1500000000,"may-cancel":true,"open-cap":20000,"peers":false,"probes":true,"retry-after":false,"second-copies":false,"streams-per-conn":1},
"prices":{"cross-zone":0.03,"late-fail":0.056,"probe":0.03,"waste":0.2},
"projects":[{"name":"kaupunki-a","quota-rps":1000.0,"share":0.32},{"name":"kuntayhtyma-b","quota-rps":230.0,"share":0.25}],
"quantum-ns":5000000,"report":{"fields":["load_share"],"how":"pull"},
"rules":{"answer-slack-ns":20000000,"ask-within-ns":10000000000,"drain-grace-ns":500000000,"fall-ns":1500000000,"start-capacity":0.15,"tip-multiple":3.0,"warm-after-ns":22000000000},
"tier":0,"tiers":["minutes-web"],"weights":"nominal","worth-by":"request","zones":["hervanta","lielahti"]}"#
}

/// The settings object of a node of a small deployment whose discovery is asked.
pub fn harbour_settings() -> &'static str {
    r#"{"az":"north-quay","callers":{"marks-retry":true},
"classes":[{"deadline-ns":900000000,"effect":"repeatable","importance":1.0,"key-scope":"all","late-share":0.1,"name":"berth-look","on-time-ns":400000000,"streaming":false,"window-ns":0},
{"deadline-ns":1000000000,"effect":"by_key","importance":4.0,"key-scope":"zone","late-share":0.2,"name":"log-append","on-time-ns":500000000,"streaming":false,"window-ns":600000000},
{"deadline-ns":1200000000,"effect":"once","importance":9.0,"key-scope":"all","late-share":0.3,"name":"clearance","on-time-ns":600000000,"streaming":false,"window-ns":5000000000}],
"discovery":"on_request","family":"proxy","family-info":{"warm-keys":false},
"goal":{"whole":0.6,"worst-class":0.1,"worst-tenant":0.2,"worst-window":0.1},
"kinds":["dual-core"],"me":0,"n-instances":3,"over-share-worth":0.4,
"policy-limits":{"attempts-cap":4,"conn-idle-ns":60000000000,"connect-timeout-ns":200000000,"cpu-us-per-request":0.0,"cpu-us-per-s":60000,"max-retry-after-ns":1000000000,"may-cancel":true,"open-cap":20000,"peers":false,"probes":false,"retry-after":true,"second-copies":false,"streams-per-conn":1},
"prices":{"connection":0.02,"cross-zone":0.02,"late-fail":0.04,"probe":0.02,"waste":0.1},
"projects":[{"name":"kaupunki-a","quota-rps":1000.0,"share":0.4},{"name":"line-west","quota-rps":350.0,"share":0.35}],
"quantum-ns":5000000,"report":{"fields":["load_share"],"how":"piggyback"},
"rules":{"answer-slack-ns":20000000,"ask-within-ns":10000000000,"drain-grace-ns":600000000,"fall-ns":1200000000,"start-capacity":0.2,"tip-multiple":2.5,"warm-after-ns":20000000000},
"tier":0,"tiers":["berth-web"],"weights":"nominal","worth-by":"request","zones":["north-quay","south-quay","island"]}"#
}

/// Starts a node with the `run` of the deploy file and waits until it is ready. `fleet` is the path of a fleet file, if any.
pub fn start_node(
    case: &Case,
    discovery: SocketAddr,
    sockets: u32,
    fleet: Option<&Path>,
) -> Result<SocketAddr, String> {
    start_node_with(case, discovery, sockets, fleet, node_settings())
}

/// The same with these settings.
pub fn start_node_with(
    case: &Case,
    discovery: SocketAddr,
    sockets: u32,
    fleet: Option<&Path>,
    settings: &str,
) -> Result<SocketAddr, String> {
    let listen = free_address();
    let config = format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":{{"rev":0,"all":true,"targets":[]}},"settings":{settings}}}"#
    );
    let config = case.write_file("node.json", &config);
    let mut variables = vec![
        ("EDGE_NAME", "n1".to_owned()),
        ("EDGE_LISTEN", listen.to_string()),
        ("EDGE_DISCOVERY", discovery.to_string()),
        ("EDGE_CONFIG", config.display().to_string()),
    ];
    variables.extend(fleet.map(|path| ("EDGE_FLEET", path.display().to_string())));
    case.start("exec target/release/badgerpost", &variables);
    let ready =
        || call(listen, "GET", "/health/ready", "", ms(500)).is_some_and(|answer| answer.status() == 200);
    case.wait_for("the node is ready", Duration::from_secs(20), ready)?;
    Ok(listen)
}

/// A replica of the registry.
#[derive(Clone)]
pub struct Replica {
    pub client: SocketAddr,
    pub peer: SocketAddr,
    pub process: u32,
    /// The links to the other replicas, by their peer address.
    pub links: Vec<(SocketAddr, Link)>,
}

/// Starts a registry of three replicas with the default settings, each of which reaches the others over links.
pub fn start_registry(case: &Case) -> Result<Vec<Replica>, String> {
    let addresses: Vec<(SocketAddr, SocketAddr)> = (0..3).map(|_| (free_address(), free_address())).collect();
    let peers: Vec<String> = addresses.iter().map(|(_, peer)| format!("\"{peer}\"")).collect();
    let mut replicas = Vec::new();
    for (index, (client, peer)) in addresses.iter().enumerate() {
        let others = addresses.iter().map(|(_, other)| *other).filter(|other| other != peer);
        let links: Vec<(SocketAddr, Link)> = others.map(|other| (other, Link::start(other))).collect();
        let via: String =
            links.iter().map(|(other, link)| format!("\"{other}\" = \"{}\"\n", link.address)).collect();
        let settings = format!(
            "fleet = \"tampere\"\nlisten = \"{client}\"\npeer_listen = \"{peer}\"\nreplicas = [{}]\ndata = \"{}\"\n[via]\n{via}",
            peers.join(", "),
            case.folder.join(format!("store-{index}")).display()
        );
        let file = case.write_file(&format!("r{index}.toml"), &settings);
        let process = case
            .start(&format!("exec target/release/flaxdale registry serve --config {}", file.display()), &[]);
        replicas.push(Replica { client: *client, peer: *peer, process, links });
    }
    let ready = || {
        let is_ready = |replica: &Replica| {
            call(replica.client, "GET", "/health/ready", "", ms(500))
                .is_some_and(|answer| answer.status() == 200)
        };
        replicas.iter().all(is_ready)
    };
    case.wait_for("all replicas of the registry are ready", Duration::from_secs(30), ready)?;
    Ok(replicas)
}

/// The peer address of the replica that leads, as `first` reports it.
pub fn leader(first: &Replica) -> Option<SocketAddr> {
    let status = call(first.client, "GET", "/registry/status", "", ms(1000))?.text();
    let replicas = status.split("\"replicas\":").nth(1)?.to_owned();
    let line = replicas.split('{').find(|line| line.contains("\"leads\":true"))?.to_owned();
    line.split("\"peer\":\"").nth(1)?.split('"').next()?.parse().ok()
}

/// The lines of a list, each as its JSON text.
pub fn list_lines(list: &str) -> Vec<String> {
    list.split("{\"uid\":\"").skip(1).map(str::to_owned).collect()
}

/// The state of an instance on a list: `Ready` or `Terminating`, with `suspect` if it is marked; none if it is missing.
pub fn state_on(list: &str, uid: &str) -> Option<String> {
    let line = list_lines(list).into_iter().find(|line| line.starts_with(&format!("{uid}\"")))?;
    let state = line.split("\"state\":\"").nth(1)?.split('"').next()?.to_owned();
    Some(if line.contains("\"suspect\":true") { format!("{state}, suspect") } else { state })
}

/// An instance of an app server that is registered and renews its lease.
#[derive(Clone)]
pub struct Registration {
    pub uid: String,
    pub boot_ms: u64,
    pub body: String,
}

impl Registration {
    pub fn new(uid: &str, endpoint: SocketAddr, boot_ms: u64) -> Self {
        let body = format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"hervanta","model":"dual-core","pod_group":1,"capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
        );
        Self { uid: uid.to_owned(), boot_ms, body }
    }

    /// Registers at a replica, and at the next one if that fails; the answer of the last call.
    pub fn register(&self, record: &Record, replicas: &[SocketAddr]) -> bool {
        replicas.iter().any(|replica| {
            let answer = call(*replica, "POST", "/registry/register", &self.body, ms(5000));
            let text = answer
                .as_ref()
                .map_or("no answer".to_owned(), |answer| format!("{} {}", answer.status(), answer.text()));
            record.line(&format!("{}: register at {replica}: {text}", self.uid));
            answer.is_some_and(|answer| answer.status() == 200)
        })
    }

    /// Renews its lease, and registers if the registry says so.
    pub fn renew(&self, record: &Record, replicas: &[SocketAddr]) {
        let body = format!(r#"{{"lives":[{{"uid":"{}","boot_ms":{}}}]}}"#, self.uid, self.boot_ms);
        for replica in replicas {
            let Some(answer) = call(*replica, "POST", "/registry/renew", &body, ms(2000)) else { continue };
            if answer.status() != 200 {
                continue;
            }
            if answer.text().contains(&format!("\"unknown\":[\"{}\"]", self.uid)) {
                record.line(&format!("{}: renewal answered: unknown, must register", self.uid));
                self.register(record, replicas);
            }
            return;
        }
        record.line(&format!("{}: no replica has renewed the lease", self.uid));
    }

    /// Renews every `interval` as long as the process runs; not while `paused`.
    pub fn keep(
        &self,
        record: &Record,
        replicas: &[SocketAddr],
        interval: Duration,
        paused: Arc<AtomicBool>,
    ) {
        let (registration, record, replicas) = (self.clone(), record.clone(), replicas.to_vec());
        thread::spawn(move || {
            loop {
                thread::sleep(interval);
                while paused.load(Ordering::SeqCst) {
                    thread::sleep(ms(10));
                }
                registration.renew(&record, &replicas);
            }
        });
    }
}
