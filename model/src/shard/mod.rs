//! Discrete-event simulation of one zone: its nodes, app servers and clients.
//!
//! Messages between zones take at least the cross-zone delay, so each zone can run for that long on its own.
//! Messages to other zones are exchanged after each such step, in a fixed order. The result therefore depends
//! on the scenario and the seed, not on the number of threads.

mod driver;
mod faults;
mod processes;
mod servers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use brookfield::{
    Action, Arrival, AttemptResult, BackendId, ClassId, Event, ListScope, LoadReport, Member, Nanos, Outcome,
    RequestId, Stage,
};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution, StandardNormal};

use crate::balancers::BalancerSet;
use crate::clients::{self, ClientRequest, RequestGenerator, TryOutcome};
use crate::dedup::{DedupKey, DedupTable};
use crate::invariants::{FinalResponse, InvariantChecker, Rule, Tolerances};
use crate::scenario::{Idempotency, Range};
use crate::server::{Admission, Job, JobOutcome, Server, ServerFault};
use crate::slab::Slab;
use crate::stats::{RequestOutcome, RunStats};
use crate::timeline::{DISCOVERY_END, Timeline};
use crate::world::{FaultAction, LinkEnd, LinkFault, MS, SECOND, World, rng_stream};

/// How long after its deadline a request may still get its response.
pub const ANSWER_SLACK: Nanos = 20 * MS;
/// Limits on the idle connections of a node: their number and their age.
const MAX_IDLE_CONNECTIONS: usize = 512;
const IDLE_TIMEOUT: Nanos = 7 * SECOND;
/// Connecting fails after this time.
const CONNECT_TIMEOUT: Nanos = 200 * MS;
/// A server that has not accepted a connection after this time counts as unreachable.
const UNREACHABLE_AFTER: Nanos = 40 * MS;
/// Size of a request or response in bytes, for links with limited bandwidth.
const MESSAGE_BYTES: f64 = 300.0;
/// One-way delays until the first request on a new connection arrives, its own included.
const HANDSHAKE_ONE_WAY_DELAYS: u64 = 4;
/// Seconds until the load balancer in front of the nodes detects a dead node.
const FRONT_DETECTION_S: Range = Range::new(1.1, 3.9);
/// One-way delay between a client and a node.
const CLIENT_DELAY: Nanos = MS / 2;
/// Bits of a job id that hold the attempt number, and those that hold the zone of the node.
const ATTEMPT_BITS: u32 = 4;
const ZONE_BITS: u32 = 6;

/// State shared by all zones.
pub struct SharedState {
    /// The simulated world.
    pub world: World,
    /// The precomputed timeline.
    pub timeline: Timeline,
    /// Interval at which nodes handle events in batches; 0 to handle each one immediately.
    pub tick: Nanos,
    /// End of the load.
    pub end: Nanos,
}

/// A request sent to a server process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestMessage {
    instance: u32,
    /// Epoch of the process that the connection was opened to; `None` for a new connection.
    server_epoch: Option<u64>,
    job: Job,
    /// Key and deduplication window of a keyed request.
    key: Option<(DedupKey, Nanos)>,
}

#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    /// A client request is due.
    RequestDue(ClientRequest),
    /// A client retries.
    Retry(ClientRequest, u32),
    /// A try arrives at its node.
    TryArrived { id: u64 },
    /// A client times out a try.
    ClientTimeout { id: u64 },
    /// The time for a try's final response is up.
    TryExpired { id: u64 },
    /// The connection of an attempt is reset.
    ConnectionReset { id: u64, attempt: u32 },
    /// An attempt times out, or only its connection does.
    AttemptTimeout { id: u64, attempt: u32, connect_only: bool },
    /// A timer of a node fires.
    Timer { node: u32, incarnation: u32, token: u64 },
    /// A node is notified of list changes.
    ListNotification { node: u32, incarnation: u32 },
    /// A node receives the operator's traffic shares.
    ZoneOverrides { node: u32, incarnation: u32 },
    /// A request arrives at a server.
    RequestArrived(RequestMessage),
    /// A server sees that the connection of an attempt was closed.
    AttemptClosed { instance: u32, job: u64 },
    /// An idle connection to a server is closed.
    IdleClosed { instance: u32, server_epoch: u64 },
    /// A server has an internal event.
    ServerWakeup { instance: u32 },
    /// A connection is established and the request written.
    ConnectionUp { job: u64 },
    /// The result of an attempt arrives at its node.
    AttemptResult { job: u64, outcome: Outcome, ran: bool, util: Option<f64>, kept_epoch: Option<u64> },
    /// A fault begins or ends.
    Fault { fault: u32, begins: bool },
    /// The process of a server starts for the first time, or ends for good.
    ServerLifecycle { instance: u32 },
    /// A node starts.
    NodeStart { node: u32 },
    /// A node that was told to terminate ends.
    NodeStop { node: u32 },
    /// A paused node resumes.
    NodeResume { node: u32 },
    /// Nodes handle the pending events.
    Tick,
}

struct Attempt {
    instance: u32,
    sent_at: Nanos,
    in_flight: bool,
    request_written: bool,
    checker_index: Option<usize>,
}

struct OpenTry {
    request: ClientRequest,
    try_number: u32,
    node: u32,
    incarnation: u32,
    not_after: Nanos,
    responded: bool,
    client_done: bool,
    attempts: Vec<Attempt>,
}

struct IdleConnection {
    instance: u32,
    server_epoch: u64,
    idle_since: Nanos,
}

struct Node {
    index: usize,
    up: bool,
    terminating: bool,
    paused: bool,
    incarnation: u32,
    /// When the front load balancer detects that the node is dead; `None` while it is considered alive.
    avoided_from: Option<Nanos>,
    list_cursor: usize,
    drain_notified_at: HashMap<u32, Nanos>,
    /// Start times of server processes known to the node.
    known_starts: HashMap<u32, Nanos>,
    idle_connections: Vec<IdleConnection>,
    deferred_events: Vec<SimEvent>,
}

/// An event for another zone.
pub(crate) struct OutgoingEvent {
    pub(crate) zone: u32,
    pub(crate) at: Nanos,
    pub(crate) event: SimEvent,
}

struct QueuedEvent {
    at: Nanos,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Simulation of one zone.
pub struct Shard {
    shared: Arc<SharedState>,
    zone: u32,
    now: Nanos,
    rng: ChaCha12Rng,
    event_queue: BinaryHeap<Reverse<QueuedEvent>>,
    last_sequence: u64,
    clients: Option<RequestGenerator>,
    nodes: Vec<Node>,
    servers: HashMap<u32, Server>,
    wakeups: HashMap<u32, Nanos>,
    /// Idempotency keys seen by this zone's servers.
    dedup: DedupTable,
    unreachable: bool,
    open_tries: Slab<OpenTry>,
    balancers: Box<dyn BalancerSet>,
    pending_events: Vec<(usize, Event)>,
    tick_scheduled: bool,
    actions: Vec<(usize, Action)>,
    ended_jobs: Vec<(Job, JobOutcome)>,
    /// Events for other zones.
    pub(crate) outbox: Vec<OutgoingEvent>,
    /// Statistics of this zone's requests.
    pub stats: RunStats,
    /// Checks of this zone's requests.
    pub invariants: InvariantChecker,
    /// Number of events processed.
    pub events_processed: u64,
    /// Error that aborted the simulation.
    pub error: Option<String>,
    front_detection_delay: Nanos,
}

/// Id of a job, unique across zones.
fn job_id(zone: u32, id: u64, attempt: usize) -> u64 {
    u64::from(zone) << (64 - ZONE_BITS) | id << ATTEMPT_BITS | attempt as u64
}

/// Time to transfer a message at `rate` bytes per second.
fn transfer_time(rate: f64) -> Nanos {
    crate::world::seconds(MESSAGE_BYTES / rate.max(1.0))
}

/// The try and the attempt that a job belongs to.
fn try_of_job(job: u64) -> (u64, usize) {
    ((job << ZONE_BITS) >> (ZONE_BITS + ATTEMPT_BITS), (job & ((1 << ATTEMPT_BITS) - 1)) as usize)
}

impl Shard {
    /// Creates a zone before its load starts: nodes know the backend list and servers are warm.
    pub fn new(shared: Arc<SharedState>, zone: u32, balancers: Box<dyn BalancerSet>) -> Self {
        let (world, timeline) = (&shared.world, &shared.timeline);
        let start = timeline.start;
        let tolerances = Tolerances {
            answer_slack: ANSWER_SLACK,
            drain_grace: world.rules.drain_grace,
            clock_skew: shared.tick,
        };
        let mut rng = rng_stream(world.seed, 1000 + u64::from(zone));
        let front_detection_delay = crate::world::seconds(FRONT_DETECTION_S.interpolate(rng.random()));
        let node_in_zone = |(number, node): (usize, &crate::world::NodeInfo)| {
            (node.zone == zone).then(|| Node {
                index: number,
                up: false,
                terminating: false,
                paused: false,
                incarnation: 0,
                avoided_from: None,
                list_cursor: 0,
                drain_notified_at: HashMap::new(),
                known_starts: HashMap::new(),
                idle_connections: Vec::new(),
                deferred_events: Vec::new(),
            })
        };
        let nodes: Vec<Node> = world.nodes.iter().enumerate().filter_map(node_in_zone).collect();
        let load_share = world.load.zone_shares.get(zone as usize).copied().unwrap_or(0.0);
        let mut shard = Self {
            zone,
            now: start,
            event_queue: BinaryHeap::new(),
            last_sequence: 0,
            clients: (load_share > 0.0 && !nodes.is_empty())
                .then(|| RequestGenerator::for_zone(world, zone, start)),
            nodes,
            servers: HashMap::new(),
            wakeups: HashMap::new(),
            dedup: DedupTable::default(),
            unreachable: false,
            open_tries: Slab::default(),
            balancers,
            pending_events: Vec::new(),
            tick_scheduled: false,
            actions: Vec::new(),
            ended_jobs: Vec::new(),
            outbox: Vec::new(),
            stats: RunStats::new(world, start),
            invariants: InvariantChecker::new(tolerances, start),
            events_processed: 0,
            error: None,
            front_detection_delay,
            rng,
            shared: shared.clone(),
        };
        for (number, instance) in shared.timeline.instances.iter().enumerate() {
            if instance.zone != zone {
                continue;
            }
            let mut server = Server::new(world.servers[instance.server].spec, start);
            if instance.starts_at > 0 {
                server.stop(start);
                shard.schedule(instance.starts_at, SimEvent::ServerLifecycle { instance: number as u32 });
            }
            shard.servers.insert(number as u32, server);
        }
        for (number, fault) in shared.timeline.faults.iter().enumerate() {
            let fault_index = number as u32;
            shard.schedule(fault.at, SimEvent::Fault { fault: fault_index, begins: true });
            if let Some(until) = fault.until {
                shard.schedule(until, SimEvent::Fault { fault: fault_index, begins: false });
            }
        }
        let node_start = |node: usize| {
            let late_start =
                shared.timeline.faults.iter().find(|fault| fault.action == FaultAction::LateNode(node));
            late_start.map_or(start, |fault| fault.at)
        };
        for node in 0..shard.nodes.len() {
            let at = node_start(shard.nodes[node].index);
            if at > start {
                shard.nodes[node].avoided_from = Some(0);
            }
            shard.schedule(at, SimEvent::NodeStart { node: node as u32 });
        }
        shard.schedule_next_request();
        shard
    }

    /// Time of the next event.
    pub fn next_event_at(&self) -> Option<Nanos> {
        self.event_queue.peek().map(|Reverse(queued)| queued.at)
    }

    /// Processes all events before `until`.
    pub fn run_until(&mut self, until: Nanos) {
        while self.error.is_none() && self.event_queue.peek().is_some_and(|Reverse(queued)| queued.at < until)
        {
            let Some(Reverse(queued)) = self.event_queue.pop() else { break };
            self.now = queued.at;
            self.events_processed += 1;
            self.dispatch(queued.event);
        }
    }

    /// Schedules an event from another zone. The order of calls must be deterministic.
    pub(crate) fn schedule_remote(&mut self, at: Nanos, event: SimEvent) {
        self.schedule(at, event);
    }

    /// Number of servers that are up, and those of them slowed down by congestion.
    pub fn servers_up(&self) -> (usize, usize) {
        let up = self.servers.values().filter(|server| server.is_up());
        (up.clone().count(), up.filter(|server| server.is_congested()).count())
    }

    fn schedule(&mut self, at: Nanos, event: SimEvent) {
        self.last_sequence += 1;
        self.event_queue.push(Reverse(QueuedEvent {
            at: at.max(self.now),
            sequence: self.last_sequence,
            event,
        }));
    }

    fn schedule_in_zone(&mut self, zone: u32, at: Nanos, event: SimEvent) {
        if zone == self.zone {
            self.schedule(at, event)
        } else {
            self.outbox.push(OutgoingEvent { zone, at, event })
        }
    }

    /// One-way delay to a zone. Jitter only adds to it, so that it is never below the lookahead.
    fn delay_to(&mut self, zone: u32) -> Nanos {
        let delay = self.shared.world.one_way_delay(self.zone, zone);
        delay + (delay as f64 * self.shared.world.jitter * self.rng.random::<f64>()) as Nanos
    }

    fn schedule_next_request(&mut self) {
        let Some(clients) = self.clients.as_mut() else { return };
        let request = clients.next(&self.shared.world);
        if request.due_at < self.shared.end {
            self.schedule(request.due_at, SimEvent::RequestDue(request));
        }
    }

    fn dispatch(&mut self, event: SimEvent) {
        match event {
            SimEvent::RequestDue(request) => {
                self.schedule_next_request();
                self.start_try(request, 0);
            }
            SimEvent::Retry(request, try_number) => self.start_try(request, try_number),
            SimEvent::TryArrived { id } => self.try_arrived(id),
            SimEvent::ClientTimeout { id } => self.client_timed_out(id),
            SimEvent::TryExpired { id } => self.try_expired(id),
            SimEvent::ConnectionReset { id, attempt } => self.connection_reset(id, attempt),
            SimEvent::AttemptTimeout { id, attempt, connect_only } => {
                self.attempt_timed_out(id, attempt, connect_only)
            }
            SimEvent::Timer { node, incarnation, token } => {
                if self.accepts_event(node, incarnation, || SimEvent::Timer { node, incarnation, token }) {
                    self.notify_balancer(node, Event::Timer { token });
                }
            }
            SimEvent::ListNotification { node, incarnation } => {
                if self.accepts_event(node, incarnation, || SimEvent::ListNotification { node, incarnation })
                {
                    self.deliver_list_changes(node);
                }
            }
            SimEvent::ZoneOverrides { node, incarnation } => {
                if self.accepts_event(node, incarnation, || SimEvent::ZoneOverrides { node, incarnation }) {
                    let overrides = self.shared.timeline.zone_overrides(self.now);
                    self.notify_balancer(node, Event::ZoneOverrides(overrides));
                }
            }
            SimEvent::RequestArrived(message) => self.request_arrived(message),
            SimEvent::AttemptClosed { instance, job } => {
                if let Some(server) = self.servers.get_mut(&instance) {
                    if server.cancel(self.now, job) {
                        self.dedup.job_ended((instance, job), false);
                    }
                    server.disconnect(self.now);
                }
                self.advance_server(instance);
            }
            SimEvent::IdleClosed { instance, server_epoch } => {
                let server = self.servers.get_mut(&instance).filter(|server| server.epoch() == server_epoch);
                server.into_iter().for_each(|server| server.disconnect(self.now));
            }
            SimEvent::ServerWakeup { instance } => {
                if self.wakeups.get(&instance) == Some(&self.now) {
                    self.wakeups.remove(&instance);
                    self.advance_server(instance);
                }
            }
            SimEvent::ConnectionUp { job } => {
                let (id, attempt) = try_of_job(job);
                let attempt =
                    self.open_tries.get_mut(id).and_then(|open_try| open_try.attempts.get_mut(attempt));
                attempt.into_iter().for_each(|attempt| attempt.request_written = true);
            }
            SimEvent::AttemptResult { job, outcome, ran, util, kept_epoch } => {
                self.attempt_result(job, outcome, ran, util, kept_epoch)
            }
            SimEvent::Fault { fault, begins } => self.apply_fault(fault as usize, begins),
            SimEvent::ServerLifecycle { instance } => {
                let ends_at = self.shared.timeline.instances[instance as usize].ends_at;
                let Some(server) = self.servers.get_mut(&instance) else { return };
                let ended = ends_at.is_some_and(|end| end <= self.now);
                let lost = if ended { server.stop(self.now) } else { server.start(self.now, true) };
                self.reset_connections(instance, lost);
            }
            SimEvent::NodeStart { node } => self.start_node(node),
            SimEvent::NodeStop { node } => {
                if self.nodes[node as usize].terminating {
                    self.kill_node(node);
                }
            }
            SimEvent::NodeResume { node } => {
                self.nodes[node as usize].paused = false;
                let events = std::mem::take(&mut self.nodes[node as usize].deferred_events);
                events.into_iter().for_each(|event| self.dispatch(event));
            }
            SimEvent::Tick => self.tick(),
        }
    }

    fn start_try(&mut self, request: ClientRequest, try_number: u32) {
        self.stats.tries += 1;
        let now = self.now;
        let is_eligible = |node: &&Node| !node.terminating && node.avoided_from.is_none_or(|from| now < from);
        let eligible: Vec<u32> =
            (0..).zip(&self.nodes).filter(|(_, node)| is_eligible(node)).map(|(index, _)| index).collect();
        let node = match eligible.len() {
            0 => None,
            count => Some(eligible[self.rng.random_range(0..count)]),
        };
        let Some(node) = node.filter(|node| self.nodes[*node as usize].up) else {
            self.try_ended(request, try_number, TryOutcome::Unreachable);
            return;
        };
        let not_after = now + clients::try_timeout(&self.shared.world, &request, now);
        let incarnation = self.nodes[node as usize].incarnation;
        let attempts = Vec::new();
        let id = self.open_tries.insert(OpenTry {
            request,
            try_number,
            node,
            incarnation,
            not_after,
            responded: false,
            client_done: false,
            attempts,
        });
        let class = &self.shared.world.classes[request.class];
        self.invariants.request_sent(id, class.idempotency, class.dedup_window, not_after, now);
        if self.nodes[node as usize].paused {
            self.invariants.excuse(id);
        }
        self.schedule(now + CLIENT_DELAY, SimEvent::TryArrived { id });
        self.schedule(not_after, SimEvent::ClientTimeout { id });
        self.schedule(not_after + ANSWER_SLACK + self.shared.tick, SimEvent::TryExpired { id });
    }

    fn try_ended(&mut self, request: ClientRequest, try_number: u32, try_outcome: TryOutcome) {
        let world = &self.shared.world;
        match clients::next_retry(world, &request, try_number, try_outcome, self.now, &mut self.rng) {
            Some(at) => self.schedule(at, SimEvent::Retry(request, try_number + 1)),
            None => {
                let request_outcome = match try_outcome {
                    TryOutcome::Served => RequestOutcome::Served,
                    TryOutcome::Rejected(_) => RequestOutcome::Rejected,
                    TryOutcome::Failed => RequestOutcome::Failed,
                    TryOutcome::Unreachable => RequestOutcome::Unreachable,
                };
                self.stats.record(world, &request, request_outcome, self.now);
            }
        }
    }
}
