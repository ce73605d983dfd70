//! What a node's driver does between the module and the network, in virtual time.

use super::*;

impl Shard {
    /// Whether a node can take something now; what comes to a paused one waits for it.
    pub(super) fn awake(&mut self, node: u32, life: u32, what: impl FnOnce() -> What) -> bool {
        let known = &mut self.nodes[node as usize];
        if known.paused && known.life == life {
            known.inbox.push(what());
            return false;
        }
        known.up && known.life == life
    }

    pub(super) fn taken(&mut self, id: u64) {
        let Some(open) = self.tries.get(id) else { return };
        let (node, life, ask) = (open.node, open.life, open.ask);
        if !self.awake(node, life, || What::Taken { id }) {
            return;
        }
        let Some(open) = self.tries.get(id).filter(|open| !open.ended) else { return };
        let arrival = Arrival {
            request: RequestId(id),
            class: ClassId(ask.class as u32),
            cost_hint: None,
            is_retry: false,
            tenant: ask.tenant.map(|tenant| tenant as u32),
            not_after: open.not_after,
        };
        self.tell(node, Event::Request(arrival));
    }

    pub(super) fn tell(&mut self, node: u32, event: Event) {
        if self.common.tick == 0 {
            self.module.handle(node as usize, self.now, event, &mut self.actions);
            self.act();
        } else {
            self.pending.push((node as usize, event));
            if !std::mem::replace(&mut self.ticking, true) {
                let tick = self.common.tick;
                self.push((self.now / tick + 1) * tick, What::Tick);
            }
        }
    }

    pub(super) fn tick(&mut self) {
        self.ticking = false;
        for (node, event) in std::mem::take(&mut self.pending) {
            if self.nodes[node].up {
                self.module.handle(node, self.now, event, &mut self.actions);
            }
        }
        match self.module.flush(self.now, &mut self.actions) {
            Ok(()) => self.act(),
            Err(problem) => self.failed = Some(problem),
        }
    }

    pub(super) fn act(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        for (node, action) in &actions {
            let node = *node as u32;
            match *action {
                Action::Send { request, backend, timeout, send_by } => {
                    self.launch(node, request.0, backend, timeout);
                    if let Some(send_by) = send_by {
                        self.send_by(request.0, send_by);
                    }
                }
                Action::Reject { request, retry_after: pause } => {
                    self.finish(request.0, FinalAnswer::Rejected, pause)
                }
                Action::Fail { request } => self.finish(request.0, FinalAnswer::Failed, 0),
                Action::Cancel { request, attempt } => {
                    self.settle(request.0, attempt as usize, Outcome::Cancelled, None);
                }
                Action::Timer { after, token } => {
                    let (at, life) = (self.now + after, self.nodes[node as usize].life);
                    self.push(at, What::Timer { node, life, token });
                }
                // The list is pushed, no probes are made, and the log is for people.
                Action::Watch | Action::Fetch | Action::Probe { .. } | Action::Log(_) => {}
            }
        }
        // The buffer is kept, unless what was done led to more.
        if self.actions.is_empty() {
            self.actions = actions;
            self.actions.clear();
        }
    }

    pub(super) fn launch(&mut self, node: u32, id: u64, backend: BackendId, timeout: Option<Nanos>) {
        let now = self.now;
        let common = self.common.clone();
        let instance = backend.0;
        let Some(place) = common.timeline.instances.get(instance as usize) else { return };
        let (zone, spec) = (place.zone, &common.world.servers[place.server].spec);
        let number = self.nodes[node as usize].number;
        let cell = spec.cell;
        let drains = self.nodes[node as usize].drains.get(&instance).copied();
        // What is sent after the answer was given would be out beside nothing that anybody waits for.
        let live = |open: &&mut Try| !open.ended && open.attempts.len() < 1 << ATTEMPT_BITS;
        let Some(open) = self.tries.get_mut(id).filter(live) else {
            self.ledger.record_violation(
                Rule::OneOutcome,
                crate::invariants::wire_id(id),
                now,
                "sent after its end".into(),
            );
            return;
        };
        let attempt = open.attempts.len();
        let not_after = open.not_after;
        let ask = open.ask;
        let class = &common.world.classes[ask.class];
        // One key for all tries of a client's request; each zone's clients count from 0.
        let key = u64::from(ask.zone) << (64 - ZONE_BITS) | ask.number;
        let key =
            (class.idempotency == Idempotency::Keyed).then_some((DedupKey { cell, key }, class.dedup_window));
        let luck = self.rng.random();
        let id_of_job = job_id(self.zone, id, attempt);
        let job = Job {
            id: id_of_job,
            sender: number as u32,
            work: open.ask.work,
            io_wait: open.ask.io_wait,
            not_after,
            failure_draw: luck,
            known_start: self.nodes[node as usize].starts.get(&instance).copied(),
        };
        let booked = self.ledger.attempt_arrived(id, instance, cell, drains, now);
        open.attempts.push(Attempt { instance, sent: now, out: true, written: true, booked });
        self.tally.attempts += 1;
        self.tally.cross_zone_attempts += u64::from(zone != self.zone);
        let give_up = timeout.map_or(not_after, |timeout| not_after.min(now + timeout));
        self.push(give_up, What::Waited { id, attempt: attempt as u32, connect: false });
        let life = self.take_idle(node, instance);
        let mut way = self.way(zone);
        if life.is_none() {
            self.tally.connections_opened += 1;
            way += (HANDSHAKE_WAYS - 1) * common.world.one_way_delay(self.zone, zone);
            if let Some(open) = self.tries.get_mut(id) {
                open.attempts[attempt].written = false;
            }
            if now + CONNECT_TIMEOUT < give_up {
                let what = What::Waited { id, attempt: attempt as u32, connect: true };
                self.push(now + CONNECT_TIMEOUT, what);
            }
        }
        match common.timeline.link_fault(
            now,
            (LinkEnd::Node(number), self.zone),
            (LinkEnd::Server(place.server), zone),
        ) {
            Some(LinkFault::Cut) => return,
            Some(LinkFault::Delay(more)) => way += more,
            Some(LinkFault::Throttle(rate)) => way += passes_in(rate),
            Some(LinkFault::Reset(chance)) => {
                let breaks = now.saturating_add(self.next_reset(chance));
                if breaks < give_up {
                    self.push(breaks, What::Broken { id, attempt: attempt as u32 });
                }
            }
            None => {}
        }
        self.send(zone, now + way, What::Offered(Sent { instance, life, job, key }));
    }

    /// The attempt that was just launched is given up unless it is on its way by then.
    fn send_by(&mut self, id: u64, send_by: Nanos) {
        let Some(open) = self.tries.get(id) else { return };
        if let Some(attempt) = open.attempts.len().checked_sub(1)
            && open.attempts[attempt].out
        {
            self.push(send_by.max(self.now), What::Waited { id, attempt: attempt as u32, connect: true });
        }
    }

    /// An idle connection to this process, if there is one; the youngest, so that those in excess grow old.
    pub(super) fn take_idle(&mut self, node: u32, instance: u32) -> Option<u64> {
        let now = self.now;
        let found = {
            let idle = &mut self.nodes[node as usize].idle;
            let at = idle.iter().rposition(|idle| idle.instance == instance && now < idle.since + IDLE);
            at.map(|at| idle.remove(at).life)
        };
        if found.is_none() {
            self.drop_stale(node);
        }
        found
    }

    pub(super) fn drop_stale(&mut self, node: u32) {
        let now = self.now;
        let mut closed = Vec::new();
        let idle = &mut self.nodes[node as usize].idle;
        let excess = idle.len().saturating_sub(MOST_IDLE);
        let mut seen = 0;
        idle.retain(|idle| {
            seen += 1;
            let keep = now < idle.since + IDLE && seen > excess;
            if !keep {
                closed.push((idle.instance, idle.life));
            }
            keep
        });
        for (instance, life) in closed {
            let zone = self.common.timeline.instances[instance as usize].zone;
            let way = self.way(zone);
            self.send(zone, now + way, What::HungUp { instance, life });
        }
    }

    /// When a link that is reset with this chance in a second breaks next.
    fn next_reset(&mut self, chance: f64) -> Nanos {
        let rate = -(-chance.min(0.999_999)).ln_1p();
        let drawn: f64 = rand_distr::Exp1.sample(&mut self.rng);
        crate::world::seconds((drawn / rate).min(1e6))
    }

    /// An attempt's connection breaks. Its server learns of it in the same way as of one that was given up.
    pub(super) fn broken(&mut self, id: u64, attempt: u32) {
        let Some(open) = self.tries.get(id) else { return };
        let (node, life) = (open.node, open.life);
        if !self.awake(node, life, || What::Broken { id, attempt }) {
            return;
        }
        let Some(open) = self.tries.get(id).and_then(|open| open.attempts.get(attempt as usize)) else {
            return;
        };
        if !open.out {
            return;
        }
        let (instance, written) = (open.instance, open.written);
        // One that never came up for so long is taken for a silent machine's, and withdrawn as such.
        if written || self.now.saturating_sub(open.sent) < SILENT {
            let zone = self.common.timeline.instances[instance as usize].zone;
            let way = self.way(zone);
            let job = job_id(self.zone, id, attempt as usize);
            self.send(zone, self.now + way, What::Withdrawn { instance, job });
        }
        let outcome = if written { Outcome::Reset } else { Outcome::ConnectFailed };
        self.settle(id, attempt as usize, outcome, None);
    }

    pub(super) fn waited(&mut self, id: u64, attempt: u32, connect: bool) {
        let Some(open) = self.tries.get(id) else { return };
        let (node, life) = (open.node, open.life);
        if !self.awake(node, life, || What::Waited { id, attempt, connect }) {
            return;
        }
        let Some(open) = self.tries.get(id).and_then(|open| open.attempts.get(attempt as usize)) else {
            return;
        };
        if !open.out || (connect && open.written) {
            return;
        }
        let silent = !open.written && self.now.saturating_sub(open.sent) >= SILENT;
        let outcome = match (silent, open.written) {
            (true, _) => Outcome::ConnectFailed,
            (false, false) => Outcome::Moot,
            (false, true) => Outcome::TimedOut,
        };
        self.settle(id, attempt as usize, outcome, None);
    }

    pub(super) fn attempt_ended(
        &mut self,
        job: u64,
        outcome: Outcome,
        ran: bool,
        util: Option<f64>,
        keeps: Option<u64>,
    ) {
        let (id, attempt) = of_job(job);
        let Some(open) = self.tries.get(id) else { return };
        let (node, life) = (open.node, open.life);
        if !self.awake(node, life, || What::Ended { job, outcome, ran, util, keeps }) {
            return;
        }
        let Some(open) = self.tries.get_mut(id).and_then(|open| open.attempts.get_mut(attempt)) else {
            return;
        };
        if !open.out {
            return;
        }
        open.written = true;
        let instance = open.instance;
        if let Some(life) = keeps {
            self.nodes[node as usize].idle.push(Idle { instance, life, since: self.now });
        }
        self.settle(id, attempt, outcome, util);
    }

    /// An attempt is over for its node, which closes its connection unless an answer came over it.
    pub(super) fn settle(&mut self, id: u64, attempt: usize, outcome: Outcome, util: Option<f64>) {
        let now = self.now;
        let Some(open) = self.tries.get_mut(id) else { return };
        let Some(over) = open.attempts.get_mut(attempt).filter(|over| over.out) else { return };
        over.out = false;
        let (instance, sent, booked, node) = (over.instance, over.sent, over.booked, open.node);
        let outcome = if over.written || outcome != Outcome::Cancelled { outcome } else { Outcome::Moot };
        let given_up = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Moot)
            || (outcome == Outcome::ConnectFailed && now.saturating_sub(sent) >= SILENT);
        if let Some(booked) = booked {
            self.ledger.attempt_ended(id, booked, outcome.may_have_run(), now);
        }
        if given_up {
            let zone = self.common.timeline.instances[instance as usize].zone;
            let way = self.way(zone);
            self.send(zone, now + way, What::Withdrawn { instance, job: job_id(self.zone, id, attempt) });
        }
        if outcome == Outcome::Served {
            self.finish(id, FinalAnswer::Served, 0);
        }
        let ended = self.tries.get(id).is_none_or(|open| open.ended);
        let settlement = AttemptResult {
            request: RequestId(id),
            attempt: attempt as u32,
            outcome,
            elapsed: now.saturating_sub(sent),
            request_ended: ended,
            report: LoadReport { util, ..LoadReport::default() },
        };
        self.tell(node, Event::AttemptEnded(settlement));
        self.drop_if_done(id);
    }

    /// A node gives the final answer, and its client gets it.
    pub(super) fn finish(&mut self, id: u64, answer: FinalAnswer, pause: Nanos) {
        let Some(open) = self.tries.get_mut(id).filter(|open| !open.ended) else { return };
        open.ended = true;
        let (ask, tries) = (open.ask, open.tries);
        self.ledger.request_answered(id, answer, self.now);
        if let Some(open) = self.tries.get_mut(id).filter(|open| !open.told) {
            open.told = true;
            self.client_sees(
                ask,
                tries,
                match answer {
                    FinalAnswer::Served => TryOutcome::Served,
                    FinalAnswer::Rejected => TryOutcome::Rejected(pause),
                    FinalAnswer::Failed => TryOutcome::Failed,
                },
            );
        }
    }

    /// The client's time is up: it closes its connection, by which its node learns of it.
    pub(super) fn given_up(&mut self, id: u64) {
        let Some(open) = self.tries.get_mut(id).filter(|open| !open.told) else { return };
        open.told = true;
        let (ask, tries) = (open.ask, open.tries);
        self.client_sees(ask, tries, TryOutcome::Failed);
    }

    pub(super) fn close(&mut self, id: u64) {
        let Some(open) = self.tries.get(id) else {
            self.ledger.request_expired(id, self.now);
            return;
        };
        let (node, life, ended) = (open.node, open.life, open.ended);
        self.ledger.request_expired(id, self.now);
        if !ended {
            self.tries.get_mut(id).into_iter().for_each(|open| open.ended = true);
            if self.nodes[node as usize].up && self.nodes[node as usize].life == life {
                self.tell(node, Event::ClientDisconnected { request: RequestId(id) });
            }
        }
        self.drop_if_done(id);
    }

    pub(super) fn drop_if_done(&mut self, id: u64) {
        let done = |open: &Try| open.ended && open.told && open.attempts.iter().all(|attempt| !attempt.out);
        if self.tries.get(id).is_some_and(done) {
            self.tries.remove(id);
            self.ledger.remove_if_done(id);
        }
    }
}
