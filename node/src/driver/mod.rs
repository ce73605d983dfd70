//! The driver: the sole owner of the [`Balancer`]. It passes events to the balancer and carries out the
//! resulting actions; network I/O is done by a [`Transport`]. It makes no load-balancing decision, and no
//! borrow of its state outlives a call.

mod backends;
mod past_ids;
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

use crate::memory::{Account, Kind, Permit};
use backends::Backends;
use requests::RequestTable;
use timers::{Timer, TimerQueue};
pub use types::{
    Attempt, AttemptId, BackendEntry, ClientRequest, FinalResponse, HiddenClose, HttpRequest, ListState,
    RequestMemory, UpstreamResult,
};

/// How long after its deadline the driver fails a request that the balancer has left open. Longer than the
/// balancer takes to end it, and within the slack that the rules allow.
const WATCHDOG_DELAY_NS: Nanos = 20_000_000;

const NANOS_PER_MS: Nanos = 1_000_000;
/// Memory for each backend on the list: its state here and in the balancer, and its entry while a list is parsed.
const BYTES_PER_BACKEND: usize = 1536;
/// Log target for slow start: attempts that it allows are logged at debug, those that it denies at trace.
const SLOW_START: &str = "badgerpost::slow_start";

/// Rounds to two decimals.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Makes attempts over the network.
pub trait Transport {
    /// Starts an attempt. Its result is reported to [`Node::attempt_ended`], exactly once.
    fn start_attempt(&self, node: &Node, attempt: Attempt);
    /// Closes the idle connections to a backend that is draining, was removed, restarted or changed its
    /// address.
    fn close_idle(&self, backend: BackendId);
}

struct Driver {
    clock: Clock,
    balancer: Balancer,
    settings: Settings,
    names: NameTable,
    requests: RequestTable,
    backends: Backends,
    timers: TimerQueue,
    /// Whether the balancer has requested the full list.
    fetch_requested: bool,
    /// The memory that the list of backends takes.
    list_memory: Option<Permit>,
}

/// Work to be done once the borrow of the driver has ended.
#[derive(Default)]
struct DeferredWork {
    attempts: Vec<Attempt>,
    close_idle: Vec<BackendId>,
    /// Attempts at backends that have been removed from the list, or for clients that could have gone unnoticed.
    unsendable: Vec<AttemptId>,
    request_discovery: bool,
    rearm_timer: bool,
}

/// A handle to the driver. Cheap to clone.
#[derive(Clone)]
pub struct Node {
    driver: Rc<RefCell<Driver>>,
    transport: Rc<dyn Transport>,
    timer_changed: Rc<Notify>,
    discovery_request: Rc<Notify>,
    clock: Clock,
    /// State of the list watched at the registry; none without a registry.
    list: Rc<Cell<Option<ListState>>>,
}

impl Node {
    /// Creates a node without backends.
    pub fn new(
        settings: Settings,
        names: NameTable,
        seed: u64,
        clock: Clock,
        transport: Rc<dyn Transport>,
    ) -> Result<Self, SettingsError> {
        let driver = Driver {
            clock,
            balancer: Balancer::new(settings.clone(), seed, clock.now())?,
            settings,
            names,
            requests: RequestTable::default(),
            backends: Backends::default(),
            timers: TimerQueue::default(),
            fetch_requested: false,
            list_memory: None,
        };
        let driver = Rc::new(RefCell::new(driver));
        let (timer_changed, discovery_request, list) = Default::default();
        let node = Self { driver, transport, timer_changed, discovery_request, clock, list };
        node.with_driver(|driver, deferred| driver.handle_event(Event::Start, deferred));
        Ok(node)
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Index, deadline and idempotency of a request class; none if the settings do not list it.
    pub fn class(&self, name: &str) -> Option<(u32, Nanos, Idempotency)> {
        let driver = self.driver.borrow();
        let class = driver.names.class(name)?;
        let settings = driver.settings.classes.get(class as usize)?;
        Some((class, settings.deadline, settings.idempotency))
    }

    /// Index of a tenant; none if the settings list no tenants at all.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        let driver = self.driver.borrow();
        if driver.settings.tenant_quotas.is_empty() {
            return Ok(None);
        }
        driver.names.tenant(name).map(Some).ok_or(UnknownTenant)
    }

    /// Whether a request with this id of the client's, which must not run twice, is open or may have run.
    pub fn is_repeated(&self, id: &str) -> bool {
        self.driver.borrow().requests.is_repeated(id)
    }

    /// The longest deadline of all request classes.
    pub fn longest_deadline(&self) -> Duration {
        let driver = self.driver.borrow();
        Duration::from_nanos(driver.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }

    /// Whether discovery is queried on request rather than pushing changes.
    pub fn discovery_is_on_request(&self) -> bool {
        self.driver.borrow().settings.discovery == DiscoveryMode::OnRequest
    }

    /// Accepts a request. Dropping the returned [`PendingRequest`] before its response means that the client
    /// has disconnected.
    pub fn submit(&self, client_request: ClientRequest) -> PendingRequest {
        let (sender, response) = oneshot::channel();
        let request = self.with_driver(|driver, deferred| driver.submit(client_request, sender, deferred));
        PendingRequest { node: self.clone(), request, response }
    }

    /// Whether an attempt may still be written. Its request may have ended during the connect, or its backend
    /// may have been removed or drained past the grace period.
    pub fn may_send(&self, id: AttemptId) -> bool {
        let driver = self.driver.borrow();
        let (now, grace) = (driver.clock.now(), driver.settings.rules.drain_grace);
        // Half the grace period, as the drain began before this node learned of it and sending takes time.
        driver.requests.may_attempt(id.request, id.attempt, now)
            && driver.backends.may_send_to(id.backend, now, grace / 2)
    }

    /// Whether at least one backend is in service.
    pub fn has_backend_in_service(&self) -> bool {
        self.driver.borrow().backends.any_in_service()
    }

    /// Whether the backend is in service at this address.
    pub fn is_in_service(&self, backend: BackendId, endpoint: SocketAddr) -> bool {
        self.driver.borrow().backends.is_in_service(backend, endpoint)
    }

    /// Reports the result of an attempt.
    pub fn attempt_ended(&self, id: AttemptId, result: UpstreamResult) {
        self.with_driver(|driver, deferred| driver.attempt_ended(id, result, deferred));
    }

    /// Counts the memory that the list of backends takes against an account.
    pub fn account_for_list(&self, account: &Account) {
        self.driver.borrow_mut().list_memory = Some(account.hold(Kind::BackendList, 0));
    }

    /// Applies a list from discovery or the registry.
    pub fn update_backends(&self, scope: ListScope, list: Vec<BackendEntry>) {
        self.with_driver(|driver, deferred| driver.update_backends(scope, list, deferred));
    }

    /// Records that discovery has responded without changes.
    pub fn list_unchanged(&self) {
        let mut driver = self.driver.borrow_mut();
        let now = driver.clock.now();
        driver.backends.discovery_responded(now);
    }

    /// Applies the zone overrides of the fleet file. If one is invalid, none is applied and the error says
    /// why.
    pub fn apply_zone_overrides(&self, fleet: &Fleet) -> Result<(), String> {
        self.with_driver(|driver, deferred| driver.apply_zone_overrides(fleet, deferred))
    }

    /// Reports that a call to discovery has failed. This consumes a pending discovery request, such as the
    /// one at the start: otherwise all nodes that started together would call again at once.
    pub fn discovery_failed(&self) {
        std::pin::pin!(self.discovery_request.notified()).enable();
        self.with_driver(|driver, deferred| driver.handle_event(Event::DiscoveryFailed, deferred));
    }

    pub fn set_list_state(&self, state: ListState) {
        self.list.set(Some(state));
    }

    /// State of the list watched at the registry; none without a registry.
    pub fn list_state(&self) -> Option<ListState> {
        self.list.get()
    }

    /// Waits until the balancer requests a watch or the full list.
    pub async fn discovery_requested(&self) {
        self.discovery_request.notified().await;
    }

    /// Whether the balancer has requested the full list; clears the request.
    pub fn take_fetch_request(&self) -> bool {
        std::mem::take(&mut self.driver.borrow_mut().fetch_requested)
    }

    /// Runs the timers; never returns.
    pub async fn run_timers(&self) {
        loop {
            let next = self.driver.borrow().timers.next();
            match next {
                None => self.timer_changed.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = self.timer_changed.notified() => {}
                    }
                }
            }
            self.with_driver(|driver, deferred| driver.fire_timers(deferred));
        }
    }

    /// Calls the driver, then does the work that it has deferred until the borrow ends.
    fn with_driver<T>(&self, call: impl FnOnce(&mut Driver, &mut DeferredWork) -> T) -> T {
        let mut deferred = DeferredWork::default();
        let result = call(&mut self.driver.borrow_mut(), &mut deferred);
        deferred.close_idle.into_iter().for_each(|backend| self.transport.close_idle(backend));
        deferred.attempts.into_iter().for_each(|attempt| self.transport.start_attempt(self, attempt));
        for id in deferred.unsendable {
            self.attempt_ended(id, UpstreamResult::new(Outcome::Moot));
        }
        if deferred.request_discovery {
            self.discovery_request.notify_one();
        }
        if deferred.rearm_timer {
            self.timer_changed.notify_one();
        }
        result
    }
}

/// The settings do not list the tenant.
#[derive(Debug, thiserror::Error)]
#[error("unknown tenant")]
pub struct UnknownTenant;

/// A request that awaits its final response.
pub struct PendingRequest {
    node: Node,
    request: RequestId,
    response: oneshot::Receiver<FinalResponse>,
}

impl PendingRequest {
    pub async fn response(mut self) -> FinalResponse {
        // The sender is dropped without a response only if the request has been lost.
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingRequest {
    /// A client that disconnects ends its connection's task, which drops this.
    fn drop(&mut self) {
        let request = self.request;
        self.node.with_driver(|driver, deferred| driver.client_disconnected(request, deferred));
    }
}

impl Driver {
    fn handle_event(&mut self, event: Event, deferred: &mut DeferredWork) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.apply_action(action, deferred);
        }
    }

    fn apply_action(&mut self, action: Action, deferred: &mut DeferredWork) {
        match action {
            Action::Send { request, backend, timeout, send_by } => {
                self.send(request, backend, (timeout, send_by), deferred);
            }
            Action::Reject { request, retry_after } => {
                self.finish(request, FinalResponse::Rejected(retry_after))
            }
            Action::Fail { request } => self.finish(request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => self.requests.cancel_attempt(request, attempt),
            // The settings may allow probes, but the balancer requests none as they put load on the backends.
            Action::Probe { backend } => {
                tracing::warn!(
                    backend = self.backends.uid(backend),
                    "probe requested, but probes are not supported"
                );
            }
            Action::Watch => deferred.request_discovery = true,
            Action::Fetch => {
                self.fetch_requested = true;
                deferred.request_discovery = true;
            }
            Action::Timer { after, token } => {
                self.set_timer(self.clock.now().saturating_add(after), Timer::Balancer(token), deferred);
            }
            Action::Log(event) => self.log(event),
        }
    }

    /// Logs a balancer event with names in place of ids.
    fn log(&self, event: LogEvent) {
        match event {
            LogEvent::Spillover { home, spilling, best } => {
                let (zone, best) = (self.names.zone_name(home), self.names.zone_name(best));
                tracing::info!(zone, spilling, best, "home zone crossed the spillover threshold");
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
                tracing::info!(
                    zone = self.names.zone_name(zone),
                    percent,
                    "zone reached its configured traffic share"
                );
            }
            LogEvent::Readmitted { backend } => {
                tracing::info!(backend = self.backends.uid(backend), "backend readmitted");
            }
        }
    }

    /// Work is logged in requests of average cost, fractions in percent.
    fn log_slow_start(&self, decision: SlowStartDecision) {
        macro_rules! log {
            ($level:expr) => {
                tracing::event!(
                    target: SLOW_START,
                    $level,
                    backend = self.backends.uid(decision.backend),
                    branch = ?decision.branch,
                    age_ms = decision.age / NANOS_PER_MS,
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

    fn set_timer(&mut self, at: Nanos, timer: Timer, deferred: &mut DeferredWork) {
        deferred.rearm_timer |= self.timers.set(at, timer);
    }

    fn fire_timers(&mut self, deferred: &mut DeferredWork) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Balancer(token) => self.handle_event(Event::Timer { token }, deferred),
                Timer::Watchdog(request) => self.watchdog_expired(request, deferred),
            }
        }
    }

    /// Fails a request that the balancer has left open past its deadline.
    fn watchdog_expired(&mut self, request: RequestId, deferred: &mut DeferredWork) {
        if self.requests.is_open(request) {
            tracing::warn!(
                request = self.requests.call_id(request),
                "request had no response at its deadline"
            );
            self.finish(request, FinalResponse::Failed);
            self.handle_event(Event::ClientDisconnected { request }, deferred);
            self.requests.remove_if_done(request, self.clock.now());
        }
    }

    fn submit(
        &mut self,
        client_request: ClientRequest,
        sender: oneshot::Sender<FinalResponse>,
        deferred: &mut DeferredWork,
    ) -> RequestId {
        let deadline = self.clock.now().saturating_add(client_request.budget);
        let class = self.settings.classes.get(client_request.class as usize);
        let repeatable = class.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
        let request = self.requests.insert(
            client_request.http,
            sender,
            deadline,
            client_request.hidden_close,
            repeatable,
        );
        self.set_timer(deadline.saturating_add(WATCHDOG_DELAY_NS), Timer::Watchdog(request), deferred);
        let (class, budget_ms) = (client_request.class, client_request.budget / 1_000_000);
        tracing::debug!(request = self.requests.call_id(request), class, budget_ms, "request received");
        let arrival = Arrival {
            request,
            class: ClassId(class),
            cost_hint: client_request.cost_hint,
            is_retry: client_request.is_retry,
            tenant: client_request.tenant,
            not_after: deadline,
        };
        self.handle_event(Event::Request(arrival), deferred);
        self.requests.remove_if_done(request, self.clock.now());
        request
    }

    fn send(
        &mut self,
        request: RequestId,
        backend: BackendId,
        (timeout, send_by): (Option<Nanos>, Option<Nanos>),
        deferred: &mut DeferredWork,
    ) {
        let now = self.clock.now();
        let Some(started) = self.requests.start_attempt(request, now) else { return };
        let id = AttemptId { request, attempt: started.attempt, backend };
        let may_attempt = self.requests.may_attempt(request, started.attempt, now);
        let Some(endpoint) = self.backends.endpoint(backend).filter(|_| may_attempt) else {
            deferred.unsendable.push(id);
            return;
        };
        tracing::debug!(
            request = self.requests.call_id(request),
            attempt = started.attempt,
            backend = self.backends.uid(backend),
            "attempt started"
        );
        let deadline = timeout.map_or(Nanos::MAX, |timeout| now.saturating_add(timeout));
        deferred.attempts.push(Attempt {
            id,
            backend,
            endpoint,
            http: started.http,
            deadline: deadline.min(started.client_deadline),
            client_deadline: started.client_deadline,
            send_by: send_by.unwrap_or(Nanos::MAX),
            cancelled: started.cancelled,
        });
    }

    /// Sends the final response, unless the request has already ended.
    fn finish(&mut self, request: RequestId, response: FinalResponse) {
        let answer = response.label();
        if let Some(deadline) = self.requests.finish(request, response) {
            tracing::debug!(request = self.requests.call_id(request), answer, "request ended");
            self.timers.clear(deadline.saturating_add(WATCHDOG_DELAY_NS), Timer::Watchdog(request));
        }
    }

    fn attempt_ended(&mut self, id: AttemptId, result: UpstreamResult, deferred: &mut DeferredWork) {
        let AttemptId { request, attempt, backend } = id;
        let Some(started_at) = self.requests.end_attempt(request, attempt, result.outcome) else { return };
        let elapsed = self.clock.now().saturating_sub(started_at);
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
        let request_ended = !self.requests.is_open(request);
        let attempt_result = AttemptResult { request, attempt, outcome, elapsed, request_ended, report };
        self.handle_event(Event::AttemptEnded(attempt_result), deferred);
        self.requests.remove_if_done(request, self.clock.now());
    }

    fn client_disconnected(&mut self, request: RequestId, deferred: &mut DeferredWork) {
        if self.requests.is_open(request) {
            self.finish(request, FinalResponse::Failed);
            self.handle_event(Event::ClientDisconnected { request }, deferred);
        }
        self.requests.remove_if_done(request, self.clock.now());
    }

    fn apply_zone_overrides(&mut self, fleet: &Fleet, deferred: &mut DeferredWork) -> Result<(), String> {
        let known: Vec<&str> =
            (0..self.settings.zone_count).map(|zone| self.names.zone_name(ZoneId(zone))).collect();
        let mut regions: Vec<&str> = vec![""];
        let mut overrides = Vec::new();
        for (name, zone) in &fleet.zones {
            let Some(index) = known.iter().position(|known| known == name) else {
                return Err(format!("zones.{name}: unknown zone, expected one of {}", known.join(", ")));
            };
            let region = regions.iter().position(|region| *region == zone.region);
            let region = region.unwrap_or(regions.len());
            if region == regions.len() {
                regions.push(&zone.region);
            }
            overrides.push(ZoneOverride {
                zone: ZoneId(index as u32),
                region: region as u32,
                traffic_share: zone.share,
            });
        }
        if overrides.len() == known.len() && overrides.iter().all(|zone| zone.traffic_share <= 0.0) {
            return Err("zones: every zone has a share of 0".to_owned());
        }
        for (name, zone) in &fleet.zones {
            let (region, share) = (&zone.region, zone.share);
            tracing::info!(zone = name, region, share, "zone override applied");
        }
        self.handle_event(Event::ZoneOverrides(overrides), deferred);
        Ok(())
    }

    fn update_backends(&mut self, scope: ListScope, list: Vec<BackendEntry>, deferred: &mut DeferredWork) {
        let now = self.clock.now();
        tracing::debug!(scope = ?scope, count = list.len(), "backend list received");
        let change = self.backends.apply_list(scope, list, now, &mut self.names);
        deferred.close_idle.extend(change.close_idle);
        self.handle_event(Event::BackendList { scope, members: change.members }, deferred);
        deferred.close_idle.extend(self.backends.remove(change.removed, now));
        let list_bytes = self.backends.len() * BYTES_PER_BACKEND;
        self.list_memory.iter_mut().for_each(|memory| memory.set(list_bytes));
    }
}
