//! Emulated app servers on sockets, by the protocol page: the model decides what becomes of each request, this file
//! carries it over HTTP. Each is a listener, its connections, and a task that wakes when something ends.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::Nanos;
use bytes::Bytes;
use flaxdale_model::dedup::DedupKey;
use flaxdale_model::invariants::Rule;
use flaxdale_model::server::{Admission, Job, JobOutcome, Server, ServerFault};
use flaxdale_model::world::{MS, rng_stream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;

use crate::listener::SwitchableListener;
use crate::shared::{RequestInfo, Shared, lock};

/// The protocol's bound of a body.
const MAX_BODY: usize = 64 * 1024;
/// A connection that stands idle for this long is closed, as the settings tell the nodes.
const IDLE: Duration = Duration::from_secs(15);

/// What a server's machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Machine {
    /// It serves.
    Up,
    /// It says nothing at all, to nobody.
    Silent,
    /// It refuses connections: no process listens.
    Down,
}

struct Inside {
    server: Server,
    waiting: HashMap<u64, oneshot::Sender<JobOutcome>>,
    luck: ChaCha12Rng,
}

/// One process of an app server.
pub struct AppServer {
    /// Its number among all processes.
    pub instance: u32,
    place: usize,
    address: SocketAddr,
    shared: Arc<Shared>,
    inside: Mutex<Inside>,
    machine: watch::Sender<Machine>,
    wake: Notify,
    next_job: AtomicU64,
    /// When its process started, if that was after the run began.
    started_at: Mutex<Option<Nanos>>,
    /// Whether it is to drain.
    draining: AtomicBool,
}

/// Whether a process is there from the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialState {
    /// Up and warm.
    Up,
    /// It starts later.
    Down,
}

impl AppServer {
    /// Opens a server's port and starts its tasks; they end with the runtime.
    pub fn spawn(shared: Arc<Shared>, instance: u32, first: InitialState) -> std::io::Result<Arc<Self>> {
        let place = shared.timeline().instances[instance as usize].server;
        let listener = if first == InitialState::Up {
            SwitchableListener::bind()?
        } else {
            SwitchableListener::bind_refusing()?
        };
        let mut server = Server::new(shared.world.servers[place].spec, shared.clock.now());
        if first == InitialState::Down {
            server.stop(shared.clock.now());
        }
        let luck = rng_stream(shared.world.seed, 50_000 + u64::from(instance));
        let machine = if first == InitialState::Up { Machine::Up } else { Machine::Down };
        let own = Arc::new(Self {
            instance,
            place,
            address: listener.address(),
            shared,
            inside: Mutex::new(Inside { server, waiting: HashMap::new(), luck }),
            machine: watch::Sender::new(machine),
            wake: Notify::new(),
            next_job: AtomicU64::new(0),
            started_at: Mutex::default(),
            draining: AtomicBool::new(false),
        });
        tokio::spawn(own.clone().take_connections(listener, machine));
        tokio::spawn(own.clone().keep_time());
        Ok(own)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its name on the list.
    pub fn uid(&self) -> String {
        uid(self.instance)
    }

    /// Its process dies: connections break, new ones are refused.
    pub fn kill(&self) {
        let held = lock(&self.inside).server.stop(self.shared.clock.now());
        self.lost(&held);
        lock(&self.inside).waiting.clear();
        self.machine.send_replace(Machine::Down);
    }

    /// A process starts, cold.
    pub fn start(&self) {
        let held = lock(&self.inside).server.start(self.shared.clock.now(), true);
        self.lost(&held);
        *lock(&self.started_at) = Some(self.shared.clock.now());
        self.machine.send_replace(Machine::Up);
    }

    /// What a process held is forgotten with it, and may run again elsewhere in its group.
    fn lost(&self, held: &[Job]) {
        let keys = &mut lock(&self.shared.tracker).dedup;
        held.iter().for_each(|job| keys.job_ended((self.instance, job.id), false));
    }

    /// Its machine says nothing more, or speaks again; what was open meets a reset then.
    pub fn silence(&self, silent: bool) {
        let change = |machine: &mut Machine| {
            let wanted = if silent { Machine::Silent } else { Machine::Up };
            let changed = *machine != Machine::Down && *machine != wanted;
            if changed {
                *machine = wanted;
            }
            changed
        };
        self.machine.send_if_modified(change);
    }

    /// It is told to drain; what it has to do about that is its own part towards the registry.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether it was told to drain.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether its process runs and its machine speaks.
    pub fn is_reachable(&self) -> bool {
        self.is_up() && *self.machine.borrow() == Machine::Up
    }

    /// When its process started, if that was after the run began.
    pub fn started_at(&self) -> Option<Nanos> {
        *lock(&self.started_at)
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        lock(&self.inside).server.is_up()
    }

    /// Whether crowding has turned it slow.
    pub fn is_congested(&self) -> bool {
        lock(&self.inside).server.is_congested()
    }

    /// Begins or ends a fault.
    pub fn set_fault(&self, ailment: ServerFault) {
        lock(&self.inside).server.set_fault(self.shared.clock.now(), ailment);
        self.wake.notify_one();
    }

    async fn take_connections(self: Arc<Self>, mut listener: SwitchableListener, mut machine: Machine) {
        let mut wanted = self.machine.subscribe();
        let mut open = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                changed = wanted.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let next = *wanted.borrow_and_update();
                    let done = match next {
                        Machine::Up => listener.reopen(),
                        Machine::Down => listener.refuse(),
                        Machine::Silent => listener.silence().await,
                    };
                    // A port lost to another program on this machine is no fault of the node's.
                    if let Err(error) = done {
                        let (server, cause) = (self.uid(), error.to_string());
                        self.shared.record_event("rig-trouble", json!({"server": server, "cause": cause}));
                    }
                    // What a vanished machine had open stays open and silent until it is back.
                    if next == Machine::Down || machine == Machine::Silent {
                        open.abort_all();
                    }
                    machine = next;
                }
                accepted = listener.accept() => {
                    let Ok(stream) = accepted else { continue };
                    if lock(&self.inside).server.connect(self.shared.clock.now()) {
                        open.spawn(self.clone().converse(stream));
                    }
                }
                Some(_) = open.join_next(), if !open.is_empty() => {}
            }
        }
    }

    async fn converse(self: Arc<Self>, stream: TcpStream) {
        // Counts the connection out, however its task ends.
        struct Counted(Arc<AppServer>, u64);
        impl Drop for Counted {
            fn drop(&mut self) {
                let server = &mut lock(&self.0.inside).server;
                if server.epoch() == self.1 {
                    server.disconnect(self.0.shared.clock.now());
                }
            }
        }
        let epoch = lock(&self.inside).server.epoch();
        let _counted = Counted(self.clone(), epoch);
        let _ = stream.set_nodelay(true);
        let fresh = AtomicBool::new(true);
        let service = service_fn(|request| self.answer(request, fresh.swap(false, Ordering::Relaxed)));
        // A connection that breaks is the node's doing, and shows in what becomes of its request.
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        fresh: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let plain = |status: StatusCode, text: &str| {
            let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
            *response.status_mut() = status;
            Ok(response)
        };
        let Some(id) = head.headers.get("x-call-id") else {
            return plain(StatusCode::NOT_FOUND, "no id");
        };
        let id = id.to_str().ok().and_then(|text| u64::from_str_radix(text, 16).ok());
        let Some((id, known)) = id.and_then(|id| Some((id, *lock(&self.shared.tracker).requests.get(&id)?)))
        else {
            lock(&self.shared.tracker).invariants.record_check(Rule::KnownOnly);
            let what = format!("{} got an id that nobody sent", self.uid());
            self.shared.record_violation(
                Rule::KnownOnly,
                format!("{:?}", head.headers.get("x-call-id")),
                what,
            );
            return plain(StatusCode::BAD_REQUEST, "unknown id");
        };
        if Limited::new(body, MAX_BODY).collect().await.is_err() {
            return plain(StatusCode::BAD_REQUEST, "the body did not arrive");
        }
        let (response, way) = self.serve(id, known, fresh).await;
        self.travel(way).await;
        Ok(response)
    }

    /// A message's way between two zones. Shorter ones than the runtime's clock can tell take no time.
    async fn travel(&self, way: Nanos) {
        if way >= MS {
            tokio::time::sleep(Duration::from_nanos(way)).await;
        }
    }

    async fn serve(&self, id: u64, known: RequestInfo, fresh: bool) -> (Response<Full<Bytes>>, Nanos) {
        let shared = &self.shared;
        let spec = shared.world.servers[self.place].spec;
        let way = shared.world.one_way_delay(shared.world.nodes[known.node].zone, spec.zone);
        let now = shared.clock.now();
        let drains = lock(&shared.notified_drains[known.node]).get(&self.instance).copied();
        let booked =
            lock(&shared.tracker).invariants.attempt_arrived(id, self.instance, spec.cell, drains, now);
        let job = self.next_job.fetch_add(1, Ordering::Relaxed);
        let mut out = Out { of: self, id, booked, job, ran: true };
        self.travel(if fresh { 4 * way } else { way }).await;
        let (end, answer) = oneshot::channel();
        let (offer, repeat) = {
            let now = shared.clock.now();
            let mut inside = lock(&self.inside);
            let (fell, cold) = (inside.server.has_crashed(), inside.server.capacity_share(now) < 1.0);
            let luck = inside.luck.random();
            let RequestInfo { work, io_wait: wait, not_after, dedup_key: key, .. } = known;
            let key = key.map(|(key, window)| (DedupKey { cell: spec.cell, key }, window));
            // The rig does not know when the fleet's own registry told a node: it counts as told.
            let told_start = match shared.world.replicas {
                0 => lock(&shared.notified_starts[known.node]).get(&self.instance).copied(),
                _ => inside.server.started_at(),
            };
            let mut book = lock(&shared.tracker);
            let repeat = inside.server.would_respond(luck)
                && key.is_some_and(|(key, _)| book.dedup.is_duplicate(key, now));
            let offer = if repeat {
                Admission::Accepted
            } else {
                let job = Job {
                    id: job,
                    sender: 0,
                    work,
                    io_wait: wait,
                    not_after,
                    failure_draw: luck,
                    known_start: told_start,
                };
                inside.server.submit(now, job, fresh)
            };
            match key {
                _ if offer != Admission::Accepted => {}
                // Its group has it already: it is answered, and not run again.
                _ if repeat => drop(end.send(JobOutcome::Served)),
                Some((key, window)) => {
                    book.dedup.insert(key, (self.instance, job), window, now);
                    inside.waiting.insert(job, end);
                }
                None => drop(inside.waiting.insert(job, end)),
            }
            drop(book);
            let pushed_over = inside.server.has_crashed() && !fell;
            let told = inside.server.overloaded_by_informed_senders();
            drop(inside);
            if cold {
                lock(&shared.tracker).invariants.record_check(Rule::ColdSpared);
            }
            if pushed_over {
                lock(&shared.tracker).invariants.server_crashed(&self.uid(), told, shared.clock.now());
                self.machine.send_replace(Machine::Down);
            }
            (offer, repeat)
        };
        if repeat {
            lock(&shared.stats).duplicates_dropped += 1;
        }
        self.wake.notify_one();
        let end = match offer {
            Admission::Accepted => answer.await.ok(),
            Admission::Full => Some(JobOutcome::Dropped),
            Admission::Failed => Some(JobOutcome::Error),
            Admission::Down => None,
        };
        // Its process has ended, or its machine vanished: nobody answers, and the connection ends or stays silent.
        if end.is_none() || *self.machine.borrow() == Machine::Silent {
            std::future::pending::<()>().await;
        }
        let (status, text) = match end {
            Some(JobOutcome::Served) => (StatusCode::OK, format!("done by {}\n", self.uid())),
            Some(JobOutcome::Dropped) => (StatusCode::SERVICE_UNAVAILABLE, "full\n".to_owned()),
            _ => (StatusCode::INTERNAL_SERVER_ERROR, "failed\n".to_owned()),
        };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            out.ran = false;
            response.headers_mut().insert("x-rejected", hyper::header::HeaderValue::from_static("1"));
        }
        if let Some(util) = self.report()
            && let Ok(value) = hyper::header::HeaderValue::from_str(&json!({"util": util}).to_string())
        {
            response.headers_mut().insert("x-load-report", value);
        }
        (response, way)
    }

    fn report(&self) -> Option<f64> {
        use rand_distr::Distribution;
        let mut inside = lock(&self.inside);
        inside.server.spec().reporting?;
        let noise = rand_distr::StandardNormal.sample(&mut inside.luck);
        inside.server.report(self.shared.clock.now(), noise)
    }

    /// Tells those who wait as their requests end; never ends.
    async fn keep_time(self: Arc<Self>) {
        let mut ended = Vec::new();
        loop {
            let next = lock(&self.inside).server.next_event();
            tokio::select! {
                () = self.wake.notified() => {}
                () = self.shared.clock.sleep_until(next.unwrap_or(Nanos::MAX / 2)) => {}
            }
            let mut inside = lock(&self.inside);
            inside.server.advance(self.shared.clock.now(), &mut ended);
            let mut book = lock(&self.shared.tracker);
            for (job, end) in ended.drain(..) {
                book.dedup.job_ended((self.instance, job.id), end == JobOutcome::Served);
                if let Some(waiting) = inside.waiting.remove(&job.id) {
                    // Whoever waited may have gone in this very moment.
                    let _ = waiting.send(end);
                }
            }
        }
    }
}

/// The name of a process on the list.
pub fn uid(instance: u32) -> String {
    format!("s{instance}")
}

/// An attempt that is out; it ends with its answer, or with its connection.
struct Out<'a> {
    of: &'a AppServer,
    id: u64,
    booked: Option<usize>,
    job: u64,
    ran: bool,
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        let now = self.of.shared.clock.now();
        let dropped = {
            let mut inside = lock(&self.of.inside);
            // Still waited for: the connection ended first.
            let dropped = inside.waiting.remove(&self.job).is_some() && inside.server.cancel(now, self.job);
            if dropped {
                lock(&self.of.shared.tracker).dedup.job_ended((self.of.instance, self.job), false);
            }
            dropped
        };
        if let Some(booked) = self.booked {
            lock(&self.of.shared.tracker).invariants.attempt_ended(
                self.id,
                booked,
                self.ran && !dropped,
                now,
            );
        }
    }
}
