//! One client's connection: the HTTP parser on it, and when it is closed.

use std::cell::Cell;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

use super::Phase;
use super::call::answer;
use crate::driver::Node;

/// A head has this long to arrive, and a connection this long to stand idle: each holds one of few slots, and
/// a peer that has nothing to ask keeps clients out for as long. Clients may be closed on after 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// While slots are scarce a connection has only this long for its first request, which a client sends at once.
const FIRST_TIMEOUT: Duration = Duration::from_millis(250);
/// A client that has not taken its answer by then, nor asked again, does not read: past any client's time.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The first request of a connection is whole this long after the accept, and each later one after its head:
/// a peer is owed an error or a close within 3 s of its connect.
const WHOLE_WITHIN: Duration = Duration::from_millis(2600);
const MAX_HEAD: usize = 32 * 1024;
/// What is known of a connection from outside its parser.
#[derive(Default)]
struct Course {
    /// When it came; none once a request has.
    accepted: Cell<Option<Instant>>,
    /// Whether something has come since the last answer was ready, be it half a head.
    begun: Cell<bool>,
    /// When the last answer was ready; none while one is awaited.
    answered: Cell<Option<Instant>>,
}

/// Notes what comes in.
struct Heard<'a, Stream>(Stream, &'a Course);

impl<Stream: AsyncRead + Unpin> AsyncRead for Heard<'_, Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.0).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.1.begun.set(true);
        }
        read
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for Heard<'_, Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

/// Serves a connection up to its end.
pub async fn converse(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    node: Node,
    mut phase: watch::Receiver<Phase>,
    scarcity: impl Fn() -> bool,
) -> Result<(), hyper::Error> {
    let came = Instant::now();
    let course = Course { accepted: Cell::new(Some(came)), ..Course::default() };
    let late = *phase.borrow() != Phase::Serving;
    let answers = phase.clone();
    let service = service_fn(async |request| {
        let whole_by = course.accepted.take().unwrap_or_else(Instant::now) + WHOLE_WITHIN;
        course.answered.set(None);
        let response = answer(&node, request, whole_by, &answers).await;
        course.answered.set(Some(Instant::now()));
        course.begun.set(false);
        response
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(Heard(stream, &course)), service)
    );
    let idle = async {
        let _ = phase.wait_for(Phase::is_closing).await;
        // One that came during the way out was opened for a request, which is on its way.
        if late {
            sleep_until(came + FIRST_TIMEOUT).await;
        }
        // What came in with this very turn is read first.
        yield_now().await;
    };
    let talk = async {
        tokio::select! {
            biased;
            result = &mut connection => return result,
            () = idle => {}
        }
        // A request that has begun to come is taken; its answer ends the connection.
        if !course.begun.get() {
            connection.as_mut().graceful_shutdown();
        }
        connection.await
    };
    tokio::select! {
        biased;
        result = talk => result,
        () = left_unread(&course.answered) => Ok(()),
        () = crowded_out(&course.accepted, scarcity) => Ok(()),
    }
}

/// Resolves while slots are scarce for a connection that is still without its first request: others wait for
/// its slot, and their time runs.
async fn crowded_out(accepted: &Cell<Option<Instant>>, scarcity: impl Fn() -> bool) {
    loop {
        sleep(FIRST_TIMEOUT).await;
        if accepted.get().is_none() {
            std::future::pending().await
        }
        if scarcity() {
            return;
        }
    }
}

/// Resolves once an answer has been there for too long with no request after it. A connection that has sent its
/// answer is closed as idle before that, so this one's peer does not read.
async fn left_unread(answered: &Cell<Option<Instant>>) {
    loop {
        let end = answered.get().unwrap_or_else(Instant::now) + UNREAD_TIMEOUT;
        if end <= Instant::now() {
            return;
        }
        sleep_until(end).await;
    }
}
