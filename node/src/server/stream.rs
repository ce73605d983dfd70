//! A client's socket with a read-ahead buffer. The HTTP parser stops reading while it holds bytes of a next request, so
//! the close of a connection by its client is only seen by reading ahead. Once the buffer has no room left, only what the
//! system reports about the socket shows a close.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

use crate::driver::HiddenClose;
use crate::limited_read::{piece_size, poll_read_piece};
use crate::memory::{Account, Permit, Stage};

use super::head_memory::HeadMemory;
use super::read_ahead::{ReadAhead, ReadAheadReserve};

const READ_CHUNK_BYTES: usize = 16 * 1024;
/// How often the system is asked whether the peer has closed, while the read-ahead buffer has no room.
pub const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Input behind a request has settled once none has arrived for this long, about a round trip to a client.
const MAX_INPUT_GAP: Duration = Duration::from_millis(5);
/// How long a request waits at most for the input behind it to settle.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(50);

/// A client's socket.
pub trait ClientSocket: AsyncRead + AsyncWrite + Unpin {
    /// Whether the system has reported that the peer closed its side or reset the connection, even if input before that
    /// is still unread.
    fn close_reported(&self) -> bool;

    /// Whether the socket has input that was not read.
    fn has_unread_input(&self, context: &mut Context<'_>) -> bool;
}

impl ClientSocket for TcpStream {
    fn close_reported(&self) -> bool {
        // Does not wait: a socket that is not ready has not been closed by the peer.
        let mut readiness = pin!(self.ready(Interest::READABLE));
        match readiness.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) | Poll::Pending => false,
        }
    }

    fn has_unread_input(&self, context: &mut Context<'_>) -> bool {
        let mut byte = [0; 1];
        matches!(self.poll_peek(context, &mut ReadBuf::new(&mut byte)), Poll::Ready(Ok(1..)))
    }
}

/// How far to read ahead of the parser.
#[derive(Clone, Copy)]
enum ReadAheadLimit {
    /// Up to the connection's own allowance.
    Allowance,
    /// Beyond the allowance, for as long as the shared reserve lasts.
    Reserve,
}

struct Inner<Stream> {
    stream: Stream,
    account: Account,
    /// Bytes read from the socket that the parser has not read yet.
    read_ahead: ReadAhead,
    head: HeadMemory,
    hidden_close: HiddenClose,
    /// Bytes read from the socket so far.
    received_bytes: u64,
    /// The peer has closed its side, or the connection failed.
    read_closed: bool,
    /// When the first byte arrived after the last response was sent.
    request_started_at: Option<Instant>,
    /// A response is ready that has not been sent in full.
    response_unsent: bool,
    /// When the last response became ready or was sent; before the first one, when the connection was accepted.
    last_response_at: Instant,
}

impl<Stream> Inner<Stream> {
    /// Stores input that was read ahead.
    fn append(&mut self, bytes: &[u8]) {
        self.read_ahead.append(bytes);
        self.count_received(bytes.len());
    }

    fn count_received(&mut self, bytes: usize) {
        self.received_bytes += bytes as u64;
        self.request_started_at.get_or_insert_with(Instant::now);
    }

    /// Bytes that may be read ahead now.
    fn room(&self, limit: ReadAheadLimit) -> usize {
        match limit {
            ReadAheadLimit::Allowance => self.read_ahead.room_in_allowance(),
            ReadAheadLimit::Reserve => self.read_ahead.room(),
        }
    }

    fn is_read_ahead_full(&self) -> bool {
        self.read_ahead.is_full()
    }
}

impl<Stream: AsyncRead + Unpin> Inner<Stream> {
    /// Reads what the socket has, without waiting. Returns whether any bytes were read.
    fn fill_read_ahead(&mut self, context: &mut Context<'_>, limit: ReadAheadLimit) -> bool {
        let before = self.read_ahead.len();
        let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
        while !self.read_closed {
            let size = READ_CHUNK_BYTES.min(self.room(limit));
            if size == 0 {
                break;
            }
            let mut buffer = ReadBuf::uninit(&mut chunk[..size]);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Pending => break,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => self.append(buffer.filled()),
                // A read error, such as a reset, counts as a close.
                Poll::Ready(_) => self.read_closed = true,
            }
        }
        self.read_ahead.len() > before
    }
}

/// A shared handle on a client's socket: the HTTP parser holds one, the connection's supervisor another. One task polls
/// both.
pub struct ClientStream<Stream>(Rc<RefCell<Inner<Stream>>>);

impl<Stream> Clone for ClientStream<Stream> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<Stream> ClientStream<Stream> {
    /// Wraps the stream of a connection that was just accepted.
    pub fn new(stream: Stream, reserve: ReadAheadReserve, account: &Account) -> Self {
        let (read_ahead, last_response_at) = (ReadAhead::new(reserve, account), Instant::now());
        Self(Rc::new(RefCell::new(Inner {
            stream,
            read_ahead,
            head: HeadMemory::new(account),
            hidden_close: HiddenClose::default(),
            account: account.clone(),
            received_bytes: 0,
            read_closed: false,
            request_started_at: None,
            response_unsent: false,
            last_response_at,
        })))
    }

    /// Records that a response is ready to be sent.
    pub fn mark_response_ready(&self) {
        let mut inner = self.0.borrow_mut();
        (inner.response_unsent, inner.last_response_at) = (true, Instant::now());
        inner.head.next_head();
        inner.account.set_stage(Stage::Responding);
    }

    /// Whether a close by the peer could go unnoticed, as of the last [`Self::poll_peer_closed`].
    pub fn hidden_close(&self) -> HiddenClose {
        self.0.borrow().hidden_close.clone()
    }

    /// Records that the parser has received the head of a request.
    pub fn mark_head_received(&self) {
        self.0.borrow_mut().head.head_received();
    }

    /// How long the parser has waited for memory for the head.
    pub fn take_head_wait(&self) -> Duration {
        self.0.borrow_mut().head.take_wait()
    }

    /// Bytes of memory that the parser lacks to read on.
    pub fn missing_head_memory(&self) -> Option<usize> {
        self.0.borrow().head.missing_bytes()
    }

    /// Provides the memory that was missing. The parser has to be polled again.
    pub fn grant_head_memory(&self, permit: Permit) {
        self.0.borrow_mut().head.grant(permit);
    }

    /// Whether a response is ready that has not been sent in full.
    pub fn has_unsent_response(&self) -> bool {
        self.0.borrow().response_unsent
    }

    /// Waits until no more input arrives behind a request, so that a close that the peer has already made is noticed. The
    /// connection is supervised meanwhile: what arrives is read ahead, and the peer's system sends the rest, up to the end
    /// of the stream.
    pub async fn input_settled(&self) {
        let give_up_at = Instant::now() + MAX_SETTLE_TIME;
        let mut received_bytes = self.received_bytes();
        yield_now().await;
        while self.received_bytes() != received_bytes && Instant::now() < give_up_at {
            received_bytes = self.received_bytes();
            sleep(MAX_INPUT_GAP).await;
        }
        if self.is_read_ahead_full() {
            // A close may be reported once the last response has reached the peer.
            sleep(MAX_INPUT_GAP).await;
        }
    }

    /// Whether a close by the peer cannot be seen by reading, as the read-ahead buffer has no room.
    pub fn is_read_ahead_full(&self) -> bool {
        self.0.borrow().is_read_ahead_full()
    }

    fn received_bytes(&self) -> u64 {
        self.0.borrow().received_bytes
    }

    /// When the first byte of the next request arrived, if any has.
    pub fn request_started_at(&self) -> Option<Instant> {
        self.0.borrow().request_started_at
    }

    /// When the last response became ready or was sent; before the first one, when the connection was accepted.
    pub fn last_response_at(&self) -> Instant {
        self.0.borrow().last_response_at
    }

    /// Puts back bytes that a parser has read but not consumed.
    pub fn put_back(&self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        let mut inner = self.0.borrow_mut();
        inner.read_ahead.prepend(bytes);
        inner.request_started_at.get_or_insert_with(Instant::now);
    }
}

impl<Stream: AsyncRead + Unpin> ClientStream<Stream> {
    /// Whether unread bytes are in the buffer or on the socket.
    pub async fn has_unread_input(&self) -> bool {
        poll_fn(|context| {
            let mut inner = self.0.borrow_mut();
            inner.fill_read_ahead(context, ReadAheadLimit::Allowance);
            Poll::Ready(!inner.read_ahead.is_empty())
        })
        .await
    }

    /// Discards what was read ahead, then reads and discards input until the peer closes its side or `max_bytes` were
    /// read.
    pub async fn discard(&self, max_bytes: usize) {
        self.0.borrow_mut().read_ahead.clear();
        let mut remaining_bytes = max_bytes;
        poll_fn(|context| {
            let mut inner = self.0.borrow_mut();
            let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
            while !inner.read_closed && remaining_bytes > 0 {
                let mut buffer = ReadBuf::uninit(&mut chunk);
                match ready!(Pin::new(&mut inner.stream).poll_read(context, &mut buffer)) {
                    Ok(()) if !buffer.filled().is_empty() => {
                        remaining_bytes = remaining_bytes.saturating_sub(buffer.filled().len());
                    }
                    _ => inner.read_closed = true,
                }
            }
            Poll::Ready(())
        })
        .await;
    }
}

impl<Stream: ClientSocket> ClientStream<Stream> {
    /// Ready once the peer has closed the connection. Must be polled whenever the task is polled, and every
    /// `CLOSE_CHECK_INTERVAL` while [`Self::is_read_ahead_full`].
    pub fn poll_peer_closed(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.0.borrow_mut();
        if inner.fill_read_ahead(context, ReadAheadLimit::Reserve) {
            // The parser may be waiting for these bytes.
            context.waker().wake_by_ref();
        }
        let full = inner.is_read_ahead_full();
        let closed = inner.read_closed || (full && inner.stream.close_reported());
        inner.hidden_close.set_possible(full && !closed && inner.stream.has_unread_input(context));
        if closed { Poll::Ready(()) } else { Poll::Pending }
    }
}

impl<Stream: AsyncRead + Unpin> AsyncRead for ClientStream<Stream> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut inner = self.0.borrow_mut();
        if !inner.head.admits_read() {
            // Polled again once the connection has got the memory.
            return Poll::Pending;
        }
        if inner.read_ahead.is_empty() && !inner.read_closed {
            match ready!(poll_read_piece(&mut inner.stream, context, buffer))? {
                0 => inner.read_closed = true,
                count => {
                    inner.count_received(count);
                    inner.head.count(count);
                }
            }
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let size = piece_size(buffer);
        inner.read_ahead.read_into(buffer, size);
        inner.head.count(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for ClientStream<Stream> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let mut inner = self.0.borrow_mut();
        ready!(Pin::new(&mut inner.stream).poll_flush(context))?;
        // The parser flushes only after it has written everything.
        if std::mem::take(&mut inner.response_unsent) {
            inner.last_response_at = Instant::now();
            inner.account.set_stage(Stage::Kept);
            inner.request_started_at = (!inner.read_ahead.is_empty()).then(Instant::now);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }
}
