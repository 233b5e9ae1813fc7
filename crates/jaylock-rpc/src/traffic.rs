use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);
static FLUSHES: AtomicU64 = AtomicU64::new(0);
static READS: AtomicU64 = AtomicU64::new(0);

/// Traffic of this process with other instances and operators since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Number of bytes written to sockets.
    pub sent: u64,
    /// Number of bytes read from sockets.
    pub received: u64,
    /// Number of flushes of written bytes to a socket; each sends at least one packet.
    pub flushes: u64,
    /// Number of reads from a socket.
    pub reads: u64,
}

/// Returns the counters of control traffic.
#[must_use]
pub fn traffic() -> Traffic {
    Traffic {
        sent: SENT.load(Ordering::Relaxed),
        received: RECEIVED.load(Ordering::Relaxed),
        flushes: FLUSHES.load(Ordering::Relaxed),
        reads: READS.load(Ordering::Relaxed),
    }
}

/// A stream whose bytes are counted as control traffic.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    has_unflushed: bool,
}

impl<S> CountedStream<S> {
    /// Wraps a stream and counts its bytes from now on.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            has_unflushed: false,
        }
    }
}

impl<S: Read + Unpin> Read for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining = buf.remaining();
        // `ReadBufCursor` does not expose how many bytes were read, so an intermediate buffer is used.
        let mut chunk = [0_u8; 8192];
        let len = remaining.min(chunk.len());
        let mut part = hyper::rt::ReadBuf::new(&mut chunk[..len]);
        let outcome = Pin::new(&mut self.stream).poll_read(cx, part.unfilled());
        if let Poll::Ready(Ok(())) = outcome {
            buf.put_slice(part.filled());
            RECEIVED.fetch_add(part.filled().len() as u64, Ordering::Relaxed);
            READS.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }
}

impl<S: Write + Unpin> Write for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = outcome {
            SENT.fetch_add(count as u64, Ordering::Relaxed);
            self.has_unflushed = true;
        }
        outcome
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let outcome = Pin::new(&mut self.stream).poll_flush(cx);
        if outcome.is_ready() && std::mem::take(&mut self.has_unflushed) {
            FLUSHES.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
