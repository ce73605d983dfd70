//! App servers on the simulated network.

use super::*;

impl Shard {
    pub(super) fn request_arrived(&mut self, message: RequestMessage) {
        let now = self.now;
        let shared = self.shared.clone();
        let RequestMessage { instance, job, key, .. } = message;
        let instance_info = shared.timeline.instances[instance as usize];
        let node = job.sender;
        let node_zone = shared.world.nodes[node as usize].zone;
        if self.unreachable {
            return;
        }
        self.advance_server(instance);
        let Some(server) = self.servers.get_mut(&instance) else { return };
        let new_connection = message.server_epoch != Some(server.epoch());
        let server_epoch = server.epoch();
        let result = |outcome, ran, kept_epoch| SimEvent::AttemptResult {
            job: job.id,
            outcome,
            ran,
            util: None,
            kept_epoch,
        };
        if new_connection && !server.connect(now) {
            self.send_to_node(
                instance_info.server,
                node,
                node_zone,
                result(Outcome::ConnectFailed, false, None),
            );
            return;
        }
        if new_connection {
            self.send_to_node(instance_info.server, node, node_zone, SimEvent::ConnectionUp { job: job.id });
        }
        let Some(server) = self.servers.get_mut(&instance) else { return };
        if let Some((key, _)) = key
            && server.would_respond(job.failure_draw)
            && self.dedup.is_duplicate(key, now)
        {
            self.stats.duplicates_dropped += 1;
            self.send_to_node(
                instance_info.server,
                node,
                node_zone,
                result(Outcome::Served, true, Some(server_epoch)),
            );
            return;
        }
        let was_crashed = server.has_crashed();
        let cold = server.capacity_share(now) < 1.0;
        let admission = server.submit(now, job, new_connection);
        let crashed = server.has_crashed() && !was_crashed;
        let informed = server.overloaded_by_informed_senders();
        if cold {
            self.invariants.record_check(Rule::ColdSpared);
        }
        if crashed {
            self.invariants.server_crashed(&format!("s{}", instance_info.server), informed, now);
        }
        match admission {
            Admission::Accepted => {
                if let Some((key, window)) = key {
                    self.dedup.insert(key, (instance, job.id), window, now);
                }
            }
            Admission::Full => self.send_to_node(
                instance_info.server,
                node,
                node_zone,
                result(Outcome::Full, false, Some(server_epoch)),
            ),
            Admission::Failed => self.send_to_node(
                instance_info.server,
                node,
                node_zone,
                result(Outcome::Error, true, Some(server_epoch)),
            ),
            Admission::Down => self.send_to_node(
                instance_info.server,
                node,
                node_zone,
                result(Outcome::ConnectFailed, false, None),
            ),
        }
        self.advance_server(instance);
    }

    pub(super) fn send_to_node(&mut self, server: usize, node: u32, node_zone: u32, event: SimEvent) {
        let mut delay = self.delay_to(node_zone);
        match self.shared.timeline.link_fault(
            self.now,
            (LinkEnd::Server(server), self.zone),
            (LinkEnd::Node(node as usize), node_zone),
        ) {
            Some(LinkFault::Cut) => return,
            Some(LinkFault::Delay(extra)) => delay += extra,
            Some(LinkFault::Throttle(rate)) => delay += transfer_time(rate),
            Some(LinkFault::Reset(_)) | None => {}
        }
        self.schedule_in_zone(node_zone, self.now + delay, event);
    }

    /// Advances a server, sends its responses and schedules its next event.
    pub(super) fn advance_server(&mut self, instance: u32) {
        let now = self.now;
        let mut ended_jobs = std::mem::take(&mut self.ended_jobs);
        let Some(server) = self.servers.get_mut(&instance) else { return };
        server.advance(now, &mut ended_jobs);
        let server_epoch = server.epoch();
        let reports = server.spec().reporting.is_some();
        for (job, job_outcome) in ended_jobs.drain(..) {
            self.dedup.job_ended((instance, job.id), job_outcome == JobOutcome::Served);
            let (outcome, ran) = match job_outcome {
                JobOutcome::Served => (Outcome::Served, true),
                JobOutcome::Error => (Outcome::Error, true),
                JobOutcome::Dropped => (Outcome::Full, false),
            };
            let util = if reports {
                let noise = StandardNormal.sample(&mut self.rng);
                self.servers.get_mut(&instance).and_then(|server| server.report(now, noise))
            } else {
                None
            };
            if !self.unreachable {
                let event = SimEvent::AttemptResult {
                    job: job.id,
                    outcome,
                    ran,
                    util,
                    kept_epoch: Some(server_epoch),
                };
                self.send_job_result(instance, &job, event);
            }
        }
        self.ended_jobs = ended_jobs;
        let next = self.servers.get(&instance).and_then(Server::next_event);
        if let Some(next) = next
            && self.wakeups.get(&instance).is_none_or(|at| next < *at)
        {
            self.wakeups.insert(instance, next);
            self.schedule(next, SimEvent::ServerWakeup { instance });
        }
    }

    pub(super) fn send_job_result(&mut self, instance: u32, job: &Job, event: SimEvent) {
        let instance_info = self.shared.timeline.instances[instance as usize];
        let node_zone = self.shared.world.nodes[job.sender as usize].zone;
        self.send_to_node(instance_info.server, job.sender, node_zone, event);
    }

    /// A process has ended and its connections are reset.
    pub(super) fn reset_connections(&mut self, instance: u32, lost: Vec<Job>) {
        self.wakeups.remove(&instance);
        lost.iter().for_each(|job| self.dedup.job_ended((instance, job.id), false));
        if self.unreachable {
            return;
        }
        for job in lost {
            let event = SimEvent::AttemptResult {
                job: job.id,
                outcome: Outcome::Reset,
                ran: true,
                util: None,
                kept_epoch: None,
            };
            self.send_job_result(instance, &job, event);
        }
    }
}
