//! The list of backends from the fleet's own registry: one watch, on whichever replica answers. What is asked of which
//! replica, and what an answer is worth, is decided in [`WatchClient`]; here are its sockets and its clock.

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

use crate::discovery::{List, MAX_LIST, moved};
use crate::driver::{ListState, Node};

/// An answer this long after the wait was over does not come any more.
const GRACE: Duration = Duration::from_secs(1);
/// How often the log tells that the registry is still away.
const TOLD_AGAIN: Duration = Duration::from_secs(10);

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
enum Trouble {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("answered {status}: {text}")]
    Status { status: StatusCode, text: String, again: Option<Duration> },
    #[error("not a list: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Follows the registry.
pub struct Follow {
    node: Node,
    /// Where the replicas are, which a fleet file that is read again may change.
    addresses: watch::Receiver<Vec<SocketAddr>>,
    links: Vec<HttpClient>,
    follower: WatchClient,
    luck: Xoshiro256PlusPlus,
    began: Instant,
    /// Since when no replica has answered, and when that was last told.
    away: Option<(Duration, Duration)>,
}

impl Follow {
    /// A client of the replicas at these addresses, going on from `known`, which may be old.
    pub fn new(
        node: Node,
        addresses: watch::Receiver<Vec<SocketAddr>>,
        seed: u64,
        known: Option<List>,
    ) -> Self {
        if let Some(list) = known {
            node.update_backends(ListScope::Cached, list.listed());
        }
        let mut luck = Xoshiro256PlusPlus::seed_from_u64(seed);
        let links: Vec<HttpClient> = addresses.borrow().iter().map(|at| HttpClient::new(*at)).collect();
        let follower = WatchClient::new(WatchPolicy::default(), links.len(), luck.random());
        Self { node, addresses, links, follower, luck, began: Instant::now(), away: None }
    }

    /// Follows; never ends.
    pub async fn run(mut self) {
        let mut moves = self.addresses.clone();
        self.note();
        loop {
            if self.node.take_whole_list() {
                self.follower.request_full_list();
            }
            let (at, ask) = self.follower.next_request(self.began.elapsed());
            let called = async {
                sleep_until(self.began + at).await;
                let asked = self.began.elapsed();
                (asked, call(&mut self.links[ask.replica], &ask).await)
            };
            let (asked, answer) = tokio::select! {
                biased;
                () = moved(&mut moves) => {
                    self.links = moves.borrow_and_update().iter().map(|at| HttpClient::new(*at)).collect();
                    self.follower.set_replicas(self.links.len());
                    continue;
                }
                called = called => called,
            };
            match answer {
                Ok((head, list)) => self.take(asked, head, list),
                Err(trouble) => self.missed(&trouble),
            }
            self.note();
        }
    }

    fn note(&self) {
        self.node.set_list_state(ListState {
            rev: self.follower.rev(),
            as_of: self.follower.as_of().map(|as_of| self.began + as_of),
            replica: self.links[self.follower.replica()].address(),
            unreachable_since: self.away.map(|(since, _)| self.began + since),
        });
    }

    fn take(&mut self, asked: Duration, head: ListHeader, list: List) {
        let now = self.began.elapsed();
        let scope = match self.follower.on_response(asked, now, head) {
            ListUpdate::Full => Some(ListScope::Full),
            ListUpdate::Changes => Some(ListScope::Changes),
            ListUpdate::Ignore => None,
        };
        if let Some((since, _)) = self.away.take() {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            tracing::info!(away_ms, rev = head.rev, "the registry answers again");
        }
        let lines = list.listed();
        if let Some(scope) = scope.filter(|scope| *scope == ListScope::Full || !lines.is_empty()) {
            self.node.update_backends(scope, lines);
        }
    }

    fn missed(&mut self, trouble: &Trouble) {
        let now = self.began.elapsed();
        tracing::debug!(replica = %self.links[self.follower.replica()].address(), cause = %trouble, "no list");
        let again = if let Trouble::Status { again, .. } = trouble { *again } else { None };
        self.follower.on_failure(now, again, self.luck.random());
        if !self.follower.all_replicas_failed() {
            return;
        }
        let age_ms = self.follower.age(now).map(|age| age.as_millis() as u64);
        let (since, told) = *self.away.get_or_insert((now, Duration::ZERO));
        if told == Duration::ZERO || now.saturating_sub(told) >= TOLD_AGAIN {
            tracing::warn!(age_ms, cause = %trouble, "the registry is away; the list goes on being used");
            self.away = Some((since, now));
        }
    }
}

async fn call(link: &mut HttpClient, ask: &WatchRequest) -> Result<(ListHeader, List), Trouble> {
    let answer = link.call(&Call::get(ask.path_and_query(), ask.hold + GRACE, MAX_LIST)).await?;
    if answer.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&answer.body[..answer.body.len().min(200)]).into_owned();
        let again = answer.header(RETRY_AFTER.as_str()).and_then(|text| text.parse::<f64>().ok());
        let again = again.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        return Err(Trouble::Status { status: answer.status, text, again });
    }
    let list: List = serde_json::from_slice(&answer.body)?;
    let age = answer.list_age();
    Ok((ListHeader { incarnation: list.incarnation(), rev: list.rev(), full: list.is_whole(), age }, list))
}
