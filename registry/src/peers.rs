//! Communication between replicas: Raft messages and other calls, as JSON over HTTP. Each call names the fleet and may
//! name the replica, so that a replica of another fleet, or one that has lost its store, rejects calls that are not
//! meant for it.

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

/// Header with the name of the fleet.
pub const FLEET_HEADER: &str = "x-registry-fleet";
/// Header with the ID of the replica that the call is meant for.
pub const REPLICA_HEADER: &str = "x-registry-to";
/// Path of the append-entries RPC.
pub const APPEND_PATH: &str = "/raft/append";
/// Path of the vote RPC.
pub const VOTE_PATH: &str = "/raft/vote";
/// Path of the snapshot RPC.
pub const SNAPSHOT_PATH: &str = "/raft/snapshot";
/// Size limit of a message. A snapshot of a full list with its history fits.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of idle connections to one replica.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Interval between attempts to reach an unreachable replica.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The body of the snapshot RPC.
#[derive(Serialize, Deserialize)]
pub struct SnapshotMessage {
    /// The leader's vote.
    pub vote: Vote<ReplicaId>,
    /// The log position and membership of the snapshot.
    pub meta: SnapshotMeta<ReplicaId, Place>,
    /// The state.
    pub state: RegistryState,
}

/// A connection pool to the other replicas.
#[derive(Clone)]
pub struct PeerPool {
    fleet: String,
    via: Arc<BTreeMap<SocketAddr, SocketAddr>>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<HttpClient>>>>,
    suspended: Arc<AtomicBool>,
}

impl PeerPool {
    /// Creates a pool. `via` maps peer addresses to the addresses to connect to, as with a proxy.
    pub fn new(fleet: &str, via: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        Self { fleet: fleet.to_owned(), via: Arc::new(via), idle: Arc::default(), suspended: Arc::default() }
    }

    /// Suspends or resumes the messages of a leader. While they are suspended, the other replicas can elect another
    /// leader.
    pub fn set_suspended(&self, suspended: bool) {
        self.suspended.store(suspended, Ordering::Relaxed);
    }

    /// Returns whether leader messages are suspended.
    pub fn is_suspended(&self) -> bool {
        self.suspended.load(Ordering::Relaxed)
    }

    /// Sends a call to a replica. If `to` is given, only the replica with this ID processes it.
    pub async fn call(
        &self,
        peer: SocketAddr,
        to: Option<ReplicaId>,
        mut call: Call,
    ) -> Result<Response, CallError> {
        call.headers.push((FLEET_HEADER, self.fleet.clone()));
        if let Some(to) = to {
            call.headers.push((REPLICA_HEADER, to.to_string()));
        }
        let address = self.via.get(&peer).copied().unwrap_or(peer);
        let idle = || self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connection = idle().get_mut(&address).and_then(Vec::pop);
        let mut connection = connection.unwrap_or_else(|| HttpClient::new(address));
        let response = connection.call(&call).await?;
        let mut idle = idle();
        let idle_connections = idle.entry(address).or_default();
        if idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push(connection);
        }
        Ok(response)
    }
}

impl RaftNetworkFactory<Types> for PeerPool {
    type Network = PeerClient;

    async fn new_client(&mut self, target: ReplicaId, node: &Place) -> PeerClient {
        PeerClient { target, place: *node, peers: self.clone() }
    }
}

/// The openraft network client of one replica.
pub struct PeerClient {
    target: ReplicaId,
    place: Place,
    peers: PeerPool,
}

impl PeerClient {
    /// Sends an RPC and returns its response. `RemoteErr` is the error type of the remote replica, `RpcErr` that of
    /// this RPC in openraft.
    async fn send<Req, Resp, RemoteErr, RpcErr>(
        &self,
        path: &str,
        message: &Req,
        timeout: Duration,
    ) -> Result<Resp, RpcErr>
    where
        Req: Serialize,
        Resp: DeserializeOwned,
        RemoteErr: Error + DeserializeOwned,
        RpcErr: From<Unreachable> + From<NetworkError> + From<RemoteError<ReplicaId, Place, RemoteErr>>,
    {
        let unreachable = |text: String| RpcErr::from(Unreachable::new(&std::io::Error::other(text)));
        if path != VOTE_PATH && self.peers.is_suspended() {
            return Err(unreachable("leader messages are suspended".to_owned()));
        }
        let body = serde_json::to_vec(message).map_err(|error| NetworkError::new(&error))?;
        let call = Call::post(path, body, timeout, MAX_MESSAGE_BYTES);
        let response = self.peers.call(self.place.peer, Some(self.target), call).await;
        let response = response.map_err(|error| unreachable(error.to_string()))?;
        if response.status != hyper::StatusCode::OK {
            let reason = String::from_utf8_lossy(&response.body);
            return Err(unreachable(format!("{}: {reason}", response.status)));
        }
        let response: Result<Resp, RemoteErr> =
            serde_json::from_slice(&response.body).map_err(|error| unreachable(error.to_string()))?;
        response.map_err(|error| RemoteError::new_with_node(self.target, self.place, error).into())
    }
}

impl RaftNetwork<Types> for PeerClient {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<ReplicaId>, RPCError<ReplicaId, Place, RaftError<ReplicaId>>> {
        self.send(APPEND_PATH, &rpc, option.hard_ttl()).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<ReplicaId>,
        option: RPCOption,
    ) -> Result<VoteResponse<ReplicaId>, RPCError<ReplicaId, Place, RaftError<ReplicaId>>> {
        self.send(VOTE_PATH, &rpc, option.hard_ttl()).await
    }

    async fn full_snapshot(
        &mut self,
        vote: Vote<ReplicaId>,
        snapshot: Snapshot<Types>,
        cancel: impl Future<Output = ReplicationClosed> + OptionalSend + 'static,
        option: RPCOption,
    ) -> Result<SnapshotResponse<ReplicaId>, StreamingError<Types, Fatal<ReplicaId>>> {
        let message = SnapshotMessage { vote, meta: snapshot.meta, state: *snapshot.snapshot };
        tokio::select! {
            closed = cancel => Err(closed.into()),
            sent = self.send(SNAPSHOT_PATH, &message, option.hard_ttl()) => sent,
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(RETRY_INTERVAL))
    }
}
