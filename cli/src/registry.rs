//! `flaxdale registry`: a replica of the registry, and what an operator asks of one.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand, ValueEnum};
use flaxdale_fleet::file::Fleet;
use flaxdale_fleet::parent_process;
use flaxdale_fleet::watch::INSTANCES_PATH;
use flaxdale_registry::client::{Client, ClientError};
use flaxdale_registry::list::MAX_PART_LINES;
use flaxdale_registry::serve::{ServeError, serve};
use flaxdale_registry::settings::Settings;
use flaxdale_registry::wire::{Backup, BackupPart, InstanceKey, Listing, ReplicaChange, SuspectDecision};
use serde_json::Value;
use tokio::signal::unix::{SignalKind, signal};

use crate::Exit;
use crate::print::{complain, say};
use crate::rig::runtime;

/// A backup larger than this is none.
const MOST_BACKUP: u64 = 256 * 1024 * 1024;

/// Keep the list of app servers: one process for a small site, three or five for a fleet.
#[derive(Subcommand)]
pub enum Registry {
    /// Run one replica until it is told to stop
    Serve(Serve),
    /// Say how a replica and its registry stand
    Status {
        #[command(flatten)]
        at: At,
        /// As JSON, whole
        #[arg(long)]
        json: bool,
    },
    /// Print the list
    List {
        #[command(flatten)]
        at: At,
        /// As JSON, in the form of the watch
        #[arg(long)]
        json: bool,
    },
    /// Let an instance finish what it has
    Drain {
        /// Its name
        uid: String,
        #[command(flatten)]
        at: At,
    },
    /// Take an instance off the list
    Leave {
        /// Its name
        uid: String,
        #[command(flatten)]
        at: At,
    },
    /// Say of a zone's suspects, whose leases lapsed together, that they live or that they have gone
    Suspects {
        /// The zone
        zone: String,
        /// What is true of them
        #[arg(value_enum)]
        are: Are,
        #[command(flatten)]
        at: At,
    },
    /// Write the list into a file
    Backup {
        /// The file; an earlier one is replaced once the new one is whole
        file: PathBuf,
        #[command(flatten)]
        at: At,
    },
    /// Put a backup in place of the list: a new incarnation, whose versions are past all that clients have seen
    Restore {
        /// The file
        file: PathBuf,
        #[command(flatten)]
        at: At,
    },
    /// Add a replica that runs and belongs to no registry yet
    Add {
        /// Its address for the other replicas
        peer: SocketAddr,
        #[command(flatten)]
        at: At,
    },
    /// Remove a replica, running or not
    Remove {
        /// Its address for the other replicas
        peer: SocketAddr,
        #[command(flatten)]
        at: At,
    },
    /// Hand the lead over to a replica
    Lead {
        /// Its address for the other replicas
        peer: SocketAddr,
        #[command(flatten)]
        at: At,
    },
}

/// What a person knows of suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Are {
    /// They live, and get a full lease
    Alive,
    /// They have gone
    Gone,
}

/// Where the registry is.
#[derive(Args)]
pub struct At {
    /// A replica's address for clients; may be given several times
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:7200")]
    at: Vec<SocketAddr>,
    /// A fleet file that names them, instead
    #[arg(long, value_name = "FILE", conflicts_with = "at")]
    fleet_file: Option<PathBuf>,
}

/// Run one replica.
///
/// Without a file it is a registry of one replica on loopback, with its store in ./registry-data. What is given here
/// goes before what the file says. Logs go to standard error: EDGE_LOG filters them as for the node (`info`, or
/// `warn,flaxdale_registry=debug`), EDGE_LOG_FORMAT=json writes a JSON object a line. Ends on Ctrl-C or SIGTERM. Exit
/// codes: 0 told to end; 2 wrong arguments or file, nothing was started; 4 this machine did not give what was needed.
#[derive(Args)]
pub struct Serve {
    /// The replica's settings (TOML)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The fleet's name
    #[arg(long)]
    fleet: Option<String>,
    /// The folder of its store
    #[arg(long, value_name = "DIR")]
    data: Option<PathBuf>,
    /// Where clients find it; port 0 takes a free one
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Where the other replicas find it
    #[arg(long, value_name = "ADDRESS")]
    peer_listen: Option<SocketAddr>,
}

impl Registry {
    /// Whether it runs until it is told to stop, and so logs.
    pub fn serves(&self) -> bool {
        matches!(self, Self::Serve(_))
    }

    /// Does it.
    pub fn run(self) -> Exit {
        let runtime = match runtime() {
            Ok(runtime) => runtime,
            Err(error) => {
                complain(&error.to_string());
                return Exit::Machine;
            }
        };
        let done = match self {
            Self::Serve(serve) => return runtime.block_on(serve.run()),
            asked => runtime.block_on(asked.ask()),
        };
        match done {
            Ok(text) => {
                say(&text);
                Exit::Well
            }
            Err(Failed::Usage(text)) => {
                complain(&text);
                Exit::Usage
            }
            Err(Failed::Asked(error)) => {
                complain(&error.to_string());
                if matches!(error, ClientError::Rejected { .. }) { Exit::Broken } else { Exit::Machine }
            }
        }
    }

    async fn ask(self) -> Result<String, Failed> {
        match self {
            Self::Serve(_) => Ok(String::new()),
            Self::Status { at, json } => {
                let status: Value = at.client()?.get("/registry/status").await?;
                Ok(if json { format!("{status:#}") } else { told(&status) })
            }
            Self::List { at, json } => {
                let list: Listing = at.client()?.get(INSTANCES_PATH).await?;
                if json {
                    return Ok(serde_json::to_string_pretty(&list).unwrap_or_default());
                }
                let mut text = format!("version {}, {} instances", list.rev, list.targets.len());
                for one in &list.targets {
                    let suspect = if one.suspect { ", suspect" } else { "" };
                    text.push_str(&format!(
                        "\n{:<24} {:<22} {:<12} {:<12} {:?}{suspect}",
                        one.uid, one.endpoint, one.az, one.model, one.state
                    ));
                }
                Ok(text)
            }
            Self::Drain { uid, at } => change(at, "/registry/drain", &uid, "drains").await,
            Self::Leave { uid, at } => change(at, "/registry/leave", &uid, "has left").await,
            Self::Suspects { zone, are, at } => {
                let decision = SuspectDecision { zone, alive: are == Are::Alive };
                let done: Value = at.client()?.post("/registry/suspects", &decision).await?;
                Ok(format!("{} instances concerned, version {}", done["concerned"], done["rev"]))
            }
            Self::Backup { file, at } => {
                let backup: Backup = at.client()?.get("/registry/backup").await?;
                keep(&file, &backup)
                    .map_err(|error| Failed::Usage(format!("{}: {error}", file.display())))?;
                Ok(format!("{}: version {}, {} instances", file.display(), backup.rev, backup.lines.len()))
            }
            Self::Restore { file, at } => restore(&file, at).await,
            Self::Add { peer, at } => replicas(at, ReplicaChange::Add(peer)).await,
            Self::Remove { peer, at } => replicas(at, ReplicaChange::Remove(peer)).await,
            Self::Lead { peer, at } => replicas(at, ReplicaChange::Lead(peer)).await,
        }
    }
}

/// Why a call came to nothing.
enum Failed {
    /// The arguments or a file.
    Usage(String),
    /// The registry.
    Asked(ClientError),
}

impl From<ClientError> for Failed {
    fn from(error: ClientError) -> Self {
        Self::Asked(error)
    }
}

impl At {
    fn client(&self) -> Result<Client, Failed> {
        let Some(file) = &self.fleet_file else { return Ok(Client::new(&self.at)) };
        let fleet = Fleet::read(file).map_err(|error| Failed::Usage(error.to_string()))?;
        match fleet.registry {
            Some(registry) => Ok(Client::new(&registry.addresses)),
            None => Err(Failed::Usage(format!("{}: it names no registry", file.display()))),
        }
    }
}

async fn change(at: At, path: &str, uid: &str, what: &str) -> Result<String, Failed> {
    let mut client = at.client()?;
    // The life that stands on the list now is the one that is meant.
    let list: Listing = client.get(INSTANCES_PATH).await?;
    let one = list.targets.into_iter().find(|one| one.uid == uid);
    let one =
        one.ok_or_else(|| ClientError::Rejected { status: 404, text: format!("{uid} is not on the list") })?;
    let done: Value = client.post(path, &InstanceKey { uid: one.uid, boot_ms: one.boot_ms }).await?;
    Ok(format!("{uid} {what}: version {}", done["rev"]))
}

async fn replicas(at: At, change: ReplicaChange) -> Result<String, Failed> {
    let done: Value = at.client()?.post("/registry/replicas", &change).await?;
    Ok(match change {
        ReplicaChange::Lead(_) => format!("{} leads", done["leader"].as_str().unwrap_or("another replica")),
        _ => format!("{} replicas", done["replicas"]),
    })
}

/// Writes a file whole or not at all.
fn keep(file: &Path, backup: &Backup) -> std::io::Result<()> {
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut fresh = tempfile::NamedTempFile::new_in(folder)?;
    serde_json::to_writer(&mut fresh, backup)?;
    fresh.flush()?;
    fresh.as_file().sync_all()?;
    fresh.persist(file).map_err(|error| error.error)?;
    Ok(())
}

async fn restore(file: &Path, at: At) -> Result<String, Failed> {
    let problem = |text: String| Failed::Usage(format!("{}: {text}", file.display()));
    let size = std::fs::metadata(file).map_err(|error| problem(error.to_string()))?.len();
    if size > MOST_BACKUP {
        return Err(problem(format!("{size} bytes are too many; {MOST_BACKUP} at most")));
    }
    let text = std::fs::read(file).map_err(|error| problem(error.to_string()))?;
    let backup: Backup = serde_json::from_slice(&text).map_err(|error| problem(error.to_string()))?;
    if backup.format != Backup::FORMAT {
        return Err(problem(format!("format {} is not known, but {}", backup.format, Backup::FORMAT)));
    }
    let mut client = at.client()?;
    let status: Value = client.get("/registry/status").await?;
    if status["fleet"].as_str() != Some(backup.fleet.as_str()) {
        return Err(problem(format!(
            "it is of fleet {:?}, and the registry is of {}",
            backup.fleet, status["fleet"]
        )));
    }
    let parts: Vec<_> = if backup.lines.is_empty() {
        vec![Vec::new()]
    } else {
        backup.lines.chunks(MAX_PART_LINES).map(<[_]>::to_vec).collect()
    };
    let (count, mut done) = (parts.len() as u32, Value::Null);
    for (part, lines) in (0..).zip(parts) {
        done = client.post("/registry/restore", &BackupPart { part, parts: count, lines }).await?;
    }
    Ok(format!("{} instances restored: version {}", backup.lines.len(), done["rev"]))
}

/// A status in lines.
fn told(status: &Value) -> String {
    let number =
        |value: &Value| value.as_u64().map_or_else(|| "unknown".to_owned(), |number| number.to_string());
    let ready = match status["unready"].as_str() {
        Some(reason) => format!("not ready: {reason}"),
        None => "ready".to_owned(),
    };
    let mut text = format!(
        "fleet {}, replica {}: {ready}\nversion {} of incarnation {}, at most {} ms old; {} watches wait\nterm {}, entry {} \
         applied, store {} KiB",
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
    for one in status["replicas"].as_array().into_iter().flatten() {
        let role = match (one["leads"].as_bool(), one["votes"].as_bool()) {
            (Some(true), _) => "leads",
            (_, Some(true)) => "follows",
            _ => "learns",
        };
        let behind = one["entries_behind"].as_u64().map(|entries| format!(", {entries} entries behind"));
        text.push_str(&format!(
            "\nreplica {} at {} (clients {}): {role}{}",
            number(&one["id"]),
            one["peer"].as_str().unwrap_or("?"),
            one["client"].as_str().unwrap_or("?"),
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
        settings.check().map_err(|problem| format!("{}: {}", problem.key, problem.text))?;
        Ok(settings)
    }

    async fn run(self) -> Exit {
        let settings = match self.settings() {
            Ok(settings) => settings,
            Err(problem) => {
                complain(&problem);
                return Exit::Usage;
            }
        };
        // A limit on the size of files comes as an error of the write, and not as the program's end.
        let _too_large = signal(SignalKind::from_raw(rustix::process::Signal::XFSZ.as_raw()));
        let told = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
        let (Ok(mut terminate), Ok(mut interrupt)) = told else {
            complain("signals can't be heeded");
            return Exit::Machine;
        };
        parent_process::exit_with_parent();
        let serving = match serve(settings).await {
            Ok(serving) => serving,
            Err(error) => {
                complain(&error.to_string());
                return if matches!(error, ServeError::Listen { .. }) { Exit::Machine } else { Exit::Usage };
            }
        };
        let doors = serving.addresses;
        tracing::info!(listen = %doors.clients, peers = %doors.peers, "serves");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!("stops");
        serving.replica.stop().await;
        Exit::Well
    }
}
