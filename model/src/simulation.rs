//! A whole fleet in virtual time: all zones side by side, the same to the bit for the same plan and seed, on however
//! many threads.

use std::collections::BTreeMap;
use std::sync::{Arc, Barrier, Mutex, PoisonError};
use std::thread;

use brookfield::Nanos;

use crate::balancers::{BalancerSet, LocalBalancers};
use crate::invariants::InvariantChecker;
use crate::scenario::Scenario;
use crate::shard::{ANSWER_SLACK, OutgoingEvent, Shard, SharedState};
use crate::stats::RunStats;
use crate::timeline::Timeline;
use crate::world::{SECOND, World};

/// Virtual time starts here: long enough after 0 that servers may have started before.
const START: Nanos = 1_000 * SECOND;

/// How a plan is played.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// For how long requests come.
    pub load_duration: Nanos,
    /// Nodes handle what has come in once in so long; 0 for at once.
    pub tick: Nanos,
    /// Threads to play on, at most one for each zone.
    pub threads: usize,
}

/// What a run came to.
pub struct SimulationResult {
    /// The world that was played.
    pub world: World,
    /// Counts, worth and delays.
    pub stats: RunStats,
    /// What was checked.
    pub invariants: InvariantChecker,
    /// Events that were played.
    pub events: u64,
    /// Servers that were up at the end, and those of them that crowding had turned slow.
    pub servers_up: (usize, usize),
}

impl SimulationResult {
    /// The figures by name, the unit in the name.
    pub fn measures(&self) -> BTreeMap<String, f64> {
        self.stats.measures(&self.world, 0)
    }

    /// A number that tells whether two runs were the same.
    pub fn fingerprint(&self) -> u64 {
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        let mut mix = |value: u64| {
            hash = (hash ^ value).wrapping_mul(0x0100_0000_01b3);
        };
        mix(self.events);
        for second in &self.stats.per_second {
            for count in [second.requests, second.in_time, second.late, second.rejected, second.failed] {
                mix(count);
            }
        }
        for step in self.stats.total_latency.iter_recorded() {
            mix(step.value_iterated_to());
            mix(step.count_since_last_iteration());
        }
        [self.stats.tries, self.stats.attempts, self.stats.cross_zone_attempts].into_iter().for_each(mix);
        hash
    }
}

/// Plays a checked plan on this build's own decisions.
pub fn simulate(plan: &Scenario, seed: u64, options: SimulationOptions) -> Result<SimulationResult, String> {
    simulate_with(plan, seed, options, |_| Ok(Box::<LocalBalancers>::default()))
}

/// Plays a checked plan, with the decisions that `module` makes for each zone.
pub fn simulate_with(
    plan: &Scenario,
    seed: u64,
    options: SimulationOptions,
    mut balancers: impl FnMut(u32) -> Result<Box<dyn BalancerSet>, String>,
) -> Result<SimulationResult, String> {
    let world = World::sample(plan, seed);
    let timeline = Timeline::new(&world, START);
    let end = START + options.load_duration;
    let longest = world.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let stop = end + longest + ANSWER_SLACK + SECOND;
    // No message between zones is faster than this.
    let zones = world.zones.len() as u32;
    let lookahead = if zones > 1 { world.cross_zone_delay.max(1) } else { stop };
    let common = Arc::new(SharedState { world, timeline, tick: options.tick, end });
    let mut shards = Vec::new();
    for zone in 0..zones {
        shards.push(Shard::new(common.clone(), zone, balancers(zone)?));
    }
    let shards = run_shards(shards, lookahead, stop, options.threads.clamp(1, zones as usize));
    let mut merged: Option<(RunStats, InvariantChecker)> = None;
    let (mut events, mut servers_up) = (0, (0, 0));
    for shard in shards {
        if let Some(problem) = shard.error {
            return Err(problem);
        }
        events += shard.events_processed;
        let (up, congested) = shard.servers_up();
        servers_up = (servers_up.0 + up, servers_up.1 + congested);
        match merged.as_mut() {
            None => merged = Some((shard.stats, shard.invariants)),
            Some((tally, ledger)) => {
                tally.merge(&shard.stats);
                ledger.merge(&shard.invariants);
            }
        }
    }
    let (tally, ledger) = merged.ok_or("no zone")?;
    Ok(SimulationResult { world: common.world.clone(), stats: tally, invariants: ledger, events, servers_up })
}

/// Plays all zones in spans no longer than a message between them takes.
fn run_shards(mut shards: Vec<Shard>, lookahead: Nanos, stop: Nanos, threads: usize) -> Vec<Shard> {
    if threads <= 1 {
        while let Some(from) = shards.iter().filter_map(Shard::next_event_at).min().filter(|at| *at < stop) {
            let until = (from + lookahead).min(stop);
            let mut mail: Vec<Vec<OutgoingEvent>> = Vec::new();
            for shard in &mut shards {
                shard.run_until(until);
                mail.push(std::mem::take(&mut shard.outbox));
            }
            for mail in mail.into_iter().flatten() {
                shards[mail.zone as usize].schedule_remote(mail.at, mail.event);
            }
            if shards.iter().any(|shard| shard.error.is_some()) {
                break;
            }
        }
        return shards;
    }
    let zones = shards.len();
    let barrier = Barrier::new(threads);
    let outboxes: Vec<Mutex<Vec<OutgoingEvent>>> = (0..zones).map(|_| Mutex::default()).collect();
    let next: Vec<Mutex<Option<Nanos>>> =
        shards.iter().map(|shard| Mutex::new(shard.next_event_at())).collect();
    let mut assignments: Vec<Vec<(usize, Shard)>> = (0..threads).map(|_| Vec::new()).collect();
    for (zone, shard) in shards.into_iter().enumerate() {
        assignments[zone % threads].push((zone, shard));
    }
    let worker = |mut own: Vec<(usize, Shard)>| {
        loop {
            let from = next.iter().filter_map(|at| *at.lock().unwrap_or_else(PoisonError::into_inner)).min();
            // All hands have read the same before any of them plays on.
            barrier.wait();
            let Some(from) = from.filter(|at| *at < stop) else { return own };
            let until = (from + lookahead).min(stop);
            for (zone, shard) in &mut own {
                shard.run_until(until);
                *outboxes[*zone].lock().unwrap_or_else(PoisonError::into_inner) =
                    std::mem::take(&mut shard.outbox);
            }
            barrier.wait();
            for (zone, shard) in &mut own {
                for sender in &outboxes {
                    let mut mail = sender.lock().unwrap_or_else(PoisonError::into_inner);
                    for mail in mail.extract_if(.., |mail| mail.zone as usize == *zone) {
                        shard.schedule_remote(mail.at, mail.event);
                    }
                }
                let at = if shard.error.is_some() { Some(stop) } else { shard.next_event_at() };
                *next[*zone].lock().unwrap_or_else(PoisonError::into_inner) = at;
            }
            barrier.wait();
        }
    };
    let mut done: Vec<(usize, Shard)> = thread::scope(|scope| {
        let running: Vec<_> = assignments.into_iter().map(|own| scope.spawn(|| worker(own))).collect();
        running.into_iter().filter_map(|hand| hand.join().ok()).flatten().collect()
    });
    done.sort_by_key(|(zone, _)| *zone);
    done.into_iter().map(|(_, shard)| shard).collect()
}
