//! Data types that the driver exchanges with the server, the transport and the discovery clients.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use brookfield::{BackendId, LoadReport, Nanos, Outcome, RequestId, Stage};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

use crate::memory::{Account, Permit};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The parts of a client's HTTP request that are forwarded to a backend.
pub struct HttpRequest {
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// End-to-end headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub memory: RequestMemory,
}

/// The memory that a request holds, until its last attempt has ended.
pub struct RequestMemory {
    /// The account of its client's connection, which its response counts against too.
    pub account: Account,
    /// For its fields, copies of them in attempts, and its body.
    _permits: Vec<Permit>,
}

impl RequestMemory {
    /// The memory of a request whose client's connection has this account.
    pub fn new(account: Account, permits: Vec<Permit>) -> Self {
        Self { account, _permits: permits }
    }
}

/// The response that the client of a request gets.
#[derive(Debug)]
pub enum FinalResponse {
    /// The body of a backend's successful response.
    Served(Bytes),
    /// Rejected; retrying is safe. Holds the `Retry-After` to send, 0 for none.
    Rejected(Nanos),
    /// Failed; the request may have run.
    Failed,
}

impl FinalResponse {
    /// Value of the log field `answer`.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Rejected(_) => "refused",
            Self::Failed => "failed",
        }
    }
}

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) backend: BackendId,
}

/// An attempt that the transport has to make.
pub struct Attempt {
    /// Reported back with the result.
    pub id: AttemptId,
    pub backend: BackendId,
    /// The backend's address at the time of the decision.
    pub endpoint: SocketAddr,
    pub http: Rc<HttpRequest>,
    /// When the attempt times out.
    pub deadline: Nanos,
    /// When the client stops waiting.
    pub client_deadline: Nanos,
    /// Latest time to write the request; the attempt must not be sent after it.
    pub send_by: Nanos,
    /// Resolves once the attempt has been cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct UpstreamResult {
    pub outcome: Outcome,
    /// The load report in the response's headers, if there was one.
    pub report: LoadReport,
    /// The response's body; empty if none was received in full.
    pub body: Bytes,
}

impl UpstreamResult {
    /// A result without a response.
    pub fn new(outcome: Outcome) -> Self {
        Self { outcome, report: LoadReport::default(), body: Bytes::new() }
    }
}

/// One backend as discovery or the registry lists it.
pub struct BackendEntry {
    /// Name of the backend, unique in the list.
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    /// Machine kind.
    pub kind: String,
    pub cell: u64,
    /// Whether it is in service, draining or gone.
    pub stage: Stage,
    /// Capacity relative to other backends.
    pub weight: f64,
    /// Unix time of its last start in milliseconds; 0 if unknown or long ago.
    pub boot_ms: u64,
}

/// Whether the close of a client's connection could go unnoticed, as it would wait behind input that is not read. Shared by
/// the connection, which finds out, and the request that it carries.
#[derive(Clone, Default)]
pub struct HiddenClose(Rc<Cell<bool>>);

impl HiddenClose {
    /// Whether a close could go unnoticed now.
    pub fn is_possible(&self) -> bool {
        self.0.get()
    }

    /// Records whether a close could go unnoticed.
    pub fn set_possible(&self, possible: bool) {
        self.0.set(possible);
    }
}

/// A request received from a client.
pub struct ClientRequest {
    /// Index of the request class.
    pub class: u32,
    /// Index of the tenant.
    pub tenant: Option<u32>,
    /// The client's estimate of the work, if it gave one.
    pub cost_hint: Option<Nanos>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// How long the client waits for the response.
    pub budget: Nanos,
    /// Whether its client could have gone unnoticed.
    pub hidden_close: HiddenClose,
    /// What is forwarded to the backend.
    pub http: HttpRequest,
}

/// State of the backend list that is watched at the fleet's registry.
#[derive(Clone, Copy, Debug)]
pub struct ListState {
    /// Revision of the list.
    pub rev: Option<u64>,
    /// When the list was last confirmed to be current; none if it never was.
    pub as_of: Option<Instant>,
    /// The replica in use.
    pub replica: SocketAddr,
    /// When the registry became unreachable; none while a replica responds.
    pub unreachable_since: Option<Instant>,
}
