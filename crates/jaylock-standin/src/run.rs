use crate::{
    ChatRequest, Choice, Chunk, Completion, Delta, Fault, GeneratedText, Message, Slot, Usage,
};

/// Prompt whose answer comes in place of the right one when answers are crossed.
const WRONG_PROMPT: &str = "the prompt of another request";

/// One request that runs at an engine.
pub(crate) struct Run {
    /// What was asked.
    pub request: ChatRequest,
    /// Id that the sender gave to this try.
    pub attempt_id: String,
    /// Pieces that the sender has already.
    pub received_chunks: u32,
    /// What is to be answered.
    pub text: GeneratedText,
    /// What goes wrong.
    pub fault: Option<Fault>,
    /// Held until the run ends.
    pub _slot: Slot,
}

impl Run {
    /// The chunk at a position, counted from 1.
    pub fn content_chunk(&self, position: u32) -> Chunk {
        let content = if self.fault == Some(Fault::WrongRequest) {
            GeneratedText::from_prompt(WRONG_PROMPT, None).chunk(position)
        } else {
            self.text.chunk(position)
        };
        let delta = Delta {
            content: Some(content),
        };
        self.build_chunk(delta, None)
    }

    /// The chunk after the last piece, with the reason of the end and the counts.
    pub fn final_chunk(&self) -> Chunk {
        let mut chunk = self.build_chunk(Delta::default(), Some(self.usage()));
        chunk.choices[0].finish_reason = Some(self.text.finish_reason().into());
        chunk
    }

    /// The answer in one piece.
    pub fn completion(&self) -> Completion {
        let choice = Choice {
            message: Some(Message {
                role: "assistant".into(),
                content: self.text.text(),
            }),
            finish_reason: Some(self.text.finish_reason().into()),
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
        Usage::new(&self.request.prompt(), self.text.length())
    }

    fn id(&self) -> String {
        if self.fault == Some(Fault::WrongRequest) {
            return format!("{}-of-another", self.attempt_id);
        }
        self.attempt_id.clone()
    }

    fn build_chunk(&self, delta: Delta, usage: Option<Usage>) -> Chunk {
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
pub(crate) fn sse_event(position: u32, chunk: &Chunk) -> String {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    format!("id: {position}\ndata: {data}\n\n")
}
