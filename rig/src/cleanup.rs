//! Removes the processes and folders of a run even if the rig itself is killed.
//!
//! The rig starts a cleanup process and reports each process and folder that it creates over a pipe, as well as each
//! process that has ended. When the pipe is closed, for whatever reason, the cleanup process kills the reported
//! processes that are still running, by PID, and removes the reported folders.

use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

use rustix::process::{Pid, Signal, kill_process};

use crate::shared::lock;

/// The rig's handle to the cleanup process.
pub struct CleanupProcess {
    child: Child,
    pipe: Mutex<Option<ChildStdin>>,
}

impl CleanupProcess {
    /// Starts the cleanup process; `command` has to call [`run`] with its stdin.
    pub fn start(mut command: Command) -> std::io::Result<Self> {
        use std::os::unix::process::CommandExt;
        // In its own process group, so that Ctrl-C in the terminal does not end it before the rig.
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .process_group(0)
            .spawn()?;
        let pipe = Mutex::new(child.stdin.take());
        Ok(Self { child, pipe })
    }

    fn send(&self, line: &str) {
        if let Some(pipe) = lock(&self.pipe).as_mut() {
            // Without a cleanup process the run continues: normally the rig ends its processes itself.
            let _ = pipe.write_all(line.as_bytes()).and_then(|()| pipe.flush());
        }
    }

    /// Reports a process that was started.
    pub fn add_process(&self, pid: u32) {
        self.send(&format!("+{pid}\n"));
    }

    /// Reports a process that has ended.
    pub fn remove_process(&self, pid: u32) {
        self.send(&format!("-{pid}\n"));
    }

    /// Reports a folder that has to be removed with the run.
    pub fn add_folder(&self, folder: &Path) {
        self.send(&format!("d{}\n", folder.display()));
    }

    /// PID of the cleanup process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for CleanupProcess {
    fn drop(&mut self) {
        lock(&self.pipe).take();
        // The process exits once its pipe is closed.
        let _ = self.child.wait();
    }
}

/// Sends a signal to a process; returns whether it was delivered.
pub fn signal(pid: u32, signal: Signal) -> bool {
    i32::try_from(pid).ok().and_then(Pid::from_raw).is_some_and(|pid| kill_process(pid, signal).is_ok())
}

/// Start time of a process, which tells it from a later process with the same PID.
fn start_time(pid: u32) -> Option<String> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Only the process name may contain spaces; the start time is the twentieth field after it.
    stat.rsplit_once(") ")?.1.split(' ').nth(19).map(str::to_owned)
}

/// Tracks processes and folders until the input ends, then kills and removes those that are left.
pub fn run(input: impl BufRead) {
    let mut processes: Vec<(u32, Option<String>)> = Vec::new();
    let mut folders: Vec<PathBuf> = Vec::new();
    for line in input.lines().map_while(Result::ok) {
        let Some((kind, rest)) = line.split_at_checked(1) else { continue };
        match (kind, rest.parse::<u32>()) {
            ("+", Ok(pid)) => processes.push((pid, start_time(pid))),
            ("-", Ok(pid)) => processes.retain(|(tracked, _)| *tracked != pid),
            ("d", _) => folders.push(PathBuf::from(rest)),
            _ => {}
        }
    }
    for (pid, started_at) in processes {
        if started_at.is_some() && start_time(pid) == started_at {
            signal(pid, Signal::KILL);
        }
    }
    for folder in folders {
        // The folder may have been removed already.
        let _ = std::fs::remove_dir_all(folder);
    }
}

#[cfg(test)]
mod tests;
