//! Emulated discovery agents, one per node, speaking the discovery protocol: a full list, or a watch that waits for
//! newer changes. The timeline of the scenario determines the content and when it becomes visible.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::{Member, Nanos, Stage};
use bytes::Bytes;
use flaxdale_fleet::watch::INSTANCES_PATH;
use flaxdale_model::timeline::{ListChange, Timeline};
use flaxdale_model::world::{FaultAction, World, rng_stream};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::listener::SwitchableListener;
use crate::servers::uid;
use crate::shared::{Shared, lock};

/// Maximum `hold_ms` of a watch in the protocol.
const MAX_HOLD: Duration = Duration::from_secs(60);
/// Delay after a move before the connections at the old address are closed.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// Revision of the list at the start of a run.
const INITIAL_REV: u64 = 1;

/// Addresses of all server instances as one node sees them; some are those of relays.
pub type Endpoints = Vec<SocketAddr>;

/// The discovery agent of one node.
pub struct DiscoveryAgent {
    node: usize,
    shared: Arc<Shared>,
    endpoints: Endpoints,
    /// Current listening address; [`Self::relocate`] changes it.
    address: watch::Sender<SocketAddr>,
    initial_address: SocketAddr,
    /// Number of list changes of the timeline that are visible so far.
    applied_changes: watch::Sender<usize>,
    rng: Mutex<ChaCha12Rng>,
}

fn state_name(stage: Stage) -> &'static str {
    match stage {
        Stage::InService => "Ready",
        Stage::Draining => "Terminating",
        Stage::Gone => "Gone",
    }
}

fn target(world: &World, member: &Member, endpoints: &Endpoints) -> Value {
    let instance = member.backend.0 as usize;
    json!({"uid": uid(member.backend.0), "endpoint": endpoints[instance].to_string(),
        "az": world.zones[member.zone.0 as usize], "model": world.kinds[member.kind as usize],
        "pod_group": member.cell, "state": state_name(member.stage), "capacity_hint": member.weight,
        "boot_ms": member.online_since.unwrap_or(0) / 1_000_000})
}

/// Members after the first `applied_changes` changes, without instances that are gone.
fn members_at(timeline: &Timeline, applied_changes: usize) -> Vec<Member> {
    let mut members = timeline.initial_members.clone();
    for ListChange { member, .. } in &timeline.changes[..applied_changes] {
        match members.iter_mut().find(|other| other.backend == member.backend) {
            Some(other) => *other = *member,
            None => members.push(*member),
        }
    }
    members.retain(|member| member.stage != Stage::Gone);
    members
}

impl DiscoveryAgent {
    /// Starts the agent of a node. Its tasks run until the runtime shuts down.
    pub fn start(shared: Arc<Shared>, node: usize, endpoints: Endpoints) -> std::io::Result<Arc<Self>> {
        let listener = SwitchableListener::bind()?;
        let rng = Mutex::new(rng_stream(shared.world.seed, 40_000 + node as u64));
        let (initial_address, applied_changes) = (listener.address(), watch::Sender::new(0));
        let address = watch::Sender::new(initial_address);
        let agent =
            Arc::new(Self { node, shared, endpoints, address, initial_address, applied_changes, rng });
        tokio::spawn(agent.clone().accept_connections(listener));
        tokio::spawn(agent.clone().apply_changes());
        Ok(agent)
    }

    /// Current listening address.
    pub fn address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    /// Whether the address has changed since the start.
    pub fn has_moved(&self) -> bool {
        self.address() != self.initial_address
    }

    /// The current full list.
    pub fn list(&self) -> Value {
        let applied_changes = *self.applied_changes.borrow();
        self.full_list(applied_changes)
    }

    /// Moves to a new address. The old one accepts no new connections and closes its open ones after a delay.
    pub fn relocate(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = SwitchableListener::bind()?;
        self.address.send_replace(listener.address());
        tokio::spawn(self.clone().accept_connections(listener));
        Ok(())
    }

    /// Applies list changes as they become visible, with the lag of the discovery service, until none is left.
    async fn apply_changes(self: Arc<Self>) {
        let shared = self.shared.clone();
        let jitter = lock(&self.rng).random_range(0..250_000_000u64);
        if shared.load_started.subscribe().wait_for(|started| *started).await.is_err() {
            return;
        }
        let timeline = shared.timeline();
        loop {
            let applied_changes = *self.applied_changes.borrow();
            let Some(change) = timeline.changes.get(applied_changes) else { return };
            let (_, lag) = timeline.discovery_state(change.at);
            shared.clock.sleep_until(change.at + lag + jitter).await;
            self.applied_changes.send_replace(applied_changes + 1);
        }
    }

    async fn accept_connections(self: Arc<Self>, listener: SwitchableListener) {
        let own_address = listener.address();
        let mut address_changes = self.address.subscribe();
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                moved_away = async { address_changes.wait_for(|address| *address != own_address).await.is_ok() } => {
                    if moved_away {
                        drop(listener);
                        tokio::time::sleep(OLD_ADDRESS_CLOSE_DELAY).await;
                    }
                    return;
                }
                accepted = listener.accept() => {
                    let Ok(stream) = accepted else { continue };
                    connections.spawn(self.clone().serve_connection(stream));
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.handle(request));
        // Connection errors are ignored: the node reconnects and repeats its request.
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let respond = |status: StatusCode, text: String| {
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            Ok(response)
        };
        if request.uri().path() != INSTANCES_PATH {
            return respond(StatusCode::NOT_FOUND, "no such path".to_owned());
        }
        let active_fault = self.active_fault();
        match active_fault {
            Some(FaultAction::SilentDiscovery) => std::future::pending().await,
            Some(FaultAction::RubbishDiscovery) => {
                return respond(StatusCode::OK, "{\"rev\":\"soon\"".to_owned());
            }
            Some(FaultAction::BusyDiscovery(share)) if lock(&self.rng).random::<f64>() < share => {
                return respond(StatusCode::SERVICE_UNAVAILABLE, "too many calls".to_owned());
            }
            _ => {}
        }
        let query = request.uri().query().unwrap_or_default();
        let parse_parameter = |name: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
            Some(value.parse::<u64>())
        };
        let list = match (parse_parameter("from"), parse_parameter("hold_ms")) {
            (None, _) => self.full_list(*self.applied_changes.borrow()),
            (Some(Ok(from)), None | Some(Ok(_))) => {
                let hold = parse_parameter("hold_ms").and_then(Result::ok).unwrap_or(0);
                self.watch_changes(from, Duration::from_millis(hold).min(MAX_HOLD)).await
            }
            _ => return respond(StatusCode::BAD_REQUEST, "from and hold_ms are whole numbers".to_owned()),
        };
        respond(StatusCode::OK, list.to_string())
    }

    fn active_fault(&self) -> Option<FaultAction> {
        let now = self.shared.clock.now();
        let affects_responses = |action: &FaultAction| {
            matches!(
                action,
                FaultAction::SilentDiscovery | FaultAction::RubbishDiscovery | FaultAction::BusyDiscovery(_)
            )
        };
        let timeline = self.shared.timeline();
        timeline
            .faults
            .iter()
            .filter(|fault| fault.is_active(now))
            .map(|fault| fault.action.clone())
            .find(affects_responses)
    }

    fn full_list(&self, applied_changes: usize) -> Value {
        let members = members_at(&self.shared.timeline(), applied_changes);
        self.record_notified(&members, self.shared.clock.now());
        let target = |member: &Member| target(&self.shared.world, member, &self.endpoints);
        let targets: Vec<Value> = members.iter().map(target).collect();
        json!({"rev": INITIAL_REV + applied_changes as u64, "all": true, "targets": targets})
    }

    async fn watch_changes(&self, from: u64, hold: Duration) -> Value {
        let Some(from) = from.checked_sub(INITIAL_REV).map(|from| from as usize) else {
            return self.full_list(*self.applied_changes.borrow());
        };
        let mut applied_changes = self.applied_changes.subscribe();
        if from > *applied_changes.borrow() {
            // The client asks from a revision that does not exist yet.
            return self.full_list(*self.applied_changes.borrow());
        }
        let newer_revision = applied_changes.wait_for(|applied_changes| *applied_changes > from);
        let applied_changes = match tokio::time::timeout(hold, newer_revision).await {
            Ok(Ok(applied_changes)) => *applied_changes,
            _ => from,
        };
        let members: Vec<Member> = self.shared.timeline().changes[from..applied_changes]
            .iter()
            .map(|change| change.member)
            .collect();
        self.record_notified(&members, self.shared.clock.now());
        let target = |member: &Member| target(&self.shared.world, member, &self.endpoints);
        let targets: Vec<Value> = members.iter().map(target).collect();
        json!({"rev": INITIAL_REV + applied_changes as u64, "all": false, "targets": targets})
    }

    /// Records when the node was notified of draining instances and which start times it has been sent.
    fn record_notified(&self, members: &[Member], now: Nanos) {
        let started = members.iter().filter_map(|member| Some((member.backend.0, member.online_since?)));
        lock(&self.shared.notified_starts[self.node]).extend(started);
        let mut drains = lock(&self.shared.notified_drains[self.node]);
        for member in members {
            if member.stage == Stage::InService {
                drains.remove(&member.backend.0);
            } else {
                drains.entry(member.backend.0).or_insert(now);
            }
        }
    }
}
