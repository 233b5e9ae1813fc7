use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_channel::oneshot;
use futures_util::Stream;
use futures_util::stream::LocalBoxStream;
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use jaylock_types::{ByteSize, OrganisationId};
use send_wrapper::SendWrapper;
use thiserror::Error;

use crate::memory::{BodyMemory, BodyReservation};

/// Size up to which a response needs no reservation, so that small ones never fail for lack of it.
const FREE_RESPONSE_BYTES: usize = 64 << 10;
/// Least memory that is reserved at once.
const RESERVED_STEP: usize = 256 << 10;

/// Body of a response.
pub enum Body {
    /// A complete body; `None` once it was sent.
    Full(Option<Bytes>),
    /// A body that is generated while it is sent; dropping it cancels the work.
    Stream(LocalBoxStream<'static, Bytes>),
    /// A generated body that may fail.
    ///
    /// The connection is closed on failure, so that the caller doesn't take the body for complete.
    Fallible(LocalBoxStream<'static, Result<Bytes, Interrupted>>),
}

impl Body {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        let next = match &mut *self {
            Self::Full(bytes) => bytes.take(),
            Self::Stream(stream) => ready!(Pin::new(stream).poll_next(cx)),
            Self::Fallible(stream) => {
                let next = ready!(Pin::new(stream).poll_next(cx));
                return Poll::Ready(next.map(|part| part.map(Frame::data)));
            }
        };
        Poll::Ready(next.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) | Self::Fallible(_) => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Full(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                http_body::SizeHint::with_exact(length as u64)
            }
            Self::Stream(_) | Self::Fallible(_) => http_body::SizeHint::default(),
        }
    }
}

/// Body of a response in progress; it fails when its request is cancelled.
pub struct ResponseBody {
    body: Body,
    /// Notified when the request is cancelled; unset for the response to a cancelled one.
    cancelled: Option<oneshot::Receiver<()>>,
    _request_token: Rc<()>,
}

impl ResponseBody {
    /// Wraps the body of a response; `request_token` is released with it.
    pub fn new(
        body: Body,
        cancelled: Option<oneshot::Receiver<()>>,
        request_token: Rc<()>,
    ) -> Self {
        Self {
            body,
            cancelled,
            _request_token: request_token,
        }
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            return Poll::Ready(frame);
        }
        let Some(cancelled) = &mut self.cancelled else {
            return Poll::Pending;
        };
        match Pin::new(cancelled).poll(cx) {
            Poll::Ready(Ok(())) => Poll::Ready(Some(Err(Interrupted))),
            Poll::Ready(Err(_)) | Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// A response that can't be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the response was interrupted and can't be resumed")]
pub struct Interrupted;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The body exceeds the maximum size.
    #[error("it is over the bound")]
    TooLong,
    /// The body did not arrive in time.
    #[error("it did not arrive in time")]
    TooSlow,
    /// The body ended before its announced length, or was malformed.
    #[error("it ended early or was malformed")]
    Broken,
    /// The bodies of requests and responses in progress have taken all their memory.
    #[error("the bodies in progress are at their bound")]
    NoMemory,
}

/// Reads a body of limited size in limited time.
///
/// # Errors
/// Why the body was not read.
pub async fn read(
    body: Incoming,
    max_size: ByteSize,
    timeout: Duration,
) -> Result<Bytes, ReadError> {
    let collecting = Limited::new(body, max_size.0).collect();
    let outcome = compio::time::timeout(timeout, collecting).await;
    let collected = outcome.map_err(|_| ReadError::TooSlow)?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::TooLong),
        Err(_) => Err(ReadError::Broken),
    }
}

/// Reads the body of a response like [`read`]; what exceeds a small size is reserved until the body is dropped.
///
/// # Errors
/// Why the body was not read.
pub async fn read_response(
    body: Incoming,
    max_size: ByteSize,
    timeout: Duration,
    memory: &BodyMemory,
    organisation: &OrganisationId,
) -> Result<Bytes, ReadError> {
    let reading = read_reserved(body, max_size, memory, organisation);
    let outcome = compio::time::timeout(timeout, reading).await;
    outcome.map_err(|_| ReadError::TooSlow)?
}

/// Reads the body of a request like [`read`]; its memory is reserved before it is read.
///
/// A body of unknown length is reserved as it arrives.
///
/// # Errors
/// Why the body was not read.
pub async fn read_request(
    body: Incoming,
    max_size: ByteSize,
    timeout: Duration,
    memory: &BodyMemory,
    organisation: &OrganisationId,
) -> Result<(Bytes, BodyReservation), ReadError> {
    let announced = body.size_hint().exact().unwrap_or(0);
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    let allowed = announced.min(max_size.0);
    let reservation = memory.reserve(organisation, allowed);
    let reservation = reservation.ok_or(ReadError::NoMemory)?;
    let reading = read_growing(body, max_size, reservation, (allowed, 0));
    let outcome = compio::time::timeout(timeout, reading).await;
    let (bytes, reservation) = outcome.map_err(|_| ReadError::TooSlow)??;
    Ok((bytes.freeze(), reservation))
}

async fn read_reserved(
    body: Incoming,
    max_size: ByteSize,
    memory: &BodyMemory,
    organisation: &OrganisationId,
) -> Result<Bytes, ReadError> {
    let reservation = memory.reserve(organisation, 0).ok_or(ReadError::NoMemory)?;
    let steps = (FREE_RESPONSE_BYTES, RESERVED_STEP);
    let (bytes, reservation) = read_growing(body, max_size, reservation, steps).await?;
    if bytes.len() <= FREE_RESPONSE_BYTES {
        return Ok(bytes.freeze());
    }
    Ok(Bytes::from_owner(ReservedBytes {
        bytes,
        _reservation: SendWrapper::new(reservation),
    }))
}

/// Reads a body, of which `allowed` bytes need no further reservation; further ones are reserved in steps.
async fn read_growing(
    mut body: Incoming,
    max_size: ByteSize,
    mut reservation: BodyReservation,
    (mut allowed, step): (usize, usize),
) -> Result<(BytesMut, BodyReservation), ReadError> {
    let mut bytes = BytesMut::with_capacity(reservation.bytes());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_size.0 {
            return Err(ReadError::TooLong);
        }
        bytes.extend_from_slice(data);
        // A buffer that grows holds up to twice the bytes that have arrived.
        let held = bytes.capacity();
        if held > allowed {
            let missing = (held - allowed).max(step);
            if !reservation.grow(missing) {
                return Err(ReadError::NoMemory);
            }
            allowed += missing;
        }
    }
    Ok((bytes, reservation))
}

/// Bytes whose memory is reserved until they are dropped.
struct ReservedBytes {
    bytes: BytesMut,
    _reservation: SendWrapper<BodyReservation>,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
