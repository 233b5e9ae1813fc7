use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

/// Bytes that are read from the connection at once.
const PIECE: usize = 8192;
/// What stands in place of a head that is refused; the HTTP library answers it with 400 and closes.
const REFUSED: &[u8] = b"\0\r\n\r\n";
/// End of a line.
const LINE_END: &[u8] = b"\r\n";
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Finds the heads of requests in a byte stream and refuses those that others may read differently.
///
/// A head is refused when it tells the length of its body in two ways, or has a line that ends in a bare line feed: the
/// HTTP library takes both. Everything else is passed on as it came, for the library to judge.
#[derive(Debug)]
pub struct HeadValidator {
    state: State,
    /// Bytes of a head, or of a line, that is not complete yet.
    held: Vec<u8>,
    longest: usize,
}

/// What comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// A head.
    Head,
    /// So many bytes of a body.
    Body(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// So many bytes of a chunk and its end.
    Chunk(u64),
    /// A line after the last chunk.
    Trailer,
    /// Something that the library will refuse.
    Unknown,
    /// Nothing, as a head was refused.
    Refused,
}

impl HeadValidator {
    /// Expects a head of at most so many bytes; a longer one is passed on unchecked, to be refused.
    #[must_use]
    pub fn new(longest: usize) -> Self {
        Self {
            state: State::Head,
            held: Vec::new(),
            longest,
        }
    }

    /// Takes the next bytes and adds to `passed` what may be passed on.
    pub fn feed(&mut self, bytes: &[u8], passed: &mut Vec<u8>) {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.state {
                State::Head => self.take_head(rest, passed),
                State::Body(left) => self.take_counted(rest, left, State::Head, passed),
                State::Chunk(left) => self.take_counted(rest, left, State::ChunkSize, passed),
                State::ChunkSize | State::Trailer => self.take_line(rest, passed),
                State::Unknown => {
                    passed.extend_from_slice(rest);
                    return;
                }
                State::Refused => return,
            };
        }
    }

    /// Passes on what is held when the connection ends.
    pub fn finish(&mut self, passed: &mut Vec<u8>) {
        passed.append(&mut self.held);
    }

    /// Passes on so many bytes at most, after which another state follows.
    fn take_counted<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        next: State,
        passed: &mut Vec<u8>,
    ) -> &'a [u8] {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
        passed.extend_from_slice(&bytes[..count]);
        let left = left - count as u64;
        self.state = match (left, self.state) {
            (0, _) => next,
            (left, State::Chunk(_)) => State::Chunk(left),
            (left, _) => State::Body(left),
        };
        &bytes[count..]
    }

    /// Holds a head until it is complete, then judges it.
    fn take_head<'a>(&mut self, bytes: &'a [u8], passed: &mut Vec<u8>) -> &'a [u8] {
        let before = self.held.len();
        self.held.extend_from_slice(bytes);
        if self.held.starts_with(LINE_END) {
            // An empty line before a head belongs to nothing.
            let rest = &bytes[LINE_END.len() - before..];
            self.held.clear();
            passed.extend_from_slice(LINE_END);
            return rest;
        }
        let start = before.saturating_sub(HEAD_END.len() - 1);
        if let Some(at) = find(&self.held[start..], HEAD_END) {
            let length = start + at + HEAD_END.len();
            let rest = &bytes[length - before..];
            self.held.truncate(length);
            self.state = judge(&self.held);
            if self.state == State::Refused {
                passed.extend_from_slice(REFUSED);
                self.held.clear();
            } else {
                passed.append(&mut self.held);
            }
            return rest;
        }
        if has_bare_feed(&self.held) {
            self.state = State::Refused;
            self.held.clear();
            passed.extend_from_slice(REFUSED);
        } else if self.held.len() > self.longest {
            self.state = State::Unknown;
            passed.append(&mut self.held);
        }
        &[]
    }

    /// Takes a line of the framing of chunks.
    fn take_line<'a>(&mut self, bytes: &'a [u8], passed: &mut Vec<u8>) -> &'a [u8] {
        let end = bytes.iter().position(|b| *b == b'\n');
        let count = end.map_or(bytes.len(), |at| at + 1);
        passed.extend_from_slice(&bytes[..count]);
        self.held.extend_from_slice(&bytes[..count]);
        if end.is_some() {
            let line = std::mem::take(&mut self.held);
            self.state = match self.state {
                State::ChunkSize => after_size(&line),
                _ if line == LINE_END => State::Head,
                _ => State::Trailer,
            };
        } else if self.held.len() > self.longest {
            self.held.clear();
            self.state = State::Unknown;
        }
        &bytes[count..]
    }
}

/// What follows a complete head.
fn judge(head: &[u8]) -> State {
    if has_bare_feed(head) {
        return State::Refused;
    }
    let (mut length, mut is_coded) = (None, false);
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
            is_coded = true;
        }
    }
    match (length, is_coded) {
        (Some(_), true) => State::Refused,
        (None, true) => State::ChunkSize,
        (None | Some(Some(0)), false) => State::Head,
        (Some(Some(length)), false) => State::Body(length),
        (Some(None), false) => State::Unknown,
    }
}

/// What follows the line with the size of a chunk.
fn after_size(line: &[u8]) -> State {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let text = std::str::from_utf8(&line[..digits]).unwrap_or_default();
    match u64::from_str_radix(text, 16) {
        Ok(0) => State::Trailer,
        Ok(size) => State::Chunk(size.saturating_add(LINE_END.len() as u64)),
        Err(_) => State::Unknown,
    }
}

fn has_bare_feed(bytes: &[u8]) -> bool {
    let mut before = 0;
    bytes.iter().any(|byte| {
        let is_bare = *byte == b'\n' && before != b'\r';
        before = *byte;
        is_bare
    })
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|w| w == wanted)
}

/// A connection whose requests are checked before the HTTP library reads them.
pub struct Checked<S> {
    inner: S,
    check: HeadValidator,
    /// Bytes that may be read on, from `read`.
    passed: Vec<u8>,
    read: usize,
}

impl<S> Checked<S> {
    /// Checks what comes over a connection.
    pub fn new(inner: S, longest: usize) -> Self {
        Self {
            inner,
            check: HeadValidator::new(longest),
            passed: Vec::new(),
            read: 0,
        }
    }
}

impl<S: Read + Unpin> Read for Checked<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.read == this.passed.len() {
            this.passed.clear();
            this.read = 0;
            let mut storage = [0; PIECE];
            let mut piece = ReadBuf::new(&mut storage);
            ready!(Pin::new(&mut this.inner).poll_read(cx, piece.unfilled()))?;
            if piece.filled().is_empty() {
                this.check.finish(&mut this.passed);
                if this.passed.is_empty() {
                    return Poll::Ready(Ok(()));
                }
            }
            this.check.feed(piece.filled(), &mut this.passed);
        }
        let rest = &this.passed[this.read..];
        let count = rest.len().min(buffer.remaining());
        buffer.put_slice(&rest[..count]);
        this.read += count;
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for Checked<S> {
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
