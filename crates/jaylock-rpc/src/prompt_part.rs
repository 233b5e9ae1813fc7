use std::hash::Hasher;

use jaylock_types::Fnv;

use crate::v1::PromptPart;

impl PromptPart {
    /// Creates a prompt part, which schedulers identify by the hash of `id`.
    #[must_use]
    pub fn from_id(id: &str, tokens: u32) -> Self {
        let mut hasher = Fnv::default();
        hasher.write(id.as_bytes());
        Self {
            hash: hasher.finish(),
            tokens,
        }
    }
}
