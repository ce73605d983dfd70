//! Between replicas: the consensus library's messages as JSON over HTTP, and what one replica asks of another. Each call
//! names the fleet and the replica that is meant, so that a message for one that lost its store, or for another fleet's
//! at the same address, is turned away.

use std::collections::{BTreeMap, HashMap};
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flaxdale_fleet::call::{Call, CallError, HttpClient, Response};
use openraft::error::{
    Fatal, NetworkError, RPCError, RaftError, RemoteError, ReplicationClosed, StreamingError, Unreachable,
};
use openraft::network::{Backoff, RPCOption};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, SnapshotResponse, VoteRequest, VoteResponse,
};
use openraft::{OptionalSend, RaftNetwork, RaftNetworkFactory, Snapshot, SnapshotMeta, Vote};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::raft::{Place, ReplicaId, Types};
use crate::state_machine::RegistryState;

/// Headers that name the fleet and the replica that is meant.
pub const FLEET: &str = "x-registry-fleet";
/// See [`FLEET`].
pub const TO: &str = "x-registry-to";
/// Where the library's messages go.
pub const APPEND: &str = "/raft/append";
/// See [`APPEND`].
pub const VOTE: &str = "/raft/vote";
/// See [`APPEND`].
pub const SNAPSHOT: &str = "/raft/snapshot";
/// Bytes of a message: a snapshot of a full list fits, with its history.
pub const MOST_MESSAGE: usize = 64 * 1024 * 1024;
/// Connections to one replica that are kept.
const MOST_KEPT: usize = 16;
/// A replica that can't be reached is tried again after this.
const AGAIN: Duration = Duration::from_millis(200);

/// A snapshot on its way.
#[derive(Serialize, Deserialize)]
pub struct Whole {
    /// The leader's vote.
    pub vote: Vote<ReplicaId>,
    /// What it is a snapshot of.
    pub meta: SnapshotMeta<ReplicaId, Place>,
    /// The state.
    pub state: RegistryState,
}

/// Connections to the other replicas.
#[derive(Clone)]
pub struct Peers {
    fleet: String,
    via: Arc<BTreeMap<SocketAddr, SocketAddr>>,
    kept: Arc<Mutex<HashMap<SocketAddr, Vec<HttpClient>>>>,
    silent: Arc<AtomicBool>,
}

impl Peers {
    /// Those of a fleet; some may be reached at another address than their own.
    pub fn new(fleet: &str, via: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        Self { fleet: fleet.to_owned(), via: Arc::new(via), kept: Arc::default(), silent: Arc::default() }
    }

    /// Whether what a leader sends is kept back. The others then take it for gone, and one of them may lead.
    pub fn keep_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// See [`Peers::keep_silent`].
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Makes a call to a replica. `to` names the one that is meant, where only that one may answer.
    pub async fn call(
        &self,
        peer: SocketAddr,
        to: Option<ReplicaId>,
        mut call: Call,
    ) -> Result<Response, CallError> {
        call.headers.push((FLEET, self.fleet.clone()));
        if let Some(to) = to {
            call.headers.push((TO, to.to_string()));
        }
        let at = self.via.get(&peer).copied().unwrap_or(peer);
        let kept = || self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let link = kept().get_mut(&at).and_then(Vec::pop);
        let mut link = link.unwrap_or_else(|| HttpClient::new(at));
        let answer = link.call(&call).await?;
        let mut kept = kept();
        let links = kept.entry(at).or_default();
        if links.len() < MOST_KEPT {
            links.push(link);
        }
        Ok(answer)
    }
}

impl RaftNetworkFactory<Types> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, target: ReplicaId, node: &Place) -> Peer {
        Peer { target, place: *node, peers: self.clone() }
    }
}

/// One replica, as the library sends to it.
pub struct Peer {
    target: ReplicaId,
    place: Place,
    peers: Peers,
}

impl Peer {
    /// Sends a message and takes the answer, which may be the other replica's error `E`. What can go wrong is worded in the
    /// library's terms for this kind of message.
    async fn send<Q, A, E, X>(&self, path: &str, message: &Q, patience: Duration) -> Result<A, X>
    where
        Q: Serialize,
        A: DeserializeOwned,
        E: Error + DeserializeOwned,
        X: From<Unreachable> + From<NetworkError> + From<RemoteError<ReplicaId, Place, E>>,
    {
        let unreachable = |text: String| X::from(Unreachable::new(&std::io::Error::other(text)));
        if path != VOTE && self.peers.is_silent() {
            return Err(unreachable("kept back".to_owned()));
        }
        let body = serde_json::to_vec(message).map_err(|error| NetworkError::new(&error))?;
        let call = Call::post(path, body, patience, MOST_MESSAGE);
        let answer = self.peers.call(self.place.peer, Some(self.target), call).await;
        let answer = answer.map_err(|error| unreachable(error.to_string()))?;
        if answer.status != hyper::StatusCode::OK {
            let reason = String::from_utf8_lossy(&answer.body);
            return Err(unreachable(format!("{}: {reason}", answer.status)));
        }
        let answer: Result<A, E> =
            serde_json::from_slice(&answer.body).map_err(|error| unreachable(error.to_string()))?;
        answer.map_err(|error| RemoteError::new_with_node(self.target, self.place, error).into())
    }
}

impl RaftNetwork<Types> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<ReplicaId>, RPCError<ReplicaId, Place, RaftError<ReplicaId>>> {
        self.send(APPEND, &rpc, option.hard_ttl()).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<ReplicaId>,
        option: RPCOption,
    ) -> Result<VoteResponse<ReplicaId>, RPCError<ReplicaId, Place, RaftError<ReplicaId>>> {
        self.send(VOTE, &rpc, option.hard_ttl()).await
    }

    async fn full_snapshot(
        &mut self,
        vote: Vote<ReplicaId>,
        snapshot: Snapshot<Types>,
        cancel: impl Future<Output = ReplicationClosed> + OptionalSend + 'static,
        option: RPCOption,
    ) -> Result<SnapshotResponse<ReplicaId>, StreamingError<Types, Fatal<ReplicaId>>> {
        let whole = Whole { vote, meta: snapshot.meta, state: *snapshot.snapshot };
        tokio::select! {
            closed = cancel => Err(closed.into()),
            sent = self.send(SNAPSHOT, &whole, option.hard_ttl()) => sent,
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(AGAIN))
    }
}
