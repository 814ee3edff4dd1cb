//! Limits the bytes that arrive before the head of a response.
//!
//! Load pattern: faulty upstreams that answer with interim responses without end, as fast as their links
//! carry them. The HTTP client skips them, and does nothing else for all other connections of its
//! thread meanwhile.

use std::cell::Cell;
use std::io::{Error, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that arrive before a response counts as begun: interim responses, its head, and the part
/// of its body that comes with them.
const MAX_BYTES_BEFORE_RESPONSE: usize = 256 << 10;

/// Bytes that may still arrive before the response that is awaited; without a limit if there is none.
#[derive(Debug, Clone, Default)]
pub(crate) struct ResponseLimit(Rc<Cell<Option<usize>>>);

impl ResponseLimit {
    /// Begins to wait for a response.
    pub(crate) fn begin(&self) {
        self.0.set(Some(MAX_BYTES_BEFORE_RESPONSE));
    }

    /// Records that the response has begun.
    pub(crate) fn end(&self) {
        self.0.set(None);
    }

    fn consume(&self, bytes: usize) -> Result<()> {
        let Some(left) = self.0.get() else { return Ok(()) };
        let exceeded = || {
            Error::other(format!("{MAX_BYTES_BEFORE_RESPONSE} bytes arrived before the response"))
        };
        self.0.set(Some(left.checked_sub(bytes).ok_or_else(exceeded)?));
        Ok(())
    }
}

/// TCP stream whose reads fail beyond the limit.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: ResponseLimit,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, limit: ResponseLimit) -> LimitedStream {
        LimitedStream { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.limit.consume(buffer.filled().len() - filled_before))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
