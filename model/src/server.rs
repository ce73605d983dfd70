//! Model of one app server: cores, concurrency limit, queue, cold start, congestion and injected faults.
//!
//! A request first uses the CPU and then waits on downstream calls; it occupies a concurrency slot for both
//! phases. The cores are shared equally among the requests in the CPU phase (processor sharing), so a single
//! running total of service per request (`service_total`) is enough: a request leaves the CPU phase once the
//! total has grown by its work. Whether a request may run twice, and who may send it, is checked elsewhere, see
//! [`invariants`](crate::invariants).

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use brookfield::Nanos;

use crate::ordered::TotalF64;

const SECOND: f64 = 1e9;
/// Tolerances on the cold-start budget for random arrivals when no mean work is known: a relative share, and
/// a number of requests.
const OVERLOAD_TOLERANCE: f64 = 0.1;
const OVERLOAD_TOLERANCE_REQUESTS: f64 = 1.0;
/// Senders that knew of the start are held responsible if they sent more than this share of the overload.
const RESPONSIBLE_SHARE: f64 = 2.0 / 3.0;
/// Two start times closer than this are the same start: they may come from different clocks.
const SAME_START_TOLERANCE_NS: Nanos = 500_000_000;
/// Weight of the latest sample in the moving average of the reported utilisation.
const UTILISATION_WEIGHT: f64 = 0.5;

/// What happens to the work of a cancelled attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelPolicy {
    /// Continues.
    Ignore,
    /// Queued work is dropped; running work continues.
    DropQueued,
}

/// Slowdown of a congested server, and when it recovers.
#[derive(Clone, Copy, Debug)]
pub struct Congestion {
    /// Requests waiting for a core, per core, from which the server counts as overloaded.
    pub queued_per_core: f64,
    /// Overload must last this long for the slowdown to set in, in nanoseconds.
    pub onset: Nanos,
    /// Factor by which the server is slowed down.
    pub slowdown: f64,
    /// CPU utilisation below which the server recovers.
    pub recovery_utilisation: f64,
    /// How long the utilisation must stay below `recovery_utilisation`, in nanoseconds.
    pub recovery_time: Nanos,
    /// Maximum duration of the slowdown, in nanoseconds.
    pub max_duration: Nanos,
}

/// How a server reports its load.
#[derive(Clone, Copy, Debug)]
pub struct LoadReporting {
    /// Sampling period, in nanoseconds.
    pub period: Nanos,
    /// Delay before a new sample is reported, in nanoseconds.
    pub delay: Nanos,
    /// Relative standard deviation of the noise added to a sample.
    pub noise: f64,
}

/// Static properties of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSpec {
    /// Index of its zone.
    pub zone: u32,
    /// Group of servers that share one table of idempotency keys.
    pub cell: u64,
    /// Index of its machine kind.
    pub kind: u32,
    /// Requests that can run on the CPU at full speed.
    pub cores: f64,
    /// Speed of a core relative to the standard core.
    pub speed: f64,
    /// Maximum number of requests in progress.
    pub concurrency: usize,
    /// Maximum number of queued requests; further ones are rejected.
    pub queue_capacity: usize,
    /// Efficiency lost for each further `thrash_at` requests per core.
    pub thrash: f64,
    /// Requests per core up to which no efficiency is lost.
    pub thrash_at: f64,
    /// Share of its capacity right after a cold start.
    pub initial_capacity: f64,
    /// Duration of the warm-up after a cold start, in nanoseconds.
    pub slow_start_window: Nanos,
    /// Share of requests that fail without a fault.
    pub error_rate: f64,
    /// How cancellation is handled.
    pub cancel_policy: CancelPolicy,
    /// Whether queued requests past their deadline are dropped.
    pub drops_expired: bool,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Work of accepting a new connection on a standard core, in nanoseconds.
    pub handshake_work: f64,
    /// Share of the capacity lost when the connection table is full.
    pub connection_overhead: f64,
    /// Slowdown under congestion, if modelled.
    pub congestion: Option<Congestion>,
    /// A cold server crashes if the work it receives within `overload_window` exceeds this multiple of its current
    /// capacity.
    pub overload_factor: f64,
    /// Window of `overload_factor`, in nanoseconds.
    pub overload_window: Nanos,
    /// Mean work of a request, in nanoseconds. If N requests of it fit into the budget, the server crashes
    /// above N + 2 * sqrt(N) + 2 of them, which allows for random arrivals. At 0 it crashes 10 % and one
    /// request above the budget.
    pub mean_work: f64,
    /// Load reporting, if enabled.
    pub reporting: Option<LoadReporting>,
}

impl Default for ServerSpec {
    fn default() -> Self {
        Self {
            zone: 0,
            cell: 0,
            kind: 0,
            cores: 1.0,
            speed: 1.0,
            concurrency: 8,
            queue_capacity: 16,
            thrash: 0.3,
            thrash_at: 16.0,
            initial_capacity: 0.2,
            slow_start_window: 20_000_000_000,
            error_rate: 0.0,
            cancel_policy: CancelPolicy::DropQueued,
            drops_expired: true,
            max_connections: 800,
            handshake_work: 1_000_000.0,
            connection_overhead: 0.1,
            congestion: None,
            overload_factor: 3.0,
            overload_window: 1_500_000_000,
            mean_work: 0.0,
            reporting: None,
        }
    }
}

/// Effects of the faults that are active on a server. The default is none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerFault {
    /// Factor by which the server is slowed down.
    pub slowdown: f64,
    /// Share of the CPU taken by another program.
    pub stolen_cpu: f64,
    /// Accepts requests and never responds.
    pub hung: bool,
    /// Share of requests that fail immediately.
    pub failure_rate: f64,
}

impl Default for ServerFault {
    fn default() -> Self {
        Self { slowdown: 1.0, stolen_cpu: 0.0, hung: false, failure_rate: 0.0 }
    }
}

/// A request as submitted to a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Id, unique among the jobs that the server holds.
    pub id: u64,
    /// Node that the response goes to.
    pub sender: u32,
    /// CPU time on a standard core, in nanoseconds.
    pub work: f64,
    /// Time spent waiting on downstream calls after the CPU phase, in nanoseconds.
    pub io_wait: Nanos,
    /// When the client gives up.
    pub not_after: Nanos,
    /// Uniform draw from 0 to 1 that decides whether the request fails.
    pub failure_draw: f64,
    /// The server's last start time known to the sender.
    pub known_start: Option<Nanos>,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Completed, with a response.
    Served,
    /// Failed; it may have run.
    Error,
    /// Dropped from the queue: it never ran.
    Dropped,
}

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Running or queued.
    Accepted,
    /// Rejected because the queue is full: it never ran.
    Full,
    /// Failed immediately; it may have run.
    Failed,
    /// The process is down and does not respond.
    Down,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    OnCpu,
    Waiting,
}

/// State of a server. Time never goes backwards: an earlier `now` counts as the latest one seen.
pub struct Server {
    spec: ServerSpec,
    fault: ServerFault,
    now: Nanos,
    up: bool,
    /// Time of the last cold start; `None` if warm from the beginning.
    started_at: Option<Nanos>,
    /// Cumulative service of each request in the CPU phase, in nanoseconds of a standard core.
    service_total: f64,
    jobs: HashMap<u64, (Job, Stage)>,
    cpu_phase: BinaryHeap<Reverse<(TotalF64, u64)>>,
    cpu_jobs: usize,
    wait_phase: BinaryHeap<Reverse<(Nanos, u64)>>,
    queue: VecDeque<u64>,
    slots_in_use: usize,
    connections: usize,
    /// Work received within the overload window while cold, with its time and whether the sender knew of the
    /// start.
    cold_work: VecDeque<(Nanos, f64, bool)>,
    crashed: bool,
    /// Share of the overload that came from senders that knew of the start.
    informed_share: f64,
    overloaded_since: Option<Nanos>,
    congested_since: Option<Nanos>,
    calm_since: Option<Nanos>,
    /// Core-nanoseconds used since the last load sample.
    busy_core_ns: f64,
    sampled_at: Nanos,
    util: f64,
    reported_util: Option<(f64, Nanos, f64)>,
    epoch: u64,
}

impl Server {
    /// Creates a server that is up and warm.
    pub fn new(spec: ServerSpec, now: Nanos) -> Self {
        Self {
            spec,
            fault: ServerFault::default(),
            now,
            up: true,
            started_at: None,
            service_total: 0.0,
            jobs: HashMap::new(),
            cpu_phase: BinaryHeap::new(),
            cpu_jobs: 0,
            wait_phase: BinaryHeap::new(),
            queue: VecDeque::new(),
            slots_in_use: 0,
            connections: 0,
            cold_work: VecDeque::new(),
            crashed: false,
            informed_share: 0.0,
            overloaded_since: None,
            congested_since: None,
            calm_since: None,
            busy_core_ns: 0.0,
            sampled_at: now,
            util: 0.0,
            reported_util: None,
            epoch: 0,
        }
    }

    /// Returns its static properties.
    pub fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Whether its process is running.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Whether it crashed from overload while cold. It stays down until it is started again.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// Whether it crashed because of senders that knew of its start: more than two thirds of the work came
    /// from them.
    pub fn overloaded_by_informed_senders(&self) -> bool {
        self.crashed && self.informed_share > RESPONSIBLE_SHARE
    }

    /// Whether it is slowed down by congestion.
    pub fn is_congested(&self) -> bool {
        self.congested_since.is_some()
    }

    /// Time of the last cold start; `None` if warm from the beginning.
    pub fn started_at(&self) -> Option<Nanos> {
        self.started_at
    }

    /// Number of requests held, running or queued.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Incremented at each stop and start; attempts and connections of an earlier epoch are void.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Stops the process. Returns the jobs that were lost with it, ordered by id.
    pub fn stop(&mut self, now: Nanos) -> Vec<Job> {
        self.advance_clock(now);
        self.up = false;
        self.epoch += 1;
        let mut lost: Vec<Job> = self.jobs.drain().map(|(_, (job, _))| job).collect();
        lost.sort_unstable_by_key(|job| job.id);
        self.cpu_phase.clear();
        self.wait_phase.clear();
        self.queue.clear();
        (self.cpu_jobs, self.slots_in_use, self.connections) = (0, 0, 0);
        lost
    }

    /// Starts the process. Returns the jobs that the previous process held.
    pub fn start(&mut self, now: Nanos, cold: bool) -> Vec<Job> {
        let lost = self.stop(now);
        self.up = true;
        self.crashed = false;
        self.started_at = cold.then_some(now);
        self.cold_work.clear();
        (self.overloaded_since, self.congested_since, self.calm_since) = (None, None, None);
        (self.busy_core_ns, self.sampled_at, self.util, self.reported_util) = (0.0, now, 0.0, None);
        lost
    }

    /// Sets the faults that are active on the server.
    pub fn set_fault(&mut self, now: Nanos, fault: ServerFault) {
        self.advance_clock(now);
        self.fault = fault;
    }

    /// Returns the faults that are active on the server.
    pub fn fault(&self) -> ServerFault {
        self.fault
    }

    /// Share of the capacity available, given the progress of the warm-up.
    pub fn capacity_share(&self, now: Nanos) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = now.saturating_sub(started_at) as f64 / self.spec.slow_start_window.max(1) as f64;
        (self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * progress).min(1.0)
    }

    /// Accepts a connection. Returns false if the table is full or the process is down.
    pub fn connect(&mut self, now: Nanos) -> bool {
        self.advance_clock(now);
        let accepted = self.up && self.connections < self.spec.max_connections;
        self.connections += usize::from(accepted);
        accepted
    }

    /// Closes a connection.
    pub fn disconnect(&mut self, now: Nanos) {
        self.advance_clock(now);
        self.connections = self.connections.saturating_sub(1);
    }

    /// Whether a request with this draw gets a response if it needs no work, as a duplicate does.
    pub fn would_respond(&self, failure_draw: f64) -> bool {
        self.up && !self.crashed && !self.fault.hung && failure_draw >= self.fault.failure_rate
    }

    /// Submits a request, over a new or an existing connection.
    pub fn submit(&mut self, now: Nanos, mut job: Job, new_connection: bool) -> Admission {
        self.advance_clock(now);
        if !self.up {
            return Admission::Down;
        }
        self.track_cold_work(&job);
        if self.crashed {
            return Admission::Down;
        }
        if job.failure_draw < self.fault.failure_rate {
            return Admission::Failed;
        }
        if new_connection {
            job.work += self.spec.handshake_work;
        }
        if self.slots_in_use >= self.spec.concurrency && self.queue.len() >= self.spec.queue_capacity {
            return Admission::Full;
        }
        if self.slots_in_use < self.spec.concurrency {
            self.start_job(job);
        } else {
            self.queue.push_back(job.id);
            self.jobs.insert(job.id, (job, Stage::Queued));
        }
        self.update_overload();
        Admission::Accepted
    }

    /// Cancels a job. Returns whether it was dropped before it started.
    pub fn cancel(&mut self, now: Nanos, id: u64) -> bool {
        self.advance_clock(now);
        let is_queued = self.jobs.get(&id).is_some_and(|(_, stage)| *stage == Stage::Queued);
        if is_queued && self.spec.cancel_policy == CancelPolicy::DropQueued {
            self.jobs.remove(&id);
            self.queue.retain(|queued_id| *queued_id != id);
            self.update_overload();
            return true;
        }
        false
    }

    /// Time of the next internal event.
    pub fn next_event(&self) -> Option<Nanos> {
        if !self.up {
            return None;
        }
        let wait_end = self.wait_phase.peek().map(|Reverse((at, _))| *at).filter(|_| !self.fault.hung);
        let congestion_change = self.spec.congestion.and_then(|congestion| match self.congested_since {
            None => self.overloaded_since.map(|since| since + congestion.onset),
            Some(since) => Some(
                (since + congestion.max_duration)
                    .min(self.calm_since.map_or(Nanos::MAX, |at| at + congestion.recovery_time)),
            ),
        });
        let next = [self.cpu_phase_end(), wait_end, congestion_change].into_iter().flatten().min()?;
        Some(next.max(self.now))
    }

    /// Advances to `now` and appends the jobs that ended, in order.
    pub fn advance(&mut self, now: Nanos, ended: &mut Vec<(Job, JobOutcome)>) {
        while let Some(next) = self.next_event().filter(|next| *next <= now) {
            self.advance_clock(next);
            self.process_due(ended);
        }
        self.advance_clock(now);
    }

    /// Reported CPU utilisation, which lags behind by the reporting delay. `noise` is a draw from the
    /// standard normal distribution.
    pub fn report(&mut self, now: Nanos, noise: f64) -> Option<f64> {
        let reporting = self.spec.reporting?;
        self.advance_clock(now);
        let elapsed = now.saturating_sub(self.sampled_at);
        if elapsed >= reporting.period {
            let sample = (self.busy_core_ns / (elapsed as f64 * self.spec.cores)).min(1.0);
            let previous = self.util;
            self.util += (sample - self.util) * UTILISATION_WEIGHT;
            let noisy = (self.util * (1.0 + reporting.noise * noise)).clamp(0.0, 1.5);
            self.reported_util = Some((previous, now + reporting.delay, noisy));
            (self.busy_core_ns, self.sampled_at) = (0.0, now);
        }
        self.reported_util.map(|(before, from, after)| if now >= from { after } else { before })
    }

    /// Work done per second when warm, in nanoseconds of a standard core.
    pub fn capacity(&self) -> f64 {
        self.spec.cores * self.spec.speed * SECOND
    }

    fn start_job(&mut self, job: Job) {
        self.slots_in_use += 1;
        self.cpu_jobs += 1;
        self.cpu_phase.push(Reverse((TotalF64(self.service_total + job.work.max(1.0)), job.id)));
        self.jobs.insert(job.id, (job, Stage::OnCpu));
    }

    /// Processes what is due at the current time.
    fn process_due(&mut self, ended: &mut Vec<(Job, JobOutcome)>) {
        if let Some(&Reverse((target, id))) = self.cpu_phase.peek()
            && self.cpu_phase_end().is_some_and(|at| at <= self.now)
        {
            // Rounding may leave the total just below the target.
            self.service_total = self.service_total.max(target.0);
            self.cpu_phase.pop();
            self.cpu_jobs -= 1;
            if let Some((job, stage)) = self.jobs.get_mut(&id) {
                *stage = Stage::Waiting;
                self.wait_phase.push(Reverse((self.now.saturating_add(job.io_wait), id)));
            }
        }
        while let Some(id) = self.finished_wait() {
            self.wait_phase.pop();
            self.slots_in_use -= 1;
            if let Some((job, _)) = self.jobs.remove(&id) {
                let fails = job.failure_draw < self.fault.failure_rate + self.spec.error_rate;
                ended.push((job, if fails { JobOutcome::Error } else { JobOutcome::Served }));
            }
        }
        while self.slots_in_use < self.spec.concurrency {
            let Some(id) = self.queue.pop_front() else { break };
            let Some((job, _)) = self.jobs.remove(&id) else { continue };
            if self.spec.drops_expired && job.not_after <= self.now {
                ended.push((job, JobOutcome::Dropped));
            } else {
                self.start_job(job);
            }
        }
        self.update_overload();
        self.update_congestion();
    }

    /// The next job whose downstream wait has ended; none while the server hangs.
    fn finished_wait(&self) -> Option<u64> {
        let Reverse((at, id)) = self.wait_phase.peek()?;
        (*at <= self.now && !self.fault.hung).then_some(*id)
    }

    /// Service per second that each request in the CPU phase gets when warm; 0 while the server hangs.
    fn service_rate(&self) -> f64 {
        if !self.up || self.fault.hung || self.cpu_jobs == 0 {
            return 0.0;
        }
        let jobs_per_core = self.jobs.len() as f64 / self.spec.cores;
        let excess = (jobs_per_core / self.spec.thrash_at.max(1e-9) - 1.0).max(0.0);
        let connection_share = self.connections as f64 / self.spec.max_connections.max(1) as f64;
        let congestion_slowdown = match (self.congested_since, self.spec.congestion) {
            (Some(_), Some(congestion)) => congestion.slowdown,
            _ => 1.0,
        };
        let efficiency = (1.0 - self.spec.connection_overhead * connection_share)
            * (1.0 - self.fault.stolen_cpu)
            / ((1.0 + self.spec.thrash * excess) * congestion_slowdown * self.fault.slowdown);
        let share = (self.spec.cores / self.cpu_jobs as f64).min(1.0);
        self.spec.speed * efficiency * share
    }

    /// Time at which the next request leaves the CPU phase.
    fn cpu_phase_end(&self) -> Option<Nanos> {
        let Reverse((target, _)) = self.cpu_phase.peek()?;
        let rate = self.service_rate();
        if rate <= 0.0 {
            return None;
        }
        let service = (target.0 - self.service_total).max(0.0) / rate;
        Some(self.now.saturating_add(self.ramp_time(service).ceil() as Nanos))
    }

    /// Time until the integral of the warm-up ramp from now on reaches `service`, in nanoseconds.
    fn ramp_time(&self, service: f64) -> f64 {
        let (from, slope) = (self.capacity_share(self.now), self.ramp_slope());
        let Some(slope) = slope else { return service };
        let until_warm = (1.0 - from) / slope;
        let integral_until_warm = until_warm * (from + 1.0) / 2.0;
        if service >= integral_until_warm {
            return until_warm + (service - integral_until_warm);
        }
        // Solves from * t + slope * t * t / 2 = service.
        ((from * from + 2.0 * slope * service).sqrt() - from) / slope
    }

    /// Integral of the warm-up ramp over `duration` from now on, in nanoseconds.
    fn ramp_integral(&self, duration: f64) -> f64 {
        let from = self.capacity_share(self.now);
        let Some(slope) = self.ramp_slope() else { return duration };
        let until_warm = ((1.0 - from) / slope).min(duration);
        until_warm * (from + slope * until_warm / 2.0) + (duration - until_warm)
    }

    /// Slope of the warm-up ramp per nanosecond; `None` once warm.
    fn ramp_slope(&self) -> Option<f64> {
        let slope = (1.0 - self.spec.initial_capacity) / self.spec.slow_start_window.max(1) as f64;
        (slope > 0.0 && self.capacity_share(self.now) < 1.0).then_some(slope)
    }

    fn advance_clock(&mut self, now: Nanos) {
        if now <= self.now {
            return;
        }
        let elapsed = (now - self.now) as f64;
        let service_rate = self.service_rate();
        if service_rate > 0.0 {
            self.service_total += service_rate * self.ramp_integral(elapsed);
        }
        self.busy_core_ns += elapsed * (self.cpu_jobs as f64).min(self.spec.cores);
        self.now = now;
        // Reset when idle, to keep the precision of the running total.
        if self.cpu_phase.is_empty() {
            self.service_total = 0.0;
        }
    }

    fn track_cold_work(&mut self, job: &Job) {
        let capacity_share = self.capacity_share(self.now);
        if capacity_share >= 1.0 {
            self.cold_work.clear();
            return;
        }
        let informed = match (job.known_start, self.started_at) {
            (Some(known), Some(started_at)) => known.abs_diff(started_at) < SAME_START_TOLERANCE_NS,
            _ => false,
        };
        self.cold_work.push_back((self.now, job.work, informed));
        let since = self.now.saturating_sub(self.spec.overload_window);
        while self.cold_work.front().is_some_and(|work| work.0 < since) {
            self.cold_work.pop_front();
        }
        let sent: f64 = self.cold_work.iter().map(|work| work.1).sum();
        let window_s = self.spec.overload_window as f64 / SECOND;
        let budget = self.spec.overload_factor * capacity_share * self.capacity() * window_s;
        let limit = if self.spec.mean_work > 0.0 {
            let requests = budget / self.spec.mean_work;
            (requests + 2.0 * requests.sqrt() + 2.0) * self.spec.mean_work
        } else {
            let largest = self.cold_work.iter().map(|work| work.1).fold(0.0, f64::max);
            budget * (1.0 + OVERLOAD_TOLERANCE) + OVERLOAD_TOLERANCE_REQUESTS * largest
        };
        if sent > limit {
            let informed_work: f64 = self.cold_work.iter().filter(|work| work.2).map(|work| work.1).sum();
            self.informed_share = informed_work / sent;
            // The crash is silent: senders get no response for the jobs that it held.
            self.stop(self.now);
            self.crashed = true;
        }
    }

    /// Requests waiting for a core, per core.
    fn queued_per_core(&self) -> f64 {
        let waiting = (self.cpu_jobs + self.queue.len()) as f64 - self.spec.cores;
        waiting.max(0.0) / self.spec.cores
    }

    fn update_overload(&mut self) {
        let Some(congestion) = self.spec.congestion else { return };
        let overloaded = self.queued_per_core() >= congestion.queued_per_core;
        self.overloaded_since = overloaded.then(|| self.overloaded_since.unwrap_or(self.now));
        let utilisation = (self.cpu_jobs as f64 / self.spec.cores).min(1.0);
        let calm = utilisation < congestion.recovery_utilisation;
        self.calm_since = calm.then(|| self.calm_since.unwrap_or(self.now));
    }

    fn update_congestion(&mut self) {
        let Some(congestion) = self.spec.congestion else { return };
        match self.congested_since {
            None => {
                if self.overloaded_since.is_some_and(|since| self.now >= since + congestion.onset) {
                    self.congested_since = Some(self.now);
                }
            }
            Some(since) => {
                let recovered = self.calm_since.is_some_and(|at| self.now >= at + congestion.recovery_time);
                if recovered || self.now >= since + congestion.max_duration {
                    (self.congested_since, self.overloaded_since) = (None, None);
                    self.update_overload();
                }
            }
        }
    }
}
