//! Reads into a parser's buffer in bounded pieces. The parser doubles the size of its next read, up to many times its first
//! block, whenever a read fills it; pieces that are smaller keep its buffer at the first block.

use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of the first block of the HTTP parser.
pub const PARSER_BLOCK_BYTES: usize = 8 * 1024;
/// Largest piece that is read at once.
const MAX_PIECE_BYTES: usize = PARSER_BLOCK_BYTES - 1024;

/// Reads at most one piece into `buffer`. Returns the number of bytes read.
pub fn poll_read_piece<Stream: AsyncRead + Unpin>(
    stream: &mut Stream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<std::io::Result<usize>> {
    let mut piece = [MaybeUninit::uninit(); MAX_PIECE_BYTES];
    let size = buffer.remaining().min(MAX_PIECE_BYTES);
    let mut piece = ReadBuf::uninit(&mut piece[..size]);
    ready!(Pin::new(stream).poll_read(context, &mut piece))?;
    buffer.put_slice(piece.filled());
    Poll::Ready(Ok(piece.filled().len()))
}

/// The bytes that may be put into `buffer` at once.
pub fn piece_size(buffer: &ReadBuf<'_>) -> usize {
    buffer.remaining().min(MAX_PIECE_BYTES)
}

/// A stream that is read in pieces.
pub struct LimitedReads<Stream>(pub Stream);

impl<Stream: AsyncRead + Unpin> AsyncRead for LimitedReads<Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        poll_read_piece(&mut self.0, context, buffer).map_ok(|_| ())
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for LimitedReads<Stream> {
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
