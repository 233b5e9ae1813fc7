use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

/// Size of one read from the connection.
const READ_BYTES: usize = 8192;
/// Replacement for a refused head; the HTTP library responds to it with 400 and closes the connection.
const REFUSED_HEAD: &[u8] = b"\0\r\n\r\n";
/// End of a line.
const LINE_END: &[u8] = b"\r\n";
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Finds the heads of requests in a byte stream and refuses ambiguous ones, against request smuggling.
///
/// A head is refused when it gives the length of the body in two ways, or has a line that ends in a bare
/// line feed, as the HTTP library accepts both. Everything else is passed to the library unchanged.
#[derive(Debug)]
pub struct HeadValidator {
    state: State,
    /// Bytes of an incomplete head or line.
    buffered: Vec<u8>,
    max_head_bytes: usize,
}

/// Part of the stream that comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// A head.
    Head,
    /// The given number of bytes of a body.
    Body(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// The given number of bytes of a chunk and its line end.
    Chunk(u64),
    /// A line after the last chunk.
    Trailer,
    /// Malformed input that the library will refuse.
    Unknown,
    /// Nothing, as a head was refused.
    Refused,
}

impl HeadValidator {
    /// Creates a validator for heads of at most `max_head_bytes`.
    ///
    /// A longer head is passed on unchecked, as the library refuses it.
    #[must_use]
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            state: State::Head,
            buffered: Vec::new(),
            max_head_bytes,
        }
    }

    /// Processes the next bytes and appends those that may be passed on to `passed`.
    pub fn feed(&mut self, bytes: &[u8], passed: &mut Vec<u8>) {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.state {
                State::Head => self.process_head(rest, passed),
                State::Body(remaining) => self.pass_counted(rest, remaining, State::Head, passed),
                State::Chunk(remaining) => {
                    self.pass_counted(rest, remaining, State::ChunkSize, passed)
                }
                State::ChunkSize | State::Trailer => self.process_line(rest, passed),
                State::Unknown => {
                    passed.extend_from_slice(rest);
                    return;
                }
                State::Refused => return,
            };
        }
    }

    /// Passes on the buffered bytes when the connection ends.
    pub fn finish(&mut self, passed: &mut Vec<u8>) {
        passed.append(&mut self.buffered);
    }

    /// Passes on at most `remaining` bytes and changes to the state `next` after the last one.
    fn pass_counted<'a>(
        &mut self,
        bytes: &'a [u8],
        remaining: u64,
        next: State,
        passed: &mut Vec<u8>,
    ) -> &'a [u8] {
        let count = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(bytes.len());
        passed.extend_from_slice(&bytes[..count]);
        let remaining = remaining - count as u64;
        self.state = match (remaining, self.state) {
            (0, _) => next,
            (remaining, State::Chunk(_)) => State::Chunk(remaining),
            (remaining, _) => State::Body(remaining),
        };
        &bytes[count..]
    }

    /// Buffers a head until it is complete, then validates it.
    fn process_head<'a>(&mut self, bytes: &'a [u8], passed: &mut Vec<u8>) -> &'a [u8] {
        let previous_len = self.buffered.len();
        self.buffered.extend_from_slice(bytes);
        if self.buffered.starts_with(LINE_END) {
            // An empty line may precede a head.
            let rest = &bytes[LINE_END.len() - previous_len..];
            self.buffered.clear();
            passed.extend_from_slice(LINE_END);
            return rest;
        }
        let start = previous_len.saturating_sub(HEAD_END.len() - 1);
        if let Some(offset) = find(&self.buffered[start..], HEAD_END) {
            let length = start + offset + HEAD_END.len();
            let rest = &bytes[length - previous_len..];
            self.buffered.truncate(length);
            self.state = state_after_head(&self.buffered);
            if self.state == State::Refused {
                passed.extend_from_slice(REFUSED_HEAD);
                self.buffered.clear();
            } else {
                passed.append(&mut self.buffered);
            }
            return rest;
        }
        if has_bare_line_feed(&self.buffered) {
            self.state = State::Refused;
            self.buffered.clear();
            passed.extend_from_slice(REFUSED_HEAD);
        } else if self.buffered.len() > self.max_head_bytes {
            self.state = State::Unknown;
            passed.append(&mut self.buffered);
        }
        &[]
    }

    /// Passes on a line of the chunked encoding and derives the next state from it.
    fn process_line<'a>(&mut self, bytes: &'a [u8], passed: &mut Vec<u8>) -> &'a [u8] {
        let end = bytes.iter().position(|b| *b == b'\n');
        let count = end.map_or(bytes.len(), |offset| offset + 1);
        passed.extend_from_slice(&bytes[..count]);
        self.buffered.extend_from_slice(&bytes[..count]);
        if end.is_some() {
            let line = std::mem::take(&mut self.buffered);
            self.state = match self.state {
                State::ChunkSize => state_after_size(&line),
                _ if line == LINE_END => State::Head,
                _ => State::Trailer,
            };
        } else if self.buffered.len() > self.max_head_bytes {
            self.buffered.clear();
            self.state = State::Unknown;
        }
        &bytes[count..]
    }
}

/// Returns the state after a complete head.
fn state_after_head(head: &[u8]) -> State {
    if has_bare_line_feed(head) {
        return State::Refused;
    }
    let (mut length, mut is_encoded) = (None, false);
    for line in head.split(|b| *b == b'\n').skip(1) {
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            continue;
        };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        if name.eq_ignore_ascii_case(b"content-length") {
            length = Some(
                std::str::from_utf8(value)
                    .ok()
                    .and_then(|v| v.trim().parse().ok()),
            );
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            is_encoded = true;
        }
    }
    match (length, is_encoded) {
        (Some(_), true) => State::Refused,
        (None, true) => State::ChunkSize,
        (None | Some(Some(0)), false) => State::Head,
        (Some(Some(length)), false) => State::Body(length),
        (Some(None), false) => State::Unknown,
    }
}

/// Returns the state after the line with the size of a chunk.
fn state_after_size(line: &[u8]) -> State {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let text = std::str::from_utf8(&line[..digits]).unwrap_or_default();
    match u64::from_str_radix(text, 16) {
        Ok(0) => State::Trailer,
        Ok(size) => State::Chunk(size.saturating_add(LINE_END.len() as u64)),
        Err(_) => State::Unknown,
    }
}

fn has_bare_line_feed(bytes: &[u8]) -> bool {
    let mut previous = 0;
    bytes.iter().any(|byte| {
        let is_bare = *byte == b'\n' && previous != b'\r';
        previous = *byte;
        is_bare
    })
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

/// A connection whose requests are validated before the HTTP library reads them.
pub struct ValidatedStream<S> {
    inner: S,
    validator: HeadValidator,
    /// Validated bytes; those from `position` have not been read yet.
    passed: Vec<u8>,
    position: usize,
}

impl<S> ValidatedStream<S> {
    /// Wraps a connection, with heads of at most `max_head_bytes`.
    pub fn new(inner: S, max_head_bytes: usize) -> Self {
        Self {
            inner,
            validator: HeadValidator::new(max_head_bytes),
            passed: Vec::new(),
            position: 0,
        }
    }
}

impl<S: Read + Unpin> Read for ValidatedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.position == this.passed.len() {
            this.passed.clear();
            this.position = 0;
            let mut storage = [0; READ_BYTES];
            let mut chunk = ReadBuf::new(&mut storage);
            ready!(Pin::new(&mut this.inner).poll_read(cx, chunk.unfilled()))?;
            if chunk.filled().is_empty() {
                this.validator.finish(&mut this.passed);
                if this.passed.is_empty() {
                    return Poll::Ready(Ok(()));
                }
            }
            this.validator.feed(chunk.filled(), &mut this.passed);
        }
        let rest = &this.passed[this.position..];
        let count = rest.len().min(buffer.remaining());
        buffer.put_slice(&rest[..count]);
        this.position += count;
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for ValidatedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }
}
