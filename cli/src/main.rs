#![forbid(unsafe_code)]
//! `flaxdale`: what a person types. This program reads arguments and files, calls the rig, prints, and ends with an
//! exit code that a script can use.

mod check;
mod log;
mod print;
mod registry;
mod rig;
mod up;
mod zone;

use std::path::PathBuf;
use std::process::{Command, ExitCode};

use clap::{Parser, Subcommand};
use tracing_subscriber::filter::LevelFilter;

/// A load balancer for fleets of app servers, with a rig to try it on.
///
/// `flaxdale up` starts a small fleet on this machine at once. `flaxdale rig run experiments/calm.toml` plays an
/// experiment and leaves a report.
#[derive(Parser)]
#[command(name = "flaxdale", version, max_term_width = 100, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Start a small fleet on loopback, with emulated app servers, discovery and some traffic, until Ctrl-C
    Up(up::Up),
    /// Play experiments on real node processes or in virtual time, and compare what they came to
    #[command(subcommand)]
    Rig(rig::Rig),
    /// Keep the list of app servers, in one replica or several, and ask them
    #[command(subcommand)]
    Registry(registry::Registry),
    /// Order what zones may be given, in a fleet file
    #[command(subcommand)]
    Zone(zone::Zone),
    /// Check files
    #[command(subcommand)]
    Config(Config),
    /// End what a run left behind (started by the rig itself)
    #[command(hide = true)]
    Keeper,
}

#[derive(Subcommand)]
enum Config {
    /// Check an experiment, a fleet file or a replica's settings (.toml) or a node's configuration (.json)
    ///
    /// Says what is wrong and where.
    Check {
        /// The file
        file: PathBuf,
    },
}

/// How a command ended, as its exit code tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All is well.
    Well = 0,
    /// A rule was broken, or a run is worse than what it was held against.
    Broken = 1,
    /// Wrong arguments, or a file that makes no sense; nothing was started.
    Usage = 2,
    /// The rig was too late to give a verdict.
    NoVerdict = 3,
    /// This machine did not give what was needed.
    Machine = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// The node's program: the one that was named, or the one beside this program.
pub fn node_program(named: Option<&PathBuf>) -> Result<PathBuf, String> {
    let found = match named {
        Some(named) => named.clone(),
        None => std::env::current_exe().map_err(|error| error.to_string())?.with_file_name("badgerpost"),
    };
    if found.is_file() {
        Ok(found)
    } else {
        Err(format!(
            "the node's program is not at {}: build it with `cargo build --release`, or name it with --node",
            found.display()
        ))
    }
}

/// This program itself, which runs replicas of the registry too.
pub fn own_program() -> PathBuf {
    std::env::current_exe().unwrap_or_else(|_| PathBuf::from("flaxdale"))
}

/// As many descriptors as the system lets this process have: a watcher, a link and a client hold one each.
fn more_descriptors() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    // What is not given is not promised either: connections beyond it are turned away.
    let _ = setrlimit(Resource::Nofile, limit);
}

/// This program, asked to keep.
pub fn keeper() -> Option<Command> {
    let mut command = Command::new(std::env::current_exe().ok()?);
    command.arg("keeper");
    Some(command)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let serves = matches!(&arguments.command, Task::Registry(registry) if registry.serves());
    log::start(if serves { LevelFilter::INFO } else { LevelFilter::WARN });
    more_descriptors();
    let exit = match arguments.command {
        Task::Up(up) => up.run(),
        Task::Rig(rig) => rig.run(),
        Task::Registry(registry) => registry.run(),
        Task::Zone(zone) => zone.run(),
        Task::Config(Config::Check { file }) => check::check(&file),
        Task::Keeper => {
            flaxdale_rig::cleanup::run(std::io::stdin().lock());
            Exit::Well
        }
    };
    exit.into()
}
