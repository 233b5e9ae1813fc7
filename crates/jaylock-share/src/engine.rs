use std::time::Duration;

use jaylock_rpc::v1::{Ask, PromptPart};

/// Part of an engine's memory that running requests may take, in 100.
const MEMORY_SHARE: u64 = 90;
/// Parts that are remembered where the size of the memory is not known.
const MOST_PARTS: usize = 4096;
/// Weight of the newest observation of the pace is one of this many.
const PACE_SPAN: f64 = 16.0;
/// Prompts shorter than this, in tokens, say nothing about the pace.
const PACE_TOKENS: u64 = 1000;

/// What is believed of a model engine: the prompts that it has yet to read, and what it keeps.
///
/// Reports of the engine lag behind; this counts what was sent to it and what came back.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Memory in tokens; 0 when not known.
    capacity: u64,
    /// Tokens of granted prompts of which no answer has come yet.
    unread: u64,
    /// Tokens of running requests beyond the parts of their prompts.
    extra: u64,
    /// Tokens of all parts that are kept.
    kept: u64,
    /// Tokens of the parts that running requests use.
    used: u64,
    // Sorted by hash.
    parts: Vec<Part>,
    turn: u64,
    /// What it has begun or ceased to keep since that was last asked.
    changes: Vec<Change>,
}

/// A part that an engine has begun or ceased to keep.
#[derive(Debug, Clone, Copy)]
pub struct Change {
    pub hash: u64,
    pub is_kept: bool,
}

/// A part of prompts that an engine keeps.
#[derive(Debug)]
struct Part {
    hash: u64,
    tokens: u32,
    /// Running requests that use it.
    users: u32,
    /// Turn of its last use.
    turn: u64,
}

/// What one running request takes of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Load {
    unread: u64,
    extra: u64,
    parts: Vec<u64>,
}

impl Load {
    /// Whether the prompt is not known to have been read.
    pub fn is_unread(&self) -> bool {
        self.unread > 0
    }
}

impl EngineState {
    /// Sets the size of the memory, in tokens.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Tokens of granted prompts that are still to be read.
    pub fn unread(&self) -> u64 {
        self.unread
    }

    /// Whether it keeps a part.
    pub fn keeps(&self, hash: u64) -> bool {
        self.find(hash).is_ok()
    }

    /// What it has begun or ceased to keep since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Tokens of a prompt that would have to be read.
    pub fn missing(&self, ask: &Ask) -> u64 {
        let parts = ask.parts.iter();
        let kept = parts.take_while(|p| self.find(p.hash).is_ok());
        let kept: u64 = kept.map(|p| u64::from(p.tokens)).sum();
        u64::from(ask.prompt_tokens).saturating_sub(kept)
    }

    /// Whether the memory has room for a request beside those that run.
    pub fn has_room(&self, ask: &Ask) -> bool {
        if self.capacity == 0 || (self.used == 0 && self.extra == 0) {
            return true;
        }
        let unused = |hash: u64| match self.find(hash) {
            Ok(at) => self.parts[at].users == 0,
            Err(_) => true,
        };
        let new = ask.parts.iter().filter(|p| unused(p.hash));
        let new: u64 = new.map(|p| u64::from(p.tokens)).sum();
        let wanted = self.used + self.extra + new + u64::from(ask.limit);
        wanted <= self.capacity * MEMORY_SHARE / 100
    }

    /// Counts a request that is sent to the engine.
    pub fn begin(&mut self, ask: &Ask) -> Load {
        let unread = self.missing(ask);
        self.turn += 1;
        let mut told = 0;
        for part in &ask.parts {
            self.use_part(part.hash, part.tokens);
            told += u64::from(part.tokens);
        }
        let rest = u64::from(ask.prompt_tokens).saturating_sub(told);
        let extra = rest + u64::from(ask.limit);
        self.unread += unread;
        self.extra += extra;
        self.evict();
        Load {
            unread,
            extra,
            parts: ask.parts.iter().map(|p| p.hash).collect(),
        }
    }

    /// Takes over what the engine says that it keeps, in place of nothing known.
    pub fn learn(&mut self, kept: &[PromptPart]) {
        for part in kept {
            if let Err(at) = self.find(part.hash) {
                let part = Part {
                    hash: part.hash,
                    tokens: part.tokens,
                    users: 0,
                    turn: 0,
                };
                self.kept += u64::from(part.tokens);
                self.note(part.hash, true);
                self.parts.insert(at, part);
            }
        }
        self.evict();
    }

    /// Notes that the prompt of a request was read.
    pub fn read(&mut self, load: &mut Load) {
        self.unread = self.unread.saturating_sub(std::mem::take(&mut load.unread));
    }

    /// Notes that a request has ended.
    pub fn end(&mut self, mut load: Load) {
        self.read(&mut load);
        self.extra = self.extra.saturating_sub(load.extra);
        for hash in load.parts {
            let Ok(at) = self.find(hash) else { continue };
            let part = &mut self.parts[at];
            part.users = part.users.saturating_sub(1);
            if part.users == 0 {
                self.used = self.used.saturating_sub(part.tokens.into());
            }
        }
    }

    /// Forgets what a restarted engine no longer keeps.
    pub fn restart(&mut self) {
        let mut changes = std::mem::take(&mut self.changes);
        let forgotten = self.parts.iter().map(|part| Change {
            hash: part.hash,
            is_kept: false,
        });
        changes.extend(forgotten);
        *self = Self {
            capacity: self.capacity,
            changes,
            ..Self::default()
        };
    }

    fn note(&mut self, hash: u64, is_kept: bool) {
        self.changes.push(Change { hash, is_kept });
    }

    fn use_part(&mut self, hash: u64, tokens: u32) {
        let turn = self.turn;
        let at = self.find(hash).unwrap_or_else(|at| {
            let part = Part {
                hash,
                tokens,
                users: 0,
                turn,
            };
            self.parts.insert(at, part);
            self.kept += u64::from(tokens);
            self.note(hash, true);
            at
        });
        let part = &mut self.parts[at];
        part.turn = turn;
        part.users += 1;
        if part.users == 1 {
            self.used += u64::from(part.tokens);
        }
    }

    /// Drops the parts that were used least lately, as the engine does when its memory is full.
    fn evict(&mut self) {
        let is_full = |state: &Self| {
            let over = state.capacity > 0 && state.kept + state.extra > state.capacity;
            over || state.parts.len() > MOST_PARTS
        };
        while is_full(self) {
            let unused = self.parts.iter().enumerate().filter(|(_, p)| p.users == 0);
            let Some((at, _)) = unused.min_by_key(|(_, p)| p.turn) else {
                return;
            };
            let part = self.parts.remove(at);
            self.kept = self.kept.saturating_sub(part.tokens.into());
            self.note(part.hash, false);
        }
    }

    fn find(&self, hash: u64) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&hash, |p| p.hash)
    }
}

/// How fast the engines of a pool read prompts, learned from the times to first tokens.
#[derive(Debug)]
pub struct ReadingPace {
    tokens_per_ms: f64,
}

impl ReadingPace {
    /// Begins with a guess, in tokens a millisecond.
    pub fn new(tokens_per_ms: u32) -> Self {
        Self {
            tokens_per_ms: f64::from(tokens_per_ms.max(1)),
        }
    }

    /// Learns that so many tokens were read before a first token came.
    pub fn learn(&mut self, tokens: u64, time: Duration) {
        let ms = time.as_secs_f64() * 1e3;
        if tokens < PACE_TOKENS || ms <= 0.0 {
            return;
        }
        #[allow(clippy::cast_precision_loss)]
        let seen = (tokens as f64 / ms).clamp(self.tokens_per_ms / 4.0, self.tokens_per_ms * 4.0);
        self.tokens_per_ms += (seen - self.tokens_per_ms) / PACE_SPAN;
    }

    /// Tokens that are read in a time.
    pub fn tokens(&self, time: Duration) -> u64 {
        let tokens = self.tokens_per_ms * time.as_secs_f64() * 1e3;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let tokens = tokens as u64;
        tokens
    }

    /// Time for reading so many tokens.
    pub fn time(&self, tokens: u64) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms / 1e3)
    }
}
