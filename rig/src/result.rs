//! What a run came to, as a file that other programs read.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use flaxdale_model::invariants::RuleReport;
use flaxdale_model::stats::OutcomeCounts;
use serde::{Deserialize, Serialize};

use crate::experiment::On;

/// The version of the format; another one is not read.
pub const FORMAT: u32 = 1;
/// The file's name in a run's folder.
pub const FILE: &str = "result.json";
/// A file larger than this is none.
const MOST_BYTES: u64 = 64 * 1024 * 1024;

/// Whether a run's rules were kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Every rule that was checked was kept.
    Kept,
    /// A rule was broken.
    Broken,
    /// The rig itself was too late or short of room: its figures say nothing.
    None,
}

/// What happened in one second of the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Moment {
    /// Requests that were due.
    pub asked: u64,
    /// Served within their aim.
    pub in_time: u64,
    /// Served late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Worth earned, of what was asked for.
    pub worth_share: f64,
}

impl From<&OutcomeCounts> for Moment {
    fn from(second: &OutcomeCounts) -> Self {
        Self {
            asked: second.requests,
            in_time: second.in_time,
            late: second.late,
            refused: second.rejected,
            failed: second.failed,
            worth_share: if second.value > 0.0 { second.earned_value / second.value } else { 1.0 },
        }
    }
}

/// A fault that was played.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Played {
    /// What it was.
    pub what: String,
    /// Its begin, in seconds from the start of the load.
    pub from_s: f64,
    /// Its end, where it had one.
    pub to_s: Option<f64>,
}

/// What a run came to.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct RunResult {
    /// See [`FORMAT`].
    pub format: u32,
    /// The experiment's name.
    pub experiment: String,
    /// What it asks.
    pub question: String,
    /// The seed.
    pub seed: u64,
    /// The version of the program, with a print of the node's binary where one was played.
    pub version: String,
    /// On what it was played.
    pub on: On,
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
    pub seconds: Vec<Moment>,
    /// Delays of what was served: the share, and the milliseconds under which it stayed.
    pub delays: Vec<(f64, f64)>,
    /// The faults.
    pub faults: Vec<Played>,
    /// The plan, in full.
    pub plan: flaxdale_model::scenario::Scenario,
}

/// Why a file is no result.
#[derive(Debug, thiserror::Error)]
pub enum ResultError {
    /// It can't be read.
    #[error("{file}: {source}")]
    Unread {
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
        let file = if place.is_dir() { place.join(FILE) } else { place.to_owned() };
        let unread = |source| ResultError::Unread { file: file.clone(), source };
        let malformed = |text: String| ResultError::Malformed { file: file.clone(), text };
        if std::fs::metadata(&file).map_err(unread)?.len() > MOST_BYTES {
            return Err(malformed("is too large for a result".to_owned()));
        }
        let text = std::fs::read(&file).map_err(unread)?;
        let value: serde_json::Value =
            serde_json::from_slice(&text).map_err(|error| malformed(format!("is no result: {error}")))?;
        match value.get("format").and_then(serde_json::Value::as_u64) {
            Some(format) if format == u64::from(FORMAT) => {}
            Some(format) => {
                let text = format!("has format {format}, and this program reads {FORMAT}: play it again");
                return Err(malformed(text));
            }
            None => return Err(malformed("is no result: it tells no format".to_owned())),
        }
        serde_json::from_value(value).map_err(|error| malformed(format!("is no result: {error}")))
    }
}
