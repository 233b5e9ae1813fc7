use std::fmt::Write;

use sha2::{Digest, Sha256};

/// Pieces of an answer whose prompt names no length.
const DEFAULT_LENGTH: u32 = 8;

/// The answer to a prompt: a function of the prompt alone, so that a caller can compute it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    seed: [u8; 32],
    length: u32,
    is_cut: bool,
}

impl Answer {
    /// Finds the answer to a prompt.
    ///
    /// A word `len=NN` in the prompt gives the number of pieces; `max_tokens` bounds it.
    #[must_use]
    pub fn of(prompt: &str, max_tokens: Option<u32>) -> Self {
        let wanted = word(prompt, "len").unwrap_or(DEFAULT_LENGTH);
        let length = max_tokens.map_or(wanted, |most| most.min(wanted));
        Self {
            seed: Sha256::digest(prompt.as_bytes()).into(),
            length,
            is_cut: length < wanted,
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
        if self.is_cut { "length" } else { "stop" }
    }

    /// The piece at a position, counted from 1.
    #[must_use]
    pub fn piece(&self, position: u32) -> String {
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
        (1..=self.length).map(|n| self.piece(n)).collect()
    }
}

/// Reads the number in a word `name=NUMBER` of a text.
pub(crate) fn word(text: &str, name: &str) -> Option<u32> {
    let value = |word: &str| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    text.split_whitespace().find_map(value)
}
