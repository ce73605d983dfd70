//! One client's connection from accept to close: runs the HTTP parser, enforces timeouts, notices a client that has
//! closed its connection, and takes part in a graceful shutdown. Requests are handled by `handler`.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::handler::{ConnectionContext, closing, handle};
use super::phase::ShutdownPhase;
use super::read_ahead::ReadAheadReserve;
use super::stream::{CLOSE_CHECK_INTERVAL, ClientSocket, ClientStream};
use crate::driver::Node;
use crate::memory::{Account, Kind};

/// Keep-alive timeout. Kept short because an idle connection holds one of a limited number of slots; clients expect that
/// a connection may be closed after 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time for the first request on a connection while slots are scarce, and on one opened during a shutdown. Clients send
/// it at once.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a client to read a response. Longer than any client waits for one.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a request to be received in full: the first one of a connection counted from the accept, the head of a later
/// one from its first byte and the body from the end of the head. A peer gets an error or a close within 3 s.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2600);
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Lingering close: input that arrives after the node has closed its side is read and discarded for this long and up to
/// `MAX_LINGER_BYTES`. Closing a socket with unread input resets the connection, and the client may lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
pub const MAX_LINGER_BYTES: usize = 256 * 1024;

/// What a connection knows of the connection slots.
pub trait SlotView {
    /// Whether slots or the memory for connections are scarce.
    fn is_scarce(&self) -> bool;

    /// Whether the connection may stay open after a response.
    fn may_rest(&self) -> bool;
}

/// The state of a connection's requests, shared by its handler and its supervisor.
struct RequestProgress {
    accepted_at: Instant,
    /// How long the connection has waited for a slot, until its first request is handled.
    slot_wait: Cell<Duration>,
    /// Whether the head of any request has been received.
    request_seen: Cell<bool>,
    /// Whether a request is being handled.
    in_flight: Cell<bool>,
}

/// Why a connection is to be closed.
#[derive(Debug)]
enum CloseReason {
    /// The parser has finished: after the last response, or because the peer closed the connection.
    ParserDone,
    /// The peer closed the connection while a request was being handled.
    PeerClosed,
    /// The node is shutting down.
    Shutdown,
    /// No complete request was received in time, or the slot is needed.
    TimedOut,
    /// The client did not read the response in time.
    WriteTimedOut,
    /// Others wait for the memory that the connection holds.
    MemoryReclaimed,
}

/// Serves a connection that was accepted at `accepted_at` until it is closed.
pub async fn serve(
    stream: impl ClientSocket,
    accepted_at: Instant,
    node: Node,
    mut phase: watch::Receiver<ShutdownPhase>,
    reserve: ReadAheadReserve,
    slots: &impl SlotView,
) {
    let progress = RequestProgress {
        accepted_at,
        slot_wait: Cell::new(accepted_at.elapsed()),
        request_seen: Cell::new(false),
        in_flight: Cell::new(false),
    };
    let account = reserve.budget().account();
    let stream = ClientStream::new(stream, reserve, &account);
    let opened_during_shutdown = *phase.borrow() != ShutdownPhase::Serving;
    let handler_phase = phase.clone();
    let mut closing_phase = std::pin::pin!(async {
        let _ = phase.wait_for(ShutdownPhase::is_closing).await;
        // A client that connects during a shutdown is about to send a request.
        if opened_during_shutdown {
            sleep_until(accepted_at + FIRST_REQUEST_TIMEOUT).await;
        }
        // Lets the parser read what has already arrived.
        yield_now().await;
    });
    let mut shed_when_scarce = std::pin::pin!(shed_when_scarce(&progress, slots));
    let mut is_closing = false;
    loop {
        let respond = async |request| {
            let first = !progress.request_seen.replace(true);
            progress.in_flight.set(true);
            let read_deadline = if first { accepted_at } else { Instant::now() } + REQUEST_READ_TIMEOUT;
            let context = ConnectionContext {
                account: &account,
                hidden_close: stream.hidden_close(),
                read_deadline,
                unread_for: progress.slot_wait.take() + stream.take_head_wait(),
            };
            let response = handle(&node, request, context, &handler_phase, stream.input_settled()).await;
            let response =
                response.map(|response| if slots.may_rest() { response } else { closing(response) });
            progress.in_flight.set(false);
            stream.mark_response_ready();
            response
        };
        // Before the parser reads on, which it does before the response is polled.
        let service = service_fn(|request| {
            stream.mark_head_received();
            respond(request)
        });
        let mut connection = http1::Builder::new()
            .header_read_timeout(None)
            .keep_alive(!is_closing)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream.clone()), service);
        let reason = loop {
            let reason = tokio::select! {
                biased;
                // Before the parser, which polls the handler: no request is submitted that its client has given up by now.
                () = peer_closed(&progress, &stream) => CloseReason::PeerClosed,
                result = &mut connection => {
                    if let Err(error) = result {
                        tracing::debug!(cause = %error, "client connection failed");
                    }
                    CloseReason::ParserDone
                }
                () = &mut closing_phase, if !is_closing => CloseReason::Shutdown,
                reason = timed_out(&progress, &stream) => reason,
                () = &mut shed_when_scarce => CloseReason::TimedOut,
                () = evicted(&progress, &account) => CloseReason::MemoryReclaimed,
                never = provide_head_memory(&stream, &account) => match never {},
            };
            let busy = progress.in_flight.get() || stream.has_unsent_response();
            if !matches!(reason, CloseReason::Shutdown) || !busy {
                break reason;
            }
            // The connection is closed after the pending response.
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
        };
        let (begun, open_ms) =
            (stream.request_started_at().is_some(), accepted_at.elapsed().as_millis() as u64);
        tracing::debug!(cause = ?reason, begun, open_ms, "closing client connection");
        match reason {
            CloseReason::ParserDone => break,
            // No response is left to deliver, so there is no lingering close. Dropping the parser drops a pending request,
            // which cancels it.
            CloseReason::TimedOut
            | CloseReason::PeerClosed
            | CloseReason::WriteTimedOut
            | CloseReason::MemoryReclaimed => return,
            CloseReason::Shutdown => {}
        }
        // No request is being handled. Input that has arrived by now, even part of a head, belongs to a request that the
        // client expects to be served: a new parser serves it, without keep-alive.
        stream.put_back(connection.into_parts().read_buf);
        if !stream.has_unread_input().await {
            break;
        }
        is_closing = true;
    }
    linger(stream, slots).await;
}

/// Resolves once the client has closed its connection while a request is being handled.
async fn peer_closed<Stream: ClientSocket>(progress: &RequestProgress, stream: &ClientStream<Stream>) {
    let mut next_check = std::pin::pin!(sleep(Duration::ZERO));
    poll_fn(|context| {
        loop {
            if !progress.in_flight.get() {
                return Poll::Pending;
            }
            if stream.poll_peer_closed(context).is_ready() {
                return Poll::Ready(());
            }
            // Nothing wakes the task for a close behind input that is not read.
            if !stream.is_read_ahead_full() || next_check.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            next_check.as_mut().reset(Instant::now() + CLOSE_CHECK_INTERVAL);
        }
    })
    .await
}

/// Resolves when a timeout expires: of the wait for a request, for the rest of one, or for the client to read a response.
async fn timed_out<Stream>(progress: &RequestProgress, stream: &ClientStream<Stream>) -> CloseReason {
    let deadline = || {
        if progress.in_flight.get() {
            return None;
        }
        if stream.has_unsent_response() {
            return Some((stream.last_response_at() + RESPONSE_WRITE_TIMEOUT, CloseReason::WriteTimedOut));
        }
        let deadline = match stream.request_started_at() {
            Some(_) if !progress.request_seen.get() => progress.accepted_at + REQUEST_READ_TIMEOUT,
            Some(started_at) => started_at + REQUEST_READ_TIMEOUT,
            None => stream.last_response_at() + IDLE_TIMEOUT,
        };
        Some((deadline, CloseReason::TimedOut))
    };
    let mut timer = std::pin::pin!(sleep(Duration::ZERO));
    // The deadline changes only when this task polls the parser, and every poll of the task gets here as well.
    poll_fn(|context| {
        let Some((at, reason)) = deadline() else { return Poll::Pending };
        if timer.deadline() != at {
            timer.as_mut().reset(at);
        }
        timer.as_mut().poll(context).map(|()| reason)
    })
    .await
}

/// Resolves once the connection has to give up its memory while no request is being handled. A request that is being
/// handled is rejected by its handler, if nothing of it was forwarded.
async fn evicted(progress: &RequestProgress, account: &Account) {
    let mut evicted = std::pin::pin!(account.evicted());
    poll_fn(|context| if progress.in_flight.get() { Poll::Pending } else { evicted.as_mut().poll(context) })
        .await
}

/// Waits for memory whenever the parser needs it to read on.
async fn provide_head_memory<Stream>(stream: &ClientStream<Stream>, account: &Account) -> Infallible {
    loop {
        // Every poll of the task gets here after the parser.
        let missing_bytes =
            poll_fn(|_| stream.missing_head_memory().map_or(Poll::Pending, Poll::Ready)).await;
        let permit = account.acquire(Kind::LargeHead, missing_bytes).await;
        stream.grant_head_memory(permit);
        // Polls the parser again.
        yield_now().await;
    }
}

/// Resolves once slots are scarce and the connection has not received its first request within the timeout, so that
/// waiting clients get its slot.
async fn shed_when_scarce(progress: &RequestProgress, slots: &impl SlotView) {
    loop {
        sleep(FIRST_REQUEST_TIMEOUT).await;
        if progress.request_seen.get() {
            std::future::pending().await
        }
        if slots.is_scarce() {
            return;
        }
    }
}

/// Closes the connection so that everything written is delivered. Does not wait for the peer while slots are scarce.
async fn linger<Stream: AsyncRead + AsyncWrite + Unpin>(
    mut stream: ClientStream<Stream>,
    slots: &impl SlotView,
) {
    let close = async {
        if stream.shutdown().await.is_ok() && !slots.is_scarce() {
            stream.discard(MAX_LINGER_BYTES).await;
        }
    };
    let _ = timeout(LINGER_TIMEOUT, close).await;
}
