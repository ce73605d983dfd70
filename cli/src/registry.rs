//! `flaxdale registry`: runs a replica of the registry, and queries or changes a running registry.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand, ValueEnum};
use flaxdale_fleet::file::Fleet;
use flaxdale_fleet::parent_process;
use flaxdale_fleet::watch::INSTANCES_PATH;
use flaxdale_registry::client::{Client, ClientError};
use flaxdale_registry::serve::{ServeError, serve};
use flaxdale_registry::settings::Settings;
use flaxdale_registry::wire::{
    Backup, BackupPart, InstanceKey, Listing, ReplicaChange, StaleBackup, SuspectDecision,
};
use serde_json::Value;
use tokio::signal::unix::{SignalKind, signal};

use crate::Exit;
use crate::print::{print_error, print_line};
use crate::rig::runtime;

/// Maximum size of a backup file.
const MAX_BACKUP_BYTES: u64 = 256 * 1024 * 1024;

/// Run a replica of the registry, or query and change a running registry.
///
/// The registry keeps the list of app servers: one replica is enough for a small site, three or five serve a fleet.
#[derive(Subcommand)]
pub enum RegistryCommand {
    Serve(Serve),
    /// Print the status of a replica and of its registry
    Status {
        #[command(flatten)]
        at: RegistryAddress,
        /// Print the full status as JSON
        #[arg(long)]
        json: bool,
    },
    /// List the registered instances
    List {
        #[command(flatten)]
        at: RegistryAddress,
        /// Show what one replica has, without confirmation by a quorum; acknowledged writes may be missing
        #[arg(long)]
        stale: bool,
        /// Print the list as JSON, in the format of the HTTP API
        #[arg(long)]
        json: bool,
    },
    /// Drain an instance: let it finish its requests and get no new ones
    Drain {
        /// Name of the instance
        uid: String,
        #[command(flatten)]
        at: RegistryAddress,
    },
    /// Remove an instance from the list
    Leave {
        /// Name of the instance
        uid: String,
        #[command(flatten)]
        at: RegistryAddress,
    },
    /// Decide whether the suspects of a zone, whose leases expired together, are alive or gone
    Suspects {
        /// Name of the zone
        zone: String,
        /// State of the suspects
        #[arg(value_enum)]
        are: SuspectState,
        #[command(flatten)]
        at: RegistryAddress,
    },
    /// Save the list to a backup file
    ///
    /// The backup has every write that was acknowledged before, or none is taken.
    Backup {
        /// Backup file to write; an existing file is replaced atomically
        file: PathBuf,
        /// If no quorum of replicas can be reached, take what one replica has; acknowledged writes may be missing
        #[arg(long)]
        stale: bool,
        #[command(flatten)]
        at: RegistryAddress,
    },
    /// Replace the list with a backup
    ///
    /// Starts a new incarnation of the list, with revisions higher than any that clients have seen.
    Restore {
        /// Backup file to read
        file: PathBuf,
        #[command(flatten)]
        at: RegistryAddress,
    },
    /// Add a running replica that does not belong to a registry yet
    Add {
        /// Peer address of the replica
        peer: SocketAddr,
        #[command(flatten)]
        at: RegistryAddress,
    },
    /// Remove a replica, whether it is running or not
    Remove {
        /// Peer address of the replica
        peer: SocketAddr,
        #[command(flatten)]
        at: RegistryAddress,
    },
    /// Transfer the leadership to a replica
    Lead {
        /// Peer address of the replica
        peer: SocketAddr,
        #[command(flatten)]
        at: RegistryAddress,
    },
}

/// An operator's decision on suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum SuspectState {
    /// Keep them and renew their leases
    Alive,
    /// Remove them from the list
    Gone,
}

#[derive(Args)]
pub struct RegistryAddress {
    /// Client address of a replica; may be given several times
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:7200")]
    at: Vec<SocketAddr>,
    /// Take the addresses of the replicas from a fleet file
    #[arg(long, value_name = "FILE", conflicts_with = "at")]
    fleet_file: Option<PathBuf>,
}

/// Run a replica until interrupted.
///
/// Without a settings file, it runs a registry of one replica on loopback, with its store in ./registry-data. Options
/// override the settings file. Logs go to standard error: EDGE_LOG filters them (`info`, or
/// `warn,flaxdale_registry=debug`), and EDGE_LOG_FORMAT=json writes one JSON object per line. Ctrl-C or SIGTERM shuts
/// the replica down. Exit codes: 0 shut down by a signal; 2 invalid arguments or settings, nothing was started; 4 a
/// system resource was unavailable.
#[derive(Args)]
pub struct Serve {
    /// Settings file of the replica (TOML)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Name of the fleet
    #[arg(long)]
    fleet: Option<String>,
    /// Directory of the store
    #[arg(long, value_name = "DIR")]
    data: Option<PathBuf>,
    /// Listen address for clients; port 0 selects a free port
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Listen address for other replicas
    #[arg(long, value_name = "ADDRESS")]
    peer_listen: Option<SocketAddr>,
}

impl RegistryCommand {
    /// Whether the command runs a replica.
    pub fn is_server(&self) -> bool {
        matches!(self, Self::Serve(_))
    }

    pub fn run(self) -> Exit {
        let runtime = match runtime() {
            Ok(runtime) => runtime,
            Err(error) => {
                print_error(&error.to_string());
                return Exit::System;
            }
        };
        let result = match self {
            Self::Serve(serve) => return runtime.block_on(serve.run()),
            command => runtime.block_on(command.execute()),
        };
        match result {
            Ok(text) => {
                print_line(&text);
                Exit::Success
            }
            Err(CommandError::Usage(text)) => {
                print_error(&text);
                Exit::Usage
            }
            Err(CommandError::Client(error)) => {
                print_error(&error.to_string());
                if matches!(error, ClientError::Rejected { .. }) { Exit::Failure } else { Exit::System }
            }
        }
    }

    async fn execute(self) -> Result<String, CommandError> {
        match self {
            Self::Serve(_) => Ok(String::new()),
            Self::Status { at, json } => {
                let status: Value = at.client()?.get("/registry/status").await?;
                Ok(if json { format!("{status:#}") } else { format_status(&status) })
            }
            Self::List { at, json, stale } => show_list(at, json, stale).await,
            Self::Drain { uid, at } => change_instance(at, "/registry/drain", &uid, "is draining").await,
            Self::Leave { uid, at } => change_instance(at, "/registry/leave", &uid, "was removed").await,
            Self::Suspects { zone, are, at } => {
                let decision = SuspectDecision { zone, alive: are == SuspectState::Alive };
                let body: Value = at.client()?.post("/registry/suspects", &decision).await?;
                Ok(format!("{} instances updated, revision {}", body["concerned"], body["rev"]))
            }
            Self::Backup { file, stale, at } => take_backup(&file, stale, at).await,
            Self::Restore { file, at } => restore(&file, at).await,
            Self::Add { peer, at } => change_replicas(at, ReplicaChange::Add(peer)).await,
            Self::Remove { peer, at } => change_replicas(at, ReplicaChange::Remove(peer)).await,
            Self::Lead { peer, at } => change_replicas(at, ReplicaChange::Lead(peer)).await,
        }
    }
}

enum CommandError {
    /// Invalid arguments or an invalid file.
    Usage(String),
    Client(ClientError),
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> Self {
        Self::Client(error)
    }
}

impl RegistryAddress {
    fn client(&self) -> Result<Client, CommandError> {
        let Some(file) = &self.fleet_file else { return Ok(Client::new(&self.at)) };
        let fleet = Fleet::read(file).map_err(|error| CommandError::Usage(error.to_string()))?;
        match fleet.registry {
            Some(registry) => Ok(Client::new(&registry.addresses)),
            None => Err(CommandError::Usage(format!("{}: no registry is configured", file.display()))),
        }
    }
}

async fn show_list(at: RegistryAddress, json: bool, stale: bool) -> Result<String, CommandError> {
    let path = if stale { INSTANCES_PATH.to_owned() } else { current_list_path() };
    let (list, age) = at.client()?.list(&path).await?;
    if json {
        return Ok(serde_json::to_string_pretty(&list).unwrap_or_default());
    }
    let mut text = format!("revision {}, {} instances", list.rev, list.targets.len());
    if stale {
        text.push_str(&format_staleness(age.map(|age| age.as_millis() as u64)));
    }
    for instance in &list.targets {
        let suspect = if instance.suspect { ", suspect" } else { "" };
        text.push_str(&format!(
            "\n{:<24} {:<22} {:<12} {:<12} {:?}{suspect}",
            instance.uid, instance.endpoint, instance.az, instance.model, instance.state
        ));
    }
    Ok(text)
}

/// Says how far a list that no quorum has confirmed may be behind.
fn format_staleness(max_age_ms: Option<u64>) -> String {
    match max_age_ms {
        Some(age) => format!("; the list may be {age} ms old and lack writes acknowledged since"),
        None => "; the list may be of any age and lack acknowledged writes".to_owned(),
    }
}

/// Returns the path of a list with every write that was acknowledged before.
fn current_list_path() -> String {
    format!("{INSTANCES_PATH}?current=true")
}

async fn change_instance(
    at: RegistryAddress,
    path: &str,
    uid: &str,
    outcome: &str,
) -> Result<String, CommandError> {
    let mut client = at.client()?;
    // The key includes the start time, so that the change cannot apply to a restarted instance.
    let list: Listing = client.get(&current_list_path()).await?;
    let instance = list.targets.into_iter().find(|instance| instance.uid == uid);
    let instance = instance.ok_or_else(|| ClientError::Rejected {
        status: 404,
        text: format!("instance {uid} is not on the list"),
    })?;
    let body: Value =
        client.post(path, &InstanceKey { uid: instance.uid, boot_ms: instance.boot_ms }).await?;
    Ok(format!("{uid} {outcome}: revision {}", body["rev"]))
}

async fn change_replicas(at: RegistryAddress, change: ReplicaChange) -> Result<String, CommandError> {
    let body: Value = at.client()?.post("/registry/replicas", &change).await?;
    Ok(match change {
        ReplicaChange::Lead(_) => format!("{} leads", body["leader"].as_str().unwrap_or("another replica")),
        _ => format!("{} replicas", body["replicas"]),
    })
}

async fn take_backup(file: &Path, stale: bool, at: RegistryAddress) -> Result<String, CommandError> {
    let path = if stale { "/registry/backup?stale=true" } else { "/registry/backup" };
    let backup: Backup = at.client()?.get(path).await?;
    write_backup(file, &backup)
        .map_err(|error| CommandError::Usage(format!("{}: {error}", file.display())))?;
    let text = format!("{}: revision {}, {} instances", file.display(), backup.rev, backup.lines.len());
    Ok(match backup.stale {
        None => text,
        Some(StaleBackup { max_age_ms }) => text + &format_staleness(max_age_ms),
    })
}

/// Writes a backup file atomically.
fn write_backup(file: &Path, backup: &Backup) -> std::io::Result<()> {
    let directory =
        file.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut temporary = tempfile::NamedTempFile::new_in(directory)?;
    serde_json::to_writer(&mut temporary, backup)?;
    temporary.flush()?;
    temporary.as_file().sync_all()?;
    temporary.persist(file).map_err(|error| error.error)?;
    Ok(())
}

async fn restore(file: &Path, at: RegistryAddress) -> Result<String, CommandError> {
    let file_error = |text: String| CommandError::Usage(format!("{}: {text}", file.display()));
    let size = std::fs::metadata(file).map_err(|error| file_error(error.to_string()))?.len();
    if size > MAX_BACKUP_BYTES {
        return Err(file_error(format!("file too large: {size} bytes, the maximum is {MAX_BACKUP_BYTES}")));
    }
    let text = std::fs::read(file).map_err(|error| file_error(error.to_string()))?;
    let backup: Backup = serde_json::from_slice(&text).map_err(|error| file_error(error.to_string()))?;
    if backup.format != Backup::FORMAT {
        return Err(file_error(format!(
            "unsupported backup format {}; expected {}",
            backup.format,
            Backup::FORMAT
        )));
    }
    let mut client = at.client()?;
    let status: Value = client.get("/registry/status").await?;
    if status["fleet"].as_str() != Some(backup.fleet.as_str()) {
        return Err(file_error(format!(
            "backup of fleet {:?}, but the registry belongs to fleet {}",
            backup.fleet, status["fleet"]
        )));
    }
    let mut body = Value::Null;
    for part in BackupPart::split(&backup.lines) {
        body = client.post("/registry/restore", &part).await?;
    }
    Ok(format!("{} instances restored: revision {}", backup.lines.len(), body["rev"]))
}

/// Formats a status as text.
fn format_status(status: &Value) -> String {
    let number =
        |value: &Value| value.as_u64().map_or_else(|| "unknown".to_owned(), |number| number.to_string());
    let ready = match status["unready"].as_str() {
        Some(reason) => format!("not ready: {reason}"),
        None => "ready".to_owned(),
    };
    let mut text = format!(
        "fleet {}, replica {}: {ready}\nrevision {} of incarnation {}, at most {} ms old; {} waiting watches\nterm {}, applied \
         entry {}, store {} KiB",
        status["fleet"].as_str().unwrap_or("?"),
        number(&status["id"]),
        number(&status["rev"]),
        number(&status["incarnation"]),
        number(&status["age_ms"]),
        number(&status["watches"]),
        number(&status["term"]),
        number(&status["applied"]),
        status["store_bytes"].as_u64().unwrap_or(0) / 1024,
    );
    for replica in status["replicas"].as_array().into_iter().flatten() {
        let role = match (replica["leads"].as_bool(), replica["votes"].as_bool()) {
            (Some(true), _) => "leads",
            (_, Some(true)) => "follows",
            _ => "learns",
        };
        let behind = replica["entries_behind"].as_u64().map(|entries| format!(", {entries} entries behind"));
        text.push_str(&format!(
            "\nreplica {} at {} (clients {}): {role}{}",
            number(&replica["id"]),
            replica["peer"].as_str().unwrap_or("?"),
            replica["client"].as_str().unwrap_or("?"),
            behind.unwrap_or_default(),
        ));
    }
    for (name, zone) in status["zones"].as_object().into_iter().flatten() {
        text.push_str(&format!(
            "\nzone {name}: {} ready, {} draining, {} suspect",
            zone["ready"], zone["draining"], zone["suspects"]
        ));
    }
    text
}

impl Serve {
    fn settings(self) -> Result<Settings, String> {
        let mut settings = match &self.config {
            Some(file) => Settings::read(file).map_err(|error| error.to_string())?,
            None => Settings::default(),
        };
        settings.fleet = self.fleet.unwrap_or(settings.fleet);
        settings.data = self.data.unwrap_or(settings.data);
        settings.listen = self.listen.unwrap_or(settings.listen);
        settings.peer_listen = self.peer_listen.unwrap_or(settings.peer_listen);
        settings.check().map_err(|error| format!("{}: {}", error.key, error.text))?;
        Ok(settings)
    }

    async fn run(self) -> Exit {
        let settings = match self.settings() {
            Ok(settings) => settings,
            Err(error) => {
                print_error(&error);
                return Exit::Usage;
            }
        };
        // With a handler for SIGXFSZ, a write beyond the file size limit fails with an error and does not kill the process.
        let _file_size_signal = signal(SignalKind::from_raw(rustix::process::Signal::XFSZ.as_raw()));
        let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
        let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
            print_error("failed to install signal handlers");
            return Exit::System;
        };
        parent_process::exit_with_parent();
        let running = match serve(settings).await {
            Ok(running) => running,
            Err(error) => {
                print_error(&error.to_string());
                return if matches!(error, ServeError::Listen { .. }) { Exit::System } else { Exit::Usage };
            }
        };
        let addresses = running.addresses;
        tracing::info!(listen = %addresses.clients, peers = %addresses.peers, "listening");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!("shutting down");
        running.replica.stop().await;
        Exit::Success
    }
}
