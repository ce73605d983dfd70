#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! badgerpost, a load-balancing node: the decisions of `brookfield` on real sockets. This file reads the
//! configuration, starts the parts, heeds signals and ends the program.

mod discovery;
mod driver;
mod log;
mod os_error;
mod registry;
mod server;
mod upstream;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flaxdale_fleet::file::Fleet;
use flaxdale_fleet::parent_process;
use serde::Deserialize;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout_at};

use driver::{Clock, Node};
use server::ShutdownPhase;
use upstream::Upstream;

/// After SIGTERM connections go on coming for a while, up to here.
const STILL_TAKES: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner than the longest deadline and this after SIGTERM; a longer deadline counts as this one.
const STAYS: Duration = Duration::from_millis(700);
const LONGEST_STAY: Duration = Duration::from_secs(3);
/// An answer takes less than this from here to its client.
const ANSWERED_BEFORE: Duration = Duration::from_millis(50);
/// What has been taken is answered by its deadline and the driver's guard on it.
const GUARD: Duration = Duration::from_millis(500);
const BACKLOG: u32 = 1024;
/// Descriptors of the node's own: the runtime's, the standard streams, the listener, discovery's, the log.
const OWN: usize = 16;

/// The log's target for the line that tells where the node listens, so that a filter can let it through by itself.
const STARTED: &str = "badgerpost::started";
/// Names the fleet file. Without one the node knows of no fleet, and its agent tells it the list.
const FLEET: &str = "EDGE_FLEET";

/// What the node is told at its start.
#[derive(Deserialize)]
struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: Option<discovery::BackendList>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

/// Why the node can't start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("EDGE_CONFIG is not set")]
    NoConfig,
    #[error("configuration {path}: {source}")]
    Unread { path: String, source: std::io::Error },
    #[error("configuration {path}: {source}")]
    Malformed { path: String, source: serde_json::Error },
    #[error("configuration: seed {0:?} is not a hexadecimal number of 64 bits")]
    Seed(String),
    #[error("configuration: limits.sockets: {0} descriptors are too few")]
    Sockets(usize),
    #[error("configuration: {0}")]
    Settings(String),
    #[error("fleet file: {0}")]
    Orders(String),
    #[error("fleet file {0}")]
    Fleet(#[from] flaxdale_fleet::file::FileError),
    #[error("can't listen at {at}: {source}")]
    Listen { at: SocketAddr, source: std::io::Error },
    #[error("can't start: {0}")]
    System(#[from] std::io::Error),
}

fn main() -> ExitCode {
    match start(log::start()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerpost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(log: Arc<log::Bound>) -> Result<(), StartError> {
    let config = read_config()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, log))
}

fn read_config() -> Result<Config, StartError> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| StartError::NoConfig)?;
    let text = match std::fs::read(&path) {
        Ok(text) => text,
        Err(source) => return Err(StartError::Unread { path, source }),
    };
    serde_json::from_slice(&text).map_err(|source| StartError::Malformed { path, source })
}

fn read_fleet() -> Result<Option<Fleet>, StartError> {
    let Some(file) = std::env::var_os(FLEET) else { return Ok(None) };
    Ok(Some(Fleet::read(Path::new(&file))?))
}

async fn serve(config: Config, log: Arc<log::Bound>) -> Result<(), StartError> {
    spawn_local(log.report());
    parent_process::exit_with_parent();
    let parsed = brookfield_settings::parse(&config.settings).map_err(StartError::Settings)?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed.clone()))?;
    let (clients, backends) = shares(config.limits.sockets)?;
    let clock = Clock::start();
    let upstream = Upstream::new(parsed.connections, clock, backends);
    spawn_local(Upstream::sweep(upstream.pool()));
    let node = Node::new(parsed.settings, parsed.names, seed, clock, Rc::new(upstream))
        .map_err(|error| StartError::Settings(error.to_string()))?;
    let (discovery, addresses) = watch::channel(config.discovery);
    let fleet = read_fleet()?;
    if let Some(fleet) = &fleet {
        node.apply_zone_overrides(fleet).map_err(StartError::Orders)?;
    }
    let registry = fleet.and_then(|fleet| fleet.registry);
    let (replicas, replicas_are) =
        watch::channel(registry.clone().map_or(Vec::new(), |known| known.addresses));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let listener =
        listen(config.listen).map_err(|source| StartError::Listen { at: config.listen, source })?;
    tracing::info!(target: STARTED, node = config.name, listen = %listener.local_addr()?, "listening");
    spawn_local(reconfigure(hangup, node.clone(), discovery, replicas));
    if registry.is_some() {
        spawn_local(registry::Watcher::new(node.clone(), replicas_are, seed, config.known).run());
    } else {
        spawn_local(discovery::Watcher::new(node.clone(), addresses, config.known).run());
    }
    let timers = node.clone();
    spawn_local(async move { timers.run_timers().await });
    let (phase, phases) = watch::channel(ShutdownPhase::Serving);
    let deadline = node.longest_deadline();
    let served = spawn_local(server::run(listener, node, clients, phases));
    asked_to_stop(&mut terminate, &mut interrupt).await;
    let asked = Instant::now();
    tracing::info!(node = config.name, "shutting down");
    phase.send_replace(ShutdownPhase::Draining);
    sleep_until(asked + STILL_TAKES).await;
    let response_deadline = asked + deadline.min(LONGEST_STAY) + STAYS - ANSWERED_BEFORE;
    phase.send_replace(ShutdownPhase::Closing { response_deadline });
    // Whatever is still open after that has nothing on it that was taken.
    let _ = timeout_at(asked + STILL_TAKES + deadline.max(LONGEST_STAY) + GUARD, served).await;
    Ok(())
}

/// How many descriptors clients and backends may hold. A third of all is in use by clients' requests at
/// most, and each of those has one connection to a backend; what is left over is for peers that ask nothing
/// and hold theirs until their time is up.
fn shares(sockets: usize) -> Result<(usize, usize), StartError> {
    if sockets < 2 * OWN {
        return Err(StartError::Sockets(sockets));
    }
    let backends = sockets * 11 / 32;
    Ok((sockets - OWN - backends, backends))
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restart must not wait for the last life's connections to leave the system's tables.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// At each SIGHUP reads the configuration and the fleet file again, of which the addresses of discovery and of the
/// registry may have changed; never ends.
async fn reconfigure(
    mut hangup: Signal,
    node: Node,
    discovery: watch::Sender<SocketAddr>,
    replicas: watch::Sender<Vec<SocketAddr>>,
) {
    while hangup.recv().await.is_some() {
        match read_config() {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration read again");
                discovery.send_replace(config.discovery);
            }
            // The node goes on as it was.
            Err(error) => tracing::error!(cause = %error, "configuration not taken"),
        }
        match read_fleet() {
            Ok(Some(fleet)) => {
                // Orders that make no sense leave the last good ones in place.
                if let Err(cause) = node.apply_zone_overrides(&fleet) {
                    tracing::error!(cause, "orders not taken");
                }
                // Whether there is a registry is settled at the start.
                let Some(registry) = fleet.registry else { continue };
                replicas.send_if_modified(|known| {
                    let moved = *known != registry.addresses && !known.is_empty();
                    if moved {
                        tracing::info!(replicas = registry.addresses.len(), "fleet file read again");
                        *known = registry.addresses;
                    }
                    moved
                });
            }
            Ok(None) => {}
            Err(error) => tracing::error!(cause = %error, "fleet file not taken"),
        }
    }
}

async fn asked_to_stop(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

#[cfg(test)]
mod tests;
