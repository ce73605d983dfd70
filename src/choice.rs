//! The turn of events: what each event sets off. The interface (settings, events, actions, ids) is in
//! `api.rs`, what a node keeps in `state.rs`; each decision has a module of its own.

use crate::api::*;
use crate::state::*;

/// Housekeeping period: fine enough against aims of tens of milliseconds, coarse enough to cost no CPU.
const HOUSEKEEPING_INTERVAL: Nanos = 10 * MS;

impl Balancer {
    /// Takes one event in and adds what is to be done. A clock that steps back stands still.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Start => {
                self.retry_tokens = self.max_retry_tokens();
                if self.settings.discovery == DiscoveryMode::OnRequest {
                    actions.push(Action::Watch);
                }
            }
            Event::BackendList { scope, members } => self.update_backends(scope, members),
            Event::DiscoveryFailed => self.schedule_watch_retry(),
            Event::ZoneOverrides(orders) => self.apply_zone_overrides(&orders),
            Event::Request(arrival) => self.on_arrival(arrival, actions),
            Event::AttemptEnded(settlement) => self.on_attempt_ended(settlement, actions),
            Event::ResponseStarted { request } => {
                let open = self.requests.get_mut(&request).filter(|r| r.phase != Phase::Ended);
                open.into_iter().for_each(|r| r.phase = Phase::Streaming);
            }
            Event::ProbeEnded { backend, report, .. } => self.record_load_report(backend, report),
            Event::ClientDisconnected { request } => self.remove_request(request),
            Event::Timer { .. } => self.housekeeping(actions),
        }
        self.queue.retain(|id| self.requests.get(id).is_some_and(|request| request.phase == Phase::Queued));
        self.arm_timer(actions);
    }

    pub(crate) fn housekeeping_interval(&self) -> Nanos {
        HOUSEKEEPING_INTERVAL.min(self.settings.rules.answer_slack / 2).max(self.settings.quantum).max(MS)
    }

    /// Asks for the next wake-up only while something waits for one: at full size a timer that always ran
    /// cost more than all requests together (it cut full-size days off as too slow).
    pub(crate) fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        let held = (!self.queue.is_empty()).then(|| self.now + self.housekeeping_interval());
        let Some(next) = held.into_iter().chain(self.watch_retry_at.map(|at| at.max(self.now + MS))).min()
        else {
            return;
        };
        if self.timer_due_at.is_none_or(|at| at <= self.now || next < at) {
            self.timer_due_at = Some(next);
            actions.push(Action::Timer { after: next - self.now, token: 0 });
        }
    }

    pub(crate) fn housekeeping(&mut self, actions: &mut Vec<Action>) {
        if self.watch_retry_at.is_some_and(|at| self.now >= at) {
            self.watch_retry_at = None;
            actions.push(Action::Watch);
        }
        self.refresh(actions);
        self.drain_queue(actions);
        self.expire_queue(actions);
    }

    /// Log lines are for people: at most one a second.
    pub(crate) fn log(&mut self, actions: &mut Vec<Action>, note: LogEvent) {
        if self.now >= self.next_log_at {
            self.next_log_at = self.now + SECOND;
            actions.push(Action::Log(note));
        }
    }
}
