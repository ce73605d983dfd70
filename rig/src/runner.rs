//! Runs an experiment on sockets or in virtual time, and writes its results to a folder.

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

/// Maximum number of log excerpts in a report.
const MAX_LOG_EXCERPTS: usize = 10;
/// Maximum number of lines in a log excerpt.
const MAX_EXCERPT_LINES: usize = 200;

/// A run of an experiment: what to run and where to write the results.
pub struct RunSpec {
    /// Name of the experiment.
    pub name: String,
    /// The experiment.
    pub experiment: Experiment,
    /// Seed of the run.
    pub seed: u64,
    /// Existing folder for the results.
    pub folder: PathBuf,
    /// Path of the node's program.
    pub node_binary: PathBuf,
    /// Path of the program that runs replicas of the registry.
    pub registry_binary: PathBuf,
    /// Command that starts the cleanup process.
    pub cleanup_command: Option<Command>,
}

/// Why an experiment could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The run on sockets failed.
    #[error(transparent)]
    Sockets(#[from] RunError),
    /// The simulation failed.
    #[error("simulation failed: {0}")]
    Virtual(String),
    /// The results could not be written.
    #[error("cannot write {file}: {source}")]
    Write {
        /// Path of the file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
}

/// Runs an experiment and writes `result.json`, `events.jsonl`, `report.html` and the logs into its folder.
pub async fn run(
    spec: RunSpec,
    stop: watch::Receiver<bool>,
    progress: impl Fn(&Progress) + Send + 'static,
) -> Result<RunResult, ExperimentError> {
    let folder = spec.folder.clone();
    let (result, events) = match spec.experiment.run.mode {
        Mode::Virtual => (run_virtual(&spec)?, Vec::new()),
        Mode::Sockets => run_on_sockets(spec, stop, progress).await?,
    };
    let log_excerpts = log_excerpts(&folder, &result.invariants);
    let text = serde_json::to_string_pretty(&result).unwrap_or_default();
    write(&folder.join(FILE_NAME), &text)?;
    let lines: Vec<String> = events.iter().map(Value::to_string).collect();
    write(&folder.join("events.jsonl"), &(lines.join("\n") + "\n"))?;
    write(&folder.join("report.html"), &report::render_html(&result, &log_excerpts))?;
    Ok(result)
}

fn write(file: &Path, text: &str) -> Result<(), ExperimentError> {
    let written = std::fs::File::create(file).and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|source| ExperimentError::Write { file: file.to_owned(), source })
}

async fn run_on_sockets(
    spec: RunSpec,
    stop: watch::Receiver<bool>,
    progress: impl Fn(&Progress) + Send + 'static,
) -> Result<(RunResult, Vec<Value>), ExperimentError> {
    let version = version(Some(&spec.node_binary));
    let (experiment, seed, name) = (spec.experiment, spec.seed, spec.name);
    let options = RunOptions {
        experiment: experiment.clone(),
        seed,
        node_binary: spec.node_binary,
        registry_binary: spec.registry_binary,
        folder: spec.folder,
        cleanup_command: spec.cleanup_command,
        remove_folder: false,
        until_stopped: false,
    };
    let run = sockets::run(options, stop, progress).await?;
    let result = socket_result(&run, name, &experiment, seed, version);
    Ok((result, run.shared.events()))
}

fn socket_result(
    run: &SocketRunResult,
    name: String,
    experiment: &Experiment,
    seed: u64,
    version: String,
) -> RunResult {
    let shared = &run.shared;
    let stats = lock(&shared.stats).clone();
    let lateness_ms = lock(&shared.lateness).value_at_quantile(0.99) as f64 / 1000.0;
    let mut measures = stats.measures(&shared.world, 0);
    let requests = stats.total().requests.max(1) as f64;
    measures.insert("node_memory_mib_max".to_owned(), run.peak_usage.0 as f64 / 1024.0);
    measures.insert("node_descriptors_max".to_owned(), run.peak_usage.1 as f64);
    measures.insert("node_cpu_ms_per_request".to_owned(), run.node_cpu_ms / requests);
    measures.insert("rig_lateness_ms_p99".to_owned(), lateness_ms);
    if run.improper_peers.0 > 0 {
        measures.insert("improper_peers".to_owned(), run.improper_peers.0 as f64);
        measures.insert(
            "improper_peers_left_waiting_share".to_owned(),
            run.improper_peers.1 as f64 / run.improper_peers.0 as f64,
        );
    }
    measures.extend(run.registry_measures.clone());
    let invariants = lock(&shared.tracker).invariants.reports().to_vec();
    let too_late = lateness_ms > experiment.run.max_lateness_ms;
    let reason = if too_late {
        Some(format!(
            "the rig was {lateness_ms:.1} ms late at the 99th percentile, above the limit of {} ms",
            experiment.run.max_lateness_ms
        ))
    } else if run.requests_dropped > 0 {
        Some(format!("the rig dropped {} requests because too many were in flight", run.requests_dropped))
    } else {
        None
    };
    let info = RunInfo { name, seed, version, mode: Mode::Sockets, reason, lateness_ms };
    build_result(info, &shared.world, &stats, invariants, measures, experiment)
}

fn run_virtual(spec: &RunSpec) -> Result<RunResult, ExperimentError> {
    let experiment = &spec.experiment;
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let options = SimulationOptions {
        load_duration: seconds(experiment.run.duration_s),
        tick: millis(experiment.run.tick_ms),
        threads,
    };
    let started_at = Instant::now();
    let simulated =
        simulation::simulate(&experiment.scenario(), spec.seed, options).map_err(ExperimentError::Virtual)?;
    let real_s = started_at.elapsed().as_secs_f64().max(1e-9);
    let mut measures = simulated.measures();
    measures.insert("real_s".to_owned(), real_s);
    measures.insert("times_real_time".to_owned(), experiment.run.duration_s / real_s);
    measures.insert("requests_per_real_s".to_owned(), simulated.stats.total().requests as f64 / real_s);
    measures.insert("events_per_real_s".to_owned(), simulated.events as f64 / real_s);
    let info = RunInfo {
        name: spec.name.clone(),
        seed: spec.seed,
        version: version(None),
        mode: Mode::Virtual,
        reason: None,
        lateness_ms: 0.0,
    };
    let invariants = simulated.invariants.reports().to_vec();
    Ok(build_result(info, &simulated.world, &simulated.stats, invariants, measures, experiment))
}

struct RunInfo {
    name: String,
    seed: u64,
    version: String,
    mode: Mode,
    reason: Option<String>,
    lateness_ms: f64,
}

fn build_result(
    info: RunInfo,
    world: &World,
    stats: &RunStats,
    invariants: Vec<RuleReport>,
    measures: BTreeMap<String, f64>,
    experiment: &Experiment,
) -> RunResult {
    let violated = invariants.iter().any(|rule| rule.violated > 0);
    let verdict = match (&info.reason, violated) {
        // If the rig was late, it may have caused the violations itself.
        (Some(_), _) => Verdict::Inconclusive,
        (None, true) => Verdict::Failed,
        (None, false) => Verdict::Passed,
    };
    const QUANTILES: [f64; 14] =
        [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.97, 0.99, 0.995, 0.998, 0.999, 0.9995, 0.9999];
    let latency =
        |quantile: f64| (quantile, stats.served_latency.value_at_quantile(quantile) as f64 / 1000.0);
    let scenario: Scenario = experiment.scenario();
    RunResult {
        format: FORMAT_VERSION,
        experiment: info.name,
        question: experiment.question.clone(),
        seed: info.seed,
        version: info.version,
        mode: info.mode,
        verdict,
        reason: info.reason,
        invariants,
        measures,
        lateness_ms_p99: info.lateness_ms,
        per_second: stats.per_second.iter().map(SecondStats::from).collect(),
        latency_quantiles: if stats.served_latency.is_empty() {
            Vec::new()
        } else {
            QUANTILES.map(latency).to_vec()
        },
        faults: world
            .faults
            .iter()
            .map(|fault| InjectedFault {
                description: format!("{:?}", fault.action),
                start_s: fault.at as f64 / 1e9,
                end_s: fault.until.map(|until| until as f64 / 1e9),
            })
            .collect(),
        scenario,
    }
}

/// Version of this program, with a hash of the node's binary to distinguish builds of the same version.
fn version(node_binary: Option<&Path>) -> String {
    let version = env!("CARGO_PKG_VERSION");
    let hash = node_binary
        .and_then(|binary| std::fs::read(binary).ok())
        .map(|bytes| xxhash_rust::xxh3::xxh3_64(&bytes));
    hash.map_or_else(|| version.to_owned(), |hash| format!("{version} ({hash:016x})"))
}

/// Log lines, in order of time, that contain the id of one of the first violations.
fn log_excerpts(folder: &Path, invariants: &[RuleReport]) -> Vec<(String, Vec<String>)> {
    let mut ids: Vec<&str> = Vec::new();
    for violation in invariants.iter().flat_map(|rule| &rule.violations) {
        if ids.len() < MAX_LOG_EXCERPTS && !ids.contains(&violation.id.as_str()) {
            ids.push(&violation.id);
        }
    }
    if ids.is_empty() {
        return Vec::new();
    }
    let mut excerpts: Vec<(String, Vec<String>)> =
        ids.iter().map(|id| ((*id).to_owned(), Vec::new())).collect();
    let Ok(logs) = std::fs::read_dir(folder.join("logs")) else { return excerpts };
    for log in logs.flatten() {
        let Ok(file) = std::fs::File::open(log.path()) else { continue };
        let name = log.file_name().to_string_lossy().into_owned();
        for line in BufReader::new(file).lines().map_while(Result::ok) {
            for (id, lines) in &mut excerpts {
                if lines.len() < MAX_EXCERPT_LINES && line.contains(id.as_str()) {
                    lines.push(format!("{name}: {line}"));
                }
            }
        }
    }
    let time = |line: &String| {
        let json = line.split_once(": ").and_then(|(_, json)| serde_json::from_str::<Value>(json).ok());
        json.and_then(|json| json["timestamp"].as_str().map(str::to_owned)).unwrap_or_default()
    };
    excerpts.iter_mut().for_each(|(_, lines)| lines.sort_by_key(time));
    excerpts
}
