#![forbid(unsafe_code)]
//! `flaxdale`: the command-line program. It parses arguments, runs the registry or the rig, prints results, and returns
//! an exit code for scripts.

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

/// Operate and test a load balancer for fleets of app servers.
///
/// `flaxdale up` starts a small fleet on this machine. `flaxdale rig run experiments/calm.toml` runs an experiment and
/// writes a report.
#[derive(Parser)]
#[command(name = "flaxdale", version, max_term_width = 100, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Commands,
}

#[derive(Subcommand)]
enum Commands {
    Up(up::Up),
    #[command(subcommand)]
    Rig(rig::RigCommand),
    #[command(subcommand)]
    Registry(registry::RegistryCommand),
    #[command(subcommand)]
    Zone(zone::ZoneCommand),
    /// Validate configuration files
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Clean up after a rig process that ends (started by the rig itself)
    #[command(hide = true)]
    Keeper,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Validate an experiment, a fleet file or the settings of a replica (.toml), or the configuration of a node (.json)
    ///
    /// Prints the kind of the file, or the first error with its location. Exit codes: 0 valid; 2 invalid or unreadable.
    Check {
        /// File to validate
        file: PathBuf,
    },
}

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Success = 0,
    /// A rule was violated, a run is worse than the one it was compared with, or the registry rejected the call.
    Failure = 1,
    /// Invalid arguments or an invalid file; nothing was started.
    Usage = 2,
    /// The rig was too slow for a verdict.
    NoVerdict = 3,
    /// A system resource or the registry was unavailable.
    System = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Returns the binary of the node: the given path, or `badgerpost` in the directory of this program.
pub fn node_binary(path: Option<&PathBuf>) -> Result<PathBuf, String> {
    let binary = match path {
        Some(path) => path.clone(),
        None => std::env::current_exe().map_err(|error| error.to_string())?.with_file_name("badgerpost"),
    };
    if binary.is_file() {
        Ok(binary)
    } else {
        Err(format!(
            "node binary not found at {}: build it with `cargo build --release`, or give its path with --node",
            binary.display()
        ))
    }
}

/// Returns the path of this program, which also runs the replicas of the registry.
pub fn registry_binary() -> PathBuf {
    std::env::current_exe().unwrap_or_else(|_| PathBuf::from("flaxdale"))
}

/// Raises the soft limit on file descriptors to the hard limit.
fn raise_descriptor_limit() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    // On failure the program runs with the lower limit.
    let _ = setrlimit(Resource::Nofile, limit);
}

/// Returns the command that cleans up after this process.
pub fn cleanup_command() -> Option<Command> {
    let mut command = Command::new(std::env::current_exe().ok()?);
    command.arg("keeper");
    Some(command)
}

fn main() -> ExitCode {
    let arguments = Cli::parse();
    let is_server = matches!(&arguments.command, Commands::Registry(registry) if registry.is_server());
    log::init(if is_server { LevelFilter::INFO } else { LevelFilter::WARN });
    raise_descriptor_limit();
    let exit = match arguments.command {
        Commands::Up(up) => up.run(),
        Commands::Rig(rig) => rig.run(),
        Commands::Registry(registry) => registry.run(),
        Commands::Zone(zone) => zone.run(),
        Commands::Config(ConfigCommand::Check { file }) => check::run(&file),
        Commands::Keeper => {
            flaxdale_rig::cleanup::run(std::io::stdin().lock());
            Exit::Success
        }
    };
    exit.into()
}
