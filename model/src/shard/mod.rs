//! One zone in virtual time: its nodes, its app servers and its clients, and the events between them.
//!
//! Zones are apart by the time that a message takes between them, so each can be played for that long by itself:
//! what it has to tell the others goes into their mail and is taken in, in one fixed order, before the next such
//! span. The result depends on the plan and the seed alone, not on how many threads play it.

mod driver;
mod processes;
mod servers;
mod troubles;

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
use crate::invariants::{FinalAnswer, InvariantChecker, Rule, Tolerances};
use crate::scenario::{Idempotency, Range};
use crate::server::{Admission, Job, JobOutcome, Server, ServerFault};
use crate::slab::Slab;
use crate::stats::{RequestOutcome, RunStats};
use crate::timeline::{DISCOVERY_END, Timeline};
use crate::world::{FaultAction, LinkEnd, LinkFault, MS, SECOND, World, rng_stream};

/// How long past a request's time its final answer may come.
pub const ANSWER_SLACK: Nanos = 20 * MS;
/// Idle connections that a node keeps at most, and how long.
const MOST_IDLE: usize = 512;
const IDLE: Nanos = 7 * SECOND;
/// A connection that is not up by then counts as failed.
const CONNECT_TIMEOUT: Nanos = 200 * MS;
/// One that is not up by then is to a machine that says nothing.
const SILENT: Nanos = 40 * MS;
/// Bytes of a request or an answer on a link that lets so many pass in a second.
const MESSAGE: f64 = 300.0;
/// Times the way there and back that a new connection takes before its first request is on the way.
const HANDSHAKE_WAYS: u64 = 4;
/// How long the front goes on sending to a dead node.
const FRONT_NOTICE: Range = Range::new(1.1, 3.9);
/// A client's way to a node.
const CLIENT_WAY: Nanos = MS / 2;
/// Bits of a job's number that tell the attempt, and those that tell the zone of its node.
const ATTEMPT_BITS: u32 = 4;
const ZONE_BITS: u32 = 6;

/// What all zones share.
pub struct Common {
    /// The world.
    pub world: World,
    /// What is known of it beforehand.
    pub timeline: Timeline,
    /// Nodes handle what has come in once in so long; 0 for at once.
    pub tick: Nanos,
    /// When no further requests come.
    pub end: Nanos,
}

/// A request on its way to a server's process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    instance: u32,
    /// The process's life that the connection is to; none for a new connection.
    life: Option<u64>,
    job: Job,
    /// Of a keyed one, its key and for how long its repeats are dropped.
    key: Option<(DedupKey, Nanos)>,
}

#[derive(Clone, Debug)]
pub(crate) enum What {
    /// The next request of this zone's clients is due.
    Due(ClientRequest),
    /// A client comes again.
    Again(ClientRequest, u32),
    /// A try reaches its node.
    Taken { id: u64 },
    /// A client gives a try up.
    GivenUp { id: u64 },
    /// A try's account is closed.
    Closed { id: u64 },
    /// An attempt's connection breaks on its way.
    Broken { id: u64, attempt: u32 },
    /// An attempt has waited long enough.
    Waited { id: u64, attempt: u32, connect: bool },
    /// A node's timer.
    Timer { node: u32, life: u32, token: u64 },
    /// A node is told of changes of the list.
    Told { node: u32, life: u32 },
    /// A node is told of the operator's orders.
    Ordered { node: u32, life: u32 },
    /// A request reaches a server.
    Offered(Sent),
    /// A server learns that an attempt was given up: its connection has closed.
    Withdrawn { instance: u32, job: u64 },
    /// An idle connection to a server has closed.
    HungUp { instance: u32, life: u64 },
    /// Something happens at a server by itself.
    Wakes { instance: u32 },
    /// A connection has come up, and the request is written.
    Up { job: u64 },
    /// An attempt's end reaches its node.
    Ended { job: u64, outcome: Outcome, ran: bool, util: Option<f64>, keeps: Option<u64> },
    /// A fault begins or ends.
    Step { step: u32, begins: bool },
    /// A server's process starts for the first time, or ends for good.
    Boots { instance: u32 },
    /// A node's process starts.
    Starts { node: u32 },
    /// A node's process ends after it was told to.
    Stops { node: u32 },
    /// A node is let go on.
    Resumes { node: u32 },
    /// Nodes handle what has come in.
    Tick,
}

struct Attempt {
    instance: u32,
    sent: Nanos,
    out: bool,
    written: bool,
    booked: Option<usize>,
}

struct Try {
    ask: ClientRequest,
    tries: u32,
    node: u32,
    life: u32,
    not_after: Nanos,
    ended: bool,
    told: bool,
    attempts: Vec<Attempt>,
}

struct Idle {
    instance: u32,
    life: u64,
    since: Nanos,
}

struct Node {
    number: usize,
    up: bool,
    leaving: bool,
    paused: bool,
    life: u32,
    /// When the front learns that it is dead; none while it is taken for alive.
    avoided_from: Option<Nanos>,
    cursor: usize,
    drains: HashMap<u32, Nanos>,
    /// The last start of each process that it was told of.
    starts: HashMap<u32, Nanos>,
    idle: Vec<Idle>,
    inbox: Vec<What>,
}

/// A message to another zone.
pub(crate) struct Mail {
    pub(crate) to: u32,
    pub(crate) at: Nanos,
    pub(crate) what: What,
}

struct Entry {
    at: Nanos,
    order: u64,
    what: What,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One zone.
pub struct Shard {
    common: Arc<Common>,
    zone: u32,
    now: Nanos,
    rng: ChaCha12Rng,
    events: BinaryHeap<Reverse<Entry>>,
    order: u64,
    clients: Option<RequestGenerator>,
    nodes: Vec<Node>,
    servers: HashMap<u32, Server>,
    wakes: HashMap<u32, Nanos>,
    /// What this zone's groups have seen.
    keys: DedupTable,
    silent: bool,
    tries: Slab<Try>,
    module: Box<dyn BalancerSet>,
    pending: Vec<(usize, Event)>,
    ticking: bool,
    actions: Vec<(usize, Action)>,
    ended: Vec<(Job, JobOutcome)>,
    /// To other zones.
    pub(crate) mail: Vec<Mail>,
    /// What this zone's requests come to.
    pub tally: RunStats,
    /// What was checked.
    pub ledger: InvariantChecker,
    /// Events so far.
    pub handled: u64,
    /// Why the module can't go on.
    pub failed: Option<String>,
    front: Nanos,
}

/// A job's number, unique over all zones.
fn job_id(zone: u32, id: u64, attempt: usize) -> u64 {
    u64::from(zone) << (64 - ZONE_BITS) | id << ATTEMPT_BITS | attempt as u64
}

/// How long a message takes over a link that lets so many bytes pass in a second.
fn passes_in(rate: f64) -> Nanos {
    crate::world::seconds(MESSAGE / rate.max(1.0))
}

/// The request and the attempt that a job is of.
fn of_job(job: u64) -> (u64, usize) {
    ((job << ZONE_BITS) >> (ZONE_BITS + ATTEMPT_BITS), (job & ((1 << ATTEMPT_BITS) - 1)) as usize)
}

impl Shard {
    /// A zone before its load starts: its nodes know the list, its servers are warm.
    pub fn new(common: Arc<Common>, zone: u32, module: Box<dyn BalancerSet>) -> Self {
        let (world, timeline) = (&common.world, &common.timeline);
        let start = timeline.start;
        let limits = Tolerances {
            answer_slack: ANSWER_SLACK,
            drain_grace: world.rules.drain_grace,
            clock_skew: common.tick,
        };
        let mut rng = rng_stream(world.seed, 1000 + u64::from(zone));
        let front = crate::world::seconds(FRONT_NOTICE.interpolate(rng.random()));
        let of_zone = |(number, node): (usize, &crate::world::NodeInfo)| {
            (node.zone == zone).then(|| Node {
                number,
                up: false,
                leaving: false,
                paused: false,
                life: 0,
                avoided_from: None,
                cursor: 0,
                drains: HashMap::new(),
                starts: HashMap::new(),
                idle: Vec::new(),
                inbox: Vec::new(),
            })
        };
        let nodes: Vec<Node> = world.nodes.iter().enumerate().filter_map(of_zone).collect();
        let share = world.load.zone_shares.get(zone as usize).copied().unwrap_or(0.0);
        let mut shard = Self {
            zone,
            now: start,
            events: BinaryHeap::new(),
            order: 0,
            clients: (share > 0.0 && !nodes.is_empty())
                .then(|| RequestGenerator::for_zone(world, zone, start)),
            nodes,
            servers: HashMap::new(),
            wakes: HashMap::new(),
            keys: DedupTable::default(),
            silent: false,
            tries: Slab::default(),
            module,
            pending: Vec::new(),
            ticking: false,
            actions: Vec::new(),
            ended: Vec::new(),
            mail: Vec::new(),
            tally: RunStats::new(world, start),
            ledger: InvariantChecker::new(limits, start),
            handled: 0,
            failed: None,
            front,
            rng,
            common: common.clone(),
        };
        for (number, instance) in common.timeline.instances.iter().enumerate() {
            if instance.zone != zone {
                continue;
            }
            let mut server = Server::new(world.servers[instance.server].spec, start);
            if instance.starts_at > 0 {
                server.stop(start);
                shard.push(instance.starts_at, What::Boots { instance: number as u32 });
            }
            shard.servers.insert(number as u32, server);
        }
        for (number, step) in common.timeline.faults.iter().enumerate() {
            let step_number = number as u32;
            shard.push(step.at, What::Step { step: step_number, begins: true });
            if let Some(until) = step.until {
                shard.push(until, What::Step { step: step_number, begins: false });
            }
        }
        let late = |node: usize| {
            let first = common.timeline.faults.iter().find(|step| step.action == FaultAction::LateNode(node));
            first.map_or(start, |step| step.at)
        };
        for node in 0..shard.nodes.len() {
            let at = late(shard.nodes[node].number);
            if at > start {
                shard.nodes[node].avoided_from = Some(0);
            }
            shard.push(at, What::Starts { node: node as u32 });
        }
        shard.next_due();
        shard
    }

    /// When this zone next has something to do.
    pub fn next_at(&self) -> Option<Nanos> {
        self.events.peek().map(|Reverse(entry)| entry.at)
    }

    /// Plays everything before `until`.
    pub fn play(&mut self, until: Nanos) {
        while self.failed.is_none() && self.events.peek().is_some_and(|Reverse(entry)| entry.at < until) {
            let Some(Reverse(entry)) = self.events.pop() else { break };
            self.now = entry.at;
            self.handled += 1;
            self.happen(entry.what);
        }
    }

    /// Takes mail in. All zones' mail of one span comes in one fixed order.
    pub(crate) fn post(&mut self, at: Nanos, what: What) {
        self.push(at, what);
    }

    /// Servers that are up, and those that crowding has turned slow.
    pub fn servers_up(&self) -> (usize, usize) {
        let up = self.servers.values().filter(|server| server.is_up());
        (up.clone().count(), up.filter(|server| server.is_congested()).count())
    }

    fn push(&mut self, at: Nanos, what: What) {
        self.order += 1;
        self.events.push(Reverse(Entry { at: at.max(self.now), order: self.order, what }));
    }

    fn send(&mut self, to: u32, at: Nanos, what: What) {
        if to == self.zone { self.push(at, what) } else { self.mail.push(Mail { to, at, what }) }
    }

    /// One way between two zones, with its jitter, which never makes it shorter than the span between zones.
    fn way(&mut self, to: u32) -> Nanos {
        let way = self.common.world.one_way_delay(self.zone, to);
        way + (way as f64 * self.common.world.jitter * self.rng.random::<f64>()) as Nanos
    }

    fn next_due(&mut self) {
        let Some(clients) = self.clients.as_mut() else { return };
        let ask = clients.next(&self.common.world);
        if ask.due_at < self.common.end {
            self.push(ask.due_at, What::Due(ask));
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Due(ask) => {
                self.next_due();
                self.try_once(ask, 0);
            }
            What::Again(ask, tries) => self.try_once(ask, tries),
            What::Taken { id } => self.taken(id),
            What::GivenUp { id } => self.given_up(id),
            What::Closed { id } => self.close(id),
            What::Broken { id, attempt } => self.broken(id, attempt),
            What::Waited { id, attempt, connect } => self.waited(id, attempt, connect),
            What::Timer { node, life, token } => {
                if self.awake(node, life, || What::Timer { node, life, token }) {
                    self.tell(node, Event::Timer { token });
                }
            }
            What::Told { node, life } => {
                if self.awake(node, life, || What::Told { node, life }) {
                    self.read_list(node);
                }
            }
            What::Ordered { node, life } => {
                if self.awake(node, life, || What::Ordered { node, life }) {
                    let orders = self.common.timeline.zone_overrides(self.now);
                    self.tell(node, Event::ZoneOverrides(orders));
                }
            }
            What::Offered(sent) => self.offered(sent),
            What::Withdrawn { instance, job } => {
                if let Some(server) = self.servers.get_mut(&instance) {
                    if server.cancel(self.now, job) {
                        self.keys.job_ended((instance, job), false);
                    }
                    server.disconnect(self.now);
                }
                self.look_after(instance);
            }
            What::HungUp { instance, life } => {
                let server = self.servers.get_mut(&instance).filter(|server| server.epoch() == life);
                server.into_iter().for_each(|server| server.disconnect(self.now));
            }
            What::Wakes { instance } => {
                if self.wakes.get(&instance) == Some(&self.now) {
                    self.wakes.remove(&instance);
                    self.look_after(instance);
                }
            }
            What::Up { job } => {
                let (id, attempt) = of_job(job);
                let open = self.tries.get_mut(id).and_then(|open| open.attempts.get_mut(attempt));
                open.into_iter().for_each(|attempt| attempt.written = true);
            }
            What::Ended { job, outcome, ran, util, keeps } => {
                self.attempt_ended(job, outcome, ran, util, keeps)
            }
            What::Step { step, begins } => self.step(step as usize, begins),
            What::Boots { instance } => {
                let ends = self.common.timeline.instances[instance as usize].ends_at;
                let Some(server) = self.servers.get_mut(&instance) else { return };
                let over = ends.is_some_and(|end| end <= self.now);
                let held = if over { server.stop(self.now) } else { server.start(self.now, true) };
                self.reset(instance, held);
            }
            What::Starts { node } => self.start_node(node),
            What::Stops { node } => {
                if self.nodes[node as usize].leaving {
                    self.kill_node(node);
                }
            }
            What::Resumes { node } => {
                self.nodes[node as usize].paused = false;
                let inbox = std::mem::take(&mut self.nodes[node as usize].inbox);
                inbox.into_iter().for_each(|what| self.happen(what));
            }
            What::Tick => self.tick(),
        }
    }

    fn try_once(&mut self, ask: ClientRequest, tries: u32) {
        self.tally.tries += 1;
        let now = self.now;
        let seen = |node: &&Node| !node.leaving && node.avoided_from.is_none_or(|from| now < from);
        let open: Vec<u32> =
            (0..).zip(&self.nodes).filter(|(_, node)| seen(node)).map(|(at, _)| at).collect();
        let node = match open.len() {
            0 => None,
            count => Some(open[self.rng.random_range(0..count)]),
        };
        let Some(node) = node.filter(|node| self.nodes[*node as usize].up) else {
            self.client_sees(ask, tries, TryOutcome::Unreachable);
            return;
        };
        let not_after = now + clients::try_timeout(&self.common.world, &ask, now);
        let life = self.nodes[node as usize].life;
        let attempts = Vec::new();
        let id =
            self.tries.insert(Try { ask, tries, node, life, not_after, ended: false, told: false, attempts });
        let class = &self.common.world.classes[ask.class];
        self.ledger.request_sent(id, class.idempotency, class.dedup_window, not_after, now);
        if self.nodes[node as usize].paused {
            self.ledger.excuse(id);
        }
        self.push(now + CLIENT_WAY, What::Taken { id });
        self.push(not_after, What::GivenUp { id });
        self.push(not_after + ANSWER_SLACK + self.common.tick, What::Closed { id });
    }

    fn client_sees(&mut self, ask: ClientRequest, tries: u32, seen: TryOutcome) {
        let world = &self.common.world;
        match clients::next_retry(world, &ask, tries, seen, self.now, &mut self.rng) {
            Some(at) => self.push(at, What::Again(ask, tries + 1)),
            None => {
                let fate = match seen {
                    TryOutcome::Served => RequestOutcome::Served,
                    TryOutcome::Rejected(_) => RequestOutcome::Rejected,
                    TryOutcome::Failed => RequestOutcome::Failed,
                    TryOutcome::Unreachable => RequestOutcome::Unreachable,
                };
                self.tally.record(world, &ask, fate, self.now);
            }
        }
    }
}
