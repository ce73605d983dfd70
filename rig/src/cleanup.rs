//! Sees to it that no run leaves a process or a folder behind, also when the rig itself is killed.
//!
//! A small process of its own holds the other end of a pipe. The rig tells it each process and folder that it makes,
//! and takes back what has ended. When the pipe ends, for whatever reason, the keeper ends what is left: by number,
//! and only what it was told of.

use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

use rustix::process::{Pid, Signal, kill_process};

use crate::shared::lock;

/// The keeper as the rig holds it.
pub struct CleanupProcess {
    child: Child,
    pipe: Mutex<Option<ChildStdin>>,
}

impl CleanupProcess {
    /// Starts it: `command` is this program, asked to run [`run`].
    pub fn start(mut command: Command) -> std::io::Result<Self> {
        use std::os::unix::process::CommandExt;
        // In a group of its own, so that a Ctrl-C at the terminal does not end it before the rig.
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .process_group(0)
            .spawn()?;
        let pipe = Mutex::new(child.stdin.take());
        Ok(Self { child, pipe })
    }

    fn tell(&self, line: &str) {
        if let Some(pipe) = lock(&self.pipe).as_mut() {
            // Without a keeper the run goes on: it ends its processes itself.
            let _ = pipe.write_all(line.as_bytes()).and_then(|()| pipe.flush());
        }
    }

    /// A process was started.
    pub fn add_process(&self, pid: u32) {
        self.tell(&format!("+{pid}\n"));
    }

    /// A process has ended.
    pub fn remove_process(&self, pid: u32) {
        self.tell(&format!("-{pid}\n"));
    }

    /// A folder that is not to outlive the run was made.
    pub fn add_folder(&self, folder: &Path) {
        self.tell(&format!("d{}\n", folder.display()));
    }

    /// Its own number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for CleanupProcess {
    fn drop(&mut self) {
        lock(&self.pipe).take();
        // It ends with its pipe.
        let _ = self.child.wait();
    }
}

/// Sends a signal to a process by its number. Whether there was one to send it to.
pub fn signal(pid: u32, signal: Signal) -> bool {
    i32::try_from(pid).ok().and_then(Pid::from_raw).is_some_and(|pid| kill_process(pid, signal).is_ok())
}

/// What a process is, beyond its number, which another may have after it: when it started.
fn born(pid: u32) -> Option<String> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name may hold spaces; the fields after it do not. The start is the twentieth of these.
    stat.rsplit_once(") ")?.1.split(' ').nth(19).map(str::to_owned)
}

/// Keeps until its input ends, then ends what is left.
pub fn run(input: impl BufRead) {
    let mut processes: Vec<(u32, Option<String>)> = Vec::new();
    let mut folders: Vec<PathBuf> = Vec::new();
    for line in input.lines().map_while(Result::ok) {
        let Some((sign, rest)) = line.split_at_checked(1) else { continue };
        match (sign, rest.parse::<u32>()) {
            ("+", Ok(pid)) => processes.push((pid, born(pid))),
            ("-", Ok(pid)) => processes.retain(|(known, _)| *known != pid),
            ("d", _) => folders.push(PathBuf::from(rest)),
            _ => {}
        }
    }
    for (pid, birth) in processes {
        if birth.is_some() && born(pid) == birth {
            signal(pid, Signal::KILL);
        }
    }
    for folder in folders {
        // What was removed already is gone.
        let _ = std::fs::remove_dir_all(folder);
    }
}

#[cfg(test)]
mod tests;
