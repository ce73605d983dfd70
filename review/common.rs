//! Stand-ins for the cases: app servers, discovery, clients, and the start of the project's own programs. Standard
//! library only; `build.sh` compiles each case with it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Whether the disruption is wanted: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of the case: what was sent, answered and run, with the time in seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| fail(&format!("{}: {error}", path.display())));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let _ = writeln!(lock(&self.file), "{:9.3}  {text}", self.seconds(at));
    }

    /// A line in the record and on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3}  {text}", self.start.elapsed().as_secs_f64());
    }
}

/// The processes that were started. They end with the case, as their standard input closes, and are killed by `fail`.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case with exit code 2: it could not run.
pub fn fail(why: &str) -> ! {
    println!("the case could not run: {why}");
    for id in lock(&STARTED).iter() {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status();
    }
    std::process::exit(2)
}

/// The environment of a case: the root of the project, a temporary folder and the record.
pub struct Case {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
}

impl Case {
    /// The first argument is the file for the record, the second a temporary folder. The working folder is the root.
    pub fn start() -> Self {
        let arguments: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
        let [record, temp] = arguments.as_slice() else { fail("usage: CASE RECORD TEMP") };
        let root = std::env::current_dir().unwrap_or_else(|error| fail(&error.to_string()));
        let case = Self { root, temp: temp.clone(), record: Record::create(record) };
        case.record.say(if trouble() { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
        case
    }

    /// Ends the case: exit code 1 if the rule was broken, 0 if it held.
    pub fn verdict(&self, broken: &[String]) -> ! {
        for text in broken {
            self.record.say(&format!("BROKEN: {text}"));
        }
        self.record.say(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
        std::process::exit(i32::from(!broken.is_empty()))
    }

    /// A command of the deploy file.
    pub fn deploy_command(&self, name: &str) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.trim().strip_prefix('='));
        let command = line.map(|value| value.trim().trim_matches('"').to_owned());
        command.unwrap_or_else(|| fail(&format!("deploy/balancer.toml has no {name}")))
    }
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| fail(&error.to_string()));
    listener.local_addr().unwrap_or_else(|error| fail(&error.to_string()))
}

/// A process of the project. It is killed when this is dropped, and ends by itself when the case ends.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let id = self.id();
        lock(&STARTED).retain(|started| *started != id);
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Sends a signal by the shell's `kill`, as the standard library has none.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.id())).status();
    }
}

pub struct NodeOptions<'a> {
    pub name: &'a str,
    pub discovery: SocketAddr,
    pub seed: &'a str,
    pub sockets: u32,
    /// The list that the node knows at its start, in discovery's form.
    pub known: &'a str,
    pub settings: &'a str,
    pub fleet: Option<&'a Path>,
}

/// A node, started by `run` of the deploy file.
pub struct Node {
    pub process: Process,
    pub address: SocketAddr,
    pub log: PathBuf,
    pub config: PathBuf,
}

impl Node {
    pub fn start(case: &Case, options: &NodeOptions) -> Self {
        let address = free_address();
        let config = case.temp.join(format!("{}.json", options.name));
        let (name, discovery) = (options.name, options.discovery);
        let text = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"{}",
"limits":{{"cores":1.0,"memory_mb":128,"sockets":{}}},"known":{},"settings":{}}}"#,
            options.seed, options.sockets, options.known, options.settings
        );
        std::fs::write(&config, text).unwrap_or_else(|error| fail(&error.to_string()));
        let log = case.temp.join(format!("{name}.log"));
        let log_file = File::create(&log).unwrap_or_else(|error| fail(&error.to_string()));
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(case.deploy_command("run"))
            .current_dir(&case.root)
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("EDGE_CONFIG", &config)
            .env("EDGE_LOG", "info")
            // The node ends when its standard input closes, so when the case ends.
            .env("EDGE_TETHER", "stdin")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log_file);
        if let Some(fleet) = options.fleet {
            command.env("EDGE_FLEET", fleet);
        }
        let child = command.spawn().unwrap_or_else(|error| fail(&error.to_string()));
        lock(&STARTED).push(child.id());
        case.record.say(&format!("node {name} started at {address}, process {}", child.id()));
        let mut node = Self { process: Process(child), address, log, config };
        node.wait_ready();
        node
    }

    pub fn wait_ready(&mut self) {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if get(self.address, "/health/ready").is_some_and(|answer| answer.status == 200) {
                return;
            }
            if !self.process.is_running() {
                fail("the node ended at its start");
            }
            thread::sleep(ms(20));
        }
        fail("the node is not ready after 10 s");
    }
}

/// An HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message with a length or chunks; none if the connection ends before it is whole.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    fn line(reader: &mut impl BufRead) -> Option<String> {
        let mut text = String::new();
        let read = reader.read_line(&mut text).ok()?;
        (read > 0 && text.ends_with('\n')).then(|| text.trim_end().to_owned())
    }
    let start_line = line(reader)?;
    let status = start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let mut message = Message { start_line, status, ..Message::default() };
    loop {
        let text = line(reader)?;
        let Some((name, value)) = text.split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = usize::from_str_radix(line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            line(reader)?;
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// One GET on a connection of its own.
pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    call(address, &format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n"))
}

/// One POST of JSON on a connection of its own.
pub fn post_json(address: SocketAddr, path: &str, body: &str) -> Option<Message> {
    let length = body.len();
    call(
        address,
        &format!(
            "POST {path} HTTP/1.1\r\nHost: origin.svc\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        ),
    )
}

fn call(address: SocketAddr, text: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
    stream.set_read_timeout(Some(ms(6000))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: String,
    pub caller: String,
    pub budget_ms: u64,
    pub key: Option<String>,
    pub body: String,
}

impl Request {
    pub fn text(&self) -> String {
        let key = self.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        format!(
            "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Caller: {}\r\nX-Budget-Ms: {}\r\n{key}Content-Length: {}\r\n\r\n{}",
            self.id,
            self.class,
            self.caller,
            self.budget_ms,
            self.body.len(),
            self.body
        )
    }
}

/// A client's connection to a node.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(2000))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, request: &Request) -> std::io::Result<()> {
        self.stream.write_all(request.text().as_bytes())
    }

    /// The next answer; none if the connection ends first or nothing comes within `wait`.
    pub fn answer(&mut self, wait: Duration) -> Option<Message> {
        self.stream.set_read_timeout(Some(wait.max(ms(1)))).ok()?;
        read_message(&mut self.reader)
    }

    /// Waits until the node ends the connection.
    pub fn rest(&mut self) {
        let _ = self.stream.set_read_timeout(Some(ms(60_000)));
        let mut byte = [0; 1];
        while matches!(self.reader.read(&mut byte), Ok(count) if count > 0) {}
    }
}

/// A request that reached an app server.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub class: String,
    pub budget_ms: u64,
}

/// The requests that reached all app servers of a case.
pub type Work = Arc<Mutex<Vec<Arrived>>>;

/// An app server: answers each request with 200 after its service time, on as many connections as are opened.
pub struct AppServer {
    pub name: String,
    pub address: SocketAddr,
    /// Takes requests and answers none.
    pub hangs: Arc<AtomicBool>,
    /// Turns requests away unseen with 503 and `X-Rejected: 1`.
    pub drains: Arc<AtomicBool>,
}

impl AppServer {
    pub fn start(
        name: &str,
        record: &Record,
        work: &Work,
        service_time: impl Fn() -> Duration + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| fail(&error.to_string()));
        let address = listener.local_addr().unwrap_or_else(|error| fail(&error.to_string()));
        let (hangs, drains) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let service_time = Arc::new(service_time);
        let (hung, draining, server) = (hangs.clone(), drains.clone(), name.to_owned());
        let (record, work) = (record.clone(), work.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record, work) = (server.clone(), record.clone(), work.clone());
                let (hung, draining, service_time) = (hung.clone(), draining.clone(), service_time.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_message(&mut reader) {
                        let at = Instant::now();
                        let header = |name: &str| request.header(name).unwrap_or("-").to_owned();
                        let id = header("x-call-id");
                        let budget_ms = header("x-budget-ms").parse().unwrap_or(0);
                        record.line_at(at, &format!("{server} received {id}, budget {budget_ms} ms"));
                        let (server, class) = (server.clone(), header("x-call-class"));
                        lock(&work).push(Arrived {
                            at,
                            server: server.clone(),
                            id: id.clone(),
                            class,
                            budget_ms,
                        });
                        if hung.load(Ordering::Relaxed) {
                            continue;
                        }
                        let answer = if draining.load(Ordering::Relaxed) {
                            "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
                                .to_owned()
                        } else {
                            thread::sleep(service_time());
                            let body = format!("done {id}");
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                        };
                        record.line(&format!("{server} answers {id}"));
                        if writer.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { name: name.to_owned(), address, hangs, drains }
    }

    /// Its line in discovery's list.
    pub fn line(&self, zone: &str, cell: u32, state: &str) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{zone}","model":"dual-core","pod_group":{cell},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#,
            self.name, self.address
        )
    }
}

struct Listed {
    rev: u64,
    lines: BTreeMap<String, (u64, String)>,
    /// Whether the service is down: calls are refused.
    down: bool,
    /// The number of the next connection.
    next: u64,
    /// Connections before this number are silent: they stay open and nothing comes any more.
    silent_before: u64,
}

/// A discovery service with the list and watches of the protocol page.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Listed>, Condvar)>,
    pub calls: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Discovery {
    pub fn start(record: &Record, lines: &[(String, String)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| fail(&error.to_string()));
        let lines = lines.iter().map(|(name, line)| (name.clone(), (41, line.clone()))).collect();
        let listed = Listed { rev: 41, lines, down: false, next: 1, silent_before: 0 };
        let discovery = Self {
            address: listener.local_addr().unwrap_or_else(|error| fail(&error.to_string())),
            state: Arc::new((Mutex::new(listed), Condvar::new())),
            calls: Arc::default(),
        };
        let (server, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = {
                    let mut listed = lock(&server.state.0);
                    listed.next += 1;
                    listed.next - 1
                };
                let (server, record) = (server.clone(), record.clone());
                thread::spawn(move || server.serve(&stream, number, &record));
            }
        });
        discovery
    }

    fn serve(&self, stream: &TcpStream, number: u64, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            if lock(&self.state.0).down {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let Some(request) = read_message(&mut reader) else { return };
            let at = Instant::now();
            lock(&self.calls).push((at, request.start_line.clone()));
            record.line_at(at, &format!("discovery: connection {number}: {}", request.start_line));
            let path = request.start_line.split(' ').nth(1).unwrap_or_default().to_owned();
            let value = |name: &str| -> Option<u64> {
                let (_, query) = path.split_once('?')?;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let (from, hold) = (value("from"), ms(value("hold_ms").unwrap_or(0).min(60_000)));
            let (mutex, changed) = &*self.state;
            let mut listed = lock(mutex);
            while from == Some(listed.rev)
                && at.elapsed() < hold
                && !listed.down
                && number >= listed.silent_before
            {
                let left = hold.saturating_sub(at.elapsed());
                listed =
                    changed.wait_timeout(listed, left).unwrap_or_else(|poisoned| poisoned.into_inner()).0;
            }
            if number < listed.silent_before {
                drop(listed);
                // Reads on, so that a close by the node is noticed, and never answers.
                let mut sink = [0; 1024];
                while matches!(reader.read(&mut sink), Ok(count) if count > 0) {}
                record.line(&format!("discovery: silent connection {number} was closed by the node"));
                return;
            }
            if listed.down {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let known = from.filter(|from| *from >= 41);
            let entries: Vec<String> = listed
                .lines
                .values()
                .filter(|(rev, line)| match known {
                    Some(from) => *rev > from,
                    None => !line.contains("\"state\":\"Gone\""),
                })
                .map(|(_, line)| line.clone())
                .collect();
            let body = format!(
                r#"{{"rev":{},"all":{},"targets":[{}]}}"#,
                listed.rev,
                known.is_none(),
                entries.join(",")
            );
            let rev = listed.rev;
            drop(listed);
            record
                .line(&format!("discovery: connection {number}: answer rev {rev}, {} lines", entries.len()));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The whole list, as a node's `known`.
    pub fn list(&self) -> String {
        let listed = lock(&self.state.0);
        let lines: Vec<String> = listed.lines.values().map(|(_, line)| line.clone()).collect();
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, listed.rev, lines.join(","))
    }

    /// Changes a line and tells the watches.
    pub fn change(&self, name: &str, line: String) {
        let mut listed = lock(&self.state.0);
        listed.rev += 1;
        let rev = listed.rev;
        listed.lines.insert(name.to_owned(), (rev, line));
        self.state.1.notify_all();
    }

    pub fn set_down(&self, down: bool) {
        lock(&self.state.0).down = down;
        self.state.1.notify_all();
    }

    /// All connections opened so far fall silent.
    pub fn silence(&self) {
        let mut listed = lock(&self.state.0);
        listed.silent_before = listed.next;
        self.state.1.notify_all();
    }
}

/// Settings of a node of `tampere-main`, as the wire page shows them.
pub fn tampere(zone: &str, me: u32, nodes: u32) -> String {
    format!(
        r#"{{"az":"{zone}","callers":{{"marks-retry":false}},
"classes":[{{"deadline-ns":1500000000,"effect":"by_key","importance":8.0,"key-scope":"cell","late-share":0.2,"name":"segment-save","on-time-ns":750000000,"streaming":false,"window-ns":1500000000}},
{{"deadline-ns":1500000000,"effect":"once","importance":10.0,"key-scope":"all","late-share":0.25,"name":"minutes-sign","on-time-ns":500000000,"streaming":false,"window-ns":5000000000}}],
"discovery":"pushed","family":"proxy","family-info":{{"warm-keys":false}},
"goal":{{"whole":0.55,"worst-class":0.05,"worst-tenant":0.25,"worst-window":0.15}},
"kinds":["fast-single","dual-core","slow-single"],"me":{me},"n-instances":{nodes},"over-share-worth":0.2,
"policy-limits":{{"attempts-cap":3,"conn-idle-ns":60000000000,"connect-timeout-ns":200000000,"cpu-us-per-request":0.0,"cpu-us-per-s":15000,"max-retry-after-ns":1500000000,"may-cancel":true,"open-cap":20000,"peers":false,"probes":true,"retry-after":false,"second-copies":false,"streams-per-conn":1}},
"prices":{{"connection":0.0,"cross-zone":0.03,"discovery":0.0,"handshake":0.0,"late-fail":0.056,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.03,"waste":0.2}},
"projects":[{{"name":"kaupunki-a","quota-rps":30.0,"share":0.32}},{{"name":"kuntayhtyma-b","quota-rps":23.0,"share":0.25}},{{"name":"seurakunta-c","quota-rps":12.0,"share":0.13}},{{"name":"yhdistys-d","quota-rps":9.0,"share":0.1}},{{"name":"osuuskunta-e","quota-rps":8.0,"share":0.08}},{{"name":"saatio-f","quota-rps":7.0,"share":0.07}},{{"name":"kerho-g","quota-rps":5.0,"share":0.05}}],
"quantum-ns":5000000,"report":{{"fields":["load_share"],"how":"pull"}},
"rules":{{"answer-slack-ns":20000000,"ask-within-ns":10000000000,"drain-grace-ns":500000000,"fall-ns":1500000000,"start-capacity":0.15,"tip-multiple":3.0,"warm-after-ns":22000000000}},
"tier":0,"tiers":["minutes-web"],"weights":"nominal","worth-by":"request","zones":["hervanta","lielahti"]}}"#
    )
}

/// Settings of a node of `harbour-asked` (`deploy/sites/harbour-asked.toml`).
pub fn harbour(zone: &str, me: u32, nodes: u32) -> String {
    format!(
        r#"{{"az":"{zone}","callers":{{"marks-retry":true}},
"classes":[{{"deadline-ns":900000000,"effect":"repeatable","importance":1.0,"key-scope":"all","late-share":0.1,"name":"berth-look","on-time-ns":400000000,"streaming":false,"window-ns":600000000}},
{{"deadline-ns":1000000000,"effect":"by_key","importance":4.0,"key-scope":"zone","late-share":0.2,"name":"log-append","on-time-ns":500000000,"streaming":false,"window-ns":600000000}},
{{"deadline-ns":1200000000,"effect":"once","importance":9.0,"key-scope":"all","late-share":0.3,"name":"clearance","on-time-ns":600000000,"streaming":false,"window-ns":5000000000}}],
"discovery":"on_request","family":"proxy","family-info":{{"warm-keys":false}},
"goal":{{"whole":0.6,"worst-class":0.1,"worst-tenant":0.2,"worst-window":0.1}},
"kinds":["crane-2","tug-1","dual-core"],"me":{me},"n-instances":{nodes},"over-share-worth":0.4,
"policy-limits":{{"attempts-cap":4,"conn-idle-ns":20000000000,"connect-timeout-ns":300000000,"cpu-us-per-request":0.0,"cpu-us-per-s":60000,"max-retry-after-ns":1000000000,"may-cancel":true,"open-cap":20000,"peers":false,"probes":false,"retry-after":true,"second-copies":false,"streams-per-conn":1}},
"prices":{{"connection":0.02,"cross-zone":0.02,"discovery":0.0,"handshake":0.0,"late-fail":0.04,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.02,"waste":0.1}},
"projects":[{{"name":"line-east","quota-rps":40.0,"share":0.4}},{{"name":"line-west","quota-rps":35.0,"share":0.35}},{{"name":"pilots","quota-rps":25.0,"share":0.25}}],
"quantum-ns":5000000,"report":{{"fields":["load_share","concurrent"],"how":"piggyback"}},
"rules":{{"answer-slack-ns":20000000,"ask-within-ns":10000000000,"drain-grace-ns":600000000,"fall-ns":1200000000,"start-capacity":0.25,"tip-multiple":2.5,"warm-after-ns":15000000000}},
"tier":0,"tiers":["berth-web"],"weights":"nominal","worth-by":"request","zones":["north-quay","south-quay","island"]}}"#
    )
}
