//! Ends a child process when its parent has exited.

/// Set to `stdin` by a parent that keeps the child's standard input open for as long as it runs.
pub const ENV_VAR: &str = "EDGE_TETHER";

/// If [`ENV_VAR`] is set to `stdin`, exits the process as soon as its standard input reaches end of file, which the
/// operating system guarantees when the parent exits.
pub fn exit_with_parent() {
    if std::env::var(ENV_VAR).is_ok_and(|value| value == "stdin") {
        std::thread::spawn(|| {
            // The input is discarded. A read error also means that the parent is gone.
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            std::process::exit(0);
        });
    }
}
