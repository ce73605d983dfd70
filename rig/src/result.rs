//! The result of a run, stored as a JSON file.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use flaxdale_model::invariants::RuleReport;
use flaxdale_model::stats::OutcomeCounts;
use serde::{Deserialize, Serialize};

use crate::experiment::Mode;

/// Version of the format; files of other versions are not read.
pub const FORMAT_VERSION: u32 = 1;
/// Name of the file in the folder of a run.
pub const FILE_NAME: &str = "result.json";
/// Larger files are rejected.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// Whether the rules held in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No rule was violated.
    #[serde(rename = "kept")]
    Passed,
    /// At least one rule was violated.
    #[serde(rename = "broken")]
    Failed,
    /// The rig itself was too late or dropped requests, so its measurements are not valid.
    #[serde(rename = "none")]
    Inconclusive,
}

/// Requests that were due in one second of the load, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct SecondStats {
    /// All requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Served within their latency target.
    pub in_time: u64,
    /// Served after their latency target.
    pub late: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Share of the value of all requests that was earned.
    #[serde(rename = "worth_share")]
    pub value_share: f64,
}

impl From<&OutcomeCounts> for SecondStats {
    fn from(counts: &OutcomeCounts) -> Self {
        Self {
            requests: counts.requests,
            in_time: counts.in_time,
            late: counts.late,
            rejected: counts.rejected,
            failed: counts.failed,
            value_share: if counts.value > 0.0 { counts.earned_value / counts.value } else { 1.0 },
        }
    }
}

/// A fault that was injected.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct InjectedFault {
    /// Description of the fault.
    #[serde(rename = "what")]
    pub description: String,
    /// Begin, in seconds from the start of the load.
    #[serde(rename = "from_s")]
    pub start_s: f64,
    /// End, if it had one.
    #[serde(rename = "to_s")]
    pub end_s: Option<f64>,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RunResult {
    /// See [`FORMAT_VERSION`].
    pub format: u32,
    /// Name of the experiment.
    pub experiment: String,
    /// The question that the experiment answers.
    pub question: String,
    /// Seed of the run.
    pub seed: u64,
    /// Version of the program, with a hash of the node's binary for a run on sockets.
    pub version: String,
    /// Whether it was run on sockets or in virtual time.
    #[serde(rename = "on")]
    pub mode: Mode,
    /// Whether the rules held.
    pub verdict: Verdict,
    /// Why the run is inconclusive.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The rules that were checked.
    pub invariants: Vec<RuleReport>,
    /// Measurements by name; names contain the unit.
    pub measures: BTreeMap<String, f64>,
    /// 99th percentile of the rig's own lateness, in milliseconds.
    pub lateness_ms_p99: f64,
    /// Requests of each second of the load.
    #[serde(rename = "seconds")]
    pub per_second: Vec<SecondStats>,
    /// Quantiles of the latency of served requests, as pairs of quantile and milliseconds.
    #[serde(rename = "delays")]
    pub latency_quantiles: Vec<(f64, f64)>,
    /// The injected faults.
    pub faults: Vec<InjectedFault>,
    /// The scenario with all defaults filled in.
    #[serde(rename = "plan")]
    pub scenario: flaxdale_model::scenario::Scenario,
}

/// Why a result could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ResultError {
    /// The file could not be read.
    #[error("{file}: {source}")]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file does not contain a result of this version.
    #[error("{file}: {message}")]
    Malformed {
        /// Path of the file.
        file: PathBuf,
        /// What is wrong.
        message: String,
    },
}

impl RunResult {
    /// Reads a result from a file or from the folder of a run.
    pub fn read(path: &Path) -> Result<Self, ResultError> {
        let file = if path.is_dir() { path.join(FILE_NAME) } else { path.to_owned() };
        let read_error = |source| ResultError::Read { file: file.clone(), source };
        let malformed = |message: String| ResultError::Malformed { file: file.clone(), message };
        if std::fs::metadata(&file).map_err(read_error)?.len() > MAX_FILE_BYTES {
            return Err(malformed("too large for a result file".to_owned()));
        }
        let bytes = std::fs::read(&file).map_err(read_error)?;
        let value: serde_json::Value = serde_json::from_slice(&bytes)
            .map_err(|error| malformed(format!("not a result file: {error}")))?;
        match value.get("format").and_then(serde_json::Value::as_u64) {
            Some(format) if format == u64::from(FORMAT_VERSION) => {}
            Some(format) => {
                let message = format!(
                    "unsupported format {format}, expected {FORMAT_VERSION}: run the experiment again"
                );
                return Err(malformed(message));
            }
            None => return Err(malformed("not a result file: no format version".to_owned())),
        }
        serde_json::from_value(value).map_err(|error| malformed(format!("not a result file: {error}")))
    }
}
