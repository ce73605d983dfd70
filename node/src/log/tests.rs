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
                tracing::debug!(request = std::hint::black_box(n), attempt = 0, "attempt started");
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
