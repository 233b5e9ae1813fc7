use serde::{Deserialize, Serialize};

/// A request of the chat completions API.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages of the conversation so far.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ChatRequest {
    /// Returns the contents of all messages, joined by line breaks.
    #[must_use]
    pub fn prompt(&self) -> String {
        let contents: Vec<&str> = self.messages.iter().map(|m| m.content.as_str()).collect();
        contents.join("\n")
    }
}

/// One message of a conversation.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Message {
    /// Author of the message: system, user or assistant.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// One chunk of a streamed response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the attempt; a router replaces the id by that of the request.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Name of the model.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts, only in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A complete response that is not streamed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the attempt; a router replaces the id by that of the request.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Name of the model.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts.
    pub usage: Usage,
}

/// The message of a response, or the delta of a chunk.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// New text of a streamed response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Message of a response that is not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Why the response ended; unset before the end.
    pub finish_reason: Option<String>,
}

/// New text of a streamed response.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Delta {
    /// Text; unset in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

impl Usage {
    /// Counts each word of the prompt as one token.
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
