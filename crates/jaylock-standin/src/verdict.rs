use std::time::Duration;

use hyper::body::Incoming;

use crate::events::{Event, Events};
use crate::{Answer, AttemptEnd, Chunk, Completion, RunNote, digest};

/// Reads a streamed answer to its end and compares it with the one that the prompt decides.
pub(crate) async fn check_stream(prompt: &str, body: Incoming, silence: Duration) -> AttemptEnd {
    let mut check = StreamCheck::new(prompt);
    let mut events = Events::new(body);
    loop {
        let event = match compio::time::timeout(silence, events.next()).await {
            Ok(Ok(Some(event))) => event,
            Ok(Ok(None)) => return AttemptEnd::Cut("the body ended without [DONE]".into()),
            Ok(Err(error)) => return AttemptEnd::Cut(error.to_string()),
            Err(_) => return AttemptEnd::Cut("silence within the stream".into()),
        };
        if let Some(end) = check.take(&event) {
            return end;
        }
    }
}

/// Compares a whole answer with the one that the prompt decides.
pub(crate) fn check_completion(prompt: &str, body: &[u8]) -> AttemptEnd {
    let completion: Completion = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(error) => return AttemptEnd::Wrong(error.to_string()),
    };
    let expected = Answer::of(prompt, None);
    let message = completion.choices.first().and_then(|c| c.message.as_ref());
    let text = message.map_or("", |m| m.content.as_str());
    compare(&expected, text, completion.usage.completion_tokens)
}

/// Compares a plain service's answer with what was sent.
pub(crate) fn check_call(path: &str, sent: &str, body: &[u8]) -> AttemptEnd {
    let note: RunNote = match serde_json::from_slice(body) {
        Ok(note) => note,
        Err(error) => return AttemptEnd::Wrong(error.to_string()),
    };
    if note.path != path || note.digest != digest(sent.as_bytes()) {
        return AttemptEnd::Wrong(format!("the answer belongs to {} {}", note.path, note.key));
    }
    AttemptEnd::Whole
}

struct StreamCheck {
    expected: Answer,
    text: String,
    pieces: u32,
    tokens: Option<u32>,
}

impl StreamCheck {
    fn new(prompt: &str) -> Self {
        Self {
            expected: Answer::of(prompt, None),
            text: String::new(),
            pieces: 0,
            tokens: None,
        }
    }

    /// Takes one event; gives the verdict at the end of the stream.
    fn take(&mut self, event: &Event) -> Option<AttemptEnd> {
        if event.data == "[DONE]" {
            let tokens = self.tokens.unwrap_or_default();
            return Some(compare(&self.expected, &self.text, tokens));
        }
        if event.data.is_empty() {
            return None;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            // Whatever is no chunk is the explicit error.
            return Some(AttemptEnd::Failed(event.data.clone()));
        };
        if let Some(usage) = chunk.usage {
            self.tokens = Some(usage.completion_tokens);
        }
        let delta = chunk.choices.first().and_then(|c| c.delta.as_ref());
        let text = delta.and_then(|d| d.content.as_deref()).unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        self.pieces += 1;
        if event.id.is_some_and(|id| id != self.pieces) {
            let wrong = format!("piece {:?} came in place {}", event.id, self.pieces);
            return Some(AttemptEnd::Wrong(wrong));
        }
        self.text.push_str(text);
        None
    }
}

fn compare(expected: &Answer, text: &str, tokens: u32) -> AttemptEnd {
    if text != expected.text() {
        let wrong = format!("got {text:?} in place of {:?}", expected.text());
        return AttemptEnd::Wrong(wrong);
    }
    if tokens != expected.length() {
        let wrong = format!("{tokens} tokens in place of {}", expected.length());
        return AttemptEnd::Wrong(wrong);
    }
    AttemptEnd::Whole
}
