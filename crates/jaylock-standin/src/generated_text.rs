use std::fmt::Write;

use sha2::{Digest, Sha256};

/// Pieces of an answer whose prompt names no length.
const DEFAULT_CHUNKS: u32 = 8;

/// The answer to a prompt: a function of the prompt alone, so that a caller can compute it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GeneratedText {
    seed: [u8; 32],
    length: u32,
    is_truncated: bool,
}

impl GeneratedText {
    /// Finds the answer to a prompt.
    ///
    /// A word `len=NN` in the prompt gives the number of pieces; `max_tokens` bounds it.
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

    /// Number of pieces; each counts as one token.
    #[must_use]
    pub fn length(&self) -> u32 {
        self.length
    }

    /// Why the answer ends, in the words of the chat-completions form.
    #[must_use]
    pub fn finish_reason(&self) -> &'static str {
        if self.is_truncated { "length" } else { "stop" }
    }

    /// The piece at a position, counted from 1.
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

    /// All pieces, joined.
    #[must_use]
    pub fn text(&self) -> String {
        (1..=self.length).map(|n| self.chunk(n)).collect()
    }
}

/// Reads the number in a word `name=NUMBER` of a text.
pub(crate) fn find_number(text: &str, name: &str) -> Option<u32> {
    let value = |word: &str| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    text.split_whitespace().find_map(value)
}
