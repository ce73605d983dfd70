//! Between the sockets and the module: the sole owner of the [`Balancer`]. Events go in, actions come out; what an
//! action asks of the network is left to a [`Transport`]. Nothing is decided here, and no borrow of the driver
//! outlives one of its calls.
//!
//! This file holds the turn of events. Beside it: `exchange`, what passes between the driver and the sockets;
//! `requests`, whom each answer goes to; `backends`, names, numbers and addresses; `timers`, what comes due.

mod backends;
mod requests;
#[cfg(test)]
pub mod tests;
mod timers;
mod types;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use brookfield::{
    Action, Arrival, AttemptResult, BackendId, Balancer, ClassId, DiscoveryMode, Event, Idempotency,
    ListScope, LogEvent, Nanos, Outcome, RequestId, Settings, SettingsError, SlowStartDecision, ZoneId,
    ZoneOverride,
};
use brookfield_settings::NameTable;
pub use flaxdale_fleet::clock::Clock;
use flaxdale_fleet::file::Fleet;
use tokio::sync::{Notify, oneshot};
use tracing::Level;

use backends::Backends;
use requests::Requests;
use timers::{Due, Timers};
pub use types::{
    Attempt, AttemptId, BackendEntry, ClientRequest, FinalResponse, HttpRequest, ListState, UpstreamResult,
};

/// How long past a request's end the driver waits for the module before it answers by itself: longer than
/// the module's own housekeeping, well inside the slack that the rules leave.
const BACKSTOP: Nanos = 20_000_000;

const MILLISECOND: Nanos = 1_000_000;
/// The log's target for slow start: attempts that it grants are at debug, those that it refuses at trace.
const SLOW_START: &str = "badgerpost::slow_start";

/// A figure with two digits behind the point.
fn rounded(figure: f64) -> f64 {
    (figure * 100.0).round() / 100.0
}

/// Carries out on the network what the module asks for.
pub trait Transport {
    /// Starts an attempt; its end comes back by [`Node::settled`], exactly once.
    fn start_attempt(&self, node: &Node, attempt: Attempt);
    /// Drops the idle connections to a backend that has left, moved or started anew.
    fn close_idle(&self, backend: BackendId);
}

struct Driver {
    clock: Clock,
    balancer: Balancer,
    settings: Settings,
    words: NameTable,
    requests: Requests,
    backends: Backends,
    timers: Timers,
    /// Set by the module's wish for the whole list.
    whole_list: bool,
}

/// Work that an event has left for the network.
#[derive(Default)]
struct Errands {
    attempts: Vec<Attempt>,
    retired: Vec<BackendId>,
    /// Attempts on a backend that has left the list meanwhile.
    moot: Vec<AttemptId>,
    ask: bool,
    rearm: bool,
}

/// A handle on the driver. Cheap to clone.
#[derive(Clone)]
pub struct Node {
    driver: Rc<RefCell<Driver>>,
    transport: Rc<dyn Transport>,
    timer: Rc<Notify>,
    asked: Rc<Notify>,
    clock: Clock,
    /// How the list stands; none where an agent tells it.
    list: Rc<Cell<Option<ListState>>>,
}

impl Node {
    /// A node with no backends yet.
    pub fn new(
        settings: Settings,
        words: NameTable,
        seed: u64,
        clock: Clock,
        transport: Rc<dyn Transport>,
    ) -> Result<Self, SettingsError> {
        let driver = Driver {
            clock,
            balancer: Balancer::new(settings.clone(), seed, clock.now())?,
            settings,
            words,
            requests: Requests::default(),
            backends: Backends::default(),
            timers: Timers::default(),
            whole_list: false,
        };
        let driver = Rc::new(RefCell::new(driver));
        let (timer, asked, list) = Default::default();
        let node = Self { driver, transport, timer, asked, clock, list };
        node.tell(|driver, errands| driver.hear(Event::Start, errands));
        Ok(node)
    }

    /// The node's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// A class's number, time limit and effect, or none where the settings do not list it.
    pub fn class(&self, name: &str) -> Option<(u32, Nanos, Idempotency)> {
        let driver = self.driver.borrow();
        let class = driver.words.class(name)?;
        let settings = driver.settings.classes.get(class as usize)?;
        Some((class, settings.deadline, settings.idempotency))
    }

    /// A tenant's number. `Err` for a name that the settings of a site with tenants do not list.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        let driver = self.driver.borrow();
        if driver.settings.tenant_quotas.is_empty() {
            return Ok(None);
        }
        driver.words.tenant(name).map(Some).ok_or(UnknownTenant)
    }

    /// The longest that any client waits.
    pub fn longest_deadline(&self) -> Duration {
        let driver = self.driver.borrow();
        Duration::from_nanos(driver.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }

    /// Whether the site's discovery has to be asked.
    pub fn asks_discovery(&self) -> bool {
        self.driver.borrow().settings.discovery == DiscoveryMode::OnRequest
    }

    /// Takes a request; the answer comes through what is returned. Dropping that first means that the client
    /// has gone.
    pub fn submit(&self, client_request: ClientRequest) -> PendingRequest {
        let (sender, response) = oneshot::channel();
        let request = self.tell(|driver, errands| driver.submit(client_request, sender, errands));
        PendingRequest { node: self.clone(), request, response }
    }

    /// Whether an attempt may still be written: a connect can outlast its request, or the grace of a backend
    /// that has begun to drain.
    pub fn may_send(&self, id: AttemptId) -> bool {
        let driver = self.driver.borrow();
        let (now, grace) = (driver.clock.now(), driver.settings.rules.drain_grace);
        // Half the grace: telling began before the list was read here, and the bytes have a way to go.
        driver.requests.live(id.request, now) && driver.backends.may_send_to(id.backend, now, grace / 2)
    }

    /// Whether any backend is known that takes requests.
    pub fn has_backend_in_service(&self) -> bool {
        self.driver.borrow().backends.any_in_service()
    }

    /// Whether a backend takes requests, at this address.
    pub fn is_in_service(&self, backend: BackendId, endpoint: SocketAddr) -> bool {
        self.driver.borrow().backends.is_in_service(backend, endpoint)
    }

    /// Takes the end of an attempt.
    pub fn attempt_ended(&self, id: AttemptId, result: UpstreamResult) {
        self.tell(|driver, errands| driver.attempt_ended(id, result, errands));
    }

    /// Takes a list from discovery.
    pub fn update_backends(&self, scope: ListScope, list: Vec<BackendEntry>) {
        self.tell(|driver, errands| driver.update_backends(scope, list, errands));
    }

    /// Discovery has answered that nothing has changed.
    pub fn list_unchanged(&self) {
        let mut driver = self.driver.borrow_mut();
        let now = driver.clock.now();
        driver.backends.heard(now);
    }

    /// Takes the fleet file's orders on zones. None is taken if one makes no sense here; the text says why.
    pub fn apply_zone_overrides(&self, fleet: &Fleet) -> Result<(), String> {
        self.tell(|driver, errands| driver.apply_zone_overrides(fleet, errands))
    }

    /// A call to discovery has failed. A wish for one from before that, such as the one at the start, has been
    /// met by this call: kept, it would have the next call made at once, by all nodes that started together.
    pub fn discovery_failed(&self) {
        std::pin::pin!(self.asked.notified()).enable();
        self.tell(|driver, errands| driver.hear(Event::DiscoveryFailed, errands));
    }

    /// Notes how the list stands.
    pub fn set_list_state(&self, state: ListState) {
        self.list.set(Some(state));
    }

    /// How the list stands; none where an agent tells it.
    pub fn list_state(&self) -> Option<ListState> {
        self.list.get()
    }

    /// Waits until the module asks for the watch or the list.
    pub async fn discovery_wanted(&self) {
        self.asked.notified().await;
    }

    /// Whether the module wants the whole list next; asking takes the wish back.
    pub fn take_whole_list(&self) -> bool {
        std::mem::take(&mut self.driver.borrow_mut().whole_list)
    }

    /// Runs the timers; never ends.
    pub async fn run_timers(&self) {
        loop {
            let next = self.driver.borrow().timers.next();
            match next {
                None => self.timer.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = self.timer.notified() => {}
                    }
                }
            }
            self.tell(|driver, errands| driver.fire(errands));
        }
    }

    /// One call into the driver; what it leaves to do is done once the borrow has ended.
    fn tell<T>(&self, call: impl FnOnce(&mut Driver, &mut Errands) -> T) -> T {
        let mut errands = Errands::default();
        let result = call(&mut self.driver.borrow_mut(), &mut errands);
        errands.retired.into_iter().for_each(|backend| self.transport.close_idle(backend));
        errands.attempts.into_iter().for_each(|attempt| self.transport.start_attempt(self, attempt));
        for id in errands.moot {
            self.attempt_ended(id, UpstreamResult::new(Outcome::Moot));
        }
        if errands.ask {
            self.asked.notify_one();
        }
        if errands.rearm {
            self.timer.notify_one();
        }
        result
    }
}

/// The settings name no such tenant.
#[derive(Debug, thiserror::Error)]
#[error("unknown tenant")]
pub struct UnknownTenant;

/// A request that is owed its answer.
pub struct PendingRequest {
    node: Node,
    request: RequestId,
    response: oneshot::Receiver<FinalResponse>,
}

impl PendingRequest {
    /// The final answer.
    pub async fn response(mut self) -> FinalResponse {
        // The sender is dropped unused only if the request has vanished, which promises nothing.
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingRequest {
    /// A client that hangs up takes its connection's task with it, and so this: the one place that notices.
    fn drop(&mut self) {
        let request = self.request;
        self.node.tell(|driver, errands| driver.client_gone(request, errands));
    }
}

impl Driver {
    fn hear(&mut self, event: Event, errands: &mut Errands) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action, errands);
        }
    }

    fn act(&mut self, action: Action, errands: &mut Errands) {
        match action {
            Action::Send { request, backend, timeout, send_by } => {
                self.send(request, backend, (timeout, send_by), errands);
            }
            Action::Reject { request, retry_after } => {
                self.finish(request, FinalResponse::Rejected(retry_after))
            }
            Action::Fail { request } => self.finish(request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => self.requests.withdraw(request, attempt),
            // The settings may allow probes, but they cost the servers work and the module asks for none.
            Action::Probe { backend } => {
                tracing::warn!(backend = self.backends.uid(backend), "probe asked for; nodes make none");
            }
            Action::Watch => errands.ask = true,
            Action::Fetch => {
                self.whole_list = true;
                errands.ask = true;
            }
            Action::Timer { after, token } => {
                self.set_timer(self.clock.now().saturating_add(after), Due::Module(token), errands);
            }
            Action::Log(event) => self.log(event),
        }
    }

    /// The module's notes, with the names that people know.
    fn log(&self, event: LogEvent) {
        match event {
            LogEvent::Spillover { home, spilling, best } => {
                let (zone, best) = (self.words.zone_name(home), self.words.zone_name(best));
                tracing::info!(zone, spilling, best, "home zone crossed the threshold");
            }
            LogEvent::Ejected { backend, duration, cause } => {
                let backend = self.backends.uid(backend);
                tracing::info!(backend, cause = ?cause, span_ms = duration / 1_000_000, "backend ejected");
            }
            LogEvent::SlowStart(decision) => self.log_slow_start(decision),
            LogEvent::WarmedUp { backend } => {
                tracing::info!(backend = self.backends.uid(backend), "backend warm");
            }
            LogEvent::ShareReached { zone, percent } => {
                tracing::info!(zone = self.words.zone_name(zone), percent, "the zone has its ordered share");
            }
            LogEvent::Readmitted { backend } => {
                tracing::info!(backend = self.backends.uid(backend), "backend readmitted");
            }
        }
    }

    /// Work in requests of mean work, parts in percent: a line is read by people.
    fn log_slow_start(&self, decision: SlowStartDecision) {
        macro_rules! log {
            ($level:expr) => {
                tracing::event!(
                    target: SLOW_START,
                    $level,
                    backend = self.backends.uid(decision.backend),
                    branch = ?decision.branch,
                    age_ms = decision.age / MILLISECOND,
                    ramp_percent = (100.0 * decision.ramp).round(),
                    estimate = rounded(decision.capacity_estimate),
                    measured = rounded(decision.measured_rate),
                    least = rounded(decision.min_budget),
                    chance = rounded(decision.variance_allowance),
                    slow_percent = (100.0 * decision.slowness).round(),
                    proven_percent = (100.0 * decision.speed_factor).round(),
                    budget = rounded(decision.budget),
                    spent = rounded(decision.spent),
                    cost = rounded(decision.cost),
                    refusals = decision.denials,
                    "slow start"
                )
            };
        }
        if decision.branch.grants() { log!(Level::DEBUG) } else { log!(Level::TRACE) }
    }

    fn set_timer(&mut self, at: Nanos, due: Due, errands: &mut Errands) {
        errands.rearm |= self.timers.set(at, due);
    }

    fn fire(&mut self, errands: &mut Errands) {
        let now = self.clock.now();
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Module(token) => self.hear(Event::Timer { token }, errands),
                Due::Backstop(request) => self.backstop(request, errands),
            }
        }
    }

    /// Guards against a request that the module forgot: past the client's time it fails, come what may.
    fn backstop(&mut self, request: RequestId, errands: &mut Errands) {
        if self.requests.waits(request) {
            tracing::warn!(request = self.requests.call_id(request), "a request had no answer at its end");
            self.finish(request, FinalResponse::Failed);
            self.hear(Event::ClientDisconnected { request }, errands);
            self.requests.forget_if_done(request);
        }
    }

    fn submit(
        &mut self,
        client_request: ClientRequest,
        sender: oneshot::Sender<FinalResponse>,
        errands: &mut Errands,
    ) -> RequestId {
        let not_after = self.clock.now().saturating_add(client_request.budget);
        let request = self.requests.open(client_request.http, sender, not_after);
        self.set_timer(not_after.saturating_add(BACKSTOP), Due::Backstop(request), errands);
        let (class, budget_ms) = (client_request.class, client_request.budget / 1_000_000);
        tracing::debug!(request = self.requests.call_id(request), class, budget_ms, "request received");
        let arrival = Arrival {
            request,
            class: ClassId(class),
            cost_hint: client_request.cost_hint,
            is_retry: client_request.is_retry,
            tenant: client_request.tenant,
            not_after,
        };
        self.hear(Event::Request(arrival), errands);
        self.requests.forget_if_done(request);
        request
    }

    fn send(
        &mut self,
        request: RequestId,
        backend: BackendId,
        (timeout, send_by): (Option<Nanos>, Option<Nanos>),
        errands: &mut Errands,
    ) {
        let now = self.clock.now();
        let Some(begun) = self.requests.begin(request, now) else { return };
        let id = AttemptId { request, attempt: begun.attempt, backend };
        let Some(endpoint) = self.backends.endpoint(backend) else {
            errands.moot.push(id);
            return;
        };
        tracing::debug!(
            request = self.requests.call_id(request),
            attempt = begun.attempt,
            backend = self.backends.uid(backend),
            "attempt started"
        );
        let end = timeout.map_or(Nanos::MAX, |timeout| now.saturating_add(timeout));
        errands.attempts.push(Attempt {
            id,
            backend,
            endpoint,
            http: begun.http,
            give_up: end.min(begun.not_after),
            not_after: begun.not_after,
            send_by: send_by.unwrap_or(Nanos::MAX),
            withdrawn: begun.withdrawn,
        });
    }

    /// Gives the final answer. Only the first one of a request goes out.
    fn finish(&mut self, request: RequestId, response: FinalResponse) {
        let answer = response.word();
        if let Some(not_after) = self.requests.finish(request, response) {
            tracing::debug!(request = self.requests.call_id(request), answer, "request ended");
            self.timers.clear(not_after.saturating_add(BACKSTOP), Due::Backstop(request));
        }
    }

    fn attempt_ended(&mut self, id: AttemptId, result: UpstreamResult, errands: &mut Errands) {
        let AttemptId { request, attempt, backend } = id;
        let Some(since) = self.requests.settle(request, attempt) else { return };
        let elapsed = self.clock.now().saturating_sub(since);
        let (outcome, report) = (result.outcome, result.report);
        tracing::debug!(
            request = self.requests.call_id(request),
            attempt,
            backend = self.backends.uid(backend),
            ?outcome,
            took_us = elapsed / 1000,
            "attempt ended"
        );
        if outcome == Outcome::Served {
            self.finish(request, FinalResponse::Served(result.body));
        }
        let request_ended = !self.requests.waits(request);
        let attempt_result = AttemptResult { request, attempt, outcome, elapsed, request_ended, report };
        self.hear(Event::AttemptEnded(attempt_result), errands);
        self.requests.forget_if_done(request);
    }

    fn client_gone(&mut self, request: RequestId, errands: &mut Errands) {
        if self.requests.waits(request) {
            self.finish(request, FinalResponse::Failed);
            self.hear(Event::ClientDisconnected { request }, errands);
        }
        self.requests.forget_if_done(request);
    }

    fn apply_zone_overrides(&mut self, fleet: &Fleet, errands: &mut Errands) -> Result<(), String> {
        let known: Vec<&str> =
            (0..self.settings.zone_count).map(|zone| self.words.zone_name(ZoneId(zone))).collect();
        let mut regions: Vec<&str> = vec![""];
        let mut orders = Vec::new();
        for (name, zone) in &fleet.zones {
            let Some(number) = known.iter().position(|known| known == name) else {
                return Err(format!("zones.{name}: is none of {}", known.join(", ")));
            };
            let region = regions.iter().position(|region| *region == zone.region);
            let region = region.unwrap_or(regions.len());
            if region == regions.len() {
                regions.push(&zone.region);
            }
            orders.push(ZoneOverride {
                zone: ZoneId(number as u32),
                region: region as u32,
                traffic_share: zone.share,
            });
        }
        if orders.len() == known.len() && orders.iter().all(|order| order.traffic_share <= 0.0) {
            return Err("zones: no zone may be given anything".to_owned());
        }
        for (name, zone) in &fleet.zones {
            let (region, share) = (&zone.region, zone.share);
            tracing::info!(zone = name, region, share, "ordered");
        }
        self.hear(Event::ZoneOverrides(orders), errands);
        Ok(())
    }

    fn update_backends(&mut self, scope: ListScope, list: Vec<BackendEntry>, errands: &mut Errands) {
        let now = self.clock.now();
        tracing::debug!(scope = ?scope, count = list.len(), "list taken");
        let changed = self.backends.take(scope, list, now, &mut self.words);
        errands.retired.extend(changed.retired);
        self.hear(Event::BackendList { scope, members: changed.members }, errands);
        errands.retired.extend(self.backends.drop_left(changed.left, now));
    }
}
