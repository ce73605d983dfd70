//! The driver without sockets, and the pieces that other parts' tests take from it.

use std::future::Future;
use std::task::{Context, Poll, Waker};

use brookfield::Stage;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

use super::*;

/// Keeps what it is asked to do.
#[derive(Default)]
pub struct RecordingTransport {
    pub attempts: RefCell<Vec<Attempt>>,
    pub retired: RefCell<Vec<BackendId>>,
}

impl Transport for RecordingTransport {
    fn start_attempt(&self, _: &Node, attempt: Attempt) {
        self.attempts.borrow_mut().push(attempt);
    }

    fn close_idle(&self, backend: BackendId) {
        self.retired.borrow_mut().push(backend);
    }
}

pub fn node(drain_grace: Nanos) -> (Node, Rc<RecordingTransport>) {
    node_with(drain_grace, "pushed")
}

fn node_with(drain_grace: Nanos, discovery: &str) -> (Node, Rc<RecordingTransport>) {
    let transport = Rc::new(RecordingTransport::default());
    (node_with_transport(drain_grace, discovery, transport.clone()), transport)
}

/// A node whose attempts go wherever this takes them.
pub fn node_with_transport(drain_grace: Nanos, discovery: &str, transport: Rc<dyn Transport>) -> Node {
    let config = serde_json::json!({"az": "a", "zones": ["a"], "discovery": discovery,
        "classes": [{"name": "pay", "effect": "once", "on-time-ns": 2_000_000_000u64,
            "deadline-ns": 4_000_000_000u64}],
        "policy-limits": {"attempts-cap": 3}, "goal": {},
        "rules": {"answer-slack-ns": 20_000_000, "drain-grace-ns": drain_grace, "fall-ns": 1_500_000_000u64,
            "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000_000_000u64}});
    let parsed = brookfield_settings::parse(&config).expect("settings");
    Node::new(parsed.settings, parsed.names, 7, Clock::start(), transport).expect("a node")
}

/// Something that happens in the very moment in which an attempt is launched, before anything else can.
type Hook = Box<dyn FnOnce()>;

/// Attempts over real connections, with a crossing.
pub struct HookedUpstream {
    pub upstream: crate::upstream::Upstream,
    pub before_attempt: RefCell<Option<Hook>>,
}

impl Transport for HookedUpstream {
    fn start_attempt(&self, node: &Node, attempt: Attempt) {
        if let Some(hook) = self.before_attempt.take() {
            hook();
        }
        self.upstream.start_attempt(node, attempt);
    }

    fn close_idle(&self, backend: BackendId) {
        self.upstream.close_idle(backend);
    }
}

pub fn backend_entry(uid: &str, stage: Stage) -> BackendEntry {
    BackendEntry {
        uid: uid.to_owned(),
        endpoint: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".to_owned(),
        kind: "k".to_owned(),
        cell: 0,
        stage,
        weight: 1.0,
        boot_ms: 0,
    }
}

pub fn client_request(budget: Nanos) -> ClientRequest {
    let http = HttpRequest {
        method: Method::POST,
        target: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    ClientRequest { class: 0, tenant: None, cost_hint: None, is_retry: false, budget, http }
}

/// A connected pair of sockets, of which the second takes none of TCP's options.
pub fn stream_without_nodelay() -> (tokio::net::UnixStream, tokio::net::TcpStream) {
    let (peer, stream) = std::os::unix::net::UnixStream::pair().expect("a pair");
    peer.set_nonblocking(true).and(stream.set_nonblocking(true)).expect("not blocking");
    let stream = std::net::TcpStream::from(std::os::fd::OwnedFd::from(stream));
    let peer = tokio::net::UnixStream::from_std(peer).expect("in the runtime");
    let stream = tokio::net::TcpStream::from_std(stream).expect("in the runtime");
    assert!(stream.set_nodelay(true).is_err(), "takes the option");
    (peer, stream)
}

fn response(waiting: PendingRequest) -> Option<FinalResponse> {
    let mut response = std::pin::pin!(waiting.response());
    match response.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(response) => Some(response),
        Poll::Pending => None,
    }
}

fn open_requests(node: &Node) -> (usize, usize) {
    let driver = node.driver.borrow();
    (driver.requests.len(), driver.balancer.open_requests())
}

pub const SECOND: Nanos = 1_000_000_000;

#[test]
fn a_request_and_its_timer_are_forgotten_with_its_answer() {
    let (node, transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let waiting = node.submit(client_request(SECOND));
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    assert!(node.may_send(attempt.id));
    let result = UpstreamResult { body: Bytes::from_static(b"paid"), ..UpstreamResult::new(Outcome::Served) };
    node.attempt_ended(attempt.id, result);
    assert!(matches!(response(waiting), Some(FinalResponse::Served(body)) if body == "paid"));
    // A second end of the same attempt changes nothing.
    node.attempt_ended(attempt.id, UpstreamResult::new(Outcome::Reset));
    assert_eq!(open_requests(&node), (0, 0));
    assert!(!node.driver.borrow().timers.all().any(|due| matches!(due, Due::Backstop(_))));
}

/// A connect can outlast its request: what is written after the answer would be a send too many.
#[test]
fn nothing_is_written_for_a_request_that_has_ended() {
    let (node, transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let waiting = node.submit(client_request(SECOND));
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    drop(waiting);
    assert!(!node.may_send(attempt.id));
    assert_eq!(open_requests(&node), (1, 1), "the attempt is still owed its end");
    node.attempt_ended(attempt.id, UpstreamResult::new(Outcome::Moot));
    assert_eq!(open_requests(&node), (0, 0));
}

/// A connect can outlast the grace of a backend that drains, and the backend's stay on the list.
#[test]
fn nothing_is_written_to_a_backend_past_its_grace() {
    for (grace, stage, may) in
        [(60 * SECOND, Stage::Draining, true), (0, Stage::Draining, false), (60 * SECOND, Stage::Gone, false)]
    {
        let (node, transport) = node(grace);
        node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
        let _waiting = node.submit(client_request(SECOND));
        let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
        node.update_backends(ListScope::Changes, vec![backend_entry("s", stage)]);
        assert_eq!(node.may_send(attempt.id), may, "{grace} {stage:?}");
        assert_eq!(*transport.retired.borrow(), [attempt.backend; 2][..transport.retired.borrow().len()]);
        assert!(!transport.retired.borrow().is_empty(), "its idle connections are dropped");
    }
}

/// The attempt never ends, so the module has nothing to go by: the driver answers at the client's end.
#[test]
fn a_request_that_the_module_leaves_open_fails_at_its_end() {
    let (node, transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let waiting = node.submit(client_request(1_000_000));
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    let response = runtime.block_on(async {
        tokio::select! {
            response = waiting.response() => response,
            () = node.run_timers() => unreachable!("timers run for ever"),
        }
    });
    assert!(matches!(response, FinalResponse::Failed));
    assert!(!node.may_send(attempt.id));
}

/// A restarted backend is cold again, by the node's own clock, and what stood open to its last life is dead.
#[test]
fn a_restart_under_the_same_name_is_told_and_drops_connections() {
    let (node, transport) = node(SECOND);
    let boot_ms = node.clock().now() / 1_000_000 - 5;
    let mut retired = Vec::new();
    let mut driver = node.driver.borrow_mut();
    let Driver { backends, words, clock, .. } = &mut *driver;
    let now = clock.now();
    let mut member = |listed| backends.member(listed, now, words, &mut retired).expect("a member");
    let first = member(backend_entry("s", Stage::InService));
    let again = BackendEntry { boot_ms, ..backend_entry("s", Stage::InService) };
    let second = member(again);
    assert_eq!(first.online_since, None);
    assert_eq!(second.backend, first.backend);
    assert_eq!(retired, [first.backend]);
    let age = clock.now() - second.online_since.expect("a start");
    assert!((4_000_000..60 * SECOND).contains(&age), "{age}");
    assert!(transport.attempts.borrow().is_empty());
}

/// What the module is told of a backend that is listed as started so long before now, or after it.
fn online_since(node: &Node, uid: &str, boot_ms: u64) -> (BackendId, Nanos) {
    let mut driver = node.driver.borrow_mut();
    let Driver { backends, words, clock, .. } = &mut *driver;
    let again = BackendEntry { boot_ms, ..backend_entry(uid, Stage::InService) };
    let member = backends.take(ListScope::Changes, vec![again], clock.now(), words).members.remove(0);
    (member.backend, member.online_since.expect("a start"))
}

/// A node whose clock was an hour ahead at its start took a server that had just come for warm, and one
/// whose clock was behind took it for cold for an hour.
#[test]
fn a_new_life_is_dated_by_what_was_seen_here() {
    let (node, _transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let (now, hour_ms) = (node.clock().now(), 3_600_000);
    let (_, ahead) = online_since(&node, "new", now / 1_000_000 - hour_ms);
    assert!(ahead >= now - 7 * SECOND, "{} s old", (now - ahead) / SECOND);
    let (_, behind) = online_since(&node, "other", now / 1_000_000 + hour_ms);
    assert!(behind <= node.clock().now(), "not yet started");
    let (_, told_again) = online_since(&node, "other", now / 1_000_000 + hour_ms);
    assert_eq!(told_again, behind, "the same life");
}

/// A first list tells of servers that started at any time.
#[test]
fn a_first_list_is_taken_at_its_word() {
    let (node, _transport) = node(SECOND);
    let boot_ms = node.clock().now() / 1_000_000 - 15_000;
    let (_, since) = online_since(&node, "s", boot_ms);
    assert_eq!(since, boot_ms * 1_000_000);
}

/// Told as gone and as ready again, a cold server got every node's budget anew.
#[test]
fn a_backend_that_comes_back_in_the_same_life_is_the_same_one() {
    let (node, _transport) = node(SECOND);
    let boot_ms = node.clock().now() / 1_000_000 - 500;
    let cold = || BackendEntry { boot_ms, ..backend_entry("s", Stage::InService) };
    node.update_backends(ListScope::Full, vec![cold()]);
    let id = |node: &Node| online_since(node, "s", boot_ms).0;
    let before = id(&node);
    node.update_backends(ListScope::Changes, vec![BackendEntry { stage: Stage::Gone, ..cold() }]);
    assert_eq!(id(&node), before);
    node.update_backends(ListScope::Changes, vec![BackendEntry { stage: Stage::Gone, ..cold() }]);
    assert_ne!(online_since(&node, "s", boot_ms + 1).0, before, "another life");
}

/// Restarted nodes whose first call was turned away all called again in the same millisecond.
#[test]
fn a_failed_call_is_not_made_again_on_a_wish_from_before() {
    let (node, _transport) = node_with(SECOND, "on_request");
    let wanted = |node: &Node| {
        let mut wanted = std::pin::pin!(node.discovery_wanted());
        wanted.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
    };
    node.discovery_failed();
    assert!(!wanted(&node), "called again at once");
    // The module's next wish, after its wait, is heeded.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        tokio::select! {
            () = node.discovery_wanted() => {}
            () = node.run_timers() => unreachable!("timers run for ever"),
        }
    });
}
