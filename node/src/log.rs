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
mod tests {
    use super::*;

    #[test]
    fn a_place_in_the_code_is_bounded_in_each_span() {
        let mut window = Window::default();
        let admitted =
            |window: &mut Window, ms| (0..1000).filter(|_| window.admit(Duration::from_millis(ms))).count();
        assert_eq!(admitted(&mut window, 0), BURST as usize);
        assert_eq!(admitted(&mut window, 999), 0);
        assert_eq!(admitted(&mut window, 1000), BURST as usize);
        assert_eq!(window.left_out, 3000 - 2 * u64::from(BURST));
    }

    #[test]
    fn what_is_left_out_is_counted_and_finer_lines_are_not_bounded() {
        let (bound, written) = (Arc::new(Bound::new()), Arc::new(Mutex::new(Vec::new())));
        let kept = written.clone();
        let writer = move || Kept(kept.clone());
        let lines = fmt::layer().with_writer(writer).with_ansi(false);
        let subscriber = tracing_subscriber::registry().with(lines.with_filter(Bounded(bound.clone())));
        tracing::subscriber::with_default(subscriber, || {
            for _ in 0..500 {
                tracing::info!("often");
                tracing::debug!("asked for");
            }
        });
        let text = String::from_utf8(written.lock().expect("kept").clone()).expect("text");
        let left_out: u64 = bound.take_left_out().iter().map(|(_, count)| count).sum();
        assert_eq!(text.matches("asked for").count(), 500);
        assert_eq!(text.matches("often").count() as u64 + left_out, 500);
        assert!(left_out > 0, "nothing was left out");
    }

    #[derive(Clone)]
    struct Kept(Arc<Mutex<Vec<u8>>>);

    impl std::io::Write for Kept {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0.lock().expect("kept").extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    /// Prints what a line that is filtered out costs: `cargo test --release -p badgerpost -- --ignored
    /// --nocapture filtered`. A request has six such lines at most.
    #[test]
    #[ignore = "measures, and proves nothing"]
    fn what_a_filtered_line_costs() {
        const LINES: u32 = 10_000_000;
        let lines = fmt::layer().with_writer(std::io::sink);
        let filter = Targets::new().with_default(LevelFilter::INFO).and(Bounded(Arc::new(Bound::new())));
        let subscriber = tracing_subscriber::registry().with(lines.with_filter(filter));
        tracing::subscriber::with_default(subscriber, || {
            for _ in 0..3 {
                let began = Instant::now();
                for n in 0..LINES {
                    tracing::debug!(request = std::hint::black_box(n), attempt = 0, "attempt sent");
                }
                let filtered = began.elapsed();
                let began = Instant::now();
                for n in 0..LINES {
                    std::hint::black_box(n);
                }
                let empty = began.elapsed();
                let each = (filtered.as_secs_f64() - empty.as_secs_f64()) * 1e9 / f64::from(LINES);
                println!("{each:.2} ns a filtered line, over {LINES} lines");
            }
        });
    }
}
