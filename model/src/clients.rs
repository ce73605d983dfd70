//! The clients: when which request comes, how much work it is, and whether and when a client comes again.

use brookfield::Nanos;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

use crate::scenario::{Idempotency, RetryPolicy};
use crate::world::{SECOND, World, rng_stream};

/// Times that a client's wait doubles at most.
const MOST_DOUBLINGS: u32 = 6;
/// One wave of the load, in radians.
const TURN: f64 = std::f64::consts::TAU;

/// A client's request, before its first try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its number, from 0.
    pub number: u64,
    /// When it is due.
    pub due_at: Nanos,
    /// The zone whose nodes it comes to.
    pub zone: u32,
    /// Its class.
    pub class: usize,
    /// Whose it is.
    pub tenant: Option<usize>,
    /// Work on a standard core, in nanoseconds.
    pub work: f64,
    /// Waits on others.
    pub io_wait: Nanos,
    /// Whether its client heeds `Retry-After`.
    pub honors_retry_after: bool,
}

/// How a try ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// Served.
    Served,
    /// Refused, with the pause that was advised.
    Rejected(Nanos),
    /// Failed, or given up.
    Failed,
    /// No connection came about: nobody took it.
    Unreachable,
}

/// An endless stream of requests, by the world's load. What is asked for can be changed while it runs.
pub struct RequestGenerator {
    rng: ChaCha12Rng,
    zone: Option<u32>,
    work: Vec<Option<LogNormal<f64>>>,
    classes: Vec<f64>,
    tenants: Vec<f64>,
    floods: Vec<f64>,
    burst: f64,
    next: u64,
    at: Nanos,
}

fn pick_weighted(shares: &[f64], draw: f64) -> usize {
    let mut left = draw * shares.iter().sum::<f64>();
    for (at, share) in shares.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return at;
        }
    }
    shares.len().saturating_sub(1)
}

impl RequestGenerator {
    /// All clients, from this time on.
    pub fn new(world: &World, start: Nanos) -> Self {
        Self::with_stream(world, start, 10, None)
    }

    /// Those of one zone, apart from all others: together they ask for what all do.
    pub fn for_zone(world: &World, zone: u32, start: Nanos) -> Self {
        Self::with_stream(world, start, 20 + u64::from(zone), Some(zone))
    }

    fn with_stream(world: &World, start: Nanos, number: u64, zone: Option<u32>) -> Self {
        // A log-normal distribution of mean 1 with this coefficient of variation.
        let spread = |cv: f64| {
            let variance = (1.0 + cv * cv).ln();
            LogNormal::new(-variance / 2.0, variance.sqrt()).ok().filter(|_| cv > 0.0)
        };
        Self {
            rng: rng_stream(world.seed, number),
            zone,
            work: world.classes.iter().map(|class| spread(class.cv)).collect(),
            classes: world.classes.iter().map(|class| class.share).collect(),
            tenants: world.tenants.iter().map(|tenant| tenant.load_share).collect(),
            floods: vec![1.0; world.tenants.len()],
            burst: 1.0,
            next: 0,
            at: start,
        }
    }

    /// From now on this many times as much is asked for.
    pub fn set_load_factor(&mut self, factor: f64) {
        self.burst = factor;
    }

    /// From now on a tenant asks for this many times as much.
    pub fn set_tenant_factor(&mut self, tenant: usize, factor: f64) {
        self.floods.get_mut(tenant).into_iter().for_each(|flood| *flood = factor);
    }

    /// Requests a second at a time.
    pub fn rate(&self, world: &World, at: Nanos) -> f64 {
        let phase = at as f64 / world.load.wave_period.max(1) as f64 * TURN;
        let tenants: f64 = self.tenants.iter().zip(&self.floods).map(|(part, flood)| part * flood).sum();
        let flooded = if self.tenants.is_empty() { 1.0 } else { tenants };
        let part = self.zone.map_or(1.0, |zone| world.load.zone_shares[zone as usize]);
        part * world.load.rps * self.burst * flooded * (1.0 + world.load.wave_amplitude * phase.sin())
    }

    /// The next request. Arrivals are a Poisson process whose rate is that of the last one's time.
    pub fn next(&mut self, world: &World) -> ClientRequest {
        let rate = self.rate(world, self.at).max(1e-3);
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.at += (gap / rate * SECOND as f64) as Nanos + 1;
        let class = pick_weighted(&self.classes, self.rng.random());
        let tenant = (!self.tenants.is_empty()).then(|| {
            let parts: Vec<f64> = self.tenants.iter().zip(&self.floods).map(|(part, f)| part * f).collect();
            pick_weighted(&parts, self.rng.random())
        });
        let info = &world.classes[class];
        let spread = self.work[class].map_or(1.0, |spread| spread.sample(&mut self.rng));
        let number = self.next;
        self.next += 1;
        ClientRequest {
            number,
            due_at: self.at,
            zone: self
                .zone
                .unwrap_or_else(|| pick_weighted(&world.load.zone_shares, self.rng.random()) as u32),
            class,
            tenant,
            work: (info.work * spread).max(1.0),
            io_wait: info.io_wait,
            honors_retry_after: self.rng.random::<f64>() < world.load.retry_after_share,
        }
    }
}

/// When a client comes again after the try with this number, from 0; none if it does not. `now` is when it saw the
/// try end, and `deadline` when its time over all tries is up.
pub fn next_retry(
    world: &World,
    ask: &ClientRequest,
    tries: u32,
    seen: TryOutcome,
    now: Nanos,
    rng: &mut impl Rng,
) -> Option<Nanos> {
    let load = &world.load;
    let class = &world.classes[ask.class];
    // What may have run is not asked for again, unless that is safe.
    let safe = match seen {
        TryOutcome::Served => return None,
        TryOutcome::Rejected(_) | TryOutcome::Unreachable => true,
        TryOutcome::Failed => class.idempotency == Idempotency::Idempotent,
    };
    if !safe || tries >= load.max_retries || load.retry_policy == RetryPolicy::Never {
        return None;
    }
    let wait = match load.retry_policy {
        RetryPolicy::Never | RetryPolicy::Immediate => 0,
        RetryPolicy::Backoff => {
            let doubled = load.backoff << tries.min(MOST_DOUBLINGS);
            (doubled as f64 * (0.5 + rng.random::<f64>())) as Nanos
        }
    };
    let advised = match seen {
        TryOutcome::Rejected(pause) if ask.honors_retry_after => pause,
        _ => 0,
    };
    let at = now.saturating_add(wait.max(advised));
    (at < ask.due_at.saturating_add(class.deadline)).then_some(at)
}

/// How long a client waits for a try that begins now.
pub fn try_timeout(world: &World, ask: &ClientRequest, now: Nanos) -> Nanos {
    let class = &world.classes[ask.class];
    let left = ask.due_at.saturating_add(class.deadline).saturating_sub(now);
    left.min((class.deadline as f64 * world.load.try_timeout_share) as Nanos)
}
