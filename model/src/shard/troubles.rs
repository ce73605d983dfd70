//! Faults that begin and end.

use super::*;
use crate::timeline::Instance;

impl Shard {
    pub(super) fn step(&mut self, number: usize, begins: bool) {
        let common = self.common.clone();
        let step = &common.timeline.faults[number];
        let own =
            |number: usize| self.nodes.iter().position(|node| node.number == number).map(|at| at as u32);
        match step.action {
            FaultAction::KillNode(node) => {
                let Some(node) = own(node) else { return };
                if begins { self.kill_node(node) } else { self.start_node(node) }
            }
            FaultAction::RestartNode(node) => {
                let Some(node) = own(node) else { return };
                if begins {
                    self.nodes[node as usize].leaving = true;
                    let longest = common.world.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
                    self.push(self.now + longest, What::Stops { node });
                    let back = step.until.unwrap_or(step.at).max(self.now + longest) + SECOND / 10;
                    self.push(back, What::Starts { node });
                }
            }
            FaultAction::PauseNode(node) => {
                let Some(node) = own(node) else { return };
                if !self.nodes[node as usize].up {
                    return;
                }
                if begins {
                    self.nodes[node as usize].paused = true;
                    let open: Vec<u64> =
                        self.tries.iter().filter(|(_, open)| open.node == node).map(|(id, _)| id).collect();
                    open.into_iter().for_each(|id| self.ledger.excuse(id));
                } else {
                    self.happen(What::Resumes { node });
                }
            }
            FaultAction::KillServer(server) => self.on_server(server, |shard, instance| {
                let now = shard.now;
                let Some(known) = shard.servers.get_mut(&instance) else { return };
                let held = if begins { known.stop(now) } else { known.start(now, true) };
                shard.reset(instance, held);
            }),
            FaultAction::SlowServer(server, factor) => self.ail(server, begins, |a| a.slowdown = factor),
            FaultAction::HangServer(server) => self.ail(server, begins, |a| a.hung = true),
            FaultAction::FailServer(server, share) => self.ail(server, begins, |a| a.failure_rate = share),
            FaultAction::BusyServer(server, share) => self.ail(server, begins, |a| a.stolen_cpu = share),
            FaultAction::ReplaceServer(server) if begins => self.on_server(server, |shard, instance| {
                if let Some(end) = shard.common.timeline.instances[instance as usize].ends_at {
                    shard.push(end, What::Boots { instance });
                }
            }),
            FaultAction::LoseZone(zone, cold) if zone == self.zone => {
                self.silent = begins;
                if !begins && cold {
                    let now = self.now;
                    let mut up: Vec<u32> = self.servers.keys().copied().collect();
                    up.sort_unstable();
                    for instance in up {
                        let server = self.servers.get_mut(&instance).filter(|server| server.is_up());
                        let held = server.map(|server| server.start(now, true)).unwrap_or_default();
                        self.reset(instance, held);
                    }
                }
            }
            FaultAction::OrderZone(..) => {
                for node in 0..self.nodes.len() as u32 {
                    // A file reaches the machines of a fleet one after the other.
                    let after = self.rng.random_range(0..SECOND);
                    let life = self.nodes[node as usize].life;
                    self.push(self.now + after, What::Ordered { node, life });
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

    /// The process that is at a place now, if it is in this zone.
    pub(super) fn on_server(&mut self, server: usize, then: impl FnOnce(&mut Self, u32)) {
        let timeline = &self.common.timeline;
        let here = |i: &Instance| i.zone == self.zone && i.occupies(server, self.now);
        let at = timeline.instances.iter().position(here);
        if let Some(instance) = at {
            then(self, instance as u32);
            self.look_after(instance as u32);
        }
    }

    pub(super) fn ail(&mut self, server: usize, begins: bool, change: impl FnOnce(&mut ServerFault)) {
        self.on_server(server, |shard, instance| {
            let now = shard.now;
            let Some(known) = shard.servers.get_mut(&instance) else { return };
            let mut ailment = if begins { known.fault() } else { ServerFault::default() };
            if begins {
                change(&mut ailment);
            }
            known.set_fault(now, ailment);
        });
    }
}
