use std::rc::Rc;

use serde_json::{Map, Value};

use crate::event::Event;

/// Pieces of other attempts or repeated pieces that an attempt survives.
const STRAY_LIMIT: u32 = 16;

/// One piece of a model's answer that may be passed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Chunk {
    /// Its number within the answer, from 1.
    pub number: u64,
    /// The chunk, as the engine made it.
    pub chunk: Map<String, Value>,
}

impl Chunk {
    /// Whether it gives the reason of the end.
    #[must_use]
    pub fn is_finish(&self) -> bool {
        let mut choices = choices(&self.chunk).iter();
        choices.any(|c| c["finish_reason"].is_string())
    }

    /// Tokens it brings; engines send one a piece.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        has_text(&self.chunk).into()
    }

    /// Tokens of the whole answer, as the engine counts them at its end.
    #[must_use]
    pub fn total(&self) -> Option<u64> {
        self.chunk.get("usage")?.get("completion_tokens")?.as_u64()
    }
}

/// What became of an event of an engine's stream.
#[derive(Debug, Clone, PartialEq)]
pub enum ChunkCheck {
    /// The next piece of this answer.
    Accept(Chunk),
    /// A piece of another attempt or one that was seen before.
    Discard,
    /// The answer is whole.
    Complete,
    /// The stream can't be trusted any more; the reason.
    Invalid(&'static str),
}

/// Checks the events of one attempt: its identifier, the order of the pieces and the end.
#[derive(Debug, Clone)]
pub struct ChunkValidator {
    attempt: Rc<str>,
    last: u64,
    finished: bool,
    strays: u32,
}

impl ChunkValidator {
    /// Expects the pieces after `last`; `finished` tells whether the last one ended the answer.
    #[must_use]
    pub fn new(attempt: &str, last: u64, finished: bool) -> Self {
        Self {
            attempt: attempt.into(),
            last,
            finished,
            strays: 0,
        }
    }

    /// Judges the next event.
    pub fn check(&mut self, event: &Event) -> ChunkCheck {
        if event.data.as_ref() == b"[DONE]" {
            return self.check_end();
        }
        if event.kind == "error" {
            return ChunkCheck::Invalid("the engine reported an error");
        }
        let Ok(Value::Object(chunk)) = serde_json::from_slice(&event.data) else {
            return ChunkCheck::Invalid("a piece is no JSON object");
        };
        if chunk.get("id").and_then(Value::as_str) != Some(&self.attempt) {
            return self.stray("pieces of other answers came");
        }
        let Some(number) = event.id else {
            return ChunkCheck::Invalid("a piece has no number");
        };
        if number <= self.last {
            return self.stray("pieces came again and again");
        }
        if number > self.last + 1 {
            return ChunkCheck::Invalid("a piece is missing");
        }
        if self.finished && has_text(&chunk) {
            return ChunkCheck::Invalid("a piece came after the end");
        }
        let piece = Chunk { number, chunk };
        self.last = number;
        self.finished |= piece.is_finish();
        ChunkCheck::Accept(piece)
    }

    /// Whether a piece with the reason of the end was passed.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn check_end(&self) -> ChunkCheck {
        if self.finished {
            ChunkCheck::Complete
        } else {
            ChunkCheck::Invalid("the end came before the last piece")
        }
    }

    fn stray(&mut self, reason: &'static str) -> ChunkCheck {
        self.strays += 1;
        if self.strays > STRAY_LIMIT {
            return ChunkCheck::Invalid(reason);
        }
        ChunkCheck::Discard
    }
}

fn choices(chunk: &Map<String, Value>) -> &[Value] {
    match chunk.get("choices") {
        Some(Value::Array(choices)) => choices,
        _ => &[],
    }
}

fn has_text(chunk: &Map<String, Value>) -> bool {
    let text = |c: &Value| {
        c["delta"]["content"]
            .as_str()
            .is_some_and(|t| !t.is_empty())
    };
    choices(chunk).iter().any(text)
}
