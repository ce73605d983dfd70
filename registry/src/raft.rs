//! Type configuration of openraft.

use std::net::SocketAddr;

use openraft::impls::{OneshotResponder, TokioRuntime};
use serde::{Deserialize, Serialize};

use crate::list::{Command, ListError, Rev};
use crate::state_machine::RegistryState;

/// The ID of a replica. It is drawn at random when the store is created, so a replica that has lost its store gets a
/// new ID and cannot vote a second time in a term under the old one.
pub type ReplicaId = u64;

/// The addresses of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The address for other replicas.
    pub peer: SocketAddr,
    /// The address for clients.
    pub client: SocketAddr,
}

impl Default for Place {
    fn default() -> Self {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        Self { peer: unspecified, client: unspecified }
    }
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// The command was applied, and the list has this revision.
    Done(Rev),
    /// The command was rejected and changed nothing.
    Refused {
        /// The HTTP status for the error.
        status: u16,
        /// The error message.
        text: String,
    },
}

impl From<ListError> for Applied {
    fn from(error: ListError) -> Self {
        let status = match &error {
            ListError::InvalidName { .. } | ListError::InvalidCapacity => 400,
            ListError::NotFound { .. } => 404,
            ListError::StartTimeMismatch { .. }
            | ListError::DuplicateName { .. }
            | ListError::UnexpectedPart { .. } => 409,
            ListError::Full => 507,
        };
        Self::Refused { status, text: error.to_string() }
    }
}

openraft::declare_raft_types!(
    /// The type configuration of the registry. A log entry holds a batch of commands.
    pub Types:
        D = Vec<Command>,
        R = Vec<Applied>,
        NodeId = ReplicaId,
        Node = Place,
        Entry = openraft::Entry<Types>,
        SnapshotData = RegistryState,
        Responder = OneshotResponder<Types>,
        AsyncRuntime = TokioRuntime,
);

/// The ID of a log entry.
pub type LogId = openraft::LogId<ReplicaId>;
/// The membership of the registry with the entry that set it.
pub type Membership = openraft::StoredMembership<ReplicaId, Place>;
/// A storage error as reported to openraft.
pub type StorageError = openraft::StorageError<ReplicaId>;
/// The Raft node of a replica.
pub type Raft = openraft::Raft<Types>;
/// The metrics of a Raft node.
pub type RaftMetrics = openraft::RaftMetrics<ReplicaId, Place>;
