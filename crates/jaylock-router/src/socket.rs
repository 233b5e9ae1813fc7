//! TCP sockets whose creation and shutdown need no thread.
//!
//! The runtime hands both to a thread pool, although neither blocks. On a machine with a fraction of a core, two more
//! threads to wake for each connection cost more than the calls.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use compio::net::{TcpSocket, TcpStream};
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

/// Most bytes that are written at once.
///
/// The runtime copies what it is given to write, so that a whole body would be held twice while it is sent.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// Opens a connection.
///
/// # Errors
/// The socket can't be created, or the peer does not accept the connection.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    TcpSocket::from_std_stream(socket.into())?
        .connect(address)
        .await
}

/// Lets a caller's connection end with a reset, which tells the caller that its response is not complete.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(target: "router", "a caller's connection can't be reset: {error}");
    }
}

/// A connection as the HTTP library reads and writes it.
pub struct SocketStream {
    io: HyperStream<TcpStream>,
    socket: TcpStream,
}

impl SocketStream {
    /// Wraps a connection.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            io: HyperStream::new_plain(socket.clone()),
            socket,
        }
    }
}

impl Read for SocketStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Read::poll_read(Pin::new(&mut self.io), cx, buffer)
    }
}

impl AsyncRead for SocketStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        AsyncRead::poll_read(Pin::new(&mut self.io), cx, buffer)
    }
}

impl Write for SocketStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
        Write::poll_write(Pin::new(&mut self.io), cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.io), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Write::poll_flush(Pin::new(&mut self.io), cx))?;
        Poll::Ready(SockRef::from(&self.socket).shutdown(Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    /// Writes the first slice, as the runtime collects what is written until it is flushed.
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = slices.iter().find(|slice| !slice.is_empty());
        self.poll_write(cx, first.map_or(&[], |slice| slice))
    }
}
