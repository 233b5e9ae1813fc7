use std::time::{Duration, Instant};

/// Time for which a complete answer shows that a cause is harmless.
const PROOF_MEMORY: Duration = Duration::from_hours(1);
/// Causes that are kept; beyond this number the older half is dropped.
const MAX_PROVEN: usize = 65_536;

/// Causes under which requests were answered, with the time of the last answer.
#[derive(Debug, Default)]
pub struct ProvenCauses {
    // Sorted by hash.
    list: Vec<(u64, Instant)>,
}

impl ProvenCauses {
    /// Records an answer to a request with these causes.
    pub fn add(&mut self, causes: &[u64], now: Instant) {
        let mut unknown = Vec::new();
        for hash in causes {
            match self.search(*hash) {
                Ok(position) => self.list[position].1 = now,
                Err(_) => unknown.push((*hash, now)),
            }
        }
        if !unknown.is_empty() {
            self.list.append(&mut unknown);
            // Stable, which merges two sorted runs in linear time.
            self.list.sort();
            self.list.dedup_by_key(|(hash, _)| *hash);
        }
        if self.list.len() > MAX_PROVEN {
            self.drop_older_half();
        }
    }

    /// Whether a request with this cause was answered lately.
    pub fn contains(&self, hash: u64, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROOF_MEMORY;
        let position = self.search(hash);
        position.is_ok_and(|position| is_recent(self.list[position].1))
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Instant> = self.list.iter().map(|(_, at)| *at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.list.retain(|(_, at)| *at > median);
    }

    fn search(&self, hash: u64) -> Result<usize, usize> {
        self.list.binary_search_by_key(&hash, |(known, _)| *known)
    }
}
