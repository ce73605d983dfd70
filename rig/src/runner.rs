//! Plays an experiment, on sockets or in virtual time, and writes what it came to into a folder.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

use flaxdale_model::invariants::RuleReport;
use flaxdale_model::scenario::Scenario;
use flaxdale_model::simulation::{self, SimulationOptions};
use flaxdale_model::stats::RunStats;
use flaxdale_model::world::{World, millis, seconds};
use serde_json::Value;
use tokio::sync::watch;

use crate::experiment::{Experiment, Mode};
use crate::report;
use crate::result::{FILE_NAME, FORMAT_VERSION, InjectedFault, RunResult, SecondStats, Verdict};
use crate::shared::lock;
use crate::sockets::{self, Progress, RunError, RunOptions, SocketRunResult};

/// Requests whose way through the logs is told, and lines of each.
const MOST_WAYS: usize = 10;
const MOST_LINES: usize = 200;

/// What is to be played, and where it leaves its results.
pub struct RunSpec {
    /// The experiment's name.
    pub name: String,
    /// The experiment.
    pub experiment: Experiment,
    /// Its seed.
    pub seed: u64,
    /// A folder that exists.
    pub folder: PathBuf,
    /// The node's program.
    pub node_binary: PathBuf,
    /// The program that runs replicas of the registry.
    pub registry_binary: PathBuf,
    /// This program, asked to run the keeper.
    pub cleanup_command: Option<Command>,
}

/// Why an experiment came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// It could not be played.
    #[error(transparent)]
    Sockets(#[from] RunError),
    /// It could not be played in virtual time.
    #[error("virtual time: {0}")]
    Virtual(String),
    /// The results can't be written.
    #[error("{file}: {source}")]
    Write {
        /// The file.
        file: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
}

/// Plays an experiment and writes `result.json`, `events.jsonl`, `report.html` and the logs into its folder.
pub async fn run(
    spec: RunSpec,
    stop: watch::Receiver<bool>,
    progress: impl Fn(&Progress) + Send + 'static,
) -> Result<RunResult, ExperimentError> {
    let folder = spec.folder.clone();
    let (result, events) = match spec.experiment.run.mode {
        Mode::Virtual => (virtually(&spec)?, Vec::new()),
        Mode::Sockets => on_sockets(spec, stop, progress).await?,
    };
    let ways = ways(&folder, &result.invariants);
    let text = serde_json::to_string_pretty(&result).unwrap_or_default();
    write(&folder.join(FILE_NAME), &text)?;
    let lines: Vec<String> = events.iter().map(Value::to_string).collect();
    write(&folder.join("events.jsonl"), &(lines.join("\n") + "\n"))?;
    write(&folder.join("report.html"), &report::render_html(&result, &ways))?;
    Ok(result)
}

fn write(file: &Path, text: &str) -> Result<(), ExperimentError> {
    let done = std::fs::File::create(file).and_then(|mut file| file.write_all(text.as_bytes()));
    done.map_err(|source| ExperimentError::Write { file: file.to_owned(), source })
}

async fn on_sockets(
    spec: RunSpec,
    stop: watch::Receiver<bool>,
    progress: impl Fn(&Progress) + Send + 'static,
) -> Result<(RunResult, Vec<Value>), ExperimentError> {
    let version = version(Some(&spec.node_binary));
    let (experiment, seed, name) = (spec.experiment, spec.seed, spec.name);
    let stage = RunOptions {
        experiment: experiment.clone(),
        seed,
        node_binary: spec.node_binary,
        registry_binary: spec.registry_binary,
        folder: spec.folder,
        cleanup_command: spec.cleanup_command,
        remove_folder: false,
        until_stopped: false,
    };
    let ran = sockets::run(stage, stop, progress).await?;
    let result = of_sockets(&ran, name, &experiment, seed, version);
    Ok((result, ran.shared.events()))
}

fn of_sockets(
    ran: &SocketRunResult,
    name: String,
    experiment: &Experiment,
    seed: u64,
    version: String,
) -> RunResult {
    let shared = &ran.shared;
    let tally = lock(&shared.stats).clone();
    let lateness = lock(&shared.lateness).value_at_quantile(0.99) as f64 / 1000.0;
    let mut measures = tally.measures(&shared.world, 0);
    let asked = tally.total().requests.max(1) as f64;
    measures.insert("node_memory_mib_max".to_owned(), ran.peak_usage.0 as f64 / 1024.0);
    measures.insert("node_descriptors_max".to_owned(), ran.peak_usage.1 as f64);
    measures.insert("node_cpu_ms_per_request".to_owned(), ran.node_cpu_ms / asked);
    measures.insert("rig_lateness_ms_p99".to_owned(), lateness);
    if ran.improper_peers.0 > 0 {
        measures.insert("improper_peers".to_owned(), ran.improper_peers.0 as f64);
        measures.insert(
            "improper_peers_left_waiting_share".to_owned(),
            ran.improper_peers.1 as f64 / ran.improper_peers.0 as f64,
        );
    }
    measures.extend(ran.registry_measures.clone());
    let invariants = lock(&shared.tracker).invariants.reports().to_vec();
    let late = lateness > experiment.run.max_lateness_ms;
    let reason = if late {
        Some(format!(
            "the rig was {lateness:.1} ms late at the 99th percentile, past {}",
            experiment.run.max_lateness_ms
        ))
    } else if ran.requests_dropped > 0 {
        Some(format!("the rig had no room for {} requests", ran.requests_dropped))
    } else {
        None
    };
    let about = About { name, seed, version, mode: Mode::Sockets, reason, lateness };
    result_of(about, &shared.world, &tally, invariants, measures, experiment)
}

fn virtually(spec: &RunSpec) -> Result<RunResult, ExperimentError> {
    let experiment = &spec.experiment;
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let options = SimulationOptions {
        load_duration: seconds(experiment.run.duration_s),
        tick: millis(experiment.run.tick_ms),
        threads,
    };
    let began = Instant::now();
    let played =
        simulation::simulate(&experiment.scenario(), spec.seed, options).map_err(ExperimentError::Virtual)?;
    let took = began.elapsed().as_secs_f64().max(1e-9);
    let mut measures = played.measures();
    measures.insert("real_s".to_owned(), took);
    measures.insert("times_real_time".to_owned(), experiment.run.duration_s / took);
    measures.insert("requests_per_real_s".to_owned(), played.stats.total().requests as f64 / took);
    measures.insert("events_per_real_s".to_owned(), played.events as f64 / took);
    let about = About {
        name: spec.name.clone(),
        seed: spec.seed,
        version: version(None),
        mode: Mode::Virtual,
        reason: None,
        lateness: 0.0,
    };
    let invariants = played.invariants.reports().to_vec();
    Ok(result_of(about, &played.world, &played.stats, invariants, measures, experiment))
}

struct About {
    name: String,
    seed: u64,
    version: String,
    mode: Mode,
    reason: Option<String>,
    lateness: f64,
}

fn result_of(
    about: About,
    world: &World,
    tally: &RunStats,
    invariants: Vec<RuleReport>,
    measures: BTreeMap<String, f64>,
    experiment: &Experiment,
) -> RunResult {
    let broken = invariants.iter().any(|rule| rule.violated > 0);
    let verdict = match (&about.reason, broken) {
        // A rig that was late may itself have broken what it saw broken.
        (Some(_), _) => Verdict::Inconclusive,
        (None, true) => Verdict::Failed,
        (None, false) => Verdict::Passed,
    };
    const SHARES: [f64; 14] =
        [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.97, 0.99, 0.995, 0.998, 0.999, 0.9995, 0.9999];
    let delay = |share: f64| (share, tally.served_latency.value_at_quantile(share) as f64 / 1000.0);
    let scenario: Scenario = experiment.scenario();
    RunResult {
        format: FORMAT_VERSION,
        experiment: about.name,
        question: experiment.question.clone(),
        seed: about.seed,
        version: about.version,
        mode: about.mode,
        verdict,
        reason: about.reason,
        invariants,
        measures,
        lateness_ms_p99: about.lateness,
        per_second: tally.per_second.iter().map(SecondStats::from).collect(),
        latency_quantiles: if tally.served_latency.is_empty() {
            Vec::new()
        } else {
            SHARES.map(delay).to_vec()
        },
        faults: world
            .faults
            .iter()
            .map(|step| InjectedFault {
                description: format!("{:?}", step.action),
                start_s: step.at as f64 / 1e9,
                end_s: step.until.map(|until| until as f64 / 1e9),
            })
            .collect(),
        scenario,
    }
}

/// The version of this program, with a print of the node's, so that two builds of one version are told apart.
fn version(binary: Option<&Path>) -> String {
    let own = env!("CARGO_PKG_VERSION");
    let print =
        binary.and_then(|binary| std::fs::read(binary).ok()).map(|bytes| xxhash_rust::xxh3::xxh3_64(&bytes));
    print.map_or_else(|| own.to_owned(), |print| format!("{own} ({print:016x})"))
}

/// The lines that the logs hold on each request that broke a rule, in the spec of their times.
fn ways(folder: &Path, invariants: &[RuleReport]) -> Vec<(String, Vec<String>)> {
    let mut ids: Vec<&str> = Vec::new();
    for breach in invariants.iter().flat_map(|rule| &rule.violations) {
        if ids.len() < MOST_WAYS && !ids.contains(&breach.id.as_str()) {
            ids.push(&breach.id);
        }
    }
    if ids.is_empty() {
        return Vec::new();
    }
    let mut ways: Vec<(String, Vec<String>)> = ids.iter().map(|id| ((*id).to_owned(), Vec::new())).collect();
    let Ok(logs) = std::fs::read_dir(folder.join("logs")) else { return ways };
    for log in logs.flatten() {
        let Ok(file) = std::fs::File::open(log.path()) else { continue };
        let name = log.file_name().to_string_lossy().into_owned();
        for line in BufReader::new(file).lines().map_while(Result::ok) {
            for (id, lines) in &mut ways {
                if lines.len() < MOST_LINES && line.contains(id.as_str()) {
                    lines.push(format!("{name}: {line}"));
                }
            }
        }
    }
    let time = |line: &String| {
        let json = line.split_once(": ").and_then(|(_, json)| serde_json::from_str::<Value>(json).ok());
        json.and_then(|json| json["timestamp"].as_str().map(str::to_owned)).unwrap_or_default()
    };
    ways.iter_mut().for_each(|(_, lines)| lines.sort_by_key(time));
    ways
}
