//! Simulation of a whole fleet in virtual time. Zones run in parallel; the result is bit-identical for the
//! same scenario and seed on any number of threads.

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

/// Start of virtual time, far enough from 0 for servers to have started earlier.
const START: Nanos = 1_000 * SECOND;

/// Options of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// How long requests arrive.
    pub load_duration: Nanos,
    /// Interval at which nodes handle events in batches; 0 to handle each one immediately.
    pub tick: Nanos,
    /// Number of threads, at most one per zone.
    pub threads: usize,
}

/// Result of a simulation.
pub struct SimulationResult {
    /// The simulated world.
    pub world: World,
    /// Statistics.
    pub stats: RunStats,
    /// Results of the checks.
    pub invariants: InvariantChecker,
    /// Number of events processed.
    pub events: u64,
    /// Servers up at the end, and those of them slowed down by congestion.
    pub servers_up: (usize, usize),
}

impl SimulationResult {
    /// Measures by name, with the unit in the name.
    pub fn measures(&self) -> BTreeMap<String, f64> {
        self.stats.measures(&self.world, 0)
    }

    /// Hash of the result, to compare two runs.
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
        for bucket in self.stats.overall_latency.iter_recorded() {
            mix(bucket.value_iterated_to());
            mix(bucket.count_since_last_iteration());
        }
        [self.stats.tries, self.stats.attempts, self.stats.cross_zone_attempts].into_iter().for_each(mix);
        hash
    }
}

/// Simulates a validated scenario with the load balancers of this build.
pub fn simulate(
    scenario: &Scenario,
    seed: u64,
    options: SimulationOptions,
) -> Result<SimulationResult, String> {
    simulate_with(scenario, seed, options, |_| Ok(Box::<LocalBalancers>::default()))
}

/// Simulates a validated scenario with the load balancers that `balancers` creates for each zone.
pub fn simulate_with(
    scenario: &Scenario,
    seed: u64,
    options: SimulationOptions,
    mut balancers: impl FnMut(u32) -> Result<Box<dyn BalancerSet>, String>,
) -> Result<SimulationResult, String> {
    let world = World::sample(scenario, seed);
    let timeline = Timeline::new(&world, START);
    let end = START + options.load_duration;
    let max_deadline = world.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let stop = end + max_deadline + ANSWER_SLACK + SECOND;
    // Lower bound of the delay of messages between zones.
    let zones = world.zones.len() as u32;
    let lookahead = if zones > 1 { world.cross_zone_delay.max(1) } else { stop };
    let shared = Arc::new(SharedState { world, timeline, tick: options.tick, end });
    let mut shards = Vec::new();
    for zone in 0..zones {
        shards.push(Shard::new(shared.clone(), zone, balancers(zone)?));
    }
    let shards = run_shards(shards, lookahead, stop, options.threads.clamp(1, zones as usize));
    let mut merged: Option<(RunStats, InvariantChecker)> = None;
    let (mut events, mut servers_up) = (0, (0, 0));
    for shard in shards {
        if let Some(error) = shard.error {
            return Err(error);
        }
        events += shard.events_processed;
        let (up, congested) = shard.servers_up();
        servers_up = (servers_up.0 + up, servers_up.1 + congested);
        match merged.as_mut() {
            None => merged = Some((shard.stats, shard.invariants)),
            Some((stats, invariants)) => {
                stats.merge(&shard.stats);
                invariants.merge(&shard.invariants);
            }
        }
    }
    let (stats, invariants) = merged.ok_or("the scenario has no zones")?;
    Ok(SimulationResult { world: shared.world.clone(), stats, invariants, events, servers_up })
}

/// Runs all zones in steps no longer than the lookahead (conservative synchronization).
fn run_shards(mut shards: Vec<Shard>, lookahead: Nanos, stop: Nanos, threads: usize) -> Vec<Shard> {
    if threads <= 1 {
        while let Some(from) =
            shards.iter().filter_map(Shard::next_event_at).min().filter(|next| *next < stop)
        {
            let until = (from + lookahead).min(stop);
            let mut outgoing: Vec<Vec<OutgoingEvent>> = Vec::new();
            for shard in &mut shards {
                shard.run_until(until);
                outgoing.push(std::mem::take(&mut shard.outbox));
            }
            for event in outgoing.into_iter().flatten() {
                shards[event.zone as usize].schedule_remote(event.at, event.event);
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
    let next_event_at: Vec<Mutex<Option<Nanos>>> =
        shards.iter().map(|shard| Mutex::new(shard.next_event_at())).collect();
    let mut assignments: Vec<Vec<(usize, Shard)>> = (0..threads).map(|_| Vec::new()).collect();
    for (zone, shard) in shards.into_iter().enumerate() {
        assignments[zone % threads].push((zone, shard));
    }
    let worker = |mut assigned: Vec<(usize, Shard)>| {
        loop {
            let from = next_event_at
                .iter()
                .filter_map(|next| *next.lock().unwrap_or_else(PoisonError::into_inner))
                .min();
            // All threads must read the same times before any of them continues.
            barrier.wait();
            let Some(from) = from.filter(|next| *next < stop) else { return assigned };
            let until = (from + lookahead).min(stop);
            for (zone, shard) in &mut assigned {
                shard.run_until(until);
                *outboxes[*zone].lock().unwrap_or_else(PoisonError::into_inner) =
                    std::mem::take(&mut shard.outbox);
            }
            barrier.wait();
            for (zone, shard) in &mut assigned {
                for sender in &outboxes {
                    let mut outbox = sender.lock().unwrap_or_else(PoisonError::into_inner);
                    for event in outbox.extract_if(.., |event| event.zone as usize == *zone) {
                        shard.schedule_remote(event.at, event.event);
                    }
                }
                let next = if shard.error.is_some() { Some(stop) } else { shard.next_event_at() };
                *next_event_at[*zone].lock().unwrap_or_else(PoisonError::into_inner) = next;
            }
            barrier.wait();
        }
    };
    let mut done: Vec<(usize, Shard)> = thread::scope(|scope| {
        let running: Vec<_> =
            assignments.into_iter().map(|assigned| scope.spawn(|| worker(assigned))).collect();
        running.into_iter().filter_map(|thread| thread.join().ok()).flatten().collect()
    });
    done.sort_by_key(|(zone, _)| *zone);
    done.into_iter().map(|(_, shard)| shard).collect()
}
