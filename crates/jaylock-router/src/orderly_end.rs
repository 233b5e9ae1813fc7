use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use futures_util::AsyncRead;
use hyper::rt::Write;

/// A stream that ends only where its peer closed the connection in an orderly way.
///
/// Linux reports a reset once, to whichever of a read and a write asks first. After a write has met it, reads return what has
/// arrived, and then an end as after an orderly close. The HTTP library takes that for the end of a response without a length,
/// and, if it hears of the failed write first, drops a response that has arrived completely. So a failed write is recorded
/// here, and reported by the read that would return the end; what is written after it is dropped.
pub struct OrderlyEnd<S> {
    io: S,
    failure: WriteFailure,
}

impl<S: Write + Unpin> OrderlyEnd<S> {
    /// Wraps a stream; `failure` is set when a write fails.
    pub fn new(io: S, failure: WriteFailure) -> Self {
        Self { io, failure }
    }

    /// Records the failure of a write and returns `instead`, as if the write had succeeded.
    fn recorded<T>(&self, outcome: io::Result<T>, instead: T) -> T {
        outcome.unwrap_or_else(|error| {
            self.failure.record(&error);
            instead
        })
    }

    /// Lets the write in progress, which may have met the reset, record it.
    fn settle_write(&mut self, cx: &mut Context<'_>) {
        let flushing = Pin::new(&mut self.io).poll_flush(cx);
        if let Poll::Ready(outcome) = flushing {
            self.recorded(outcome, ());
        }
    }
}

impl<S: AsyncRead + Write + Unpin> AsyncRead for OrderlyEnd<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.io).poll_read(cx, buffer))?;
        if count == 0 && !buffer.is_empty() {
            self.settle_write(cx);
            self.failure.check_end()?;
        }
        Poll::Ready(Ok(count))
    }
}

impl<S: Write + Unpin> Write for OrderlyEnd<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.failure.is_set() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let outcome = ready!(Pin::new(&mut self.io).poll_write(cx, bytes));
        Poll::Ready(Ok(self.recorded(outcome, bytes.len())))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.failure.is_set() {
            let outcome = ready!(Pin::new(&mut self.io).poll_flush(cx));
            self.recorded(outcome, ());
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.failure.is_set() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = slices.iter().map(|slice| slice.len()).sum();
        if self.failure.is_set() {
            return Poll::Ready(Ok(length));
        }
        let outcome = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, slices));
        Poll::Ready(Ok(self.recorded(outcome, length)))
    }
}

/// Why a request could not be written completely; unset while it can.
#[derive(Debug, Clone, Default)]
pub struct WriteFailure(Rc<Cell<Option<io::ErrorKind>>>);

impl WriteFailure {
    /// Whether a write failed, after which the connection carries no further request.
    pub fn is_set(&self) -> bool {
        self.0.get().is_some()
    }

    /// Records a failure, of which only the first one tells how the connection ended.
    fn record(&self, error: &io::Error) {
        let first = self.0.get().unwrap_or(error.kind());
        self.0.set(Some(first));
    }

    /// Checks at the end of the bytes that the peer ended them.
    fn check_end(&self) -> io::Result<()> {
        match self.0.get() {
            Some(kind) if !is_orderly(kind) => Err(io::Error::new(
                kind,
                "the connection broke while the request was sent",
            )),
            _ => Ok(()),
        }
    }
}

/// Whether the peer closed its connection in an orderly way before a write to it failed for the first time.
///
/// Linux reports a reset that follows such a close as a broken pipe; all that the peer sent has arrived then.
pub fn is_orderly(failure: io::ErrorKind) -> bool {
    failure == io::ErrorKind::BrokenPipe
}
