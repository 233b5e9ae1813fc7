use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::LocalBoxStream;
use http_body::Frame;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use jaylock_types::ByteSize;
use thiserror::Error;

/// The body of an answer.
pub enum Body {
    /// All of it is known.
    Full(Option<Bytes>),
    /// It is made while it is sent; dropping it ends the work behind it.
    Stream(LocalBoxStream<'static, Bytes>),
    /// The same, but it may break off; the connection is cut then, so that nobody takes it for whole.
    Fallible(LocalBoxStream<'static, Result<Bytes, Interrupted>>),
}

impl Body {
    /// A body that is known as a whole.
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

/// An answer that can't be finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer broke off and can't go on")]
pub struct Interrupted;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// It is longer than the bound.
    TooLong,
    /// It did not arrive in time.
    TooSlow,
    /// It ended before its announced length, or was malformed.
    Broken,
}

/// Reads a body of bounded length in bounded time.
pub async fn read(body: Incoming, bound: ByteSize, limit: Duration) -> Result<Bytes, ReadError> {
    let collecting = Limited::new(body, bound.0).collect();
    let outcome = compio::time::timeout(limit, collecting).await;
    let collected = outcome.map_err(|_| ReadError::TooSlow)?;
    match collected {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::TooLong),
        Err(_) => Err(ReadError::Broken),
    }
}
