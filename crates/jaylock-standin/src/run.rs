use crate::{
    ChatRequest, Choice, Chunk, Completion, Delta, Fault, GeneratedText, Message, Slot, Usage,
};

/// Prompt whose text is sent for [`Fault::WrongRequest`].
const WRONG_PROMPT: &str = "the prompt of another request";

/// A request that runs on an engine.
pub(crate) struct Run {
    pub request: ChatRequest,
    /// Id of the attempt, from the header `x-request-id`.
    pub attempt_id: String,
    /// Chunks that the sender already has, from the header `last-event-id`.
    pub received_chunks: u32,
    /// Text of the response.
    pub text: GeneratedText,
    /// Fault to cause.
    pub fault: Option<Fault>,
    /// Slot, occupied until the end of the run.
    pub _slot: Slot,
}

impl Run {
    /// Returns the chunk at a position, counted from 1.
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

    /// Returns the chunk after the text, with the finish reason and the token counts.
    pub fn final_chunk(&self) -> Chunk {
        let mut chunk = self.build_chunk(Delta::default(), Some(self.usage()));
        chunk.choices[0].finish_reason = Some(self.text.finish_reason().into());
        chunk
    }

    /// Returns the response that is not streamed.
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

/// Formats a chunk as a server-sent event.
pub(crate) fn sse_event(position: u32, chunk: &Chunk) -> String {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    format!("id: {position}\ndata: {data}\n\n")
}
