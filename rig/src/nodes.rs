//! The node's processes: started with a configuration, made ready, paused, killed, restarted under the same name and
//! address, and ended.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flaxdale_fleet::parent_process;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::cleanup::{CleanupProcess, signal};
use crate::fleet_file::FleetFile;
use crate::listener::ReservedPort;
use crate::process::{Process, ProcessExit, ResourceUsage};
use crate::shared::{Shared, lock};

/// How often a node that starts is looked at.
const LOOK: Duration = Duration::from_millis(10);

/// Why a node is not there.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The program can't be started.
    #[error("{program}: {source}")]
    Start {
        /// The program.
        program: String,
        /// Why not.
        source: std::io::Error,
    },
    /// There is no port for it.
    #[error("{name}: no port: {source}")]
    Port {
        /// Its name.
        name: String,
        /// Why not.
        source: std::io::Error,
    },
    /// Its files can't be written or read.
    #[error("{file}: {source}")]
    File {
        /// The file.
        file: String,
        /// Why not.
        source: std::io::Error,
    },
    /// It ended by itself.
    #[error("{name} ended at its start ({status}); its log ends with: {tail}")]
    Exited {
        /// Its name.
        name: String,
        /// How.
        status: ExitStatus,
        /// Its last lines.
        tail: String,
    },
    /// It never became ready.
    #[error("{name} was not ready after {seconds} s; its log ends with: {tail}")]
    ReadyTimeout {
        /// Its name.
        name: String,
        /// How long it was waited for.
        seconds: f64,
        /// Its last lines.
        tail: String,
    },
}

/// What starts nodes.
pub struct LaunchConfig {
    /// The node's program.
    pub node_binary: PathBuf,
    /// Where its logs go.
    pub log_dir: PathBuf,
    /// Where its configurations go.
    pub config_dir: PathBuf,
    /// Its log filter.
    pub log_filter: String,
    /// A node that is not ready by then never will be.
    pub ready_timeout: Duration,
    /// Most descriptors, as it is told.
    pub max_descriptors: u64,
    /// Most memory, as it is told.
    pub max_memory_mib: u64,
    /// Who ends it if the rig can't.
    pub cleanup: Option<CleanupProcess>,
}

/// One node.
pub struct NodeProcess {
    /// Its position among the world's nodes.
    pub number: usize,
    /// Its name.
    pub name: String,
    launch: Arc<LaunchConfig>,
    shared: Arc<Shared>,
    process: Process,
    address: Mutex<Option<SocketAddr>>,
    /// Its port is its own also while it is down.
    port: Mutex<Option<ReservedPort>>,
    /// Its fleet file, if it has one.
    fleet: Option<FleetFile>,
    starts: Mutex<u32>,
}

impl NodeProcess {
    /// A node that has not started yet.
    pub fn new(
        launch: Arc<LaunchConfig>,
        shared: Arc<Shared>,
        number: usize,
        fleet: Option<FleetFile>,
    ) -> Self {
        let name = shared.world.nodes[number].name.clone();
        let process = Process::new(launch.clone());
        let (address, port, starts) = Default::default();
        Self { number, name, launch, shared, process, address, port, fleet, starts }
    }

    /// Where it listens, once it has.
    pub fn address(&self) -> Option<SocketAddr> {
        *lock(&self.address)
    }

    /// Its process's number, while there is one.
    pub fn pid(&self) -> Option<u32> {
        self.process.pid()
    }

    /// Its log.
    pub fn log_file(&self) -> PathBuf {
        self.launch.log_dir.join(format!("{}.log", self.name))
    }

    fn config(&self) -> PathBuf {
        self.launch.config_dir.join(format!("{}.json", self.name))
    }

    /// Starts it and waits until it is ready. It takes the address that it had in its last life.
    pub async fn start(&self, discovery: SocketAddr, known: Value) -> Result<(), NodeError> {
        let (name, file) = (&self.name, self.log_file());
        let started = {
            let mut starts = lock(&self.starts);
            *starts += 1;
            *starts
        };
        let listen = self.hold_port().map_err(|source| NodeError::Port { name: name.clone(), source })?;
        let seed = seed_of(&self.shared, self.number, started);
        let config = json!({"name": name, "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"), "known": known,
            "limits": {"cores": 1.0, "memory_mb": self.launch.max_memory_mib, "sockets": self.launch.max_descriptors},
            "settings": self.shared.world.settings(self.shared.world.nodes[self.number].zone)});
        let of_file = |file: &Path| {
            let file = file.display().to_string();
            move |source| NodeError::File { file, source }
        };
        std::fs::write(self.config(), config.to_string()).map_err(of_file(&self.config()))?;
        let mut log = OpenOptions::new().create(true).append(true).open(&file).map_err(of_file(&file))?;
        let begins = log.seek(SeekFrom::End(0)).map_err(of_file(&file))?;
        let errors = log.try_clone().map_err(of_file(&file))?;
        let mut command = Command::new(&self.launch.node_binary);
        if let Some(fleet) = &self.fleet {
            command.env("EDGE_FLEET", fleet.path());
        }
        let child = command
            .env("EDGE_CONFIG", self.config())
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", listen.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            // Whatever else is filtered out, the line that tells its address is not.
            .env("EDGE_LOG", format!("{},badgerpost::started=info", self.launch.log_filter))
            .env("EDGE_LOG_FORMAT", "json")
            .env(parent_process::ENV_VAR, "stdin")
            .stdin(Stdio::piped())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|source| NodeError::Start {
                program: self.launch.node_binary.display().to_string(),
                source,
            })?;
        let pid = self.process.attach(child);
        self.shared.record_event("node-started", json!({"node": name, "pid": pid, "start": started}));
        let patience = Instant::now() + self.launch.ready_timeout;
        let at = loop {
            if let Some(at) = self.listens(begins) {
                break at;
            }
            self.still_there(patience)?;
            sleep(LOOK).await;
        };
        *lock(&self.address) = Some(at);
        while !is_ready(at).await {
            self.still_there(patience)?;
            sleep(LOOK).await;
        }
        self.shared.record_event("node-ready", json!({"node": name, "listen": at.to_string()}));
        Ok(())
    }

    /// The address that is its own in all its lives.
    fn hold_port(&self) -> std::io::Result<SocketAddr> {
        let mut port = lock(&self.port);
        match &*port {
            Some(port) => port.address(),
            None => port.insert(ReservedPort::reserve()?).address(),
        }
    }

    fn still_there(&self, patience: Instant) -> Result<(), NodeError> {
        let ended = self.process.exit_status();
        let (name, tail) = (self.name.clone(), || tail(&self.log_file()));
        match ended {
            Some(status) => Err(NodeError::Exited { name, status, tail: tail() }),
            None if Instant::now() >= patience => {
                let seconds = self.launch.ready_timeout.as_secs_f64();
                Err(NodeError::ReadyTimeout { name, seconds, tail: tail() })
            }
            None => Ok(()),
        }
    }

    /// The address that this life's log tells.
    fn listens(&self, begins: u64) -> Option<SocketAddr> {
        let mut file = File::open(self.log_file()).ok()?;
        file.seek(SeekFrom::Start(begins)).ok()?;
        let mut text = String::new();
        file.read_to_string(&mut text).ok()?;
        let at = |line: &str| serde_json::from_str::<Value>(line).ok()?["listen"].as_str()?.parse().ok();
        text.lines().find_map(at)
    }

    /// Changes the address of discovery in its configuration and tells it.
    pub fn set_discovery(&self, discovery: SocketAddr) -> Result<(), NodeError> {
        let file = || self.config().display().to_string();
        let text = std::fs::read(self.config()).map_err(|source| NodeError::File { file: file(), source })?;
        let mut config: Value = serde_json::from_slice(&text)
            .map_err(|error| NodeError::File { file: file(), source: error.into() })?;
        config["discovery"] = json!(discovery.to_string());
        std::fs::write(self.config(), config.to_string())
            .map_err(|source| NodeError::File { file: file(), source })?;
        self.pid().map(|pid| signal(pid, Signal::HUP));
        Ok(())
    }

    /// Writes what is ordered now into its fleet file and tells it.
    pub fn apply_zone_overrides(&self) -> Result<(), NodeError> {
        let Some(fleet) = &self.fleet else { return Ok(()) };
        let file = || fleet.path().display().to_string();
        fleet.update(self.shared.clock.now()).map_err(|source| NodeError::File { file: file(), source })?;
        self.pid().map(|pid| signal(pid, Signal::HUP));
        Ok(())
    }

    /// Pauses it, or lets it go on.
    pub fn set_paused(&self, paused: bool) -> bool {
        self.process.set_paused(paused)
    }

    /// Kills it outright.
    pub async fn kill(&self) {
        self.process.end(Signal::KILL, || drop(self.reap())).await;
    }

    /// Tells it to end, and waits until it has. Whether it did so by itself.
    pub async fn stop(&self) -> bool {
        self.process.stop(|| drop(self.reap())).await
    }

    /// Takes the end of its process, if it has ended. The text says how, for one that was not told to.
    pub fn reap(&self) -> Option<String> {
        let ProcessExit { pid, status, exit_requested } = self.process.reap()?;
        let (code, by) = (status.code(), status.signal());
        self.shared
            .record_event("node-ended", json!({"node": self.name, "pid": pid, "code": code, "signal": by}));
        (!exit_requested)
            .then(|| format!("{} ended by itself ({status}): {}", self.name, tail(&self.log_file())))
    }

    /// What its process holds.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        self.process.resource_usage()
    }
}

fn seed_of(shared: &Shared, node: usize, start: u32) -> u64 {
    use rand::RngExt;
    let mut rng = flaxdale_model::world::rng_stream(shared.world.seed, 30_000 + node as u64);
    rng.random::<u64>() ^ u64::from(start)
}

/// The last lines of a log, in one.
fn tail(log: &Path) -> String {
    const MOST: usize = 600;
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let start = text.len().saturating_sub(MOST);
    let start = (start..text.len()).find(|at| text.is_char_boundary(*at)).unwrap_or(text.len());
    text[start..].trim().replace('\n', " | ")
}

async fn is_ready(at: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: rig\r\n\r\n").await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        Some(&head[9..12] == b"200")
    };
    timeout(Duration::from_secs(1), asked).await.ok().flatten().unwrap_or(false)
}
