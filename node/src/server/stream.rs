//! A client's socket, which can be read ahead of the HTTP parser: a parser that holds bytes of a next request reads no
//! further, and would not see that its client has gone. Knows nothing of HTTP, and decides nothing.

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Read ahead at most. A peer that sends more behind an open request is no longer watched: clients send one request at
/// a time, and so many bytes on every connection that a node may hold fit into half of the smallest memory.
const MOST_AHEAD: usize = 32 * 1024;
const CHUNK: usize = 4 * 1024;

struct Inner<Stream> {
    stream: Stream,
    /// Read from the socket, and not yet by the parser.
    ahead: BytesMut,
    /// The peer has ended its side, or the connection broke.
    ended: bool,
    /// When the first byte came since the last answer had gone out.
    begun: Option<Instant>,
    /// An answer is ready that has not gone out whole.
    unsent: bool,
    /// When the last answer had gone out, at first when the connection came.
    rested: Instant,
}

impl<Stream> Inner<Stream> {
    fn put(&mut self, bytes: &[u8]) {
        self.ahead.extend_from_slice(bytes);
        self.begun.get_or_insert_with(Instant::now);
    }
}

impl<Stream: AsyncRead + Unpin> Inner<Stream> {
    /// Reads what is there. Whether anything came.
    fn fill(&mut self, context: &mut Context<'_>) -> bool {
        let before = self.ahead.len();
        while !self.ended && self.ahead.len() < MOST_AHEAD {
            let mut chunk = [0; CHUNK];
            let mut buffer = ReadBuf::new(&mut chunk);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Pending => break,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => self.put(buffer.filled()),
                // Whoever has reset its connection has gone as well.
                Poll::Ready(_) => self.ended = true,
            }
        }
        self.ahead.len() > before
    }
}

/// One handle on the socket is the parser's, the other whoever's that watches over the connection. Both are polled by
/// one task.
pub struct ClientStream<Stream>(Rc<RefCell<Inner<Stream>>>);

impl<Stream> Clone for ClientStream<Stream> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<Stream> ClientStream<Stream> {
    /// A stream that has just come.
    pub fn new(stream: Stream) -> Self {
        let (ahead, rested) = (BytesMut::new(), Instant::now());
        Self(Rc::new(RefCell::new(Inner { stream, ahead, ended: false, begun: None, unsent: false, rested })))
    }

    /// Notes that an answer is ready.
    pub fn answered(&self) {
        let mut inner = self.0.borrow_mut();
        (inner.unsent, inner.rested) = (true, Instant::now());
    }

    /// Whether an answer has yet to go out.
    pub fn is_unsent(&self) -> bool {
        self.0.borrow().unsent
    }

    /// When the first byte of the next request came, or of what may become one.
    pub fn begun(&self) -> Option<Instant> {
        self.0.borrow().begun
    }

    /// When the last answer was ready or had gone out; when the connection came, if there was none.
    pub fn rested(&self) -> Instant {
        self.0.borrow().rested
    }

    /// Puts back what a parser had read and not used.
    pub fn put_back(&self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        let mut inner = self.0.borrow_mut();
        let behind = std::mem::take(&mut inner.ahead);
        inner.put(&bytes);
        inner.ahead.extend_from_slice(&behind);
    }
}

impl<Stream: AsyncRead + Unpin> ClientStream<Stream> {
    /// Whether anything has come that is not read yet, by a look at the socket.
    pub async fn has_more(&self) -> bool {
        poll_fn(|context| {
            let mut inner = self.0.borrow_mut();
            inner.fill(context);
            Poll::Ready(!inner.ahead.is_empty())
        })
        .await
    }

    /// Resolves once the peer has gone, as long as `watched` says that it matters. The task's every turn has to poll it.
    pub fn poll_gone(&self, context: &mut Context<'_>, watched: bool) -> Poll<()> {
        if !watched {
            return Poll::Pending;
        }
        let mut inner = self.0.borrow_mut();
        if inner.fill(context) {
            // The parser may be waiting for just that.
            context.waker().wake_by_ref();
        }
        if inner.ended { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Reads and throws away, up to the peer's end or so many bytes.
    pub async fn discard(&self, most: usize) {
        let mut left = most;
        poll_fn(|context| {
            loop {
                let mut inner = self.0.borrow_mut();
                let came = inner.fill(context);
                left = left.saturating_sub(inner.ahead.len());
                inner.ahead.clear();
                if inner.ended || left == 0 {
                    return Poll::Ready(());
                }
                if !came {
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
        if inner.ahead.is_empty() && !inner.ended {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut inner.stream).poll_read(context, buffer))?;
            match buffer.filled().len() > before {
                true => _ = inner.begun.get_or_insert_with(Instant::now),
                false => inner.ended = true,
            }
            return Poll::Ready(Ok(()));
        }
        let count = inner.ahead.len().min(buffer.remaining());
        buffer.put_slice(&inner.ahead[..count]);
        inner.ahead.advance(count);
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
        // The parser flushes once all that it had to write is written.
        if std::mem::take(&mut inner.unsent) {
            inner.rested = Instant::now();
            inner.begun = (!inner.ahead.is_empty()).then(Instant::now);
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
