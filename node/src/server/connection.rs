//! One client's connection from its accept to its close: supervises the HTTP parser, which reads the requests and
//! writes the answers, and closes when nobody can want it any more. What a request gets is `handler`'s.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::handler::answer;
use super::phase::ShutdownPhase;
use super::stream::ClientStream;
use crate::driver::Node;

/// A connection may stand idle for this long: it holds one of few slots, and a peer that has nothing to ask keeps
/// clients out for as long. Clients may be closed on after 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// While slots are scarce a connection has only this long for its first request, which a client sends at once.
const FIRST_TIMEOUT: Duration = Duration::from_millis(250);
/// A client that has not taken its answer by then, nor asked again, does not read: past any client's time.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The first request of a connection is whole this long after the accept, the head of each later one after its first
/// byte and its body after its head: a peer is owed an error or a close within 3 s of its connect.
const WHOLE_WITHIN: Duration = Duration::from_millis(2600);
const MAX_HEAD: usize = 32 * 1024;
/// What still comes after the node has ended its side is read and thrown away for this long, up to so many bytes: a
/// close over unread bytes resets the connection, and an answer that is still on its way goes with it.
const LINGER: Duration = Duration::from_millis(300);
const LINGER_MOST: usize = 256 * 1024;

/// What is known of a connection's requests from outside the parser.
struct Course {
    accepted: Instant,
    /// Whether a request has come.
    asked: Cell<bool>,
    /// Whether one is being served.
    serving: Cell<bool>,
}

/// Why a connection is not supervised any longer.
#[derive(Debug)]
enum End {
    /// The parser has ended it: by its answer, or since the peer had.
    Parser,
    /// The peer has gone, and waits for nothing.
    Gone,
    /// The node drains.
    Drain,
    /// Nothing more is waited for.
    Overdue,
    /// The answer is not taken.
    Unread,
}

/// Serves a connection up to its close.
pub async fn serve(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    node: Node,
    mut phase: watch::Receiver<ShutdownPhase>,
    scarcity: impl Fn() -> bool,
) {
    let accepted = Instant::now();
    let course = Course { accepted, asked: Cell::new(false), serving: Cell::new(false) };
    let stream = ClientStream::new(stream);
    let late = *phase.borrow() != ShutdownPhase::Serving;
    let answers = phase.clone();
    let mut drain = std::pin::pin!(async {
        let _ = phase.wait_for(ShutdownPhase::is_closing).await;
        // One that came meanwhile was opened for a request, which is on its way.
        if late {
            sleep_until(accepted + FIRST_TIMEOUT).await;
        }
        // What came in with this very turn is read first.
        yield_now().await;
    });
    let mut shed = std::pin::pin!(shed(&course, &scarcity));
    let mut draining = false;
    loop {
        let service = service_fn(async |request| {
            let first = !course.asked.replace(true);
            course.serving.set(true);
            let whole_by = if first { accepted } else { Instant::now() } + WHOLE_WITHIN;
            let response = answer(&node, request, whole_by, &answers).await;
            course.serving.set(false);
            stream.answered();
            response
        });
        let mut connection = http1::Builder::new()
            .header_read_timeout(None)
            .keep_alive(!draining)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(stream.clone()), service);
        let end = loop {
            let end = tokio::select! {
                biased;
                result = &mut connection => {
                    if let Err(error) = result {
                        tracing::debug!(cause = %error, "a client's connection broke");
                    }
                    End::Parser
                }
                () = poll_fn(|context| stream.poll_gone(context, course.serving.get())) => End::Gone,
                () = &mut drain, if !draining => End::Drain,
                end = overdue(&course, &stream) => end,
                () = &mut shed => End::Overdue,
            };
            let busy = course.serving.get() || stream.is_unsent();
            if !matches!(end, End::Drain) || !busy {
                break end;
            }
            // The answer that is awaited ends the connection.
            draining = true;
            Pin::new(&mut connection).graceful_shutdown();
        };
        let (begun, open_ms) = (stream.begun().is_some(), accepted.elapsed().as_millis() as u64);
        tracing::debug!(cause = ?end, begun, open_ms, "a client's connection ends");
        match end {
            End::Parser => break,
            // No answer is on its way to a peer that reads, and the slot is wanted. Whoever waits for one is dropped with
            // the parser: that tells the module.
            End::Overdue | End::Gone | End::Unread => return,
            End::Drain => {}
        }
        // Nothing is being served. What has come since, be it half a head or still in the socket, is a request that the
        // client counts as taken: one more parser takes it, and ends the connection with the answer.
        stream.put_back(connection.into_parts().read_buf);
        if !stream.has_more().await {
            break;
        }
        draining = true;
    }
    linger(stream, &scarcity).await;
}

/// Resolves once a connection is waited on in vain: for a request, for the rest of one, or for its peer to read.
async fn overdue<Stream>(course: &Course, stream: &ClientStream<Stream>) -> End {
    let due = || {
        if course.serving.get() {
            return None;
        }
        if stream.is_unsent() {
            return Some((stream.rested() + UNREAD_TIMEOUT, End::Unread));
        }
        let due = match stream.begun() {
            Some(_) if !course.asked.get() => course.accepted + WHOLE_WITHIN,
            Some(begun) => begun + WHOLE_WITHIN,
            None => stream.rested() + IDLE_TIMEOUT,
        };
        Some((due, End::Overdue))
    };
    let mut alarm = std::pin::pin!(sleep(Duration::ZERO));
    // What is waited for changes with the parser's turns, and each is one of this task's.
    poll_fn(|context| {
        let Some((at, end)) = due() else { return std::task::Poll::Pending };
        if alarm.deadline() != at {
            alarm.as_mut().reset(at);
        }
        alarm.as_mut().poll(context).map(|()| end)
    })
    .await
}

/// Resolves while slots are scarce for a connection that is still without its first request: others wait for
/// its slot, and their time runs.
async fn shed(course: &Course, scarcity: impl Fn() -> bool) {
    loop {
        sleep(FIRST_TIMEOUT).await;
        if course.asked.get() {
            std::future::pending().await
        }
        if scarcity() {
            return;
        }
    }
}

/// Closes so that whatever was written arrives. While slots are scarce nobody is waited for.
async fn linger<Stream: AsyncRead + AsyncWrite + Unpin>(
    mut stream: ClientStream<Stream>,
    scarcity: impl Fn() -> bool,
) {
    let closing = async {
        if stream.shutdown().await.is_ok() && !scarcity() {
            stream.discard(LINGER_MOST).await;
        }
    };
    let _ = timeout(LINGER, closing).await;
}
