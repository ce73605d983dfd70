//! Follows the backend list of the fleet's registry with long polls. [`WatchClient`] decides which replica
//! to call, what to request and how to apply the response; this file has the sockets and the clock.

use std::net::SocketAddr;
use std::time::Duration;

use brookfield::ListScope;
use flaxdale_fleet::call::{Call, CallError, HttpClient};
use flaxdale_fleet::watch::{ListHeader, ListUpdate, WatchClient, WatchPolicy, WatchRequest};
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::discovery::{BackendList, MAX_LIST_BYTES, changed};
use crate::driver::{ListState, Node};

/// How often an ongoing outage of the registry is logged.
const OUTAGE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a call returned no list.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("HTTP status {status}: {body}")]
    Status { status: StatusCode, body: String, retry_after: Option<Duration> },
    #[error("invalid backend list: {0}")]
    InvalidList(#[from] serde_json::Error),
}

/// Follows the backend list of the registry.
pub struct Watcher {
    node: Node,
    /// Addresses of the replicas, which change when the fleet file is reloaded.
    addresses: watch::Receiver<Vec<SocketAddr>>,
    clients: Vec<HttpClient>,
    watch_client: WatchClient,
    rng: Xoshiro256PlusPlus,
    started_at: Instant,
    /// While no replica responds: since when, and when this was last logged.
    outage: Option<(Duration, Duration)>,
}

impl Watcher {
    /// Creates a watcher that starts with the list `known`, which may be out of date.
    pub fn new(
        node: Node,
        addresses: watch::Receiver<Vec<SocketAddr>>,
        seed: u64,
        known: Option<BackendList>,
    ) -> Self {
        if let Some(list) = known {
            node.update_backends(ListScope::Cached, list.into_entries());
        }
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let clients: Vec<HttpClient> =
            addresses.borrow().iter().map(|address| HttpClient::new(*address)).collect();
        let watch_client = WatchClient::new(WatchPolicy::default(), clients.len(), rng.random());
        Self { node, addresses, clients, watch_client, rng, started_at: Instant::now(), outage: None }
    }

    /// Follows the list; never returns.
    pub async fn run(mut self) {
        let mut address_changes = self.addresses.clone();
        self.publish_state();
        loop {
            if self.node.take_fetch_request() {
                self.watch_client.request_full_list();
            }
            let (due_at, request) = self.watch_client.next_request(self.started_at.elapsed());
            let fetch = async {
                sleep_until(self.started_at + due_at).await;
                let sent_at = self.started_at.elapsed();
                (sent_at, fetch_list(&mut self.clients[request.replica], &request).await)
            };
            let (sent_at, result) = tokio::select! {
                biased;
                () = changed(&mut address_changes) => {
                    self.clients = address_changes
                        .borrow_and_update()
                        .iter()
                        .map(|address| HttpClient::new(*address))
                        .collect();
                    self.watch_client.set_replicas(self.clients.len());
                    continue;
                }
                fetched = fetch => fetched,
            };
            match result {
                Ok((header, list)) => self.list_received(sent_at, header, list),
                Err(error) => self.fetch_failed(&error),
            }
            self.publish_state();
        }
    }

    fn publish_state(&self) {
        self.node.set_list_state(ListState {
            rev: self.watch_client.rev(),
            as_of: self.watch_client.as_of().map(|as_of| self.started_at + as_of),
            replica: self.clients[self.watch_client.replica()].address(),
            unreachable_since: self.outage.map(|(since, _)| self.started_at + since),
        });
    }

    fn list_received(&mut self, sent_at: Duration, header: ListHeader, list: BackendList) {
        let now = self.started_at.elapsed();
        let scope = match self.watch_client.on_response(sent_at, now, header) {
            ListUpdate::Full => Some(ListScope::Full),
            ListUpdate::Changes => Some(ListScope::Changes),
            ListUpdate::Ignore => None,
        };
        if let Some((since, _)) = self.outage.take() {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            tracing::info!(away_ms, rev = header.rev, "registry reachable again");
        }
        let entries = list.into_entries();
        if let Some(scope) = scope.filter(|scope| *scope == ListScope::Full || !entries.is_empty()) {
            self.node.update_backends(scope, entries);
        }
    }

    fn fetch_failed(&mut self, error: &FetchError) {
        let now = self.started_at.elapsed();
        tracing::debug!(
            replica = %self.clients[self.watch_client.replica()].address(),
            cause = %error,
            "registry call failed"
        );
        let retry_after =
            if let FetchError::Status { retry_after, .. } = error { *retry_after } else { None };
        self.watch_client.on_failure(now, retry_after, self.rng.random());
        if !self.watch_client.all_replicas_failed() {
            return;
        }
        let age_ms = self.watch_client.age(now).map(|age| age.as_millis() as u64);
        let (since, logged_at) = *self.outage.get_or_insert((now, Duration::ZERO));
        if logged_at == Duration::ZERO || now.saturating_sub(logged_at) >= OUTAGE_LOG_INTERVAL {
            tracing::warn!(age_ms, cause = %error, "registry unreachable; keeping the last known list");
            self.outage = Some((since, now));
        }
    }
}

async fn fetch_list(
    client: &mut HttpClient,
    request: &WatchRequest,
) -> Result<(ListHeader, BackendList), FetchError> {
    let response = client.call(&Call::get(request.path_and_query(), request.timeout, MAX_LIST_BYTES)).await?;
    if response.status != StatusCode::OK {
        let body = String::from_utf8_lossy(&response.body[..response.body.len().min(200)]).into_owned();
        let retry_after = response.header(RETRY_AFTER.as_str()).and_then(|value| value.parse::<f64>().ok());
        let retry_after = retry_after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        return Err(FetchError::Status { status: response.status, body, retry_after });
    }
    let list: BackendList = serde_json::from_slice(&response.body)?;
    let age = response.list_age();
    Ok((ListHeader { incarnation: list.incarnation(), rev: list.rev(), full: list.is_full(), age }, list))
}
