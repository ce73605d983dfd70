//! Start and end of faults.

use super::*;
use crate::timeline::Instance;

impl Shard {
    pub(super) fn apply_fault(&mut self, number: usize, begins: bool) {
        let shared = self.shared.clone();
        let fault = &shared.timeline.faults[number];
        let local_index = |index: usize| {
            self.nodes.iter().position(|node| node.index == index).map(|position| position as u32)
        };
        match fault.action {
            FaultAction::KillNode(node) => {
                let Some(node) = local_index(node) else { return };
                if begins { self.kill_node(node) } else { self.start_node(node) }
            }
            FaultAction::RestartNode(node) => {
                let Some(node) = local_index(node) else { return };
                if begins {
                    self.nodes[node as usize].terminating = true;
                    let max_deadline =
                        shared.world.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
                    self.schedule(self.now + max_deadline, SimEvent::NodeStop { node });
                    let restarts_at =
                        fault.until.unwrap_or(fault.at).max(self.now + max_deadline) + SECOND / 10;
                    self.schedule(restarts_at, SimEvent::NodeStart { node });
                }
            }
            FaultAction::PauseNode(node) => {
                let Some(node) = local_index(node) else { return };
                if !self.nodes[node as usize].up {
                    return;
                }
                if begins {
                    self.nodes[node as usize].paused = true;
                    let ids: Vec<u64> = self
                        .open_tries
                        .iter()
                        .filter(|(_, open_try)| open_try.node == node)
                        .map(|(id, _)| id)
                        .collect();
                    ids.into_iter().for_each(|id| self.invariants.excuse(id));
                } else {
                    self.dispatch(SimEvent::NodeResume { node });
                }
            }
            FaultAction::KillServer(server) => self.with_server(server, |shard, instance| {
                let now = shard.now;
                let Some(server_state) = shard.servers.get_mut(&instance) else { return };
                let lost = if begins { server_state.stop(now) } else { server_state.start(now, true) };
                shard.reset_connections(instance, lost);
            }),
            FaultAction::SlowServer(server, factor) => {
                self.set_server_fault(server, begins, |state| state.slowdown = factor)
            }
            FaultAction::HangServer(server) => {
                self.set_server_fault(server, begins, |state| state.hung = true)
            }
            FaultAction::FailServer(server, share) => {
                self.set_server_fault(server, begins, |state| state.failure_rate = share)
            }
            FaultAction::BusyServer(server, share) => {
                self.set_server_fault(server, begins, |state| state.stolen_cpu = share)
            }
            FaultAction::ReplaceServer(server) if begins => self.with_server(server, |shard, instance| {
                if let Some(end) = shard.shared.timeline.instances[instance as usize].ends_at {
                    shard.schedule(end, SimEvent::ServerLifecycle { instance });
                }
            }),
            FaultAction::LoseZone(zone, cold) if zone == self.zone => {
                self.unreachable = begins;
                if !begins && cold {
                    let now = self.now;
                    let mut up: Vec<u32> = self.servers.keys().copied().collect();
                    up.sort_unstable();
                    for instance in up {
                        let server = self.servers.get_mut(&instance).filter(|server| server.is_up());
                        let lost = server.map(|server| server.start(now, true)).unwrap_or_default();
                        self.reset_connections(instance, lost);
                    }
                }
            }
            FaultAction::OrderZone(..) => {
                for node in 0..self.nodes.len() as u32 {
                    // Configuration files are rolled out to the nodes one after the other.
                    let delay = self.rng.random_range(0..SECOND);
                    let incarnation = self.nodes[node as usize].incarnation;
                    self.schedule(self.now + delay, SimEvent::ZoneOverrides { node, incarnation });
                }
            }
            FaultAction::Burst(factor) => {
                let factor = if begins { factor } else { 1.0 };
                self.clients.iter_mut().for_each(|clients| clients.set_load_factor(factor));
            }
            FaultAction::FloodTenant(tenant, factor) => {
                let factor = if begins { factor } else { 1.0 };
                self.clients.iter_mut().for_each(|clients| clients.set_tenant_factor(tenant, factor));
            }
            _ => {}
        }
    }

    /// Calls `apply` with the current process of a server, if it is in this zone.
    pub(super) fn with_server(&mut self, server: usize, apply: impl FnOnce(&mut Self, u32)) {
        let timeline = &self.shared.timeline;
        let is_current = |i: &Instance| i.zone == self.zone && i.occupies(server, self.now);
        let position = timeline.instances.iter().position(is_current);
        if let Some(instance) = position {
            apply(self, instance as u32);
            self.advance_server(instance as u32);
        }
    }

    pub(super) fn set_server_fault(
        &mut self,
        server: usize,
        begins: bool,
        change: impl FnOnce(&mut ServerFault),
    ) {
        self.with_server(server, |shard, instance| {
            let now = shard.now;
            let Some(server_state) = shard.servers.get_mut(&instance) else { return };
            let mut fault = if begins { server_state.fault() } else { ServerFault::default() };
            if begins {
                change(&mut fault);
            }
            server_state.set_fault(now, fault);
        });
    }
}
