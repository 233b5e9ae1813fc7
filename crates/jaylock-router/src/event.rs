use bytes::{Buf, Bytes, BytesMut};

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    /// Number after which a stream can be resumed.
    pub id: Option<u64>,
    /// Event type; empty for the default one.
    pub kind: String,
    /// Data lines, joined by line feeds.
    pub data: Bytes,
}

/// A server-sent event as it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Number after which a stream can be resumed; unset if the event has none.
    pub id: Option<u64>,
    /// Whether the event has data, which a comment has not.
    pub has_data: bool,
    /// Whether the text has a field of an event or is a comment; any other text, such as an error, is no event.
    pub is_event: bool,
    /// Text of the event with the blank line after it.
    pub text: Bytes,
}

/// Splits a byte stream into server-sent events, for input in chunks of any size.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// Number of bytes already searched for the end of an event.
    scanned: usize,
}

impl EventParser {
    /// Adds the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let block = self.next_block()?;
            if let Some(event) = parse(&block) {
                return Some(event);
            }
        }
    }

    /// Returns the next complete event as it was sent.
    pub fn next_raw_event(&mut self) -> Option<RawEvent> {
        let (offset, length) = self.find_block()?;
        let text = self.buffer.split_to(offset + length).freeze();
        let lines = || text.split(|b| *b == b'\n');
        let fields = || lines().filter_map(field_name);
        let id = lines().find_map(|line| line.strip_prefix(b"id:"));
        let id = id.and_then(|text| std::str::from_utf8(text).ok()?.trim().parse().ok());
        Some(RawEvent {
            id,
            has_data: fields().any(|name| name == b"data"),
            is_event: fields().any(|name| EVENT_FIELDS.contains(&name)),
            text,
        })
    }

    /// Number of buffered bytes of an incomplete event.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    fn next_block(&mut self) -> Option<Bytes> {
        let (offset, length) = self.find_block()?;
        let block = self.buffer.split_to(offset).freeze();
        self.buffer.advance(length);
        Some(block)
    }

    /// Returns the length of the first event and of the blank line after it.
    fn find_block(&mut self) -> Option<(usize, usize)> {
        let start = self.scanned.saturating_sub(3);
        let end = find_end(&self.buffer, start);
        self.scanned = match end {
            Some(_) => 0,
            None => self.buffer.len(),
        };
        end
    }
}

/// Names of the fields that an event has at least one of; the empty one begins a comment.
const EVENT_FIELDS: [&[u8]; 5] = [b"id", b"data", b"event", b"retry", b""];

/// Name of the field in a line, which is the whole line without a colon; `None` for a blank line.
fn field_name(line: &[u8]) -> Option<&[u8]> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let colon = line.iter().position(|b| *b == b':');
    let name = &line[..colon.unwrap_or(line.len())];
    (!line.is_empty()).then_some(name)
}

fn find_end(buffer: &[u8], start: usize) -> Option<(usize, usize)> {
    for (offset, _) in buffer
        .iter()
        .enumerate()
        .skip(start)
        .filter(|(_, b)| **b == b'\n')
    {
        let rest = &buffer[offset..];
        if rest.starts_with(b"\n\n") {
            return Some((offset, 2));
        }
        if rest.starts_with(b"\n\r\n") {
            return Some((offset, 3));
        }
    }
    None
}

/// Parses the lines of an event; returns `None` for a block without data.
fn parse(block: &[u8]) -> Option<Event> {
    let mut event = Event::default();
    let mut data = BytesMut::new();
    let mut data_lines = 0;
    for line in block.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            continue;
        };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"id" => event.id = std::str::from_utf8(value).ok()?.parse().ok(),
            b"event" => event.kind = String::from_utf8_lossy(value).into_owned(),
            b"data" => {
                if data_lines > 0 {
                    data.extend_from_slice(b"\n");
                }
                data.extend_from_slice(value);
                data_lines += 1;
            }
            _ => {}
        }
    }
    event.data = data.freeze();
    (data_lines > 0).then_some(event)
}
