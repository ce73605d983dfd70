//! The registry's replica processes: configured, started, paused, killed (with or without loss of their data), and
//! stopped. Each keeps its ports across restarts.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_fleet::parent_process;
use flaxdale_model::scenario::Registry;
use flaxdale_model::timeline::replica_end;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::listener::ReservedPort;
use crate::nodes::LaunchConfig;
use crate::process::{Process, ProcessExit, ResourceUsage};
use crate::relay::Relay;
use crate::shared::Shared;

/// How often a starting replica is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// A replica and its process.
pub struct Replica {
    /// Name of the replica.
    pub name: String,
    /// Address for clients, without a relay.
    pub client_address: SocketAddr,
    config_file: PathBuf,
    data_dir: PathBuf,
    log_file: PathBuf,
    process: Process,
    _ports: [ReservedPort; 2],
}

/// All replicas of a run's registry.
pub struct Replicas {
    /// The replicas, by index.
    pub all: Vec<Replica>,
    binary: PathBuf,
    shared: Arc<Shared>,
}

impl Replicas {
    /// Reserves ports, writes configurations and starts relays between replicas whose link a fault affects.
    /// `has_link_fault` tells whether that is so for two replicas.
    pub fn prepare(
        binary: PathBuf,
        launch: Arc<LaunchConfig>,
        shared: Arc<Shared>,
        settings: &Registry,
        folder: &Path,
        has_link_fault: impl Fn(usize, usize) -> bool,
    ) -> std::io::Result<Self> {
        let count = settings.replicas as usize;
        let ports: Vec<[ReservedPort; 2]> = (0..count)
            .map(|_| Ok([ReservedPort::reserve()?, ReservedPort::reserve()?]))
            .collect::<std::io::Result<_>>()?;
        let peer_addresses: Vec<SocketAddr> =
            ports.iter().map(|[_, peer]| peer.address()).collect::<Result<_, _>>()?;
        let mut all = Vec::new();
        for (index, ports) in ports.into_iter().enumerate() {
            let name = format!("r{index}");
            let mut via = toml::Table::new();
            for (other, peer_address) in peer_addresses.iter().enumerate() {
                if other != index && has_link_fault(index, other) {
                    let relay =
                        Relay::start(shared.clone(), replica_end(index), replica_end(other), *peer_address)?;
                    via.insert(peer_address.to_string(), relay.to_string().into());
                }
            }
            let client_address = ports[0].address()?;
            let data_dir = folder.join(format!("{name}-data"));
            let config = json!({"fleet": "rig", "listen": client_address.to_string(), "peer_listen": peer_addresses[index].to_string(),
                "replicas": peer_addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
                "data": data_dir.display().to_string(), "lease_ms": settings.lease_ms as u64,
                "snapshot_every": settings.snapshot_every, "via": via});
            let config_file = launch.config_dir.join(format!("{name}.toml"));
            let text = toml::to_string(&config).map_err(std::io::Error::other)?;
            std::fs::write(&config_file, text)?;
            let (log_file, process) =
                (launch.log_dir.join(format!("{name}.log")), Process::new(launch.clone()));
            all.push(Replica {
                name,
                client_address,
                config_file,
                data_dir,
                log_file,
                process,
                _ports: ports,
            });
        }
        Ok(Self { all, binary, shared })
    }

    /// Starts the process of a replica.
    pub fn start(&self, index: usize) -> std::io::Result<()> {
        let replica = &self.all[index];
        let log = OpenOptions::new().create(true).append(true).open(&replica.log_file)?;
        let child = Command::new(&self.binary)
            .args(["registry", "serve", "--config"])
            .arg(&replica.config_file)
            .env("EDGE_LOG", "info,openraft=error")
            .env("EDGE_LOG_FORMAT", "json")
            .env(parent_process::ENV_VAR, "stdin")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let pid = replica.process.attach(child);
        self.shared.record_event("replica-started", json!({"replica": replica.name, "pid": pid}));
        Ok(())
    }

    /// Starts all replicas and waits until each is ready. Returns an error message otherwise.
    pub async fn start_all(&self, ready_timeout: Duration) -> Result<(), String> {
        for (index, replica) in self.all.iter().enumerate() {
            self.start(index).map_err(|error| format!("cannot start {}: {error}", replica.name))?;
        }
        let deadline = Instant::now() + ready_timeout;
        for (index, replica) in self.all.iter().enumerate() {
            while self.status(index).await.is_none_or(|status| status["ready"] != json!(true)) {
                if let Some(exit) = self.reap(index) {
                    return Err(exit);
                }
                if Instant::now() >= deadline {
                    return Err(format!(
                        "{} was not ready after {} s",
                        replica.name,
                        ready_timeout.as_secs_f64()
                    ));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Status that a replica reports.
    pub async fn status(&self, index: usize) -> Option<Value> {
        let call = Call::get("/registry/status", CALL_TIMEOUT, MAX_RESPONSE_BYTES);
        let response = HttpClient::new(self.all[index].client_address).call(&call).await.ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Value of a metric of a replica, by its name without the prefix.
    pub async fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let response = HttpClient::new(self.all[index].client_address)
            .call(&Call::get("/metrics", CALL_TIMEOUT, MAX_RESPONSE_BYTES))
            .await
            .ok()?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix("flaxdale_registry_")?.strip_prefix(name));
        line?.trim().parse().ok()
    }

    /// Index of the leader.
    pub async fn leader(&self) -> Option<usize> {
        for index in 0..self.all.len() {
            if self.pid(index).is_some()
                && self.status(index).await.is_some_and(|status| status["leads"] == json!(true))
            {
                return Some(index);
            }
        }
        None
    }

    /// PID of a replica's process while it is running.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.all[index].process.pid()
    }

    /// Resources that a replica's process uses now.
    pub fn resource_usage(&self, index: usize) -> Option<ResourceUsage> {
        self.all[index].process.resource_usage()
    }

    /// Pauses or resumes a replica; returns whether the signal was delivered.
    pub fn set_paused(&self, index: usize, paused: bool) -> bool {
        self.all[index].process.set_paused(paused)
    }

    /// Kills a replica and waits until it has exited. Removes its data unless `keep_data`.
    pub async fn kill(&self, index: usize, keep_data: bool) {
        self.all[index].process.end(Signal::KILL, || drop(self.reap(index))).await;
        if !keep_data && let Err(error) = std::fs::remove_dir_all(&self.all[index].data_dir) {
            self.shared.record_event(
                "rig-trouble",
                json!({"replica": self.all[index].name, "cause": error.to_string()}),
            );
        }
    }

    /// Stops a replica and waits until it has exited. Returns whether it exited on SIGTERM.
    pub async fn stop(&self, index: usize) -> bool {
        self.set_paused(index, false);
        self.all[index].process.stop(|| drop(self.reap(index))).await
    }

    /// Reaps a replica's process if it has exited. Returns a description of the exit if the rig did not ask for it.
    pub fn reap(&self, index: usize) -> Option<String> {
        let replica = &self.all[index];
        let ProcessExit { status, exit_requested, .. } = replica.process.reap()?;
        self.shared
            .record_event("replica-ended", json!({"replica": replica.name, "status": status.to_string()}));
        (!exit_requested).then(|| format!("{} exited unexpectedly ({status})", replica.name))
    }
}
