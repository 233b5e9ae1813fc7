use http_body_util::BodyExt;
use hyper::body::Incoming;

/// One server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// Position of the chunk; unset in an event without `id`.
    pub id: Option<u32>,
    /// Data of the event.
    pub data: String,
}

/// Reader of server-sent events from the body of a response.
pub struct EventStream {
    body: Incoming,
    buffer: Vec<u8>,
}

impl EventStream {
    /// Creates a reader of an unread body.
    #[must_use]
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: Vec::new(),
        }
    }

    /// Returns the next event; `None` at the end of the body.
    ///
    /// # Errors
    /// The connection was lost.
    pub async fn next(&mut self) -> Result<Option<Event>, hyper::Error> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            if let Some(data) = frame?.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }

    fn take_event(&mut self) -> Option<Event> {
        let end = self.buffer.windows(2).position(|w| w == b"\n\n")?;
        let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
        let mut event = Event::default();
        for line in String::from_utf8_lossy(&block).lines() {
            if let Some(id) = line.strip_prefix("id:") {
                event.id = id.trim().parse().ok();
            }
            if let Some(data) = line.strip_prefix("data:") {
                event.data.push_str(data.trim_start());
            }
        }
        Some(event)
    }
}
