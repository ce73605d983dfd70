//! The node's log: lines on standard error, as fields that a program can read as well as a person.
//!
//! `EDGE_LOG` filters (`info`, or `warn,badgerpost::discovery=debug`; at `debug` each request and attempt has its
//! lines), `EDGE_LOG_FORMAT=json` writes a JSON object a line. Lines from `info` on are bounded for each place in
//! the code, so that a failing fleet fills no disk; what was left out is counted in a line of its own.

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

const FILTER: &str = "EDGE_LOG";
const FORMAT: &str = "EDGE_LOG_FORMAT";
/// Lines that one place in the code may write in a [`SPAN`]: enough to see who is concerned.
const BURST: u32 = 10;
const SPAN: Duration = Duration::from_secs(1);

/// One place's lines of late.
#[derive(Default)]
struct Window {
    since: Duration,
    written: u32,
    left_out: u64,
}

impl Window {
    /// Whether a line may be written now; one that may not is counted.
    fn admit(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.since) >= SPAN {
            (self.since, self.written) = (now, 0);
        }
        let fits = self.written < BURST;
        if fits {
            self.written += 1;
        } else {
            self.left_out += 1;
        }
        fits
    }
}

/// Bounds the lines of each place in the code, which are as many as the program has of them.
pub struct Bound {
    began: Instant,
    windows: Mutex<HashMap<Identifier, (&'static Metadata<'static>, Window)>>,
    left_out: Notify,
}

impl Bound {
    fn new() -> Self {
        Self { began: Instant::now(), windows: Mutex::default(), left_out: Notify::new() }
    }

    fn admit(&self, meta: &'static Metadata<'static>) -> bool {
        let now = self.began.elapsed();
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = &mut windows.entry(meta.callsite()).or_insert_with(|| (meta, Window::default())).1;
        let fits = window.admit(now);
        if !fits && window.left_out == 1 {
            self.left_out.notify_one();
        }
        fits
    }

    fn take_left_out(&self) -> Vec<(&'static Metadata<'static>, u64)> {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = windows.values_mut().map(|(meta, window)| (*meta, std::mem::take(&mut window.left_out)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Tells how many lines were left out, where any were; never ends. While none are it does not wake.
    pub async fn report(self: Arc<Self>) {
        loop {
            self.left_out.notified().await;
            sleep(SPAN).await;
            for (meta, count) in self.take_left_out() {
                let (module, line) = (meta.module_path().unwrap_or("-"), meta.line().unwrap_or(0));
                tracing::warn!(module, line, count, "repeated lines left out");
            }
        }
    }
}

/// [`Bound`] as a filter: from `info` on; what is finer was asked for whole.
struct Bounded(Arc<Bound>);

impl<S> Filter<S> for Bounded {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        *event.metadata().level() > Level::INFO || self.0.admit(event.metadata())
    }
}

/// Starts the log as the environment says. A filter that can't be read is told, and `info` taken.
pub fn start() -> Arc<Bound> {
    let wanted = std::env::var(FILTER).unwrap_or_default();
    let read =
        if wanted.is_empty() { Ok(Targets::new().with_default(LevelFilter::INFO)) } else { wanted.parse() };
    let (targets, problem) = match read {
        Ok(targets) => (targets, None),
        Err(error) => (Targets::new().with_default(LevelFilter::INFO), Some(error)),
    };
    let bound = Arc::new(Bound::new());
    let lines = fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    let format = std::env::var(FORMAT).unwrap_or_default();
    let lines = if format == "json" { lines.json().flatten_event(true).boxed() } else { lines.boxed() };
    let filter = targets.and(Bounded(bound.clone()));
    tracing_subscriber::registry().with(lines.with_filter(filter)).init();
    if let Some(error) = problem {
        tracing::warn!(variable = FILTER, value = wanted, cause = %error, "the filter can't be read");
    }
    if !matches!(format.as_str(), "" | "text" | "json") {
        tracing::warn!(variable = FORMAT, value = format, "neither text nor json");
    }
    bound
}

#[cfg(test)]
mod tests;
