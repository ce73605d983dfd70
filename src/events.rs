//! Event dispatch: routes each event to the module that handles it. The interface is in `api.rs`, the node's
//! state in `state.rs`.

use crate::api::*;
use crate::state::*;

/// Interval of housekeeping while requests are queued: short against latency targets of tens of milliseconds,
/// and long enough to cost no noticeable CPU.
const HOUSEKEEPING_INTERVAL: Nanos = 10 * MS;

impl Balancer {
    /// Handles one event and appends the resulting actions. Time never runs backwards: a `now` earlier than
    /// the last one counts as the last one.
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
            Event::ZoneOverrides(overrides) => self.apply_zone_overrides(&overrides),
            Event::Request(arrival) => self.on_arrival(arrival, actions),
            Event::AttemptEnded(result) => self.on_attempt_ended(result, actions),
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

    /// Arms the timer only while a queued request or a discovery retry needs it; with many nodes, a permanent
    /// timer on each would cost more CPU than all requests: it made days of the full fleet exceed their time.
    pub(crate) fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        let queued = (!self.queue.is_empty()).then(|| self.now + self.housekeeping_interval());
        let Some(next) = queued.into_iter().chain(self.watch_retry_at.map(|at| at.max(self.now + MS))).min()
        else {
            return;
        };
        if self.timer_due_at.is_none_or(|at| at <= self.now || next < at) {
            self.timer_due_at = Some(next);
            actions.push(Action::Timer { after: next - self.now, token: 0 });
        }
    }

    /// Runs the periodic updates and the work on queued requests.
    pub(crate) fn housekeeping(&mut self, actions: &mut Vec<Action>) {
        if self.watch_retry_at.is_some_and(|at| self.now >= at) {
            self.watch_retry_at = None;
            actions.push(Action::Watch);
        }
        self.refresh(actions);
        self.drain_queue(actions);
        self.expire_queue(actions);
    }

    /// Logs an event, or drops it if another one was logged within the last second.
    pub(crate) fn log(&mut self, actions: &mut Vec<Action>, event: LogEvent) {
        if self.now >= self.next_log_at {
            self.next_log_at = self.now + SECOND;
            actions.push(Action::Log(event));
        }
    }
}
