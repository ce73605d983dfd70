//! Node processes and their view of the discovery list.

use super::*;

impl Shard {
    pub(super) fn start_node(&mut self, node: u32) {
        let shared = self.shared.clone();
        let node_index = self.nodes[node as usize].index;
        let seed = rng_stream(shared.world.seed, 10_000 + node_index as u64).random::<u64>();
        let node_state = &mut self.nodes[node as usize];
        if node_state.up {
            return;
        }
        node_state.incarnation += 1;
        (node_state.up, node_state.terminating, node_state.paused, node_state.avoided_from) =
            (true, false, false, None);
        node_state.idle_connections.clear();
        node_state.deferred_events.clear();
        let incarnation = node_state.incarnation;
        let settings = shared.world.settings(self.zone);
        let seed = seed ^ u64::from(incarnation);
        if let Err(error) = self.balancers.open(node as usize, &settings, seed, self.now) {
            self.error = Some(error);
            return;
        }
        self.notify_balancer(node, Event::Start);
        let overrides = shared.timeline.zone_overrides(self.now);
        if !overrides.is_empty() {
            self.notify_balancer(node, Event::ZoneOverrides(overrides));
        }
        // A node starts with the list of one second ago and receives the later changes with the next
        // notification.
        let (members, list_cursor, drain_notified_at) = self.list_at(self.now.saturating_sub(SECOND));
        let node_state = &mut self.nodes[node as usize];
        (node_state.list_cursor, node_state.drain_notified_at) = (list_cursor, drain_notified_at);
        node_state.known_starts = members.iter().filter_map(listed_start).collect();
        self.notify_balancer(node, Event::BackendList { scope: ListScope::Cached, members: members.clone() });
        self.notify_balancer(node, Event::BackendList { scope: ListScope::Full, members });
        self.schedule_list_notification(node);
    }

    /// The list at time `then`, the number of changes applied, and the servers that drain.
    pub(super) fn list_at(&self, then: Nanos) -> (Vec<Member>, usize, HashMap<u32, Nanos>) {
        let timeline = &self.shared.timeline;
        let mut members: Vec<Member> = timeline.initial_members.clone();
        let change_count = timeline.changes.iter().take_while(|change| change.at <= then).count();
        for change in &timeline.changes[..change_count] {
            match members.iter_mut().find(|member| member.backend == change.member.backend) {
                Some(member) => *member = change.member,
                None => members.push(change.member),
            }
        }
        members.retain(|member| member.stage != Stage::Gone);
        let draining = members.iter().filter(|member| member.stage == Stage::Draining);
        (members.clone(), change_count, draining.map(|member| (member.backend.0, self.now)).collect())
    }

    /// Schedules the notification of the next list change.
    pub(super) fn schedule_list_notification(&mut self, node: u32) {
        let Some(change) = self.shared.timeline.changes.get(self.nodes[node as usize].list_cursor) else {
            return;
        };
        let spread = self.rng.random_range(0..SECOND / 4);
        let incarnation = self.nodes[node as usize].incarnation;
        let (_, late) = self.shared.timeline.discovery_state(change.at);
        self.schedule(
            change.at.max(self.now) + late + spread,
            SimEvent::ListNotification { node, incarnation },
        );
    }

    pub(super) fn deliver_list_changes(&mut self, node: u32) {
        let now = self.now;
        let shared = self.shared.clone();
        let (silent, late) = shared.timeline.discovery_state(now);
        let node_end = (LinkEnd::Node(self.nodes[node as usize].index), self.zone);
        let cut = shared.timeline.link_fault(now, DISCOVERY_END, node_end) == Some(LinkFault::Cut);
        let error_share = shared.timeline.discovery_error_share(now);
        if silent || cut || (error_share > 0.0 && self.rng.random::<f64>() < error_share) {
            let incarnation = self.nodes[node as usize].incarnation;
            self.schedule(now + SECOND / 4, SimEvent::ListNotification { node, incarnation });
            return;
        }
        let node_state = &mut self.nodes[node as usize];
        let pending = &shared.timeline.changes[node_state.list_cursor..];
        let count = pending.iter().take_while(|change| change.at + late <= now).count();
        let members: Vec<Member> = pending[..count].iter().map(|change| change.member).collect();
        node_state.list_cursor += count;
        node_state.known_starts.extend(members.iter().filter_map(listed_start));
        for member in &members {
            if member.stage == Stage::InService {
                node_state.drain_notified_at.remove(&member.backend.0);
            } else {
                node_state.drain_notified_at.entry(member.backend.0).or_insert(now);
            }
        }
        if !members.is_empty() {
            self.notify_balancer(node, Event::BackendList { scope: ListScope::Changes, members });
        }
        self.schedule_list_notification(node);
    }

    pub(super) fn kill_node(&mut self, node: u32) {
        let now = self.now;
        let node_state = &mut self.nodes[node as usize];
        (node_state.up, node_state.terminating, node_state.paused) = (false, false, false);
        node_state.avoided_from = Some(node_state.avoided_from.unwrap_or(now + self.front_detection_delay));
        node_state.deferred_events.clear();
        let idle_connections = std::mem::take(&mut node_state.idle_connections);
        self.balancers.close(node as usize);
        self.pending_events.retain(|(event_node, _)| *event_node != node as usize);
        for idle in idle_connections {
            let zone = self.shared.timeline.instances[idle.instance as usize].zone;
            let delay = self.delay_to(zone);
            self.schedule_in_zone(
                zone,
                now + delay,
                SimEvent::IdleClosed { instance: idle.instance, server_epoch: idle.server_epoch },
            );
        }
        let ids: Vec<u64> =
            self.open_tries.iter().filter(|(_, open_try)| open_try.node == node).map(|(id, _)| id).collect();
        for id in ids {
            self.invariants.excuse(id);
            let Some(open_try) = self.open_tries.get_mut(id) else { continue };
            open_try.responded = true;
            let client_done = std::mem::replace(&mut open_try.client_done, true);
            let (request, try_number) = (open_try.request, open_try.try_number);
            let in_flight: Vec<(usize, u32, Option<usize>)> = open_try
                .attempts
                .iter_mut()
                .enumerate()
                .filter(|(_, attempt)| attempt.in_flight)
                .map(|(index, attempt)| {
                    attempt.in_flight = false;
                    (index, attempt.instance, attempt.checker_index)
                })
                .collect();
            for (attempt, instance, checker_index) in in_flight {
                if let Some(checker_index) = checker_index {
                    self.invariants.attempt_ended(id, checker_index, true, now);
                }
                let zone = self.shared.timeline.instances[instance as usize].zone;
                let delay = self.delay_to(zone);
                let job = job_id(self.zone, id, attempt);
                self.schedule_in_zone(zone, now + delay, SimEvent::AttemptClosed { instance, job });
            }
            if !client_done {
                self.try_ended(request, try_number, TryOutcome::Failed);
            }
            self.remove_if_done(id);
        }
    }
}

/// Id and start time of a process whose start is listed.
fn listed_start(member: &Member) -> Option<(u32, Nanos)> {
    Some((member.backend.0, member.online_since?))
}
