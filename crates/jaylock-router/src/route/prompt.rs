use std::hash::Hasher;

use compact_str::CompactString;
use http::HeaderMap;
use jaylock_rpc::v1::PromptPart;

use super::headers::RouteHeaders;
use crate::hash::Fnv;

/// Parts that are told to the scheduler at most.
const PART_LIMIT: usize = 32;

/// What a request tells of its prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct Prompt {
    /// Model that it is for.
    pub model: CompactString,
    /// Tokens to be read.
    pub read: u32,
    /// Most tokens to be generated.
    pub written: u32,
    /// Parts in order.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Reads the fields; none when they are missing or say nothing that can be used.
    pub fn parse(headers: &HeaderMap, names: &RouteHeaders) -> Option<Self> {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let (read, written) = text(names.tokens)?.split_once(',')?;
        Some(Self {
            model: text(names.model).unwrap_or_default().into(),
            read: read.trim().parse().ok()?,
            written: written.trim().parse().ok()?,
            parts: text(names.prompt_parts).map(parts).unwrap_or_default(),
        })
    }
}

/// The parts; ends at the first that can't be read.
fn parts(text: &str) -> Vec<PromptPart> {
    let entries = text.split(',').take(PART_LIMIT).map_while(|entry| {
        let (id, tokens) = entry.trim().split_once(':')?;
        let tokens = tokens.parse().ok()?;
        Some(prompt_part(id, tokens))
    });
    entries.collect()
}

/// A part of a prompt, known by the hash of its name.
#[must_use]
pub fn prompt_part(id: &str, tokens: u32) -> PromptPart {
    let mut hasher = Fnv::default();
    hasher.write(id.as_bytes());
    PromptPart {
        hash: hasher.finish(),
        tokens,
    }
}
