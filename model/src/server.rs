//! One app server: cores, speed, slots, a waiting room, a cold start, crowding, and what a fault does to them.
//!
//! A request computes first and then waits on others, holding a slot for both. All that compute share the cores
//! evenly. Between two events every request that computes gets the same service, so one running total of it
//! (`served`) is enough: a request is done computing when the total has grown by its work. Not modelled here: what
//! a request's effect is, and who may send it; that is for the driver and the [`ledger`](crate::invariants).

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use brookfield::Nanos;

use crate::ordered::TotalF64;

const SECOND: f64 = 1e9;
/// Share of a cold budget that may be overdrawn, and requests beyond it: sends come by chance.
const OVERLOAD_TOLERANCE: f64 = 0.1;
const OVERLOAD_TOLERANCE_REQUESTS: f64 = 1.0;
/// Whoever sent more than this part of what pushed a cold server over has done it.
const RESPONSIBLE_SHARE: f64 = 2.0 / 3.0;
/// Two words of a start are of the same one if they differ by less: the rig's clock and the list's are read apart.
const SAME_START_TOLERANCE_NS: Nanos = 500_000_000;
/// Weight of the latest refresh in the reported utilisation.
const UTILIZATION_WEIGHT: f64 = 0.5;

/// What happens to work whose attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelPolicy {
    /// It goes on.
    Ignore,
    /// What has not begun is dropped; running work goes on.
    DropQueued,
}

/// How a crowded server turns slow, and what ends that.
#[derive(Clone, Copy, Debug)]
pub struct Congestion {
    /// Requests that wait for a core, for each core, from which on it is crowded.
    pub queued_per_core: f64,
    /// How long it has to be crowded, in nanoseconds.
    pub onset: Nanos,
    /// It turns this many times slower.
    pub slowdown: f64,
    /// It recovers once its busy share has been below this ...
    pub recovery_utilization: f64,
    /// ... for so long, in nanoseconds, ...
    pub recovery_time: Nanos,
    /// ... or after this time at the latest.
    pub max_duration: Nanos,
}

/// How load is reported.
#[derive(Clone, Copy, Debug)]
pub struct LoadReporting {
    /// Between two refreshes, in nanoseconds.
    pub period: Nanos,
    /// A figure is told this long after its refresh, in nanoseconds.
    pub delay: Nanos,
    /// Relative spread of the noise on it.
    pub noise: f64,
}

/// What a server is.
#[derive(Clone, Copy, Debug)]
pub struct ServerSpec {
    /// Its zone, by position.
    pub zone: u32,
    /// The group whose members share the keys that they have seen.
    pub cell: u64,
    /// Its machine kind, by position.
    pub kind: u32,
    /// How many requests compute at full speed.
    pub cores: f64,
    /// Of a core against the standard one.
    pub speed: f64,
    /// Requests in work at a time.
    pub concurrency: usize,
    /// Requests that wait for a slot; more are turned away.
    pub queue_capacity: usize,
    /// Loss of efficiency for each further `thrash_at` requests held for each core.
    pub thrash: f64,
    /// Requests held for each core up to which none is lost.
    pub thrash_at: f64,
    /// Share of its capacity that it starts with.
    pub initial_capacity: f64,
    /// It is warm so long after its start, in nanoseconds.
    pub slow_start_window: Nanos,
    /// Share of its requests that fail by themselves.
    pub error_rate: f64,
    /// What a cancel does.
    pub cancel_policy: CancelPolicy,
    /// Whether what its client has given up is dropped before it begins.
    pub drops_expired: bool,
    /// Most connections.
    pub max_connections: usize,
    /// Work of a new one on a standard core, in nanoseconds.
    pub handshake_work: f64,
    /// Share of the capacity that a full table of connections takes.
    pub connection_overhead: f64,
    /// Whether and how crowding turns it slow.
    pub congestion: Option<Congestion>,
    /// A cold one sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... over this span, in nanoseconds, falls over.
    pub overload_window: Nanos,
    /// Mean work of a request, in nanoseconds: with N of these in that budget it falls at more than N + 2 x root of
    /// N + 2 of them, since sends come by chance. At 0 it falls a tenth and one request past the budget.
    pub mean_work: f64,
    /// Load reports, if there are any.
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

/// What a fault does to a server while it lasts. Neutral by default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerFault {
    /// Runs this many times slower.
    pub slowdown: f64,
    /// Share of the machine that another program takes.
    pub stolen_cpu: f64,
    /// Takes requests and answers none.
    pub hung: bool,
    /// Share of the requests that fail at once.
    pub failure_rate: f64,
}

impl Default for ServerFault {
    fn default() -> Self {
        Self { slowdown: 1.0, stolen_cpu: 0.0, hung: false, failure_rate: 0.0 }
    }
}

/// A request as a server sees it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The driver's number for it, unique among those that this server holds.
    pub id: u64,
    /// Whom its answer is for, as the driver knows it.
    pub sender: u32,
    /// To compute, on a standard core, in nanoseconds.
    pub work: f64,
    /// To wait on others after that, in nanoseconds.
    pub io_wait: Nanos,
    /// When its client gives it up.
    pub not_after: Nanos,
    /// A draw from 0 to 1 that decides whether it fails.
    pub failure_draw: f64,
    /// The server's last start, as its sender has been told of it.
    pub known_start: Option<Nanos>,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// It ran, and is answered.
    Served,
    /// It failed; it may have run.
    Error,
    /// It was dropped before it began: it never ran.
    Dropped,
}

/// Whether a request was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs, or waits for a slot.
    Accepted,
    /// Turned away: it never ran.
    Full,
    /// It failed at once; it may have run.
    Failed,
    /// Its process is down: nobody answers.
    Down,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    OnCpu,
    Waiting,
}

/// A server's state. Every call is given the present; a time before the last one counts as that.
pub struct Server {
    spec: ServerSpec,
    fault: ServerFault,
    now: Nanos,
    up: bool,
    /// Since when it has been up, unless it was warm from the beginning.
    started_at: Option<Nanos>,
    /// Service that each request that computes has got so far, in nanoseconds of a standard core.
    service_total: f64,
    jobs: HashMap<u64, (Job, Stage)>,
    cpu_phase: BinaryHeap<Reverse<(TotalF64, u64)>>,
    cpu_jobs: usize,
    wait_phase: BinaryHeap<Reverse<(Nanos, u64)>>,
    queue: VecDeque<u64>,
    slots_in_use: usize,
    connections: usize,
    /// Work sent while cold, by time, and whether its sender knew of the start; the sum within the span decides
    /// whether it falls over.
    cold_work: VecDeque<(Nanos, f64, bool)>,
    crashed: bool,
    /// Part of the work that pushed it over which came from senders that knew of its start.
    informed_share: f64,
    overloaded_since: Option<Nanos>,
    congested_since: Option<Nanos>,
    calm_since: Option<Nanos>,
    /// Core-nanoseconds in use since the last refresh of the report.
    busy_core_ns: f64,
    sampled_at: Nanos,
    util: f64,
    reported_util: Option<(f64, Nanos, f64)>,
    epoch: u64,
}

impl Server {
    /// A server that is up and warm.
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

    /// What it is.
    pub fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Whether it fell over while cold: it stays down until it is started again.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// Whether it was pushed over by those who had been told of its start: over two thirds of the work came from them.
    pub fn overloaded_by_informed_senders(&self) -> bool {
        self.crashed && self.informed_share > RESPONSIBLE_SHARE
    }

    /// Whether crowding has turned it slow.
    pub fn is_congested(&self) -> bool {
        self.congested_since.is_some()
    }

    /// Since when it has been up; none if it was warm from the beginning.
    pub fn started_at(&self) -> Option<Nanos> {
        self.started_at
    }

    /// Requests that it holds.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Changes at each stop and start: what was out on an earlier life is dead.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Its process ends, and with it all that it held: these, in the order of their numbers.
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

    /// A process starts, cold or not. What the last one held is lost.
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

    /// Begins or ends a fault.
    pub fn set_fault(&mut self, now: Nanos, fault: ServerFault) {
        self.advance_clock(now);
        self.fault = fault;
    }

    /// The fault that it has.
    pub fn fault(&self) -> ServerFault {
        self.fault
    }

    /// Share of its capacity that it has by now.
    pub fn capacity_share(&self, now: Nanos) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = now.saturating_sub(started_at) as f64 / self.spec.slow_start_window.max(1) as f64;
        (self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * progress).min(1.0)
    }

    /// A connection comes in; false where its table is full or its process down.
    pub fn connect(&mut self, now: Nanos) -> bool {
        self.advance_clock(now);
        let accepted = self.up && self.connections < self.spec.max_connections;
        self.connections += usize::from(accepted);
        accepted
    }

    /// A connection has ended.
    pub fn disconnect(&mut self, now: Nanos) {
        self.advance_clock(now);
        self.connections = self.connections.saturating_sub(1);
    }

    /// Whether a request with this luck would be answered, if it needed no work: so a repeat that its group knows is.
    pub fn would_respond(&self, luck: f64) -> bool {
        self.up && !self.crashed && !self.fault.hung && luck >= self.fault.failure_rate
    }

    /// A request comes in, on a new connection or one that was there.
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

    /// The attempt was withdrawn. Whether its work was dropped before it began.
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

    /// When something next happens here by itself.
    pub fn next_event(&self) -> Option<Nanos> {
        if !self.up {
            return None;
        }
        let wait_end = self.wait_phase.peek().map(|Reverse((at, _))| *at).filter(|_| !self.fault.hung);
        let congestion = self.spec.congestion.and_then(|congestion| match self.congested_since {
            None => self.overloaded_since.map(|since| since + congestion.onset),
            Some(since) => Some(
                (since + congestion.max_duration)
                    .min(self.calm_since.map_or(Nanos::MAX, |at| at + congestion.recovery_time)),
            ),
        });
        let next = [self.cpu_phase_end(), wait_end, congestion].into_iter().flatten().min()?;
        Some(next.max(self.now))
    }

    /// Lets time pass and tells what has ended by then, in order.
    pub fn advance(&mut self, now: Nanos, ended: &mut Vec<(Job, JobOutcome)>) {
        while let Some(next) = self.next_event().filter(|next| *next <= now) {
            self.advance_clock(next);
            self.process_due(ended);
        }
        self.advance_clock(now);
    }

    /// Share of its cores in use as it is reported now, and never sooner than its delay tells. `noise` is a draw
    /// from the standard normal distribution.
    pub fn report(&mut self, now: Nanos, noise: f64) -> Option<f64> {
        let reporting = self.spec.reporting?;
        self.advance_clock(now);
        let elapsed = now.saturating_sub(self.sampled_at);
        if elapsed >= reporting.period {
            let sample = (self.busy_core_ns / (elapsed as f64 * self.spec.cores)).min(1.0);
            let previous = self.util;
            self.util += (sample - self.util) * UTILIZATION_WEIGHT;
            let noisy = (self.util * (1.0 + reporting.noise * noise)).clamp(0.0, 1.5);
            self.reported_util = Some((previous, now + reporting.delay, noisy));
            (self.busy_core_ns, self.sampled_at) = (0.0, now);
        }
        self.reported_util.map(|(before, from, after)| if now >= from { after } else { before })
    }

    /// Work that it could do in a second at full size, on a standard core, in nanoseconds.
    pub fn capacity(&self) -> f64 {
        self.spec.cores * self.spec.speed * SECOND
    }

    fn start_job(&mut self, job: Job) {
        self.slots_in_use += 1;
        self.cpu_jobs += 1;
        self.cpu_phase.push(Reverse((TotalF64(self.service_total + job.work.max(1.0)), job.id)));
        self.jobs.insert(job.id, (job, Stage::OnCpu));
    }

    /// Whatever is due at the present moment.
    fn process_due(&mut self, ended: &mut Vec<(Job, JobOutcome)>) {
        if let Some(&Reverse((target, id))) = self.cpu_phase.peek()
            && self.cpu_phase_end().is_some_and(|at| at <= self.now)
        {
            // Rounding may leave a hair's breadth: the total is what the request was waiting for.
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

    /// The request that has waited on others long enough by now. One that hangs answers none.
    fn finished_wait(&self) -> Option<u64> {
        let Reverse((at, id)) = self.wait_phase.peek()?;
        (*at <= self.now && !self.fault.hung).then_some(*id)
    }

    /// Service a second of real time that each computing request gets at full warmth; 0 while it hangs.
    fn service_rate(&self) -> f64 {
        if !self.up || self.fault.hung || self.cpu_jobs == 0 {
            return 0.0;
        }
        let jobs_per_core = self.jobs.len() as f64 / self.spec.cores;
        let excess = (jobs_per_core / self.spec.thrash_at.max(1e-9) - 1.0).max(0.0);
        let connection_share = self.connections as f64 / self.spec.max_connections.max(1) as f64;
        let congestion = match (self.congested_since, self.spec.congestion) {
            (Some(_), Some(choke)) => choke.slowdown,
            _ => 1.0,
        };
        let efficiency = (1.0 - self.spec.connection_overhead * connection_share)
            * (1.0 - self.fault.stolen_cpu)
            / ((1.0 + self.spec.thrash * excess) * congestion * self.fault.slowdown);
        let share = (self.spec.cores / self.cpu_jobs as f64).min(1.0);
        self.spec.speed * efficiency * share
    }

    /// When the next request is done computing.
    fn cpu_phase_end(&self) -> Option<Nanos> {
        let Reverse((target, _)) = self.cpu_phase.peek()?;
        let rate = self.service_rate();
        if rate <= 0.0 {
            return None;
        }
        let service = (target.0 - self.service_total).max(0.0) / rate;
        Some(self.now.saturating_add(self.ramp_time(service).ceil() as Nanos))
    }

    /// How long it takes from now on until the ramp's integral is this, in nanoseconds.
    fn ramp_time(&self, wanted: f64) -> f64 {
        let (from, ramp) = (self.capacity_share(self.now), self.ramp_slope());
        let Some(slope) = ramp else { return wanted };
        let until_warm = (1.0 - from) / slope;
        let integral_until_warm = until_warm * (from + 1.0) / 2.0;
        if wanted >= integral_until_warm {
            return until_warm + (wanted - integral_until_warm);
        }
        // from * t + slope * t * t / 2 = wanted
        ((from * from + 2.0 * slope * wanted).sqrt() - from) / slope
    }

    /// The ramp's integral over a span from now on, in nanoseconds.
    fn ramp_integral(&self, span: f64) -> f64 {
        let from = self.capacity_share(self.now);
        let Some(slope) = self.ramp_slope() else { return span };
        let until_warm = ((1.0 - from) / slope).min(span);
        until_warm * (from + slope * until_warm / 2.0) + (span - until_warm)
    }

    /// What the ramp gains in a nanosecond; none once it is warm.
    fn ramp_slope(&self) -> Option<f64> {
        let gain = (1.0 - self.spec.initial_capacity) / self.spec.slow_start_window.max(1) as f64;
        (gain > 0.0 && self.capacity_share(self.now) < 1.0).then_some(gain)
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
        // The total is a difference of ever larger figures: idle, it starts anew.
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
            // What it held is lost without a word: the machine is gone, and its peers notice by themselves.
            self.stop(self.now);
            self.crashed = true;
        }
    }

    /// Requests that wait for a core, for each core.
    fn queued_per_core(&self) -> f64 {
        let waiting = (self.cpu_jobs + self.queue.len()) as f64 - self.spec.cores;
        waiting.max(0.0) / self.spec.cores
    }

    fn update_overload(&mut self) {
        let Some(congestion) = self.spec.congestion else { return };
        let overloaded = self.queued_per_core() >= congestion.queued_per_core;
        self.overloaded_since = overloaded.then(|| self.overloaded_since.unwrap_or(self.now));
        let busy = (self.cpu_jobs as f64 / self.spec.cores).min(1.0);
        let calm = busy < congestion.recovery_utilization;
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
