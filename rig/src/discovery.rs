//! The list service's agents, one beside each node, by the protocol page: the whole list, or a watch that waits for
//! what is newer. What is told and when comes from the world's timeline.

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

use crate::listener::Door;
use crate::servers::uid;
use crate::shared::{Shared, lock};

/// The protocol's bound of a wait.
const MOST_HOLD: Duration = Duration::from_secs(60);
/// A service that has moved closes what stands open at its old address after this time.
const OLD_CLOSES: Duration = Duration::from_millis(1500);
/// The version of the list when a run begins.
const FIRST_REV: u64 = 1;

/// Where each process is found, as one node is told; a link may stand between.
pub type Endpoints = Vec<SocketAddr>;

/// One node's agent.
pub struct Agent {
    node: usize,
    shared: Arc<Shared>,
    endpoints: Endpoints,
    /// Where it listens now; a move changes it.
    at: watch::Sender<SocketAddr>,
    first_at: SocketAddr,
    /// How many of the timeline's changes have been told to it.
    known: watch::Sender<usize>,
    luck: Mutex<ChaCha12Rng>,
}

fn state_of(stage: Stage) -> &'static str {
    match stage {
        Stage::InService => "Ready",
        Stage::Draining => "Terminating",
        Stage::Gone => "Gone",
    }
}

fn target(world: &World, member: &Member, endpoints: &Endpoints) -> Value {
    let place = member.backend.0 as usize;
    json!({"uid": uid(member.backend.0), "endpoint": endpoints[place].to_string(),
        "az": world.zones[member.zone.0 as usize], "model": world.kinds[member.kind as usize],
        "pod_group": member.cell, "state": state_of(member.stage), "capacity_hint": member.weight,
        "boot_ms": member.online_since.unwrap_or(0) / 1_000_000})
}

/// The list with so many of the changes in it; those that have gone are not on it.
fn whole(timeline: &Timeline, known: usize) -> Vec<Member> {
    let mut members = timeline.initial_members.clone();
    for ListChange { member, .. } in &timeline.changes[..known] {
        match members.iter_mut().find(|other| other.backend == member.backend) {
            Some(other) => *other = *member,
            None => members.push(*member),
        }
    }
    members.retain(|member| member.stage != Stage::Gone);
    members
}

impl Agent {
    /// Opens a node's agent and starts its tasks; they end with the runtime.
    pub fn open(shared: Arc<Shared>, node: usize, endpoints: Endpoints) -> std::io::Result<Arc<Self>> {
        let door = Door::open()?;
        let luck = Mutex::new(rng_stream(shared.world.seed, 40_000 + node as u64));
        let (first_at, known) = (door.at(), watch::Sender::new(0));
        let at = watch::Sender::new(first_at);
        let own = Arc::new(Self { node, shared, endpoints, at, first_at, known, luck });
        tokio::spawn(own.clone().take_connections(door));
        tokio::spawn(own.clone().hear());
        Ok(own)
    }

    /// Where it listens.
    pub fn at(&self) -> SocketAddr {
        *self.at.borrow()
    }

    /// Whether it has gone to another address since it was opened.
    pub fn has_moved(&self) -> bool {
        self.at() != self.first_at
    }

    /// The list as it stands for a node that starts now.
    pub fn list(&self) -> Value {
        let known = *self.known.borrow();
        self.answer_whole(known)
    }

    /// Goes to another address. The old one takes no new connections, and closes its open ones a little later.
    pub fn relocate(self: &Arc<Self>) -> std::io::Result<()> {
        let door = Door::open()?;
        self.at.send_replace(door.at());
        tokio::spawn(self.clone().take_connections(door));
        Ok(())
    }

    /// Takes the timeline's changes as they come to be known, later while the service is late; never ends.
    async fn hear(self: Arc<Self>) {
        let shared = self.shared.clone();
        let spread = lock(&self.luck).random_range(0..250_000_000u64);
        if shared.load_started.subscribe().wait_for(|begun| *begun).await.is_err() {
            return;
        }
        let timeline = shared.timeline();
        loop {
            let known = *self.known.borrow();
            let Some(change) = timeline.changes.get(known) else { return };
            let (_, late) = timeline.discovery_state(change.at);
            shared.clock.sleep_until(change.at + late + spread).await;
            self.known.send_replace(known + 1);
        }
    }

    async fn take_connections(self: Arc<Self>, door: Door) {
        let own = door.at();
        let mut moved = self.at.subscribe();
        let mut open = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                gone = async { moved.wait_for(|at| *at != own).await.is_ok() } => {
                    if gone {
                        drop(door);
                        tokio::time::sleep(OLD_CLOSES).await;
                    }
                    return;
                }
                accepted = door.accept() => {
                    let Ok(stream) = accepted else { continue };
                    open.spawn(self.clone().converse(stream));
                }
                Some(_) = open.join_next(), if !open.is_empty() => {}
            }
        }
    }

    async fn converse(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.answer(request));
        // A node that hangs up calls again; nothing is lost with a connection.
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let plain = |status: StatusCode, text: String| {
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            Ok(response)
        };
        if request.uri().path() != INSTANCES_PATH {
            return plain(StatusCode::NOT_FOUND, "no such path".to_owned());
        }
        let trouble = self.trouble();
        match trouble {
            Some(FaultAction::SilentDiscovery) => std::future::pending().await,
            Some(FaultAction::RubbishDiscovery) => {
                return plain(StatusCode::OK, "{\"rev\":\"soon\"".to_owned());
            }
            Some(FaultAction::BusyDiscovery(share)) if lock(&self.luck).random::<f64>() < share => {
                return plain(StatusCode::SERVICE_UNAVAILABLE, "too many calls".to_owned());
            }
            _ => {}
        }
        let query = request.uri().query().unwrap_or_default();
        let number = |name: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
            Some(value.parse::<u64>())
        };
        let list = match (number("from"), number("hold_ms")) {
            (None, _) => self.answer_whole(*self.known.borrow()),
            (Some(Ok(from)), None | Some(Ok(_))) => {
                let hold = number("hold_ms").and_then(Result::ok).unwrap_or(0);
                self.changes_since(from, Duration::from_millis(hold).min(MOST_HOLD)).await
            }
            _ => return plain(StatusCode::BAD_REQUEST, "from and hold_ms are whole numbers".to_owned()),
        };
        plain(StatusCode::OK, list.to_string())
    }

    fn trouble(&self) -> Option<FaultAction> {
        let now = self.shared.clock.now();
        let is = |act: &FaultAction| {
            matches!(
                act,
                FaultAction::SilentDiscovery | FaultAction::RubbishDiscovery | FaultAction::BusyDiscovery(_)
            )
        };
        let timeline = self.shared.timeline();
        timeline.faults.iter().filter(|step| step.is_active(now)).map(|step| step.action.clone()).find(is)
    }

    fn answer_whole(&self, known: usize) -> Value {
        let members = whole(&self.shared.timeline(), known);
        self.told(&members, self.shared.clock.now());
        let target = |member: &Member| target(&self.shared.world, member, &self.endpoints);
        let targets: Vec<Value> = members.iter().map(target).collect();
        json!({"rev": FIRST_REV + known as u64, "all": true, "targets": targets})
    }

    async fn changes_since(&self, from: u64, hold: Duration) -> Value {
        let Some(from) = from.checked_sub(FIRST_REV).map(|from| from as usize) else {
            return self.answer_whole(*self.known.borrow());
        };
        let mut known = self.known.subscribe();
        if from > *known.borrow() {
            // A version that was never told.
            return self.answer_whole(*self.known.borrow());
        }
        let newer = known.wait_for(|known| *known > from);
        let known = match tokio::time::timeout(hold, newer).await {
            Ok(Ok(known)) => *known,
            _ => from,
        };
        let members: Vec<Member> =
            self.shared.timeline().changes[from..known].iter().map(|change| change.member).collect();
        self.told(&members, self.shared.clock.now());
        let target = |member: &Member| target(&self.shared.world, member, &self.endpoints);
        let targets: Vec<Value> = members.iter().map(target).collect();
        json!({"rev": FIRST_REV + known as u64, "all": false, "targets": targets})
    }

    /// Remembers from when on this node may send nothing new to whom, and whose start it knows.
    fn told(&self, members: &[Member], now: Nanos) {
        let starts = members.iter().filter_map(|member| Some((member.backend.0, member.online_since?)));
        lock(&self.shared.notified_starts[self.node]).extend(starts);
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
