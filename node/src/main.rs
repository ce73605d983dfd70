#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! badgerpost, an HTTP load balancer that applies the decisions of `brookfield` to real connections. This
//! file reads the configuration, starts the components and handles signals.

mod discovery;
mod driver;
mod limited_read;
mod log;
mod memory;
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
use server::{ServerLimits, ShutdownPhase};
use upstream::Upstream;

/// How long after SIGTERM new connections still arrive.
const CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// SIGKILL follows SIGTERM no sooner than after the longest deadline, capped at `MAX_DRAIN_DEADLINE`, and
/// this margin.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_DRAIN_DEADLINE: Duration = Duration::from_secs(3);
/// Upper bound of the time that a response takes to reach its client.
const RESPONSE_LATENCY: Duration = Duration::from_millis(50);
/// How long after its deadline a request may still be open, at most.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);
const ACCEPT_BACKLOG: u32 = 1024;
/// Memory limit to assume if the configuration states none: the smallest that a node is given.
const DEFAULT_MEMORY_MB: f64 = 32.0;
/// The share of the memory limit that may hold input read ahead of clients' requests, beyond the allowance of each
/// connection.
const READ_AHEAD_MEMORY_SHARE: f64 = 1.0 / 16.0;
/// Descriptors kept for the runtime, the standard streams, the listener and discovery.
const RESERVED_DESCRIPTORS: usize = 16;

/// Log target of the line with the listen address, so that a filter can enable it alone.
const STARTED_TARGET: &str = "badgerpost::started";
/// Environment variable with the path of the fleet file. Without it the backend list comes from discovery.
const FLEET_VARIABLE: &str = "EDGE_FLEET";

/// The configuration file.
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
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
    sockets: usize,
}

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

/// Why the node cannot start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("EDGE_CONFIG is not set")]
    NoConfig,
    #[error("configuration {path}: {source}")]
    ReadConfig { path: String, source: std::io::Error },
    #[error("configuration {path}: {source}")]
    ParseConfig { path: String, source: serde_json::Error },
    #[error("configuration: seed: {0:?} is not a 64-bit hexadecimal number")]
    InvalidSeed(String),
    #[error("configuration: limits.sockets: {0} descriptors are not enough")]
    TooFewDescriptors(usize),
    #[error("configuration: {0}")]
    InvalidSettings(String),
    #[error("fleet file: {0}")]
    InvalidZoneOverrides(String),
    #[error("fleet file {0}")]
    FleetFile(#[from] flaxdale_fleet::file::FileError),
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
}

fn main() -> ExitCode {
    match run(log::init()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerpost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(log_limiter: Arc<log::RateLimiter>) -> Result<(), StartError> {
    let config = read_config()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, log_limiter))
}

fn read_config() -> Result<Config, StartError> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| StartError::NoConfig)?;
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(source) => return Err(StartError::ReadConfig { path, source }),
    };
    serde_json::from_slice(&bytes).map_err(|source| StartError::ParseConfig { path, source })
}

fn read_fleet() -> Result<Option<Fleet>, StartError> {
    let Some(file) = std::env::var_os(FLEET_VARIABLE) else { return Ok(None) };
    Ok(Some(Fleet::read(Path::new(&file))?))
}

async fn serve(config: Config, log_limiter: Arc<log::RateLimiter>) -> Result<(), StartError> {
    spawn_local(log_limiter.report());
    parent_process::exit_with_parent();
    let parsed = brookfield_settings::parse(&config.settings).map_err(StartError::InvalidSettings)?;
    let seed =
        u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::InvalidSeed(config.seed.clone()))?;
    let (max_connections, backends) = split_descriptors(config.limits.sockets)?;
    let read_ahead_reserve_bytes =
        (memory::limit_bytes(config.limits.memory_mb) as f64 * READ_AHEAD_MEMORY_SHARE) as usize;
    let budget = memory::budget_for(config.limits.memory_mb);
    spawn_local(memory::report(budget.clone()));
    let clock = Clock::start();
    let upstream = Upstream::new(parsed.connections, clock, backends, &budget);
    spawn_local(Upstream::sweep(upstream.pool()));
    let pool = upstream.pool();
    spawn_local(memory::reclaim(budget.clone(), move |bytes| pool.release_idle(bytes)));
    let node = Node::new(parsed.settings, parsed.names, seed, clock, Rc::new(upstream))
        .map_err(|error| StartError::InvalidSettings(error.to_string()))?;
    node.account_for_list(&budget.account());
    let (discovery_address, discovery_changes) = watch::channel(config.discovery);
    let fleet = read_fleet()?;
    if let Some(fleet) = &fleet {
        node.apply_zone_overrides(fleet).map_err(StartError::InvalidZoneOverrides)?;
    }
    let registry = fleet.and_then(|fleet| fleet.registry);
    let (replica_addresses, replica_changes) =
        watch::channel(registry.clone().map_or(Vec::new(), |known| known.addresses));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let listener =
        listen(config.listen).map_err(|source| StartError::Listen { address: config.listen, source })?;
    tracing::info!(target: STARTED_TARGET, node = config.name, listen = %listener.local_addr()?, "listening");
    spawn_local(reload_on_hangup(hangup, node.clone(), discovery_address, replica_addresses));
    if registry.is_some() {
        spawn_local(registry::Watcher::new(node.clone(), replica_changes, seed, config.known).run());
    } else {
        spawn_local(discovery::Watcher::new(node.clone(), discovery_changes, config.known).run());
    }
    let timers = node.clone();
    spawn_local(async move { timers.run_timers().await });
    let (phase, phases) = watch::channel(ShutdownPhase::Serving);
    let longest_deadline = node.longest_deadline();
    let server = spawn_local(server::run(
        listener,
        node,
        ServerLimits { max_connections, read_ahead_reserve_bytes },
        budget,
        phases,
    ));
    shutdown_signal(&mut terminate, &mut interrupt).await;
    let signalled_at = Instant::now();
    tracing::info!(node = config.name, "shutting down");
    phase.send_replace(ShutdownPhase::Draining);
    sleep_until(signalled_at + CONNECTIONS_AFTER_SIGTERM).await;
    let response_deadline =
        signalled_at + longest_deadline.min(MAX_DRAIN_DEADLINE) + SIGKILL_MARGIN - RESPONSE_LATENCY;
    phase.send_replace(ShutdownPhase::Closing { response_deadline });
    // No accepted request is left after that, so remaining connections may be dropped.
    let _ = timeout_at(
        signalled_at + CONNECTIONS_AFTER_SIGTERM + longest_deadline.max(MAX_DRAIN_DEADLINE) + DRAIN_MARGIN,
        server,
    )
    .await;
    Ok(())
}

/// Splits the descriptors into those for client connections and those for backend connections. At most a
/// third of all is used by clients with a request, each of which needs one backend connection. The rest is
/// for idle client connections.
fn split_descriptors(sockets: usize) -> Result<(usize, usize), StartError> {
    if sockets < 2 * RESERVED_DESCRIPTORS {
        return Err(StartError::TooFewDescriptors(sockets));
    }
    let backends = sockets * 11 / 32;
    Ok((sockets - RESERVED_DESCRIPTORS - backends, backends))
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restarted node must be able to bind while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Reloads the configuration and the fleet file on each SIGHUP. The addresses of discovery and of the
/// registry and the zone overrides take effect; never returns.
async fn reload_on_hangup(
    mut hangup: Signal,
    node: Node,
    discovery_address: watch::Sender<SocketAddr>,
    replica_addresses: watch::Sender<Vec<SocketAddr>>,
) {
    while hangup.recv().await.is_some() {
        match read_config() {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                discovery_address.send_replace(config.discovery);
            }
            // The current configuration stays in use.
            Err(error) => tracing::error!(cause = %error, "configuration reload failed"),
        }
        match read_fleet() {
            Ok(Some(fleet)) => {
                // If they are invalid, the current zone overrides stay in use.
                if let Err(cause) = node.apply_zone_overrides(&fleet) {
                    tracing::error!(cause, "invalid zone overrides");
                }
                // Whether a registry is used is decided at the start.
                let Some(registry) = fleet.registry else { continue };
                replica_addresses.send_if_modified(|known| {
                    let changed = *known != registry.addresses && !known.is_empty();
                    if changed {
                        tracing::info!(replicas = registry.addresses.len(), "fleet file reloaded");
                        *known = registry.addresses;
                    }
                    changed
                });
            }
            Ok(None) => {}
            Err(error) => tracing::error!(cause = %error, "fleet file reload failed"),
        }
    }
}

async fn shutdown_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

#[cfg(test)]
mod tests;
