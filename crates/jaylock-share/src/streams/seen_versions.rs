use std::time::Instant;

use compact_str::CompactString;

/// Versions of the backend servers' software that a pool had, as far as its scheduler knows.
///
/// The two that were seen last tell whether there was only one, ever or since some time.
#[derive(Debug, Default)]
pub struct SeenVersions {
    // The last one first; at most two.
    list: Vec<SeenVersion>,
}

#[derive(Debug)]
struct SeenVersion {
    software: CompactString,
    at: Instant,
}

impl SeenVersions {
    /// Records that some backend server had a version.
    pub fn record(&mut self, software: &str, at: Instant) {
        match self.list.iter_mut().find(|seen| seen.software == software) {
            Some(seen) => seen.at = seen.at.max(at),
            None => self.list.push(SeenVersion {
                software: software.into(),
                at,
            }),
        }
        self.list.sort_by_key(|seen| std::cmp::Reverse(seen.at));
        self.list.truncate(2);
    }

    /// The only version that was ever seen.
    pub fn sole(&self) -> Option<&CompactString> {
        match self.list.as_slice() {
            [only] => Some(&only.software),
            _ => None,
        }
    }

    /// The only version that was seen since then.
    pub fn sole_since(&self, since: Instant) -> Option<&CompactString> {
        let mut recent = self.list.iter().filter(|seen| seen.at >= since);
        let only = recent.next()?;
        recent.next().is_none().then_some(&only.software)
    }
}
