//! Node processes: started with a configuration, paused, killed, restarted with the same name and address, and stopped.

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

/// How often a starting node is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why a node could not be started or reconfigured.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The program could not be started.
    #[error("cannot start {program}: {source}")]
    Start {
        /// Path of the program.
        program: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// No port could be reserved.
    #[error("cannot reserve a port for {name}: {source}")]
    Port {
        /// Name of the node.
        name: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A file of the node could not be read or written.
    #[error("{file}: {source}")]
    File {
        /// Path of the file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The process exited before it was ready.
    #[error("{name} exited during startup ({status}); end of its log: {log_tail}")]
    Exited {
        /// Name of the node.
        name: String,
        /// Exit status.
        status: ExitStatus,
        /// End of its log.
        log_tail: String,
    },
    /// The node did not become ready in time.
    #[error("{name} was not ready after {seconds} s; end of its log: {log_tail}")]
    ReadyTimeout {
        /// Name of the node.
        name: String,
        /// The timeout.
        seconds: f64,
        /// End of its log.
        log_tail: String,
    },
}

/// How processes of a run are started.
pub struct LaunchConfig {
    /// Path of the node's program.
    pub node_binary: PathBuf,
    /// Folder of the log files.
    pub log_dir: PathBuf,
    /// Folder of the configuration files.
    pub config_dir: PathBuf,
    /// Log filter of the nodes.
    pub log_filter: String,
    /// How long a node may take to become ready.
    pub ready_timeout: Duration,
    /// Limit of file descriptors in the configuration of each node.
    pub max_descriptors: u64,
    /// Memory limit in the configuration of each node.
    pub max_memory_mib: u64,
    /// Kills the processes if the rig cannot.
    pub cleanup: Option<CleanupProcess>,
}

/// A node and its process.
pub struct NodeProcess {
    /// Index among the nodes of the world.
    pub index: usize,
    /// Name of the node.
    pub name: String,
    launch: Arc<LaunchConfig>,
    shared: Arc<Shared>,
    process: Process,
    address: Mutex<Option<SocketAddr>>,
    /// Reserved from the first start on, also while the process is down.
    port: Mutex<Option<ReservedPort>>,
    fleet_file: Option<FleetFile>,
    start_count: Mutex<u32>,
}

impl NodeProcess {
    /// A node that has not been started.
    pub fn new(
        launch: Arc<LaunchConfig>,
        shared: Arc<Shared>,
        index: usize,
        fleet_file: Option<FleetFile>,
    ) -> Self {
        let name = shared.world.nodes[index].name.clone();
        let process = Process::new(launch.clone());
        let (address, port, start_count) = Default::default();
        Self { index, name, launch, shared, process, address, port, fleet_file, start_count }
    }

    /// Address on which the node listens; `None` before its first start.
    pub fn address(&self) -> Option<SocketAddr> {
        *lock(&self.address)
    }

    /// PID of the process while it is running.
    pub fn pid(&self) -> Option<u32> {
        self.process.pid()
    }

    /// Path of the log file.
    pub fn log_file(&self) -> PathBuf {
        self.launch.log_dir.join(format!("{}.log", self.name))
    }

    fn config_file(&self) -> PathBuf {
        self.launch.config_dir.join(format!("{}.json", self.name))
    }

    /// Starts the node, at the same address each time, and waits until it is ready. `known_backends` is the list of
    /// backends in its configuration.
    pub async fn start(&self, discovery: SocketAddr, known_backends: Value) -> Result<(), NodeError> {
        let (name, file) = (&self.name, self.log_file());
        let start_number = {
            let mut start_count = lock(&self.start_count);
            *start_count += 1;
            *start_count
        };
        let listen = self.reserve_port().map_err(|source| NodeError::Port { name: name.clone(), source })?;
        let seed = node_seed(&self.shared, self.index, start_number);
        let config = json!({"name": name, "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"), "known": known_backends,
            "limits": {"cores": 1.0, "memory_mb": self.launch.max_memory_mib, "sockets": self.launch.max_descriptors},
            "settings": self.shared.world.settings(self.shared.world.nodes[self.index].zone)});
        let file_error = |file: &Path| {
            let file = file.display().to_string();
            move |source| NodeError::File { file, source }
        };
        std::fs::write(self.config_file(), config.to_string()).map_err(file_error(&self.config_file()))?;
        let mut log = OpenOptions::new().create(true).append(true).open(&file).map_err(file_error(&file))?;
        let log_offset = log.seek(SeekFrom::End(0)).map_err(file_error(&file))?;
        let stderr = log.try_clone().map_err(file_error(&file))?;
        let mut command = Command::new(&self.launch.node_binary);
        if let Some(fleet_file) = &self.fleet_file {
            command.env("EDGE_FLEET", fleet_file.path());
        }
        let child = command
            .env("EDGE_CONFIG", self.config_file())
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", listen.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            // Includes the log line with the listen address whatever the filter.
            .env("EDGE_LOG", format!("{},badgerpost::started=info", self.launch.log_filter))
            .env("EDGE_LOG_FORMAT", "json")
            .env(parent_process::ENV_VAR, "stdin")
            .stdin(Stdio::piped())
            .stdout(log)
            .stderr(stderr)
            .spawn()
            .map_err(|source| NodeError::Start {
                program: self.launch.node_binary.display().to_string(),
                source,
            })?;
        let pid = self.process.attach(child);
        self.shared.record_event("node-started", json!({"node": name, "pid": pid, "start": start_number}));
        let deadline = Instant::now() + self.launch.ready_timeout;
        let address = loop {
            if let Some(address) = self.logged_address(log_offset) {
                break address;
            }
            self.check_starting(deadline)?;
            sleep(POLL_INTERVAL).await;
        };
        *lock(&self.address) = Some(address);
        while !is_ready(address).await {
            self.check_starting(deadline)?;
            sleep(POLL_INTERVAL).await;
        }
        self.shared.record_event("node-ready", json!({"node": name, "listen": address.to_string()}));
        Ok(())
    }

    /// Address of the reserved port; reserves one at the first call.
    fn reserve_port(&self) -> std::io::Result<SocketAddr> {
        let mut port = lock(&self.port);
        match &*port {
            Some(port) => port.address(),
            None => port.insert(ReservedPort::reserve()?).address(),
        }
    }

    fn check_starting(&self, deadline: Instant) -> Result<(), NodeError> {
        let exit_status = self.process.exit_status();
        let (name, log_tail) = (self.name.clone(), || log_tail(&self.log_file()));
        match exit_status {
            Some(status) => Err(NodeError::Exited { name, status, log_tail: log_tail() }),
            None if Instant::now() >= deadline => {
                let seconds = self.launch.ready_timeout.as_secs_f64();
                Err(NodeError::ReadyTimeout { name, seconds, log_tail: log_tail() })
            }
            None => Ok(()),
        }
    }

    /// Listen address that the node logged after `log_offset`.
    fn logged_address(&self, log_offset: u64) -> Option<SocketAddr> {
        let mut file = File::open(self.log_file()).ok()?;
        file.seek(SeekFrom::Start(log_offset)).ok()?;
        let mut text = String::new();
        file.read_to_string(&mut text).ok()?;
        let listen_address =
            |line: &str| serde_json::from_str::<Value>(line).ok()?["listen"].as_str()?.parse().ok();
        text.lines().find_map(listen_address)
    }

    /// Changes the discovery address in the configuration file and has the node reload it.
    pub fn set_discovery(&self, discovery: SocketAddr) -> Result<(), NodeError> {
        let file = || self.config_file().display().to_string();
        let text =
            std::fs::read(self.config_file()).map_err(|source| NodeError::File { file: file(), source })?;
        let mut config: Value = serde_json::from_slice(&text)
            .map_err(|error| NodeError::File { file: file(), source: error.into() })?;
        config["discovery"] = json!(discovery.to_string());
        std::fs::write(self.config_file(), config.to_string())
            .map_err(|source| NodeError::File { file: file(), source })?;
        self.pid().map(|pid| signal(pid, Signal::HUP));
        Ok(())
    }

    /// Writes the zone overrides in effect now to the fleet file and has the node reload it.
    pub fn apply_zone_overrides(&self) -> Result<(), NodeError> {
        let Some(fleet_file) = &self.fleet_file else { return Ok(()) };
        let file = || fleet_file.path().display().to_string();
        fleet_file
            .update(self.shared.clock.now())
            .map_err(|source| NodeError::File { file: file(), source })?;
        self.pid().map(|pid| signal(pid, Signal::HUP));
        Ok(())
    }

    /// Pauses or resumes the process; returns whether the signal was delivered.
    pub fn set_paused(&self, paused: bool) -> bool {
        self.process.set_paused(paused)
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(&self) {
        self.process.end(Signal::KILL, || drop(self.reap())).await;
    }

    /// Stops the process and waits until it has exited. Returns whether it exited on SIGTERM.
    pub async fn stop(&self) -> bool {
        self.process.stop(|| drop(self.reap())).await
    }

    /// Reaps the process if it has exited. Returns a description of the exit if the rig did not ask for it.
    pub fn reap(&self) -> Option<String> {
        let ProcessExit { pid, status, exit_requested } = self.process.reap()?;
        let (code, exit_signal) = (status.code(), status.signal());
        self.shared.record_event(
            "node-ended",
            json!({"node": self.name, "pid": pid, "code": code, "signal": exit_signal}),
        );
        (!exit_requested)
            .then(|| format!("{} exited unexpectedly ({status}): {}", self.name, log_tail(&self.log_file())))
    }

    /// Resources that the process uses now.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        self.process.resource_usage()
    }
}

fn node_seed(shared: &Shared, node: usize, start: u32) -> u64 {
    use rand::RngExt;
    let mut rng = flaxdale_model::world::rng_stream(shared.world.seed, 30_000 + node as u64);
    rng.random::<u64>() ^ u64::from(start)
}

/// End of a log file, as one line.
fn log_tail(log: &Path) -> String {
    const MAX_BYTES: usize = 600;
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let start = text.len().saturating_sub(MAX_BYTES);
    let start = (start..text.len()).find(|index| text.is_char_boundary(*index)).unwrap_or(text.len());
    text[start..].trim().replace('\n', " | ")
}

async fn is_ready(address: SocketAddr) -> bool {
    let probe = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: rig\r\n\r\n").await.ok()?;
        let mut status_line = [0; 12];
        stream.read_exact(&mut status_line).await.ok()?;
        Some(&status_line[9..12] == b"200")
    };
    timeout(Duration::from_secs(1), probe).await.ok().flatten().unwrap_or(false)
}
