use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};

/// Most bytes that are read before a response's head is complete, informational responses included.
///
/// The HTTP library limits a single head, but reads informational responses without end and without a pause.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Bytes that are read at once.
const CHUNK_BYTES: usize = 8 << 10;

/// Bytes that may still be read before the head of a response is complete; unset while none is expected.
#[derive(Debug, Clone, Default)]
pub struct HeadBudget(Rc<Cell<Option<usize>>>);

impl HeadBudget {
    /// Limits the bytes until the next head.
    pub fn start(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Removes the limit, as the head has arrived.
    pub fn finish(&self) {
        self.0.set(None);
    }
}

/// A stream that fails when the head of a response does not end.
pub struct BoundedHead<S> {
    io: S,
    budget: HeadBudget,
}

impl<S> BoundedHead<S> {
    /// Wraps a stream.
    pub fn new(io: S, budget: HeadBudget) -> Self {
        Self { io, budget }
    }
}

impl<S: AsyncRead + Unpin> Read for BoundedHead<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.budget.0.get();
        if left == Some(0) {
            let message = "the head of the response does not end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let mut chunk = [0; CHUNK_BYTES];
        let allowed = left.unwrap_or(CHUNK_BYTES).min(CHUNK_BYTES);
        let length = allowed.min(buffer.remaining());
        let reading = Pin::new(&mut self.io).poll_read(cx, &mut chunk[..length]);
        let count = ready!(reading)?;
        buffer.put_slice(&chunk[..count]);
        self.budget.0.set(left.map(|left| left - count));
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for BoundedHead<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write(Pin::new(&mut self.io), cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.io), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.io), cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write_vectored(Pin::new(&mut self.io), cx, slices)
    }
}
