//! Simulation of a node's driver, between the load balancer and the network.

use super::*;

impl Shard {
    /// Whether a node can handle an event now. Events for a paused node are kept until it resumes.
    pub(super) fn accepts_event(
        &mut self,
        node: u32,
        incarnation: u32,
        event: impl FnOnce() -> SimEvent,
    ) -> bool {
        let node_state = &mut self.nodes[node as usize];
        if node_state.paused && node_state.incarnation == incarnation {
            node_state.deferred_events.push(event());
            return false;
        }
        node_state.up && node_state.incarnation == incarnation
    }

    pub(super) fn try_arrived(&mut self, id: u64) {
        let Some(open_try) = self.open_tries.get(id) else { return };
        let (node, incarnation, request) = (open_try.node, open_try.incarnation, open_try.request);
        if !self.accepts_event(node, incarnation, || SimEvent::TryArrived { id }) {
            return;
        }
        let Some(open_try) = self.open_tries.get(id).filter(|open_try| !open_try.responded) else { return };
        let arrival = Arrival {
            request: RequestId(id),
            class: ClassId(request.class as u32),
            cost_hint: None,
            is_retry: false,
            tenant: request.tenant.map(|tenant| tenant as u32),
            not_after: open_try.not_after,
        };
        self.notify_balancer(node, Event::Request(arrival));
    }

    pub(super) fn notify_balancer(&mut self, node: u32, event: Event) {
        if self.shared.tick == 0 {
            self.balancers.handle(node as usize, self.now, event, &mut self.actions);
            self.apply_actions();
        } else {
            self.pending_events.push((node as usize, event));
            if !std::mem::replace(&mut self.tick_scheduled, true) {
                let tick = self.shared.tick;
                self.schedule((self.now / tick + 1) * tick, SimEvent::Tick);
            }
        }
    }

    pub(super) fn tick(&mut self) {
        self.tick_scheduled = false;
        for (node, event) in std::mem::take(&mut self.pending_events) {
            if self.nodes[node].up {
                self.balancers.handle(node, self.now, event, &mut self.actions);
            }
        }
        match self.balancers.flush(self.now, &mut self.actions) {
            Ok(()) => self.apply_actions(),
            Err(error) => self.error = Some(error),
        }
    }

    pub(super) fn apply_actions(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        for (node, action) in &actions {
            let node = *node as u32;
            match *action {
                Action::Send { request, backend, timeout, send_by } => {
                    self.start_attempt(node, request.0, backend, timeout);
                    if let Some(send_by) = send_by {
                        self.set_send_deadline(request.0, send_by);
                    }
                }
                Action::Reject { request, retry_after } => {
                    self.send_final_response(request.0, FinalResponse::Rejected, retry_after)
                }
                Action::Fail { request } => self.send_final_response(request.0, FinalResponse::Failed, 0),
                Action::Cancel { request, attempt } => {
                    self.end_attempt(request.0, attempt as usize, Outcome::Cancelled, None);
                }
                Action::Timer { after, token } => {
                    let (at, incarnation) = (self.now + after, self.nodes[node as usize].incarnation);
                    self.schedule(at, SimEvent::Timer { node, incarnation, token });
                }
                // The list is pushed, probes are not simulated, and logs are ignored.
                Action::Watch | Action::Fetch | Action::Probe { .. } | Action::Log(_) => {}
            }
        }
        // Reuses the buffer, unless the actions have led to further ones.
        if self.actions.is_empty() {
            self.actions = actions;
            self.actions.clear();
        }
    }

    pub(super) fn start_attempt(&mut self, node: u32, id: u64, backend: BackendId, timeout: Option<Nanos>) {
        let now = self.now;
        let shared = self.shared.clone();
        let instance = backend.0;
        let Some(target) = shared.timeline.instances.get(instance as usize) else { return };
        let (zone, spec) = (target.zone, &shared.world.servers[target.server].spec);
        let node_index = self.nodes[node as usize].index;
        let cell = spec.cell;
        let drain_notified_at = self.nodes[node as usize].drain_notified_at.get(&instance).copied();
        // The result of an attempt after the final response would be discarded.
        let is_open =
            |open_try: &&mut OpenTry| !open_try.responded && open_try.attempts.len() < 1 << ATTEMPT_BITS;
        let Some(open_try) = self.open_tries.get_mut(id).filter(is_open) else {
            self.invariants.record_violation(
                Rule::OneOutcome,
                crate::invariants::wire_id(id),
                now,
                "attempt started after the final response".into(),
            );
            return;
        };
        let attempt = open_try.attempts.len();
        let not_after = open_try.not_after;
        let request = open_try.request;
        let class = &shared.world.classes[request.class];
        // All tries of a client's request have the same key. Sequence numbers are per zone.
        let key = u64::from(request.zone) << (64 - ZONE_BITS) | request.number;
        let key =
            (class.idempotency == Idempotency::Keyed).then_some((DedupKey { cell, key }, class.dedup_window));
        let failure_draw = self.rng.random();
        let attempt_job_id = job_id(self.zone, id, attempt);
        let job = Job {
            id: attempt_job_id,
            sender: node_index as u32,
            work: open_try.request.work,
            io_wait: open_try.request.io_wait,
            not_after,
            failure_draw,
            known_start: self.nodes[node as usize].known_starts.get(&instance).copied(),
        };
        let checker_index = self.invariants.attempt_arrived(id, instance, cell, drain_notified_at, now);
        open_try.attempts.push(Attempt {
            instance,
            sent_at: now,
            in_flight: true,
            request_written: true,
            checker_index,
        });
        self.stats.attempts += 1;
        self.stats.cross_zone_attempts += u64::from(zone != self.zone);
        let expires_at = timeout.map_or(not_after, |timeout| not_after.min(now + timeout));
        self.schedule(
            expires_at,
            SimEvent::AttemptTimeout { id, attempt: attempt as u32, connect_only: false },
        );
        let server_epoch = self.take_idle_connection(node, instance);
        let mut delay = self.delay_to(zone);
        if server_epoch.is_none() {
            self.stats.connections_opened += 1;
            delay += (HANDSHAKE_ONE_WAY_DELAYS - 1) * shared.world.one_way_delay(self.zone, zone);
            if let Some(open_try) = self.open_tries.get_mut(id) {
                open_try.attempts[attempt].request_written = false;
            }
            if now + CONNECT_TIMEOUT < expires_at {
                let event = SimEvent::AttemptTimeout { id, attempt: attempt as u32, connect_only: true };
                self.schedule(now + CONNECT_TIMEOUT, event);
            }
        }
        match shared.timeline.link_fault(
            now,
            (LinkEnd::Node(node_index), self.zone),
            (LinkEnd::Server(target.server), zone),
        ) {
            Some(LinkFault::Cut) => return,
            Some(LinkFault::Delay(extra)) => delay += extra,
            Some(LinkFault::Throttle(rate)) => delay += transfer_time(rate),
            Some(LinkFault::Reset(chance)) => {
                let resets_at = now.saturating_add(self.time_to_reset(chance));
                if resets_at < expires_at {
                    self.schedule(resets_at, SimEvent::ConnectionReset { id, attempt: attempt as u32 });
                }
            }
            None => {}
        }
        self.schedule_in_zone(
            zone,
            now + delay,
            SimEvent::RequestArrived(RequestMessage { instance, server_epoch, job, key }),
        );
    }

    /// Times out the attempt that was just started unless its request has been written by `send_by`.
    fn set_send_deadline(&mut self, id: u64, send_by: Nanos) {
        let Some(open_try) = self.open_tries.get(id) else { return };
        if let Some(attempt) = open_try.attempts.len().checked_sub(1)
            && open_try.attempts[attempt].in_flight
        {
            self.schedule(
                send_by.max(self.now),
                SimEvent::AttemptTimeout { id, attempt: attempt as u32, connect_only: true },
            );
        }
    }

    /// Takes an idle connection to a process. The most recently used one is taken, so that excess ones time
    /// out.
    pub(super) fn take_idle_connection(&mut self, node: u32, instance: u32) -> Option<u64> {
        let now = self.now;
        let server_epoch = {
            let idle = &mut self.nodes[node as usize].idle_connections;
            let index = idle
                .iter()
                .rposition(|idle| idle.instance == instance && now < idle.idle_since + IDLE_TIMEOUT);
            index.map(|index| idle.remove(index).server_epoch)
        };
        if server_epoch.is_none() {
            self.close_stale_connections(node);
        }
        server_epoch
    }

    pub(super) fn close_stale_connections(&mut self, node: u32) {
        let now = self.now;
        let mut closed = Vec::new();
        let idle = &mut self.nodes[node as usize].idle_connections;
        let excess = idle.len().saturating_sub(MAX_IDLE_CONNECTIONS);
        let mut position = 0;
        idle.retain(|idle| {
            position += 1;
            let keep = now < idle.idle_since + IDLE_TIMEOUT && position > excess;
            if !keep {
                closed.push((idle.instance, idle.server_epoch));
            }
            keep
        });
        for (instance, server_epoch) in closed {
            let zone = self.shared.timeline.instances[instance as usize].zone;
            let delay = self.delay_to(zone);
            self.schedule_in_zone(zone, now + delay, SimEvent::IdleClosed { instance, server_epoch });
        }
    }

    /// Time until the next reset of a link with this probability of a reset per second.
    fn time_to_reset(&mut self, chance: f64) -> Nanos {
        let rate = -(-chance.min(0.999_999)).ln_1p();
        let drawn: f64 = rand_distr::Exp1.sample(&mut self.rng);
        crate::world::seconds((drawn / rate).min(1e6))
    }

    /// The connection of an attempt is reset. The server sees a closed connection, as after a cancellation.
    pub(super) fn connection_reset(&mut self, id: u64, attempt: u32) {
        let Some(open_try) = self.open_tries.get(id) else { return };
        let (node, incarnation) = (open_try.node, open_try.incarnation);
        if !self.accepts_event(node, incarnation, || SimEvent::ConnectionReset { id, attempt }) {
            return;
        }
        let Some(current) =
            self.open_tries.get(id).and_then(|open_try| open_try.attempts.get(attempt as usize))
        else {
            return;
        };
        if !current.in_flight {
            return;
        }
        let (instance, request_written) = (current.instance, current.request_written);
        // A server that has not accepted the connection after this time counts as unreachable; `end_attempt`
        // then closes the attempt.
        if request_written || self.now.saturating_sub(current.sent_at) < UNREACHABLE_AFTER {
            let zone = self.shared.timeline.instances[instance as usize].zone;
            let delay = self.delay_to(zone);
            let job = job_id(self.zone, id, attempt as usize);
            self.schedule_in_zone(zone, self.now + delay, SimEvent::AttemptClosed { instance, job });
        }
        let outcome = if request_written { Outcome::Reset } else { Outcome::ConnectFailed };
        self.end_attempt(id, attempt as usize, outcome, None);
    }

    pub(super) fn attempt_timed_out(&mut self, id: u64, attempt: u32, connect_only: bool) {
        let Some(open_try) = self.open_tries.get(id) else { return };
        let (node, incarnation) = (open_try.node, open_try.incarnation);
        if !self.accepts_event(node, incarnation, || SimEvent::AttemptTimeout { id, attempt, connect_only }) {
            return;
        }
        let Some(current) =
            self.open_tries.get(id).and_then(|open_try| open_try.attempts.get(attempt as usize))
        else {
            return;
        };
        if !current.in_flight || (connect_only && current.request_written) {
            return;
        }
        let unreachable =
            !current.request_written && self.now.saturating_sub(current.sent_at) >= UNREACHABLE_AFTER;
        let outcome = match (unreachable, current.request_written) {
            (true, _) => Outcome::ConnectFailed,
            (false, false) => Outcome::Moot,
            (false, true) => Outcome::TimedOut,
        };
        self.end_attempt(id, attempt as usize, outcome, None);
    }

    pub(super) fn attempt_result(
        &mut self,
        job: u64,
        outcome: Outcome,
        ran: bool,
        util: Option<f64>,
        kept_epoch: Option<u64>,
    ) {
        let (id, attempt) = try_of_job(job);
        let Some(open_try) = self.open_tries.get(id) else { return };
        let (node, incarnation) = (open_try.node, open_try.incarnation);
        if !self.accepts_event(node, incarnation, || SimEvent::AttemptResult {
            job,
            outcome,
            ran,
            util,
            kept_epoch,
        }) {
            return;
        }
        let Some(current) =
            self.open_tries.get_mut(id).and_then(|open_try| open_try.attempts.get_mut(attempt))
        else {
            return;
        };
        if !current.in_flight {
            return;
        }
        current.request_written = true;
        let instance = current.instance;
        if let Some(server_epoch) = kept_epoch {
            self.nodes[node as usize].idle_connections.push(IdleConnection {
                instance,
                server_epoch,
                idle_since: self.now,
            });
        }
        self.end_attempt(id, attempt, outcome, util);
    }

    /// An attempt has ended for its node. Its connection is closed unless it got a response.
    pub(super) fn end_attempt(&mut self, id: u64, attempt: usize, outcome: Outcome, util: Option<f64>) {
        let now = self.now;
        let Some(open_try) = self.open_tries.get_mut(id) else { return };
        let Some(current) = open_try.attempts.get_mut(attempt).filter(|current| current.in_flight) else {
            return;
        };
        current.in_flight = false;
        let (instance, sent_at, checker_index, node) =
            (current.instance, current.sent_at, current.checker_index, open_try.node);
        let outcome =
            if current.request_written || outcome != Outcome::Cancelled { outcome } else { Outcome::Moot };
        let closes_connection = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Moot)
            || (outcome == Outcome::ConnectFailed && now.saturating_sub(sent_at) >= UNREACHABLE_AFTER);
        if let Some(checker_index) = checker_index {
            self.invariants.attempt_ended(id, checker_index, outcome.may_have_run(), now);
        }
        if closes_connection {
            let zone = self.shared.timeline.instances[instance as usize].zone;
            let delay = self.delay_to(zone);
            self.schedule_in_zone(
                zone,
                now + delay,
                SimEvent::AttemptClosed { instance, job: job_id(self.zone, id, attempt) },
            );
        }
        if outcome == Outcome::Served {
            self.send_final_response(id, FinalResponse::Served, 0);
        }
        let responded = self.open_tries.get(id).is_none_or(|open_try| open_try.responded);
        let result = AttemptResult {
            request: RequestId(id),
            attempt: attempt as u32,
            outcome,
            elapsed: now.saturating_sub(sent_at),
            request_ended: responded,
            report: LoadReport { util, ..LoadReport::default() },
        };
        self.notify_balancer(node, Event::AttemptEnded(result));
        self.remove_if_done(id);
    }

    /// Sends the final response to the client.
    pub(super) fn send_final_response(&mut self, id: u64, response: FinalResponse, retry_after: Nanos) {
        let Some(open_try) = self.open_tries.get_mut(id).filter(|open_try| !open_try.responded) else {
            return;
        };
        open_try.responded = true;
        let (request, try_number) = (open_try.request, open_try.try_number);
        self.invariants.response_received(id, response, self.now);
        if let Some(open_try) = self.open_tries.get_mut(id).filter(|open_try| !open_try.client_done) {
            open_try.client_done = true;
            self.try_ended(
                request,
                try_number,
                match response {
                    FinalResponse::Served => TryOutcome::Served,
                    FinalResponse::Rejected => TryOutcome::Rejected(retry_after),
                    FinalResponse::Failed => TryOutcome::Failed,
                },
            );
        }
    }

    /// The client times out and closes its connection.
    pub(super) fn client_timed_out(&mut self, id: u64) {
        let Some(open_try) = self.open_tries.get_mut(id).filter(|open_try| !open_try.client_done) else {
            return;
        };
        open_try.client_done = true;
        let (request, try_number) = (open_try.request, open_try.try_number);
        self.try_ended(request, try_number, TryOutcome::Failed);
    }

    pub(super) fn try_expired(&mut self, id: u64) {
        let Some(open_try) = self.open_tries.get(id) else {
            self.invariants.request_expired(id, self.now);
            return;
        };
        let (node, incarnation, responded) = (open_try.node, open_try.incarnation, open_try.responded);
        self.invariants.request_expired(id, self.now);
        if !responded {
            self.open_tries.get_mut(id).into_iter().for_each(|open_try| open_try.responded = true);
            if self.nodes[node as usize].up && self.nodes[node as usize].incarnation == incarnation {
                self.notify_balancer(node, Event::ClientDisconnected { request: RequestId(id) });
            }
        }
        self.remove_if_done(id);
    }

    pub(super) fn remove_if_done(&mut self, id: u64) {
        let is_done = |open_try: &OpenTry| {
            open_try.responded
                && open_try.client_done
                && open_try.attempts.iter().all(|attempt| !attempt.in_flight)
        };
        if self.open_tries.get(id).is_some_and(is_done) {
            self.open_tries.remove(id);
            self.invariants.remove_if_done(id);
        }
    }
}
