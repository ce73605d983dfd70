//! A process that the rig starts and ends, life after life, by its number: what a node and a replica have in common. What
//! an end means, and what is told of it, is its owner's.

use std::process::{Child, ExitStatus};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use crate::cleanup::signal;
use crate::nodes::LaunchConfig;
use crate::shared::lock;

/// How often one that ends is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// One that was told to end has this long before it is killed.
const END_PATIENCE: Duration = Duration::from_secs(8);

struct Life {
    child: Child,
    /// Wanted to end: its end is no crash.
    told: bool,
}

/// A process, while there is one.
pub struct Process {
    launch: Arc<LaunchConfig>,
    life: Mutex<Option<Life>>,
}

/// How a life ended.
pub struct Ended {
    /// Its number.
    pub pid: u32,
    /// How.
    pub status: ExitStatus,
    /// Whether it was told to.
    pub told: bool,
}

/// How much of the machine a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Resident memory, in kibibytes.
    pub memory_kib: u64,
    /// Descriptors.
    pub descriptors: u64,
    /// Processor time so far, in clock ticks of a hundredth of a second.
    pub cpu_ticks: u64,
}

impl Process {
    /// None yet.
    pub fn new(launch: Arc<LaunchConfig>) -> Self {
        Self { launch, life: Mutex::default() }
    }

    /// A life has begun; the keeper is told its number.
    pub fn started(&self, child: Child) -> u32 {
        let pid = child.id();
        if let Some(cleanup) = &self.launch.cleanup {
            cleanup.add_process(pid);
        }
        *lock(&self.life) = Some(Life { child, told: false });
        pid
    }

    /// Its number, while there is one.
    pub fn pid(&self) -> Option<u32> {
        lock(&self.life).as_ref().map(|life| life.child.id())
    }

    /// How it has ended, if it has and nobody has taken its end.
    pub fn has_ended(&self) -> Option<ExitStatus> {
        lock(&self.life).as_mut()?.child.try_wait().ok().flatten()
    }

    /// Takes its end, if it has ended.
    pub fn reap(&self) -> Option<Ended> {
        let mut life = lock(&self.life);
        let status = life.as_mut()?.child.try_wait().ok().flatten()?;
        let Life { child, told } = life.take()?;
        drop(life);
        let pid = child.id();
        if let Some(cleanup) = &self.launch.cleanup {
            cleanup.remove_process(pid);
        }
        Some(Ended { pid, status, told })
    }

    /// Pauses it, or lets it go on.
    pub fn set_paused(&self, paused: bool) -> bool {
        self.pid().is_some_and(|pid| signal(pid, if paused { Signal::STOP } else { Signal::CONT }))
    }

    /// Tells it to end in this way, and waits until its owner has taken its end by `reap`. Whether that came in time.
    pub async fn end(&self, how: Signal, reap: impl Fn()) -> bool {
        if let Some(life) = lock(&self.life).as_mut() {
            life.told = true;
            signal(life.child.id(), how);
        }
        let until = Instant::now() + END_PATIENCE;
        loop {
            reap();
            if self.pid().is_none() || Instant::now() >= until {
                return self.pid().is_none();
            }
            sleep(LOOK).await;
        }
    }

    /// Tells it to end, and kills it if it does not. Whether it ended by itself.
    pub async fn stop(&self, reap: impl Fn()) -> bool {
        let ended = self.end(Signal::TERM, &reap).await;
        if !ended {
            self.end(Signal::KILL, &reap).await;
        }
        ended
    }

    /// What it holds.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        resource_usage(self.pid()?)
    }
}

/// What a process holds, as the system tells it.
fn resource_usage(pid: u32) -> Option<ResourceUsage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let memory_kib = memory.trim().trim_end_matches("kB").trim().parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    Some(ResourceUsage { memory_kib, descriptors, cpu_ticks: ticks(11) + ticks(12) })
}
