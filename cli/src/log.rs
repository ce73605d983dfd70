//! The program's log, on standard error, with the same switches as the node's.

use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, fmt};

const FILTER: &str = "EDGE_LOG";
const FORMAT: &str = "EDGE_LOG_FORMAT";

/// Starts it: what the environment does not filter is written from `usual` on. The consensus library tells of each step
/// at `info` and of each vote at `warn`: of it only errors are told, unless the filter says otherwise.
pub fn start(usual: LevelFilter) {
    let wanted = std::env::var(FILTER).unwrap_or_default();
    let library = || Targets::new().with_default(usual).with_target("openraft", LevelFilter::ERROR);
    let (targets, problem) = match wanted.parse::<Targets>() {
        _ if wanted.is_empty() => (library(), None),
        Ok(targets) => (targets, None),
        Err(error) => (library(), Some(error)),
    };
    let lines = fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    let json = std::env::var(FORMAT).is_ok_and(|format| format == "json");
    let lines = if json { lines.json().flatten_event(true).boxed() } else { lines.boxed() };
    tracing_subscriber::registry().with(lines.with_filter(targets)).init();
    if let Some(error) = problem {
        tracing::warn!(variable = FILTER, value = wanted, cause = %error, "the filter can't be read");
    }
}
