//! What a world's troubles mean over time for everybody: which processes there will be, what the list will say and
//! when, and what the links do. All of it is known before a run starts, so that every zone can look it up.

use brookfield::{BackendId, Member, Nanos, Stage, ZoneId, ZoneOverride};

use crate::world::{FaultAction, LinkEnd, LinkFault, SECOND, ScheduledFault, World};

/// A draining server goes this long after it began.
const DRAIN_DURATION: Nanos = 2 * SECOND;
/// The list tells of a new process this much later than of other changes.
const MIN_START_NOTICE: Nanos = SECOND / 2;

/// The list service as the end of a link: it is in no zone.
pub const DISCOVERY_END: (LinkEnd, u32) = (LinkEnd::Discovery, u32::MAX);

/// A replica of the registry as the end of a link: it is in no zone either.
pub const fn replica_end(number: usize) -> (LinkEnd, u32) {
    (LinkEnd::Replica(number), u32::MAX)
}

/// An app server's process: its place, and the number under which the list has it.
#[derive(Clone, Copy, Debug)]
pub struct Instance {
    /// Its place among the world's servers.
    pub server: usize,
    /// Its zone.
    pub zone: u32,
    /// When it first starts; 0 for one that is up and warm when the run begins.
    pub starts_at: Nanos,
    /// When it is replaced.
    pub ends_at: Option<Nanos>,
}

impl Instance {
    /// Whether it is the process at a server's place at this time.
    pub fn occupies(&self, server: usize, now: Nanos) -> bool {
        self.server == server && self.starts_at <= now && self.ends_at.is_none_or(|end| now < end)
    }
}

/// A change of the list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When the list service has it.
    pub at: Nanos,
    /// The line.
    pub member: Member,
}

/// Everything that is known before a run starts.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// When the load starts.
    pub start: Nanos,
    /// All processes of app servers, by their number.
    pub instances: Vec<Instance>,
    /// The list when the run begins.
    pub initial_members: Vec<Member>,
    /// What changes on it, in order.
    pub changes: Vec<ListChange>,
    /// Faults, with absolute times.
    pub faults: Vec<ScheduledFault>,
    /// Whether any of them is on a link.
    pub has_link_faults: bool,
}

impl Timeline {
    /// Looks ahead over a world whose load begins at `start`.
    pub fn new(world: &World, start: Nanos) -> Self {
        let steps: Vec<ScheduledFault> = world
            .faults
            .iter()
            .map(|step| ScheduledFault {
                at: start + step.at,
                until: step.until.map(|until| start + until),
                action: step.action.clone(),
            })
            .collect();
        let mut instances: Vec<Instance> = world
            .servers
            .iter()
            .enumerate()
            .map(|(server, info)| Instance { server, zone: info.spec.zone, starts_at: 0, ends_at: None })
            .collect();
        let member = |number: usize, instance: &Instance, stage: Stage, since: Option<Nanos>| {
            let info = &world.servers[instance.server];
            Member {
                backend: BackendId(number as u32),
                zone: ZoneId(instance.zone),
                kind: info.spec.kind,
                cell: info.spec.cell,
                stage,
                weight: info.weight,
                online_since: since,
            }
        };
        let first = instances.iter().enumerate().map(|(n, i)| member(n, i, Stage::InService, None)).collect();
        let mut changes = Vec::new();
        let mut add_change = |at: Nanos, member: Member| changes.push(ListChange { at, member });
        // The process that is at a place when a step begins.
        let current_instance = |instances: &[Instance], server: usize, at: Nanos| {
            instances.iter().position(|instance| instance.occupies(server, at))
        };
        for step in &steps {
            match step.action {
                FaultAction::ReplaceServer(server) => {
                    let Some(number) = current_instance(&instances, server, step.at) else { continue };
                    let (zone, ends_at) = (instances[number].zone, step.at + DRAIN_DURATION);
                    instances[number].ends_at = Some(ends_at);
                    add_change(
                        step.at + world.propagation_delay,
                        member(number, &instances[number], Stage::Draining, None),
                    );
                    add_change(
                        ends_at + world.propagation_delay,
                        member(number, &instances[number], Stage::Gone, None),
                    );
                    let next = Instance { server, zone, starts_at: ends_at, ends_at: None };
                    instances.push(next);
                    let number = instances.len() - 1;
                    let since = Some(ends_at);
                    let listed_at = ends_at + world.propagation_delay.max(MIN_START_NOTICE);
                    add_change(listed_at, member(number, &next, Stage::InService, since));
                }
                FaultAction::KillServer(server) => {
                    let Some(number) = current_instance(&instances, server, step.at) else { continue };
                    let instance = instances[number];
                    let restarts_at = step.until.unwrap_or(Nanos::MAX);
                    if step.at.saturating_add(world.propagation_delay) < restarts_at {
                        add_change(
                            step.at + world.propagation_delay,
                            member(number, &instance, Stage::Gone, None),
                        );
                    }
                    if restarts_at != Nanos::MAX {
                        let listed_at = restarts_at + world.propagation_delay.max(MIN_START_NOTICE);
                        add_change(listed_at, member(number, &instance, Stage::InService, Some(restarts_at)));
                    }
                }
                FaultAction::LoseZone(zone, cold) => {
                    let restarts_at = step.until.unwrap_or(Nanos::MAX);
                    for (number, &instance) in instances.iter().enumerate() {
                        if instance.zone != zone || instance.ends_at.is_some_and(|end| end <= step.at) {
                            continue;
                        }
                        let detected_at = step.at.saturating_add(world.failure_detection_delay);
                        if detected_at < restarts_at {
                            add_change(detected_at, member(number, &instance, Stage::Gone, None));
                        }
                        if restarts_at != Nanos::MAX && (cold || detected_at < restarts_at) {
                            let since = cold.then_some(restarts_at);
                            add_change(
                                restarts_at + world.propagation_delay,
                                member(number, &instance, Stage::InService, since),
                            );
                        }
                    }
                }
                _ => {}
            }
        }
        changes.sort_by_key(|change| change.at);
        let links = steps.iter().any(|step| matches!(step.action, FaultAction::Link(..)));
        Self { start, instances, initial_members: first, changes, faults: steps, has_link_faults: links }
    }

    /// What the link from one party to another does now; none where it is as always. Of several troubles the cut
    /// decides, and else the first.
    pub fn link_fault(&self, now: Nanos, from: (LinkEnd, u32), to: (LinkEnd, u32)) -> Option<LinkFault> {
        if !self.has_link_faults {
            return None;
        }
        let matches = |end: LinkEnd, party: (LinkEnd, u32)| match end {
            LinkEnd::All => true,
            LinkEnd::Zone(zone) => party.1 == zone,
            _ => end == party.0,
        };
        let mut found = None;
        for step in self.faults.iter().filter(|step| step.is_active(now)) {
            let FaultAction::Link(one, other, one_way, trouble) = step.action else { continue };
            let forward = matches(one, from) && matches(other, to);
            let backward = !one_way && matches(other, from) && matches(one, to);
            // A zone's own parties still reach each other when it is cut off from all.
            let within_zone = matches!(one, LinkEnd::Zone(_)) && from.1 == to.1 && other == LinkEnd::All;
            if (forward || backward) && !within_zone {
                if trouble == LinkFault::Cut {
                    return Some(trouble);
                }
                found = found.or(Some(trouble));
            }
        }
        found
    }

    /// What is ordered of each zone that any order names at all, now.
    pub fn zone_overrides(&self, now: Nanos) -> Vec<ZoneOverride> {
        let mut orders: Vec<ZoneOverride> = Vec::new();
        for step in &self.faults {
            let FaultAction::OrderZone(zone, share) = step.action else { continue };
            let share = if step.is_active(now) { share } else { 1.0 };
            match orders.iter_mut().find(|order| order.zone == ZoneId(zone)) {
                Some(order) => order.traffic_share = order.traffic_share.min(share),
                None => orders.push(ZoneOverride { zone: ZoneId(zone), region: 0, traffic_share: share }),
            }
        }
        orders
    }

    /// The share of calls that the list service turns away now.
    pub fn discovery_error_share(&self, now: Nanos) -> f64 {
        let share = |step: &ScheduledFault| match step.action {
            FaultAction::BusyDiscovery(share) if step.is_active(now) => share,
            _ => 0.0,
        };
        self.faults.iter().map(share).fold(0.0, f64::max)
    }

    /// Whether the list service is silent now, and how much later than usual it tells.
    pub fn discovery_state(&self, now: Nanos) -> (bool, Nanos) {
        let mut state = (false, 0);
        for step in self.faults.iter().filter(|step| step.is_active(now)) {
            match step.action {
                FaultAction::SilentDiscovery | FaultAction::RubbishDiscovery => state.0 = true,
                FaultAction::LateDiscovery(late) => state.1 = late.max(state.1),
                _ => {}
            }
        }
        state
    }
}
