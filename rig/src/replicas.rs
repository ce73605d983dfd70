//! The registry's processes: prepared with a configuration each, started, paused, killed, with or without their store,
//! and ended. Their ports are their own in all their lives.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use flaxdale_fleet::call::{Call, HttpClient};
use flaxdale_fleet::parent_process;
use flaxdale_model::scenario::Registry;
use flaxdale_model::timeline::replica_end as end_of;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::listener::ReservedPort;
use crate::nodes::LaunchConfig;
use crate::process::{Process, ProcessExit, ResourceUsage};
use crate::relay::Relay;
use crate::shared::Shared;

/// How often a replica that starts is looked at.
const LOOK: Duration = Duration::from_millis(20);
const ASK: Duration = Duration::from_secs(1);
const MOST_ANSWER: usize = 1024 * 1024;

/// One replica.
pub struct Replica {
    /// Its name.
    pub name: String,
    /// Where clients find it, without a link between.
    pub client: SocketAddr,
    config: PathBuf,
    data: PathBuf,
    log: PathBuf,
    process: Process,
    _ports: [ReservedPort; 2],
}

/// The registry of a run.
pub struct Replicas {
    /// They, by number.
    pub all: Vec<Replica>,
    binary: PathBuf,
    shared: Arc<Shared>,
}

impl Replicas {
    /// Prepares their files and the links between those that a fault concerns. `touched` tells of two parties whether one
    /// does.
    pub fn prepare(
        binary: PathBuf,
        launch: Arc<LaunchConfig>,
        shared: Arc<Shared>,
        plan: &Registry,
        folder: &Path,
        touched: impl Fn(usize, usize) -> bool,
    ) -> std::io::Result<Self> {
        let count = plan.replicas as usize;
        let ports: Vec<[ReservedPort; 2]> = (0..count)
            .map(|_| Ok([ReservedPort::reserve()?, ReservedPort::reserve()?]))
            .collect::<std::io::Result<_>>()?;
        let peers: Vec<SocketAddr> =
            ports.iter().map(|[_, peer]| peer.address()).collect::<Result<_, _>>()?;
        let mut all = Vec::new();
        for (own, ports) in ports.into_iter().enumerate() {
            let name = format!("r{own}");
            let mut via = toml::Table::new();
            for (other, peer) in peers.iter().enumerate() {
                if other != own && touched(own, other) {
                    let relay = Relay::start(shared.clone(), end_of(own), end_of(other), *peer)?;
                    via.insert(peer.to_string(), relay.to_string().into());
                }
            }
            let client = ports[0].address()?;
            let data = folder.join(format!("{name}-data"));
            let settings = json!({"fleet": "rig", "listen": client.to_string(), "peer_listen": peers[own].to_string(),
                "replicas": peers.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
                "data": data.display().to_string(), "lease_ms": plan.lease_ms as u64,
                "snapshot_every": plan.snapshot_every, "via": via});
            let config = launch.config_dir.join(format!("{name}.toml"));
            let text = toml::to_string(&settings).map_err(std::io::Error::other)?;
            std::fs::write(&config, text)?;
            let (log, process) = (launch.log_dir.join(format!("{name}.log")), Process::new(launch.clone()));
            all.push(Replica { name, client, config, data, log, process, _ports: ports });
        }
        Ok(Self { all, binary, shared })
    }

    /// Starts one.
    pub fn start(&self, at: usize) -> std::io::Result<()> {
        let one = &self.all[at];
        let log = OpenOptions::new().create(true).append(true).open(&one.log)?;
        let child = Command::new(&self.binary)
            .args(["registry", "serve", "--config"])
            .arg(&one.config)
            .env("EDGE_LOG", "info,openraft=error")
            .env("EDGE_LOG_FORMAT", "json")
            .env(parent_process::ENV_VAR, "stdin")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let pid = one.process.attach(child);
        self.shared.record_event("replica-started", json!({"replica": one.name, "pid": pid}));
        Ok(())
    }

    /// Starts all and waits until each is ready. The text says who was not.
    pub async fn start_all(&self, patience: Duration) -> Result<(), String> {
        for (at, one) in self.all.iter().enumerate() {
            self.start(at).map_err(|error| format!("{} can't be started: {error}", one.name))?;
        }
        let until = Instant::now() + patience;
        for (at, one) in self.all.iter().enumerate() {
            while self.status(at).await.is_none_or(|status| status["ready"] != json!(true)) {
                if let Some(how) = self.reap(at) {
                    return Err(how);
                }
                if Instant::now() >= until {
                    return Err(format!("{} was not ready after {} s", one.name, patience.as_secs_f64()));
                }
                sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// What one says of itself.
    pub async fn status(&self, at: usize) -> Option<Value> {
        let call = Call::get("/registry/status", ASK, MOST_ANSWER);
        let answer = HttpClient::new(self.all[at].client).call(&call).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// A counter of one's figures.
    pub async fn figure(&self, at: usize, name: &str) -> Option<f64> {
        let answer =
            HttpClient::new(self.all[at].client).call(&Call::get("/metrics", ASK, MOST_ANSWER)).await.ok()?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix("flaxdale_registry_")?.strip_prefix(name));
        line?.trim().parse().ok()
    }

    /// Which one leads.
    pub async fn leader(&self) -> Option<usize> {
        for at in 0..self.all.len() {
            if self.pid(at).is_some()
                && self.status(at).await.is_some_and(|status| status["leads"] == json!(true))
            {
                return Some(at);
            }
        }
        None
    }

    /// Its process's number, while there is one.
    pub fn pid(&self, at: usize) -> Option<u32> {
        self.all[at].process.pid()
    }

    /// What its process holds.
    pub fn resource_usage(&self, at: usize) -> Option<ResourceUsage> {
        self.all[at].process.resource_usage()
    }

    /// Pauses one, or lets it go on.
    pub fn set_paused(&self, at: usize, paused: bool) -> bool {
        self.all[at].process.set_paused(paused)
    }

    /// Kills one outright; its store stays, or goes with it.
    pub async fn kill(&self, at: usize, store: bool) {
        self.all[at].process.end(Signal::KILL, || drop(self.reap(at))).await;
        if !store && let Err(error) = std::fs::remove_dir_all(&self.all[at].data) {
            self.shared.record_event(
                "rig-trouble",
                json!({"replica": self.all[at].name, "cause": error.to_string()}),
            );
        }
    }

    /// Tells one to end, and waits until it has. Whether it did so by itself.
    pub async fn stop(&self, at: usize) -> bool {
        self.set_paused(at, false);
        self.all[at].process.stop(|| drop(self.reap(at))).await
    }

    /// Takes the end of its process, if it has ended. The text says how, for one that was not told to.
    pub fn reap(&self, at: usize) -> Option<String> {
        let one = &self.all[at];
        let ProcessExit { status, exit_requested, .. } = one.process.reap()?;
        self.shared.record_event("replica-ended", json!({"replica": one.name, "status": status.to_string()}));
        (!exit_requested).then(|| format!("{} ended by itself ({status})", one.name))
    }
}
