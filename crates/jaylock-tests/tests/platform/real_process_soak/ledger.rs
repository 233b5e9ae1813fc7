use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

use super::draft::Draft;

/// Versions between two documents at most.
const MAX_STEP: u64 = 3;

/// The valid documents that operators sent, in the order of their versions.
pub struct Ledger {
    sent: Vec<Sent>,
    last_version: u64,
}

/// A valid document that an operator sent.
pub struct Sent {
    pub draft: Draft,
    pub text: String,
    acknowledged_at: Option<Instant>,
}

impl Ledger {
    /// Creates a ledger with the first document, which is acknowledged.
    pub fn new(first: Draft) -> Self {
        let now = Instant::now();
        Self {
            last_version: first.version,
            sent: vec![Sent {
                text: first.text(),
                draft: first,
                acknowledged_at: Some(now),
            }],
        }
    }

    /// Draws the next document and counts it as sent.
    pub fn draw_next(&mut self, rng: &mut SmallRng) -> Draft {
        let version = self.draw_version(rng);
        let newest = self.sent.last().expect("a first document");
        let draft = newest.draft.draw_next(version, rng);
        self.add(draft.clone());
        draft
    }

    /// Counts a document as sent whose version is higher than all others.
    pub fn add(&mut self, draft: Draft) {
        self.last_version = draft.version;
        self.sent.push(Sent {
            text: draft.text(),
            draft,
            acknowledged_at: None,
        });
    }

    /// Returns the highest version that was drawn.
    pub fn last_version(&self) -> u64 {
        self.last_version
    }

    /// Draws a version that no document has.
    pub fn draw_version(&mut self, rng: &mut SmallRng) -> u64 {
        self.last_version += rng.random_range(1..=MAX_STEP);
        self.last_version
    }

    /// Counts a version as acknowledged.
    pub fn acknowledge(&mut self, version: u64) {
        if let Some(sent) = self.find_mut(version) {
            sent.acknowledged_at.get_or_insert_with(Instant::now);
        }
    }

    /// Draws one of the newest documents that were acknowledged.
    pub fn draw_acknowledged(&self, rng: &mut SmallRng) -> &Draft {
        let newest = self
            .sent
            .iter()
            .rev()
            .filter(|s| s.acknowledged_at.is_some());
        let newest: Vec<&Sent> = newest.take(5).collect();
        &newest[rng.random_range(0..newest.len())].draft
    }

    /// Returns the document of a version.
    pub fn find(&self, version: u64) -> Option<&Sent> {
        let found = self
            .sent
            .binary_search_by_key(&version, |s| s.draft.version);
        found.ok().map(|at| &self.sent[at])
    }

    /// Returns the newest version that was acknowledged this long before a moment.
    pub fn acknowledged_before(&self, moment: Instant, slack: Duration) -> Option<u64> {
        let is_in_force = |s: &&Sent| s.acknowledged_at.is_some_and(|at| at + slack <= moment);
        let newest = self.sent.iter().rev().find(is_in_force);
        newest.map(|s| s.draft.version)
    }

    /// Returns the documents that may be in force for a request, if a document takes effect within `slack`.
    pub fn candidates(&self, sent_at: Instant, slack: Duration) -> Option<Vec<&Draft>> {
        let oldest = self.acknowledged_before(sent_at, slack)?;
        let candidates = self.sent.iter().filter(|s| s.draft.version >= oldest);
        Some(candidates.map(|s| &s.draft).collect())
    }

    /// Returns all documents.
    pub fn drafts(&self) -> impl Iterator<Item = &Draft> {
        self.sent.iter().map(|s| &s.draft)
    }

    /// Numbers of documents that were sent and acknowledged.
    pub fn counts(&self) -> (usize, usize) {
        let acknowledged = self.sent.iter().filter(|s| s.acknowledged_at.is_some());
        (self.sent.len(), acknowledged.count())
    }

    fn find_mut(&mut self, version: u64) -> Option<&mut Sent> {
        let found = self
            .sent
            .binary_search_by_key(&version, |s| s.draft.version);
        found.ok().map(|at| &mut self.sent[at])
    }
}
