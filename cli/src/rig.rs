//! `flaxdale rig`: runs, lists, ranks and compares experiments.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use clap::{Args, Subcommand};
use flaxdale_rig::compare::{Winner, compare};
use flaxdale_rig::experiment::{Experiment, Mode};
use flaxdale_rig::rank::{Build, Score, rank_correlation, score};
use flaxdale_rig::report;
use flaxdale_rig::result::{RunResult, Verdict};
use flaxdale_rig::runner::{self, RunSpec};
use flaxdale_rig::sockets::RunError;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::print::{end_progress, print_error, print_line, show_progress};
use crate::{Exit, cleanup_command, node_binary, registry_binary};

/// Maximum number of result directories of one experiment and seed.
const MAX_RUNS: u32 = 10_000;

/// Run experiments and compare their results.
///
/// An experiment runs on real node processes and sockets, or in virtual time.
#[derive(Subcommand)]
pub enum RigCommand {
    Run(Run),
    /// List the experiments in a directory with their questions
    List {
        /// Directory of the experiments
        #[arg(default_value = "experiments")]
        folder: PathBuf,
    },
    Rank(Rank),
    /// Compare the results of two runs
    ///
    /// Prints which run is better and why. Exit codes: 0 B is not worse than A; 1 B is worse than A; 2 a result is missing
    /// or invalid.
    Compare {
        /// Output directory of a run, or its result.json
        a: PathBuf,
        /// The run to compare with it
        b: PathBuf,
    },
}

/// Run an experiment and write a report.
///
/// Writes result.json, events.jsonl, report.html and the logs of all processes to the output directory. Exit codes: 0
/// every rule was kept; 1 a rule was violated; 2 invalid arguments or file, nothing was started; 3 no verdict, since the
/// rig itself was too slow; 4 a system resource was unavailable.
#[derive(Args)]
pub struct Run {
    /// Experiment file (TOML)
    file: PathBuf,
    /// Seed of the random numbers [default: the seed in the experiment]
    #[arg(long)]
    seed: Option<u64>,
    /// Output directory; must be empty or absent [default: a new directory in rig-runs/]
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Binary of the node [default: badgerpost in the directory of this program]
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    /// Print no progress during the run
    #[arg(long, short)]
    quiet: bool,
}

/// Run several builds of the balancer on the same scenarios in virtual time and rank them.
///
/// Each build is a command that runs an adapter for the wire protocol of the operators' simulator; `NAME=own` stands for
/// the balancer in this program. Prints the share of the value that each build earned, in total and per experiment, best
/// first.
#[derive(Args)]
pub struct Rank {
    /// Experiment files; all run in virtual time
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Name of a build and the command that starts its adapter; may be given several times
    #[arg(long = "build", value_name = "NAME=COMMAND", required = true)]
    builds: Vec<String>,
    /// Number of seeds, starting at 1
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Scores of the builds from another benchmark, in the order of the builds, to print the rank correlation
    #[arg(long, value_name = "FIGURE,...", value_delimiter = ',', allow_negative_numbers = true)]
    against: Vec<f64>,
}

/// Creates a multi-threaded runtime.
pub fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()
}

/// Returns a channel that becomes true on Ctrl-C or SIGTERM. A second signal exits the program at once.
pub fn shutdown_signal() -> Result<watch::Receiver<bool>, RunError> {
    let listen = |kind| signal(kind).map_err(|source| RunError::Setup { resource: "signal handler", source });
    let (mut interrupt, mut terminate) = (listen(SignalKind::interrupt())?, listen(SignalKind::terminate())?);
    let (sender, receiver) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        sender.send_replace(true);
        // The clean-up process ends the processes that are left.
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        std::process::exit(130);
    });
    Ok(receiver)
}

impl RigCommand {
    pub fn run(self) -> Exit {
        match self {
            Self::Run(run) => run.run(),
            Self::List { folder } => list(&folder),
            Self::Rank(rank) => rank.run(),
            Self::Compare { a, b } => compare_runs(&a, &b),
        }
    }
}

fn experiment_name(file: &Path) -> String {
    file.file_stem().map_or_else(|| "experiment".to_owned(), |name| name.to_string_lossy().into_owned())
}

/// Creates the output directory of a run.
fn create_output_dir(out: Option<&PathBuf>, name: &str, seed: u64) -> Result<PathBuf, String> {
    let io_error = |path: &Path, error: std::io::Error| format!("{}: {error}", path.display());
    if let Some(out) = out {
        std::fs::create_dir_all(out).map_err(|error| io_error(out, error))?;
        let used = std::fs::read_dir(out).map_err(|error| io_error(out, error))?.next().is_some();
        return if used {
            Err(format!("{}: directory is not empty", out.display()))
        } else {
            Ok(out.clone())
        };
    }
    let base = PathBuf::from("rig-runs");
    std::fs::create_dir_all(&base).map_err(|error| io_error(&base, error))?;
    for number in 1..=MAX_RUNS {
        let folder = base.join(format!("{name}-seed{seed}-{number}"));
        match std::fs::create_dir(&folder) {
            Ok(()) => return Ok(folder),
            Err(error) if error.kind() == std::io::ErrorKind::AlreadyExists => {}
            Err(error) => return Err(io_error(&folder, error)),
        }
    }
    Err(format!("{}: too many runs; remove some of them", base.display()))
}

impl Run {
    fn run(self) -> Exit {
        let usage_error = |message: String| {
            print_error(&message);
            Exit::Usage
        };
        let experiment = match Experiment::read(&self.file) {
            Ok(experiment) => experiment,
            Err(error) => return usage_error(error.to_string()),
        };
        let on_sockets = experiment.run.mode == Mode::Sockets;
        let binary = match node_binary(self.node.as_ref()) {
            Ok(binary) => binary,
            Err(error) if on_sockets => return usage_error(error),
            Err(_) => PathBuf::new(),
        };
        let (name, seed) = (experiment_name(&self.file), self.seed.unwrap_or(experiment.run.seed));
        let folder = match create_output_dir(self.out.as_ref(), &name, seed) {
            Ok(folder) => folder,
            Err(error) => return usage_error(error),
        };
        let runtime = match runtime() {
            Ok(runtime) => runtime,
            Err(error) => {
                print_error(&error.to_string());
                return Exit::System;
            }
        };
        if !self.quiet {
            print_line(&format!("{name}, seed {seed}: {}", experiment.question));
        }
        let spec = RunSpec {
            name,
            experiment,
            seed,
            folder: folder.clone(),
            node_binary: binary,
            registry_binary: registry_binary(),
            cleanup_command: cleanup_command(),
        };
        let quiet = self.quiet;
        let outcome = runtime.block_on(async {
            let stop = shutdown_signal()?;
            runner::run(spec, stop, move |progress| {
                if !quiet {
                    show_progress(progress)
                }
            })
            .await
        });
        if !quiet && on_sockets {
            end_progress();
        }
        match outcome {
            Ok(result) => print_summary(&result, &folder),
            Err(error) => {
                print_error(&error.to_string());
                match error {
                    runner::ExperimentError::Sockets(RunError::TooManyLinks(_)) => Exit::Usage,
                    _ => Exit::System,
                }
            }
        }
    }
}

fn print_summary(result: &RunResult, folder: &Path) -> Exit {
    let measure = |name: &str| result.measures.get(name).copied().unwrap_or(0.0);
    print_line(&format!(
        "{} requests: {:.2}% in time, {:.2}% rejected, {:.2}% failed; p50 {:.0} ms, p99 {:.0} ms",
        measure("asked"),
        100.0 * measure("served_in_time_share"),
        100.0 * measure("refused_share"),
        100.0 * measure("failed_share"),
        measure("latency_p50_ms"),
        measure("latency_p99_ms")
    ));
    if result.mode == Mode::Virtual {
        print_line(&format!(
            "{:.1} times real time, {:.0} requests per second of real time",
            measure("times_real_time"),
            measure("requests_per_real_s")
        ));
    } else {
        print_line(&format!("lateness of the rig: {:.2} ms at the 99th percentile", result.lateness_ms_p99));
    }
    for rule in result.invariants.iter().filter(|rule| rule.violated > 0) {
        print_error(&format!("{}: violated {} times in {} checks", rule.name, rule.violated, rule.checked));
        for violation in rule.violations.iter().take(3) {
            print_error(&format!("  {} at {:.0} ms: {}", violation.id, violation.at_ms, violation.detail));
        }
    }
    let checked: u64 = result.invariants.iter().map(|rule| rule.checked).sum();
    let (summary, exit) = match result.verdict {
        Verdict::Passed => (format!("every rule was kept in {checked} checks"), Exit::Success),
        Verdict::Failed => ("a rule was violated".to_owned(), Exit::Failure),
        Verdict::Inconclusive => {
            (format!("no verdict: {}", result.reason.as_deref().unwrap_or("unknown")), Exit::NoVerdict)
        }
    };
    print_line(&format!("{summary}; see {}", folder.join("report.html").display()));
    exit
}

impl Rank {
    fn run(self) -> Exit {
        match self.rank() {
            Ok(()) => Exit::Success,
            Err(error) => {
                print_error(&error);
                Exit::Usage
            }
        }
    }

    fn rank(&self) -> Result<(), String> {
        let mut experiments = Vec::new();
        for file in &self.files {
            experiments
                .push((experiment_name(file), Experiment::read(file).map_err(|error| error.to_string())?));
        }
        let mut builds = Vec::new();
        for build in &self.builds {
            let (name, command) = build
                .split_once('=')
                .ok_or_else(|| format!("--build: {build:?} is not of the form NAME=COMMAND"))?;
            let command = (command != "own").then(|| command.to_owned());
            builds.push(Build { name: name.to_owned(), command });
        }
        if !self.against.is_empty() && self.against.len() != builds.len() {
            return Err(format!("--against: expected {} scores, one per build", builds.len()));
        }
        let mut jobs = Vec::new();
        for seed in 1..=self.seeds {
            for build in 0..builds.len() {
                jobs.extend((0..experiments.len()).map(|experiment| (build, experiment, seed)));
            }
        }
        let next = AtomicUsize::new(0);
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        let scores: Vec<Score> = std::thread::scope(|scope| {
            let run_jobs = || {
                let mut done = Vec::new();
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    done.push(score(&experiments, &builds, *job));
                }
                done
            };
            let workers: Vec<_> = (0..threads).map(|_| scope.spawn(run_jobs)).collect();
            workers.into_iter().filter_map(|worker| worker.join().ok()).flatten().collect::<Result<_, _>>()
        })?;
        let mean = |build: usize, experiment: Option<usize>| {
            let selected = scores
                .iter()
                .filter(|score| score.build == build && experiment.is_none_or(|e| e == score.experiment));
            let values: Vec<f64> = selected.map(|score| score.value_share).collect();
            values.iter().sum::<f64>() / values.len().max(1) as f64
        };
        let all: Vec<f64> = (0..builds.len()).map(|build| mean(build, None)).collect();
        let mut order: Vec<usize> = (0..builds.len()).collect();
        order.sort_by(|a, b| all[*b].total_cmp(&all[*a]));
        let names: Vec<String> = experiments.iter().map(|(name, _)| format!("{name:>12}")).collect();
        print_line(&format!("{:<12}{:>8}{}  broken", "build", "all", names.concat()));
        for build in order {
            let columns: Vec<String> =
                (0..experiments.len()).map(|e| format!("{:>12.4}", mean(build, Some(e)))).collect();
            let violations: u64 =
                scores.iter().filter(|score| score.build == build).map(|s| s.violations).sum();
            print_line(&format!(
                "{:<12}{:>8.4}{}  {violations}",
                builds[build].name,
                all[build],
                columns.concat()
            ));
        }
        if let Some(correlation) = rank_correlation(&all, &self.against) {
            print_line(&format!("rank correlation with the scores of the other benchmark: {correlation:.3}"));
        }
        Ok(())
    }
}

fn list(folder: &Path) -> Exit {
    let files = match std::fs::read_dir(folder) {
        Ok(files) => files,
        Err(error) => {
            print_error(&format!("{}: {error}", folder.display()));
            return Exit::Usage;
        }
    };
    let mut files: Vec<PathBuf> = files
        .flatten()
        .map(|file| file.path())
        .filter(|file| file.extension().is_some_and(|extension| extension == "toml"))
        .collect();
    files.sort();
    let mut exit = Exit::Success;
    for file in files {
        match Experiment::read(&file) {
            Ok(experiment) => {
                let on = if experiment.run.mode == Mode::Virtual { "virtual" } else { "sockets" };
                let (name, seconds) = (experiment_name(&file), experiment.run.duration_s);
                print_line(&format!("{name:<22}{on:<9}{seconds:>5} s  {}", experiment.question));
            }
            Err(error) => {
                print_error(&error.to_string());
                exit = Exit::Usage;
            }
        }
    }
    exit
}

fn compare_runs(a: &Path, b: &Path) -> Exit {
    let (a, b) = match (RunResult::read(a), RunResult::read(b)) {
        (Ok(a), Ok(b)) => (a, b),
        (Err(error), _) | (_, Err(error)) => {
            print_error(&error.to_string());
            return Exit::Usage;
        }
    };
    let comparison = compare(&a, &b);
    print_line(&format!("A: {} seed {}, version {}", a.experiment, a.seed, a.version));
    print_line(&format!("B: {} seed {}, version {}", b.experiment, b.seed, b.version));
    print_line(report::comparison_table(&comparison).trim_end());
    let conclusion = match comparison.winner {
        Winner::A => "A is better",
        Winner::B => "B is better",
        Winner::Neither => "neither is better, as far as these two runs show",
    };
    print_line(&format!("{conclusion}: {}", comparison.reason));
    if comparison.winner == Winner::A { Exit::Failure } else { Exit::Success }
}
