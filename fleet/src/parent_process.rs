//! What keeps a program from outliving whoever started it.

/// Set to `stdin` by a program that starts others and must not leave any behind: they end with their input.
pub const ENV_VAR: &str = "EDGE_TETHER";

/// Where the environment asks for it, ends the process outright once whoever started it has gone, which closes its
/// standard input.
pub fn exit_with_parent() {
    if std::env::var(ENV_VAR).is_ok_and(|to| to == "stdin") {
        std::thread::spawn(|| {
            // What comes is not looked at; an input that can't be read has no one at its other end either.
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            std::process::exit(0);
        });
    }
}
