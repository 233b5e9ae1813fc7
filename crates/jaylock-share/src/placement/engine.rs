use std::time::Duration;

use jaylock_rpc::v1::{Ask, PromptPart};

/// Share of an engine's memory that running requests may take.
const MAX_MEMORY_PERCENT: u64 = 90;
/// Parts that are tracked for an engine, also if its memory size is unknown.
const MAX_PARTS: usize = 4096;
/// Inverse weight of the newest observation in the prefill rate.
const RATE_WINDOW: f64 = 16.0;
/// Prefill below this, in tokens, is too short to measure the rate.
const MIN_SAMPLE_TOKENS: u64 = 1000;

/// Estimate of a model engine's pending prefill and prompt cache.
///
/// The engine's reports lag behind, so the estimate is derived from the requests sent and the progress received.
#[derive(Debug, Default)]
pub struct EngineEstimate {
    /// Size of the memory; 0 if unknown.
    memory_tokens: u64,
    /// Uncached tokens of granted prompts whose first token has not been reported.
    pending_prefill: u64,
    /// Tokens of running requests beyond the listed parts of their prompts, including their token limits.
    private_tokens: u64,
    /// Tokens of all cached parts.
    cached_tokens: u64,
    /// Tokens of the cached parts that running requests use.
    used_tokens: u64,
    // Sorted by hash.
    parts: Vec<CachedPart>,
    clock: u64,
    /// Changes of the cache since the last call of `take_changes`.
    changes: Vec<CacheChange>,
}

/// A part that was added to an engine's cache or evicted from it.
#[derive(Debug, Clone, Copy)]
pub struct CacheChange {
    pub hash: u64,
    pub is_cached: bool,
}

/// A part of prompts that an engine caches.
#[derive(Debug)]
struct CachedPart {
    hash: u64,
    tokens: u32,
    /// Running requests that use the part.
    users: u32,
    /// Logical time of the last use.
    last_use: u64,
}

/// Load that one running request puts on an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestLoad {
    pending_prefill: u64,
    private_tokens: u64,
    parts: Vec<u64>,
}

impl RequestLoad {
    /// Whether the prompt's prefill is not known to be finished.
    pub fn is_prefill_pending(&self) -> bool {
        self.pending_prefill > 0
    }

    /// Tokens whose prefill is not known to be finished.
    pub fn pending_prefill(&self) -> u64 {
        self.pending_prefill
    }

    /// Part of a prompt of `tokens` that was prefilled by the time that the engine had prefilled `done` tokens of
    /// the `ahead` that were pending at the grant, including this prompt's.
    pub fn prefilled_tokens(&self, tokens: u64, done: u64, ahead: u64) -> u64 {
        let others = ahead.saturating_sub(self.pending_prefill);
        let own = done.saturating_sub(others).min(self.pending_prefill);
        tokens * own / self.pending_prefill.max(1)
    }
}

impl EngineEstimate {
    /// Sets the size of the memory, in tokens.
    pub fn set_memory(&mut self, tokens: u64) {
        self.memory_tokens = tokens;
    }

    /// Tokens of granted prompts whose prefill is pending.
    pub fn pending_prefill(&self) -> u64 {
        self.pending_prefill
    }

    /// Whether a part is cached.
    pub fn has_part(&self, hash: u64) -> bool {
        self.find(hash).is_ok()
    }

    /// Takes the changes of the cache since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Tokens of a prompt that are not cached.
    pub fn uncached_tokens(&self, ask: &Ask) -> u64 {
        let parts = ask.parts.iter();
        let cached = parts.take_while(|p| self.find(p.hash).is_ok());
        let cached: u64 = cached.map(|p| u64::from(p.tokens)).sum();
        u64::from(ask.prompt_tokens).saturating_sub(cached)
    }

    /// Whether the memory has room for a request beside the running ones.
    pub fn has_room(&self, ask: &Ask) -> bool {
        if self.memory_tokens == 0 || (self.used_tokens == 0 && self.private_tokens == 0) {
            return true;
        }
        let is_unused = |hash: u64| match self.find(hash) {
            Ok(index) => self.parts[index].users == 0,
            Err(_) => true,
        };
        let new = ask.parts.iter().filter(|p| is_unused(p.hash));
        let new: u64 = new.map(|p| u64::from(p.tokens)).sum();
        let required = self.used_tokens + self.private_tokens + new + u64::from(ask.limit);
        required <= self.memory_tokens.saturating_mul(MAX_MEMORY_PERCENT) / 100
    }

    /// Adds a request that is sent to the engine.
    pub fn add_request(&mut self, ask: &Ask) -> RequestLoad {
        let pending_prefill = self.uncached_tokens(ask);
        self.clock += 1;
        let mut listed = 0;
        for part in &ask.parts {
            self.use_part(part.hash, part.tokens);
            listed += u64::from(part.tokens);
        }
        let unlisted = u64::from(ask.prompt_tokens).saturating_sub(listed);
        let private_tokens = unlisted + u64::from(ask.limit);
        self.pending_prefill += pending_prefill;
        self.private_tokens += private_tokens;
        self.evict();
        RequestLoad {
            pending_prefill,
            private_tokens,
            parts: ask.parts.iter().map(|p| p.hash).collect(),
        }
    }

    /// Adds parts that the engine reports as cached and that are not known yet, as many as are tracked.
    pub fn add_cached_parts(&mut self, parts: &[PromptPart]) {
        for part in parts {
            if self.parts.len() >= MAX_PARTS {
                break;
            }
            if let Err(index) = self.find(part.hash) {
                let part = CachedPart {
                    hash: part.hash,
                    tokens: part.tokens,
                    users: 0,
                    last_use: 0,
                };
                self.cached_tokens += u64::from(part.tokens);
                self.record_change(part.hash, true);
                self.parts.insert(index, part);
            }
        }
        self.evict();
    }

    /// Records that the prefill of a request is finished.
    pub fn finish_prefill(&mut self, load: &mut RequestLoad) {
        self.pending_prefill = self
            .pending_prefill
            .saturating_sub(std::mem::take(&mut load.pending_prefill));
    }

    /// Removes the load of an ended request.
    pub fn remove_request(&mut self, mut load: RequestLoad) {
        self.finish_prefill(&mut load);
        self.private_tokens = self.private_tokens.saturating_sub(load.private_tokens);
        for hash in load.parts {
            let Ok(index) = self.find(hash) else { continue };
            let part = &mut self.parts[index];
            part.users = part.users.saturating_sub(1);
            if part.users == 0 {
                self.used_tokens = self.used_tokens.saturating_sub(part.tokens.into());
            }
        }
    }

    /// Discards the cached parts that no running request uses, as those of an engine that has turned cold.
    pub fn forget_unused_parts(&mut self) {
        let unused = self.parts.extract_if(.., |part| part.users == 0);
        for part in unused {
            self.cached_tokens = self.cached_tokens.saturating_sub(part.tokens.into());
            self.changes.push(CacheChange {
                hash: part.hash,
                is_cached: false,
            });
        }
    }

    /// Discards the estimate of an engine that has restarted.
    pub fn restart(&mut self) {
        let mut changes = std::mem::take(&mut self.changes);
        let evictions = self.parts.iter().map(|part| CacheChange {
            hash: part.hash,
            is_cached: false,
        });
        changes.extend(evictions);
        *self = Self {
            memory_tokens: self.memory_tokens,
            changes,
            ..Self::default()
        };
    }

    fn record_change(&mut self, hash: u64, is_cached: bool) {
        self.changes.push(CacheChange { hash, is_cached });
    }

    fn use_part(&mut self, hash: u64, tokens: u32) {
        let last_use = self.clock;
        let index = self.find(hash).unwrap_or_else(|index| {
            let part = CachedPart {
                hash,
                tokens,
                users: 0,
                last_use,
            };
            self.parts.insert(index, part);
            self.cached_tokens += u64::from(tokens);
            self.record_change(hash, true);
            index
        });
        let part = &mut self.parts[index];
        part.last_use = last_use;
        part.users += 1;
        if part.users == 1 {
            self.used_tokens += u64::from(part.tokens);
        }
    }

    /// Evicts the least recently used parts, as the engine does when its memory is full.
    fn evict(&mut self) {
        let is_full = |estimate: &Self| {
            let exceeds_memory = estimate.memory_tokens > 0
                && estimate.cached_tokens + estimate.private_tokens > estimate.memory_tokens;
            exceeds_memory || estimate.parts.len() > MAX_PARTS
        };
        while is_full(self) {
            let unused = self.parts.iter().enumerate().filter(|(_, p)| p.users == 0);
            let Some((index, _)) = unused.min_by_key(|(_, p)| p.last_use) else {
                return;
            };
            let part = self.parts.remove(index);
            self.cached_tokens = self.cached_tokens.saturating_sub(part.tokens.into());
            self.record_change(part.hash, false);
        }
    }

    fn find(&self, hash: u64) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&hash, |p| p.hash)
    }
}

/// Prefill rate of a pool's engines, estimated from the times to first tokens.
#[derive(Debug)]
pub struct PrefillRate {
    tokens_per_ms: f64,
}

impl PrefillRate {
    /// Creates the estimate with an initial rate, in tokens per ms.
    pub fn new(tokens_per_ms: u32) -> Self {
        Self {
            tokens_per_ms: f64::from(tokens_per_ms.max(1)),
        }
    }

    /// Adds an observation: the prefill of `tokens` took `time` to the first token.
    pub fn observe(&mut self, tokens: u64, time: Duration) {
        let ms = time.as_secs_f64() * 1e3;
        if tokens < MIN_SAMPLE_TOKENS || ms <= 0.0 {
            return;
        }
        #[allow(clippy::cast_precision_loss)]
        let observed =
            (tokens as f64 / ms).clamp(self.tokens_per_ms / 4.0, self.tokens_per_ms * 4.0);
        self.tokens_per_ms += (observed - self.tokens_per_ms) / RATE_WINDOW;
    }

    /// Tokens whose prefill takes this time.
    pub fn tokens_in(&self, time: Duration) -> u64 {
        let tokens = self.tokens_per_ms * time.as_secs_f64() * 1e3;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let tokens = tokens as u64;
        tokens
    }

    /// Time that the prefill of these tokens takes.
    pub fn time_for(&self, tokens: u64) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms / 1e3)
    }
}
