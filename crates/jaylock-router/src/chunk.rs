use std::rc::Rc;

use serde_json::{Map, Value};

use crate::event::Event;

/// Maximum number of repeated or foreign chunks that an attempt tolerates.
const MAX_STRAY_CHUNKS: u32 = 16;

/// One validated chunk of a model's response.
#[derive(Debug, Clone, PartialEq)]
pub struct Chunk {
    /// Number within the response, from 1.
    pub number: u64,
    /// JSON object, as the engine generated it.
    pub fields: Map<String, Value>,
}

impl Chunk {
    /// Whether the chunk has a finish reason.
    #[must_use]
    pub fn is_finish(&self) -> bool {
        let mut choices = choices(&self.fields).iter();
        choices.any(|c| c["finish_reason"].is_string())
    }

    /// Number of tokens in the chunk; engines send at most one per chunk.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        has_text(&self.fields).into()
    }

    /// Number of tokens in the response, which the engine reports in the last chunk.
    #[must_use]
    pub fn total_tokens(&self) -> Option<u64> {
        self.fields.get("usage")?.get("completion_tokens")?.as_u64()
    }
}

/// Result of validating one event of an engine's stream.
#[derive(Debug, Clone, PartialEq)]
pub enum ChunkCheck {
    /// The next chunk of this response.
    Accept(Chunk),
    /// A chunk of another attempt, or a repeated one.
    Discard,
    /// The response is complete.
    Complete,
    /// The stream violates the protocol, for the given reason.
    Invalid(&'static str),
}

/// Validates the events of one attempt: the identifier, the order of chunks and the end.
#[derive(Debug, Clone)]
pub struct ChunkValidator {
    attempt: Rc<str>,
    last_chunk: u64,
    is_finished: bool,
    stray_chunks: u32,
}

impl ChunkValidator {
    /// Expects the chunks after `last_chunk`; `is_finished` if that one had a finish reason.
    #[must_use]
    pub fn new(attempt: &str, last_chunk: u64, is_finished: bool) -> Self {
        Self {
            attempt: attempt.into(),
            last_chunk,
            is_finished,
            stray_chunks: 0,
        }
    }

    /// Validates the next event.
    pub fn check(&mut self, event: &Event) -> ChunkCheck {
        if event.data.as_ref() == b"[DONE]" {
            return self.check_end();
        }
        if event.kind == "error" {
            return ChunkCheck::Invalid("the engine reported an error");
        }
        let Ok(Value::Object(fields)) = serde_json::from_slice(&event.data) else {
            return ChunkCheck::Invalid("a piece is no JSON object");
        };
        if fields.get("id").and_then(Value::as_str) != Some(&self.attempt) {
            return self.discard_stray("pieces of other answers came");
        }
        let Some(number) = event.id else {
            return ChunkCheck::Invalid("a piece has no number");
        };
        if number == 0 {
            return ChunkCheck::Invalid("a piece has the number 0, but the first one has 1");
        }
        if number <= self.last_chunk {
            return self.discard_stray("pieces came again and again");
        }
        if number > self.last_chunk + 1 {
            return ChunkCheck::Invalid("a piece is missing");
        }
        if self.is_finished && has_text(&fields) {
            return ChunkCheck::Invalid("a piece came after the end");
        }
        let chunk = Chunk { number, fields };
        self.last_chunk = number;
        self.is_finished |= chunk.is_finish();
        ChunkCheck::Accept(chunk)
    }

    /// Whether a chunk with a finish reason was accepted.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    fn check_end(&self) -> ChunkCheck {
        if self.is_finished {
            ChunkCheck::Complete
        } else {
            ChunkCheck::Invalid("the end came before the last piece")
        }
    }

    fn discard_stray(&mut self, reason: &'static str) -> ChunkCheck {
        self.stray_chunks += 1;
        if self.stray_chunks > MAX_STRAY_CHUNKS {
            return ChunkCheck::Invalid(reason);
        }
        ChunkCheck::Discard
    }
}

fn choices(fields: &Map<String, Value>) -> &[Value] {
    match fields.get("choices") {
        Some(Value::Array(choices)) => choices,
        _ => &[],
    }
}

fn has_text(fields: &Map<String, Value>) -> bool {
    let text = |c: &Value| {
        c["delta"]["content"]
            .as_str()
            .is_some_and(|t| !t.is_empty())
    };
    choices(fields).iter().any(text)
}
