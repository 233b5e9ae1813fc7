use crate::{Answer, ChatRequest, Choice, Chunk, Completion, Delta, Fault, Message, Slot, Usage};

/// Prompt whose answer comes in place of the right one when answers are crossed.
const ANOTHER_PROMPT: &str = "the prompt of another request";

/// One request that runs at an engine.
pub(crate) struct Run {
    /// What was asked.
    pub request: ChatRequest,
    /// Id that the sender gave to this try.
    pub attempt: String,
    /// Pieces that the sender has already.
    pub start: u32,
    /// What is to be answered.
    pub answer: Answer,
    /// What goes wrong.
    pub fault: Option<Fault>,
    /// Held until the run ends.
    pub _slot: Slot,
}

impl Run {
    /// The chunk at a position, counted from 1.
    pub fn piece(&self, position: u32) -> Chunk {
        let content = if self.fault == Some(Fault::Crossed) {
            Answer::of(ANOTHER_PROMPT, None).piece(position)
        } else {
            self.answer.piece(position)
        };
        let delta = Delta {
            content: Some(content),
        };
        self.chunk(delta, None)
    }

    /// The chunk after the last piece, with the reason of the end and the counts.
    pub fn last(&self) -> Chunk {
        let mut chunk = self.chunk(Delta::default(), Some(self.usage()));
        chunk.choices[0].finish_reason = Some(self.answer.finish_reason().into());
        chunk
    }

    /// The answer in one piece.
    pub fn whole(&self) -> Completion {
        let choice = Choice {
            message: Some(Message {
                role: "assistant".into(),
                content: self.answer.text(),
            }),
            finish_reason: Some(self.answer.finish_reason().into()),
            ..Choice::default()
        };
        Completion {
            id: self.id(),
            object: "chat.completion".into(),
            model: self.request.model.clone(),
            choices: vec![choice],
            usage: self.usage(),
        }
    }

    fn usage(&self) -> Usage {
        Usage::new(&self.request.prompt(), self.answer.length())
    }

    fn id(&self) -> String {
        if self.fault == Some(Fault::Crossed) {
            return format!("{}-of-another", self.attempt);
        }
        self.attempt.clone()
    }

    fn chunk(&self, delta: Delta, usage: Option<Usage>) -> Chunk {
        Chunk {
            id: self.id(),
            object: "chat.completion.chunk".into(),
            model: self.request.model.clone(),
            choices: vec![Choice {
                delta: Some(delta),
                ..Choice::default()
            }],
            usage,
        }
    }
}

/// A chunk as a server-sent event.
pub(crate) fn event(position: u32, chunk: &Chunk) -> String {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    format!("id: {position}\ndata: {data}\n\n")
}
