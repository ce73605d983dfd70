//! Logging to standard error, controlled by the same environment variables as that of the node.

use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, fmt};

const FILTER_VARIABLE: &str = "EDGE_LOG";
const FORMAT_VARIABLE: &str = "EDGE_LOG_FORMAT";

/// Initializes logging. Without a filter in the environment, messages from `default_level` on are written, but only
/// errors of the consensus library, which logs every vote at `warn`.
pub fn init(default_level: LevelFilter) {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_default();
    let default_targets =
        || Targets::new().with_default(default_level).with_target("openraft", LevelFilter::ERROR);
    let (targets, parse_error) = match filter.parse::<Targets>() {
        _ if filter.is_empty() => (default_targets(), None),
        Ok(targets) => (targets, None),
        Err(error) => (default_targets(), Some(error)),
    };
    let layer = fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    let json = std::env::var(FORMAT_VARIABLE).is_ok_and(|format| format == "json");
    let layer = if json { layer.json().flatten_event(true).boxed() } else { layer.boxed() };
    tracing_subscriber::registry().with(layer.with_filter(targets)).init();
    if let Some(error) = parse_error {
        tracing::warn!(variable = FILTER_VARIABLE, value = filter, cause = %error, "invalid log filter");
    }
}
