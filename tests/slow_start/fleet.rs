//! Several nodes side by side on the same servers, in virtual time: the decisions are the crate's own, servers and
//! clients as simple as can be. A cold server has just what the settings promise, so that every node's estimate of
//! it has to be low enough.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use brookfield::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
/// Work of a request on a warm server.
const WORK: Nanos = 25 * MS;
/// A server that holds so many requests turns further ones away.
const MOST_HELD: usize = 24;
const DEADLINE: Nanos = 500 * MS;
/// Tries of one client, and the time from a failed one to the next.
const TRIES: u32 = 4;
const RETRY_AFTER: Nanos = 5 * MS;
const WARM_UP: Nanos = 8 * SECOND;
const END: Nanos = 24 * SECOND;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub nodes: u32,
    pub zones: u32,
    pub servers: u32,
    /// Arrivals against what all servers can do, before and after the crash.
    pub load: f64,
    pub burst: f64,
    /// Share of the servers that crash; a whole zone's first.
    pub crashed: f64,
    /// Time from one server's return to the next one's.
    pub step: Nanos,
    /// Time from a server's return until the list tells it.
    pub notice: Nanos,
    /// Answers carry the server's utilisation, with this relative error.
    pub reports: Option<f64>,
    /// How unevenly clients are spread over the nodes, 0 to 1; they move to other nodes every 2 s.
    pub skew: f64,
    pub overload_factor: f64,
    pub initial_capacity: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            nodes: 32,
            zones: 6,
            servers: 12,
            load: 0.9,
            burst: 1.8,
            crashed: 0.34,
            step: 700 * MS,
            notice: 3500 * MS,
            reports: None,
            skew: 0.5,
            overload_factor: 2.0,
            initial_capacity: 0.15,
        }
    }
}

impl Shape {
    pub fn drawn(seed: u64) -> Self {
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5a5a);
        let zones = 1 + random.below(12);
        let nodes = (zones * (1 + random.below(10))).min(90);
        Self {
            nodes,
            zones,
            servers: zones.max(4) + random.below(2 * zones + 6),
            load: random.between(0.3, 1.1),
            burst: random.between(1.0, 2.5),
            crashed: random.between(0.1, 0.6),
            step: random.below(1500) as Nanos * MS,
            notice: random.below(4000) as Nanos * MS,
            reports: (random.below(2) == 0).then(|| random.between(0.0, 0.3)),
            skew: random.between(0.0, 1.0),
            overload_factor: random.between(1.5, 3.0),
            initial_capacity: random.between(0.1, 0.4),
        }
    }
}

/// More than a cold server can take, in requests within the span of the rule.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code)]
pub struct Overload {
    pub backend: u32,
    pub at: Nanos,
    pub sent: usize,
    pub allowed: f64,
}

pub struct Random(pub u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    fn below(&mut self, count: u32) -> u32 {
        (self.next() % u64::from(count.max(1))) as u32
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    Retry { node: usize, not_after: Nanos, tries: u32 },
    Answer { node: usize, request: RequestId, attempt: u32, outcome: Served },
    Timer { node: usize, token: u64 },
    Crash { server: usize },
    Gone { server: usize },
    Return { server: usize },
    Listed { server: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Served {
    Yes,
    TurnedAway,
    Refused,
    TimedOut,
}

impl Served {
    fn outcome(self) -> Outcome {
        match self {
            Self::Yes => Outcome::Served,
            Self::TurnedAway => Outcome::Full,
            Self::Refused => Outcome::ConnectFailed,
            Self::TimedOut => Outcome::TimedOut,
        }
    }
}

struct Server {
    zone: u32,
    up: bool,
    listed: bool,
    since: Option<Nanos>,
    ends: VecDeque<Nanos>,
    busy_until: Nanos,
    used: f64,
    used_at: Nanos,
    received: VecDeque<Nanos>,
}

struct Pending {
    not_after: Nanos,
    tries: u32,
    /// Attempts so far: when each was sent and to whom, none once it has ended.
    attempts: Vec<Option<(Nanos, usize)>>,
    answered: bool,
}

struct Node {
    balancer: Balancer,
    pending: BTreeMap<RequestId, Pending>,
    next: u64,
}

pub struct Fleet {
    shape: Shape,
    rules: RuleParameters,
    now: Nanos,
    order: u64,
    random: Random,
    nodes: Vec<Node>,
    weights: Vec<f64>,
    weights_at: Nanos,
    servers: Vec<Server>,
    happenings: BinaryHeap<Reverse<(Nanos, u64, Happening)>>,
    worst: Option<Overload>,
}

impl Fleet {
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut random = Random(seed ^ 0xc01d);
        let servers: Vec<Server> = (0..shape.servers)
            .map(|number| Server {
                zone: number % shape.zones,
                up: true,
                listed: true,
                since: None,
                ends: VecDeque::new(),
                busy_until: 0,
                used: 0.0,
                used_at: 0,
                received: VecDeque::new(),
            })
            .collect();
        let settings = |node: u32| {
            let class = ClassSettings {
                latency_target: 300 * MS,
                deadline: DEADLINE,
                idempotency: Idempotency::Keyed { group: DedupGroup::All, window: DEADLINE },
                ..ClassSettings::default()
            };
            let mut settings = Settings::new(ZoneId(node % shape.zones), shape.zones);
            (settings.node_count, settings.classes) = (shape.nodes, vec![class]);
            settings.rules.overload_factor = shape.overload_factor;
            settings.rules.initial_capacity = shape.initial_capacity;
            settings.rules.slow_start_window = 22 * SECOND;
            settings.rules.overload_window = 1500 * MS;
            settings
        };
        let nodes = (0..shape.nodes).map(|node| Node {
            balancer: Balancer::new(settings(node), random.next(), 0).expect("usable settings"),
            pending: BTreeMap::new(),
            next: 0,
        });
        let mut fleet = Self {
            shape,
            rules: settings(0).rules,
            now: 0,
            order: 0,
            nodes: nodes.collect(),
            random,
            weights: Vec::new(),
            weights_at: 0,
            servers,
            happenings: BinaryHeap::new(),
            worst: None,
        };
        for node in 0..fleet.nodes.len() {
            fleet.tell(node, Event::Start);
        }
        fleet.publish();
        fleet.plan_crash();
        fleet.at(1, Happening::Arrival);
        fleet
    }

    /// Servers of the same zones crash together, and come back one after the other.
    fn plan_crash(&mut self) {
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        let first = self.random.below(self.shape.zones);
        order
            .sort_by_key(|&server| (self.servers[server].zone + self.shape.zones - first) % self.shape.zones);
        let count = ((self.shape.crashed * order.len() as f64).ceil() as usize).clamp(1, order.len());
        for (turn, &server) in order[..count].iter().enumerate() {
            self.at(WARM_UP, Happening::Crash { server });
            self.at(WARM_UP + SECOND, Happening::Gone { server });
            let back = WARM_UP + 2 * SECOND + turn as Nanos * self.shape.step;
            self.at(back, Happening::Return { server });
            self.at(back + self.shape.notice, Happening::Listed { server });
        }
    }

    fn at(&mut self, at: Nanos, happening: Happening) {
        self.order += 1;
        self.happenings.push(Reverse((at, self.order, happening)));
    }

    pub fn play(&mut self) {
        while let Some(Reverse((at, _, happening))) = self.happenings.pop() {
            if at > END {
                break;
            }
            self.now = at;
            self.happen(happening);
        }
    }

    pub fn worst_overload(&self) -> Option<Overload> {
        self.worst
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival => {
                let capacity = self.servers.len() as f64 * SECOND as f64 / WORK as f64;
                let burst = if self.now > WARM_UP { self.shape.burst } else { 1.0 };
                let rate = capacity * self.shape.load * burst;
                let wait = -(1.0 - self.random.unit()).ln() / rate * SECOND as f64;
                self.at(self.now + wait.max(1.0) as Nanos, Happening::Arrival);
                let node = self.drawn_node();
                self.ask(node, self.now + DEADLINE, 1);
            }
            Happening::Retry { node, not_after, tries } => self.ask(node, not_after, tries),
            Happening::Answer { node, request, attempt, outcome } => {
                self.answer(node, request, attempt, outcome);
            }
            Happening::Timer { node, token } => self.tell(node, Event::Timer { token }),
            Happening::Crash { server } => {
                self.servers[server].up = false;
                self.servers[server].ends.clear();
            }
            Happening::Gone { server } => {
                self.servers[server].listed = false;
                self.publish();
            }
            Happening::Return { server } => {
                let back = &mut self.servers[server];
                (back.up, back.since, back.busy_until) = (true, Some(self.now), self.now);
            }
            Happening::Listed { server } => {
                self.servers[server].listed = true;
                self.publish();
            }
        }
    }

    /// Clients are spread unevenly over the nodes, and differently every 2 s.
    fn drawn_node(&mut self) -> usize {
        if self.weights.is_empty() || self.now >= self.weights_at + 2 * SECOND {
            self.weights_at = self.now;
            let skew = self.shape.skew;
            self.weights =
                (0..self.nodes.len()).map(|_| 1.0 - skew + skew * self.random.unit().powi(4) * 5.0).collect();
        }
        let mut left = self.random.unit() * self.weights.iter().sum::<f64>();
        for (node, weight) in self.weights.iter().enumerate() {
            left -= weight;
            if left <= 0.0 {
                return node;
            }
        }
        0
    }

    /// All nodes are told the list at once: every one of them knows what is cold.
    fn publish(&mut self) {
        let member = |(number, server): (usize, &Server)| Member {
            backend: BackendId(number as u32),
            zone: ZoneId(server.zone),
            weight: 1.0,
            online_since: server.since,
            ..Member::default()
        };
        let listed = self.servers.iter().enumerate().filter(|(_, server)| server.listed);
        let members: Vec<Member> = listed.map(member).collect();
        for node in 0..self.nodes.len() {
            self.tell(node, Event::BackendList { scope: ListScope::Full, members: members.clone() });
        }
    }

    fn ask(&mut self, node: usize, not_after: Nanos, tries: u32) {
        if not_after <= self.now {
            return;
        }
        let request = RequestId(self.nodes[node].next);
        self.nodes[node].next += 1;
        let pending = Pending { not_after, tries, attempts: Vec::new(), answered: false };
        self.nodes[node].pending.insert(request, pending);
        let arrival =
            Arrival { request, class: ClassId(0), cost_hint: None, is_retry: false, tenant: None, not_after };
        self.tell(node, Event::Request(arrival));
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, backend, timeout, .. } => {
                    self.send(node, request, backend.0 as usize, timeout);
                }
                Action::Reject { request, .. } | Action::Fail { request } => self.refused(node, request),
                Action::Timer { after, token } => self.at(self.now + after, Happening::Timer { node, token }),
                _ => {}
            }
        }
    }

    fn refused(&mut self, node: usize, request: RequestId) {
        let Some(pending) = self.nodes[node].pending.get_mut(&request) else { return };
        pending.answered = true;
        if pending.tries < TRIES {
            let (not_after, tries) = (pending.not_after, pending.tries + 1);
            self.at(self.now + RETRY_AFTER, Happening::Retry { node, not_after, tries });
        }
    }

    fn send(&mut self, node: usize, request: RequestId, server: usize, timeout: Option<Nanos>) {
        let Some(pending) = self.nodes[node].pending.get_mut(&request) else { return };
        let attempt = pending.attempts.len() as u32;
        pending.attempts.push(Some((self.now, server)));
        let give_up = pending.not_after.min(timeout.map_or(Nanos::MAX, |timeout| self.now + timeout));
        let (ends, outcome) = self.serve(server);
        let (ends, outcome) = if ends > give_up { (give_up, Served::TimedOut) } else { (ends, outcome) };
        self.at(ends.max(self.now + 1), Happening::Answer { node, request, attempt, outcome });
    }

    /// What becomes of a request that a server receives now.
    fn serve(&mut self, number: usize) -> (Nanos, Served) {
        let now = self.now;
        self.count_cold(number);
        let ramp = self.ramp(number);
        let server = &mut self.servers[number];
        if !server.up {
            return (now + MS / 2, Served::Refused);
        }
        while server.ends.front().is_some_and(|&end| end <= now) {
            server.ends.pop_front();
        }
        if server.ends.len() >= MOST_HELD {
            return (now + MS, Served::TurnedAway);
        }
        let takes = (WORK as f64 / ramp * self.random.between(0.7, 1.3)) as Nanos;
        server.busy_until = server.busy_until.max(now) + takes;
        server.ends.push_back(server.busy_until);
        (server.busy_until + MS / 2, Served::Yes)
    }

    fn ramp(&self, number: usize) -> f64 {
        let Some(since) = self.servers[number].since else { return 1.0 };
        let age = (self.now - since) as f64 / self.rules.slow_start_window as f64;
        (self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * age).min(1.0)
    }

    fn count_cold(&mut self, number: usize) {
        let ramp = self.ramp(number);
        let server = &mut self.servers[number];
        if ramp >= 1.0 || !server.up {
            return;
        }
        server.received.push_back(self.now);
        while server.received.front().is_some_and(|&at| at + self.rules.overload_window < self.now) {
            server.received.pop_front();
        }
        let allowed =
            allowed(self.rules.overload_factor * ramp * self.rules.overload_window as f64 / WORK as f64);
        let sent = server.received.len();
        let over = sent as f64 - allowed;
        if over > 0.0 && self.worst.is_none_or(|worst| over > worst.sent as f64 - worst.allowed) {
            self.worst = Some(Overload { backend: number as u32, at: self.now, sent, allowed });
        }
    }

    fn answer(&mut self, node: usize, request: RequestId, attempt: u32, outcome: Served) {
        let Some(pending) = self.nodes[node].pending.get_mut(&request) else { return };
        let Some((sent, server)) = pending.attempts[attempt as usize].take() else { return };
        let ended = pending.answered || outcome == Served::Yes;
        pending.answered = ended;
        let elapsed = self.now - sent;
        if pending.answered && pending.attempts.iter().all(Option::is_none) {
            self.nodes[node].pending.remove(&request);
        }
        let report = if outcome == Served::Yes { self.report(server) } else { LoadReport::default() };
        let outcome = outcome.outcome();
        self.tell(
            node,
            Event::AttemptEnded(AttemptResult {
                request,
                attempt,
                outcome,
                elapsed,
                request_ended: ended,
                report,
            }),
        );
    }

    /// A server's utilisation over the last half second or so, as its answers tell it.
    fn report(&mut self, number: usize) -> LoadReport {
        let Some(error) = self.shape.reports else { return LoadReport::default() };
        let noise = 1.0 + error * self.random.between(-1.0, 1.0);
        let server = &mut self.servers[number];
        let span = (self.now - server.used_at) as f64 / (500 * MS) as f64;
        let busy = if server.busy_until > self.now { 1.0 } else { 0.0 };
        server.used += (busy - server.used) * (1.0 - (-span).exp());
        server.used_at = self.now;
        LoadReport { util: Some((server.used * noise).clamp(0.0, 1.0)), ..LoadReport::default() }
    }
}

/// Requests that a cold server takes in the span of the rule before it falls, for `capacity` that it could do.
fn allowed(capacity: f64) -> f64 {
    let root = capacity.sqrt();
    if capacity < 30.0 { capacity + 3.0 * root + 3.0 } else { capacity + 2.0 * root + 2.0 }
}
