use crate::ChatRequest;

/// Bytes of prompt text in one block of the cache.
const BLOCK: usize = 256;
/// Blocks at the start of a prompt that the cache looks at.
const BLOCK_LIMIT: usize = 16;
/// First value of the 64-bit FNV-1a hash.
const FNV_START: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The prompt prefixes that an engine remembers, least recently used first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    held: Vec<u64>,
    most: usize,
    gained: Vec<u64>,
    dropped: Vec<u64>,
}

impl PrefixCache {
    /// Makes a cache that holds `most` blocks.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            ..Self::default()
        }
    }

    /// Takes the prefixes of a prompt in and says how many were missing.
    pub fn admit(&mut self, prefixes: &[u64]) -> u32 {
        let mut missing = 0;
        for prefix in prefixes {
            if let Some(place) = self.held.iter().position(|held| held == prefix) {
                self.held.remove(place);
            } else {
                missing += 1;
                self.gained.push(*prefix);
            }
            self.held.push(*prefix);
        }
        let excess = self.held.len().saturating_sub(self.most);
        self.dropped.extend(self.held.drain(..excess));
        missing
    }

    /// Gives what was gained and dropped since the last call, 16 hex digits each.
    pub fn take_events(&mut self) -> (Vec<String>, Vec<String>) {
        let texts = |events: &mut Vec<u64>| {
            let taken = std::mem::take(events).into_iter();
            taken.map(|prefix| format!("{prefix:016x}")).collect()
        };
        (texts(&mut self.gained), texts(&mut self.dropped))
    }
}

impl ChatRequest {
    /// Hashes of ever longer prefixes of the conversation, shortest first.
    #[must_use]
    pub fn prefixes(&self) -> Vec<u64> {
        let parts = self.messages.iter().flat_map(|m| [&m.role, &m.content]);
        let text: String = parts.flat_map(|part| [part.as_str(), "\n"]).collect();
        let mut hash = FNV_START;
        let mut prefixes = Vec::new();
        for block in text.as_bytes().chunks_exact(BLOCK).take(BLOCK_LIMIT) {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
            prefixes.push(hash);
        }
        prefixes
    }
}
