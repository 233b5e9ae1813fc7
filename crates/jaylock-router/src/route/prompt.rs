use std::borrow::Cow;

use compact_str::CompactString;
use http::HeaderMap;
use jaylock_rpc::v1::PromptPart;

use super::headers::RouteHeaders;

/// Maximum number of prompt parts by which the scheduler places a request.
const MAX_PARTS: usize = 32;

/// Description of a prompt in the headers of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Prompt {
    /// Model that the prompt is for.
    pub model: CompactString,
    /// Number of prompt tokens.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The first parts in order.
    pub parts: Vec<PromptPart>,
}

/// The parts of a prompt that a request lists.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ListedParts {
    /// The first parts in order, by which the request is placed.
    pub placed: Vec<PromptPart>,
    /// Hashes of all parts after them but the last, which is the request's own.
    pub further: Vec<u64>,
}

impl Prompt {
    /// Parses the headers; returns `None` when token counts are missing or malformed.
    pub fn parse(headers: &HeaderMap, names: &RouteHeaders, parts: &[PromptPart]) -> Option<Self> {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let (input_tokens, max_tokens) = text(names.tokens)?.split_once(',')?;
        Some(Self {
            model: text(names.model).unwrap_or_default().into(),
            input_tokens: input_tokens.trim().parse().ok()?,
            max_tokens: max_tokens.trim().parse().ok()?,
            parts: parts.to_vec(),
        })
    }

    /// Hashes of the first parts in hexadecimal, for logs.
    pub fn part_list(&self) -> String {
        let hashes = self.parts.iter().map(|part| format!("{:016x}", part.hash));
        hashes.collect::<Vec<_>>().join(",")
    }
}

impl ListedParts {
    /// Reads all entries, in whatever line of the header they stand.
    ///
    /// A request is placed by the entries up to the first malformed one. Those after it may crash backend servers all the same.
    pub fn parse(headers: &HeaderMap, names: &RouteHeaders) -> Self {
        let lines = headers.get_all(names.prompt_parts).iter();
        let lines: Vec<Cow<'_, str>> = lines
            .map(|line| String::from_utf8_lossy(line.as_bytes()))
            .collect();
        let entries = lines.iter().flat_map(|line| line.split(','));
        let mut parts = Self::default();
        for entry in entries.map(str::trim).filter(|entry| !entry.is_empty()) {
            parts.push(entry);
        }
        let own = parts.further.pop();
        if own.is_some() && parts.further.is_empty() {
            // None of those by which the request is placed is its own.
            parts
                .further
                .extend(parts.placed.last().map(|part| part.hash));
        }
        parts
    }

    fn push(&mut self, entry: &str) {
        let (id, tokens) = entry.split_once(':').unwrap_or((entry, ""));
        let tokens = tokens.parse().ok();
        let may_be_placed = self.further.is_empty() && self.placed.len() < MAX_PARTS;
        match tokens.filter(|_| may_be_placed) {
            Some(tokens) => self.placed.push(PromptPart::from_id(id, tokens)),
            None => self.further.push(PromptPart::from_id(id, 0).hash),
        }
    }

    /// Hashes of all parts that others may share.
    pub fn shared(&self) -> impl Iterator<Item = u64> + '_ {
        let own = usize::from(self.further.is_empty());
        let shared = self.placed.len().saturating_sub(own);
        let placed = self.placed.iter().take(shared).map(|part| part.hash);
        placed.chain(self.further.iter().copied())
    }
}
