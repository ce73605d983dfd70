//! Clients: the arrival process, the work of each request, and retries.

use brookfield::Nanos;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

use crate::scenario::{Idempotency, RetryPolicy};
use crate::world::{SECOND, World, rng_stream};

/// Maximum number of times the backoff doubles.
const MAX_DOUBLINGS: u32 = 6;
/// One period of the load wave, in radians.
const WAVE_RADIANS: f64 = std::f64::consts::TAU;

/// A client's request, before its first try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientRequest {
    /// Sequence number, from 0.
    pub number: u64,
    /// When the request is due.
    pub due_at: Nanos,
    /// Zone whose nodes receive it.
    pub zone: u32,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// CPU time on a standard core, in nanoseconds.
    pub work: f64,
    /// Time spent waiting on downstream calls.
    pub io_wait: Nanos,
    /// Whether the client honors `Retry-After`.
    pub honors_retry_after: bool,
}

/// Outcome of one try, as seen by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// Served.
    Served,
    /// Rejected, with the delay of `Retry-After`.
    Rejected(Nanos),
    /// Failed or timed out.
    Failed,
    /// No connection could be established.
    Unreachable,
}

/// An endless stream of client requests. The load can be changed while it runs.
pub struct RequestGenerator {
    rng: ChaCha12Rng,
    zone: Option<u32>,
    work_spread: Vec<Option<LogNormal<f64>>>,
    class_shares: Vec<f64>,
    tenant_shares: Vec<f64>,
    tenant_factors: Vec<f64>,
    load_factor: f64,
    next_number: u64,
    last_due_at: Nanos,
}

fn pick_weighted(shares: &[f64], draw: f64) -> usize {
    let mut remaining = draw * shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return index;
        }
    }
    shares.len().saturating_sub(1)
}

impl RequestGenerator {
    /// Creates the stream of all clients, from `start` on.
    pub fn new(world: &World, start: Nanos) -> Self {
        Self::with_stream(world, start, 10, None)
    }

    /// Creates the stream of one zone's clients. The streams of all zones add up to the whole load.
    pub fn for_zone(world: &World, zone: u32, start: Nanos) -> Self {
        Self::with_stream(world, start, 20 + u64::from(zone), Some(zone))
    }

    fn with_stream(world: &World, start: Nanos, number: u64, zone: Option<u32>) -> Self {
        // Log-normal distribution with mean 1 and the given coefficient of variation.
        let spread = |cv: f64| {
            let variance = (1.0 + cv * cv).ln();
            LogNormal::new(-variance / 2.0, variance.sqrt()).ok().filter(|_| cv > 0.0)
        };
        Self {
            rng: rng_stream(world.seed, number),
            zone,
            work_spread: world.classes.iter().map(|class| spread(class.cv)).collect(),
            class_shares: world.classes.iter().map(|class| class.share).collect(),
            tenant_shares: world.tenants.iter().map(|tenant| tenant.load_share).collect(),
            tenant_factors: vec![1.0; world.tenants.len()],
            load_factor: 1.0,
            next_number: 0,
            last_due_at: start,
        }
    }

    /// Multiplies the load by `factor` from now on.
    pub fn set_load_factor(&mut self, factor: f64) {
        self.load_factor = factor;
    }

    /// Multiplies the load of a tenant by `factor` from now on.
    pub fn set_tenant_factor(&mut self, tenant: usize, factor: f64) {
        self.tenant_factors.get_mut(tenant).into_iter().for_each(|tenant_factor| *tenant_factor = factor);
    }

    /// Arrival rate at time `at`, in requests per second.
    pub fn rate(&self, world: &World, at: Nanos) -> f64 {
        let phase = at as f64 / world.load.wave_period.max(1) as f64 * WAVE_RADIANS;
        let tenant_sum: f64 =
            self.tenant_shares.iter().zip(&self.tenant_factors).map(|(share, factor)| share * factor).sum();
        let tenant_factor = if self.tenant_shares.is_empty() { 1.0 } else { tenant_sum };
        let zone_share = self.zone.map_or(1.0, |zone| world.load.zone_shares[zone as usize]);
        zone_share
            * world.load.rps
            * self.load_factor
            * tenant_factor
            * (1.0 + world.load.wave_amplitude * phase.sin())
    }

    /// Draws the next request. Arrivals form a Poisson process with the rate at the time of the previous one.
    pub fn next(&mut self, world: &World) -> ClientRequest {
        let rate = self.rate(world, self.last_due_at).max(1e-3);
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.last_due_at += (gap / rate * SECOND as f64) as Nanos + 1;
        let class = pick_weighted(&self.class_shares, self.rng.random());
        let tenant = (!self.tenant_shares.is_empty()).then(|| {
            let shares: Vec<f64> = self
                .tenant_shares
                .iter()
                .zip(&self.tenant_factors)
                .map(|(share, factor)| share * factor)
                .collect();
            pick_weighted(&shares, self.rng.random())
        });
        let class_info = &world.classes[class];
        let spread = self.work_spread[class].map_or(1.0, |spread| spread.sample(&mut self.rng));
        let number = self.next_number;
        self.next_number += 1;
        ClientRequest {
            number,
            due_at: self.last_due_at,
            zone: self
                .zone
                .unwrap_or_else(|| pick_weighted(&world.load.zone_shares, self.rng.random()) as u32),
            class,
            tenant,
            work: (class_info.work * spread).max(1.0),
            io_wait: class_info.io_wait,
            honors_retry_after: self.rng.random::<f64>() < world.load.retry_after_share,
        }
    }
}

/// When a client retries after a try, or `None` if it gives up. `try_number` is the number of tries before this
/// one, `now` the time at which the client saw it end.
pub fn next_retry(
    world: &World,
    request: &ClientRequest,
    try_number: u32,
    outcome: TryOutcome,
    now: Nanos,
    rng: &mut impl Rng,
) -> Option<Nanos> {
    let load = &world.load;
    let class = &world.classes[request.class];
    // Requests that may have run are retried only if repeating is safe.
    let is_safe = match outcome {
        TryOutcome::Served => return None,
        TryOutcome::Rejected(_) | TryOutcome::Unreachable => true,
        TryOutcome::Failed => class.idempotency == Idempotency::Idempotent,
    };
    if !is_safe || try_number >= load.max_retries || load.retry_policy == RetryPolicy::Never {
        return None;
    }
    let wait = match load.retry_policy {
        RetryPolicy::Never | RetryPolicy::Immediate => 0,
        RetryPolicy::Backoff => {
            let backoff = load.backoff << try_number.min(MAX_DOUBLINGS);
            (backoff as f64 * (0.5 + rng.random::<f64>())) as Nanos
        }
    };
    let retry_after = match outcome {
        TryOutcome::Rejected(retry_after) if request.honors_retry_after => retry_after,
        _ => 0,
    };
    let at = now.saturating_add(wait.max(retry_after));
    (at < request.due_at.saturating_add(class.deadline)).then_some(at)
}

/// How long a client waits for a try that starts at `now`.
pub fn try_timeout(world: &World, request: &ClientRequest, now: Nanos) -> Nanos {
    let class = &world.classes[request.class];
    let remaining = request.due_at.saturating_add(class.deadline).saturating_sub(now);
    remaining.min((class.deadline as f64 * world.load.try_timeout_share) as Nanos)
}
