//! App servers as the network meets them.

use super::*;

impl Shard {
    pub(super) fn offered(&mut self, sent: Sent) {
        let now = self.now;
        let common = self.common.clone();
        let Sent { instance, job, key, .. } = sent;
        let place = common.timeline.instances[instance as usize];
        let node = job.sender;
        let to = common.world.nodes[node as usize].zone;
        if self.silent {
            return;
        }
        self.look_after(instance);
        let Some(server) = self.servers.get_mut(&instance) else { return };
        let fresh = sent.life != Some(server.epoch());
        let life = server.epoch();
        let ends = |outcome, ran, keeps| What::Ended { job: job.id, outcome, ran, util: None, keeps };
        if fresh && !server.connect(now) {
            self.answer(place.server, node, to, ends(Outcome::ConnectFailed, false, None));
            return;
        }
        if fresh {
            self.answer(place.server, node, to, What::Up { job: job.id });
        }
        let Some(server) = self.servers.get_mut(&instance) else { return };
        if let Some((key, _)) = key
            && server.would_respond(job.failure_draw)
            && self.keys.is_duplicate(key, now)
        {
            self.tally.duplicates_dropped += 1;
            self.answer(place.server, node, to, ends(Outcome::Served, true, Some(life)));
            return;
        }
        let fell = server.has_crashed();
        let cold = server.capacity_share(now) < 1.0;
        let offer = server.submit(now, job, fresh);
        let fallen = server.has_crashed() && !fell;
        let told = server.overloaded_by_informed_senders();
        if cold {
            self.ledger.record_check(Rule::ColdSpared);
        }
        if fallen {
            self.ledger.server_crashed(&format!("s{}", place.server), told, now);
        }
        match offer {
            Admission::Accepted => {
                if let Some((key, window)) = key {
                    self.keys.insert(key, (instance, job.id), window, now);
                }
            }
            Admission::Full => self.answer(place.server, node, to, ends(Outcome::Full, false, Some(life))),
            Admission::Failed => self.answer(place.server, node, to, ends(Outcome::Error, true, Some(life))),
            Admission::Down => self.answer(place.server, node, to, ends(Outcome::ConnectFailed, false, None)),
        }
        self.look_after(instance);
    }

    pub(super) fn answer(&mut self, server: usize, node: u32, to: u32, what: What) {
        let mut way = self.way(to);
        match self.common.timeline.link_fault(
            self.now,
            (LinkEnd::Server(server), self.zone),
            (LinkEnd::Node(node as usize), to),
        ) {
            Some(LinkFault::Cut) => return,
            Some(LinkFault::Delay(more)) => way += more,
            Some(LinkFault::Throttle(rate)) => way += passes_in(rate),
            Some(LinkFault::Reset(_)) | None => {}
        }
        self.send(to, self.now + way, what);
    }

    /// Lets a server's time pass, sends its answers, and sees to it that it wakes again.
    pub(super) fn look_after(&mut self, instance: u32) {
        let now = self.now;
        let mut ended = std::mem::take(&mut self.ended);
        let Some(server) = self.servers.get_mut(&instance) else { return };
        server.advance(now, &mut ended);
        let life = server.epoch();
        let reports = server.spec().reporting.is_some();
        for (job, end) in ended.drain(..) {
            self.keys.job_ended((instance, job.id), end == JobOutcome::Served);
            let (outcome, ran) = match end {
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
            if !self.silent {
                let what = What::Ended { job: job.id, outcome, ran, util, keeps: Some(life) };
                self.answer_job(instance, &job, what);
            }
        }
        self.ended = ended;
        let next = self.servers.get(&instance).and_then(Server::next_event);
        if let Some(next) = next
            && self.wakes.get(&instance).is_none_or(|at| next < *at)
        {
            self.wakes.insert(instance, next);
            self.push(next, What::Wakes { instance });
        }
    }

    pub(super) fn answer_job(&mut self, instance: u32, job: &Job, what: What) {
        let place = self.common.timeline.instances[instance as usize];
        let to = self.common.world.nodes[job.sender as usize].zone;
        self.answer(place.server, job.sender, to, what);
    }

    /// Connections to a process break as it ends: whoever waits for an answer learns that it will not come.
    pub(super) fn reset(&mut self, instance: u32, held: Vec<Job>) {
        self.wakes.remove(&instance);
        held.iter().for_each(|job| self.keys.job_ended((instance, job.id), false));
        if self.silent {
            return;
        }
        for job in held {
            let what =
                What::Ended { job: job.id, outcome: Outcome::Reset, ran: true, util: None, keeps: None };
            self.answer_job(instance, &job, what);
        }
    }
}
