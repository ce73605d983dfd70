//! Nodes' processes, and the list as each is told of it.

use super::*;

impl Shard {
    pub(super) fn start_node(&mut self, node: u32) {
        let common = self.common.clone();
        let number = self.nodes[node as usize].number;
        let seed = rng_stream(common.world.seed, 10_000 + number as u64).random::<u64>();
        let known = &mut self.nodes[node as usize];
        if known.up {
            return;
        }
        known.life += 1;
        (known.up, known.leaving, known.paused, known.avoided_from) = (true, false, false, None);
        known.idle.clear();
        known.inbox.clear();
        let life = known.life;
        let settings = common.world.settings(self.zone);
        let seed = seed ^ u64::from(life);
        if let Err(problem) = self.module.open(node as usize, &settings, seed, self.now) {
            self.failed = Some(problem);
            return;
        }
        self.tell(node, Event::Start);
        let orders = common.timeline.zone_overrides(self.now);
        if !orders.is_empty() {
            self.tell(node, Event::ZoneOverrides(orders));
        }
        // It comes with the list as it was when it was last told, and gets what is new when its next word is due.
        let (members, cursor, drains) = self.list_at(self.now.saturating_sub(SECOND));
        let known = &mut self.nodes[node as usize];
        (known.cursor, known.drains) = (cursor, drains);
        known.starts = members.iter().filter_map(start_of).collect();
        self.tell(node, Event::BackendList { scope: ListScope::Cached, members: members.clone() });
        self.tell(node, Event::BackendList { scope: ListScope::Full, members });
        self.next_word(node);
    }

    /// The list as it was then, how many changes are in it, and who drained or was gone.
    pub(super) fn list_at(&self, then: Nanos) -> (Vec<Member>, usize, HashMap<u32, Nanos>) {
        let timeline = &self.common.timeline;
        let mut members: Vec<Member> = timeline.initial_members.clone();
        let cursor = timeline.changes.iter().take_while(|change| change.at <= then).count();
        for change in &timeline.changes[..cursor] {
            match members.iter_mut().find(|member| member.backend == change.member.backend) {
                Some(member) => *member = change.member,
                None => members.push(change.member),
            }
        }
        members.retain(|member| member.stage != Stage::Gone);
        let drains = members.iter().filter(|member| member.stage == Stage::Draining);
        (members.clone(), cursor, drains.map(|member| (member.backend.0, self.now)).collect())
    }

    /// Sees to it that a node is told of the next change.
    pub(super) fn next_word(&mut self, node: u32) {
        let Some(change) = self.common.timeline.changes.get(self.nodes[node as usize].cursor) else { return };
        let spread = self.rng.random_range(0..SECOND / 4);
        let life = self.nodes[node as usize].life;
        let (_, late) = self.common.timeline.discovery_state(change.at);
        self.push(change.at.max(self.now) + late + spread, What::Told { node, life });
    }

    pub(super) fn read_list(&mut self, node: u32) {
        let now = self.now;
        let common = self.common.clone();
        let (silent, late) = common.timeline.discovery_state(now);
        let own = (LinkEnd::Node(self.nodes[node as usize].number), self.zone);
        let cut = common.timeline.link_fault(now, DISCOVERY_END, own) == Some(LinkFault::Cut);
        let turned_away = common.timeline.discovery_error_share(now);
        if silent || cut || (turned_away > 0.0 && self.rng.random::<f64>() < turned_away) {
            let life = self.nodes[node as usize].life;
            self.push(now + SECOND / 4, What::Told { node, life });
            return;
        }
        let known = &mut self.nodes[node as usize];
        let fresh = &common.timeline.changes[known.cursor..];
        let count = fresh.iter().take_while(|change| change.at + late <= now).count();
        let members: Vec<Member> = fresh[..count].iter().map(|change| change.member).collect();
        known.cursor += count;
        known.starts.extend(members.iter().filter_map(start_of));
        for member in &members {
            if member.stage == Stage::InService {
                known.drains.remove(&member.backend.0);
            } else {
                known.drains.entry(member.backend.0).or_insert(now);
            }
        }
        if !members.is_empty() {
            self.tell(node, Event::BackendList { scope: ListScope::Changes, members });
        }
        self.next_word(node);
    }

    pub(super) fn kill_node(&mut self, node: u32) {
        let now = self.now;
        let known = &mut self.nodes[node as usize];
        (known.up, known.leaving, known.paused) = (false, false, false);
        known.avoided_from = Some(known.avoided_from.unwrap_or(now + self.front));
        known.inbox.clear();
        let idle = std::mem::take(&mut known.idle);
        self.module.close(node as usize);
        self.pending.retain(|(to, _)| *to != node as usize);
        for idle in idle {
            let zone = self.common.timeline.instances[idle.instance as usize].zone;
            let way = self.way(zone);
            self.send(zone, now + way, What::HungUp { instance: idle.instance, life: idle.life });
        }
        let open: Vec<u64> =
            self.tries.iter().filter(|(_, open)| open.node == node).map(|(id, _)| id).collect();
        for id in open {
            self.ledger.excuse(id);
            let Some(open) = self.tries.get_mut(id) else { continue };
            open.ended = true;
            let told = std::mem::replace(&mut open.told, true);
            let (ask, tries) = (open.ask, open.tries);
            let out: Vec<(usize, u32, Option<usize>)> = open
                .attempts
                .iter_mut()
                .enumerate()
                .filter(|(_, attempt)| attempt.out)
                .map(|(number, attempt)| {
                    attempt.out = false;
                    (number, attempt.instance, attempt.booked)
                })
                .collect();
            for (attempt, instance, booked) in out {
                if let Some(booked) = booked {
                    self.ledger.attempt_ended(id, booked, true, now);
                }
                let zone = self.common.timeline.instances[instance as usize].zone;
                let way = self.way(zone);
                let job = job_id(self.zone, id, attempt);
                self.send(zone, now + way, What::Withdrawn { instance, job });
            }
            if !told {
                self.client_sees(ask, tries, TryOutcome::Failed);
            }
            self.drop_if_done(id);
        }
    }
}

/// The process that a line tells the start of, and when that was.
fn start_of(member: &Member) -> Option<(u32, Nanos)> {
    Some((member.backend.0, member.online_since?))
}
