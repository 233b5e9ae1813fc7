use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);
static FLUSHES: AtomicU64 = AtomicU64::new(0);
static READS: AtomicU64 = AtomicU64::new(0);

/// Bytes that this process exchanged with other instances and operators since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes written to sockets.
    pub sent: u64,
    /// Bytes read from sockets.
    pub received: u64,
    /// Times that written bytes were handed to a socket; each is at least one packet.
    pub flushes: u64,
    /// Times that bytes were read from a socket.
    pub reads: u64,
}

/// Reads the counters of control traffic.
#[must_use]
pub fn traffic() -> Traffic {
    Traffic {
        sent: SENT.load(Ordering::Relaxed),
        received: RECEIVED.load(Ordering::Relaxed),
        flushes: FLUSHES.load(Ordering::Relaxed),
        reads: READS.load(Ordering::Relaxed),
    }
}

/// A stream whose bytes count as control traffic.
#[derive(Debug)]
pub struct Counted<S> {
    stream: S,
    unflushed: bool,
}

impl<S> Counted<S> {
    /// Counts the bytes of a stream from now on.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            unflushed: false,
        }
    }
}

impl<S: Read + Unpin> Read for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.remaining();
        // A cursor does not tell how much was read into it, so a buffer of our own stands between.
        let mut chunk = [0_u8; 8192];
        let room = before.min(chunk.len());
        let mut part = hyper::rt::ReadBuf::new(&mut chunk[..room]);
        let outcome = Pin::new(&mut self.stream).poll_read(cx, part.unfilled());
        if let Poll::Ready(Ok(())) = outcome {
            buf.put_slice(part.filled());
            RECEIVED.fetch_add(part.filled().len() as u64, Ordering::Relaxed);
            READS.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }
}

impl<S: Write + Unpin> Write for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = outcome {
            SENT.fetch_add(count as u64, Ordering::Relaxed);
            self.unflushed = true;
        }
        outcome
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let outcome = Pin::new(&mut self.stream).poll_flush(cx);
        if outcome.is_ready() && std::mem::take(&mut self.unflushed) {
            FLUSHES.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
