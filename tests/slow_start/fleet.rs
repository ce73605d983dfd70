//! Simulates several nodes that share servers, in virtual time, with simple models of servers and clients. A
//! cold server has exactly the capacity that the settings promise, so a node that overestimates it overloads
//! it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use brookfield::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
/// Mean work of a request on a warm server.
const WORK: Nanos = 25 * MS;
/// A server that holds this many requests rejects further ones.
const MAX_HELD: usize = 24;
const DEADLINE: Nanos = 500 * MS;
/// Maximum number of tries of one client, and the time from a failed one to the next.
const MAX_TRIES: u32 = 4;
const RETRY_DELAY: Nanos = 5 * MS;
const WARM_UP: Nanos = 8 * SECOND;
const DURATION: Nanos = 24 * SECOND;

/// Parameters of a simulation run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub nodes: u32,
    pub zones: u32,
    pub servers: u32,
    /// Arrivals relative to the capacity of all servers, and the factor on them from the crash on.
    pub load: f64,
    pub burst: f64,
    /// Share of the servers that crash, zone by zone.
    pub crashed_share: f64,
    /// Time between the restarts of two servers.
    pub restart_interval: Nanos,
    /// Time from a server's restart until it is listed.
    pub discovery_delay: Nanos,
    /// Relative error of the utilisation that responses report; `None` for no reports.
    pub report_error: Option<f64>,
    /// How unevenly clients are distributed over the nodes, 0 to 1; the distribution changes every 2 s.
    pub skew: f64,
    pub overload_factor: f64,
    pub initial_capacity: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 32,
            zones: 6,
            servers: 12,
            load: 0.9,
            burst: 1.8,
            crashed_share: 0.34,
            restart_interval: 700 * MS,
            discovery_delay: 3500 * MS,
            report_error: None,
            skew: 0.5,
            overload_factor: 2.0,
            initial_capacity: 0.15,
        }
    }
}

impl Scenario {
    pub fn random(seed: u64) -> Self {
        let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5a5a);
        let zones = 1 + rng.below(12);
        let nodes = (zones * (1 + rng.below(10))).min(90);
        Self {
            nodes,
            zones,
            servers: zones.max(4) + rng.below(2 * zones + 6),
            load: rng.between(0.3, 1.1),
            burst: rng.between(1.0, 2.5),
            crashed_share: rng.between(0.1, 0.6),
            restart_interval: rng.below(1500) as Nanos * MS,
            discovery_delay: rng.below(4000) as Nanos * MS,
            report_error: (rng.below(2) == 0).then(|| rng.between(0.0, 0.3)),
            skew: rng.between(0.0, 1.0),
            overload_factor: rng.between(1.5, 3.0),
            initial_capacity: rng.between(0.1, 0.4),
        }
    }
}

/// A cold server that received more requests in the overload window than the rule allows.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code)]
pub struct Overload {
    pub backend: u32,
    pub at: Nanos,
    pub sent: usize,
    pub allowed: f64,
}

pub struct Rng(pub u64);

impl Rng {
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
enum SimEvent {
    Arrival,
    Retry { node: usize, not_after: Nanos, tries: u32 },
    AttemptEnded { node: usize, request: RequestId, attempt: u32, outcome: ServerResult },
    Timer { node: usize, token: u64 },
    Crash { server: usize },
    Gone { server: usize },
    Return { server: usize },
    Listed { server: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServerResult {
    Served,
    Rejected,
    ConnectionRefused,
    TimedOut,
}

impl ServerResult {
    fn outcome(self) -> Outcome {
        match self {
            Self::Served => Outcome::Served,
            Self::Rejected => Outcome::Full,
            Self::ConnectionRefused => Outcome::ConnectFailed,
            Self::TimedOut => Outcome::TimedOut,
        }
    }
}

struct Server {
    zone: u32,
    up: bool,
    listed: bool,
    started_at: Option<Nanos>,
    completions: VecDeque<Nanos>,
    busy_until: Nanos,
    utilisation: f64,
    utilisation_at: Nanos,
    received: VecDeque<Nanos>,
}

struct Pending {
    not_after: Nanos,
    tries: u32,
    /// When each attempt was sent and to which server; `None` once it has ended.
    attempts: Vec<Option<(Nanos, usize)>>,
    ended: bool,
}

struct Node {
    balancer: Balancer,
    pending: BTreeMap<RequestId, Pending>,
    next_id: u64,
}

pub struct Fleet {
    scenario: Scenario,
    rules: RuleParameters,
    now: Nanos,
    sequence: u64,
    rng: Rng,
    nodes: Vec<Node>,
    client_weights: Vec<f64>,
    client_weights_at: Nanos,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(Nanos, u64, SimEvent)>>,
    worst: Option<Overload>,
}

impl Fleet {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Rng(seed ^ 0xc01d);
        let servers: Vec<Server> = (0..scenario.servers)
            .map(|number| Server {
                zone: number % scenario.zones,
                up: true,
                listed: true,
                started_at: None,
                completions: VecDeque::new(),
                busy_until: 0,
                utilisation: 0.0,
                utilisation_at: 0,
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
            let mut settings = Settings::new(ZoneId(node % scenario.zones), scenario.zones);
            (settings.node_count, settings.classes) = (scenario.nodes, vec![class]);
            settings.rules.overload_factor = scenario.overload_factor;
            settings.rules.initial_capacity = scenario.initial_capacity;
            settings.rules.slow_start_window = 22 * SECOND;
            settings.rules.overload_window = 1500 * MS;
            settings
        };
        let nodes = (0..scenario.nodes).map(|node| Node {
            balancer: Balancer::new(settings(node), rng.next(), 0).expect("usable settings"),
            pending: BTreeMap::new(),
            next_id: 0,
        });
        let mut fleet = Self {
            scenario,
            rules: settings(0).rules,
            now: 0,
            sequence: 0,
            nodes: nodes.collect(),
            rng,
            client_weights: Vec::new(),
            client_weights_at: 0,
            servers,
            events: BinaryHeap::new(),
            worst: None,
        };
        for node in 0..fleet.nodes.len() {
            fleet.handle(node, Event::Start);
        }
        fleet.publish_list();
        fleet.schedule_crashes();
        fleet.schedule(1, SimEvent::Arrival);
        fleet
    }

    /// Servers crash together, zone by zone, and restart one after the other.
    fn schedule_crashes(&mut self) {
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        let first = self.rng.below(self.scenario.zones);
        order.sort_by_key(|&server| {
            (self.servers[server].zone + self.scenario.zones - first) % self.scenario.zones
        });
        let count =
            ((self.scenario.crashed_share * order.len() as f64).ceil() as usize).clamp(1, order.len());
        for (turn, &server) in order[..count].iter().enumerate() {
            self.schedule(WARM_UP, SimEvent::Crash { server });
            self.schedule(WARM_UP + SECOND, SimEvent::Gone { server });
            let return_at = WARM_UP + 2 * SECOND + turn as Nanos * self.scenario.restart_interval;
            self.schedule(return_at, SimEvent::Return { server });
            self.schedule(return_at + self.scenario.discovery_delay, SimEvent::Listed { server });
        }
    }

    fn schedule(&mut self, at: Nanos, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > DURATION {
                break;
            }
            self.now = at;
            self.process(event);
        }
    }

    pub fn worst_overload(&self) -> Option<Overload> {
        self.worst
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => {
                let capacity = self.servers.len() as f64 * SECOND as f64 / WORK as f64;
                let burst = if self.now > WARM_UP { self.scenario.burst } else { 1.0 };
                let rate = capacity * self.scenario.load * burst;
                let wait = -(1.0 - self.rng.unit()).ln() / rate * SECOND as f64;
                self.schedule(self.now + wait.max(1.0) as Nanos, SimEvent::Arrival);
                let node = self.random_node();
                self.send_request(node, self.now + DEADLINE, 1);
            }
            SimEvent::Retry { node, not_after, tries } => self.send_request(node, not_after, tries),
            SimEvent::AttemptEnded { node, request, attempt, outcome } => {
                self.on_attempt_ended(node, request, attempt, outcome);
            }
            SimEvent::Timer { node, token } => self.handle(node, Event::Timer { token }),
            SimEvent::Crash { server } => {
                self.servers[server].up = false;
                self.servers[server].completions.clear();
            }
            SimEvent::Gone { server } => {
                self.servers[server].listed = false;
                self.publish_list();
            }
            SimEvent::Return { server } => {
                let restarted = &mut self.servers[server];
                (restarted.up, restarted.started_at, restarted.busy_until) = (true, Some(self.now), self.now);
            }
            SimEvent::Listed { server } => {
                self.servers[server].listed = true;
                self.publish_list();
            }
        }
    }

    /// The node of a new client.
    fn random_node(&mut self) -> usize {
        if self.client_weights.is_empty() || self.now >= self.client_weights_at + 2 * SECOND {
            self.client_weights_at = self.now;
            let skew = self.scenario.skew;
            self.client_weights =
                (0..self.nodes.len()).map(|_| 1.0 - skew + skew * self.rng.unit().powi(4) * 5.0).collect();
        }
        let mut remaining_weight = self.rng.unit() * self.client_weights.iter().sum::<f64>();
        for (node, weight) in self.client_weights.iter().enumerate() {
            remaining_weight -= weight;
            if remaining_weight <= 0.0 {
                return node;
            }
        }
        0
    }

    /// Sends the full list to all nodes at once.
    fn publish_list(&mut self) {
        let member = |(number, server): (usize, &Server)| Member {
            backend: BackendId(number as u32),
            zone: ZoneId(server.zone),
            weight: 1.0,
            online_since: server.started_at,
            ..Member::default()
        };
        let listed = self.servers.iter().enumerate().filter(|(_, server)| server.listed);
        let members: Vec<Member> = listed.map(member).collect();
        for node in 0..self.nodes.len() {
            self.handle(node, Event::BackendList { scope: ListScope::Full, members: members.clone() });
        }
    }

    fn send_request(&mut self, node: usize, not_after: Nanos, tries: u32) {
        if not_after <= self.now {
            return;
        }
        let request = RequestId(self.nodes[node].next_id);
        self.nodes[node].next_id += 1;
        let pending = Pending { not_after, tries, attempts: Vec::new(), ended: false };
        self.nodes[node].pending.insert(request, pending);
        let arrival =
            Arrival { request, class: ClassId(0), cost_hint: None, is_retry: false, tenant: None, not_after };
        self.handle(node, Event::Request(arrival));
    }

    fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, backend, timeout, .. } => {
                    self.send(node, request, backend.0 as usize, timeout);
                }
                Action::Reject { request, .. } | Action::Fail { request } => self.on_rejected(node, request),
                Action::Timer { after, token } => {
                    self.schedule(self.now + after, SimEvent::Timer { node, token })
                }
                _ => {}
            }
        }
    }

    fn on_rejected(&mut self, node: usize, request: RequestId) {
        let Some(pending) = self.nodes[node].pending.get_mut(&request) else { return };
        pending.ended = true;
        if pending.tries < MAX_TRIES {
            let (not_after, tries) = (pending.not_after, pending.tries + 1);
            self.schedule(self.now + RETRY_DELAY, SimEvent::Retry { node, not_after, tries });
        }
    }

    fn send(&mut self, node: usize, request: RequestId, server: usize, timeout: Option<Nanos>) {
        let Some(pending) = self.nodes[node].pending.get_mut(&request) else { return };
        let attempt = pending.attempts.len() as u32;
        pending.attempts.push(Some((self.now, server)));
        let give_up_at = pending.not_after.min(timeout.map_or(Nanos::MAX, |timeout| self.now + timeout));
        let (completed_at, outcome) = self.serve(server);
        let (completed_at, outcome) = if completed_at > give_up_at {
            (give_up_at, ServerResult::TimedOut)
        } else {
            (completed_at, outcome)
        };
        self.schedule(
            completed_at.max(self.now + 1),
            SimEvent::AttemptEnded { node, request, attempt, outcome },
        );
    }

    /// When and how a server completes a request that it receives now.
    fn serve(&mut self, number: usize) -> (Nanos, ServerResult) {
        let now = self.now;
        self.record_overload(number);
        let ramp = self.ramp(number);
        let server = &mut self.servers[number];
        if !server.up {
            return (now + MS / 2, ServerResult::ConnectionRefused);
        }
        while server.completions.front().is_some_and(|&completed_at| completed_at <= now) {
            server.completions.pop_front();
        }
        if server.completions.len() >= MAX_HELD {
            return (now + MS, ServerResult::Rejected);
        }
        let duration = (WORK as f64 / ramp * self.rng.between(0.7, 1.3)) as Nanos;
        server.busy_until = server.busy_until.max(now) + duration;
        server.completions.push_back(server.busy_until);
        (server.busy_until + MS / 2, ServerResult::Served)
    }

    fn ramp(&self, number: usize) -> f64 {
        let Some(started_at) = self.servers[number].started_at else { return 1.0 };
        let age = (self.now - started_at) as f64 / self.rules.slow_start_window as f64;
        (self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * age).min(1.0)
    }

    fn record_overload(&mut self, number: usize) {
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

    fn on_attempt_ended(&mut self, node: usize, request: RequestId, attempt: u32, outcome: ServerResult) {
        let Some(pending) = self.nodes[node].pending.get_mut(&request) else { return };
        let Some((sent_at, server)) = pending.attempts[attempt as usize].take() else { return };
        let ended = pending.ended || outcome == ServerResult::Served;
        pending.ended = ended;
        let elapsed = self.now - sent_at;
        if pending.ended && pending.attempts.iter().all(Option::is_none) {
            self.nodes[node].pending.remove(&request);
        }
        let report =
            if outcome == ServerResult::Served { self.report(server) } else { LoadReport::default() };
        let outcome = outcome.outcome();
        self.handle(
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

    /// The load report in a server's response: its utilisation, averaged with a time constant of 500 ms.
    fn report(&mut self, number: usize) -> LoadReport {
        let Some(error) = self.scenario.report_error else { return LoadReport::default() };
        let noise = 1.0 + error * self.rng.between(-1.0, 1.0);
        let server = &mut self.servers[number];
        let elapsed = (self.now - server.utilisation_at) as f64 / (500 * MS) as f64;
        let busy = if server.busy_until > self.now { 1.0 } else { 0.0 };
        server.utilisation += (busy - server.utilisation) * (1.0 - (-elapsed).exp());
        server.utilisation_at = self.now;
        LoadReport { util: Some((server.utilisation * noise).clamp(0.0, 1.0)), ..LoadReport::default() }
    }
}

/// Maximum number of requests that the rule allows a cold server with this capacity, in requests, in the
/// overload window.
fn allowed(capacity: f64) -> f64 {
    let root = capacity.sqrt();
    if capacity < 30.0 { capacity + 3.0 * root + 3.0 } else { capacity + 2.0 * root + 2.0 }
}
