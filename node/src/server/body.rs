//! Receives a request's body into one buffer of its own, with a permit for its memory. The pieces that the parser hands out
//! are copied: each one keeps the whole block alive into which it was read.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use crate::memory::{Account, Kind, Permit};
use crate::upstream::MAX_BODY_BYTES;

/// Bodies up to this size are admitted like the requests that they belong to.
const SMALL_BODY_BYTES: usize = 4 * 1024;
/// How long a request waits for memory at most before it is refused. Longer than evicted holders take to give theirs up.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(250);

/// Why a body was not received.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// It did not arrive in time, or the connection failed.
    Incomplete,
    /// The node is short of memory.
    OutOfMemory,
}

/// A body, and the memory that it holds.
pub struct ReceivedBody {
    /// The whole body.
    pub bytes: Bytes,
    /// For as long as the body is held; none for an empty one.
    pub memory: Option<Permit>,
}

/// Provides the memory of a request.
pub struct RequestMemorySource<'a> {
    account: &'a Account,
    max_wait: Duration,
}

impl<'a> RequestMemorySource<'a> {
    /// For a request whose client waits for `client_time`, of which at most half is spent on waiting for memory.
    pub fn new(account: &'a Account, client_time: Duration) -> Self {
        Self { account, max_wait: MAX_MEMORY_WAIT.min(client_time / 2) }
    }

    /// Waits a short time for memory.
    pub async fn acquire(&self, kind: Kind, bytes: usize) -> Result<Permit, BodyError> {
        if let Some(permit) = self.account.try_acquire(kind, bytes) {
            return Ok(permit);
        }
        let permit = timeout(self.max_wait, self.account.acquire(kind, bytes));
        tokio::select! {
            biased;
            () = self.account.evicted() => Err(BodyError::OutOfMemory),
            permit = permit => permit.map_err(|_| BodyError::OutOfMemory),
        }
    }
}

/// Receives a body. Its memory is acquired before it is read, as far as its length is declared.
pub async fn receive(
    mut body: Incoming,
    memory: &RequestMemorySource<'_>,
    read_deadline: Instant,
) -> Result<ReceivedBody, BodyError> {
    let declared = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(BodyError::TooLarge);
    }
    if declared == Some(0) {
        return Ok(ReceivedBody { bytes: Bytes::new(), memory: None });
    }
    let mut buffer = BodyBuffer::new(memory, declared.unwrap_or(SMALL_BODY_BYTES)).await?;
    let receive = async {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else { continue };
            buffer.append(&data).await?;
        }
        Ok(())
    };
    tokio::select! {
        biased;
        () = memory.account.evicted() => return Err(BodyError::OutOfMemory),
        received = timeout_at(read_deadline, receive) => received.unwrap_or(Err(BodyError::Incomplete))?,
    }
    Ok(buffer.into_body())
}

/// A body that is being received.
struct BodyBuffer<'a> {
    source: &'a RequestMemorySource<'a>,
    bytes: BytesMut,
    memory: Permit,
}

impl<'a> BodyBuffer<'a> {
    async fn new(source: &'a RequestMemorySource<'a>, capacity: usize) -> Result<Self, BodyError> {
        let kind = if capacity <= SMALL_BODY_BYTES { Kind::Request } else { Kind::RequestBody };
        let memory = source.acquire(kind, capacity).await?;
        Ok(Self { source, bytes: BytesMut::with_capacity(capacity), memory })
    }

    async fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        if length > self.memory.bytes() {
            self.grow(length).await?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Moves the body to a larger buffer. It holds memory for both until it has been copied.
    async fn grow(&mut self, length: usize) -> Result<(), BodyError> {
        let capacity = length.next_power_of_two().min(MAX_BODY_BYTES);
        let memory = self.source.acquire(Kind::RequestBody, capacity).await?;
        let mut bytes = BytesMut::with_capacity(capacity);
        bytes.extend_from_slice(&self.bytes);
        (self.bytes, self.memory) = (bytes, memory);
        Ok(())
    }

    fn into_body(self) -> ReceivedBody {
        ReceivedBody { bytes: self.bytes.freeze(), memory: Some(self.memory) }
    }
}
