//! The clients on sockets: requests come when they are due, whatever became of those before, and each one's delay
//! counts from that moment, so that a fleet that stalls cannot hide it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::Nanos;
use bytes::Bytes;
use flaxdale_model::clients::{self, ClientRequest, RequestGenerator, TryOutcome};
use flaxdale_model::invariants::{FinalAnswer, wire_id};
use flaxdale_model::scenario::Idempotency;
use flaxdale_model::stats::RequestOutcome;
use flaxdale_model::world::{MS, SECOND, rng_stream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::shared::{RequestInfo, Shared, lock};

/// An answer that is later than this, or none, is lost: its node owed one.
pub const ANSWER_SLACK: Nanos = SECOND / 2;
/// Requests that may be on their way at a time: past it the load itself would run this machine out of memory.
const MOST_OUT: usize = 50_000;
/// Idle connections that are kept to one node.
const MOST_IDLE: usize = 256;
/// One that has stood idle for longer is not used again: its node may close it after 2 s.
const IDLE: Nanos = 1800 * MS;
const MAX_BODY: usize = 64 * 1024;
/// The longest that a connection to a node may take to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// What the server of an id knows is kept for so long after its client gave up.
const KNOWN_FOR: Nanos = 10 * SECOND;
/// A peer that asks nothing proper is owed an error or a close by then.
const RUDE_PATIENCE: Duration = Duration::from_millis(3500);

type Link = SendRequest<Full<Bytes>>;

/// Where a node is, as the front of its zone sees it.
#[derive(Debug, Default)]
pub struct Place {
    /// Its address; none before its first start.
    pub at: Mutex<Option<SocketAddr>>,
    /// Whether the front deals connections to it.
    pub open: AtomicBool,
    /// Times that it was killed or paused: what it had then is excused.
    pub harms: AtomicU64,
    /// Paused now: it owes nobody anything in time.
    pub paused: AtomicBool,
}

/// The clients.
pub struct Callers {
    shared: Arc<Shared>,
    /// The nodes, as the front sees them.
    pub places: Vec<Place>,
    clients: Mutex<RequestGenerator>,
    /// By node, with the time from which on each has been idle.
    idle: Vec<Mutex<Vec<(Link, Nanos)>>>,
    luck: Mutex<ChaCha12Rng>,
    next_id: AtomicU64,
    room: Arc<Semaphore>,
    /// Requests that were not made for want of room: the rig itself was the bound.
    pub turned_away: AtomicU64,
    /// Peers that asked nothing proper, and those of them that were left waiting.
    pub rude: [AtomicU64; 2],
}

enum Got {
    Answer(StatusCode, Nanos),
    /// The connection ended, or the answer is none that the protocol knows.
    Broken,
    /// No connection came about.
    Unreachable,
    /// Nothing came.
    Nothing,
}

impl Callers {
    /// Clients whose load begins with the timeline's start.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        let nodes = shared.world.nodes.len();
        Arc::new(Self {
            places: (0..nodes).map(|_| Place::default()).collect(),
            clients: Mutex::new(RequestGenerator::new(&shared.world, shared.timeline().start)),
            idle: (0..nodes).map(|_| Mutex::default()).collect(),
            luck: Mutex::new(rng_stream(shared.world.seed, 11)),
            next_id: AtomicU64::new(1),
            room: Arc::new(Semaphore::new(MOST_OUT)),
            turned_away: AtomicU64::new(0),
            rude: Default::default(),
            shared,
        })
    }

    /// The load begins then.
    pub fn begin(&self, start: Nanos) {
        *lock(&self.clients) = RequestGenerator::new(&self.shared.world, start);
    }

    /// Waits until all requests have ended; their time is bounded.
    pub async fn settle(&self) {
        let _ = self.room.acquire_many(MOST_OUT as u32).await;
    }

    /// Changes what is asked for.
    pub fn change(&self, change: impl FnOnce(&mut RequestGenerator)) {
        change(&mut lock(&self.clients));
    }

    /// Asks until `end`, then waits for what is still out.
    pub async fn run(self: Arc<Self>, end: Nanos) {
        let shared = self.shared.clone();
        loop {
            let ask = lock(&self.clients).next(&shared.world);
            if ask.due_at >= end {
                break;
            }
            if ask.due_at > shared.clock.now() {
                shared.clock.sleep_until(ask.due_at).await;
            }
            let late = shared.clock.now().saturating_sub(ask.due_at) / 1000;
            lock(&shared.lateness).saturating_record(late.max(1));
            match self.room.clone().try_acquire_owned() {
                Ok(slot) => {
                    let own = self.clone();
                    tokio::spawn(async move {
                        own.follow(ask).await;
                        drop(slot);
                    });
                }
                Err(_) => {
                    self.turned_away.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        self.settle().await;
    }

    /// One request, over all its tries.
    async fn follow(&self, ask: ClientRequest) {
        let shared = &self.shared;
        let mut tries = 0;
        let fate = loop {
            lock(&shared.stats).tries += 1;
            let seen = self.try_once(&ask).await;
            let now = shared.clock.now();
            let again = clients::next_retry(&shared.world, &ask, tries, seen, now, &mut *lock(&self.luck));
            match again {
                Some(at) => shared.clock.sleep_until(at).await,
                None => {
                    break match seen {
                        TryOutcome::Served => RequestOutcome::Served,
                        TryOutcome::Rejected(_) => RequestOutcome::Rejected,
                        TryOutcome::Failed => RequestOutcome::Failed,
                        TryOutcome::Unreachable => RequestOutcome::Unreachable,
                    };
                }
            }
            tries += 1;
        };
        let now = shared.clock.now();
        lock(&shared.stats).record(&shared.world, &ask, fate, now);
    }

    fn node_for(&self, zone: u32) -> Option<usize> {
        let nodes = self.shared.world.nodes.iter().enumerate();
        let open: Vec<usize> = nodes
            .filter(|(number, node)| node.zone == zone && self.places[*number].open.load(Ordering::Relaxed))
            .map(|(number, _)| number)
            .collect();
        (!open.is_empty()).then(|| open[lock(&self.luck).random_range(0..open.len())])
    }

    async fn try_once(&self, ask: &ClientRequest) -> TryOutcome {
        let shared = &self.shared;
        let Some(node) = self.node_for(ask.zone) else { return TryOutcome::Unreachable };
        let now = shared.clock.now();
        let not_after = now + clients::try_timeout(&shared.world, ask, now);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let class = &shared.world.classes[ask.class];
        let harms = || self.places[node].harms.load(Ordering::Relaxed);
        let before = harms();
        {
            let mut book = lock(&shared.tracker);
            book.invariants.request_sent(id, class.idempotency, class.dedup_window, not_after, now);
            let key = (class.idempotency == Idempotency::Keyed).then_some((ask.number, class.dedup_window));
            book.requests.insert(
                id,
                RequestInfo { node, work: ask.work, io_wait: ask.io_wait, not_after, dedup_key: key },
            );
        }
        let left = Duration::from_nanos((not_after + ANSWER_SLACK).saturating_sub(now));
        let got = timeout(left, self.ask_node(node, ask, id, not_after)).await.unwrap_or(Got::Nothing);
        let came = shared.clock.now();
        let excused = harms() != before || self.places[node].paused.load(Ordering::Relaxed);
        let mut book = lock(&shared.tracker);
        if excused || matches!(got, Got::Unreachable) {
            // Nobody took it, or whoever did was killed or paused by this rig.
            book.invariants.excuse(id);
        }
        let (answer, seen) = match got {
            Got::Answer(StatusCode::OK, _) => (Some(FinalAnswer::Served), TryOutcome::Served),
            Got::Answer(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, pause) => {
                (Some(FinalAnswer::Rejected), TryOutcome::Rejected(pause))
            }
            Got::Answer(..) => (Some(FinalAnswer::Failed), TryOutcome::Failed),
            Got::Unreachable => (None, TryOutcome::Unreachable),
            Got::Broken | Got::Nothing => (None, TryOutcome::Failed),
        };
        // The account is kept for a while: a paused node may read the request yet and send it on, and a link that was
        // cut may deliver then what was given up long ago.
        match answer {
            Some(answer) => book.invariants.request_answered(id, answer, came),
            None => book.invariants.request_expired(id, came),
        }
        // The client itself has gone by then.
        if seen == TryOutcome::Served && came > not_after { TryOutcome::Failed } else { seen }
    }

    async fn ask_node(&self, node: usize, ask: &ClientRequest, id: u64, not_after: Nanos) -> Got {
        let harms = self.places[node].harms.load(Ordering::Relaxed);
        for _ in 0..2 {
            let now = self.shared.clock.now();
            let kept = lock(&self.idle[node]).pop();
            let kept =
                kept.filter(|(link, since)| !link.is_closed() && now < since + IDLE).map(|kept| kept.0);
            let fresh = kept.is_none();
            let mut link = match kept {
                Some(link) => link,
                None => match self.connect(node).await {
                    Some(link) => link,
                    None => return Got::Unreachable,
                },
            };
            if link.ready().await.is_err() {
                if fresh {
                    return Got::Broken;
                }
                continue;
            }
            let Some(message) = self.message(ask, id, not_after) else { return Got::Broken };
            match link.try_send_request(message).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    if Limited::new(body, MAX_BODY).collect().await.is_err() {
                        return Got::Broken;
                    }
                    let pause = head.headers.get("retry-after").and_then(|value| value.to_str().ok());
                    let pause = pause.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
                    let mut idle = lock(&self.idle[node]);
                    if idle.len() < MOST_IDLE {
                        idle.push((link, self.shared.clock.now()));
                    }
                    return Got::Answer(head.status, (pause.clamp(0.0, 3600.0) * SECOND as f64) as Nanos);
                }
                // A close that crosses a request that the node has not read: once more, on a new connection. A
                // node that was killed meanwhile may have read it.
                Err(_) if !fresh && self.places[node].harms.load(Ordering::Relaxed) == harms => {}
                Err(_) => return Got::Broken,
            }
        }
        Got::Broken
    }

    async fn connect(&self, node: usize) -> Option<Link> {
        let at = (*lock(&self.places[node].at))?;
        let stream = timeout(CONNECT, TcpStream::connect(at)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (link, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // How it ends shows in its request.
            let _ = connection.await;
        });
        Some(link)
    }

    fn message(&self, ask: &ClientRequest, id: u64, not_after: Nanos) -> Option<Request<Full<Bytes>>> {
        let world = &self.shared.world;
        let class = &world.classes[ask.class];
        let left = not_after.saturating_sub(self.shared.clock.now()) / MS;
        let method = if class.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
        let mut request = Request::builder()
            .method(method)
            .uri("/api")
            .header("host", "origin.svc")
            .header("x-call-id", wire_id(id))
            .header("x-call-class", &class.name)
            .header("x-budget-ms", left);
        if let Some(tenant) = ask.tenant {
            request = request.header("x-caller", &world.tenants[tenant].name);
        }
        if class.idempotency == Idempotency::Keyed {
            // One key for all tries of a client's request.
            request = request.header("idempotency-key", format!("{:032x}", ask.number));
        }
        let body = if class.idempotency == Idempotency::Idempotent {
            Bytes::new()
        } else {
            Bytes::from_static(b"{}")
        };
        request.body(Full::new(body)).ok()
    }

    /// Forgets what no server can be asked about any more; never ends.
    pub async fn tidy(self: Arc<Self>) {
        loop {
            sleep(Duration::from_secs(2)).await;
            let then = self.shared.clock.now().saturating_sub(KNOWN_FOR);
            let mut book = lock(&self.shared.tracker);
            book.requests.retain(|_, known| known.not_after >= then);
            book.invariants.remove_idle_since(then);
        }
    }

    /// One peer that asks nothing proper, and whether it was told so or let go in time.
    pub async fn rude_peer(self: Arc<Self>) {
        let kind = lock(&self.luck).random_range(0..4u32);
        let number = lock(&self.luck).random_range(0..self.places.len());
        let Some(at) = *lock(&self.places[number].at) else { return };
        let harms = self.places[number].harms.load(Ordering::Relaxed);
        self.rude[0].fetch_add(1, Ordering::Relaxed);
        let said: &[u8] = match kind {
            0 => b"",
            1 => b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
            2 => b"POST /api HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: 10\r\n\r\n",
            _ => b"GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Class: none\r\n\r\n",
        };
        let talk = async {
            let Ok(mut stream) = TcpStream::connect(at).await else { return };
            let _ = stream.write_all(said).await;
            let mut answer = [0; 256];
            // An error, a close or a reset: each will do.
            let _ = stream.read(&mut answer).await;
        };
        let place = &self.places[number];
        let harmed = || place.harms.load(Ordering::Relaxed) != harms || place.paused.load(Ordering::Relaxed);
        if timeout(RUDE_PATIENCE, talk).await.is_err() && !harmed() {
            self.rude[1].fetch_add(1, Ordering::Relaxed);
        }
    }
}
