//! Structured logging to standard error.
//!
//! `EDGE_LOG` sets the filter, such as `info` or `warn,badgerpost::discovery=debug`; at `debug` each request
//! and attempt is logged. `EDGE_LOG_FORMAT=json` writes one JSON object per line. Events at `info` and above
//! are rate-limited by callsite, so that a failing fleet does not fill the disk; the number of suppressed
//! events is logged.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata};
use tracing_subscriber::filter::{FilterExt, Targets};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, fmt};

const FILTER_VARIABLE: &str = "EDGE_LOG";
const FORMAT_VARIABLE: &str = "EDGE_LOG_FORMAT";
/// Events that each callsite may log in a [`WINDOW`].
const MAX_EVENTS_PER_WINDOW: u32 = 10;
const WINDOW: Duration = Duration::from_secs(1);

/// Rate-limit window of one callsite.
#[derive(Default)]
struct Window {
    started_at: Duration,
    admitted: u32,
    suppressed: u64,
}

impl Window {
    /// Whether an event may be logged now. Counts it as admitted or suppressed.
    fn admit(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.started_at) >= WINDOW {
            (self.started_at, self.admitted) = (now, 0);
        }
        let admitted = self.admitted < MAX_EVENTS_PER_WINDOW;
        if admitted {
            self.admitted += 1;
        } else {
            self.suppressed += 1;
        }
        admitted
    }
}

/// Limits the rate of events of each callsite. Its size is bounded by the number of callsites in the program.
pub struct RateLimiter {
    started_at: Instant,
    windows: Mutex<HashMap<Identifier, (&'static Metadata<'static>, Window)>>,
    suppressed: Notify,
}

impl RateLimiter {
    fn new() -> Self {
        Self { started_at: Instant::now(), windows: Mutex::default(), suppressed: Notify::new() }
    }

    fn admit(&self, meta: &'static Metadata<'static>) -> bool {
        let now = self.started_at.elapsed();
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = &mut windows.entry(meta.callsite()).or_insert_with(|| (meta, Window::default())).1;
        let admitted = window.admit(now);
        if !admitted && window.suppressed == 1 {
            self.suppressed.notify_one();
        }
        admitted
    }

    fn take_suppressed(&self) -> Vec<(&'static Metadata<'static>, u64)> {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let counts =
            windows.values_mut().map(|(meta, window)| (*meta, std::mem::take(&mut window.suppressed)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Logs how many events were suppressed; never returns. Does not wake while there are none.
    pub async fn report(self: Arc<Self>) {
        loop {
            self.suppressed.notified().await;
            sleep(WINDOW).await;
            for (meta, count) in self.take_suppressed() {
                let (module, line) = (meta.module_path().unwrap_or("-"), meta.line().unwrap_or(0));
                tracing::warn!(module, line, count, "repeated log lines suppressed");
            }
        }
    }
}

/// Filter that applies a [`RateLimiter`] to events at `info` and above. `debug` and `trace` are not limited.
struct RateLimitFilter(Arc<RateLimiter>);

impl<S> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        *event.metadata().level() > Level::INFO || self.0.admit(event.metadata())
    }
}

/// Sets up logging from the environment. Falls back to `info`, with a warning, if the filter is invalid.
pub fn init() -> Arc<RateLimiter> {
    let filter_text = std::env::var(FILTER_VARIABLE).unwrap_or_default();
    let parsed = if filter_text.is_empty() {
        Ok(Targets::new().with_default(LevelFilter::INFO))
    } else {
        filter_text.parse()
    };
    let (targets, error) = match parsed {
        Ok(targets) => (targets, None),
        Err(error) => (Targets::new().with_default(LevelFilter::INFO), Some(error)),
    };
    let limiter = Arc::new(RateLimiter::new());
    let layer = fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    let format = std::env::var(FORMAT_VARIABLE).unwrap_or_default();
    let layer = if format == "json" { layer.json().flatten_event(true).boxed() } else { layer.boxed() };
    let filter = targets.and(RateLimitFilter(limiter.clone()));
    tracing_subscriber::registry().with(layer.with_filter(filter)).init();
    if let Some(error) = error {
        tracing::warn!(
            variable = FILTER_VARIABLE,
            value = filter_text,
            cause = %error,
            "invalid log filter; using info"
        );
    }
    if !matches!(format.as_str(), "" | "text" | "json") {
        tracing::warn!(
            variable = FORMAT_VARIABLE,
            value = format,
            "unknown log format, expected text or json; using text"
        );
    }
    limiter
}

#[cfg(test)]
mod tests;
