//! What is printed for a person: a closed pipe is no reason to panic.

use std::io::{IsTerminal, Write};

use flaxdale_rig::sockets::Progress;

use crate::Exit;

/// A line on standard output.
pub fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// A line on standard error.
pub fn complain(text: &str) {
    let _ = writeln!(std::io::stderr(), "flaxdale: {text}");
}

/// Says what a command came to, or what was wrong with what it was given.
pub fn conclude(done: Result<String, String>) -> Exit {
    match done {
        Ok(text) => {
            say(&text);
            Exit::Well
        }
        Err(problem) => {
            complain(&problem);
            Exit::Usage
        }
    }
}

/// How a run goes, in one line: over the last one on a terminal, else below it.
pub fn live(progress: &Progress) {
    let lately = &progress.interval;
    let share = |part: u64| 100.0 * part as f64 / lately.requests.max(1) as f64;
    let mut line = format!(
        "{:>4.0} s  asked {:>5}/s  in time {:>5.1}%  refused {:>4.1}%  failed {:>4.1}%  p50 {:>5.0} ms  p99 {:>5.0} ms  \
         servers {}/{}  nodes {}/{}",
        progress.elapsed_s,
        lately.requests,
        share(lately.in_time),
        share(lately.rejected),
        share(lately.failed),
        progress.latency_p50_ms,
        progress.latency_p99_ms,
        progress.servers.0,
        progress.servers.1,
        progress.nodes.0,
        progress.nodes.1,
    );
    if progress.violations > 0 {
        line.push_str(&format!("  RULES BROKEN {}", progress.violations));
    }
    let mut out = std::io::stderr();
    let _ = if out.is_terminal() { write!(out, "\r\x1b[K{line}") } else { writeln!(out, "{line}") };
    let _ = out.flush();
}

/// Ends the line that [`live`] leaves open on a terminal.
pub fn end_live() {
    if std::io::stderr().is_terminal() {
        let _ = writeln!(std::io::stderr());
    }
}
