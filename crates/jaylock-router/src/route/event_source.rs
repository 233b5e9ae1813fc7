use std::future::poll_fn;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use compact_str::format_compact;
use futures_util::FutureExt;
use http_body::{Body, Frame};
use http_body_util::BodyExt;

use crate::error::AttemptError;
use crate::event::EventParser;

/// Largest event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The events in the body of a backend server's response.
pub struct EventSource<B: Body> {
    body: B,
    parser: EventParser,
    /// End of the body; an error if it broke off.
    end: Option<Result<(), B::Error>>,
    /// Whether text came that is no event, at which the stream ends.
    is_invalid: bool,
}

/// Complete events as they were sent.
#[derive(Debug, PartialEq, Eq)]
pub struct Events {
    /// Text of the events.
    pub text: Bytes,
    /// Number of events.
    pub count: u64,
    /// Whether an event has data; comments have none.
    pub has_data: bool,
    /// Whether each event with data has a number, after which another run of the request can go on.
    pub is_numbered: bool,
}

impl<B> EventSource<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    /// Reads events from a body.
    pub fn new(body: B) -> Self {
        Self {
            body,
            parser: EventParser::default(),
            end: None,
            is_invalid: false,
        }
    }

    /// Waits for at least one event after `last_event`, which is updated; `None` at the end of the stream.
    ///
    /// Without a last event, any number begins the stream, also 0.
    ///
    /// # Errors
    /// The body broke off or ended within an event, an event is too long, or text came that is none.
    pub async fn next(
        &mut self,
        last_event: &mut Option<u64>,
    ) -> Result<Option<Events>, AttemptError> {
        loop {
            let ready = self.take_ready(last_event);
            if ready.count > 0 {
                return Ok(Some(ready));
            }
            if self.is_invalid {
                let reason = "text came that is no event";
                return Err(AttemptError::Invalid(reason.into()));
            }
            if self.parser.pending() > MAX_EVENT_BYTES {
                return Err(AttemptError::Invalid("an event is too long".into()));
            }
            match &self.end {
                Some(Err(error)) => return Err(AttemptError::Lost(format_compact!("{error}"))),
                Some(Ok(())) if self.parser.pending() > 0 => {
                    return Err(AttemptError::Lost(
                        "the stream ended within an event".into(),
                    ));
                }
                Some(Ok(())) => return Ok(None),
                None => {
                    let frame = self.body.frame().await;
                    self.feed(frame);
                }
            }
        }
    }

    /// Reads what has arrived without waiting for more, so that `next` returns these events together.
    pub async fn read_arrived(&mut self) {
        let mut is_idle = false;
        while self.end.is_none() && self.parser.pending() <= MAX_EVENT_BYTES {
            match self.body.frame().now_or_never() {
                Some(frame) => {
                    is_idle = false;
                    self.feed(frame);
                }
                None if is_idle => return,
                None => {
                    // The task of the connection hands over one frame at a time.
                    is_idle = true;
                    yield_once().await;
                }
            }
        }
    }

    fn feed(&mut self, frame: Option<Result<Frame<Bytes>, B::Error>>) {
        match frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.parser.feed(data);
                }
            }
            Some(Err(error)) => self.end = Some(Err(error)),
            None => self.end = Some(Ok(())),
        }
    }

    /// Takes the complete events after `last_event`, discarding repeated ones.
    fn take_ready(&mut self, last_event: &mut Option<u64>) -> Events {
        let mut text = BytesMut::new();
        let mut count = 0;
        let mut has_data = false;
        let mut is_numbered = true;
        while !self.is_invalid
            && let Some(event) = self.parser.next_raw_event()
        {
            if !event.is_event {
                self.is_invalid = true;
                break;
            }
            let is_repeated = event.id.is_some() && event.id <= *last_event;
            if is_repeated {
                continue;
            }
            *last_event = event.id.or(*last_event);
            has_data |= event.has_data;
            is_numbered &= event.id.is_some() || !event.has_data;
            text.extend_from_slice(&event.text);
            count += 1;
        }
        Events {
            text: text.freeze(),
            count,
            has_data,
            is_numbered,
        }
    }
}

/// Lets the other tasks that are ready run first.
async fn yield_once() {
    let mut is_first = true;
    poll_fn(|context| {
        if !std::mem::take(&mut is_first) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
