use std::time::Duration;

use hyper::body::Incoming;

use crate::event_stream::{Event, EventStream};
use crate::{AttemptResult, Chunk, Completion, GeneratedText, RunRecord, sha256_hex};

/// Reads a streamed response to the end and compares its text with that for the prompt.
pub(crate) async fn check_stream(
    prompt: &str,
    body: Incoming,
    idle_timeout: Duration,
) -> AttemptResult {
    let mut check = StreamCheck::new(prompt);
    let mut events = EventStream::new(body);
    loop {
        let event = match compio::time::timeout(idle_timeout, events.next()).await {
            Ok(Ok(Some(event))) => event,
            Ok(Ok(None)) => return AttemptResult::Interrupted("no [DONE] in the body".into()),
            Ok(Err(error)) => return AttemptResult::Interrupted(error.to_string()),
            Err(_) => return AttemptResult::Interrupted("no data within the idle timeout".into()),
        };
        if let Some(result) = check.add_event(&event) {
            return result;
        }
    }
}

/// Compares a complete response with the text for the prompt.
pub(crate) fn check_completion(prompt: &str, body: &[u8]) -> AttemptResult {
    let completion: Completion = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(error) => return AttemptResult::Wrong(error.to_string()),
    };
    let expected = GeneratedText::from_prompt(prompt, None);
    let message = completion.choices.first().and_then(|c| c.message.as_ref());
    let text = message.map_or("", |m| m.content.as_str());
    compare(&expected, text, completion.usage.completion_tokens)
}

/// Compares the response of a plain service with the call that was sent.
pub(crate) fn check_call(path: &str, sent: &str, body: &[u8]) -> AttemptResult {
    let record: RunRecord = match serde_json::from_slice(body) {
        Ok(record) => record,
        Err(error) => return AttemptResult::Wrong(error.to_string()),
    };
    if record.path != path || record.digest != sha256_hex(sent.as_bytes()) {
        return AttemptResult::Wrong(format!(
            "the response belongs to {} {}",
            record.path, record.key
        ));
    }
    AttemptResult::Complete
}

struct StreamCheck {
    expected: GeneratedText,
    text: String,
    chunks: u32,
    tokens: Option<u32>,
}

impl StreamCheck {
    fn new(prompt: &str) -> Self {
        Self {
            expected: GeneratedText::from_prompt(prompt, None),
            text: String::new(),
            chunks: 0,
            tokens: None,
        }
    }

    /// Adds one event and returns the result at the end of the stream.
    fn add_event(&mut self, event: &Event) -> Option<AttemptResult> {
        if event.data == "[DONE]" {
            let tokens = self.tokens.unwrap_or_default();
            return Some(compare(&self.expected, &self.text, tokens));
        }
        if event.data.is_empty() {
            return None;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            // Data that is not a chunk belongs to an `error` event.
            return Some(AttemptResult::Failed(event.data.clone()));
        };
        if let Some(usage) = chunk.usage {
            self.tokens = Some(usage.completion_tokens);
        }
        let delta = chunk.choices.first().and_then(|c| c.delta.as_ref());
        let text = delta.and_then(|d| d.content.as_deref()).unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        self.chunks += 1;
        if event.id.is_some_and(|id| id != self.chunks) {
            let reason = format!("chunk {:?} received at position {}", event.id, self.chunks);
            return Some(AttemptResult::Wrong(reason));
        }
        self.text.push_str(text);
        None
    }
}

fn compare(expected: &GeneratedText, text: &str, tokens: u32) -> AttemptResult {
    if text != expected.text() {
        let reason = format!("received {text:?} instead of {:?}", expected.text());
        return AttemptResult::Wrong(reason);
    }
    if tokens != expected.length() {
        let reason = format!("{tokens} tokens instead of {}", expected.length());
        return AttemptResult::Wrong(reason);
    }
    AttemptResult::Complete
}
