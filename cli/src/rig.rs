//! `flaxdale rig`: play, list and compare experiments.

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

use crate::print::{complain, end_live, live, say};
use crate::{Exit, keeper, node_program, own_program};

/// Folders that one experiment's runs may have side by side.
const MOST_RUNS: u32 = 10_000;

/// Play experiments on real node processes or in virtual time, and compare what they came to.
#[derive(Subcommand)]
pub enum Rig {
    /// Play an experiment; exit code 0 if every rule was kept, 1 if one was broken, 3 if the rig itself was too late
    Run(Run),
    /// List the experiments in a folder with their questions
    List {
        /// The folder
        #[arg(default_value = "experiments")]
        folder: PathBuf,
    },
    /// Play several builds of the decisions on the same worlds in virtual time, and rank them
    Rank(Rank),
    /// Say which of two runs is better, and how sure that is; exit code 1 if B is worse than A
    Compare {
        /// A run's folder, or its result.json
        a: PathBuf,
        /// Another one
        b: PathBuf,
    },
}

/// Play an experiment.
///
/// Leaves a folder with result.json, events.jsonl, report.html and the logs of each process. Exit codes: 0 every rule
/// was kept; 1 one was broken; 2 wrong arguments or file, nothing was started; 3 the rig itself was too late for a
/// verdict; 4 this machine did not give what was needed.
#[derive(Args)]
pub struct Run {
    /// The experiment's file
    file: PathBuf,
    /// Seed of everything that is drawn; the experiment's own if absent
    #[arg(long)]
    seed: Option<u64>,
    /// Where the results go; a new folder under rig-runs/ if absent
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// The node's program; the one beside this program if absent
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    /// Print nothing while it runs
    #[arg(long, short)]
    quiet: bool,
}

/// Play several builds of the decisions on the same worlds in virtual time, and rank them.
///
/// Each build is an adapter that speaks the operators' wire; `NAME=own` stands for this program's own decisions. Prints
/// the share of the worth that each earned, by experiment and over all, the best first.
#[derive(Args)]
pub struct Rank {
    /// Experiments; what they are played on does not count
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// A build: a name and the command that starts its adapter
    #[arg(long = "build", value_name = "NAME=COMMAND", required = true)]
    builds: Vec<String>,
    /// How many seeds, from 1 on
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Another bench's figures of the builds, in their order, for a rank correlation
    #[arg(long, value_name = "FIGURE,...", value_delimiter = ',', allow_negative_numbers = true)]
    against: Vec<f64>,
}

/// A runtime for a run on sockets.
pub fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()
}

/// Becomes true at Ctrl-C or SIGTERM.
pub fn told_to_stop() -> Result<watch::Receiver<bool>, RunError> {
    let heed = |kind| signal(kind).map_err(|source| RunError::Setup { resource: "a signal", source });
    let (mut interrupt, mut terminate) = (heed(SignalKind::interrupt())?, heed(SignalKind::terminate())?);
    let (tell, told) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        tell.send_replace(true);
        // A second one ends the program at once; the keeper ends what it leaves.
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        std::process::exit(130);
    });
    Ok(told)
}

impl Rig {
    /// Does what was asked.
    pub fn run(self) -> Exit {
        match self {
            Self::Run(run) => run.run(),
            Self::List { folder } => list(&folder),
            Self::Rank(rank) => rank.run(),
            Self::Compare { a, b } => hold_against(&a, &b),
        }
    }
}

fn name_of(file: &Path) -> String {
    file.file_stem().map_or_else(|| "experiment".to_owned(), |name| name.to_string_lossy().into_owned())
}

/// A folder for this run that no other has.
fn folder_for(out: Option<&PathBuf>, name: &str, seed: u64) -> Result<PathBuf, String> {
    let tell = |folder: &Path, error: std::io::Error| format!("{}: {error}", folder.display());
    if let Some(out) = out {
        std::fs::create_dir_all(out).map_err(|error| tell(out, error))?;
        let used = std::fs::read_dir(out).map_err(|error| tell(out, error))?.next().is_some();
        return if used { Err(format!("{}: is not empty", out.display())) } else { Ok(out.clone()) };
    }
    let base = PathBuf::from("rig-runs");
    std::fs::create_dir_all(&base).map_err(|error| tell(&base, error))?;
    for number in 1..=MOST_RUNS {
        let folder = base.join(format!("{name}-seed{seed}-{number}"));
        match std::fs::create_dir(&folder) {
            Ok(()) => return Ok(folder),
            Err(error) if error.kind() == std::io::ErrorKind::AlreadyExists => {}
            Err(error) => return Err(tell(&folder, error)),
        }
    }
    Err(format!("{}: holds too many runs; remove some", base.display()))
}

impl Run {
    fn run(self) -> Exit {
        let usage = |problem: String| {
            complain(&problem);
            Exit::Usage
        };
        let experiment = match Experiment::read(&self.file) {
            Ok(experiment) => experiment,
            Err(problem) => return usage(problem.to_string()),
        };
        let on_sockets = experiment.run.mode == Mode::Sockets;
        let binary = match node_program(self.node.as_ref()) {
            Ok(binary) => binary,
            Err(problem) if on_sockets => return usage(problem),
            Err(_) => PathBuf::new(),
        };
        let (name, seed) = (name_of(&self.file), self.seed.unwrap_or(experiment.run.seed));
        let folder = match folder_for(self.out.as_ref(), &name, seed) {
            Ok(folder) => folder,
            Err(problem) => return usage(problem),
        };
        let runtime = match runtime() {
            Ok(runtime) => runtime,
            Err(error) => {
                complain(&error.to_string());
                return Exit::Machine;
            }
        };
        if !self.quiet {
            say(&format!("{name}, seed {seed}: {}", experiment.question));
        }
        let spec = RunSpec {
            name,
            experiment,
            seed,
            folder: folder.clone(),
            node_binary: binary,
            registry_binary: own_program(),
            cleanup_command: keeper(),
        };
        let quiet = self.quiet;
        let played = runtime.block_on(async {
            let told = told_to_stop()?;
            runner::run(spec, told, move |progress| {
                if !quiet {
                    live(progress)
                }
            })
            .await
        });
        if !quiet && on_sockets {
            end_live();
        }
        match played {
            Ok(result) => sum_up(&result, &folder),
            Err(error) => {
                complain(&error.to_string());
                match error {
                    runner::ExperimentError::Sockets(RunError::TooManyLinks(_)) => Exit::Usage,
                    _ => Exit::Machine,
                }
            }
        }
    }
}

fn sum_up(result: &RunResult, folder: &Path) -> Exit {
    let figure = |name: &str| result.measures.get(name).copied().unwrap_or(0.0);
    say(&format!(
        "{} requests: {:.2}% in time, {:.2}% refused, {:.2}% failed; p50 {:.0} ms, p99 {:.0} ms",
        figure("asked"),
        100.0 * figure("served_in_time_share"),
        100.0 * figure("refused_share"),
        100.0 * figure("failed_share"),
        figure("latency_p50_ms"),
        figure("latency_p99_ms")
    ));
    if result.mode == Mode::Virtual {
        say(&format!(
            "{:.1} times real time, {:.0} requests a second of real time",
            figure("times_real_time"),
            figure("requests_per_real_s")
        ));
    } else {
        say(&format!("the rig's own lateness: {:.2} ms at the 99th percentile", result.lateness_ms_p99));
    }
    for rule in result.invariants.iter().filter(|rule| rule.violated > 0) {
        complain(&format!("{}: broken {} times of {}", rule.name, rule.violated, rule.checked));
        for breach in rule.violations.iter().take(3) {
            complain(&format!("  {} at {:.0} ms: {}", breach.id, breach.at_ms, breach.detail));
        }
    }
    let checked: u64 = result.invariants.iter().map(|rule| rule.checked).sum();
    let (words, exit) = match result.verdict {
        Verdict::Passed => (format!("every rule kept, {checked} checks"), Exit::Well),
        Verdict::Failed => ("a rule was broken".to_owned(), Exit::Broken),
        Verdict::Inconclusive => {
            (format!("no verdict: {}", result.reason.as_deref().unwrap_or("unknown")), Exit::NoVerdict)
        }
    };
    say(&format!("{words}; see {}", folder.join("report.html").display()));
    exit
}

impl Rank {
    fn run(self) -> Exit {
        match self.play() {
            Ok(()) => Exit::Well,
            Err(problem) => {
                complain(&problem);
                Exit::Usage
            }
        }
    }

    fn play(&self) -> Result<(), String> {
        let mut experiments = Vec::new();
        for file in &self.files {
            experiments.push((name_of(file), Experiment::read(file).map_err(|error| error.to_string())?));
        }
        let mut builds = Vec::new();
        for build in &self.builds {
            let (name, command) =
                build.split_once('=').ok_or_else(|| format!("{build:?}: NAME=COMMAND is wanted"))?;
            let command = (command != "own").then(|| command.to_owned());
            builds.push(Build { name: name.to_owned(), command });
        }
        if !self.against.is_empty() && self.against.len() != builds.len() {
            return Err(format!("--against: {} figures are wanted, one a build", builds.len()));
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
            let work = || {
                let mut done = Vec::new();
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    done.push(score(&experiments, &builds, *job));
                }
                done
            };
            let hands: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
            hands.into_iter().filter_map(|hand| hand.join().ok()).flatten().collect::<Result<_, _>>()
        })?;
        let mean = |build: usize, experiment: Option<usize>| {
            let of = scores
                .iter()
                .filter(|score| score.build == build && experiment.is_none_or(|e| e == score.experiment));
            let worths: Vec<f64> = of.map(|score| score.value_share).collect();
            worths.iter().sum::<f64>() / worths.len().max(1) as f64
        };
        let all: Vec<f64> = (0..builds.len()).map(|build| mean(build, None)).collect();
        let mut order: Vec<usize> = (0..builds.len()).collect();
        order.sort_by(|a, b| all[*b].total_cmp(&all[*a]));
        let names: Vec<String> = experiments.iter().map(|(name, _)| format!("{name:>12}")).collect();
        say(&format!("{:<12}{:>8}{}  broken", "build", "all", names.concat()));
        for build in order {
            let by: Vec<String> =
                (0..experiments.len()).map(|e| format!("{:>12.4}", mean(build, Some(e)))).collect();
            let broken: u64 = scores.iter().filter(|score| score.build == build).map(|s| s.violations).sum();
            say(&format!("{:<12}{:>8.4}{}  {broken}", builds[build].name, all[build], by.concat()));
        }
        if let Some(correlation) = rank_correlation(&all, &self.against) {
            say(&format!("rank correlation with the other bench's figures: {correlation:.3}"));
        }
        Ok(())
    }
}

fn list(folder: &Path) -> Exit {
    let files = match std::fs::read_dir(folder) {
        Ok(files) => files,
        Err(error) => {
            complain(&format!("{}: {error}", folder.display()));
            return Exit::Usage;
        }
    };
    let mut files: Vec<PathBuf> = files
        .flatten()
        .map(|file| file.path())
        .filter(|file| file.extension().is_some_and(|ending| ending == "toml"))
        .collect();
    files.sort();
    let mut exit = Exit::Well;
    for file in files {
        match Experiment::read(&file) {
            Ok(experiment) => {
                let on = if experiment.run.mode == Mode::Virtual { "virtual" } else { "sockets" };
                let (name, seconds) = (name_of(&file), experiment.run.duration_s);
                say(&format!("{name:<22}{on:<9}{seconds:>5} s  {}", experiment.question));
            }
            Err(problem) => {
                complain(&problem.to_string());
                exit = Exit::Usage;
            }
        }
    }
    exit
}

fn hold_against(a: &Path, b: &Path) -> Exit {
    let (a, b) = match (RunResult::read(a), RunResult::read(b)) {
        (Ok(a), Ok(b)) => (a, b),
        (Err(error), _) | (_, Err(error)) => {
            complain(&error.to_string());
            return Exit::Usage;
        }
    };
    let comparison = compare(&a, &b);
    say(&format!("A: {} seed {}, version {}", a.experiment, a.seed, a.version));
    say(&format!("B: {} seed {}, version {}", b.experiment, b.seed, b.version));
    say(report::comparison_table(&comparison).trim_end());
    let words = match comparison.winner {
        Winner::A => "A is better",
        Winner::B => "B is better",
        Winner::Neither => "neither is better, as far as these two runs tell",
    };
    say(&format!("{words}: {}", comparison.reason));
    if comparison.winner == Winner::A { Exit::Broken } else { Exit::Well }
}
