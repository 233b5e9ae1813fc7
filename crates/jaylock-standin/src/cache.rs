use crate::ChatRequest;

/// Size of a block of prompt text.
const BLOCK_BYTES: usize = 256;
/// Maximum number of blocks at the start of a prompt that are cached.
const MAX_BLOCKS: usize = 16;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// LRU cache of prompt prefixes, the least recently used first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    entries: Vec<u64>,
    capacity: usize,
    added: Vec<u64>,
    evicted: Vec<u64>,
}

impl PrefixCache {
    /// Creates a cache of up to `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Adds the prefixes of a prompt and returns how many were missing.
    pub fn insert(&mut self, prefixes: &[u64]) -> u32 {
        let mut missing = 0;
        for prefix in prefixes {
            if let Some(index) = self.entries.iter().position(|entry| entry == prefix) {
                self.entries.remove(index);
            } else {
                missing += 1;
                self.added.push(*prefix);
            }
            self.entries.push(*prefix);
        }
        let excess = self.entries.len().saturating_sub(self.capacity);
        self.evicted.extend(self.entries.drain(..excess));
        missing
    }

    /// Returns the prefixes added and evicted since the last call, 16 hex digits each.
    pub fn take_changes(&mut self) -> (Vec<String>, Vec<String>) {
        let texts = |changes: &mut Vec<u64>| {
            let taken = std::mem::take(changes).into_iter();
            taken.map(|prefix| format!("{prefix:016x}")).collect()
        };
        (texts(&mut self.added), texts(&mut self.evicted))
    }
}

impl ChatRequest {
    /// Returns the hashes of the prefixes of the conversation, shortest first.
    #[must_use]
    pub fn prefix_hashes(&self) -> Vec<u64> {
        let parts = self.messages.iter().flat_map(|m| [&m.role, &m.content]);
        let text: String = parts.flat_map(|part| [part.as_str(), "\n"]).collect();
        let mut hash = FNV_OFFSET_BASIS;
        let mut prefixes = Vec::new();
        for block in text.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
            prefixes.push(hash);
        }
        prefixes
    }
}
