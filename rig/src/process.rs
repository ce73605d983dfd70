//! A child process of the rig that may be started and ended several times: what nodes and replicas have in common. The
//! owner decides what an exit means and reports it.

use std::process::{Child, ExitStatus};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use crate::cleanup::signal;
use crate::nodes::LaunchConfig;
use crate::shared::lock;

/// How often a process that should exit is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a process may take to exit after a signal.
const EXIT_TIMEOUT: Duration = Duration::from_secs(8);

struct RunningChild {
    child: Child,
    /// The rig has asked it to exit, so its exit is no crash.
    exit_requested: bool,
}

/// A process that is running or not.
pub struct Process {
    launch: Arc<LaunchConfig>,
    running: Mutex<Option<RunningChild>>,
}

/// Exit of a process.
pub struct ProcessExit {
    /// PID of the process.
    pub pid: u32,
    /// Exit status.
    pub status: ExitStatus,
    /// Whether the rig has asked it to exit.
    pub exit_requested: bool,
}

/// Resources that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Resident memory, in kibibytes.
    pub memory_kib: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
    /// CPU time since its start, in clock ticks of 10 ms.
    pub cpu_ticks: u64,
}

impl Process {
    /// A process that has not been started.
    pub fn new(launch: Arc<LaunchConfig>) -> Self {
        Self { launch, running: Mutex::default() }
    }

    /// Tracks a child process that was just started and reports it to the cleanup process.
    pub fn attach(&self, child: Child) -> u32 {
        let pid = child.id();
        if let Some(cleanup) = &self.launch.cleanup {
            cleanup.add_process(pid);
        }
        *lock(&self.running) = Some(RunningChild { child, exit_requested: false });
        pid
    }

    /// PID of the process while it is running.
    pub fn pid(&self) -> Option<u32> {
        lock(&self.running).as_ref().map(|running| running.child.id())
    }

    /// Exit status, if the process has exited and was not reaped yet.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.running).as_mut()?.child.try_wait().ok().flatten()
    }

    /// Reaps the process if it has exited.
    pub fn reap(&self) -> Option<ProcessExit> {
        let mut running = lock(&self.running);
        let status = running.as_mut()?.child.try_wait().ok().flatten()?;
        let RunningChild { child, exit_requested } = running.take()?;
        drop(running);
        let pid = child.id();
        if let Some(cleanup) = &self.launch.cleanup {
            cleanup.remove_process(pid);
        }
        Some(ProcessExit { pid, status, exit_requested })
    }

    /// Pauses or resumes the process; returns whether the signal was delivered.
    pub fn set_paused(&self, paused: bool) -> bool {
        self.pid().is_some_and(|pid| signal(pid, if paused { Signal::STOP } else { Signal::CONT }))
    }

    /// Sends a signal that ends the process and polls `reap` until it has exited. Returns false after the timeout.
    pub async fn end(&self, exit_signal: Signal, reap: impl Fn()) -> bool {
        if let Some(running) = lock(&self.running).as_mut() {
            running.exit_requested = true;
            signal(running.child.id(), exit_signal);
        }
        let deadline = Instant::now() + EXIT_TIMEOUT;
        loop {
            reap();
            if self.pid().is_none() || Instant::now() >= deadline {
                return self.pid().is_none();
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends SIGTERM, and SIGKILL after the timeout. Returns whether the process exited on SIGTERM.
    pub async fn stop(&self, reap: impl Fn()) -> bool {
        let exited = self.end(Signal::TERM, &reap).await;
        if !exited {
            self.end(Signal::KILL, &reap).await;
        }
        exited
    }

    /// Resources that the process uses now.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        resource_usage(self.pid()?)
    }
}

/// Reads the resource usage of a process from /proc.
fn resource_usage(pid: u32) -> Option<ResourceUsage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let memory_kib = memory.trim().trim_end_matches("kB").trim().parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    Some(ResourceUsage { memory_kib, descriptors, cpu_ticks: ticks(11) + ticks(12) })
}
