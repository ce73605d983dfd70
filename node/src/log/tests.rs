use super::*;

#[test]
fn a_callsite_is_limited_in_each_window() {
    let mut window = Window::default();
    let admitted =
        |window: &mut Window, ms| (0..1000).filter(|_| window.admit(Duration::from_millis(ms))).count();
    assert_eq!(admitted(&mut window, 0), MAX_EVENTS_PER_WINDOW as usize);
    assert_eq!(admitted(&mut window, 999), 0);
    assert_eq!(admitted(&mut window, 1000), MAX_EVENTS_PER_WINDOW as usize);
    assert_eq!(window.suppressed, 3000 - 2 * u64::from(MAX_EVENTS_PER_WINDOW));
}

#[test]
fn suppressed_events_are_counted_and_debug_is_not_limited() {
    let (limiter, written) = (Arc::new(RateLimiter::new()), Arc::new(Mutex::new(Vec::new())));
    let buffer = written.clone();
    let writer = move || SharedBuffer(buffer.clone());
    let layer = fmt::layer().with_writer(writer).with_ansi(false);
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(RateLimitFilter(limiter.clone())));
    tracing::subscriber::with_default(subscriber, || {
        for _ in 0..500 {
            tracing::info!("info event");
            tracing::debug!("debug event");
        }
    });
    let text = String::from_utf8(written.lock().expect("lock").clone()).expect("UTF-8");
    let suppressed: u64 = limiter.take_suppressed().iter().map(|(_, count)| count).sum();
    assert_eq!(text.matches("debug event").count(), 500);
    assert_eq!(text.matches("info event").count() as u64 + suppressed, 500);
    assert!(suppressed > 0, "no event was suppressed");
}

#[derive(Clone)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Prints the cost of an event that is filtered out. A request logs at most six of them. Run with
/// `cargo test --release -p badgerpost -- --ignored --nocapture filtered`.
#[test]
#[ignore = "benchmark without assertions"]
fn cost_of_a_filtered_event() {
    const EVENTS: u32 = 10_000_000;
    let layer = fmt::layer().with_writer(std::io::sink);
    let filter =
        Targets::new().with_default(LevelFilter::INFO).and(RateLimitFilter(Arc::new(RateLimiter::new())));
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(filter));
    tracing::subscriber::with_default(subscriber, || {
        for _ in 0..3 {
            let started_at = Instant::now();
            for n in 0..EVENTS {
                tracing::debug!(request = std::hint::black_box(n), attempt = 0, "attempt started");
            }
            let filtered = started_at.elapsed();
            let started_at = Instant::now();
            for n in 0..EVENTS {
                std::hint::black_box(n);
            }
            let empty = started_at.elapsed();
            let ns_per_event = (filtered.as_secs_f64() - empty.as_secs_f64()) * 1e9 / f64::from(EVENTS);
            println!("{ns_per_event:.2} ns per filtered event, over {EVENTS} events");
        }
    });
}
