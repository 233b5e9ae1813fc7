use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

static SENT: AtomicU64 = AtomicU64::new(0);
static WRITES: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Bytes that this process exchanged with other instances and operators since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes written to sockets.
    pub sent: u64,
    /// Bytes read from sockets.
    pub received: u64,
    /// Writes to sockets, each of which takes at least one packet.
    pub writes: u64,
}

/// Reads the counters of control traffic.
#[must_use]
pub fn traffic() -> Traffic {
    Traffic {
        sent: SENT.load(Ordering::Relaxed),
        received: RECEIVED.load(Ordering::Relaxed),
        writes: WRITES.load(Ordering::Relaxed),
    }
}

/// A stream whose bytes count as control traffic.
#[derive(Debug)]
pub struct Counted<S>(pub S);

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
        let outcome = Pin::new(&mut self.0).poll_read(cx, part.unfilled());
        if let Poll::Ready(Ok(())) = outcome {
            buf.put_slice(part.filled());
            RECEIVED.fetch_add(part.filled().len() as u64, Ordering::Relaxed);
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
        let outcome = Pin::new(&mut self.0).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = outcome {
            SENT.fetch_add(count as u64, Ordering::Relaxed);
            WRITES.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
