//! What a run came to, as a file that other programs read.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use flaxdale_model::invariants::RuleReport;
use flaxdale_model::stats::OutcomeCounts;
use serde::{Deserialize, Serialize};

use crate::experiment::Mode;

/// The version of the format; another one is not read.
pub const FORMAT_VERSION: u32 = 1;
/// The file's name in a run's folder.
pub const FILE_NAME: &str = "result.json";
/// A file larger than this is none.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// Whether a run's rules were kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Every rule that was checked was kept.
    #[serde(rename = "kept")]
    Passed,
    /// A rule was broken.
    #[serde(rename = "broken")]
    Failed,
    /// The rig itself was too late or short of room: its figures say nothing.
    #[serde(rename = "none")]
    Inconclusive,
}

/// What happened in one second of the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct SecondStats {
    /// Requests that were due.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Served within their aim.
    pub in_time: u64,
    /// Served late.
    pub late: u64,
    /// Refused.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Worth earned, of what was asked for.
    #[serde(rename = "worth_share")]
    pub value_share: f64,
}

impl From<&OutcomeCounts> for SecondStats {
    fn from(second: &OutcomeCounts) -> Self {
        Self {
            requests: second.requests,
            in_time: second.in_time,
            late: second.late,
            rejected: second.rejected,
            failed: second.failed,
            value_share: if second.value > 0.0 { second.earned_value / second.value } else { 1.0 },
        }
    }
}

/// A fault that was played.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct InjectedFault {
    /// What it was.
    #[serde(rename = "what")]
    pub description: String,
    /// Its begin, in seconds from the start of the load.
    #[serde(rename = "from_s")]
    pub start_s: f64,
    /// Its end, where it had one.
    #[serde(rename = "to_s")]
    pub end_s: Option<f64>,
}

/// What a run came to.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RunResult {
    /// See [`FORMAT_VERSION`].
    pub format: u32,
    /// The experiment's name.
    pub experiment: String,
    /// What it asks.
    pub question: String,
    /// The seed.
    pub seed: u64,
    /// The version of the program, with a print of the node's binary where one was played.
    pub version: String,
    /// Where it ran.
    #[serde(rename = "on")]
    pub mode: Mode,
    /// Whether the rules were kept.
    pub verdict: Verdict,
    /// Why there is no verdict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// What was checked.
    pub invariants: Vec<RuleReport>,
    /// The figures, the unit in the name.
    pub measures: BTreeMap<String, f64>,
    /// How late the rig itself was, at the 99th percentile, in milliseconds.
    pub lateness_ms_p99: f64,
    /// By the second.
    #[serde(rename = "seconds")]
    pub per_second: Vec<SecondStats>,
    /// Delays of what was served: the share, and the milliseconds under which it stayed.
    #[serde(rename = "delays")]
    pub latency_quantiles: Vec<(f64, f64)>,
    /// The faults.
    pub faults: Vec<InjectedFault>,
    /// The plan, in full.
    #[serde(rename = "plan")]
    pub scenario: flaxdale_model::scenario::Scenario,
}

/// Why a file is no result.
#[derive(Debug, thiserror::Error)]
pub enum ResultError {
    /// It can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The file.
        file: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// It is something else.
    #[error("{file}: {text}")]
    Malformed {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        text: String,
    },
}

impl RunResult {
    /// Reads the result in a run's folder, or in a file.
    pub fn read(place: &Path) -> Result<Self, ResultError> {
        let file = if place.is_dir() { place.join(FILE_NAME) } else { place.to_owned() };
        let read_error = |source| ResultError::Read { file: file.clone(), source };
        let malformed = |text: String| ResultError::Malformed { file: file.clone(), text };
        if std::fs::metadata(&file).map_err(read_error)?.len() > MAX_FILE_BYTES {
            return Err(malformed("is too large for a result".to_owned()));
        }
        let text = std::fs::read(&file).map_err(read_error)?;
        let value: serde_json::Value =
            serde_json::from_slice(&text).map_err(|error| malformed(format!("is no result: {error}")))?;
        match value.get("format").and_then(serde_json::Value::as_u64) {
            Some(format) if format == u64::from(FORMAT_VERSION) => {}
            Some(format) => {
                let text =
                    format!("has format {format}, and this program reads {FORMAT_VERSION}: play it again");
                return Err(malformed(text));
            }
            None => return Err(malformed("is no result: it tells no format".to_owned())),
        }
        serde_json::from_value(value).map_err(|error| malformed(format!("is no result: {error}")))
    }
}
