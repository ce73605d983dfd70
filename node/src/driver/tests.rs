//! Tests of the driver without sockets, and helpers that the tests of other modules share.

use std::future::Future;
use std::task::{Context, Poll, Waker};

use brookfield::Stage;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

use super::*;
use crate::memory::Budget;

/// Records the calls it gets.
#[derive(Default)]
pub struct RecordingTransport {
    pub attempts: RefCell<Vec<Attempt>>,
    pub close_idle: RefCell<Vec<BackendId>>,
}

impl Transport for RecordingTransport {
    fn start_attempt(&self, _: &Node, attempt: Attempt) {
        self.attempts.borrow_mut().push(attempt);
    }

    fn close_idle(&self, backend: BackendId) {
        self.close_idle.borrow_mut().push(backend);
    }
}

pub fn node(drain_grace: Nanos) -> (Node, Rc<RecordingTransport>) {
    node_with(drain_grace, "pushed")
}

fn node_with(drain_grace: Nanos, discovery: &str) -> (Node, Rc<RecordingTransport>) {
    let transport = Rc::new(RecordingTransport::default());
    (node_with_transport(drain_grace, discovery, transport.clone()), transport)
}

/// A node that makes its attempts over this transport.
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

/// Runs when an attempt is started, before the transport sees it.
type Hook = Box<dyn FnOnce()>;

/// Makes attempts over real connections, with a hook that runs before the next one.
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
        memory: RequestMemory::new(Budget::unlimited().account(), Vec::new()),
    };
    ClientRequest {
        class: 0,
        tenant: None,
        cost_hint: None,
        is_retry: false,
        budget,
        hidden_close: HiddenClose::default(),
        http,
    }
}

/// A connected pair of Unix sockets, the second wrapped as a TCP stream, on which setting `TCP_NODELAY`
/// fails.
pub fn stream_without_nodelay() -> (tokio::net::UnixStream, tokio::net::TcpStream) {
    let (peer, stream) = std::os::unix::net::UnixStream::pair().expect("socket pair");
    peer.set_nonblocking(true).and(stream.set_nonblocking(true)).expect("set non-blocking");
    let stream = std::net::TcpStream::from(std::os::fd::OwnedFd::from(stream));
    let peer = tokio::net::UnixStream::from_std(peer).expect("register with the runtime");
    let stream = tokio::net::TcpStream::from_std(stream).expect("register with the runtime");
    assert!(stream.set_nodelay(true).is_err(), "TCP_NODELAY was accepted");
    (peer, stream)
}

fn poll_response(pending: PendingRequest) -> Option<FinalResponse> {
    let mut response = std::pin::pin!(pending.response());
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
fn a_request_and_its_timer_are_removed_with_the_final_response() {
    let (node, transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let pending = node.submit(client_request(SECOND));
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    assert!(node.may_send(attempt.id));
    let result = UpstreamResult { body: Bytes::from_static(b"paid"), ..UpstreamResult::new(Outcome::Served) };
    node.attempt_ended(attempt.id, result);
    assert!(matches!(poll_response(pending), Some(FinalResponse::Served(body)) if body == "paid"));
    // A second result of the same attempt is ignored.
    node.attempt_ended(attempt.id, UpstreamResult::new(Outcome::Reset));
    assert_eq!(open_requests(&node), (0, 0));
    assert!(!node.driver.borrow().timers.all().any(|timer| matches!(timer, Timer::Watchdog(_))));
}

/// A connect can outlast its request, which must then not be written.
#[test]
fn nothing_is_written_for_a_request_that_has_ended() {
    let (node, transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let pending = node.submit(client_request(SECOND));
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    drop(pending);
    assert!(!node.may_send(attempt.id));
    assert_eq!(open_requests(&node), (1, 1), "the attempt has not ended yet");
    node.attempt_ended(attempt.id, UpstreamResult::new(Outcome::Moot));
    assert_eq!(open_requests(&node), (0, 0));
}

/// A connect can outlast the grace period of a draining backend, or the backend's removal.
#[test]
fn nothing_is_written_to_a_backend_past_its_drain_grace() {
    for (grace, stage, expected) in
        [(60 * SECOND, Stage::Draining, true), (0, Stage::Draining, false), (60 * SECOND, Stage::Gone, false)]
    {
        let (node, transport) = node(grace);
        node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
        let _pending = node.submit(client_request(SECOND));
        let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
        node.update_backends(ListScope::Changes, vec![backend_entry("s", stage)]);
        assert_eq!(node.may_send(attempt.id), expected, "{grace} {stage:?}");
        assert_eq!(
            *transport.close_idle.borrow(),
            [attempt.backend; 2][..transport.close_idle.borrow().len()]
        );
        assert!(!transport.close_idle.borrow().is_empty(), "its idle connections are closed");
    }
}

/// The attempt never ends, so only the driver's watchdog can end the request.
#[test]
fn a_request_that_the_balancer_leaves_open_fails_at_its_deadline() {
    let (node, transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let pending = node.submit(client_request(1_000_000));
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    let response = runtime.block_on(async {
        tokio::select! {
            response = pending.response() => response,
            () = node.run_timers() => unreachable!("timers run for ever"),
        }
    });
    assert!(matches!(response, FinalResponse::Failed));
    assert!(!node.may_send(attempt.id));
}

/// A restarted backend is cold again, and connections to its previous process are dead.
#[test]
fn a_restart_under_the_same_name_updates_the_start_time_and_closes_connections() {
    let (node, transport) = node(SECOND);
    let boot_ms = node.clock().now() / 1_000_000 - 5;
    let mut close_idle = Vec::new();
    let mut driver = node.driver.borrow_mut();
    let Driver { backends, names, clock, .. } = &mut *driver;
    let now = clock.now();
    let mut member = |entry| backends.member(entry, now, names, &mut close_idle).expect("a member");
    let first = member(backend_entry("s", Stage::InService));
    let restarted = BackendEntry { boot_ms, ..backend_entry("s", Stage::InService) };
    let second = member(restarted);
    assert_eq!(first.online_since, None);
    assert_eq!(second.backend, first.backend);
    assert_eq!(close_idle, [first.backend]);
    let age = clock.now() - second.online_since.expect("a start");
    assert!((4_000_000..60 * SECOND).contains(&age), "{age}");
    assert!(transport.attempts.borrow().is_empty());
}

/// The id and start time that the balancer gets for a backend listed with this boot time.
fn online_since(node: &Node, uid: &str, boot_ms: u64) -> (BackendId, Nanos) {
    let mut driver = node.driver.borrow_mut();
    let Driver { backends, names, clock, .. } = &mut *driver;
    let entry = BackendEntry { boot_ms, ..backend_entry(uid, Stage::InService) };
    let member = backends.apply_list(ListScope::Changes, vec![entry], clock.now(), names).members.remove(0);
    (member.backend, member.online_since.expect("a start"))
}

/// Guards against clock skew: a node whose clock is ahead would treat a new backend as warm, one whose clock
/// is behind would keep it cold for too long.
#[test]
fn the_start_time_of_a_new_backend_is_bounded_by_when_it_was_listed() {
    let (node, _transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let (now, hour_ms) = (node.clock().now(), 3_600_000);
    let (_, ahead) = online_since(&node, "new", now / 1_000_000 - hour_ms);
    assert!(ahead >= now - 7 * SECOND, "started {} s ago", (now - ahead) / SECOND);
    let (_, behind) = online_since(&node, "other", now / 1_000_000 + hour_ms);
    assert!(behind <= node.clock().now(), "started in the future");
    let (_, listed_again) = online_since(&node, "other", now / 1_000_000 + hour_ms);
    assert_eq!(listed_again, behind, "same process");
}

/// Backends on the first list may have started at any time.
#[test]
fn start_times_of_the_first_list_are_not_bounded() {
    let (node, _transport) = node(SECOND);
    let boot_ms = node.clock().now() / 1_000_000 - 15_000;
    let (_, since) = online_since(&node, "s", boot_ms);
    assert_eq!(since, boot_ms * 1_000_000);
}

/// With a new id a cold backend would get the slow-start budget of every node again.
#[test]
fn a_backend_that_is_listed_again_without_a_restart_keeps_its_id() {
    let (node, _transport) = node(SECOND);
    let boot_ms = node.clock().now() / 1_000_000 - 500;
    let cold = || BackendEntry { boot_ms, ..backend_entry("s", Stage::InService) };
    node.update_backends(ListScope::Full, vec![cold()]);
    let id = |node: &Node| online_since(node, "s", boot_ms).0;
    let before = id(&node);
    node.update_backends(ListScope::Changes, vec![BackendEntry { stage: Stage::Gone, ..cold() }]);
    assert_eq!(id(&node), before);
    node.update_backends(ListScope::Changes, vec![BackendEntry { stage: Stage::Gone, ..cold() }]);
    assert_ne!(online_since(&node, "s", boot_ms + 1).0, before, "restarted");
}

/// Guards against nodes that started together retrying a failed first call all at once.
#[test]
fn a_failed_call_is_not_retried_for_a_request_made_before_it() {
    let (node, _transport) = node_with(SECOND, "on_request");
    let requested = |node: &Node| {
        let mut request = std::pin::pin!(node.discovery_requested());
        request.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
    };
    node.discovery_failed();
    assert!(!requested(&node), "retried at once");
    // The balancer's next request, after its backoff, triggers a call.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        tokio::select! {
            () = node.discovery_requested() => {}
            () = node.run_timers() => unreachable!("timers run for ever"),
        }
    });
}
