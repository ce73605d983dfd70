//! Output for the user. Write errors, such as a closed pipe, are ignored.

use std::io::{IsTerminal, Write};

use flaxdale_rig::sockets::Progress;

use crate::Exit;

/// Prints a line to standard output.
pub fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints an error message to standard error.
pub fn print_error(text: &str) {
    let _ = writeln!(std::io::stderr(), "flaxdale: {text}");
}

/// Prints the result of a command whose errors are usage errors, and returns its exit code.
pub fn finish(result: Result<String, String>) -> Exit {
    match result {
        Ok(text) => {
            print_line(&text);
            Exit::Success
        }
        Err(error) => {
            print_error(&error);
            Exit::Usage
        }
    }
}

/// Prints the progress of a run in one line, which replaces the previous one on a terminal.
pub fn show_progress(progress: &Progress) {
    let interval = &progress.interval;
    let share = |part: u64| 100.0 * part as f64 / interval.requests.max(1) as f64;
    let mut line = format!(
        "{:>4.0} s  requests {:>5}/s  in time {:>5.1}%  rejected {:>4.1}%  failed {:>4.1}%  p50 {:>5.0} ms  p99 {:>5.0} ms  \
         servers {}/{}  nodes {}/{}",
        progress.elapsed_s,
        interval.requests,
        share(interval.in_time),
        share(interval.rejected),
        share(interval.failed),
        progress.latency_p50_ms,
        progress.latency_p99_ms,
        progress.servers.0,
        progress.servers.1,
        progress.nodes.0,
        progress.nodes.1,
    );
    if progress.violations > 0 {
        line.push_str(&format!("  RULE VIOLATIONS {}", progress.violations));
    }
    let mut output = std::io::stderr();
    let _ = if output.is_terminal() { write!(output, "\r\x1b[K{line}") } else { writeln!(output, "{line}") };
    let _ = output.flush();
}

/// Ends the line that [`show_progress`] leaves open on a terminal.
pub fn end_progress() {
    if std::io::stderr().is_terminal() {
        let _ = writeln!(std::io::stderr());
    }
}
