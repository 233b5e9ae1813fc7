use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::rt::{Read, ReadBufCursor, Write};

/// A stream whose writes fail when the other side takes nothing for a time.
pub struct StallLimit<S> {
    inner: S,
    limit: Duration,
    timer: Option<LocalBoxFuture<'static, ()>>,
}

impl<S> StallLimit<S> {
    /// Bounds the time of each write.
    pub fn new(inner: S, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            timer: None,
        }
    }

    fn watch<T>(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if outcome.is_ready() {
            self.timer = None;
            return outcome;
        }
        let limit = self.limit;
        let timer = self
            .timer
            .get_or_insert_with(|| compio::time::sleep(limit).boxed_local());
        timer
            .poll_unpin(cx)
            .map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: Read + Unpin> Read for StallLimit<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for StallLimit<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch(cx, outcome)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let outcome = Pin::new(&mut self.inner).poll_flush(cx);
        self.watch(cx, outcome)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let outcome = Pin::new(&mut self.inner).poll_shutdown(cx);
        self.watch(cx, outcome)
    }
}
