//! Effects of the scheduled faults over time: server processes, changes of the discovery list, and link
//! states. All of it is computed before a run starts, so that every zone can look it up.

use brookfield::{BackendId, Member, Nanos, Stage, ZoneId, ZoneOverride};

use crate::world::{FaultAction, LinkEnd, LinkFault, SECOND, ScheduledFault, World};

/// Time from the start of a drain to the end of the process.
const DRAIN_DURATION: Nanos = 2 * SECOND;
/// Minimum delay until discovery lists a newly started process.
const MIN_START_NOTICE: Nanos = SECOND / 2;

/// The discovery service as the end of a link; it belongs to no zone.
pub const DISCOVERY_END: (LinkEnd, u32) = (LinkEnd::Discovery, u32::MAX);

/// A registry replica as the end of a link; it belongs to no zone.
pub const fn replica_end(number: usize) -> (LinkEnd, u32) {
    (LinkEnd::Replica(number), u32::MAX)
}

/// A process of an app server. Its index in [`Timeline::instances`] is its id on the discovery list.
#[derive(Clone, Copy, Debug)]
pub struct Instance {
    /// Index in [`World::servers`].
    pub server: usize,
    /// Index of its zone.
    pub zone: u32,
    /// When it starts; 0 if it is up and warm when the run begins.
    pub starts_at: Nanos,
    /// When it is replaced.
    pub ends_at: Option<Nanos>,
}

impl Instance {
    /// Whether this is the process of `server` at time `now`.
    pub fn occupies(&self, server: usize, now: Nanos) -> bool {
        self.server == server && self.starts_at <= now && self.ends_at.is_none_or(|end| now < end)
    }
}

/// A change of the discovery list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When the discovery service learns of it.
    pub at: Nanos,
    /// The new entry.
    pub member: Member,
}

/// What is known before a run starts.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// Start of the load.
    pub start: Nanos,
    /// All app server processes, by id.
    pub instances: Vec<Instance>,
    /// The discovery list when the run begins.
    pub initial_members: Vec<Member>,
    /// Changes of the discovery list, by time.
    pub changes: Vec<ListChange>,
    /// Faults, with absolute times.
    pub faults: Vec<ScheduledFault>,
    /// Whether any fault is on a link.
    pub has_link_faults: bool,
}

impl Timeline {
    /// Computes the timeline of a world whose load starts at `start`.
    pub fn new(world: &World, start: Nanos) -> Self {
        let faults: Vec<ScheduledFault> = world
            .faults
            .iter()
            .map(|fault| ScheduledFault {
                at: start + fault.at,
                until: fault.until.map(|until| start + until),
                action: fault.action.clone(),
            })
            .collect();
        let mut instances: Vec<Instance> = world
            .servers
            .iter()
            .enumerate()
            .map(|(server, info)| Instance { server, zone: info.spec.zone, starts_at: 0, ends_at: None })
            .collect();
        let member = |index: usize, instance: &Instance, stage: Stage, online_since: Option<Nanos>| {
            let info = &world.servers[instance.server];
            Member {
                backend: BackendId(index as u32),
                zone: ZoneId(instance.zone),
                kind: info.spec.kind,
                cell: info.spec.cell,
                stage,
                weight: info.weight,
                online_since,
            }
        };
        let initial_members =
            instances.iter().enumerate().map(|(n, i)| member(n, i, Stage::InService, None)).collect();
        let mut changes = Vec::new();
        let mut add_change = |at: Nanos, member: Member| changes.push(ListChange { at, member });
        // The process of a server when a fault begins.
        let current_instance = |instances: &[Instance], server: usize, at: Nanos| {
            instances.iter().position(|instance| instance.occupies(server, at))
        };
        for fault in &faults {
            match fault.action {
                FaultAction::ReplaceServer(server) => {
                    let Some(index) = current_instance(&instances, server, fault.at) else { continue };
                    let (zone, ends_at) = (instances[index].zone, fault.at + DRAIN_DURATION);
                    instances[index].ends_at = Some(ends_at);
                    add_change(
                        fault.at + world.propagation_delay,
                        member(index, &instances[index], Stage::Draining, None),
                    );
                    add_change(
                        ends_at + world.propagation_delay,
                        member(index, &instances[index], Stage::Gone, None),
                    );
                    let next = Instance { server, zone, starts_at: ends_at, ends_at: None };
                    instances.push(next);
                    let index = instances.len() - 1;
                    let online_since = Some(ends_at);
                    let listed_at = ends_at + world.propagation_delay.max(MIN_START_NOTICE);
                    add_change(listed_at, member(index, &next, Stage::InService, online_since));
                }
                FaultAction::KillServer(server) => {
                    let Some(index) = current_instance(&instances, server, fault.at) else { continue };
                    let instance = instances[index];
                    let restarts_at = fault.until.unwrap_or(Nanos::MAX);
                    if fault.at.saturating_add(world.propagation_delay) < restarts_at {
                        add_change(
                            fault.at + world.propagation_delay,
                            member(index, &instance, Stage::Gone, None),
                        );
                    }
                    if restarts_at != Nanos::MAX {
                        let listed_at = restarts_at + world.propagation_delay.max(MIN_START_NOTICE);
                        add_change(listed_at, member(index, &instance, Stage::InService, Some(restarts_at)));
                    }
                }
                FaultAction::LoseZone(zone, cold) => {
                    let restarts_at = fault.until.unwrap_or(Nanos::MAX);
                    for (index, &instance) in instances.iter().enumerate() {
                        if instance.zone != zone || instance.ends_at.is_some_and(|end| end <= fault.at) {
                            continue;
                        }
                        let detected_at = fault.at.saturating_add(world.failure_detection_delay);
                        if detected_at < restarts_at {
                            add_change(detected_at, member(index, &instance, Stage::Gone, None));
                        }
                        if restarts_at != Nanos::MAX && (cold || detected_at < restarts_at) {
                            let online_since = cold.then_some(restarts_at);
                            add_change(
                                restarts_at + world.propagation_delay,
                                member(index, &instance, Stage::InService, online_since),
                            );
                        }
                    }
                }
                _ => {}
            }
        }
        changes.sort_by_key(|change| change.at);
        let has_link_faults = faults.iter().any(|fault| matches!(fault.action, FaultAction::Link(..)));
        Self { start, instances, initial_members, changes, faults, has_link_faults }
    }

    /// The fault active on the link between two ends. If there are several, a cut takes precedence, then the
    /// first.
    pub fn link_fault(&self, now: Nanos, from: (LinkEnd, u32), to: (LinkEnd, u32)) -> Option<LinkFault> {
        if !self.has_link_faults {
            return None;
        }
        let matches = |end: LinkEnd, peer: (LinkEnd, u32)| match end {
            LinkEnd::All => true,
            LinkEnd::Zone(zone) => peer.1 == zone,
            _ => end == peer.0,
        };
        let mut link_fault = None;
        for scheduled in self.faults.iter().filter(|scheduled| scheduled.is_active(now)) {
            let FaultAction::Link(first, second, one_way, fault) = scheduled.action else { continue };
            let forward = matches(first, from) && matches(second, to);
            let backward = !one_way && matches(second, from) && matches(first, to);
            // Traffic within a zone continues when the zone is cut off from everything else.
            let within_zone = matches!(first, LinkEnd::Zone(_)) && from.1 == to.1 && second == LinkEnd::All;
            if (forward || backward) && !within_zone {
                if fault == LinkFault::Cut {
                    return Some(fault);
                }
                link_fault = link_fault.or(Some(fault));
            }
        }
        link_fault
    }

    /// Traffic shares of all zones that any fault orders, at time `now`.
    pub fn zone_overrides(&self, now: Nanos) -> Vec<ZoneOverride> {
        let mut overrides: Vec<ZoneOverride> = Vec::new();
        for fault in &self.faults {
            let FaultAction::OrderZone(zone, share) = fault.action else { continue };
            let share = if fault.is_active(now) { share } else { 1.0 };
            match overrides.iter_mut().find(|zone_override| zone_override.zone == ZoneId(zone)) {
                Some(zone_override) => zone_override.traffic_share = zone_override.traffic_share.min(share),
                None => overrides.push(ZoneOverride { zone: ZoneId(zone), region: 0, traffic_share: share }),
            }
        }
        overrides
    }

    /// Share of calls that the discovery service rejects.
    pub fn discovery_error_share(&self, now: Nanos) -> f64 {
        let share = |fault: &ScheduledFault| match fault.action {
            FaultAction::BusyDiscovery(share) if fault.is_active(now) => share,
            _ => 0.0,
        };
        self.faults.iter().map(share).fold(0.0, f64::max)
    }

    /// Whether the discovery service is silent, and its additional delay.
    pub fn discovery_state(&self, now: Nanos) -> (bool, Nanos) {
        let mut state = (false, 0);
        for fault in self.faults.iter().filter(|fault| fault.is_active(now)) {
            match fault.action {
                FaultAction::SilentDiscovery | FaultAction::RubbishDiscovery => state.0 = true,
                FaultAction::LateDiscovery(late) => state.1 = late.max(state.1),
                _ => {}
            }
        }
        state
    }
}
