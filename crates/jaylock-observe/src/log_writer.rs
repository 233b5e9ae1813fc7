use std::io::{self, Write};
use std::os::fd::AsFd;
use std::time::{Duration, Instant};

use log::Level;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Maximum length of a line; a writable pipe accepts this many bytes (`PIPE_BUF`) without blocking.
const MAX_LINE_BYTES: usize = 4096;
const RATE_PERIOD: Duration = Duration::from_secs(1);
/// Divisor of the rate: 1/4 of the lines is reserved for warnings and errors.
const RESERVED_DIVISOR: u32 = 4;

/// Writes log lines with a rate limit and never blocks on the reader.
///
/// Lines over the limit and lines that can't be written without blocking are dropped and counted. The count
/// is written before the next line.
#[derive(Debug)]
pub struct LogWriter<W> {
    target: W,
    lines_per_second: u32,
    /// When the current second began.
    period_start: Option<Instant>,
    /// Lines written in the current second.
    written: u32,
    /// Lines dropped since the last one written.
    dropped: u64,
}

impl<W: Write + AsFd> LogWriter<W> {
    /// Creates a writer to `target` with a limit in lines per second.
    pub fn new(target: W, lines_per_second: u32) -> Self {
        Self {
            target,
            lines_per_second,
            period_start: None,
            written: 0,
            dropped: 0,
        }
    }

    /// Writes a line, given without its line break, or counts it as dropped.
    pub fn write(&mut self, level: Level, line: &str, now: Instant) {
        let is_accepted = self.is_within_rate(level, now) && self.is_writable();
        // A failure of the log itself can't be logged anywhere, so the line counts as dropped.
        if is_accepted && self.write_with_count(line).is_ok() {
            self.written += 1;
        } else {
            self.dropped += 1;
        }
    }

    /// Whether the rate limit permits another line of this level.
    fn is_within_rate(&mut self, level: Level, now: Instant) -> bool {
        let is_over = |start: Instant| now.saturating_duration_since(start) >= RATE_PERIOD;
        if self.period_start.is_none_or(is_over) {
            self.period_start = Some(now);
            self.written = 0;
        }
        let limit = match level {
            Level::Error | Level::Warn => self.lines_per_second,
            Level::Info | Level::Debug | Level::Trace => {
                self.lines_per_second - self.lines_per_second / RESERVED_DIVISOR
            }
        };
        self.written < limit
    }

    /// Whether the target accepts a line without blocking; true if the target can't be polled.
    fn is_writable(&self) -> bool {
        let mut polled = [PollFd::new(&self.target, PollFlags::OUT)];
        match poll(&mut polled, Some(&Timespec::default())) {
            Ok(_) => polled[0].revents().contains(PollFlags::OUT),
            Err(_) => true,
        }
    }

    fn write_with_count(&mut self, line: &str) -> io::Result<()> {
        if self.dropped > 0 {
            let notice = format!("lines_left_out={}\n", self.dropped);
            self.target.write_all(notice.as_bytes())?;
            self.dropped = 0;
            if !self.is_writable() {
                return Err(io::ErrorKind::WouldBlock.into());
            }
        }
        let mut text = String::with_capacity(line.len() + 1);
        text.push_str(truncated(line));
        text.push('\n');
        self.target.write_all(text.as_bytes())?;
        self.target.flush()
    }
}

/// The line, cut at a character boundary to the maximum length.
fn truncated(line: &str) -> &str {
    let mut end = line.len().min(MAX_LINE_BYTES - 1);
    while !line.is_char_boundary(end) {
        end -= 1;
    }
    &line[..end]
}
