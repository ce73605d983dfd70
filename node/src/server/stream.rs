//! A client's socket with a read-ahead buffer. The HTTP parser stops reading while it holds bytes of a next request, so
//! the close of a connection by its client is only seen by reading ahead.

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Size limit of the read-ahead buffer. While the buffer is full, a close by the peer is not noticed. Bounds the memory
/// that a node needs with every connection slot in use.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
const READ_CHUNK_BYTES: usize = 4 * 1024;

struct Inner<Stream> {
    stream: Stream,
    /// Bytes read from the socket that the parser has not read yet.
    read_ahead: BytesMut,
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
    fn append(&mut self, bytes: &[u8]) {
        self.read_ahead.extend_from_slice(bytes);
        self.request_started_at.get_or_insert_with(Instant::now);
    }
}

impl<Stream: AsyncRead + Unpin> Inner<Stream> {
    /// Reads what the socket has, without waiting. Returns whether any bytes were read.
    fn fill_read_ahead(&mut self, context: &mut Context<'_>) -> bool {
        let before = self.read_ahead.len();
        while !self.read_closed && self.read_ahead.len() < MAX_READ_AHEAD_BYTES {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let mut buffer = ReadBuf::new(&mut chunk);
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
    pub fn new(stream: Stream) -> Self {
        let (read_ahead, last_response_at) = (BytesMut::new(), Instant::now());
        Self(Rc::new(RefCell::new(Inner {
            stream,
            read_ahead,
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
    }

    /// Whether a response is ready that has not been sent in full.
    pub fn has_unsent_response(&self) -> bool {
        self.0.borrow().response_unsent
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
        let following = std::mem::take(&mut inner.read_ahead);
        inner.append(&bytes);
        inner.read_ahead.extend_from_slice(&following);
    }
}

impl<Stream: AsyncRead + Unpin> ClientStream<Stream> {
    /// Whether unread bytes are in the buffer or on the socket.
    pub async fn has_unread_input(&self) -> bool {
        poll_fn(|context| {
            let mut inner = self.0.borrow_mut();
            inner.fill_read_ahead(context);
            Poll::Ready(!inner.read_ahead.is_empty())
        })
        .await
    }

    /// Ready once the peer has closed the connection; always pending unless `enabled`. Must be polled whenever the task
    /// is polled.
    pub fn poll_peer_closed(&self, context: &mut Context<'_>, enabled: bool) -> Poll<()> {
        if !enabled {
            return Poll::Pending;
        }
        let mut inner = self.0.borrow_mut();
        if inner.fill_read_ahead(context) {
            // The parser may be waiting for these bytes.
            context.waker().wake_by_ref();
        }
        if inner.read_closed { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Reads and discards input until the peer closes its side or `max_bytes` were read.
    pub async fn discard(&self, max_bytes: usize) {
        let mut remaining_bytes = max_bytes;
        poll_fn(|context| {
            loop {
                let mut inner = self.0.borrow_mut();
                let read_any = inner.fill_read_ahead(context);
                remaining_bytes = remaining_bytes.saturating_sub(inner.read_ahead.len());
                inner.read_ahead.clear();
                if inner.read_closed || remaining_bytes == 0 {
                    return Poll::Ready(());
                }
                if !read_any {
                    return Poll::Pending;
                }
            }
        })
        .await;
    }
}

impl<Stream: AsyncRead + Unpin> AsyncRead for ClientStream<Stream> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut inner = self.0.borrow_mut();
        if inner.read_ahead.is_empty() && !inner.read_closed {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut inner.stream).poll_read(context, buffer))?;
            match buffer.filled().len() > before {
                true => _ = inner.request_started_at.get_or_insert_with(Instant::now),
                false => inner.read_closed = true,
            }
            return Poll::Ready(Ok(()));
        }
        let count = inner.read_ahead.len().min(buffer.remaining());
        buffer.put_slice(&inner.read_ahead[..count]);
        inner.read_ahead.advance(count);
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
