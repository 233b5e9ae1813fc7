use serde::{Deserialize, Serialize};

/// A request in the common chat-completions form.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// What was said so far.
    pub messages: Vec<Message>,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ChatRequest {
    /// The contents of all messages, one a line.
    #[must_use]
    pub fn prompt(&self) -> String {
        let contents: Vec<&str> = self.messages.iter().map(|m| m.content.as_str()).collect();
        contents.join("\n")
    }
}

/// One message of a conversation.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks: system, user or assistant.
    pub role: String,
    /// The text.
    pub content: String,
}

/// One piece of a streamed answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the attempt, or of the request when a router has passed it on.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Name of the model.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Counts, in the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A whole answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the attempt, or of the request when a router has passed it on.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Name of the model.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Counts.
    pub usage: Usage,
}

/// An answer or a piece of it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// New text of a streamed answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Text of a whole answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Why the answer ended; unset before its end.
    pub finish_reason: Option<String>,
}

/// New text of a streamed answer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Delta {
    /// The text; unset in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Counts of tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
}

impl Usage {
    /// Adds up the counts of an answer.
    #[must_use]
    pub fn new(prompt: &str, generated: u32) -> Self {
        let words = prompt.split_whitespace().count();
        let prompt_tokens = u32::try_from(words).unwrap_or(u32::MAX);
        Self {
            prompt_tokens,
            completion_tokens: generated,
            total_tokens: prompt_tokens.saturating_add(generated),
        }
    }
}
