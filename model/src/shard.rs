//! One zone in virtual time: its nodes, its app servers and its clients, and the events between them.
//!
//! Zones are apart by the time that a message takes between them, so each can be played for that long by itself:
//! what it has to tell the others goes into their mail and is taken in, in one fixed order, before the next such
//! span. The result depends on the plan and the seed alone, not on how many threads play it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use brookfield::{
    Action, Arrival, BackendId, ClassId, Event, ListScope, Member, Nanos, Outcome, Report, RequestId,
    Settlement, Stage,
};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution, StandardNormal};

use crate::clients::{self, Ask, Clients, Seen};
use crate::ledger::{Answer, Ledger, Limits, Rule};
use crate::measure::{Fate, Tally};
use crate::module::Module;
use crate::plan::Range;
use crate::server::{Ailment, End, Job, Offer, Server};
use crate::slab::Slab;
use crate::timeline::Timeline;
use crate::world::{Act, LinkTrouble, MS, Party, SECOND, World, stream};

/// How long past a request's time its final answer may come.
pub const ANSWER_SLACK: Nanos = 20 * MS;
/// Idle connections that a node keeps at most, and how long.
const MOST_IDLE: usize = 512;
const IDLE: Nanos = 7 * SECOND;
/// A connection that is not up by then counts as failed.
const CONNECT_TIMEOUT: Nanos = 200 * MS;
/// One that is not up by then is to a machine that says nothing.
const SILENT: Nanos = 40 * MS;
/// Times the way there and back that a new connection takes before its first request is on the way.
const HANDSHAKE_WAYS: u64 = 4;
/// How long the front goes on sending to a dead node.
const FRONT_NOTICE: Range = Range::of(1.1, 3.9);
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
}

#[derive(Clone, Debug)]
pub(crate) enum What {
    /// The next request of this zone's clients is due.
    Due(Ask),
    /// A client comes again.
    Again(Ask, u32),
    /// A try reaches its node.
    Taken { id: u64 },
    /// A client gives a try up.
    GivenUp { id: u64 },
    /// A try's account is closed.
    Closed { id: u64 },
    /// An attempt has waited long enough.
    Waited { id: u64, attempt: u32, connect: bool },
    /// A node's timer.
    Timer { node: u32, life: u32, token: u64 },
    /// A node is told of changes of the list.
    Told { node: u32, life: u32 },
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
    ask: Ask,
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
    clients: Option<Clients>,
    nodes: Vec<Node>,
    servers: HashMap<u32, Server>,
    wakes: HashMap<u32, Nanos>,
    silent: bool,
    tries: Slab<Try>,
    module: Box<dyn Module>,
    pending: Vec<(usize, Event)>,
    ticking: bool,
    actions: Vec<(usize, Action)>,
    ended: Vec<(Job, End)>,
    /// To other zones.
    pub(crate) mail: Vec<Mail>,
    /// What this zone's requests come to.
    pub tally: Tally,
    /// What was checked.
    pub ledger: Ledger,
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

/// The request and the attempt that a job is of.
fn of_job(job: u64) -> (u64, usize) {
    ((job << ZONE_BITS) >> (ZONE_BITS + ATTEMPT_BITS), (job & ((1 << ATTEMPT_BITS) - 1)) as usize)
}

impl Shard {
    /// A zone before its load starts: its nodes know the list, its servers are warm.
    pub fn new(common: Arc<Common>, zone: u32, module: Box<dyn Module>) -> Self {
        let (world, timeline) = (&common.world, &common.timeline);
        let start = timeline.start;
        let limits = Limits {
            answer_slack: ANSWER_SLACK,
            drain_grace: world.rules.drain_grace,
            observers: common.tick,
        };
        let mut rng = stream(world.seed, 1000 + u64::from(zone));
        let front = crate::world::seconds(FRONT_NOTICE.at(rng.random()));
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
                idle: Vec::new(),
                inbox: Vec::new(),
            })
        };
        let nodes: Vec<Node> = world.nodes.iter().enumerate().filter_map(of_zone).collect();
        let share = world.load.zones.get(zone as usize).copied().unwrap_or(0.0);
        let mut shard = Self {
            zone,
            now: start,
            events: BinaryHeap::new(),
            order: 0,
            clients: (share > 0.0 && !nodes.is_empty()).then(|| Clients::of_zone(world, zone, start)),
            nodes,
            servers: HashMap::new(),
            wakes: HashMap::new(),
            silent: false,
            tries: Slab::default(),
            module,
            pending: Vec::new(),
            ticking: false,
            actions: Vec::new(),
            ended: Vec::new(),
            mail: Vec::new(),
            tally: Tally::new(world, start),
            ledger: Ledger::new(limits, start),
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
            if instance.starts > 0 {
                server.stop(start);
                shard.push(instance.starts, What::Boots { instance: number as u32 });
            }
            shard.servers.insert(number as u32, server);
        }
        for (number, step) in common.timeline.steps.iter().enumerate() {
            let step_number = number as u32;
            shard.push(step.at, What::Step { step: step_number, begins: true });
            if let Some(until) = step.until {
                shard.push(until, What::Step { step: step_number, begins: false });
            }
        }
        let late = |node: usize| {
            let first = common.timeline.steps.iter().find(|step| step.act == Act::LateNode(node));
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
        (up.clone().count(), up.filter(|server| server.is_choked()).count())
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
        let way = self.common.world.way(self.zone, to);
        way + (way as f64 * self.common.world.jitter * self.rng.random::<f64>()) as Nanos
    }

    fn next_due(&mut self) {
        let Some(clients) = self.clients.as_mut() else { return };
        let ask = clients.next(&self.common.world);
        if ask.at < self.common.end {
            self.push(ask.at, What::Due(ask));
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
            What::Offered(sent) => self.offered(sent),
            What::Withdrawn { instance, job } => {
                if let Some(server) = self.servers.get_mut(&instance) {
                    server.cancel(self.now, job);
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
                let ends = self.common.timeline.instances[instance as usize].ends;
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

    // Clients.

    fn try_once(&mut self, ask: Ask, tries: u32) {
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
            self.client_sees(ask, tries, Seen::Unreachable);
            return;
        };
        let not_after = now + clients::budget(&self.common.world, &ask, now);
        let life = self.nodes[node as usize].life;
        let attempts = Vec::new();
        let id =
            self.tries.insert(Try { ask, tries, node, life, not_after, ended: false, told: false, attempts });
        let class = &self.common.world.classes[ask.class];
        self.ledger.asked(id, class.effect, class.window, not_after, now);
        if self.nodes[node as usize].paused {
            self.ledger.excuse(id);
        }
        self.push(now + CLIENT_WAY, What::Taken { id });
        self.push(not_after, What::GivenUp { id });
        self.push(not_after + ANSWER_SLACK + self.common.tick, What::Closed { id });
    }

    fn client_sees(&mut self, ask: Ask, tries: u32, seen: Seen) {
        let world = &self.common.world;
        match clients::again(world, &ask, tries, seen, self.now, &mut self.rng) {
            Some(at) => self.push(at, What::Again(ask, tries + 1)),
            None => {
                let fate = match seen {
                    Seen::Served => Fate::Served,
                    Seen::Refused(_) => Fate::Refused,
                    Seen::Failed => Fate::Failed,
                    Seen::Unreachable => Fate::Unreachable,
                };
                self.tally.end(world, &ask, fate, self.now);
            }
        }
    }

    // The node's driver.

    /// Whether a node can take something now; what comes to a paused one waits for it.
    fn awake(&mut self, node: u32, life: u32, what: impl FnOnce() -> What) -> bool {
        let known = &mut self.nodes[node as usize];
        if known.paused && known.life == life {
            known.inbox.push(what());
            return false;
        }
        known.up && known.life == life
    }

    fn taken(&mut self, id: u64) {
        let Some(open) = self.tries.get(id) else { return };
        let (node, life, ask) = (open.node, open.life, open.ask);
        if !self.awake(node, life, || What::Taken { id }) {
            return;
        }
        let Some(open) = self.tries.get(id).filter(|open| !open.ended) else { return };
        let arrival = Arrival {
            request: RequestId(id),
            class: ClassId(ask.class as u32),
            hint: None,
            repeat: false,
            tenant: ask.tenant.map(|tenant| tenant as u32),
            not_after: open.not_after,
        };
        self.tell(node, Event::Request(arrival));
    }

    fn tell(&mut self, node: u32, event: Event) {
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

    fn tick(&mut self) {
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

    fn act(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        for (node, action) in &actions {
            let node = *node as u32;
            match *action {
                Action::Send { request, backend, timeout } => self.launch(node, request.0, backend, timeout),
                Action::Refuse { request, pause } => self.finish(request.0, Answer::Refused, pause),
                Action::Fail { request } => self.finish(request.0, Answer::Failed, 0),
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

    fn launch(&mut self, node: u32, id: u64, backend: BackendId, timeout: Option<Nanos>) {
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
            self.ledger.breach(
                Rule::OneOutcome,
                crate::ledger::wire_id(id),
                now,
                "sent after its end".into(),
            );
            return;
        };
        let attempt = open.attempts.len();
        let not_after = open.not_after;
        let luck = self.rng.random();
        let id_of_job = job_id(self.zone, id, attempt);
        let job = Job {
            id: id_of_job,
            from: number as u32,
            work: open.ask.work,
            wait: open.ask.wait,
            not_after,
            luck,
        };
        let booked = self.ledger.arrived(id, instance, cell, drains, now);
        open.attempts.push(Attempt { instance, sent: now, out: true, written: true, booked });
        self.tally.attempts += 1;
        self.tally.crossings += u64::from(zone != self.zone);
        let give_up = timeout.map_or(not_after, |timeout| not_after.min(now + timeout));
        self.push(give_up, What::Waited { id, attempt: attempt as u32, connect: false });
        let life = self.take_idle(node, instance);
        let mut way = self.way(zone);
        if life.is_none() {
            self.tally.connections += 1;
            way += (HANDSHAKE_WAYS - 1) * common.world.way(self.zone, zone);
            if let Some(open) = self.tries.get_mut(id) {
                open.attempts[attempt].written = false;
            }
            if now + CONNECT_TIMEOUT < give_up {
                let what = What::Waited { id, attempt: attempt as u32, connect: true };
                self.push(now + CONNECT_TIMEOUT, what);
            }
        }
        match common.timeline.link(now, (Party::Node(number), self.zone), (Party::Server(place.server), zone))
        {
            Some(LinkTrouble::Cut) => return,
            Some(LinkTrouble::Delay(more)) => way += more,
            _ => {}
        }
        self.send(zone, now + way, What::Offered(Sent { instance, life, job }));
    }

    /// An idle connection to this process, if there is one; the youngest, so that those in excess grow old.
    fn take_idle(&mut self, node: u32, instance: u32) -> Option<u64> {
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

    fn drop_stale(&mut self, node: u32) {
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

    fn waited(&mut self, id: u64, attempt: u32, connect: bool) {
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

    fn attempt_ended(
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
    fn settle(&mut self, id: u64, attempt: usize, outcome: Outcome, util: Option<f64>) {
        let now = self.now;
        let Some(open) = self.tries.get_mut(id) else { return };
        let Some(over) = open.attempts.get_mut(attempt).filter(|over| over.out) else { return };
        over.out = false;
        let (instance, sent, booked, node) = (over.instance, over.sent, over.booked, open.node);
        let outcome = if over.written || outcome != Outcome::Cancelled { outcome } else { Outcome::Moot };
        let given_up = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Moot)
            || (outcome == Outcome::ConnectFailed && now.saturating_sub(sent) >= SILENT);
        if let Some(booked) = booked {
            self.ledger.ended(id, booked, outcome.may_have_run(), now);
        }
        if given_up {
            let zone = self.common.timeline.instances[instance as usize].zone;
            let way = self.way(zone);
            self.send(zone, now + way, What::Withdrawn { instance, job: job_id(self.zone, id, attempt) });
        }
        if outcome == Outcome::Served {
            self.finish(id, Answer::Served, 0);
        }
        let ended = self.tries.get(id).is_none_or(|open| open.ended);
        let settlement = Settlement {
            request: RequestId(id),
            attempt: attempt as u32,
            outcome,
            elapsed: now.saturating_sub(sent),
            ended,
            report: Report { util, ..Report::default() },
        };
        self.tell(node, Event::Settled(settlement));
        self.drop_if_done(id);
    }

    /// A node gives the final answer, and its client gets it.
    fn finish(&mut self, id: u64, answer: Answer, pause: Nanos) {
        let Some(open) = self.tries.get_mut(id).filter(|open| !open.ended) else { return };
        open.ended = true;
        let (ask, tries) = (open.ask, open.tries);
        self.ledger.answered(id, answer, self.now);
        if let Some(open) = self.tries.get_mut(id).filter(|open| !open.told) {
            open.told = true;
            self.client_sees(
                ask,
                tries,
                match answer {
                    Answer::Served => Seen::Served,
                    Answer::Refused => Seen::Refused(pause),
                    Answer::Failed => Seen::Failed,
                },
            );
        }
    }

    /// The client's time is up: it closes its connection, by which its node learns of it.
    fn given_up(&mut self, id: u64) {
        let Some(open) = self.tries.get_mut(id).filter(|open| !open.told) else { return };
        open.told = true;
        let (ask, tries) = (open.ask, open.tries);
        self.client_sees(ask, tries, Seen::Failed);
    }

    fn close(&mut self, id: u64) {
        let Some(open) = self.tries.get(id) else {
            self.ledger.close(id, self.now);
            return;
        };
        let (node, life, ended) = (open.node, open.life, open.ended);
        self.ledger.close(id, self.now);
        if !ended {
            self.tries.get_mut(id).into_iter().for_each(|open| open.ended = true);
            if self.nodes[node as usize].up && self.nodes[node as usize].life == life {
                self.tell(node, Event::ClientGone { request: RequestId(id) });
            }
        }
        self.drop_if_done(id);
    }

    fn drop_if_done(&mut self, id: u64) {
        let done = |open: &Try| open.ended && open.told && open.attempts.iter().all(|attempt| !attempt.out);
        if self.tries.get(id).is_some_and(done) {
            self.tries.remove(id);
            self.ledger.drop_if_done(id);
        }
    }

    // Servers.

    fn offered(&mut self, sent: Sent) {
        let now = self.now;
        let common = self.common.clone();
        let Sent { instance, job, .. } = sent;
        let place = common.timeline.instances[instance as usize];
        let node = job.from;
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
        let fell = server.has_fallen();
        let cold = server.ramp(now) < 1.0;
        let offer = server.offer(now, job, fresh);
        let fallen = server.has_fallen() && !fell;
        if cold {
            self.ledger.check(Rule::ColdSpared);
        }
        if fallen {
            self.ledger.fell(&format!("s{}", place.server), now);
        }
        match offer {
            Offer::Taken => {}
            Offer::Full => self.answer(place.server, node, to, ends(Outcome::Full, false, Some(life))),
            Offer::Failed => self.answer(place.server, node, to, ends(Outcome::Error, true, Some(life))),
            Offer::Down => self.answer(place.server, node, to, ends(Outcome::ConnectFailed, false, None)),
        }
        self.look_after(instance);
    }

    fn answer(&mut self, server: usize, node: u32, to: u32, what: What) {
        let mut way = self.way(to);
        match self.common.timeline.link(
            self.now,
            (Party::Server(server), self.zone),
            (Party::Node(node as usize), to),
        ) {
            Some(LinkTrouble::Cut) => return,
            Some(LinkTrouble::Delay(more)) => way += more,
            _ => {}
        }
        self.send(to, self.now + way, what);
    }

    /// Lets a server's time pass, sends its answers, and sees to it that it wakes again.
    fn look_after(&mut self, instance: u32) {
        let now = self.now;
        let mut ended = std::mem::take(&mut self.ended);
        let Some(server) = self.servers.get_mut(&instance) else { return };
        server.advance(now, &mut ended);
        let life = server.epoch();
        let reports = server.spec().reporting.is_some();
        for (job, end) in ended.drain(..) {
            let (outcome, ran) = match end {
                End::Served => (Outcome::Served, true),
                End::Error => (Outcome::Error, true),
                End::Dropped => (Outcome::Full, false),
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
        let next = self.servers.get(&instance).and_then(Server::next);
        if let Some(next) = next
            && self.wakes.get(&instance).is_none_or(|at| next < *at)
        {
            self.wakes.insert(instance, next);
            self.push(next, What::Wakes { instance });
        }
    }

    fn answer_job(&mut self, instance: u32, job: &Job, what: What) {
        let place = self.common.timeline.instances[instance as usize];
        let to = self.common.world.nodes[job.from as usize].zone;
        self.answer(place.server, job.from, to, what);
    }

    /// Connections to a process break as it ends: whoever waits for an answer learns that it will not come.
    fn reset(&mut self, instance: u32, held: Vec<Job>) {
        self.wakes.remove(&instance);
        if self.silent {
            return;
        }
        for job in held {
            let what =
                What::Ended { job: job.id, outcome: Outcome::Reset, ran: true, util: None, keeps: None };
            self.answer_job(instance, &job, what);
        }
    }

    // Nodes' processes and lists.

    fn start_node(&mut self, node: u32) {
        let common = self.common.clone();
        let number = self.nodes[node as usize].number;
        let seed = stream(common.world.seed, 10_000 + number as u64).random::<u64>();
        let known = &mut self.nodes[node as usize];
        if known.up {
            return;
        }
        known.life += 1;
        (known.up, known.leaving, known.paused, known.avoided_from) = (true, false, false, None);
        known.idle.clear();
        known.inbox.clear();
        let life = known.life;
        let settings = common.world.settings(self.zone);
        let seed = seed ^ u64::from(life);
        if let Err(problem) = self.module.open(node as usize, &settings, seed, self.now) {
            self.failed = Some(problem);
            return;
        }
        self.tell(node, Event::Start);
        // It comes with the list as it was when it was last told, and gets what is new when its next word is due.
        let (members, cursor, drains) = self.list_at(self.now.saturating_sub(SECOND));
        let known = &mut self.nodes[node as usize];
        (known.cursor, known.drains) = (cursor, drains);
        self.tell(node, Event::Fleet { scope: ListScope::Cached, members: members.clone() });
        self.tell(node, Event::Fleet { scope: ListScope::Full, members });
        self.next_word(node);
    }

    /// The list as it was then, how many changes are in it, and who drained or was gone.
    fn list_at(&self, then: Nanos) -> (Vec<Member>, usize, HashMap<u32, Nanos>) {
        let timeline = &self.common.timeline;
        let mut members: Vec<Member> = timeline.first.clone();
        let cursor = timeline.changes.iter().take_while(|change| change.at <= then).count();
        for change in &timeline.changes[..cursor] {
            match members.iter_mut().find(|member| member.backend == change.member.backend) {
                Some(member) => *member = change.member,
                None => members.push(change.member),
            }
        }
        members.retain(|member| member.stage != Stage::Gone);
        let drains = members.iter().filter(|member| member.stage == Stage::Draining);
        (members.clone(), cursor, drains.map(|member| (member.backend.0, self.now)).collect())
    }

    /// Sees to it that a node is told of the next change.
    fn next_word(&mut self, node: u32) {
        let Some(change) = self.common.timeline.changes.get(self.nodes[node as usize].cursor) else { return };
        let spread = self.rng.random_range(0..SECOND / 4);
        let life = self.nodes[node as usize].life;
        let (_, late) = self.common.timeline.discovery(change.at);
        self.push(change.at.max(self.now) + late + spread, What::Told { node, life });
    }

    fn read_list(&mut self, node: u32) {
        let now = self.now;
        let common = self.common.clone();
        let (silent, late) = common.timeline.discovery(now);
        if silent {
            let life = self.nodes[node as usize].life;
            self.push(now + SECOND / 4, What::Told { node, life });
            return;
        }
        let known = &mut self.nodes[node as usize];
        let fresh = &common.timeline.changes[known.cursor..];
        let count = fresh.iter().take_while(|change| change.at + late <= now).count();
        let members: Vec<Member> = fresh[..count].iter().map(|change| change.member).collect();
        known.cursor += count;
        for member in &members {
            if member.stage == Stage::InService {
                known.drains.remove(&member.backend.0);
            } else {
                known.drains.entry(member.backend.0).or_insert(now);
            }
        }
        if !members.is_empty() {
            self.tell(node, Event::Fleet { scope: ListScope::Changes, members });
        }
        self.next_word(node);
    }

    fn kill_node(&mut self, node: u32) {
        let now = self.now;
        let known = &mut self.nodes[node as usize];
        (known.up, known.leaving, known.paused) = (false, false, false);
        known.avoided_from = Some(known.avoided_from.unwrap_or(now + self.front));
        known.inbox.clear();
        let idle = std::mem::take(&mut known.idle);
        self.module.close(node as usize);
        self.pending.retain(|(to, _)| *to != node as usize);
        for idle in idle {
            let zone = self.common.timeline.instances[idle.instance as usize].zone;
            let way = self.way(zone);
            self.send(zone, now + way, What::HungUp { instance: idle.instance, life: idle.life });
        }
        let open: Vec<u64> =
            self.tries.iter().filter(|(_, open)| open.node == node).map(|(id, _)| id).collect();
        for id in open {
            self.ledger.excuse(id);
            let Some(open) = self.tries.get_mut(id) else { continue };
            open.ended = true;
            let told = std::mem::replace(&mut open.told, true);
            let (ask, tries) = (open.ask, open.tries);
            let out: Vec<(usize, u32, Option<usize>)> = open
                .attempts
                .iter_mut()
                .enumerate()
                .filter(|(_, attempt)| attempt.out)
                .map(|(number, attempt)| {
                    attempt.out = false;
                    (number, attempt.instance, attempt.booked)
                })
                .collect();
            for (attempt, instance, booked) in out {
                if let Some(booked) = booked {
                    self.ledger.ended(id, booked, true, now);
                }
                let zone = self.common.timeline.instances[instance as usize].zone;
                let way = self.way(zone);
                let job = job_id(self.zone, id, attempt);
                self.send(zone, now + way, What::Withdrawn { instance, job });
            }
            if !told {
                self.client_sees(ask, tries, Seen::Failed);
            }
            self.drop_if_done(id);
        }
    }

    // Faults.

    fn step(&mut self, number: usize, begins: bool) {
        let common = self.common.clone();
        let step = &common.timeline.steps[number];
        let own =
            |number: usize| self.nodes.iter().position(|node| node.number == number).map(|at| at as u32);
        match step.act {
            Act::KillNode(node) => {
                let Some(node) = own(node) else { return };
                if begins { self.kill_node(node) } else { self.start_node(node) }
            }
            Act::RestartNode(node) => {
                let Some(node) = own(node) else { return };
                if begins {
                    self.nodes[node as usize].leaving = true;
                    let longest = common.world.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
                    self.push(self.now + longest, What::Stops { node });
                    let back = step.until.unwrap_or(step.at).max(self.now + longest) + SECOND / 10;
                    self.push(back, What::Starts { node });
                }
            }
            Act::PauseNode(node) => {
                let Some(node) = own(node) else { return };
                if !self.nodes[node as usize].up {
                    return;
                }
                if begins {
                    self.nodes[node as usize].paused = true;
                    let open: Vec<u64> =
                        self.tries.iter().filter(|(_, open)| open.node == node).map(|(id, _)| id).collect();
                    open.into_iter().for_each(|id| self.ledger.excuse(id));
                } else {
                    self.happen(What::Resumes { node });
                }
            }
            Act::KillServer(server) => self.on_server(server, |shard, instance| {
                let now = shard.now;
                let Some(known) = shard.servers.get_mut(&instance) else { return };
                let held = if begins { known.stop(now) } else { known.start(now, true) };
                shard.reset(instance, held);
            }),
            Act::SlowServer(server, factor) => self.ail(server, begins, |a| a.slower = factor),
            Act::HangServer(server) => self.ail(server, begins, |a| a.hangs = true),
            Act::FailServer(server, share) => self.ail(server, begins, |a| a.fails = share),
            Act::BusyServer(server, share) => self.ail(server, begins, |a| a.taken = share),
            Act::ReplaceServer(server) if begins => self.on_server(server, |shard, instance| {
                if let Some(end) = shard.common.timeline.instances[instance as usize].ends {
                    shard.push(end, What::Boots { instance });
                }
            }),
            Act::LoseZone(zone, cold) if zone == self.zone => {
                self.silent = begins;
                if !begins && cold {
                    let now = self.now;
                    let mut up: Vec<u32> = self.servers.keys().copied().collect();
                    up.sort_unstable();
                    for instance in up {
                        let server = self.servers.get_mut(&instance).filter(|server| server.is_up());
                        let held = server.map(|server| server.start(now, true)).unwrap_or_default();
                        self.reset(instance, held);
                    }
                }
            }
            Act::Burst(factor) => {
                let factor = if begins { factor } else { 1.0 };
                self.clients.iter_mut().for_each(|clients| clients.burst(factor));
            }
            Act::FloodTenant(tenant, factor) => {
                let factor = if begins { factor } else { 1.0 };
                self.clients.iter_mut().for_each(|clients| clients.flood(tenant, factor));
            }
            _ => {}
        }
    }

    /// The process that is at a place now, if it is in this zone.
    fn on_server(&mut self, server: usize, then: impl FnOnce(&mut Self, u32)) {
        let timeline = &self.common.timeline;
        let here = |i: &crate::timeline::Instance| {
            i.server == server && i.starts <= self.now && i.ends.is_none_or(|end| self.now < end)
        };
        let at = timeline.instances.iter().position(|instance| here(instance) && instance.zone == self.zone);
        if let Some(instance) = at {
            then(self, instance as u32);
            self.look_after(instance as u32);
        }
    }

    fn ail(&mut self, server: usize, begins: bool, change: impl FnOnce(&mut Ailment)) {
        self.on_server(server, |shard, instance| {
            let now = shard.now;
            let Some(known) = shard.servers.get_mut(&instance) else { return };
            let mut ailment = if begins { known.ailment() } else { Ailment::default() };
            if begins {
                change(&mut ailment);
            }
            known.ail(now, ailment);
        });
    }
}
