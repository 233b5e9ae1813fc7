//! The connection between two routers over which a caller's connection is passed on.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use futures_util::future::{Either, select};
use jaylock_types::Secret;
use sha2::{Digest, Sha256};
use socket2::SockRef;
use thiserror::Error;

use crate::connection::set_write_timeout;
use crate::lifecycle::Lifecycle;
use crate::{orderly_end, socket};

/// First bytes of a connection between routers.
const MAGIC: [u8; 4] = *b"JLR1";
/// Length of the magic and the proof.
const PREAMBLE_BYTES: usize = 36;
/// The answer of a router that takes a connection.
const TAKEN: u8 = 1;
/// The answer of a router that refuses a connection.
const REFUSED: u8 = 0;
/// Time for the preamble or its answer to arrive.
const PREAMBLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that are held in each direction.
const BUFFER_BYTES: usize = 16 << 10;
/// Time for the peer of a connection to acknowledge sent bytes.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(6);

/// Proof that a connection comes from an instance of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayProof([u8; 32]);

impl RelayProof {
    /// Derives the proof from the secret that all instances share.
    #[must_use]
    pub fn new(peer_secret: &Secret) -> Self {
        Self(Sha256::digest(peer_secret.expose()).into())
    }

    fn preamble(&self) -> Vec<u8> {
        [&MAGIC[..], &self.0[..]].concat()
    }
}

/// Why a router did not take a connection.
#[derive(Debug, Error)]
pub enum LinkError {
    /// It has no room for further connections.
    #[error("it takes no connections now")]
    Refused,
    /// It did not answer, or closed the connection.
    #[error("it can't be reached: {0}")]
    Unreachable(#[from] io::Error),
}

/// Opens a connection to a router that takes a caller's connection.
///
/// # Errors
/// The router refuses it, or doesn't answer in time.
pub async fn open(address: SocketAddr, proof: &RelayProof) -> Result<TcpStream, LinkError> {
    let opening = Box::pin(greet(address, proof));
    let (stream, answer) = within_timeout(opening).await?;
    if answer == TAKEN {
        Ok(stream)
    } else {
        Err(LinkError::Refused)
    }
}

async fn greet(address: SocketAddr, proof: &RelayProof) -> io::Result<(TcpStream, u8)> {
    let mut stream = socket::connect(address).await?;
    prepare(&stream)?;
    stream.write_all(proof.preamble()).await.0?;
    let BufResult(read, answer) = stream.read_exact(vec![0; 1]).await;
    read?;
    Ok((stream, answer[0]))
}

/// Reads the preamble of a connection; returns false if it is not from an instance of the fleet.
///
/// # Errors
/// The preamble doesn't arrive in time.
pub async fn read_preamble(stream: &mut TcpStream, proof: &RelayProof) -> io::Result<bool> {
    prepare(stream)?;
    let reading = Box::pin(async {
        let BufResult(read, preamble) = stream.read_exact(vec![0; PREAMBLE_BYTES]).await;
        read.map(|()| preamble)
    });
    Ok(within_timeout(reading).await? == proof.preamble())
}

/// Answers a preamble.
///
/// # Errors
/// The connection is closed.
pub async fn answer(stream: &mut TcpStream, takes: bool) -> io::Result<()> {
    let answer = if takes { TAKEN } else { REFUSED };
    stream.write_all(vec![answer]).await.0
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_write_timeout(stream, ACKNOWLEDGE_TIMEOUT)
}

async fn within_timeout<T>(opening: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let outcome = compio::time::timeout(PREAMBLE_TIMEOUT, opening).await;
    outcome.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// How a connection that was passed on ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The caller closed it, or it broke.
    Caller,
    /// The other router closed it after its response.
    Response,
    /// The connection to the other router broke.
    Peer,
    /// This instance stops.
    Stopped,
}

/// Why bytes are not passed on any more.
#[derive(Debug)]
enum CopyError {
    /// The source broke.
    Read,
    /// The target broke, or takes no more bytes.
    Write(io::Error),
}

/// Passes bytes on in both directions until one side closes its connection or the instance stops.
///
/// A request in progress delays the shutdown. Without a complete response, the caller's connection is reset, so that
/// no response looks complete.
pub async fn forward(caller: TcpStream, peer: TcpStream, lifecycle: &Lifecycle) {
    let has_begun = Cell::new(false);
    let tokens: Cell<Option<[Rc<()>; 2]>> = Cell::default();
    let begin = || {
        if !has_begun.replace(true) {
            let held = [lifecycle.request_token(), lifecycle.connection_token()];
            tokens.set(Some(held));
        }
    };
    let requests = copy(caller.clone(), peer.clone(), begin);
    let responses = copy(peer.clone(), caller.clone(), || ());
    let ended = pin!(wait_for_end(requests, responses));
    let stopped = pin!(wait_for_stop(lifecycle, &has_begun));
    let end = match select(ended, stopped).await {
        Either::Left((end, _)) => end,
        Either::Right(_) => End::Stopped,
    };
    // The other router notices this at once, and not only when the last task lets go of the socket.
    let _ = SockRef::from(&peer).shutdown(Shutdown::Both);
    match end {
        End::Response => end_sending(&caller),
        End::Caller => {}
        End::Peer | End::Stopped => socket::reset_on_close(&caller),
    }
}

/// Waits until the caller or the other router ends the connection.
///
/// The other router may respond before it has read the whole request, and end its connection. Then a write of the request fails, and
/// what is left of the response is passed on; after a reset, which only the write may have met, it is not complete.
async fn wait_for_end(
    requests: impl Future<Output = Result<(), CopyError>>,
    responses: impl Future<Output = Result<(), CopyError>>,
) -> End {
    let (requests, responses) = (pin!(requests), pin!(responses));
    let (ended, is_orderly) = match select(requests, responses).await {
        Either::Left((Err(CopyError::Write(error)), responses)) => {
            (responses.await, orderly_end::is_orderly(error.kind()))
        }
        Either::Left(_) => return End::Caller,
        Either::Right((ended, _)) => (ended, true),
    };
    if ended.is_ok() && is_orderly {
        End::Response
    } else {
        End::Peer
    }
}

/// Copies bytes until the source ends; holds at most one buffer that the target has not taken.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    on_bytes: impl Fn(),
) -> Result<(), CopyError> {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(read, filled) = from.read(buffer).await;
        if read.map_err(|_| CopyError::Read)? == 0 {
            return Ok(());
        }
        on_bytes();
        let BufResult(written, emptied) = to.write_all(filled).await;
        written.map_err(CopyError::Write)?;
        buffer = emptied;
    }
}

/// Waits until requests in progress are cancelled, or, before a request has begun, until new ones are refused.
async fn wait_for_stop(lifecycle: &Lifecycle, has_begun: &Cell<bool>) {
    lifecycle.closed.wait().await;
    if has_begun.get() {
        lifecycle.cancelled.wait().await;
    }
}

/// Ends what is sent to a caller, and reads what it has sent beyond its request, so that the close is no reset that destroys
/// what the caller has not read.
fn end_sending(caller: &TcpStream) {
    let socket = SockRef::from(caller);
    if socket.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut buffer = [MaybeUninit::uninit(); 1024];
    while socket.recv(&mut buffer).is_ok_and(|bytes| bytes > 0) {}
}
