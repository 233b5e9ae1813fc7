use std::fmt::Write;

use sha2::{Digest, Sha256};

/// Chunks of a text whose prompt contains no `len=NN`.
const DEFAULT_CHUNKS: u32 = 8;

/// Text that an engine generates, determined by the prompt so that callers can verify responses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GeneratedText {
    seed: [u8; 32],
    length: u32,
    is_truncated: bool,
}

impl GeneratedText {
    /// Generates the text for a prompt.
    ///
    /// A word `len=NN` in the prompt sets the number of chunks, up to `max_tokens`.
    #[must_use]
    pub fn from_prompt(prompt: &str, max_tokens: Option<u32>) -> Self {
        let requested = find_number(prompt, "len").unwrap_or(DEFAULT_CHUNKS);
        let length = max_tokens.map_or(requested, |max| max.min(requested));
        Self {
            seed: Sha256::digest(prompt.as_bytes()).into(),
            length,
            is_truncated: length < requested,
        }
    }

    /// Returns the number of chunks, each of which counts as one token.
    #[must_use]
    pub fn length(&self) -> u32 {
        self.length
    }

    /// Returns the finish reason of the chat completions API.
    #[must_use]
    pub fn finish_reason(&self) -> &'static str {
        if self.is_truncated { "length" } else { "stop" }
    }

    /// Returns the chunk at a position, counted from 1.
    #[must_use]
    pub fn chunk(&self, position: u32) -> String {
        let mut hash = Sha256::new();
        hash.update(self.seed);
        hash.update(position.to_be_bytes());
        let mut text = String::new();
        for byte in &hash.finalize()[..4] {
            // Writing to a string never fails.
            let _ = write!(text, "{byte:02x}");
        }
        text.push(' ');
        text
    }

    /// Returns all chunks, joined.
    #[must_use]
    pub fn text(&self) -> String {
        (1..=self.length).map(|n| self.chunk(n)).collect()
    }
}

/// Returns the number in the first word `name=NUMBER` of a text.
pub(crate) fn find_number(text: &str, name: &str) -> Option<u32> {
    let value = |word: &str| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    text.split_whitespace().find_map(value)
}
