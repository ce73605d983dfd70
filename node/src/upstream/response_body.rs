//! Receives a response's body into one buffer of its own, with a permit for its memory that lasts until the client has read
//! it.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::MAX_BODY_BYTES;
use super::attempt_progress::ResponseProgress;
use crate::driver::Clock;
use crate::memory::{Account, Kind, Permit};

/// Bodies up to this size are admitted before larger ones.
const SMALL_BODY_BYTES: usize = 4 * 1024;

/// A body whose memory is given back with its last reference.
struct HeldBody {
    bytes: BytesMut,
    _memory: Permit,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Receives a body once there is memory for it; none if it is too large or did not arrive whole.
pub async fn receive(
    mut body: Incoming,
    account: &Account,
    progress: &ResponseProgress,
    clock: Clock,
) -> Option<Bytes> {
    let declared = body.size_hint().exact().map(usize::try_from);
    let capacity = match declared {
        Some(length) => length.ok().filter(|length| *length <= MAX_BODY_BYTES)?,
        None => MAX_BODY_BYTES,
    };
    let kind = if capacity <= SMALL_BODY_BYTES { Kind::SmallResponse } else { Kind::LargeResponse };
    progress.wait_for_memory();
    let mut memory = account.acquire(kind, capacity).await;
    progress.record(clock.now());
    let mut bytes = BytesMut::with_capacity(if declared.is_some() { capacity } else { 0 });
    while let Some(frame) = body.frame().await {
        progress.record(clock.now());
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if bytes.len() + data.len() > capacity {
            return None;
        }
        bytes.extend_from_slice(&data);
    }
    if bytes.is_empty() {
        return Some(Bytes::new());
    }
    memory.shrink_to(bytes.capacity());
    Some(Bytes::from_owner(HeldBody { bytes, _memory: memory }))
}
