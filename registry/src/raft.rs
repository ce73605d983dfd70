//! What the replicated log carries, and the names that the consensus library is given for it.

use std::net::SocketAddr;

use openraft::impls::{OneshotResponder, TokioRuntime};
use serde::{Deserialize, Serialize};

use crate::list::{Command, ListError, Rev};
use crate::state_machine::State;

/// A replica's name: drawn when its store is made, so that one that has lost its store is another replica. A vote that
/// was given and forgotten is never given twice under one name.
pub type ReplicaId = u64;

/// Where a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// For the other replicas.
    pub peer: SocketAddr,
    /// For clients.
    pub client: SocketAddr,
}

impl Default for Place {
    fn default() -> Self {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        Self { peer: nowhere, client: nowhere }
    }
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// It was carried out; the list's version then.
    Done(Rev),
    /// It changed nothing.
    Refused {
        /// An HTTP status that says of what kind the reason is.
        status: u16,
        /// The reason.
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
    /// The registry's types, as the library wants them. An entry carries commands that came in together.
    pub Types:
        D = Vec<Command>,
        R = Vec<Applied>,
        NodeId = ReplicaId,
        Node = Place,
        Entry = openraft::Entry<Types>,
        SnapshotData = State,
        Responder = OneshotResponder<Types>,
        AsyncRuntime = TokioRuntime,
);

/// A place in the log.
pub type LogId = openraft::LogId<ReplicaId>;
/// Who the replicas are.
pub type Membership = openraft::StoredMembership<ReplicaId, Place>;
/// Trouble of the store, as the library wants it.
pub type StorageError = openraft::StorageError<ReplicaId>;
/// The consensus.
pub type Raft = openraft::Raft<Types>;
